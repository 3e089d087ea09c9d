package server

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
)

// hookedConn is a connection whose Read calls a function after bytes were read.
type hookedConn struct {
	net.Conn
	afterRead func()
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.afterRead()
	return n, err
}

// newTestConn returns a tracked connection on which a byte of a request has been sent.
func newTestConn(t *testing.T, afterRead func(*conn)) *conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(listener, http.NotFoundHandler(), slog.New(slog.DiscardHandler))
	t.Cleanup(func() { _ = s.Close() })
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	hooked := &hookedConn{Conn: raw}
	c := s.add(hooked)
	hooked.afterRead = func() { afterRead(c) }
	if _, err := client.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestGiveUpCrossesRequest guards against a request that is handled on a connection that was closed as
// an idle one.
func TestGiveUpCrossesRequest(t *testing.T) {
	for name, one := range map[string]struct {
		afterRead func(*conn)
		handled   bool
	}{
		"given up between the read and its handling": {afterRead: (*conn).giveUp},
		"read, then not given up":                    {afterRead: func(*conn) {}, handled: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestConn(t, one.afterRead)
			_, err := c.Read(make([]byte, 1))
			c.giveUp()
			if read, handled := err == nil, c.begin(); read != one.handled || handled != one.handled {
				t.Errorf("read %v, handled %v, want %v", read, handled, one.handled)
			}
		})
	}
}

// TestGiveUpWithUnreadBytes guards against a close of a connection whose next request has already
// arrived.
func TestGiveUpWithUnreadBytes(t *testing.T) {
	c := newTestConn(t, func(*conn) {})
	c.Conn = c.Conn.(*hookedConn).Conn // a socket, which the kernel can be asked about
	c.giveUp()
	if c.load() != idle {
		t.Error("given up with unread bytes")
	}
}

// TestOversizedHead guards against a refusal by the HTTP server itself that a reset overtakes, since the
// client is still sending.
func TestOversizedHead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(listener, http.NotFoundHandler(), slog.New(slog.DiscardHandler))
	var group errgroup.Group
	group.Go(func() error {
		s.Serve()
		return nil
	})
	t.Cleanup(func() {
		_ = s.Close()
		_ = group.Wait()
	})
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	head := "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes)
	if _, err := io.WriteString(client, head); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // the client reads late
	got, err := io.ReadAll(client)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 431 ") {
		t.Errorf("read %q, %v, want a response with status 431 and no error", got, err)
	}
}

// TestCloseAfterResponse guards against requests that count as lost since their callers close the
// connections once they have the whole responses.
func TestCloseAfterResponse(t *testing.T) {
	const requests = 200
	s, _ := serveText(t, "text", "close")
	lost := metrics.GetOrCreateCounter(`hickorydrum_requests_lost_total{server="callers",reason="caller-left"}`)
	before := lost.Get()
	for range requests {
		client, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "text" {
			t.Fatalf("got %q, %v", body, err)
		}
		_ = client.Close() // all was read
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if n := lost.Get() - before; n > 0 {
		t.Errorf("%d of %d requests count as lost", n, requests)
	}
}
