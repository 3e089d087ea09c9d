// Package dispatch sends a request to an upstream over an HTTP/1.1 connection that serves no
// other request meanwhile, and forwards the response. For a failed send, it decides whether
// the upstream may have executed the request.
package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
)

var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHop removes the hop-by-hop headers, including those that the Connection header names.
func StripHop(h http.Header) {
	for _, field := range h.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// Request is a request to an upstream, without its body.
type Request struct {
	ID     string
	Method string
	Target string // path and query
	Host   string
	// Header holds the end-to-end headers. An exchange doesn't modify it.
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// Reused states that the request is sent on a connection that carried others before. What is
	// received on it may belong to one of those.
	Reused bool
}

// Head is the status and the header of a response.
type Head struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
}

// Sink receives a response: one call of Head, then the body through Write.
type Sink interface {
	Head(h Head) error
	io.Writer
}

// ResponseClass states what a response, by its head, means for the request that was sent.
type ResponseClass int

// The classes of responses.
const (
	Accepted    ResponseClass = iota // the response to the request
	Refused                          // the upstream did not execute the request because it is overloaded
	Misdirected                      // another upstream has the address now; it did not execute the request
	Stale                            // the response to an earlier request; the one to this request follows
	Invalid                          // not a valid response to the request
)

// Dialect is what a protocol with upstreams adds to HTTP.
type Dialect interface {
	// Prepare sets the protocol's headers of a request that must be answered by the deadline.
	Prepare(h http.Header, r *Request, deadline time.Time)
	// ClassifyResponse returns the class of a response to the request, by the response's head.
	// It is called once for each response.
	ClassifyResponse(r *Request, resp *http.Response) ResponseClass
}

// Exchange sends one request on a connection and receives its response.
type Exchange struct {
	request  *Request
	dialect  Dialect
	deadline time.Time
	progress fault.Progress
	conn     *Conn
	bodyRead atomic.Bool    // the request body has been read to its end
	accepted *http.Response // the response that was forwarded
	// usableUntil is until when the connection may be reused after the response that was read last.
	usableUntil time.Time
}

// NewExchange returns the exchange of a request on a connection. Until Run returns, nothing
// else may use the connection.
func NewExchange(r *Request, d Dialect, deadline time.Time, c *Conn) *Exchange {
	return &Exchange{request: r, dialect: d, deadline: deadline, conn: c}
}

// newError returns a fault that states, by the progress of the exchange, whether the upstream
// executed the request.
func (x *Exchange) newError(kind fault.Kind, text string, cause error, opts ...fault.Option) *fault.Error {
	remedy := "retry only if the request is idempotent"
	if x.progress.Execution() == fault.NotExecuted {
		remedy = "retry later"
	}
	return fault.New(kind, text, remedy, append(opts, fault.WithExecution(x.progress.Execution()), fault.WithCause(cause))...)
}

// Run sends the request, checks the response and forwards it to the sink. It reports whether
// the connection can be reused. An error is a *fault.Error that states whether the upstream
// executed the request. When ctx is done before Run returns, the connection is closed and cannot
// be reused.
func (x *Exchange) Run(ctx context.Context, body io.ReadCloser, sink Sink) (reusable bool, err error) {
	x.conn.progress = &x.progress
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer func() {
		if !stop() {
			reusable = false // ctx is done, and the connection is closed or about to be
		}
	}()
	if err := x.conn.SetDeadline(x.deadline); err != nil {
		return false, x.newError(fault.Unavailable, "the connection to the upstream was lost", err)
	}
	var group errgroup.Group
	send := func() error {
		tracked := &trackedBody{Reader: body}
		err := x.send(tracked)
		if err != nil && tracked.err != nil {
			_ = x.conn.Close() // the rest of the body cannot be sent
		}
		return err
	}
	if x.request.Length != 0 {
		group.Go(send)
	} else if err := send(); err != nil {
		_ = x.conn.Close()
		return false, x.newError(fault.Corrupt, "the request could not be sent", err)
	}
	reusable, bad := x.receiveResponse(ctx, sink)
	if !reusable || bad != nil || !x.bodyRead.Load() {
		reusable = false
		x.stopSending(body)
	}
	sendErr := group.Wait()
	if bad == nil {
		bad = x.checkEnd()
	}
	if bad == nil {
		x.progress.MarkAnswered()
		return reusable && sendErr == nil, nil
	}
	if sendErr != nil && fault.KindOf(sendErr) != "" {
		bad.cause = sendErr // reading the body failed with a fault of its own
	}
	// Whether the request was executed is decided after the send has ended: until then, more bytes
	// may reach the upstream.
	return false, x.newError(bad.kind, bad.text, bad.cause, bad.opts...)
}

// failure holds the parts of a fault before it is decided whether the request was executed.
type failure struct {
	kind  fault.Kind
	text  string
	cause error
	opts  []fault.Option
}

// stopSending closes the connection, and also the request body if it has not been read to its
// end, so that a send returns that is blocked on writing to the one or reading from the other.
func (x *Exchange) stopSending(body io.Closer) {
	_ = x.conn.Close()
	if !x.bodyRead.Load() && x.request.Length != 0 {
		_ = body.Close()
	}
}
