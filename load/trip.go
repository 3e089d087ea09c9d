package load

import (
	"time"

	"hickorydrum/fleet"
	"hickorydrum/placement"
)

// Round trips that are assumed until a connection was made.
const (
	tripSameDomain  = 500 * time.Microsecond
	tripSameRegion  = 2 * time.Millisecond
	tripOtherRegion = 40 * time.Millisecond
	tripMemory      = 0.2
)

func (b *Tracker) roundTrip(u *fleet.Upstream) time.Duration {
	if trip, ok := b.trips[u.Domain]; ok {
		return trip
	}
	switch b.distance(u) {
	case placement.SameDomain:
		return tripSameDomain
	case placement.SameRegion:
		return tripSameRegion
	default:
		return tripOtherRegion
	}
}

// RoundTrip returns the time of one round trip to an upstream.
func (b *Tracker) RoundTrip(u *fleet.Upstream) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roundTrip(u)
}

// ObserveDial takes in how long a connection to a failure domain took to be made.
func (b *Tracker) ObserveDial(domain string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if trip, ok := b.trips[domain]; ok {
		// The least times are those without delays at either end.
		if took > trip {
			took = trip + time.Duration(tripMemory*tripMemory*float64(took-trip))
		}
		b.trips[domain] = trip + time.Duration(tripMemory*float64(took-trip))
		return
	}
	b.trips[domain] = took
}
