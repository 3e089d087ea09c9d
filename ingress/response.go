package ingress

import (
	"net/http"
	"strconv"

	"hickorydrum/dispatch"
	"hickorydrum/platform"
)

// maxBuffered is how many bytes of a response's body are buffered. A response within it is sent
// to the caller only once it is complete.
const maxBuffered = 256 << 10

// bufferedResponse is the sink of one send. It forwards a response of up to maxBuffered bytes
// only once it is complete, and streams a larger one.
type bufferedResponse struct {
	exchange *exchange
	head     dispatch.Head
	buffered []byte
	started  bool // the head has been written to the caller
}

func newBufferedResponse(x *exchange) *bufferedResponse { return &bufferedResponse{exchange: x} }

// Head stores the head of the response.
func (b *bufferedResponse) Head(h dispatch.Head) error {
	b.head = h
	return nil
}

// Write buffers a part of the body, or writes it to the caller once the buffer is full or has no room in memory.
func (b *bufferedResponse) Write(p []byte) (int, error) {
	if !b.started && len(b.buffered)+len(p) <= maxBuffered && b.reserve(len(p)) {
		b.buffered = append(b.buffered, p...)
		return len(p), nil
	}
	if err := b.start(b.head.Length); err != nil {
		return 0, err
	}
	return b.exchange.w.Write(p)
}

// reserve makes room for n more bytes in the buffer. It reports whether there is room in memory.
func (b *bufferedResponse) reserve(n int) bool {
	need := len(b.buffered) + n
	if need <= cap(b.buffered) {
		return true
	}
	size := min(2*need, maxBuffered)
	if length := int(b.head.Length); length >= need && length < size {
		size = length
	}
	if !b.exchange.responses.Grow(int64(size - cap(b.buffered))) {
		unbuffered.Inc()
		return false
	}
	b.buffered = append(make([]byte, 0, size), b.buffered...)
	return true
}

// finish ends a complete response: it sets the result of the exchange and writes what is still
// buffered to the caller.
func (b *bufferedResponse) finish() {
	x := b.exchange
	x.result = result{status: b.head.Status, outcome: "answered"}
	length := int64(len(b.buffered))
	if x.r.Method == http.MethodHead {
		length = b.head.Length
	}
	if err := b.start(length); err != nil {
		x.result.detail = "the caller left"
	}
}

// start writes the head and the buffered part of the body to the caller. The response has no
// Content-Length if length is negative.
func (b *bufferedResponse) start(length int64) error {
	if b.started {
		return nil
	}
	b.started = true
	x := b.exchange
	out := x.w.Header()
	for name, values := range b.head.Header {
		out[name] = values
	}
	status := x.callerStatus(b.head.Status)
	if status != b.head.Status {
		platform.DeleteSeal(out)
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if x.ingress.leaving() {
		out.Set("Connection", "close")
	}
	x.w.WriteHeader(status)
	_, err := x.w.Write(b.buffered)
	b.buffered = nil
	return err
}

// callerStatus returns the status that the caller gets. For a request that must not be
// executed twice, it replaces the statuses on which clients resend a request (408, 421, 429 and
// 503) by 502: the upstream may have executed the request, since its response does not say that it
// has not.
func (x *exchange) callerStatus(status int) int {
	if x.planReq.Route.Idempotent {
		return status
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return http.StatusBadGateway
	}
	return status
}
