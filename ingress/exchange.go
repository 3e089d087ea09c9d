package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"hickorydrum/dispatch"
	"hickorydrum/fault"
	"hickorydrum/fleet"
	"hickorydrum/freshness"
	"hickorydrum/load"
	"hickorydrum/memory"
	"hickorydrum/placement"
	"hickorydrum/planner"
	"hickorydrum/platform"
)

const (
	// defaultTimeout is how long a request may take if neither its route nor the caller sets a
	// limit.
	defaultTimeout = 30 * time.Second
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
	// confirmed says up to when the configuration of planReq is known to have been current.
	confirmed freshness.Confirmation
	body      content
	hold      *memory.Hold // of the body
	responses *memory.Hold // of buffered responses

	// sends counts the sends over an open connection, except those answered by another upstream
	// that has the address now.
	sends int
	// maybeExecuted states that an upstream may have executed the request but sent no response
	// that the caller gets.
	maybeExecuted bool
	// admitted states that the quota of the client account admitted the request, and consumed that an upstream
	// may have executed it.
	admitted, consumed bool
	// failure is the last 5xx response of an upstream. The caller gets it if no later send is
	// answered.
	failure *bufferedResponse
	choice  placement.Choice
	chosen  *fleet.Upstream
	// chosenAt is when chosen was chosen.
	chosenAt time.Time
	result   result
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
		planReq: planner.Request{Table: g.planner.Table()}, confirmed: g.confirmed(),
		responses: g.memory.Open(0),
	}
}

// release returns the room for the body and for buffered responses.
func (x *exchange) release() {
	x.hold.Close()
	x.responses.Close()
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
	if !x.authenticate() {
		return
	}
	if x.refuseLate() || !x.admit() || !x.readBody() {
		return
	}
	x.planReq.Object, x.planReq.Sticky = x.affinityHash()
	x.planReq.BodyBytes = x.body.size
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

// affinityHash returns the hash of the request's affinity key. Without a key, or on a route
// that isn't sticky, the hash is random, which spreads the requests over the upstreams.
func (x *exchange) affinityHash() (hash uint64, sticky bool) {
	key := platform.AffinityKey(x.r)
	if key == "" || !x.planReq.Route.Sticky {
		return rand.Uint64(), false
	}
	return xxhash.Sum64String(key), true
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
	x.chosen, x.chosenAt = u, now
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
			Upstream: u, Outcome: outcome, Took: ended.Sub(now), Position: x.choice.Position, Waited: reports.waited, Pace: reports.pace,
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
	request.Reused = conn.Reused()
	d := dispatch.NewExchange(request, dialect, x.planReq.Deadline, conn)
	reusable, err := d.Run(ctx, x.body.reader(), resp)
	if err == nil && reusable {
		dialer.Put(conn, time.Now(), maxIdle)
	} else {
		_ = conn.Close() // if Run failed, its error counts
	}
	metrics.GetOrCreateHistogram(`hickorydrum_upstream_seconds{service="` + x.planReq.Service + `"}`).UpdateDuration(now)
	x.noteSend(err)
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
	x.setAccount(header)
	return &dispatch.Request{
		ID: x.id, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: header, Length: x.body.size,
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
