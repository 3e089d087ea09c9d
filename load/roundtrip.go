package load

import (
	"time"

	"hickorydrum/fleet"
	"hickorydrum/placement"
)

// Round-trip times that are assumed until a connection to the failure domain has been made,
// and the weight of the newest dial in the estimate.
const (
	roundTripSameDomain  = 500 * time.Microsecond
	roundTripSameRegion  = 2 * time.Millisecond
	roundTripOtherRegion = 40 * time.Millisecond
	roundTripSmoothing   = 0.2
)

// roundTrip returns the estimated round-trip time to an upstream. tr.mu must be held.
func (tr *Tracker) roundTrip(u *fleet.Upstream) time.Duration {
	if estimate, ok := tr.roundTrips[u.Domain]; ok {
		return estimate
	}
	switch tr.distance(u) {
	case placement.SameDomain:
		return roundTripSameDomain
	case placement.SameRegion:
		return roundTripSameRegion
	default:
		return roundTripOtherRegion
	}
}

// RoundTrip returns the estimated round-trip time to an upstream.
func (tr *Tracker) RoundTrip(u *fleet.Upstream) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.roundTrip(u)
}

// ObserveDial updates the estimated round-trip time to a failure domain by the time that it
// took to open a connection there.
func (tr *Tracker) ObserveDial(domain string, took time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if estimate, ok := tr.roundTrips[domain]; ok {
		// The shortest times are those without delays at either end, so a longer one
		// counts for less.
		if took > estimate {
			took = estimate + time.Duration(roundTripSmoothing*roundTripSmoothing*float64(took-estimate))
		}
		tr.roundTrips[domain] = estimate + time.Duration(roundTripSmoothing*float64(took-estimate))
		return
	}
	tr.roundTrips[domain] = took
}
