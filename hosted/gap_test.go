package hosted

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestWatchGap simulates when the instances that watch the store start new watches. While every
// watch under way is stalled, a change is noticed only at the next start. The gap between two
// starts must not exceed the smallest bound that operators may set on the time until a change is
// in force.
func TestWatchGap(t *testing.T) {
	const (
		inForce = 2 * time.Second // this smallest bound
		length  = time.Minute
		seeds   = 20
	)
	for name, watchers := range map[string]int{"6": 6, "9": 9} {
		t.Run(name, func(t *testing.T) {
			longest := time.Duration(0)
			for seed := range uint64(seeds) {
				r := rand.New(rand.NewPCG(seed, 1))
				var begun []time.Duration
				for range watchers {
					for at := time.Duration(r.Int64N(int64(watchWait(watchers)))); at < length; {
						begun = append(begun, at)
						at += watchWait(watchers) + time.Duration(r.Int64N(int64(watchJitter)))
					}
				}
				slices.Sort(begun)
				for i := 1; i < len(begun); i++ {
					longest = max(longest, begun[i]-begun[i-1])
				}
			}
			if longest > inForce {
				t.Errorf("no watch begins anew for %s, want at most %s", longest, inForce)
			}
		})
	}
}
