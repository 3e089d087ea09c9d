package limit

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

const (
	tick = 20 * time.Millisecond
	// roundTrip is the time between a request and its response.
	roundTrip = 120 * time.Millisecond
	// exchangeEvery is how often an instance reports its offers and spreads what it knows.
	exchangeEvery = 250 * time.Millisecond
	maxDelay      = 40 * time.Millisecond
	spreadTo      = 2
	loss          = 0.02

	// A bound on what one upstream gets: over times the limit, and slack requests, in window.
	// It counts from settled after the limit was first named.
	over    = 1.5
	slack   = 5.0
	window  = 4 * time.Second
	settled = 3 * time.Second

	// leastUsed is the least part of the limit that must be used while demand exceeds it.
	leastUsed = 0.5
	seeds     = 5
)

var epoch = time.Unix(1_000_000, 0)

// model plays one upstream and the gates of many instances in virtual time, without network.
type model struct {
	random    *rand.Rand
	now       time.Time
	upstream  ID
	instances []*modelInstance
	holders   int // the first instances; each is the holder for some of the others
	pending   []func()
	due       []time.Time

	// named returns the limit that the upstream names, and whether it names one.
	named func(at time.Duration) (float64, bool)
	// demand returns the requests a second that one instance offers.
	demand  func(at time.Duration, i int) float64
	arrived []time.Time
}

type modelInstance struct {
	gate       *Gate
	holder     *Holder
	address    netip.Addr
	exchangeAt time.Time
	down       bool // neither sends requests nor exchanges anything
	silent     bool // sends requests but exchanges nothing
	old        bool // an earlier version: knows no limits
}

func newModel(n int, seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), now: epoch, upstream: ID{Key: 7, StartMillis: 1}, holders: 1}
	for i := range n {
		m.instances = append(m.instances, nil)
		m.start(i)
	}
	return m
}

// start starts or restarts an instance.
func (m *model) start(i int) {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], uint32(i+1))
	m.instances[i] = &modelInstance{
		gate: NewGate(m.upstream, "a", m.random.Float64()), holder: NewHolder(netip.AddrFrom4(address)), address: netip.AddrFrom4(address),
		exchangeAt: m.now.Add(time.Duration(m.random.Int64N(int64(exchangeEvery)))),
	}
}

func (m *model) elapsed() time.Duration { return m.now.Sub(epoch) }

func (m *model) after(d time.Duration, f func()) {
	m.pending, m.due = append(m.pending, f), append(m.due, m.now.Add(d))
}

func (m *model) delay() time.Duration { return time.Duration(m.random.Int64N(int64(maxDelay))) }

// running counts the instances as another instance does: it takes a silent one for running.
func (m *model) running() int {
	n := 0
	for _, i := range m.instances {
		if !i.down {
			n++
		}
	}
	return n
}

// present is the part of the running instances that can report.
func (m *model) present() float64 {
	silent := 0
	for _, i := range m.instances {
		if i.silent && !i.down {
			silent++
		}
	}
	return 1 - float64(silent)/float64(max(1, m.running()))
}

// play advances the time by d.
func (m *model) play(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(tick) {
		m.deliver()
		for i, inst := range m.instances {
			if inst.down {
				continue
			}
			for range m.poisson(m.demand(m.elapsed(), i) * tick.Seconds()) {
				m.offer(inst)
			}
			if !m.now.Before(inst.exchangeAt) {
				inst.exchangeAt = m.now.Add(exchangeEvery)
				m.exchange(i)
			}
		}
	}
}

func (m *model) deliver() {
	pending, due := m.pending, m.due
	m.pending, m.due = nil, nil
	for i, f := range pending {
		if m.now.Before(due[i]) {
			m.pending, m.due = append(m.pending, f), append(m.due, due[i])
			continue
		}
		f()
	}
}

func (m *model) offer(i *modelInstance) {
	if !i.old && !i.gate.Offer(m.now, m.running) {
		return
	}
	sentAt := m.now
	m.arrived = append(m.arrived, sentAt)
	perSecond, named := m.named(m.elapsed())
	m.after(roundTrip, func() {
		i.gate.Record(Response{Named: named, PerSecond: perSecond, Executed: true, SentAt: sentAt}, m.now)
	})
}

// exchange reports the offers of an instance to its holder, which answers, and spreads what
// the instance knows.
func (m *model) exchange(i int) {
	from := m.instances[i]
	state := from.gate.State()
	if from.old || from.silent || !state.InForce && state.NamedAt.IsZero() {
		return
	}
	holder := m.instances[i%m.holders]
	if state.InForce {
		m.send(func() { m.report(from, holder, from.gate.Demand(m.now), state) })
	}
	for range spreadTo {
		to := m.instances[m.random.IntN(len(m.instances))]
		m.send(func() { m.merge(to, &state) })
	}
}

func (m *model) send(f func()) {
	if m.random.Float64() >= loss {
		m.after(m.delay(), f)
	}
}

func (m *model) merge(to *modelInstance, state *State) {
	if !to.down && !to.silent && !to.old {
		to.gate.Merge(state)
	}
}

func (m *model) report(from, holder *modelInstance, d Demand, known State) {
	if holder.down || holder.silent || holder.old {
		return
	}
	holder.holder.Record(from.address, d, &known, m.now)
	if state, ok := holder.holder.State(m.upstream, m.present(), m.now); ok {
		holder.gate.Merge(&state)
		m.send(func() { m.merge(from, &state) })
	}
}

func (m *model) poisson(mean float64) int {
	n, p, limit := 0, m.random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= m.random.Float64()
	}
	return n
}

// most returns the largest number of arrivals in a window that begins after from, over what
// perSecond allows.
func (m *model) most(from time.Duration, perSecond float64) float64 {
	most, last := 0, 0
	for first, at := range m.arrived {
		for last < len(m.arrived) && m.arrived[last].Sub(at) < window {
			last++
		}
		if at.Sub(epoch) >= from {
			most = max(most, last-first)
		}
	}
	return float64(most) / (over*perSecond*window.Seconds() + slack)
}

// used returns the part of the limit that was used after from.
func (m *model) used(from time.Duration, perSecond float64) float64 {
	n := 0
	for _, at := range m.arrived {
		if at.Sub(epoch) >= from {
			n++
		}
	}
	return float64(n) / (perSecond * (m.elapsed() - from).Seconds())
}

// even spreads a demand over n instances.
func even(total float64, n int) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return total / float64(n) }
}

func fixed(perSecond float64) func(time.Duration) (float64, bool) {
	return func(time.Duration) (float64, bool) { return perSecond, true }
}

// TestShared guards against instances that together send more than the limit of an upstream,
// or hardly any, whatever part of the requests each of them gets.
func TestShared(t *testing.T) {
	const length = 40 * time.Second
	sizes := map[string]struct {
		n      int
		limit  float64
		demand float64
	}{
		"one":            {1, 6.6, 20},
		"12":             {12, 6.6, 20},
		"12, fraction":   {12, 0.4, 5},
		"77":             {77, 4, 12},
		"195":            {195, 1, 2.85},
		"300, low":       {300, 0.5, 3},
		"300, far above": {300, 5, 60},
		"just below":     {12, 20, 18},
	}
	loads := map[string]func(total float64, n int) func(time.Duration, int) float64{
		"even": even,
		"at one": func(total float64, _ int) func(time.Duration, int) float64 {
			return func(_ time.Duration, i int) float64 {
				if i == 0 {
					return total
				}
				return 0
			}
		},
		"moving": func(total float64, n int) func(time.Duration, int) float64 {
			return func(at time.Duration, i int) float64 {
				if i == int(at/(700*time.Millisecond))%n {
					return total
				}
				return 0
			}
		},
		"threefold for a time": func(total float64, n int) func(time.Duration, int) float64 {
			return func(at time.Duration, _ int) float64 {
				if at > 12*time.Second && at < 18*time.Second {
					return 3 * total / float64(n)
				}
				return total / float64(n)
			}
		},
	}
	for size, s := range sizes {
		for load, demand := range loads {
			t.Run(size+" "+load, func(t *testing.T) {
				t.Parallel()
				worst, used := 0.0, 0.0
				for seed := range uint64(seeds) {
					m := newModel(s.n, seed)
					m.named, m.demand = fixed(s.limit), demand(s.demand, s.n)
					m.play(length)
					worst = max(worst, m.most(settled, s.limit))
					used += m.used(settled, min(s.limit, s.demand)) / seeds
				}
				t.Logf("%s: %.2f of what is allowed, %.2f used", t.Name(), worst, used)
				if worst > 1 {
					t.Errorf("%.2f of what is allowed in a window", worst)
				}
				if used < leastUsed {
					t.Errorf("%.2f of the limit is used", used)
				}
			})
		}
	}
}

// TestUpsets guards against a sum over the limit, or far below it, when the limit changes, or
// instances of the fleet are silent, restart, stop, or are of an earlier version.
func TestUpsets(t *testing.T) {
	const (
		before, during, after = 10 * time.Second, 15 * time.Second, 15 * time.Second
		limited, demand       = 6.6, 20.0
	)
	third := func(m *model, f func(i int)) {
		for i := range m.instances {
			if i%3 == 1 {
				f(i)
			}
		}
	}
	tests := map[string]struct {
		upset func(m *model)
		mend  func(m *model)
		// counted is the limit that counts from the upset, and least the part that must be
		// used of it.
		counted, least float64
	}{
		"a third is silent":          {func(m *model) { third(m, func(i int) { m.instances[i].silent = true }) }, nil, limited, 0.5},
		"a third is down":            {func(m *model) { third(m, func(i int) { m.instances[i].down = true }) }, nil, limited, 0.5},
		"a third restarts":           {func(m *model) { third(m, m.start) }, nil, limited, 0.5},
		"all restart":                {func(m *model) { m.restartAll() }, nil, limited, 0.5},
		"the holder is silent":       {func(m *model) { m.instances[0].silent = true }, nil, limited, 0.5},
		"the holder restarts":        {func(m *model) { m.start(0) }, nil, limited, 0.5},
		"two holders":                {func(m *model) { m.holders = 2 }, nil, limited, 0.5},
		"the holder is an old one":   {func(m *model) { m.instances[0].old = true; m.demand = m.onlyNew() }, nil, limited, 0.3},
		"a third pauses":             {func(m *model) { third(m, func(i int) { m.instances[i].down = true }) }, func(m *model) { third(m, func(i int) { m.instances[i].down = false }) }, limited, 0.5},
		"a third was cut off":        {func(m *model) { third(m, func(i int) { m.instances[i].silent = true }) }, func(m *model) { third(m, func(i int) { m.instances[i].silent = false }) }, limited, 0.5},
		"half as many":               {func(m *model) { m.named = fixed(limited / 2) }, nil, limited / 2, 0.5},
		"zero":                       {func(m *model) { m.named = fixed(0) }, nil, 0, 0},
		"twice as many":              {func(m *model) { m.named = fixed(2 * limited) }, nil, 2 * limited, 0.5},
		"more join":                  {func(m *model) { m.join(12) }, nil, limited, 0.5},
		"named by turns":             {func(m *model) { m.named = m.byTurns(limited, limited/2) }, nil, limited, 0.4},
		"zero, then another instead": {func(m *model) { m.named = fixed(0) }, func(m *model) { m.named = fixed(limited) }, limited, 0.3},
	}
	for name, test := range tests {
		for _, n := range []int{1, 12, 77} {
			t.Run(fmt.Sprintf("%s, %d", name, n), func(t *testing.T) {
				t.Parallel()
				worst, used := 0.0, 0.0
				for seed := range uint64(seeds) {
					m := newModel(n, seed)
					m.named, m.demand = fixed(limited), even(demand, n)
					m.play(before)
					test.upset(m)
					m.play(during)
					from := before + settled
					if test.mend != nil {
						test.mend(m)
						from += during
					}
					m.play(after)
					worst = max(worst, m.most(before+settled, test.counted))
					if test.counted > 0 {
						used += m.used(from, test.counted) / seeds
					}
				}
				t.Logf("%s: %.2f of what is allowed, %.2f used", t.Name(), worst, used)
				if worst > 1 {
					t.Errorf("%.2f of what is allowed in a window", worst)
				}
				if n > 1 && used < test.least {
					t.Errorf("%.2f of the limit is used", used)
				}
			})
		}
	}
}

func (m *model) restartAll() {
	for i := range m.instances {
		m.start(i)
	}
}

// join adds instances, which share the demand.
func (m *model) join(n int) {
	total := m.demand(m.elapsed(), 0) * float64(len(m.instances))
	for range n {
		m.instances = append(m.instances, nil)
		m.start(len(m.instances) - 1)
	}
	m.demand = even(total, len(m.instances))
}

// onlyNew returns a demand without that of the first instance, whose version knows no limit.
func (m *model) onlyNew() func(time.Duration, int) float64 {
	demand := m.demand
	return func(at time.Duration, i int) float64 {
		if i == 0 {
			return 0
		}
		return demand(at, i)
	}
}

// byTurns returns a limit that differs from one response to the next.
func (m *model) byTurns(a, b float64) func(time.Duration) (float64, bool) {
	n := 0
	return func(time.Duration) (float64, bool) {
		n++
		if n%2 == 0 {
			return a, true
		}
		return b, true
	}
}

// TestEnded guards against a limit that stays in force when the upstream names none any more.
func TestEnded(t *testing.T) {
	m := newModel(12, 1)
	m.named, m.demand = fixed(2), even(20, 12)
	m.play(10 * time.Second)
	m.named = func(time.Duration) (float64, bool) { return 0, false }
	m.play(5 * time.Second)
	for i, inst := range m.instances {
		if inst.gate.State().InForce {
			t.Errorf("instance %d still knows a limit", i)
		}
	}
}

// TestRetryAt guards against room that is promised to more callers than it can serve, and against a
// time that grows with callers who do not wait for it.
func TestRetryAt(t *testing.T) {
	const limited, callers = 4.0, 100
	one := func() int { return 1 }
	patience := 2 * time.Second
	g := NewGate(ID{Key: 1}, "a", 0)
	g.Record(Response{Named: true, PerSecond: limited, SentAt: epoch}, epoch)
	until, kept := epoch.Add(patience), 0
	for range callers {
		g.Offer(epoch, one)
		at := g.RetryAt(until, epoch, one)
		if !at.After(until) {
			kept++
		}
		if at.After(until.Add(time.Second)) {
			t.Fatalf("a caller must retry after %s", at.Sub(epoch))
		}
	}
	if most := limited * patience.Seconds(); float64(kept) > most || float64(kept) < most/2 {
		t.Errorf("%d callers may retry within %s, want at most %.0f", kept, patience, most)
	}
}
