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
	"hickorydrum/idempotency"
	"hickorydrum/server"
	"hickorydrum/steering"
	"hickorydrum/upstream"
)

// request handles a request of a caller.
func (e *Entry) request(c echo.Context) error {
	requests.Inc()
	start := time.Now()
	defer latency.UpdateDuration(start)
	r := c.Request()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := otel.Tracer("hickorydrum").Start(ctx, "entry")
	defer span.End()
	id := xid.New().String()
	server.SetID(r.Context(), id)
	span.SetAttributes(attribute.String("id", id))
	s := e.snapshot.Load()
	if s == nil {
		return e.fail(c, id, notReady(start))
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
	deadline := start.Add(limit)
	if err := e.admission.admit(deadline); err != nil {
		return e.fail(c, id, err)
	}
	x := &exchange{
		entry: e, snapshot: s, service: service, id: id, deadline: deadline,
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

// timeLimit returns how long a request may take: the service's limit or the time in the
// caller's header, whichever is less. It returns fault.Invalid if the header is not a
// number, and fault.Expired if no time is left.
func timeLimit(h http.Header, service *declaration.Service) (time.Duration, error) {
	text := h.Get(upstream.HeaderTimeout)
	if text == "" {
		return service.Timeout(), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms > math.MaxInt32 {
		return 0, fault.New(fault.Invalid, upstream.HeaderTimeout+" is not a number of milliseconds",
			"send the remaining time in milliseconds")
	}
	if ms <= 0 {
		return 0, fault.New(fault.Expired, "the deadline of the request has passed", "send it with more time")
	}
	return min(service.Timeout(), time.Duration(ms)*time.Millisecond), nil
}

// exchange is one request of a caller and its response.
type exchange struct {
	entry    *Entry
	snapshot *snapshot
	service  *declaration.Service
	id       string
	deadline time.Time
	caller   netip.Addr
	body     *callerBody
	response *callerResponse
}

// serve forwards the request and writes the response. A request with an idempotency key is
// forwarded only under the claim of its key, unless it is idempotent without one.
func (x *exchange) serve(ctx context.Context, c echo.Context) error {
	r := c.Request()
	w := c.Response().Writer
	x.response = &callerResponse{
		w: w, rc: http.NewResponseController(w), id: x.id,
		bodyless:      r.Method == http.MethodHead,
		setConnection: x.entry.closeIfLeaving,
	}
	req, err := x.newRequest(r)
	if err != nil {
		return x.entry.fail(c, x.id, err)
	}
	key := r.Header.Get(HeaderKey)
	if key == "" || req.Idempotent {
		return x.finish(c, x.forward(ctx, req))
	}
	claim, stored, err := x.entry.claimer.Begin(ctx, x.service.Name(), key, r.Method+" "+r.URL.RequestURI(), x.deadline)
	switch {
	case err != nil:
		return x.entry.fail(c, x.id, err)
	case stored != nil:
		return x.replay(stored)
	}
	// The request continues after its caller has left, so that a repeated request gets the
	// stored response.
	x.response.store = true
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.deadline)
	defer cancel()
	err = x.forward(ctx, req)
	x.endClaim(claim, err)
	return x.finish(c, err)
}

// endClaim ends the claim of the request, which ended with err. It does not wait: the end of a
// response is sent when its handler returns, and the platform may be slow.
func (x *exchange) endClaim(claim *idempotency.Claim, err error) {
	if err != nil {
		x.entry.claimer.Go(func() { claim.Fail(err) })
		return
	}
	response := idempotency.NewResponse(x.response.status, x.response.header, x.response.stored)
	x.entry.claimer.Go(func() { claim.Finish(response) })
}

// replay answers a repeated request with the stored response.
func (x *exchange) replay(stored *idempotency.Response) error {
	head := dispatch.Head{Status: stored.Status(), Header: stored.Header(), Length: int64(len(stored.Body()))}
	if err := x.response.Head(head); err != nil {
		return err
	}
	_, err := x.response.Write(stored.Body())
	return err
}

// finish ends the response to a request that ended with err. If its head was written
// already, the connection is closed, so that the caller doesn't take a truncated response
// for a complete one.
func (x *exchange) finish(c echo.Context, err error) error {
	if err == nil {
		return nil
	}
	if x.response.wroteHead {
		truncatedResponses.Inc()
		event.RequestFailed.Log(c.Request().Context(), x.entry.log,
			slog.String("id", x.id), slog.String("error", err.Error()))
		panic(http.ErrAbortHandler)
	}
	return x.entry.fail(c, x.id, err)
}

// newRequest returns the request to the upstream, and sets x.caller.
func (x *exchange) newRequest(r *http.Request) (*upstream.Request, error) {
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

// forward selects the region of the request and sends it to an upstream there.
func (x *exchange) forward(ctx context.Context, req *upstream.Request) error {
	e := x.entry
	block := x.snapshot.table.Lookup(x.caller, x.snapshot.home)
	flow := e.flows.flow(serviceRegion{service: x.service.Name(), region: block.Region()}, time.Now())
	route := flow.Route(block.Hash(), steering.HashRequest(x.id))
	p := serviceRegion{service: x.service.Name(), region: route.Region()}
	err := x.serveInRegion(ctx, p, req)
	if err == nil && !x.response.complete() {
		err = fault.New(fault.Corrupt, "the answer has fewer bytes than announced", "retry only if the request is idempotent",
			fault.WithExecution(fault.MaybeExecuted))
	}
	flow.AddBytes(route, x.body.size.Load()+x.response.written)
	x.recordOutcome(ctx, p, err)
	return err
}

// recordOutcome counts whether the region served or refused the request. Requests that
// failed otherwise, or that ended with their context, don't count.
func (x *exchange) recordOutcome(ctx context.Context, p serviceRegion, err error) {
	switch fault.KindOf(err) {
	case "":
		if err == nil {
			x.entry.flows.addOutcome(p, true, time.Now())
		}
	case fault.Overloaded, fault.Unavailable:
		if ctx.Err() == nil {
			x.entry.flows.addOutcome(p, false, time.Now())
		}
	}
}

// serveInRegion sends the request to one upstream of a region after the other, until one
// serves it, it must not be retried, or maxAttempts is reached.
func (x *exchange) serveInRegion(ctx context.Context, p serviceRegion, req *upstream.Request) error {
	e := x.entry
	e.budget.earn()
	req.Region = x.snapshot.table.Regions()[p.region]
	req.Tried = make(map[string]bool)
	body, sink := e.links.throttle(ctx, req.Region, x.body, x.response)
	var last error
	for attempt := 0; attempt < maxAttempts; attempt++ {
		triedBefore := len(req.Tried)
		err := e.upstreams.Serve(ctx, req, body, sink)
		if err != nil && last != nil && len(req.Tried) == triedBefore {
			return last // the last attempt found no further upstream
		}
		last = fault.After(last, err)
		x.recordReachability(ctx, p, err)
		if err == nil || !x.mayRetry(ctx, req, err) {
			return last
		}
		retries.Inc()
	}
	return last
}

// mayRetry reports whether the request may be sent to another upstream after err: it was
// not executed or it is idempotent, no part of a response was written to the caller, its
// body can be read again, and another upstream may serve it after a fault of this kind.
// After an overload a retry also takes a token of the retry budget, and is not allowed if
// there is none.
func (x *exchange) mayRetry(ctx context.Context, req *upstream.Request, err error) bool {
	f := fault.From(err)
	safe := f.Execution() == fault.NotExecuted || req.Idempotent
	if !safe || x.response.wroteHead || ctx.Err() != nil || !x.body.rewind() {
		return false
	}
	switch f.Kind() {
	case fault.Unavailable, fault.Missing, fault.Corrupt, fault.Conflict, fault.Denied:
		return len(req.Tried) > 0
	case fault.Overloaded:
		return len(req.Tried) > 0 && x.entry.budget.spend()
	default:
		return false
	}
}

// recordReachability records whether an upstream of the region could be reached.
func (x *exchange) recordReachability(ctx context.Context, p serviceRegion, err error) {
	if ctx.Err() != nil {
		return
	}
	unreachable := fault.KindOf(err) == fault.Unavailable && fault.IsNotExecuted(err)
	x.entry.flows.observeReachability(ctx, p.region, !unreachable, time.Now())
}

// budget is a token bucket that limits retries after an overload to a fraction of the
// requests, so that they don't add to the overload.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

// earn adds the tokens of one request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+retryRatio)
}

// spend takes the token of one retry. It reports false if there is none.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
