// Package entry is the callers' side of an instance: it answers look-ups,
// accepts requests, has them served and passes the answers back whole.
package entry

import (
	"sync"
	"time"

	"hickorydrum/roster"
	"hickorydrum/steering"
	"hickorydrum/upstream"
)

const (
	// roomLife is how long a report of room guides choices.
	roomLife   = 2 * time.Second
	firstDoubt = time.Second
	maxDoubt   = 8 * time.Second
)

// owner is an instance that owns upstreams of a service in a region.
type owner struct {
	member roster.Member
	slots  int
}

// directory tells which instances own the upstreams of a service in a region.
// It is computed from the roster and the declarations alone; an instance that
// does not own what the directory says refuses, and another one is tried.
type directory struct {
	table *steering.Table
	view  *roster.View

	mu     sync.Mutex
	owners map[place][]owner
}

// place is one service in one region.
type place struct {
	service string
	region  int
}

func newDirectory(table *steering.Table, view *roster.View) *directory {
	return &directory{table: table, view: view, owners: make(map[place][]owner)}
}

// at returns the owners in a region. They are computed at first use, since an
// instance steers to few of all places.
func (d *directory) at(p place) []owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	if owners, ok := d.owners[p]; ok {
		return owners
	}
	owners := d.compute(p)
	d.owners[p] = owners
	return owners
}

func (d *directory) compute(p place) []owner {
	service := d.table.ServiceNamed(p.service)
	region := d.table.Regions()[p.region]
	members := d.view.Serving(region)
	if service == nil || len(members) == 0 {
		return nil
	}
	slots := make(map[string]int)
	for _, w := range service.Workers() {
		if w.Region() != region {
			continue
		}
		first, _ := roster.First(w.Address(), members)
		slots[first.ID()] += w.Slots()
	}
	var owners []owner
	for _, m := range members {
		if n := slots[m.ID()]; n > 0 {
			owners = append(owners, owner{member: m, slots: n})
		}
	}
	return owners
}

// slots returns the declared slots of a service in a region that no drain empties.
func (d *directory) slots(p place, now time.Time) int {
	service := d.table.ServiceNamed(p.service)
	if service == nil {
		return 0
	}
	n := 0
	for _, w := range service.Workers() {
		if w.Region() == d.table.Regions()[p.region] && !d.table.Set().WorkerDrained(w, now) {
			n += w.Slots()
		}
	}
	return n
}

// rooms keeps what owners last told of their room, and how many requests this
// instance has sent since.
type rooms struct {
	mu   sync.Mutex
	last map[roomKey]*report
}

type roomKey struct {
	service string
	member  string
}

type report struct {
	room     upstream.Room
	until    time.Time
	inFlight int
	sent     int // since the report
	// doubtTill is set while the member is silent; every word of it ends that.
	doubtTill time.Time
	doubts    int // in a row
}

func newRooms() *rooms { return &rooms{last: make(map[roomKey]*report)} }

func (r *rooms) entry(k roomKey) *report {
	e, ok := r.last[k]
	if !ok {
		e = &report{}
		r.last[k] = e
	}
	return e
}

// candidate returns what is known of an owner.
func (r *rooms) candidate(k roomKey, slots int, failed bool, now time.Time) steering.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(k)
	if now.Before(e.doubtTill) {
		return steering.NewCandidate(slots, -slots, e.inFlight, failed)
	}
	if now.After(e.until) {
		return steering.NewCandidate(slots, slots, e.inFlight, failed)
	}
	if e.room.Slots == 0 {
		// It may have become open again; a report of none only makes it the last choice.
		return steering.NewCandidate(slots, -slots, e.sent, failed)
	}
	return steering.NewCandidate(max(1, e.room.Slots), e.room.Free, e.sent, failed)
}

func (r *rooms) begin(k roomKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(k)
	e.inFlight++
	e.sent++
}

func (r *rooms) end(k roomKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(k)
	e.inFlight--
	if e.sent > 0 {
		e.sent--
	}
}

func (r *rooms) told(k roomKey, room upstream.Room, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(k)
	e.room = room
	e.doubtTill, e.doubts = time.Time{}, 0
	e.until = now.Add(roomLife)
	e.sent = 0
}

// doubt notes that a member did not answer. It then comes last for a while, which
// grows with each doubt.
func (r *rooms) doubt(k roomKey, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(k)
	e.doubtTill = now.Add(min(firstDoubt<<min(e.doubts, 4), maxDoubt))
	e.doubts++
}

// silent returns the members that are in doubt for some service and have no
// word newer than that.
func (r *rooms) silent(now time.Time) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]bool)
	for k, e := range r.last {
		if now.Before(e.doubtTill) {
			out[k.member] = true
		}
	}
	return out
}

// busy returns the part of the slots in use among the owners of a place, as
// last told, and whether anything is known.
func (r *rooms) busy(service string, owners []owner, now time.Time) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slots, free := 0, 0
	for _, o := range owners {
		e := r.last[roomKey{service: service, member: o.member.ID()}]
		if e == nil || now.After(e.until) {
			continue
		}
		slots += e.room.Slots
		free += max(0, e.room.Free)
	}
	if slots == 0 {
		return 0, false
	}
	return 1 - float64(free)/float64(slots), true
}

// forget drops the reports of instances that are gone.
func (r *rooms) forget(view *roster.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, e := range r.last {
		m, ok := view.Member(k.member)
		if (!ok || m.State == roster.Gone) && e.inFlight == 0 {
			delete(r.last, k)
		}
	}
}
