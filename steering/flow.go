package steering

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Buckets is the number of parts that a flow is divided into. Traffic moves
// between regions by whole buckets, and by a part of one.
const Buckets = 1024

const (
	bucketShift = 64 - 10 // the top 10 bits of a block's hash choose its bucket
	// goalTolerance is the share by which a region may exceed its goal before
	// traffic moves: weights are estimates, and moving costs warm caches.
	goalTolerance = 0.02
	epsilon       = 1e-9
	// minSplitFraction is the least part of a bucket that is worth a split.
	minSplitFraction = 0.02
)

// Placement tells which region serves each bucket of a flow. It never changes.
//
// The requests of a bucket whose hashes lie below part go to the region assign,
// the others to old. Those between before and part were moved by the last step.
type Placement struct {
	assigned     [Buckets]uint8
	previous     [Buckets]uint8
	fraction     [Buckets]float32
	prevFraction [Buckets]float32
	stepAt       time.Time
	movedLimit   float64 // the share of all requests that fresh ones may have
	committed    bool
}

// Assignment returns the region that serves the larger part of each bucket, for a
// peer that starts.
func (p *Placement) Assignment() []byte {
	out := make([]byte, Buckets)
	for b := range out {
		out[b] = p.assigned[b]
		if p.fraction[b] < 0.5 {
			out[b] = p.previous[b]
		}
	}
	return out
}

func newPlacement(assign func(b int) uint8) *Placement {
	p := &Placement{}
	for b := range Buckets {
		p.assigned[b] = assign(b)
		p.previous[b] = p.assigned[b]
		p.fraction[b], p.prevFraction[b] = 1, 1
	}
	return p
}

// Flow is the traffic of one service from the blocks of one region, as seen by
// one instance. Each instance keeps the cap on its own flows; the weighted sum
// over all instances then keeps it too, without any agreement.
type Flow struct {
	homeRegion uint8
	regions    int
	placement  atomic.Pointer[Placement]

	// Counters since the last step.
	totalRequests atomic.Int64
	movedRequests atomic.Int64
	totalBytes    atomic.Int64
	movedBytes    atomic.Int64

	// Fresh requests per bucket since the last step: admitted to the new region,
	// and held at the old one by the limit of the step.
	admitted [Buckets]atomic.Uint32
	deferred [Buckets]atomic.Uint32

	// Counters per bucket, halved at each step.
	bucketRequests [Buckets]atomic.Uint32
	bucketKiB      [Buckets]atomic.Uint32

	mu sync.Mutex // held by writers of placement
}

// NewFlow returns a flow that is served whole by its home region.
func NewFlow(home, regions int) *Flow {
	return &Flow{homeRegion: uint8(home), regions: regions}
}

// HomeRegion returns the index of the flow's home region.
func (f *Flow) HomeRegion() int { return int(f.homeRegion) }

// Placement returns the placement in force, or nil when all is at home.
func (f *Flow) Placement() *Placement { return f.placement.Load() }

// Route is the decision for one request.
type Route struct {
	region uint8
	moved  bool
	bucket uint16
}

// Region returns the index of the region that serves the request.
func (r Route) Region() int { return int(r.region) }

// Moved reports whether the request counts as traffic moved by the last step.
func (r Route) Moved() bool { return r.moved }

func bucketOf(block uint64) int { return int(block >> bucketShift) }

// Route decides the region of one request and counts it. Requests of buckets
// that the last step moved go to the new region only while they stay under the
// step's share of all requests since; the others stay with the old region.
func (f *Flow) Route(block, request uint64) Route {
	b := bucketOf(block)
	f.bucketRequests[b].Add(1)
	total := f.totalRequests.Add(1)
	p := f.placement.Load()
	if p == nil {
		return Route{region: f.homeRegion, bucket: uint16(b)}
	}
	region, old, fresh := p.lookup(b, request)
	if fresh && !f.admitMoved(p.movedLimit, total) {
		f.deferred[b].Add(1)
		return Route{region: old, bucket: uint16(b)}
	}
	if fresh {
		f.admitted[b].Add(1)
	}
	return Route{region: region, moved: fresh, bucket: uint16(b)}
}

// lookup returns the region of a request, the region it had before the last
// step, and whether that step moved it.
func (p *Placement) lookup(b int, request uint64) (region, old uint8, fresh bool) {
	at := float32(float64(request) / math.MaxUint64)
	part, before := p.fraction[b], p.prevFraction[b]
	switch {
	case at < min(part, before):
		return p.assigned[b], p.assigned[b], false
	case at >= max(part, before) && part < 1 && before < 1:
		return p.previous[b], p.previous[b], false
	case part > before:
		return p.assigned[b], p.previous[b], true
	case part < before:
		return p.previous[b], p.assigned[b], true
	default:
		return p.assigned[b], p.assigned[b], false
	}
}

func (f *Flow) admitMoved(limit float64, total int64) bool {
	if float64(f.movedBytes.Load()) > limit*float64(f.totalBytes.Load()) {
		return false
	}
	for {
		moved := f.movedRequests.Load()
		if float64(moved+1) > limit*float64(total) {
			return false
		}
		if f.movedRequests.CompareAndSwap(moved, moved+1) {
			return true
		}
	}
}

// RegionOf returns the region that serves a block, without counting a request.
func (f *Flow) RegionOf(block uint64) int {
	p := f.placement.Load()
	if p == nil {
		return int(f.homeRegion)
	}
	b := bucketOf(block)
	if p.fraction[b] < 0.5 {
		return int(p.previous[b])
	}
	return int(p.assigned[b])
}

// AddBytes counts the bytes of a finished request.
func (f *Flow) AddBytes(r Route, size int64) {
	f.bucketKiB[r.bucket].Add(uint32(min(size>>10+1, math.MaxInt32)))
	f.totalBytes.Add(size)
	if r.moved {
		f.movedBytes.Add(size)
	}
}

// Shares returns the share of the requests that each region serves.
func (f *Flow) Shares() []float64 {
	p := f.placement.Load()
	shares := make([]float64, f.regions)
	if p == nil {
		shares[f.homeRegion] = 1
		return shares
	}
	p.addShares(f.weights(), shares)
	return shares
}

// addShares adds up the share of each region. Without any traffic, buckets count
// alike.
func (p *Placement) addShares(weights *[Buckets]weight, masses []float64) {
	sum := 0.0
	for b := range weights {
		sum += weights[b][byRequests]
	}
	for b := range weights {
		w, part := weights[b][byRequests], float64(p.fraction[b])
		if sum == 0 {
			w = 1.0 / Buckets
		}
		masses[p.assigned[b]] += w * part
		masses[p.previous[b]] += w * (1 - part)
	}
}

// weight is the share of a bucket in the traffic, by each measure. A step is
// under the cap in all of them.
type weight [measures]float64

// The measures of traffic. The count spreads the buckets without recent traffic
// over the steps, since it may come back.
const (
	byRequests = iota
	byBytes
	byIdleBuckets
	measures
)

// weights returns the weights of all buckets.
func (f *Flow) weights() *[Buckets]weight {
	var out [Buckets]weight
	var sum weight
	for b := range out {
		out[b] = weight{float64(f.bucketRequests[b].Load()), float64(f.bucketKiB[b].Load())}
		for m, v := range out[b] {
			sum[m] += v
		}
	}
	for b := range out {
		if out[b][byRequests] == 0 {
			out[b] = weight{byIdleBuckets: 1.0 / Buckets}
			continue
		}
		for _, m := range []int{byRequests, byBytes} {
			out[b][m] /= max(sum[m], 1)
		}
	}
	return &out
}

// fittingFraction returns which part of a bucket fittingFraction into a budget, at most 1.
func (w weight) fittingFraction(budget weight) float64 {
	part := 1.0
	for m := range w {
		if w[m] > epsilon {
			part = min(part, budget[m]/w[m])
		}
	}
	return max(0, part)
}

// Adopt takes over the placement of a peer, when this instance starts. It
// counts as a step at the instant now, so that the next one waits its interval.
func (f *Flow) Adopt(assign []byte, now time.Time) bool {
	if len(assign) != Buckets {
		return false
	}
	for _, region := range assign {
		if int(region) >= f.regions {
			return false
		}
	}
	p := newPlacement(func(b int) uint8 { return assign[b] })
	p.stepAt = now
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.placement.Load() != nil {
		return false
	}
	f.placement.Store(p)
	return true
}
