// Package placement decides which upstream serves a request. It is pure: the
// state of the upstreams and the request's needs are passed in.
package placement

import (
	"cmp"
	"math"
	"slices"
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

// Candidate is one upstream that may serve the request.
type Candidate struct {
	// Rank orders the upstreams for one object, the same way at every instance; the
	// highest is the object's home.
	Rank     uint64
	Distance Distance
	// Region numbers the region of the upstream.
	Region int
	// RoundTrip is the time of one round trip to the upstream.
	RoundTrip time.Duration
	Slots     int
	// Outstanding is the expected number of requests running and waiting there.
	Outstanding float64
	// HitRate is the probability that the upstream still knows an object that it
	// handled lately.
	HitRate float64
	// SentRecently states that this instance sent the object there lately.
	SentRecently bool
	// Slowdown is how many times longer than others the upstream takes.
	Slowdown float64
	// FailureRate is the probability that the upstream fails a request.
	FailureRate float64
}

// Request is what a request needs.
type Request struct {
	// Bytes is the size of the request and its answer.
	Bytes int64
	// TimeLeft is the time that is left for the request.
	TimeLeft time.Duration
	// Objective is the latency within which an answer is worth most.
	Objective time.Duration
	// WarmTime and ColdTime are the times to serve the request at an upstream that
	// knows its object, and at one that does not.
	WarmTime, ColdTime time.Duration
	// TimesAssumed states that these times were not measured yet: they may be assumedOver
	// times too long.
	TimesAssumed bool
	// Sticky states that the object matters.
	Sticky bool
	// WarmProbabilities are the probabilities, by standing, that an upstream knows the object
	// though this instance did not send it there.
	WarmProbabilities [Positions]float64
	// Region is the number of the region that should serve the object, -1 for any.
	Region int
	// KeepInDomain states that the object should be served within the failure domain.
	KeepInDomain bool

	utilization float64       // part of the options' slots in use
	meanWait  time.Duration // mean wait in the options' queues
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
	// Position is that of the upstream for the object; the home has standing 0.
	Position int
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
	ReasonBusy   Reason = "busy"    // the queue of the best upstream is too long
)

var reasonTexts = map[Reason]string{
	ReasonHome:   "the object's home among the upstreams",
	ReasonKnown:  "not the home, but an upstream that had the object lately",
	ReasonSpill:  "an upstream that did not have the object: the home was busy, slow or failing",
	ReasonFree:   "the upstream with the least expected time; the request names no object",
	ReasonNone:   "no upstream may be used: none is ready in the allowed regions, or all were tried",
	ReasonNoTime: "no upstream was expected to answer in the time left",
	ReasonBusy:   "requests come faster than they are served: the queues of all upstreams are long",
}

// Text explains the reason to an operator; it is empty for an unknown one.
func (r Reason) Text() string { return reasonTexts[r] }

const (
	failureCost = 2.0 // a failure counts as so many objectives
	// displacementShare is the part of the gain of a known object that a request costs for
	// each step of standing, if the upstream does not know its object: it takes the
	// place of another there.
	displacementShare = 0.4
	// displacementLoadShare is added to strangeShare when all slots are in use: a request that
	// is served by an upstream that does not know its object holds a slot for longer.
	displacementLoadShare = 8.0
	displacementFreeUtilization    = 0.5  // the utilization up to which nothing is added
	fullUtilizationWait   = 0.15 // of the service time, when all slots are taken
	// A request is refused when, in objectives, the queues of all upstreams mean a wait of
	// maxMeanWait, and that of the best one a wait of longestWait: then requests come
	// faster than they are served, and in longer queues all of them are late.
	maxMeanWait = 0.2
	maxWait    = 0.7
	assumedTimeFactor    = 10
	kibibyte       = 1024.0
	maxCost    = math.MaxInt64
)

// Choose returns the option with the least cost: the expected time to the answer,
// and what its way and its failures cost.
func Choose(d Request, options []Candidate, costs Costs) Choice {
	var few [stackCandidates]uint8
	standings := d.positions(options, few[:0])
	d.measureLoad(options)
	best := Choice{Index: -1, Reason: ReasonNone}
	bestCost := time.Duration(maxCost)
	soonest := time.Duration(maxCost)
	stays := d.pinnedToRegion(options)
	for i := range options {
		o := &options[i]
		if stays && o.Region != d.Region {
			continue
		}
		standing := int(standings[i])
		expected := d.expected(o, d.warmProbability(o, standing))
		soonest = min(soonest, expected)
		cost := expected + costs.transfer(o.Distance, d.Bytes) + d.displacement(o, standing) +
			time.Duration(o.FailureRate*failureCost*d.objective())
		if cost < bestCost || cost == bestCost && best.Index >= 0 && o.Rank > options[best.Index].Rank {
			best, bestCost = Choice{Index: i, Expected: expected, Position: standing}, cost
		}
	}
	if best.Index < 0 {
		return best
	}
	if d.TimesAssumed {
		soonest /= assumedTimeFactor
	}
	if soonest > d.TimeLeft {
		return Choice{Index: -1, Expected: soonest, Reason: ReasonNoTime}
	}
	if d.overloaded(&options[best.Index]) {
		return Choice{Index: -1, Expected: best.Expected, Reason: ReasonBusy}
	}
	best.Reason = d.reason(&best, &options[best.Index])
	return best
}

// displacement returns what it costs that the object takes the place of others at
// an upstream that would else not know it.
func (d *Request) displacement(o *Candidate, standing int) time.Duration {
	if !d.Sticky {
		return 0
	}
	missing := 1 - d.warmProbability(o, standing)
	share := displacementShare + displacementLoadShare*max(0, d.utilization-displacementFreeUtilization)/(1-displacementFreeUtilization)
	return time.Duration(float64(standing) * missing * share * float64(d.ColdTime-d.WarmTime))
}

func (d *Request) reason(c *Choice, o *Candidate) Reason {
	switch {
	case !d.Sticky:
		return ReasonFree
	case c.Position == 0:
		return ReasonHome
	case o.SentRecently:
		return ReasonKnown
	default:
		return ReasonSpill
	}
}

// expected returns the time until the answer of an option.
func (d *Request) expected(o *Candidate, warm float64) time.Duration {
	service := float64(d.ColdTime)
	if d.Sticky {
		service = warm*float64(d.WarmTime) + (1-warm)*float64(d.ColdTime)
	}
	service *= o.Slowdown
	return o.RoundTrip + time.Duration(service) + o.wait(d)
}

// measureLoad takes in how busy the options are as a whole.
func (d *Request) measureLoad(options []Candidate) {
	slots, busy, queued := 0.0, 0.0, 0.0
	for i := range options {
		o := &options[i]
		slots += float64(o.Slots)
		busy += min(o.Outstanding, float64(o.Slots))
		queued += max(0, o.Outstanding-float64(o.Slots)) * float64(o.slotTime(d))
	}
	if slots > 0 {
		d.utilization, d.meanWait = busy/slots, time.Duration(queued/slots)
	}
}

// queuesLong reports whether the queues of all upstreams together are long.
func (d *Request) queuesLong() bool { return float64(d.meanWait) > maxMeanWait*d.objective() }

// objective returns the objective in nanoseconds, or without one the time of a request.
func (d *Request) objective() float64 { return float64(cmp.Or(d.Objective, d.ColdTime)) }

// pinnedToRegion reports whether the request pinnedToRegion in the region of the shares, if there are
// upstreams: while all queues are long no region is better, and requests that went to
// and fro would only make each region's load jump.
func (d *Request) pinnedToRegion(options []Candidate) bool {
	return d.queuesLong() && slices.ContainsFunc(options, func(o Candidate) bool { return o.Region == d.Region })
}

// overloaded reports whether requests come faster than they are served, so that one more
// in the queue of the option makes all of them late.
func (d *Request) overloaded(o *Candidate) bool {
	return d.queuesLong() && float64(o.wait(d)) > maxWait*d.objective()
}

// wait returns the time that a request waits for a slot.
func (o *Candidate) wait(d *Request) time.Duration {
	slots := float64(max(1, o.Slots))
	ahead := max(0, o.Outstanding+1-slots) / slots
	crowd := fullUtilizationWait * min(1, o.Outstanding/slots)
	return time.Duration((ahead + crowd) * float64(o.slotTime(d)))
}

// slotTime returns how long a request slotTime a slot of the option, on average.
func (o *Candidate) slotTime(d *Request) time.Duration {
	mean := float64(d.ColdTime)
	if d.Sticky {
		mean = o.HitRate*float64(d.WarmTime) + (1-o.HitRate)*float64(d.ColdTime)
	}
	return time.Duration(mean * o.Slowdown)
}

// transfer returns the price of the transfer.
func (c Costs) transfer(distance Distance, bytes int64) time.Duration {
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

// warmProbability returns the probability that an option knows the request's object.
func (d *Request) warmProbability(o *Candidate, standing int) float64 {
	if o.SentRecently {
		return o.HitRate
	}
	return d.WarmProbabilities[standing] * o.HitRate
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
