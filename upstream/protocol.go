// Package upstream queues requests and sends them to the upstreams that operators declare,
// over the project's own protocol with upstreams.
package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"hickorydrum/dispatch"
	"hickorydrum/fault"
	"hickorydrum/limit"
	"hickorydrum/response"
)

// Headers of the protocol with callers and upstreams.
const (
	HeaderRequestID = "Request-Id"
	HeaderTimeout   = "Request-Timeout" // remaining milliseconds
	HeaderRan       = "Ran"             // "no" in a refusal: the upstream did not execute the request
	HeaderBusy      = "Busy"            // requests in flight at the upstream
	HeaderLimit     = "Limit"           // requests a second that the upstream takes from all instances together
	HeaderLeaving   = "Leaving"         // "1" in any response: the upstream leaves
)

// Request is a request to an upstream of a service, without its body.
type Request struct {
	dispatch.Request
	Service string
	// Region is the region whose upstreams may serve the request.
	Region     string
	Idempotent bool
	Caller     string
	Deadline   time.Time
	// Tried holds the addresses of upstreams that must not be chosen again. Serve adds to it.
	Tried map[string]bool
}

// dialect is the dispatch.Dialect of the project's own protocol with upstreams. It passes what
// upstreams say of themselves to the reporter.
type dialect struct{ reporter reporter }

// reporter receives what an upstream says of itself in its responses.
type reporter interface {
	// reportLoad is called with each number of requests in flight that the upstream reports.
	reportLoad(busy int)
	// reportLimit is called with what each response says of the upstream's limit.
	reportLimit(r limit.Response)
	// reportLeaving is called for each response that says that the upstream leaves.
	reportLeaving()
	// reportPause is called with each time for which the upstream wants no requests from this
	// instance.
	reportPause(wait time.Duration)
}

// Prepare sets the id of the request and the time left until the deadline.
func (d *dialect) Prepare(h http.Header, r *dispatch.Request, deadline time.Time) {
	h.Set(HeaderRequestID, r.ID)
	h.Set(HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
}

// ClassifyResponse returns the class of a response, by its request id, status and Ran header.
func (d *dialect) ClassifyResponse(r *dispatch.Request, resp *http.Response) dispatch.ResponseClass {
	if strings.TrimSpace(resp.Header.Get(HeaderLeaving)) == "1" {
		d.reporter.reportLeaving()
	}
	id, oneID := response.Single(resp.Header, HeaderRequestID)
	if !oneID || id != "" && id != r.ID {
		return dispatch.Invalid
	}
	if busy, err := strconv.Atoi(strings.TrimSpace(resp.Header.Get(HeaderBusy))); err == nil && busy >= 0 {
		d.reporter.reportLoad(busy)
	}
	shed := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	ran, oneRan := response.Single(resp.Header, HeaderRan)
	refused := shed && oneRan && ran == string(fault.NotExecuted)
	if perSecond, named, err := limit.Parse(resp.Header.Values(HeaderLimit)); err == nil {
		d.reporter.reportLimit(limit.Response{Named: named, PerSecond: perSecond, Executed: !refused})
	}
	if refused && r.Reused && id != r.ID {
		return dispatch.Invalid // it may be the refusal of an earlier request once more
	}
	if wait, named, _ := dispatch.ParseRetryAfter(resp.Header, time.Now()); shed && named {
		d.reporter.reportPause(wait)
	}
	if refused {
		return dispatch.Refused
	}
	return dispatch.Accepted
}

// notExecuted returns a fault which states that the request was not executed.
func notExecuted(kind fault.Kind, text, remedy string, opts ...fault.Option) *fault.Error {
	return fault.New(kind, text, remedy, append(opts, fault.WithExecution(fault.NotExecuted))...)
}
