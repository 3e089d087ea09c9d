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
}

// simInstance is one simulated instance.
type simInstance struct {
	view   *view
	down   bool
	cut    bool // sends and receives nothing
	paused bool
	dueAt  time.Time // of the next heartbeat
	bucket budget.TokenBucket
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
	f := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: begun, begun: begun, byIP: make(map[netip.Addr]*simInstance),
		regions: make(map[string]string), loss: 0.01,
	}
	for d := range domains {
		f.regions[domainName(d)] = fmt.Sprintf("region-%d", d%3)
	}
	f.seeds = []netip.Addr{addressOf(0), addressOf(1 % n), addressOf(2 % n)}
	for i := range n {
		f.start(i, domainName(i%domains))
	}
	return f
}

func domainName(d int) string { return fmt.Sprintf("domain-%02d", d) }

func addressOf(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
}

// start starts or restarts an instance.
func (f *simulation) start(i int, domain string) {
	self := Member{
		Address: addressOf(i), Run: uint32(f.now.UnixMilli()), Ready: true,
		Demand: map[string]int{"catalogue": 1000, "orders": 500, "files": 200},
	}
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	p := &simInstance{view: newView(self, domain, f.regions, random, slog.New(slog.DiscardHandler), f.now)}
	p.view.seeds = f.seeds
	p.dueAt = f.now.Add(time.Duration(f.random.Int64N(int64(300 * time.Millisecond))))
	if i == len(f.members) {
		f.members = append(f.members, p)
	} else {
		f.members[i] = p
	}
	f.byIP[self.Address] = p
}

// play advances the virtual time by d and calls each after every tick, if it is set.
func (f *simulation) play(d time.Duration, each func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tickInterval) {
		for _, p := range f.members {
			if !p.down && !p.paused && !f.now.Before(p.dueAt) {
				p.dueAt = p.dueAt.Add(heartbeatInterval)
				if p.dueAt.Before(f.now) {
					p.dueAt = f.now.Add(heartbeatInterval)
				}
				f.post(p, p.view.heartbeat(f.now))
			}
		}
		f.deliver(f.now.Add(tickInterval))
		if each != nil {
			each()
		}
	}
}

func (f *simulation) post(from *simInstance, datagrams []datagram) {
	for _, d := range datagrams {
		f.sent += len(d.data)
		if len(d.data) > maxDatagram {
			panic("a datagram is too long")
		}
		if f.random.Float64() < f.loss || from.cut {
			continue
		}
		f.order++
		delay := time.Duration(f.random.Int64N(int64(maxDelay)))
		heap.Push(&f.queue, delivery{f.now.Add(delay), f.order, from.view.self.Address, d})
	}
}

func (f *simulation) deliver(until time.Time) {
	for len(f.queue) > 0 && f.queue[0].at.Before(until) {
		d := heap.Pop(&f.queue).(delivery)
		to, ok := f.byIP[d.to]
		if !ok || to.down || to.cut || to.paused {
			continue
		}
		m, err := decode(d.data)
		if err != nil {
			panic(err)
		}
		replies, _ := to.view.handle(m, d.from, f.now)
		f.post(to, replies)
	}
}

// missing counts the pairs of live members of one failure domain of which the first takes
// the second for dead or does not know it.
func (f *simulation) missing() int {
	n := 0
	for _, p := range f.members {
		if p.down || p.cut || p.paused {
			continue
		}
		for _, q := range f.members {
			if q == p || q.down || q.cut || q.paused || q.view.domain != p.view.domain {
				continue
			}
			if m, ok := p.view.others[q.view.self.Address]; !ok || f.now.Sub(m.heardAt) >= deadAfter {
				n++
			}
		}
	}
	return n
}

// lingering counts the pairs of a live and a dead member of which the first takes the
// second for alive.
func (f *simulation) lingering() int {
	n := 0
	for _, p := range f.members {
		if p.down {
			continue
		}
		for _, q := range f.members {
			if m, ok := p.view.others[q.view.self.Address]; q.down && ok && f.now.Sub(m.heardAt) < deadAfter {
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
			f := newSimulation(size.instances, size.domains, 1)
			f.play(joined, nil)
			if n := f.missing(); n > 0 {
				t.Errorf("after the start %d pairs do not know each other", n)
			}
			sentBefore := f.sent
			f.play(length, func() {
				if n := f.missing(); n > 0 && size.instances <= 1000 {
					t.Errorf("after %s %d live members are taken for dead", f.now.Sub(f.begun), n)
				}
			})
			perSecond := float64(f.sent-sentBefore) / length.Seconds() / float64(size.instances)
			t.Logf("%.0f bytes a second an instance", perSecond)
			if perSecond > mostBytes {
				t.Errorf("an instance sends %.0f bytes a second, want at most %d", perSecond, mostBytes)
			}
			f.checkSummaries(t, size.instances)
			for i := range f.members {
				f.members[i].down = i%2 == 1
			}
			f.play(noticed, nil)
			if n := f.lingering(); n > 0 {
				t.Errorf("%d dead members are taken for alive", n)
			}
			if n := f.missing(); n > 0 {
				t.Errorf("after half have died %d live members are taken for dead", n)
			}
		})
	}
}

// mostDomains is the largest number of failure domains in a present deployment.
const mostDomains = 9

// checkSummaries checks that every instance has a recent summary of each failure domain.
func (f *simulation) checkSummaries(t *testing.T, instances int) {
	t.Helper()
	oldest := time.Duration(0)
	if len(f.regions) > mostDomains {
		defer func() { t.Logf("the oldest summary of %d failure domains is %s old", len(f.regions), oldest) }()
	}
	for _, p := range f.members {
		if _, all := p.view.count(""); all != instances && instances <= 1000 {
			t.Errorf("%s counts %d instances, want %d", p.view.self.Address, all, instances)
		}
		for domain := range f.regions {
			s, ok := p.view.summaries[domain]
			switch {
			case domain == p.view.domain:
			case !ok && instances > 1000: // the test ends before every summary has reached all
			case !ok:
				t.Errorf("%s has no summary of %s", p.view.self.Address, domain)
			case len(f.regions) > mostDomains:
				oldest = max(oldest, f.now.Sub(s.madeAt))
			case f.now.Sub(s.madeAt) > demandFor:
				t.Errorf("the summary of %s at %s is %s old", domain, p.view.self.Address, f.now.Sub(s.madeAt))
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
	scenarios := map[string]func(f *simulation){
		"calm":  func(*simulation) {},
		"lossy": func(f *simulation) { f.loss = 0.2 },
		"half of them die": func(f *simulation) {
			for i, p := range f.members {
				p.down = i%2 == 1
			}
		},
		"a third is cut off": func(f *simulation) {
			for i, p := range f.members {
				p.cut = i/len(f.regions)%3 == 1
			}
		},
		"all start anew": func(f *simulation) {
			for i, p := range f.members {
				f.start(i, p.view.domain)
			}
		},
		"a third pauses": func(f *simulation) {
			for i, p := range f.members {
				p.paused = i/len(f.regions)%3 == 1
			}
		},
	}
	for name, test := range tests {
		for scenario, begin := range scenarios {
			t.Run(name+" "+scenario, func(t *testing.T) {
				t.Parallel()
				skipUnderRace(t)
				f := newSimulation(domains*test.inDomain, domains, 3)
				var spent []time.Time
				spend := func() {
					for _, p := range f.members {
						part := p.view.rightShare(domainName(0), 42, f.now)
						if p.down || p.paused || !p.bucket.Spend(f.now, test.rate*part, min(1, part*float64(1<<20))) {
							continue
						}
						spent = append(spent, f.now)
					}
				}
				f.play(phase, spend)
				begin(f)
				f.play(phase, spend)
				for _, p := range f.members {
					p.cut, p.paused = false, false
				}
				f.play(2*phase, spend)
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
					t.Errorf("the upstream got %d requests in %s", len(spent), f.now.Sub(f.begun))
				}
			})
		}
	}
}
