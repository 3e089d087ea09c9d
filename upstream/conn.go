package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hickorydrum/fault"
)

const (
	dialTimeout = time.Second
	// userTimeout ends a connection whose sent bytes are not acknowledged.
	userTimeout   = 3 * time.Second
	idleKeep      = 30 * time.Second
	provenRecency = time.Second // a connection that answered this recently is proven
	bufferSize    = 16 << 10
)

// conn is one HTTP/1.1 connection to an upstream.
type conn struct {
	net.Conn
	r        *bufio.Reader
	w        *bufio.Writer
	progress *fault.Progress // of the request under way
	answered time.Time       // when the last whole answer ended
	reused   bool
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, r: bufio.NewReaderSize(raw, bufferSize)}
	c.w = bufio.NewWriterSize(sentMarker{c}, bufferSize)
	return c
}

// sentMarker records that bytes of a request may have reached the upstream,
// before they are written.
type sentMarker struct{ c *conn }

func (m sentMarker) Write(p []byte) (int, error) {
	m.c.progress.MarkSent()
	return m.c.Conn.Write(p)
}

// silent reports whether nothing but silence is on the connection, so that the
// next bytes from the upstream answer the next request. It looks at the socket
// itself: a read with a deadline that has passed does not.
func (c *conn) silent() bool {
	if c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && silent
}

// dialer makes and keeps the connections to one upstream.
type dialer struct {
	address string
	bind    net.IP

	mu   sync.Mutex
	idle []*conn
}

// get returns a connection. A request that must not run twice gets a new one,
// or one that answered moments ago: on a silent one it would be lost.
func (d *dialer) get(ctx context.Context, now time.Time, proven bool) (*conn, error) {
	for {
		c := d.pop()
		if c == nil {
			return d.dial(ctx)
		}
		if proven && now.Sub(c.answered) > provenRecency || now.Sub(c.answered) > idleKeep || !c.silent() {
			_ = c.Close()
			continue
		}
		c.reused = true
		return c, nil
	}
}

func (d *dialer) pop() *conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle) == 0 {
		return nil
	}
	c := d.idle[len(d.idle)-1]
	d.idle = d.idle[:len(d.idle)-1]
	return c
}

func (d *dialer) dial(ctx context.Context) (*conn, error) {
	nd := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	if d.bind != nil {
		nd.LocalAddr = &net.TCPAddr{IP: d.bind}
	}
	raw, err := nd.DialContext(ctx, "tcp", d.address)
	if err != nil {
		return nil, notRun(fault.Unavailable, "the upstream accepts no connection", "check the upstream",
			fault.WithCause(err))
	}
	return newConn(raw), nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// put keeps a connection whose last answer ended cleanly.
func (d *dialer) put(c *conn, now time.Time, most int) {
	c.answered = now
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle) >= most || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	d.idle = append(d.idle, c)
}

// close drops the idle connections.
func (d *dialer) close() {
	for c := d.pop(); c != nil; c = d.pop() {
		_ = c.Close()
	}
}
