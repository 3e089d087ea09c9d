package placement

import "math"

// WeightedRank returns the rank of an upstream with the given number of slots for an object, from the
// hashes of both: over many objects, the probability that an upstream has the highest rank is
// proportional to its slots. Among upstreams with equal slots the order is that of Rank, up to the
// precision of a float64. Ranks of Rank and of WeightedRank must not be compared with each other.
//
// This is weighted rendezvous hashing: the rank of an upstream does not depend on the others, so
// that one which joins, leaves or changes its slots moves only the objects that it gets or had.
func WeightedRank(object, upstream uint64, slots int) uint64 {
	point := (float64(Rank(object, upstream)>>11) + 0.5) / (1 << 53) // in (0, 1)
	score := -math.Log(point) / float64(max(1, slots))               // the least is preferred
	return ^math.Float64bits(score)                                  // positive floats are ordered as their bits
}
