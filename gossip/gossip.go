// Package gossip tells which instances live, what their requests need and who knows the
// newest changes. Instances of one failure domain tell each other of all its members;
// failure domains tell each other sums. It decides which member of a failure domain has
// a role, by ranks that all find alike, and not what the role does.
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
	"hickorydrum/period"
)

// leaveRepeats is how often each member is told of a planned stop.
const leaveRepeats = 2

// RevisionNotice is what an instance tells of the changes that it knows.
type RevisionNotice struct {
	// From is the instance that knows them.
	From netip.Addr
	// SameDomain states that it is of the own failure domain.
	SameDomain bool
	// Newest holds the revision of the last change, for each kind of object.
	Newest []uint64
}

// Mesh is one instance among the others. Its methods may be called at the same
// time.
type Mesh struct {
	conn     net.PacketConn
	port     uint16
	onRevisions   func(RevisionNotice)
	onLoadReports func([]LoadReport)
	group    errgroup.Group
	log      *slog.Logger

	mu   sync.Mutex
	view *view
}

var (
	received  = metrics.GetOrCreateCounter(`hickorydrum_gossip_received_total`)
	sent      = metrics.GetOrCreateCounter(`hickorydrum_gossip_sent_total`)
	sentBytes = metrics.GetOrCreateCounter(`hickorydrum_gossip_sent_bytes_total`)
	broken    = metrics.GetOrCreateCounter(`hickorydrum_gossip_unreadable_total`)
	contained = metrics.GetOrCreateCounter(`hickorydrum_gossip_contained_total`)
	strangers = metrics.GetOrCreateCounter(`hickorydrum_gossip_strangers_total`)
)

// New opens the datagram port at the address, which is that of the instance. All
// instances use the same port. The regions are those of all failure domains.
func New(address, domain string, regions map[string]string, log *slog.Logger) (*Mesh, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().Is4() {
		return nil, fault.New(fault.Invalid, "the address "+address+" is not usable", "write it such as 10.1.0.4:7600",
			fault.WithCause(err))
	}
	conn, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp4", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "the port "+address+" cannot be opened", "free the port", fault.WithCause(err))
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := Member{Address: at.Addr(), Run: uint32(time.Now().UnixMilli())}
	return &Mesh{
		conn: conn, port: at.Port(), log: log, onRevisions: func(RevisionNotice) {}, onLoadReports: func([]LoadReport) {}, view: newView(self, domain, regions, random, log, clock.Now()),
	}, nil
}

// OnRevisions sets what is called when another instance tells which changes it knows. It must
// be set before Run.
func (m *Mesh) OnRevisions(f func(RevisionNotice)) { m.onRevisions = f }

// OnLoadReports sets what is called when another member of the failure domain tells which
// upstreams are crowded. It must be set before Run.
func (m *Mesh) OnLoadReports(f func([]LoadReport)) { m.onLoadReports = f }

// SetSeeds replaces the addresses that are asked for other instances.
func (m *Mesh) SetSeeds(seeds []netip.Addr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.seeds = seeds
}

// SetReady tells the others whether this instance serves callers.
func (m *Mesh) SetReady(ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.self.Ready = ready
}

// SetRefused tells the others whether the platform's store answers this instance.
func (m *Mesh) SetRefused(refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.self.StoreRefused = refused
}

// SetLoad tells the others what the requests at this instance need, in thousandths of a
// slot, by service, and which upstreams are crowded.
func (m *Mesh) SetLoad(demand map[string]int, crowds []LoadReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.self.Demand, m.view.loadReports = demand, crowds
}

// Announce tells the members of the failure domain at once which changes this instance
// knows, and if far is set one instance of each other failure domain. The others hear it
// with the next heartbeats.
func (m *Mesh) Announce(newest []uint64, far bool) {
	now := clock.Now()
	m.mu.Lock()
	m.view.newest = newest
	packets := m.view.announce(far, now)
	m.mu.Unlock()
	m.send(packets)
}

// Know sets which changes this instance knows.
func (m *Mesh) Know(newest []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.newest = newest
}

// Run sends and receives until the context is done.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	defer stop()
	m.group.Go(func() error { return m.receive(ctx) })
	m.heartbeat()
	err := period.Each(ctx, heartbeatInterval, func(time.Time) { m.heartbeat() })
	_ = m.group.Wait()
	return err
}

// Leave tells every member of the failure domain that this instance is about to stop.
func (m *Mesh) Leave() {
	now := clock.Now()
	m.mu.Lock()
	m.view.self.Leaving = true
	packets := m.view.announce(false, now)
	m.mu.Unlock()
	for range leaveRepeats {
		m.send(packets)
	}
}

func (m *Mesh) heartbeat() {
	now := clock.Now()
	m.mu.Lock()
	packets := m.view.heartbeat(now)
	m.mu.Unlock()
	m.send(packets)
}

func (m *Mesh) send(packets []packet) {
	for _, p := range packets {
		// A datagram that cannot be sent is like one that is lost.
		to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(p.to, m.port))
		if _, err := m.conn.WriteTo(p.data, to); err == nil {
			sent.Inc()
			sentBytes.Add(len(p.data))
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

// handle takes in a datagram.
func (m *Mesh) handle(data []byte, from netip.Addr) {
	msg, err := decode(data)
	if err != nil {
		broken.Inc()
		return
	}
	received.Inc()
	defer m.contain(from)
	now := clock.Now()
	answers, near, ok := m.apply(msg, from, now)
	m.send(answers)
	if ok {
		m.onRevisions(RevisionNotice{From: from, SameDomain: near, Newest: msg.Newest})
	}
	if ok && near && len(msg.LoadReports) > 0 {
		m.onLoadReports(decodeLoadReports(msg.LoadReports, now))
	}
}

// apply has the view take in a message. It reports whether its sender is near, and
// whether the message was believed.
func (m *Mesh) apply(msg *message, from netip.Addr, now time.Time) (answers []packet, near, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	answers, ok = m.view.handle(msg, from, now)
	return answers, msg.Domain == m.view.domain, ok
}

// contain ends a panic that a datagram caused: no datagram may end the process.
func (m *Mesh) contain(from netip.Addr) {
	if cause := recover(); cause != nil {
		contained.Inc()
		event.DatagramFailed.Log(context.Background(), m.log, slog.String("from", from.String()), slog.Any("cause", cause))
	}
}

// Serving returns the addresses of the instances that callers from a failure domain
// should use. The region counts if the failure domain is not known.
func (m *Mesh) Serving(domain, region string) []netip.Addr {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.serving(domain, region, now)
}

// Summaries returns the newest sum of each failure domain that was heard of recently, first that
// of the own one.
func (m *Mesh) Summaries() []Summary {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []Summary{*m.view.ownSummary(now)}
	for _, s := range m.view.summaries {
		if now.Sub(s.madeAt) < sumFor {
			out = append(out, *s)
		}
	}
	return out
}

// Peers returns the other instances that may be asked for what they know, the nearest
// first.
func (m *Mesh) Peers() []netip.Addr {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.peers(now)
}

// Count returns how many instances of a region, and of all, may be at work: those
// that live and those that were silent for a short while, which may only be cut off.
func (m *Mesh) Count(region string) (inRegion, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.count(region)
}

// Part returns the part of a right that this instance has for a key, which belongs to a
// failure domain; one of its instances has it, all others have 0.
func (m *Mesh) Part(domain string, key uint64) float64 {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.rightShare(domain, key, now)
}

// Watches reports whether this instance watches the platform's store for its failure
// domain.
func (m *Mesh) Watches() bool {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.watches(now)
}

// Watchers returns how many instances watch the platform's store.
func (m *Mesh) Watchers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.watchers()
}
