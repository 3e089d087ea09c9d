package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var costs = Costs{DomainPerKiB: 1200 * time.Microsecond, RegionPerKiB: 2600 * time.Microsecond}

// candidate returns an idle upstream in the region of this instance.
func candidate(rank uint64, change func(c *Candidate)) Candidate {
	c := Candidate{Rank: rank, Distance: SameRegion, RoundTrip: time.Millisecond, Slots: 4, HitRate: 0.9, Slowdown: 1}
	if change != nil {
		change(&c)
	}
	return c
}

func request(change func(req *Request)) Request {
	req := Request{
		Bytes: 1500, TimeLeft: time.Second, Objective: 200 * time.Millisecond,
		WarmTime: 72 * time.Millisecond, ColdTime: 240 * time.Millisecond, Sticky: true,
		WarmProbabilities: [Positions]float64{0.85, 0.2},
	}
	if change != nil {
		change(&req)
	}
	return req
}

func busy(n float64) func(c *Candidate) { return func(c *Candidate) { c.Outstanding = n } }

func TestChoose(t *testing.T) {
	far := func(c *Candidate) { c.Distance, c.Region, c.RoundTrip = OtherRegion, 1, 40*time.Millisecond }
	near := func(c *Candidate) { c.Distance = SameDomain }
	tests := map[string]struct {
		request    Request
		candidates []Candidate
		index      int
		reason     Reason
	}{
		"nothing to choose": {request: request(nil), index: -1, reason: ReasonNone},
		"the home of the object": {
			request: request(nil), candidates: []Candidate{candidate(1, nil), candidate(9, nil), candidate(5, nil)}, index: 1, reason: ReasonHome,
		},
		"the home with a short queue": {
			request: request(nil), candidates: []Candidate{candidate(1, nil), candidate(9, busy(5))}, index: 1, reason: ReasonHome,
		},
		"the home with a long queue": {
			request: request(nil), candidates: []Candidate{candidate(1, nil), candidate(9, busy(30))}, index: 0, reason: ReasonSpill,
		},
		"another that knows the object": {
			request:    request(nil),
			candidates: []Candidate{candidate(1, nil), candidate(2, func(c *Candidate) { c.AnsweredRecently = true }), candidate(9, busy(10))},
			index:      1, reason: ReasonKnown,
		},
		"a home that fails": {
			request:    request(nil),
			candidates: []Candidate{candidate(1, nil), candidate(9, func(c *Candidate) { c.FailureRate = 0.9 })}, index: 0, reason: ReasonSpill,
		},
		"a slow home": {
			request:    request(nil),
			candidates: []Candidate{candidate(1, nil), candidate(9, func(c *Candidate) { c.Slowdown = 8 })}, index: 0, reason: ReasonSpill,
		},
		"no object: the least busy": {
			request:    request(func(req *Request) { req.Sticky, req.Region = false, -1 }),
			candidates: []Candidate{candidate(9, busy(4)), candidate(1, busy(1)), candidate(2, busy(3))}, index: 1, reason: ReasonFree,
		},
		"no object, all alike: by rank": {
			request:    request(func(req *Request) { req.Sticky, req.Region = false, -1 }),
			candidates: []Candidate{candidate(1, nil), candidate(9, nil), candidate(2, nil)}, index: 1, reason: ReasonFree,
		},
		"the region of the shares": {
			request:    request(func(req *Request) { req.Region = 1 }),
			candidates: []Candidate{candidate(9, nil), candidate(5, far)}, index: 1, reason: ReasonHome,
		},
		"a large body stays near": {
			request:    request(func(req *Request) { req.Bytes, req.KeepInDomain = 60<<10, true }),
			candidates: []Candidate{candidate(9, nil), candidate(5, near), candidate(3, near)}, index: 1, reason: ReasonHome,
		},
		"a large body does not cross regions for a short queue": {
			request:    request(func(req *Request) { req.Bytes = 60 << 10 }),
			candidates: []Candidate{candidate(9, busy(6)), candidate(5, far)}, index: 0, reason: ReasonHome,
		},
		"all are busy: a queue at home is better than a stranger": {
			request:    request(nil),
			candidates: []Candidate{candidate(1, busy(3.5)), candidate(9, busy(10)), candidate(2, busy(4)), candidate(3, busy(4))},
			index:      1, reason: ReasonHome,
		},
		"the same with slots free elsewhere": {
			request:    request(nil),
			candidates: []Candidate{candidate(1, nil), candidate(9, busy(16)), candidate(2, nil), candidate(3, nil)}, index: 3, reason: ReasonSpill,
		},
		"no time is left": {
			request:    request(func(req *Request) { req.TimeLeft = 30 * time.Millisecond }),
			candidates: []Candidate{candidate(9, nil)}, index: -1, reason: ReasonNoTime,
		},
		"queues in every region: the region of the shares": {
			request:    request(func(req *Request) { req.Objective = time.Second }),
			candidates: []Candidate{candidate(9, busy(18)), candidate(5, func(c *Candidate) { far(c); c.Outstanding, c.AnsweredRecently = 10, true })},
			index:      0, reason: ReasonHome,
		},
		"a queue in the region of the shares alone": {
			request:    request(func(req *Request) { req.Objective = time.Second }),
			candidates: []Candidate{candidate(9, busy(18)), candidate(5, func(c *Candidate) { far(c); c.AnsweredRecently = true }), candidate(4, far)},
			index:      1, reason: ReasonKnown,
		},
		"queues in every region, none in that of the shares": {
			request:    request(func(req *Request) { req.Objective, req.Region = time.Second, 2 }),
			candidates: []Candidate{candidate(9, busy(18)), candidate(5, func(c *Candidate) { far(c); c.Outstanding = 10 })},
			index:      1, reason: ReasonSpill,
		},
		"no objective: a short queue is no reason to refuse": {
			request:    request(func(req *Request) { req.Objective = 0 }),
			candidates: []Candidate{candidate(1, busy(5)), candidate(9, busy(5)), candidate(2, busy(5)), candidate(3, busy(5))},
			index:      1, reason: ReasonHome,
		},
		"longer queues everywhere than requests can wait in": {
			request:    request(nil),
			candidates: []Candidate{candidate(1, busy(9)), candidate(9, busy(14)), candidate(2, busy(10)), candidate(3, busy(9))},
			index:      -1, reason: ReasonBusy,
		},
		"longer queues everywhere than a less urgent request may wait in": {
			request:    request(func(req *Request) { req.Bounds = Bounds{MeanWait: 0.05, Wait: 0.1, Reason: ReasonUrgency} }),
			candidates: []Candidate{candidate(1, busy(5)), candidate(9, busy(6)), candidate(2, busy(5)), candidate(3, busy(5))},
			index:      -1, reason: ReasonUrgency,
		},
		"longer queues than any request may wait in": {
			request:    request(func(req *Request) { req.Bounds = Bounds{MeanWait: 0.05, Wait: 0.1, Reason: ReasonUrgency} }),
			candidates: []Candidate{candidate(1, busy(9)), candidate(9, busy(14)), candidate(2, busy(10)), candidate(3, busy(9))},
			index:      -1, reason: ReasonBusy,
		},
		"a less urgent request and a free slot": {
			request:    request(func(req *Request) { req.Bounds = Bounds{MeanWait: 0.01, Wait: 0.01, Reason: ReasonUrgency} }),
			candidates: []Candidate{candidate(1, busy(5)), candidate(9, busy(3)), candidate(2, busy(5)), candidate(3, busy(5))},
			index:      1, reason: ReasonHome,
		},
		"longer requests in the queues": {
			request: request(func(req *Request) {
				req.QueueWarmTime, req.QueueColdTime = 4*req.WarmTime, 4*req.ColdTime
			}),
			candidates: []Candidate{candidate(1, busy(6.5)), candidate(9, busy(6.5)), candidate(2, busy(6.5)), candidate(3, busy(6.5))},
			index:      -1, reason: ReasonBusy,
		},
		"a long queue at one upstream alone": {
			request:    request(nil),
			candidates: []Candidate{candidate(1, nil), candidate(9, busy(10)), candidate(2, nil), candidate(3, nil), candidate(4, nil)},
			index:      4, reason: ReasonSpill,
		},
		"queues everywhere in which requests can wait": {
			request:    request(nil),
			candidates: []Candidate{candidate(1, busy(5)), candidate(9, busy(6)), candidate(2, busy(5)), candidate(3, busy(5))},
			index:      1, reason: ReasonHome,
		},
		"no time is left in the queues": {
			request:    request(func(req *Request) { req.TimeLeft = 300 * time.Millisecond }),
			candidates: []Candidate{candidate(9, busy(40)), candidate(1, busy(60))}, index: -1, reason: ReasonNoTime,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Choose(test.request, test.candidates, costs)
			if diff := cmp.Diff([]any{test.index, test.reason}, []any{got.Index, got.Reason}); diff != "" {
				t.Errorf("%s\nexpected after %s", diff, got.Expected)
			}
		})
	}
}

func TestSpread(t *testing.T) {
	tests := map[string]struct {
		demand, capacity []float64
		target           float64
		want             [][]float64
	}{
		"room everywhere": {
			[]float64{2, 3}, []float64{10, 10}, 0.5, [][]float64{{1, 0}, {0, 1}},
		},
		"one region is full": {
			[]float64{8, 2, 2}, []float64{8, 12, 20}, 0.5, [][]float64{{0.5, 1.0 / 6, 1.0 / 3}, {0, 1, 0}, {0, 0, 1}},
		},
		"all are full: equal utilization": {
			[]float64{30, 10}, []float64{20, 20}, 0.5, [][]float64{{2.0 / 3, 1.0 / 3}, {0, 1}},
		},
		"a region without upstreams": {
			[]float64{4, 4}, []float64{0, 16}, 0.5, [][]float64{{0, 1}, {0, 1}},
		},
		"no demand": {
			[]float64{0, 0}, []float64{8, 8}, 0.5, [][]float64{{1, 0}, {0, 1}},
		},
		"no upstreams at all": {
			[]float64{1, 1}, []float64{0, 0}, 0.5, [][]float64{{1, 0}, {0, 1}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Spread(test.demand, test.capacity, test.target)
			if diff := cmp.Diff(test.want, got, cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 1e-9 })); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSpreadSums checks for random demands and capacities that every row sums up to 1,
// and that no region gets demand of others beyond the higher of the target utilization and
// the utilization of all regions together.
func TestSpreadSums(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		n := 1 + r.IntN(6)
		demand, capacity := make([]float64, n), make([]float64, n)
		for i := range n {
			demand[i], capacity[i] = 20*r.Float64()*float64(r.IntN(2)), 20*r.Float64()*float64(r.IntN(3))
		}
		rows := Spread(demand, capacity, 0.5)
		level := max(0.5, utilization(demand, capacity))
		got := make([]float64, n)
		for i, row := range rows {
			sum := 0.0
			for to, share := range row {
				sum += share
				got[to] += share * demand[i]
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Fatalf("demand %v, capacity %v: row %v", demand, capacity, row)
			}
		}
		for to := range n {
			if !math.IsInf(level, 1) && got[to] > level*capacity[to]+1e-6 && demand[to] < got[to]-1e-6 {
				t.Fatalf("demand %v, capacity %v: region %d gets %v", demand, capacity, to, got)
			}
		}
	}
}

// TestRegionMovesFew checks that a change of the shares moves few objects beyond those
// that must move, and that the regions get their shares.
func TestRegionMovesFew(t *testing.T) {
	const objects = 20000
	before, after := []float64{0.6, 0.3, 0.1}, []float64{0.55, 0.3, 0.15}
	moved := 0
	counts := make([]float64, 3)
	for i := range uint64(objects) {
		object := i * 0x9e3779b97f4a7c15
		a, b := Region(object, before), Region(object, after)
		counts[a]++
		if a != b {
			moved++
		}
	}
	for i, share := range before {
		if got := counts[i] / objects; math.Abs(got-share) > 0.015 {
			t.Errorf("region %d has %.3f of the objects, want %.2f", i, got, share)
		}
	}
	if share := float64(moved) / objects; share > 0.08 {
		t.Errorf("%.3f of the objects moved with 0.05 of the shares", share)
	}
}

func TestApproach(t *testing.T) {
	got := Approach([]float64{1, 0}, []float64{0.5, 0.5}, 0.1)
	if diff := cmp.Diff([]float64{0.9, 0.1}, got, cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 1e-9 })); diff != "" {
		t.Error(diff)
	}
}

func ExampleChoose() {
	candidates := []Candidate{
		{Rank: 3, Slots: 4, HitRate: 0.9, Slowdown: 1, Outstanding: 9},
		{Rank: 2, Slots: 4, HitRate: 0.9, Slowdown: 1, AnsweredRecently: true},
	}
	choice := Choose(Request{
		TimeLeft: time.Second, Objective: 200 * time.Millisecond,
		WarmTime: 70 * time.Millisecond, ColdTime: 240 * time.Millisecond, Sticky: true,
	}, candidates, Costs{})
	fmt.Println(choice.Index, choice.Reason)
	// Output: 1 known
}

func BenchmarkChoose(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 1))
	candidates := make([]Candidate, 24)
	for i := range candidates {
		candidates[i] = candidate(r.Uint64(), func(c *Candidate) { c.Outstanding, c.Region = 4*r.Float64(), i%3 })
	}
	req := request(nil)
	b.ReportAllocs()
	for b.Loop() {
		_ = Choose(req, candidates, costs)
	}
}
