package steering

import (
	"math"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"hickorydrum/declaration"
)

// Buckets is the number of parts that a flow is divided into. Traffic moves
// between regions by whole buckets, or by parts of one that is too heavy.
const Buckets = 1024

const (
	bucketShift = 64 - 10 // the top 10 bits of a block's hash choose its bucket
	wordBits    = 64
	// surplusSlack is the share by which a region may exceed its goal before
	// traffic moves: weights are estimates, and moving costs warm caches.
	surplusSlack = 0.02
	epsilon      = 1e-9
)

// Placement tells which region serves each bucket of a flow. It never changes.
type Placement struct {
	assign  [Buckets]uint8
	old     [Buckets]uint8
	fresh   [Buckets / wordBits]uint64
	heavy   heavyMove
	stepAt  time.Time
	share   float64
	settled bool
}

// heavyMove is the gradual move of one bucket whose traffic exceeds a step. Its
// requests are divided by their own hashes.
type heavyMove struct {
	active bool
	bucket int
	to     uint8
	before float64
	part   float64
}

// StepAt returns the instant of the last step.
func (p *Placement) StepAt() time.Time { return p.stepAt }

// Assign returns the region of each bucket, for a peer that starts.
func (p *Placement) Assign() []byte { return append([]byte(nil), p.assign[:]...) }

// Flow is the traffic of one service from the blocks of one region, as seen by
// one instance. Each instance keeps the cap on its own flows; the weighted sum
// over all instances then keeps it too, without any agreement.
type Flow struct {
	home      uint8
	regions   int
	placement atomic.Pointer[Placement]

	// Counters since the last step.
	total      atomic.Int64
	moved      atomic.Int64
	totalBytes atomic.Int64
	movedBytes atomic.Int64

	// Counters per bucket, halved at each step.
	requests [Buckets]atomic.Uint32
	kbytes   [Buckets]atomic.Uint32

	mu sync.Mutex // held by writers of placement
}

// NewFlow returns a flow that is served whole by its home region.
func NewFlow(home, regions int) *Flow {
	return &Flow{home: uint8(home), regions: regions}
}

// Home returns the index of the flow's home region.
func (f *Flow) Home() int { return int(f.home) }

// Placement returns the placement in force, or nil when all is at home.
func (f *Flow) Placement() *Placement { return f.placement.Load() }

// Route is the decision for one request.
type Route struct {
	region uint8
	fresh  bool
	bucket uint16
}

// Region returns the index of the region that serves the request.
func (r Route) Region() int { return int(r.region) }

// Fresh reports whether the request counts as traffic moved by the last step.
func (r Route) Fresh() bool { return r.fresh }

func bucketOf(block uint64) int { return int(block >> bucketShift) }

// Route decides the region of one request and counts it. Requests of buckets
// that the last step moved go to the new region only while they stay under the
// step's share of all requests since; the others stay with the old region.
func (f *Flow) Route(block, request uint64) Route {
	b := bucketOf(block)
	f.requests[b].Add(1)
	total := f.total.Add(1)
	p := f.placement.Load()
	if p == nil {
		return Route{region: f.home, bucket: uint16(b)}
	}
	region, old, fresh := p.lookup(b, request)
	if fresh && !f.admitMoved(p.share, total) {
		return Route{region: old, bucket: uint16(b)}
	}
	return Route{region: region, fresh: fresh, bucket: uint16(b)}
}

// lookup returns the region of a request, the region it had before the last
// step, and whether that step moved it.
func (p *Placement) lookup(b int, request uint64) (region, old uint8, fresh bool) {
	if p.heavy.active && p.heavy.bucket == b {
		at := float64(request) / math.MaxUint64
		if at < p.heavy.part {
			return p.heavy.to, p.assign[b], at >= p.heavy.before
		}
		return p.assign[b], p.assign[b], false
	}
	if p.fresh[b/wordBits]&(1<<(b%wordBits)) != 0 {
		return p.assign[b], p.old[b], true
	}
	return p.assign[b], p.assign[b], false
}

func (f *Flow) admitMoved(share float64, total int64) bool {
	if float64(f.movedBytes.Load()) > share*float64(f.totalBytes.Load()) {
		return false
	}
	for {
		moved := f.moved.Load()
		if float64(moved+1) > share*float64(total) {
			return false
		}
		if f.moved.CompareAndSwap(moved, moved+1) {
			return true
		}
	}
}

// RegionOf returns the region that serves a block, without counting a request.
func (f *Flow) RegionOf(block uint64) int {
	p := f.placement.Load()
	if p == nil {
		return int(f.home)
	}
	return int(p.assign[bucketOf(block)])
}

// Done counts the bytes of a finished request.
func (f *Flow) Done(r Route, size int64) {
	f.kbytes[r.bucket].Add(uint32(min(size>>10+1, math.MaxInt32)))
	f.totalBytes.Add(size)
	if r.fresh {
		f.movedBytes.Add(size)
	}
}

// Shares returns the share of the traffic that each region serves.
func (f *Flow) Shares() []float64 {
	p := f.placement.Load()
	shares := make([]float64, f.regions)
	if p == nil {
		shares[f.home] = 1
		return shares
	}
	p.masses(f.weights(), shares)
	// Weights are the larger of two shares, so that their sum may exceed 1.
	var sum float64
	for _, share := range shares {
		sum += share
	}
	for r := range shares {
		shares[r] /= sum
	}
	return shares
}

func (p *Placement) masses(weights *[Buckets]float64, masses []float64) {
	for b, w := range weights {
		if p.heavy.active && p.heavy.bucket == b {
			masses[p.heavy.to] += w * p.heavy.part
			masses[p.assign[b]] += w * (1 - p.heavy.part)
			continue
		}
		masses[p.assign[b]] += w
	}
}

// weights returns the share of each bucket in the traffic, the larger of its
// shares in requests and in bytes, so that a step is under the cap in both.
func (f *Flow) weights() *[Buckets]float64 {
	var out [Buckets]float64
	var requests, kbytes float64
	for b := range out {
		requests += float64(f.requests[b].Load())
		kbytes += float64(f.kbytes[b].Load())
	}
	if requests == 0 {
		for b := range out {
			out[b] = 1.0 / Buckets
		}
		return &out
	}
	for b := range out {
		out[b] = float64(f.requests[b].Load()) / requests
		if kbytes > 0 {
			out[b] = max(out[b], float64(f.kbytes[b].Load())/kbytes)
		}
	}
	return &out
}

// Adopt takes over the placement of a peer, when this instance starts. It
// counts as a step at the instant now, so that the next one waits its interval.
func (f *Flow) Adopt(assign []byte, now time.Time) bool {
	if len(assign) != Buckets {
		return false
	}
	p := &Placement{stepAt: now}
	for b, region := range assign {
		if int(region) >= f.regions {
			return false
		}
		p.assign[b] = region
		p.old[b] = region
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.placement.Load() != nil {
		return false
	}
	f.placement.Store(p)
	return true
}

// Advance moves the flow towards the goal, a share for each region, by at most
// one step. It reports whether traffic moved. Steps are at least an interval
// apart, so that no window of that length, wherever it begins, holds two.
func (f *Flow) Advance(now time.Time, goal []float64, step declaration.Step) bool {
	if step.Share() <= 0 || len(goal) != f.regions {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	cur := f.placement.Load()
	if cur == nil && goal[f.home] >= 1-surplusSlack {
		return false
	}
	if cur != nil && now.Before(cur.stepAt.Add(step.Every())) {
		return false
	}
	next, moved := f.nextPlacement(cur, goal, step.Share())
	if !moved {
		f.settle(cur)
		return false
	}
	next.stepAt = now
	next.share = step.Share()
	f.startStep(next)
	return true
}

// settle ends the trial of the last step: its traffic has moved for good.
func (f *Flow) settle(cur *Placement) {
	if cur == nil || cur.settled {
		return
	}
	next := *cur
	next.fresh = [Buckets / wordBits]uint64{}
	next.heavy.before = next.heavy.part
	next.settled = true
	f.placement.Store(&next)
}

func (f *Flow) startStep(next *Placement) {
	// The old placement stays in force until the counters are reset, which can
	// only hold back traffic of the old step.
	f.moved.Store(0)
	f.total.Store(0)
	f.movedBytes.Store(0)
	f.totalBytes.Store(0)
	f.placement.Store(next)
	for b := range Buckets {
		f.requests[b].Store(f.requests[b].Load() / 2)
		f.kbytes[b].Store(f.kbytes[b].Load() / 2)
	}
}

func (f *Flow) nextPlacement(cur *Placement, goal []float64, budget float64) (*Placement, bool) {
	next := &Placement{}
	if cur != nil {
		next.assign = cur.assign
		next.heavy = cur.heavy
		next.heavy.before = cur.heavy.part
	} else {
		for b := range next.assign {
			next.assign[b] = f.home
		}
	}
	next.old = next.assign
	weights := f.weights()
	m := &mover{next: next, weights: weights, share: budget, budget: budget}
	m.excess = make([]float64, f.regions)
	next.masses(weights, m.excess)
	for r := range m.excess {
		m.excess[r] -= goal[r]
	}
	m.goal = goal
	m.run()
	return next, m.moved
}

// mover fills the next placement within the budget of one step.
type mover struct {
	next    *Placement
	weights *[Buckets]float64
	goal    []float64
	excess  []float64
	share   float64
	budget  float64
	moved   bool
}

func (m *mover) run() {
	if m.next.heavy.active {
		m.continueHeavy()
	}
	for b := range Buckets {
		if m.budget <= epsilon {
			return
		}
		if m.next.heavy.active && m.next.heavy.bucket == b {
			continue
		}
		from := m.next.assign[b]
		to, ok := m.target(from)
		if !ok {
			continue
		}
		if !m.moveBucket(b, from, to) {
			return
		}
	}
}

// target returns the region that should receive traffic of region from.
func (m *mover) target(from uint8) (uint8, bool) {
	mustLeave := m.goal[from] <= epsilon
	if !mustLeave && m.excess[from] <= surplusSlack {
		return 0, false
	}
	best := -1
	for r, e := range m.excess {
		if r != int(from) && m.goal[r] > epsilon && (best < 0 || e < m.excess[best]) {
			best = r
		}
	}
	if best < 0 || !mustLeave && m.excess[best] >= 0 {
		return 0, false
	}
	return uint8(best), true
}

// moveBucket moves one bucket, or begins to move a heavy one. It reports
// whether the scan may go on.
func (m *mover) moveBucket(b int, from, to uint8) bool {
	w := m.weights[b]
	if w <= m.budget+epsilon {
		m.shift(from, to, w)
		m.next.assign[b] = to
		m.next.fresh[b/wordBits] |= 1 << (b % wordBits)
		return true
	}
	if w <= m.share || m.next.heavy.active {
		return false // it fits whole into a later step
	}
	part := m.budget / w
	m.next.heavy = heavyMove{active: true, bucket: b, to: to, part: part}
	m.shift(from, to, m.budget)
	return false
}

func (m *mover) continueHeavy() {
	h := &m.next.heavy
	from := m.next.assign[h.bucket]
	if _, ok := m.target(from); !ok {
		m.returnHeavy()
		return
	}
	w := m.weights[h.bucket]
	part := 1.0
	if w*(1-h.part) > m.budget {
		part = h.part + m.budget/w
	}
	m.shift(from, h.to, w*(part-h.part))
	h.part = part
	if part >= 1-epsilon && h.before >= 1-epsilon {
		m.next.assign[h.bucket] = h.to
		m.next.old[h.bucket] = h.to
		m.next.heavy = heavyMove{}
	}
}

// returnHeavy moves the part of a heavy bucket back when its move is no longer
// wanted.
func (m *mover) returnHeavy() {
	h := &m.next.heavy
	to := m.next.assign[h.bucket]
	if back, ok := m.target(h.to); !ok || back != to {
		return
	}
	w := m.weights[h.bucket]
	part := max(0, h.part-m.budget/max(w, epsilon))
	m.shift(h.to, to, w*(h.part-part))
	h.part = part
	h.before = min(h.before, part)
	if part <= epsilon {
		m.next.heavy = heavyMove{}
	}
}

func (m *mover) shift(from, to uint8, w float64) {
	m.excess[from] -= w
	m.excess[to] += w
	m.budget -= w
	m.moved = true
}

// FreshBuckets returns how many buckets the last step moved.
func (p *Placement) FreshBuckets() int {
	n := 0
	for _, word := range p.fresh {
		n += bits.OnesCount64(word)
	}
	return n
}
