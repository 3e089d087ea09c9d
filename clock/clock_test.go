package clock

import (
	"testing"
	"time"
)

// TestNow checks that the clock never goes back, and advances no faster than the
// monotonic clock of package time.
func TestNow(t *testing.T) {
	monotonic, begun := time.Now(), Now()
	last := begun
	for range 1000 {
		now := Now()
		if now.Before(last) {
			t.Fatalf("the clock went back by %s", last.Sub(now))
		}
		last = now
	}
	if passed, want := last.Sub(begun), time.Since(monotonic); passed > want {
		t.Errorf("%s passed, and %s on the monotonic clock", passed, want)
	}
}
