package restart

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
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

	_ "hickorydrum/command" // the program that is built: a result is cached only while it is unchanged
	"hickorydrum/platform"
	"hickorydrum/standin"
)

const (
	waitTimeout = 15 * time.Second
	// stopSlack is how long after the grace period a process may be reported as gone.
	stopSlack = 500 * time.Millisecond

	// workerSlots is how many requests an upstream runs at a time, and how many wait.
	workerSlots = 512
	// defaultIdle is how long callers may leave a connection idle.
	defaultIdle = 15 * time.Second
	// defaultBodyBytes is the largest body of a request.
	defaultBodyBytes = 1 << 20

	frontPort, readyPort, directoryPort, controlPort, gossipPort = 18100, 18101, 18102, 18103, 18110
)

// binary is the path of the built program.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "restart")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "hickorydrum")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/hickorydrum").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// deployment is a store and upstreams in this process, and instances in processes of their own.
type deployment struct {
	t       *testing.T
	store   *standin.Store
	api     *httptest.Server
	workers []*standin.Worker
	grace   time.Duration
	begun   time.Time // when upstreams started
	version int
}

func newDeployment(t *testing.T, grace time.Duration) *deployment {
	t.Helper()
	d := &deployment{t: t, store: standin.NewStore(), grace: grace, begun: time.Now().Add(-time.Minute), version: 2}
	d.api = httptest.NewServer(standin.PlatformHandler(d.store))
	t.Cleanup(func() {
		d.api.CloseClientConnections()
		d.api.Close()
	})
	return d
}

// worker starts an upstream and registers it.
func (d *deployment) worker(config standin.WorkerConfig, faults ...standin.WorkerFault) *standin.Worker {
	d.t.Helper()
	config.ID, config.Slots, config.Queue = fmt.Sprintf("i-%d", len(d.workers)), workerSlots, workerSlots
	w, err := standin.NewWorker(config)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = w.Close() })
	for _, f := range faults {
		w.Fail(f, -1)
	}
	d.workers = append(d.workers, w)
	d.register(w, "ready")
	return w
}

func upstreamKey(w *standin.Worker) string { return platform.KindUpstreams + "/" + w.ID() }

// register writes the entry of an upstream with a state.
func (d *deployment) register(w *standin.Worker, state string) {
	d.t.Helper()
	d.put(upstreamKey(w), w.Entry("list", "one-a", state, d.begun, 0))
}

// unregister deletes the entry of an upstream.
func (d *deployment) unregister(w *standin.Worker) {
	d.t.Helper()
	ctx := context.Background()
	o, err := d.store.Get(ctx, upstreamKey(w))
	if err == nil {
		err = d.store.Delete(ctx, o.Key, o.Version)
	}
	if err != nil {
		d.t.Error(err)
	}
}

// put writes an object, whether it exists or not.
func (d *deployment) put(key string, value []byte) {
	d.t.Helper()
	ctx := context.Background()
	version := uint64(0)
	if o, err := d.store.Get(ctx, key); err == nil {
		version = o.Version
	}
	if _, err := d.store.Put(ctx, key, value, version); err != nil {
		d.t.Fatal(err)
	}
}

// configuration is what varies between the versions of the configuration.
type configuration struct {
	timeout time.Duration // of routes
	idle    time.Duration // of callers' connections, defaultIdle if 0
	// bodyBytes is the largest body of a request, defaultBodyBytes if 0.
	bodyBytes int
	// unrouted is set if the configuration has no route for safe requests.
	unrouted bool
}

// configure writes the next version of the configuration: a route /read/ for safe requests and
// a route /order/ for unsafe ones.
func (d *deployment) configure(c configuration) {
	d.t.Helper()
	rule := func(prefix, kind string) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "kind": kind, "targetLatencyMs": 200, "priority": 1, "stickySessions": true,
			"match": map[string]any{"pathPrefix": prefix},
			"action": map[string]any{
				"service": "list", "timeoutMs": c.timeout.Milliseconds(), "maxAttempts": 2, "homeRegions": []string{},
			},
		}
	}
	rules := []any{rule(unsafe.path, "unsafe")}
	if !c.unrouted {
		rules = append(rules, rule(safe.path, "safe"))
	}
	d.version++
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", d.version),
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": cmp.Or(c.bodyBytes, defaultBodyBytes), "headerTimeoutMs": 3000,
			"idleTimeoutMs": cmp.Or(c.idle, defaultIdle).Milliseconds(),
		},
		"listeners": []any{map[string]any{"host": "h.example", "rules": rules}},
		"clusters": []any{map[string]any{
			"name": "list", "healthPath": "/health", "coldStartS": 0.2, "coldPerS": 14, "maxConnections": 1024,
		}},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.put(platform.KindConfiguration+"/main", text)
}

// runs returns how often all upstreams ran the request with the ID.
func (d *deployment) runs(id string) int {
	n := 0
	for _, w := range d.workers {
		n += w.Runs(id)
	}
	return n
}

var addresses struct {
	sync.Mutex
	next int
}

// newAddress returns a loopback address that no other process of a test uses.
func newAddress() string {
	addresses.Lock()
	defer addresses.Unlock()
	addresses.next++
	return fmt.Sprintf("127.%d.%d.%d", 101+os.Getpid()%100, 1+addresses.next/250, 1+addresses.next%250)
}

// process is one instance in a process of its own.
type process struct {
	deployment *deployment
	name, ip   string
	seeds      []*process
	unread     bool // nobody reads what it writes to its standard output
	dir        string
	command    *exec.Cmd
	output     *os.File // the writing end of a pipe that nobody reads, if unread is set
	stop       *stopTime
	exited     chan struct{}
	exitedAt   time.Time // set when exited is closed
}

// start starts an instance, with those given as its seeds, and waits until it is ready. If unread
// is set, its standard output is a pipe that nobody reads.
func (d *deployment) start(name string, unread bool, seeds ...*process) *process {
	d.t.Helper()
	p := &process{deployment: d, name: name, ip: newAddress(), seeds: seeds, unread: unread, dir: d.t.TempDir(), stop: newStopTime()}
	p.writeSettings()
	p.launch()
	return p
}

// settingsPath and logPath are the paths of the files of the process.
func (p *process) settingsPath() string { return filepath.Join(p.dir, "local.toml") }
func (p *process) logPath() string      { return filepath.Join(p.dir, "log") }

// writeSettings writes the settings file, with the further lines at its end.
func (p *process) writeSettings(lines ...string) {
	t := p.deployment.t
	t.Helper()
	text := p.settings() + strings.Join(lines, "\n")
	next := p.settingsPath() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, p.settingsPath()); err != nil {
		t.Fatal(err)
	}
}

// launch starts the process of an instance and waits until it is ready.
func (p *process) launch() {
	t := p.deployment.t
	t.Helper()
	p.begin()
	p.deployment.await("instance "+p.name+" ready", p.ready)
	if p.unread {
		p.fillOutput()
	}
}

// begin starts the process of an instance.
func (p *process) begin() {
	t := p.deployment.t
	t.Helper()
	out, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(binary, "host", "-node-file", p.settingsPath())
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	p.command.Stdout, p.command.Stderr = out, out
	if p.unread {
		p.command.Stdout = p.openPipe()
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	command, exited := p.command, make(chan struct{})
	p.exited = exited
	waited := startGroup(func() {
		_ = command.Wait() // the exit code is checked by awaitExit
		_ = out.Close()
		p.exitedAt = time.Now()
		close(exited)
	})
	t.Cleanup(func() {
		_ = command.Process.Kill() // it may have exited already
		waited()
	})
}

// openPipe returns the writing end of a pipe that nobody reads.
func (p *process) openPipe() *os.File {
	t := p.deployment.t
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = r.Close()
		_ = w.Close()
	})
	p.output = w
	return w
}

// fillOutput fills the pipe, through a descriptor of its own: that of the process must block.
func (p *process) fillOutput() {
	t := p.deployment.t
	t.Helper()
	fd, err := syscall.Open(fmt.Sprintf("/proc/self/fd/%d", p.output.Fd()), syscall.O_WRONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	for {
		if _, err := syscall.Write(fd, []byte("x")); err != nil {
			return // the pipe is full
		}
	}
}

func (p *process) settings() string {
	var quoted []string
	for _, s := range p.seeds {
		quoted = append(quoted, fmt.Sprintf("%q", s.address(controlPort)))
	}
	return fmt.Sprintf(`
[self]
node = %q
zone = "one-a"
region = "one"
[network]
internalPorts = [%d,%d]
seeds = [%s]
[network.listen]
front = %q
ready = %q
directory = %q
control = %q
[network.zones]
one-a = "one"
[platform.platform]
address = %q
[terms.bounds]
graceS = %g
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 60
coldOver = 1.5
coldSlack = 5
ttl_max_s = 5
`, p.name, gossipPort, gossipPort+5, strings.Join(quoted, ","), p.address(frontPort), p.address(readyPort),
		p.address(directoryPort), p.address(controlPort), strings.TrimPrefix(p.deployment.api.URL, "http://"),
		p.deployment.grace.Seconds())
}

func (p *process) address(port int) string { return net.JoinHostPort(p.ip, fmt.Sprint(port)) }

// ready reports whether the instance passes its readiness check.
func (p *process) ready() bool {
	resp, err := http.Get("http://" + p.address(readyPort) + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process, unless it has exited.
func (p *process) signal(s syscall.Signal) {
	p.deployment.t.Helper()
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.deployment.t.Error(err)
	}
}

// terminate sends the SIGTERM that begins the stop.
func (p *process) terminate() {
	p.deployment.t.Helper()
	p.stop.set(time.Now())
	p.signal(syscall.SIGTERM)
}

// awaitExit waits until the process has exited after its SIGTERM. It returns how long that took,
// and fails the test if it took longer than the grace period.
func (p *process) awaitExit() time.Duration {
	t := p.deployment.t
	t.Helper()
	signalled := p.stop.last()
	latest := signalled.Add(p.deployment.grace + stopSlack)
	select {
	case <-p.exited:
	case <-time.After(time.Until(latest)):
		_ = p.command.Process.Kill() // as the platform does; it may have exited before
		<-p.exited
	}
	if p.exitedAt.After(latest) {
		t.Errorf("instance %s still runs after the grace period", p.name)
		return p.exitedAt.Sub(signalled)
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("instance %s exited with code %d", p.name, code)
	}
	return p.exitedAt.Sub(signalled)
}

// log returns the log of the process so far.
func (p *process) log() string {
	text, err := os.ReadFile(p.logPath())
	if err != nil {
		p.deployment.t.Error(err)
	}
	return string(text)
}

// await waits until the condition holds, and fails the test after waitTimeout.
func (d *deployment) await(what string, condition func() bool) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := standin.Await(ctx, condition); err != nil {
		d.t.Fatalf("waited too long for: %s", what)
	}
}
