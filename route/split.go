package route

import (
	"sync"
	"time"
)

const (
	// splitDrift is how far the share of a target may lie above its weight before
	// requests leave the target that their object points to.
	splitDrift = 0.03
	// splitMemory is after which time a counted request weighs half.
	splitMemory = 5 * time.Second
	// splitLeast is how many requests must be counted before shares mean anything.
	splitLeast = 20
)

// Splitter divides the requests of routes among their targets by weight. The
// requests of one object stay with one target as long as the shares allow it.
// Its methods may be called at the same time.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*splitCount
}

type splitCount struct {
	counts  []float64
	updated time.Time
}

// NewSplitter returns a splitter that has counted nothing.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*splitCount)} }

// Choose returns the target of a request. The hash is the same for all requests
// of an object.
func (s *Splitter) Choose(r *Route, hash uint64, now time.Time) string {
	sum := r.TotalWeight()
	if len(r.Targets) == 1 || sum <= 0 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.count(r, now)
	total := 0.0
	for _, n := range c.counts {
		total += n
	}
	chosen := pointed(r, hash, sum)
	if total >= splitLeast && c.surplus(r, chosen, total, sum) > splitDrift {
		for i := range r.Targets {
			if c.surplus(r, i, total, sum) < c.surplus(r, chosen, total, sum) {
				chosen = i
			}
		}
	}
	c.counts[chosen]++
	return r.Targets[chosen].Service
}

// count returns the decayed counts of a route. The lock is held.
func (s *Splitter) count(r *Route, now time.Time) *splitCount {
	c, ok := s.routes[r.Name]
	if !ok || len(c.counts) != len(r.Targets) {
		c = &splitCount{counts: make([]float64, len(r.Targets)), updated: now}
		s.routes[r.Name] = c
	}
	for now.Sub(c.updated) >= splitMemory {
		for i := range c.counts {
			c.counts[i] /= 2
		}
		c.updated = c.updated.Add(splitMemory)
	}
	return c
}

// surplus returns by how much the share of a target lies above its weight.
func (c *splitCount) surplus(r *Route, i int, total float64, sum int) float64 {
	return c.counts[i]/total - float64(r.Targets[i].Weight)/float64(sum)
}

// pointed returns the index of the target that a hash points to.
func pointed(r *Route, hash uint64, sum int) int {
	point := int(hash % uint64(sum))
	for i, t := range r.Targets {
		if point < t.Weight {
			return i
		}
		point -= t.Weight
	}
	return len(r.Targets) - 1
}
