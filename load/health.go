package load

import (
	"math"
	"time"
)

// decayedHealth returns the slowdown and the failure rate of the upstream. Both decay with
// the time since their last update, so that an upstream that is no longer used is tried
// again.
func (s *upstreamState) decayedHealth(now time.Time) (slowdown, failureRate float64) {
	decay := math.Exp2(-float64(now.Sub(s.healthAt)) / float64(healthHalfLife))
	return 1 + decay*(s.slowdown-1), decay * s.failureRate
}

// decayHealth applies the decay up to now to the slowdown and the failure rate, before an
// update.
func (s *upstreamState) decayHealth(now time.Time) {
	s.slowdown, s.failureRate = s.decayedHealth(now)
	s.healthAt = now
}

// refused records that the upstream refused a request. If it has reported that no requests
// wait there, the refusal is a fault of the upstream and does not show that it is full.
func (s *upstreamState) refused(now time.Time) {
	if s.reportedAt.IsZero() || s.queued {
		s.fullUntil = now.Add(fullAfterRefusal)
		return
	}
	s.failed(now)
}

// failed records that the upstream failed a request.
func (s *upstreamState) failed(now time.Time) {
	s.decayHealth(now)
	s.failureRate += failureSmoothing * (1 - s.failureRate)
}

// unreachable records a failed connection. After failuresToAvoid in a row the upstream is
// avoided for a while and, as it may have restarted, counts as cold for coldPeriod after that.
func (s *upstreamState) unreachable(coldPeriod time.Duration, now time.Time) {
	s.failures++
	if s.failures < failuresToAvoid {
		return
	}
	wait := min(firstAvoid<<min(s.failures-failuresToAvoid, 4), maxAvoid)
	s.avoidUntil = now.Add(wait)
	// The upstream may have restarted when it can be reached again.
	s.markCold(s.avoidUntil.Add(coldPeriod))
	clear(s.objects)
	s.dialer.CloseIdle()
}

// resetSlowdown resets the slowdown of all upstreams of a service, after the mean times
// that it was measured against proved wrong. tr.mu must be held.
func (tr *Tracker) resetSlowdown(service string) {
	for _, s := range tr.states {
		if s.service == service {
			s.slowdown = 1
		}
	}
}
