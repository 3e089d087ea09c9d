package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/response"
)

// countingSink is a sink that counts the bytes of the body and discards them.
type countingSink struct{ bytes int }

func (*countingSink) Head(Head) error { return nil }

func (c *countingSink) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

// TestEndless guards against an upstream that never stops sending, in each part of a response.
// The exchange must read little of it and close the connection. Only a body without a length is
// forwarded, until the deadline.
func TestEndless(t *testing.T) {
	const (
		// mostRead is how many bytes may be read of a response whose head never ends, including
		// those in the read buffer of the connection.
		mostRead = response.MaxHeadBytes + bufferSize
		ok       = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
		refused  = "HTTP/1.1 503 Busy\r\nRequest-Id: 1\r\nRan: no\r\n"
	)
	tests := map[string]struct {
		first, endless string
		whole          bool // the response is complete before the endless bytes
		forwarded      bool // the endless bytes are a body, which is forwarded
	}{
		"no answer":             {"", "\x00\x01garbage", false, false},
		"a status line":         {"HTTP/1.1 200 ", "OK", false, false},
		"one header":            {ok + "A: ", "b", false, false},
		"headers":               {ok, "A: b\r\n", false, false},
		"informational answers": {"", "HTTP/1.1 100 Continue\r\n\r\n", false, false},
		"informational headers": {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n", false, false},
		"a chunk's extension":   {ok + "Transfer-Encoding: chunked\r\n\r\n5;", "a=b;", false, false},
		"a chunk's size":        {ok + "Transfer-Encoding: chunked\r\n\r\n", "0", false, false},
		"a trailer":             {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", false, false},
		"a refusal's body":      {refused + "\r\n", "bytes", false, false},
		"a refusal's chunks":    {refused + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nhi\r\n", false, false},
		"another's answer":      {"HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nhi\r\n", false, false},
		"a late answer's body":  {"HTTP/1.1 200 OK\r\nRequest-Id: late\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nhi\r\n", false, false},
		"behind the answer":     {ok + "Content-Length: 2\r\n\r\nhi", "bytes", true, false},
		"a body with no length": {ok + "\r\n", "bytes", false, true},
		"a chunked body":        {ok + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nhi\r\n", false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			var group errgroup.Group
			written := 0
			group.Go(func() error {
				if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
					return err
				}
				n, err := io.WriteString(far, test.first)
				written += n
				endless := strings.Repeat(test.endless, 1+4096/len(test.endless))
				for err == nil {
					n, err = io.WriteString(far, endless)
					written += n
				}
				return nil // the exchange has closed the connection
			})
			conn := NewConn(near)
			request := &Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
			limit := time.Minute
			if test.forwarded {
				limit = 100 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			got := &countingSink{}
			reusable, err := NewExchange(request, testDialect{}, time.Now().Add(limit), conn).Run(ctx, http.NoBody, got)
			if (err == nil) != test.whole {
				t.Errorf("the exchange ends with the error %v", err)
			}
			if reusable && !test.whole { // TestReuse covers bytes after a complete response
				t.Error("the connection would be used again")
			}
			_ = conn.Close()
			if err := group.Wait(); err != nil {
				t.Fatal(err)
			}
			if !test.forwarded && written > mostRead+4096+len(test.first) {
				t.Errorf("%d bytes were read", written)
			}
			if test.forwarded && got.bytes == 0 {
				t.Error("no body was forwarded")
			}
		})
	}
}
