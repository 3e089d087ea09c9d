// Package roster keeps the list of instances and their states, decides which
// instance owns a key, such as an upstream, and detects instances that ended.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickorydrum/steering"
)

// State is the state of a member. It only changes to a later one in the order of
// the constants.
type State uint8

// The states of a member.
const (
	Joining State = iota + 1 // runs, but is not registered as live yet
	Live                     // registered as live
	Leaving                  // a planned stop has begun
	Gone                     // the process has ended
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Joining:
		return "joining"
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Member is one incarnation of an instance, that is, one run of its process. A
// restarted instance is another member.
type Member struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Run    string `cbor:"2,keyasint" json:"run"` // id of the incarnation
	Region string `cbor:"3,keyasint" json:"region"`
	Domain string `cbor:"4,keyasint" json:"domain"` // failure domain
	Caller string `cbor:"5,keyasint" json:"caller"` // address for callers
	Peer   string `cbor:"6,keyasint" json:"peer"`   // address for other instances
	Probe  string `cbor:"7,keyasint" json:"probe"`  // address that a Watcher of the member listens on
	State  State  `cbor:"8,keyasint" json:"state"`
}

// ID returns the name of the instance and the id of its incarnation.
func (m Member) ID() string { return m.Name + "/" + m.Run }

// View is an immutable list of members. Callers must not modify what its methods
// return.
type View struct {
	members []Member // sorted by id
	byID    map[string]Member
	digests map[string]uint64 // by failure domain
	digest  uint64            // over all failure domains
}

func newView(byID map[string]Member) *View {
	v := &View{byID: byID}
	for _, m := range byID {
		v.members = append(v.members, m)
	}
	slices.SortFunc(v.members, func(a, b Member) int { return cmp.Compare(a.ID(), b.ID()) })
	v.digests = make(map[string]uint64)
	for _, m := range v.members {
		if m.State == Gone {
			continue // instances remove gone members at different times
		}
		// The hashes are added, since a sum does not depend on the order.
		h := xxhash.Sum64String(m.ID() + "/" + strconv.Itoa(int(m.State)))
		v.digests[m.Domain] += h
		v.digest += h
	}
	return v
}

// Digest returns a hash of the members that are not gone and of their states.
func (v *View) Digest() uint64 { return v.digest }

// Digests returns the same hash for each failure domain, over its members alone.
func (v *View) Digests() map[string]uint64 { return v.digests }

// Differing returns the members of the failure domains whose digests differ from
// the given ones of another instance.
func (v *View) Differing(theirs map[string]uint64) []Member {
	return v.filter(func(m Member) bool { return v.digests[m.Domain] != theirs[m.Domain] })
}

// Members returns every member, including those that are gone, sorted by id.
func (v *View) Members() []Member { return v.members }

// Member returns the member with the id and whether there is one.
func (v *View) Member(id string) (Member, bool) {
	m, ok := v.byID[id]
	return m, ok
}

// Serving returns the live members of a region or, if there are none, the leaving
// ones.
func (v *View) Serving(region string) []Member {
	live := v.filter(func(m Member) bool { return m.Region == region && m.State == Live })
	if len(live) > 0 {
		return live
	}
	return v.filter(func(m Member) bool { return m.Region == region && m.State == Leaving })
}

// Present returns the members of a region that are not gone.
func (v *View) Present(region string) []Member {
	return v.filter(func(m Member) bool { return m.Region == region && m.State != Gone })
}

// Domain returns the live members of a failure domain.
func (v *View) Domain(domain string) []Member {
	return v.filter(func(m Member) bool { return m.Domain == domain && m.State == Live })
}

// Live returns the live members of every region.
func (v *View) Live() []Member {
	return v.filter(func(m Member) bool { return m.State == Live })
}

// AllPresent returns the members of every region that are not gone.
func (v *View) AllPresent() []Member {
	return v.filter(func(m Member) bool { return m.State != Gone })
}

func (v *View) filter(keep func(Member) bool) []Member {
	var out []Member
	for _, m := range v.members {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}

// Rank orders members for a key, such as the address of an upstream, by rendezvous
// hashing: the first owns the key, the second is its successor. If a member
// leaves, the order of the others stays the same.
func Rank(key string, members []Member) []Member {
	type ranked struct {
		member Member
		rank   uint64
	}
	order := make([]ranked, len(members))
	for i, m := range members {
		order[i] = ranked{member: m, rank: steering.Rank(key, m.ID())}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.member.ID(), b.member.ID()))
	})
	out := make([]Member, len(order))
	for i, r := range order {
		out[i] = r.member
	}
	return out
}

// OwnerAndSuccessor returns the first two members in the order of Rank. It does not
// sort the others, since it is called for each of the many keys of a region. A
// Member without a name stands for none.
func OwnerAndSuccessor(key string, members []Member) (owner, successor Member) {
	var ownerRank, successorRank uint64
	for _, m := range members {
		rank := steering.Rank(key, m.ID())
		switch {
		case owner.Name == "" || rank > ownerRank:
			successor, successorRank = owner, ownerRank
			owner, ownerRank = m, rank
		case successor.Name == "" || rank > successorRank:
			successor, successorRank = m, rank
		}
	}
	return owner, successor
}

// Roster holds the current View and calls listeners after each change.
type Roster struct {
	mu        sync.Mutex
	goneSince map[string]time.Time // by id, when this instance learned that the member is gone
	self      Member
	view      *View
	listeners []func(*View)
}

// New returns a roster whose only member is the instance itself.
func New(self Member) *Roster {
	return &Roster{
		self: self, view: newView(map[string]Member{self.ID(): self}), goneSince: make(map[string]time.Time),
	}
}

// Self returns the member of this instance.
func (r *Roster) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// View returns the current view.
func (r *Roster) View() *View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// OnChange registers a function that is called with the new view after each change.
// The lock is not held then. The calls for concurrent changes may come in either
// order; View returns the newest view.
func (r *Roster) OnChange(f func(*View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, f)
}

// Merge adds members that another instance or the platform reported and updates
// those whose reported state is later. It ignores reports about this instance,
// which alone decides its own state, and gone members that are not in the view. It
// reports whether anything changed.
func (r *Roster) Merge(members []Member) bool {
	r.mu.Lock()
	next := maps.Clone(r.view.byID)
	changed := false
	for _, m := range members {
		id := m.ID()
		old, ok := next[id]
		if id == r.self.ID() || ok && old.State >= m.State || m.Name == "" || m.Run == "" || !ok && m.State == Gone {
			continue
		}
		if m.State == Gone {
			r.goneSince[id] = time.Now()
		}
		next[id] = m
		changed = true
	}
	if !changed {
		r.mu.Unlock()
		return false
	}
	r.publish(next)
	return true
}

// SetSelf changes the state of this instance, unless it is in that state or a later one already.
func (r *Roster) SetSelf(state State) {
	r.mu.Lock()
	if state <= r.self.State {
		r.mu.Unlock()
		return
	}
	r.self.State = state
	next := maps.Clone(r.view.byID)
	next[r.self.ID()] = r.self
	r.publish(next)
}

// publish replaces the view and calls the listeners. The lock is held when it is
// called; publish releases it before it calls the listeners.
func (r *Roster) publish(next map[string]Member) {
	r.view = newView(next)
	view, listeners := r.view, slices.Clone(r.listeners)
	r.mu.Unlock()
	for _, f := range listeners {
		f(view)
	}
}

// MarkGone sets the state of the member with the id to Gone. The caller must have
// evidence that the member's process has ended. It reports whether the state
// changed.
func (r *Roster) MarkGone(id string) bool {
	m, ok := r.View().Member(id)
	if !ok || m.State == Gone {
		return false
	}
	m.State = Gone
	return r.Merge([]Member{m})
}

// PruneGone removes the members that this instance learned to be gone before the
// given time, so that the list does not grow without bound.
func (r *Roster) PruneGone(before time.Time) {
	r.mu.Lock()
	next := maps.Clone(r.view.byID)
	for id, at := range r.goneSince {
		if at.Before(before) {
			delete(next, id)
			delete(r.goneSince, id)
		}
	}
	r.publish(next)
}
