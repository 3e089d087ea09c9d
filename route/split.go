package route

import (
	"sync"
	"time"
)

const (
	// maxSplitSurplus is how far a target's share of the requests may exceed its weight
	// before requests go to another target than the one that their object maps to.
	maxSplitSurplus = 0.03
	// splitHalfLife is the time after which a counted request has half its weight.
	splitHalfLife = 5 * time.Second
	// minSplitRequests is the number of counted requests below which shares are not
	// compared with weights.
	minSplitRequests = 20
)

// Splitter splits the requests of routes among their targets by weight. The requests of
// one object stay with one target as long as the shares allow it. Its methods may be
// called concurrently.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*targetCounts
}

// targetCounts holds the decayed number of requests of each target of a route.
type targetCounts struct {
	counts  []float64
	updated time.Time
}

// NewSplitter returns a splitter without counted requests.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*targetCounts)} }

// Choose returns the service that serves a request. The hash is the same for all requests
// of an object. If the route has several targets, the request is counted.
func (s *Splitter) Choose(r *Route, hash uint64, now time.Time) string {
	sum := r.TotalWeight()
	if len(r.Targets) == 1 || sum <= 0 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.decayedCounts(r, now)
	total := 0.0
	for _, n := range c.counts {
		total += n
	}
	chosen := targetByHash(r, hash, sum)
	if total >= minSplitRequests && c.surplus(r, chosen, total, sum) > maxSplitSurplus {
		for i := range r.Targets {
			if c.surplus(r, i, total, sum) < c.surplus(r, chosen, total, sum) {
				chosen = i
			}
		}
	}
	c.counts[chosen]++
	return r.Targets[chosen].Service
}

// decayedCounts returns the decayed counts of a route. The lock is held.
func (s *Splitter) decayedCounts(r *Route, now time.Time) *targetCounts {
	c, ok := s.routes[r.Name]
	if !ok || len(c.counts) != len(r.Targets) {
		c = &targetCounts{counts: make([]float64, len(r.Targets)), updated: now}
		s.routes[r.Name] = c
	}
	for now.Sub(c.updated) >= splitHalfLife {
		for i := range c.counts {
			c.counts[i] /= 2
		}
		c.updated = c.updated.Add(splitHalfLife)
	}
	return c
}

// surplus returns how far the share of a target exceeds its weight, both as parts of 1.
func (c *targetCounts) surplus(r *Route, i int, total float64, sum int) float64 {
	return c.counts[i]/total - float64(r.Targets[i].Weight)/float64(sum)
}

// targetByHash returns the index of the target that a hash maps to, by weight.
func targetByHash(r *Route, hash uint64, sum int) int {
	point := int(hash % uint64(sum))
	for i, t := range r.Targets {
		if point < t.Weight {
			return i
		}
		point -= t.Weight
	}
	return len(r.Targets) - 1
}
