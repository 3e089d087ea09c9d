package dispatch

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
	"hickorydrum/socket"
)

const (
	dialTimeout = time.Second
	// userTimeout ends a connection whose sent bytes are not acknowledged.
	userTimeout = 3 * time.Second
	maxIdleTime    = 30 * time.Second
	// keepAliveMargin is how long before its upstream closes it a kept connection is
	// dropped.
	keepAliveMargin    = time.Second
	recentResponse = time.Second // a connection that answered this recently is proven
	bufferSize    = 16 << 10
)

// Conn is one HTTP/1.1 connection to an upstream.
type Conn struct {
	net.Conn
	r        *bufio.Reader
	w        *bufio.Writer
	progress *fault.Progress // of the request under way
	lastResponse time.Time       // when the last whole answer ended
	usableUntil time.Time       // when the upstream is about to close it
	reused   bool
	limited  bool // only so many more bytes may be read
	readBudget     int
}

// errHeadTooLong states that an upstream sends a head that has no end.
var errHeadTooLong = errors.New("the head of the answer is too long")

// setReadLimit has reads fail beyond so many bytes.
func (c *Conn) setReadLimit(most int) { c.limited, c.readBudget = true, most }

func (c *Conn) clearReadLimit() { c.limited = false }

// limitedReader reads from a connection within its limit.
type limitedReader struct{ c *Conn }

func (r limitedReader) Read(p []byte) (int, error) {
	if !r.c.limited {
		return r.c.Conn.Read(p)
	}
	if r.c.readBudget <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.c.Conn.Read(p[:min(len(p), r.c.readBudget)])
	r.c.readBudget -= n
	return n, err
}

// NewConn returns a connection over the given transport.
func NewConn(raw net.Conn) *Conn {
	c := &Conn{Conn: raw}
	c.r = bufio.NewReaderSize(limitedReader{c}, bufferSize)
	c.w = bufio.NewWriterSize(sentMarker{c}, bufferSize)
	return c
}

// sentMarker records that bytes of a request may have reached the upstream,
// before they are written.
type sentMarker struct{ c *Conn }

func (m sentMarker) Write(p []byte) (int, error) {
	m.c.progress.MarkSent()
	return m.c.Conn.Write(p)
}

// isIdle reports whether nothing but silence is on the connection, so that the
// next bytes from the upstream answer the next request. It looks at the socket
// itself: a read with a deadline that has passed does not.
func (c *Conn) isIdle() bool {
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

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Dialer makes and keeps the connections to one upstream.
type Dialer struct {
	address     string
	bind        net.IP
	timeout     func() time.Duration
	userTimeout time.Duration
	onDial      func(took time.Duration)

	mu     sync.Mutex
	idle   []*Conn
	closed bool
}

// DialerOption changes a Dialer while it is made.
type DialerOption func(*Dialer)

// WithBind sets the local address that connections come from.
func WithBind(ip net.IP) DialerOption { return func(d *Dialer) { d.bind = ip } }

// WithTimeout sets how long a connection may take to be made.
func WithTimeout(timeout func() time.Duration) DialerOption {
	return func(d *Dialer) { d.timeout = timeout }
}

// WithUserTimeout sets after which time without an acknowledgement of sent bytes
// a connection ends.
func WithUserTimeout(timeout time.Duration) DialerOption {
	return func(d *Dialer) { d.userTimeout = timeout }
}

// WithDialTimes tells how long each new connection took to be made.
func WithDialTimes(tell func(took time.Duration)) DialerOption {
	return func(d *Dialer) { d.onDial = tell }
}

// NewDialer returns a dialer of the upstream at an address.
func NewDialer(address string, opts ...DialerOption) *Dialer {
	d := &Dialer{
		address: address, userTimeout: userTimeout,
		timeout: func() time.Duration { return dialTimeout },
		onDial:  func(time.Duration) {},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Get returns a connection. A request that must not run twice gets a new one,
// or one that answered moments ago: on a silent one it would be lost.
func (d *Dialer) Get(ctx context.Context, now time.Time, proven bool) (*Conn, error) {
	for {
		c := d.pop()
		if c == nil {
			return d.Dial(ctx)
		}
		stale := proven && now.Sub(c.lastResponse) > recentResponse || now.After(c.usableUntil)
		if stale || !c.isIdle() {
			_ = c.Close()
			continue
		}
		c.reused = true
		return c, nil
	}
}

func (d *Dialer) pop() *Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle) == 0 {
		return nil
	}
	c := d.idle[len(d.idle)-1]
	d.idle = d.idle[:len(d.idle)-1]
	return c
}

// Dial makes a new connection.
func (d *Dialer) Dial(ctx context.Context) (*Conn, error) {
	nd := &net.Dialer{Timeout: d.timeout(), Control: socket.UserTimeout(d.userTimeout)}
	if d.bind != nil {
		nd.LocalAddr = &net.TCPAddr{IP: d.bind}
	}
	begun := time.Now()
	raw, err := nd.DialContext(ctx, "tcp", d.address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "the upstream accepts no connection", "check the upstream",
			fault.WithCause(err))
	}
	d.onDial(time.Since(begun))
	return NewConn(raw), nil
}

// Put keeps a connection whose last answer ended cleanly, among at most so many.
func (d *Dialer) Put(c *Conn, now time.Time, most int) {
	c.lastResponse = now
	if c.usableUntil.IsZero() {
		c.usableUntil = now.Add(maxIdleTime)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || len(d.idle) >= most || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	d.idle = append(d.idle, c)
}

// CloseIdle closes the idle connections.
func (d *Dialer) CloseIdle() {
	for c := d.pop(); c != nil; c = d.pop() {
		_ = c.Close()
	}
}

// Close closes the idle connections and keeps no more.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.CloseIdle()
}
