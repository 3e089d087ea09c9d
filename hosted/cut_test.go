package hosted

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestHeadCutAnywhere guards against an empty or short response that looks whole, since the upstream
// stopped in the midst of the head of its response and closed: at each byte of it, with and without a
// length, to requests that may be repeated and others.
func TestHeadCutAnywhere(t *testing.T) {
	const (
		body     = "the whole body"
		sealName = "Hickorydrum-Server-Seal: x\r\n"
	)
	head := func(id, lines string) string {
		return "HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: " + id + "\r\n" + sealName + lines + "\r\n"
	}
	tests := map[string]string{ // further lines of the head
		"with a length":             fmt.Sprintf("Content-Length: %d\r\n", len(body)),
		"until the connection ends": "",
		"in chunks":                 "Transfer-Encoding: chunked\r\n",
	}
	for name, lines := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+", "+method, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				c.configure(testRoute{prefix: "/read/", kind: map[string]string{http.MethodGet: "safe", http.MethodPost: "unsafe"}[method], service: "list", attempts: 1})
				var upstreams []*rawUpstream
				m := c.start("m", "one-a")
				at := make(chan int, 1)
				for i := range 3 { // one that failed is avoided for a moment
					upstreams = append(upstreams, c.rawUpstream(fmt.Sprint("i-", i), func(conn net.Conn, _ int, id string) bool {
						whole := head(id, lines)
						_, _ = io.WriteString(conn, whole[:min(len(whole), <-at)])
						return false
					}))
				}
				c.ready(m, len(upstreams))
				time.Sleep(coldStart)
				size := len(head("id-100", lines))
				for cut := 0; cut < size; cut++ {
					id := fmt.Sprint("id-", 100+cut)
					at <- cut
					got := c.send(m, callerRequest{method: method, path: "/read/a", id: id})
					ran := 0
					for _, u := range upstreams {
						ran += u.ran(id)
					}
					if ran == 0 {
						<-at // it did not reach an upstream: once more
						cut--
						time.Sleep(20 * time.Millisecond)
						continue
					}
					if got.Err || got.Status < http.StatusInternalServerError || strings.Contains(got.Body, body) || got.Status == http.StatusServiceUnavailable {
						t.Errorf("cut at byte %d of %d: the caller got %+v", cut, size, got)
					}
				}
			})
		}
	}
}
