package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
	"hickorydrum/gossip"
	"hickorydrum/platform"
	"hickorydrum/revision"
	"hickorydrum/standin"
)

// world is a deployment in virtual time: real followers and meshes, between a stand-in for the
// platform's store and simulated links. It must run in a bubble of package synctest.
type world struct {
	t       *testing.T
	random  *rand.Rand // used by the test's goroutine only
	bound   time.Duration
	store   *standin.Store
	regions map[string]string
	seeds   []netip.Addr
	story   string    // what was played
	out     io.Writer // for the logs of the instances, nil if they are not wanted

	mu        sync.Mutex
	links     *rand.Rand
	loss      float64
	instances []*simulated // the running processes, and those that ended and were not started again
	processes []*simulated // all that were ever started
	changes   []change
	versions  uint64          // of the configuration, so far
	drained   map[string]bool // by key, the upstreams whose last value drains
	starts    map[string]int  // by key, how often an upstream has started again
	calls     map[string]int
}

const (
	sameDomain, sameRegion, otherRegion = time.Millisecond, 2 * time.Millisecond, 30 * time.Millisecond // delays, one way
	// silentFor is how long a call waits on a silent connection before it fails.
	silentFor = 3 * time.Second
	callLimit = 2 * time.Second
)

// condition is what happens to an instance.
type condition struct {
	dead, noStore, refused, stalled, noSend, noReceive bool

	pausedUntil time.Time
	slow        time.Duration // of the store's answers
}

// simulated is one process of an instance.
type simulated struct {
	world    *world
	address  netip.Addr
	domain   string
	mesh     *gossip.Mesh
	follower *follower
	conn     *simConn
	cancel   context.CancelFunc
	group    errgroup.Group

	mu         sync.Mutex
	is         condition
	exemptions []exemption
	knownAt    map[revision.Revision]time.Time
}

func (s *simulated) set(change func(c *condition)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.is)
}

// condition returns what happens to the instance now.
func (s *simulated) condition() condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.is
}

// awaitRunning waits for the end of a pause.
func (s *simulated) awaitRunning() {
	for until := s.condition().pausedUntil; time.Now().Before(until); until = s.condition().pausedUntil {
		time.Sleep(time.Until(until))
	}
}

func newWorld(t *testing.T, seed uint64, bound time.Duration) *world {
	return &world{
		t: t, random: rand.New(rand.NewPCG(seed, 37)), links: rand.New(rand.NewPCG(seed, 38)), bound: bound, store: standin.NewStore(),
		regions: make(map[string]string), loss: 0.002, calls: make(map[string]int),
		drained: make(map[string]bool), starts: make(map[string]int),
	}
}

// startAll starts the instances, in the given number of failure domains of three regions.
func (w *world) startAll(instances, domains int) {
	for d := range domains {
		w.regions[fmt.Sprintf("d-%d", d)] = fmt.Sprintf("r-%d", d%3)
	}
	w.put(platform.KindConfiguration + "/main")
	for i := range 6 {
		w.put(fmt.Sprintf("%s/i-%d", platform.KindUpstreams, i))
	}
	for i := range min(3, instances) {
		w.seeds = append(w.seeds, simAddress(i))
	}
	for i := range instances {
		w.start(i, fmt.Sprintf("d-%d", i%domains))
	}
}

func simAddress(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}) }

// change is one change that the store has acknowledged.
type change struct {
	kind, key string
	removes   bool
	revision  revision.Revision
	at        time.Time
	value     []byte // nil if it removes
}

// changed returns the changes that the store has acknowledged.
func (w *world) changed() []change {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changes
}

// record records a change. Where it undoes an earlier one, an instance that has not seen that one needs not any more.
func (w *world) record(c change) change {
	c.kind, _, _ = strings.Cut(c.key, "/")
	c.at = time.Now()
	w.mu.Lock()
	w.changes = append(w.changes[:len(w.changes):len(w.changes)], c)
	w.mu.Unlock()
	for _, s := range w.all() {
		s.note(c.kind)
	}
	return c
}

// put writes an object with a new value.
func (w *world) put(key string) change { return w.write(key, w.value(key, "ready")) }

// value returns a value for an object: a configuration of a higher version, or the entry of an upstream in a state.
func (w *world) value(key, state string) []byte {
	kind, _, _ := strings.Cut(key, "/")
	w.versions++
	switch kind {
	case platform.KindConfiguration:
		return fmt.Appendf(nil, `{"version":"r%d"}`, w.versions)
	case platform.KindUpstreams:
		if w.drained[key] && state != "draining" {
			w.starts[key]++ // a process that has drained exits
		}
		w.drained[key] = state == "draining"
		return fmt.Appendf(nil, `{"address":"10.9.0.1:80","born":%d,"info":{"service":"s","zone":"d-0","slots":4},"status":{"state":%q,"coldRemainingMs":%d}}`,
			1+w.starts[key], state, w.versions)
	}
	return []byte("{}")
}

// write writes an object with a value.
func (w *world) write(key string, value []byte) change {
	version := uint64(0)
	if o, err := w.store.Get(w.t.Context(), key); err == nil {
		version = o.Version
	}
	version, err := w.store.Put(w.t.Context(), key, value, version)
	if err != nil {
		w.t.Fatal(err)
	}
	return w.record(change{key: key, revision: w.revision(version), value: value})
}

// revision returns a revision of the store's era.
func (w *world) revision(number uint64) revision.Revision {
	return revision.Revision{Era: w.store.Era() + 1, Number: number}
}

// remove deletes an object.
func (w *world) remove(key string) change {
	o, err := w.store.Get(w.t.Context(), key)
	if err == nil {
		err = w.store.Delete(w.t.Context(), key, o.Version)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	page, err := w.store.Client().List(w.t.Context(), key)
	if err != nil {
		w.t.Fatal(err)
	}
	return w.record(change{key: key, removes: true, revision: page.Cursor})
}

// start starts the process of an instance, in place of an earlier one at its address.
func (w *world) start(i int, domain string) *simulated {
	s := &simulated{world: w, address: simAddress(i), domain: domain, knownAt: make(map[revision.Revision]time.Time)}
	s.conn = &simConn{of: s, inbox: make(chan packet, 256), closed: make(chan struct{})}
	log := slog.New(slog.DiscardHandler)
	if w.out != nil {
		log = slog.New(slog.NewTextHandler(w.out, nil)).With("i", i)
	}
	var err error
	s.mesh, err = gossip.New(netip.AddrPortFrom(s.address, gossipPort).String(), domain, w.regions, log,
		gossip.WithConn(s.conn), gossip.WithClock(time.Now))
	if err != nil {
		w.t.Fatal(err)
	}
	s.mesh.SetSeeds(w.seeds)
	s.mesh.SetReady(true)
	s.follower = newFollower(&simStore{s}, s.mesh, controlPort, log, s.note, withClock(time.Now), withBound(w.bound),
		withTransport(&simTransport{s}), withHeartbeat(1500*time.Millisecond))
	s.mesh.OnRevisions(s.follower.handleNotice)
	s.mesh.OnConfirmed(s.follower.handleConfirmation)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group.Go(func() error { return s.mesh.Run(ctx) })
	s.group.Go(func() error { return s.follower.run(ctx) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes = append(w.processes, s)
	if i == len(w.instances) {
		w.instances = append(w.instances, s)
	} else {
		w.instances[i] = s
	}
	return s
}

// note records which changes are known now.
func (s *simulated) note(string) {
	for _, c := range s.world.changed() {
		if !s.has(&c) {
			continue
		}
		s.mu.Lock()
		if _, ok := s.knownAt[c.revision]; !ok {
			s.knownAt[c.revision] = time.Now()
		}
		s.mu.Unlock()
	}
}

// has reports whether the instance has a change now, or a later one of the same object.
func (s *simulated) has(c *change) bool {
	entries, _ := s.follower.entries(c.kind)
	for _, e := range entries {
		if e.Object.Key == c.key {
			return !c.revision.After(e.Object.Version) && (!c.removes || e.Object.Version.After(c.revision))
		}
	}
	return c.removes || slices.ContainsFunc(s.world.changed(), func(later change) bool {
		return later.key == c.key && later.removes && later.revision.After(c.revision)
	})
}

// knows returns when a change was known.
func (s *simulated) knows(c *change) (time.Time, bool) {
	s.mu.Lock()
	at, ok := s.knownAt[c.revision]
	s.mu.Unlock()
	if ok {
		return at, true
	}
	return c.at, s.has(c) // nothing had to change here
}

// kill ends the process without a word to anyone.
func (s *simulated) kill() {
	s.set(func(c *condition) { c.dead = true })
	s.cancel()
}

// end ends all processes.
func (w *world) end() {
	for _, s := range w.processes {
		s.set(func(c *condition) { c.pausedUntil = time.Time{} })
		s.kill()
	}
	for _, s := range w.processes {
		_ = s.group.Wait()
	}
}

func (w *world) all() []*simulated {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*simulated(nil), w.instances...)
}

// watchers returns the instances that watch the store.
func (w *world) watchers() []*simulated {
	var out []*simulated
	for _, s := range w.all() {
		s.follower.mu.Lock()
		watching := s.follower.watching
		s.follower.mu.Unlock()
		if watching && !s.condition().dead {
			out = append(out, s)
		}
	}
	return out
}

func (w *world) find(address netip.Addr) *simulated {
	for _, s := range w.all() {
		if s.address == address {
			return s
		}
	}
	return nil
}

// delay returns the time that a message takes from one instance to another.
func (w *world) delay(from, to *simulated) time.Duration {
	switch {
	case from.domain == to.domain:
		return sameDomain
	case w.regions[from.domain] == w.regions[to.domain]:
		return sameRegion
	}
	return otherRegion
}

// loses draws whether a datagram is lost.
func (w *world) loses() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links.Float64() < w.loss
}

func (w *world) count(call string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[call]++
}

type packet struct {
	data []byte
	from netip.Addr
}

// simConn is the connection for datagrams of one process.
type simConn struct {
	net.PacketConn

	of     *simulated
	inbox  chan packet
	once   sync.Once
	closed chan struct{}
}

func (c *simConn) ReadFrom(buf []byte) (int, net.Addr, error) {
	select {
	case p := <-c.inbox:
		c.of.awaitRunning()
		return copy(buf, p.data), net.UDPAddrFromAddrPort(netip.AddrPortFrom(p.from, gossipPort)), nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *simConn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.of.awaitRunning()
	w := c.of.world
	target := w.find(to.(*net.UDPAddr).AddrPort().Addr())
	if is := c.of.condition(); target == nil || is.dead || is.noSend || w.loses() {
		return len(data), nil
	}
	p := packet{append([]byte(nil), data...), c.of.address}
	time.AfterFunc(w.delay(c.of, target), func() {
		if is := target.condition(); is.dead || is.noReceive {
			return
		}
		select {
		case target.conn.inbox <- p:
		default:
		}
	})
	return len(data), nil
}

func (c *simConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

var errSilent = errors.New("no answer")

// simTransport carries the calls of one instance to peers.
type simTransport struct{ of *simulated }

func (t *simTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.of.awaitRunning()
	w := t.of.world
	at, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return nil, err
	}
	target := w.find(at.Addr())
	silent := func(from, to *simulated) bool {
		return target == nil || from.condition().dead || to.condition().dead || from.condition().noSend || to.condition().noReceive ||
			from.condition().noReceive || to.condition().noSend
	}
	if silent(t.of, target) || time.Now().Before(target.condition().pausedUntil) {
		timer := time.NewTimer(t.of.follower.budget().Peer())
		defer timer.Stop()
		select {
		case <-r.Context().Done():
		case <-timer.C:
		}
		return nil, errSilent
	}
	time.Sleep(2 * w.delay(t.of, target)) // the connection opens and the request arrives
	answer := httptest.NewRecorder()
	if err := target.follower.serveState(answer, r); err != nil {
		return nil, err
	}
	time.Sleep(w.delay(t.of, target))
	t.of.awaitRunning()
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return answer.Result(), nil
}

// simStore carries the calls of one instance to the store.
type simStore struct{ of *simulated }

// call makes a call with the condition of the instance.
func (s *simStore) call(ctx context.Context, name string, limit time.Duration, f func(ctx context.Context) (platform.Page, error)) (platform.Page, error) {
	s.of.awaitRunning()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	w := s.of.world
	w.count(name)
	oneWay := sameRegion
	if w.regions[s.of.domain] != "r-0" {
		oneWay = otherRegion
	}
	unavailable := fault.New(fault.Unavailable, "the store does not answer", "", fault.WithExecution(fault.NotExecuted))
	silent := func() bool { is := s.of.condition(); return is.dead || is.noStore }
	if silent() {
		silentCtx, cancel := context.WithTimeout(ctx, silentFor)
		defer cancel()
		<-silentCtx.Done()
		return platform.Page{}, unavailable
	}
	time.Sleep(oneWay + 4*time.Millisecond + s.of.condition().slow)
	if s.of.condition().refused {
		time.Sleep(oneWay)
		return platform.Page{}, unavailable
	}
	page, err := f(ctx)
	if silent() {
		silentCtx, cancel := context.WithTimeout(ctx, silentFor)
		defer cancel()
		<-silentCtx.Done()
		return platform.Page{}, unavailable
	}
	time.Sleep(oneWay)
	s.of.awaitRunning()
	if ctx.Err() != nil {
		return platform.Page{}, errors.Join(unavailable, ctx.Err())
	}
	return page, err
}

func (s *simStore) List(ctx context.Context, prefix string) (platform.Page, error) {
	return s.call(ctx, "list", callLimit, func(ctx context.Context) (platform.Page, error) { return s.of.world.store.Client().List(ctx, prefix) })
}

func (s *simStore) ListStale(ctx context.Context, prefix string) (platform.Page, error) {
	return s.call(ctx, "stale", callLimit, func(ctx context.Context) (platform.Page, error) { return s.of.world.store.Client().List(ctx, prefix) })
}

func (s *simStore) Ping(ctx context.Context) error {
	_, err := s.call(ctx, "ping", callLimit, func(context.Context) (platform.Page, error) { return platform.Page{}, nil })
	return err
}

// Watch returns no events if the watches of the instance are stalled at its start or stall meanwhile.
func (s *simStore) Watch(ctx context.Context, prefix string, cursor revision.Revision, wait time.Duration) (platform.Page, error) {
	return s.call(ctx, "watch", wait+time.Second, func(ctx context.Context) (platform.Page, error) {
		deadline := time.Now().Add(wait)
		if !s.of.condition().stalled {
			page, err := s.of.world.store.Client().Watch(ctx, prefix, cursor, wait)
			if !s.of.condition().stalled {
				return page, err
			}
		}
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		case <-timer.C:
			return platform.Page{Cursor: cursor}, nil
		}
	})
}
