package load

import (
	"time"

	"hickorydrum/fleet"
)

// markCold marks the upstream as cold until an instant. It never shortens the cold period.
// The tracker's lock must be held.
func (s *upstreamState) markCold(until time.Time) {
	if until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// MarkCold marks as cold, until an instant, the upstreams of the view for which selects
// returns true. selects is called with the tracker's lock held.
func (tr *Tracker) MarkCold(view *fleet.View, until time.Time, selects func(u *fleet.Upstream) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, s := range tr.states {
		if u, ok := view.Upstream(id); ok && selects(u) {
			s.markCold(until)
		}
	}
}

// ColdShare is the share of a cold upstream's request rate that this instance may use: the
// rate and the size of a token bucket.
type ColdShare struct {
	PerSecond float64 // requests
	Burst     float64 // requests
}
