package entry

import (
	"sync"
	"time"

	"hickorydrum/fault"
)

// admission decides which requests still have time enough once a planned stop has begun. Its
// methods may be called concurrently.
type admission struct {
	mu     sync.Mutex
	latest time.Time // latest deadline of the requests that were admitted
	end    time.Time // of the planned stop, zero before it begins
}

// admit returns a fault if a planned stop ends before the deadline of a request.
func (a *admission) admit(deadline time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.end.IsZero() && deadline.After(a.end) {
		return fault.New(fault.Unavailable, "the instance stops before the request's deadline", "send it to another instance")
	}
	if deadline.After(a.latest) {
		a.latest = deadline
	}
	return nil
}

// leave begins a planned stop and returns its end: the given time, or the latest deadline of the
// requests that were admitted if that is later.
func (a *admission) leave(end time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.latest.After(end) {
		end = a.latest
	}
	a.end = end
	return end
}

// leaving reports whether a planned stop has begun.
func (a *admission) leaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.end.IsZero()
}
