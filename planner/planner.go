// Package planner decides for one instance where each request goes: it knows the
// upstreams, the load, the shares of the regions and what may be repeated. It does no
// input or output, and every time is passed in.
package planner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/budget"
	"hickorydrum/dispatch"
	"hickorydrum/fleet"
	"hickorydrum/load"
	"hickorydrum/placement"
	"hickorydrum/route"
)

// Instances tells how many instances there are.
type Instances interface {
	// Count returns how many instances of a region, and of all, may be at work.
	Count(region string) (inRegion, all int)
	// Part returns the part of a right that this instance has for a key, which belongs to
	// a failure domain: over all instances the parts add up to one at most.
	Part(domain string, key uint64) float64
}

// Place is where an instance stands.
type Place struct {
	Domain string // failure domain
	Region string
	// Regions are all regions, in the same order at every instance.
	Regions []string
}

// RetryBounds are the operators' bounds on what is sent more than once.
type RetryBounds struct {
	// Ratio and Slack bound the repeats within Window: so many for each request, and
	// so many more over all instances.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// What a KiB costs that crosses failure domains, or regions, as a time that a request
// may take longer to avoid it.
const (
	domainPerKiB = 1200 * time.Microsecond
	regionPerKiB = 2600 * time.Microsecond
)

// answerGuess is the expected size of an answer in bytes, and headGuess that of the
// heads of a request and its answer.
const (
	answerGuess = 1 << 10
	headGuess   = 512
)

// MaxTries bounds the upstreams that are tried for one request, with those that cannot be
// reached.
const MaxTries = 6

// Choose picks one of the options for a request.
type Choose func(placement.Demand, []placement.Option, placement.Costs) placement.Choice

// Planner decides for one instance. Its methods may be called at the same time.
type Planner struct {
	place     Place
	board     *load.Tracker
	instances Instances
	costs     placement.Costs
	choose    Choose

	bounds   atomic.Pointer[RetryBounds]
	table    atomic.Pointer[route.Table]
	view     atomic.Pointer[fleet.View]
	splitter *route.Splitter
	shares   *shares

	mu      sync.Mutex
	budgets map[string]*budget.Retry // by service
}

// Option changes a Planner while it is made.
type Option func(*Planner)

// WithChoose sets how one of the upstreams is chosen.
func WithChoose(choose Choose) Option { return func(p *Planner) { p.choose = choose } }

// New returns the planner of an instance that knows no configuration yet.
func New(place Place, board *load.Tracker, instances Instances, bounds RetryBounds, opts ...Option) *Planner {
	p := &Planner{
		place: place, board: board, instances: instances, choose: placement.Choose,
		costs:    placement.Costs{DomainPerKiB: domainPerKiB, RegionPerKiB: regionPerKiB},
		splitter: route.NewSplitter(), shares: newShares(place), budgets: make(map[string]*budget.Retry),
	}
	p.bounds.Store(&bounds)
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetTable puts a configuration in force.
func (p *Planner) SetTable(t *route.Table) { p.table.Store(t) }

// Table returns the configuration in force, or nil.
func (p *Planner) Table() *route.Table { return p.table.Load() }

// SetView puts a view of the upstreams in force.
func (p *Planner) SetView(v *fleet.View) { p.view.Store(v) }

// View returns the view of the upstreams in force, or nil.
func (p *Planner) View() *fleet.View { return p.view.Load() }

// SetBounds puts the operators' bounds in force.
func (p *Planner) SetBounds(b RetryBounds) { p.bounds.Store(&b) }

// Bounds returns the operators' bounds in force.
func (p *Planner) Bounds() RetryBounds { return *p.bounds.Load() }

// Ask is one request as the planner sees it.
type Ask struct {
	Table    *route.Table
	Route    *route.Route
	Service  string
	Object   uint64 // hash of the object
	Sticky   bool   // the object matters
	Bytes    int64  // size of the body
	Deadline time.Time
	// Tried holds the ids of upstreams that must not be chosen again.
	Tried map[string]bool
}

// Arrived counts a new request and settles which service serves it.
func (p *Planner) Arrived(ask *Ask, now time.Time) {
	ask.Service = p.splitter.Choose(ask.Route, ask.Object, now)
	p.mu.Lock()
	p.budget(ask.Service).Request(now)
	p.mu.Unlock()
	p.shares.arrived(ask.Service, ask.Route.Class(), ask.Bytes)
}

// Choose picks the upstream for the next send of a request, by the newest view. The
// choice has index -1 when there is none.
func (p *Planner) Choose(ask *Ask, now time.Time) (placement.Choice, *fleet.Upstream) {
	request := load.Request{
		Service: ask.Service, Object: ask.Object, Sticky: ask.Sticky, Tried: ask.Tried,
		Cold:   func(u *fleet.Upstream) load.ColdShare { return p.coldShare(ask.Table, u) },
		Allows: func(u *fleet.Upstream) bool { return ask.Route.Allows(u.Region()) },
	}
	options, upstreams := p.board.Candidates(&request, p.View().Service(ask.Service), now)
	warm, cold := p.board.ServiceTimes(ask.Service, ask.Route.Class())
	region := p.shares.region(ask.Service, ask.Object, ask.Route)
	choice := p.choose(placement.Demand{
		Bytes: ask.Bytes + answerGuess + headGuess, Left: ask.Deadline.Sub(now),
		Objective: ask.Route.Objective, WarmTime: warm, ColdTime: cold,
		Assumed: !p.board.Measured(ask.Service, ask.Route.Class()), Sticky: ask.Sticky,
		Chances: p.board.WarmProbabilities(ask.Service),
		Region:  region, Near: region == p.shares.own && p.shares.near(ask.Service, ask.Object),
	}, options, p.costs)
	if choice.Index < 0 {
		return choice, nil
	}
	return choice, upstreams[choice.Index]
}

// Serves reports whether an upstream that was chosen may still get requests.
func (p *Planner) Serves(u *fleet.Upstream) bool { return p.View().Serves(u) }

// Begin counts a request on its way to an upstream and returns its dialer. It fails
// when the upstream is gone or leaving, or cold and may get no more now.
func (p *Planner) Begin(ask *Ask, u *fleet.Upstream, now time.Time) (*dispatch.Dialer, bool) {
	if !p.Serves(u) {
		return nil, false
	}
	return p.board.Begin(u, p.coldShare(ask.Table, u), now)
}

// End takes in the end of a send.
func (p *Planner) End(ask *Ask, r *load.Result, now time.Time) {
	r.Class, r.Object, r.Sticky = ask.Route.Class(), ask.Object, ask.Sticky
	r.ColdTime = ask.Table.Service(ask.Service).ColdTime
	p.board.End(r, now)
}

// Told takes in the load that an upstream told.
func (p *Planner) Told(u *fleet.Upstream, running, waiting int, now time.Time) {
	p.board.ReportLoad(u.ID, running, waiting, now)
}

// Spend takes one repeat from the budget of a service.
func (p *Planner) Spend(service string, now time.Time) bool {
	bounds := p.bounds.Load()
	_, all := p.instances.Count(p.place.Region)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(service).Spend(now, bounds.Ratio, bounds.Slack, all)
}

// tellBudgets sets the metrics of how many repeats are left.
func (p *Planner) tellBudgets(now time.Time) {
	bounds := p.bounds.Load()
	_, all := p.instances.Count(p.place.Region)
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, b := range p.budgets {
		left := b.Left(now, bounds.Ratio, bounds.Slack, all)
		metrics.GetOrCreateGauge(`hickorydrum_repeats_left{service="`+service+`"}`, nil).Set(left)
	}
}

// budget returns the budget of a service. The lock is held.
func (p *Planner) budget(service string) *budget.Retry {
	b, ok := p.budgets[service]
	if !ok {
		b = budget.NewRetry(p.bounds.Load().Window)
		p.budgets[service] = b
	}
	return b
}

// coldShare returns the part of a cold upstream's rate that this instance may use. One
// instance has the right to it, so that a rate below the number of instances can be used
// and is kept over all of them.
func (p *Planner) coldShare(t *route.Table, u *fleet.Upstream) load.ColdShare {
	part := p.instances.Part(u.Domain, u.Hash())
	if part <= 0 {
		return load.ColdShare{}
	}
	return load.ColdShare{PerSecond: part * t.Service(u.Service).ColdRate, Burst: 1}
}

// Balance closes an interval of the demand: it takes in what every instance needs
// and returns what this one needs.
func (p *Planner) Balance(interval time.Duration, now time.Time, all func(own []Demand) []PlacedDemand) []Demand {
	p.tellBudgets(now)
	own := p.shares.measure(interval, p.board.SlotTime)
	if t := p.table.Load(); t != nil {
		p.shares.expect(t.Services())
	}
	if view := p.view.Load(); view != nil {
		instances := make([]int, len(p.place.Regions))
		for i, region := range p.place.Regions {
			instances[i], _ = p.instances.Count(region)
		}
		p.shares.update(all(own), view, instances)
	}
	return own
}
