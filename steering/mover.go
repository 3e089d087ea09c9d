package steering

// mover computes the next placement within the budget of one step.
type mover struct {
	next     *Placement
	weights  *[Buckets]weight
	goal     []float64 // wanted share of each region
	excess   []float64 // share of each region above its goal
	budget   weight    // what the step may still move
	hasSplit bool      // this step has split a bucket
	moved    bool      // this step moves traffic
}

// run first advances the split buckets, then empties the regions that should serve
// nothing, and spends the rest of the budget on regions above their goal.
func (m *mover) run() {
	for b := range Buckets {
		if fraction := m.next.fraction[b]; fraction > 0 && fraction < 1 && m.next.prevFraction[b] == fraction {
			m.advanceSplit(b)
		}
		if m.next.fraction[b] == 0 && m.next.prevFraction[b] == 0 {
			m.next.assigned[b], m.next.fraction[b], m.next.prevFraction[b] = m.next.previous[b], 1, 1
		}
	}
	m.moveFrom(func(from uint8) bool { return m.goal[from] <= epsilon })
	m.moveFrom(func(from uint8) bool { return m.goal[from] > epsilon && m.excess[from] > goalTolerance })
}

// moveFrom moves whole buckets out of the regions for which leave returns true.
func (m *mover) moveFrom(leave func(from uint8) bool) {
	for b := range Buckets {
		if m.next.fraction[b] != 1 || m.next.prevFraction[b] != 1 {
			continue
		}
		from := m.next.assigned[b]
		if !leave(from) {
			continue
		}
		if to, ok := m.destination(from); ok {
			m.moveBucket(b, from, to)
		}
	}
}

// destination returns the region that should receive traffic of region from: the
// one with the least excess among those with a goal. It returns false if there is none,
// or if from has a goal itself and none of them is below its own.
func (m *mover) destination(from uint8) (uint8, bool) {
	best := -1
	for r, e := range m.excess {
		if r != int(from) && m.goal[r] > epsilon && (best < 0 || e < m.excess[best]) {
			best = r
		}
	}
	if best < 0 || m.goal[from] > epsilon && m.excess[best] >= 0 {
		return 0, false
	}
	return uint8(best), true
}

// moveBucket moves a bucket, or the fraction of it that the budget still allows. It
// splits at most one bucket in a step.
func (m *mover) moveBucket(b int, from, to uint8) {
	fraction := m.weights[b].fittingFraction(m.budget)
	if fraction < 1-epsilon && (m.hasSplit || fraction < minSplitFraction) {
		return
	}
	if fraction < 1-epsilon {
		m.hasSplit = true
	} else {
		fraction = 1
	}
	m.next.previous[b], m.next.assigned[b] = from, to
	m.next.prevFraction[b], m.next.fraction[b] = 0, float32(fraction)
	m.chargeMove(b, from, to, fraction)
}

// advanceSplit moves a split bucket towards one of its two regions: back to the
// previous one if only that has a goal, else on to the assigned one.
func (m *mover) advanceSplit(b int) {
	to, from := m.next.assigned[b], m.next.previous[b]
	fraction := float64(m.next.fraction[b])
	fitting := m.weights[b].fittingFraction(m.budget)
	if m.goal[to] <= epsilon && m.goal[from] > epsilon {
		step := min(fraction, fitting)
		m.next.fraction[b] = float32(fraction - step)
		m.chargeMove(b, to, from, step)
		return
	}
	step := min(1-fraction, fitting)
	m.next.fraction[b] = float32(fraction + step)
	m.chargeMove(b, from, to, step)
}

// chargeMove subtracts the move of a fraction of a bucket from the budget and
// updates the excess of both regions.
func (m *mover) chargeMove(b int, from, to uint8, fraction float64) {
	if fraction <= 0 {
		return
	}
	w := m.weights[b]
	m.excess[from] -= w[byRequests] * fraction
	m.excess[to] += w[byRequests] * fraction
	for i := range m.budget {
		m.budget[i] -= w[i] * fraction
	}
	m.moved = true
}
