package budget

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestRetryWindow checks that several instances, which retry whenever they may,
// together keep to the operators' bound in every window, for requests that arrive in
// different patterns.
func TestRetryWindow(t *testing.T) {
	const (
		window    = 10 * time.Second
		ratio     = 0.2
		slack     = 64.0
		instances = 12
		ticks     = 6000 // of 10 ms
	)
	tests := map[string]func(r *rand.Rand, tick int) bool{
		"steady":    func(r *rand.Rand, _ int) bool { return r.IntN(2) == 0 },
		"bursts":    func(_ *rand.Rand, tick int) bool { return tick/300%2 == 0 },
		"then none": func(_ *rand.Rand, tick int) bool { return tick < 2000 },
		"rare":      func(r *rand.Rand, _ int) bool { return r.IntN(100) == 0 },
	}
	for name, arrives := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			budgets := make([]*Retry, instances)
			for i := range budgets {
				budgets[i] = NewRetry(window)
			}
			requests, retries := make([]int, ticks), make([]int, ticks)
			now := time.Unix(100, 0)
			for tick := range ticks {
				now = now.Add(10 * time.Millisecond)
				for _, b := range budgets {
					if arrives(random, tick) {
						b.Request(now)
						requests[tick]++
					}
					for b.Spend(now, ratio, slack, instances) {
						retries[tick]++
					}
				}
			}
			checkWindows(t, requests, retries, int(window/(10*time.Millisecond)), ratio, slack)
		})
	}
}

// TestRate checks that several instances, which use their part of a cold upstream's
// rate whenever they may, together keep to the operators' bound in every second.
func TestRate(t *testing.T) {
	const declared, factor, slack = 14.0, 1.5, 5.0
	for _, instances := range []int{1, 2, 3, 5, 12} {
		buckets := make([]TokenBucket, instances)
		var sent []time.Duration
		begun := time.Unix(0, 0)
		for at := time.Duration(0); at < 5*time.Second; at += 5 * time.Millisecond {
			for i := range buckets {
				if buckets[i].Spend(begun.Add(at), declared/float64(instances), 1) {
					sent = append(sent, at)
				}
			}
		}
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at < from+time.Second {
					n++
				}
			}
			if float64(n) > declared*factor+slack {
				t.Errorf("%d instances sent %d requests in one second", instances, n)
			}
		}
	}
}

func TestRemaining(t *testing.T) {
	b := NewRetry(10 * time.Second)
	now := time.Unix(50, 0)
	for range 100 {
		b.Request(now)
	}
	before := b.Remaining(now, 0.2, 0, 1)
	if !b.Spend(now, 0.2, 0, 1) {
		t.Fatal("no retry is allowed after 100 requests")
	}
	if after := b.Remaining(now, 0.2, 0, 1); after != before-1 {
		t.Errorf("after one retry %.1f are left, of %.1f", after, before)
	}
	if left := b.Remaining(now.Add(time.Minute), 0.2, 0, 1); left != 0 {
		t.Errorf("a minute later %.1f are left", left)
	}
}

// TestRestarts restarts all instances right after they spent the budget that a quiet
// period left. Restarted instances have no record of what they spent and do not know
// each other yet, and must still keep to the bound in every window.
func TestRestarts(t *testing.T) {
	const (
		window    = 10 * time.Second
		tick      = 10 * time.Millisecond
		ratio     = 0.2
		slack     = 64.0
		instances = 12
		ticks     = 6000
		// settleTicks is the number of ticks after which restarted instances know each
		// other.
		settleTicks = 200
	)
	tests := map[string][]int{
		"once":                {3400},
		"twice in a window":   {3400, 3900},
		"after the first one": {1200, 3400},
	}
	for name, restarts := range tests {
		t.Run(name, func(t *testing.T) {
			budgets := make([]*Retry, instances)
			for i := range budgets {
				budgets[i] = NewRetry(window)
			}
			var requests, retries [ticks]int
			now := time.Unix(100, 0)
			knownInstances := instances
			for n := range ticks {
				now = now.Add(tick)
				if slices.Contains(restarts, n-settleTicks) {
					knownInstances = instances
				}
				if slices.Contains(restarts, n) {
					knownInstances = 1
					for i := range budgets {
						budgets[i] = NewRetry(window)
					}
				}
				for i, b := range budgets {
					if (n+i)%2 == 0 {
						b.Request(now)
						requests[n]++
					}
					for n > 3000 && b.Spend(now, ratio, slack, knownInstances) {
						retries[n]++
					}
				}
			}
			checkWindows(t, requests[:], retries[:], int(window/tick), ratio, slack)
		})
	}
}

// checkWindows checks the operators' bound in every window of span ticks.
func checkWindows(t *testing.T, requests, retries []int, span int, ratio, slack float64) {
	t.Helper()
	for end := span; end <= len(requests); end++ {
		sent, retried := 0, 0
		for i := end - span; i < end; i++ {
			sent += requests[i]
			retried += retries[i]
		}
		if bound := ratio*float64(sent) + slack; float64(retried) > bound {
			t.Fatalf("%d retries of %d requests in the window that ends at tick %d, bound %.0f", retried, sent, end, bound)
		}
	}
}
