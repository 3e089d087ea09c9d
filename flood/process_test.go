package flood

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/command"
	"hickorydrum/platform"
	"hickorydrum/standin"
)

const (
	waitTimeout = 30 * time.Second
	logBytes    = 2000                  // of the log that are shown
	samplePause = 20 * time.Millisecond // between two counts of open descriptors

	// ordinaryID is the ID of a request that checks whether an instance answers.
	ordinaryID = "ordinary"

	// The limits of the settings. The bounds that the tests check are the same figures: a process that
	// takes more than the memory of its machine is terminated.
	memoryMb        = 96
	fileDescriptors = 256
	maxMemoryBytes  = memoryMb * 1000 * 1000

	// The limits of the configuration.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 4 << 20
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	routeTimeout   = 20 * time.Second

	// workerSlots is how many requests the upstream runs at a time, and workTime how long each takes.
	workerSlots = 512
	workTime    = 2 * time.Second

	frontPort, readyPort, directoryPort, controlPort, gossipPort = 18130, 18131, 18132, 18133, 18140
)

// binary is the path of the built program.
var binary string

// program links the program into the test, so that a result is cached only while the program is unchanged. The linker
// leaves out what is imported and not referenced.
var program = command.Main

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	if program == nil {
		return 1
	}
	dir, err := os.MkdirTemp("", "flood")
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

// process is one instance in a process of its own, with a store and an upstream in this process.
type process struct {
	t       *testing.T
	ip, dir string
	store   *standin.Store
	api     *httptest.Server
	command *exec.Cmd
	exited  chan struct{}
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
	return fmt.Sprintf("127.%d.%d.%d", 201+os.Getpid()%50, 1+addresses.next/250, 1+addresses.next%250)
}

// start starts an instance with an ordinary upstream and waits until it is ready.
func start(t *testing.T) *process {
	t.Helper()
	w, err := standin.NewWorker(standin.WorkerConfig{ID: "i-0", Slots: workerSlots, Queue: workerSlots, Warm: workTime, Cold: workTime})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.Close() })
	return startWith(t, w.Entry("list", "one-a", "ready", time.Now().Add(-time.Minute), 0))
}

// startWith starts an instance and waits until it is ready. The entry in the store is that of the upstream i-0.
func startWith(t *testing.T, entry []byte) *process {
	t.Helper()
	p := &process{t: t, ip: newAddress(), dir: t.TempDir(), store: standin.NewStore(), exited: make(chan struct{})}
	p.api = httptest.NewServer(standin.PlatformHandler(p.store))
	t.Cleanup(func() {
		p.api.CloseClientConnections()
		p.api.Close()
	})
	p.put(platform.KindUpstreams+"/i-0", entry)
	p.put(platform.KindConfiguration+"/main", configuration(t))
	if err := os.WriteFile(p.settingsPath(), []byte(p.settings()), 0o600); err != nil {
		t.Fatal(err)
	}
	p.launch()
	p.await("the instance ready", func() bool { return p.get(readyPort, "/readiness", "") == http.StatusOK })
	return p
}

func (p *process) put(key string, value []byte) {
	p.t.Helper()
	if _, err := p.store.Put(context.Background(), key, value, 0); err != nil {
		p.t.Fatal(err)
	}
}

// configuration returns a configuration with a route /read/ for safe requests and a route /order/ for
// unsafe ones.
func configuration(t *testing.T) []byte {
	t.Helper()
	rule := func(prefix, kind string) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "kind": kind, "targetLatencyMs": 5000, "priority": 1,
			"match": map[string]any{"pathPrefix": prefix},
			"action": map[string]any{
				"service": "list", "timeoutMs": routeTimeout.Milliseconds(), "maxAttempts": 2, "homeRegions": []string{},
			},
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": "r3",
		"limits": map[string]any{
			"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes,
			"headerTimeoutMs": headerTimeout.Milliseconds(), "idleTimeoutMs": idleTimeout.Milliseconds(),
		},
		"listeners": []any{map[string]any{"host": host, "rules": []any{rule("/read/", "safe"), rule("/order/", "unsafe")}}},
		"clusters": []any{map[string]any{
			"name": "list", "healthPath": "/health", "coldStartS": 0.2, "coldPerS": 14, "maxConnections": 1024,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func (p *process) settingsPath() string { return filepath.Join(p.dir, "local.toml") }
func (p *process) logPath() string      { return filepath.Join(p.dir, "log") }

func (p *process) settings() string {
	return fmt.Sprintf(`
[self]
node = "a0"
zone = "one-a"
region = "one"
[self.limits]
memoryMb = %d
fileDescriptors = %d
[network]
internalPorts = [%d,%d]
seeds = []
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
graceS = 6
`, memoryMb, fileDescriptors, gossipPort, gossipPort+5, p.address(frontPort), p.address(readyPort),
		p.address(directoryPort), p.address(controlPort), strings.TrimPrefix(p.api.URL, "http://"))
}

func (p *process) address(port int) string { return net.JoinHostPort(p.ip, fmt.Sprint(port)) }

// launch starts the process.
func (p *process) launch() {
	t := p.t
	t.Helper()
	out, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(binary, "host", "-node-file", p.settingsPath())
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	waited := startGroup(func() {
		_ = p.command.Wait() // how it ended is in its log
		_ = out.Close()
		close(p.exited)
	})
	t.Cleanup(func() {
		_ = p.command.Process.Kill() // it may have exited already
		waited()
	})
}

// startGroup runs f in the background and returns a function that waits for its end.
func startGroup(f func()) (wait func()) {
	var group errgroup.Group
	group.Go(func() error {
		f()
		return nil
	})
	return func() { _ = group.Wait() }
}

// await waits until the condition holds, and fails the test after waitTimeout or if the process ends.
func (p *process) await(what string, condition func() bool) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := standin.Await(ctx, func() bool { return !p.lives() || condition() }); err != nil {
		p.t.Fatalf("waited too long for: %s; the log ends with:\n%s", what, p.logEnd())
	}
	if !p.lives() {
		p.t.Fatalf("the process ended; its log ends with:\n%s", p.logEnd())
	}
}

// logEnd returns the last lines of the log.
func (p *process) logEnd() string {
	text, _ := os.ReadFile(p.logPath())
	return string(text[max(0, len(text)-logBytes):])
}

func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// get sends a request over a connection of its own. It returns the status of the response, 0 if there is
// none.
func (p *process) get(port int, path, host string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+p.address(port)+path, nil)
	if err != nil {
		return 0
	}
	r.Host, r.Close = host, true
	r.Header.Set("Hickorydrum-Attempt-Id", ordinaryID)
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// peakBytes returns the most memory that the process had resident so far.
func (p *process) peakBytes() int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				p.t.Fatal(err)
			}
			return kb << 10
		}
	}
	p.t.Fatal("the status of the process has no VmHWM")
	return 0
}

// descriptors returns how many descriptors the process has open, 0 if it ended.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// sampleDescriptors counts the open descriptors until the returned function is called, which returns the
// highest count.
func (p *process) sampleDescriptors() (stop func() int) {
	done, most := make(chan struct{}), 0
	wait := startGroup(func() {
		for {
			most = max(most, p.descriptors())
			select {
			case <-done:
				return
			case <-time.After(samplePause):
			}
		}
	})
	return func() int {
		close(done)
		wait()
		return most
	}
}
