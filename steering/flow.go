package steering

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Buckets is the number of buckets that the address blocks of a flow are hashed
// into. Traffic moves between regions by whole buckets and, when a whole one
// exceeds the limit of a step, by a fraction of one.
const Buckets = 1024

const (
	bucketShift = 64 - 10 // the top 10 bits of a block's hash choose its bucket
	// goalTolerance is the share by which a region may exceed its goal before
	// traffic moves: weights are estimates, and each move loses warm caches.
	goalTolerance = 0.02
	epsilon       = 1e-9 // tolerance for rounding errors
	// minSplitFraction is the smallest fraction of a bucket that is worth a split.
	minSplitFraction = 0.02
)

// Placement maps each bucket of a flow to the regions that serve it. It is
// immutable.
//
// The hash of a request, scaled to the range from 0 to 1, is compared with the
// fraction of its bucket: below it the request goes to the assigned region,
// otherwise to the previous one. Requests between prevFraction, the fraction
// before the last step, and fraction were moved by that step.
type Placement struct {
	assigned     [Buckets]uint8
	previous     [Buckets]uint8
	fraction     [Buckets]float32
	prevFraction [Buckets]float32
	stepAt       time.Time // of the last step
	movedLimit   float64   // largest share of moved requests among all since the last step
	committed    bool      // the traffic of the last step no longer counts as moved
}

// Assignment returns the index of the region that serves the larger part of each
// bucket, for a peer that starts.
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

// newPlacement returns a placement in which regionOf gives the only region of each
// bucket.
func newPlacement(regionOf func(b int) uint8) *Placement {
	p := &Placement{}
	for b := range Buckets {
		p.assigned[b] = regionOf(b)
		p.previous[b] = p.assigned[b]
		p.fraction[b], p.prevFraction[b] = 1, 1
	}
	return p
}

// Flow is the traffic of one service from the blocks of one home region, as seen
// by one instance. Each instance keeps its own flows within the declared cap of the
// service; the weighted sum over all instances is then within it too, without
// coordination.
type Flow struct {
	homeRegion uint8
	regions    int
	placement  atomic.Pointer[Placement]

	// Counters since the last step.
	totalRequests atomic.Int64
	movedRequests atomic.Int64
	totalBytes    atomic.Int64
	movedBytes    atomic.Int64

	// Requests per bucket that the last step moved, counted since then: admitted
	// to the new region, or deferred (kept in the old one by the step's limit).
	admitted [Buckets]atomic.Uint32
	deferred [Buckets]atomic.Uint32

	// Requests and KiB per bucket, halved at each step.
	bucketRequests [Buckets]atomic.Uint32
	bucketKiB      [Buckets]atomic.Uint32

	mu sync.Mutex // held by writers of placement
}

// NewFlow returns a flow that its home region serves alone. home is the index of
// that region, regions the number of all.
func NewFlow(home, regions int) *Flow {
	return &Flow{homeRegion: uint8(home), regions: regions}
}

// Placement returns the placement in force, or nil as long as no traffic has left the
// home region.
func (f *Flow) Placement() *Placement { return f.placement.Load() }

// Route is the routing decision for one request.
type Route struct {
	region uint8
	moved  bool
	bucket uint16
}

// Region returns the index of the region that serves the request.
func (r Route) Region() int { return int(r.region) }

// bucketOf returns the bucket of the block with the given hash.
func bucketOf(blockHash uint64) int { return int(blockHash >> bucketShift) }

// Route chooses the region of one request by the hashes of its caller's block and
// of its id, and counts the request. Requests that the last step moved go to the
// new region only while they stay within the step's share of all requests since;
// the others stay in the old region.
func (f *Flow) Route(blockHash, requestHash uint64) Route {
	b := bucketOf(blockHash)
	f.bucketRequests[b].Add(1)
	total := f.totalRequests.Add(1)
	p := f.placement.Load()
	if p == nil {
		return Route{region: f.homeRegion, bucket: uint16(b)}
	}
	region, old, moved := p.lookup(b, requestHash)
	if moved && !f.admitMoved(p.movedLimit, total) {
		f.deferred[b].Add(1)
		return Route{region: old, bucket: uint16(b)}
	}
	if moved {
		f.admitted[b].Add(1)
	}
	return Route{region: region, moved: moved, bucket: uint16(b)}
}

// lookup returns the region of a request, the region it had before the last
// step, and whether that step moved it.
func (p *Placement) lookup(b int, requestHash uint64) (region, old uint8, moved bool) {
	position := float32(float64(requestHash) / math.MaxUint64)
	fraction, prev := p.fraction[b], p.prevFraction[b]
	switch {
	case position < min(fraction, prev):
		return p.assigned[b], p.assigned[b], false
	case position >= max(fraction, prev) && fraction < 1 && prev < 1:
		return p.previous[b], p.previous[b], false
	case fraction > prev:
		return p.assigned[b], p.previous[b], true
	case fraction < prev:
		return p.previous[b], p.assigned[b], true
	default:
		return p.assigned[b], p.assigned[b], false
	}
}

// admitMoved reports whether one more moved request keeps within the limit, a
// share of all requests and bytes since the last step, and counts it if so.
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

// RegionOf returns the index of the region that serves the larger part of the
// bucket of a block. It counts no request.
func (f *Flow) RegionOf(blockHash uint64) int {
	p := f.placement.Load()
	if p == nil {
		return int(f.homeRegion)
	}
	b := bucketOf(blockHash)
	if p.fraction[b] < 0.5 {
		return int(p.previous[b])
	}
	return int(p.assigned[b])
}

// AddBytes counts the size of a finished request, in bytes.
func (f *Flow) AddBytes(r Route, size int64) {
	f.bucketKiB[r.bucket].Add(uint32(min(size>>10+1, math.MaxInt32)))
	f.totalBytes.Add(size)
	if r.moved {
		f.movedBytes.Add(size)
	}
}

// Shares returns the share of the flow's requests that each region serves, by
// region index.
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

// addShares adds the share of each region to shares. Without recent traffic all
// buckets weigh the same.
func (p *Placement) addShares(weights *[Buckets]weight, shares []float64) {
	sum := 0.0
	for b := range weights {
		sum += weights[b][byRequests]
	}
	for b := range weights {
		w, fraction := weights[b][byRequests], float64(p.fraction[b])
		if sum == 0 {
			w = 1.0 / Buckets
		}
		shares[p.assigned[b]] += w * fraction
		shares[p.previous[b]] += w * (1 - fraction)
	}
}

// weight is the share of a bucket in the traffic of its flow, by each measure. A
// step keeps to the cap in all of them.
type weight [measures]float64

// The measures of traffic. byIdleBuckets counts buckets without recent traffic, so
// that a step limits their number too: their traffic may come back.
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

// fittingFraction returns the fraction of a bucket that fits into a budget in all
// measures, from 0 to 1.
func (w weight) fittingFraction(budget weight) float64 {
	fraction := 1.0
	for m := range w {
		if w[m] > epsilon {
			fraction = min(fraction, budget[m]/w[m])
		}
	}
	return max(0, fraction)
}

// Adopt takes over the placement of a peer, as returned by Placement.Assignment,
// when this instance starts. It counts as a step at now, so that the next one waits
// a whole interval. It returns false, and changes nothing, when the assignment is
// not valid for the flow or the flow has a placement already.
func (f *Flow) Adopt(assignment []byte, now time.Time) bool {
	if len(assignment) != Buckets {
		return false
	}
	for _, region := range assignment {
		if int(region) >= f.regions {
			return false
		}
	}
	p := newPlacement(func(b int) uint8 { return assignment[b] })
	p.stepAt = now
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.placement.Load() != nil {
		return false
	}
	f.placement.Store(p)
	return true
}
