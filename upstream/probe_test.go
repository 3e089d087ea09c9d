package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
)

// startPage starts a health page that writes the bytes to each request, and then the endless ones until the
// connection is closed. The returned function ends it and returns how many bytes were written.
func startPage(t *testing.T, response, endless string) (address string, end func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	written := 0
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return err
		}
		part := strings.Repeat(endless, 1+4096/max(1, len(endless)))
		for err == nil && part != "" {
			var n int
			n, err = io.WriteString(conn, part)
			written += n
		}
		return nil // the prober has closed the connection
	})
	return listener.Addr().String(), func() int {
		_ = listener.Close()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		return written
	}
}

// TestProbeResponses guards against health pages that are no responses, or not those of the upstream, and that set
// the state of an upstream.
func TestProbeResponses(t *testing.T) {
	const page = "Content-Length: 20\r\n\r\n" + `{"state":"draining"}`
	tests := map[string]struct {
		response string
		ok       bool
	}{
		"whole":             {"HTTP/1.1 200 OK\r\n" + page, true},
		"failing":           {"HTTP/1.1 503 x\r\n" + page, true},
		"status 000":        {"HTTP/1.1 000 x\r\n" + page, false},
		"status 600":        {"HTTP/1.1 600 x\r\n" + page, false},
		"a blank in a name": {"HTTP/1.1 200 OK\r\nA B: c\r\n" + page, false},
		"cut":               {"HTTP/1.1 200 OK\r\n\r\n" + `{"state":"draining"`, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, end := startPage(t, test.response, "")
			p := NewProber(&Pool{})
			page, err := p.fetch(t.Context(), address, "/health")
			if (err == nil) != test.ok {
				t.Errorf("the page is %v, %v", page, err)
			}
			end()
		})
	}
}
