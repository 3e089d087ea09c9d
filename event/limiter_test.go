package event

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLimiter guards against a flood of requests that floods the log, and against omitted lines
// that the log never counts or counts twice.
func TestLimiter(t *testing.T) {
	type outcome struct{ Allowed, Omitted int }
	tests := map[string]struct {
		limiter *Limiter
		lines   []int // wanted in each second
		want    []outcome
	}{
		"below":      {NewLimiter(LinesPerSecond(3)), []int{3, 2}, []outcome{{3, 0}, {2, 0}}},
		"above":      {NewLimiter(LinesPerSecond(3)), []int{5, 4, 0, 0}, []outcome{{3, 0}, {3, 2}, {0, 1}, {0, 0}}},
		"by default": {NewLimiter(), []int{25, 1}, []outcome{{20, 0}, {1, 5}}},
		"zero value": {new(Limiter), []int{25, 1}, []outcome{{20, 0}, {1, 5}}},
		"at least 1": {NewLimiter(LinesPerSecond(0)), []int{2, 1}, []outcome{{1, 0}, {1, 1}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var got []outcome
			for _, n := range tt.lines {
				o := outcome{Omitted: tt.limiter.Omitted(now)}
				for range n {
					if tt.limiter.Allow(now) {
						o.Allowed++
					}
				}
				got = append(got, o)
				now = now.Add(time.Second)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
		})
	}
}
