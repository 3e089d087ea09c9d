package ingress

import (
	"slices"
	"sync"
	"time"

	"hickorydrum/placement"
	"hickorydrum/route"
)

const (
	// lightTarget and heavyTarget are the utilizations of a region's slots above
	// which requests leave it, for small requests and for those that are dear to move.
	lightTarget = 0.65
	heavyTarget = 0.9
	heavyBytes  = 8 << 10
	// shareStep is by how much a share moves at most at each update.
	shareStep = 0.03
	// demandMemory is the weight of the newest rate in the demand.
	demandMemory = 0.3
)

// Demand is the slots that the requests of a service at one instance need.
type Demand struct {
	Service string
	Slots   float64
}

// shares decides which region serves which objects.
type shares struct {
	place Place
	own   int // number of the instance's region

	mu       sync.Mutex
	services map[string]*serviceShares
}

type serviceShares struct {
	arrivals map[route.Class]int
	bytes    int64
	demand   float64 // slots
	meanSize float64
	row      []float64 // share of each region
}

func newShares(place Place) *shares {
	return &shares{place: place, own: slices.Index(place.Regions, place.Region), services: make(map[string]*serviceShares)}
}

func (s *shares) service(name string) *serviceShares {
	one, ok := s.services[name]
	if !ok {
		one = &serviceShares{arrivals: make(map[route.Class]int)}
		s.services[name] = one
	}
	return one
}

// arrived counts a request and the size of its body.
func (s *shares) arrived(service string, class route.Class, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.service(service)
	one.arrivals[class]++
	one.bytes += size
}

// region returns the number of the region that should serve an object, or -1.
func (s *shares) region(service string, object uint64, r *route.Route) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	one, ok := s.services[service]
	if !ok || len(one.row) == 0 {
		return s.own
	}
	row := one.row
	if len(r.Homes) > 0 {
		row = slices.Clone(row)
		for i, name := range s.place.Regions {
			if !r.Allows(name) {
				row[i] = 0
			}
		}
	}
	return placement.Region(object, row)
}

// measure closes an interval and returns this instance's demand. meanTime tells
// how long a request of a class holds a slot.
func (s *shares) measure(interval time.Duration, meanTime func(service string, class route.Class) time.Duration) []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Demand, 0, len(s.services))
	for name, one := range s.services {
		count, work := 0, 0.0
		for class, n := range one.arrivals {
			count += n
			work += float64(n) * meanTime(name, class).Seconds()
		}
		one.demand += demandMemory * (work/interval.Seconds() - one.demand)
		if count > 0 {
			one.meanSize += demandMemory * (float64(one.bytes)/float64(count) - one.meanSize)
		}
		clear(one.arrivals)
		one.bytes = 0
		out = append(out, Demand{Service: name, Slots: one.demand})
	}
	return out
}

// update moves the shares towards the demand and the capacity of the regions.
func (s *shares) update(demand map[string][]float64, capacity func(service string) []float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, perRegion := range demand {
		if s.own < 0 || len(perRegion) != len(s.place.Regions) {
			continue
		}
		one := s.service(name)
		target := lightTarget
		if one.meanSize > heavyBytes {
			target = heavyTarget
		}
		next := placement.Spread(perRegion, capacity(name), target)[s.own]
		one.row = placement.Approach(one.row, next, shareStep)
	}
}

// Balance closes an interval of the demand: it takes in what every instance needs
// by region and returns what this one needs.
func (g *Ingress) Balance(interval time.Duration, others func(own []Demand) map[string][]float64) []Demand {
	own := g.shares.measure(interval, g.board.MeanTime)
	view := g.view.Load()
	if view == nil {
		return own
	}
	g.shares.update(others(own), func(service string) []float64 {
		capacity := make([]float64, len(g.place.Regions))
		for _, u := range view.Service(service) {
			if i := slices.Index(g.place.Regions, u.Region()); i >= 0 {
				capacity[i] += float64(u.Slots)
			}
		}
		return capacity
	})
	return own
}
