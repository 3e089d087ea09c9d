package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSpillsMeet sends requests of one object from several instances that see its
// busy home alike, and the other upstreams a little differently. They choose the
// same second upstream: spread over many, the object would be unknown at each.
func TestSpillsMeet(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	for object := range uint64(40) {
		chosen := make(map[int]bool)
		for range 6 {
			options := make([]Candidate, 8)
			for i := range options {
				options[i] = option(Rank(object, uint64(i)+1), func(o *Candidate) { o.Outstanding = 1.5 * r.Float64() })
			}
			home := topRank(options)
			options[home].Outstanding = 12
			chosen[Choose(demand(nil), options, costs).Index] = true
		}
		if len(chosen) != 1 {
			t.Errorf("object %d is served at %d upstreams beside its home", object, len(chosen))
		}
	}
}

func topRank(options []Candidate) int {
	best := 0
	for i := range options {
		if options[i].Rank > options[best].Rank {
			best = i
		}
	}
	return best
}

// TestStandings orders the upstreams for an object.
func TestStandings(t *testing.T) {
	at := func(rank uint64, region int, distance Distance) Candidate {
		return option(rank, func(o *Candidate) { o.Region, o.Distance = region, distance })
	}
	options := []Candidate{
		at(5, 0, SameRegion), at(9, 1, OtherRegion), at(7, 0, SameDomain), at(3, 1, OtherRegion), at(8, 0, SameRegion),
	}
	tests := map[string]struct {
		region int
		near   bool
		want   []uint8
	}{
		"the region of the shares": {region: 1, want: []uint8{3, 0, 2, 1, 1}},
		"any region":               {region: -1, want: []uint8{2, 0, 1, 1, 0}},
		"within the domain":        {region: 0, near: true, want: []uint8{3, 1, 0, 2, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := demand(func(d *Request) { d.Region, d.KeepInDomain = test.region, test.near })
			if diff := cmp.Diff(test.want, d.positions(options, nil)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestStrangersUnderPressure keeps an object at an upstream that knows it while all
// slots are in use, and lets it go where there is room.
func TestStrangersUnderPressure(t *testing.T) {
	tests := map[string]struct {
		home, others float64
		index        int
	}{
		"room elsewhere": {home: 14, others: 0, index: 1},
		"all busy":       {home: 10, others: 3.9, index: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			options := []Candidate{
				option(9, busy(test.home)), option(8, busy(test.others)), option(7, busy(test.others)), option(6, busy(test.others)),
			}
			d := demand(func(d *Request) { d.WarmProbabilities, d.TimeLeft = [Positions]float64{0.9}, 3*time.Second })
			if got := Choose(d, options, costs).Index; got != test.index {
				t.Errorf("chose %d, want %d", got, test.index)
			}
		})
	}
}
