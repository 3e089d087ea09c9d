package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"hickorydrum/declaration"
	"hickorydrum/dispatch"
	"hickorydrum/fault"
	"hickorydrum/load"
	"hickorydrum/steering"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testPool returns a pool with upstreams of so many slots, all warm.
func testPool(t testing.TB, slots ...int) *Pool {
	t.Helper()
	workers := make(map[string]int)
	for i, n := range slots {
		workers[fmt.Sprintf("127.0.0.1:%d", i+1)] = n
	}
	return poolOf(t, workers)
}

// poolOf returns a pool with the given upstreams, all warm.
func poolOf(t testing.TB, workers map[string]int) *Pool {
	t.Helper()
	text := "kind: region\nname: one\ndomains: [a]\n---\nkind: service\nname: list\npath: /list\nlimit: 10s\nworkers:\n"
	for address, slots := range workers {
		text += fmt.Sprintf("  - {at: %q, domain: a, slots: %d}\n", address, slots)
	}
	set, err := declaration.Parse(map[string][]byte{"f.yaml": []byte(text)})
	if err != nil {
		t.Fatal(err)
	}
	p := NewPool("a", "one")
	p.SetTable(steering.NewTable(set, 1), time.Now())
	return p
}

// askFor returns a request of a caller that may take so long.
func askFor(caller string, left time.Duration) *Ask {
	return &Ask{Service: "list", Region: "one", Caller: caller, Deadline: time.Now().Add(left)}
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
			slot, err := p.Acquire(context.Background(), askFor(caller, 5*time.Second))
			if err == nil {
				mu.Lock()
				inFlight++
				peak = max(peak, inFlight)
				mu.Unlock()
				time.Sleep(work)
				mu.Lock()
				inFlight--
				mu.Unlock()
				slot.finish(begun, load.Answered)
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
				slot, err := p.Acquire(t.Context(), askFor("greedy", 5*time.Second))
				if err == nil {
					begun := time.Now()
					time.Sleep(50 * time.Millisecond)
					slot.finish(begun, load.Answered)
				}
				return nil
			})
		}
		synctest.Wait()
		slot, err := p.Acquire(t.Context(), askFor("modest", 5*time.Second))
		if err != nil {
			t.Fatalf("the modest caller was refused: %v", err)
		}
		slot.finish(time.Now(), load.Answered)
		_ = group.Wait()
	})
}

func TestAcquireRefusals(t *testing.T) {
	take := func(p *Pool) { _, _ = p.Acquire(context.Background(), askFor("other", time.Second)) }
	tests := map[string]struct {
		prepare func(p *Pool)
		ask     func(a *Ask)
		kind    fault.Kind
	}{
		"unknown service": {func(*Pool) {}, func(a *Ask) { a.Service = "nope" }, fault.Unavailable},
		"another region":  {func(*Pool) {}, func(a *Ask) { a.Region = "two" }, fault.Unavailable},
		"tried already":   {func(*Pool) {}, func(a *Ask) { a.Tried = map[string]bool{"127.0.0.1:1": true} }, fault.Unavailable},
		"all draining":    {func(p *Pool) { p.setDraining("127.0.0.1:1", true) }, func(*Ask) {}, fault.Unavailable},
		"all leaving by the list": {
			func(p *Pool) { p.SetLeaving([]string{"127.0.0.1:1"}) }, func(*Ask) {}, fault.Unavailable,
		},
		"full, no time to wait":  {take, func(a *Ask) { a.Deadline = time.Now().Add(time.Millisecond) }, fault.Overloaded},
		"full, the wait is over": {take, func(*Ask) {}, fault.Overloaded},
		"told to be full": {
			func(p *Pool) { p.board.ReportLoad("127.0.0.1:1", 50, 0, time.Now()) },
			func(a *Ask) { a.Deadline = time.Now().Add(time.Millisecond) }, fault.Overloaded,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := testPool(t, 1)
				test.prepare(p)
				ask := askFor("c", time.Minute)
				test.ask(ask)
				_, err := p.Acquire(t.Context(), ask)
				if fault.KindOf(err) != test.kind || !fault.NotRun(err) {
					t.Errorf("got %v, want kind %s, not run", err, test.kind)
				}
				for key, q := range p.waiting {
					if len(q.waiters) > 0 {
						t.Errorf("a refused request is still queued for %s", key)
					}
				}
			})
		})
	}
}

// TestDrainRefusesQueue drains the only upstream while a request waits for it: it is
// refused at once.
func TestDrainRefusesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(t, 1)
		if _, err := p.Acquire(t.Context(), askFor("first", time.Minute)); err != nil {
			t.Fatal(err)
		}
		begun := time.Now()
		var group errgroup.Group
		group.Go(func() error {
			_, err := p.Acquire(t.Context(), askFor("c", time.Minute))
			return err
		})
		synctest.Wait()
		p.SetLeaving([]string{"127.0.0.1:1"})
		err := group.Wait()
		if fault.KindOf(err) != fault.Unavailable || !fault.NotRun(err) || time.Since(begun) > 0 {
			t.Errorf("a waiting request got %v after %s", err, time.Since(begun))
		}
	})
}

// TestLeaveNoNewWork drains an upstream between admission and dispatch.
func TestLeaveNoNewWork(t *testing.T) {
	p := testPool(t, 2)
	slot, err := p.Acquire(t.Context(), askFor("c", time.Second))
	if err != nil || !slot.Holds() {
		t.Fatalf("an admitted request lost its slot for no reason: %v", err)
	}
	p.SetLeaving([]string{slot.Address()})
	if slot.Holds() {
		t.Error("a request may begin at an upstream that leaves")
	}
}

// TestEjection avoids an upstream that cannot be reached, but never all of them.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(t, 2, 2, 2, 2)
		fail := func(n int) {
			for range n {
				slot, err := p.Acquire(t.Context(), askFor("c", time.Second))
				if err != nil {
					t.Fatal(err)
				}
				slot.finish(time.Now(), load.Unreachable)
			}
		}
		fail(1)
		seen := make(map[string]bool)
		for range 6 {
			slot, err := p.Acquire(t.Context(), askFor("c", time.Second))
			if err != nil {
				t.Fatal(err)
			}
			seen[slot.Address()] = true
		}
		if len(seen) != 3 {
			t.Errorf("with one of four out of reach, %d were used", len(seen))
		}
		p = testPool(t, 2, 2)
		fail(2)
		if _, err := p.Acquire(t.Context(), askFor("c", time.Second)); err != nil {
			t.Errorf("a common fault emptied the region: %v", err)
		}
	})
}

// sink keeps an answer.
type sink struct {
	head dispatch.Head
	body bytes.Buffer
}

func (s *sink) Head(h dispatch.Head) error {
	s.head = h
	return nil
}

func (s *sink) Write(p []byte) (int, error) { return s.body.Write(p) }

func serve(p *Pool, ask *Ask, body io.Reader) (*sink, error) {
	s := &sink{}
	ask.Header, ask.Target, ask.Host = http.Header{}, "/list/x", "test"
	err := p.Serve(context.Background(), ask, io.NopCloser(body), s)
	return s, err
}

// TestSilentConnection lets a kept connection fall silent for good: an idempotent
// request is raced on a new one, and is answered once.
func TestSilentConnection(t *testing.T) {
	var mute atomic.Bool
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if mute.Swap(false) {
			<-r.Context().Done()
			return
		}
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		_, _ = io.WriteString(w, "hello")
	}))
	defer backend.Close()
	p := poolOf(t, map[string]int{backend.Listener.Addr().String(): 2})
	defer p.Close()
	for i := range 3 {
		mute.Store(i == 1)
		ask := askFor("c", 5*time.Second)
		ask.ID, ask.Method, ask.Idempotent = fmt.Sprintf("id-%d", i), http.MethodGet, true
		got, err := serve(p, ask, http.NoBody)
		if err != nil || got.body.String() != "hello" {
			t.Errorf("request %d: %q, %v", i, got.body.String(), err)
		}
	}
	mute.Store(true)
	ask := askFor("c", 700*time.Millisecond)
	ask.ID, ask.Method = "order", http.MethodPost
	_, err := serve(p, ask, strings.NewReader(""))
	if fault.From(err).Ran() != fault.RanUnknown || fault.KindOf(err) != fault.Expired {
		t.Errorf("an order on a silent connection ended with %v", err)
	}
}

// TestJudge reads what the head of an answer says in the project's own protocol.
func TestJudge(t *testing.T) {
	tests := map[string]struct {
		status int
		header http.Header
		want   dispatch.Verdict
		busy   int
	}{
		"whole":            {200, http.Header{"Request-Id": {"1"}, "Busy": {"3"}}, dispatch.Accepted, 3},
		"without the id":   {200, http.Header{}, dispatch.Accepted, -1},
		"crossed":          {200, http.Header{"Request-Id": {"2"}, "Busy": {"3"}}, dispatch.Unsound, -1},
		"refused unrun":    {503, http.Header{"Ran": {"no"}}, dispatch.Refused, -1},
		"503, may be run":  {503, http.Header{}, dispatch.Accepted, -1},
		"an odd busy word": {200, http.Header{"Busy": {"very"}}, dispatch.Accepted, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			busy := -1
			d := &dialect{tell: func(n int) { busy = n }}
			got := d.Judge(&dispatch.Request{ID: "1"}, &http.Response{StatusCode: test.status, Header: test.header})
			if got != test.want || busy != test.busy {
				t.Errorf("verdict %d, busy %d; want %d, %d", got, busy, test.want, test.busy)
			}
		})
	}
}
