package server

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"hickorydrum/memory"
	"hickorydrum/socket"
)

const (
	// headSlop is how many bytes a head may have beyond the limit, as with package net/http.
	headSlop = 4 << 10
	// headerCeiling is the largest limit that a configuration can set for heads.
	headerCeiling = 1 << 20
	// A request in progress takes requestBytes of memory, headByteCost times the bytes of its head, and lineCost for
	// each line: the header is a map, of which two copies are made for the upstream. Heads of 9,000 short lines were
	// measured to take some 230 bytes a line.
	requestBytes = 32 << 10
	headByteCost = 4
	lineCost     = 512
)

// intake is what a client sends on a connection: the head that is being read, and the rate.
type intake struct {
	mu    sync.Mutex
	head  headCount
	hold  *memory.Hold // of the request in progress
	cost  int64        // of the head, as far as it is held
	total int64        // bytes that were read so far
	// receiving states that the handler waits for bytes of a body.
	receiving bool
	// since is when the period began over which the rate is measured, and before what was read until then.
	since  time.Time
	before int64
}

// headCount counts the bytes and lines of the head of a request as they are read.
type headCount struct {
	bytes, lines int
	line         int  // bytes of the line that is being read
	last         byte // of these, the last one
	begun        bool // a line that is not empty has been read
	ended        bool
}

// add counts the next bytes, up to the end of the head.
func (h *headCount) add(p []byte) {
	for len(p) > 0 && !h.ended {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.bytes += len(p)
			h.line += len(p)
			h.last = p[len(p)-1]
			return
		}
		if i > 0 {
			h.last = p[i-1]
		}
		length := h.line + i
		empty := length == 0 || length == 1 && h.last == '\r'
		h.ended = empty && h.begun
		h.begun = h.begun || !empty
		h.bytes += i + 1
		h.lines++
		h.line, p = 0, p[i+1:]
	}
}

// cost returns the memory that the request takes without its body.
func (h *headCount) cost() int64 {
	return requestBytes + int64(h.bytes)*headByteCost + int64(h.lines)*lineCost
}

// holdHead holds the memory that a request with the whole head takes. It reports false if the head has too many lines, or
// if there is no room.
func (l *Limits) holdHead(b []byte) (*memory.Hold, bool) {
	var h headCount
	h.add(b)
	if l.HeaderLines > 0 && h.lines > l.HeaderLines {
		return nil, false
	}
	hold := l.Heads.Open(0)
	return hold, hold.Grow(h.cost())
}

// admit counts bytes that were read. If they belong to a head that is over a limit, it refuses the request and
// reports false.
func (c *conn) admit(p []byte) bool {
	limit, status := c.count(p)
	if limit == "" {
		return true
	}
	c.server.reportLimit(limit, c.RemoteAddr(), status)
	writeRefusal(c.Conn, status)
	return false
}

// count counts bytes that were read. If they belong to a head that is over a limit, it returns that limit and the
// status of the refusal.
func (c *conn) count(p []byte) (limit string, status int) {
	in, s := &c.intake, c.server
	in.mu.Lock()
	defer in.mu.Unlock()
	in.total += int64(len(p))
	if c.load() == serving || in.head.ended {
		return "", 0
	}
	if in.head.bytes == 0 {
		in.since, in.before = time.Now(), in.total
	}
	in.head.add(p)
	switch {
	case int64(in.head.bytes) > s.headerBytes.Load()+headSlop:
		return limitHeaderBytes, http.StatusRequestHeaderFieldsTooLarge
	case s.limits.HeaderLines > 0 && in.head.lines > s.limits.HeaderLines:
		return limitHeaderLines, http.StatusRequestHeaderFieldsTooLarge
	case !in.hasRoom(s.limits.Heads):
		return limitHeads, http.StatusServiceUnavailable
	}
	return "", 0
}

// hasRoom adds what the head takes to the hold. The lock is held.
func (in *intake) hasRoom(b *memory.Budget) bool {
	if in.hold == nil {
		in.hold = b.Open(0)
	}
	more := in.head.cost() - in.cost
	if !in.hold.Grow(more) {
		return false
	}
	in.cost += more
	return true
}

// errRefused is returned by reads of a head that was refused. The HTTP server closes the connection after an error
// of this type, without a response.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// beginServing ends the count of a head, since its request is handled.
func (in *intake) beginServing() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.head, in.cost = headCount{}, 0
}

// end returns what the request in progress held.
func (in *intake) end() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.hold.Close()
	in.head, in.hold, in.cost = headCount{}, nil, 0
}

// Receiving tells the server that the handler of a request reads its body from now on, by the request's context, so
// that a client that sends too slowly is given up. The returned function ends this.
func Receiving(ctx context.Context) (done func()) {
	c := connOf(ctx)
	if c == nil {
		return func() {}
	}
	c.intake.setReceiving(true)
	return func() { c.intake.setReceiving(false) }
}

func (in *intake) setReceiving(receiving bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.receiving = receiving
	in.since, in.before = time.Now(), in.total
}

// CloseStalled gives up the clients that send a head or a body at less than minRate over ratePeriod. Reads of such a
// body fail with os.ErrDeadlineExceeded. The server does not call it: its owner does so at intervals.
func (s *Server) CloseStalled(now time.Time) {
	if !s.limits.MinRate {
		return
	}
	for _, c := range s.all() {
		switch c.load() {
		case reading:
			if c.stalled(now) {
				c.giveUp(reading, func(time.Time, time.Time) bool { return true })
				s.reportLimit(limitHeadRate, c.RemoteAddr(), 0)
			}
		case serving:
			c.endStalledBody(now)
		}
	}
}

// stalled reports whether the client sends too slowly.
func (c *conn) stalled(now time.Time) bool {
	unread := socket.Unread(c.Conn)
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	return c.intake.tooSlow(now, unread)
}

// endStalledBody makes the handler's read of a body fail, if the client sends it too slowly.
func (c *conn) endStalledBody(now time.Time) {
	unread := socket.Unread(c.Conn)
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if c.intake.receiving && c.intake.tooSlow(now, unread) {
		c.server.reportLimit(limitBodyRate, c.RemoteAddr(), http.StatusRequestTimeout)
		_ = c.SetReadDeadline(time.Now()) // it fails if the connection is closed
	}
}

// tooSlow reports whether less than minRate was read over a period that ends. A period with bytes that wait to be
// read says nothing of the client. The lock is held.
func (in *intake) tooSlow(now time.Time, unread bool) bool {
	period := now.Sub(in.since)
	if period < ratePeriod {
		return false
	}
	slow := !unread && float64(in.total-in.before) < minRate*period.Seconds()
	in.since, in.before = now, in.total
	return slow
}
