package matrix

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/declaration"
	"hickorydrum/entry"
	"hickorydrum/instance"
	"hickorydrum/peer"
	"hickorydrum/platform"
	"hickorydrum/rollout"
	"hickorydrum/setting"
	"hickorydrum/standin"
	"hickorydrum/upstream"
)

// settleLimit bounds the time that await polls for a condition. No test result depends
// on how soon the condition is met.
const settleLimit = 30 * time.Second

// member is one instance of the cluster.
type member struct {
	name     string
	caller   string // address for callers
	peer     string // address for other instances
	settings *setting.Table
	instance *instance.Instance
	stop     context.CancelFunc
	done     chan struct{}
}

// cluster is a small deployment in one process: instances, upstreams and the platform
// on loopback sockets.
type cluster struct {
	t         testing.TB
	store     *standin.Store
	api       *httptest.Server
	upstreams []*standin.Upstream
	servers   []*httptest.Server
	members   []*member
	client    *http.Client
	keyFlags  func(name string) []string // flags with the certificate and key of a member
	group     errgroup.Group

	mu     sync.Mutex // protects the fields below
	runs   map[string]int
	lastID int
}

// layout is the name, region and failure domain of each instance. Each failure domain
// has one upstream of each service.
var layout = []struct{ name, region, domain string }{
	{"a1", "one", "a"}, {"a2", "one", "a"}, {"b1", "one", "b"}, {"c1", "two", "c"},
}

const upstreamSlots = 3

// newCluster starts a cluster and waits until it has converged. It is closed when the
// test ends.
func newCluster(t testing.TB) *cluster {
	t.Helper()
	c := &cluster{t: t, store: standin.NewStore(), runs: make(map[string]int), client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: settleLimit,
	}}
	c.api = httptest.NewServer(standin.PlatformHandler(c.store))
	t.Cleanup(c.close)
	c.apply(c.declarations(""))
	dir := t.TempDir()
	authority, err := peer.NewAuthority("test", time.Now(), time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	c.keyFlags = func(name string) []string {
		pair, err := authority.Certify(name, time.Now(), time.Now().Add(time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		cert, key := filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")
		if err := pair.WriteFiles(cert, key); err != nil {
			t.Fatal(err)
		}
		return []string{"-ca", string(authority.Cert()), "-cert", cert, "-key", key}
	}
	for _, l := range layout {
		c.start(l.name, l.region, l.domain)
	}
	c.await("every instance live, with one revision", c.converged)
	return c
}

// declarations returns the declarations of the cluster followed by the documents of
// more. The first call starts the upstreams.
func (c *cluster) declarations(more string) string {
	text := "kind: region\nname: one\ndomains: [a, b]\n---\nkind: region\nname: two\ndomains: [c]\n"
	if len(c.servers) == 0 {
		for i := range 6 {
			w := standin.NewUpstream(upstreamSlots, 5*time.Millisecond, uint64(i), c.recordRun)
			c.upstreams = append(c.upstreams, w)
			c.servers = append(c.servers, httptest.NewServer(w.Handler()))
		}
	}
	for s, name := range []string{"list", "orders"} {
		text += fmt.Sprintf("---\nkind: service\nname: %s\npath: /%s\nlimit: 5s\nworkers:\n", name, name)
		for d, domain := range []string{"a", "b", "c"} {
			address := strings.TrimPrefix(c.servers[s*3+d].URL, "http://")
			text += fmt.Sprintf("  - {at: %q, domain: %s, slots: %d}\n", address, domain, upstreamSlots)
		}
		text += fmt.Sprintf("---\n{kind: cap, service: %s, planned: {share: 20%%, every: 500ms}, failure: {share: 50%%, every: 200ms}}\n", name)
	}
	return text + "---\n{kind: block, prefix: 127.0.0.0/8, region: one}\n---\n{kind: block, prefix: 127.0.2.0/24, region: two}\n" + more
}

// apply applies declarations through the platform and returns their revision.
func (c *cluster) apply(text string) uint64 {
	c.t.Helper()
	set, err := declaration.Parse(map[string][]byte{"f.yaml": []byte(text)})
	if err != nil {
		c.t.Fatal(err)
	}
	client := platform.New(c.api.URL)
	defer client.Close()
	base, _, err := rollout.Current(c.t.Context(), client)
	if err != nil {
		c.t.Fatal(err)
	}
	revision, err := rollout.Apply(c.t.Context(), client, set, base, "test", time.Now())
	if err != nil {
		c.t.Fatal(err)
	}
	return revision.Number
}

// recordRun counts an execution of a request; the upstreams call it with the load id.
// It locks the cluster.
func (c *cluster) recordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

// runsOf returns how often the upstreams executed a request. It locks the cluster.
func (c *cluster) runsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// start starts an instance. All but the first get the address of the first as a seed.
// With MATRIX_LOG set, instances log to standard error.
func (c *cluster) start(name, region, domain string) *member {
	c.t.Helper()
	table := setting.Serve()
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	table.SetFlags(flags)
	newAddress := func() string { return freeAddress(c.t) }
	m := &member{name: name, caller: newAddress(), peer: newAddress(), settings: table, done: make(chan struct{})}
	args := append(c.keyFlags(name),
		"-name", name, "-region", region, "-domain", domain, "-platform", c.api.URL, "-caller", m.caller,
		"-peer", m.peer, "-probe", newAddress(), "-admin", newAddress(), "-lookup-life", "1s")
	if len(c.members) > 0 {
		args = append(args, "-seeds", c.members[0].peer)
	}
	err := flags.Parse(args)
	if err == nil {
		err = table.Check()
	}
	if err != nil {
		c.t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	if os.Getenv("MATRIX_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("at", name)
	}
	if m.instance, err = instance.New(table, log); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	c.members = append(c.members, m)
	c.group.Go(func() error {
		defer close(m.done)
		return m.instance.Run(ctx)
	})
	return m
}

// nextPort counts the ports that freeAddress has chosen. The ports are below the
// ephemeral range of the system, in a range chosen by the process id, so that a test in
// another process does not take a port between its choice and its use.
var nextPort atomic.Int32

const (
	firstPort       = 21_000
	portRangeCount  = 20
	portsPerProcess = 500
)

// freeAddress returns a loopback address whose port is free over both TCP and UDP.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range portsPerProcess {
		// The count wraps around, so that ports of closed clusters are reused.
		n := int(nextPort.Add(1)) % portsPerProcess
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%portRangeCount*portsPerProcess+n)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return address
		}
	}
	t.Fatal("the ports of this process are used up")
	return ""
}

// close stops all instances and stand-ins. It fails the test if an instance returned an
// error.
func (c *cluster) close() {
	c.store.Fail(standin.StoreDown, 0)
	for _, m := range c.members {
		m.stop()
	}
	if err := c.group.Wait(); err != nil {
		c.t.Errorf("an instance ended with %v", err)
	}
	c.client.CloseIdleConnections()
	for _, s := range c.servers {
		s.CloseClientConnections()
		s.Close()
	}
	c.api.CloseClientConnections()
	c.api.Close()
}

// await polls until cond returns true, and fails the test after settleLimit.
func (c *cluster) await(what string, cond func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(settleLimit); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// converged reports whether every instance is live, has as many live instances in its roster
// as the cluster has members, and has the newest revision.
func (c *cluster) converged() bool {
	newest := uint64(0)
	for _, m := range c.members {
		s := m.instance.Status()
		if s.LiveInstances != len(c.members) || s.State != "live" || s.Revision == 0 {
			return false
		}
		newest = max(newest, s.Revision)
	}
	for _, m := range c.members {
		if m.instance.Status().Revision != newest {
			return false
		}
	}
	return true
}

// call is one request of a caller.
type call struct {
	method      string
	path        string
	key         string
	body        io.Reader
	header      http.Header
	memberIndex int // index in members of the instance that gets the request
}

// response is what a caller got for a request.
type response struct {
	Code      int
	Execution string
	Valid     bool // status 200 with the body that belongs to the request
	Body      string
}

// newID returns a new load id. It locks the cluster.
func (c *cluster) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return fmt.Sprintf("id-%d", c.lastID)
}

// send sends a request and returns the response. The zero response stands for a
// connection that ended before the response was complete.
func (c *cluster) send(id string, k call) response {
	c.t.Helper()
	req, err := http.NewRequestWithContext(c.t.Context(), k.method, "http://"+c.members[k.memberIndex].caller+k.path, k.body)
	if err != nil {
		c.t.Fatal(err)
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	req.GetBody = nil
	req.Header.Set(standin.HeaderLoadID, id)
	if k.key != "" {
		req.Header.Set(entry.HeaderKey, k.key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}
	}
	return response{
		Code: resp.StatusCode, Execution: resp.Header.Get(upstream.HeaderRan), Body: string(body),
		Valid: resp.StatusCode == http.StatusOK && string(body) == string(standin.GenerateBody(id, len(body))) && len(body) > 0,
	}
}
