package upstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/declaration"
	"hickorydrum/fault"
	"hickorydrum/lease"
	"hickorydrum/steering"
)

// testPool returns a pool that owns every slot of the given workers, all warm.
func testPool(t testing.TB, slots ...int) *Pool {
	t.Helper()
	workers := make(map[string]int)
	for i, n := range slots {
		workers[fmt.Sprintf("127.0.0.1:%d", i+1)] = n
	}
	return ownedPool(t, workers)
}

// ownedPool returns a pool that owns the slots of the workers by address, all warm.
func ownedPool(t testing.TB, workers map[string]int) *Pool {
	t.Helper()
	text := "kind: region\nname: one\ndomains: [a]\n---\nkind: service\nname: list\npath: /list\nlimit: 10s\nworkers:\n"
	for address, slots := range workers {
		text += fmt.Sprintf("  - {at: %q, domain: a, slots: %d}\n", address, slots)
	}
	set, err := declaration.Parse(map[string][]byte{"f.yaml": []byte(text)})
	if err != nil {
		t.Fatal(err)
	}
	p := NewPool("one")
	p.SetTable(steering.NewTable(set, 1), time.Now())
	for _, w := range p.workers {
		w.tenure.Start(nil)
		w.tenure.Complete(1, nil)
		w.ramp = w.tenure.Slots()
	}
	return p
}

// simulated is what became of one simulated request.
type simulated struct {
	took    time.Duration
	refused bool
}

// drive offers requests at a rate for a time and returns what became of them,
// and the most that were in flight. work is how long a request takes.
func drive(p *Pool, perSecond float64, length, work time.Duration, seed uint64) (out []simulated, peak int) {
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	inFlight := 0
	var group errgroup.Group
	for until := time.Now().Add(length); time.Now().Before(until); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		caller := fmt.Sprint(random.IntN(50))
		group.Go(func() error {
			begun := time.Now()
			slot, err := p.Acquire(context.Background(), "list", caller, begun.Add(5*time.Second))
			if err == nil {
				mu.Lock()
				inFlight++
				peak = max(peak, inFlight)
				mu.Unlock()
				time.Sleep(work)
				mu.Lock()
				inFlight--
				mu.Unlock()
				slot.finish(begun, nil, false)
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, simulated{took: time.Since(begun), refused: err != nil})
			return nil
		})
	}
	_ = group.Wait()
	return out, peak
}

const (
	overloadSlots    = 16
	overloadWork     = 20 * time.Millisecond
	overloadLength   = 10 * time.Second
	goodputBound     = 0.95
	refusalBound     = 50 * time.Millisecond
	overloadCapacity = overloadSlots * float64(time.Second) / float64(overloadWork)
)

// TestOverload offers 0.5 to 4 times the capacity in virtual time.
func TestOverload(t *testing.T) {
	for _, times := range []float64{0.5, 1, 2, 4} {
		t.Run(fmt.Sprintf("%.1f times capacity", times), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := testPool(t, 4, 4, 4, 4)
				out, peak := drive(p, times*overloadCapacity, overloadLength, overloadWork, 1)
				done := 0
				var refusals []time.Duration
				for _, s := range out {
					if s.refused {
						refusals = append(refusals, s.took)
						continue
					}
					done++
				}
				slices.Sort(refusals)
				goodput := float64(done) / overloadLength.Seconds() / overloadCapacity
				t.Logf("goodput %.3f of capacity, %d refused", goodput, len(refusals))
				if times >= 2 && goodput < goodputBound {
					t.Errorf("goodput %.3f of the capacity, want %.2f", goodput, goodputBound)
				}
				if peak > overloadSlots {
					t.Errorf("%d requests in flight at %d slots", peak, overloadSlots)
				}
				if n := len(refusals); n > 0 && refusals[n*99/100] > refusalBound {
					t.Errorf("p99 of refusals %s, want at most %s", refusals[n*99/100], refusalBound)
				}
				if times == 0.5 && len(refusals) > 0 {
					t.Errorf("%d refused at half load", len(refusals))
				}
			})
		})
	}
}

// TestFairQueue has one caller flood the pool: another is still served.
func TestFairQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(t, 8)
		var group errgroup.Group
		for range 40 {
			group.Go(func() error {
				slot, err := p.Acquire(t.Context(), "list", "greedy", time.Now().Add(5*time.Second))
				if err == nil {
					time.Sleep(50 * time.Millisecond)
					slot.Release(time.Now())
				}
				return nil
			})
		}
		synctest.Wait()
		slot, err := p.Acquire(t.Context(), "list", "modest", time.Now().Add(5*time.Second))
		if err != nil {
			t.Fatalf("the modest caller was refused: %v", err)
		}
		slot.Release(time.Now())
		_ = group.Wait()
	})
}

func TestAcquireRefusals(t *testing.T) {
	tests := map[string]struct {
		prepare func(p *Pool)
		service string
		left    time.Duration
		kind    fault.Kind
	}{
		"unknown service": {func(*Pool) {}, "nope", time.Second, fault.Missing},
		"not the owner": {func(p *Pool) {
			for _, w := range p.workers {
				w.tenure.Release()
			}
		}, "list", time.Second, fault.Unavailable},
		"all draining": {func(p *Pool) {
			for address := range p.workers {
				p.setDraining(address, true)
			}
		}, "list", time.Second, fault.Unavailable},
		"all leaving by the list": {func(p *Pool) { p.SetLeaving([]string{"127.0.0.1:1"}) }, "list", time.Second, fault.Unavailable},
		"full, no time to wait":   {func(p *Pool) { p.TryAcquire("list") }, "list", time.Millisecond, fault.Overloaded},
		"full, the wait is over":  {func(p *Pool) { p.TryAcquire("list") }, "list", time.Minute, fault.Overloaded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := testPool(t, 1)
				test.prepare(p)
				_, err := p.Acquire(t.Context(), test.service, "c", time.Now().Add(test.left))
				if fault.KindOf(err) != test.kind || !fault.NotRun(err) {
					t.Errorf("got %v, want kind %s, not run", err, test.kind)
				}
				if room := p.Room("list"); room.Free < 0 {
					t.Errorf("a refused request is still queued: %+v", room)
				}
			})
		})
	}
}

// TestHandOverRefusesQueue hands the only upstream over while requests wait for it:
// they are told at once to try another instance.
func TestHandOverRefusesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(t, 1)
		held := p.TryAcquire("list")
		begun := time.Now()
		var group errgroup.Group
		group.Go(func() error {
			_, err := p.Acquire(t.Context(), "list", "c", begun.Add(time.Minute))
			return err
		})
		synctest.Wait()
		p.mu.Lock()
		w := p.workers["127.0.0.1:1"]
		w.tenure.OnTake("b", lease.Take{Upstream: "127.0.0.1:1", Round: 1}, true, w.inFlight)
		p.grantAll(time.Now())
		p.mu.Unlock()
		err := group.Wait()
		if fault.KindOf(err) != fault.Unavailable || !fault.NotRun(err) || time.Since(begun) > 0 {
			t.Errorf("a waiting request got %v after %s", err, time.Since(begun))
		}
		if held.Holds(time.Now()) {
			t.Error("a slot that was handed over is still held")
		}
	})
}

// TestLeaveNoNewWork drains an upstream between admission and dispatch.
func TestLeaveNoNewWork(t *testing.T) {
	p := testPool(t, 2)
	slot := p.TryAcquire("list")
	if !slot.Holds(time.Now()) {
		t.Error("an admitted request lost its slot for no reason")
	}
	p.SetLeaving([]string{slot.Address()})
	if slot.Holds(time.Now()) {
		t.Error("a request may begin at an upstream that leaves")
	}
}

// TestEjection ejects failing upstreams, but never most of them.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(t, 2, 2, 2, 2)
		fail := func(n int) {
			for range failuresToEject {
				for i := range n {
					p.workers[fmt.Sprintf("127.0.0.1:%d", i+1)].failed(time.Now())
				}
			}
		}
		fail(1)
		for range 6 {
			slot := p.TryAcquire("list")
			if slot == nil || slot.Address() == "127.0.0.1:1" {
				t.Fatalf("an ejected upstream was chosen")
			}
		}
		if p.TryAcquire("list") != nil {
			t.Error("an ejected upstream was used although the others serve")
		}
		fail(4)
		for _, w := range p.workers {
			w.inFlight = 0
		}
		if p.TryAcquire("list") == nil {
			t.Error("a common fault emptied the region")
		}
		time.Sleep(maxEjection)
		if w := p.workers["127.0.0.1:1"]; w.ejected(time.Now()) || w.open(time.Now()) != coldSlots {
			t.Error("an upstream that is back does not start cold")
		}
	})
}

// rule chooses a worker with a free slot.
type rule func(open []*worker, n int) *worker

func leastBy(cost func(w *worker) float64) rule {
	return func(open []*worker, _ int) *worker {
		return slices.MinFunc(open, func(a, b *worker) int {
			if cost(a) < cost(b) {
				return -1
			}
			return 1
		})
	}
}

// BenchmarkChoice compares rules for the choice of an upstream: four of eight take
// four times as long. Latency is in virtual time.
func BenchmarkChoice(b *testing.B) {
	rules := map[string]rule{
		"round robin":         func(open []*worker, n int) *worker { return open[n%len(open)] },
		"least in flight":     leastBy(func(w *worker) float64 { return float64(w.inFlight) / float64(w.tenure.Slots()) }),
		"least expected time": leastBy((*worker).cost),
	}
	for name, choose := range rules {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				took := simulate(b, choose)
				slices.Sort(took)
				b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
			}
		})
	}
}

// simulate serves 20,000 requests at 60% load and returns their times.
func simulate(b *testing.B, choose rule) []time.Duration {
	const fast, slow, perSecond = 10 * time.Millisecond, 40 * time.Millisecond, 1200
	p := testPool(b, 4, 4, 4, 4, 4, 4, 4, 4)
	var workers []*worker
	for i := range 8 {
		workers = append(workers, p.workers[fmt.Sprintf("127.0.0.1:%d", i+1)])
	}
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	type end struct {
		at    time.Time
		begun time.Time
		w     *worker
	}
	var ends []end
	var waiting []time.Time
	var took []time.Duration
	begin := func(arrived time.Time) bool {
		open := slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool { return w.inFlight >= w.tenure.Slots() })
		if len(open) == 0 {
			return false
		}
		w := choose(open, len(took))
		work := fast
		if slices.Index(workers, w) >= 4 {
			work = slow
		}
		w.inFlight++
		ends = append(ends, end{at: now.Add(time.Duration(float64(work) * (0.5 + random.Float64()))), begun: now, w: w})
		took = append(took, ends[len(ends)-1].at.Sub(arrived))
		return true
	}
	finish := func() {
		i := 0
		for k := range ends {
			if ends[k].at.Before(ends[i].at) {
				i = k
			}
		}
		e := ends[i]
		ends = slices.Delete(ends, i, i+1)
		now = e.at
		e.w.inFlight--
		e.w.succeeded(e.at.Sub(e.begun))
		for len(waiting) > 0 && begin(waiting[0]) {
			waiting = waiting[1:]
		}
	}
	for len(took) < 20_000 {
		arrival := now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		for len(ends) > 0 && slices.ContainsFunc(ends, func(e end) bool { return e.at.Before(arrival) }) {
			finish()
		}
		now = arrival
		if len(waiting) > 0 || !begin(now) {
			waiting = append(waiting, now)
		}
	}
	return took
}
