package server

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"hickorydrum/socket"
)

const (
	// lingerTime is how long a connection is kept at the longest for its last response to be delivered.
	lingerTime = 2 * time.Second
	lingerPoll = 10 * time.Millisecond
)

// Close closes the connection for the HTTP server and reports the request under way if its caller gets no
// whole response. The socket may linger, see shut.
func (c *conn) Close() error {
	last := state(c.state.Swap(int32(closing)))
	if last == closing {
		return net.ErrClosed
	}
	lost := last == serving && c.reportLost()
	if c.pipeline != nil {
		c.reportLostAhead(c.pipeline.end())
	}
	if lost && c.http10.Load() {
		return c.reset()
	}
	return c.shut()
}

// reset closes the socket with a reset. A client of HTTP/1.0 would take an orderly close for the end of a response
// that has no length.
func (c *conn) reset() error {
	c.intake.end()
	if l, ok := c.Conn.(lingerer); ok {
		_ = l.SetLinger(0) // it fails if the connection has ended
	}
	c.server.remove(c)
	return c.Conn.Close()
}

// lingerer is a connection that can be closed with a reset.
type lingerer interface {
	SetLinger(seconds int) error
}

// shut closes the socket. While bytes are unread, also by the HTTP server only, or the client has not acknowledged all,
// it closes the connection for writing only and goes on reading in the background: a socket that is closed with unread
// bytes, or gets some afterwards, is reset, and the response could be lost.
func (c *conn) shut() error {
	c.intake.end()
	if w, ok := c.Conn.(closeWriter); ok && (socket.Unread(c.Conn) || socket.Unsent(c.Conn) || c.readAhead()) {
		c.server.lingering.Go(func() error { return c.linger(w) })
		return nil
	}
	c.server.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, if it can be. The HTTP server does so after its own
// responses to requests that it refuses to read.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(closeWriter); ok {
		return w.CloseWrite()
	}
	return nil
}

// closeWriter is a connection that can be closed for writing only.
type closeWriter interface {
	CloseWrite() error
}

// linger closes the connection for writing, and closes it once the client has acknowledged all bytes and sends
// no more, or has closed it, at the latest after lingerTime, or when the server is closed.
func (c *conn) linger(w closeWriter) error {
	defer c.server.remove(c)
	defer func() { _ = c.Conn.Close() }() // the response is delivered, or can't be
	deadline := time.Now().Add(lingerTime)
	if w.CloseWrite() != nil {
		return nil // the client has closed the connection
	}
	for time.Now().Before(deadline) && !c.server.ended.Load() {
		if c.setLingerDeadline(time.Now().Add(lingerPoll)) != nil {
			return nil // the server was closed
		}
		n, err := io.Copy(io.Discard, c.Conn)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil // the client has closed the connection
		}
		if n == 0 && !socket.Unsent(c.Conn) {
			return nil
		}
	}
	return nil
}
