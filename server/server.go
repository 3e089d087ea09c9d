// Package server is an HTTP/1.1 server that knows the state of each connection, so that an idle
// timeout or a planned stop closes one only while no request is handled on it. When it closes a
// connection, it first lets the client receive the last response.
package server

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/socket"
)

const (
	maxHeaderBytes = 64 << 10 // of a head, unless SetMaxHeader sets more
	headerTimeout  = 10 * time.Second
	defaultIdle    = 30 * time.Second
	drainPoll      = time.Millisecond
	drainPolls     = 100 // a count, since a deadline could pass while the process is paused
	// readingTime is how long a client may take for the head of a request during a planned stop.
	readingTime = 2 * time.Second
	// discardTime is how long the HTTP server may take to read the part of a body that the handler
	// left unread.
	discardTime = 500 * time.Millisecond
	// maxLostLines limits the log lines about lost requests in a second.
	maxLostLines = 100
)

// Server serves HTTP/1.1 on one listener.
type Server struct {
	name     string // in metrics and log lines
	http     *http.Server
	listener net.Listener
	handler  http.Handler
	// pipeliner is the handler if it is one.
	pipeliner Pipeliner
	log       *slog.Logger
	lines     *event.Limiter // of the lines about lost requests
	limits    Limits
	// headerBytes is how many bytes the head of a request may have.
	headerBytes atomic.Int64
	closing     atomic.Bool   // StopAccepting was called
	ended       atomic.Bool   // Close was called
	begun       atomic.Bool   // Serve was called
	served      chan struct{} // closed when Serve returns
	// lingering has the goroutines of connections that are closed for writing only.
	lingering errgroup.Group
	// ahead has the handlers of requests that run before their turn. As for other handlers, nobody waits for their
	// end when the server is closed.
	ahead errgroup.Group

	mu    sync.Mutex
	conns map[*conn]struct{} // the connections that are open
	idle  time.Duration      // how long clients may leave a connection idle
	// lastAccepted is when the last connection was accepted, zero if none was.
	lastAccepted time.Time
}

// Option configures a Server.
type Option func(*Server)

// WithName sets the name of the server in metrics and log lines; the default is callers.
func WithName(name string) Option { return func(s *Server) { s.name = name } }

// Listen opens a listener and returns a server that isn't serving yet. Bytes that a client does
// not acknowledge for userTimeout end its connection. The error is of kind fault.Unavailable.
func Listen(address string, handler http.Handler, userTimeout time.Duration, log *slog.Logger, opts ...Option) (*Server, error) {
	config := net.ListenConfig{Control: socket.UserTimeout(userTimeout)}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "the address "+address+" cannot be listened on", "free the address",
			fault.WithCause(err))
	}
	return New(listener, handler, log, opts...), nil
}

// New returns a server on a listener, which it closes.
func New(listener net.Listener, handler http.Handler, log *slog.Logger, opts ...Option) *Server {
	s := &Server{
		name: "callers", listener: listener, handler: handler, log: log, conns: make(map[*conn]struct{}), idle: defaultIdle,
		served: make(chan struct{}),
	}
	s.pipeliner, _ = handler.(Pipeliner)
	for _, opt := range opts {
		opt(s)
	}
	s.lines = event.NewLimiter(event.LinesPerSecond(maxLostLines))
	s.headerBytes.Store(maxHeaderBytes)
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serveRequest), MaxHeaderBytes: 2 * headerCeiling, ReadHeaderTimeout: headerTimeout,
		ConnState: setState, ConnContext: withConn,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	return s
}

// Serve accepts and serves connections until the listener is closed.
func (s *Server) Serve() {
	s.begun.Store(true)
	defer close(s.served)
	err := s.http.Serve(tracked{Listener: s.listener, server: s})
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		event.ServeFailed.Log(context.Background(), s.log, slog.String("error", err.Error()))
	}
}

// tracked is a listener whose connections are tracked by a server.
type tracked struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection.
func (l tracked) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.makeRoom(raw) {
			return l.server.add(raw), nil
		}
	}
}

func (s *Server) add(raw net.Conn) *conn {
	c := &conn{Conn: raw, server: s}
	if s.pipeliner != nil {
		c.pipeline = newPipeline(c, s.pipeliner)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAccepted = time.Now()
	c.setIdle(s.lastAccepted, s.idle)
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// all returns the connections that are open.
func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// Counts has the number of open connections by state.
type Counts struct {
	Idle    int // no byte of a request has been read since the last response
	Reading int // a part of a request's head has been read
	Serving int // a request is handled, or its response is being written
	Closing int // closed for writing, until the client has acknowledged the response
}

// Open returns the number of open connections.
func (c Counts) Open() int { return c.Idle + c.Reading + c.Serving + c.Closing }

// LogValue returns the counts as a group of attributes.
func (c Counts) LogValue() slog.Value {
	return slog.GroupValue(slog.Int("idle", c.Idle), slog.Int("reading", c.Reading), slog.Int("serving", c.Serving),
		slog.Int("closing", c.Closing))
}

// Counts returns the number of open connections by state.
func (s *Server) Counts() Counts {
	var out Counts
	for _, c := range s.all() {
		switch c.load() {
		case idle:
			out.Idle++
		case reading:
			out.Reading++
		case serving:
			out.Serving++
		case closing:
			out.Closing++
		}
	}
	return out
}

// serveRequest handles one request.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if !c.begin() {
		panic(http.ErrAbortHandler) // the caller sees its connection end, and the request is not run
	}
	c.http10.Store(!r.ProtoAtLeast(1, 1))
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		defer c.limitDiscard()
	}
	if c.pipeline != nil {
		c.pipeline.serve(w, r)
	} else {
		s.handler.ServeHTTP(w, r)
	}
	c.handled.Store(true)
}

// limitDiscard limits how long the HTTP server waits for the rest of a request's body once the request is
// handled: it reads that before the next request, or before it closes the connection.
func (c *conn) limitDiscard() {
	_ = c.SetReadDeadline(time.Now().Add(discardTime)) // it fails if the connection is closed
}

// SetIdle sets how long clients may leave a connection idle, defaultIdle if it is 0. Connections that are
// idle already are kept for the longer of the old and the new time.
func (s *Server) SetIdle(longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = cmp.Or(longest, defaultIdle)
}

func (s *Server) idleTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle
}

// CloseIdle closes the connections that have been idle for too long, or on which the head of a request
// stays incomplete for headerTimeout. The server does not call it: its owner does so at intervals.
func (s *Server) CloseIdle(now time.Time) {
	longest := s.idleTime()
	for _, c := range s.all() {
		c.giveUp(idle, func(since, until time.Time) bool { return now.After(until) && now.Sub(since) > longest })
		c.giveUp(reading, func(since, _ time.Time) bool { return now.Sub(since) > headerTimeout })
	}
}

// StopAccepting closes the listener once the kernel's queue of connections is empty, or after drainPolls
// checks of it: those still in the queue are then reset. The response to each request whose handling
// begins after the call closes its connection.
func (s *Server) StopAccepting() error {
	s.closing.Store(true)
	for range drainPolls {
		if socket.Backlog(s.listener) == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	err := s.listener.Close()
	select {
	case <-s.served: // all connections that were accepted are among those of the server
	case <-time.After(drainPolls * drainPoll): // unlike the polls, this wait can expire in a pause
	}
	return err
}

// GiveUpIdle closes the connections that have been idle since before the given time, and those on which the
// head of a request has stayed incomplete for readingTime longer.
func (s *Server) GiveUpIdle(before time.Time) {
	for _, c := range s.all() {
		c.giveUp(idle, func(since, _ time.Time) bool { return since.Before(before) })
		c.giveUp(reading, func(since, _ time.Time) bool { return since.Add(readingTime).Before(before) })
	}
}

// LastAccepted returns when the last connection was accepted, zero if none was.
func (s *Server) LastAccepted() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAccepted
}

// Close closes the listener and all connections at once, also those with a request under way, which it
// reports as lost, and those whose last response is still being delivered. It is no error if the listener
// was closed before.
func (s *Server) Close() error {
	s.ended.Store(true)
	for _, c := range s.all() {
		c.setReason(stopped)
	}
	err := s.http.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	if !s.begun.Load() {
		_ = s.listener.Close() // the HTTP server does not know it
	}
	for _, c := range s.all() {
		_ = c.Conn.Close() // also connections that linger; an error would say nothing new
	}
	return errors.Join(err, s.lingering.Wait())
}
