// Package placement chooses the upstream that serves a request. It does no input or
// output: the state of the upstreams and the needs of the request are passed in.
//
// An object is what a request is about, identified by the request's affinity key: all
// requests with one key are about the same object. An upstream that handled an object
// recently is warm for it: it serves the object in WarmTime, others need ColdTime.
//
// Rendezvous hashing ranks the candidates for each object, equally at every instance.
// Within each region, the rank gives the candidates their positions in the object's order
// of preference; a candidate at position 0 is a home of the object. If one region should
// serve the object, positions begin at 1 in the others, so that only that region has a home.
// If the object should be served within the failure domain of this instance and there are
// candidates in it, the first of these is its only home.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Distance is how far an upstream is from this instance.
type Distance int

// The distances, the nearest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is an upstream that may serve the request, with its state.
type Candidate struct {
	// Rank orders the upstreams of a region for one object, equally at every instance;
	// the highest rank is preferred.
	Rank     uint64
	Distance Distance
	// Region numbers the region of the upstream.
	Region int
	// RoundTrip is the network round-trip time to the upstream.
	RoundTrip time.Duration
	// Slots is how many requests the upstream runs at once; further ones wait.
	Slots int
	// Outstanding is the expected number of requests that run and wait at the upstream.
	Outstanding float64
	// HitRate is the probability that the upstream is still warm for an object for which
	// it recently answered a request of this instance.
	HitRate float64
	// AnsweredRecently states that the upstream recently answered a request of this
	// instance for the object.
	AnsweredRecently bool
	// Slowdown is the factor by which the upstream is slower than others; 1 is normal.
	Slowdown float64
	// FailureRate is the probability that the upstream fails a request.
	FailureRate float64
}

// Request is what placement must know of the request to be served.
type Request struct {
	// Bytes is the size of the request and its response.
	Bytes int64
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// Objective is the latency that the route aims at for its responses; 0 means none.
	Objective time.Duration
	// WarmTime and ColdTime are the mean service times at an upstream that is warm for the
	// object, and at one that is not.
	WarmTime, ColdTime time.Duration
	// QueueWarmTime and QueueColdTime are the mean service times of all requests that share the
	// queues, for which WarmTime and ColdTime stand if they are 0. Requests that take long make
	// others wait long in a short queue.
	QueueWarmTime, QueueColdTime time.Duration
	// TimesAssumed states that these times are not measured yet. The real ones may be
	// shorter by a factor of up to assumedTimeFactor.
	TimesAssumed bool
	// Sticky states that the request names an object that upstreams can be warm for.
	Sticky bool
	// WarmProbabilities are the probabilities, by position, that an upstream is warm for
	// the object although it did not recently answer this instance for it. They are
	// multiplied by the candidate's HitRate.
	WarmProbabilities [Positions]float64
	// Region is the number of the region that should serve the object, -1 if any region
	// may.
	Region int
	// KeepInDomain states that the object should be served within the failure domain of
	// this instance.
	KeepInDomain bool
	// Bounds are those of the wait; the zero value stands for DefaultBounds.
	Bounds Bounds

	utilization float64       // fraction of the candidates' slots in use
	meanWait    time.Duration // mean wait in the candidates' queues
}

// Costs are the costs other than latency, expressed as time.
type Costs struct {
	// DomainPerKiB is the cost of each KiB that crosses failure domains within a
	// region, RegionPerKiB that of each KiB that crosses regions.
	DomainPerKiB, RegionPerKiB time.Duration
}

// Choice is the result for one request.
type Choice struct {
	// Index is that of the chosen candidate, -1 if there is none.
	Index int
	// Expected is the expected time until the response of the chosen candidate. For
	// ReasonNoTime it is the shortest of all candidates that the request may use, divided by
	// assumedTimeFactor if the service times are assumed; for ReasonBusy, ReasonUrgency and
	// ReasonAccount it is that of the best candidate.
	Expected time.Duration
	Reason   Reason
	// Position is that of the chosen candidate in the object's order of preference; a
	// home has position 0.
	Position int
}

// Reason says why an upstream was chosen, or why none was.
type Reason string

// The reasons for a choice, and for none.
const (
	ReasonHome   Reason = "home"    // the object's home among the candidates
	ReasonKnown  Reason = "known"   // another upstream, which recently answered this instance for the object
	ReasonSpill  Reason = "spill"   // another upstream, which did not: the home is busy, slow or failing
	ReasonFree   Reason = "free"    // no object: the upstream with the least cost
	ReasonNone   Reason = "none"    // no upstream may be used
	ReasonNoTime Reason = "no-time" // no upstream is expected to respond in the time left
	ReasonBusy   Reason = "busy"    // the mean wait at all upstreams is too long, and so is the wait at the best one
	// ReasonUrgency and ReasonAccount are set by package admission.
	ReasonUrgency Reason = "urgency" // the wait is too long for a request that is less urgent than others at the service
	ReasonAccount Reason = "account" // the wait is too long for a client account that holds more than its fair part
	// ReasonLimited is set by package planner: the limits that upstreams name have no room.
	ReasonLimited Reason = "limited"
	// ReasonPaused is set by package planner: the upstreams that are left asked for a pause.
	ReasonPaused Reason = "paused"
	// ReasonStopping is set by package ingress: a planned stop leaves no time for the request.
	ReasonStopping Reason = "stopping"
	// ReasonMemory is set by package ingress: there is no room for the body of the request.
	ReasonMemory Reason = "memory"
)

var reasonTexts = map[Reason]string{
	ReasonHome:     "the object's home among the upstreams",
	ReasonKnown:    "not the home, but an upstream that recently answered this instance for the object",
	ReasonSpill:    "an upstream that did not recently answer this instance for the object: the home was busy, slow or failing",
	ReasonFree:     "the upstream with the least cost; the request names no object",
	ReasonNone:     "no upstream may be used: none is ready in the allowed regions, or all were tried",
	ReasonNoTime:   "no upstream was expected to answer in the time left",
	ReasonLimited:  "no upstream may be used: those left name a limit of requests a second, which has no room",
	ReasonPaused:   "no upstream may be used: those left named a time until which they want no requests from this instance",
	ReasonMemory:   "the instance had no room for the body, and sent it to no upstream",
	ReasonStopping: "the instance stops before the request's deadline, and sends it to no upstream any more",
	ReasonUrgency:  "the service is under pressure, and the room that is left is kept for more urgent requests that share it",
	ReasonAccount:  "the service is under pressure, and the client account holds more than its fair part of the requests in progress",
	ReasonBusy:     "requests arrive faster than they are served: the mean wait at all upstreams is too long, and so is the wait at the best one",
}

// Text explains the reason to an operator; it is empty for an unknown one.
func (r Reason) Text() string { return reasonTexts[r] }

const (
	failureCost = 2.0 // cost of a failure, in latency objectives
	// displacementShare is the cost of using an upstream that is not warm for the object,
	// where the object displaces another one. It is a fraction of the difference between
	// ColdTime and WarmTime, and is multiplied by the upstream's position, so that there
	// is no such cost at the home.
	displacementShare = 0.4
	// displacementLoadShare is added to displacementShare when all slots are in use: a
	// request at an upstream that is not warm for its object holds a slot for longer.
	displacementLoadShare       = 8.0
	displacementFreeUtilization = 0.5  // utilization up to which displacementLoadShare adds nothing
	fullUtilizationWait         = 0.15 // fraction of the slot time by which the expected wait grows from no utilization to full
	// maxMeanWait and maxWait are the default bounds, in latency objectives (see Bounds). Beyond
	// both, requests arrive faster than they are served, and in longer queues all of them
	// would be late.
	maxMeanWait       = 0.2
	maxWait           = 0.7
	assumedTimeFactor = 10 // factor by which an assumed service time may be too long
	kibibyte          = 1024.0
	maxCost           = math.MaxInt64
)

// Choose returns the candidate with the least cost: the expected time until the
// response, and the costs of the transfer, of displacing other objects and of a
// possible failure. Among equal costs the highest rank wins. While the queues are long,
// only candidates in the region that should serve the object may be used, if there are any.
//
// The index is -1 if there are no candidates, if none is expected to respond in the time
// left, or if requests arrive faster than the upstreams serve them; the reason says which.
func Choose(r Request, candidates []Candidate, costs Costs) Choice {
	var buf [stackCandidates]uint8
	positions := r.positions(candidates, buf[:0])
	r.measureLoad(candidates)
	if r.Bounds == (Bounds{}) {
		r.Bounds = DefaultBounds()
	}
	best := Choice{Index: -1, Reason: ReasonNone}
	bestCost := time.Duration(maxCost)
	soonest := time.Duration(maxCost)
	pinned := r.pinnedToRegion(candidates)
	for i := range candidates {
		c := &candidates[i]
		if pinned && c.Region != r.Region {
			continue
		}
		position := int(positions[i])
		expected := r.expected(c, r.warmProbability(c, position))
		soonest = min(soonest, expected)
		cost := expected + costs.transfer(c.Distance, r.Bytes) + r.displacement(c, position) +
			time.Duration(c.FailureRate*failureCost*r.objective())
		if cost < bestCost || cost == bestCost && best.Index >= 0 && c.Rank > candidates[best.Index].Rank {
			best, bestCost = Choice{Index: i, Expected: expected, Position: position}, cost
		}
	}
	if best.Index < 0 {
		return best
	}
	if r.TimesAssumed {
		soonest /= assumedTimeFactor
	}
	if soonest > r.TimeLeft {
		return Choice{Index: -1, Expected: soonest, Reason: ReasonNoTime}
	}
	if reason := r.rejection(&candidates[best.Index]); reason != "" {
		return Choice{Index: -1, Expected: best.Expected, Reason: reason}
	}
	best.Reason = r.reason(&best, &candidates[best.Index])
	return best
}

// displacement returns the cost of displacing other objects at a candidate that may not be
// warm for this one. It grows with the candidate's position, from 0 at the home, and with
// the utilization.
func (r *Request) displacement(c *Candidate, position int) time.Duration {
	if !r.Sticky {
		return 0
	}
	notWarm := 1 - r.warmProbability(c, position)
	share := displacementShare + displacementLoadShare*max(0, r.utilization-displacementFreeUtilization)/(1-displacementFreeUtilization)
	return time.Duration(float64(position) * notWarm * share * float64(r.ColdTime-r.WarmTime))
}

func (r *Request) reason(choice *Choice, c *Candidate) Reason {
	switch {
	case !r.Sticky:
		return ReasonFree
	case choice.Position == 0:
		return ReasonHome
	case c.AnsweredRecently:
		return ReasonKnown
	default:
		return ReasonSpill
	}
}

// expected returns the expected time until the response of a candidate that is warm for
// the object with the probability warm.
func (r *Request) expected(c *Candidate, warm float64) time.Duration {
	service := float64(r.ColdTime)
	if r.Sticky {
		service = warm*float64(r.WarmTime) + (1-warm)*float64(r.ColdTime)
	}
	service *= c.Slowdown
	return c.RoundTrip + time.Duration(service) + c.wait(r)
}

// measureLoad sets r.utilization and r.meanWait to those of all candidates together.
func (r *Request) measureLoad(candidates []Candidate) {
	slots, busy, queued := 0.0, 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		slots += float64(c.Slots)
		busy += min(c.Outstanding, float64(c.Slots))
		queued += max(0, c.Outstanding-float64(c.Slots)) * float64(c.slotTime(r))
	}
	if slots > 0 {
		r.utilization, r.meanWait = busy/slots, time.Duration(queued/slots)
	}
}

// queuesLong reports whether the mean wait in the queues of all candidates exceeds its
// limit.
func (r *Request) queuesLong() bool { return float64(r.meanWait) > maxMeanWait*r.objective() }

// objective returns the latency objective in nanoseconds; without one, ColdTime.
func (r *Request) objective() float64 { return float64(cmp.Or(r.Objective, r.ColdTime)) }

// pinnedToRegion reports whether the request must stay in the region that should serve
// it, which needs a candidate there. While the mean wait in the queues of all candidates
// exceeds its limit, no region is better, and requests that switch regions would only make
// the load of each oscillate.
func (r *Request) pinnedToRegion(candidates []Candidate) bool {
	return r.queuesLong() && slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Region == r.Region })
}

// wait returns the expected time that a request waits for a slot of the candidate.
func (c *Candidate) wait(r *Request) time.Duration {
	slots := float64(max(1, c.Slots))
	ahead := max(0, c.Outstanding+1-slots) / slots
	utilizationWait := fullUtilizationWait * min(1, c.Outstanding/slots)
	return time.Duration((ahead + utilizationWait) * float64(c.slotTime(r)))
}

// slotTime returns the mean time for which a request in the queue holds a slot of the candidate.
func (c *Candidate) slotTime(r *Request) time.Duration {
	warm, cold := cmp.Or(r.QueueWarmTime, r.WarmTime), cmp.Or(r.QueueColdTime, r.ColdTime)
	mean := float64(cold)
	if r.Sticky {
		mean = c.HitRate*float64(warm) + (1-c.HitRate)*float64(cold)
	}
	return time.Duration(mean * c.Slowdown)
}

// transfer returns the cost of sending the given number of bytes over a distance.
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

// warmProbability returns the probability that a candidate is warm for the request's
// object.
func (r *Request) warmProbability(c *Candidate, position int) float64 {
	if c.AnsweredRecently {
		return c.HitRate
	}
	return r.WarmProbabilities[position] * c.HitRate
}

// Rank returns the rank of an upstream for an object, from the hashes of both.
func Rank(object, upstream uint64) uint64 {
	x := object ^ upstream*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
