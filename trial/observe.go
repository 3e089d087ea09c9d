package trial

import (
	"context"
	"net/http"

	"hickorydrum/instance"
	"hickorydrum/standin"
	"hickorydrum/upstream"
)

func (d *Deployment) status(ctx context.Context, i *instanceProcess) (instance.Status, bool) {
	var s instance.Status
	return s, getInto(ctx, "http://"+i.admin()+"/status", &s) == nil
}

func (d *Deployment) running() []*instanceProcess {
	var out []*instanceProcess
	for _, i := range d.instances {
		select {
		case <-i.exited:
		default:
			out = append(out, i)
		}
	}
	return out
}

func (d *Deployment) ready(ctx context.Context) bool {
	for _, i := range d.running() {
		if getStatus(ctx, "http://"+i.admin()+"/readyz") != http.StatusOK {
			return false
		}
	}
	return true
}

// Room is the slots of a region and how many are free.
type Room struct {
	Slots int `json:"slots"`
	Free  int `json:"free"`
}

// Headroom returns the slots of each region that may be used, and how many of them
// no instance has in use.
func (d *Deployment) Headroom(ctx context.Context) map[string]Room {
	upstreams := make(map[string]upstream.Usage)
	for _, i := range d.running() {
		s, ok := d.status(ctx, i)
		if !ok {
			continue
		}
		for _, u := range s.Uses {
			u.InFlight += upstreams[u.Address].InFlight
			upstreams[u.Address] = u
		}
	}
	out := make(map[string]Room)
	for _, u := range upstreams {
		if u.Stopping {
			continue
		}
		room := out[u.Region]
		room.Slots += u.Slots
		room.Free += max(0, u.Slots-u.InFlight)
		out[u.Region] = room
	}
	return out
}

// Facts returns what the running workers have counted.
func (d *Deployment) Facts(ctx context.Context) []standin.Facts {
	var out []standin.Facts
	for _, s := range d.set.Services() {
		for _, w := range s.Workers() {
			var f standin.Facts
			if getInto(ctx, "http://"+shift(w.Address(), behindLink)+"/standin/facts", &f) == nil {
				out = append(out, f)
			}
		}
	}
	return out
}
