package placement

import (
	"cmp"
	"slices"
)

// Positions is the number of positions that are distinguished; the last one stands for
// all later ones too.
const Positions = 8

// stackCandidates is the number of candidates up to which their positions need no
// allocation.
const stackCandidates = 64

// stackRegions is the number of regions, with that of none, up to which counting them needs no
// allocation.
const stackRegions = 16

// placesPerCandidate is how many places in an order there may be for each candidate: upstreams of the
// order that are no candidates leave places free.
const placesPerCandidate = 4

// positions appends the position of each candidate in the object's order of preference
// to buf. The position multiplies the cost of displacement, so that a later candidate is
// chosen only if those before it cost more in other ways. The order is the same at every
// instance, so that few upstreams serve the object and are warm for it.
//
// Positions are counted for each region separately, by rank. They begin at 0 in the region
// that should serve the object and at 1 in the others; if any region may serve it, at 0 in
// each. If the object should be served within the failure domain of this instance, its
// first candidate there has position 0, and the position of each other candidate is its place
// by rank in its region, counted from 1.
func (r *Request) positions(candidates []Candidate, buf []uint8) []uint8 {
	var scratch [stackCandidates]uint16
	order := byRank(candidates, scratch[:0])
	buf = slices.Grow(buf, len(candidates))[:len(candidates)]
	local := r.firstInDomain(candidates, order)
	var next counters
	for _, i := range order {
		c := &candidates[i]
		position := next.add(c.Region)
		switch {
		case int(i) == local:
			position = 0
		case local >= 0, r.Region >= 0 && c.Region != r.Region:
			position++
		}
		buf[i] = uint8(min(position, Positions-1))
	}
	return buf
}

// counters counts candidates by the number of their region, from 0, or -1 for none.
type counters struct {
	few  [stackRegions]int
	more map[int]int
}

// add adds a candidate and returns how many there were before it.
func (c *counters) add(region int) int {
	if at := region + 1; at >= 0 && at < len(c.few) {
		c.few[at]++
		return c.few[at] - 1
	}
	if c.more == nil {
		c.more = make(map[int]int)
	}
	c.more[region]++
	return c.more[region] - 1
}

// byRank appends the indexes of the candidates to buf, those with the highest rank first. Ranks that
// are places in an order, as those of package load for requests with an object, need no comparisons.
func byRank(candidates []Candidate, buf []uint16) []uint16 {
	for i := range candidates {
		buf = append(buf, uint16(i))
	}
	if highest, ok := placesUpTo(candidates); ok {
		var scratch [placesPerCandidate * stackCandidates]uint16
		return sortPlaces(candidates, buf, append(scratch[:0], make([]uint16, highest+1)...))
	}
	slices.SortFunc(buf, func(a, b uint16) int { return cmp.Compare(candidates[b].Rank, candidates[a].Rank) })
	return buf
}

// placesUpTo returns the highest rank, and whether the ranks are so low that they can be used as indexes.
func placesUpTo(candidates []Candidate) (highest uint64, ok bool) {
	for i := range candidates {
		highest = max(highest, candidates[i].Rank)
	}
	return highest, highest < placesPerCandidate*uint64(len(candidates))
}

// sortPlaces sorts the indexes in order by falling rank if no two ranks are equal, and otherwise leaves
// the comparison to slices.SortFunc. places holds a zero for each possible rank.
func sortPlaces(candidates []Candidate, order, places []uint16) []uint16 {
	for i := range candidates {
		rank := candidates[i].Rank
		if places[rank] != 0 {
			slices.SortFunc(order, func(a, b uint16) int { return cmp.Compare(candidates[b].Rank, candidates[a].Rank) })
			return order
		}
		places[rank] = uint16(i) + 1
	}
	order = order[:0]
	for _, place := range slices.Backward(places) {
		if place != 0 {
			order = append(order, place-1)
		}
	}
	return order
}

// firstInDomain returns the index of the first candidate by rank in the failure domain of
// this instance, if the object should be served within it, or -1.
func (r *Request) firstInDomain(candidates []Candidate, order []uint16) int {
	if !r.KeepInDomain {
		return -1
	}
	for _, i := range order {
		if candidates[i].Distance == SameDomain {
			return int(i)
		}
	}
	return -1
}
