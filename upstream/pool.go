package upstream

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/declaration"
	"hickorydrum/dispatch"
	"hickorydrum/fault"
	"hickorydrum/lease"
	"hickorydrum/steering"
)

const (
	maxQueueWait = time.Second
	minQueue     = 2
	// callerShare is the part of a queue that one caller may fill.
	callerShare = 0.25
	// cancelSettle is how long a slot stays taken after its request was
	// cancelled: the upstream needs a moment to notice.
	cancelSettle = 25 * time.Millisecond
	retryJitter  = time.Second
	// ejectFloor is the part of a service's upstreams that stays in use when
	// failures would eject more: a common fault must not empty a region.
	ejectFloor = 0.5
)

var (
	admitted = metrics.GetOrCreateCounter(`hickorydrum_admitted_total`)
	refused  = metrics.GetOrCreateCounter(`hickorydrum_refused_total`)
	queued   = metrics.GetOrCreateCounter(`hickorydrum_queued_total`)
)

// Pool admits requests to the upstreams of this instance's region.
type Pool struct {
	region string
	bind   net.IP

	mu       sync.Mutex
	services map[string]*group
	workers  map[string]*worker
	leaving  map[string]bool // addresses that the platform's list calls leaving
}

// group is the upstreams of one service and the requests that wait for them.
type group struct {
	decl    *declaration.Service
	workers []*worker
	queue   []*waiter
}

type waiter struct {
	caller  string
	granted chan *Slot // buffered, so that a grant never blocks
}

// PoolOption changes a Pool while it is made.
type PoolOption func(*Pool)

// WithBind sets the local address of connections to upstreams.
func WithBind(ip net.IP) PoolOption { return func(p *Pool) { p.bind = ip } }

// NewPool returns a pool for the upstreams of one region.
func NewPool(region string, opts ...PoolOption) *Pool {
	p := &Pool{
		region:   region,
		services: make(map[string]*group),
		workers:  make(map[string]*worker),
		leaving:  make(map[string]bool),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetTable takes in a new set of declarations. Requests in flight go on.
func (p *Pool) SetTable(t *steering.Table, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		w.removed = true
	}
	services := make(map[string]*group)
	for _, s := range t.Set().Services() {
		g := &group{decl: s}
		if old, ok := p.services[s.Name()]; ok {
			g.queue = old.queue
		}
		for _, decl := range s.Workers() {
			if decl.Region() == p.region {
				g.workers = append(g.workers, p.worker(s, decl))
			}
		}
		services[s.Name()] = g
	}
	for name, g := range p.services {
		if services[name] == nil {
			g.refuseAll()
		}
	}
	p.services = services
	p.markDrained(t.Set(), now)
	p.dropRemoved()
	p.grantAll(now)
}

func (p *Pool) worker(s *declaration.Service, decl *declaration.Worker) *worker {
	w, ok := p.workers[decl.Address()]
	if !ok {
		w = &worker{
			tenure:      lease.New(decl.Address(), decl.Slots(), s.Limit()),
			dialer:      dispatch.NewDialer(decl.Address(), dispatch.WithBind(p.bind)),
			ramp:        coldSlots,
			serviceTime: firstServiceTime,
			leaving:     p.leaving[decl.Address()],
		}
		p.workers[decl.Address()] = w
	}
	w.removed = false
	w.decl = decl
	w.service = s.Name()
	w.tenure.Resize(decl.Slots(), s.Limit())
	return w
}

func (p *Pool) dropRemoved() {
	for address, w := range p.workers {
		if w.removed && w.inFlight == 0 {
			w.dialer.Close()
			delete(p.workers, address)
		}
	}
}

// Refresh applies the declared drains that are in force now.
func (p *Pool) Refresh(set *declaration.Set, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markDrained(set, now)
	p.dropRemoved()
	p.grantAll(now)
}

func (p *Pool) markDrained(set *declaration.Set, now time.Time) {
	for _, w := range p.workers {
		w.drained = set.WorkerDrained(w.decl, now)
	}
}

// SetLeaving takes in the addresses that the platform's list calls leaving.
func (p *Pool) SetLeaving(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		p.leaving[address] = true
	}
	for address, w := range p.workers {
		w.leaving = p.leaving[address]
	}
}

// Slot is the right to have one request in flight at an upstream.
type Slot struct {
	pool    *Pool
	worker  *worker
	address string
	slots   int // of the upstream
}

// Address returns the address of the slot's upstream.
func (s *Slot) Address() string { return s.address }

// Acquire admits a request of a caller, at once or after a bounded wait. The
// fault states that the request was not run.
func (p *Pool) Acquire(ctx context.Context, service, caller string, deadline time.Time) (*Slot, error) {
	now := time.Now()
	p.mu.Lock()
	g, ok := p.services[service]
	if !ok {
		p.mu.Unlock()
		return nil, notRun(fault.Missing, "service "+service+" is not known here", "retry")
	}
	if len(g.queue) == 0 {
		if s := p.pick(g, now); s != nil {
			p.mu.Unlock()
			admitted.Inc()
			return s, nil
		}
	}
	if err := g.mayQueue(caller, now, deadline); err != nil {
		p.mu.Unlock()
		refused.Inc()
		return nil, err
	}
	w := &waiter{caller: caller, granted: make(chan *Slot, 1)}
	g.queue = append(g.queue, w)
	p.mu.Unlock()
	queued.Inc()
	return p.wait(ctx, service, w, deadline)
}

// TryAcquire admits a request only if a slot is free now, on an upstream other
// than the named one if possible.
func (p *Pool) TryAcquire(service string) *Slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.services[service]
	if !ok || len(g.queue) > 0 {
		return nil
	}
	return p.pick(g, time.Now())
}

func (p *Pool) wait(ctx context.Context, service string, w *waiter, deadline time.Time) (*Slot, error) {
	until := time.Now().Add(maxQueueWait)
	if deadline.Before(until) {
		until = deadline
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case s, ok := <-w.granted:
		if ok {
			admitted.Inc()
			return s, nil
		}
		return nil, notRun(fault.Unavailable, "this instance serves the service no longer", "try another instance")
	case <-timer.C:
	case <-ctx.Done():
	}
	if s := p.withdraw(service, w); s != nil {
		if ctx.Err() == nil {
			admitted.Inc()
			return s, nil
		}
		s.Release(time.Now())
	}
	refused.Inc()
	return nil, overloaded(time.Now(), 0)
}

// withdraw takes a waiter out of the queue. It returns the slot that was granted
// in the same moment, if any.
func (p *Pool) withdraw(service string, w *waiter) *Slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.services[service]; ok {
		g.queue = slices.DeleteFunc(g.queue, func(other *waiter) bool { return other == w })
	}
	select {
	case s := <-w.granted:
		return s
	default:
		return nil
	}
}

func overloaded(now time.Time, wait time.Duration) *fault.Error {
	at := now.Add(wait + retryJitter/2 + rand.N(retryJitter))
	return notRun(fault.Overloaded, "no slot is free", "retry after the given time", fault.WithRetryAt(at))
}

// mayQueue refuses a request that would wait too long, so that the refusal
// comes at once. The lock is held.
func (g *group) mayQueue(caller string, now, deadline time.Time) error {
	if !g.owns(now) {
		return notRun(fault.Unavailable, "this instance owns no upstream of the service", "try another instance")
	}
	open, taking := 0, 0
	var longest time.Duration
	for _, w := range g.workers {
		open += w.open(now)
		if w.tenure.Taking() && !w.stopping() {
			taking += w.tenure.Slots()
		}
		longest = max(longest, w.serviceTime)
	}
	wait := time.Duration(float64(longest) * float64(len(g.queue)+1) / float64(max(open, 1)))
	room := max(open, minQueue)
	if open == 0 {
		room = max(taking, minQueue)
		wait = 0
	}
	if len(g.queue) >= room || wait > maxQueueWait || now.Add(wait).After(deadline) {
		return overloaded(now, wait)
	}
	own := 0
	for _, w := range g.queue {
		if w.caller == caller {
			own++
		}
	}
	if own > 0 && float64(own+1) > callerShare*float64(room) {
		return overloaded(now, wait)
	}
	return nil
}

// pick takes the cheapest open slot of the service, or nil. The lock is held.
func (p *Pool) pick(g *group, now time.Time) *Slot {
	best := g.cheapest(now, false)
	if best == nil && g.mostEjected(now) {
		best = g.cheapest(now, true)
	}
	if best == nil {
		return nil
	}
	best.inFlight++
	return &Slot{pool: p, worker: best, address: best.decl.Address(), slots: best.decl.Slots()}
}

func (g *group) cheapest(now time.Time, ejectedToo bool) *worker {
	var best *worker
	for _, w := range g.workers {
		if w.inFlight >= w.open(now) || w.ejected(now) && !ejectedToo {
			continue
		}
		if best == nil || w.cost() < best.cost() {
			best = w
		}
	}
	return best
}

// mostEjected reports whether ejection took more upstreams than the floor allows.
func (g *group) mostEjected(now time.Time) bool {
	usable, ejected := 0, 0
	for _, w := range g.workers {
		if w.stopping() || !w.tenure.Taking() {
			continue
		}
		usable++
		if w.ejected(now) {
			ejected++
		}
	}
	return float64(ejected) > (1-ejectFloor)*float64(usable)
}

// Holds reports whether the slot is still rightfully held. It is asked right
// before the request's first byte, since the process may have been paused.
func (s *Slot) Holds(now time.Time) bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.worker.inFlight <= s.worker.tenure.Allowed(now) && !s.worker.stopping()
}

// Release gives the slot back and serves the queue.
func (s *Slot) Release(now time.Time) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.worker.inFlight--
	s.pool.grant(s.pool.services[s.worker.service], now)
}

func (p *Pool) grantAll(now time.Time) {
	for _, g := range p.services {
		p.grant(g, now)
	}
}

// grant serves waiters while slots are open. The lock is held.
func (p *Pool) grant(g *group, now time.Time) {
	if g == nil {
		return
	}
	if !g.owns(now) {
		g.refuseAll()
	}
	for len(g.queue) > 0 {
		s := p.pick(g, now)
		if s == nil {
			return
		}
		w := g.queue[0]
		g.queue = g.queue[1:]
		w.granted <- s
	}
}

// owns reports whether this instance may use, or is taking, any upstream.
func (g *group) owns(now time.Time) bool {
	return slices.ContainsFunc(g.workers, func(w *worker) bool {
		return w.open(now) > 0 || w.tenure.Taking() && !w.stopping()
	})
}

func (g *group) refuseAll() {
	for _, w := range g.queue {
		close(w.granted)
	}
	g.queue = nil
}

// Room returns what the pool may still take for a service.
func (p *Pool) Room(service string) Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.services[service]
	if !ok {
		return Room{}
	}
	now := time.Now()
	var room Room
	for _, w := range g.workers {
		open := w.open(now)
		if w.ejected(now) {
			continue
		}
		room.Slots += open
		room.Free += max(0, open-w.inFlight)
	}
	room.Free -= len(g.queue)
	return room
}

// Use is a count of requests in flight and slots of one upstream.
type Use struct {
	Address  string `json:"address" cbor:"1,keyasint"`
	Service  string `json:"service" cbor:"2,keyasint"`
	InFlight int    `json:"inflight" cbor:"3,keyasint"`
	Allowed  int    `json:"allowed" cbor:"4,keyasint"`
	Slots    int    `json:"slots" cbor:"5,keyasint"`
	Owned    bool   `json:"owned" cbor:"6,keyasint"`
	Stopping bool   `json:"stopping" cbor:"7,keyasint"`
}

// Uses returns the state of every upstream of the region.
func (p *Pool) Uses(now time.Time) []Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	uses := make([]Use, 0, len(p.workers))
	for address, w := range p.workers {
		uses = append(uses, Use{
			Address: address, Service: w.service, InFlight: w.inFlight, Allowed: w.tenure.Allowed(now),
			Slots: w.tenure.Slots(), Owned: w.tenure.Taking(), Stopping: w.stopping(),
		})
	}
	slices.SortFunc(uses, func(a, b Use) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return uses
}

// InFlight returns the number of requests in flight.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, w := range p.workers {
		n += w.inFlight
	}
	return n
}

// Close drops the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		w.dialer.Close()
	}
}
