package hosted

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestBodyBudget guards against a body within the limits that is refused although there is room or that reaches its
// upstream changed, against one that is sent although it was refused, and against small bodies that large ones keep out.
func TestBodyBudget(t *testing.T) {
	c := newCluster(t)
	c.limits = "[self.limits]\nmemoryMb = 64\nfileDescriptors = 256\n"
	w := c.worker("list", "one-a", nil)
	c.configure(testRoute{prefix: "/order/", kind: "unsafe", service: "list", attempts: 2, timeout: 3000})
	m := c.start("a0", "one-a")
	c.ready(m, 1)
	large, small := strings.Repeat("0123456789abcde\n", 16<<10), "small"
	send := func(id, body string, chunked bool) reply {
		return c.send(m, callerRequest{method: http.MethodPost, path: "/order/x", id: id, body: body, chunked: chunked, remaining: 1500})
	}
	check := func(id, body string, chunked bool, want int) {
		t.Helper()
		runs := 0
		if want == http.StatusOK {
			runs = 1
		}
		if got := send(id, body, chunked); got.Status != want {
			t.Errorf("%s: status %d, want %d: %s", id, got.Status, want, got.Body)
		}
		if got := w.Runs(id); got != runs {
			t.Errorf("%s: run %d times, want %d", id, got, runs)
		}
		if runs > 0 && w.Body(id) != body {
			t.Errorf("%s: the upstream got another body", id)
		}
	}
	check("large", large, false, http.StatusOK)
	check("large, chunked", large, true, http.StatusOK)
	budget := m.instance.limits.bodies
	taken := budget.Open(0)
	if !taken.Grow(budget.Size() - budget.Size()/16 - 1<<10) {
		t.Fatal("no room for the bytes of the test")
	}
	check("large, no room", large, false, http.StatusServiceUnavailable)
	check("large, chunked, no room", large, true, http.StatusServiceUnavailable)
	check("small, no room for large ones", small, false, http.StatusOK)
	check("small, chunked, no room for large ones", small, true, http.StatusOK)
	time.AfterFunc(100*time.Millisecond, taken.Close)
	check("large, waits", large, false, http.StatusOK)
	c.await("no bytes held", func() bool { return budget.Used() == 0 })
	if !strings.Contains(m.logs.String(), `"event":505,`) {
		t.Error("the log does not name the limit")
	}
}
