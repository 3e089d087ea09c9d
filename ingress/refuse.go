package ingress

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"hickorydrum/fault"
	"hickorydrum/placement"
	"hickorydrum/platform"
	"hickorydrum/withdrawal"
)

const (
	// minRetryAfter and maxRetryAfter bound the random Retry-After time, before the cap by the deadline.
	// minRetryAfter is also the shortest wait for a limit.
	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = 250 * time.Millisecond
	// roomTime is the time in which bodies that hold room are expected to end, up to twice as long at random.
	roomTime = 500 * time.Millisecond
)

// refuseLate refuses a request that may take longer than the rest of a planned stop, before it is
// sent to an upstream or sent again. It reports whether it did.
func (x *exchange) refuseLate() bool {
	if !x.ingress.leavesTooSoonFor(x.planReq.Deadline) {
		return false
	}
	x.choice = placement.Choice{Reason: placement.ReasonStopping}
	x.refuse("the instance stops before the request's deadline")
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

// retryAfter returns how long the caller of a refused request should wait: not at all during a planned stop
// that is too short for it, until this instance has room if limits of upstreams refused it, until upstreams
// want requests again and a random time if all asked for a pause, otherwise a random time of at most a
// third of the time left, which is longer if there was no room for the body.
func (x *exchange) retryAfter(now time.Time) time.Duration {
	if x.ingress.leavesTooSoonFor(x.planReq.Deadline) {
		return 0 // another instance has the time for it
	}
	if x.choice.Reason == placement.ReasonLimited {
		if at, ok := x.ingress.planner.RetryAt(&x.planReq, now); ok {
			return max(minRetryAfter, at.Sub(now))
		}
	}
	if pause, ok := x.ingress.planner.PauseLeft(&x.planReq); ok && x.choice.Reason != placement.ReasonMemory {
		return withdrawal.ReturnAfter(pause)
	}
	wait := minRetryAfter + time.Duration(rand.Int64N(int64(maxRetryAfter-minRetryAfter)))
	if x.choice.Reason == placement.ReasonMemory {
		wait = roomTime + time.Duration(rand.Int64N(int64(roomTime)))
	}
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
