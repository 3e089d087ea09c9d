package standin

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Raw is a stand-in server that reads HTTP/1.1 requests and answers with any bytes, so that tests can play
// responses that no HTTP server sends.
type Raw struct {
	listener net.Listener
	respond  func(conn *net.TCPConn, r *http.Request) (open bool)
	group    errgroup.Group

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// NewRaw starts a server on a free port of 127.0.0.1. It calls respond with each request and its connection, which it
// closes if respond reports false. The body of the request is not read. Close stops the server.
func NewRaw(respond func(conn *net.TCPConn, r *http.Request) (open bool)) (*Raw, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Raw{listener: listener, respond: respond}
	s.group.Go(s.accept)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Raw) Address() string { return s.listener.Addr().String() }

// Close stops the server, closes its connections and waits for its goroutines.
func (s *Raw) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for _, conn := range s.conns {
		_ = conn.Close() // it may have been closed before
	}
	s.mu.Unlock()
	return errors.Join(err, s.group.Wait())
}

func (s *Raw) accept() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s.add(conn)
		s.group.Go(func() error {
			s.serve(conn.(*net.TCPConn))
			return nil
		})
	}
}

func (s *Raw) add(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close() // nothing was read from it
	}
	s.conns = append(s.conns, conn)
}

// serve handles the requests of one connection.
func (s *Raw) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil || !s.respond(conn, req) {
			return
		}
	}
}

// repeatedBytes is how many bytes WriteRepeatedly writes at a time.
const repeatedBytes = 4 << 10

// WriteRepeatedly writes the text over and over until the connection is closed, and returns how many bytes were
// written. It ends after some more than maxBytes, so that a client that keeps them all does not use up the memory.
func WriteRepeatedly(conn net.Conn, text string, maxBytes int) (written int) {
	part := []byte(strings.Repeat(text, 1+repeatedBytes/len(text)))
	for written <= maxBytes {
		n, err := conn.Write(part)
		written += n
		if err != nil {
			break
		}
	}
	return written
}
