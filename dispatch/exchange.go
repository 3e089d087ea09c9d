// Package dispatch sends one request to one upstream over a connection of its own
// and passes the answer on. It alone decides what a failed send proves about the
// run of its request.
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
)

const (
	copyBuffer    = 32 << 10
	maxHead       = 64 << 10 // bytes of the head of an answer, with informational ones before it
	defaultShed   = 200 * time.Millisecond
	maxInterim    = 8 // informational answers before the final one
	retryAfterMax = time.Minute
	maxExtra      = 4 // answers to other requests before the one that is due
	maxExtraBytes = 1 << 20
)

var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHop removes the headers that belong to one connection only.
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
	b := make([]byte, copyBuffer)
	return &b
}}

// Request is one request on its way to an upstream, without its body.
type Request struct {
	ID     string
	Method string
	Target string // path and query
	Host   string
	// Header holds the end-to-end headers. It is not changed.
	Header http.Header
	// Length is the length of the body in bytes, -1 when it is not known.
	Length int64
}

// Head is the beginning of an answer.
type Head struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 when it is not known.
	Length int64
}

// Sink receives an answer: the head, then the body.
type Sink interface {
	Head(h Head) error
	io.Writer
}

// Verdict is what the head of an answer says of its request.
type Verdict int

// The verdicts.
const (
	Accepted    Verdict = iota // the answer to the request
	Refused                    // the upstream did not run the request, and has no room
	Misdirected                // the address belongs to another upstream, which did not run the request
	Extra                      // a late answer to another request, before that to this one
	Unsound                    // not an answer to the request
)

// Dialect is the protocol with upstreams beyond HTTP.
type Dialect interface {
	// Prepare sets the headers that the protocol adds to a request with a deadline.
	Prepare(h http.Header, r *Request, deadline time.Time)
	// Judge reads what the head of an answer says of the request.
	Judge(r *Request, resp *http.Response) Verdict
}

// Exchange is one request on one connection.
type Exchange struct {
	request  *Request
	dialect  Dialect
	deadline time.Time
	progress fault.Progress
	conn     *Conn
	bodyRead atomic.Bool // nothing more is wanted of the body
}

// NewExchange returns the exchange of a request on a connection.
func NewExchange(r *Request, d Dialect, deadline time.Time, c *Conn) *Exchange {
	return &Exchange{request: r, dialect: d, deadline: deadline, conn: c}
}

// failed returns the fault of the exchange, with the outcome that its progress
// proves.
func (x *Exchange) failed(kind fault.Kind, text string, cause error, opts ...fault.Option) *fault.Error {
	remedy := "retry only if the request is idempotent"
	if x.progress.Execution() == fault.NotExecuted {
		remedy = "retry later"
	}
	return fault.New(kind, text, remedy, append(opts, fault.WithExecution(x.progress.Execution()), fault.WithCause(cause))...)
}

// trackedBody remembers that reading the body failed.
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

// send writes the request's head and body.
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

// receive reads the head of the final answer.
func (x *Exchange) receive() (*http.Response, error) {
	req := &http.Request{Method: x.request.Method}
	x.conn.limit(maxHead)
	defer x.conn.unlimit()
	for range maxInterim {
		resp, err := http.ReadResponse(x.conn.r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.New("too many informational answers")
}

// Run sends the request, checks the answer and passes it to the sink. It
// reports whether the connection may serve another request. A fault states
// whether the request was run.
func (x *Exchange) Run(ctx context.Context, body io.ReadCloser, sink Sink) (reusable bool, err error) {
	x.conn.progress = &x.progress
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer stop()
	if err := x.conn.SetDeadline(x.deadline); err != nil {
		return false, x.failed(fault.Unavailable, "the connection to the upstream was lost", err)
	}
	var group errgroup.Group
	send := func() error {
		tracked := &trackedBody{Reader: body}
		err := x.send(tracked)
		if err != nil && tracked.err != nil {
			_ = x.conn.Close() // the rest of the body will never come
		}
		return err
	}
	if x.request.Length != 0 {
		group.Go(send)
	} else if err := send(); err != nil {
		_ = x.conn.Close()
		return false, x.failed(fault.Corrupt, "the request could not be sent", err)
	}
	reusable, bad := x.finish(ctx, sink)
	if !reusable || bad != nil || !x.bodyRead.Load() {
		reusable = false
		x.stopSending(body)
	}
	sendErr := group.Wait()
	if bad == nil {
		return reusable && sendErr == nil, nil
	}
	if sendErr != nil && fault.KindOf(sendErr) != "" {
		bad.cause = sendErr // the body broke on its way here
	}
	// The outcome is known only now that nothing more can be sent.
	return false, x.failed(bad.kind, bad.text, bad.cause, bad.opts...)
}

// failure is what went wrong with an exchange, before its outcome is known.
type failure struct {
	kind  fault.Kind
	text  string
	cause error
	opts  []fault.Option
}

// finish receives the answer and passes it on. Extra answers before it are dropped.
func (x *Exchange) finish(ctx context.Context, sink Sink) (reusable bool, bad *failure) {
	for range maxExtra {
		resp, err := x.receive()
		if err != nil {
			return false, x.lost(ctx, err)
		}
		if x.dialect.Judge(x.request, resp) != Extra {
			return x.answer(resp, sink)
		}
		if err := x.skip(resp); err != nil {
			return false, x.lost(ctx, err)
		}
	}
	return false, &failure{kind: fault.Corrupt, text: "the upstream answered other requests"}
}

// skip reads an extra answer, so that the one behind it can be read.
func (x *Exchange) skip(resp *http.Response) error {
	if resp.ContentLength < 0 || resp.ContentLength > maxExtraBytes {
		return errors.New("an answer to another request has no known end")
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

// stopSending ends a send that may wait for the caller or for the upstream.
func (x *Exchange) stopSending(body io.Closer) {
	_ = x.conn.Close()
	if !x.bodyRead.Load() && x.request.Length != 0 {
		_ = body.Close()
	}
}

func (x *Exchange) lost(ctx context.Context, err error) *failure {
	if time.Until(x.deadline) <= 0 || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &failure{kind: fault.Expired, text: "the upstream did not answer in time", cause: err}
	}
	return &failure{kind: fault.Corrupt, text: "the connection to the upstream ended without an answer", cause: err}
}

// answer checks that the answer belongs to the request and passes it on whole.
func (x *Exchange) answer(resp *http.Response, sink Sink) (bool, *failure) {
	defer func() { _ = resp.Body.Close() }()
	switch x.dialect.Judge(x.request, resp) {
	case Accepted:
	case Refused:
		x.progress.MarkRefused()
		return false, shed(resp)
	case Misdirected:
		x.progress.MarkRefused()
		return false, &failure{kind: fault.Missing, text: "another upstream has the address"}
	default:
		return false, &failure{kind: fault.Corrupt, text: "the upstream's answer does not belong to the request"}
	}
	header := resp.Header
	keepTill := keptTill(header, time.Now())
	StripHop(header)
	if err := sink.Head(Head{Status: resp.StatusCode, Header: header, Length: resp.ContentLength}); err != nil {
		return false, &failure{kind: fault.Corrupt, text: "the caller is gone", cause: err}
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	if _, err := io.CopyBuffer(sink, struct{ io.Reader }{resp.Body}, *buf); err != nil {
		return false, &failure{kind: fault.Corrupt, text: "the answer was cut short", cause: err}
	}
	x.progress.MarkAnswered()
	x.conn.keepTill = keepTill
	return !resp.Close, nil
}

// keptTill returns until when the upstream keeps the connection open, as its
// answer says, or the zero instant.
func keptTill(h http.Header, now time.Time) time.Time {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(textproto.TrimString(field), "timeout=")
		if seconds, err := strconv.Atoi(text); ok && err == nil && seconds >= 0 {
			return now.Add(min(idleKeep, time.Duration(seconds)*time.Second) - idleMargin)
		}
	}
	return time.Time{}
}

func shed(resp *http.Response) *failure {
	wait := defaultShed
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds >= 0 {
		wait = min(time.Duration(seconds)*time.Second, retryAfterMax)
	}
	return &failure{
		kind: fault.Overloaded, text: "the upstream sheds load",
		opts: []fault.Option{fault.WithRetryAt(time.Now().Add(wait))},
	}
}
