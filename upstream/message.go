// Package upstream brings a request to an upstream: it admits requests to the
// slots that this instance owns, dispatches them, and streams the answers back.
package upstream

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"hickorydrum/dispatch"
	"hickorydrum/fault"
)

// Headers of the protocol with callers and upstreams.
const (
	HeaderRequestID = "Request-Id"
	HeaderTimeout   = "Request-Timeout" // remaining milliseconds
	HeaderRan       = "Ran"             // "no" in a refusal states that nothing was run
)

// Ask is one request on its way to an upstream. It travels without its body.
type Ask struct {
	ID      string      `cbor:"1,keyasint"`
	Service string      `cbor:"2,keyasint"`
	Method  string      `cbor:"3,keyasint"`
	Target  string      `cbor:"4,keyasint"` // path and query
	Host    string      `cbor:"5,keyasint"`
	Header  http.Header `cbor:"6,keyasint"`
	// Length is the length of the body in bytes, -1 when it is not known.
	Length int64 `cbor:"7,keyasint"`
	// Remaining is the time left in milliseconds: the clocks of two instances
	// differ, so that an instant would not do.
	Remaining  int64  `cbor:"8,keyasint"`
	Idempotent bool   `cbor:"9,keyasint"`
	Caller     string `cbor:"10,keyasint"`
}

// Deadline returns the instant at which the time of the request is over.
func (a *Ask) Deadline(now time.Time) time.Time {
	return now.Add(time.Duration(a.Remaining) * time.Millisecond)
}

// Room is how much an instance may still take for a service.
type Room struct {
	Slots int `cbor:"1,keyasint"`
	Free  int `cbor:"2,keyasint"`
}

// Head is the beginning of an answer.
type Head struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	// Length is the length of the body in bytes, -1 when it is not known.
	Length int64 `cbor:"3,keyasint"`
	Room   Room  `cbor:"4,keyasint"`
}

// Sink receives an answer: the head, then the body.
type Sink interface {
	Head(h Head) error
	io.Writer
}

// OpenBody returns the body of an admitted request. It is called at most once,
// and not at all when the request is refused.
// Closing the body ends a read that waits.
type OpenBody func() (io.ReadCloser, error)

func notRun(kind fault.Kind, text, remedy string, opts ...fault.Option) *fault.Error {
	return fault.New(kind, text, remedy, append(opts, fault.WithRan(fault.RanNo))...)
}

// request returns the ask as it is sent to an upstream.
func (a *Ask) request() *dispatch.Request {
	return &dispatch.Request{
		ID: a.ID, Method: a.Method, Target: a.Target, Host: a.Host, Header: a.Header.Clone(), Length: a.Length,
	}
}

// headSink passes an answer from a dispatch on to a sink of this package.
type headSink struct{ Sink }

// Head passes the head on.
func (s headSink) Head(h dispatch.Head) error {
	return s.Sink.Head(Head{Status: h.Status, Header: h.Header, Length: h.Length})
}

// dialect is the project's own protocol with upstreams.
type dialect struct{}

// Prepare names the request and the time left.
func (dialect) Prepare(h http.Header, r *dispatch.Request, deadline time.Time) {
	h.Set(HeaderRequestID, r.ID)
	h.Set(HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
}

// Judge finds crossed answers and refusals.
func (dialect) Judge(r *dispatch.Request, resp *http.Response) dispatch.Verdict {
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != r.ID {
		return dispatch.Unsound
	}
	shed := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if shed && resp.Header.Get(HeaderRan) == string(fault.RanNo) {
		return dispatch.Refused
	}
	return dispatch.Accepted
}
