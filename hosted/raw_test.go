package hosted

import (
	"bufio"
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

// rawUpstream is an upstream that writes the given bytes to its connections.
type rawUpstream struct {
	listener net.Listener
	group    errgroup.Group
	// respond writes the response to the request with the ID, the n-th on its connection from 0. It
	// reports whether the connection stays open.
	respond func(conn net.Conn, n int, id string) bool

	mu    sync.Mutex
	conns []net.Conn
	runs  map[string]int
}

// rawUpstream starts an upstream of the service list and registers it.
func (c *cluster) rawUpstream(id string, respond func(conn net.Conn, n int, id string) bool) *rawUpstream {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	u := &rawUpstream{listener: listener, respond: respond, runs: make(map[string]int)}
	u.group.Go(u.accept)
	c.t.Cleanup(u.close)
	c.put(platform.KindUpstreams+"/"+id, fmt.Appendf(nil,
		`{"address":%q,"born":1,"info":{"service":"list","zone":"one-a","slots":4},"status":{"state":"ready"}}`, listener.Addr()))
	return u
}

func (u *rawUpstream) accept() error {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return nil
		}
		u.mu.Lock()
		u.conns = append(u.conns, conn)
		u.mu.Unlock()
		u.group.Go(func() error { return u.serve(conn) })
	}
}

func (u *rawUpstream) serve(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return nil
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Hickorydrum-Attempt-Id")
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
		if !u.respond(conn, n, id) {
			return nil
		}
	}
}

func (u *rawUpstream) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	for _, conn := range u.conns {
		_ = conn.Close()
	}
	u.mu.Unlock()
	_ = u.group.Wait()
}

// ran returns how often the request with the ID was run.
func (u *rawUpstream) ran(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// sealed returns a whole response of an upstream to the request with the ID.
func sealed(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: %s\r\nHickorydrum-Server-Seal: x\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
}

// refusal returns the refusal of the request with the ID, or of one that it does not name.
func refusal(id string) string {
	name := ""
	if id != "" {
		name = "Hickorydrum-Attempt-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + name + "Hickorydrum-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// TestEarlierRefusal guards against a 503 for a request that was run, and a response that is not that of the
// request, when an upstream writes an earlier refusal once more on a kept connection: before, with, after
// or in the midst of the true response.
func TestEarlierRefusal(t *testing.T) {
	body := strings.Repeat("the true response ", 20)
	const pause = 20 * time.Millisecond // so that two writes arrive apart
	tests := map[string]struct {
		second func(conn net.Conn, id string) // writes the response to the second request of a connection
		read   reply                          // what the caller of a request that may be repeated gets
		order  reply                          // what the caller of another one gets
	}{
		"before, with the earlier ID": {
			func(conn net.Conn, id string) { _, _ = io.WriteString(conn, refusal("first")+sealed(id, body)) },
			reply{Status: 200, Body: body, Sealed: true},
			reply{Status: 200, Body: body, Sealed: true},
		},
		"before and apart, with the earlier ID": {
			func(conn net.Conn, id string) {
				_, _ = io.WriteString(conn, refusal("first"))
				time.Sleep(pause)
				_, _ = io.WriteString(conn, sealed(id, body))
			},
			reply{Status: 200, Body: body, Sealed: true},
			reply{Status: 200, Body: body, Sealed: true},
		},
		"before, without an ID": {
			func(conn net.Conn, id string) { _, _ = io.WriteString(conn, refusal("")+sealed(id, body)) },
			reply{Status: 502},
			reply{Status: 502},
		},
		"after": {
			func(conn net.Conn, id string) { _, _ = io.WriteString(conn, sealed(id, body)+refusal("first")) },
			reply{Status: 200, Body: body, Sealed: true},
			reply{Status: 200, Body: body, Sealed: true},
		},
		"after and apart": {
			func(conn net.Conn, id string) {
				_, _ = io.WriteString(conn, sealed(id, body))
				time.Sleep(pause)
				_, _ = io.WriteString(conn, refusal("first"))
			},
			reply{Status: 200, Body: body, Sealed: true},
			reply{Status: 200, Body: body, Sealed: true},
		},
		"in the midst of the head": {
			func(conn net.Conn, id string) {
				whole := sealed(id, body)
				at := strings.Index(whole, "Content-Length")
				_, _ = io.WriteString(conn, whole[:at]+refusal("first")+whole[at:])
			},
			reply{Status: 502},
			reply{Status: 502},
		},
		"in the midst of the body": {
			func(conn net.Conn, id string) {
				whole := sealed(id, body)
				at := len(whole) - len(body)/2
				_, _ = io.WriteString(conn, whole[:at]+refusal("first")+whole[at:])
			},
			reply{Status: 502},
			reply{Status: 502},
		},
		"in the midst of the body and apart": {
			func(conn net.Conn, id string) {
				whole := sealed(id, body)
				at := len(whole) - len(body)/2
				for _, part := range []string{whole[:at], refusal("first"), whole[at:]} {
					_, _ = io.WriteString(conn, part)
					time.Sleep(pause)
				}
			},
			reply{Status: 502},
			reply{Status: 502},
		},
	}
	for name, test := range tests {
		for kind, want := range map[string]reply{"read": test.read, "order": test.order} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				c.configure(reads, orders)
				u := c.rawUpstream("i-raw", func(conn net.Conn, n int, id string) bool {
					if n == 1 {
						test.second(conn, id)
					} else {
						_, _ = io.WriteString(conn, sealed(id, body))
					}
					return true
				})
				m := c.start("m", "one-a")
				c.ready(m, 1)
				request := callerRequest{path: "/" + kind + "/a", id: "first"}
				if kind == "order" {
					request.method = http.MethodPost
				}
				c.await("the first request", func() bool { return c.send(m, request).Status == http.StatusOK })
				time.Sleep(pause / 4)
				request.id = "second"
				got := c.send(m, request)
				if got.Status == http.StatusBadGateway {
					got.Body = "" // the instance's own words
				}
				if got != want {
					t.Errorf("the second request got %+v, want %+v", got, want)
				}
				if ran := u.ran("second"); ran != 1 {
					t.Errorf("the second request was run %d times", ran)
				}
				time.Sleep(2 * pause)
				c.await("a later request on a connection of its own", func() bool {
					request.id = fmt.Sprint("later-", time.Now().UnixNano())
					got := c.send(m, request)
					return got.Status == http.StatusOK && got.Body == body
				})
			})
		}
	}
}

// TestInvalidSuccess guards against a caller that gets a success which its upstream didn't make, or a promise that its
// request has not run, and against a second run, if an upstream answers with a success that has one odd field.
func TestInvalidSuccess(t *testing.T) {
	for name, field := range map[string]string{
		"not executed":                    "Hickorydrum-Not-Executed: 1",
		"its MAC for the connection only": "Connection: Hickorydrum-Server-Seal",
		"two MACs":                        "Hickorydrum-Server-Seal: y",
		"two ids":                         "Hickorydrum-Attempt-Id: other",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.configure(orders)
			respond := func(conn net.Conn, _ int, id string) bool {
				_, _ = io.WriteString(conn, strings.Replace(sealed(id, "body"), "\r\n", "\r\n"+field+"\r\n", 1))
				return true
			}
			first, second := c.rawUpstream("i-1", respond), c.rawUpstream("i-2", respond)
			m := c.start("m", "one-a")
			c.ready(m, 2)
			got := c.send(m, callerRequest{method: http.MethodPost, path: "/order/a", id: "order"})
			if got.Status != http.StatusBadGateway {
				t.Errorf("the caller gets %+v, want 502", got)
			}
			if runs := first.ran("order") + second.ran("order"); runs != 1 {
				t.Errorf("the request was run %d times", runs)
			}
		})
	}
}
