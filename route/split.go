package route

import (
	"sync"
	"time"
)

const (
	// maxSplitSurplus is how far the share of a target may lie above its weight before
	// requests leave the target that their object points to.
	maxSplitSurplus = 0.03
	// splitHalfLife is after which time a counted request weighs half.
	splitHalfLife = 5 * time.Second
	// minSplitRequests is how many requests must be counted before shares mean anything.
	minSplitRequests = 20
)

// Splitter divides the requests of routes among their targets by weight. The
// requests of one object stay with one target as long as the shares allow it.
// Its methods may be called at the same time.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*targetCounts
}

type targetCounts struct {
	counts  []float64
	updated time.Time
}

// NewSplitter returns a splitter that has counted nothing.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*targetCounts)} }

// Choose returns the target of a request. The hash is the same for all requests
// of an object.
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

// surplus returns by how much the share of a target lies above its weight.
func (c *targetCounts) surplus(r *Route, i int, total float64, sum int) float64 {
	return c.counts[i]/total - float64(r.Targets[i].Weight)/float64(sum)
}

// targetByHash returns the index of the target that a hash points to.
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
