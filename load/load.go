// Package load tracks the load of upstreams as this instance sees it: the requests that it
// has in flight, the load that upstreams report in their responses to this instance and to
// others, and the outcome and duration of its requests.
//
// An upstream is cold for a time after its start, after it could not be reached, and after the
// end of an evacuation of its failure domain. In this cold period it gets requests at a limited
// rate. A warm or cold time is something else: the service time at an upstream
// that is warm for the object of a request, or that is not (see package placement).
package load

import (
	"math"
	"slices"
	"sync"
	"time"

	"hickorydrum/budget"
	"hickorydrum/dispatch"
	"hickorydrum/fleet"
	"hickorydrum/limit"
	"hickorydrum/placement"
	"hickorydrum/route"
)

const (
	// healthHalfLife is the time after which the measured slowdown and failure rate of an
	// upstream have half their weight, if no new request updates them.
	healthHalfLife = 2 * time.Second
	// reportHalfLife is the time after which the part of a reported load that other
	// instances cause has half its weight.
	reportHalfLife = 3 * time.Second
	// failureSmoothing is the weight of the newest outcome in the failure rate.
	failureSmoothing = 0.15
	// slowdownSmoothing is the weight of the newest service time in the slowdown.
	slowdownSmoothing = 0.15
	// hitSmoothing is the weight of the newest outcome in the hit rate, which starts at
	// initialHitRate.
	hitSmoothing   = 0.1
	initialHitRate = 0.9
	// maxSlowdown bounds the factor by which one response may seem slower than normal.
	maxSlowdown = 20.0
	// failuresToAvoid is how many connections in a row must fail before an upstream is
	// avoided. The time for which it is avoided doubles from firstAvoid to maxAvoid.
	failuresToAvoid = 1
	firstAvoid      = 300 * time.Millisecond
	maxAvoid        = 2 * time.Second
	// fullAfterRefusal is how long an upstream counts as full after it refused a request.
	fullAfterRefusal = 150 * time.Millisecond
	// objectWarmFor is how long after a response an upstream counts as having recently answered
	// this instance for its object.
	objectWarmFor = 10 * time.Second
	// maxObjects is how many objects are kept for one upstream before all are dropped.
	maxObjects = 512
)

// upstreamState is the state of one upstream. The tracker's lock guards it.
type upstreamState struct {
	id      string
	key     uint32
	service string
	slots   int
	dialer  *dispatch.Dialer

	startMillis int64              // when it started, in Unix milliseconds
	coldUntil   time.Time          // end of its cold period
	cold        budget.TokenBucket // limits the requests in its cold period

	sentAt      time.Time // when the last request was sent
	inFlight    int
	reported    float64 // requests running and waiting, by its last report
	reportedOwn int     // requests that this instance had in flight when it received the report
	reportedAt  time.Time
	queued      bool                 // requests were waiting, by its last report
	fullUntil   time.Time            // until then it counts as full, after a refusal
	slowdown    float64              // factor by which it is slower than others; 1 is normal
	failureRate float64              // probability that it fails a request
	healthAt    time.Time            // when slowdown and failureRate were last decayed
	hitRate     float64              // probability that it is still warm for an object for which it recently answered this instance
	failures    int                  // failed connections in a row
	avoidUntil  time.Time            // until then it is avoided, after failed connections
	objects     map[uint64]time.Time // when the upstream last answered a request for each object
	gate        *limit.Gate
	pace        pace // how long work takes on its machine
}

// Tracker holds the load state of all upstreams. Its methods are safe for concurrent use.
type Tracker struct {
	domain, region string
	newDialer      func(u *fleet.Upstream) *dispatch.Dialer
	orders         *orders

	mu         sync.Mutex
	states     map[string]*upstreamState
	byKey      map[uint32]*upstreamState // by the hash that identifies an upstream at all instances
	times      map[serviceTimesKey]*serviceTimes
	warm       map[string]*warmProbabilities // by service
	roundTrips map[string]time.Duration      // by failure domain
	regions    []string                      // in the order of their numbers
}

// NewTracker returns the tracker of an instance in a failure domain and region. Regions
// are numbered by their order in regions. newDialer is called for each upstream that is added
// or has restarted, while the lock is held; the tracker closes the dialer when the upstream
// is removed or has restarted.
func NewTracker(domain, region string, regions []string, newDialer func(u *fleet.Upstream) *dispatch.Dialer) *Tracker {
	return &Tracker{
		domain: domain, region: region, newDialer: newDialer, orders: newOrders(),
		states: make(map[string]*upstreamState), byKey: make(map[uint32]*upstreamState), times: make(map[serviceTimesKey]*serviceTimes), warm: make(map[string]*warmProbabilities),
		roundTrips: make(map[string]time.Duration), regions: regions,
	}
}

func (tr *Tracker) regionNumber(region string) int { return slices.Index(tr.regions, region) }

// ApplyView replaces the set of upstreams by that of a new view. A new or restarted upstream
// is cold for the time that coldPeriod returns for its service, counted from now.
//
// initial states that no earlier view was applied with a configuration in force, as after a
// start of this instance. Upstreams may then have run for long, and coldPeriod may have
// returned 0 for earlier views, so the time counts from the start of the upstream, and applies
// to each upstream of the view. In either case an upstream is cold for at least its
// ColdRemainingMillis.
func (tr *Tracker) ApplyView(view *fleet.View, initial bool, coldPeriod func(service string) time.Duration, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, s := range tr.states {
		if _, ok := view.Upstream(id); !ok {
			s.dialer.Close()
			delete(tr.states, id)
			delete(tr.byKey, s.key)
		}
	}
	for _, u := range view.All() {
		tr.applyUpstream(u, initial, coldPeriod(u.Service), now)
	}
}

func (tr *Tracker) applyUpstream(u *fleet.Upstream, initial bool, coldPeriod time.Duration, now time.Time) {
	s, ok := tr.states[u.ID]
	if !ok || s.startMillis != u.StartMillis {
		if ok {
			s.dialer.Close()
		}
		s = &upstreamState{id: u.ID, key: key(u), slots: u.Slots, service: u.Service, dialer: tr.newDialer(u), startMillis: u.StartMillis, slowdown: 1, hitRate: initialHitRate, objects: make(map[uint64]time.Time), gate: newGate(u)}
		tr.states[u.ID], tr.byKey[s.key] = s, s
		if !initial {
			s.markCold(now.Add(coldPeriod))
		}
	}
	s.slots = u.Slots
	if initial {
		// The clocks of the two machines may differ, which makes the age wrong by seconds
		// at most.
		age := time.Duration(max(0, now.UnixMilli()-u.StartMillis)) * time.Millisecond
		s.markCold(now.Add(coldPeriod - age))
	}
	if u.ColdRemainingMillis > 0 {
		s.markCold(now.Add(time.Duration(u.ColdRemainingMillis) * time.Millisecond))
	}
}

// Request is what the tracker must know of a request to find the candidates for it.
type Request struct {
	Service string
	Object  uint64 // hash of the object that the request is about
	Sticky  bool   // the request names an object
	Class   route.Class
	// Tried holds the IDs of upstreams that were chosen for the request already and must
	// not be chosen again.
	Tried map[string]bool
	// Unlimited leaves out the upstreams that have a limit.
	Unlimited bool
	// Cold returns the rate at which this instance may send to a cold upstream. Cold and
	// Allows are called with the tracker's lock held and must not call its methods.
	Cold func(u *fleet.Upstream) ColdShare
	// Allows reports whether an upstream may serve the request.
	Allows func(u *fleet.Upstream) bool
}

// Candidates returns the upstreams that may serve a request. The two slices correspond by
// index. Upstreams that are avoided after failed connections are left out unless there are
// no others.
func (tr *Tracker) Candidates(r *Request, upstreams []*fleet.Upstream, now time.Time) ([]placement.Candidate, []*fleet.Upstream) {
	var ranks []uint32
	if r.Sticky && len(upstreams) > 0 {
		ranks = tr.orders.ranks(upstreams[0].Service, upstreams, r.Object)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	candidates, usable := tr.candidates(r, upstreams, ranks, now, false)
	if len(candidates) == 0 {
		// All upstreams may be avoided. A fault that they share must not leave the service
		// without candidates.
		return tr.candidates(r, upstreams, ranks, now, true)
	}
	return candidates, usable
}

// candidates returns the upstreams that may serve a request. ranks are those of the upstreams for the
// object of the request, nil if it names none. Their order then only decides between equal costs.
func (tr *Tracker) candidates(
	r *Request, upstreams []*fleet.Upstream, ranks []uint32, now time.Time, includeAvoided bool,
) ([]placement.Candidate, []*fleet.Upstream) {
	candidates := make([]placement.Candidate, 0, len(upstreams))
	usable := make([]*fleet.Upstream, 0, len(upstreams))
	for i, u := range upstreams {
		s, ok := tr.states[u.ID]
		if !ok || r.Tried[u.ID] || !r.Allows(u) || !includeAvoided && now.Before(s.avoidUntil) {
			continue
		}
		if r.Unlimited && s.gate.State().InForce {
			continue
		}
		if now.Before(s.coldUntil) {
			share := r.Cold(u)
			if !s.cold.Allows(now, share.PerSecond, share.Burst) {
				continue
			}
		}
		c := tr.candidate(s, u, r, now)
		if ranks != nil {
			c.Rank = uint64(ranks[i])
		}
		candidates = append(candidates, c)
		usable = append(usable, u)
	}
	return candidates, usable
}

func (tr *Tracker) candidate(s *upstreamState, u *fleet.Upstream, r *Request, now time.Time) placement.Candidate {
	c := placement.Candidate{
		Rank: placement.Rank(r.Object, u.Hash()), Distance: tr.distance(u), RoundTrip: tr.roundTrip(u),
		Slots: u.Slots, Outstanding: s.outstanding(now), HitRate: s.hitRate,
		Region: tr.regionNumber(u.Region()),
	}
	c.Slowdown, c.FailureRate = s.decayedHealth(now)
	if !s.pace.usual() {
		c.Slowdown *= s.pace.slowdown(tr.slotTime(r.Service, r.Class), now)
	}
	if now.Before(s.fullUntil) {
		// A full upstream counts as having a queue of at least twice its slots.
		c.Outstanding = max(c.Outstanding, float64(3*u.Slots))
	}
	if answeredAt, ok := s.objects[r.Object]; ok && r.Sticky {
		c.AnsweredRecently = now.Sub(answeredAt) < objectWarmFor
	}
	return c
}

// outstanding returns the expected number of requests running and waiting at the upstream:
// those of this instance, and those of others by the last report.
func (s *upstreamState) outstanding(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return float64(s.inFlight)
	}
	others := max(0, s.reported-float64(s.reportedOwn))
	age := now.Sub(s.reportedAt)
	others *= math.Exp2(-float64(age) / float64(reportHalfLife))
	return float64(s.inFlight) + others
}

func (tr *Tracker) distance(u *fleet.Upstream) placement.Distance {
	switch {
	case u.Domain == tr.domain:
		return placement.SameDomain
	case u.Region() == tr.region:
		return placement.SameRegion
	default:
		return placement.OtherRegion
	}
}

// Begin counts a request that is sent to an upstream and returns the upstream's dialer. It
// returns false if the upstream was removed or has restarted, or if it is cold and this
// instance has used up its share of the upstream's rate.
func (tr *Tracker) Begin(u *fleet.Upstream, cold ColdShare, now time.Time) (*dispatch.Dialer, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s, ok := tr.states[u.ID]
	if !ok || s.startMillis != u.StartMillis {
		return nil, false
	}
	if now.Before(s.coldUntil) && !s.cold.Spend(now, cold.PerSecond, cold.Burst) {
		return nil, false
	}
	s.inFlight++
	s.sentAt = now
	return s.dialer, true
}

// SentAt returns when a request was last sent to an upstream, the zero time if none was.
func (tr *Tracker) SentAt(id string) time.Time {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if s, ok := tr.states[id]; ok {
		return s.sentAt
	}
	return time.Time{}
}

// RecordLoad records the number of running and waiting requests that an upstream reported.
func (tr *Tracker) RecordLoad(id string, running, waiting int, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if s, ok := tr.states[id]; ok {
		s.reported, s.reportedOwn, s.reportedAt, s.queued = float64(running+waiting), s.inFlight, now, waiting > 0
	}
}

// Outcome says how a request that was sent to an upstream ended.
type Outcome int

// The outcomes.
const (
	Answered    Outcome = iota // a complete response that is no failure
	Failed                     // a failure of the upstream, or an invalid response
	Refused                    // the upstream refused the request, as full or by a fault
	Unreachable                // the connection failed
	Abandoned                  // this instance gave up the request
)

// Result describes a request that was sent to an upstream and has ended.
type Result struct {
	Upstream *fleet.Upstream
	Class    route.Class
	Object   uint64 // hash of the object that the request is about
	Sticky   bool   // the request names an object
	Outcome  Outcome
	// Took is the time from Begin until the end of the response. It includes the network
	// round trip.
	Took time.Duration
	// Position is the position of the upstream in the object's order of preference.
	Position int
	// Waited states that requests were waiting at the upstream for a slot, probably this
	// one too, so that Took does not measure the service time.
	Waited bool
	// Pace is how long work took on the upstream's machine at the end of the response, in percent of
	// the usual time; 0 if the response does not say.
	Pace int
	// ColdPeriod is how long an upstream of the service counts as cold after a start.
	ColdPeriod time.Duration
}

// End records the result of a request that Begin counted. It does nothing if the upstream
// has been removed or has restarted since.
func (tr *Tracker) End(r *Result, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s, ok := tr.states[r.Upstream.ID]
	if !ok || s.startMillis != r.Upstream.StartMillis {
		return
	}
	s.inFlight = max(0, s.inFlight-1) // the upstream may have left the view and come back
	switch r.Outcome {
	case Answered:
		tr.answered(s, r, now)
	case Failed:
		s.failed(now)
	case Refused:
		s.refused(now)
	case Unreachable:
		s.unreachable(r.ColdPeriod, now)
	case Abandoned:
	}
}

func (tr *Tracker) answered(s *upstreamState, r *Result, now time.Time) {
	s.failures = 0
	s.decayHealth(now)
	s.failureRate -= failureSmoothing * s.failureRate
	answeredAt, answered := s.objects[r.Object]
	known := r.Sticky && answered && now.Sub(answeredAt) < objectWarmFor
	if r.Sticky {
		if len(s.objects) >= maxObjects {
			clear(s.objects)
		}
		s.objects[r.Object] = now
	}
	if r.Waited {
		return
	}
	took := newPace(r.Pace, now).correct(max(0, r.Took-tr.roundTrip(r.Upstream)))
	times := tr.serviceTimes(r.Upstream.Service, r.Class)
	times.note(s.id, took, now)
	if r.Sticky && !times.tooFew() && !times.fits(now) {
		times.refit()
		tr.resetSlowdown(r.Upstream.Service)
	}
	hit := times.learn(s, took, r.Sticky, known, now.Before(s.coldUntil))
	if r.Sticky && !known {
		tr.warmProbabilities(r.Upstream.Service).learn(r.Position, hit)
	}
}
