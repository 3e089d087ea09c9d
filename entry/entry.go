// Package entry is the HTTP front end of an instance for callers. It answers look-ups,
// which name the instances that a caller should use, and forwards callers' requests to the
// upstreams of the region that the steering selects.
package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"hickorydrum/dispatch"
	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/idempotency"
	"hickorydrum/interval"
	"hickorydrum/peer"
	"hickorydrum/roster"
	"hickorydrum/steering"
	"hickorydrum/upstream"
)

// HeaderKey names the header with a caller's idempotency key.
const HeaderKey = "Idempotency-Key"

const (
	// maxAttempts is the largest number of upstreams that one request is sent to.
	maxAttempts = 3
	// retryRatio is the number of tokens that each request adds to the retry budget; a
	// retry after an overload takes one token.
	retryRatio     = 0.1
	maxRetryTokens = 20.0
	// writeMargin is how long after the deadline of a request its response may be written.
	writeMargin = time.Second
)

var (
	requests           = metrics.GetOrCreateCounter(`hickorydrum_requests_total`)
	lookupCount        = metrics.GetOrCreateCounter(`hickorydrum_lookups_total`)
	retries            = metrics.GetOrCreateCounter(`hickorydrum_retries_total`)
	latency            = metrics.GetOrCreateHistogram(`hickorydrum_request_seconds`)
	truncatedResponses = metrics.GetOrCreateCounter(`hickorydrum_answers_cut_total`)
)

// CallPlacements is the call that asks a peer for its placements in force.
const CallPlacements peer.Call = "placements"

// Upstreams sends requests to the upstreams of a region.
type Upstreams interface {
	// Serve sends a request to one upstream and writes the response to the sink.
	Serve(ctx context.Context, req *upstream.Request, body io.ReadCloser, sink dispatch.Sink) error
	// Utilization returns the fraction of the slots of a service in a region that are in use.
	Utilization(service, region string, now time.Time) float64
}

// Entry serves look-ups and requests of callers.
type Entry struct {
	self      func() roster.Member
	upstreams Upstreams
	claimer   *idempotency.Claimer
	log       *slog.Logger
	frozen    func(now time.Time) bool
	lookupTTL time.Duration // how long callers may cache the response to a look-up

	snapshot  atomic.Pointer[snapshot]
	flows     *flows
	links     *links
	budget    budget
	admission admission

	mu    sync.Mutex // guards table, view and the replacement of snapshot
	table *steering.Table
	view  *roster.View
}

// snapshot is the state that one request uses from its start to its end: a steering table,
// and look-up responses made from this table and one view of the roster.
type snapshot struct {
	table   *steering.Table
	lookups *lookups
	home    int // index of this instance's region, the home of callers outside declared blocks
}

// Option configures an Entry in New.
type Option func(*Entry)

// WithFrozen sets the function that reports whether the shares of traffic must not change
// because the revision could not be confirmed.
func WithFrozen(frozen func(now time.Time) bool) Option { return func(e *Entry) { e.frozen = frozen } }

// WithLookupTTL sets how long callers may cache the response to a look-up.
func WithLookupTTL(ttl time.Duration) Option { return func(e *Entry) { e.lookupTTL = ttl } }

// New returns the Entry of the instance self.
func New(
	self func() roster.Member, upstreams Upstreams, claimer *idempotency.Claimer, log *slog.Logger, opts ...Option,
) *Entry {
	e := &Entry{
		self: self, upstreams: upstreams, claimer: claimer, log: log,
		frozen:    func(time.Time) bool { return false },
		lookupTTL: 3 * time.Second,
		flows:     newFlows(log),
		links:     newLinks(self().Region),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetTable replaces the steering table, after a new revision of the declarations.
func (e *Entry) SetTable(t *steering.Table) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.flows.setTable(t)
	e.table = t
	e.updateSnapshot()
}

// SetView replaces the view of the roster.
func (e *Entry) SetView(v *roster.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view = v
	e.updateSnapshot()
}

// updateSnapshot builds the snapshot from the table and the view. The lock is held.
func (e *Entry) updateSnapshot() {
	if e.table == nil || e.view == nil {
		return
	}
	home, _ := e.table.RegionIndex(e.self().Region)
	e.links.update(e.table, e.view)
	e.snapshot.Store(&snapshot{
		table:   e.table,
		lookups: newLookups(e.table, e.view),
		home:    home,
	})
}

// Leave begins a planned stop and returns its end: the given time, or the latest deadline of the
// requests in flight if that is later. From now on every response closes its connection, so that
// callers connect to another instance, and a request whose deadline is after the end is rejected.
func (e *Entry) Leave(end time.Time) time.Time { return e.admission.leave(end) }

// closeIfLeaving makes a response close its connection if a planned stop has begun.
func (e *Entry) closeIfLeaving(h http.Header) {
	if e.admission.leaving() {
		h.Set("Connection", "close")
	}
}

// Run moves traffic between regions, step by step, until the context is done.
func (e *Entry) Run(ctx context.Context) error {
	return interval.Each(ctx, advanceInterval, func(now time.Time) {
		if s := e.snapshot.Load(); s != nil && !e.frozen(now) {
			e.flows.advance(ctx, s.table, e.upstreams, now)
		}
	})
}

// Shares returns the shares of the flows that are not served in their home region alone.
func (e *Entry) Shares() []FlowShares { return e.flows.shares() }

// Register adds the handler of CallPlacements to a node.
func (e *Entry) Register(node *peer.Node) {
	node.Handle(CallPlacements, peer.Unary(func(context.Context, string, struct{}) ([]placementMessage, error) {
		return e.flows.placements(), nil
	}))
}

// Asker makes unary calls to peers; peer.Node implements it.
type Asker interface {
	Ask(ctx context.Context, to peer.Target, call peer.Call, req, resp any) error
}

// AdoptPlacements copies the placements that a peer has in force, so that a new instance
// sends traffic to the same regions as its peers, and moves it from there in steps.
func (e *Entry) AdoptPlacements(ctx context.Context, asker Asker, from peer.Target) error {
	var messages []placementMessage
	if err := asker.Ask(ctx, from, CallPlacements, struct{}{}, &messages); err != nil {
		return err
	}
	e.flows.adopt(messages, time.Now())
	return nil
}

// Handler returns the HTTP handler for callers' look-ups and requests.
func (e *Entry) Handler() http.Handler {
	server := echo.New()
	server.GET(LookupPath, e.lookup)
	server.Any("/*", e.request)
	return server
}

// lookup handles a look-up: it answers which instances the caller should use.
func (e *Entry) lookup(c echo.Context) error {
	lookupCount.Inc()
	now := time.Now()
	s := e.snapshot.Load()
	if s == nil {
		return e.fail(c, "", notReady(now))
	}
	addr, err := callerAddr(c.Request())
	if text := c.QueryParam("address"); text != "" {
		addr, err = netip.ParseAddr(text)
	}
	if err != nil {
		return e.fail(c, "", fault.New(fault.Invalid, "address is not an IP number", "write it such as 10.7.1.2"))
	}
	service := c.QueryParam("service")
	if service != "" && s.table.ServiceByName(service) == nil {
		return e.fail(c, "", fault.New(fault.Missing, "service "+strconv.Quote(service)+" is not declared",
			"use the name of a declared service"))
	}
	body, ok := s.lookups.append(make([]byte, 0, 512), addr, service, s.home, *e.flows.relocated.Load(), now.Add(e.lookupTTL))
	if !ok {
		return e.fail(c, "", notReady(now))
	}
	h := c.Response().Header()
	h.Set("Cache-Control", "max-age="+strconv.Itoa(int(e.lookupTTL.Seconds())))
	e.closeIfLeaving(h)
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body)
}

// notReady returns the fault of a request that arrives before the first configuration.
func notReady(now time.Time) *fault.Error {
	return fault.New(fault.Unavailable, "this instance has no configuration yet", "apply one, or ask another instance",
		fault.WithRetryAt(now.Add(time.Second)))
}

// callerAddr returns the remote address of a request's connection.
func callerAddr(r *http.Request) (netip.Addr, error) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, err
	}
	return netip.ParseAddr(host)
}

// fail answers a request with a fault, and logs and counts it. id is the request's ID, or
// "" if it has none.
func (e *Entry) fail(c echo.Context, id string, err error) error {
	f := fault.From(err)
	h := c.Response().Header()
	h.Set(upstream.HeaderRan, string(f.Execution()))
	if id != "" {
		h.Set(upstream.HeaderRequestID, id)
	}
	setRetryAfter(h, f.RetryAt(), time.Now())
	e.closeIfLeaving(h)
	event.RequestFailed.Log(c.Request().Context(), e.log, slog.String("id", id), slog.String("error", err.Error()))
	metrics.GetOrCreateCounter(`hickorydrum_failures_total{kind="` + string(f.Kind()) + `",ran="` + string(f.Execution()) + `"}`).Inc()
	return c.JSON(f.Status(), failure{Kind: f.Kind(), Text: f.Text(), Remedy: f.Remedy(), Executed: f.Execution(), ID: id})
}
