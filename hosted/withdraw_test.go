package hosted

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"hickorydrum/mirror"
	"hickorydrum/platform"
	"hickorydrum/standin"
)

// coldStart is how long an upstream counts as cold, and a little longer.
const coldStart = 300 * time.Millisecond

// leavingHeader is the header of the responses of an upstream that leaves.
const leavingHeader = "Server-Leaving: 1\r\n"

// TestServerLeaving guards against requests to an upstream that said in a response that it leaves,
// while its entry still says that it is ready. However it said so, it gets no more, until it starts
// again.
func TestServerLeaving(t *testing.T) {
	tests := map[string]struct {
		fault   standin.WorkerFault // of the response that says so
		request callerRequest
	}{
		"a success":             {"", callerRequest{path: "/read/a"}},
		"a failure":             {standin.WorkerFail, callerRequest{path: "/read/a"}},
		"a refusal":             {standin.WorkerRefuse, callerRequest{path: "/read/a"}},
		"a response cut off":    {standin.WorkerCut, callerRequest{path: "/read/a"}},
		"a response not valid":  {standin.WorkerUnsealed, callerRequest{path: "/read/a"}},
		"to an order":           {"", callerRequest{method: http.MethodPost, path: "/order/a", body: "x"}},
		"a refusal of an order": {standin.WorkerRefuse, callerRequest{method: http.MethodPost, path: "/order/a", body: "x"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.configure(reads, orders)
			m := c.start("m", "one-a")
			said := c.worker("list", "one-a", nil)
			c.ready(m, 1)
			said.SetHeader(leavingHeader)
			if test.fault != "" {
				said.Fail(test.fault, 1)
			}
			c.await("the first request at the upstream", func() bool {
				test.request.id = strconv.FormatInt(time.Now().UnixNano(), 36)
				c.send(m, test.request)
				return said.Arrivals() > 0
			})
			other := c.worker("list", "one-a", nil)
			c.ready(m, 2)
			time.Sleep(coldStart) // of the other one
			before := said.Arrivals()
			for i := range 20 {
				test.request.id = fmt.Sprint("later-", i)
				if got := c.send(m, test.request); got.Status != http.StatusOK {
					t.Errorf("status %d although another upstream is there", got.Status)
				}
			}
			if got := said.Arrivals() - before; got != 0 {
				t.Errorf("%d requests reached the upstream after it had said that it leaves", got)
			}
			said.SetHeader("")
			c.put(platform.KindUpstreams+"/"+said.ID(), said.Entry("list", "one-a", "ready", time.Now(), 0))
			c.remove(platform.KindUpstreams + "/" + other.ID())
			c.await("requests to the upstream after it started again", func() bool {
				test.request.id = strconv.FormatInt(time.Now().UnixNano(), 36)
				return c.send(m, test.request).Status == http.StatusOK && said.Arrivals() > before
			})
		})
	}
}

// TestMisdirectedLeaving guards against requests to an upstream that took over the address of another
// one and said that it leaves as it rejected a request for that one.
func TestMisdirectedLeaving(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.configure(reads)
	m := c.start("m", "one-a")
	w := c.worker("list", "one-a", func(w *standin.WorkerConfig) { w.ID = "i-new" })
	w.SetHeader(leavingHeader)
	c.remove(platform.KindUpstreams + "/i-new")
	c.put(platform.KindUpstreams+"/i-old", w.Entry("list", "one-a", "ready", time.Now().Add(-time.Hour), 0))
	c.put(platform.KindUpstreams+"/i-new", w.Entry("other", "one-a", "ready", time.Now().Add(-time.Minute), 0))
	c.ready(m, 2)
	c.send(m, callerRequest{path: "/read/a", id: "first"})
	view := m.instance.planner.View()
	u, ok := view.Upstream("i-new")
	if !ok || m.instance.planner.Eligible(u) {
		t.Error("requests may be sent to the upstream that said that it leaves")
	}
}

// retryResponse is a response with the time after which the caller should come back.
type retryResponse struct {
	status     int
	retryAfter time.Duration
	took       time.Duration
}

// sendForRetry sends a request and returns the response.
func (c *cluster) sendForRetry(m *member, q callerRequest) retryResponse {
	c.t.Helper()
	r, err := q.build(m)
	if err != nil {
		c.t.Fatal(err)
	}
	begun := time.Now()
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return retryResponse{}
	}
	defer func() { _ = resp.Body.Close() }()
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 without one
	return retryResponse{resp.StatusCode, time.Duration(seconds * float64(time.Second)), time.Since(begun)}
}

// TestPause guards against requests to an upstream that refused one and named a time until which it
// wants no more, and against an upstream that is left idle for longer than that.
func TestPause(t *testing.T) {
	tests := map[string]struct {
		header string
		pause  time.Duration
	}{
		"whole":           {"Retry-After: 1\r\n", time.Second},
		"a fraction":      {"Retry-After: 0.7\r\n", 700 * time.Millisecond},
		"twice":           {"Retry-After: 0.5\r\nRetry-After: 1.2\r\n", 1200 * time.Millisecond},
		"zero":            {"Retry-After: 0\r\n", 0},
		"absent":          {"", 0},
		"negative":        {"Retry-After: -3\r\n", 0},
		"no number":       {"Retry-After: soon\r\n", 0},
		"more than a day": {"Retry-After: 100000\r\n", 100000 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.configure(testRoute{prefix: "/read/", kind: "safe", service: "list", attempts: 1})
			m := c.start("m", "one-a")
			w := c.worker("list", "one-a", nil)
			c.ready(m, 1)
			w.SetHeader(test.header)
			w.Fail(standin.WorkerRefuse, 1)
			c.send(m, callerRequest{path: "/read/a", id: "first"})
			refused := time.Now()
			if test.pause > 0 {
				got := c.sendForRetry(m, callerRequest{path: "/read/a", id: "second"})
				if got.status != http.StatusServiceUnavailable || got.took > 200*time.Millisecond {
					t.Errorf("status %d after %s, want a refusal at once", got.status, got.took)
				}
				if left := test.pause - time.Since(refused); got.retryAfter < left {
					t.Errorf("callers are to come back after %s, but the upstream wants nothing for %s", got.retryAfter, left)
				}
			}
			if test.pause > 10*time.Second {
				return
			}
			var back time.Time
			c.await("a request at the upstream after its pause", func() bool {
				id := strconv.FormatInt(time.Now().UnixNano(), 36)
				back = time.Now()
				return c.send(m, callerRequest{path: "/read/a", id: id}).Status == http.StatusOK
			})
			idle := back.Sub(refused)
			if idle < test.pause-20*time.Millisecond {
				t.Errorf("a request reached the upstream after %s, in its pause of %s", idle, test.pause)
			}
			if idle > test.pause+500*time.Millisecond {
				t.Errorf("the upstream was idle for %s, and asked for %s", idle, test.pause)
			}
		})
	}
}

// TestPauseSpreadsCallers guards against callers that all come back in the moment at which the
// upstreams of their service want requests again.
func TestPauseSpreadsCallers(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.configure(testRoute{prefix: "/read/", kind: "safe", service: "list", attempts: 1})
	m := c.start("m", "one-a")
	w := c.worker("list", "one-a", nil)
	c.ready(m, 1)
	w.SetHeader("Retry-After: 4\r\n")
	w.Fail(standin.WorkerRefuse, 1)
	c.send(m, callerRequest{path: "/read/a", id: "first"})
	var mu sync.Mutex
	earliest, latest := time.Hour, time.Duration(0)
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			got := c.sendForRetry(m, callerRequest{path: "/read/a", id: fmt.Sprint("later-", i)})
			mu.Lock()
			defer mu.Unlock()
			earliest, latest = min(earliest, got.retryAfter), max(latest, got.retryAfter)
		})
	}
	group.Wait()
	if earliest < 3*time.Second || latest-earliest < 300*time.Millisecond {
		t.Errorf("callers come back after %s to %s", earliest, latest)
	}
}

// TestWithdrawnLate guards against an instance that learns too late that an upstream has left, and does
// not say so.
func TestWithdrawnLate(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.configure(reads)
	m := c.start("m", "one-a")
	w := c.worker("list", "one-a", nil)
	c.ready(m, 1)
	c.await("a request at the upstream", func() bool {
		return c.send(m, callerRequest{path: "/read/a", id: strconv.FormatInt(time.Now().UnixNano(), 36)}).Status == http.StatusOK
	})
	now := time.Now()
	const late = `"event":317`
	m.instance.logWithdrawal(&withdrawn{id: w.ID(), from: mirror.Origin{Source: mirror.FromPeer, At: now, After: now}})
	if strings.Contains(m.logs.String(), late) {
		t.Error("a withdrawal that was learned at once counts as late")
	}
	m.instance.logWithdrawal(&withdrawn{id: w.ID(), from: mirror.Origin{Source: mirror.FromPeer, At: now, After: now.Add(-5 * time.Second)}})
	if !strings.Contains(m.logs.String(), late) {
		t.Error("no line says that requests were sent after the upstream had left")
	}
}
