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
	"hickorydrum/order"
	"hickorydrum/upstream"
)

// maxReplay is how much of a body is kept, in bytes, so that it can be sent again.
const maxReplay = 64 << 10

// callerBody is the body of a caller's request. A small one that was read whole can
// be read again.
type callerBody struct {
	body    io.ReadCloser
	rc      *http.ResponseController
	size    atomic.Int64
	touched atomic.Bool
	done    atomic.Bool

	mu     sync.Mutex
	kept   []byte
	replay *bytes.Reader // what is read instead of the caller's connection
}

func newCallerBody(w http.ResponseWriter, r *http.Request) *callerBody {
	return &callerBody{body: r.Body, rc: http.NewResponseController(w)}
}

// Read reads from the caller. A connection that breaks is a fault of the caller.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.replay != nil {
		return b.replay.Read(p)
	}
	b.touched.Store(true)
	n, err := b.body.Read(p)
	b.size.Add(int64(n))
	if len(b.kept) <= maxReplay {
		b.kept = append(b.kept, p[:n]...)
	}
	if err == io.EOF {
		b.done.Store(true)
	}
	if err != nil && err != io.EOF {
		err = fault.New(fault.Corrupt, "the request's body was cut short", "send it again",
			fault.WithExecution(fault.MaybeExecuted), fault.WithCause(err))
	}
	return n, err
}

// rewind reports whether the body can be read from its beginning, and sees to it.
func (b *callerBody) rewind() bool {
	if !b.touched.Load() {
		return true
	}
	if !b.done.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.kept) > maxReplay {
		return false
	}
	b.replay = bytes.NewReader(b.kept)
	return true
}

// Close ends a read that waits for the caller.
func (b *callerBody) Close() error {
	if b.done.Load() {
		return nil
	}
	return b.rc.SetReadDeadline(time.Now())
}

// answer is the sink of one request towards its caller.
type answer struct {
	w        http.ResponseWriter
	rc       *http.ResponseController
	id       string
	closing  bool // the connection should not be used again
	bodyless bool // the method's answers have no body
	headed   bool
	status   int
	header   http.Header
	length   int64
	written  int64
	keep     bool // for re-sends with the same key
	gone     bool // the caller is gone; the answer is only kept
	kept     []byte
}

// Head passes the head of the answer on.
func (a *answer) Head(h dispatch.Head) error {
	a.headed = true
	a.status = h.Status
	a.header = h.Header
	a.length = h.Length
	if a.bodyless || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified {
		a.length = -1
	}
	out := a.w.Header()
	for name, values := range h.Header {
		out[name] = values
	}
	out.Set(upstream.HeaderRequestID, a.id)
	out.Set(upstream.HeaderRan, string(fault.Executed))
	if h.Length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(h.Length, 10))
	}
	if a.closing {
		out.Set("Connection", "close")
	}
	a.w.WriteHeader(h.Status)
	return nil
}

// Write passes a part of the body on.
func (a *answer) Write(p []byte) (int, error) {
	if a.keep && len(a.kept) <= order.MaxStoredBody {
		a.kept = append(a.kept, p...)
	}
	if a.gone {
		a.written += int64(len(p))
		return len(p), nil
	}
	n, err := a.w.Write(p)
	if err != nil && a.keep {
		a.gone = true
		n, err = len(p), nil
	}
	a.written += int64(n)
	if err != nil {
		return n, fault.New(fault.Corrupt, "the caller is gone", "", fault.WithExecution(fault.MaybeExecuted), fault.WithCause(err))
	}
	if a.length < 0 && !a.gone {
		if err := a.rc.Flush(); err != nil && !a.keep {
			return n, err
		}
	}
	return n, nil
}

// whole reports whether every byte that the head promised was passed on.
func (a *answer) whole() bool { return a.length < 0 || a.written == a.length }

// failure is the body of an answer that hickorydrum itself gives.
type failure struct {
	Kind   fault.Kind      `json:"kind"`
	Text   string          `json:"text"`
	Remedy string          `json:"remedy,omitempty"`
	Ran    fault.Execution `json:"ran"`
	ID     string          `json:"id,omitempty"`
}

// setRetryAfter sets the header in whole seconds, rounded up.
func setRetryAfter(h http.Header, at, now time.Time) {
	if at.IsZero() {
		return
	}
	seconds := int64(at.Sub(now)+time.Second-1) / int64(time.Second)
	h.Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
}
