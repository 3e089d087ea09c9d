package upstream

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
	defaultShed   = 200 * time.Millisecond
	maxInterim    = 8 // informational answers before the final one
	retryAfterMax = time.Minute
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

// exchange is one request on one connection.
type exchange struct {
	ask      *Ask
	deadline time.Time
	progress fault.Progress
	conn     *conn
	bodyRead atomic.Bool // nothing more is wanted of the body
}

// failed returns the fault of the exchange, with the outcome that its progress
// proves.
func (x *exchange) failed(kind fault.Kind, text string, cause error, opts ...fault.Option) *fault.Error {
	remedy := "retry only if the request is idempotent"
	if x.progress.Ran() == fault.RanNo {
		remedy = "retry later"
	}
	return fault.New(kind, text, remedy, append(opts, fault.WithRan(x.progress.Ran()), fault.WithCause(cause))...)
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
func (x *exchange) send(body io.Reader) error {
	w := x.conn.w
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.ask.Method, x.ask.Target, x.ask.Host)
	header := x.ask.Header.Clone()
	header.Set(HeaderRequestID, x.ask.ID)
	header.Set(HeaderTimeout, strconv.FormatInt(max(1, time.Until(x.deadline).Milliseconds()), 10))
	header.Del("Content-Length")
	switch {
	case x.ask.Length > 0:
		header.Set("Content-Length", strconv.FormatInt(x.ask.Length, 10))
	case x.ask.Length < 0:
		header.Set("Transfer-Encoding", "chunked")
	case x.ask.Method != http.MethodGet && x.ask.Method != http.MethodHead:
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

func (x *exchange) sendBody(body io.Reader) error {
	w := x.conn.w
	if x.ask.Length == 0 {
		return nil
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if x.ask.Length > 0 {
		_, err := io.CopyN(w, body, x.ask.Length)
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
func (x *exchange) receive() (*http.Response, error) {
	req := &http.Request{Method: x.ask.Method}
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

// run sends the request, checks the answer and passes it to the sink. It
// reports whether the connection may serve another request.
func (x *exchange) run(ctx context.Context, body io.ReadCloser, sink Sink) (reusable bool, err error) {
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
	if x.ask.Length != 0 {
		group.Go(send)
	} else if err := send(); err != nil {
		_ = x.conn.Close()
		return false, x.failed(fault.Broken, "the request could not be sent", err)
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

// finish receives the answer and passes it on.
func (x *exchange) finish(ctx context.Context, sink Sink) (reusable bool, bad *failure) {
	resp, err := x.receive()
	if err != nil {
		return false, x.lost(ctx, err)
	}
	return x.answer(resp, sink)
}

// stopSending ends a send that may wait for the caller or for the upstream.
func (x *exchange) stopSending(body io.Closer) {
	_ = x.conn.Close()
	if !x.bodyRead.Load() && x.ask.Length != 0 {
		_ = body.Close()
	}
}

func (x *exchange) lost(ctx context.Context, err error) *failure {
	if time.Until(x.deadline) <= 0 || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &failure{kind: fault.Expired, text: "the upstream did not answer in time", cause: err}
	}
	return &failure{kind: fault.Broken, text: "the connection to the upstream ended without an answer", cause: err}
}

// answer checks that the answer belongs to the request and passes it on whole.
func (x *exchange) answer(resp *http.Response, sink Sink) (bool, *failure) {
	defer func() { _ = resp.Body.Close() }()
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != x.ask.ID {
		return false, &failure{kind: fault.Broken, text: "the upstream answered another request"}
	}
	if refusal(resp) {
		x.progress.MarkRefused()
		return false, shed(resp)
	}
	header := resp.Header
	StripHop(header)
	if err := sink.Head(Head{Status: resp.StatusCode, Header: header, Length: resp.ContentLength}); err != nil {
		return false, &failure{kind: fault.Broken, text: "the caller is gone", cause: err}
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	if _, err := io.CopyBuffer(sink, struct{ io.Reader }{resp.Body}, *buf); err != nil {
		return false, &failure{kind: fault.Broken, text: "the answer was cut short", cause: err}
	}
	x.progress.MarkAnswered()
	return !resp.Close, nil
}

// refusal reports whether the upstream states that it did not run the request.
func refusal(resp *http.Response) bool {
	shed := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return shed && resp.Header.Get(HeaderRan) == string(fault.RanNo)
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
