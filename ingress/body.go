package ingress

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// defaultBodyBytes limits the body of a request if the configuration sets no limit.
	defaultBodyBytes = int64(32 << 20)
	// maxDiscarded is the largest number of bytes of a refused body that are read and discarded.
	maxDiscarded = 2 << 20
)

// readBody reads the whole body, so that the request can be sent again where that is allowed. It
// reports false if it answered the request instead, and aborts the handler if the caller broke the
// body off.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return true
	}
	maxBytes := cmp.Or(x.planReq.Table.Limits().BodyBytes, defaultBodyBytes)
	rc := http.NewResponseController(x.w)
	// Without support for deadlines, the read ends when the caller closes the connection.
	_ = rc.SetReadDeadline(x.planReq.Deadline)
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	if x.r.ContentLength > maxBytes {
		x.refuseBody()
		return false
	}
	var buf bytes.Buffer
	if x.r.ContentLength > 0 {
		buf.Grow(int(x.r.ContentLength))
	}
	_, err := buf.ReadFrom(io.LimitReader(x.r.Body, maxBytes+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.w.Header().Set("Connection", "close") // the rest of the body may still come
		x.fail(http.StatusRequestTimeout, "expired", "the body did not arrive in time")
		return false
	}
	if err != nil {
		x.result = result{outcome: "caller-gone", detail: "the body was cut short"}
		panic(http.ErrAbortHandler)
	}
	if int64(buf.Len()) > maxBytes {
		x.refuseBody()
		return false
	}
	x.body = buf.Bytes()
	return true
}

// refuseBody refuses a body over the limit. It first reads up to maxDiscarded bytes of it, since the
// server reads the rest only for a short time after the response, and a caller that still sends could
// lose the response.
func (x *exchange) refuseBody() {
	_, err := io.CopyN(io.Discard, x.r.Body, maxDiscarded)
	if err != nil && !errors.Is(err, io.EOF) {
		x.result.detail = err.Error()
	}
	x.fail(http.StatusRequestEntityTooLarge, "too-large", "the body is over the configured limit")
}
