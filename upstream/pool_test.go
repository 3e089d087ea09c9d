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
	"hickorydrum/limit"
	"hickorydrum/load"
	"hickorydrum/steering"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testPool returns a pool with one upstream for each number of slots. None is cold.
func testPool(t testing.TB, slots ...int) *Pool {
	t.Helper()
	workers := make(map[string]int)
	for i, n := range slots {
		workers[fmt.Sprintf("127.0.0.1:%d", i+1)] = n
	}
	return newTestPool(t, workers)
}

// newTestPool returns a pool with upstreams that have the given slots, by address. None is cold.
func newTestPool(t testing.TB, workers map[string]int) *Pool {
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

// testRequest returns a request of a caller with the given time left.
func testRequest(caller string, left time.Duration) *Request {
	return &Request{Service: "list", Region: "one", Caller: caller, Deadline: time.Now().Add(left)}
}

// simulatedResult is the outcome of one simulated request.
type simulatedResult struct {
	took    time.Duration
	refused bool
}

// simulateLoad sends requests to the pool at a mean rate for the given length of time. It returns
// their outcomes and the peak of the requests in flight. serviceTime is how long a request holds
// its slot.
func simulateLoad(p *Pool, perSecond float64, length, serviceTime time.Duration, seed uint64) (out []simulatedResult, peak int) {
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	inFlight := 0
	var group errgroup.Group
	for until := time.Now().Add(length); time.Now().Before(until); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		caller := fmt.Sprint(random.IntN(50))
		group.Go(func() error {
			begun := time.Now()
			slot, err := p.Acquire(context.Background(), testRequest(caller, 5*time.Second))
			if err == nil {
				mu.Lock()
				inFlight++
				peak = max(peak, inFlight)
				mu.Unlock()
				time.Sleep(serviceTime)
				mu.Lock()
				inFlight--
				mu.Unlock()
				slot.release(begun, load.Answered)
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, simulatedResult{took: time.Since(begun), refused: err != nil})
			return nil
		})
	}
	_ = group.Wait()
	return out, peak
}

const (
	overloadSlots       = 16
	overloadServiceTime = 20 * time.Millisecond
	overloadLength      = 10 * time.Second
	goodputBound        = 0.95
	refusalBound        = 50 * time.Millisecond
	overloadCapacity    = overloadSlots * float64(time.Second) / float64(overloadServiceTime)
)

// TestOverload checks goodput, requests in flight and the delay of refusals at 0.5 to 4 times the
// capacity, in virtual time.
func TestOverload(t *testing.T) {
	for _, times := range []float64{0.5, 1, 2, 4} {
		t.Run(fmt.Sprintf("%.1f times capacity", times), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := testPool(t, 4, 4, 4, 4)
				out, peak := simulateLoad(p, times*overloadCapacity, overloadLength, overloadServiceTime, 1)
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

// TestFairQueue checks that the many requests of one caller do not prevent those of another from
// being served.
func TestFairQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(t, 8)
		var group errgroup.Group
		for range 40 {
			group.Go(func() error {
				slot, err := p.Acquire(t.Context(), testRequest("greedy", 5*time.Second))
				if err == nil {
					begun := time.Now()
					time.Sleep(50 * time.Millisecond)
					slot.release(begun, load.Answered)
				}
				return nil
			})
		}
		synctest.Wait()
		slot, err := p.Acquire(t.Context(), testRequest("modest", 5*time.Second))
		if err != nil {
			t.Fatalf("the modest caller was refused: %v", err)
		}
		slot.release(time.Now(), load.Answered)
		_ = group.Wait()
	})
}

func TestAcquireRefusals(t *testing.T) {
	take := func(p *Pool) { _, _ = p.Acquire(context.Background(), testRequest("other", time.Second)) }
	tests := map[string]struct {
		prepare func(p *Pool)
		change  func(r *Request)
		kind    fault.Kind
	}{
		"unknown service": {func(*Pool) {}, func(r *Request) { r.Service = "nope" }, fault.Unavailable},
		"another region":  {func(*Pool) {}, func(r *Request) { r.Region = "two" }, fault.Unavailable},
		"tried already":   {func(*Pool) {}, func(r *Request) { r.Tried = map[string]bool{"127.0.0.1:1": true} }, fault.Unavailable},
		"all draining":    {func(p *Pool) { p.setDraining("127.0.0.1:1", true) }, func(*Request) {}, fault.Unavailable},
		"all leaving by the list": {
			func(p *Pool) { p.SetLeaving([]string{"127.0.0.1:1"}) }, func(*Request) {}, fault.Unavailable,
		},
		"full, no time to wait":  {take, func(r *Request) { r.Deadline = time.Now().Add(time.Millisecond) }, fault.Overloaded},
		"full, the wait is over": {take, func(*Request) {}, fault.Overloaded},
		"reported as full": {
			func(p *Pool) { p.tracker.RecordLoad("127.0.0.1:1", 50, 0, time.Now()) },
			func(r *Request) { r.Deadline = time.Now().Add(time.Millisecond) }, fault.Overloaded,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := testPool(t, 1)
				test.prepare(p)
				req := testRequest("c", time.Minute)
				test.change(req)
				_, err := p.Acquire(t.Context(), req)
				if fault.KindOf(err) != test.kind || !fault.IsNotExecuted(err) {
					t.Errorf("got %v, want kind %s, not executed", err, test.kind)
				}
				for key, q := range p.queues {
					if len(q.waiters) > 0 {
						t.Errorf("a refused request is still queued for %s", key)
					}
				}
			})
		})
	}
}

// TestDrainRefusesQueue checks that a queued request is refused at once when the only upstream
// starts to leave.
func TestDrainRefusesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(t, 1)
		if _, err := p.Acquire(t.Context(), testRequest("first", time.Minute)); err != nil {
			t.Fatal(err)
		}
		begun := time.Now()
		var group errgroup.Group
		group.Go(func() error {
			_, err := p.Acquire(t.Context(), testRequest("c", time.Minute))
			return err
		})
		synctest.Wait()
		p.SetLeaving([]string{"127.0.0.1:1"})
		err := group.Wait()
		if fault.KindOf(err) != fault.Unavailable || !fault.IsNotExecuted(err) || time.Since(begun) > 0 {
			t.Errorf("a waiting request got %v after %s", err, time.Since(begun))
		}
	})
}

// TestLeaveNoNewWork checks that no request is sent to an upstream that starts to leave after the
// slot was acquired.
func TestLeaveNoNewWork(t *testing.T) {
	p := testPool(t, 2)
	slot, err := p.Acquire(t.Context(), testRequest("c", time.Second))
	if err != nil || !slot.Usable() {
		t.Fatalf("the slot of an upstream that is not leaving is not usable: %v", err)
	}
	p.SetLeaving([]string{slot.Address()})
	if slot.Usable() {
		t.Error("a request may be sent to an upstream that is leaving")
	}
}

// TestEjection checks that an unreachable upstream is avoided, but not when all are unreachable.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(t, 2, 2, 2, 2)
		fail := func(n int) {
			for range n {
				slot, err := p.Acquire(t.Context(), testRequest("c", time.Second))
				if err != nil {
					t.Fatal(err)
				}
				slot.release(time.Now(), load.Unreachable)
			}
		}
		fail(1)
		seen := make(map[string]bool)
		for range 6 {
			slot, err := p.Acquire(t.Context(), testRequest("c", time.Second))
			if err != nil {
				t.Fatal(err)
			}
			seen[slot.Address()] = true
		}
		if len(seen) != 3 {
			t.Errorf("with one of four upstreams unreachable, %d were used", len(seen))
		}
		p = testPool(t, 2, 2)
		fail(2)
		if _, err := p.Acquire(t.Context(), testRequest("c", time.Second)); err != nil {
			t.Errorf("with both upstreams unreachable, no slot was acquired: %v", err)
		}
	})
}

// sink stores a response.
type sink struct {
	head dispatch.Head
	body bytes.Buffer
}

func (s *sink) Head(h dispatch.Head) error {
	s.head = h
	return nil
}

func (s *sink) Write(p []byte) (int, error) { return s.body.Write(p) }

func serve(p *Pool, req *Request, body io.Reader) (*sink, error) {
	s := &sink{}
	req.Header, req.Target, req.Host = http.Header{}, "/list/x", "test"
	err := p.Serve(context.Background(), req, io.NopCloser(body), s)
	return s, err
}

// TestSilentConnection checks requests on an idle connection that no longer responds. An
// idempotent request is answered through a second attempt on a new connection; any other request
// expires, and its fault states that it may have been executed.
func TestSilentConnection(t *testing.T) {
	var stalled atomic.Bool
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stalled.Swap(false) {
			<-r.Context().Done()
			return
		}
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		_, _ = io.WriteString(w, "hello")
	}))
	defer backend.Close()
	p := newTestPool(t, map[string]int{backend.Listener.Addr().String(): 2})
	defer p.Close()
	for i := range 3 {
		stalled.Store(i == 1)
		req := testRequest("c", 5*time.Second)
		req.ID, req.Method, req.Idempotent = fmt.Sprintf("id-%d", i), http.MethodGet, true
		got, err := serve(p, req, http.NoBody)
		if err != nil || got.body.String() != "hello" {
			t.Errorf("request %d: %q, %v", i, got.body.String(), err)
		}
	}
	stalled.Store(true)
	req := testRequest("c", 700*time.Millisecond)
	req.ID, req.Method = "order", http.MethodPost
	_, err := serve(p, req, strings.NewReader(""))
	if fault.From(err).Execution() != fault.MaybeExecuted || fault.KindOf(err) != fault.Expired {
		t.Errorf("an order on a silent connection ended with %v", err)
	}
}

// TestJudge checks the class of responses and the load that they report.
func TestJudge(t *testing.T) {
	tests := map[string]struct {
		status int
		header http.Header
		want   dispatch.ResponseClass
		busy   int
	}{
		"whole":            {200, http.Header{"Request-Id": {"1"}, "Busy": {"3"}}, dispatch.Accepted, 3},
		"without the id":   {200, http.Header{}, dispatch.Accepted, -1},
		"crossed":          {200, http.Header{"Request-Id": {"2"}, "Busy": {"3"}}, dispatch.Invalid, -1},
		"refused unrun":    {503, http.Header{"Ran": {"no"}}, dispatch.Refused, -1},
		"503, may be run":  {503, http.Header{}, dispatch.Accepted, -1},
		"two ids":          {200, http.Header{"Request-Id": {"1", "2"}}, dispatch.Invalid, -1},
		"its id twice":     {200, http.Header{"Request-Id": {"1", "1"}, "Busy": {"3"}}, dispatch.Accepted, 3},
		"run and not run":  {503, http.Header{"Ran": {"no", "yes"}}, dispatch.Accepted, -1},
		"not run, twice":   {503, http.Header{"Ran": {"no", "no"}}, dispatch.Refused, -1},
		"an odd busy word": {200, http.Header{"Busy": {"very"}}, dispatch.Accepted, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			busy := -1
			d := &dialect{reporter: loadReports{busy: &busy}}
			got := d.ClassifyResponse(&dispatch.Request{ID: "1"}, &http.Response{StatusCode: test.status, Header: test.header})
			if got != test.want || busy != test.busy {
				t.Errorf("class %d, busy %d; want %d, %d", got, busy, test.want, test.busy)
			}
		})
	}
}

// TestEarlierRefusal guards against a refusal of a request that was run, when an upstream writes an earlier
// refusal once more on a kept connection.
func TestEarlierRefusal(t *testing.T) {
	refusal := func(id string) http.Header { return http.Header{"Ran": {"no"}, "Request-Id": {id}} }
	tests := map[string]struct {
		header http.Header
		reused bool
		want   dispatch.ResponseClass
	}{
		"its own":                            {refusal("1"), true, dispatch.Refused},
		"without an ID, on a new connection": {http.Header{"Ran": {"no"}}, false, dispatch.Refused},
		"without an ID, on a kept one":       {http.Header{"Ran": {"no"}}, true, dispatch.Invalid},
		"of another request":                 {refusal("2"), true, dispatch.Invalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			busy := 0
			d := &dialect{reporter: loadReports{busy: &busy}}
			got := d.ClassifyResponse(&dispatch.Request{ID: "1", Reused: test.reused},
				&http.Response{StatusCode: http.StatusServiceUnavailable, Header: test.header})
			if got != test.want {
				t.Errorf("class %d, want %d", got, test.want)
			}
		})
	}
}

// loadReports keeps the load that is reported, and ignores the rest.
type loadReports struct{ busy *int }

func (r loadReports) reportLoad(busy int)      { *r.busy = busy }
func (loadReports) reportLimit(limit.Response) {}
func (loadReports) reportLeaving()             {}
func (loadReports) reportPause(time.Duration)  {}
