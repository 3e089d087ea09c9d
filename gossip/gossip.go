// Package gossip tells which instances live: each sends its heartbeat and those it
// heard of to a few others, in datagrams.
package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/period"
)

const (
	beatEvery = 500 * time.Millisecond
	// fanout is how many members get each heartbeat.
	fanout = 2
	// lostAfter is after which silence a member counts as gone.
	lostAfter = 2500 * time.Millisecond
	// replacedAfter is after which silence another run of a name is believed from
	// hearsay.
	replacedAfter = 1500 * time.Millisecond
	// forgetAfter is after which silence a member is no longer tried.
	forgetAfter = time.Minute
	// settleTime is how long a new instance takes to hear of the others.
	settleTime = 2 * time.Second
	// hearsay is how many other members one datagram tells of.
	hearsay     = 12
	maxDatagram = 8 << 10
	leaveTells  = 2 // how often each member is told of a planned stop
)

// Member is one instance as it tells of itself.
type Member struct {
	Name    string `cbor:"1,keyasint"`
	Domain  string `cbor:"2,keyasint"` // failure domain
	Region  string `cbor:"3,keyasint"`
	Front   string `cbor:"4,keyasint"` // address for callers
	Control string `cbor:"5,keyasint"` // address for other instances
	// Run tells two starts under one name apart.
	Run int64 `cbor:"6,keyasint"`
	// Beat counts up while the run lives.
	Beat uint64 `cbor:"7,keyasint"`
	// Ready instances serve callers.
	Ready bool `cbor:"8,keyasint"`
	// Leaving instances are about to stop.
	Leaving bool `cbor:"9,keyasint"`
	// Demand is what the requests that reach the instance need.
	Demand []Demand `cbor:"10,keyasint"`
	// Newest holds the revision of the last change that the instance knows, for each
	// kind of object that it follows.
	Newest []uint64 `cbor:"11,keyasint"`
}

// Demand is the slots that the requests of a service at one instance need if each holds
// one for as long as its objective.
type Demand struct {
	Service string `cbor:"1,keyasint"`
	// Millislots are thousandths of a slot.
	Millislots int `cbor:"2,keyasint"`
}

// message is one datagram.
type message struct {
	From   Member   `cbor:"1,keyasint"`
	Others []Member `cbor:"2,keyasint"`
}

// known is a member and when its beat last advanced.
type known struct {
	member  Member
	heardAt time.Time
}

// Mesh is one instance among the others. Its methods may be called at the same
// time.
type Mesh struct {
	conn  net.PacketConn
	port  uint16
	begun time.Time
	log   *slog.Logger
	group errgroup.Group

	mu     sync.Mutex
	self   Member
	seeds  []string
	others map[string]*known
}

var (
	received = metrics.GetOrCreateCounter(`hickorydrum_gossip_received_total`)
	sent     = metrics.GetOrCreateCounter(`hickorydrum_gossip_sent_total`)
	broken   = metrics.GetOrCreateCounter(`hickorydrum_gossip_unreadable_total`)
)

// New opens the datagram port at the address. All instances use the same port.
func New(self Member, address string, seeds []string, log *slog.Logger) (*Mesh, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fault.New(fault.Invalid, "the address "+address+" is not usable", "write it such as 10.1.0.4:7600",
			fault.WithCause(err))
	}
	conn, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp4", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "the port "+address+" cannot be opened", "free the port", fault.WithCause(err))
	}
	return &Mesh{
		conn: conn, port: at.Port(), begun: time.Now(), log: log, self: self, seeds: slices.Clone(seeds), others: make(map[string]*known),
	}, nil
}

// SetSeeds replaces the addresses that are tried while nobody is known.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = slices.Clone(seeds)
}

// SetReady tells the others whether this instance serves callers.
func (m *Mesh) SetReady(ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Ready = ready
}

// Tell tells the others what the requests at this instance need, and which
// changes it knows.
func (m *Mesh) Tell(demand []Demand, newest []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Demand, m.self.Newest = demand, newest
}

// Run sends and receives until the context is done.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	defer stop()
	m.group.Go(func() error { return m.receive(ctx) })
	m.beat(time.Now())
	err := period.Each(ctx, beatEvery, m.beat)
	_ = m.group.Wait()
	return err
}

// Leave tells every member that this instance is about to stop.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.self.Leaving = true
	m.self.Beat++
	data := m.encode(nil)
	targets := m.targets(time.Now(), len(m.others))
	m.mu.Unlock()
	for range leaveTells {
		m.send(data, targets)
	}
}

// beat sends one heartbeat to a few members, and to one that may have come back.
func (m *Mesh) beat(now time.Time) {
	m.mu.Lock()
	m.self.Beat++
	m.forget(now)
	data := m.encode(m.sample(now))
	targets := m.targets(now, fanout)
	m.mu.Unlock()
	m.send(data, targets)
}

// forget drops members that were silent for long. The lock is held.
func (m *Mesh) forget(now time.Time) {
	for name, k := range m.others {
		silent := now.Sub(k.heardAt)
		if silent > lostAfter && silent <= lostAfter+beatEvery {
			event.MemberGone.Log(context.Background(), m.log, slog.String("member", name), slog.Duration("silent", silent))
		}
		if silent > forgetAfter {
			delete(m.others, name)
		}
	}
}

// sample returns the members to tell of. The lock is held.
func (m *Mesh) sample(now time.Time) []Member {
	var out []Member
	for _, k := range m.others {
		if now.Sub(k.heardAt) < lostAfter {
			out = append(out, k.member)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), hearsay)]
}

// targets returns up to n live members, and one seed or silent member. The lock is
// held.
func (m *Mesh) targets(now time.Time, n int) []string {
	var live, silent []string
	for _, k := range m.others {
		if now.Sub(k.heardAt) < lostAfter {
			live = append(live, k.member.Control)
		} else {
			silent = append(silent, k.member.Control)
		}
	}
	for _, seed := range m.seeds {
		if seed != m.self.Control && !slices.Contains(live, seed) {
			silent = append(silent, seed)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	live = live[:min(n, len(live))]
	if len(silent) == 0 {
		return live
	}
	if len(live) == 0 {
		return silent
	}
	return append(live, silent[rand.IntN(len(silent))])
}

// encode returns the datagram of this instance. The lock is held.
func (m *Mesh) encode(others []Member) []byte {
	data, err := cbor.Marshal(message{From: m.self, Others: others})
	if err != nil {
		broken.Inc()
	}
	return data
}

func (m *Mesh) send(data []byte, controls []string) {
	for _, control := range controls {
		at, err := netip.ParseAddrPort(control)
		if err != nil {
			continue
		}
		// A datagram that cannot be sent is like one that is lost.
		to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(at.Addr(), m.port))
		if _, err := m.conn.WriteTo(data, to); err == nil {
			sent.Inc()
		}
	}
}

func (m *Mesh) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := m.conn.ReadFrom(buf)
		if err != nil {
			continue
		}
		var msg message
		if err := cbor.Unmarshal(buf[:n], &msg); err != nil || msg.From.Name == "" {
			broken.Inc()
			continue
		}
		received.Inc()
		m.take(msg, time.Now())
	}
	return nil
}

// take takes in a datagram.
func (m *Mesh) take(msg message, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hear(msg.From, now, true)
	for _, other := range msg.Others {
		m.hear(other, now, false)
	}
}

// hear takes in what is told of one member, by itself or by another. The lock is
// held.
func (m *Mesh) hear(other Member, now time.Time, direct bool) {
	if other.Name == m.self.Name || other.Name == "" {
		return
	}
	k, ok := m.others[other.Name]
	switch {
	case !ok:
		m.others[other.Name] = &known{member: other, heardAt: now}
		event.MemberJoined.Log(context.Background(), m.log, slog.String("member", other.Name))
	case k.member.Run == other.Run:
		if other.Beat > k.member.Beat {
			k.member, k.heardAt = other, now
		}
	case direct, now.Sub(k.heardAt) > replacedAfter && other.Run > k.member.Run:
		k.member, k.heardAt = other, now
	}
}

// Live returns the members that live, this instance among them, by name.
func (m *Mesh) Live() []Member {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []Member{m.self}
	for _, k := range m.others {
		if now.Sub(k.heardAt) < lostAfter {
			out = append(out, k.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Controls returns the control addresses of the other members that live, then the
// seeds.
func (m *Mesh) Controls() []string {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, k := range m.others {
		if now.Sub(k.heardAt) < lostAfter {
			out = append(out, k.member.Control)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	for _, seed := range m.seeds {
		if seed != m.self.Control && !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	return out
}

// Count returns how many instances of a region, and of all, may be at work: those
// that live and those that were silent for less than forgetAfter, which may only be
// cut off from here.
func (m *Mesh) Count(region string) (inRegion, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all = 1
	if m.self.Region == region {
		inRegion = 1
	}
	for _, k := range m.others {
		all++
		if k.member.Region == region {
			inRegion++
		}
	}
	return inRegion, all
}

// Settled reports whether the mesh has run for long enough to know its members.
func (m *Mesh) Settled(now time.Time) bool { return now.Sub(m.begun) > settleTime }
