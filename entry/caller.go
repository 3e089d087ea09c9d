package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hickorydrum/dispatch"
	"hickorydrum/fault"
	"hickorydrum/idempotency"
	"hickorydrum/upstream"
)

// maxReplayBytes is the size of the largest body that is buffered for a retry, in bytes.
const maxReplayBytes = 64 << 10

// callerBody is the body of a caller's request. It can be read again once it was read to
// its end, if it has at most maxReplayBytes.
type callerBody struct {
	body    io.ReadCloser
	rc      *http.ResponseController
	size    atomic.Int64
	started atomic.Bool
	atEOF   atomic.Bool

	mu       sync.Mutex // guards the fields below; also held while Read reads from body
	buffered []byte
	replay   *bytes.Reader // if set, is read in place of the caller's connection
}

func newCallerBody(w http.ResponseWriter, r *http.Request) *callerBody {
	return &callerBody{body: r.Body, rc: http.NewResponseController(w)}
}

// Read reads from the caller's connection, or from the buffer after rewind. An error of
// the connection is returned as a fault.Corrupt.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.replay != nil {
		return b.replay.Read(p)
	}
	b.started.Store(true)
	n, err := b.body.Read(p)
	b.size.Add(int64(n))
	if len(b.buffered) <= maxReplayBytes {
		b.buffered = append(b.buffered, p[:n]...)
	}
	if err == io.EOF {
		b.atEOF.Store(true)
	}
	if err != nil && err != io.EOF {
		err = fault.New(fault.Corrupt, "the request's body was cut short", "send it again",
			fault.WithExecution(fault.MaybeExecuted), fault.WithCause(err))
	}
	return n, err
}

// rewind makes the next Read start at the beginning of the body. It reports false if that
// is not possible.
func (b *callerBody) rewind() bool {
	if !b.started.Load() {
		return true
	}
	if !b.atEOF.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffered) > maxReplayBytes {
		return false
	}
	b.replay = bytes.NewReader(b.buffered)
	return true
}

// Close ends a Read that waits for the caller, unless the body was read to its end.
func (b *callerBody) Close() error {
	if b.atEOF.Load() {
		return nil
	}
	return b.rc.SetReadDeadline(time.Now())
}

// callerResponse writes the response to one request to its caller. It is the
// dispatch.Sink of the request.
type callerResponse struct {
	w             http.ResponseWriter
	rc            *http.ResponseController
	id            string
	setConnection func(http.Header) // is called with the header of the response before it is sent
	bodyless      bool              // responses to the request's method have no body
	wroteHead     bool
	status        int
	header        http.Header
	length        int64 // of the body, in bytes; below zero if it is unknown or not sent
	written       int64 // bytes of the body so far
	store         bool  // store the body for repeated requests with the same idempotency key
	callerGone    bool  // a write to the caller failed; the rest of the body is only stored
	stored        []byte
}

// Head writes the head of the upstream's response to the caller.
func (r *callerResponse) Head(h dispatch.Head) error {
	r.wroteHead = true
	r.status = h.Status
	r.header = h.Header
	r.length = h.Length
	if r.bodyless || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified {
		r.length = -1
	}
	out := r.w.Header()
	for name, values := range h.Header {
		out[name] = values
	}
	out.Set(upstream.HeaderRequestID, r.id)
	out.Set(upstream.HeaderRan, string(fault.Executed))
	if h.Length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(h.Length, 10))
	}
	r.setConnection(out)
	r.w.WriteHeader(h.Status)
	return nil
}

// Write writes a part of the body to the caller. If the body is stored, it goes on without
// an error after the caller has left.
func (r *callerResponse) Write(p []byte) (int, error) {
	if r.store && len(r.stored) <= idempotency.MaxStoredBody {
		r.stored = append(r.stored, p...)
	}
	if r.callerGone {
		r.written += int64(len(p))
		return len(p), nil
	}
	n, err := r.w.Write(p)
	if err != nil && r.store {
		r.callerGone = true
		n, err = len(p), nil
	}
	r.written += int64(n)
	if err != nil {
		return n, fault.New(fault.Corrupt, "the caller is gone", "", fault.WithExecution(fault.MaybeExecuted), fault.WithCause(err))
	}
	if r.length < 0 && !r.callerGone {
		if err := r.rc.Flush(); err != nil && !r.store {
			return n, err
		}
	}
	return n, nil
}

// complete reports whether the body has as many bytes as the head announced.
func (r *callerResponse) complete() bool { return r.length < 0 || r.written == r.length }

// failure is the body of a response that reports a fault of hickorydrum itself.
type failure struct {
	Kind     fault.Kind      `json:"kind"`
	Text     string          `json:"text"`
	Remedy   string          `json:"remedy,omitempty"`
	Executed fault.Execution `json:"ran"`
	ID       string          `json:"id,omitempty"`
}

// setRetryAfter sets the Retry-After header to the whole seconds from now to at, rounded
// up and at least 1. It does nothing if at is zero.
func setRetryAfter(h http.Header, at, now time.Time) {
	if at.IsZero() {
		return
	}
	seconds := int64(at.Sub(now)+time.Second-1) / int64(time.Second)
	h.Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
}
