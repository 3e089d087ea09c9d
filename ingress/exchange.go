package ingress

import (
	"bytes"
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
	"hickorydrum/platform"
	"hickorydrum/route"
)

const (
	// defaultWait is how long a request without a deadline may take.
	defaultWait = 30 * time.Second
	// firstRetryAfter and lastRetryAfter bound when refused callers come back.
	firstRetryAfter = 40 * time.Millisecond
	lastRetryAfter  = 250 * time.Millisecond
	// answerGuess is the expected size of an answer in bytes.
	answerGuess = 1 << 10
	headGuess   = 512
	// maxDrained is how much of a refused body is read.
	maxDrained = 2 << 20
	// maxIdle is how many idle connections to one upstream are kept.
	maxIdle = 32
	// maxTries bounds the upstreams that are tried, with those that cannot be reached.
	maxTries = 6
)

// exchange is one request of a caller.
type exchange struct {
	ingress *Ingress
	w       http.ResponseWriter
	r       *http.Request

	id       string
	arrived  time.Time
	deadline time.Time
	table    *route.Table
	view     *fleet.View
	route    *route.Route
	service  string
	object   uint64
	sticky   bool
	body     []byte

	tried map[string]bool
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
		table: g.table.Load(), view: g.view.Load(),
	}
}

// serve answers the request.
func (x *exchange) serve() {
	if x.table == nil || x.view == nil {
		x.deadline = x.arrived.Add(time.Second)
		x.refuse("no configuration is known yet")
		return
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = x.r.URL.Path
	}
	match, ok := x.table.Match(x.r.Host, path)
	if !ok {
		x.fail(http.StatusNotFound, "no-route", "no route has the host and path")
		return
	}
	x.route = match
	x.deadline = x.limit()
	if !x.readBody() {
		return
	}
	x.object, x.sticky = x.findObject()
	x.service = x.ingress.splitter.Choose(match, x.object, x.arrived)
	x.ingress.count(x.service, x.arrived)
	x.ingress.shares.arrived(x.service, match.Class(), int64(len(x.body)))
	x.attempt()
}

// limit returns the instant by which the request needs its answer.
func (x *exchange) limit() time.Time {
	limit := x.arrived.Add(defaultWait)
	if x.route.Timeout > 0 {
		limit = x.arrived.Add(x.route.Timeout)
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
	if key == "" || !x.route.Sticky {
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
	most := x.table.Limits().BodyBytes
	if most > 0 && x.r.ContentLength > most {
		x.tooLarge()
		return false
	}
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(x.deadline) // a connection without deadlines reads until the caller closes it
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	var buf bytes.Buffer
	if x.r.ContentLength > 0 {
		buf.Grow(int(x.r.ContentLength))
	}
	body := io.Reader(x.r.Body)
	if most > 0 {
		body = io.LimitReader(body, most+1)
	}
	if _, err := buf.ReadFrom(body); err != nil {
		x.result = result{outcome: "caller-gone", detail: "the body was cut short"}
		panic(http.ErrAbortHandler)
	}
	if most > 0 && int64(buf.Len()) > most {
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
	x.tried = make(map[string]bool)
	for range maxTries {
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
			if !x.ingress.spend(x.service, now) {
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
	g := x.ingress
	request := load.Request{
		Service: x.service, Object: x.object, Sticky: x.sticky, Tried: x.tried,
		Cold:   func(u *fleet.Upstream) load.ColdShare { return g.coldShare(x.table, u) },
		Allows: func(u *fleet.Upstream) bool { return x.route.Allows(u.Region()) },
	}
	options, upstreams := g.board.Options(&request, x.view.Service(x.service), now)
	warm, cold := g.board.Times(x.service, x.route.Class())
	x.choice = placement.Choose(placement.Demand{
		Bytes: int64(len(x.body)) + answerGuess + headGuess, Left: x.deadline.Sub(now),
		Objective: x.route.Objective, WarmTime: warm, ColdTime: cold, Sticky: x.sticky,
		Chances: g.board.Chances(x.service),
		Region:  g.shares.region(x.service, x.object, x.route), Near: g.shares.near(x.service, x.object),
	}, options, g.costs)
	if x.choice.Index < 0 {
		return false
	}
	x.chosen = upstreams[x.choice.Index]
	return true
}

// send sends the request to the chosen upstream. It reports whether the request
// has its answer; if not, it may be sent to another.
func (x *exchange) send() (done bool) {
	g, u := x.ingress, x.chosen
	x.tried[u.ID] = true
	now := time.Now()
	dialer, ok := g.board.Begin(u, g.coldShare(x.table, u), now)
	if !ok {
		return false
	}
	outcome := load.Abandoned
	var waited bool
	defer func() {
		g.board.End(&load.Result{
			Upstream: u, Class: x.route.Class(), Object: x.object, Sticky: x.sticky, Outcome: outcome, Took: time.Since(now), Standing: x.choice.Standing,
			Waited: waited, ColdTime: x.table.Service(x.service).ColdTime,
		}, time.Now())
	}()
	ctx, cancel := x.lifetime()
	defer cancel()
	conn, err := dialer.Get(ctx, now, !x.route.Idempotent)
	if err != nil {
		outcome = load.Unreachable
		if x.r.Context().Err() != nil || ctx.Err() != nil {
			outcome = load.Abandoned
		}
		return false
	}
	x.sends++
	dialect := platform.NewDialect(u.ID, func(l platform.Load) {
		waited = l.Waiting > 0
		g.board.Told(u.ID, l.Running, l.Waiting, time.Now())
	})
	answer := newAnswer(x)
	request := x.request()
	d := dispatch.NewExchange(request, dialect, x.deadline, conn)
	reusable, err := d.Run(ctx, io.NopCloser(bytes.NewReader(x.body)), answer)
	if err == nil && reusable {
		dialer.Put(conn, time.Now(), maxIdle)
	} else {
		_ = conn.Close() // the send's own fault, if any, is what counts
	}
	metrics.GetOrCreateHistogram(`hickorydrum_upstream_seconds{service="` + x.service + `"}`).UpdateDuration(now)
	outcome, done = x.conclude(err, answer)
	return done
}

// lifetime returns the context of a send. Idempotent work is cancelled when its
// caller leaves; other requests run on, since the end of their connection would say
// nothing about their run.
func (x *exchange) lifetime() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if !x.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, x.deadline)
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
	case x.route.Idempotent:
		x.doubtful = true
		return load.Failed, x.exhausted("the upstream's answer was lost", f)
	default:
		x.lost(f)
		return load.Failed, true
	}
}

// exhausted ends a request that must not be sent again and reports whether it did.
func (x *exchange) exhausted(detail string, f *fault.Error) bool {
	if x.sends < x.route.MaxAttempts && time.Until(x.deadline) > 0 {
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
	if f.Kind() == fault.Expired || !time.Now().Before(x.deadline) {
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
		again := x.route.Idempotent && status != http.StatusGatewayTimeout && x.sends < x.route.MaxAttempts
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
	left := time.Until(x.deadline)
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
