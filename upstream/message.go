// Package upstream has the requests of the project's own interface served by the
// upstreams that operators declare.
package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"hickorydrum/dispatch"
	"hickorydrum/fault"
)

// Headers of the protocol with callers and upstreams.
const (
	HeaderRequestID = "Request-Id"
	HeaderTimeout   = "Request-Timeout" // remaining milliseconds
	HeaderRan       = "Ran"             // "no" in a refusal states that nothing was run
	HeaderBusy      = "Busy"            // requests that the upstream has at the moment
)

// Ask is one request on its way to an upstream, without its body.
type Ask struct {
	dispatch.Request
	Service string
	// Region is the one whose upstreams may serve the request.
	Region     string
	Idempotent bool
	Caller     string
	Deadline   time.Time
	// Tried holds the addresses of upstreams that must not be chosen again.
	Tried map[string]bool
}

// dialect is the project's own protocol with upstreams.
type dialect struct {
	tell func(busy int)
}

// Prepare names the request and the time left.
func (d *dialect) Prepare(h http.Header, r *dispatch.Request, deadline time.Time) {
	h.Set(HeaderRequestID, r.ID)
	h.Set(HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
}

// Judge finds crossed answers and refusals.
func (d *dialect) Judge(r *dispatch.Request, resp *http.Response) dispatch.Verdict {
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != r.ID {
		return dispatch.Unsound
	}
	if busy, err := strconv.Atoi(strings.TrimSpace(resp.Header.Get(HeaderBusy))); err == nil && busy >= 0 {
		d.tell(busy)
	}
	shed := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if shed && resp.Header.Get(HeaderRan) == string(fault.NotExecuted) {
		return dispatch.Refused
	}
	return dispatch.Accepted
}

func notRun(kind fault.Kind, text, remedy string, opts ...fault.Option) *fault.Error {
	return fault.New(kind, text, remedy, append(opts, fault.WithExecution(fault.NotExecuted))...)
}
