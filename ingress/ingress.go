// Package ingress is the HTTP handler for callers of an instance on the platform: it sends each
// request to the upstreams that the planner chooses and returns the response.
package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/freshness"
	"hickorydrum/memory"
	"hickorydrum/planner"
	"hickorydrum/server"
)

// Ingress is the HTTP handler for the callers of one instance.
type Ingress struct {
	planner *planner.Planner
	log     *slog.Logger
	limiter *logLimiter
	// upstreamLines bounds the lines about what upstreams say of themselves.
	upstreamLines lineCounter
	onLeaving     func()
	quotas        Quotas // nil if accounts have none
	confirmed     func() freshness.Confirmation
	memory        *memory.Budget // for bodies and buffered responses, nil for no bound
	// lastDeadline is the latest deadline that a request may have, nil until a planned stop begins.
	lastDeadline atomic.Pointer[time.Time]
	sends        context.Context // done when sends to upstreams must end
	cut          context.CancelFunc
}

// Option configures an Ingress.
type Option func(*Ingress)

// WithOnLeaving sets a function that is called when an upstream says in a response that it leaves,
// once for each run of an upstream.
func WithOnLeaving(onLeaving func()) Option { return func(g *Ingress) { g.onLeaving = onLeaving } }

// WithConfirmed sets a function that returns up to when the configuration in force is known to be current,
// by the clock of package clock. The lines about requests have it.
func WithConfirmed(confirmed func() freshness.Confirmation) Option {
	return func(g *Ingress) { g.confirmed = confirmed }
}

// WithMemory sets the budget for bodies of requests and buffered responses; the default is none.
func WithMemory(b *memory.Budget) Option { return func(g *Ingress) { g.memory = b } }

// New returns a handler that sends requests to the upstreams that the planner chooses.
func New(p *planner.Planner, log *slog.Logger, opts ...Option) *Ingress {
	g := &Ingress{planner: p, log: log, limiter: newLogLimiter(), onLeaving: func() {}, confirmed: func() freshness.Confirmation { return freshness.Confirmation{} }}
	for _, opt := range opts {
		opt(g)
	}
	g.sends, g.cut = context.WithCancel(context.Background())
	return g
}

// Ready reports whether requests can be served: a configuration and a view of the upstreams
// are in force and Leave was not called.
func (g *Ingress) Ready() bool {
	return g.planner.Table() != nil && g.planner.View() != nil && !g.leaving()
}

// Leave begins the planned stop: from now on Ready returns false, every response that has not begun
// closes its connection, and a request whose deadline is after lastDeadline is not sent to an upstream.
func (g *Ingress) Leave(lastDeadline time.Time) { g.lastDeadline.Store(&lastDeadline) }

// leaving reports whether a planned stop has begun.
func (g *Ingress) leaving() bool { return g.lastDeadline.Load() != nil }

// leavesTooSoonFor reports whether a planned stop has begun that leaves no time for a request with the
// given deadline.
func (g *Ingress) leavesTooSoonFor(deadline time.Time) bool {
	last := g.lastDeadline.Load()
	return last != nil && deadline.After(*last)
}

// Cut ends the sends to upstreams that are under way. A caller whose response has not begun gets an error
// response; one that has begun is broken off.
func (g *Ingress) Cut() { g.cut() }

// RunsAhead reports whether a request may run concurrently with others of its connection: its route declares it
// idempotent, and no planned stop has begun. It implements server.Pipeliner.
func (g *Ingress) RunsAhead(host, target string) bool {
	table := g.planner.Table()
	if table == nil || g.leaving() {
		return false
	}
	path, _, _ := strings.Cut(target, "?")
	match, ok := table.Match(host, path)
	return ok && match.Idempotent
}

var (
	latency = metrics.GetOrCreateHistogram(`hickorydrum_request_seconds`)
	retries = metrics.GetOrCreateCounter(`hickorydrum_retries_total`)

	// withdrawn counts the upstreams that said in a response that they leave, and pauses the pauses
	// that upstreams asked for.
	withdrawn = metrics.GetOrCreateCounter(`hickorydrum_withdrawals_total{source="answer"}`)
	pauses    = metrics.GetOrCreateCounter(`hickorydrum_pauses_total`)
	// invalidLoads counts the reports of load that are not valid, or whose pace is not.
	invalidLoads = metrics.GetOrCreateCounter(`hickorydrum_load_reports_invalid_total`)

	// unbuffered counts the responses that were streamed since there was no room to buffer them.
	unbuffered = metrics.GetOrCreateCounter(`hickorydrum_responses_unbuffered_total`)

	limitLinesOmitted = metrics.GetOrCreateCounter(`hickorydrum_limit_lines_omitted_total`)
)

// ServeHTTP serves one request of a caller.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := newExchange(g, w, r)
	server.SetID(r.Context(), x.id)
	defer x.report()
	defer x.release()
	defer x.returnQuota()
	x.serve()
}
