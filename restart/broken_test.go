package restart

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/platform"
)

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
	// old states that the caller speaks HTTP/1.0.
	old   bool
	whole bool
}

// longChunk begins a body in chunks that is too long to be kept until it is whole.
var longChunk = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 1<<20, strings.Repeat("x", 1<<20))

// brokenHead begins a response that has all that the upstreams of both interfaces must send.
const brokenHead = "HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: %ID%\r\nHickorydrum-Server-Seal: x\r\n"

// status returns brokenHead with another status.
func status(code string) string { return strings.Replace(brokenHead, "200 OK", code+" Odd", 1) }

// brokenUpstream is an upstream that answers each request with the response of a row.
type brokenUpstream struct {
	row      brokenRow
	listener net.Listener
	group    errgroup.Group

	mu    sync.Mutex
	conns []net.Conn
}

func newBrokenUpstream(t *testing.T, row brokenRow) *brokenUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &brokenUpstream{row: row, listener: listener}
	u.group.Go(u.accept)
	t.Cleanup(u.close)
	return u
}

func (u *brokenUpstream) address() string { return u.listener.Addr().String() }

func (u *brokenUpstream) accept() error {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return nil // the listener was closed
		}
		u.mu.Lock()
		u.conns = append(u.conns, conn)
		u.mu.Unlock()
		u.group.Go(func() error {
			u.serve(conn.(*net.TCPConn))
			return nil
		})
	}
}

// serve answers the requests on a connection. Requests without an ID are for the health page.
func (u *brokenUpstream) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get(attemptHeader)
		response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		if id != "" {
			response = strings.ReplaceAll(u.row.response, "%ID%", id)
		}
		if id == "" || !u.row.early {
			_, _ = io.Copy(io.Discard, req.Body) // the instance may have gone
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
		if id != "" && u.row.early {
			_ = conn.SetLinger(0) // the instance may have gone
		}
		if id != "" {
			return
		}
	}
}

func (u *brokenUpstream) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	for _, conn := range u.conns {
		_ = conn.Close()
	}
	u.mu.Unlock()
	_ = u.group.Wait()
}

// startHosted starts an instance behind the platform's interface with the upstream, and returns the address for
// callers.
func (u *brokenUpstream) startHosted(t *testing.T) string {
	d := newDeployment(t, 6*time.Second)
	d.configure(configuration{timeout: waitTimeout, bodyBytes: uploadSize})
	d.put(platform.KindUpstreams+"/i-0", fmt.Appendf(nil,
		`{"address":%q,"born":1,"info":{"service":"list","zone":"one-a","slots":4},"status":{"state":"ready"}}`, u.address()))
	return d.start("a0", false).address(frontPort)
}

// startOwn starts an instance of the own interface with the upstream, and returns the address for callers.
func (u *brokenUpstream) startOwn(t *testing.T) string {
	d := newOwnPlatform(t)
	d.up = u.address()
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
		"chunks cut short, for HTTP/1.0": {response: brokenHead + longChunk, old: true},
		"whole chunks, for HTTP/1.0":     {response: brokenHead + longChunk + "0\r\n\r\n", old: true, whole: true},
		"reset during an upload":         {response: brokenHead + "\r\npart", early: true, body: uploadSize},
	}
	interfaces := map[string]struct {
		start func(*brokenUpstream, *testing.T) string
		path  string
	}{
		"hosted": {(*brokenUpstream).startHosted, unsafe.path},
		"own":    {(*brokenUpstream).startOwn, "/orders/"},
	}
	for side, i := range interfaces {
		for name, row := range rows {
			t.Run(side+"/"+name, func(t *testing.T) {
				t.Parallel()
				address := i.start(newBrokenUpstream(t, row), t)
				got, err := post(t, address, i.path, row)
				if whole := err == nil && got.StatusCode != http.StatusBadGateway; whole != row.whole {
					t.Errorf("a whole response %v, want %v: %v, %v", whole, row.whole, got, err)
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
	if row.old {
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
	address := newBrokenUpstream(t, row).startOwn(t)
	for i := range 3 {
		got, err := post(t, address, "/orders/", row)
		if err == nil && got.StatusCode < http.StatusBadRequest {
			t.Errorf("send %d gets a whole response: %v", i, got)
		}
	}
}
