// Package planner chooses for one instance the upstream of each request, from the
// configuration, the view of the upstreams, their load, and the share of each region in
// the objects of a service. It also keeps the retry budgets. It does no input or output,
// and every time is passed in.
package planner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/account"
	"hickorydrum/budget"
	"hickorydrum/dispatch"
	"hickorydrum/fleet"
	"hickorydrum/load"
	"hickorydrum/placement"
	"hickorydrum/route"
	"hickorydrum/withdrawal"
)

// Instances counts the instances, and determines which share of the request rate of a
// cold upstream this one may use.
type Instances interface {
	// Count returns how many instances may be running in a region, and in all; those that
	// have been silent only for a short while count too.
	Count(region string) (inRegion, all int)
	// RightShare returns the share of a cold upstream's request rate that this instance may
	// use. domain is the failure domain of the upstream, key its hash. Normally the
	// shares of all instances add up to at most 1.
	RightShare(domain string, key uint64) float64
}

// Location is where an instance runs.
type Location struct {
	Domain string // failure domain
	Region string
	// Regions are all regions, in the same order at every instance.
	Regions []string
}

// RetryBounds are the operators' bounds on retries.
type RetryBounds struct {
	// In any span of length Window, the retries of a service at all instances are at
	// most Ratio times its requests, plus Slack.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// domainPerKiB and regionPerKiB are the costs of a KiB that crosses failure domains, and
// regions, as the added latency that is accepted to avoid it.
const (
	domainPerKiB = 1200 * time.Microsecond
	regionPerKiB = 2600 * time.Microsecond
)

// assumedResponseBytes is the assumed size in bytes of a response without its header,
// and assumedHeaderBytes that of the headers of a request and its response.
const (
	assumedResponseBytes = 1 << 10
	assumedHeaderBytes   = 512
)

// MaxUpstreams bounds the upstreams that are chosen for one request, including those that
// cannot be reached. The MaxAttempts of a route bounds those that are sent the request.
const MaxUpstreams = 6

// ChooseFunc chooses one of the candidates for a request.
type ChooseFunc func(placement.Request, []placement.Candidate, placement.Costs) placement.Choice

// Planner makes the choices of one instance. Its methods may be called concurrently.
type Planner struct {
	location  Location
	tracker   *load.Tracker
	instances Instances
	costs     placement.Costs
	choose    ChooseFunc

	bounds atomic.Pointer[RetryBounds]
	table  atomic.Pointer[route.Table]
	view   atomic.Pointer[fleet.View]
	// withdrawals says to which upstreams nothing is sent, although the view has them.
	withdrawals *withdrawal.Registry

	splitter *route.Splitter // chooses the service of a request among the targets of its route
	shares   *shares         // determines the region that serves an object

	admissions admissions // bounds the waits of requests by their urgency and client account

	mu      sync.Mutex
	budgets map[string]*budget.Retry // by service
}

// Option configures a Planner in New.
type Option func(*Planner)

// WithChoose sets the function that chooses among the candidates; the default is
// placement.Choose.
func WithChoose(choose ChooseFunc) Option { return func(p *Planner) { p.choose = choose } }

// WithWithdrawals sets the registry of what upstreams withdraw. The default is an empty one.
func WithWithdrawals(r *withdrawal.Registry) Option { return func(p *Planner) { p.withdrawals = r } }

// New returns the planner of an instance that has no configuration yet.
func New(location Location, tracker *load.Tracker, instances Instances, bounds RetryBounds, opts ...Option) *Planner {
	p := &Planner{
		location: location, tracker: tracker, instances: instances, choose: placement.Choose,
		costs:    placement.Costs{DomainPerKiB: domainPerKiB, RegionPerKiB: regionPerKiB},
		splitter: route.NewSplitter(), admissions: newAdmissions(), shares: newShares(location), budgets: make(map[string]*budget.Retry),
		withdrawals: withdrawal.New(),
	}
	p.bounds.Store(&bounds)
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetTable sets the configuration in force.
func (p *Planner) SetTable(t *route.Table) { p.table.Store(t) }

// Table returns the configuration in force, or nil.
func (p *Planner) Table() *route.Table { return p.table.Load() }

// SetView sets the view of the upstreams.
func (p *Planner) SetView(v *fleet.View) { p.view.Store(v) }

// View returns the current view of the upstreams, or nil.
func (p *Planner) View() *fleet.View { return p.view.Load() }

// SetBounds sets the operators' bounds on retries.
func (p *Planner) SetBounds(b RetryBounds) { p.bounds.Store(&b) }

// Bounds returns the operators' bounds on retries.
func (p *Planner) Bounds() RetryBounds { return *p.bounds.Load() }

// Request holds what the planner must know of one request. StartRequest sets Service; the
// code that creates the Request sets the other fields.
type Request struct {
	Table     *route.Table
	Route     *route.Route
	Account   *account.Account // client account of the caller, nil if there is none
	Service   string
	Object    uint64 // hash of the object that the request is about
	Sticky    bool   // the request names an object
	BodyBytes int64  // size of the body
	Deadline  time.Time
	// Tried holds the IDs of upstreams that were chosen for the request already and must
	// not be chosen again.
	Tried map[string]bool

	// heldBack holds the IDs of upstreams whose limit kept the request from them. The request
	// would have been sent to firstHeldBack.
	heldBack      map[string]bool
	firstHeldBack string
}

// AllowsRegion reports whether a region may serve the request: both the route and the client account
// may name home regions.
func (r *Request) AllowsRegion(region string) bool {
	return r.Route.AllowsRegion(region) && (r.Account == nil || r.Account.AllowsRegion(region))
}

// homed reports whether only some regions may serve the request.
func (r *Request) homed() bool {
	return len(r.Route.HomeRegions) > 0 || r.Account != nil && len(r.Account.HomeRegions) > 0
}

// Priority returns the priority of the request, 0 being the highest: that of the client account, else
// that of the route.
func (r *Request) Priority() int {
	if r.Account != nil {
		return r.Account.Priority
	}
	return r.Route.Priority
}

// StartRequest counts a new request and sets req.Service, the service that serves it.
func (p *Planner) StartRequest(req *Request, now time.Time) {
	req.Service = p.splitter.Choose(req.Route, req.Object, now)
	p.mu.Lock()
	p.budget(req.Service).Request(now)
	p.mu.Unlock()
	p.admissions.arrive(req, now)
	p.shares.recordArrival(req.Service, req.Route.Class(), req.BodyBytes)
}

// chooseOnce returns the best upstream for a request, whether or not its limit has room.
// Upstreams that have held the request back are left out, and if unlimited is set all that
// have a limit.
func (p *Planner) chooseOnce(req *Request, unlimited bool, now time.Time) (placement.Choice, *fleet.Upstream) {
	loadRequest := load.Request{
		Service: req.Service, Object: req.Object, Sticky: req.Sticky, Class: req.Route.Class(),
		Tried: req.Tried, Unlimited: unlimited,
		Cold: func(u *fleet.Upstream) load.ColdShare { return p.coldShare(req.Table, u) },
		Allows: func(u *fleet.Upstream) bool {
			return req.AllowsRegion(u.Region()) && !req.heldBack[u.ID] && p.withdrawals.Allows(u)
		},
	}
	candidates, upstreams := p.tracker.Candidates(&loadRequest, p.View().Service(req.Service), now)
	warm, cold := p.tracker.ServiceTimes(req.Service, req.Route.Class())
	region := p.shares.region(req)
	request := placement.Request{
		Bytes: req.BodyBytes + assumedResponseBytes + assumedHeaderBytes, TimeLeft: req.Deadline.Sub(now),
		Objective: req.Route.Objective, WarmTime: warm, ColdTime: cold,
		TimesAssumed: !p.tracker.Measured(req.Service, req.Route.Class()), Sticky: req.Sticky,
		WarmProbabilities: p.tracker.WarmProbabilities(req.Service),
		Region:            region, KeepInDomain: region == p.shares.ownRegion && p.shares.staysInDomain(req.Service, req.Object),
	}
	p.admissions.apply(req, &request, now)
	choice := p.choose(request, candidates, p.costs)
	if choice.Index < 0 {
		return choice, nil
	}
	return choice, upstreams[choice.Index]
}

// Eligible reports whether an upstream that was chosen earlier may still get requests. It is called
// right before the first byte is sent.
func (p *Planner) Eligible(u *fleet.Upstream) bool {
	return p.View().Eligible(u) && p.withdrawals.Allows(u)
}

// Begin counts a request as in flight at an upstream and returns the dialer to it. It
// returns false if the upstream may no longer get requests (see Eligible), has restarted,
// or is cold and may get no further request from this instance now.
func (p *Planner) Begin(req *Request, u *fleet.Upstream, now time.Time) (*dispatch.Dialer, bool) {
	if !p.Eligible(u) {
		return nil, false
	}
	dialer, ok := p.tracker.Begin(u, p.coldShare(req.Table, u), now)
	if ok {
		p.admissions.begin(req, now)
	}
	return dialer, ok
}

// End records the result of a request that Begin counted, and sets the fields of r that
// follow from the request.
func (p *Planner) End(req *Request, r *load.Result, now time.Time) {
	r.Class, r.Object, r.Sticky = req.Route.Class(), req.Object, req.Sticky
	r.ColdPeriod = req.Table.Service(req.Service).ColdPeriod
	p.tracker.End(r, now)
	p.admissions.end(req)
}

// RecordLoad records the load that an upstream reported: the requests that run and wait
// there.
func (p *Planner) RecordLoad(u *fleet.Upstream, running, waiting int, now time.Time) {
	p.tracker.RecordLoad(u.ID, running, waiting, now)
}

// RecordPace records how long work takes on the machine of an upstream, in percent of the usual
// time.
func (p *Planner) RecordPace(u *fleet.Upstream, percents int, now time.Time) {
	p.tracker.RecordPace(u.ID, percents, now)
}

// SpendRetry takes one retry from the budget of a service and reports whether it is
// allowed.
func (p *Planner) SpendRetry(service string, now time.Time) bool {
	bounds, all := p.bounds.Load(), p.countInstances()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(service).Spend(now, bounds.Ratio, bounds.Slack, all)
}

// updateRetryMetrics sets the metrics of the remaining retries.
func (p *Planner) updateRetryMetrics(now time.Time) {
	bounds, all := p.bounds.Load(), p.countInstances()
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, b := range p.budgets {
		left := b.Remaining(now, bounds.Ratio, bounds.Slack, all)
		metrics.GetOrCreateGauge(`hickorydrum_repeats_left{service="`+service+`"}`, nil).Set(left)
	}
}

// budget returns the retry budget of a service. p.mu must be held.
func (p *Planner) budget(service string) *budget.Retry {
	b, ok := p.budgets[service]
	if !ok {
		b = budget.NewRetry(p.bounds.Load().Window)
		p.budgets[service] = b
	}
	return b
}

// coldShare returns the share of a cold upstream's request rate that this instance may
// use. Normally one instance has the whole rate: if it were divided among all, each could
// still send a first request at once, and together they would exceed a low rate.
func (p *Planner) coldShare(t *route.Table, u *fleet.Upstream) load.ColdShare {
	share := p.instances.RightShare(u.Domain, u.Hash())
	if share <= 0 {
		return load.ColdShare{}
	}
	return load.ColdShare{PerSecond: share * t.Service(u.Service).ColdRate, Burst: 1}
}

// UpdateShares ends an interval in which the demand was measured. It calls exchange with the
// demand of this instance, updates the shares of the regions from the demands of all failure
// domains that exchange returns, and returns the demand of this instance. Without a view of
// the upstreams it does not call exchange. It also sets the metrics of the remaining retries.
func (p *Planner) UpdateShares(interval time.Duration, now time.Time, exchange func(own []Demand) []DomainDemand) []Demand {
	p.updateRetryMetrics(now)
	own := p.shares.measure(interval, p.tracker.SlotTime)
	if t := p.table.Load(); t != nil {
		p.shares.addServices(t.Services())
	}
	if view := p.view.Load(); view != nil {
		instances := make([]int, len(p.location.Regions))
		for i, region := range p.location.Regions {
			instances[i], _ = p.instances.Count(region)
		}
		p.shares.update(exchange(own), view, instances)
	}
	return own
}
