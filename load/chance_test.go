package load

import (
	"testing"
	"time"
)

// TestChances learns from answers' times where objects are known that other instances
// sent there.
func TestChances(t *testing.T) {
	const warm, cold = 70 * time.Millisecond, 240 * time.Millisecond
	b, v := boardOf(upstream("one", "a-1", nil))
	u, _ := v.Upstream("one")
	if got := b.WarmProbabilities("list"); got[0] < 0.5 || got[0] > 0.9 || got[1] > got[0] {
		t.Errorf("before any answer: %v", got)
	}
	for i := range 200 {
		now := begun.Add(time.Duration(i) * time.Second)
		send(t, b, u, Result{Object: uint64(i), Outcome: Answered, Took: warm}, now)
		send(t, b, u, Result{Object: uint64(1000 + i), Outcome: Answered, Took: cold, Position: 1}, now)
		// An object that this instance sent lately tells nothing of the others.
		send(t, b, u, Result{Object: uint64(i), Outcome: Answered, Took: cold}, now)
	}
	if got := b.WarmProbabilities("list"); got[0] < 0.9 || got[1] > 0.1 {
		t.Errorf("after the answers: %v", got)
	}
}
