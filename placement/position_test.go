package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSpillsAgree checks that instances which see the home of an object as busy, and the
// load of the other upstreams a little differently, choose the same second upstream.
// Spread over many, the object would be warm at none.
func TestSpillsAgree(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	for object := range uint64(40) {
		chosen := make(map[int]bool)
		for range 6 {
			candidates := make([]Candidate, 8)
			for i := range candidates {
				candidates[i] = candidate(Rank(object, uint64(i)+1), func(c *Candidate) { c.Outstanding = 1.5 * r.Float64() })
			}
			home := topRank(candidates)
			candidates[home].Outstanding = 12
			chosen[Choose(request(nil), candidates, costs).Index] = true
		}
		if len(chosen) != 1 {
			t.Errorf("object %d is served at %d upstreams beside its home", object, len(chosen))
		}
	}
}

func topRank(candidates []Candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].Rank > candidates[best].Rank {
			best = i
		}
	}
	return best
}

// TestPositions checks the positions of the upstreams in an object's order of
// preference.
func TestPositions(t *testing.T) {
	at := func(rank uint64, region int, distance Distance) Candidate {
		return candidate(rank, func(c *Candidate) { c.Region, c.Distance = region, distance })
	}
	candidates := []Candidate{
		at(5, 0, SameRegion), at(9, 1, OtherRegion), at(7, 0, SameDomain), at(3, 1, OtherRegion), at(8, 0, SameRegion),
	}
	tests := map[string]struct {
		region       int
		keepInDomain bool
		want         []uint8
	}{
		"the region that should serve the object": {region: 1, want: []uint8{3, 0, 2, 1, 1}},
		"any region":        {region: -1, want: []uint8{2, 0, 1, 1, 0}},
		"within the domain": {region: 0, keepInDomain: true, want: []uint8{3, 1, 0, 2, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			req := request(func(req *Request) { req.Region, req.KeepInDomain = test.region, test.keepInDomain })
			if diff := cmp.Diff(test.want, req.positions(candidates, nil)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDisplacementUnderLoad checks that an object stays at an upstream that is warm for
// it while all slots are in use, and moves where slots are free.
func TestDisplacementUnderLoad(t *testing.T) {
	tests := map[string]struct {
		home, others float64
		index        int
	}{
		"room elsewhere": {home: 14, others: 0, index: 1},
		"all busy":       {home: 10, others: 3.9, index: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			candidates := []Candidate{
				candidate(9, busy(test.home)), candidate(8, busy(test.others)), candidate(7, busy(test.others)), candidate(6, busy(test.others)),
			}
			req := request(func(req *Request) { req.WarmProbabilities, req.TimeLeft = [Positions]float64{0.9}, 3*time.Second })
			if got := Choose(req, candidates, costs).Index; got != test.index {
				t.Errorf("chose %d, want %d", got, test.index)
			}
		})
	}
}
