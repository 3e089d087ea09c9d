package placement

import "slices"

// Positions is the number of positions that are distinguished; the last one stands for
// all later ones too.
const Positions = 8

// stackCandidates is the number of candidates up to which their positions need no
// allocation.
const stackCandidates = 64

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
	order := scratch[:0]
	for i := range candidates {
		order = append(order, uint16(i))
		buf = append(buf, 0)
	}
	slices.SortFunc(order, func(a, b uint16) int { return compareRegionAndRank(&candidates[a], &candidates[b]) })
	next, region := 0, -1
	local := r.firstInDomain(candidates, order)
	for _, i := range order {
		c := &candidates[i]
		if c.Region != region {
			next, region = 0, c.Region
		}
		position := next
		switch {
		case int(i) == local:
			position = 0
		case local >= 0, r.Region >= 0 && c.Region != r.Region:
			position++
		}
		buf[i] = uint8(min(position, Positions-1))
		next++
	}
	return buf
}

// compareRegionAndRank orders candidates by region, and those of a region by falling rank.
func compareRegionAndRank(a, b *Candidate) int {
	switch {
	case a.Region != b.Region:
		return a.Region - b.Region
	case a.Rank > b.Rank:
		return -1
	case a.Rank < b.Rank:
		return 1
	default:
		return 0
	}
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
