package load

import (
	"slices"
	"time"

	"hickorydrum/fleet"
)

const (
	// crowdedFrom is the part of an upstream's slots in use from which others are told.
	crowdedFrom = 0.8
	// crowdedFor is for how long others are told what an upstream told.
	crowdedFor = 1500 * time.Millisecond
	// mostCrowded is of how many upstreams others are told at most.
	mostCrowded = 24
)

// Report is the load of an upstream that has few slots free, by its own word.
type Report struct {
	// Key names the upstream among the instances.
	Key uint32
	// Outstanding is how many requests ran and waited there at an instant.
	Outstanding int
	At   time.Time
}

// key returns what names an upstream among the instances.
func key(u *fleet.Upstream) uint32 { return uint32(u.Hash()) }

// RecentReports returns the upstreams that were recently found crowded, those first that were
// heard of last.
func (b *Tracker) RecentReports(now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Report
	for _, g := range b.gauges {
		if now.Sub(g.reportedAt) < crowdedFor && g.reported >= crowdedFrom*float64(g.slots) {
			out = append(out, Report{Key: g.key, Outstanding: int(g.reported), At: g.reportedAt})
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return b.At.Compare(a.At) })
	return out[:min(len(out), mostCrowded)]
}

// MergeReports takes in what other instances found. With many instances each one meets an
// upstream seldom, so that alone it would learn of a queue only by waiting in it.
func (b *Tracker) MergeReports(crowds []Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range crowds {
		g, ok := b.byKey[c.Key]
		if !ok || !c.At.After(g.reportedAt) {
			continue
		}
		g.reported, g.reportedOwn, g.reportedAt, g.queued = float64(c.Outstanding), g.inFlight, c.At, c.Outstanding > g.slots
	}
}
