package load

import (
	"math"
	"time"
)

// faults returns the slowdown and the failure rate of the upstream. Both decay with the
// time since their last update, so that an upstream that is no longer used is tried again.
func (s *upstreamState) faults(now time.Time) (slowdown, failureRate float64) {
	decay := math.Exp2(-float64(now.Sub(s.faultsAt)) / float64(faultHalfLife))
	return 1 + decay*(s.slowdown-1), decay * s.failureRate
}

// decayFaults applies the decay up to now to the slowdown and the failure rate, before an
// update.
func (s *upstreamState) decayFaults(now time.Time) {
	s.slowdown, s.failureRate = s.faults(now)
	s.faultsAt = now
}

// refused records that the upstream refused a request. If it has reported that no requests
// wait there, the refusal is a fault of the upstream and does not show that it is full.
func (s *upstreamState) refused(now time.Time) {
	if s.reportedAt.IsZero() || s.queued {
		s.fullTill = now.Add(shedPause)
		return
	}
	s.failed(now)
}

// failed records that the upstream failed a request.
func (s *upstreamState) failed(now time.Time) {
	s.decayFaults(now)
	s.failureRate += failureSmoothing * (1 - s.failureRate)
}

func (s *upstreamState) unreachable(coldTime time.Duration, now time.Time) {
	s.failures++
	if s.failures < failuresToAvoid {
		return
	}
	wait := min(firstAvoid<<min(s.failures-failuresToAvoid, 4), maxAvoid)
	s.avoidTill = now.Add(wait)
	// The upstream may have restarted when it can be reached again.
	s.markCold(s.avoidTill.Add(coldTime))
	clear(s.objects)
	s.dialer.CloseIdle()
}

// resetSlowdown resets the slowdown of all upstreams of a service, after the mean times
// that it was measured against proved wrong. The lock is held.
func (tr *Tracker) resetSlowdown(service string) {
	for _, s := range tr.states {
		if s.service == service {
			s.slowdown = 1
		}
	}
}
