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
	// smallRequestTarget and largeRequestTarget are the utilizations of a region's
	// slots above which requests are sent to other regions, for services with small
	// requests and for those with large requests, which are expensive to move. Requests
	// are large if their mean body exceeds largeRequestBytes.
	smallRequestTarget = 0.33
	largeRequestTarget = 0.5
	largeRequestBytes  = 8 << 10
	// domainTarget is the utilization of a failure domain's slots up to which large
	// requests stay in it.
	domainTarget = 0.6
	// maxShareStep is the largest change of a region's share in an update, once requests have
	// been measured and there are shares.
	maxShareStep = 0.03
	// minIntervals is the number of intervals with requests that must be measured
	// before the demand is used.
	minIntervals = 3
	// demandSmoothing is the weight of the newest interval in the moving averages of
	// the demand and of the body size. In that of the demand the weight is 1 divided by the
	// number of intervals with requests, as long as this is larger.
	demandSmoothing = 0.3
	// defaultObjective replaces the objective of routes that have none.
	defaultObjective = 200 * time.Millisecond
)

// Demand is the demand for a service. Slots counts nominal slots: those that the requests
// would need if each held one for as long as its objective. The time for which requests
// really hold a slot is estimated by each instance separately, so that demands based on it
// would not be comparable.
type Demand struct {
	Service string
	Slots   float64
}

// DomainDemand is the total demand for a service at the instances of a failure domain.
type DomainDemand struct {
	Demand
	Domain string // failure domain
	Region string
}

// shares measures the demand and determines which region serves which objects. Its methods
// lock mu, except state, which uses only its arguments and location, and service, which needs
// mu held, as the methods of serviceShares do.
type shares struct {
	location  Location
	ownRegion int // number of the instance's region, -1 if location.Regions lacks it

	mu       sync.Mutex
	services map[string]*serviceShares
}

// serviceShares holds the demand and the shares of a service.
type serviceShares struct {
	arrivals          map[route.Class]int // requests since the last call of measure
	bodyBytes         int64               // sum of the body sizes since the last call of measure
	demand            float64             // moving average of the nominal slots (see Demand)
	holdRatio         float64             // fraction of its objective for which a request holds a slot
	meanBodyBytes     float64             // moving average of the body size
	regionShares      []float64           // fraction of the objects requested in this instance's region that each region serves, by its number
	domainShare       float64             // fraction of the objects that the failure domain of this instance serves, if requests are large
	measuredIntervals int                 // intervals with requests
}

// large reports whether the requests of the service are large, and thus expensive to
// move.
func (s *serviceShares) large() bool { return s.meanBodyBytes > largeRequestBytes }

func newShares(location Location) *shares {
	return &shares{location: location, ownRegion: slices.Index(location.Regions, location.Region), services: make(map[string]*serviceShares)}
}

func (s *shares) service(name string) *serviceShares {
	svc, ok := s.services[name]
	if !ok {
		svc = &serviceShares{arrivals: make(map[route.Class]int)}
		s.services[name] = svc
	}
	return svc
}

// addServices creates the shares of services before their first request.
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
	svc := s.service(service)
	svc.arrivals[class]++
	svc.bodyBytes += size
}

// region returns the number of the region that should serve the object of a request: this instance's
// region while there are no shares, and -1 if the home regions of the request have no share, so that any
// region that the request allows may serve it.
func (s *shares) region(req *Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, ok := s.services[req.Service]
	if !ok || len(svc.regionShares) == 0 {
		return s.ownRegion
	}
	row := svc.regionShares
	if req.homed() {
		row = slices.Clone(row)
		for i, name := range s.location.Regions {
			if !req.AllowsRegion(name) {
				row[i] = 0
			}
		}
	}
	return placement.Region(req.Object, row)
}

// measure ends an interval and returns the demand of this instance. slotTime returns
// how long a request of a class holds a slot at an upstream that is warm for its
// object.
func (s *shares) measure(interval time.Duration, slotTime func(service string, class route.Class) time.Duration) []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Demand, 0, len(s.services))
	for name, svc := range s.services {
		svc.measure(interval, func(class route.Class) time.Duration { return slotTime(name, class) })
		out = append(out, Demand{Service: name, Slots: svc.demand})
	}
	return out
}

func (s *serviceShares) measure(interval time.Duration, slotTime func(class route.Class) time.Duration) {
	count, slotSeconds, objectiveSeconds := 0, 0.0, 0.0
	for class, n := range s.arrivals {
		count += n
		slotSeconds += float64(n) * slotTime(class).Seconds()
		objectiveSeconds += float64(n) * cmp.Or(class.Objective, defaultObjective).Seconds()
	}
	if count > 0 {
		s.measuredIntervals++
		s.meanBodyBytes += demandSmoothing * (float64(s.bodyBytes)/float64(count) - s.meanBodyBytes)
		s.holdRatio = slotSeconds / objectiveSeconds
	}
	weight := max(demandSmoothing, 1/float64(max(1, s.measuredIntervals)))
	s.demand += weight * (objectiveSeconds/interval.Seconds() - s.demand)
	clear(s.arrivals)
	s.bodyBytes = 0
}

// staysInDomain reports whether an object should be served within the failure domain of this
// instance, which needs a service with large requests.
func (s *shares) staysInDomain(service string, object uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, ok := s.services[service]
	return ok && svc.large() && float64(object>>11)/(1<<53) < svc.domainShare
}

// update moves the shares of the regions towards those that fit the demand and the capacity
// of the regions, and sets that of the failure domain. instances holds the number of instances
// in each region. It does nothing if location.Regions lacks the instance's region.
func (s *shares) update(demands []DomainDemand, view *fleet.View, instances []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownRegion < 0 {
		return
	}
	for name, svc := range s.services {
		target := smallRequestTarget
		if svc.large() {
			target = largeRequestTarget
		}
		state := s.state(name, svc.holdRatio, demands, view)
		if svc.measuredIntervals < minIntervals {
			state.assumeDemand(target, instances)
		}
		next := placement.Spread(state.demand, state.capacity, target)[s.ownRegion]
		if svc.measuredIntervals == 0 {
			svc.regionShares = next // no request has been measured yet, so that no object changes its region
		}
		svc.regionShares = placement.Approach(svc.regionShares, next, maxShareStep)
		svc.domainShare = 0
		if state.domainCapacity > 0 {
			svc.domainShare = min(1, domainTarget*state.domainCapacity/max(state.domainDemand, domainTarget*state.domainCapacity))
		}
	}
}

// regionState is the demand and the capacity of a service, by region and in the failure
// domain of this instance. Both are in slots; the demand is what requests really need.
type regionState struct {
	demand, capacity             []float64
	domainDemand, domainCapacity float64
}

// state adds up the demand and the capacity of a service. holdRatio is the fraction of
// their objective for which requests hold a slot; it converts nominal slots into slots that
// are really needed.
func (s *shares) state(service string, holdRatio float64, demands []DomainDemand, view *fleet.View) *regionState {
	r := &regionState{demand: make([]float64, len(s.location.Regions)), capacity: make([]float64, len(s.location.Regions))}
	for _, d := range demands {
		at := slices.Index(s.location.Regions, d.Region)
		if at < 0 || d.Service != service {
			continue
		}
		r.demand[at] += holdRatio * d.Slots
		if d.Domain == s.location.Domain {
			r.domainDemand += holdRatio * d.Slots
		}
	}
	for _, u := range view.Service(service) {
		at := slices.Index(s.location.Regions, u.Region())
		if at < 0 {
			continue
		}
		r.capacity[at] += float64(u.Slots)
		if u.Domain == s.location.Domain {
			r.domainCapacity += float64(u.Slots)
		}
	}
	return r
}

// assumeDemand replaces the demand by region while it is not measured yet, but not that in
// the failure domain. It assumes that all instances together use the fraction target of all
// slots, each instance the same number.
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
