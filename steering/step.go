package steering

import (
	"math"
	"time"

	"hickorydrum/declaration"
)

// Advance moves the flow towards the goal, a share for each region, by at most
// one step. It reports whether traffic moved. Steps are at least an interval
// apart, so that no window of that length, wherever it begins, contains two.
func (f *Flow) Advance(now time.Time, goal []float64, step declaration.Step) bool {
	if step.Share() <= 0 || len(goal) != f.regions {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	cur := f.placement.Load()
	if cur == nil && goal[f.homeRegion] >= 1-goalTolerance {
		return false
	}
	if cur != nil && now.Before(cur.stepAt.Add(step.Interval())) {
		return false
	}
	deferred := f.deferredShare(cur)
	if deferred > step.Share()/2 {
		f.extendStep(cur, now, step.Share())
		return true
	}
	next, moved := f.nextPlacement(cur, goal, step.Share()-deferred)
	if !moved {
		f.commitStep(cur)
		return false
	}
	next.stepAt = now
	next.movedLimit = step.Share() - deferred
	f.startStep(next)
	return true
}

// deferredShare returns the share of the requests since the last step that its
// limit kept in the old region although other requests of their buckets moved.
// They move when the step ends.
func (f *Flow) deferredShare(cur *Placement) float64 {
	total := f.totalRequests.Load()
	if total == 0 || cur == nil {
		return 0
	}
	deferred := uint32(0)
	for b := range Buckets {
		if !f.fullyDeferred(cur, b) {
			deferred += f.deferred[b].Load()
		}
	}
	return float64(deferred) / float64(total)
}

// fullyDeferred reports whether the last step moved a bucket but its limit has
// deferred every request. Such a bucket counts as moved by the next step.
func (f *Flow) fullyDeferred(cur *Placement, b int) bool {
	return cur.fraction[b] != cur.prevFraction[b] && f.admitted[b].Load() == 0 && f.deferred[b].Load() > 0
}

// extendStep gives the last step another interval when its buckets have more
// traffic than their weights predicted. In that interval the share of moved
// requests may exceed the previous limit by one more share.
func (f *Flow) extendStep(cur *Placement, now time.Time, share float64) {
	next := *cur
	next.stepAt = now
	next.movedLimit = cur.movedLimit + share
	f.startStep(&next)
}

// commitStep ends the last step: its traffic stays in the new regions and no longer
// counts as moved, except in buckets that are fully deferred.
func (f *Flow) commitStep(cur *Placement) {
	if cur == nil || cur.committed {
		return
	}
	next := *cur
	for b := range Buckets {
		if !f.fullyDeferred(cur, b) {
			next.prevFraction[b] = next.fraction[b]
		}
	}
	next.committed = true
	f.resetStepCounters()
	f.placement.Store(&next)
}

func (f *Flow) resetStepCounters() {
	for b := range Buckets {
		f.admitted[b].Store(0)
		f.deferred[b].Store(0)
	}
}

// startStep puts a placement in force and resets the counters.
func (f *Flow) startStep(next *Placement) {
	// The old placement stays in force until the counters are reset, which can
	// only defer requests that the old step moved.
	f.movedRequests.Store(0)
	f.resetStepCounters()
	f.totalRequests.Store(0)
	f.movedBytes.Store(0)
	f.totalBytes.Store(0)
	f.placement.Store(next)
	for b := range Buckets {
		f.bucketRequests[b].Store(f.bucketRequests[b].Load() / 2)
		f.bucketKiB[b].Store(f.bucketKiB[b].Load() / 2)
	}
}

// nextPlacement returns the placement that is nearer to the goal by one step, which
// may move at most the budget, a share of the traffic. It also returns whether the
// step moves traffic. cur is nil as long as no traffic has left the home region.
func (f *Flow) nextPlacement(cur *Placement, goal []float64, budget float64) (*Placement, bool) {
	if cur == nil {
		cur = newPlacement(func(int) uint8 { return f.homeRegion })
	}
	next := *cur
	next.committed = false
	m := &mover{next: &next, weights: f.weights(), goal: goal, budget: weight{budget, budget, budget}}
	m.excess = make([]float64, f.regions)
	next.addShares(m.weights, m.excess)
	for r := range m.excess {
		m.excess[r] -= goal[r]
	}
	for b := range Buckets {
		if !f.fullyDeferred(cur, b) {
			next.prevFraction[b] = next.fraction[b]
			continue
		}
		m.chargeMove(b, cur.previous[b], cur.previous[b], math.Abs(float64(cur.fraction[b]-cur.prevFraction[b])))
	}
	m.run()
	return &next, m.moved
}
