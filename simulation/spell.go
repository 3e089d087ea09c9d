package simulation

import (
	"math/rand/v2"
	"time"
)

// usualPace is the pace in percent that an upstream reports outside slow spells.
const usualPace = 100

// Spells describes the slow spells of the machines that upstreams share with others. Each upstream
// has its own.
type Spells struct {
	// Length is the mean length of a spell, which varies by half of it.
	Length time.Duration
	// Share is the fraction of the time in which an upstream is in a spell; 0 if there are none.
	Share float64
	// Factor is how much longer work takes in a spell.
	Factor float64
	// Reported states that the upstreams report their pace.
	Reported bool
	// SharedAfter is how long after an instance received a pace all others have it too; 0 if
	// instances do not share paces.
	SharedAfter time.Duration
}

// span is a span of time since the start of the simulation.
type span struct{ from, to time.Duration }

// draw returns the spells of one upstream, in order, up to the time until.
func (s *Spells) draw(until time.Duration, random *rand.Rand) []span {
	if s.Share <= 0 {
		return nil
	}
	between := float64(s.Length) * (1 - s.Share) / s.Share
	var out []span
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * between)
		if at >= until {
			return out
		}
		to := at + time.Duration(float64(s.Length)*(0.5+random.Float64()))
		out = append(out, span{at, to})
		at = to
	}
}

// inSpell reports whether the upstream is in a slow spell.
func (u *upstream) inSpell() bool {
	now := u.simulator.elapsed()
	for _, one := range u.spells {
		if now >= one.from && now < one.to {
			return true
		}
	}
	return false
}

// pace returns the pace that the upstream reports, in percent, and 0 if it reports none.
func (u *upstream) pace() int {
	s := &u.simulator.pattern.Spells
	switch {
	case !s.Reported:
		return 0
	case u.inSpell():
		return int(s.Factor * usualPace)
	default:
		return usualPace
	}
}

// lasts returns how long work takes that starts now and takes the given time without spells.
func (u *upstream) lasts(work time.Duration) time.Duration {
	start := u.simulator.elapsed()
	now := start
	for _, one := range u.spells {
		if one.to <= now {
			continue
		}
		if now+work <= one.from {
			break
		}
		if now < one.from {
			work -= one.from - now
			now = one.from
		}
		slow := time.Duration(float64(work) * u.simulator.pattern.Spells.Factor)
		if now+slow <= one.to {
			return now + slow - start
		}
		work -= time.Duration(float64(one.to-now) / u.simulator.pattern.Spells.Factor)
		now = one.to
	}
	return now + work - start
}

// recordPace records at an instance, and later at the others if they share it, the pace that an
// attempt's response reports.
func (c *call) recordPace(a *attempt, pace int) {
	s := c.simulator
	if pace == 0 {
		return
	}
	at := s.now
	c.instance.planner.RecordPace(a.upstream.entry, pace, at)
	if s.pattern.Spells.SharedAfter <= 0 {
		return
	}
	s.after(s.pattern.Spells.SharedAfter, func() {
		for _, other := range s.instances {
			other.planner.RecordPace(a.upstream.entry, pace, at)
		}
	})
}
