package limit

import "time"

// maxWait bounds the expected time between two requests.
const maxWait = time.Minute

// Room spreads out the callers of refused requests, so that no more of them return at a time than can be
// served.
type Room struct {
	// at is when there is room for one more.
	at time.Time
}

// Next returns when there is room for one more request, at a rate in requests a second, whose caller waits until the
// given instant. If that is in time, the room is kept for the request: the next call returns a later one.
func (r *Room) Next(perSecond float64, until, now time.Time) time.Time {
	if r.at.Before(now) {
		r.at = now
	}
	wait := min(1/perSecond, maxWait.Seconds())
	at := r.at.Add(time.Duration(wait * float64(time.Second)))
	if !at.After(until) {
		r.at = at
	}
	return at
}
