package simulation

import (
	"encoding/binary"
	"net/netip"
	"time"

	"hickorydrum/limit"
	"hickorydrum/load"
)

// limitsDelay is how long what instances exchange about limits takes to reach the others.
const limitsDelay = 300 * time.Millisecond

// namedLimit returns the limit that an upstream of a service names at a time, in requests a
// second, and whether it names one.
func (p *Pattern) namedLimit(at time.Duration, service string, rank float64) (perSecond float64, named bool) {
	for _, d := range p.Disruptions {
		if d.Kind == Limit && at >= d.At && at < d.At+d.Duration && (d.Service == "" || d.Service == service) && rank < d.Share {
			return d.Factor, true
		}
	}
	return 0, false
}

// exchangeLimits reports the offers of all instances to one holder and gives its fractions to
// all of them.
func (s *simulator) exchangeLimits() {
	known := make(map[limit.ID]limit.State)
	for i, inst := range s.instances {
		for _, one := range inst.tracker.Limits(s.now.Add(-shareInterval), s.now) {
			s.holder.Record(instanceAddress(i), one.Demand, &one.State, s.now)
			state, ok := known[one.State.ID]
			if !ok {
				state = limit.State{ID: one.State.ID}
			}
			state.Merge(&one.State)
			known[state.ID] = state
		}
	}
	var states []limit.State
	for id, state := range known {
		if held, ok := s.holder.State(id, 1, s.now); ok {
			state.Merge(&held)
		}
		states = append(states, state)
	}
	s.after(limitsDelay, func() {
		for _, inst := range s.instances {
			inst.tracker.MergeLimits(states)
		}
	})
}

// instanceAddress returns an address that stands for an instance.
func instanceAddress(i int) netip.Addr {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], uint32(i+1))
	return netip.AddrFrom4(address)
}

// recordLimit records at an instance what the response to an attempt says of the limit.
func (c *call) recordLimit(a *attempt, outcome load.Outcome) {
	if outcome != load.Answered && outcome != load.Refused {
		return
	}
	s := c.simulator
	perSecond, named := s.pattern.namedLimit(s.elapsed(), a.upstream.service.Name, a.upstream.rank)
	c.instance.planner.RecordLimit(a.upstream.entry, limit.Response{
		Named: named, PerSecond: perSecond, Executed: outcome == load.Answered, SentAt: a.sentAt,
	}, s.now)
}
