package upstream

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"hickorydrum/declaration"
	"hickorydrum/dispatch"
	"hickorydrum/fleet"
	"hickorydrum/load"
	"hickorydrum/placement"
	"hickorydrum/route"
	"hickorydrum/steering"
)

const (
	// coldFor is how long an upstream that is new, or back, is taken as cold; it then
	// gets coldPerSlot requests a second for each of its slots from this instance.
	coldFor     = time.Second
	coldPerSlot = 2.0
	// longest stands for a time that no request has left.
	longest = time.Hour
)

// Pool has requests served by the declared upstreams. Its methods may be called at
// the same time.
type Pool struct {
	bind  net.IP
	board *load.Tracker

	mu       sync.Mutex
	set      *declaration.Set
	view     *fleet.View
	known    bool
	leaving  map[string]bool // addresses that the platform's list calls leaving
	draining map[string]bool // addresses whose health page says so
	usedAt   map[string]time.Time
	inFlight map[string]int
	waiting  map[string]*queue // by service and region
	freed    chan struct{}     // closed when a slot became free
}

// PoolOption changes a Pool while it is made.
type PoolOption func(*Pool)

// WithBind sets the local address of connections to upstreams.
func WithBind(ip net.IP) PoolOption { return func(p *Pool) { p.bind = ip } }

// NewPool returns the pool of an instance in a failure domain and region.
func NewPool(domain, region string, opts ...PoolOption) *Pool {
	p := &Pool{
		view: fleet.NewView(nil, nil, nil), leaving: make(map[string]bool), draining: make(map[string]bool),
		usedAt: make(map[string]time.Time), inFlight: make(map[string]int), waiting: make(map[string]*queue),
		freed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(p)
	}
	p.board = load.NewTracker(domain, region, nil, p.newDialer)
	return p
}

func (p *Pool) newDialer(u *fleet.Upstream) *dispatch.Dialer {
	return dispatch.NewDialer(u.Address, dispatch.WithBind(p.bind),
		dispatch.WithDialTimes(func(took time.Duration) { p.board.ObserveDial(u.Domain, took) }))
}

// SetTable takes in a new set of declarations. Requests in flight go on.
func (p *Pool) SetTable(t *steering.Table, now time.Time) { p.Refresh(t.Set(), now) }

// Refresh applies the declarations, with the drains that are in force now.
func (p *Pool) Refresh(set *declaration.Set, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set = set
	p.look(now)
}

// SetLeaving takes in the addresses that the platform's list calls leaving.
func (p *Pool) SetLeaving(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		p.leaving[address] = true
	}
	p.look(time.Now())
}

func (p *Pool) setDraining(address string, draining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining[address] == draining {
		return
	}
	p.draining[address] = draining
	p.look(time.Now())
}

// look builds the view that requests see. The lock is held.
func (p *Pool) look(now time.Time) {
	if p.set == nil {
		return
	}
	regions := make(map[string]string)
	var upstreams []fleet.Upstream
	for _, s := range p.set.Services() {
		for _, w := range s.Workers() {
			regions[w.Domain()] = w.Region()
			upstreams = append(upstreams, fleet.Upstream{
				ID: w.Address(), Service: s.Name(), Address: w.Address(), Domain: w.Domain(), Slots: w.Slots(), Born: 1,
				Leaving: p.leaving[w.Address()] || p.draining[w.Address()] || p.set.WorkerDrained(w, now),
			})
		}
	}
	p.view = fleet.NewView(upstreams, nil, regions)
	p.board.ApplyView(p.view, !p.known, func(string) time.Duration { return coldFor }, now)
	p.known = true
	p.wake()
}

// wake lets the waiting requests look again. The lock is held.
func (p *Pool) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// pick takes the upstream with the least expected time among those that are not
// known to be full. The lock is held.
func (p *Pool) pick(ask *Ask, now time.Time) *Slot {
	request := &load.Request{
		Service: ask.Service, Object: rand.Uint64(), Tried: ask.Tried, Cold: coldShare,
		Allows: func(u *fleet.Upstream) bool { return u.Region() == ask.Region },
	}
	options, upstreams := p.board.Candidates(request, p.view.Service(ask.Service), now)
	for i := len(options) - 1; i >= 0; i-- {
		if options[i].Busy+1 > float64(options[i].Slots) {
			options, upstreams = slices.Delete(options, i, i+1), slices.Delete(upstreams, i, i+1)
		}
	}
	_, work := p.board.ServiceTimes(ask.Service, route.Class{})
	choice := placement.Choose(placement.Demand{
		Left: longest, Objective: work, WarmTime: work, ColdTime: work, Region: -1,
	}, options, placement.Costs{})
	if choice.Index < 0 {
		return nil
	}
	u := upstreams[choice.Index]
	dialer, ok := p.board.Begin(u, coldShare(u), now)
	if !ok {
		return nil
	}
	p.inFlight[u.ID]++
	p.usedAt[u.ID] = now
	return &Slot{pool: p, upstream: u, dialer: dialer}
}

func coldShare(u *fleet.Upstream) load.ColdShare {
	return load.ColdShare{PerSecond: coldPerSlot * float64(u.Slots), Burst: 1}
}

// Use is what one instance has in flight at one upstream.
type Use struct {
	Address  string `json:"address" cbor:"1,keyasint"`
	Service  string `json:"service" cbor:"2,keyasint"`
	Region   string `json:"region" cbor:"3,keyasint"`
	InFlight int    `json:"inflight" cbor:"4,keyasint"`
	Slots    int    `json:"slots" cbor:"5,keyasint"`
	Stopping bool   `json:"stopping" cbor:"6,keyasint"`
}

// Uses returns the state of every declared upstream.
func (p *Pool) Uses() []Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	var uses []Use
	for _, u := range p.view.All() {
		uses = append(uses, Use{
			Address: u.Address, Service: u.Service, Region: u.Region(), InFlight: p.inFlight[u.ID], Slots: u.Slots,
			Stopping: u.Leaving,
		})
	}
	slices.SortFunc(uses, func(a, b Use) int { return strings.Compare(a.Address, b.Address) })
	return uses
}

// InFlight returns the number of requests in flight.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, count := range p.inFlight {
		n += count
	}
	return n
}

// Busy returns the part of the slots of a service in a region that is in use, as
// far as this instance knows.
func (p *Pool) Busy(service, region string, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	request := &load.Request{
		Service: service, Cold: func(*fleet.Upstream) load.ColdShare { return load.ColdShare{PerSecond: 1, Burst: 1} },
		Allows: func(u *fleet.Upstream) bool { return u.Region() == region },
	}
	options, _ := p.board.Candidates(request, p.view.Service(service), now)
	slots, busy := 0, 0.0
	for _, o := range options {
		slots += o.Slots
		busy += min(o.Busy, float64(o.Slots))
	}
	if slots == 0 {
		return 0
	}
	return busy / float64(slots)
}

// Close drops the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.ApplyView(fleet.NewView(nil, nil, nil), false, func(string) time.Duration { return 0 }, time.Now())
}
