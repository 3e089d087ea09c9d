package gossip

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"hickorydrum/limit"
)

func (s *simulation) deliverLimits(to *simInstance, d delivery) {
	if to.old {
		return
	}
	m, err := decodeLimits(d.data)
	if err != nil {
		panic(err)
	}
	replies, states := to.view.handleLimits(m, d.from, s.now)
	s.post(to, replies)
	to.mergeLimits(states)
}

func (p *simInstance) mergeLimits(states []limit.State) {
	for _, state := range states {
		known, ok := p.limits[state.ID]
		if !ok {
			known = limit.State{ID: state.ID, Domain: state.Domain}
		}
		known.Merge(&state)
		if p.limits == nil {
			p.limits = make(map[limit.ID]limit.State)
		}
		p.limits[state.ID] = known
	}
}

// exchange has each instance that knows a limit exchange it, with an equal part of the demand.
func (s *simulation) exchange(total float64) {
	for _, p := range s.members {
		if p.down || p.cut || p.paused || p.old {
			continue
		}
		var states []limit.State
		var demands []limit.Demand
		for _, state := range p.limits {
			states = append(states, state)
			each := total / float64(len(s.members))
			demands = append(demands, limit.Demand{
				ID: state.ID, Domain: state.Domain, Offers: limit.Rates{Mean: each, Recent: each},
			})
		}
		s.post(p, p.view.exchangeLimits(states, demands, s.now))
		p.mergeLimits(states)
	}
}

// playLimits plays for a time, with an exchange every half second.
func (s *simulation) playLimits(d time.Duration, demand float64) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.exchange(demand)
		s.play(500*time.Millisecond, nil)
	}
}

// TestLimitHolder guards against a limit that only the instances know which got it from the
// upstream, and against one whose offers nobody adds up: the first instance alone learns of it,
// then instances fail or are of an earlier version.
func TestLimitHolder(t *testing.T) {
	const (
		limited, demand = 6.0, 24.0
		over            = 1.5 // multiple of the limit that the upstream bears
		learnt          = 6 * time.Second
		noticed         = 14 * time.Second // by then another failure domain stands in
		newest          = 3 * time.Second
	)
	id := limit.ID{Key: 42, StartMillis: 1}
	scenarios := map[string]func(s *simulation){
		"calm":  func(*simulation) {},
		"lossy": func(s *simulation) { s.loss = 0.2 },
		"the holder dies": func(s *simulation) {
			s.byIP[s.members[0].view.first(id.Key, (*Member).serves, s.now)].down = true
		},
		"the failure domain of the upstream is cut off": func(s *simulation) {
			for i, p := range s.members {
				p.cut = i%len(s.regions) == 0
			}
		},
		"one is an old one": func(s *simulation) { s.members[1].old = true },
	}
	sizes := map[string]struct{ instances, domains int }{"12": {12, 6}, "77": {77, 6}, "195": {195, 9}}
	for size, n := range sizes {
		for name, upset := range scenarios {
			t.Run(size+" "+name, func(t *testing.T) {
				t.Parallel()
				skipUnderRace(t)
				s := newSimulation(n.instances, n.domains, 3)
				s.play(4*time.Second, nil)
				s.members[n.domains+1].mergeLimits([]limit.State{{
					ID: id, Domain: domainName(0), InForce: true, PerSecond: limited, NamedAt: s.now,
				}})
				s.playLimits(learnt, demand)
				upset(s)
				s.playLimits(noticed, demand)
				for i, p := range s.members {
					if p.down || p.cut || p.old {
						continue
					}
					state, ok := p.limits[id]
					if age := s.now.Sub(state.FractionAt); !ok || age > newest {
						t.Errorf("instance %d: the fraction is %s old", i, age)
						continue
					}
					if state.Fraction > over*limited/demand || state.Fraction < limited/demand/2 {
						t.Errorf("instance %d: the fraction is %.3f, want about %.2f", i, state.Fraction, limited/demand)
					}
				}
			})
		}
	}
}

// TestLimitDatagram guards against limits that a datagram changes, and against a format that
// earlier versions would take for a heartbeat.
func TestLimitDatagram(t *testing.T) {
	v := newTestView()
	now := epoch.Add(time.Minute)
	want := limit.State{
		ID: limit.ID{Key: math.MaxUint64, StartMillis: 12}, Domain: "two", InForce: true, PerSecond: 0.25,
		NamedAt: now.Add(-time.Second), Fraction: 1, FractionAt: now.Add(-2 * time.Second), Holder: addressOf(9), Reported: 1.5,
	}
	m := v.newLimitMessage(addressOf(1))
	m.addState(&want, now)
	m.addDemand(&limit.Demand{ID: want.ID, Domain: "two", Offers: limit.Rates{Mean: 2, Recent: 3}})
	data := encodeDatagram(m)
	if !isLimits(data) {
		t.Errorf("the datagram begins with % x", data[:3])
	}
	if _, err := decode(data); err == nil {
		t.Error("it can be read as a heartbeat")
	}
	got, err := decodeLimits(data)
	if err != nil {
		t.Fatal(err)
	}
	sameAddress := cmp.Comparer(func(a, b limit.State) bool { return a == b })
	if diff := cmp.Diff(want, got.state(&got.States[0], now), sameAddress); diff != "" {
		t.Error(diff)
	}
	if d := got.demand(&got.Demands[0]); d.Offers.Mean != 2 || d.Offers.Recent != 3 || d.Domain != "two" {
		t.Errorf("the demand is %v", d)
	}
}

// FuzzDecodeLimits guards against a datagram about limits that makes the receiver panic.
func FuzzDecodeLimits(f *testing.F) {
	v := newTestView()
	m := v.newLimitMessage(addressOf(1))
	m.addState(&limit.State{ID: limit.ID{Key: 1}, Domain: "two", InForce: true}, epoch)
	m.addDemand(&limit.Demand{ID: limit.ID{Key: 1}, Domain: "two"})
	f.Add(encodeDatagram(m))
	bad, err := cbor.Marshal(limitMessage{Format: limitFormat, From: addressOf(2), Origin: addressOf(2), States: []limitStateRecord{{Domain: 7}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(bad)
	f.Fuzz(func(_ *testing.T, data []byte) {
		m, err := decodeLimits(data)
		if err != nil {
			return
		}
		v := newTestView()
		v.handleLimits(m, m.From, epoch)
	})
}
