package steering

// Candidate is what is known of one instance that owns upstreams of a service.
type Candidate struct {
	slots    int
	free     int
	inFlight int
	failed   bool
}

// NewCandidate returns a candidate that owns slots, reported free of them as
// free, and has inFlight requests of this instance that the report omits.
func NewCandidate(slots, free, inFlight int, failed bool) Candidate {
	return Candidate{slots: slots, free: free, inFlight: inFlight, failed: failed}
}

// score is the part of the slots believed free.
func (c Candidate) score() float64 {
	if c.failed || c.slots <= 0 {
		return -1
	}
	return float64(c.free-c.inFlight) / float64(c.slots)
}

// Choose returns the index of the candidate that should serve a request, by the
// power of two choices: of two drawn in proportion to their slots, the one with
// the larger free part. It returns -1 when there is none.
func Choose(candidates []Candidate, random uint64) int {
	total := 0
	for _, c := range candidates {
		if !c.failed {
			total += c.slots
		}
	}
	if total <= 0 {
		return -1
	}
	first := draw(candidates, int(random&0xffffffff)%total)
	second := draw(candidates, int(random>>32)%total)
	if candidates[second].score() > candidates[first].score() {
		return second
	}
	return first
}

func draw(candidates []Candidate, slot int) int {
	for i, c := range candidates {
		if c.failed {
			continue
		}
		slot -= c.slots
		if slot < 0 {
			return i
		}
	}
	return len(candidates) - 1
}
