package restart

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hickorydrum/declaration"
	"hickorydrum/peer"
	"hickorydrum/platform"
	"hickorydrum/rollout"
	"hickorydrum/standin"
)

const (
	attemptHeader = "Hickorydrum-Attempt-Id"
	serveSlots    = 2000
	responseSize  = 8 << 10
	// A response of slowResponseSize fits the send buffer of the instance, and not the receive buffer of
	// a caller, callerBuffer.
	slowResponseSize = 1 << 20
	// serveStopTimeout is how long an instance of the own interface may take to stop.
	serveStopTimeout = 40 * time.Second
	// responseMargin is how long after its limit a request may get its response, and after the end of
	// the last request the process may exit.
	responseMargin = 500 * time.Millisecond
	// storeTimeout is how long an instance tries to write the outcome of a request with a key.
	storeTimeout = 5 * time.Second
	// shutdownDelay is how long after SIGTERM such an instance closes its listener: the shortest
	// lookup-life and the time for its leaving state to reach the other instances.
	shutdownDelay = 1500 * time.Millisecond

	callerPort, adminPort, peerPort, probePort = 18120, 18121, 18122, 18123
)

// ownDeployment is a platform and an upstream in this process, and one instance of the own
// interface in a process of its own.
type ownDeployment struct {
	t      *testing.T
	store  *standin.Store
	api    *httptest.Server
	up     string // address of the upstream
	ip     string
	logs   string // path of the file with the log of the instance
	cmd    *exec.Cmd
	exited chan struct{}

	mu   sync.Mutex
	runs map[string]int // by ID of the request
}

// unframedWriter writes responses without Content-Length.
type unframedWriter struct{ http.ResponseWriter }

// WriteHeader writes the head of the response.
func (w unframedWriter) WriteHeader(status int) {
	w.Header().Del("Content-Length")
	w.ResponseWriter.WriteHeader(status)
}

// newOwnDeployment starts an instance for the row, and waits until it is ready.
func newOwnDeployment(t *testing.T, row ownRow) *ownDeployment {
	t.Helper()
	d := newOwnPlatform(t)
	up := httptest.NewServer(d.upstream(row))
	t.Cleanup(func() {
		up.CloseClientConnections()
		up.Close()
	})
	d.up = strings.TrimPrefix(up.URL, "http://")
	d.start(row.limit)
	return d
}

// newOwnPlatform returns a deployment that has no upstream and no instance yet.
func newOwnPlatform(t *testing.T) *ownDeployment {
	t.Helper()
	d := &ownDeployment{
		t: t, store: standin.NewStore(), ip: newAddress(), runs: make(map[string]int), exited: make(chan struct{}),
	}
	d.api = httptest.NewServer(standin.PlatformHandler(d.store))
	t.Cleanup(func() {
		d.api.CloseClientConnections()
		d.api.Close()
	})
	return d
}

// start declares the service with its limit, starts an instance, and waits until it is ready.
func (d *ownDeployment) start(limit time.Duration) {
	d.t.Helper()
	d.declare(limit)
	d.launch()
	d.await("the instance ready", d.ready)
}

// upstream returns the handler of an upstream that takes the row's time for each request.
func (d *ownDeployment) upstream(row ownRow) http.Handler {
	standin := standin.NewUpstream(serveSlots, time.Millisecond, 1, func(string) {}).Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(attemptHeader)
		if id == "" {
			standin.ServeHTTP(w, r) // the health page
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the request is not run
		}
		d.recordRun(id)
		select {
		case <-time.After(row.work):
		case <-r.Context().Done():
		}
		w.Header().Set(attemptHeader, id)
		if row.unframed {
			w = unframedWriter{w}
		}
		standin.ServeHTTP(w, r)
	})
}

// recordRun counts a run of a request.
func (d *ownDeployment) recordRun(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id]++
}

// runsOf returns how often the upstream ran the request with the ID.
func (d *ownDeployment) runsOf(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

// declare applies the declarations, with the limit of the service.
func (d *ownDeployment) declare(limit time.Duration) {
	d.t.Helper()
	text := fmt.Sprintf("kind: region\nname: one\ndomains: [a]\n---\nkind: service\nname: orders\npath: /orders\nlimit: %s\n"+
		"workers:\n  - {at: %q, domain: a, slots: %d}\n---\n{kind: block, prefix: 127.0.0.0/8, region: one}\n",
		limit, d.up, serveSlots)
	set, err := declaration.Parse(map[string][]byte{"f.yaml": []byte(text)})
	if err != nil {
		d.t.Fatal(err)
	}
	client := platform.New(d.api.URL)
	defer client.Close()
	base, _, err := rollout.Current(d.t.Context(), client)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := rollout.Apply(d.t.Context(), client, set, base, "test", time.Now()); err != nil {
		d.t.Fatal(err)
	}
}

func (d *ownDeployment) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

// launch starts the process of the instance.
func (d *ownDeployment) launch() {
	d.t.Helper()
	dir := d.t.TempDir()
	d.logs = filepath.Join(dir, "log")
	out, err := os.Create(d.logs)
	if err != nil {
		d.t.Fatal(err)
	}
	args := append([]string{
		"serve", "-name", "a1", "-region", "one", "-domain", "a", "-platform", d.api.URL, "-bind", d.ip,
		"-caller", d.address(callerPort), "-admin", d.address(adminPort), "-peer", d.address(peerPort),
		"-probe", d.address(probePort), "-lookup-life", "1s", "-log", "json", "-log-level", "debug",
	}, d.keyFlags(dir)...)
	d.cmd = exec.Command(binary, args...)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	waited := startGroup(func() {
		_ = d.cmd.Wait() // the exit code is checked by stop
		_ = out.Close()
		close(d.exited)
	})
	d.t.Cleanup(func() {
		_ = d.cmd.Process.Kill() // it may have exited already
		waited()
	})
}

// keyFlags returns the flags with a new certificate of the instance.
func (d *ownDeployment) keyFlags(dir string) []string {
	d.t.Helper()
	now := time.Now()
	authority, err := peer.NewAuthority("test", now, now.Add(time.Hour))
	if err != nil {
		d.t.Fatal(err)
	}
	pair, err := authority.Certify("a1", now, now.Add(time.Hour))
	if err != nil {
		d.t.Fatal(err)
	}
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	if err := pair.WriteFiles(cert, key); err != nil {
		d.t.Fatal(err)
	}
	return []string{"-ca", string(authority.Cert()), "-cert", cert, "-key", key}
}

// connect opens a connection to the instance, which is closed when the test ends.
func (d *ownDeployment) connect() *link {
	d.t.Helper()
	l, err := dial(d.address(callerPort))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(l.end)
	return l
}

// terminate sends SIGTERM to the instance and returns when.
func (d *ownDeployment) terminate() time.Time {
	d.t.Helper()
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		d.t.Fatal(err)
	}
	return time.Now()
}

// ready reports whether the instance passes its readiness check.
func (d *ownDeployment) ready() bool {
	resp, err := http.Get("http://" + d.address(adminPort) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // nothing of it is read
	return resp.StatusCode == http.StatusOK
}

// await waits until the condition holds, and fails the test after waitTimeout.
func (d *ownDeployment) await(what string, condition func() bool) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := standin.Await(ctx, condition); err != nil {
		d.t.Fatalf("waited too long for: %s\n%s", what, d.log())
	}
}

// log returns the log of the process so far.
func (d *ownDeployment) log() string {
	text, err := os.ReadFile(d.logs)
	if err != nil {
		d.t.Error(err)
	}
	return string(text)
}

// linesOf returns the lines of the log that contain the text.
func (d *ownDeployment) linesOf(text string) string {
	var out []string
	for _, line := range strings.Split(d.log(), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}

// awaitExit waits until the process has exited after SIGTERM, and returns how long that took.
func (d *ownDeployment) awaitExit(signalled time.Time) time.Duration {
	d.t.Helper()
	select {
	case <-d.exited:
	case <-time.After(serveStopTimeout):
		d.t.Fatal("the instance did not stop")
	}
	if code := d.cmd.ProcessState.ExitCode(); code != 0 {
		d.t.Errorf("the instance exited with code %d", code)
	}
	return time.Since(signalled)
}

// order is a kind of request that is not idempotent, with bodies of the given sizes in bytes.
func order(body, response int) kind {
	header := fmt.Sprintf("%s: %d\r\n", standin.HeaderSize, response)
	return kind{method: http.MethodPost, path: ownPath, body: body, header: header}
}

// ownRow is one planned stop under load.
type ownRow struct {
	crowd
	work, limit time.Duration
	shortened   time.Duration // if set, the limit that is declared after the first requests are sent
	keyed       bool          // each request has an idempotency key of its own
	unframed    bool          // responses of the upstream have no Content-Length
	storeAway   bool          // the platform's store is away from SIGTERM on
	unused      int           // open connections that carry no request
	body        int           // bytes of a request's body, a few if 0
	response    int           // bytes of a response's body, responseSize if 0
	busy        int           // other processes that keep a core busy
}

// TestServeStopLosesNothing stops an instance of the own interface with SIGTERM while callers use their
// connections until it is gone. It guards against requests that an upstream runs and whose caller gets
// no whole response.
func TestServeStopLosesNothing(t *testing.T) {
	t.Parallel()
	atShutdown := crowd{
		callers: 400, longest: 200 * time.Millisecond, moments: []time.Duration{shutdownDelay}, spread: 8 * time.Millisecond,
	}
	fewAtShutdown := atShutdown
	fewAtShutdown.callers = 150 // the platform's store bounds the claims a second
	for name, r := range map[string]ownRow{
		"idle connections used as they are closed": {
			work: 5 * time.Millisecond, limit: time.Second, crowd: atShutdown,
		},
		"idle connections used as they are closed, with keys": {
			work: 5 * time.Millisecond, limit: time.Second, keyed: true, crowd: fewAtShutdown,
		},
		"upstreams as slow as the limit": {
			work: 1500 * time.Millisecond, limit: 2 * time.Second, crowd: crowd{callers: 40, longest: time.Second},
		},
		"a new connection each": {
			work: 5 * time.Millisecond, limit: time.Second,
			crowd: crowd{callers: 100, habit: habit{fresh: true}, longest: 20 * time.Millisecond},
		},
		"open connections that carry no request": {
			work: 5 * time.Millisecond, limit: time.Second, unused: 50, crowd: crowd{callers: 10, longest: 20 * time.Millisecond},
		},
		"requests written at once": {
			work: 5 * time.Millisecond, limit: time.Second,
			crowd: crowd{callers: 100, habit: habit{depth: 3}, longest: 200 * time.Millisecond},
		},
		"pools of connections, most of them idle": {
			work: 5 * time.Millisecond, limit: time.Second, busy: 2,
			crowd: crowd{callers: 50, habit: habit{pool: 8}, longest: 100 * time.Millisecond},
		},
		"bodies that are slow to come": {
			work: 100 * time.Millisecond, limit: 2 * time.Second, body: 512 << 10,
			crowd: crowd{callers: 20, habit: habit{sendTime: time.Second}, longest: time.Second},
		},
		"callers that read slowly, beside busy processes": {
			work: 100 * time.Millisecond, limit: 2 * time.Second, response: 4 << 20, busy: 2,
			crowd: crowd{callers: 10, habit: habit{readTime: time.Second}, longest: time.Second},
		},
		"the limit is shortened with requests in flight": {
			work: 18 * time.Second, limit: 30 * time.Second, shortened: time.Second,
			crowd: crowd{callers: 10, longest: time.Second},
		},
		"the store away, responses without a length": {
			work: 1500 * time.Millisecond, limit: 3 * time.Second, keyed: true, unframed: true, storeAway: true,
			crowd: crowd{callers: 20, longest: 500 * time.Millisecond},
		},
		"the store away, upstreams slower than the limit": {
			work: 5 * time.Second, limit: 3 * time.Second, keyed: true, storeAway: true,
			crowd: crowd{callers: 20, longest: 500 * time.Millisecond},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r.kind = order(cmp.Or(r.body, 4), cmp.Or(r.response, responseSize))
			if r.keyed {
				r.kind.header += "Idempotency-Key: %ID%\r\n"
			}
			r.check(t, 1)
		})
	}
}

// check runs the row with a seed, and fails the test if a request is lost.
func (r ownRow) check(t *testing.T, seed uint64) {
	t.Helper()
	d := newOwnDeployment(t, r)
	j, stop, over := &journal{}, newStopTime(), make(chan struct{})
	for i := range r.callers {
		c := &caller{
			name: fmt.Sprint(i), address: d.address(callerPort), kind: r.kind, habit: r.habit, over: over,
			wait:       func(random *rand.Rand, n int) { r.wait(random, n, stop, over) },
			waitToOpen: func(int) {},
		}
		defer startGroup(func() { c.run(j, seed*1000+uint64(i)) })()
	}
	for range r.busy {
		startBusy(t)
	}
	for range r.unused {
		d.connect()
	}
	time.Sleep(defaultLoad)
	if r.shortened > 0 {
		d.declare(r.shortened)
		time.Sleep(time.Second)
	}
	if r.storeAway {
		d.store.Fail(standin.StoreDown, -1)
	}
	signalled := d.terminate()
	stop.set(signalled)
	took := d.awaitExit(signalled)
	time.Sleep(afterStop)
	close(over)
	c, lost := j.count(d.runsOf, r.limit)
	t.Logf("stop took %v; %v", took.Round(time.Millisecond), c)
	for _, a := range lost {
		t.Logf("lost: %s, sent %v and ended %v after SIGTERM", a.id, a.sent.Sub(signalled), a.ended.Sub(signalled))
	}
	if c.lost > 0 || c.untrue > 0 || c.late > 0 || c.repeated > 0 || c.mixed > 0 || c.cut > 0 {
		t.Errorf("want no request lost, rejected though it ran, kept waiting, repeated, mixed or cut: %v", c)
	}
	r.checkTimes(t, took, j)
	t.Log(d.linesOf(`"event":10`))
}

// checkTimes fails the test if the stop took longer than it must, or a response came late.
func (r ownRow) checkTimes(t *testing.T, took time.Duration, j *journal) {
	t.Helper()
	longestStop := shutdownDelay + r.limit + responseMargin
	if r.storeAway {
		longestStop += storeTimeout
	}
	if took > longestStop {
		t.Errorf("the stop took %v, want at most %v", took.Round(time.Millisecond), longestStop)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	late := 0
	for _, a := range j.attempts {
		if a.status != 0 && a.ended.Sub(a.sent) > r.limit+responseMargin {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d responses came later than %v, want 0", late, r.limit+responseMargin)
	}
}

// TestServeStopSlowReader guards against a large response that is cut off since its caller has sent the
// next request already: the connection is closed after the response, with unread bytes.
func TestServeStopSlowReader(t *testing.T) {
	t.Parallel()
	d := newOwnDeployment(t, ownRow{work: 100 * time.Millisecond, limit: 5 * time.Second})
	signalled := d.terminate()
	time.Sleep(50 * time.Millisecond) // the instance announces that it leaves
	k := order(4, slowResponseSize)
	l := d.connect()
	for _, id := range []string{"first", "next"} {
		head, body := k.request(id)
		if _, err := io.WriteString(l, head+body); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	var a attempt
	a.receive(l.reader, 0)
	if a.status != http.StatusOK || d.runsOf("next") > 0 {
		t.Errorf("status %d of a whole response, and %d runs of the next request; want 200 and 0", a.status, d.runsOf("next"))
	}
	t.Logf("stop took %v\n%s", d.awaitExit(signalled).Round(time.Millisecond), d.linesOf(`"event":`))
}
