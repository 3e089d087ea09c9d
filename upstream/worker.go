package upstream

import (
	"time"

	"hickorydrum/declaration"
	"hickorydrum/dispatch"
	"hickorydrum/lease"
)

const (
	failuresToEject = 3
	firstEjection   = time.Second
	maxEjection     = 30 * time.Second
	// coldSlots is how many slots of an upstream are used before its first answer.
	coldSlots = 1
	// serviceTimeWeight is the weight of the newest service time in the average.
	serviceTimeWeight = 0.1
	firstServiceTime  = 20 * time.Millisecond
)

// worker is the state of one upstream on this instance. The pool's lock guards
// it, but for the dialer.
type worker struct {
	decl     *declaration.Worker
	service  string
	tenure   *lease.Tenure
	dialer   *dispatch.Dialer
	inFlight int

	ramp        int // slots in use at most, while the upstream is cold
	serviceTime time.Duration
	failures    int // in a row
	ejections   int // in a row
	ejectedTill time.Time
	shedTill    time.Time
	draining    bool // its own word, on the health page
	leaving     bool // the platform's word
	drained     bool // the operators' word
	removed     bool // no longer declared
}

func (w *worker) stopping() bool { return w.draining || w.leaving || w.drained || w.removed }

// open returns how many requests the upstream may have in flight now.
func (w *worker) open(now time.Time) int {
	if w.stopping() || now.Before(w.shedTill) {
		return 0
	}
	return min(w.tenure.Allowed(now), w.ramp)
}

func (w *worker) ejected(now time.Time) bool { return now.Before(w.ejectedTill) }

// cost is the expected time until a new request would be served. Each failure
// since the last answer doubles it, so that a retry goes elsewhere.
func (w *worker) cost() float64 {
	cost := float64(w.inFlight+1) / float64(w.tenure.Slots()) * float64(w.serviceTime)
	return cost * float64(int(1)<<w.failures)
}

// succeeded takes in an answer that took the given time.
func (w *worker) succeeded(took time.Duration) {
	w.failures, w.ejections = 0, 0
	w.ramp = min(w.ramp+1, w.tenure.Slots())
	w.serviceTime += time.Duration(serviceTimeWeight * float64(took-w.serviceTime))
}

// failed takes in a failure that the upstream is to blame for.
func (w *worker) failed(now time.Time) {
	w.failures++
	if w.failures < failuresToEject {
		return
	}
	w.failures = 0
	wait := min(firstEjection<<min(w.ejections, 5), maxEjection)
	w.ejections++
	w.ejectedTill = now.Add(wait)
	w.ramp = coldSlots
}
