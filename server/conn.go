package server

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/event"
	"hickorydrum/socket"
)

// state says whether a request is under way on a connection.
type state int32

const (
	idle    state = iota // new, or its last response was written, and no byte has been read since
	reading              // a part of a request's head has been read
	serving              // a request is handled, or its response is being written
	closing              // no further request is handled; the socket may linger until the client has the last response
)

// reason is why a request's caller got no whole response.
type reason string

const (
	stopped    reason = "stopped"     // the server was closed
	callerLeft reason = "caller-left" // the caller closed its connection before it had the whole response
	aborted    reason = "aborted"     // the handler gave up, such as when an upstream broke off
)

// conn is one connection of a client.
type conn struct {
	net.Conn
	server   *Server
	pipeline *pipeline // nil if the server's handler is no Pipeliner
	state    atomic.Int32
	handled  atomic.Bool // the handler has returned
	left     atomic.Bool // the client closed the connection
	failed   atomic.Bool // a write failed, or was made after left was set
	http10   atomic.Bool // the client speaks HTTP/1.0, so that the end of the connection may end a response

	intake intake

	deadlines sync.Mutex // orders SetReadDeadline of the HTTP server before those of linger

	mu           sync.Mutex // also held while the connection becomes idle, or is given up
	stateSince   time.Time  // when the connection became idle, or when the first byte of a request was read
	idleUntil    time.Time  // end of the idle time that applied when the connection became idle
	id           string     // ID of the request under way
	requestBegun time.Time  // when its handling began
	reason       reason     // why this process ends the connection, "" if it does not
}

func (c *conn) load() state { return state(c.state.Load()) }

// Read reads from the connection, for the HTTP server.
func (c *conn) Read(p []byte) (int, error) {
	read := c.receive
	if c.pipeline != nil {
		read = c.pipeline.read
	}
	n, err := read(p)
	if n > 0 && !c.admit(p[:n]) {
		return 0, errRefused
	}
	return n, err
}

// receive reads from the socket. Bytes that arrive on a connection that was given up are dropped.
func (c *conn) receive(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.startReading() {
		return 0, net.ErrClosed
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.left.Store(true)
	}
	return n, err
}

// Write writes to the connection. The kernel may take bytes that the client doesn't get any more.
func (c *conn) Write(p []byte) (int, error) {
	left := c.left.Load()
	n, err := c.Conn.Write(p)
	if left || err != nil {
		c.failed.Store(true)
	}
	if err != nil && c.pipeline != nil {
		return n, c.pipeline.checkErr(err)
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads. On a connection that was given up or closed it fails with
// net.ErrClosed, since linger sets the deadlines then.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.load() == closing {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}

// setLingerDeadline sets the deadline of reads from a connection that is closed.
func (c *conn) setLingerDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// startReading marks the read of a part of a request. It reports false if the connection is closed.
func (c *conn) startReading() bool {
	if c.load() == idle {
		c.beginReading(time.Now())
	}
	return c.load() != closing
}

// beginReading marks the read of the first byte of a request.
func (c *conn) beginReading(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.step(idle, reading) {
		c.stateSince = now
	}
}

// step changes the state, if it is the first one given. It reports whether it did.
func (c *conn) step(from, to state) bool { return c.state.CompareAndSwap(int32(from), int32(to)) }

// begin marks the start of the handling of a request. It reports false if the connection is
// closed: the request must not be handled then. The state is still idle if the request was read
// together with the one before it.
func (c *conn) begin() bool {
	c.handled.Store(false)
	c.intake.beginServing()
	c.mu.Lock()
	c.id, c.requestBegun = "", time.Now()
	c.mu.Unlock()
	return c.step(reading, serving) || c.step(idle, serving)
}

// giveUp closes the connection if it is in the state from (idle or reading), due returns true, and the
// kernel holds no unread bytes of it. due gets when that state began and, for idle, until when it may last.
// Bytes that arrive after the check are dropped; their request is never handled.
func (c *conn) giveUp(from state, due func(since, until time.Time) bool) {
	if socket.Unread(c.Conn) || !c.closeIf(from, due) {
		return
	}
	if w, ok := c.Conn.(closeWriter); ok {
		_ = w.CloseWrite() // the client learns of the end now, also if a Read delays the close of the socket
	}
	_ = c.shut() // the response before was written, and there is no request
}

// closeIf changes the state to closing if it is the given one and due says so, unless the HTTP server has yet to read
// bytes that have arrived.
func (c *conn) closeIf(from state, due func(since, until time.Time) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return due(c.stateSince, c.idleUntil) && !c.readAhead() && c.step(from, closing)
}

// readAhead reports whether bytes have arrived that the HTTP server has not read.
func (c *conn) readAhead() bool { return c.pipeline != nil && c.pipeline.busy() }

// setID sets the ID of the request under way.
func (c *conn) setID(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id = id
}

// setReason sets why this process ends the connection, unless that is set.
func (c *conn) setReason(r reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == "" {
		c.reason = r
	}
}

// reportLost logs and counts the request under way, unless its response was written whole. It reports whether it
// did.
func (c *conn) reportLost() (lost bool) {
	why, id, begun, lost := c.lostRequest()
	if lost {
		c.logLost(why, id, begun)
	}
	return lost
}

// reportLostAhead logs and counts requests that were started and wait for their turn.
func (c *conn) reportLostAhead(lost []*ahead) {
	c.mu.Lock()
	why := c.lostReason()
	c.mu.Unlock()
	for _, a := range lost {
		c.logLost(why, a.currentID(), a.begun)
	}
}

// logLost logs and counts a request whose caller gets no whole response.
func (c *conn) logLost(why reason, id string, begun time.Time) {
	metrics.GetOrCreateCounter(`hickorydrum_requests_lost_total{server="` + c.server.name + `",reason="` + string(why) + `"}`).Inc()
	now := time.Now()
	if omitted := c.server.lines.Omitted(now); omitted > 0 {
		event.LinesOmitted.Log(context.Background(), c.server.log, slog.Int("count", omitted))
	}
	if !c.server.lines.Allow(now) {
		return
	}
	event.RequestLost.Log(context.Background(), c.server.log, slog.String("server", c.server.name), slog.String("id", id),
		slog.String("reason", string(why)), slog.Int64("took_ms", time.Since(begun).Milliseconds()))
}

// lostRequest returns the request under way and why its caller gets no whole response, and false if it
// gets one.
func (c *conn) lostRequest() (why reason, id string, begun time.Time, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == "" && !c.failed.Load() && c.handled.Load() {
		return "", "", time.Time{}, false
	}
	return c.lostReason(), c.id, c.requestBegun, true
}

// lostReason returns why a caller gets no whole response when the connection is closed. c.mu must be held.
func (c *conn) lostReason() reason {
	switch {
	case c.reason != "":
		return c.reason
	case c.failed.Load(), c.left.Load():
		return callerLeft
	default:
		return aborted
	}
}

// setState follows the state that the HTTP server gives a connection. A connection becomes idle
// after the response was written.
func setState(raw net.Conn, s http.ConnState) {
	c := raw.(*conn)
	switch s {
	case http.StateIdle:
		now := time.Now()
		c.intake.end()
		c.setIdle(now, c.server.idleTime())
		if c.pipeline != nil && c.pipeline.finished() {
			c.beginReading(now)
		}
	case http.StateHijacked:
		if c.pipeline != nil {
			c.pipeline.passOn()
		}
	}
}

// setIdle sets that the connection is idle from now on, and may stay so for the given time. The HTTP server
// responds to some requests itself, which are read and not served.
func (c *conn) setIdle(now time.Time, longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.step(serving, idle) || c.step(reading, idle) || c.load() == idle {
		c.stateSince, c.idleUntil = now, now.Add(longest)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw.(*conn))
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// SetID tells the server the ID of a request, by the request's context, for its log lines.
func SetID(ctx context.Context, id string) {
	if a, ok := ctx.Value(aheadKey{}).(*ahead); ok {
		a.setID(id)
		return
	}
	if c := connOf(ctx); c != nil {
		c.setID(id)
	}
}
