package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"hickorydrum/platform"
	"hickorydrum/standin"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"), goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"))
}

var (
	reads  = testRoute{prefix: "/read/", kind: "safe", service: "list", attempts: 2}
	orders = testRoute{prefix: "/order/", kind: "unsafe", service: "list", attempts: 2}
)

const workerBody = "the worker's bytes"

// TestAnswers checks the contract with workers through a whole instance: for each kind of response
// of a worker, what the caller gets and how often its request is executed.
func TestAnswers(t *testing.T) {
	ok := reply{Status: 200, Body: workerBody, Sealed: true}
	tests := map[string]struct {
		fault standin.WorkerFault
		read  reply // to a safe request, sent again if both workers failed it
		order reply // to an unsafe request, which must not be executed twice
		runs  int   // executions of the unsafe request
	}{
		"sound":         {"", ok, ok, 1},
		"reset":         {standin.WorkerReset, ok, reply{Status: 502}, 1},
		"cut short":     {standin.WorkerCut, ok, reply{Status: 502}, 1},
		"no HTTP":       {standin.WorkerGarbage, ok, reply{Status: 502}, 1},
		"extra answer":  {standin.WorkerStale, ok, ok, 1},
		"bytes behind":  {standin.WorkerTail, ok, ok, 1},
		"no length":     {standin.WorkerUnframed, ok, ok, 1},
		"no MAC":        {standin.WorkerUnsealed, ok, reply{Status: 502}, 1},
		"encoded":       {standin.WorkerEncoded, ok, reply{Status: 502}, 1},
		"failed":        {standin.WorkerFail, ok, reply{Status: 500, Body: "failed", Sealed: true}, 1},
		"busy, unclear": {standin.WorkerBusy, ok, reply{Status: 502, Body: "busy"}, 1},
		"early":         {standin.WorkerEarly, reply{Status: 400, Body: "early"}, reply{Status: 400, Body: "early"}, 0},
		"silent":        {standin.WorkerSilent, reply{Status: 504}, reply{Status: 504}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.configure(reads, orders)
			workers := []*standin.Worker{c.worker("list", "one-a", nil), c.worker("list", "one-a", nil)}
			m := c.start("a", "one-a")
			c.ready(m, 2)
			startFault := func() {
				for _, w := range workers {
					w.Fail(test.fault, 1)
				}
			}
			endFault := func() {
				for _, w := range workers {
					w.Fail(test.fault, 0)
				}
			}
			if test.fault != "" {
				// Each of the two fails its next request.
				startFault()
			}
			read := c.send(m, callerRequest{path: "/read/x", id: "read", object: "1"})
			if test.fault != "" && test.read == ok && read.Status != 200 {
				// Both workers failed once; they work from now on.
				endFault()
				read = c.send(m, callerRequest{path: "/read/x", id: "read2", object: "1"})
			}
			endFault()
			if test.fault != "" {
				startFault()
			}
			order := c.send(m, callerRequest{method: http.MethodPost, path: "/order/x", id: "order", body: "an order", object: "1"})
			endFault()
			if test.read.Body == "" {
				read.Body = ""
			}
			if test.order.Body == "" {
				order.Body = ""
			}
			if diff := cmp.Diff([]reply{test.read, test.order}, []reply{read, order}); diff != "" {
				t.Error(diff)
			}
			if n := workers[0].Runs("order") + workers[1].Runs("order"); n != test.runs {
				t.Errorf("the order was run %d times, want %d", n, test.runs)
			}
			after := c.send(m, callerRequest{path: "/read/x", id: "after", object: "1"})
			if diff := cmp.Diff(ok, after); diff != "" {
				t.Errorf("the next request: %s", diff)
			}
		})
	}
}

// TestBodies sends bodies with a length and in chunks. The worker must get the same bytes.
// A request whose body is too large must be refused and not executed.
func TestBodies(t *testing.T) {
	c := newCluster(t)
	c.configure(orders)
	w := c.worker("list", "one-a", nil)
	m := c.start("a", "one-a")
	c.ready(m, 1)
	large := strings.Repeat("0123456789abcdef", 360<<10/16)
	tests := map[string]struct {
		request callerRequest
		status  int
	}{
		"with a length": {callerRequest{body: "short"}, 200},
		"in chunks":     {callerRequest{body: "short", chunked: true}, 200},
		"large":         {callerRequest{body: large}, 200},
		"large, chunks": {callerRequest{body: large, chunked: true}, 200},
		"too large":     {callerRequest{body: strings.Repeat("x", 1<<20+1)}, 413},
		"too large, in chunks": {
			callerRequest{body: strings.Repeat("x", 1<<20+1), chunked: true}, 413,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := test.request
			q.method, q.path, q.id = http.MethodPost, "/order/x", "id-"+name
			got := c.send(m, q)
			if got.Status != test.status {
				t.Errorf("status %d, want %d", got.Status, test.status)
			}
			if test.status == 200 && w.Body(q.id) != q.body {
				t.Errorf("the worker got %d bytes of %d", len(w.Body(q.id)), len(q.body))
			}
			if test.status != 200 && w.Runs(q.id) != 0 {
				t.Error("a refused request was run")
			}
		})
	}
}

// TestLateBody guards against a request whose body does not arrive in time and whose caller gets no
// response, though it has not run.
func TestLateBody(t *testing.T) {
	c := newCluster(t)
	c.configure(testRoute{prefix: "/order/", kind: "unsafe", service: "list", timeout: 300})
	w := c.worker("list", "one-a", nil)
	m := c.start("a", "one-a")
	c.ready(m, 1)
	for name, test := range map[string]struct{ length, status int }{
		"late":               {2, http.StatusRequestTimeout},
		"late and too large": {8 << 20, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			conn, reader := c.raw(m)
			if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: h.example\r\nHickorydrum-Attempt-Id: late\r\n"+
				"Hickorydrum-Deadline-Remaining: 900\r\nContent-Length: %d\r\n\r\na", test.length)
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]int{test.status, 0}, []int{resp.StatusCode, w.Runs("late")}); diff != "" {
				t.Errorf("status and runs (-want +got):\n%s", diff)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Error(err)
			}
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Errorf("after the response: %v, want the end of the connection", err)
			}
		})
	}
}

// TestRefusals checks the status of requests that are refused before anything is sent to a
// worker.
func TestRefusals(t *testing.T) {
	c := newCluster(t)
	// The worker is registered before the instance starts; a later one would count as cold.
	w := c.worker("list", "one-a", nil)
	m := c.start("a", "one-a")
	if got := c.send(m, callerRequest{path: "/read/x", id: "1"}); got.Status != 503 {
		t.Errorf("without a configuration: %d", got.Status)
	}
	c.configure(reads, testRoute{prefix: "/home/", kind: "safe", service: "list", homes: []string{"two"}})
	c.ready(m, 1)
	tests := map[string]struct {
		request callerRequest
		status  int
	}{
		"a route":                 {callerRequest{path: "/read/x"}, 200},
		"no route":                {callerRequest{path: "/none/x"}, 404},
		"only homes elsewhere":    {callerRequest{path: "/home/x"}, 503},
		"no time left":            {callerRequest{path: "/read/x", remaining: 1}, 503},
		"the query is no path":    {callerRequest{path: "/read/x?y=/none/"}, 200},
		"an escaped path is kept": {callerRequest{path: "/read/a%2Fb"}, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := test.request
			q.id = "id-" + name
			if got := c.send(m, q); got.Status != test.status {
				t.Errorf("status %d, want %d", got.Status, test.status)
			}
			if test.status != 200 && w.Runs(q.id) != 0 {
				t.Error("a refused request was run")
			}
		})
	}
}

// TestStoreAway starts an instance while the store does not answer and a seed is dead. It must
// load everything from a peer, and both must apply a new configuration after the recovery.
func TestStoreAway(t *testing.T) {
	for name, fault := range map[string]standin.StoreFault{"down": standin.StoreDown, "silent": standin.StoreSilent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.configure(reads)
			c.worker("list", "one-a", nil)
			first := c.start("a", "one-a")
			c.ready(first, 1)
			c.store.Fail(fault, -1)
			seeds := []string{"127.0.0.1:9", fmt.Sprintf("%s:%d", first.ip, controlPort)}
			late := c.startWith("b", "one-b", strings.TrimPrefix(c.api.URL, "http://"), seeds)
			c.ready(late, 1)
			if got := c.send(late, callerRequest{path: "/read/x", id: "1"}); got.Status != 200 {
				t.Errorf("status %d", got.Status)
			}
			c.store.Fail(fault, 0)
			c.configure(reads, orders)
			c.await("the new configuration at both", func() bool {
				return first.instance.planner.Table().Version() == c.version && late.instance.planner.Table().Version() == c.version
			})
		})
	}
}

// TestChanges guards against changes that a watch misses. It makes changes to upstreams,
// evacuations and routes while watches work and while the store drops its history: each change
// must come into force.
func TestChanges(t *testing.T) {
	for name, fault := range map[string]standin.StoreFault{"": "", "history dropped": standin.StoreHistoryDropped} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.configure(reads)
			near, far := c.worker("list", "one-a", nil), c.worker("list", "one-b", nil)
			m := c.start("a", "one-a")
			c.ready(m, 2)
			if fault != "" {
				c.store.Fail(fault, 3)
			}
			only := func(what string, w, other *standin.Worker) {
				t.Helper()
				c.await(what, func() bool {
					before, beside := w.Arrivals(), other.Arrivals()
					for i := range 5 {
						c.send(m, callerRequest{path: "/read/x", id: fmt.Sprint(what, i, before), object: fmt.Sprint(i)})
					}
					return w.Arrivals() >= before+5 && other.Arrivals() == beside
				})
			}
			c.register(near, "list", "one-a", "draining")
			only("nothing goes to the draining worker", far, near)
			c.register(near, "list", "one-a", "ready")
			c.put(platform.KindEvacuations+"/one-b", []byte("{}"))
			only("nothing goes to the evacuated failure domain", near, far)
			c.remove(platform.KindEvacuations + "/one-b")
			c.put(platform.KindUpstreams+"/"+near.ID(), []byte(`{"address":5}`))
			only("nothing goes to the worker with an unreadable entry", far, near)
			c.register(near, "list", "one-a", "ready")
			c.remove(platform.KindUpstreams + "/" + far.ID())
			only("nothing goes to the worker that is gone", near, far)
			c.configure(orders)
			c.await("the removed route", func() bool { return c.send(m, callerRequest{path: "/read/x", id: "gone"}).Status == 404 })
		})
	}
}

// TestAddressOfAnother registers a second worker at the address of another, as a stale entry
// does after an address is reused. The worker there refuses the request, which must then reach
// the right one and be executed once.
func TestAddressOfAnother(t *testing.T) {
	c := newCluster(t)
	c.configure(orders)
	right := c.worker("list", "one-b", nil)
	other := c.worker("other", "one-a", nil)
	c.put(platform.KindUpstreams+"/i-old", other.Entry("list", "one-a", "ready", time.Now().Add(-time.Minute), 0))
	m := c.start("a", "one-a")
	c.ready(m, 3)
	for i := range 8 {
		id := fmt.Sprint("order-", i)
		got := c.send(m, callerRequest{method: http.MethodPost, path: "/order/x", id: id, body: "b", object: id})
		if got.Status != 200 || right.Runs(id) != 1 {
			t.Errorf("%s: status %d, run %d times", id, got.Status, right.Runs(id))
		}
	}
}

// TestFullWorkers sends more requests than two workers can queue. A refused request must not be
// executed, and an answered one must be executed once.
func TestFullWorkers(t *testing.T) {
	c := newCluster(t)
	c.configure(orders)
	small := func(w *standin.WorkerConfig) {
		w.Slots, w.Queue, w.Warm, w.Cold = 1, 1, 60*time.Millisecond, 60*time.Millisecond
	}
	workers := []*standin.Worker{c.worker("list", "one-a", small), c.worker("list", "one-a", small)}
	m := c.start("a", "one-a")
	c.ready(m, 2)
	replies := make(chan struct {
		id  string
		got reply
	}, 40)
	for i := range cap(replies) {
		id := fmt.Sprint("order-", i)
		m.group.Go(func() error {
			got := c.send(m, callerRequest{method: http.MethodPost, path: "/order/x", id: id, body: "b", object: id})
			replies <- struct {
				id  string
				got reply
			}{id, got}
			return nil
		})
	}
	statuses := make(map[int]int)
	for range cap(replies) {
		r := <-replies
		statuses[r.got.Status]++
		runs := workers[0].Runs(r.id) + workers[1].Runs(r.id)
		if r.got.Status == 200 && runs != 1 || r.got.Status == 503 && runs != 0 {
			t.Errorf("%s: status %d, run %d times", r.id, r.got.Status, runs)
		}
	}
	if statuses[200] == 0 || statuses[503] == 0 {
		t.Errorf("statuses %v", statuses)
	}
}

// TestCallerLeaves closes a caller's connection while the worker executes its request. A safe
// request must be canceled at the worker, and an unsafe one must run to its end.
func TestCallerLeaves(t *testing.T) {
	tests := map[string]struct {
		path         string
		method       string
		canceledRuns int
	}{
		"a read":   {"/read/x", "GET", 1},
		"an order": {"/order/x", "POST", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.configure(reads, orders)
			w := c.worker("list", "one-a", func(w *standin.WorkerConfig) {
				w.Cold = 300 * time.Millisecond
				w.Warm = w.Cold
			})
			m := c.start("a", "one-a")
			c.ready(m, 1)
			conn, _ := c.raw(m)
			fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nHickorydrum-Attempt-Id: left\r\n"+
				"Hickorydrum-Deadline-Remaining: 900\r\nContent-Length: 0\r\n\r\n", test.method, test.path)
			c.await("the request at the worker", func() bool { return w.Runs("left") == 1 })
			_ = conn.Close()
			c.await("the end of the request", func() bool { return m.instance.servers.front.Counts().Serving == 0 })
			c.await("the canceled run", func() bool { return w.Aborted() == test.canceledRuns })
			if got := c.send(m, callerRequest{path: "/read/y", id: "next"}); got.Status != 200 {
				t.Errorf("the next request: %d", got.Status)
			}
		})
	}
}

// TestStop starts a planned stop, as SIGTERM does, while requests are in flight. Readiness must
// fail and look-ups must omit the instance at once, and every request must get its response.
func TestStop(t *testing.T) {
	c := newCluster(t)
	c.grace = 12 // long enough that no step of the test exceeds it on a busy machine
	c.configure(orders)
	w := c.worker("list", "one-a", func(w *standin.WorkerConfig) {
		w.Cold = 400 * time.Millisecond
		w.Warm = w.Cold
	})
	first, second := c.start("a", "one-a"), c.start("b", "one-a")
	c.ready(first, 1)
	c.ready(second, 1)
	c.await("both in the look-up", func() bool { return len(c.lookup(second, "one-a", "one").Addresses) == 2 })
	kept, reader := c.raw(first)
	send := func(id string) *http.Response {
		t.Helper()
		fmt.Fprintf(kept, "POST /order/x HTTP/1.1\r\nHost: h.example\r\nHickorydrum-Attempt-Id: %s\r\n"+
			"Hickorydrum-Deadline-Remaining: 900\r\nContent-Length: 2\r\n\r\nab", id)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		return resp
	}
	if resp := send("before"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("before the stop: %d, close %v", resp.StatusCode, resp.Close)
	}
	slow := make(chan reply, 1)
	second.group.Go(func() error {
		slow <- c.send(first, callerRequest{method: http.MethodPost, path: "/order/x", id: "slow", body: "b"})
		return nil
	})
	c.await("the slow request at the worker", func() bool { return w.Runs("slow") == 1 })
	first.stop()
	c.await("not ready", func() bool {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", first.ip, readyPort))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == 503
	})
	c.await("the look-up without it", func() bool { return len(c.lookup(second, "one-a", "one").Addresses) == 1 })
	if resp := send("crossing"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("on the kept connection: %d, close %v", resp.StatusCode, resp.Close)
	}
	if got := <-slow; got.Status != 200 {
		t.Errorf("the slow request: %d", got.Status)
	}
	if got := c.send(first, callerRequest{method: http.MethodPost, path: "/order/x", id: "late", body: "b"}); got.Status != 200 {
		t.Errorf("a new connection during the stop: %d", got.Status)
	}
	if err := first.group.Wait(); err != nil {
		t.Error(err)
	}
}

// TestStopKeepsNewGrace guards against a planned stop that outlasts a grace period that was shortened
// while the process ran: the platform kills the process then, with what it has in flight.
func TestStopKeepsNewGrace(t *testing.T) {
	c := newCluster(t)
	c.grace = 12
	c.configure(testRoute{prefix: "/order/", kind: "unsafe", service: "list", timeout: 8000})
	w := c.worker("list", "one-a", func(w *standin.WorkerConfig) { w.Cold = 8 * time.Second })
	m := c.start("a", "one-a")
	c.ready(m, 1)
	c.grace = 3
	writeFile(t, m.file, c.settings("a", "one-a", m.ip, strings.TrimPrefix(c.api.URL, "http://"), nil))
	got := make(chan reply, 1)
	m.group.Go(func() error {
		got <- c.send(m, callerRequest{method: http.MethodPost, path: "/order/x", id: "long", body: "b", remaining: 8000})
		return nil
	})
	c.await("the request at the worker", func() bool { return w.Runs("long") == 1 })
	begun := time.Now()
	m.stop()
	if answer := <-got; answer.Status != http.StatusBadGateway {
		t.Errorf("the request that the stop cut got %d, want a whole 502", answer.Status)
	}
	if err := m.group.Wait(); err != nil {
		t.Error(err)
	}
	if took := time.Since(begun); took > 3*time.Second {
		t.Errorf("the stop took %v, the grace period is 3 s", took)
	}
}

// TestLookup checks that look-ups return the instances nearest to the caller, and none that has
// stopped.
func TestLookup(t *testing.T) {
	c := newCluster(t)
	c.configure(reads)
	c.worker("list", "one-a", nil)
	a, b, far := c.start("a", "one-a"), c.start("b", "one-b"), c.start("c", "two-a")
	for _, m := range c.instances {
		c.ready(m, 1)
	}
	names := func(at *member, domain, region string) string {
		return strings.Join(c.lookup(at, domain, region).Addresses, ",")
	}
	front := func(m *member) string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }
	c.await("both of region one", func() bool {
		got := names(far, "one-a", "one")
		return strings.Contains(got, front(a)) && strings.Contains(got, front(b)) && !strings.Contains(got, front(far))
	})
	c.await("the one of region two", func() bool { return names(a, "two-a", "two") == front(far) })
	far.stop()
	c.await("another region when the own one is gone", func() bool {
		got := names(a, "two-a", "two")
		return strings.Contains(got, front(a)) && !strings.Contains(got, front(far))
	})
}

// TestReload changes the settings file. The new bounds must come into force, and a broken file
// must be refused without harm to requests.
func TestReload(t *testing.T) {
	c := newCluster(t)
	c.configure(reads)
	c.worker("list", "one-a", nil)
	m := c.start("a", "one-a")
	c.ready(m, 1)
	before := m.instance.settings.Bounds.RetrySlack
	text := c.settings("a", "one-a", m.ip, strings.TrimPrefix(c.api.URL, "http://"), nil)
	writeFile(t, m.file, strings.Replace(text, "budgetSlack = 60", "budgetSlack = 61", 1))
	m.reload <- nil
	c.await("the new bounds", func() bool { return m.instance.planner.Bounds().Slack == before+1 })
	writeFile(t, m.file, "[self\n")
	m.reload <- nil
	if got := c.send(m, callerRequest{path: "/read/x", id: "1"}); got.Status != 200 {
		t.Errorf("with a broken settings file: %d", got.Status)
	}
}
