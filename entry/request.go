package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
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
	"hickorydrum/peer"
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
		claim.Finish(order.NewAnswer(x.answer.status, x.answer.header, x.answer.kept))
	} else {
		claim.Fail(err)
	}
	return x.end(c, err)
}

// replay answers a re-send from the kept answer.
func (x *exchange) replay(kept *order.Answer) error {
	head := upstream.Head{Status: kept.Status(), Header: kept.Header(), Length: int64(len(kept.Body()))}
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

func (x *exchange) ask(r *http.Request) (*upstream.Ask, error) {
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
	return &upstream.Ask{
		ID:         x.id,
		Service:    x.service.Name(),
		Method:     r.Method,
		Target:     r.URL.RequestURI(),
		Host:       r.Host,
		Header:     header,
		Length:     r.ContentLength,
		Idempotent: x.service.Idempotent(r.Method),
		Caller:     addr.String(),
	}, nil
}

// forward decides the region and has the request served there.
func (x *exchange) forward(ctx context.Context, ask *upstream.Ask) error {
	e := x.entry
	home := x.scope.table.Lookup(x.caller, x.scope.home)
	flow := e.flows.flow(place{service: x.service.Name(), region: home.Region()}, time.Now())
	route := flow.Route(home.Hash(), steering.HashRequest(x.id))
	p := place{service: x.service.Name(), region: route.Region()}
	err := x.serveIn(ctx, p, ask)
	if err == nil && !x.answer.whole() {
		err = fault.New(fault.Broken, "the answer has fewer bytes than announced", "retry only if the request is idempotent",
			fault.WithRan(fault.RanUnknown))
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

const (
	// handOverTries and handOverPause bound how long a request waits for upstreams
	// that are on their way from one owner to the next.
	handOverTries = 8
	handOverPause = 50 * time.Millisecond
)

// serveIn has the request served in one region.
func (x *exchange) serveIn(ctx context.Context, p place, ask *upstream.Ask) error {
	for try := 0; ; try++ {
		err := x.tryOwners(ctx, p, ask)
		if err == nil || try == handOverTries || !handingOver(err) || !x.mayRetry(ctx, ask, err) {
			return err
		}
		timer := time.NewTimer(handOverPause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// handingOver reports whether the owners could be reached, but none of them had
// the upstreams.
func handingOver(err error) bool {
	return fault.KindOf(err) == fault.Unavailable && fault.NotRun(err) && !peer.Unreachable(err) &&
		fault.From(err).RetryAt().IsZero()
}

// tryOwners tries the owners in one region until one serves the request.
func (x *exchange) tryOwners(ctx context.Context, p place, ask *upstream.Ask) error {
	e := x.entry
	e.budget.earn()
	failed := make(map[string]bool)
	var last error = fault.New(fault.Unavailable, "no instance serves the region", "retry after the given time",
		fault.WithRetryAt(time.Now().Add(time.Second)))
	for try := 0; try < maxTries; try++ {
		owners := x.owners(p)
		i := x.choose(p, owners, failed)
		if i < 0 {
			break
		}
		// The first owner must begin to answer soon if another could serve the
		// request as well.
		hurry := try == 0 && ask.Idempotent && ask.Length == 0 && len(owners) > 1
		last = x.serveAt(ctx, p, owners[i], ask, hurry)
		if last == nil || !x.mayRetry(ctx, ask, last) {
			return last
		}
		// A broken answer is the upstream's fault; its owner has others.
		failed[owners[i].member.ID()] = fault.KindOf(last) != fault.Broken
		retries.Inc()
	}
	return last
}

// owners returns the owners in a region as the roster has them now: they may have
// changed since the request came, such as when one of them began to leave.
func (x *exchange) owners(p place) []owner {
	if s := x.entry.scope.Load(); s.table == x.scope.table {
		return s.directory.at(p)
	}
	return x.scope.directory.at(p)
}

// choose returns the index of the owner that should serve next, or -1. What this
// instance owns itself comes first while much of it is free: that saves a hop.
func (x *exchange) choose(p place, owners []owner, failed map[string]bool) int {
	now := time.Now()
	self := x.entry.self().ID()
	candidates := make([]steering.Candidate, len(owners))
	for i, o := range owners {
		if o.member.ID() == self && !failed[self] {
			room := x.entry.local.Room(p.service)
			if room.Slots > 0 && float64(room.Free) >= localShare*float64(room.Slots) {
				return i
			}
		}
		k := roomKey{service: p.service, member: o.member.ID()}
		candidates[i] = x.entry.rooms.candidate(k, o.slots, failed[o.member.ID()], now)
	}
	return steering.Choose(candidates, rand.Uint64())
}

// mayRetry reports whether another try can do no harm: the request was not run
// and its body is untouched, or it is idempotent and nothing was passed on.
func (x *exchange) mayRetry(ctx context.Context, ask *upstream.Ask, err error) bool {
	f := fault.From(err)
	safe := f.Ran() == fault.RanNo || ask.Idempotent
	if !safe || x.answer.headed || x.body.touched.Load() || ctx.Err() != nil {
		return false
	}
	switch f.Kind() {
	case fault.Unavailable, fault.Missing, fault.Broken, fault.Conflict, fault.Denied:
		return true
	case fault.Overloaded:
		return x.entry.budget.spend()
	default:
		return false
	}
}

// headWait is how long the first owner of a request may stay without a word.
const headWait = 700 * time.Millisecond

// serveAt has one owner serve the request.
func (x *exchange) serveAt(ctx context.Context, p place, o owner, ask *upstream.Ask, hurry bool) error {
	e := x.entry
	k := roomKey{service: p.service, member: o.member.ID()}
	e.rooms.begin(k)
	defer e.rooms.end(k)
	ask.Remaining = time.Until(x.deadline).Milliseconds()
	open, sink := e.links.paced(ctx, o.member.Region, x.openBody, x.answer)
	if o.member.ID() == e.self().ID() {
		err := e.local.Serve(ctx, ask, open, sink)
		e.rooms.told(k, e.local.Room(p.service), time.Now())
		e.flows.reached(ctx, p.region, true, time.Now())
		return err
	}
	tryCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if hurry {
		timer := time.AfterFunc(headWait, func() { cancel(errSilent) })
		defer timer.Stop()
		sink = &hurriedSink{Sink: sink, timer: timer}
	}
	to := peer.NewTarget(o.member.Name, o.member.Peer)
	err := e.remote.Serve(tryCtx, to, ask, open, sink, func(room upstream.Room) { e.rooms.told(k, room, time.Now()) })
	x.noteReach(ctx, p, k, err, errors.Is(context.Cause(tryCtx), errSilent))
	if errors.Is(context.Cause(tryCtx), errSilent) && ctx.Err() == nil && err != nil {
		return fault.New(fault.Unavailable, "the owner did not begin to answer", "retry", fault.WithRan(fault.From(err).Ran()))
	}
	return err
}

var errSilent = errors.New("no word from the owner")

// noteReach notes whether an owner and its region could be reached.
func (x *exchange) noteReach(ctx context.Context, p place, k roomKey, err error, silent bool) {
	if ctx.Err() != nil {
		return
	}
	lost := fault.KindOf(err) == fault.Unavailable && fault.From(err).Ran() == fault.RanUnknown
	if silent || lost || peer.Unreachable(err) {
		x.entry.rooms.doubt(k, time.Now())
	}
	x.entry.flows.reached(ctx, p.region, !peer.Unreachable(err), time.Now())
}

// hurriedSink ends the hurry once the answer begins.
type hurriedSink struct {
	upstream.Sink
	timer *time.Timer
}

// Head passes the head on, unless the try was given up in the same moment.
func (s *hurriedSink) Head(h upstream.Head) error {
	if !s.timer.Stop() {
		return errSilent
	}
	return s.Sink.Head(h)
}

func (x *exchange) openBody() (io.ReadCloser, error) { return x.body, nil }

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
