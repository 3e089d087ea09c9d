package upstream

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
	"hickorydrum/lease"
	"hickorydrum/peer"
	"hickorydrum/roster"
	"hickorydrum/steering"
)

// Calls of the ownership protocol.
const (
	CallTake peer.Call = "take"
	CallBeat peer.Call = "beat"
)

const (
	takeEvery   = 100 * time.Millisecond
	beatEvery   = 500 * time.Millisecond
	leaseCall   = 800 * time.Millisecond
	maxParallel = 16
)

type takeMessage struct {
	From  roster.Member `cbor:"1,keyasint"`
	Takes []lease.Take  `cbor:"2,keyasint"`
}

type yieldMessage struct {
	Yields []lease.Yield `cbor:"1,keyasint"`
}

type beatMessage struct {
	From  roster.Member `cbor:"1,keyasint"`
	Beats []lease.Beat  `cbor:"2,keyasint"`
}

type ackMessage struct {
	Acks []lease.Ack `cbor:"1,keyasint"`
}

// Asker makes unary calls to peers.
type Asker interface {
	Ask(ctx context.Context, to peer.Target, call peer.Call, req, resp any) error
}

// Reader reads the registered members from the platform.
type Reader interface {
	Read(ctx context.Context) ([]roster.Member, error)
}

// Ownership takes upstreams from and yields them to the other instances of the
// region.
type Ownership struct {
	pool   *Pool
	roster *roster.Roster
	asker  Asker
	reader Reader
	now    func() time.Time
}

// NewOwnership returns the protocol's side of this instance.
func NewOwnership(pool *Pool, r *roster.Roster, asker Asker, reader Reader) *Ownership {
	return &Ownership{pool: pool, roster: r, asker: asker, reader: reader, now: time.Now}
}

// Register adds the handlers of the protocol to a node.
func (o *Ownership) Register(node *peer.Node) {
	node.Handle(CallTake, peer.Unary(o.onTake))
	node.Handle(CallBeat, peer.Unary(o.onBeat))
}

// Run takes and renews until the context is done.
func (o *Ownership) Run(ctx context.Context) error {
	take := time.NewTicker(takeEvery)
	defer take.Stop()
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-take.C:
			o.Take(ctx)
		case <-beat.C:
			o.Beat(ctx)
		}
	}
}

// OnRoster takes in a change of the roster.
func (o *Ownership) OnRoster(v *roster.View) {
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	for _, m := range v.Members() {
		if m.State != roster.Gone {
			continue
		}
		for _, w := range o.pool.workers {
			w.tenure.Gone(m.ID())
		}
	}
	o.pool.grantAll(o.now())
}

// Take begins to take the upstreams that this instance should own, and asks the
// instances that have yet to yield.
func (o *Ownership) Take(ctx context.Context) {
	byMember, incomplete := o.pendingTakes()
	if len(incomplete) > 0 {
		o.complete(ctx, incomplete)
	}
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for member, takes := range byMember {
		group.Go(func() error {
			o.askTake(ctx, member, takes)
			return nil
		})
	}
	_ = group.Wait()
}

func (o *Ownership) pendingTakes() (byMember map[string][]lease.Take, incomplete map[string]uint64) {
	self := o.roster.Self()
	view := o.roster.View()
	live := view.Serving(self.Region)
	others := otherIDs(view.Present(self.Region), self.ID())
	byMember = make(map[string][]lease.Take)
	incomplete = make(map[string]uint64)
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	for address, w := range o.pool.workers {
		owner, _ := roster.First(address, live)
		if owner.ID() == self.ID() && self.State == roster.Live && !w.removed {
			w.tenure.Start(others)
		}
		for _, member := range w.tenure.Pending() {
			byMember[member] = append(byMember[member], w.tenure.Take())
		}
		if round, ok := w.tenure.Incomplete(); ok {
			incomplete[address] = round
		}
	}
	return byMember, incomplete
}

func otherIDs(members []roster.Member, self string) []string {
	ids := make([]string, 0, len(members))
	for _, m := range members {
		if m.ID() != self {
			ids = append(ids, m.ID())
		}
	}
	return ids
}

// complete reads the registered members, so that no instance is missed that took
// shortly before this one.
func (o *Ownership) complete(ctx context.Context, incomplete map[string]uint64) {
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	members, err := o.reader.Read(ctx)
	if err != nil {
		return
	}
	o.roster.Merge(members)
	self := o.roster.Self()
	if !slices.ContainsFunc(members, func(m roster.Member) bool { return m.ID() == self.ID() }) {
		return // not registered yet: others could miss this instance
	}
	others := otherIDs(o.roster.View().Present(self.Region), self.ID())
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	for address, round := range incomplete {
		if w, ok := o.pool.workers[address]; ok {
			w.tenure.Complete(round, others)
		}
	}
	o.pool.grantAll(o.now())
}

func (o *Ownership) askTake(ctx context.Context, member string, takes []lease.Take) {
	m, ok := o.roster.View().Member(member)
	if !ok {
		return // the next read of the roster names it
	}
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	var resp yieldMessage
	req := takeMessage{From: o.roster.Self(), Takes: takes}
	if err := o.asker.Ask(ctx, target(m), CallTake, req, &resp); err != nil {
		return
	}
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	for _, y := range resp.Yields {
		if w, ok := o.pool.workers[y.Upstream]; ok {
			w.tenure.OnYield(member, y)
		}
	}
	o.pool.grantAll(o.now())
}

func target(m roster.Member) peer.Target { return peer.NewTarget(m.Name, m.Peer) }

// checkSender refuses messages whose sender is not who its certificate says, or
// is known to be gone.
func (o *Ownership) checkSender(name string, from roster.Member) error {
	if from.Name != name {
		return fault.New(fault.Denied, "a message of "+from.Name+" came from "+name,
			"give each instance a certificate of its own")
	}
	o.roster.Merge([]roster.Member{from})
	if m, ok := o.roster.View().Member(from.ID()); ok && m.State == roster.Gone {
		return fault.New(fault.Denied, "instance "+from.ID()+" counts as gone", "restart it")
	}
	return nil
}

func (o *Ownership) onTake(_ context.Context, name string, req takeMessage) (yieldMessage, error) {
	if err := o.checkSender(name, req.From); err != nil {
		return yieldMessage{}, err
	}
	self := o.roster.Self()
	var resp yieldMessage
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	for _, m := range req.Takes {
		w, ok := o.pool.workers[m.Upstream]
		if !ok {
			// This instance does not know the upstream yet and holds nothing.
			resp.Yields = append(resp.Yields, lease.Yield{Upstream: m.Upstream, Round: m.Round})
			continue
		}
		outranks := self.State != roster.Live || w.removed || outranks(m.Upstream, req.From, self)
		resp.Yields = append(resp.Yields, w.tenure.OnTake(req.From.ID(), m, outranks, w.inFlight))
	}
	o.pool.grantAll(o.now()) // refuses what waits for slots that are gone
	return resp, nil
}

func outranks(key string, a, b roster.Member) bool {
	return steering.Rank(key, a.ID()) > steering.Rank(key, b.ID())
}

// Beat renews the leases of this instance with their successors.
func (o *Ownership) Beat(ctx context.Context) {
	byMember := o.pendingBeats()
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for member, beats := range byMember {
		group.Go(func() error {
			o.askBeat(ctx, member, beats)
			return nil
		})
	}
	_ = group.Wait()
}

func (o *Ownership) pendingBeats() map[string][]lease.Beat {
	self := o.roster.Self()
	view := o.roster.View()
	others := slices.DeleteFunc(view.Serving(self.Region), func(m roster.Member) bool { return m.ID() == self.ID() })
	// One successor for all that this instance owns: each successor costs a call.
	want := ""
	if successor, _ := roster.First(self.ID(), others); successor.Name != "" {
		want = successor.ID()
	}
	now := o.now()
	byMember := make(map[string][]lease.Beat)
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	for _, w := range o.pool.workers {
		if to, beat, ok := w.tenure.Beat(now, want); ok {
			byMember[to] = append(byMember[to], beat)
		}
	}
	return byMember
}

func (o *Ownership) askBeat(ctx context.Context, member string, beats []lease.Beat) {
	m, ok := o.roster.View().Member(member)
	if !ok {
		return
	}
	sent := o.now()
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	var resp ackMessage
	req := beatMessage{From: o.roster.Self(), Beats: beats}
	if err := o.asker.Ask(ctx, target(m), CallBeat, req, &resp); err != nil {
		return
	}
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	for i, a := range resp.Acks {
		if w, ok := o.pool.workers[a.Upstream]; ok && i < len(beats) && beats[i].Upstream == a.Upstream {
			w.tenure.OnAck(member, sent, beats[i], a)
		}
	}
	o.pool.grantAll(o.now())
}

func (o *Ownership) onBeat(_ context.Context, name string, req beatMessage) (ackMessage, error) {
	if err := o.checkSender(name, req.From); err != nil {
		return ackMessage{}, err
	}
	now := o.now()
	var resp ackMessage
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	for _, b := range req.Beats {
		w, ok := o.pool.workers[b.Upstream]
		if !ok {
			resp.Acks = append(resp.Acks, lease.Ack{Upstream: b.Upstream, Refused: true})
			continue
		}
		resp.Acks = append(resp.Acks, w.tenure.OnBeat(now, req.From.ID(), b, w.inFlight))
	}
	return resp, nil
}
