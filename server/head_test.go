package server

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestParseAhead guards against a request that runs before its turn though the HTTP server may refuse it, close
// the connection after it, or read a body behind its head.
func TestParseAhead(t *testing.T) {
	const whole = "GET /a?b=c HTTP/1.1\r\nHost: h.example:80\r\nX-Y: z\r\n\r\n"
	with := func(line string) string { return strings.Replace(whole, "X-Y: z", line, 1) }
	tests := map[string]struct {
		text    string
		accepts bool
	}{
		"plain":                   {whole, true},
		"another method":          {strings.Replace(whole, "GET", "DELETE", 1), true},
		"an address":              {strings.Replace(whole, "h.example", "[::1]", 1), true},
		"an empty body":           {with("Content-Length: 0"), true},
		"keep-alive":              {with("Connection: Keep-Alive"), true},
		"a tab in a value":        {with("X: a\tb"), true},
		"a body":                  {with("Content-Length: 1"), false},
		"a body in chunks":        {with("Transfer-Encoding: chunked"), false},
		"close":                   {with("Connection: close"), false},
		"close among others":      {with("Connection: x, close"), false},
		"another connection":      {with("Connection: upgrade"), false},
		"two connections":         {with("Connection: keep-alive\r\nConnection: close"), false},
		"upgrade":                 {with("Upgrade: h2c"), false},
		"an expectation":          {with("Expect: 100-continue"), false},
		"a control character":     {with("X: \x01"), false},
		"a delete character":      {with("X: \x7f"), false},
		"a name that is no token": {with("X(: a"), false},
		"no colon":                {with("X"), false},
		"two hosts":               {with("Host: h"), false},
		"no host":                 {strings.Replace(whole, "Host", "Most", 1), false},
		"an odd host":             {strings.Replace(whole, "h.example", "h/e", 1), false},
		"an absolute target":      {strings.Replace(whole, "/a", "http://h/a", 1), false},
		"no target":               {strings.Replace(whole, "/a?b=c", "*", 1), false},
		"a malformed target":      {strings.Replace(whole, "/a", "/%zz", 1), false},
		"HTTP/1.0":                {strings.Replace(whole, "HTTP/1.1", "HTTP/1.0", 1), false},
		"HTTP/2.0":                {strings.Replace(whole, "HTTP/1.1", "HTTP/2.0", 1), false},
		"malformed":               {"GET\r\n\r\n", false},
		"nothing":                 {"\r\n", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, ok := parseAhead([]byte(test.text))
			if ok != test.accepts || ok != (r != nil) {
				t.Errorf("accepts it: %v, want %v", ok, test.accepts)
			}
		})
	}
}

// FuzzReadAhead guards against a request that runs before its turn and is not the one that the HTTP server reads at
// its turn: one with other fields, or one that begins or ends elsewhere. Where heads arrive in parts must not matter.
func FuzzReadAhead(f *testing.F) {
	for _, seed := range []string{
		get("/read/1") + get("/read/2"),
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + get("/"),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/"),
		"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\n\n",
		"GET * HTTP/0.0\r\n0000:0\r\nContent-Length :1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\ncontent-length: 3\r\n\r\n",
	} {
		f.Add([]byte(seed), uint8(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, size uint8) {
		for len(data) > 0 {
			var h, parts head
			n := h.feed(data)
			if got := feedParts(&parts, data, 1+int(size)); got != n || !sameEnd(&h, &parts) {
				t.Fatalf("the head ends after %d bytes of %q, or %d if it arrives in parts", n, data, got)
			}
			if !h.ended {
				return
			}
			ahead, accepted := parseAhead(data[:n])
			read, used, err := readNext(data)
			if err != nil {
				if accepted {
					t.Fatalf("accepted %q: %v", data[:n], err)
				}
				return
			}
			if used != n || read.ContentLength != h.length || len(read.TransferEncoding) > 0 {
				t.Fatalf("a head of %d bytes and a body of %d; the HTTP server reads %d and %d: %q", n, h.length, used, read.ContentLength, data)
			}
			if accepted && h.length != 0 {
				t.Fatalf("accepted with a body: %q", data)
			}
			if accepted {
				if diff := cmp.Diff(fields(read), fields(ahead)); diff != "" {
					t.Fatal(diff)
				}
			}
			data = data[n:]
			data = data[min(int64(len(data)), h.length):]
		}
	})
}

// feedParts feeds a head in parts of the given size and returns how many bytes belong to it.
func feedParts(h *head, data []byte, size int) int {
	n := 0
	for n < len(data) && !h.ended && !h.irregular {
		n += h.feed(data[n:min(n+size, len(data))])
	}
	return n
}

func sameEnd(a, b *head) bool {
	return a.ended == b.ended && a.irregular == b.irregular && a.length == b.length
}

// readNext reads a request as the HTTP server does, and returns how many bytes its head has.
func readNext(data []byte) (r *http.Request, used int, err error) {
	source := bytes.NewReader(data)
	reader := bufio.NewReader(source)
	r, err = http.ReadRequest(reader)
	return r, len(data) - source.Len() - reader.Buffered(), err
}

// fields returns what a handler reads of a request.
func fields(r *http.Request) []any {
	return []any{r.Method, r.RequestURI, r.URL.String(), r.Host, r.Header, r.Proto, r.ContentLength, r.Close}
}

// TestAdvance guards against bytes of the next request that reach the HTTP server before it has finished the one before,
// however the bytes of that arrive.
func TestAdvance(t *testing.T) {
	tests := map[string]struct {
		request string
		raw     bool // its end is not known
	}{
		"no body":          {request: get("/")},
		"a body":           {request: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\nabc\r\n\r\ndefgh"},
		"an empty body":    {request: "POST / HTTP/1.1\r\nHost: h\r\ncontent-length:\t0 \r\n\r\n"},
		"a body in chunks": {request: "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", raw: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			stream := []byte(test.request + get("/next"))
			for size := 1; size <= len(stream); size++ {
				p, n := &pipeline{}, 0
				for n < len(stream) && !p.whole {
					n += p.advance(stream[n:min(n+size, len(stream))])
				}
				want := len(test.request)
				if test.raw {
					want = len(stream)
				}
				if n != want || p.raw != test.raw {
					t.Fatalf("%d bytes in parts of %d, raw %v; want %d bytes, raw %v", n, size, p.raw, want, test.raw)
				}
			}
		})
	}
}
