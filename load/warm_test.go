package load

import (
	"testing"
	"time"
)

// TestWarmProbabilities checks that the times of responses show at which positions
// upstreams are warm for objects because of other instances' requests.
func TestWarmProbabilities(t *testing.T) {
	const warm, cold = 70 * time.Millisecond, 240 * time.Millisecond
	tr, v := trackerOf(upstream("one", "a-1", nil))
	u, _ := v.Upstream("one")
	if got := tr.WarmProbabilities("list"); got[0] < 0.5 || got[0] > 0.9 || got[1] > got[0] {
		t.Errorf("before any response: %v", got)
	}
	for i := range 200 {
		now := start.Add(time.Duration(i) * time.Second)
		send(t, tr, u, Result{Object: uint64(i), Outcome: Answered, Took: warm}, now)
		send(t, tr, u, Result{Object: uint64(1000 + i), Outcome: Answered, Took: cold, Position: 1}, now)
		// A request for an object for which the upstream recently answered this instance
		// says nothing about other instances, so it must not count.
		send(t, tr, u, Result{Object: uint64(i), Outcome: Answered, Took: cold}, now)
	}
	if got := tr.WarmProbabilities("list"); got[0] < 0.9 || got[1] > 0.1 {
		t.Errorf("after the responses: %v", got)
	}
}
