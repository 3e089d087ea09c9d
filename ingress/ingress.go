// Package ingress is the callers' side of an instance on the platform: it accepts
// requests, decides, dispatches them to upstreams and answers.
package ingress

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/budget"
	"hickorydrum/fleet"
	"hickorydrum/load"
	"hickorydrum/placement"
	"hickorydrum/platform"
	"hickorydrum/route"
)

// Instances tells how many instances there are.
type Instances interface {
	// Count returns how many instances of a region, and of all, may be at work.
	Count(region string) (inRegion, all int)
	// Settled reports whether enough time has passed to know them.
	Settled(now time.Time) bool
}

// Place is where an instance stands.
type Place struct {
	Domain string // failure domain
	Region string
	// Regions are all regions, in the same order at every instance.
	Regions []string
}

// Ingress serves the callers of one instance.
type Ingress struct {
	place     Place
	board     *load.Board
	instances Instances
	log       *slog.Logger
	lines     *lines
	costs     placement.Costs

	bounds   atomic.Pointer[platform.Bounds]
	table    atomic.Pointer[route.Table]
	view     atomic.Pointer[fleet.View]
	splitter *route.Splitter
	shares   *shares
	leaving  atomic.Bool
	inFlight atomic.Int64

	mu      sync.Mutex
	budgets map[string]*budget.Retry // by service
}

// Option changes an Ingress while it is made.
type Option func(*Ingress)

// WithCosts sets what the ways of requests cost.
func WithCosts(costs placement.Costs) Option { return func(g *Ingress) { g.costs = costs } }

// What a KiB costs that crosses failure domains, or regions, as a time that a request
// may take longer to avoid it.
const (
	domainPerKiB = 1200 * time.Microsecond
	regionPerKiB = 2600 * time.Microsecond
)

// New returns the ingress of an instance that knows no configuration yet.
func New(place Place, board *load.Board, instances Instances, bounds platform.Bounds, log *slog.Logger, opts ...Option) *Ingress {
	g := &Ingress{
		place: place, board: board, instances: instances, log: log, lines: newLines(),
		costs:    placement.Costs{DomainPerKiB: domainPerKiB, RegionPerKiB: regionPerKiB},
		splitter: route.NewSplitter(), shares: newShares(place), budgets: make(map[string]*budget.Retry),
	}
	g.bounds.Store(&bounds)
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// SetTable puts a configuration in force.
func (g *Ingress) SetTable(t *route.Table) { g.table.Store(t) }

// Table returns the configuration in force, or nil.
func (g *Ingress) Table() *route.Table { return g.table.Load() }

// SetView puts a view of the upstreams in force.
func (g *Ingress) SetView(v *fleet.View) { g.view.Store(v) }

// View returns the view of the upstreams in force, or nil.
func (g *Ingress) View() *fleet.View { return g.view.Load() }

// SetBounds puts the figures of the operators' rules in force.
func (g *Ingress) SetBounds(b platform.Bounds) { g.bounds.Store(&b) }

// Bounds returns the figures of the operators' rules in force.
func (g *Ingress) Bounds() platform.Bounds { return *g.bounds.Load() }

// Ready reports whether requests can be served.
func (g *Ingress) Ready() bool {
	return g.table.Load() != nil && g.view.Load() != nil && !g.leaving.Load()
}

// Leave makes every further answer close its connection.
func (g *Ingress) Leave() { g.leaving.Store(true) }

// InFlight returns the number of requests that are being served.
func (g *Ingress) InFlight() int64 { return g.inFlight.Load() }

var (
	latency = metrics.GetOrCreateHistogram(`hickorydrum_request_seconds`)
	retries = metrics.GetOrCreateCounter(`hickorydrum_retries_total`)
)

// ServeHTTP serves one request of a caller.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := newExchange(g, w, r)
	defer x.report()
	x.serve()
}

// spend takes one repeat from the budget of a service.
func (g *Ingress) spend(service string, now time.Time) bool {
	bounds := g.bounds.Load()
	_, all := g.instances.Count(g.place.Region)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service, bounds).Spend(now, bounds.RetryRatio, bounds.RetrySlack, all)
}

// count counts the first try of a request.
func (g *Ingress) count(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service, g.bounds.Load()).Request(now)
}

// tellBudgets sets the metrics of how many repeats are left.
func (g *Ingress) tellBudgets(now time.Time) {
	bounds := g.bounds.Load()
	_, all := g.instances.Count(g.place.Region)
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, b := range g.budgets {
		left := b.Left(now, bounds.RetryRatio, bounds.RetrySlack, all)
		metrics.GetOrCreateGauge(`hickorydrum_repeats_left{service="`+service+`"}`, nil).Set(left)
	}
}

// budget returns the budget of a service. The lock is held.
func (g *Ingress) budget(service string, bounds *platform.Bounds) *budget.Retry {
	b, ok := g.budgets[service]
	if !ok {
		b = budget.NewRetry(bounds.RetryWindow)
		g.budgets[service] = b
	}
	return b
}

// coldShare returns the part of a cold upstream's rate that this instance may
// use. Instances of its region share it; where there is none, all do.
func (g *Ingress) coldShare(t *route.Table, u *fleet.Upstream) load.ColdShare {
	if !g.instances.Settled(time.Now()) {
		return load.ColdShare{}
	}
	inRegion, all := g.instances.Count(u.Region())
	if inRegion == 0 {
		inRegion = all
	} else if u.Region() != g.place.Region {
		return load.ColdShare{}
	}
	return load.ColdShare{PerSecond: t.Service(u.Service).ColdRate / float64(max(1, inRegion)), Burst: 1}
}
