// Package placement decides which upstream serves a request. It is pure: the
// state of the upstreams and the request's needs are passed in.
package placement

import (
	"math"
	"time"
)

// Distance is how far an upstream is from this instance.
type Distance int

// The distances.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Option is one upstream that may serve the request.
type Option struct {
	// Rank orders the upstreams for one object, the same way at every instance; the
	// highest is the object's home.
	Rank     uint64
	Distance Distance
	// Region numbers the region of the upstream.
	Region int
	// RoundTrip is the time of one round trip to the upstream.
	RoundTrip time.Duration
	Slots     int
	// Busy is the expected number of requests running and waiting there.
	Busy float64
	// Hits is the probability that the upstream still knows an object that it
	// handled lately.
	Hits float64
	// Known states that this instance sent the object there lately.
	Known bool
	// Slow is how many times longer than others the upstream takes.
	Slow float64
	// Failing is the probability that the upstream fails a request.
	Failing float64
}

// Demand is what a request needs.
type Demand struct {
	// Bytes is the size of the request and its answer.
	Bytes int64
	// Left is the time that is left for the request.
	Left time.Duration
	// Objective is the latency within which an answer is worth most.
	Objective time.Duration
	// WarmTime and ColdTime are the times to serve the request at an upstream that
	// knows its object, and at one that does not.
	WarmTime, ColdTime time.Duration
	// Sticky states that the object matters.
	Sticky bool
	// Region is the number of the region that should serve the object, -1 for any.
	Region int
	// Near states that the object should be served within the failure domain.
	Near bool

	pressure float64 // of the options' slots in use, 1 when all are
}

// Costs weigh what is not time, as if it were.
type Costs struct {
	// DomainPerKiB and RegionPerKiB are added for each KiB that crosses failure
	// domains, and regions.
	DomainPerKiB, RegionPerKiB time.Duration
}

// Choice is the decision on one request.
type Choice struct {
	// Index is that of the option, -1 when there is none.
	Index int
	// Expected is the time until the answer.
	Expected time.Duration
	Reason   Reason
	// Home states that the upstream is the object's home in its region.
	Home bool
}

// Reason says why an upstream was chosen, or why none was.
type Reason string

// The reasons.
const (
	ReasonHome   Reason = "home"    // the object's home in reach
	ReasonKnown  Reason = "known"   // another upstream that knows the object
	ReasonSpill  Reason = "spill"   // the home is busy, slow or failing
	ReasonFree   Reason = "free"    // no object: the upstream with the least expected time
	ReasonNone   Reason = "none"    // no upstream may be used
	ReasonNoTime Reason = "no-time" // no upstream can answer in the time left
)

const (
	failurePrice = 2.0  // a failure counts as so many objectives
	homeChance   = 0.85 // that the home of a region knows an object that others sent there
	awayChance   = 0.2  // that a home outside the region of the shares, or within a failure domain, does
	awayShare    = 0.15 // of the gain of a known object, for a home in another region than that of the shares
	strangeShare = 0.4  // of the same gain, for an upstream that is no home
	// strangePressure is added to strangeShare when all slots are in use: a request that
	// is served by an upstream that does not know its object holds a slot for longer.
	strangePressure = 1.5
	easyPressure    = 0.5  // the utilization up to which nothing is added
	waitSmoothing   = 0.15 // of the service time, when all slots are taken
	kibibyte        = 1024.0
	unavoidable     = math.MaxInt64
)

// Choose returns the option with the least cost: the expected time to the answer,
// and what its way and its failures cost.
func Choose(d Demand, options []Option, costs Costs) Choice {
	homes := findHomes(options)
	d.pressure = pressure(options)
	best := Choice{Index: -1, Reason: ReasonNone}
	bestCost := time.Duration(unavoidable)
	soonest := time.Duration(unavoidable)
	for i := range options {
		o := &options[i]
		chance := d.chance(i, o, homes)
		expected := d.expected(o, chance)
		soonest = min(soonest, expected)
		cost := expected + costs.way(o.Distance, d.Bytes) + d.displacement(i, o, homes) +
			time.Duration(o.Failing*failurePrice*float64(d.Objective))
		if cost < bestCost || cost == bestCost && best.Index >= 0 && o.Rank > options[best.Index].Rank {
			best, bestCost = Choice{Index: i, Expected: expected}, cost
		}
	}
	if best.Index < 0 {
		return best
	}
	if soonest > d.Left {
		return Choice{Index: -1, Expected: soonest, Reason: ReasonNoTime}
	}
	best.Home = d.home(best.Index, &options[best.Index], homes)
	best.Reason = d.reason(&best, &options[best.Index])
	return best
}

// home reports whether an option is the one that should serve the object.
func (d *Demand) home(i int, o *Option, h homes) bool {
	if d.Near && h.domain >= 0 {
		return h.domain == i
	}
	return h.region[o.Region] == i && (d.Region < 0 || o.Region == d.Region)
}

// displacement returns what it costs that the object takes the place of others at
// an upstream that would else not know it.
func (d *Demand) displacement(i int, o *Option, h homes) time.Duration {
	if !d.Sticky || d.home(i, o, h) {
		return 0
	}
	gain := float64(d.ColdTime - d.WarmTime)
	switch {
	case h.region[o.Region] == i, h.domain == i:
		return time.Duration(awayShare * gain)
	case o.Known:
		return 0
	default:
		return time.Duration((strangeShare + strangePressure*max(0, d.pressure-easyPressure)/(1-easyPressure)) * gain)
	}
}

func (d *Demand) reason(c *Choice, o *Option) Reason {
	switch {
	case !d.Sticky:
		return ReasonFree
	case c.Home:
		return ReasonHome
	case o.Known:
		return ReasonKnown
	default:
		return ReasonSpill
	}
}

// expected returns the time until the answer of an option.
func (d *Demand) expected(o *Option, warm float64) time.Duration {
	service := float64(d.ColdTime)
	if d.Sticky {
		service = warm*float64(d.WarmTime) + (1-warm)*float64(d.ColdTime)
	}
	service *= o.Slow
	return o.RoundTrip + time.Duration(service) + o.wait(d)
}

// pressure returns the part of the options' slots that is in use.
func pressure(options []Option) float64 {
	slots, busy := 0.0, 0.0
	for i := range options {
		slots += float64(options[i].Slots)
		busy += min(options[i].Busy, float64(options[i].Slots))
	}
	if slots == 0 {
		return 0
	}
	return busy / slots
}

// wait returns the time that a request waits for a slot.
func (o *Option) wait(d *Demand) time.Duration {
	mean := float64(d.ColdTime)
	if d.Sticky {
		mean = o.Hits*float64(d.WarmTime) + (1-o.Hits)*float64(d.ColdTime)
	}
	slots := float64(max(1, o.Slots))
	ahead := max(0, o.Busy+1-slots) / slots
	crowd := waitSmoothing * min(1, o.Busy/slots)
	return time.Duration((ahead + crowd) * mean * o.Slow)
}

// way returns the price of the way.
func (c Costs) way(distance Distance, bytes int64) time.Duration {
	kib := float64(bytes) / kibibyte
	switch distance {
	case SameRegion:
		return time.Duration(kib * float64(c.DomainPerKiB))
	case OtherRegion:
		return time.Duration(kib * float64(c.RegionPerKiB))
	default:
		return 0
	}
}

// homes holds the indices of the options with the highest rank.
type homes struct {
	region map[int]int // by region
	domain int         // in this instance's failure domain, or -1
}

func findHomes(options []Option) homes {
	h := homes{region: make(map[int]int), domain: -1}
	for i := range options {
		o := &options[i]
		if home, ok := h.region[o.Region]; !ok || o.Rank > options[home].Rank {
			h.region[o.Region] = i
		}
		if o.Distance == SameDomain && (h.domain < 0 || o.Rank > options[h.domain].Rank) {
			h.domain = i
		}
	}
	return h
}

// chance returns the probability that an option knows the request's object.
func (d *Demand) chance(i int, o *Option, h homes) float64 {
	switch {
	case o.Known:
		return o.Hits
	case d.home(i, o, h):
		return homeChance * o.Hits
	case h.region[o.Region] == i, h.domain == i:
		return awayChance * o.Hits
	default:
		return 0
	}
}

// Rank returns the rank of an upstream for an object, by their hashes.
func Rank(object, upstream uint64) uint64 {
	x := object ^ upstream*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
