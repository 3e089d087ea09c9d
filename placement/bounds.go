package placement

import "time"

// Bounds are the waits up to which a request is accepted, in latency objectives. It is rejected when
// the mean wait in the queues of all candidates exceeds MeanWait and the wait at the best one exceeds
// Wait.
type Bounds struct {
	MeanWait, Wait float64
	// Reason is the reason for a rejection that DefaultBounds would not have led to.
	Reason Reason
}

// DefaultBounds returns the bounds of a request without any that are preferred to it.
func DefaultBounds() Bounds { return Bounds{MeanWait: maxMeanWait, Wait: maxWait, Reason: ReasonBusy} }

// exceeded reports whether both waits exceed the bounds.
func (b *Bounds) exceeded(meanWait, wait time.Duration, objective float64) bool {
	return float64(meanWait) > b.MeanWait*objective && float64(wait) > b.Wait*objective
}

// rejection returns the reason to reject the request because requests arrive faster than they are
// served, so that one more in the queue of the candidate would make all of them late. It returns ""
// if the request is accepted. A candidate that is expected to have a free slot accepts any request
// that the default bounds accept.
func (r *Request) rejection(c *Candidate) Reason {
	usual := DefaultBounds()
	switch wait := c.wait(r); {
	case usual.exceeded(r.meanWait, wait, r.objective()):
		return ReasonBusy
	case c.Outstanding+1 > float64(c.Slots) && r.Bounds.exceeded(r.meanWait, wait, r.objective()):
		return r.Bounds.Reason
	default:
		return ""
	}
}
