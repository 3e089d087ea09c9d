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
)

// state says whether a request is under way on a connection.
type state int32

const (
	idle    state = iota // no byte of a request has been read since the last response
	reading              // a part of a request's head has been read
	serving              // a request is handled, or its response is being written
	closed
)

// reason is why a request's caller got no whole response.
type reason string

const (
	closedIdle  reason = "closed-as-idle" // the connection was taken for an idle one
	closedAtEnd reason = "stopped"        // the server was closed
	callerLeft  reason = "caller-left"    // the caller closed its connection before, or doesn't read
	aborted     reason = "aborted"        // the handler gave up, such as when an upstream broke off
)

// conn is one connection of a client.
type conn struct {
	net.Conn
	server  *Server
	state   atomic.Int32
	handled atomic.Bool // the handler has returned
	left    atomic.Bool // the client closed the connection, or a write to it failed

	mu        sync.Mutex
	idleSince time.Time // when the connection was last listed as idle, zero if it isn't
	id        string    // of the request under way
	begun     time.Time // when that request was read
	reason    reason    // why this process ends the connection
}

func (c *conn) load() state { return state(c.state.Load()) }

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.state.CompareAndSwap(int32(idle), int32(reading))
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.left.Store(true)
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.left.Store(true)
	}
	return n, err
}

// begin marks the start of the handling of a request.
func (c *conn) begin() {
	c.state.Store(int32(serving))
	c.handled.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id, c.begun = "", time.Now()
}

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

// listedIdle returns since when the connection is listed as idle, if it is.
func (c *conn) listedIdle() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, !c.idleSince.IsZero()
}

// end closes the connection for a reason.
func (c *conn) end(r reason) error {
	c.setReason(r)
	return c.Close()
}

// Close closes the connection.
func (c *conn) Close() error {
	last := state(c.state.Swap(int32(closed)))
	if last == closed {
		return net.ErrClosed
	}
	c.server.remove(c)
	if last == serving {
		c.reportLost()
	}
	return c.Conn.Close()
}

// reportLost logs and counts the request under way, unless its response was written whole.
func (c *conn) reportLost() {
	why, lost := c.lostReason()
	if !lost {
		return
	}
	metrics.GetOrCreateCounter(`hickorydrum_requests_lost_total{reason="` + string(why) + `"}`).Inc()
	event.RequestLost.Log(context.Background(), c.server.log, slog.String("id", c.id), slog.String("reason", string(why)),
		slog.Int64("took_ms", time.Since(c.begun).Milliseconds()))
}

// lostReason returns why the caller of the request under way gets no whole response, and false
// if it gets one.
func (c *conn) lostReason() (reason, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.reason != "":
		return c.reason, true
	case c.left.Load():
		return callerLeft, true
	case !c.handled.Load():
		return aborted, true
	}
	return "", false
}

// setState follows the state that the HTTP server gives a connection. A connection becomes idle
// after the response was written.
func setState(raw net.Conn, s http.ConnState) {
	c := raw.(*conn)
	switch s {
	case http.StateIdle:
		c.state.CompareAndSwap(int32(serving), int32(idle))
		c.setIdleSince(time.Now())
	case http.StateActive:
		c.setIdleSince(time.Time{})
	}
}

func (c *conn) setIdleSince(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = at
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
	if c := connOf(ctx); c != nil {
		c.setID(id)
	}
}
