package restart

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/platform"
	"hickorydrum/standin"
)

// ownPath is the path of the service of the own interface.
const ownPath = "/orders/"

// uploadSize is more than the buffers of two sockets hold, so that an upload is still being written when an
// upstream that does not read it ends the connection.
const uploadSize = 24 << 20

// brokenRow is a response of an upstream, and whether a caller gets it as a whole one.
type brokenRow struct {
	// response is written with %ID% replaced by the ID of the request.
	response string
	// early states that the response is written before the body of the request is read, and is followed by a
	// reset.
	early  bool
	header string // further lines of the request's header
	body   int    // bytes of the request's body
	// http10 states that the caller speaks HTTP/1.0.
	http10 bool
	whole  bool
}

// longChunk begins a body in chunks that is too long to be kept until it is whole.
var longChunk = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 1<<20, strings.Repeat("x", 1<<20))

// brokenHead begins a response that has all that the upstreams of both interfaces must send.
const brokenHead = "HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: %ID%\r\nHickorydrum-Server-Seal: x\r\n"

// status returns brokenHead with another status.
func status(code string) string { return strings.Replace(brokenHead, "200 OK", code+" Odd", 1) }

// start starts an upstream that answers each request with the response of the row, and returns its address. Requests
// without an ID are for its health page.
func (row brokenRow) start(t *testing.T) (address string) {
	t.Helper()
	server, err := standin.NewRaw(func(conn *net.TCPConn, r *http.Request) bool {
		id := r.Header.Get(attemptHeader)
		if id == "" {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			return err == nil
		}
		if !row.early {
			_, _ = io.Copy(io.Discard, r.Body) // the instance may have closed the connection
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(row.response, "%ID%", id))
		if row.early {
			_ = conn.SetLinger(0) // so that it is reset
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

// startHosted starts an instance behind the platform's interface with the upstream, and returns the address for
// callers.
func startHosted(t *testing.T, upstream string) string {
	t.Helper()
	d := newDeployment(t, 6*time.Second)
	d.configure(configuration{timeout: waitTimeout, bodyBytes: uploadSize})
	d.put(platform.KindUpstreams+"/i-0", fmt.Appendf(nil,
		`{"address":%q,"born":1,"info":{"service":"list","zone":"one-a","slots":4},"status":{"state":"ready"}}`, upstream))
	return d.start("a0", false).address(frontPort)
}

// startOwn starts an instance of the own interface with the upstream, and returns the address for callers.
func startOwn(t *testing.T, upstream string) string {
	t.Helper()
	d := newOwnPlatform(t)
	d.up = upstream
	d.start(waitTimeout)
	return d.address(callerPort)
}

// TestBrokenResponses guards against a caller that gets a response which is broken, or is not that of its upstream
// to its request.
func TestBrokenResponses(t *testing.T) {
	t.Parallel()
	rows := map[string]brokenRow{
		"whole":                        {response: brokenHead + "Content-Length: 4\r\n\r\nbody", whole: true},
		"status 000":                   {response: status("000") + "Content-Length: 4\r\n\r\nbody"},
		"status 000 before a response": {response: "HTTP/1.1 000 \r\n\r\n" + brokenHead + "Content-Length: 4\r\n\r\nbody"},
		"status 600":                   {response: status("600") + "Content-Length: 4\r\n\r\nbody"},
		"a blank before a colon":       {response: brokenHead + "Content-Length : 4\r\n\r\nbody"},
		"a blank in a name":            {response: brokenHead + "A B: c\r\nContent-Length: 4\r\n\r\nbody"},
		"a control byte in a name":     {response: brokenHead + "A\x01B: c\r\nContent-Length: 4\r\n\r\nbody"},
		"chunks and a length":          {response: brokenHead + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n"},
		"a body of an interim response": {
			response: "HTTP/1.1 103 Early Hints\r\nContent-Length: 200\r\n\r\n" + brokenHead + "Content-Length: 4\r\n\r\nbody",
		},
		"HTTP/2.0":                       {response: strings.Replace(brokenHead, "HTTP/1.1", "HTTP/2.0", 1) + "Content-Length: 4\r\n\r\nbody"},
		"chunks cut short, for HTTP/1.0": {response: brokenHead + longChunk, http10: true},
		"whole chunks, for HTTP/1.0":     {response: brokenHead + longChunk + "0\r\n\r\n", http10: true, whole: true},
		"reset during an upload":         {response: brokenHead + "\r\npart", early: true, body: uploadSize},
	}
	interfaces := map[string]struct {
		start func(t *testing.T, upstream string) (address string)
		path  string
	}{
		"hosted": {startHosted, unsafe.path},
		"own":    {startOwn, ownPath},
	}
	for side, i := range interfaces {
		for name, row := range rows {
			t.Run(side+"/"+name, func(t *testing.T) {
				t.Parallel()
				address := i.start(t, row.start(t))
				got, err := post(t, address, i.path, row)
				whole := err == nil && got.StatusCode == http.StatusOK
				lost := err != nil || got.StatusCode == http.StatusBadGateway
				if whole != row.whole || lost == row.whole {
					t.Errorf("whole %v and lost %v, want a whole response %v: %v, %v", whole, lost, row.whole, got, err)
				}
			})
		}
	}
}

// post sends the request of a row over a connection of its own. It returns the response once it has
// been read whole.
func post(t *testing.T, address, path string, row brokenRow) (*http.Response, error) {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	minor := 1
	if row.http10 {
		minor = 0
	}
	var group errgroup.Group
	group.Go(func() error {
		_, err := fmt.Fprintf(conn, "POST %sx HTTP/1.%d\r\nHost: h.example\r\n%s: 1\r\nContent-Length: %d\r\n%s\r\n",
			path, minor, attemptHeader, row.body, row.header)
		if err == nil {
			_, err = conn.Write(make([]byte, row.body))
		}
		return err
	})
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	_ = conn.Close() // the rest of the body need not be sent
	if writeErr := group.Wait(); err != nil {
		err = errors.Join(err, writeErr)
	}
	return resp, err
}

// TestBrokenResponseNotStored guards against a part of a response that is stored as that of an idempotency key, and
// sent to callers that repeat the request.
func TestBrokenResponseNotStored(t *testing.T) {
	t.Parallel()
	row := brokenRow{
		response: brokenHead + "\r\npart", early: true, body: uploadSize, header: "Idempotency-Key: some-key\r\n",
	}
	address := startOwn(t, row.start(t))
	for i := range 3 {
		got, err := post(t, address, ownPath, row)
		if err == nil && got.StatusCode < http.StatusBadRequest {
			t.Errorf("send %d gets a whole response: %v", i, got)
		}
	}
}
