package upstream

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"hickorydrum/declaration"
	"hickorydrum/dispatch"
	"hickorydrum/fault"
	"hickorydrum/fleet"
	"hickorydrum/load"
	"hickorydrum/placement"
	"hickorydrum/route"
	"hickorydrum/steering"
	"hickorydrum/withdrawal"
)

const (
	// coldPeriod is how long an upstream counts as cold after it appears or becomes reachable
	// again. During it, this instance sends it at most coldRatePerSlot requests a second per slot.
	coldPeriod      = time.Second
	coldRatePerSlot = 2.0
	// noLimit is the time left of a request whose deadline doesn't restrict the choice.
	noLimit = time.Hour
)

// Pool sends requests to the declared upstreams and queues them while all slots are in use. Its
// methods may be called concurrently.
type Pool struct {
	bind      net.IP
	instances func() int // how many instances may be running
	tracker   *load.Tracker
	// withdrawals says to which upstreams nothing is sent, although they are declared.
	withdrawals *withdrawal.Registry

	mu          sync.Mutex
	set         *declaration.Set
	view        *fleet.View
	initialized bool                 // the tracker has a view of the upstreams
	leaving     map[string]bool      // by address, as listed by the platform
	draining    map[string]bool      // by address, upstreams that leave and whose start is not known
	runs        map[string]run       // by address
	lastUsed    map[string]time.Time // when an address last got a request
	inFlight    map[string]int       // requests that hold a slot, by address
	queues      map[string]*queue    // by service and region, see queueFor
	slotFreed   chan struct{}        // closed and replaced when waiters must check for a slot again
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithBind sets the local address of connections to upstreams.
func WithBind(ip net.IP) PoolOption { return func(p *Pool) { p.bind = ip } }

// WithInstances sets the function that returns how many instances may be running. They share
// the limits that upstreams name in equal parts. The default is one.
func WithInstances(count func() int) PoolOption { return func(p *Pool) { p.instances = count } }

// NewPool returns the pool of an instance in the given failure domain and region.
func NewPool(domain, region string, opts ...PoolOption) *Pool {
	p := &Pool{
		view: fleet.NewView(nil, nil, nil), leaving: make(map[string]bool), draining: make(map[string]bool), runs: make(map[string]run), withdrawals: withdrawal.New(),
		lastUsed: make(map[string]time.Time), inFlight: make(map[string]int), queues: make(map[string]*queue),
		slotFreed: make(chan struct{}), instances: func() int { return 1 },
	}
	for _, opt := range opts {
		opt(p)
	}
	p.tracker = load.NewTracker(domain, region, nil, p.newDialer)
	return p
}

func (p *Pool) newDialer(u *fleet.Upstream) *dispatch.Dialer {
	return dispatch.NewDialer(u.Address, dispatch.WithBind(p.bind),
		dispatch.WithDialTimes(func(took time.Duration) { p.tracker.ObserveDial(u.Domain, took) }))
}

// SetTable applies the declarations of a table. Requests in flight continue.
func (p *Pool) SetTable(t *steering.Table, now time.Time) { p.Refresh(t.Set(), now) }

// Refresh applies the declarations, with the drains that are in effect at now.
func (p *Pool) Refresh(set *declaration.Set, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set = set
	p.updateView(now)
}

// SetLeaving sets the addresses of the upstreams that the platform's newest list has as leaving. They
// get no new requests. An upstream whose start is known gets none either after a later list has it no
// more.
func (p *Pool) SetLeaving(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		p.leaving[address] = p.runAt(address).startMillis == 0
		if u, ok := p.view.Upstream(address); ok && !p.leaving[address] {
			p.leave(u)
		}
	}
	p.updateView(time.Now())
}

// setDraining records whether the health page of an upstream reports that it is draining. A
// draining upstream gets no new requests.
func (p *Pool) setDraining(address string, draining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining[address] == draining {
		return
	}
	p.draining[address] = draining
	p.updateView(time.Now())
}

// updateView builds the view of the upstreams from the declarations, the drains and the leaving
// upstreams, and applies it to the load tracker. The lock is held.
func (p *Pool) updateView(now time.Time) {
	if p.set == nil {
		return
	}
	regions := make(map[string]string)
	var upstreams []fleet.Upstream
	for _, s := range p.set.Services() {
		for _, w := range s.Workers() {
			regions[w.Domain()] = w.Region()
			upstreams = append(upstreams, fleet.Upstream{
				ID: w.Address(), Service: s.Name(), Address: w.Address(), Domain: w.Domain(), Slots: w.Slots(),
				StartMillis: p.runAt(w.Address()).number,
				Draining:    p.leaving[w.Address()] || p.draining[w.Address()] || p.set.WorkerDrained(w, now),
			})
		}
	}
	p.view = fleet.NewView(upstreams, nil, regions, fleet.WithLeft(p.withdrawals.Left))
	p.tracker.ApplyView(p.view, !p.initialized, func(string) time.Duration { return coldPeriod }, now)
	p.initialized = true
	p.notifyWaiters()
}

// notifyWaiters wakes the queued requests, which then check again whether they can proceed. The
// lock is held.
func (p *Pool) notifyWaiters() {
	close(p.slotFreed)
	p.slotFreed = make(chan struct{})
}

// tryAcquire returns a slot at the upstream with the shortest expected time, among those that
// have a free slot as the load tracker estimates it, and room in the limit that they name. It
// returns nil if there is none, with a fault if only limits were in the way. The lock is held.
func (p *Pool) tryAcquire(req *Request, now time.Time) (*Slot, *fault.Error) {
	u, heldBack := p.choose(req, now)
	if u != nil {
		return p.begin(u, now), nil
	}
	if heldBack != "" {
		return nil, p.limited(req, heldBack, now)
	}
	return nil, nil
}

// choose returns the best upstream for a request whose limit has room, or nil. It also returns
// the ID of the best one whose limit has none, or "". The lock is held.
func (p *Pool) choose(req *Request, now time.Time) (u *fleet.Upstream, heldBack string) {
	candidates, upstreams := p.candidates(req, now)
	_, serviceTime := p.tracker.ServiceTimes(req.Service, route.Class{})
	for len(candidates) > 0 {
		choice := placement.Choose(placement.Request{
			TimeLeft: noLimit, Objective: serviceTime, WarmTime: serviceTime, ColdTime: serviceTime, Region: -1,
		}, candidates, placement.Costs{})
		if choice.Index < 0 {
			break
		}
		u := upstreams[choice.Index]
		if p.tracker.Offer(u, p.instances, now) {
			return u, heldBack
		}
		heldBack = cmp.Or(heldBack, u.ID)
		candidates = slices.Delete(candidates, choice.Index, choice.Index+1)
		upstreams = slices.Delete(upstreams, choice.Index, choice.Index+1)
	}
	return nil, heldBack
}

// begin returns a slot at an upstream, or nil if the load tracker refuses it. The lock is held.
func (p *Pool) begin(u *fleet.Upstream, now time.Time) *Slot {
	dialer, ok := p.tracker.Begin(u, coldShare(u), now)
	if !ok {
		return nil
	}
	p.inFlight[u.ID]++
	p.lastUsed[u.ID] = now
	return &Slot{pool: p, upstream: u, dialer: dialer}
}

// candidates returns the upstreams that may serve a request and have a free slot. The lock is
// held.
func (p *Pool) candidates(req *Request, now time.Time) ([]placement.Candidate, []*fleet.Upstream) {
	request := &load.Request{
		Service: req.Service, Object: rand.Uint64(), Tried: req.Tried, Cold: coldShare,
		Allows: func(u *fleet.Upstream) bool { return u.Region() == req.Region && p.withdrawals.Allows(u) },
	}
	candidates, upstreams := p.tracker.Candidates(request, p.view.Service(req.Service), now)
	for i := len(candidates) - 1; i >= 0; i-- {
		if candidates[i].Outstanding+1 > float64(candidates[i].Slots) {
			candidates, upstreams = slices.Delete(candidates, i, i+1), slices.Delete(upstreams, i, i+1)
		}
	}
	return candidates, upstreams
}

// limited returns the fault of a request that the limits of upstreams held back, with the
// instant at which the given one is expected to have room for it. The lock is held.
func (p *Pool) limited(req *Request, upstream string, now time.Time) *fault.Error {
	at := p.tracker.RetryAt(upstream, req.Deadline, p.instances, now)
	return notExecuted(fault.Overloaded, "the upstreams name limits that have no room", "retry after the given time",
		fault.WithRetryAt(at))
}

// coldShare returns the rate at which this instance may send requests to a cold upstream.
func coldShare(u *fleet.Upstream) load.ColdShare {
	return load.ColdShare{PerSecond: coldRatePerSlot * float64(u.Slots), Burst: 1}
}

// Usage is the number of requests that one instance has in flight at one upstream.
type Usage struct {
	Address  string `json:"address" cbor:"1,keyasint"`
	Service  string `json:"service" cbor:"2,keyasint"`
	Region   string `json:"region" cbor:"3,keyasint"`
	InFlight int    `json:"inflight" cbor:"4,keyasint"`
	Slots    int    `json:"slots" cbor:"5,keyasint"`
	Stopping bool   `json:"stopping" cbor:"6,keyasint"`
}

// Usage returns the usage of every declared upstream, sorted by address.
func (p *Pool) Usage() []Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	var usage []Usage
	for _, u := range p.view.All() {
		usage = append(usage, Usage{
			Address: u.Address, Service: u.Service, Region: u.Region(), InFlight: p.inFlight[u.ID], Slots: u.Slots,
			Stopping: u.Draining,
		})
	}
	slices.SortFunc(usage, func(a, b Usage) int { return strings.Compare(a.Address, b.Address) })
	return usage
}

// InFlight returns the number of requests that hold a slot.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, count := range p.inFlight {
		n += count
	}
	return n
}

// Utilization returns the fraction of the slots of a service in a region that are in use, as
// the load tracker of this instance estimates it. It is 0 if there are no slots.
func (p *Pool) Utilization(service, region string, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	request := &load.Request{
		Service: service, Cold: func(*fleet.Upstream) load.ColdShare { return load.ColdShare{PerSecond: 1, Burst: 1} },
		Allows: func(u *fleet.Upstream) bool { return u.Region() == region },
	}
	candidates, _ := p.tracker.Candidates(request, p.view.Service(service), now)
	slots, busy := 0, 0.0
	for _, c := range candidates {
		slots += c.Slots
		busy += min(c.Outstanding, float64(c.Slots))
	}
	if slots == 0 {
		return 0
	}
	return busy / float64(slots)
}

// Close removes all upstreams from the load tracker, which closes their idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.ApplyView(fleet.NewView(nil, nil, nil), false, func(string) time.Duration { return 0 }, time.Now())
}
