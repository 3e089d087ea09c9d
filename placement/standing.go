package placement

import "slices"

// Positions is the number of standings that are told apart.
const Positions = 8

// stackCandidates is how many options have their standings without an allocation.
const stackCandidates = 64

// positions appends the standing of each option for the object to buf. It says in
// which order upstreams come to know the object: 0 is its home, and each further one
// takes its requests only when those before it are worse. Every instance finds the
// same order, so that an object is known at few upstreams, and by all.
func (d *Request) positions(options []Candidate, buf []uint8) []uint8 {
	var few [stackCandidates]uint16
	order := few[:0]
	for i := range options {
		order = append(order, uint16(i))
		buf = append(buf, 0)
	}
	slices.SortFunc(order, func(a, b uint16) int { return compareRank(&options[a], &options[b]) })
	place, region := 0, -1
	near := d.nearest(options, order)
	for _, i := range order {
		o := &options[i]
		if o.Region != region {
			place, region = 0, o.Region
		}
		standing := place
		switch {
		case int(i) == near:
			standing = 0
		case near >= 0, d.Region >= 0 && o.Region != d.Region:
			standing++
		}
		buf[i] = uint8(min(standing, Positions-1))
		place++
	}
	return buf
}

// compareRank orders options by region, and those of a region from the highest rank.
func compareRank(a, b *Candidate) int {
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

// nearest returns the first option of the failure domain, if the object should be
// served within it, or -1.
func (d *Request) nearest(options []Candidate, order []uint16) int {
	if !d.KeepInDomain {
		return -1
	}
	for _, i := range order {
		if options[i].Distance == SameDomain {
			return int(i)
		}
	}
	return -1
}
