package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	"hickorydrum/fault"
	"hickorydrum/limit"
	"hickorydrum/load"
)

// TestNamedLimit guards against an upstream that gets more than this instance's part of the
// limit that it names, and against a request that waits for room in a limit instead of being
// refused at once.
func TestNamedLimit(t *testing.T) {
	const (
		limited   = 8.0 // requests a second
		instances = 2
		length    = 20 * time.Second
		pause     = 20 * time.Millisecond // between requests
	)
	synctest.Test(t, func(t *testing.T) {
		p := testPool(t, 4)
		p.instances = func() int { return instances }
		u, _ := p.view.Upstream("127.0.0.1:1")
		p.tracker.RecordLimit(u, limit.Response{Named: true, PerSecond: limited, SentAt: time.Now()}, time.Now())
		sent := 0
		for begun := time.Now(); time.Since(begun) < length; time.Sleep(pause) {
			asked := time.Now()
			slot, err := p.Acquire(t.Context(), testRequest("c", time.Minute))
			if err == nil {
				sent++
				slot.release(asked, load.Answered)
				continue
			}
			if took := time.Since(asked); took > 0 || fault.KindOf(err) != fault.Overloaded || !fault.IsNotExecuted(err) {
				t.Fatalf("refused after %s: %v", took, err)
			}
		}
		most := limited/instances*length.Seconds() + 1
		if float64(sent) > most || float64(sent) < most/2 {
			t.Errorf("%d requests in %s, want at most %.0f", sent, length, most)
		}
	})
}
