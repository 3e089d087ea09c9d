package ingress

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"hickorydrum/dispatch"
	"hickorydrum/fault"
	"hickorydrum/fleet"
	"hickorydrum/load"
	"hickorydrum/placement"
	"hickorydrum/planner"
	"hickorydrum/platform"
)

const (
	// defaultTimeout is how long a request may take if neither its route nor the caller sets a
	// limit.
	defaultTimeout = 30 * time.Second
	// minRetryAfter and maxRetryAfter bound the random Retry-After time of refused requests.
	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = 250 * time.Millisecond
	// defaultBodyBytes limits the body of a request if the configuration sets no limit.
	defaultBodyBytes = int64(32 << 20)
	// maxDiscarded is the largest number of bytes of a refused body that are read and discarded.
	maxDiscarded = 2 << 20
	// maxIdle is how many idle connections to one upstream are kept for reuse.
	maxIdle = 32
)

// exchange is the handling of one request of a caller.
type exchange struct {
	ingress *Ingress
	w       http.ResponseWriter
	r       *http.Request

	id      string
	arrived time.Time
	planReq planner.Request
	body    []byte

	// sends counts the sends over an open connection, except those answered by another upstream
	// that has the address now.
	sends int
	// maybeExecuted states that an upstream may have executed the request but sent no response
	// that the caller gets.
	maybeExecuted bool
	// failure is the last 5xx response of an upstream. The caller gets it if no later send is
	// answered.
	failure *bufferedResponse
	choice  placement.Choice
	chosen  *fleet.Upstream
	result  result
}

// result is how the request ended, for log and metrics.
type result struct {
	status  int
	outcome string
	detail  string
}

func newExchange(g *Ingress, w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		ingress: g, w: w, r: r, id: platform.RequestID(r.Header), arrived: time.Now(),
		planReq: planner.Request{Table: g.planner.Table()},
	}
}

// serve handles the request. It panics with http.ErrAbortHandler to close the caller's
// connection when no complete response can be sent.
func (x *exchange) serve() {
	if x.planReq.Table == nil || x.ingress.planner.View() == nil {
		x.planReq.Deadline = x.arrived.Add(time.Second)
		x.refuse("no configuration is known yet")
		return
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = x.r.URL.Path
	}
	match, ok := x.planReq.Table.Match(x.r.Host, path)
	if !ok {
		x.fail(http.StatusNotFound, "no-route", "no route has the host and path")
		return
	}
	x.planReq.Route = match
	x.planReq.Deadline = x.deadline()
	if x.refuseLate() || !x.readBody() {
		return
	}
	x.planReq.Object, x.planReq.Sticky = x.affinityHash()
	x.planReq.BodyBytes = int64(len(x.body))
	x.ingress.planner.StartRequest(&x.planReq, x.arrived)
	x.sendWithRetries()
}

// deadline returns the time by which the request must be answered: the earlier of the route's
// timeout, or defaultTimeout if it has none, and the caller's deadline.
func (x *exchange) deadline() time.Time {
	limit := x.arrived.Add(defaultTimeout)
	if x.planReq.Route.Timeout > 0 {
		limit = x.arrived.Add(x.planReq.Route.Timeout)
	}
	if deadline, ok := platform.Deadline(x.r.Header, x.arrived); ok && deadline.Before(limit) {
		limit = deadline
	}
	return limit
}

// refuseLate refuses a request that may take longer than the rest of a planned stop, before it is
// sent to an upstream or sent again. It reports whether it did.
func (x *exchange) refuseLate() bool {
	if !x.ingress.endsBefore(x.planReq.Deadline) {
		return false
	}
	x.choice = placement.Choice{Reason: placement.ReasonStopping}
	x.refuse("the instance stops before the request's deadline")
	return true
}

// affinityHash returns the hash of the request's affinity key. Without a key, or on a route
// that isn't sticky, the hash is random, which spreads the requests over the upstreams.
func (x *exchange) affinityHash() (hash uint64, sticky bool) {
	key := platform.AffinityKey(x.r)
	if key == "" || !x.planReq.Route.Sticky {
		return rand.Uint64(), false
	}
	return xxhash.Sum64String(key), true
}

// readBody reads the whole body, so that the request can be retried where that is allowed. It
// reports whether the request may proceed; if not, it was answered.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return true
	}
	maxBytes := cmp.Or(x.planReq.Table.Limits().BodyBytes, defaultBodyBytes)
	if x.r.ContentLength > maxBytes {
		x.refuseBody()
		return false
	}
	rc := http.NewResponseController(x.w)
	// Without support for deadlines, the read ends when the caller closes the connection.
	_ = rc.SetReadDeadline(x.planReq.Deadline)
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	var buf bytes.Buffer
	if x.r.ContentLength > 0 {
		buf.Grow(int(x.r.ContentLength))
	}
	_, err := buf.ReadFrom(io.LimitReader(x.r.Body, maxBytes+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.w.Header().Set("Connection", "close") // the rest of the body may still come
		x.fail(http.StatusRequestTimeout, "expired", "the body did not arrive in time")
		return false
	}
	if err != nil {
		x.result = result{outcome: "caller-gone", detail: "the body was cut short"}
		panic(http.ErrAbortHandler)
	}
	if int64(buf.Len()) > maxBytes {
		x.refuseBody()
		return false
	}
	x.body = buf.Bytes()
	return true
}

// refuseBody refuses a body over the limit. It reads part of the body first: closing the
// connection with unread bytes resets it, and a caller that is still sending would lose the
// response.
func (x *exchange) refuseBody() {
	_, err := io.CopyN(io.Discard, x.r.Body, maxDiscarded)
	if err != nil && !errors.Is(err, io.EOF) {
		x.result.detail = err.Error()
	}
	x.fail(http.StatusRequestEntityTooLarge, "too-large", "the body is over the configured limit")
}

// sendWithRetries sends the request to one upstream after another, until it is answered or must
// not be sent again.
func (x *exchange) sendWithRetries() {
	x.planReq.Tried = make(map[string]bool)
	for range planner.MaxUpstreams {
		if x.r.Context().Err() != nil {
			x.result = result{outcome: "caller-gone", detail: "the caller left"}
			panic(http.ErrAbortHandler)
		}
		if x.refuseLate() {
			return
		}
		now := time.Now()
		if !x.choose(now) {
			x.refuse("no upstream can serve it: " + string(x.choice.Reason))
			return
		}
		if x.sends > 0 {
			if !x.ingress.planner.SpendRetry(x.planReq.Service, now) {
				x.refuse("the budget for repeats is used up")
				return
			}
			retries.Inc()
		}
		if x.send() {
			return
		}
	}
	x.refuse("every upstream that was tried is out of reach")
}

// choose sets the upstream for the next send and reports whether there is one.
func (x *exchange) choose(now time.Time) bool {
	choice, u := x.ingress.planner.Choose(&x.planReq, now)
	x.choice = choice
	if u == nil {
		return false
	}
	x.chosen = u
	return true
}

// send sends the request to the chosen upstream. It reports whether the request is answered;
// if not, it may be sent to another upstream.
func (x *exchange) send() (done bool) {
	g, u := x.ingress, x.chosen
	x.planReq.Tried[u.ID] = true
	now := time.Now()
	dialer, ok := g.planner.Begin(&x.planReq, u, now)
	if !ok {
		return false
	}
	outcome := load.Abandoned
	reports := &upstreamReports{ingress: g, upstream: u, sentAt: now}
	defer func() {
		ended := time.Now()
		g.planner.End(&x.planReq, &load.Result{
			Upstream: u, Outcome: outcome, Took: ended.Sub(now), Position: x.choice.Position, Waited: reports.waited,
		}, ended)
	}()
	ctx, cancel := x.sendContext()
	defer cancel()
	conn, err := dialer.Get(ctx, now, !x.planReq.Route.Idempotent)
	if err != nil {
		outcome = load.Unreachable
		if x.r.Context().Err() != nil || ctx.Err() != nil {
			outcome = load.Abandoned
		}
		return false
	}
	if !g.planner.Eligible(u) {
		// The upstream started to drain, or was removed, while the connection was made.
		dialer.Put(conn, time.Now(), maxIdle)
		return false
	}
	x.sends++
	dialect := platform.NewDialect(u.ID, reports)
	resp := newBufferedResponse(x)
	request := x.request()
	d := dispatch.NewExchange(request, dialect, x.planReq.Deadline, conn)
	reusable, err := d.Run(ctx, io.NopCloser(bytes.NewReader(x.body)), resp)
	if err == nil && reusable {
		dialer.Put(conn, time.Now(), maxIdle)
	} else {
		_ = conn.Close() // if Run failed, its error counts
	}
	metrics.GetOrCreateHistogram(`hickorydrum_upstream_seconds{service="` + x.planReq.Service + `"}`).UpdateDuration(now)
	outcome, done = x.finishSend(err, resp)
	return done
}

// sendContext returns the context of a send, which ends at the deadline, or when a planned stop has no
// time left for sends. An idempotent request is also cancelled when its caller disconnects. Other
// requests are not: closing the connection to the upstream would leave unknown whether the request was
// executed.
func (x *exchange) sendContext() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if !x.planReq.Route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, x.planReq.Deadline)
	stop := context.AfterFunc(x.ingress.sends, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// request returns the request to the upstream, with the end-to-end headers of the caller's.
func (x *exchange) request() *dispatch.Request {
	header := x.r.Header.Clone()
	dispatch.StripHop(header)
	length := int64(len(x.body))
	return &dispatch.Request{
		ID: x.id, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: header, Length: length,
	}
}

// finishSend handles the end of a send: it answers the request, or returns done as false to have
// it sent to another upstream. It also returns the outcome for the upstream's load statistics.
func (x *exchange) finishSend(err error, resp *bufferedResponse) (outcome load.Outcome, done bool) {
	if err == nil {
		return x.handleResponse(resp)
	}
	if resp.started {
		// Aborting makes the caller see an incomplete response, never one that looks complete.
		x.result = result{status: resp.head.Status, outcome: "cut", detail: err.Error()}
		panic(http.ErrAbortHandler)
	}
	if x.r.Context().Err() != nil {
		x.result = result{outcome: "caller-gone", detail: "the caller left"}
		panic(http.ErrAbortHandler)
	}
	f := fault.From(err)
	switch {
	case f.Kind() == fault.Missing: // the address belongs to another upstream now
		x.sends--
		return load.Unreachable, false
	case f.Kind() == fault.Overloaded && f.Execution() == fault.NotExecuted:
		return load.Refused, x.failIfExhausted("the upstream refused it for lack of room", f)
	case f.Execution() == fault.NotExecuted:
		return load.Unreachable, x.failIfExhausted("the upstream could not be reached", f)
	case x.planReq.Route.Idempotent:
		x.maybeExecuted = true
		return load.Failed, x.failIfExhausted("the upstream's answer was lost", f)
	default:
		x.failLost(f)
		return load.Failed, true
	}
}

// failIfExhausted answers a request that may not be sent again, since its attempts or its time are
// used up. It reports whether it did.
func (x *exchange) failIfExhausted(detail string, f *fault.Error) bool {
	if x.sends < x.planReq.Route.MaxAttempts && time.Until(x.planReq.Deadline) > 0 {
		return false
	}
	if f.Execution() == fault.NotExecuted {
		x.refuse(detail)
	} else {
		x.failLost(f)
	}
	return true
}

// failLost answers a request that an upstream may have executed but whose response was lost.
func (x *exchange) failLost(f *fault.Error) {
	if f.Kind() == fault.Expired || !time.Now().Before(x.planReq.Deadline) {
		x.fail(http.StatusGatewayTimeout, "expired", f.Text())
		return
	}
	x.fail(http.StatusBadGateway, "lost", f.Text())
}

// handleResponse forwards a complete response, unless it is a 5xx response to an idempotent request
// that may be sent to another upstream.
func (x *exchange) handleResponse(resp *bufferedResponse) (load.Outcome, bool) {
	status := resp.head.Status
	if status >= http.StatusInternalServerError && !resp.started {
		retry := x.planReq.Route.Idempotent && status != http.StatusGatewayTimeout && x.sends < x.planReq.Route.MaxAttempts
		if retry {
			x.maybeExecuted, x.failure = true, resp
			return load.Failed, false
		}
		resp.finish()
		return load.Failed, true
	}
	resp.finish()
	return load.Answered, true
}

// refuse answers a request for which no further send is possible. If no upstream can have executed
// it, the caller gets a 503 with the time to retry after. Otherwise the caller gets the last 5xx
// response of an upstream, or a 502.
func (x *exchange) refuse(detail string) {
	switch {
	case x.failure != nil:
		x.failure.finish()
		return
	case x.maybeExecuted:
		x.fail(http.StatusBadGateway, "lost", detail)
		return
	}
	platform.SetRetryAfter(x.w.Header(), x.retryAfter(time.Now()))
	x.fail(http.StatusServiceUnavailable, "refused", detail)
}

// retryAfter returns how long the caller of a refused request should wait. If a planned stop
// leaves no time for the request, it need not wait. If a limit of
// upstreams kept the request from them, that is until this instance has room for it.
func (x *exchange) retryAfter(now time.Time) time.Duration {
	if x.ingress.endsBefore(x.planReq.Deadline) {
		return 0 // another instance has the time for it
	}
	if x.choice.Reason == placement.ReasonLimited {
		if at, ok := x.ingress.planner.RetryAt(&x.planReq, now); ok {
			return max(minRetryAfter, at.Sub(now))
		}
	}
	wait := minRetryAfter + time.Duration(rand.Int64N(int64(maxRetryAfter-minRetryAfter)))
	return min(wait, max(0, x.planReq.Deadline.Sub(now)/3))
}

// fail answers the request with an error of this instance, with the detail as the body.
func (x *exchange) fail(status int, outcome, detail string) {
	x.result = result{status: status, outcome: outcome, detail: detail}
	if x.ingress.leaving() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, err := io.WriteString(x.w, detail+"\n")
	if err != nil && !errors.Is(err, http.ErrHandlerTimeout) {
		x.result.detail += " (the caller left)"
	}
}
