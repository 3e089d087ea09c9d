package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/fleet"
	"hickorydrum/limit"
)

// maxLimits bounds the limits that are exchanged with other instances at a time.
const maxLimits = 32

var (
	// sentLimited counts the requests that this instance sent to upstreams with a limit, and
	// heldBack those that the limit kept from one.
	sentLimited = metrics.GetOrCreateCounter(`hickorydrum_limited_sends_total`)
	heldBack    = metrics.GetOrCreateCounter(`hickorydrum_limited_refusals_total`)
)

// Limit is the limit of an upstream, with this instance's part in it.
type Limit struct {
	Upstream string // id
	State    limit.State
	Demand   limit.Demand
}

// newGate returns the gate to an upstream that has just been added.
func newGate(u *fleet.Upstream) *limit.Gate {
	return limit.NewGate(limit.ID{Key: u.Hash(), StartMillis: u.StartMillis}, u.Domain, rand.Float64())
}

// RecordLimit records what the response of an upstream says of its limit. It returns the
// limit and whether it changed.
func (tr *Tracker) RecordLimit(u *fleet.Upstream, r limit.Response, now time.Time) (limit.State, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s, ok := tr.states[u.ID]
	if !ok || s.startMillis != u.StartMillis {
		return limit.State{}, false
	}
	changed := s.gate.Record(r, now)
	return s.gate.State(), changed
}

// Offer reports whether the limit of an upstream lets this instance send it one more request.
// It counts the request as offered. instances returns how many instances may be running.
func (tr *Tracker) Offer(u *fleet.Upstream, instances func() int, now time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s, ok := tr.states[u.ID]
	if !ok {
		return true // Begin refuses it
	}
	if !s.gate.Offer(now, instances) {
		heldBack.Inc()
		return false
	}
	if s.gate.State().InForce {
		sentLimited.Inc()
	}
	return true
}

// RetryAt returns when this instance expects to have room for one more request to an
// upstream with a limit. See limit.Gate.
func (tr *Tracker) RetryAt(id string, until time.Time, instances func() int, now time.Time) time.Time {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s, ok := tr.states[id]
	if !ok {
		return now
	}
	return s.gate.RetryAt(until, now, instances)
}

// Limits returns the limits to exchange with other instances: those in force, and those that
// ended since the given instant. If there are more than maxLimits, it returns those to whose
// upstreams this instance offers most.
func (tr *Tracker) Limits(endedSince, now time.Time) []Limit {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var out []Limit
	for _, s := range tr.states {
		state := s.gate.State()
		if state.InForce || state.NamedAt.After(endedSince) {
			out = append(out, Limit{Upstream: s.id, State: state, Demand: s.gate.Demand(now)})
		}
	}
	slices.SortFunc(out, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(b.Demand.Offers.Mean, a.Demand.Offers.Mean), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out[:min(len(out), maxLimits)]
}

// MergeLimits applies what other instances know of limits. It returns the limits that it
// changed.
func (tr *Tracker) MergeLimits(states []limit.State) []Limit {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var changed []Limit
	for i := range states {
		s, ok := tr.byKey[uint32(states[i].ID.Key)]
		if ok && s.gate.Merge(&states[i]) {
			changed = append(changed, Limit{Upstream: s.id, State: s.gate.State()})
		}
	}
	return changed
}
