package server

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"hickorydrum/memory"
)

// TestHeadCount guards against a head whose end is not seen, so that its body counts, or whose lines are not
// counted because it comes in parts.
func TestHeadCount(t *testing.T) {
	tests := map[string]struct {
		text string
		want headCount
	}{
		"whole":                 {"GET / HTTP/1.1\r\na: b\r\n\r\n", headCount{bytes: 24, lines: 3, begun: true, ended: true, last: '\r'}},
		"with a body":           {"GET / HTTP/1.1\r\n\r\nx\n\ny\n", headCount{bytes: 18, lines: 2, begun: true, ended: true, last: '\r'}},
		"without CR":            {"GET / HTTP/1.1\n\n", headCount{bytes: 16, lines: 2, begun: true, ended: true, last: '1'}},
		"unfinished":            {"GET / HTTP/1.1\r\na:", headCount{bytes: 18, lines: 1, line: 2, begun: true, last: ':'}},
		"empty lines before":    {"\r\n\r\n\nGET / HTTP/1.1\r\n", headCount{bytes: 21, lines: 4, begun: true, last: '\r'}},
		"empty lines only":      {"\r\n\r\n\r\n", headCount{bytes: 6, lines: 3, last: '\r'}},
		"a line that is a CR":   {"GET / HTTP/1.1\r\na\r\r\n", headCount{bytes: 20, lines: 2, begun: true, last: '\r'}},
		"a character that ends": {"GET / HTTP/1.1\r\nx\n", headCount{bytes: 18, lines: 2, begun: true, last: 'x'}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, len(test.text)} {
				var got headCount
				for rest := []byte(test.text); len(rest) > 0; {
					n := min(size, len(rest))
					got.add(rest[:n])
					rest = rest[n:]
				}
				if diff := cmp.Diff(test.want, got, cmp.AllowUnexported(headCount{})); diff != "" {
					t.Errorf("in parts of %d (-want +got):\n%s", size, diff)
				}
			}
		})
	}
}

// serveLimited starts a server with limits, whose responses have the text, and returns a function that dials it.
func serveLimited(t *testing.T, handler http.HandlerFunc, l Limits) (*Server, func() net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(listener, handler, slog.New(slog.DiscardHandler), WithLimits(l))
	var group errgroup.Group
	group.Go(func() error {
		s.Serve()
		return nil
	})
	t.Cleanup(func() {
		_ = s.Close()
		_ = group.Wait()
	})
	return s, func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // a read fails if the connection is closed
		return c
	}
}

func ok(http.ResponseWriter, *http.Request) {}

// TestHeadLimits guards against heads over a limit that are served, or refused without a status and, where nothing is
// wrong with the request, a time to return; and against heads within the limits that are refused. A request after them
// is served.
func TestHeadLimits(t *testing.T) {
	const size = 80 << 10
	lines := func(n int) string { return strings.Repeat("a: b\r\n", n) }
	long := "a: " + strings.Repeat("b", size) + "\r\n"
	tests := map[string]struct {
		limits    Limits
		maxHeader int
		lines     string
		want      int
	}{
		"few lines":               {limits: Limits{HeaderLines: 100}, lines: lines(50), want: 200},
		"too many lines":          {limits: Limits{HeaderLines: 100}, lines: lines(101), want: 431},
		"many lines, no limit":    {lines: lines(5000), want: 200},
		"too long":                {lines: long, want: 431},
		"long, as configured":     {maxHeader: size + 100, lines: long, want: 200},
		"over the configured":     {maxHeader: size - 8<<10, lines: long, want: 431},
		"configured below 64 KiB": {maxHeader: 1 << 10, lines: "a: " + strings.Repeat("b", 60<<10) + "\r\n", want: 200},
		"no room":                 {limits: Limits{Heads: memory.New(requestBytes + 4096)}, lines: lines(100), want: 503},
		"room":                    {limits: Limits{Heads: memory.New(1 << 20)}, lines: lines(50), want: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, dial := serveLimited(t, ok, test.limits)
			s.SetMaxHeader(test.maxHeader)
			if got := exchangeHead(t, dial(), test.lines); got != test.want {
				t.Errorf("status %d, want %d", got, test.want)
			}
			if got := exchangeHead(t, dial(), ""); got != http.StatusOK {
				t.Errorf("status %d of a request afterwards", got)
			}
			awaitCounts(t, s, Counts{})
			if used := test.limits.Heads.Used(); used != 0 {
				t.Errorf("%d bytes are held after all requests", used)
			}
		})
	}
}

// exchangeHead sends a request with the lines, closes the connection and returns the status of the response.
func exchangeHead(t *testing.T, c net.Conn, lines string) int {
	t.Helper()
	defer func() { _ = c.Close() }()
	var group errgroup.Group
	group.Go(func() error {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+lines+"\r\n") // a refusal may come before
		return nil
	})
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = c.Close()
	_ = group.Wait()
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); resp.StatusCode == http.StatusServiceUnavailable &&
		(err != nil || seconds <= 0) {
		t.Errorf("Retry-After %q", resp.Header.Get("Retry-After"))
	}
	return resp.StatusCode
}

// TestConnectionLimit guards against more connections than the limit, and against one with a request under way that is
// closed for a new one.
func TestConnectionLimit(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s, dial := serveLimited(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			begun <- struct{}{}
			<-release
		}
	}, Limits{Connections: 2})
	request := func(c net.Conn, path string) int {
		t.Helper()
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
			return 0
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	busy, first, second := dial(), dial(), net.Conn(nil)
	var group errgroup.Group
	group.Go(func() error {
		if got := request(busy, "/wait"); got != http.StatusOK {
			t.Errorf("status %d of the request under way", got)
		}
		return nil
	})
	<-begun
	if got := request(first, "/"); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
	awaitCounts(t, s, Counts{Idle: 1, Serving: 1})
	time.Sleep(2 * minIdle)
	second = dial() // closes the first one
	if got := request(second, "/"); got != http.StatusOK {
		t.Errorf("status %d on a connection for which an idle one is closed", got)
	}
	if _, err := first.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a read on the idle connection returns %v", err)
	}
	third := dial() // the second one was idle only now
	resp, err := http.ReadResponse(bufio.NewReader(third), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a connection beyond the limit gets %v, %v", resp, err)
	}
	awaitCounts(t, s, Counts{Idle: 1, Serving: 1})
	close(release)
	_ = group.Wait()
}

// TestTooSlow guards against a slow link that counts as a stalled client, and the reverse.
func TestTooSlow(t *testing.T) {
	type check struct {
		after  time.Duration // since the last check
		read   int64
		unread bool
		want   bool
	}
	tests := map[string][]check{
		"nothing":                {{after: ratePeriod, want: true}},
		"not a whole period":     {{after: ratePeriod - 1}},
		"a slow link":            {{after: ratePeriod, read: 8 << 10}, {after: ratePeriod, read: 8 << 10}},
		"a pause":                {{after: ratePeriod - time.Second}, {after: time.Second, read: 8 << 10}},
		"stalls at the end":      {{after: ratePeriod, read: 1 << 20}, {after: ratePeriod, want: true}},
		"a byte now and then":    {{after: time.Second, read: 1}, {after: time.Second, read: 1}, {after: ratePeriod - 2*time.Second, read: 1, want: true}},
		"bytes are not read":     {{after: ratePeriod, unread: true}, {after: ratePeriod, want: true}},
		"the process was paused": {{after: time.Minute, unread: true}, {after: time.Second}},
	}
	for name, checks := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			in := &intake{since: now}
			for i, c := range checks {
				now = now.Add(c.after)
				in.total += c.read
				if got := in.tooSlow(now, c.unread); got != c.want {
					t.Errorf("check %d: %v, want %v", i, got, c.want)
				}
			}
		})
	}
}

// TestCloseStalled guards against connections that stay open while a head or a body on them does not go on, and against
// a request that is ended although its handler does not wait for the client.
func TestCloseStalled(t *testing.T) {
	later := time.Now().Add(time.Hour)
	reads := make(chan error, 1)
	handler := func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			defer Receiving(r.Context())()
		}
		_, err := io.Copy(io.Discard, r.Body)
		reads <- err
	}
	const body = "POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab"
	tests := map[string]struct {
		sent   string
		state  Counts
		limits Limits
		want   Counts
		ended  bool // the read of the body
	}{
		"head":                      {"GET / HTTP", Counts{Reading: 1}, Limits{MinRate: true}, Counts{}, false},
		"head, no limit":            {"GET / HTTP", Counts{Reading: 1}, Limits{}, Counts{Reading: 1}, false},
		"body":                      {fmt.Sprintf(body, "read"), Counts{Serving: 1}, Limits{MinRate: true}, Counts{}, true},
		"the handler does not wait": {fmt.Sprintf(body, "other"), Counts{Serving: 1}, Limits{MinRate: true}, Counts{Serving: 1}, false},
		"idle":                      {"", Counts{Idle: 1}, Limits{MinRate: true}, Counts{Idle: 1}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, dial := serveLimited(t, handler, test.limits)
			c := dial()
			if _, err := io.WriteString(c, test.sent); err != nil {
				t.Fatal(err)
			}
			awaitCounts(t, s, test.state)
			time.Sleep(20 * time.Millisecond) // the handler waits for the body
			s.CloseStalled(later)
			if test.ended {
				if err := <-reads; !os.IsTimeout(err) {
					t.Errorf("the read of the body ended with %v", err)
				}
			}
			awaitCounts(t, s, test.want)
			_ = c.Close()
			if strings.HasPrefix(test.sent, "POST") && !test.ended {
				<-reads
			}
		})
	}
}

// FuzzHeadCount guards against a count that depends on the parts in which a head arrives, and against an end of the head
// where package net/http would read on.
func FuzzHeadCount(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\na: b\r\n\r\nbody", 3)
	f.Add("\r\n\n\rGET / HTTP/1.1\n\n", 1)
	f.Fuzz(func(t *testing.T, text string, size int) {
		var whole, parts headCount
		whole.add([]byte(text))
		for rest := []byte(text); len(rest) > 0; {
			n := min(max(1, size), len(rest))
			parts.add(rest[:n])
			rest = rest[n:]
		}
		if diff := cmp.Diff(whole, parts, cmp.AllowUnexported(headCount{})); diff != "" {
			t.Errorf("whole and in parts (-whole +parts):\n%s", diff)
		}
		if whole.bytes > len(text) || whole.ended && !strings.HasSuffix(text[:whole.bytes], "\n") {
			t.Errorf("%+v", whole)
		}
	})
}
