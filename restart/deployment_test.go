package restart

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
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

	"hickorydrum/platform"
	"hickorydrum/standin"
)

const (
	waitTimeout = 15 * time.Second
	// stopSlack is how long after the grace period a process may be reported as gone.
	stopSlack = 500 * time.Millisecond

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
	version int
}

func newDeployment(t *testing.T, grace time.Duration) *deployment {
	t.Helper()
	d := &deployment{t: t, store: standin.NewStore(), grace: grace, version: 2}
	d.api = httptest.NewServer(standin.PlatformHandler(d.store))
	t.Cleanup(func() {
		d.api.CloseClientConnections()
		d.api.Close()
	})
	return d
}

// worker starts an upstream whose requests take the given time, and registers it.
func (d *deployment) worker(work time.Duration) *standin.Worker {
	d.t.Helper()
	w, err := standin.NewWorker(standin.WorkerConfig{
		ID: fmt.Sprintf("i-%d", len(d.workers)), Slots: 512, Queue: 512, Warm: work, Cold: work,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = w.Close() })
	d.workers = append(d.workers, w)
	started := time.Now().Add(-time.Minute)
	d.put(platform.KindUpstreams+"/"+w.ID(), w.Entry("list", "one-a", "ready", started, 0))
	return w
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

// configure writes the next version of the configuration: a route /read/ for safe requests and
// a route /order/ for unsafe ones, with the given timeout.
func (d *deployment) configure(timeout, idle time.Duration) {
	d.t.Helper()
	rule := func(prefix, kind string) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "kind": kind, "targetLatencyMs": 200, "priority": 1, "stickySessions": true,
			"match": map[string]any{"pathPrefix": prefix},
			"action": map[string]any{
				"service": "list", "timeoutMs": timeout.Milliseconds(), "maxAttempts": 2, "homeRegions": []string{},
			},
		}
	}
	d.version++
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", d.version),
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000,
			"idleTimeoutMs": cmp.Or(idle, 15*time.Second).Milliseconds(),
		},
		"listeners": []any{map[string]any{"host": "h.example", "rules": []any{rule("/read/", "safe"), rule("/order/", "unsafe")}}},
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
	command    *exec.Cmd
	logs       string // path of the file with its log
	exited     chan struct{}
}

// start starts an instance, with those given as its seeds, and waits until it is ready.
func (d *deployment) start(name string, seeds ...*process) *process {
	d.t.Helper()
	p := &process{deployment: d, name: name, ip: newAddress()}
	p.launch(seeds)
	return p
}

// launch starts the process of an instance and waits until it is ready.
func (p *process) launch(seeds []*process) {
	t := p.deployment.t
	t.Helper()
	dir := t.TempDir()
	p.logs, p.exited = filepath.Join(dir, "log"), make(chan struct{})
	file := filepath.Join(dir, "local.toml")
	if err := os.WriteFile(file, []byte(p.settings(seeds)), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := os.Create(p.logs)
	if err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(binary, "host", "-node-file", file)
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	exited := p.exited
	waited := startGroup(func() {
		_ = p.command.Wait() // the exit code is checked by stop
		_ = out.Close()
		close(exited)
	})
	t.Cleanup(func() {
		_ = p.command.Process.Kill() // it may have exited already
		waited()
	})
	p.deployment.await("instance "+p.name+" ready", p.ready)
}

func (p *process) settings(seeds []*process) string {
	var quoted []string
	for _, s := range seeds {
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

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.deployment.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.deployment.t.Error(err)
	}
}

// awaitExit waits until the process has exited after a SIGTERM that was sent at the given time. It
// returns how long that took, and fails the test if it took longer than the grace period.
func (p *process) awaitExit(signalled time.Time) time.Duration {
	t := p.deployment.t
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(time.Until(signalled.Add(p.deployment.grace + stopSlack))):
		t.Errorf("instance %s still runs after the grace period", p.name)
		return p.deployment.grace
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("instance %s exited with code %d", p.name, code)
	}
	return time.Since(signalled)
}

// log returns the log of the process so far.
func (p *process) log() string {
	text, err := os.ReadFile(p.logs)
	if err != nil {
		p.deployment.t.Error(err)
	}
	return string(text)
}

// linesOf returns the lines of the log that contain the text.
func (p *process) linesOf(text string) []string {
	var out []string
	for _, line := range bytes.Split([]byte(p.log()), []byte("\n")) {
		if strings.Contains(string(line), text) {
			out = append(out, string(line))
		}
	}
	return out
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
