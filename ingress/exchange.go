package ingress

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
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
	// defaultWait is how long a request without a deadline may take.
	defaultWait = 30 * time.Second
	// firstRetryAfter and lastRetryAfter bound when refused callers come back.
	firstRetryAfter = 40 * time.Millisecond
	lastRetryAfter  = 250 * time.Millisecond
	// defaultBodyBytes bounds a body where the configuration does not.
	defaultBodyBytes = int64(32 << 20)
	// maxDrained is how much of a refused body is read.
	maxDrained = 2 << 20
	// maxIdle is how many idle connections to one upstream are kept.
	maxIdle = 32
)

// exchange is one request of a caller.
type exchange struct {
	ingress *Ingress
	w       http.ResponseWriter
	r       *http.Request

	id      string
	arrived time.Time
	ask     planner.Ask
	body    []byte

	sends int // upstreams that may have got the request
	// doubtful states that a send may have run the request.
	doubtful bool
	// failure is an upstream's own failure, for the caller if no other answers.
	failure *answer
	choice  placement.Choice
	chosen  *fleet.Upstream
	result  result
}

// result is how the request ended, for the log and the metrics.
type result struct {
	status  int
	outcome string
	detail  string
}

func newExchange(g *Ingress, w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		ingress: g, w: w, r: r, id: platform.RequestID(r.Header), arrived: time.Now(),
		ask: planner.Ask{Table: g.planner.Table()},
	}
}

// serve answers the request.
func (x *exchange) serve() {
	if x.ask.Table == nil || x.ingress.planner.View() == nil {
		x.ask.Deadline = x.arrived.Add(time.Second)
		x.refuse("no configuration is known yet")
		return
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = x.r.URL.Path
	}
	match, ok := x.ask.Table.Match(x.r.Host, path)
	if !ok {
		x.fail(http.StatusNotFound, "no-route", "no route has the host and path")
		return
	}
	x.ask.Route = match
	x.ask.Deadline = x.limit()
	if !x.readBody() {
		return
	}
	x.ask.Object, x.ask.Sticky = x.findObject()
	x.ask.Bytes = int64(len(x.body))
	x.ingress.planner.Arrived(&x.ask, x.arrived)
	x.attempt()
}

// limit returns the instant by which the request needs its answer.
func (x *exchange) limit() time.Time {
	limit := x.arrived.Add(defaultWait)
	if x.ask.Route.Timeout > 0 {
		limit = x.arrived.Add(x.ask.Route.Timeout)
	}
	if named, ok := platform.Deadline(x.r.Header, x.arrived); ok && named.Before(limit) {
		limit = named
	}
	return limit
}

// findObject returns the hash of the object that the request is about. Requests
// without one are spread.
func (x *exchange) findObject() (hash uint64, sticky bool) {
	key := platform.AffinityKey(x.r)
	if key == "" || !x.ask.Route.Sticky {
		return rand.Uint64(), false
	}
	return xxhash.Sum64String(key), true
}

// readBody reads the whole body, so that it can be sent again where that is
// allowed. It reports whether the request may go on.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return true
	}
	most := cmp.Or(x.ask.Table.Limits().BodyBytes, defaultBodyBytes)
	if x.r.ContentLength > most {
		x.tooLarge()
		return false
	}
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(x.ask.Deadline) // a connection without deadlines reads until the caller closes it
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	var buf bytes.Buffer
	if x.r.ContentLength > 0 {
		buf.Grow(int(x.r.ContentLength))
	}
	if _, err := buf.ReadFrom(io.LimitReader(x.r.Body, most+1)); err != nil {
		x.result = result{outcome: "caller-gone", detail: "the body was cut short"}
		panic(http.ErrAbortHandler)
	}
	if int64(buf.Len()) > most {
		x.tooLarge()
		return false
	}
	x.body = buf.Bytes()
	return true
}

// tooLarge refuses a body over the limit. A part of it is read first: a caller that
// is still sending would else lose the answer with its connection.
func (x *exchange) tooLarge() {
	_, err := io.CopyN(io.Discard, x.r.Body, maxDrained)
	if err != nil && !errors.Is(err, io.EOF) {
		x.result.detail = err.Error()
	}
	x.fail(http.StatusRequestEntityTooLarge, "too-large", "the body is over the configured limit")
}

// attempt sends the request to one upstream after the other until it is answered
// or must not be sent again.
func (x *exchange) attempt() {
	x.ask.Tried = make(map[string]bool)
	for range planner.MaxTries {
		if x.r.Context().Err() != nil {
			x.result = result{outcome: "caller-gone", detail: "the caller left"}
			panic(http.ErrAbortHandler)
		}
		now := time.Now()
		if !x.choose(now) {
			x.refuse("no upstream can serve it: " + string(x.choice.Reason))
			return
		}
		if x.sends > 0 {
			if !x.ingress.planner.Spend(x.ask.Service, now) {
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

// choose picks the upstream for the next send.
func (x *exchange) choose(now time.Time) bool {
	choice, u := x.ingress.planner.Choose(&x.ask, now)
	x.choice = choice
	if u == nil {
		return false
	}
	x.chosen = u
	return true
}

// send sends the request to the chosen upstream. It reports whether the request
// has its answer; if not, it may be sent to another.
func (x *exchange) send() (done bool) {
	g, u := x.ingress, x.chosen
	x.ask.Tried[u.ID] = true
	now := time.Now()
	dialer, ok := g.planner.Begin(&x.ask, u, now)
	if !ok {
		return false
	}
	outcome := load.Abandoned
	var waited bool
	defer func() {
		ended := time.Now()
		g.planner.End(&x.ask, &load.Result{
			Upstream: u, Outcome: outcome, Took: ended.Sub(now), Position: x.choice.Standing, Waited: waited,
		}, ended)
	}()
	ctx, cancel := x.lifetime()
	defer cancel()
	conn, err := dialer.Get(ctx, now, !x.ask.Route.Idempotent)
	if err != nil {
		outcome = load.Unreachable
		if x.r.Context().Err() != nil || ctx.Err() != nil {
			outcome = load.Abandoned
		}
		return false
	}
	if !g.planner.Serves(u) {
		// It began to leave while the connection was made.
		dialer.Put(conn, time.Now(), maxIdle)
		return false
	}
	x.sends++
	dialect := platform.NewDialect(u.ID, func(l platform.Load) {
		waited = l.Waiting > 0
		g.planner.Told(u, l.Running, l.Waiting, time.Now())
	})
	answer := newAnswer(x)
	request := x.request()
	d := dispatch.NewExchange(request, dialect, x.ask.Deadline, conn)
	reusable, err := d.Run(ctx, io.NopCloser(bytes.NewReader(x.body)), answer)
	if err == nil && reusable {
		dialer.Put(conn, time.Now(), maxIdle)
	} else {
		_ = conn.Close() // the send's own fault, if any, is what counts
	}
	metrics.GetOrCreateHistogram(`hickorydrum_upstream_seconds{service="` + x.ask.Service + `"}`).UpdateDuration(now)
	outcome, done = x.conclude(err, answer)
	return done
}

// lifetime returns the context of a send. Idempotent work is cancelled when its
// caller leaves; other requests run on, since the end of their connection would say
// nothing about their run.
func (x *exchange) lifetime() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if !x.ask.Route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, x.ask.Deadline)
}

func (x *exchange) request() *dispatch.Request {
	header := x.r.Header.Clone()
	dispatch.StripHop(header)
	length := int64(len(x.body))
	return &dispatch.Request{
		ID: x.id, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: header, Length: length,
	}
}

// conclude decides what follows from a send.
func (x *exchange) conclude(err error, a *answer) (outcome load.Outcome, done bool) {
	if err == nil {
		return x.answered(a)
	}
	if a.started {
		// The caller sees an answer that ends early, never one that looks whole.
		x.result = result{status: a.head.Status, outcome: "cut", detail: err.Error()}
		panic(http.ErrAbortHandler)
	}
	if x.r.Context().Err() != nil {
		x.result = result{outcome: "caller-gone", detail: "the caller left"}
		panic(http.ErrAbortHandler)
	}
	f := fault.From(err)
	switch {
	case f.Kind() == fault.Missing: // the address is another upstream's now
		x.sends--
		return load.Unreachable, false
	case f.Kind() == fault.Overloaded && f.Ran() == fault.RanNo:
		return load.Refused, x.exhausted("the upstream refused it for lack of room", f)
	case f.Ran() == fault.RanNo:
		return load.Unreachable, x.exhausted("the upstream could not be reached", f)
	case x.ask.Route.Idempotent:
		x.doubtful = true
		return load.Failed, x.exhausted("the upstream's answer was lost", f)
	default:
		x.lost(f)
		return load.Failed, true
	}
}

// exhausted ends a request that must not be sent again and reports whether it did.
func (x *exchange) exhausted(detail string, f *fault.Error) bool {
	if x.sends < x.ask.Route.MaxAttempts && time.Until(x.ask.Deadline) > 0 {
		return false
	}
	if f.Ran() == fault.RanNo {
		x.refuse(detail)
	} else {
		x.lost(f)
	}
	return true
}

// lost answers a request that may have run without an answer.
func (x *exchange) lost(f *fault.Error) {
	if f.Kind() == fault.Expired || !time.Now().Before(x.ask.Deadline) {
		x.fail(http.StatusGatewayTimeout, "expired", f.Text())
		return
	}
	x.fail(http.StatusBadGateway, "lost", f.Text())
}

// answered passes a whole answer on, unless it is a failure that another upstream
// may mend.
func (x *exchange) answered(a *answer) (load.Outcome, bool) {
	status := a.head.Status
	if status >= http.StatusInternalServerError && !a.started {
		again := x.ask.Route.Idempotent && status != http.StatusGatewayTimeout && x.sends < x.ask.Route.MaxAttempts
		if again {
			x.doubtful, x.failure = true, a
			return load.Failed, false
		}
		a.finish()
		return load.Failed, true
	}
	a.finish()
	return load.Answered, true
}

// refuse tells the caller that the request was not run, and when to come back.
func (x *exchange) refuse(detail string) {
	switch {
	case x.failure != nil:
		x.failure.finish()
		return
	case x.doubtful:
		x.fail(http.StatusBadGateway, "lost", detail)
		return
	}
	left := time.Until(x.ask.Deadline)
	wait := firstRetryAfter + time.Duration(rand.Int64N(int64(lastRetryAfter-firstRetryAfter)))
	platform.SetRetryAfter(x.w.Header(), min(wait, max(0, left/3)))
	x.fail(http.StatusServiceUnavailable, "refused", detail)
}

// fail answers with a status of this instance's own.
func (x *exchange) fail(status int, outcome, detail string) {
	x.result = result{status: status, outcome: outcome, detail: detail}
	if x.ingress.leaving.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, err := io.WriteString(x.w, detail+"\n")
	if err != nil && !errors.Is(err, http.ErrHandlerTimeout) {
		x.result.detail += " (the caller left)"
	}
}
