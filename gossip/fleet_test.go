package gossip

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"hickorydrum/budget"
	"hickorydrum/limit"
)

// simulation runs the views of many instances in virtual time, with simulated datagrams.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	begun   time.Time
	loss    float64 // fraction of the datagrams
	members []*simInstance
	byIP    map[netip.Addr]*simInstance
	queue   deliveries
	order   int
	sent    int // bytes
	seeds   []netip.Addr
	regions map[string]string
	// farDelay is added to the delay of datagrams between regions.
	farDelay time.Duration
}

// simInstance is one simulated instance.
type simInstance struct {
	view   *view
	down   bool
	cut    bool // sends and receives nothing
	paused bool
	// waiting are the datagrams that arrived while the instance was paused: it reads them when it goes on.
	waiting []delivery
	side    int       // of a partition: datagrams reach only instances of the same side
	dueAt   time.Time // of the next heartbeat
	bucket  budget.TokenBucket
	limits  map[limit.ID]limit.State // what the instance knows of limits
	old     bool                     // of an earlier version, which knows no limits
	quota   *quotaInstance           // nil without client accounts

	startedAt time.Time
}

type delivery struct {
	at    time.Time
	order int
	from  netip.Addr
	datagram
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || d[i].at.Equal(d[j].at) && d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

const (
	tickInterval = 25 * time.Millisecond
	maxDelay     = 10 * time.Millisecond
)

// newSimulation starts n instances in the given number of failure domains, which belong to
// three regions.
func newSimulation(n, domains int, seed uint64) *simulation {
	begun := time.Unix(1_000_000, 0)
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: begun, begun: begun, byIP: make(map[netip.Addr]*simInstance),
		regions: make(map[string]string), loss: 0.01,
	}
	for d := range domains {
		s.regions[domainName(d)] = fmt.Sprintf("region-%d", d%3)
	}
	s.seeds = []netip.Addr{addressOf(0), addressOf(1 % n), addressOf(2 % n)}
	for i := range n {
		s.start(i, domainName(i%domains))
	}
	return s
}

func domainName(d int) string { return fmt.Sprintf("domain-%02d", d) }

func addressOf(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
}

// start starts or restarts an instance.
func (s *simulation) start(i int, domain string) {
	self := Member{
		Address: addressOf(i), Run: uint32(s.now.UnixMilli()), Ready: true,
		Demand: map[string]int{"catalogue": 1000, "orders": 500, "files": 200},
	}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	p := &simInstance{startedAt: s.now, view: newView(self, domain, s.regions, random, slog.New(slog.DiscardHandler), s.now)}
	p.view.seeds = s.seeds
	p.dueAt = s.now.Add(time.Duration(s.random.Int64N(int64(300 * time.Millisecond))))
	if i == len(s.members) {
		s.members = append(s.members, p)
	} else {
		s.members[i] = p
	}
	s.byIP[self.Address] = p
}

// play advances the virtual time by d and calls each after every tick, if it is set.
func (s *simulation) play(d time.Duration, each func()) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tickInterval) {
		s.goOn()
		for _, p := range s.members {
			if !p.down && !p.paused && !s.now.Before(p.dueAt) {
				p.dueAt = p.dueAt.Add(heartbeatInterval)
				if p.dueAt.Before(s.now) {
					p.dueAt = s.now.Add(heartbeatInterval)
				}
				s.post(p, p.view.heartbeat(s.now))
			}
		}
		s.deliver(s.now.Add(tickInterval))
		if each != nil {
			each()
		}
	}
}

func (s *simulation) post(from *simInstance, datagrams []datagram) {
	for _, d := range datagrams {
		s.sent += len(d.data)
		if len(d.data) > maxDatagram {
			panic("a datagram is too long")
		}
		if s.random.Float64() < s.loss || from.cut {
			continue
		}
		s.order++
		delay := time.Duration(s.random.Int64N(int64(maxDelay)))
		if to, ok := s.byIP[d.to]; ok && s.regions[to.view.domain] != s.regions[from.view.domain] {
			delay += s.farDelay
		}
		heap.Push(&s.queue, delivery{s.now.Add(delay), s.order, from.view.self.Address, d})
	}
}

// maxWaiting is how many datagrams a socket holds for a paused instance.
const maxWaiting = 200

// goOn has the instances that are no longer paused read the datagrams that arrived meanwhile, some before and some after
// their next heartbeat.
func (s *simulation) goOn() {
	for _, p := range s.members {
		if p.paused || len(p.waiting) == 0 {
			continue
		}
		waiting := p.waiting
		p.waiting = nil
		first := s.random.IntN(len(waiting) + 1)
		for _, d := range waiting[:first] {
			s.read(p, d)
		}
		for _, d := range waiting[first:] {
			d.at = s.now
			heap.Push(&s.queue, d)
		}
	}
}

func (s *simulation) deliver(until time.Time) {
	for len(s.queue) > 0 && s.queue[0].at.Before(until) {
		d := heap.Pop(&s.queue).(delivery)
		to, ok := s.byIP[d.to]
		if !ok || to.down || to.cut || to.side != s.byIP[d.from].side {
			continue
		}
		if to.paused {
			if len(to.waiting) < maxWaiting {
				to.waiting = append(to.waiting, d)
			}
			continue
		}
		s.read(to, d)
	}
}

// read has an instance handle a datagram.
func (s *simulation) read(to *simInstance, d delivery) {
	if isLimits(d.data) {
		s.deliverLimits(to, d)
		return
	}
	if isQuotas(d.data) {
		s.deliverQuotas(to, d)
		return
	}
	m, err := decode(d.data)
	if err != nil {
		panic(err)
	}
	replies, _ := to.view.handle(m, d.from, s.now)
	s.post(to, replies)
}

// missing counts the pairs of live members of one failure domain of which the first takes
// the second for dead or does not know it.
func (s *simulation) missing() int {
	n := 0
	for _, p := range s.members {
		if p.down || p.cut || p.paused {
			continue
		}
		for _, q := range s.members {
			if q == p || q.down || q.cut || q.paused || q.view.domain != p.view.domain {
				continue
			}
			if m, ok := p.view.others[q.view.self.Address]; !ok || s.now.Sub(m.seenAt) >= deadAfter {
				n++
			}
		}
	}
	return n
}

// lingering counts the pairs of a live and a dead member of which the first takes the
// second for alive.
func (s *simulation) lingering() int {
	n := 0
	for _, p := range s.members {
		if p.down {
			continue
		}
		for _, q := range s.members {
			if m, ok := p.view.others[q.view.self.Address]; q.down && ok && s.now.Sub(m.seenAt) < deadAfter {
				n++
			}
		}
	}
	return n
}

// deploymentSizes are the sizes of present deployments and of planned ones.
var deploymentSizes = map[string]struct{ instances, domains int }{
	"12":   {12, 6},
	"77":   {77, 6},
	"195":  {195, 9},
	"300":  {300, 9},
	"1000": {1000, 20},
	"6400": {6400, 128},
}

// skipUnderRace skips a simulation under the race detector: it runs in one goroutine, so
// that there are no races to find, and would take twenty times as long.
func skipUnderRace(t *testing.T) {
	t.Helper()
	if raceDetector {
		t.Skip("one goroutine")
	}
}

// TestFleet simulates deployments of many sizes that lose one datagram in a hundred. It checks
// that no live member is taken for dead, that summaries arrive everywhere, that deaths are
// noticed in time, also when half of all members die at once, and that the traffic of an
// instance does not grow with the number of instances.
func TestFleet(t *testing.T) {
	const (
		// steady is how long the simulation runs before the deaths.
		steady = 15 * time.Second
		// joined is the time after a common start at which all members must know each
		// other.
		joined = 4 * time.Second
		// noticed is the time after which the whole failure domain must have noticed a
		// death. It is longer than the silence that makes a member dead, since other
		// members may have passed on its last heartbeat shortly before.
		noticed = deadAfter + 1500*time.Millisecond
		// mostBytes bounds the bytes that one instance sends in a second.
		mostBytes = 5 << 10
	)
	for name, size := range deploymentSizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			skipUnderRace(t)
			length := steady
			if size.instances > 1000 {
				length = 5 * time.Second
				if testing.Short() {
					t.Skip("takes a minute")
				}
			}
			s := newSimulation(size.instances, size.domains, 1)
			s.play(joined, nil)
			if n := s.missing(); n > 0 {
				t.Errorf("after the start %d pairs do not know each other", n)
			}
			sentBefore := s.sent
			s.play(length, func() {
				if n := s.missing(); n > 0 && size.instances <= 1000 {
					t.Errorf("after %s %d live members are taken for dead", s.now.Sub(s.begun), n)
				}
			})
			perSecond := float64(s.sent-sentBefore) / length.Seconds() / float64(size.instances)
			t.Logf("%.0f bytes a second an instance", perSecond)
			if perSecond > mostBytes {
				t.Errorf("an instance sends %.0f bytes a second, want at most %d", perSecond, mostBytes)
			}
			s.checkSummaries(t, size.instances)
			for i := range s.members {
				s.members[i].down = i%2 == 1
			}
			s.play(noticed, nil)
			if n := s.lingering(); n > 0 {
				t.Errorf("%d dead members are taken for alive", n)
			}
			if n := s.missing(); n > 0 {
				t.Errorf("after half have died %d live members are taken for dead", n)
			}
		})
	}
}

// mostDomains is the largest number of failure domains in a present deployment.
const mostDomains = 9

// checkSummaries checks that every instance has a summary of each failure domain and counts all
// instances, unless there are more than 1000. The summaries must be recent; with more than
// mostDomains failure domains it only logs the age of the oldest.
func (s *simulation) checkSummaries(t *testing.T, instances int) {
	t.Helper()
	oldest := time.Duration(0)
	if len(s.regions) > mostDomains {
		defer func() { t.Logf("the oldest summary of %d failure domains is %s old", len(s.regions), oldest) }()
	}
	for _, p := range s.members {
		if _, all := p.view.count(""); all != instances && instances <= 1000 {
			t.Errorf("%s counts %d instances, want %d", p.view.self.Address, all, instances)
		}
		for domain := range s.regions {
			summary, ok := p.view.summaries[domain]
			switch {
			case domain == p.view.domain:
			case !ok && instances > 1000: // the test ends before every summary has reached all
			case !ok:
				t.Errorf("%s has no summary of %s", p.view.self.Address, domain)
			case len(s.regions) > mostDomains:
				oldest = max(oldest, s.now.Sub(summary.madeAt))
			case s.now.Sub(summary.madeAt) > demandFor:
				t.Errorf("the summary of %s at %s is %s old", domain, p.view.self.Address, s.now.Sub(summary.madeAt))
			}
		}
	}
}

// TestRights has every instance use its whole share of the right to the request rate of a
// cold upstream, in a deployment whose instances die, restart, are partitioned and pause. It
// checks that the upstream gets no more requests from all of them in any second than it can
// handle.
func TestRights(t *testing.T) {
	// The right belongs to one failure domain, so three failure domains of a real
	// deployment's size stand for the whole deployment.
	const domains = 3
	tests := map[string]struct {
		inDomain    int     // instances in a failure domain
		rate, slack float64 // requests per second, and requests beyond over times the rate
	}{
		"12":  {2, 15, 5},
		"77":  {13, 6.6, 8},
		"195": {22, 2.3, 10},
		"300": {33, 2.3, 10},
	}
	const (
		over  = 1.5             // multiple of the rate that is allowed
		phase = 5 * time.Second // before the scenario begins, and while it lasts
	)
	scenarios := map[string]func(s *simulation){
		"calm":  func(*simulation) {},
		"lossy": func(s *simulation) { s.loss = 0.2 },
		"half of them die": func(s *simulation) {
			for i, p := range s.members {
				p.down = i%2 == 1
			}
		},
		"a third is cut off": func(s *simulation) {
			for i, p := range s.members {
				p.cut = i/len(s.regions)%3 == 1
			}
		},
		"all restart": func(s *simulation) {
			for i, p := range s.members {
				s.start(i, p.view.domain)
			}
		},
		"a third pauses": func(s *simulation) {
			for i, p := range s.members {
				p.paused = i/len(s.regions)%3 == 1
			}
		},
	}
	for name, test := range tests {
		for scenario, begin := range scenarios {
			t.Run(name+" "+scenario, func(t *testing.T) {
				t.Parallel()
				skipUnderRace(t)
				s := newSimulation(domains*test.inDomain, domains, 3)
				var spent []time.Time
				spend := func() {
					for _, p := range s.members {
						share := p.view.rightShare(domainName(0), 42, s.now)
						if p.down || p.paused || !p.bucket.Spend(s.now, test.rate*share, min(1, share*float64(1<<20))) {
							continue
						}
						spent = append(spent, s.now)
					}
				}
				s.play(phase, spend)
				begin(s)
				s.play(phase, spend)
				for _, p := range s.members {
					p.cut, p.paused = false, false
				}
				s.play(2*phase, spend)
				most := 0
				for i := range spent {
					n := 0
					for j := i; j < len(spent) && spent[j].Sub(spent[i]) < time.Second; j++ {
						n++
					}
					most = max(most, n)
				}
				if allowed := test.rate*over + test.slack; float64(most) > allowed {
					t.Errorf("%d requests in one second, want at most %.1f", most, allowed)
				}
				if len(spent) < int(phase.Seconds()) {
					t.Errorf("the upstream got %d requests in %s", len(spent), s.now.Sub(s.begun))
				}
			})
		}
	}
}

// TestLongPartition guards against a cold upstream or a retry budget that both sides of a
// partition use in full, once the partition has lasted for so long that the sides have forgotten
// each other.
func TestLongPartition(t *testing.T) {
	const (
		instances, domains = 24, 3
		// lasting is longer than any time after which an instance is removed from the heartbeats.
		lasting  = 10 * time.Minute
		mostOver = 1.5 // multiple of a cold upstream's rate that it bears
	)
	partitions := map[string]func(i int) int{
		"the failure domain of the upstream alone": func(i int) int { return min(1, i%domains) },
		"another failure domain":                   func(i int) int { return i % domains / 2 },
		"all failure domains apart":                func(i int) int { return i % domains },
		"a failure domain within itself":           func(i int) int { return i % (2 * domains) / domains },
	}
	for name, side := range partitions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			skipUnderRace(t)
			s := newSimulation(instances, domains, 1)
			s.play(5*time.Second, nil)
			for i, p := range s.members {
				p.side = side(i)
			}
			s.play(lasting, nil)
			sum := 0.0
			for _, p := range s.members {
				sum += p.view.rightShare(domainName(0), 42, s.now)
				if _, all := p.view.count(""); all < instances {
					t.Errorf("%s counts %d instances, want %d", p.view.self.Address, all, instances)
				}
			}
			if sum > mostOver {
				t.Errorf("the sides use %.2f of the rate together", sum)
			}
		})
	}
}
