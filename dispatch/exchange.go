// Package dispatch sends a request to an upstream over an HTTP/1.1 connection that serves no
// other request meanwhile, and forwards the response. For a failed send, it decides whether
// the upstream may have executed the request.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
	"hickorydrum/response"
)

const (
	copyBufferSize    = 32 << 10
	defaultRetryAfter = 200 * time.Millisecond
	maxRetryAfter     = time.Minute
	maxResponses      = 4       // responses read for one request, stale ones included
	maxStaleBytes     = 1 << 20 // bytes of the body of a stale response
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

var buffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

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

// trackedBody is a request body that keeps the error of a failed read, io.EOF included.
type trackedBody struct {
	io.Reader
	err error
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// send writes the head and the body of the request.
func (x *Exchange) send(body io.Reader) error {
	w := x.conn.w
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.request.Method, x.request.Target, x.request.Host)
	header := x.request.Header.Clone()
	x.dialect.Prepare(header, x.request, x.deadline)
	header.Del("Content-Length")
	switch {
	case x.request.Length > 0:
		header.Set("Content-Length", strconv.FormatInt(x.request.Length, 10))
	case x.request.Length < 0:
		header.Set("Transfer-Encoding", "chunked")
	case x.request.Method != http.MethodGet && x.request.Method != http.MethodHead:
		header.Set("Content-Length", "0")
	}
	if err := header.Write(w); err != nil {
		return err
	}
	if _, err := io.WriteString(w, "\r\n"); err != nil {
		return err
	}
	if err := x.sendBody(body); err != nil {
		return err
	}
	x.bodyRead.Store(true)
	return w.Flush()
}

// sendBody writes the body, in chunks if its length is unknown.
func (x *Exchange) sendBody(body io.Reader) error {
	w := x.conn.w
	if x.request.Length == 0 {
		return nil
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if x.request.Length > 0 {
		_, err := io.CopyN(w, body, x.request.Length)
		return err
	}
	chunks := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// receive reads the next response up to its body, without the headers that concern the connection only.
func (x *Exchange) receive() (*http.Response, error) {
	x.conn.setReadLimit(response.MaxHeadBytes)
	defer x.conn.clearReadLimit()
	resp, err := response.Read(x.conn.r, x.request.Method)
	if err != nil {
		return nil, err
	}
	x.usableUntil = keepAliveUntil(resp.Header, time.Now())
	StripHop(resp.Header)
	return resp, nil
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

// receiveResponse receives the response and forwards it to the sink. It discards stale
// responses before it.
func (x *Exchange) receiveResponse(ctx context.Context, sink Sink) (reusable bool, bad *failure) {
	for range maxResponses {
		resp, err := x.receive()
		if err != nil {
			return false, x.receiveFailure(ctx, err)
		}
		if class := x.dialect.ClassifyResponse(x.request, resp); class != Stale {
			return x.forward(class, resp, sink)
		}
		if err := x.discard(resp); err != nil {
			return false, x.receiveFailure(ctx, err)
		}
	}
	return false, &failure{kind: fault.Corrupt, text: "the upstream answered other requests"}
}

// discard reads the body of a stale response, so that the next response can be read. It fails
// if the body has no known length or is longer than maxStaleBytes.
func (x *Exchange) discard(resp *http.Response) error {
	if resp.ContentLength < 0 || resp.ContentLength > maxStaleBytes {
		return errors.New("an answer to another request has no known end")
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

// stopSending closes the connection, and also the request body if it has not been read to its
// end, so that a send returns that is blocked on writing to the one or reading from the other.
func (x *Exchange) stopSending(body io.Closer) {
	_ = x.conn.Close()
	if !x.bodyRead.Load() && x.request.Length != 0 {
		_ = body.Close()
	}
}

// receiveFailure returns the failure of an exchange that got no response because of err.
func (x *Exchange) receiveFailure(ctx context.Context, err error) *failure {
	if time.Until(x.deadline) <= 0 || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &failure{kind: fault.Expired, text: "the upstream did not answer in time", cause: err}
	}
	text := "the connection to the upstream ended without an answer"
	if errors.Is(err, response.ErrInvalid) {
		text = "the upstream's answer is not valid"
	}
	return &failure{kind: fault.Corrupt, text: text, cause: err}
}

// forward forwards a response of the given class to the sink, if it is Accepted. It reports
// whether the connection can be reused. It does not close the body of the response: that would read it to its
// end, which may never come.
func (x *Exchange) forward(class ResponseClass, resp *http.Response, sink Sink) (bool, *failure) {
	switch class {
	case Accepted:
	case Refused:
		x.progress.MarkRefused()
		return false, overloaded(resp)
	case Misdirected:
		x.progress.MarkRefused()
		return false, &failure{kind: fault.Missing, text: "another upstream has the address"}
	default:
		return false, &failure{kind: fault.Corrupt, text: "the upstream's answer does not belong to the request"}
	}
	if err := sink.Head(Head{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}); err != nil {
		return false, &failure{kind: fault.Corrupt, text: "the caller is gone", cause: err}
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	body := &spliceGuard{sink: sink}
	if _, err := io.CopyBuffer(body, struct{ io.Reader }{resp.Body}, *buf); err != nil {
		return false, &failure{kind: fault.Corrupt, text: "the answer was cut short", cause: err}
	}
	if body.suspect && resp.ContentLength > 0 && x.continues() {
		return false, &failure{kind: fault.Corrupt, text: "another answer was written into the answer"}
	}
	if err := body.flush(); err != nil {
		return false, &failure{kind: fault.Corrupt, text: "the answer was cut short", cause: err}
	}
	x.accepted = resp
	x.conn.lastResponse, x.conn.usableUntil = time.Now(), x.usableUntil
	return !resp.Close, nil
}

// checkEnd returns the failure of a response that was forwarded and whose end turns out not to be one. It is
// called once the request is no longer sent.
func (x *Exchange) checkEnd() *failure {
	if err := response.CheckEnd(x.accepted, x.conn.writeErr); err != nil {
		return &failure{kind: fault.Corrupt, text: "the answer was cut short", cause: err}
	}
	return nil
}

// keepAliveUntil returns the time until which an idle connection may be reused, by the
// timeout in the response's Keep-Alive header, or the zero time if there is none.
func keepAliveUntil(h http.Header, now time.Time) time.Time {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(textproto.TrimString(field), "timeout=")
		if seconds, err := strconv.Atoi(text); ok && err == nil && seconds >= 0 {
			return now.Add(min(maxIdleTime, time.Duration(seconds)*time.Second) - keepAliveMargin)
		}
	}
	return time.Time{}
}

// overloaded returns the failure of a refused request. It may be retried after the time in the
// response's Retry-After header, at most maxRetryAfter, or else after defaultRetryAfter.
func overloaded(resp *http.Response) *failure {
	wait := defaultRetryAfter
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds >= 0 {
		wait = min(time.Duration(seconds)*time.Second, maxRetryAfter)
	}
	return &failure{
		kind: fault.Overloaded, text: "the upstream sheds load",
		opts: []fault.Option{fault.WithRetryAt(time.Now().Add(wait))},
	}
}
