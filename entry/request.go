package entry

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/xid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"hickorydrum/declaration"
	"hickorydrum/dispatch"
	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/order"
	"hickorydrum/steering"
	"hickorydrum/upstream"
)

// request accepts a request of a caller and answers it.
func (e *Entry) request(c echo.Context) error {
	requests.Inc()
	begun := time.Now()
	defer latency.UpdateDuration(begun)
	r := c.Request()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := otel.Tracer("hickorydrum").Start(ctx, "entry")
	defer span.End()
	id := xid.New().String()
	span.SetAttributes(attribute.String("id", id))
	s := e.scope.Load()
	if s == nil {
		return e.fail(c, id, notReady(begun))
	}
	service := s.table.Service(r.URL.Path)
	if service == nil {
		return e.fail(c, id, fault.New(fault.Missing, "no service has the path "+strconv.Quote(r.URL.Path),
			"use the path of a declared service"))
	}
	limit, err := timeLimit(r.Header, service)
	if err != nil {
		return e.fail(c, id, err)
	}
	x := &exchange{
		entry: e, scope: s, service: service, id: id, deadline: begun.Add(limit),
		body: newCallerBody(c.Response().Writer, r),
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	rc := http.NewResponseController(c.Response().Writer)
	_ = rc.SetReadDeadline(x.deadline)
	_ = rc.SetWriteDeadline(x.deadline.Add(writeMargin))
	defer func() {
		_ = rc.SetWriteDeadline(time.Time{})
	}()
	return x.serve(ctx, c)
}

// timeLimit returns how long a request may take: the service's limit or the
// caller's, whichever is less.
func timeLimit(h http.Header, service *declaration.Service) (time.Duration, error) {
	text := h.Get(upstream.HeaderTimeout)
	if text == "" {
		return service.Limit(), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms > math.MaxInt32 {
		return 0, fault.New(fault.Invalid, upstream.HeaderTimeout+" is not a number of milliseconds",
			"send the remaining time in milliseconds")
	}
	if ms <= 0 {
		return 0, fault.New(fault.Expired, "the deadline of the request has passed", "send it with more time")
	}
	return min(service.Limit(), time.Duration(ms)*time.Millisecond), nil
}

// exchange is one request of a caller.
type exchange struct {
	entry    *Entry
	scope    *scope
	service  *declaration.Service
	id       string
	deadline time.Time
	caller   netip.Addr
	body     *callerBody
	answer   *answer
}

func (x *exchange) serve(ctx context.Context, c echo.Context) error {
	r := c.Request()
	w := c.Response().Writer
	x.answer = &answer{
		w: w, rc: http.NewResponseController(w), id: x.id,
		bodyless: r.Method == http.MethodHead,
		closing:  x.entry.leaving.Load(),
	}
	ask, err := x.ask(r)
	if err != nil {
		return x.entry.fail(c, x.id, err)
	}
	key := r.Header.Get(HeaderKey)
	if key == "" || ask.Idempotent {
		return x.end(c, x.forward(ctx, ask))
	}
	claim, kept, err := x.entry.orders.Begin(ctx, x.service.Name(), key, r.Method+" "+r.URL.RequestURI(), x.deadline)
	switch {
	case err != nil:
		return x.entry.fail(c, x.id, err)
	case kept != nil:
		return x.replay(kept)
	}
	// The order goes on when its caller is gone: a re-send finds the answer.
	x.answer.keep = true
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.deadline)
	defer cancel()
	err = x.forward(ctx, ask)
	// The caller has its answer already; the claim is settled before the
	// handler ends, so that a planned stop waits for it.
	if err == nil {
		_ = x.answer.rc.Flush()
		claim.Finish(order.NewResponse(x.answer.status, x.answer.header, x.answer.kept))
	} else {
		claim.Fail(err)
	}
	return x.end(c, err)
}

// replay answers a re-send from the kept answer.
func (x *exchange) replay(kept *order.Response) error {
	head := dispatch.Head{Status: kept.Status(), Header: kept.Header(), Length: int64(len(kept.Body()))}
	if err := x.answer.Head(head); err != nil {
		return err
	}
	_, err := x.answer.Write(kept.Body())
	return err
}

// end finishes the answer. One that is not whole ends with the connection, never
// as if it were.
func (x *exchange) end(c echo.Context, err error) error {
	if err == nil {
		return nil
	}
	if x.answer.headed {
		cut.Inc()
		event.RequestFailed.Log(c.Request().Context(), x.entry.log,
			slog.String("id", x.id), slog.String("error", err.Error()))
		panic(http.ErrAbortHandler)
	}
	return x.entry.fail(c, x.id, err)
}

func (x *exchange) ask(r *http.Request) (*upstream.Request, error) {
	addr, err := callerAddr(r)
	if err != nil {
		return nil, fault.New(fault.Invalid, "the caller's address is not an IP number", "", fault.WithCause(err))
	}
	x.caller = addr
	if r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect {
		return nil, fault.New(fault.Invalid, "protocol upgrades are not carried", "use plain requests")
	}
	header := r.Header.Clone()
	dispatch.StripHop(header)
	header.Set("X-Forwarded-For", addr.String())
	return &upstream.Request{
		Request: dispatch.Request{
			ID: x.id, Method: r.Method, Target: r.URL.RequestURI(), Host: r.Host, Header: header, Length: r.ContentLength,
		},
		Service:    x.service.Name(),
		Idempotent: x.service.Idempotent(r.Method),
		Caller:     addr.String(),
		Deadline:   x.deadline,
	}, nil
}

// forward decides the region and has the request served there.
func (x *exchange) forward(ctx context.Context, ask *upstream.Request) error {
	e := x.entry
	home := x.scope.table.Lookup(x.caller, x.scope.home)
	flow := e.flows.flow(place{service: x.service.Name(), region: home.Region()}, time.Now())
	route := flow.Route(home.Hash(), steering.HashRequest(x.id))
	p := place{service: x.service.Name(), region: route.Region()}
	err := x.serveIn(ctx, p, ask)
	if err == nil && !x.answer.whole() {
		err = fault.New(fault.Corrupt, "the answer has fewer bytes than announced", "retry only if the request is idempotent",
			fault.WithExecution(fault.MaybeExecuted))
	}
	flow.Done(route, x.body.size.Load()+x.answer.written)
	x.noteOutcome(ctx, p, err)
	return err
}

func (x *exchange) noteOutcome(ctx context.Context, p place, err error) {
	switch fault.KindOf(err) {
	case "":
		if err == nil {
			x.entry.flows.note(p, true, time.Now())
		}
	case fault.Overloaded, fault.Unavailable:
		if ctx.Err() == nil {
			x.entry.flows.note(p, false, time.Now())
		}
	}
}

// serveIn has the request served in one region: it tries one upstream after the
// other until one serves it or it must not be sent again.
func (x *exchange) serveIn(ctx context.Context, p place, ask *upstream.Request) error {
	e := x.entry
	e.budget.earn()
	ask.Region = x.scope.table.Regions()[p.region]
	ask.Tried = make(map[string]bool)
	body, sink := e.links.paced(ctx, ask.Region, x.body, x.answer)
	var last error
	for try := 0; try < maxTries; try++ {
		sent := len(ask.Tried)
		err := e.upstreams.Serve(ctx, ask, body, sink)
		if err != nil && last != nil && len(ask.Tried) == sent {
			return last // no upstream is left to be tried
		}
		last = err
		x.noteReach(ctx, p, err)
		if err == nil || !x.mayRetry(ctx, ask, err) {
			return err
		}
		retries.Inc()
	}
	return last
}

// mayRetry reports whether another try can do no harm: the request was not run,
// or it is idempotent, nothing of an answer was passed on, and its body is at hand.
func (x *exchange) mayRetry(ctx context.Context, ask *upstream.Request, err error) bool {
	f := fault.From(err)
	safe := f.Execution() == fault.NotExecuted || ask.Idempotent
	if !safe || x.answer.headed || ctx.Err() != nil || !x.body.rewind() {
		return false
	}
	switch f.Kind() {
	case fault.Unavailable, fault.Missing, fault.Corrupt, fault.Conflict, fault.Denied:
		return len(ask.Tried) > 0
	case fault.Overloaded:
		return len(ask.Tried) > 0 && x.entry.budget.spend()
	default:
		return false
	}
}

// noteReach notes whether the upstreams of a region could be reached.
func (x *exchange) noteReach(ctx context.Context, p place, err error) {
	if ctx.Err() != nil {
		return
	}
	unreachable := fault.KindOf(err) == fault.Unavailable && fault.IsNotExecuted(err)
	x.entry.flows.reached(ctx, p.region, !unreachable, time.Now())
}

// budget limits retries to a share of first tries, so that they cannot multiply
// an overload.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+retryShare)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
