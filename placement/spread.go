package placement

import "math"

// Spread divides the demand of each region among the regions. Demand and capacity are
// in slots, target is a utilization between 0 and 1. A region serves its own demand up to
// the target utilization of its capacity, or up to the utilization of all regions together
// if that is higher; the excess goes to regions with spare capacity, in proportion to it.
// Without any capacity each region keeps its demand. Row i of the result holds the shares
// of region i's demand, by the number of the region that serves them; they add up to 1.
func Spread(demand, capacity []float64, target float64) [][]float64 {
	n := len(demand)
	level := max(target, utilization(demand, capacity))
	spareSlots := make([]float64, n)
	totalSpareSlots := 0.0
	for r := range n {
		spareSlots[r] = max(0, level*capacity[r]-demand[r])
		totalSpareSlots += spareSlots[r]
	}
	rows := make([][]float64, n)
	for r := range n {
		rows[r] = make([]float64, n)
		excess := max(0, demand[r]-level*capacity[r])
		if demand[r] <= 0 || totalSpareSlots <= 0 {
			excess = 0
		}
		if capacity[r] <= 0 && totalSpareSlots > 0 {
			excess = max(demand[r], math.SmallestNonzeroFloat64)
		}
		movedShare := 0.0
		if excess > 0 {
			movedShare = min(1, excess/max(demand[r], math.SmallestNonzeroFloat64))
		}
		rows[r][r] = 1 - movedShare
		for to := range n {
			if movedShare > 0 {
				rows[r][to] += movedShare * spareSlots[to] / totalSpareSlots
			}
		}
	}
	return rows
}

// utilization returns the demand of all regions per slot of capacity; without capacity
// it is infinite.
func utilization(demand, capacity []float64) float64 {
	d, c := 0.0, 0.0
	for i := range demand {
		d += demand[i]
		c += capacity[i]
	}
	if c <= 0 {
		return math.Inf(1)
	}
	return d / c
}

// Approach returns the shares that result from changing old towards next, all by the same
// fraction of the difference, so that none changes by more than step. It returns next if
// old and next have different lengths.
func Approach(old, next []float64, step float64) []float64 {
	if len(old) != len(next) {
		return next
	}
	largest := 0.0
	for i := range next {
		largest = max(largest, math.Abs(next[i]-old[i]))
	}
	if largest <= step {
		return next
	}
	out := make([]float64, len(next))
	for i := range next {
		out[i] = old[i] + (next[i]-old[i])*step/largest
	}
	return out
}

// Region returns the number of the region that serves an object, or -1 if all shares are 0.
// shares holds the fraction of the objects that each region serves. The choice uses weighted
// rendezvous hashing: when shares change, an object moves to another region only if that
// region's share has grown by a larger factor, or shrunk by a smaller one, than the share of
// the region that served it.
func Region(object uint64, shares []float64) int {
	best, bestScore := -1, math.Inf(1)
	for r, share := range shares {
		if share <= 0 {
			continue
		}
		point := float64(Rank(object, uint64(r)+1)>>11) / (1 << 53)
		score := -math.Log(max(point, math.SmallestNonzeroFloat64)) / share
		if score < bestScore {
			best, bestScore = r, score
		}
	}
	return best
}
