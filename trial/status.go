package trial

import (
	"context"
	"net/http"

	"hickorydrum/instance"
	"hickorydrum/standin"
	"hickorydrum/upstream"
)

// status returns the status of an instance, or false if its admin endpoint does not
// answer.
func (d *Deployment) status(ctx context.Context, i *instanceProcess) (instance.Status, bool) {
	var s instance.Status
	return s, getJSON(ctx, "http://"+i.admin()+"/status", &s) == nil
}

// runningInstances returns the instances whose process has not exited.
func (d *Deployment) runningInstances() []*instanceProcess {
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

// ready reports whether every running instance is ready.
func (d *Deployment) ready(ctx context.Context) bool {
	for _, i := range d.runningInstances() {
		if getStatusCode(ctx, "http://"+i.admin()+"/readyz") != http.StatusOK {
			return false
		}
	}
	return true
}

// RegionSlots is the number of slots of a region and how many of them are free.
type RegionSlots struct {
	Slots int `json:"slots"`
	Free  int `json:"free"`
}

// Headroom returns the slots of each region, without upstreams that are stopping, and
// how many of them no running instance has in use.
func (d *Deployment) Headroom(ctx context.Context) map[string]RegionSlots {
	usage := make(map[string]upstream.Usage)
	for _, i := range d.runningInstances() {
		s, ok := d.status(ctx, i)
		if !ok {
			continue
		}
		for _, u := range s.Uses {
			u.InFlight += usage[u.Address].InFlight
			usage[u.Address] = u
		}
	}
	out := make(map[string]RegionSlots)
	for _, u := range usage {
		if u.Stopping {
			continue
		}
		slots := out[u.Region]
		slots.Slots += u.Slots
		slots.Free += max(0, u.Slots-u.InFlight)
		out[u.Region] = slots
	}
	return out
}

// UpstreamStats returns the counters of the upstreams that are running.
func (d *Deployment) UpstreamStats(ctx context.Context) []standin.Stats {
	var out []standin.Stats
	for _, s := range d.set.Services() {
		for _, w := range s.Workers() {
			var f standin.Stats
			if getJSON(ctx, "http://"+shiftPort(w.Address(), processPortOffset)+"/standin/facts", &f) == nil {
				out = append(out, f)
			}
		}
	}
	return out
}
