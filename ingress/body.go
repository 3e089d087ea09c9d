package ingress

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"hickorydrum/placement"
	"hickorydrum/server"
)

const (
	// defaultBodyBytes limits the body of a request if the configuration sets no limit.
	defaultBodyBytes = int64(32 << 20)
	// maxDiscarded is the largest number of bytes of a refused body that are read and discarded.
	maxDiscarded = 2 << 20
	// discardTime bounds the time for that if the body is within the limits, but has no room.
	discardTime = time.Second
	// maxRoomWait bounds the wait for room for a body. It is longer than a client may stall that holds room.
	maxRoomWait = 6 * time.Second
	// limitBodies is the name of the limit in metrics and log lines, serverName that of the server.
	limitBodies = "bodies"
	serverName  = "callers"
)

var (
	errTooLarge = errors.New("the body is over the configured limit")
	errNoRoom   = errors.New("no room for the body")
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
	err := x.receiveBody(maxBytes)
	switch {
	case err == nil:
		return true
	case errors.Is(err, errTooLarge):
		x.refuseBody()
	case errors.Is(err, errNoRoom):
		_ = rc.SetReadDeadline(earlier(x.planReq.Deadline, time.Now().Add(discardTime)))
		x.refuseRoom()
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close") // the rest of the body may still come
		x.fail(http.StatusRequestTimeout, "expired", "the body did not arrive in time")
	default:
		x.result = result{outcome: "caller-gone", detail: "the body was cut short"}
		panic(http.ErrAbortHandler)
	}
	return false
}

// receiveBody reads the body. It returns errTooLarge or errNoRoom if the body is not kept.
func (x *exchange) receiveBody(maxBytes int64) error {
	length := x.r.ContentLength
	if length > maxBytes || !x.ingress.memory.Fits(length) {
		return errTooLarge
	}
	x.hold = x.ingress.memory.Open(max(0, length))
	done := server.Receiving(x.r.Context())
	defer func() { done() }()
	for {
		if len(x.body.space()) == 0 {
			size := x.body.nextSize(length)
			if !x.hold.Grow(size) {
				done() // the wait for room says nothing of the rate at which the caller sends
				if !x.awaitRoom(size) {
					return errNoRoom
				}
				done = server.Receiving(x.r.Context())
			}
			x.body.addChunk(size)
		}
		n, err := x.r.Body.Read(x.body.space())
		x.body.extend(n)
		switch {
		case x.body.size > maxBytes || !x.ingress.memory.Fits(x.body.size):
			return errTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// awaitRoom waits for room for more bytes of the body, for up to half the time left, since the request must still
// be sent.
func (x *exchange) awaitRoom(bytes int64) bool {
	now := time.Now()
	until := now.Add(min(maxRoomWait, x.planReq.Deadline.Sub(now)/2))
	return x.hold.GrowUntil(x.r.Context(), bytes, until)
}

// dropBody discards what was kept of the body and returns its room.
func (x *exchange) dropBody() {
	x.body = content{}
	x.hold.Close()
}

// refuseBody refuses a body over the limit. It first reads up to maxDiscarded bytes of it, since the
// server reads the rest only for a short time after the response, and a caller that still sends could
// lose the response.
func (x *exchange) refuseBody() {
	x.discardBody()
	x.fail(http.StatusRequestEntityTooLarge, "too-large", errTooLarge.Error())
}

// refuseRoom refuses a request for whose body there is no room. It reads on as refuseBody does, for up to
// discardTime.
func (x *exchange) refuseRoom() {
	server.ReportLimit(x.ingress.log, serverName, limitBodies, x.r.RemoteAddr, http.StatusServiceUnavailable)
	x.discardBody()
	x.w.Header().Set("Connection", "close")
	x.choice = placement.Choice{Reason: placement.ReasonMemory}
	x.refuse(errNoRoom.Error())
}

// discardBody reads and discards up to maxDiscarded bytes.
func (x *exchange) discardBody() {
	x.dropBody()
	done := server.Receiving(x.r.Context())
	defer done()
	_, err := io.CopyN(io.Discard, x.r.Body, maxDiscarded)
	if err != nil && !errors.Is(err, io.EOF) {
		x.result.detail = err.Error()
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
