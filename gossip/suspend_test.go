package gossip

import (
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"hickorydrum/clock"
	"hickorydrum/limit"
	"hickorydrum/quota"
)

var suspendSeeds = flag.Int("suspend-seeds", 5, "seeds of each order of losses and suspensions")

// upset is what happens to one instance: it is lost for good, or suspended for a time.
type upset struct {
	at       time.Duration
	instance int
	// suspended is how long the instance is suspended, or 0 if it is lost.
	suspended time.Duration
}

// lossModel plays losses and suspensions, and checks which instances callers are given meanwhile.
type lossModel struct {
	*simulation

	upsets []upset
	lostAt map[netip.Addr]time.Time
	endsAt map[*simInstance]time.Time // of suspensions

	late   int // answers that name an instance which was lost more than longLost before
	latest time.Duration
	alone  time.Duration // for how long after its suspension an instance named callers no other one
}

// longLost is how long after its loss an instance may be named to callers at most.
const longLost = 6 * time.Second

func newLossModel(instances, domains int, seed uint64, upsets []upset) *lossModel {
	m := &lossModel{
		simulation: newSimulation(instances, domains, seed), upsets: upsets,
		lostAt: make(map[netip.Addr]time.Time), endsAt: make(map[*simInstance]time.Time),
	}
	m.farDelay = 30 * time.Millisecond
	m.play(6*time.Second, nil)
	return m
}

// run plays the upsets and the time after them.
func (m *lossModel) run() {
	const after = 12 * time.Second
	begun, end := m.now, time.Duration(0)
	for _, u := range m.upsets {
		end = max(end, u.at+u.suspended)
	}
	for m.now.Sub(begun) < end+after {
		for _, u := range m.upsets {
			if since := m.now.Sub(begun) - u.at; since >= 0 && since < tickInterval {
				m.begin(u)
			}
		}
		for p, at := range m.endsAt {
			p.paused = m.now.Before(at)
		}
		m.play(tickInterval, m.check)
	}
}

func (m *lossModel) begin(u upset) {
	p := m.members[u.instance]
	if u.suspended == 0 {
		p.down = true
		m.lostAt[p.view.self.Address] = m.now
		return
	}
	m.endsAt[p] = m.now.Add(u.suspended)
}

// check counts the answers of all running instances to callers of all failure domains.
func (m *lossModel) check() {
	for _, p := range m.members {
		if p.down || p.paused {
			continue
		}
		for domain, region := range m.regions {
			named := p.view.serving(domain, region, m.now)
			for _, address := range named {
				if at, ok := m.lostAt[address]; ok && m.now.Sub(at) > longLost {
					m.late++
					m.latest = max(m.latest, m.now.Sub(at))
				}
			}
			if resumedAt, ok := m.endsAt[p]; ok && domain == p.view.domain && len(named) < 2 {
				m.alone = max(m.alone, m.now.Sub(resumedAt))
			}
		}
	}
}

// TestSuspended guards against a lost instance that is named to callers for long, since an instance that was suspended
// takes it, or has others take it, for alive: in any order of losses and suspensions.
func TestSuspended(t *testing.T) {
	const second = time.Second
	lost := func(at time.Duration, i int) upset { return upset{at: at, instance: i} }
	suspended := func(at time.Duration, i int, d time.Duration) upset { return upset{at, i, d} }
	// Instances i and i+4 are in the same failure domain of four.
	tests := map[string]struct {
		instances int
		upsets    []upset
	}{
		"lost, then suspended":                    {8, []upset{lost(0, 4), suspended(second/2, 0, 5*second)}},
		"lost, then suspended for long":           {8, []upset{lost(0, 4), suspended(second/2, 0, 9*second)}},
		"suspended, then lost":                    {8, []upset{suspended(0, 0, 5*second), lost(second/2, 4)}},
		"lost at the end of the suspension":       {8, []upset{suspended(0, 0, 5*second), lost(4500*time.Millisecond, 4)}},
		"lost and suspended at once":              {8, []upset{lost(0, 4), suspended(0, 0, 5*second)}},
		"suspended for a short time":              {8, []upset{suspended(0, 0, 1400*time.Millisecond), lost(second/2, 4)}},
		"suspended twice":                         {8, []upset{lost(0, 4), suspended(second/2, 0, 2500*time.Millisecond), suspended(3500*time.Millisecond, 0, 2500*time.Millisecond)}},
		"suspended by turns in three":             {12, []upset{lost(0, 8), suspended(second/2, 0, 3*second), suspended(3*second, 4, 3*second)}},
		"all others of three suspended":           {12, []upset{lost(0, 8), suspended(second/2, 0, 5*second), suspended(second/2, 4, 6*second)}},
		"lost while it was suspended":             {8, []upset{suspended(0, 4, 3*second), suspended(0, 0, 6*second), lost(2*second, 4)}},
		"a region suspended":                      {8, []upset{lost(0, 4), suspended(second/4, 0, 5*second), suspended(second/4, 3, 5*second), suspended(second/4, 7, 5*second)}},
		"the instances that are asked, suspended": {8, []upset{lost(0, 4), suspended(second/2, 1, 5*second), suspended(second/2, 3, 5*second), suspended(second, 7, 4*second)}},
		"all others suspended":                    {8, []upset{lost(0, 4), suspended(1, 0, 5*second), suspended(1, 1, 5*second), suspended(1, 2, 5*second), suspended(1, 3, 5*second), suspended(1, 5, 5*second), suspended(1, 6, 5*second), suspended(1, 7, 5*second)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			skipUnderRace(t)
			for seed := range uint64(*suspendSeeds) {
				newLossModel(test.instances, 4, seed, test.upsets).verify(t, seed)
			}
		})
	}
}

// TestSuspendedAnyOrder is as TestSuspended, with losses and suspensions at random, also with lost datagrams.
func TestSuspendedAnyOrder(t *testing.T) {
	const domains, within = 4, 12 * time.Second
	for _, instances := range []int{3, 6, 12, 91} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			skipUnderRace(t)
			for seed := range uint64(*suspendSeeds) {
				random := rand.New(rand.NewPCG(seed, 9))
				var upsets []upset
				for i := range instances {
					u := upset{at: time.Duration(random.Int64N(int64(within))), instance: i}
					if random.IntN(3) > 0 {
						u.suspended = time.Duration(random.Int64N(int64(8 * time.Second)))
					}
					if i > 0 { // one instance runs all the time
						upsets = append(upsets, u)
					}
				}
				m := newLossModel(instances, domains, seed, upsets)
				m.loss = 0.05
				m.verify(t, seed)
			}
		})
	}
}

// verify runs the model and reports what is wrong.
func (m *lossModel) verify(t *testing.T, seed uint64) {
	t.Helper()
	m.run()
	t.Logf("seed %d: an instance named no other one for %s after a suspension", seed, m.alone)
	if m.late > 0 {
		t.Errorf("seed %d: %d answers name an instance that was lost for longer than %s, up to %s", seed, m.late, longLost, m.latest)
	}
}

// TestNamedAgain guards against an instance that goes on after a suspension and then names no other one of its failure
// domain for long, though they run, or takes the roles of all of them meanwhile.
func TestNamedAgain(t *testing.T) {
	const within = 1500 * time.Millisecond
	suspensions := map[string]func(i, domain int) bool{
		"one":                      func(i, _ int) bool { return i == 0 },
		"all of a failure domain":  func(_, domain int) bool { return domain == 0 },
		"a region":                 func(_, domain int) bool { return domain%3 == 0 },
		"all":                      func(int, int) bool { return true },
		"all but a failure domain": func(_, domain int) bool { return domain > 0 },
	}
	for name, suspended := range suspensions {
		for _, inDomain := range []int{2, 3, 20} {
			t.Run(fmt.Sprintf("%s/%d", name, inDomain), func(t *testing.T) {
				t.Parallel()
				skipUnderRace(t)
				const domains = 4
				for seed := range uint64(*suspendSeeds) {
					s := newSimulation(domains*inDomain, domains, seed)
					s.play(6*time.Second, nil)
					for i, p := range s.members {
						p.paused = suspended(i, i%domains)
					}
					s.play(5*time.Second, nil)
					for _, p := range s.members {
						p.paused = false
					}
					first := s.members[0].view
					s.play(within, func() {
						if n := len(first.members(s.now)); n != inDomain-1 {
							t.Errorf("seed %d: %d other members keep their roles, want %d", seed, n, inDomain-1)
						}
					})
					if n := len(first.servingIn(first.domain, s.now)); n < 2 {
						t.Errorf("seed %d: it names %d instances after %s", seed, n, within)
					}
				}
			})
		}
	}
}

// TestWaitedDatagrams guards against a datagram that waited while the instance was suspended, and whose content counts as
// new when it is read.
func TestWaitedDatagrams(t *testing.T) {
	const suspended = 5 * time.Second
	from := newTestView()
	from.self.Address = addressOf(2)
	other := newView(Member{Address: addressOf(3), Ready: true}, "two", from.regions, from.random, from.log, epoch)
	quotas := newQuotaBatch(from, from.self.Address, epoch)
	quotas.addAnswer(addressOf(1), &quota.Answer{State: quota.State{Key: 1, At: epoch, Holder: addressOf(2), Fraction: 1}})
	limits := from.newLimitMessage(from.self.Address)
	limits.addState(&limit.State{ID: limit.ID{Key: 1}, Domain: "one", InForce: true, PerSecond: 1, NamedAt: epoch, FractionAt: epoch, Fraction: 1}, epoch)
	var got time.Time // of what the datagram says
	tests := map[string]struct {
		data []byte
		from netip.Addr
		at   func(v *view) time.Time
	}{
		"heartbeat":    {from.encode(&message{}, nil, nil, epoch), addressOf(2), func(v *view) time.Time { return v.others[addressOf(2)].seenAt }},
		"summary":      {other.encode(&message{}, nil, other.allSummaries(epoch), epoch), addressOf(3), func(v *view) time.Time { return v.summaries["two"].madeAt }},
		"load report":  {from.encode(&message{LoadReports: encodeLoadReports([]LoadReport{{Key: 1, At: epoch}}, epoch)}, nil, nil, epoch), addressOf(2), nil},
		"limit":        {encodeDatagram(limits), addressOf(2), nil},
		"quota":        {quotas.datagrams()[0].data, addressOf(2), nil},
		"confirmation": {encodeDatagram(&confirmMessage{Format: confirmFormat, Domain: "one", From: addressOf(2)}), addressOf(2), nil},
	}
	for name, test := range tests {
		for when, heartbeat := range map[string]bool{"before the next heartbeat": false, "after it": true} {
			t.Run(name+" "+when, func(t *testing.T) {
				now, v := epoch.Add(suspended), newTestView()
				m := &Mesh{
					now: func() time.Time { return now }, view: v, conn: nowhere{}, log: slog.New(slog.DiscardHandler), onRevisions: func(RevisionNotice) {},
					onLoadReports: func(l []LoadReport) { got = l[0].At },
					onLimits:      func(s []limit.State) { got = later(s[0].NamedAt, s[0].FractionAt) },
					onQuotas:      func(a []quota.Answer) { got = a[0].State.At },
					onConfirmed:   func(c Confirmation) { got = c.At },
				}
				if heartbeat {
					m.heartbeat()
				}
				got = time.Time{}
				m.handle(test.data, test.from)
				if test.at != nil {
					got = test.at(v)
				}
				if !got.Equal(epoch) {
					t.Errorf("it counts as of %s after the suspension began", got.Sub(epoch))
				}
			})
		}
	}
}

// TestContainedLock guards against a panic in the handling of a datagram that leaves the lock locked, so that the instance
// hangs: for each format.
func TestContainedLock(t *testing.T) {
	v := newTestView()
	quotas := newQuotaBatch(v, addressOf(2), epoch)
	quotas.addAnswer(addressOf(1), &quota.Answer{State: quota.State{Key: 1, At: epoch}})
	tests := map[string][]byte{
		"heartbeat":    v.encode(&message{}, nil, nil, epoch),
		"limit":        encodeDatagram(v.newLimitMessage(addressOf(2))),
		"quota":        quotas.datagrams()[0].data,
		"confirmation": encodeDatagram(&confirmMessage{Format: confirmFormat, Domain: "one", From: addressOf(2)}),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			m := &Mesh{now: clock.Now, conn: nowhere{}, log: slog.New(slog.DiscardHandler)} // without a view, each handler panics
			before := panics.Get()
			m.handle(data, addressOf(2))
			if panics.Get() == before {
				t.Fatal("nothing panicked")
			}
			if !m.mu.TryLock() {
				t.Error("the lock is still locked")
			}
		})
	}
}
