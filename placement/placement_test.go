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

// option returns an idle upstream in the own region.
func option(rank uint64, change func(o *Candidate)) Candidate {
	o := Candidate{Rank: rank, Distance: SameRegion, RoundTrip: time.Millisecond, Slots: 4, HitRate: 0.9, Slowdown: 1}
	if change != nil {
		change(&o)
	}
	return o
}

func demand(change func(d *Request)) Request {
	d := Request{
		Bytes: 1500, TimeLeft: time.Second, Objective: 200 * time.Millisecond,
		WarmTime: 72 * time.Millisecond, ColdTime: 240 * time.Millisecond, Sticky: true,
		WarmProbabilities: [Positions]float64{0.85, 0.2},
	}
	if change != nil {
		change(&d)
	}
	return d
}

func busy(n float64) func(o *Candidate) { return func(o *Candidate) { o.Outstanding = n } }

func TestChoose(t *testing.T) {
	far := func(o *Candidate) { o.Distance, o.Region, o.RoundTrip = OtherRegion, 1, 40*time.Millisecond }
	near := func(o *Candidate) { o.Distance = SameDomain }
	tests := map[string]struct {
		demand  Request
		options []Candidate
		index   int
		reason  Reason
	}{
		"nothing to choose": {demand: demand(nil), index: -1, reason: ReasonNone},
		"the home of the object": {
			demand: demand(nil), options: []Candidate{option(1, nil), option(9, nil), option(5, nil)}, index: 1, reason: ReasonHome,
		},
		"the home with a short queue": {
			demand: demand(nil), options: []Candidate{option(1, nil), option(9, busy(5))}, index: 1, reason: ReasonHome,
		},
		"the home with a long queue": {
			demand: demand(nil), options: []Candidate{option(1, nil), option(9, busy(30))}, index: 0, reason: ReasonSpill,
		},
		"another that knows the object": {
			demand:  demand(nil),
			options: []Candidate{option(1, nil), option(2, func(o *Candidate) { o.SentRecently = true }), option(9, busy(10))},
			index:   1, reason: ReasonKnown,
		},
		"a home that fails": {
			demand:  demand(nil),
			options: []Candidate{option(1, nil), option(9, func(o *Candidate) { o.FailureRate = 0.9 })}, index: 0, reason: ReasonSpill,
		},
		"a slow home": {
			demand:  demand(nil),
			options: []Candidate{option(1, nil), option(9, func(o *Candidate) { o.Slowdown = 8 })}, index: 0, reason: ReasonSpill,
		},
		"no object: the least busy": {
			demand:  demand(func(d *Request) { d.Sticky, d.Region = false, -1 }),
			options: []Candidate{option(9, busy(4)), option(1, busy(1)), option(2, busy(3))}, index: 1, reason: ReasonFree,
		},
		"no object, all alike: by rank": {
			demand:  demand(func(d *Request) { d.Sticky, d.Region = false, -1 }),
			options: []Candidate{option(1, nil), option(9, nil), option(2, nil)}, index: 1, reason: ReasonFree,
		},
		"the region of the shares": {
			demand:  demand(func(d *Request) { d.Region = 1 }),
			options: []Candidate{option(9, nil), option(5, far)}, index: 1, reason: ReasonHome,
		},
		"a large body stays near": {
			demand:  demand(func(d *Request) { d.Bytes, d.KeepInDomain = 60<<10, true }),
			options: []Candidate{option(9, nil), option(5, near), option(3, near)}, index: 1, reason: ReasonHome,
		},
		"a large body does not cross regions for a short queue": {
			demand:  demand(func(d *Request) { d.Bytes = 60 << 10 }),
			options: []Candidate{option(9, busy(6)), option(5, far)}, index: 0, reason: ReasonHome,
		},
		"all are busy: a queue at home is better than a stranger": {
			demand:  demand(nil),
			options: []Candidate{option(1, busy(3.5)), option(9, busy(10)), option(2, busy(4)), option(3, busy(4))},
			index:   1, reason: ReasonHome,
		},
		"the same with slots free elsewhere": {
			demand:  demand(nil),
			options: []Candidate{option(1, nil), option(9, busy(16)), option(2, nil), option(3, nil)}, index: 3, reason: ReasonSpill,
		},
		"no time is left": {
			demand:  demand(func(d *Request) { d.TimeLeft = 30 * time.Millisecond }),
			options: []Candidate{option(9, nil)}, index: -1, reason: ReasonNoTime,
		},
		"queues in every region: the region of the shares": {
			demand:  demand(func(d *Request) { d.Objective = time.Second }),
			options: []Candidate{option(9, busy(18)), option(5, func(o *Candidate) { far(o); o.Outstanding, o.SentRecently = 10, true })},
			index:   0, reason: ReasonHome,
		},
		"a queue in the region of the shares alone": {
			demand:  demand(func(d *Request) { d.Objective = time.Second }),
			options: []Candidate{option(9, busy(18)), option(5, func(o *Candidate) { far(o); o.SentRecently = true }), option(4, far)},
			index:   1, reason: ReasonKnown,
		},
		"queues in every region, none in that of the shares": {
			demand:  demand(func(d *Request) { d.Objective, d.Region = time.Second, 2 }),
			options: []Candidate{option(9, busy(18)), option(5, func(o *Candidate) { far(o); o.Outstanding = 10 })},
			index:   1, reason: ReasonSpill,
		},
		"no objective: a short queue is no reason to refuse": {
			demand:  demand(func(d *Request) { d.Objective = 0 }),
			options: []Candidate{option(1, busy(5)), option(9, busy(5)), option(2, busy(5)), option(3, busy(5))},
			index:   1, reason: ReasonHome,
		},
		"longer queues everywhere than requests can wait in": {
			demand:  demand(nil),
			options: []Candidate{option(1, busy(9)), option(9, busy(14)), option(2, busy(10)), option(3, busy(9))},
			index:   -1, reason: ReasonBusy,
		},
		"a long queue at one upstream alone": {
			demand:  demand(nil),
			options: []Candidate{option(1, nil), option(9, busy(10)), option(2, nil), option(3, nil), option(4, nil)},
			index:   4, reason: ReasonSpill,
		},
		"queues everywhere in which requests can wait": {
			demand:  demand(nil),
			options: []Candidate{option(1, busy(5)), option(9, busy(6)), option(2, busy(5)), option(3, busy(5))},
			index:   1, reason: ReasonHome,
		},
		"no time is left in the queues": {
			demand:  demand(func(d *Request) { d.TimeLeft = 300 * time.Millisecond }),
			options: []Candidate{option(9, busy(40)), option(1, busy(60))}, index: -1, reason: ReasonNoTime,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Choose(test.demand, test.options, costs)
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

// TestSpreadSums draws demands and capacities: every row sums up to one, and no
// region gets more than the level.
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

// TestRegionMovesFew checks that objects keep their region but for the share that
// moves, and that the shares are met.
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
	options := []Candidate{
		{Rank: 3, Slots: 4, HitRate: 0.9, Slowdown: 1, Outstanding: 9},
		{Rank: 2, Slots: 4, HitRate: 0.9, Slowdown: 1, SentRecently: true},
	}
	choice := Choose(Request{
		TimeLeft: time.Second, Objective: 200 * time.Millisecond,
		WarmTime: 70 * time.Millisecond, ColdTime: 240 * time.Millisecond, Sticky: true,
	}, options, Costs{})
	fmt.Println(choice.Index, choice.Reason)
	// Output: 1 known
}

func BenchmarkChoose(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 1))
	options := make([]Candidate, 24)
	for i := range options {
		options[i] = option(r.Uint64(), func(o *Candidate) { o.Outstanding, o.Region = 4*r.Float64(), i%3 })
	}
	d := demand(nil)
	b.ReportAllocs()
	for b.Loop() {
		_ = Choose(d, options, costs)
	}
}
