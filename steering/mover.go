package steering

// mover fills the next placement within the budget of one step.
type mover struct {
	next    *Placement
	weights *[Buckets]weight
	goal    []float64
	excess  []float64
	budget  weight
	split   bool // a bucket was divided in this step
	moved   bool
}

// run goes on with divided buckets first, then empties the regions that should
// serve nothing, and evens out the others with what is left.
func (m *mover) run() {
	for b := range Buckets {
		if part := m.next.part[b]; part > 0 && part < 1 && m.next.before[b] == part {
			m.rejoin(b)
		}
		if m.next.part[b] == 0 && m.next.before[b] == 0 {
			m.next.assign[b], m.next.part[b], m.next.before[b] = m.next.old[b], 1, 1
		}
	}
	m.moveFrom(func(from uint8) bool { return m.goal[from] <= epsilon })
	m.moveFrom(func(from uint8) bool { return m.goal[from] > epsilon && m.excess[from] > surplusSlack })
}

// moveFrom moves buckets out of the regions that the function names.
func (m *mover) moveFrom(leaves func(from uint8) bool) {
	for b := range Buckets {
		if m.next.part[b] != 1 || m.next.before[b] != 1 {
			continue
		}
		from := m.next.assign[b]
		if !leaves(from) {
			continue
		}
		if to, ok := m.target(from); ok {
			m.moveBucket(b, from, to)
		}
	}
}

// target returns the region that should receive traffic of region from.
func (m *mover) target(from uint8) (uint8, bool) {
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
	part := m.weights[b].fits(m.budget)
	if part < 1-epsilon && (m.split || part < minPart) {
		return
	}
	if part < 1-epsilon {
		m.split = true
	} else {
		part = 1
	}
	m.next.old[b], m.next.assign[b] = from, to
	m.next.before[b], m.next.part[b] = 0, float32(part)
	m.shift(b, from, to, part)
}

// rejoin brings a divided bucket nearer to one of its two regions: the one that
// is wanted, or else the one that it was on its way to.
func (m *mover) rejoin(b int) {
	to, from := m.next.assign[b], m.next.old[b]
	part := float64(m.next.part[b])
	fits := m.weights[b].fits(m.budget)
	if m.goal[to] <= epsilon && m.goal[from] > epsilon {
		step := min(part, fits)
		m.next.part[b] = float32(part - step)
		m.shift(b, to, from, step)
		return
	}
	step := min(1-part, fits)
	m.next.part[b] = float32(part + step)
	m.shift(b, from, to, step)
}

// shift takes a part of a bucket out of the budget.
func (m *mover) shift(b int, from, to uint8, part float64) {
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
