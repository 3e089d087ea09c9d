package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"hickorydrum/standin"
)

// manyBytes is more than the default bound of package net/http for a head.
const manyBytes = 64 << 20

// startPage starts a health page that writes the bytes to each request, and then the endless ones until the connection
// is closed, or manyBytes are written.
func startPage(t *testing.T, response, endless string) (address string) {
	t.Helper()
	server, err := standin.NewRaw(func(conn *net.TCPConn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, response)
		if endless != "" {
			standin.WriteRepeatedly(conn, endless, manyBytes)
		}
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	})
	return server.Address()
}

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
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
			address := startPage(t, test.response, "")
			p := NewProber(&Pool{})
			page, err := p.fetch(t.Context(), address, "/health")
			if (err == nil) != test.ok {
				t.Errorf("the page is %v, %v", page, err)
			}
		})
	}
}

// TestProbeEndless guards against an upstream that sends bytes without end in its health page: the pages of maxProbes
// upstreams are read at a time.
func TestProbeEndless(t *testing.T) {
	// maxRead is how many bytes may be read of one page, so that maxProbes take 8 MiB at most.
	const maxRead = 8 << 20 / maxProbes
	tests := map[string]struct{ response, endless string }{
		"a status line": {"HTTP/1.1 200 ", "OK"},
		"a field":       {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"fields":        {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"a body":        {"HTTP/1.1 200 OK\r\n\r\n", " "},
		"a chunked one": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n"},
		"interim ones":  {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address := startPage(t, test.response, test.endless)
			var read atomic.Int64
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countedConn{conn, &read}, err
			}
			p := &Prober{client: newProbeClient(dial)}
			if page, err := p.fetch(t.Context(), address, "/health"); err == nil {
				t.Errorf("the page is %v", page)
			}
			p.client.CloseIdleConnections()
			if n := read.Load(); n > maxRead {
				t.Errorf("%d bytes were read, want at most %d", n, maxRead)
			}
		})
	}
}
