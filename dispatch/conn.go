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
	// userTimeout is the default TCP_USER_TIMEOUT: the connection ends when sent bytes stay
	// unacknowledged this long.
	userTimeout = 3 * time.Second
	maxIdleTime = 30 * time.Second
	// keepAliveMargin is how long before the end of the upstream's keep-alive timeout an idle
	// connection is no longer reused.
	keepAliveMargin = time.Second
	// recentResponse is the longest time since the last response on a connection that may be
	// reused for a request that must not be executed twice.
	recentResponse = time.Second
	bufferSize     = 16 << 10
)

// Conn is one HTTP/1.1 connection to an upstream.
type Conn struct {
	net.Conn
	r            *bufio.Reader
	w            *bufio.Writer
	progress     *fault.Progress // of the current request
	writeErr     error           // of the last write that failed
	lastResponse time.Time       // end of the last complete response, or when it was first put back
	usableUntil  time.Time       // not reused after this time
	reused       bool
	limited      bool // at most readBudget more bytes may be read
	readBudget   int
}

// errHeadTooLong is returned by reads past the read limit: the head of the response is longer
// than the limit, or never ends.
var errHeadTooLong = errors.New("the head of the answer is too long")

// setReadLimit makes reads fail with errHeadTooLong after maxBytes.
func (c *Conn) setReadLimit(maxBytes int) { c.limited, c.readBudget = true, maxBytes }

func (c *Conn) clearReadLimit() { c.limited = false }

// limitedReader reads from a connection within its read limit.
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

// NewConn returns a connection that reads from and writes to raw.
func NewConn(raw net.Conn) *Conn {
	c := &Conn{Conn: raw}
	c.r = bufio.NewReaderSize(limitedReader{c}, bufferSize)
	c.w = bufio.NewWriterSize(sentMarker{c}, bufferSize)
	return c
}

// sentMarker writes to a connection. Before each write it records that bytes of the request
// may have reached the upstream. It keeps the error of a write that fails.
type sentMarker struct{ c *Conn }

func (m sentMarker) Write(p []byte) (int, error) {
	m.c.progress.MarkSent()
	n, err := m.c.Conn.Write(p)
	if err != nil {
		m.c.writeErr = err
	}
	return n, err
}

// isIdle reports whether the connection is open and has no unread bytes, so that the next
// bytes from the upstream belong to the response to the next request. It peeks at the socket
// directly, since a read with an expired deadline returns without looking at the socket.
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
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Dialer makes the connections to one upstream and keeps the idle ones for reuse. Its methods
// may be called concurrently.
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

// DialerOption configures a Dialer.
type DialerOption func(*Dialer)

// WithBind sets the local address of connections.
func WithBind(ip net.IP) DialerOption { return func(d *Dialer) { d.bind = ip } }

// WithTimeout sets the function that returns the timeout of a dial. It is called before each
// dial.
func WithTimeout(timeout func() time.Duration) DialerOption {
	return func(d *Dialer) { d.timeout = timeout }
}

// WithUserTimeout sets how long sent bytes may stay unacknowledged before the connection ends
// (TCP_USER_TIMEOUT).
func WithUserTimeout(timeout time.Duration) DialerOption {
	return func(d *Dialer) { d.userTimeout = timeout }
}

// WithDialTimes sets a function that is called with the duration of each successful dial.
func WithDialTimes(onDial func(took time.Duration)) DialerOption {
	return func(d *Dialer) { d.onDial = onDial }
}

// NewDialer returns a dialer for the upstream at the given address.
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

// Get returns an idle connection that is still usable, or a new one. With recent set, an idle
// connection is reused only if its last response ended within recentResponse. Requests that
// must not be executed twice need this: the upstream or the network may have dropped a
// connection that has been idle for longer, and a request lost on it couldn't be sent again.
func (d *Dialer) Get(ctx context.Context, now time.Time, recent bool) (*Conn, error) {
	for {
		c := d.pop()
		if c == nil {
			return d.Dial(ctx)
		}
		stale := recent && now.Sub(c.lastResponse) > recentResponse || now.After(c.usableUntil)
		if stale || !c.isIdle() {
			_ = c.Close()
			continue
		}
		c.reused = true
		return c, nil
	}
}

// pop removes and returns the idle connection that was used last, or nil if there is none.
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

// Dial returns a new connection. The error is of kind fault.Unavailable.
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

// Put keeps a connection for reuse after a complete response, or unused. It closes the
// connection if maxConns idle connections are kept already, if unread bytes remain, or if the
// dialer is closed.
func (d *Dialer) Put(c *Conn, now time.Time, maxConns int) {
	if c.lastResponse.IsZero() {
		c.lastResponse = now // it was dialed just now
	}
	if c.usableUntil.IsZero() {
		c.usableUntil = now.Add(maxIdleTime)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || len(d.idle) >= maxConns || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	d.idle = append(d.idle, c)
}

// CloseIdle closes the idle connections. The dialer remains usable.
func (d *Dialer) CloseIdle() {
	for c := d.pop(); c != nil; c = d.pop() {
		_ = c.Close()
	}
}

// Close closes the idle connections and makes Put close connections from now on.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.CloseIdle()
}
