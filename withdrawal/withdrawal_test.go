package withdrawal

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/fleet"
)

// run returns one run of an upstream, as a view has it.
func run(id string, startMillis int64) *fleet.Upstream {
	view := fleet.NewView([]fleet.Upstream{{ID: id, StartMillis: startMillis}}, nil, nil)
	u, _ := view.Upstream(id)
	return u
}

// testClock is a clock that stands still between advances.
type testClock struct{ at time.Time }

func (c *testClock) now() time.Time          { return c.at }
func (c *testClock) advance(d time.Duration) { c.at = c.at.Add(d) }

// TestOnlyGrows guards against a withdrawal that something learned later takes back. Only a new
// start of the upstream may do that.
func TestOnlyGrows(t *testing.T) {
	first, second, other := run("a", 1000), run("a", 2000), run("b", 1000)
	tests := map[string]struct {
		do   func(r *Registry, c *testClock)
		want map[string]bool // whether a request may be sent
	}{
		"nothing":             {func(*Registry, *testClock) {}, map[string]bool{"first": true, "second": true, "other": true}},
		"it leaves":           {func(r *Registry, _ *testClock) { r.Leave(first) }, map[string]bool{"second": true, "other": true}},
		"an older run leaves": {func(r *Registry, _ *testClock) { r.Leave(second); r.Leave(first) }, map[string]bool{"other": true}},
		"a pause":             {func(r *Registry, _ *testClock) { r.Pause(first, time.Second) }, map[string]bool{"second": true, "other": true}},
		"a pause is over": {func(r *Registry, c *testClock) {
			r.Pause(first, time.Second)
			c.advance(time.Second)
		}, map[string]bool{"first": true, "second": true, "other": true}},
		"a shorter pause is named before the first is over": {func(r *Registry, c *testClock) {
			r.Pause(first, 3*time.Second)
			r.Pause(first, time.Second)
			c.advance(2 * time.Second)
		}, map[string]bool{"second": true, "other": true}},
		"a pause of the run before is named late": {func(r *Registry, c *testClock) {
			r.Pause(second, time.Second)
			r.Pause(first, 5*time.Second)
			c.advance(2 * time.Second)
		}, map[string]bool{"first": true, "second": true, "other": true}},
		"a pause after it said that it leaves": {func(r *Registry, c *testClock) {
			r.Leave(first)
			r.Pause(first, time.Second)
			c.advance(2 * time.Second)
		}, map[string]bool{"second": true, "other": true}},
		"no time at all": {func(r *Registry, _ *testClock) { r.Pause(first, 0) }, map[string]bool{"first": true, "second": true, "other": true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &testClock{at: time.Unix(1000, 0)}
			r := New(WithClock(c.now))
			test.do(r, c)
			got := make(map[string]bool)
			for name, u := range map[string]*fleet.Upstream{"first": first, "second": second, "other": other} {
				if r.Allows(u) {
					got[name] = true
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNews guards against a line in the log for each response of an upstream that leaves.
func TestNews(t *testing.T) {
	c := &testClock{at: time.Unix(1000, 0)}
	r := New(WithClock(c.now))
	u := run("a", 1000)
	got := []bool{r.Leave(u), r.Leave(u), r.Pause(u, time.Second), r.Pause(u, time.Second), r.Pause(u, 2*time.Second)}
	if diff := cmp.Diff([]bool{true, false, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}

// TestForgetsOldest guards against records without bound, and against the loss of new ones.
func TestForgetsOldest(t *testing.T) {
	c := &testClock{at: time.Unix(1000, 0)}
	r := New(WithClock(c.now))
	r.maxRecords = 20
	for i := range r.maxRecords + 1 {
		c.advance(time.Second)
		r.Leave(run(fmt.Sprint(i), 1))
	}
	got := []int{len(*r.records.Load())}
	for _, id := range []string{"0", "1", fmt.Sprint(r.maxRecords)} {
		if r.Left(run(id, 1)) {
			got = append(got, 1)
		} else {
			got = append(got, 0)
		}
	}
	if diff := cmp.Diff([]int{r.maxRecords, 0, 1, 1}, got); diff != "" {
		t.Error(diff)
	}
}

// TestRandomOrder guards against an order of messages in which a run that has left is allowed again,
// or a later run is not.
func TestRandomOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := &testClock{at: time.Unix(1000, 0)}
		r := New(WithClock(c.now))
		left := int64(0)
		pauses := make(map[int64]time.Time)
		newest := int64(0)
		for range 50 {
			start := 1 + random.Int64N(4)
			u := run("a", start)
			switch random.IntN(3) {
			case 0:
				r.Leave(u)
				left = max(left, start)
			case 1:
				wait := time.Duration(random.IntN(5)) * time.Second
				r.Pause(u, wait)
				newest = max(newest, start)
				if until := c.at.Add(wait); until.After(pauses[start]) {
					pauses[start] = until
				}
			case 2:
				c.advance(time.Second)
			}
			for start := int64(1); start <= 5; start++ {
				paused := start == newest && pauses[start].After(c.at)
				if want := start > left && !paused; start >= newest && r.Allows(run("a", start)) != want {
					t.Fatalf("seed %d: run %d allowed is %t, want %t", seed, start, !want, want)
				}
			}
		}
	}
}
