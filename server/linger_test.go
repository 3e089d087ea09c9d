package server

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestResponseBeforePipelinedRequest guards against a response that is cut because its connection is
// closed while bytes of the caller's next request are unread: the kernel resets such a connection, and
// what it had not delivered is lost.
func TestResponseBeforePipelinedRequest(t *testing.T) {
	const size = 8 << 20 // more than the kernel buffers
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strings.Repeat("x", size))
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
