package load

import (
	"time"

	"hickorydrum/fleet"
)

// markCold marks the upstream as cold until an instant. It never shortens the time. The
// lock is held.
func (s *upstreamState) markCold(till time.Time) {
	if till.After(s.coldTill) {
		s.coldTill = till
	}
}

// MarkCold marks the upstreams for which which returns true as cold until an instant.
func (tr *Tracker) MarkCold(view *fleet.View, till time.Time, which func(u *fleet.Upstream) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, s := range tr.states {
		if u, ok := view.Upstream(id); ok && which(u) {
			s.markCold(till)
		}
	}
}

// ColdShare is the rate of requests that this instance may send to a cold upstream.
type ColdShare struct {
	PerSecond float64
	Burst     float64
}
