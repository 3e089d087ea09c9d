package steering

// mover fills the next placement within the budget of one step.
type mover struct {
	next     *Placement
	weights  *[Buckets]weight
	goal     []float64
	excess   []float64
	budget   weight
	hasSplit bool // a bucket was divided in this step
	moved    bool
}

// run goes on with divided buckets first, then empties the regions that should
// serve nothing, and evens out the others with what is left.
func (m *mover) run() {
	for b := range Buckets {
		if part := m.next.fraction[b]; part > 0 && part < 1 && m.next.prevFraction[b] == part {
			m.advanceSplit(b)
		}
		if m.next.fraction[b] == 0 && m.next.prevFraction[b] == 0 {
			m.next.assigned[b], m.next.fraction[b], m.next.prevFraction[b] = m.next.previous[b], 1, 1
		}
	}
	m.moveFrom(func(from uint8) bool { return m.goal[from] <= epsilon })
	m.moveFrom(func(from uint8) bool { return m.goal[from] > epsilon && m.excess[from] > goalTolerance })
}

// moveFrom moves buckets out of the regions that the function names.
func (m *mover) moveFrom(leaves func(from uint8) bool) {
	for b := range Buckets {
		if m.next.fraction[b] != 1 || m.next.prevFraction[b] != 1 {
			continue
		}
		from := m.next.assigned[b]
		if !leaves(from) {
			continue
		}
		if to, ok := m.destination(from); ok {
			m.moveBucket(b, from, to)
		}
	}
}

// destination returns the region that should receive traffic of region from.
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

// moveBucket moves a bucket, or the part of it that the budget still allows.
func (m *mover) moveBucket(b int, from, to uint8) {
	part := m.weights[b].fittingFraction(m.budget)
	if part < 1-epsilon && (m.hasSplit || part < minSplitFraction) {
		return
	}
	if part < 1-epsilon {
		m.hasSplit = true
	} else {
		part = 1
	}
	m.next.previous[b], m.next.assigned[b] = from, to
	m.next.prevFraction[b], m.next.fraction[b] = 0, float32(part)
	m.chargeMove(b, from, to, part)
}

// advanceSplit brings a divided bucket nearer to one of its two regions: the one that
// is wanted, or else the one that it was on its way to.
func (m *mover) advanceSplit(b int) {
	to, from := m.next.assigned[b], m.next.previous[b]
	part := float64(m.next.fraction[b])
	fits := m.weights[b].fittingFraction(m.budget)
	if m.goal[to] <= epsilon && m.goal[from] > epsilon {
		step := min(part, fits)
		m.next.fraction[b] = float32(part - step)
		m.chargeMove(b, to, from, step)
		return
	}
	step := min(1-part, fits)
	m.next.fraction[b] = float32(part + step)
	m.chargeMove(b, from, to, step)
}

// chargeMove takes a part of a bucket out of the budget.
func (m *mover) chargeMove(b int, from, to uint8, part float64) {
	if part <= 0 {
		return
	}
	w := m.weights[b]
	m.excess[from] -= w[byRequests] * part
	m.excess[to] += w[byRequests] * part
	for i := range m.budget {
		m.budget[i] -= w[i] * part
	}
	m.moved = true
}
