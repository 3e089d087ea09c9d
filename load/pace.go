package load

import "time"

// The load pattern that the pace answers: on a shared machine, slow spells in which work takes some
// 2.5 times as long as usual last for spell each and make up about 15% of the time.
const (
	spell = 600 * time.Millisecond
	// A pace outside [minPace, maxPace] counts as none: no shared machine is expected to be that
	// fast or slow, and a figure that is wrong must not change the learned times by much.
	minPace = 0.5
	maxPace = 5.0
	percent = 100.0
)

// pace is how long work takes on the machine of an upstream, by the latest report: 1 is as usual.
// It decides what a report means for the requests that are sent later, and for the service time of
// the response that carried it. A report within a spell is at a random point of it, so that on
// average half of the spell is over and half is left.
type pace struct {
	factor float64 // 0 if none was reported
	at     time.Time
}

// newPace returns the pace that was reported in percent at an instant. It is the usual one, which
// changes nothing, if the figure is not plausible.
func newPace(percents int, at time.Time) pace {
	factor := float64(percents) / percent
	if factor < minPace || factor > maxPace {
		return pace{at: at}
	}
	return pace{factor: factor, at: at}
}

// usual reports whether work takes as long as usual, as far as is known.
func (p pace) usual() bool { return p.factor == 0 || p.factor == 1 }

// slowdown returns the factor by which the usual service time of a request that is sent now is
// expected to grow. The request is slow only for what is left of the spell, so that the factor is
// nearer to 1 for a longer request and an older report, and 1 once the spell must be over.
func (p pace) slowdown(usual time.Duration, now time.Time) float64 {
	age := max(0, now.Sub(p.at))
	if p.usual() || age >= spell {
		return 1
	}
	unexpired := float64(spell-age) / float64(spell) // also the probability that the spell is not over
	slow := 1 + unexpired*(p.factor-1)
	if usual <= 0 {
		return slow
	}
	added := 1 + p.lost(spell/2)*unexpired*unexpired/float64(usual)
	if p.factor < 1 {
		return max(slow, added)
	}
	return min(slow, added)
}

// correct returns how long a request would have taken at the usual pace that took the given time
// and whose response reported this pace. At most the part of the spell that is over is corrected.
func (p pace) correct(took time.Duration) time.Duration {
	if p.usual() {
		return took
	}
	whole := time.Duration(float64(took) / p.factor)
	partly := took - time.Duration(p.lost(spell/2))
	if p.factor < 1 {
		return min(whole, partly)
	}
	return max(whole, partly)
}

// lost returns how much longer than usual, in nanoseconds, work takes that is done at this pace
// for the given time. It is negative for a pace that is faster than usual.
func (p pace) lost(slow time.Duration) float64 { return float64(slow) * (1 - 1/p.factor) }

// RecordPace records how long work takes on the machine of an upstream, in percent of the usual
// time, by a report made at an instant. An older report than the latest one, and one of an upstream
// that is not known, are dropped.
func (tr *Tracker) RecordPace(id string, percents int, at time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if s, ok := tr.states[id]; ok && !at.Before(s.pace.at) {
		s.pace = newPace(percents, at)
	}
}
