package planner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"hickorydrum/fleet"
	"hickorydrum/placement"
	"hickorydrum/route"
)

const (
	// smallRequestTarget and heavyTarget are the utilizations of a region's slots above
	// which requests leave it, for small requests and for those that are dear to move.
	smallRequestTarget = 0.33
	largeRequestTarget = 0.5
	largeRequestBytes  = 8 << 10
	// domainTarget is the utilization of a failure domain's slots up to which requests
	// that are dear to move stay in it.
	domainTarget = 0.6
	// maxShareStep is by how much a share moves at most at each update.
	maxShareStep = 0.03
	// minIntervals is how many intervals with requests must be measured before the
	// demand is believed.
	minIntervals = 3
	// demandSmoothing is the weight of the newest rate in the demand.
	demandSmoothing = 0.3
	// defaultObjective stands for the objective of routes without one.
	defaultObjective = 200 * time.Millisecond
)

// Demand is the slots that the requests of a service at one instance need if each holds
// one for as long as its objective. How long they really do is learnt by each instance
// apart, so it would not be comparable.
type Demand struct {
	Service string
	Slots   float64
}

// InstanceDemand is the demand at an instance somewhere.
type InstanceDemand struct {
	Demand
	Domain string // failure domain
	Region string
}

// shares decides which region serves which objects.
type shares struct {
	place Location
	ownRegion   int // number of the instance's region

	mu       sync.Mutex
	services map[string]*serviceShares
}

type serviceShares struct {
	arrivals map[route.Class]int
	bytes    int64
	demand   float64 // slots that requests need if each holds one for its objective
	holdRatio     float64 // part of its objective for which a request holds a slot
	meanSize float64
	regionShares      []float64 // share of each region
	domainShare     float64   // share of the own failure domain, where ways are dear
	measuredIntervals int       // intervals with requests
}

// large reports whether the requests of the service are dear to move.
func (s *serviceShares) large() bool { return s.meanSize > largeRequestBytes }

func newShares(place Location) *shares {
	return &shares{place: place, ownRegion: slices.Index(place.Regions, place.Region), services: make(map[string]*serviceShares)}
}

func (s *shares) service(name string) *serviceShares {
	one, ok := s.services[name]
	if !ok {
		one = &serviceShares{arrivals: make(map[route.Class]int)}
		s.services[name] = one
	}
	return one
}

// addServices prepares the shares of services before their first request.
func (s *shares) addServices(services []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range services {
		s.service(name)
	}
}

// recordArrival counts a request and the size of its body.
func (s *shares) recordArrival(service string, class route.Class, size int64) {
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
	if !ok || len(one.regionShares) == 0 {
		return s.ownRegion
	}
	row := one.regionShares
	if len(r.HomeRegions) > 0 {
		row = slices.Clone(row)
		for i, name := range s.place.Regions {
			if !r.AllowsRegion(name) {
				row[i] = 0
			}
		}
	}
	return placement.Region(object, row)
}

// measure closes an interval and returns this instance's demand. workTime tells how
// long a request of a class holds a slot at its best.
func (s *shares) measure(interval time.Duration, workTime func(service string, class route.Class) time.Duration) []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Demand, 0, len(s.services))
	for name, one := range s.services {
		one.measure(interval, func(class route.Class) time.Duration { return workTime(name, class) })
		out = append(out, Demand{Service: name, Slots: one.demand})
	}
	return out
}

func (s *serviceShares) measure(interval time.Duration, workTime func(class route.Class) time.Duration) {
	count, work, allowed := 0, 0.0, 0.0
	for class, n := range s.arrivals {
		count += n
		work += float64(n) * workTime(class).Seconds()
		allowed += float64(n) * cmp.Or(class.Objective, defaultObjective).Seconds()
	}
	if count > 0 {
		s.measuredIntervals++
		s.meanSize += demandSmoothing * (float64(s.bytes)/float64(count) - s.meanSize)
		s.holdRatio = work / allowed
	}
	weight := max(demandSmoothing, 1/float64(max(1, s.measuredIntervals)))
	s.demand += weight * (allowed/interval.Seconds() - s.demand)
	clear(s.arrivals)
	s.bytes = 0
}

// staysInDomain reports whether an object of a service whose requests are dear to move is
// served within the failure domain.
func (s *shares) staysInDomain(service string, object uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	one, ok := s.services[service]
	return ok && one.large() && float64(object>>11)/(1<<53) < one.domainShare
}

// update moves the shares towards the demand and the capacity of the regions.
// instances tells how many instances serve the callers of each region.
func (s *shares) update(demands []InstanceDemand, view *fleet.View, instances []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownRegion < 0 {
		return
	}
	for name, one := range s.services {
		target := smallRequestTarget
		if one.large() {
			target = largeRequestTarget
		}
		state := s.state(name, one.holdRatio, demands, view)
		if one.measuredIntervals < minIntervals {
			state.assumeDemand(target, instances)
		}
		next := placement.Spread(state.demand, state.capacity, target)[s.ownRegion]
		if one.measuredIntervals == 0 {
			one.regionShares = next // nothing moves yet
		}
		one.regionShares = placement.Approach(one.regionShares, next, maxShareStep)
		one.domainShare = 0
		if state.domainCapacity > 0 {
			one.domainShare = min(1, domainTarget*state.domainCapacity/max(state.domainDemand, domainTarget*state.domainCapacity))
		}
	}
}

// regionState is the slots that are needed and there, by region and in the own
// failure domain.
type regionState struct {
	demand, capacity         []float64
	domainDemand, domainCapacity float64
}

// state adds up what a service needs and has. hold is the part of their objective for
// which requests hold a slot.
func (s *shares) state(service string, hold float64, demands []InstanceDemand, view *fleet.View) *regionState {
	r := &regionState{demand: make([]float64, len(s.place.Regions)), capacity: make([]float64, len(s.place.Regions))}
	for _, d := range demands {
		at := slices.Index(s.place.Regions, d.Region)
		if at < 0 || d.Service != service {
			continue
		}
		r.demand[at] += hold * d.Slots
		if d.Domain == s.place.Domain {
			r.domainDemand += hold * d.Slots
		}
	}
	for _, u := range view.Service(service) {
		at := slices.Index(s.place.Regions, u.Region())
		if at < 0 {
			continue
		}
		r.capacity[at] += float64(u.Slots)
		if u.Domain == s.place.Domain {
			r.domainCapacity += float64(u.Slots)
		}
	}
	return r
}

// assumeDemand replaces a demand that is not measured yet: each instance has the same
// part of what brings all slots to the target.
func (r *regionState) assumeDemand(target float64, instances []int) {
	slots, all := 0.0, 0
	for i, n := range instances {
		slots += r.capacity[i]
		all += n
	}
	for i, n := range instances {
		r.demand[i] = target * slots * float64(n) / float64(max(1, all))
	}
}
