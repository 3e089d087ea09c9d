package load

import (
	"time"

	"hickorydrum/fleet"
)

// chill notes that the upstream is cold until an instant.
func (g *upstreamState) chill(till time.Time) {
	if till.After(g.coldTill) {
		g.coldTill = till
	}
}

// MarkCold notes that the upstreams for which the function holds are cold until an
// instant.
func (b *Tracker) MarkCold(view *fleet.View, till time.Time, which func(u *fleet.Upstream) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, g := range b.gauges {
		if u, ok := view.Upstream(id); ok && which(u) {
			g.chill(till)
		}
	}
}

// ColdShare is this instance's part of what a cold upstream bears.
type ColdShare struct {
	PerSecond float64
	Burst     float64
}
