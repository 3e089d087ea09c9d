package clock

import (
	"testing"
	"time"
)

// TestNow checks that the clock runs at the speed of the steady one and never back.
func TestNow(t *testing.T) {
	steady, begun := time.Now(), Now()
	last := begun
	for range 1000 {
		now := Now()
		if now.Before(last) {
			t.Fatalf("the clock went back by %s", last.Sub(now))
		}
		last = now
	}
	if passed, steadily := last.Sub(begun), time.Since(steady); passed > steadily {
		t.Errorf("%s passed, and %s on the steady clock", passed, steadily)
	}
}
