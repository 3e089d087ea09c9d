// Package load keeps what this instance knows of the load of upstreams: what it
// sent itself, what their answers told and how they fared.
package load

import (
	"math"
	"slices"
	"sync"
	"time"

	"hickorydrum/budget"
	"hickorydrum/dispatch"
	"hickorydrum/fleet"
	"hickorydrum/placement"
	"hickorydrum/route"
)

const (
	// faultHalfLife is after which time the slowness and the failures of an upstream
	// weigh half, if nothing new is learnt.
	faultHalfLife = 2 * time.Second
	// reportHalfLife is after which time what an upstream told of other instances'
	// requests weighs half.
	reportHalfLife = 3 * time.Second
	// failureSmoothing is the weight of the newest outcome in the failure rate.
	failureSmoothing = 0.15
	// slowdownSmoothing is the weight of the newest service time in the slowness.
	slowdownSmoothing = 0.15
	hitSmoothing  = 0.1
	firstHits  = 0.9
	maxSlow    = 20.0
	// failuresToAvoid is how many connections in a row must fail before an upstream
	// is avoided, which lasts from firstAvoid to maxAvoid.
	failuresToAvoid = 1
	firstAvoid      = 300 * time.Millisecond
	maxAvoid        = 2 * time.Second
	// shedPause is how long an upstream that refused is taken as full.
	shedPause = 150 * time.Millisecond
	// objectMemory is how long an object that was sent to an upstream counts as known
	// there.
	objectMemory = 10 * time.Second
	maxObjects   = 512
	maxIdle      = 64
)

// upstreamState is the state of one upstream.
type upstreamState struct {
	id      string
	key     uint32
	service string
	slots   int
	dialer  *dispatch.Dialer

	born     int64
	coldTill time.Time
	cold     budget.Rate

	inFlight  int
	reported      float64 // running and waiting, by its own last word
	reportedOwn   int     // of these, this instance's own
	reportedAt    time.Time
	queued    bool // requests were waiting, by its own last word
	fullTill  time.Time
	slow      float64
	failing   float64
	learntAt  time.Time // when slow and failing were last learnt
	hits      float64
	failures  int // failed connections in a row
	avoidTill time.Time
	objects   map[uint64]time.Time // when each object was last served there
}

// Tracker holds the gauges of all upstreams. Its methods may be called at the same
// time.
type Tracker struct {
	domain, region string
	newDialer      func(u *fleet.Upstream) *dispatch.Dialer

	mu      sync.Mutex
	gauges  map[string]*upstreamState
	byKey   map[uint32]*upstreamState // by what names an upstream among instances
	times   map[workKey]*workTimes
	known   map[string]*chances      // by service
	trips   map[string]time.Duration // by failure domain
	regions []string                 // in the order of their numbers
}

// NewTracker returns the board of an instance in a failure domain and region. The
// regions are numbered in the given order.
func NewTracker(domain, region string, regions []string, newDialer func(u *fleet.Upstream) *dispatch.Dialer) *Tracker {
	return &Tracker{
		domain: domain, region: region, newDialer: newDialer,
		gauges: make(map[string]*upstreamState), byKey: make(map[uint32]*upstreamState), times: make(map[workKey]*workTimes), known: make(map[string]*chances),
		trips: make(map[string]time.Duration), regions: regions,
	}
}

func (b *Tracker) regionNumber(region string) int { return slices.Index(b.regions, region) }

// ApplyView adapts the board to a new view. New upstreams are cold for the time that
// coldTime returns for their service: from now on, or in the first view from when
// they say that they started.
func (b *Tracker) ApplyView(view *fleet.View, first bool, coldTime func(service string) time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, g := range b.gauges {
		if _, ok := view.Upstream(id); !ok {
			g.dialer.Close()
			delete(b.gauges, id)
			delete(b.byKey, g.key)
		}
	}
	for _, u := range view.All() {
		b.follow(u, first, coldTime(u.Service), now)
	}
}

func (b *Tracker) follow(u *fleet.Upstream, first bool, coldTime time.Duration, now time.Time) {
	g, ok := b.gauges[u.ID]
	if !ok || g.born != u.Born {
		if ok {
			g.dialer.Close()
		}
		g = &upstreamState{id: u.ID, key: key(u), slots: u.Slots, service: u.Service, dialer: b.newDialer(u), born: u.Born, slow: 1, hits: firstHits, objects: make(map[uint64]time.Time)}
		b.gauges[u.ID], b.byKey[g.key] = g, g
		if !first {
			g.chill(now.Add(coldTime))
		}
	}
	g.slots = u.Slots
	if first {
		// The clocks of two machines differ; that makes the age wrong by seconds at most.
		age := max(0, time.Duration(now.UnixMilli()-u.Born)*time.Millisecond)
		g.chill(now.Add(coldTime - age))
	}
	if u.ColdMillis > 0 {
		g.chill(now.Add(time.Duration(u.ColdMillis) * time.Millisecond))
	}
}

// Request is what the board must know of a request to weigh upstreams for it.
type Request struct {
	Service string
	Object  uint64
	Sticky  bool
	// Tried holds the ids of upstreams that must not be chosen again.
	Tried map[string]bool
	// Cold is the part of a cold upstream's rate that this instance may use.
	Cold func(u *fleet.Upstream) ColdShare
	// Allows reports whether an upstream may serve the request.
	Allows func(u *fleet.Upstream) bool
}

// Candidates returns the upstreams that may serve a request, and their state.
func (b *Tracker) Candidates(r *Request, upstreams []*fleet.Upstream, now time.Time) ([]placement.Option, []*fleet.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	options, usable := b.options(r, upstreams, now, false)
	if len(options) == 0 {
		// All are avoided: a fault that they share must not empty the service.
		return b.options(r, upstreams, now, true)
	}
	return options, usable
}

func (b *Tracker) options(
	r *Request, upstreams []*fleet.Upstream, now time.Time, avoided bool,
) ([]placement.Option, []*fleet.Upstream) {
	options := make([]placement.Option, 0, len(upstreams))
	usable := make([]*fleet.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		g, ok := b.gauges[u.ID]
		if !ok || r.Tried[u.ID] || !r.Allows(u) || !avoided && now.Before(g.avoidTill) {
			continue
		}
		if now.Before(g.coldTill) {
			share := r.Cold(u)
			if !g.cold.Allows(now, share.PerSecond, share.Burst) {
				continue
			}
		}
		options = append(options, b.option(g, u, r, now))
		usable = append(usable, u)
	}
	return options, usable
}

func (b *Tracker) option(g *upstreamState, u *fleet.Upstream, r *Request, now time.Time) placement.Option {
	o := placement.Option{
		Rank: placement.Rank(r.Object, u.Hash()), Distance: b.distance(u), RoundTrip: b.roundTrip(u),
		Slots: u.Slots, Busy: g.busy(now), Hits: g.hits,
		Region: b.regionNumber(u.Region()),
	}
	o.Slow, o.Failing = g.faults(now)
	if now.Before(g.fullTill) {
		o.Busy = max(o.Busy, float64(3*u.Slots))
	}
	if served, ok := g.objects[r.Object]; ok && r.Sticky {
		o.Known = now.Sub(served) < objectMemory
	}
	return o
}

// busy returns the expected number of requests at the upstream.
func (g *upstreamState) busy(now time.Time) float64 {
	if g.reportedAt.IsZero() {
		return float64(g.inFlight)
	}
	others := max(0, g.reported-float64(g.reportedOwn))
	age := now.Sub(g.reportedAt)
	others *= math.Exp2(-float64(age) / float64(reportHalfLife))
	return float64(g.inFlight) + others
}

func (b *Tracker) distance(u *fleet.Upstream) placement.Distance {
	switch {
	case u.Domain == b.domain:
		return placement.SameDomain
	case u.Region() == b.region:
		return placement.SameRegion
	default:
		return placement.OtherRegion
	}
}

// Begin counts a request on its way to an upstream and returns its dialer. It
// fails when the upstream is gone or cold and may get no more now.
func (b *Tracker) Begin(u *fleet.Upstream, cold ColdShare, now time.Time) (*dispatch.Dialer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok := b.gauges[u.ID]
	if !ok || g.born != u.Born {
		return nil, false
	}
	if now.Before(g.coldTill) && !g.cold.Spend(now, cold.PerSecond, cold.Burst) {
		return nil, false
	}
	g.inFlight++
	return g.dialer, true
}

// ReportLoad takes in the load that an upstream told.
func (b *Tracker) ReportLoad(id string, running, waiting int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g, ok := b.gauges[id]; ok {
		g.reported, g.reportedOwn, g.reportedAt, g.queued = float64(running+waiting), g.inFlight, now, waiting > 0
	}
}

// Outcome is how a send ended.
type Outcome int

// The outcomes.
const (
	Answered    Outcome = iota // a whole answer that is no failure
	Failed                     // the upstream's own failure, or an answer that is none
	Refused                    // no room
	Unreachable                // no connection
	Abandoned                  // ended from this side
)

// Result is what the board learns from a send.
type Result struct {
	Upstream *fleet.Upstream
	Class    route.Class
	Object   uint64
	Sticky   bool
	Outcome  Outcome
	Took     time.Duration
	// Position is that of the upstream for the object.
	Position int
	// Waited states that the request had to wait at the upstream, so that its time
	// tells nothing about the service.
	Waited bool
	// ColdTime is how long the service's upstreams are cold after a start.
	ColdTime time.Duration
}

// End takes in the end of a send.
func (b *Tracker) End(r *Result, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok := b.gauges[r.Upstream.ID]
	if !ok {
		return
	}
	g.inFlight = max(0, g.inFlight-1)
	switch r.Outcome {
	case Answered:
		b.answered(g, r, now)
	case Failed:
		g.failed(now)
	case Refused:
		g.refused(now)
	case Unreachable:
		g.unreachable(r.ColdTime, now)
	case Abandoned:
	}
}

func (b *Tracker) answered(g *upstreamState, r *Result, now time.Time) {
	g.failures = 0
	g.fade(now)
	g.failing -= failureSmoothing * g.failing
	served, sent := g.objects[r.Object]
	known := r.Sticky && sent && now.Sub(served) < objectMemory
	if r.Sticky {
		if len(g.objects) >= maxObjects {
			clear(g.objects)
		}
		g.objects[r.Object] = now
	}
	if r.Waited {
		return
	}
	took := max(0, r.Took-b.roundTrip(r.Upstream))
	times := b.work(r.Upstream.Service, r.Class)
	times.note(g.id, took, now)
	if r.Sticky && !times.few() && !times.fits(now) {
		times.restart()
		b.unslow(r.Upstream.Service)
	}
	hit := times.learn(g, took, r.Sticky, known, now.Before(g.coldTill))
	if r.Sticky && !known {
		b.chances(r.Upstream.Service).learn(r.Position, hit)
	}
}
