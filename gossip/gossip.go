// Package gossip exchanges the membership, the load and the revisions of the instances by
// datagrams. The instances of one failure domain exchange the state of all its members;
// failure domains exchange summaries. The package also decides which member of a failure
// domain watches the platform's store, and which instance has the right to a cold upstream:
// normally only that instance may send it requests, up to the upstream's limited rate (see
// package load). Both are decided by ranks that all members compute alike. All times in the
// package are by the clock of package clock, except Member.Run.
package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"hickorydrum/clock"
	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/interval"
	"hickorydrum/limit"
	"hickorydrum/quota"
	"hickorydrum/revision"
)

// leaveRepeats is how many times the datagram that announces a planned stop is sent to each
// member, since datagrams may be lost.
const leaveRepeats = 2

// RevisionNotice holds the revisions that another instance has announced.
type RevisionNotice struct {
	// From is the instance that announced them.
	From netip.Addr
	// SameDomain states that From is in the failure domain of this instance.
	SameDomain bool
	// Newest holds the revision of the last change, by kind of entry in the platform's store.
	Newest []revision.Revision
}

// Mesh exchanges the state of this instance with the other instances. Its methods are safe
// for concurrent use, except OnRevisions and OnLoadReports. A datagram is handled in the
// goroutine that receives all of them.
type Mesh struct {
	conn          net.PacketConn
	port          uint16
	onRevisions   func(RevisionNotice)
	onLoadReports func([]LoadReport)
	onLimits      func([]limit.State)
	onQuotas      func([]quota.Answer)
	onConfirmed   func(Confirmation)
	now           func() time.Time
	group         errgroup.Group
	log           *slog.Logger

	mu   sync.Mutex
	view *view
}

var (
	received   = metrics.GetOrCreateCounter(`hickorydrum_gossip_received_total`)
	sent       = metrics.GetOrCreateCounter(`hickorydrum_gossip_sent_total`)
	sentBytes  = metrics.GetOrCreateCounter(`hickorydrum_gossip_sent_bytes_total`)
	unreadable = metrics.GetOrCreateCounter(`hickorydrum_gossip_unreadable_total`)
	panics     = metrics.GetOrCreateCounter(`hickorydrum_gossip_contained_total`)
	rejected   = metrics.GetOrCreateCounter(`hickorydrum_gossip_strangers_total`)
)

// Option configures a Mesh in New.
type Option func(*Mesh)

// WithConn sets the connection for datagrams. The default is a UDP socket at the address of the
// instance. The mesh closes it.
func WithConn(conn net.PacketConn) Option { return func(m *Mesh) { m.conn = conn } }

// WithClock sets the clock. The default is that of package clock.
func WithClock(now func() time.Time) Option { return func(m *Mesh) { m.now = now } }

// New opens a UDP socket at address, which is the address of this instance. All instances
// use the same port. regions holds the region of every failure domain.
func New(address, domain string, regions map[string]string, log *slog.Logger, opts ...Option) (*Mesh, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().Is4() {
		return nil, fault.New(fault.Invalid, "the address "+address+" is not usable", "write it such as 10.1.0.4:7600",
			fault.WithCause(err))
	}
	m := &Mesh{
		port: at.Port(), log: log, now: clock.Now, onRevisions: func(RevisionNotice) {}, onLoadReports: func([]LoadReport) {},
		onLimits: func([]limit.State) {}, onQuotas: func([]quota.Answer) {}, onConfirmed: func(Confirmation) {},
	}
	for _, opt := range opts {
		opt(m)
	}
	if m.conn == nil {
		if m.conn, err = (&net.ListenConfig{}).ListenPacket(context.Background(), "udp4", address); err != nil {
			return nil, fault.New(fault.Unavailable, "the port "+address+" cannot be opened", "free the port", fault.WithCause(err))
		}
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := Member{Address: at.Addr(), Run: uint32(time.Now().UnixMilli())}
	m.view = newView(self, domain, regions, random, log, m.now())
	return m, nil
}

// OnRevisions sets the function that is called for each accepted datagram of another
// instance, with the revisions that the sender has. It must be set before Run. f is called
// without the lock, by the goroutine that receives datagrams, so it must not block.
func (m *Mesh) OnRevisions(f func(RevisionNotice)) { m.onRevisions = f }

// OnLoadReports sets the function that is called when another member of the failure domain
// sends load reports of upstreams. It must be set before Run. f is called without the
// lock, by the goroutine that receives datagrams, so it must not block.
func (m *Mesh) OnLoadReports(f func([]LoadReport)) { m.onLoadReports = f }

// SetSeeds replaces the addresses that this instance contacts to find other instances. The
// mesh keeps the slice, which must not be changed afterwards.
func (m *Mesh) SetSeeds(seeds []netip.Addr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.seeds = seeds
}

// SetReady sets whether this instance serves callers. The next heartbeats carry it.
func (m *Mesh) SetReady(ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.self.Ready = ready
}

// SetStoreRefused sets whether calls of this instance to the platform's store are refused or
// fail otherwise, for example by a timeout. The next heartbeats carry it.
func (m *Mesh) SetStoreRefused(refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.self.StoreRefused = refused
}

// SetLoad sets the demand of the requests at this instance, in thousandths of a slot by
// service, and the load reports of upstreams that the next heartbeats carry. The mesh keeps
// both, so they must not be changed afterwards.
func (m *Mesh) SetLoad(demand map[string]int, reports []LoadReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.self.Demand, m.view.loadReports = demand, reports
}

// Announce sets the revisions that this instance has and sends them at once to all live
// members of the failure domain, and if otherDomains is set to one contact in each other
// failure domain. All others receive them with later heartbeats.
func (m *Mesh) Announce(newest []revision.Revision, otherDomains bool) {
	now := m.now()
	m.mu.Lock()
	m.view.newest = newest
	datagrams := m.view.announce(otherDomains, now)
	m.mu.Unlock()
	m.send(datagrams)
}

// SetRevisions sets the revisions that this instance has. The next heartbeats carry them.
func (m *Mesh) SetRevisions(newest []revision.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.newest = newest
}

// Run sends heartbeats and receives datagrams until the context is done. It then closes the
// socket.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	defer stop()
	m.group.Go(func() error { return m.receive(ctx) })
	m.heartbeat()
	err := interval.Each(ctx, heartbeatInterval, func(time.Time) { m.heartbeat() })
	_ = m.group.Wait()
	return err
}

// Leave announces to every live member of the failure domain that this instance is about to
// stop.
func (m *Mesh) Leave() {
	now := m.now()
	m.mu.Lock()
	m.view.self.Leaving = true
	datagrams := m.view.announce(false, now)
	m.mu.Unlock()
	for range leaveRepeats {
		m.send(datagrams)
	}
}

func (m *Mesh) heartbeat() {
	now := m.now()
	m.mu.Lock()
	datagrams := m.view.heartbeat(now)
	m.mu.Unlock()
	m.send(datagrams)
}

func (m *Mesh) send(datagrams []datagram) {
	for _, d := range datagrams {
		if len(d.data) == 0 {
			continue // the message could not be encoded
		}
		// A datagram that cannot be sent counts as lost.
		to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.to, m.port))
		if _, err := m.conn.WriteTo(d.data, to); err == nil {
			sent.Inc()
			sentBytes.Add(len(d.data))
		}
	}
}

func (m *Mesh) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := m.conn.ReadFrom(buf)
		if err != nil {
			continue
		}
		at, ok := from.(*net.UDPAddr)
		if !ok {
			continue
		}
		m.handle(buf[:n], at.AddrPort().Addr().Unmap())
	}
	return nil
}

// handle processes a datagram of any format.
func (m *Mesh) handle(data []byte, from netip.Addr) {
	defer m.contain(from)
	if err := m.handlerOf(data)(data, from, m.now()); err != nil {
		unreadable.Inc()
		return
	}
	received.Inc()
}

// handlerOf returns the method that processes a datagram, by its format. The method returns an error for one that cannot
// be decoded.
func (m *Mesh) handlerOf(data []byte) func(data []byte, from netip.Addr, now time.Time) error {
	switch {
	case isLimits(data):
		return m.handleLimits
	case isQuotas(data):
		return m.handleQuotas
	case isConfirmation(data):
		return m.handleConfirmation
	}
	return m.handleMessage
}

// handleMessage processes a heartbeat or a query.
func (m *Mesh) handleMessage(data []byte, from netip.Addr, now time.Time) error {
	msg, err := decode(data)
	if err != nil {
		return err
	}
	var replies []datagram
	var ok, sameDomain bool
	var at time.Time
	m.locked(func(v *view) {
		replies, ok = v.handle(msg, from, now)
		sameDomain, at = msg.Domain == v.domain, v.arrivedAt(now)
	})
	m.send(replies)
	if !ok {
		return nil
	}
	m.onRevisions(RevisionNotice{From: from, SameDomain: sameDomain, Newest: revision.Unpack(msg.Newest, StoreKinds)})
	if sameDomain && len(msg.LoadReports) > 0 {
		m.onLoadReports(decodeLoadReports(msg.LoadReports, at))
	}
	return nil
}

// locked calls f with the lock held. It releases the lock also if f panics, since contain lets the process go on.
func (m *Mesh) locked(f func(v *view)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.view)
}

// contain recovers from a panic in the handling of a datagram: no datagram may end the
// process. It must be deferred.
func (m *Mesh) contain(from netip.Addr) {
	if cause := recover(); cause != nil {
		panics.Inc()
		event.DatagramFailed.Log(context.Background(), m.log, slog.String("from", from.String()), slog.Any("cause", cause))
	}
}

// Serving returns the addresses of the instances that callers from a failure domain should
// use. region is the callers' region; it is used only if the failure domain is not known.
func (m *Mesh) Serving(domain, region string) []netip.Addr {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.serving(domain, region, now)
}

// Summaries returns the summaries of failure domains whose demand may be used: those
// younger than demandFor. That of this instance's failure domain, made at the call, is
// first.
func (m *Mesh) Summaries() []Summary {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []Summary{*m.view.ownSummary(now)}
	for _, s := range m.view.summaries {
		if now.Sub(s.madeAt) < demandFor {
			out = append(out, *s)
		}
	}
	return out
}

// Peers returns the addresses of other instances that this one may query: first the live
// members of its failure domain, then contacts in others, then the seeds.
func (m *Mesh) Peers() []netip.Addr {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.peers(now)
}

// Count returns how many instances may be running, in a region and in all: those that are
// alive, and those that may still run, cut off from this one. These are the members that have
// been silent for less than forgetAfter, and those of silent failure domains.
func (m *Mesh) Count(region string) (inRegion, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.count(region)
}

// RightShare returns this instance's share of the right to the request rate of a cold upstream.
// key identifies the upstream and domain is its failure domain. Normally one instance of
// that failure domain holds the whole right, and the share of all others is 0.
func (m *Mesh) RightShare(domain string, key uint64) float64 {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.rightShare(domain, key, now)
}

// Watches reports whether this instance is the one that watches the platform's store for
// its failure domain.
func (m *Mesh) Watches() bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.watches(now)
}
