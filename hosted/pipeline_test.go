package hosted

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPipelinedReads guards against reads of one connection that run one after another, and against one that is lost or
// goes on when a planned stop begins, or the caller leaves, with several in progress. Three reads are sent at once; the
// upstream answers once it has all three.
func TestPipelinedReads(t *testing.T) {
	answers := func(bodies ...string) (out []reply) {
		for _, body := range bodies {
			out = append(out, reply{Status: http.StatusOK, Body: body, Sealed: true})
		}
		return out
	}
	tests := map[string]struct {
		meanwhile func(c *cluster, m *member, caller net.Conn)
		stays     bool // the caller
		runs      map[string]int
		closed    bool // after the answers
	}{
		"nothing else": {
			meanwhile: func(*cluster, *member, net.Conn) {},
			stays:     true,
			runs:      map[string]int{"1": 1, "2": 1, "3": 1, "4": 1, "5": 1},
		},
		"a planned stop": {
			meanwhile: func(c *cluster, m *member, _ net.Conn) {
				m.stop()
				c.await("the begin of the stop", func() bool { return !m.instance.ingress.Ready() })
			},
			stays:  true,
			runs:   map[string]int{"1": 1, "2": 1, "3": 1},
			closed: true,
		},
		"a new configuration": {
			meanwhile: func(c *cluster, m *member, _ net.Conn) {
				c.configure(reads, orders)
				c.await("the configuration", func() bool { return m.instance.planner.Table().Version() == c.version })
			},
			stays: true,
			runs:  map[string]int{"1": 1, "2": 1, "3": 1, "4": 1, "5": 1},
		},
		"the caller leaves": {
			meanwhile: func(_ *cluster, _ *member, caller net.Conn) { _ = caller.Close() },
			runs:      map[string]int{"1": 1, "2": 1, "3": 1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.grace = 4
			c.configure(reads, orders)
			var mu sync.Mutex
			began := make(map[string]bool)
			gate, ended := make(chan struct{}), make(chan string, 8)
			release := sync.OnceFunc(func() { close(gate) })
			u := c.rawUpstream("i-raw", func(conn net.Conn, _ int, id string) bool {
				mu.Lock()
				began[id] = true
				mu.Unlock()
				if id == "1" || id == "2" || id == "3" {
					if !test.stays {
						_, _ = conn.Read(make([]byte, 1)) // until the instance closes the connection
						ended <- id
						return false
					}
					<-gate
				}
				_, _ = io.WriteString(conn, sealed(id, "body "+id))
				return true
			})
			t.Cleanup(release) // before the upstream is closed
			m := c.start("m", "one-a")
			t.Cleanup(func() {
				if t.Failed() {
					t.Log(m.logs.String())
				}
			})
			c.ready(m, 1)
			time.Sleep(coldStart)
			caller, reader := c.raw(m)
			var sent strings.Builder
			for _, path := range []string{"/read/1", "/read/2", "/read/3", "/order/4", "/read/5"} {
				_, _ = fmt.Fprintf(&sent, "GET %s HTTP/1.1\r\nHost: h.example\r\nHickorydrum-Attempt-Id: %s\r\nHickorydrum-Deadline-Remaining: 900\r\n\r\n",
					path, path[len(path)-1:])
			}
			if _, err := io.WriteString(caller, sent.String()); err != nil {
				t.Fatal(err)
			}
			c.await("all three at the upstream", func() bool {
				mu.Lock()
				defer mu.Unlock()
				return began["1"] && began["2"] && began["3"]
			})
			test.meanwhile(c, m, caller)
			if !test.stays {
				for range 3 {
					select {
					case <-ended:
					case <-time.After(waitTimeout):
						t.Fatal("a read goes on though its caller has left")
					}
				}
			}
			release()
			if test.stays {
				want := answers("body 1", "body 2", "body 3")
				if !test.closed {
					want = append(want, answers("body 4", "body 5")...)
				}
				var got []reply
				for range want {
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						t.Error(err)
						break
					}
					body, err := io.ReadAll(resp.Body)
					got = append(got, reply{
						Status: resp.StatusCode, Body: string(body), Err: err != nil,
						Sealed: resp.Header.Get("Hickorydrum-Server-Seal") != "",
					})
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Error(diff)
				}
			}
			if test.closed {
				if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
					t.Errorf("after the answers: %q, %v", rest, err)
				}
			}
			c.await("no connection in use", func() bool { return m.instance.servers.front.Counts().Serving == 0 })
			got := make(map[string]int)
			for _, id := range []string{"1", "2", "3", "4", "5"} {
				if n := u.ran(id); n > 0 {
					got[id] = n
				}
			}
			if diff := cmp.Diff(test.runs, got); diff != "" {
				t.Errorf("runs: %s", diff)
			}
		})
	}
}
