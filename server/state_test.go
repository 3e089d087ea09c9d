package server

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// awaitCounts waits until the server has the given numbers of connections, and fails the test otherwise.
func awaitCounts(t *testing.T, s *Server, want Counts) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); s.Counts() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("connections %+v, want %+v", s.Counts(), want)
		}
	}
}

// TestStalledRead guards against a connection that is never closed since a part of a request's head was
// read on it: by the idle timeout, or by a planned stop.
func TestStalledRead(t *testing.T) {
	later := time.Now().Add(time.Hour)
	for name, test := range map[string]struct {
		sent  string // after a first request
		state Counts
		end   func(*Server)
	}{
		"a part of a head, idle timeout": {"\r\n", Counts{Reading: 1}, func(s *Server) { s.CloseIdle(later) }},
		"a part of a head, planned stop": {"\r\n", Counts{Reading: 1}, func(s *Server) { s.GiveUpIdle(later) }},
		"answered by the HTTP server":    {"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", Counts{Idle: 1}, func(s *Server) { s.CloseIdle(later) }},
	} {
		t.Run(name, func(t *testing.T) {
			s, client := serveText(t, "text")
			reader := bufio.NewReader(client)
			if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			awaitCounts(t, s, Counts{Idle: 1})
			if _, err := io.WriteString(client, test.sent); err != nil {
				t.Fatal(err)
			}
			awaitCounts(t, s, test.state)
			time.Sleep(10 * time.Millisecond) // the HTTP server may still respond
			awaitCounts(t, s, test.state)
			test.end(s)
			awaitCounts(t, s, Counts{})
		})
	}
}

// TestUnreadBody guards against a connection that stays in use after its response, since the rest of the
// request's body never comes.
func TestUnreadBody(t *testing.T) {
	s, client := serveText(t, "text")
	if _, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n1"); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil {
		t.Fatal(err)
	}
	awaitCounts(t, s, Counts{})
}

// TestListenerClosed guards against a listener that stays open since its server never began to serve.
func TestListenerClosed(t *testing.T) {
	s, err := Listen("127.0.0.1:0", http.NotFoundHandler(), time.Second, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	address := s.listener.Addr().String()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp", address); err == nil {
		_ = conn.Close()
		t.Error("the listener is open")
	}
}
