package ingress

import (
	"net/http"
	"strconv"

	"hickorydrum/dispatch"
	"hickorydrum/platform"
)

// maxHeld is how many bytes of an answer are held back until it is known to be
// whole.
const maxHeld = 256 << 10

// answer is the sink of one send. Small answers reach the caller only when they
// are whole; large ones are passed on as they come.
type answer struct {
	exchange *exchange
	head     dispatch.Head
	held     []byte
	started  bool // the caller got a part
}

func newAnswer(x *exchange) *answer { return &answer{exchange: x} }

// Head takes the head of the answer.
func (a *answer) Head(h dispatch.Head) error {
	a.head = h
	return nil
}

// Write takes a part of the body.
func (a *answer) Write(p []byte) (int, error) {
	if !a.started && len(a.held)+len(p) <= maxHeld {
		a.held = append(a.held, p...)
		return len(p), nil
	}
	if err := a.start(a.head.Length); err != nil {
		return 0, err
	}
	return a.exchange.w.Write(p)
}

// finish passes on what is held of a whole answer.
func (a *answer) finish() {
	x := a.exchange
	x.result = result{status: a.head.Status, outcome: "answered"}
	length := int64(len(a.held))
	if x.r.Method == http.MethodHead {
		length = a.head.Length
	}
	if err := a.start(length); err != nil {
		x.result.detail = "the caller left"
	}
}

// start passes on the head and what is held.
func (a *answer) start(length int64) error {
	if a.started {
		return nil
	}
	a.started = true
	x := a.exchange
	out := x.w.Header()
	for name, values := range a.head.Header {
		out[name] = values
	}
	status := x.honest(a.head.Status)
	if status != a.head.Status {
		platform.DeleteSeal(out)
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if x.ingress.leaving.Load() {
		out.Set("Connection", "close")
	}
	x.w.WriteHeader(status)
	_, err := x.w.Write(a.held)
	a.held = nil
	return err
}

// honest returns the status for the caller. An upstream that answers with one that
// promises that nothing was run, without stating so, may have run the request.
func (x *exchange) honest(status int) int {
	if x.ask.Route.Idempotent {
		return status
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return http.StatusBadGateway
	}
	return status
}
