package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

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

var buffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

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
// whether the connection can be reused. The bodies of other responses are not read.
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
	if stated, ok, _ := ParseRetryAfter(resp.Header, time.Now()); ok {
		wait = min(stated, maxRetryAfter)
	}
	return &failure{
		kind: fault.Overloaded, text: "the upstream sheds load",
		opts: []fault.Option{fault.WithRetryAt(time.Now().Add(wait))},
	}
}
