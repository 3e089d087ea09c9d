package hosted

import (
	"math/rand/v2"
	"testing"
	"time"

	"hickorydrum/freshness"
)

// TestWatchGap simulates when the instances that watch the store ask it for changes: by new watches, and by
// checks when its state was confirmed too long ago. While every watch under way is stalled, a change is
// noticed only then. The gap between two such times must not exceed the smallest bound that operators may
// set on the time until a change is in force, also while confirmations between instances are lost and the
// first instances in the order are gone for a while.
func TestWatchGap(t *testing.T) {
	const (
		inForce = 2 * time.Second // this smallest bound
		length  = time.Minute
		seeds   = 20
		lost    = 0.05 // of the confirmations
		goneFor = 3 * time.Second
		step    = 5 * time.Millisecond
		longest = 150 * time.Millisecond // of a call to the store
	)
	budget := freshness.NewBudget(inForce)
	for name, watchers := range map[string]int{"2": 2, "6": 6, "9": 9} {
		t.Run(name, func(t *testing.T) {
			gap := time.Duration(0)
			for seed := range uint64(seeds) {
				r := rand.New(rand.NewPCG(seed, 1))
				confirmed := make([]time.Duration, watchers)
				gone := make([]time.Duration, watchers) // until when
				last := time.Duration(0)
				for now := time.Duration(0); now < length; now += step {
					if r.IntN(int(2*time.Second/step)) == 0 { // one that leads or would is gone
						gone[r.IntN(watchers-1)] = now + goneFor
					}
					for i := range watchers {
						if now < gone[i] || now-confirmed[i] < budget.Check(i) {
							continue
						}
						gap, last = max(gap, now-last), now
						answered := now + time.Duration(r.Int64N(int64(longest)))
						for other := range watchers {
							if other == i || r.Float64() >= lost {
								confirmed[other] = max(confirmed[other], answered)
							}
						}
					}
				}
			}
			if gap > inForce {
				t.Errorf("no watch begins anew for %s, want at most %s", gap, inForce)
			}
		})
	}
}
