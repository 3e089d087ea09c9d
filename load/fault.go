package load

import (
	"math"
	"time"
)

// faults returns the slowness and the failure rate. What was learnt long ago fades,
// so that an upstream that nobody uses any more is tried again.
func (g *upstreamState) faults(now time.Time) (slow, failing float64) {
	fade := math.Exp2(-float64(now.Sub(g.learntAt)) / float64(faultHalfLife))
	return 1 + fade*(g.slow-1), fade * g.failing
}

// fade takes the passing of time into what was learnt.
func (g *upstreamState) fade(now time.Time) {
	g.slow, g.failing = g.faults(now)
	g.learntAt = now
}

// refused takes in a refusal. One of an upstream whose queue is empty by its own word
// is a fault of it, and says nothing about its load.
func (g *upstreamState) refused(now time.Time) {
	if g.reportedAt.IsZero() || g.queued {
		g.fullTill = now.Add(shedPause)
		return
	}
	g.failed(now)
}

// failed takes in a failure.
func (g *upstreamState) failed(now time.Time) {
	g.fade(now)
	g.failing += failureSmoothing * (1 - g.failing)
}

func (g *upstreamState) unreachable(coldTime time.Duration, now time.Time) {
	g.failures++
	if g.failures < failuresToAvoid {
		return
	}
	wait := min(firstAvoid<<min(g.failures-failuresToAvoid, 4), maxAvoid)
	g.avoidTill = now.Add(wait)
	// An upstream that comes back may have started anew.
	g.chill(g.avoidTill.Add(coldTime))
	clear(g.objects)
	g.dialer.Drop()
}

// unslow forgets how slow the upstreams of a service are: it was learnt by comparison with
// times that were wrong. The lock is held.
func (b *Tracker) unslow(service string) {
	for _, g := range b.gauges {
		if g.service == service {
			g.slow = 1
		}
	}
}
