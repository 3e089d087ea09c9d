package dispatch

import (
	"bytes"
	"io"
	"time"
)

// spliceWait is how long further bytes are awaited after a body that has the head of a response in it.
const spliceWait = 100 * time.Millisecond

// statusPrefix begins the head of a response.
var statusPrefix = []byte("HTTP/1.")

// spliceGuard writes the body of a response to a sink. From the head of another response in it on, it
// holds back the last part until flush. An upstream may have written that response into the body, which
// then is longer than its head says.
type spliceGuard struct {
	sink io.Writer
	tail []byte // last bytes that were scanned, which may begin a prefix
	held []byte
	// suspect states that the body has what looks like the head of a response.
	suspect bool
}

// Write writes a part of the body, or holds it back.
func (g *spliceGuard) Write(p []byte) (int, error) {
	g.scan(p)
	if !g.suspect {
		return g.sink.Write(p)
	}
	if err := g.flush(); err != nil {
		return 0, err
	}
	g.held = append(g.held, p...)
	return len(p), nil
}

// scan looks for the head of a response in the body so far.
func (g *spliceGuard) scan(p []byte) {
	if g.suspect {
		return
	}
	size := len(statusPrefix)
	joint := append(g.tail, p[:min(len(p), size)]...)
	g.suspect = bytes.Contains(joint, statusPrefix) || bytes.Contains(p, statusPrefix)
	if len(p) > size {
		joint = p
	}
	g.tail = append(g.tail[:0], joint[max(0, len(joint)-size):]...)
}

// flush writes what is held back.
func (g *spliceGuard) flush() error {
	if len(g.held) == 0 {
		return nil
	}
	_, err := g.sink.Write(g.held)
	g.held = g.held[:0]
	return err
}

// continues reports whether more bytes follow a body whose length was given, so that they are a part
// of it: it waits for up to spliceWait.
func (x *Exchange) continues() bool {
	if x.conn.r.Buffered() > 0 {
		return true
	}
	until := time.Now().Add(spliceWait)
	if x.deadline.Before(until) {
		until = x.deadline
	}
	if err := x.conn.SetReadDeadline(until); err != nil {
		return false
	}
	_, err := x.conn.r.Peek(1)
	return err == nil
}
