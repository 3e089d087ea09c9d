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
	advanceEvery = 100 * time.Millisecond
	// outcomeDecay forgets outcomes with a time constant of about a second.
	outcomeDecay = 0.9
	// deadAfter is how many requests in a row must fail to reach a region before
	// it counts as dead.
	deadAfter = 3
	// deadSilence is how long no upstream there must have been reached.
	deadSilence = time.Second
	// deadFor is how long a region counts as dead before it is tried again.
	deadFor = 2 * time.Second
	minSeen = 0.5
	// refusingFor is how long a region must refuse before its traffic moves.
	refusingFor = 3 * time.Second
	// refusalBreak is how long without a refusal ends that.
	refusalBreak = 500 * time.Millisecond
	// minShare is the share under which a region serves nothing of a flow.
	minShare = 1e-6
)

// place is one service in one region.
type place struct {
	service string
	region  int
}

// outcomes counts what became of the requests to one place.
type outcomes struct {
	served     float64
	refused    float64
	refusingAt time.Time // since when it refuses without a break; zero if it does not
	refusedAt  time.Time // the last refusal
}

func (o *outcomes) add(served bool, now time.Time) {
	if served {
		o.served++
		return
	}
	o.refused++
	o.refusedAt = now
	if o.refusingAt.IsZero() {
		o.refusingAt = now
	}
}

// seen returns the counts that a decision may rest on. Refusals count once they
// have lasted: upstreams that start cold refuse for a moment.
func (o *outcomes) seen(now time.Time) (served, refused int) {
	if o.served+o.refused <= minSeen {
		return 0, 0
	}
	if o.refusingAt.IsZero() || now.Sub(o.refusingAt) < refusingFor {
		return int(o.served + minSeen), 0
	}
	return int(o.served + minSeen), int(o.refused + minSeen)
}

// decay forgets a part of the counts.
func (o *outcomes) decay(now time.Time) {
	o.served *= outcomeDecay
	o.refused *= outcomeDecay
	if now.Sub(o.refusedAt) > refusalBreak {
		o.refusingAt = time.Time{}
	}
}

// reach is what is known of the way to one region.
type reach struct {
	failures int       // in a row
	okAt     time.Time // when an upstream there was last reached
	deadTill time.Time // zero while it is not dead
}

// flows holds the shares of this instance's traffic and moves them.
type flows struct {
	log *slog.Logger

	mu       sync.RWMutex
	table    *steering.Table
	byPlace  map[place]*steering.Flow // by service and home region
	outcomes map[place]*outcomes
	reach    map[int]*reach
	adopted  map[flowName][]byte // placements of a peer, for flows to come

	// away holds the flows whose home serves nothing of them any more.
	away atomic.Pointer[map[place]*steering.Flow]
}

// flowName identifies a flow across revisions, in which indices may differ.
type flowName struct {
	service string
	home    string
}

func newFlows(log *slog.Logger) *flows {
	f := &flows{
		log:      log,
		byPlace:  make(map[place]*steering.Flow),
		outcomes: make(map[place]*outcomes),
		reach:    make(map[int]*reach),
		adopted:  make(map[flowName][]byte),
	}
	f.away.Store(&map[place]*steering.Flow{})
	return f
}

// setTable takes in a new set. Flows go on; when the list of regions changes,
// their placements are carried over by the regions' names.
func (f *flows) setTable(t *steering.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.table
	f.table = t
	if old == nil || sameRegions(old, t) {
		return
	}
	for p, flow := range f.byPlace {
		if placement := flow.Placement(); placement != nil {
			name := flowName{service: p.service, home: old.Regions()[p.region]}
			if assign, ok := translate(placement.Assignment(), old, t); ok {
				f.adopted[name] = assign
			}
		}
	}
	f.byPlace = make(map[place]*steering.Flow)
	f.outcomes = make(map[place]*outcomes)
	f.reach = make(map[int]*reach)
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

func translate(assign []byte, from, to *steering.Table) ([]byte, bool) {
	out := make([]byte, len(assign))
	for i, region := range assign {
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

// flow returns the flow of a service from a home region.
func (f *flows) flow(p place, now time.Time) *steering.Flow {
	f.mu.RLock()
	flow, ok := f.byPlace[p]
	f.mu.RUnlock()
	if ok {
		return flow
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if flow, ok := f.byPlace[p]; ok {
		return flow
	}
	flow = steering.NewFlow(p.region, len(f.table.Regions()))
	name := flowName{service: p.service, home: f.table.Regions()[p.region]}
	if assign, ok := f.adopted[name]; ok {
		flow.Adopt(assign, now)
		delete(f.adopted, name)
	}
	f.byPlace[p] = flow
	return flow
}

// note counts the outcome of a request to a place.
func (f *flows) note(p place, served bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.outcomes[p]
	if !ok {
		o = &outcomes{}
		f.outcomes[p] = o
	}
	o.add(served, now)
}

// reached notes whether an upstream in a region could be reached. A region is dead
// when several could not and none could for a while: one upstream that is gone
// says nothing about the others.
func (f *flows) reached(ctx context.Context, region int, ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, known := f.reach[region]
	if !known {
		r = &reach{okAt: now}
		f.reach[region] = r
	}
	name := slog.String("region", f.table.Regions()[region])
	if ok {
		if !r.deadTill.IsZero() {
			event.RegionRecovered.Log(ctx, f.log, name)
		}
		*r = reach{okAt: now}
		return
	}
	r.failures++
	if r.failures < deadAfter || now.Sub(r.okAt) < deadSilence {
		return
	}
	if r.deadTill.IsZero() {
		event.RegionDead.Log(ctx, f.log, name)
	}
	r.deadTill = now.Add(deadFor)
}

func (f *flows) dead(region int, now time.Time) bool {
	r, ok := f.reach[region]
	return ok && now.Before(r.deadTill)
}

// advance moves every flow by at most one step towards where it should be.
func (f *flows) advance(ctx context.Context, t *steering.Table, upstreams Upstreams, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	away := make(map[place]*steering.Flow)
	for p, flow := range f.byPlace {
		health := f.health(p.service, t, upstreams, now)
		plan := steering.NewPlan(p.region, health, flow.Shares(), t.Set().Cap(p.service))
		if flow.Advance(now, plan.Goal(), plan.Step()) {
			event.TrafficMoved.Log(ctx, f.log, slog.String("service", p.service),
				slog.String("home", f.table.Regions()[p.region]), slog.Any("shares", flow.Shares()), slog.Any("goal", plan.Goal()))
		}
		if flow.Placement() != nil && flow.Shares()[p.region] < minShare {
			away[p] = flow
		}
	}
	f.away.Store(&away)
	for _, o := range f.outcomes {
		o.decay(now)
	}
}

func (f *flows) health(service string, t *steering.Table, upstreams Upstreams, now time.Time) []steering.Health {
	regions := f.table.Regions()
	out := make([]steering.Health, len(regions))
	for i, name := range regions {
		p := place{service: service, region: i}
		var served, refused int
		if o, ok := f.outcomes[p]; ok {
			served, refused = o.seen(now)
		}
		declared, usable := slots(t, p, now)
		out[i] = steering.NewHealth(usable, served, refused, upstreams.Utilization(service, name, now)).
			WithDrained(t.Set().RegionDrained(name, now)).
			WithDead(declared == 0 || f.dead(i, now))
	}
	return out
}

// slots returns the declared slots of a service in a region, and those that no
// drain empties.
func slots(t *steering.Table, p place, now time.Time) (declared, usable int) {
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

// Share is where the traffic of one service from one region is served.
type Share struct {
	Service string             `json:"service" cbor:"1,keyasint"`
	Home    string             `json:"home" cbor:"2,keyasint"`
	Shares  map[string]float64 `json:"shares" cbor:"3,keyasint"`
}

// shares returns the shares of the flows that do not lie whole at home.
func (f *flows) shares() []Share {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []Share
	for p, flow := range f.byPlace {
		if flow.Placement() == nil {
			continue
		}
		s := Share{Service: p.service, Home: f.table.Regions()[p.region], Shares: make(map[string]float64)}
		for i, share := range flow.Shares() {
			s.Shares[f.table.Regions()[i]] = share
		}
		out = append(out, s)
	}
	return out
}

// placementMessage is one placement in force, with regions by name.
type placementMessage struct {
	Service string   `cbor:"1,keyasint"`
	Home    string   `cbor:"2,keyasint"`
	Regions []string `cbor:"3,keyasint"`
	Assign  []byte   `cbor:"4,keyasint"`
}

// placements returns the placements in force, for a peer that starts.
func (f *flows) placements() []placementMessage {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []placementMessage
	for p, flow := range f.byPlace {
		if placement := flow.Placement(); placement != nil {
			regions := f.table.Regions()
			out = append(out, placementMessage{
				Service: p.service, Home: regions[p.region], Regions: regions, Assign: placement.Assignment(),
			})
		}
	}
	return out
}

// adopt takes in the placements of a peer for flows that have none yet.
func (f *flows) adopt(messages []placementMessage, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return
	}
	for _, m := range messages {
		assign, ok := f.named(m)
		if !ok {
			continue
		}
		home, known := f.table.RegionIndex(m.Home)
		if !known {
			continue
		}
		p := place{service: m.Service, region: home}
		if flow, ok := f.byPlace[p]; ok {
			flow.Adopt(assign, now)
			continue
		}
		f.adopted[flowName{service: m.Service, home: m.Home}] = assign
	}
}

// named translates a peer's region numbers into this instance's.
func (f *flows) named(m placementMessage) ([]byte, bool) {
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
