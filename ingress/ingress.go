// Package ingress is the callers' side of an instance on the platform: it accepts
// requests, dispatches them as the planner decides, and answers.
package ingress

import (
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/planner"
)

// Ingress serves the callers of one instance.
type Ingress struct {
	planner  *planner.Planner
	log      *slog.Logger
	lines    *lines
	leaving  atomic.Bool
	inFlight atomic.Int64
}

// New returns the ingress of an instance.
func New(p *planner.Planner, log *slog.Logger) *Ingress {
	return &Ingress{planner: p, log: log, lines: newLines()}
}

// Ready reports whether requests can be served.
func (g *Ingress) Ready() bool {
	return g.planner.Table() != nil && g.planner.View() != nil && !g.leaving.Load()
}

// StartDraining makes every further answer close its connection.
func (g *Ingress) StartDraining() { g.leaving.Store(true) }

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
