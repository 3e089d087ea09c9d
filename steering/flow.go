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
	// surplusSlack is the share by which a region may exceed its goal before
	// traffic moves: weights are estimates, and moving costs warm caches.
	surplusSlack = 0.02
	epsilon      = 1e-9
	// minPart is the least part of a bucket that is worth a split.
	minPart = 0.02
)

// Placement tells which region serves each bucket of a flow. It never changes.
//
// The requests of a bucket whose hashes lie below part go to the region assign,
// the others to old. Those between before and part were moved by the last step.
type Placement struct {
	assign  [Buckets]uint8
	old     [Buckets]uint8
	part    [Buckets]float32
	before  [Buckets]float32
	stepAt  time.Time
	limit   float64 // the share of all requests that fresh ones may have
	settled bool
}

// Assignment returns the region that serves the larger part of each bucket, for a
// peer that starts.
func (p *Placement) Assignment() []byte {
	out := make([]byte, Buckets)
	for b := range out {
		out[b] = p.assign[b]
		if p.part[b] < 0.5 {
			out[b] = p.old[b]
		}
	}
	return out
}

func newPlacement(assign func(b int) uint8) *Placement {
	p := &Placement{}
	for b := range Buckets {
		p.assign[b] = assign(b)
		p.old[b] = p.assign[b]
		p.part[b], p.before[b] = 1, 1
	}
	return p
}

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

	// Fresh requests per bucket since the last step: admitted to the new region,
	// and held at the old one by the limit of the step.
	admitted [Buckets]atomic.Uint32
	held     [Buckets]atomic.Uint32

	// Counters per bucket, halved at each step.
	requests [Buckets]atomic.Uint32
	kbytes   [Buckets]atomic.Uint32

	mu sync.Mutex // held by writers of placement
}

// NewFlow returns a flow that is served whole by its home region.
func NewFlow(home, regions int) *Flow {
	return &Flow{home: uint8(home), regions: regions}
}

// HomeRegion returns the index of the flow's home region.
func (f *Flow) HomeRegion() int { return int(f.home) }

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

// Moved reports whether the request counts as traffic moved by the last step.
func (r Route) Moved() bool { return r.fresh }

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
	if fresh && !f.admitMoved(p.limit, total) {
		f.held[b].Add(1)
		return Route{region: old, bucket: uint16(b)}
	}
	if fresh {
		f.admitted[b].Add(1)
	}
	return Route{region: region, fresh: fresh, bucket: uint16(b)}
}

// lookup returns the region of a request, the region it had before the last
// step, and whether that step moved it.
func (p *Placement) lookup(b int, request uint64) (region, old uint8, fresh bool) {
	at := float32(float64(request) / math.MaxUint64)
	part, before := p.part[b], p.before[b]
	switch {
	case at < min(part, before):
		return p.assign[b], p.assign[b], false
	case at >= max(part, before) && part < 1 && before < 1:
		return p.old[b], p.old[b], false
	case part > before:
		return p.assign[b], p.old[b], true
	case part < before:
		return p.old[b], p.assign[b], true
	default:
		return p.assign[b], p.assign[b], false
	}
}

func (f *Flow) admitMoved(limit float64, total int64) bool {
	if float64(f.movedBytes.Load()) > limit*float64(f.totalBytes.Load()) {
		return false
	}
	for {
		moved := f.moved.Load()
		if float64(moved+1) > limit*float64(total) {
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
	b := bucketOf(block)
	if p.part[b] < 0.5 {
		return int(p.old[b])
	}
	return int(p.assign[b])
}

// AddBytes counts the bytes of a finished request.
func (f *Flow) AddBytes(r Route, size int64) {
	f.kbytes[r.bucket].Add(uint32(min(size>>10+1, math.MaxInt32)))
	f.totalBytes.Add(size)
	if r.fresh {
		f.movedBytes.Add(size)
	}
}

// Shares returns the share of the requests that each region serves.
func (f *Flow) Shares() []float64 {
	p := f.placement.Load()
	shares := make([]float64, f.regions)
	if p == nil {
		shares[f.home] = 1
		return shares
	}
	p.masses(f.weights(), shares)
	return shares
}

// masses adds up the share of each region. Without any traffic, buckets count
// alike.
func (p *Placement) masses(weights *[Buckets]weight, masses []float64) {
	sum := 0.0
	for b := range weights {
		sum += weights[b][byRequests]
	}
	for b := range weights {
		w, part := weights[b][byRequests], float64(p.part[b])
		if sum == 0 {
			w = 1.0 / Buckets
		}
		masses[p.assign[b]] += w * part
		masses[p.old[b]] += w * (1 - part)
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
	byCount
	measures
)

// weights returns the weights of all buckets.
func (f *Flow) weights() *[Buckets]weight {
	var out [Buckets]weight
	var sum weight
	for b := range out {
		out[b] = weight{float64(f.requests[b].Load()), float64(f.kbytes[b].Load())}
		for m, v := range out[b] {
			sum[m] += v
		}
	}
	for b := range out {
		if out[b][byRequests] == 0 {
			out[b] = weight{byCount: 1.0 / Buckets}
			continue
		}
		for _, m := range []int{byRequests, byBytes} {
			out[b][m] /= max(sum[m], 1)
		}
	}
	return &out
}

// fits returns which part of a bucket fits into a budget, at most 1.
func (w weight) fits(budget weight) float64 {
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
