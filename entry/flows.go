package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"hickorydrum/event"
	"hickorydrum/steering"
)

const (
	advanceInterval = 100 * time.Millisecond
	// outcomeDecay is the factor by which the counts of outcomes are multiplied every
	// advanceInterval, which gives a time constant of about a second.
	outcomeDecay = 0.9
	// deadMinFailures is how many requests in a row must fail to reach a region before
	// it counts as dead.
	deadMinFailures = 3
	// deadMinSilence is the time without contact to any upstream of a region after which
	// it may count as dead.
	deadMinSilence = time.Second
	// deadDuration is how long a region counts as dead before requests are sent there again.
	deadDuration = 2 * time.Second
	// halfRequest is added to a count of requests to round it to a whole number. A total
	// of at most halfRequest counts as no requests.
	halfRequest = 0.5
	// minRefusalTime is how long a region must refuse requests before its traffic moves.
	minRefusalTime = 3 * time.Second
	// refusalGap is the time without a refusal after which minRefusalTime starts anew.
	refusalGap = 500 * time.Millisecond
	// minShare is the share below which a region counts as serving nothing of a flow.
	minShare = 1e-6
)

// serviceRegion is one service in one region. As the key of a flow the region is the home
// of the callers, elsewhere it is the region of the upstreams.
type serviceRegion struct {
	service string
	region  int
}

// outcomes counts served and refused requests to one service in one region, with
// exponential decay.
type outcomes struct {
	served        float64
	refused       float64
	refusingSince time.Time // first refusal since the last gap of over refusalGap; zero if none
	lastRefusal   time.Time
}

func (o *outcomes) add(served bool, now time.Time) {
	if served {
		o.served++
		return
	}
	o.refused++
	o.lastRefusal = now
	if o.refusingSince.IsZero() {
		o.refusingSince = now
	}
}

// effectiveCounts returns the rounded counts for steering decisions. Refusals count only
// once they have lasted for minRefusalTime, since upstreams that start cold refuse requests
// for a short time.
func (o *outcomes) effectiveCounts(now time.Time) (served, refused int) {
	if o.served+o.refused <= halfRequest {
		return 0, 0
	}
	if o.refusingSince.IsZero() || now.Sub(o.refusingSince) < minRefusalTime {
		return int(o.served + halfRequest), 0
	}
	return int(o.served + halfRequest), int(o.refused + halfRequest)
}

// decay multiplies the counts by outcomeDecay.
func (o *outcomes) decay(now time.Time) {
	o.served *= outcomeDecay
	o.refused *= outcomeDecay
	if now.Sub(o.lastRefusal) > refusalGap {
		o.refusingSince = time.Time{}
	}
}

// reachability records whether the upstreams of one region can be reached.
type reachability struct {
	consecutiveFailures int
	lastSuccess         time.Time // when an upstream was last reached; the first failure if none was yet
	deadUntil           time.Time // zero while it is not dead
}

// flows holds the flows of this instance's traffic and moves their shares between regions.
// A flow is the traffic of one service from the callers of one home region.
type flows struct {
	log *slog.Logger

	mu                sync.RWMutex
	table             *steering.Table
	byServiceRegion   map[serviceRegion]*steering.Flow // by service and home region
	outcomes          map[serviceRegion]*outcomes
	reachability      map[int]*reachability
	pendingPlacements map[flowKey][]byte // assignments of a peer or an earlier table, for flows that are not created yet

	// relocated holds the flows of which the home region serves nothing any more.
	relocated atomic.Pointer[map[serviceRegion]*steering.Flow]
}

// flowKey identifies a flow across revisions, between which the indices of regions may
// change.
type flowKey struct {
	service string
	home    string
}

func newFlows(log *slog.Logger) *flows {
	f := &flows{
		log:               log,
		byServiceRegion:   make(map[serviceRegion]*steering.Flow),
		outcomes:          make(map[serviceRegion]*outcomes),
		reachability:      make(map[int]*reachability),
		pendingPlacements: make(map[flowKey][]byte),
	}
	f.relocated.Store(&map[serviceRegion]*steering.Flow{})
	return f
}

// setTable replaces the steering table. The flows are kept if the list of regions is the
// same. Otherwise each is created anew when it is next used, with its placement, whose
// region indices are translated by the names of the regions; a placement with a region that
// is gone is dropped.
func (f *flows) setTable(t *steering.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.table
	f.table = t
	if old == nil || sameRegions(old, t) {
		return
	}
	for p, flow := range f.byServiceRegion {
		if placement := flow.Placement(); placement != nil {
			name := flowKey{service: p.service, home: old.Regions()[p.region]}
			if assignment, ok := translate(placement.Assignment(), old, t); ok {
				f.pendingPlacements[name] = assignment
			}
		}
	}
	f.byServiceRegion = make(map[serviceRegion]*steering.Flow)
	f.outcomes = make(map[serviceRegion]*outcomes)
	f.reachability = make(map[int]*reachability)
}

func sameRegions(a, b *steering.Table) bool {
	if len(a.Regions()) != len(b.Regions()) {
		return false
	}
	for i, name := range a.Regions() {
		if b.Regions()[i] != name {
			return false
		}
	}
	return true
}

// translate maps the region indices of an assignment from one table to another. It reports
// false if a region is missing.
func translate(assignment []byte, from, to *steering.Table) ([]byte, bool) {
	out := make([]byte, len(assignment))
	for i, region := range assignment {
		if int(region) >= len(from.Regions()) {
			return nil, false
		}
		index, ok := to.RegionIndex(from.Regions()[region])
		if !ok {
			return nil, false
		}
		out[i] = uint8(index)
	}
	return out, true
}

// flow returns the flow of a service from a home region, and creates it if needed.
func (f *flows) flow(p serviceRegion, now time.Time) *steering.Flow {
	f.mu.RLock()
	flow, ok := f.byServiceRegion[p]
	f.mu.RUnlock()
	if ok {
		return flow
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if flow, ok := f.byServiceRegion[p]; ok {
		return flow
	}
	flow = steering.NewFlow(p.region, len(f.table.Regions()))
	name := flowKey{service: p.service, home: f.table.Regions()[p.region]}
	if assignment, ok := f.pendingPlacements[name]; ok {
		flow.Adopt(assignment, now)
		delete(f.pendingPlacements, name)
	}
	f.byServiceRegion[p] = flow
	return flow
}

// addOutcome counts whether a request to a service in a region was served or refused.
func (f *flows) addOutcome(p serviceRegion, served bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.outcomes[p]
	if !ok {
		o = &outcomes{}
		f.outcomes[p] = o
	}
	o.add(served, now)
}

// observeReachability records whether an upstream in a region could be reached. A region
// counts as dead after deadMinFailures failures in a row if no upstream there was reached
// for deadMinSilence: the failure of one upstream says nothing about the others.
func (f *flows) observeReachability(ctx context.Context, region int, ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, known := f.reachability[region]
	if !known {
		r = &reachability{lastSuccess: now}
		f.reachability[region] = r
	}
	name := slog.String("region", f.table.Regions()[region])
	if ok {
		if !r.deadUntil.IsZero() {
			event.RegionRecovered.Log(ctx, f.log, name)
		}
		*r = reachability{lastSuccess: now}
		return
	}
	r.consecutiveFailures++
	if r.consecutiveFailures < deadMinFailures || now.Sub(r.lastSuccess) < deadMinSilence {
		return
	}
	if r.deadUntil.IsZero() {
		event.RegionDead.Log(ctx, f.log, name)
	}
	r.deadUntil = now.Add(deadDuration)
}

// isDead reports whether a region counts as dead. The lock is held.
func (f *flows) isDead(region int, now time.Time) bool {
	r, ok := f.reachability[region]
	return ok && now.Before(r.deadUntil)
}

// advance moves every flow by at most one step of its cap towards its goal.
func (f *flows) advance(ctx context.Context, t *steering.Table, upstreams Upstreams, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	relocated := make(map[serviceRegion]*steering.Flow)
	for p, flow := range f.byServiceRegion {
		health := f.health(p.service, t, upstreams, now)
		plan := steering.NewPlan(p.region, health, flow.Shares(), t.Set().Cap(p.service))
		if flow.Advance(now, plan.Goal(), plan.Step()) {
			event.TrafficMoved.Log(ctx, f.log, slog.String("service", p.service),
				slog.String("home", f.table.Regions()[p.region]), slog.Any("shares", flow.Shares()), slog.Any("goal", plan.Goal()))
		}
		if flow.Placement() != nil && flow.Shares()[p.region] < minShare {
			relocated[p] = flow
		}
	}
	f.relocated.Store(&relocated)
	for _, o := range f.outcomes {
		o.decay(now)
	}
}

// health returns the health of a service in each region, by index. The lock is held.
func (f *flows) health(service string, t *steering.Table, upstreams Upstreams, now time.Time) []steering.Health {
	regions := f.table.Regions()
	out := make([]steering.Health, len(regions))
	for i, name := range regions {
		p := serviceRegion{service: service, region: i}
		var served, refused int
		if o, ok := f.outcomes[p]; ok {
			served, refused = o.effectiveCounts(now)
		}
		declared, usable := slots(t, p, now)
		out[i] = steering.NewHealth(usable, served, refused, upstreams.Utilization(service, name, now)).
			WithDrained(t.Set().RegionDrained(name, now)).
			WithDead(declared == 0 || f.isDead(i, now))
	}
	return out
}

// slots returns the declared slots of a service in a region, and those of workers that are
// not being drained.
func slots(t *steering.Table, p serviceRegion, now time.Time) (declared, usable int) {
	service := t.ServiceByName(p.service)
	if service == nil {
		return 0, 0
	}
	for _, w := range service.Workers() {
		if w.Region() != t.Regions()[p.region] {
			continue
		}
		declared += w.Slots()
		if !t.Set().WorkerDrained(w, now) {
			usable += w.Slots()
		}
	}
	return declared, usable
}

// FlowShares holds the shares of one service's traffic from one home region, by the region
// that serves them.
type FlowShares struct {
	Service string             `json:"service" cbor:"1,keyasint"`
	Home    string             `json:"home" cbor:"2,keyasint"`
	Shares  map[string]float64 `json:"shares" cbor:"3,keyasint"`
}

// shares returns the shares of the flows that have a placement, which are those not served
// in their home region alone.
func (f *flows) shares() []FlowShares {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []FlowShares
	for p, flow := range f.byServiceRegion {
		if flow.Placement() == nil {
			continue
		}
		s := FlowShares{Service: p.service, Home: f.table.Regions()[p.region], Shares: make(map[string]float64)}
		for i, share := range flow.Shares() {
			s.Shares[f.table.Regions()[i]] = share
		}
		out = append(out, s)
	}
	return out
}

// placementMessage is the encoding of one placement in force. Assign holds an index into
// Regions for each bucket of the placement.
type placementMessage struct {
	Service string   `cbor:"1,keyasint"`
	Home    string   `cbor:"2,keyasint"`
	Regions []string `cbor:"3,keyasint"`
	Assign  []byte   `cbor:"4,keyasint"`
}

// placements returns the placements in force, for a peer that is starting.
func (f *flows) placements() []placementMessage {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []placementMessage
	for p, flow := range f.byServiceRegion {
		if placement := flow.Placement(); placement != nil {
			regions := f.table.Regions()
			out = append(out, placementMessage{
				Service: p.service, Home: regions[p.region], Regions: regions, Assign: placement.Assignment(),
			})
		}
	}
	return out
}

// adopt applies the placements of a peer to flows that have none yet: at once to existing
// flows, and to others when they are created.
func (f *flows) adopt(messages []placementMessage, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return
	}
	for _, m := range messages {
		assignment, ok := f.localAssignment(m)
		if !ok {
			continue
		}
		home, known := f.table.RegionIndex(m.Home)
		if !known {
			continue
		}
		p := serviceRegion{service: m.Service, region: home}
		if flow, ok := f.byServiceRegion[p]; ok {
			flow.Adopt(assignment, now)
			continue
		}
		f.pendingPlacements[flowKey{service: m.Service, home: m.Home}] = assignment
	}
}

// localAssignment translates the region indices of a peer's placement into those of this
// instance. It reports false if a region is missing. The lock is held.
func (f *flows) localAssignment(m placementMessage) ([]byte, bool) {
	out := make([]byte, len(m.Assign))
	for i, region := range m.Assign {
		if int(region) >= len(m.Regions) {
			return nil, false
		}
		index, ok := f.table.RegionIndex(m.Regions[region])
		if !ok {
			return nil, false
		}
		out[i] = uint8(index)
	}
	return out, true
}
