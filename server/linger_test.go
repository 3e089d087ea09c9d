package server

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// sendBuffer is the size of the send buffer of a server's connections.
const sendBuffer = 384 << 10

// sendBufferListener is a listener whose connections have a send buffer of sendBuffer.
type sendBufferListener struct{ net.Listener }

func (l sendBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(sendBuffer)
}

// serveText starts a server that responds with the text, and with the values of the Connection header, and
// returns it with a connection of a client.
func serveText(t *testing.T, text string, connection ...string) (*Server, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(sendBufferListener{listener}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Connection"] = connection
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text) // the client checks what it gets
	}), slog.New(slog.DiscardHandler))
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
	return s, client
}

// TestResponseBeforePipelinedRequest guards against a response that is cut because its connection is
// closed while bytes of the caller's next request are unread: the kernel resets such a connection, and
// what it had not delivered is lost.
func TestResponseBeforePipelinedRequest(t *testing.T) {
	const size = 8 << 20 // more than the kernel buffers
	_, client := serveText(t, strings.Repeat("x", size), "close")
	request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	if _, err := io.WriteString(client, strings.Repeat(request, 1000)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // the caller is slow to read
	got, err := io.ReadAll(client)
	if err != nil || len(got) < size {
		t.Errorf("the response ended after %d bytes with %v, want %d bytes and no error", len(got), err, size)
	}
}

// TestGiveUpAfterLargeResponse guards against a response that is cut because its connection is given up as an
// idle one while the kernel still delivers it, and the caller sends its next request.
func TestGiveUpAfterLargeResponse(t *testing.T) {
	const size = sendBuffer / 2 // more than the client's receive buffer
	s, client := serveText(t, strings.Repeat("x", size))
	if err := client.(*net.TCPConn).SetReadBuffer(size / 8); err != nil {
		t.Fatal(err)
	}
	request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	if _, err := io.WriteString(client, request); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(5 * time.Second)
	for ; s.Counts().Closing == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection was not given up while its response was being delivered")
		}
		s.GiveUpIdle(time.Now())
	}
	if err := client.SetReadDeadline(deadline); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(client, request); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(client)
	if err != nil || len(got) < size {
		t.Errorf("the response ended after %d bytes with %v, want %d bytes and no error", len(got), err, size)
	}
}

// TestLingerAfterClose guards against a server whose Close waits for a connection that begins to linger
// meanwhile, so that a planned stop outlasts its end.
func TestLingerAfterClose(t *testing.T) {
	c := newTestConn(t, func(*conn) {})
	c.Conn = c.Conn.(*hookedConn).Conn // a socket, which the kernel can be asked about
	if err := c.Conn.(*net.TCPConn).SetWriteBuffer(sendBuffer); err != nil {
		t.Fatal(err)
	}
	if err := c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, _ = c.Write(make([]byte, 64<<20)) // the client reads nothing, so that a part stays undelivered
	c.server.ended.Store(true)
	begun := time.Now()
	if err := c.shut(); err != nil {
		t.Fatal(err)
	}
	if err := c.server.lingering.Wait(); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begun); took > lingerTime/2 {
		t.Errorf("the connection lingered for %v", took)
	}
}
