package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// TestWeightedOrder guards against an order among upstreams with equal slots that differs from the one
// by hash, so that objects would move when an upstream with other slots joins or leaves.
func TestWeightedOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 200_000 {
		object, a, b, slots := r.Uint64(), r.Uint64(), r.Uint64(), 1+r.IntN(1000)
		byHash := Rank(object, a) > Rank(object, b)
		if weighted := WeightedRank(object, a, slots) > WeightedRank(object, b, slots); weighted != byHash {
			t.Fatalf("object %d, upstreams %d and %d with %d slots: %t by hash, %t by weight", object, a, b, slots, byHash, weighted)
		}
	}
}

// TestWeightedShares guards against shares in the objects that differ from the shares in the slots by
// more than 5%. Upstreams of a service of 1,000 are compared in groups of equal slots, since each has
// too few objects for a comparison.
func TestWeightedShares(t *testing.T) {
	const tolerated = 0.05
	tests := map[string]struct {
		slots   []int // repeated for all upstreams
		n       int
		objects int
	}{
		"3":                  {[]int{1, 2, 4}, 3, 100_000},
		"10, very uneven":    {[]int{1, 100}, 10, 2_000_000},
		"33":                 {[]int{3, 4, 8}, 33, 700_000},
		"232, equal":         {[]int{4}, 232, 20_000},
		"1000":               {[]int{2, 4, 8, 16}, 1000, 30_000},
		"no slots count one": {[]int{0, 1}, 2, 100_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(2, 2))
			hashes := make([]uint64, test.n)
			groups := min(test.n, max(10, len(test.slots)))
			if test.n > 100 {
				groups = len(test.slots)
			}
			slots, got, all := make([]float64, groups), make([]float64, groups), 0.0
			slotsOf := func(i int) int { return test.slots[i%len(test.slots)] }
			for i := range hashes {
				hashes[i] = r.Uint64()
				slots[i%groups] += float64(max(1, slotsOf(i)))
				all += float64(max(1, slotsOf(i)))
			}
			for range test.objects {
				object, best, bestRank := r.Uint64(), 0, uint64(0)
				for i, hash := range hashes {
					if rank := WeightedRank(object, hash, slotsOf(i)); rank > bestRank {
						best, bestRank = i, rank
					}
				}
				got[best%groups]++
			}
			for i := range groups {
				want := float64(test.objects) * slots[i] / all
				if math.Abs(got[i]-want) > tolerated*want {
					t.Errorf("group %d has %.0f objects, want %.0f", i, got[i], want)
				}
			}
		})
	}
}

// TestByRank guards against an order of places that differs from the one by comparison, and against
// ranks that are equal, zero or larger than a place.
func TestByRank(t *testing.T) {
	tests := map[string]struct {
		ranks []uint64
		want  []uint16
	}{
		"none":               {nil, nil},
		"places":             {[]uint64{2, 3, 1}, []uint16{1, 0, 2}},
		"places left free":   {[]uint64{5, 9, 2}, []uint16{1, 0, 2}},
		"from zero":          {[]uint64{0, 1}, []uint16{1, 0}},
		"hashes":             {[]uint64{1 << 60, 1 << 62, 5}, []uint16{1, 0, 2}},
		"at the bound":       {[]uint64{1, 8}, []uint16{1, 0}},
		"largest and lowest": {[]uint64{0, math.MaxUint64}, []uint16{1, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			candidates := make([]Candidate, len(test.ranks))
			for i, rank := range test.ranks {
				candidates[i].Rank = rank
			}
			if got := byRank(candidates, nil); fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	equal := byRank(make([]Candidate, 5), nil)
	seen := make(map[uint16]bool)
	for _, i := range equal {
		seen[i] = true
	}
	if len(seen) != 5 {
		t.Errorf("candidates with equal ranks are ordered %v", equal)
	}
}

// TestManyRegions guards against positions that are mixed up between regions when there are more than
// those that are counted without an allocation.
func TestManyRegions(t *testing.T) {
	const regions = 40
	candidates := make([]Candidate, 2*regions)
	for i := range candidates {
		candidates[i] = candidate(uint64(len(candidates)-i), func(c *Candidate) { c.Region = i%regions - 1 })
	}
	req := request(func(req *Request) { req.Region = -1 })
	for i, position := range req.positions(candidates, nil) {
		if int(position) != i/regions {
			t.Errorf("candidate %d has the position %d", i, position)
		}
	}
}

// BenchmarkChooseMany chooses among up to 1,000 candidates, with hashes for ranks and with places.
func BenchmarkChooseMany(b *testing.B) {
	for _, n := range []int{24, 90, 266, 1000} {
		r := rand.New(rand.NewPCG(1, 1))
		candidates := make([]Candidate, n)
		for i := range candidates {
			candidates[i] = candidate(r.Uint64(), func(c *Candidate) { c.Outstanding, c.Region = 4*r.Float64(), i%3 })
		}
		places := make([]Candidate, n)
		for i, place := range r.Perm(n) {
			places[i] = candidates[i]
			places[i].Rank = uint64(place) + 1
		}
		req := request(nil)
		for name, candidates := range map[string][]Candidate{"hashes": candidates, "places": places} {
			b.Run(fmt.Sprintf("%d/%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					_ = Choose(req, candidates, costs)
				}
			})
		}
	}
}
