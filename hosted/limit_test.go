package hosted

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/standin"
)

// mostInWindow returns the largest number of arrivals at a worker within any window, by
// counting them at short intervals for a time.
func mostInWindow(w *standin.Worker, window, total time.Duration) int {
	const step = 50 * time.Millisecond
	counts := []int{w.Arrivals()}
	for end := time.Now().Add(total); time.Now().Before(end); {
		time.Sleep(step)
		counts = append(counts, w.Arrivals())
	}
	steps, most := int(window/step), 0
	for i := steps; i < len(counts); i++ {
		most = max(most, counts[i]-counts[i-steps])
	}
	return most
}

// logged returns the lines that an instance logged about a request.
func logged(m *member, id string) string {
	var out []string
	for _, line := range strings.Split(m.logs.String(), "\n") {
		if strings.Contains(line, `"id":"`+id+`"`) {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}

// TestNamedLimit guards against an upstream that gets more requests from all instances
// together than the limit that it names in its responses, and against one that gets hardly any.
func TestNamedLimit(t *testing.T) {
	const (
		limit   = 6.0 // requests a second
		over    = 1.5
		slack   = 5.0
		window  = 4 * time.Second
		settle  = 3 * time.Second
		play    = 9 * time.Second
		callers = 5 // at each instance
		least   = 0.5
	)
	c := newCluster(t)
	c.configure(reads)
	limited := c.worker("list", "one-a", nil)
	c.worker("list", "one-a", func(w *standin.WorkerConfig) { w.Slots = 60 }) // always has room
	members := []*member{c.start("a", "one-a"), c.start("b", "one-a"), c.start("c", "one-b")}
	for _, m := range members {
		c.ready(m, 2)
	}
	var group errgroup.Group
	var stop atomic.Bool
	var refused atomic.Int64
	for i, m := range members {
		for j := range callers {
			group.Go(func() error {
				for n := 0; !stop.Load(); n++ {
					id := fmt.Sprintf("%d-%d-%d", i, j, n)
					if r := c.send(m, callerRequest{path: "/read/x", id: id, object: id}); r.Status != 200 {
						refused.Add(1)
						t.Logf("%s: %+v, logged: %s", id, r, logged(m, id))
					}
					time.Sleep(100 * time.Millisecond)
				}
				return nil
			})
		}
	}
	limited.NameLimit(fmt.Sprint(limit))
	time.Sleep(settle)
	before := limited.Arrivals()
	most := mostInWindow(limited, window, play)
	used := float64(limited.Arrivals()-before) / (limit * play.Seconds())
	stop.Store(true)
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if allowed := over*limit*window.Seconds() + slack; float64(most) > allowed {
		t.Errorf("%d requests in %s, want at most %.0f", most, window, allowed)
	}
	if used < least {
		t.Errorf("%.2f of the limit is used, want at least %.2f", used, least)
	}
	if n := refused.Load(); n > 0 {
		t.Errorf("%d requests were refused although the other upstream has room", n)
	}
	t.Logf("most %d in a window, %.2f of the limit used", most, used)
}

// TestMaxConnections guards against instances that together open more connections to an
// upstream than its service allows.
func TestMaxConnections(t *testing.T) {
	const callers = 20 // at each instance
	c := newCluster(t)
	c.configure(reads)
	w := c.worker("list", "one-a", func(w *standin.WorkerConfig) {
		w.Slots, w.Queue, w.Warm, w.Cold = 60, 60, 300*time.Millisecond, 300*time.Millisecond
	})
	members := []*member{c.start("a", "one-a"), c.start("b", "one-a"), c.start("c", "one-b")}
	for _, m := range members {
		c.ready(m, 1)
	}
	var group errgroup.Group
	for i, m := range members {
		for j := range callers {
			group.Go(func() error {
				c.send(m, callerRequest{path: "/read/x", id: fmt.Sprintf("%d-%d", i, j)})
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if n := w.MostConnections(); n > maxConnections {
		t.Errorf("%d connections were open, want at most %d", n, maxConnections)
	}
}
