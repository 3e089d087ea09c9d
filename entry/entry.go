// Package entry is the callers' side of an instance: it answers look-ups,
// accepts requests, has them served and passes the answers back whole.
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
	"hickorydrum/order"
	"hickorydrum/peer"
	"hickorydrum/period"
	"hickorydrum/roster"
	"hickorydrum/steering"
	"hickorydrum/upstream"
)

// HeaderKey names the header with a caller's idempotency key.
const HeaderKey = "Idempotency-Key"

const (
	maxTries = 3
	// retryShare is the part of first tries that may be followed by a retry.
	retryShare  = 0.1
	maxTokens   = 20.0
	writeMargin = time.Second
)

var (
	requests    = metrics.GetOrCreateCounter(`hickorydrum_requests_total`)
	lookupCount = metrics.GetOrCreateCounter(`hickorydrum_lookups_total`)
	retries     = metrics.GetOrCreateCounter(`hickorydrum_retries_total`)
	latency     = metrics.GetOrCreateHistogram(`hickorydrum_request_seconds`)
	cut         = metrics.GetOrCreateCounter(`hickorydrum_answers_cut_total`)
)

// CallPlacements asks a peer for the placements in force.
const CallPlacements peer.Call = "placements"

// Upstreams has requests served by the upstreams of a region.
type Upstreams interface {
	// Serve sends a request to one upstream and passes the answer to the sink.
	Serve(ctx context.Context, ask *upstream.Request, body io.ReadCloser, sink dispatch.Sink) error
	// Busy returns the part of the slots of a service in a region that is in use.
	Utilization(service, region string, now time.Time) float64
}

// Entry is the callers' side of an instance.
type Entry struct {
	self      func() roster.Member
	upstreams Upstreams
	orders    *order.Book
	log       *slog.Logger
	frozen    func(now time.Time) bool
	life      time.Duration // of an answer to a look-up

	scope   atomic.Pointer[scope]
	flows   *flows
	links   *links
	budget  budget
	leaving atomic.Bool

	mu    sync.Mutex // held while scope is replaced
	table *steering.Table
	view  *roster.View
}

// scope is what one request sees: a table and a roster that fit.
type scope struct {
	table   *steering.Table
	lookups *lookups
	home    int // the index of this instance's region, for undeclared callers
}

// Option changes an Entry while it is made.
type Option func(*Entry)

// WithFrozen sets the function that reports whether shares must not move, since
// the revision could not be confirmed.
func WithFrozen(frozen func(now time.Time) bool) Option { return func(e *Entry) { e.frozen = frozen } }

// WithLookupLife sets how long callers may keep the answer to a look-up.
func WithLookupLife(life time.Duration) Option { return func(e *Entry) { e.life = life } }

// New returns the callers' side of the instance self.
func New(
	self func() roster.Member, upstreams Upstreams, orders *order.Book, log *slog.Logger, opts ...Option,
) *Entry {
	e := &Entry{
		self: self, upstreams: upstreams, orders: orders, log: log,
		frozen: func(time.Time) bool { return false },
		life:   3 * time.Second,
		flows:  newFlows(log),
		links:  newLinks(self().Region),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetTable takes in a new set of declarations.
func (e *Entry) SetTable(t *steering.Table) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.flows.setTable(t)
	e.table = t
	e.rescope()
}

// SetView takes in a change of the roster.
func (e *Entry) SetView(v *roster.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view = v
	e.rescope()
}

// rescope builds what requests see. The lock is held.
func (e *Entry) rescope() {
	if e.table == nil || e.view == nil {
		return
	}
	home, _ := e.table.RegionIndex(e.self().Region)
	e.links.update(e.table, e.view)
	e.scope.Store(&scope{
		table:   e.table,
		lookups: newLookups(e.table, e.view),
		home:    home,
	})
}

// Leave makes the answers ask callers to open new connections elsewhere.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Run moves shares until the context is done.
func (e *Entry) Run(ctx context.Context) error {
	return period.Each(ctx, advanceEvery, func(now time.Time) {
		if s := e.scope.Load(); s != nil && !e.frozen(now) {
			e.flows.advance(ctx, s.table, e.upstreams, now)
		}
	})
}

// Shares returns where traffic is served that has left its home region.
func (e *Entry) Shares() []Share { return e.flows.shares() }

// Register adds the handler of the placements call to a node.
func (e *Entry) Register(node *peer.Node) {
	node.Handle(CallPlacements, peer.Unary(func(context.Context, string, struct{}) ([]placementMessage, error) {
		return e.flows.placements(), nil
	}))
}

// Asker makes unary calls to peers.
type Asker interface {
	Ask(ctx context.Context, to peer.Target, call peer.Call, req, resp any) error
}

// Adopt takes over the placements that a peer has in force: a new instance must
// not jump to where traffic should be in the end.
func (e *Entry) Adopt(ctx context.Context, asker Asker, from peer.Target) error {
	var messages []placementMessage
	if err := asker.Ask(ctx, from, CallPlacements, struct{}{}, &messages); err != nil {
		return err
	}
	e.flows.adopt(messages, time.Now())
	return nil
}

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	server := echo.New()
	server.GET(LookupPath, e.lookup)
	server.Any("/*", e.request)
	return server
}

// lookup answers which instances the caller should use.
func (e *Entry) lookup(c echo.Context) error {
	lookupCount.Inc()
	now := time.Now()
	s := e.scope.Load()
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
	body, ok := s.lookups.append(make([]byte, 0, 512), addr, service, s.home, *e.flows.away.Load(), now.Add(e.life))
	if !ok {
		return e.fail(c, "", notReady(now))
	}
	h := c.Response().Header()
	h.Set("Cache-Control", "max-age="+strconv.Itoa(int(e.life.Seconds())))
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body)
}

func notReady(now time.Time) *fault.Error {
	return fault.New(fault.Unavailable, "this instance has no configuration yet", "apply one, or ask another instance",
		fault.WithRetryAt(now.Add(time.Second)))
}

func callerAddr(r *http.Request) (netip.Addr, error) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, err
	}
	return netip.ParseAddr(host)
}

// fail answers a request with a fault.
func (e *Entry) fail(c echo.Context, id string, err error) error {
	f := fault.From(err)
	h := c.Response().Header()
	h.Set(upstream.HeaderRan, string(f.Execution()))
	if id != "" {
		h.Set(upstream.HeaderRequestID, id)
	}
	setRetryAfter(h, f.RetryAt(), time.Now())
	if e.leaving.Load() {
		h.Set("Connection", "close")
	}
	event.RequestFailed.Log(c.Request().Context(), e.log, slog.String("id", id), slog.String("error", err.Error()))
	metrics.GetOrCreateCounter(`hickorydrum_failures_total{kind="` + string(f.Kind()) + `",ran="` + string(f.Execution()) + `"}`).Inc()
	return c.JSON(f.Status(), failure{Kind: f.Kind(), Text: f.Text(), Remedy: f.Remedy(), Ran: f.Execution(), ID: id})
}
