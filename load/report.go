package load

import (
	"slices"
	"time"

	"hickorydrum/fleet"
)

const (
	// reportFrom is the fraction of an upstream's slots from which its load is passed on to
	// other instances.
	reportFrom = 0.8
	// reportFor is the age up to which a load report of an upstream is passed on.
	reportFor = 1500 * time.Millisecond
	// maxReports bounds the load reports that are passed on at a time.
	maxReports = 24
)

// Report is the load that a nearly saturated upstream reported.
type Report struct {
	// Key is the hash by which all instances identify the upstream.
	Key uint32
	// Outstanding is how many requests were running and waiting there at the instant At, by
	// the clock of package time at this instance.
	Outstanding int
	At          time.Time
}

// key returns the hash by which all instances identify an upstream.
func key(u *fleet.Upstream) uint32 { return uint32(u.Hash()) }

// RecentReports returns the recent load reports of upstreams that are nearly saturated,
// the newest first, at most maxReports. They include those of other instances.
func (tr *Tracker) RecentReports(now time.Time) []Report {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var out []Report
	for _, s := range tr.states {
		if now.Sub(s.reportedAt) < reportFor && s.reported >= reportFrom*float64(s.slots) {
			out = append(out, Report{Key: s.key, Outstanding: int(s.reported), At: s.reportedAt})
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return b.At.Compare(a.At) })
	return out[:min(len(out), maxReports)]
}

// MergeReports applies load reports of other instances that are newer than those that this
// instance has. With many instances each one sends to an upstream seldom, so that alone it
// would notice a queue only by waiting in it.
func (tr *Tracker) MergeReports(reports []Report) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, r := range reports {
		s, ok := tr.byKey[r.Key]
		if !ok || !r.At.After(s.reportedAt) {
			continue
		}
		s.reported, s.reportedOwn, s.reportedAt, s.queued = float64(r.Outstanding), s.inFlight, r.At, r.Outstanding > s.slots
	}
}
