package hosted

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/platform"
	"hickorydrum/standin"
)

const waitTimeout = 15 * time.Second

// maxConnections is how many connections a worker accepts from all instances together.
const maxConnections = 24

// cluster is a store, workers (stand-ins for upstreams) and instances that run on loopback in
// one process.
type cluster struct {
	t         *testing.T
	store     *standin.Store
	api       *httptest.Server
	instances []*member
	version   uint64 // number in the version of the configuration written last
	grace     int    // seconds of the grace period of a planned stop
	limits    string // further lines of the settings

	mu   sync.Mutex
	next int
}

// member is one instance on a loopback address of its own.
type member struct {
	instance *Instance
	ip       string
	file     string
	stop     context.CancelFunc
	reload   chan os.Signal
	group    errgroup.Group
	logs     logBuffer
}

// logBuffer collects the log of an instance. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, store: standin.NewStore(), version: 2, grace: 2}
	c.api = httptest.NewServer(standin.PlatformHandler(c.store))
	t.Cleanup(func() { c.closeAfterStop(c.api) })
	return c
}

// closeAfterStop stops all instances and closes a server that they call. A call that begins after the connections of the
// server are closed would hold it for as long as a watch waits.
func (c *cluster) closeAfterStop(server *httptest.Server) {
	for _, m := range c.instances {
		m.stop()
	}
	for _, m := range c.instances {
		_ = m.group.Wait()
	}
	server.CloseClientConnections()
	server.Close()
}

// Ports of the instances. They are the same for all, since each has an address of its own.
const (
	frontPort, readyPort, directoryPort, controlPort, gossipPort = 18100, 18101, 18102, 18103, 18110
)

var addresses struct {
	sync.Mutex
	next int
}

// newAddress returns a loopback address that no other test uses.
func newAddress() string {
	addresses.Lock()
	defer addresses.Unlock()
	addresses.next++
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%100, 1+addresses.next/250, 1+addresses.next%250)
}

func (c *cluster) settings(name, domain, ip, store string, seeds []string) string {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf(`
[self]
node = %q
zone = %q
region = %q
[network]
internalPorts = [%d,%d]
seeds = [%s]
[network.listen]
front = "%s:%d"
ready = "%s:%d"
directory = "%s:%d"
control = "%s:%d"
[network.zones]
one-a = "one"
one-b = "one"
two-a = "two"
[platform]
heartbeatMs = 1500
[platform.platform]
address = %q
[terms.bounds]
graceS = %d
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 60
coldOver = 1.5
coldSlack = 5
ttl_max_s = 5
`, name, domain, strings.Split(domain, "-")[0], gossipPort, gossipPort+5, strings.Join(quoted, ","),
		ip, frontPort, ip, readyPort, ip, directoryPort, ip, controlPort, store, c.grace) + c.limits
}

// start starts an instance in a failure domain, with all instances so far as its seeds.
func (c *cluster) start(name, domain string) *member {
	c.t.Helper()
	var seeds []string
	for _, m := range c.instances {
		seeds = append(seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	return c.startWith(name, domain, strings.TrimPrefix(c.api.URL, "http://"), seeds)
}

// startWith starts an instance with the given store and seeds.
func (c *cluster) startWith(name, domain, store string, seeds []string) *member {
	c.t.Helper()
	m := &member{ip: newAddress(), reload: make(chan os.Signal, 1)}
	m.file = filepath.Join(c.t.TempDir(), "local.toml")
	if err := os.WriteFile(m.file, []byte(c.settings(name, domain, m.ip, store, seeds)), 0o600); err != nil {
		c.t.Fatal(err)
	}
	var err error
	if m.instance, err = New(m.file, slog.New(slog.NewJSONHandler(&m.logs, nil))); err != nil {
		c.t.Fatal(err)
	}
	stop, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.group.Go(func() error { return m.instance.Run(stop, m.reload) })
	c.instances = append(c.instances, m)
	return m
}

// worker starts a worker and registers it as ready. If change is not nil, it may modify the
// worker's configuration.
func (c *cluster) worker(service, domain string, change func(w *standin.WorkerConfig)) *standin.Worker {
	c.t.Helper()
	c.mu.Lock()
	c.next++
	config := standin.WorkerConfig{
		ID: fmt.Sprintf("i-%d", c.next), Slots: 4, Queue: 8, Warm: time.Millisecond, Cold: 2 * time.Millisecond,
	}
	c.mu.Unlock()
	if change != nil {
		change(&config)
	}
	w, err := standin.NewWorker(config)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = w.Close() })
	c.register(w, service, domain, "ready")
	return w
}

// register registers a worker in a state, and replaces its entry if there is one.
func (c *cluster) register(w *standin.Worker, service, domain, state string) {
	c.t.Helper()
	started := time.Now().Add(-time.Minute)
	c.put(platform.KindUpstreams+"/"+w.ID(), w.Entry(service, domain, state, started, 0))
}

// put writes an object, whether it exists or not.
func (c *cluster) put(key string, value []byte) {
	c.t.Helper()
	ctx := context.Background()
	version := uint64(0)
	if o, err := c.store.Get(ctx, key); err == nil {
		version = o.Version
	}
	if _, err := c.store.Put(ctx, key, value, version); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) remove(key string) {
	c.t.Helper()
	o, err := c.store.Get(context.Background(), key)
	if err == nil {
		err = c.store.Delete(context.Background(), key, o.Version)
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

// testRoute is one route of the configuration.
type testRoute struct {
	prefix, kind, service string
	attempts, timeout     int      // timeout in ms; 0 means 1000
	homes                 []string // home regions
	anonymous             bool     // needs no key
}

// testAccount is a client account of the configuration.
type testAccount struct {
	name  string
	keys  []string
	homes []string // home regions
	rate  float64  // quota, in requests a second
	burst float64
}

// configure writes the next version of the configuration, with the routes for h.example.
func (c *cluster) configure(routes ...testRoute) {
	c.t.Helper()
	c.configureAccounts(nil, routes...)
}

// configureAccounts writes the next version of the configuration, with client accounts.
func (c *cluster) configureAccounts(accounts []testAccount, routes ...testRoute) {
	c.t.Helper()
	var tenants []map[string]any
	for _, a := range accounts {
		tenants = append(tenants, map[string]any{
			"name": a.name, "apiKeys": a.keys, "priority": 1, "ratePerS": a.rate, "burst": a.burst, "homeRegions": append([]string{}, a.homes...),
		})
	}
	var listed []map[string]any
	services := map[string]bool{}
	for _, r := range routes {
		services[r.service] = true
		listed = append(listed, map[string]any{
			"name": "r" + r.prefix, "kind": r.kind, "targetLatencyMs": 200, "priority": 1, "stickySessions": true,
			"allowAnonymous": r.anonymous,
			"match":          map[string]any{"pathPrefix": r.prefix},
			"action": map[string]any{
				"service": r.service, "timeoutMs": cmp.Or(r.timeout, 1000),
				"maxAttempts": max(1, r.attempts), "homeRegions": append([]string{}, r.homes...),
			},
		})
	}
	var clusters []map[string]any
	for name := range services {
		clusters = append(clusters, map[string]any{"name": name, "healthPath": "/health", "coldStartS": 0.2, "coldPerS": 14, "maxConnections": maxConnections})
	}
	c.version++
	text, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("r%d", c.version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"listeners": []any{map[string]any{"host": "h.example", "rules": listed}}, "clusters": clusters, "tenants": tenants,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.put(platform.KindConfiguration+"/main", text)
}

// await waits until the condition holds, and fails the test after waitTimeout.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := standin.Await(ctx, condition); err != nil {
		c.t.Fatalf("waited too long for: %s", what)
	}
}

// ready waits until an instance is ready and its view has the given number of workers.
func (c *cluster) ready(m *member, workers int) {
	c.t.Helper()
	c.await(fmt.Sprintf("%d workers in the view", workers), func() bool {
		v := m.instance.planner.View()
		return m.instance.ingress.Ready() && v != nil && len(v.All()) == workers
	})
}

// callerRequest is a request of a caller.
type callerRequest struct {
	method, path, id, object, body string
	remaining                      int // of the deadline, in ms; 0 means 900
	chunked                        bool
	header                         map[string]string // further headers
}

// reply is the response as the caller sees it.
type reply struct {
	Status int
	Body   string
	Sealed bool // it has the header with an upstream's seal, a MAC
	Err    bool // no response, or its body was cut off
}

func (q callerRequest) build(m *member) (*http.Request, error) {
	method := q.method
	if method == "" {
		method = http.MethodGet
	}
	var body io.Reader
	if q.body != "" {
		body = strings.NewReader(q.body)
		if q.chunked {
			body = io.MultiReader(body)
		}
	}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, frontPort, q.path), body)
	if err != nil {
		return nil, err
	}
	r.Host = "h.example"
	r.Header.Set("Hickorydrum-Attempt-Id", q.id)
	remaining := q.remaining
	if remaining == 0 {
		remaining = 900
	}
	r.Header.Set("Hickorydrum-Deadline-Remaining", fmt.Sprint(remaining))
	r.Header.Set("Accept-Encoding", "identity")
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	if q.object != "" {
		r.Header.Set("Cookie", "Hickorydrum-Affinity-Key="+q.object)
	}
	return r, nil
}

// send sends a request on a new connection.
func (c *cluster) send(m *member, q callerRequest) reply {
	c.t.Helper()
	r, err := q.build(m)
	if err != nil {
		c.t.Fatal(err)
	}
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return reply{Err: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{
		Status: resp.StatusCode, Body: string(body), Sealed: resp.Header.Get("Hickorydrum-Server-Seal") != "", Err: err != nil,
	}
}

// raw opens a connection to the callers' listener of an instance.
func (c *cluster) raw(m *member) (net.Conn, *bufio.Reader) {
	c.t.Helper()
	conn, err := net.Dial("tcp", net.JoinHostPort(m.ip, strconv.Itoa(frontPort)))
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// lookup asks an instance for the addresses that callers from a failure domain should use.
func (c *cluster) lookup(m *member, domain, region string) platform.LookupResponse {
	c.t.Helper()
	url := fmt.Sprintf("http://%s:%d/resolve?name=h.example&zone=%s&region=%s", m.ip, directoryPort, domain, region)
	resp, err := http.Get(url)
	if err != nil {
		return platform.LookupResponse{}
	}
	defer func() { _ = resp.Body.Close() }()
	var answer platform.LookupResponse
	_ = json.NewDecoder(resp.Body).Decode(&answer) // a response without a body has no addresses
	return answer
}

func writeFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
