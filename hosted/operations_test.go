package hosted

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"hickorydrum/requestlog"
	"hickorydrum/standin"
)

// TestOperations causes each kind of failed request in docs/OPERATIONS.md. From the request's
// id and the instance's logs alone, the documented steps must lead to the documented cause.
func TestOperations(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		// documentedCause is the cause as the page names it, and want are the texts that the
		// history of the request must contain.
		documentedCause string
		want            []string
		cause           func(c *cluster, m *member, w *standin.Worker) string // causes the failure and returns the id of the request
	}{
		"refused early": {
			documentedCause: "no upstream can serve it: none",
			want:            []string{"refused, status 503", "cause: no upstream can serve it: none", "before it"},
			cause: func(c *cluster, m *member, w *standin.Worker) string {
				c.register(w, "list", "one-a", "draining")
				c.await("the drain", func() bool { return len(m.instance.planner.View().Service("list")) == 0 })
				c.send(m, callerRequest{path: "/read/x", id: "early"})
				return "early"
			},
		},
		"refused by a limit": {
			documentedCause: "no upstream can serve it: limited",
			want:            []string{"refused, status 503", "cause: no upstream can serve it: limited", "last choice: limited", "an upstream names a limit"},
			cause: func(c *cluster, m *member, w *standin.Worker) string {
				w.NameLimit("0")
				id := ""
				c.await("a refusal", func() bool {
					id += "x"
					return c.send(m, callerRequest{path: "/read/x", id: id}).Status == http.StatusServiceUnavailable
				})
				return id
			},
		},
		"rejected by a planned stop": {
			documentedCause: "the instance stops before the request's deadline",
			want: []string{
				"refused, status 503", "cause: the instance stops before the request's deadline", "last choice: stopping",
				"whether it ran: no upstream ran it; another instance can serve it at once", "planned stop of the instance from",
			},
			cause: func(c *cluster, m *member, _ *standin.Worker) string {
				m.stop()
				id := ""
				c.await("a rejection", func() bool {
					id += "x"
					return c.send(m, callerRequest{path: "/read/x", id: id}).Status == http.StatusServiceUnavailable
				})
				return id
			},
		},
		"502 after a lost answer": {
			documentedCause: "the connection to the upstream ended without an answer",
			want:            []string{"lost, status 502", "cause: the connection to the upstream ended without an answer", "last upstream: i-", "sent to 1 in all"},
			cause: func(c *cluster, m *member, w *standin.Worker) string {
				w.Fail(standin.WorkerReset, -1)
				c.send(m, callerRequest{method: http.MethodPost, path: "/order/x", id: "lost", body: "b", object: "7"})
				return "lost"
			},
		},
		"502 after an invalid answer": {
			documentedCause: "the upstream's answer is not valid",
			want:            []string{"lost, status 502", "cause: the upstream's answer is not valid", "last upstream: i-", "sent to 1 in all"},
			cause: func(c *cluster, m *member, w *standin.Worker) string {
				w.Fail(standin.WorkerGarbage, -1)
				c.send(m, callerRequest{method: http.MethodPost, path: "/order/x", id: "invalid", body: "b", object: "7"})
				return "invalid"
			},
		},
		"no whole response": {
			documentedCause: "| `caller-left` |",
			want:            []string{"its caller got no whole response: the caller closed the connection", "whether it ran: an upstream"},
			cause: func(c *cluster, m *member, w *standin.Worker) string {
				w.Fail(standin.WorkerSilent, -1)
				conn, _ := c.raw(m)
				_, err := io.WriteString(conn, "POST /order/x HTTP/1.1\r\nHost: h.example\r\nHickorydrum-Attempt-Id: left\r\nContent-Length: 1\r\n\r\nb")
				if err != nil {
					c.t.Fatal(err)
				}
				c.await("the request at the worker", func() bool { return w.Runs("left") == 1 })
				_ = conn.Close()
				c.await("the line about the response", func() bool { return lineOf(m, "left", `"event":504`) != "" })
				return "left"
			},
		},
		"cut off by a planned stop": {
			documentedCause: "| `stopped` |",
			want: []string{
				"its caller got no whole response: the instance closed the connection at the end of its stop", "whether it ran: an upstream",
				`step "last answers" done`, "left 0 idle, 0 reading, 1 serving", "stop done, open: 0 idle, 0 reading, 1 serving",
			},
			cause: func(c *cluster, m *member, w *standin.Worker) string {
				w.Fail(standin.WorkerEndless, -1)
				conn, _ := c.raw(m) // the response is not read
				_, err := io.WriteString(conn, "GET /read/x HTTP/1.1\r\nHost: h.example\r\nHickorydrum-Attempt-Id: unread\r\n\r\n")
				if err != nil {
					c.t.Fatal(err)
				}
				c.await("the request at the worker", func() bool { return w.Runs("unread") == 1 })
				m.stop()
				c.await("the line about the response", func() bool { return lineOf(m, "unread", `"event":504`) != "" })
				return "unread"
			},
		},
		"served late by a spill": {
			documentedCause: "last choice: spill",
			want:            []string{"answered, status 200", "last choice: spill", "last upstream: i-"},
			cause: func(c *cluster, m *member, w *standin.Worker) string {
				w.Fail(standin.WorkerFail, -1)
				other := c.worker("list", "one-a", func(w *standin.WorkerConfig) {
					w.Warm, w.Cold = 150*time.Millisecond, 150*time.Millisecond
				})
				c.ready(m, 2)
				id := ""
				c.await("a spill", func() bool {
					id += "x"
					c.send(m, callerRequest{path: "/read/x", id: id, object: "object-" + id})
					return other.Runs(id) == 1 && strings.Contains(lineOf(m, id), `"reason":"spill"`)
				})
				return id
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(string(page), test.documentedCause) {
				t.Fatalf("the page does not mention %q", test.documentedCause)
			}
			c := newCluster(t)
			c.configure(reads, orders)
			w := c.worker("list", "one-a", nil)
			m := c.start("a", "one-a")
			c.ready(m, 1)
			c.await("an answer", func() bool { return c.send(m, callerRequest{path: "/read/x", id: "first"}).Status == http.StatusOK })
			id := test.cause(c, m, w)
			c.await("the line about the request", func() bool { return lineOf(m, id) != "" })
			history, err := requestlog.Collect(strings.NewReader(m.logs.String()), id)
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := history.Write(&out); err != nil {
				t.Fatal(err)
			}
			for _, want := range test.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("%q is missing in:\n%s", want, out.String())
				}
			}
		})
	}
}

// lineOf returns the first line with the given parts that an instance logged about a request, or "" if there is none.
func lineOf(m *member, id string, parts ...string) string {
	parts = append(parts, `"id":"`+id+`"`)
	for _, line := range strings.Split(m.logs.String(), "\n") {
		if !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) }) {
			return line
		}
	}
	return ""
}
