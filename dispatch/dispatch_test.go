package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedUpstream is an upstream that answers the requests on each connection with the given
// responses, in order. It replaces %ID% in a response by the id of the request. If a response
// begins with "early ", it is sent before the request body is read.
type scriptedUpstream struct {
	listener  net.Listener
	responses []string
	after     func(conn net.Conn) // called after the last response; if nil, the connection is read to its end
	requests  atomic.Int32
	conns     atomic.Int32
	group     errgroup.Group

	mu   sync.Mutex
	open []net.Conn
}

func newScriptedUpstream(t *testing.T, responses []string, after func(net.Conn)) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedUpstream{listener: listener, responses: responses, after: after}
	s.group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			s.conns.Add(1)
			s.mu.Lock()
			s.open = append(s.open, conn)
			s.mu.Unlock()
			s.group.Go(func() error { return s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		s.mu.Lock()
		for _, conn := range s.open {
			_ = conn.Close()
		}
		s.mu.Unlock()
		_ = s.group.Wait()
	})
	return s
}

func (s *scriptedUpstream) serve(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for _, response := range s.responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return nil
		}
		s.requests.Add(1)
		if !strings.HasPrefix(response, "early ") {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		response = strings.TrimPrefix(response, "early ")
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, "%ID%", req.Header.Get("Request-Id")))
	}
	if s.after != nil {
		s.after(conn)
		return nil
	}
	_, _ = io.Copy(io.Discard, conn)
	return nil
}

// sink stores a response.
type sink struct {
	head Head
	body bytes.Buffer
}

func (s *sink) Head(h Head) error {
	s.head = h
	return nil
}

func (s *sink) Write(p []byte) (int, error) { return s.body.Write(p) }

// testDialect is a protocol with a request id, stale and misdirected responses, and refusals.
type testDialect struct{}

func (testDialect) Prepare(h http.Header, r *Request, _ time.Time) { h.Set("Request-Id", r.ID) }

func (testDialect) ClassifyResponse(r *Request, resp *http.Response) ResponseClass {
	id := resp.Header.Get("Request-Id")
	switch {
	case id == "late":
		return Stale
	case id != "" && id != r.ID:
		return Invalid
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return Misdirected
	case resp.Header.Get("Ran") == "no":
		return Refused
	default:
		return Accepted
	}
}

// send sends one request over a connection of the dialer and returns the connection to it.
func send(d *Dialer, r Request, body io.Reader, idempotent bool) (*sink, error) {
	s := &sink{}
	r.Header, r.Target, r.Host = http.Header{}, "/list/x", "test"
	c, err := d.Get(context.Background(), time.Now(), !idempotent)
	if err != nil {
		return s, err
	}
	x := NewExchange(&r, testDialect{}, time.Now().Add(5*time.Second), c)
	reusable, err := x.Run(context.Background(), io.NopCloser(body), s)
	if reusable && err == nil {
		d.Put(c, time.Now(), 2)
	}
	return s, err
}

const (
	okResponse = "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nContent-Length: 5\r\n\r\nhello"
	noResponse = ""
)

func closeNow(conn net.Conn) { _ = conn.Close() }

// TestAnswers checks, for each kind of response to a non-idempotent request, what is forwarded
// and what the fault states about whether the request was executed.
func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		response  string
		after     func(net.Conn)
		length    int64
		body      string
		status    int
		want      string
		kind      fault.Kind
		execution fault.Execution
	}{
		"whole":                 {response: okResponse, status: 200, want: "hello"},
		"without the id":        {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", status: 200, want: "hi"},
		"chunked":               {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", status: 200, want: "hi"},
		"until the end":         {response: "HTTP/1.0 200 OK\r\n\r\nhi", after: closeNow, status: 200, want: "hi"},
		"after interim answers": {response: "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, status: 200, want: "hello"},
		"an error of its own":   {response: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", status: 500},
		"503 without a word":    {response: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", status: 503},
		"refused unrun": {
			response: "HTTP/1.1 503 Busy\r\nRan: no\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n",
			kind:     fault.Overloaded, execution: fault.NotExecuted,
		},
		"another's answer": {
			response: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n", kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"an extra answer first": {
			response: "HTTP/1.1 200 OK\r\nRequest-Id: late\r\nContent-Length: 4\r\n\r\nlate" + okResponse, status: 200, want: "hello",
		},
		"extra answers without end": {
			response: strings.Repeat("HTTP/1.1 200 OK\r\nRequest-Id: late\r\nContent-Length: 4\r\n\r\nlate", 9),
			kind:     fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"an extra answer of no length": {
			response: "HTTP/1.1 200 OK\r\nRequest-Id: late\r\n\r\nlate", after: closeNow, kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"another upstream has the address": {
			response: "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", kind: fault.Missing, execution: fault.NotExecuted,
		},
		"cut short": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello", after: closeNow, status: 200, want: "hello",
			kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"chunks cut short": {
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", after: closeNow, status: 200, want: "hello",
			kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"no answer": {response: noResponse, after: closeNow, kind: fault.Corrupt, execution: fault.MaybeExecuted},
		"status 000": {
			response: "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n", kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"status 000 before a response": {
			response: "HTTP/1.1 000 \r\n\r\n" + okResponse, kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"status 099 before a response": {
			response: "HTTP/1.1 099 \r\n\r\n" + okResponse, kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"a status with a sign": {
			response: "HTTP/1.1 +20 OK\r\n\r\n" + okResponse, kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"status 600": {
			response: "HTTP/1.1 600 \r\nContent-Length: 2\r\n\r\nhi", kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"status 999": {
			response: "HTTP/1.1 999 \r\nContent-Length: 2\r\n\r\nhi", kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"another protocol that was not asked for": {
			response: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + okResponse,
			kind:     fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"a blank before a colon": {
			response: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhi", after: closeNow, kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"a blank in a name": {
			response: "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 2\r\n\r\nhi", kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"a control byte in a name": {
			response: "HTTP/1.1 200 OK\r\nA\x01B: c\r\nContent-Length: 2\r\n\r\nhi", kind: fault.Corrupt, execution: fault.MaybeExecuted,
		},
		"not HTTP":          {response: "220 smtp ready\r\n\r\n", kind: fault.Corrupt, execution: fault.MaybeExecuted},
		"before the body":   {response: "early " + okResponse, length: 1 << 22, body: strings.Repeat("x", 1<<22), status: 200, want: "hello"},
		"body is cut short": {response: okResponse, length: 100, body: "short", kind: fault.Corrupt, execution: fault.MaybeExecuted},
		"body of no length": {response: okResponse, length: -1, body: "some", status: 200, want: "hello"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScriptedUpstream(t, []string{test.response}, test.after)
			d := NewDialer(s.listener.Addr().String())
			defer d.Close()
			got, err := send(d, Request{ID: "id-1", Method: http.MethodPost, Length: test.length}, strings.NewReader(test.body), false)
			if diff := cmp.Diff([]any{test.status, test.want, test.kind}, []any{got.head.Status, got.body.String(), fault.KindOf(err)}); diff != "" {
				t.Errorf("%s\n%v", diff, err)
			}
			if err != nil && fault.From(err).Execution() != test.execution {
				t.Errorf("execution %s, want %s: %v", fault.From(err).Execution(), test.execution, err)
			}
		})
	}
}

// TestReuse checks in which states an idle connection is reused for the next request.
func TestReuse(t *testing.T) {
	stray := func(conn net.Conn) { _, _ = io.WriteString(conn, okResponse); _, _ = io.Copy(io.Discard, conn) }
	tests := map[string]struct {
		responses  []string
		after      func(net.Conn)
		idempotent bool
		age        time.Duration // of the last response on the idle connection
		conns      int32         // opened in total
	}{
		"proven":                        {[]string{okResponse, okResponse}, nil, false, 0, 1},
		"not proven, may not run twice": {[]string{okResponse, okResponse}, nil, false, 2 * recentResponse, 2},
		"not proven, idempotent":        {[]string{okResponse, okResponse}, nil, true, 2 * recentResponse, 1},
		"too old":                       {[]string{okResponse, okResponse}, nil, true, 2 * maxIdleTime, 2},
		"closed by the upstream":        {[]string{okResponse}, closeNow, false, 0, 2},
		"stray bytes after the answer":  {[]string{okResponse}, stray, false, 0, 2},
		"second answer with the first":  {[]string{okResponse + okResponse, okResponse}, nil, false, 0, 2},
		"past the upstream's own limit": {
			[]string{strings.Replace(okResponse, "\r\n", "\r\nKeep-Alive: timeout=3\r\n", 1), okResponse}, nil, true, 2 * time.Second, 2,
		},
		"the upstream closes after each": {[]string{strings.Replace(okResponse, "\r\n", "\r\nConnection: close\r\n", 1)}, nil, false, 0, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScriptedUpstream(t, test.responses, test.after)
			d := NewDialer(s.listener.Addr().String())
			defer d.Close()
			for i := range 2 {
				r := Request{ID: fmt.Sprintf("id-%d", i), Method: http.MethodPost}
				got, err := send(d, r, strings.NewReader(""), test.idempotent)
				if err != nil || got.body.String() != "hello" {
					t.Fatalf("request %d: %q, %v", i, got.body.String(), err)
				}
				for _, c := range d.idle {
					c.lastResponse = c.lastResponse.Add(-test.age)
					c.usableUntil = c.usableUntil.Add(-test.age)
				}
				if i == 0 {
					// Wait until the bytes or the close after the response have arrived.
					time.Sleep(20 * time.Millisecond)
				}
			}
			if n := s.conns.Load(); n != test.conns {
				t.Errorf("%d connections, want %d", n, test.conns)
			}
		})
	}
}

// TestPutUnused guards against a connection that counts as recently used because a request took it
// and put it back without use: a request that must not run twice would be sent on it.
func TestPutUnused(t *testing.T) {
	s := newScriptedUpstream(t, []string{okResponse, okResponse}, nil)
	d := NewDialer(s.listener.Addr().String())
	defer d.Close()
	if _, err := send(d, Request{ID: "id-1", Method: http.MethodGet}, strings.NewReader(""), true); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(2 * recentResponse)
	c, err := d.Get(t.Context(), later, false)
	if err != nil || !c.Reused() {
		t.Fatalf("the connection isn't reused, %v", err)
	}
	d.Put(c, later, 2)
	again, err := d.Get(t.Context(), later, true)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = again.Close() }()
	if again.Reused() {
		t.Error("a request that must not run twice got a connection whose last response is old")
	}
}

func TestStripHop(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Private"}, "X-Private": {"1"}, "Transfer-Encoding": {"chunked"}, "Te": {"x"}, "X-Kept": {"1"},
	}
	StripHop(h)
	if diff := cmp.Diff(http.Header{"X-Kept": {"1"}}, h); diff != "" {
		t.Error(diff)
	}
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte(strings.ReplaceAll(okResponse, "%ID%", "id-1")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 x\r\nRan: no\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		var group errgroup.Group
		group.Go(func() error {
			_, _ = http.ReadRequest(bufio.NewReader(far))
			_, _ = far.Write(data)
			return far.Close()
		})
		deadline := time.Now().Add(5 * time.Second)
		r := &Request{ID: "id-1", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}}
		x := NewExchange(r, testDialect{}, deadline, NewConn(near))
		s := &sink{}
		_, err := x.Run(context.Background(), http.NoBody, s)
		_ = near.Close()
		_ = group.Wait()
		if err == nil && s.head.Length >= 0 && s.head.Length != int64(s.body.Len()) {
			t.Errorf("a response with a body of %d bytes was accepted, its length is %d", s.body.Len(), s.head.Length)
		}
	})
}
