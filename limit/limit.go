// Package limit keeps the request rates that upstreams name: each bounds the requests that
// one upstream gets from all instances together.
//
// An instance offers a request to an upstream when it would send it there. Every instance
// sends the same fraction of the requests that it offers: the limit divided by the offers of
// all instances. So the sum keeps the limit wherever the offers come from, however many
// instances there are, and however small the limit is, and it does not change when offers
// move from one instance to another.
//
// One instance, the holder, adds up the offers of all instances and publishes the fraction (see
// Holder). An instance that has received no fraction lately sends no more than an equal part
// of the limit, so that the limit also holds while the holder sends nothing.
//
// The package does no input or output, and every time is passed in. The types are not safe
// for concurrent use.
package limit

import (
	"math"
	"net/netip"
	"time"
)

const (
	// offerTime is the time constant of the estimated rate of offers. A shorter one would let
	// bursts through at limits of few requests: the estimate falls by chance.
	offerTime = 4 * time.Second
	// recentTime is the shorter time constant, by which a rise of the offers is seen.
	recentTime = 500 * time.Millisecond
	// ownOfferTime is the time constant of the rate by which an instance without a fraction
	// divides its part of the limit among its offers, which may be minutes apart.
	ownOfferTime = 30 * time.Second
	// equalUse is the fraction of an equal part that such an instance uses: without a holder
	// nobody sees the sum.
	equalUse = 0.75
	// equalBurst is the factor by which such an instance may exceed its equal part for a
	// moment.
	equalBurst = 1.5
	// fractionFor is the age up to which a fraction is used.
	fractionFor = 3 * time.Second
	// minPerSecond is the rate at which requests are sent to an upstream that names a lower
	// limit, since only a response can show that the limit has changed.
	minPerSecond = 0.2
	// burstTime is the time in which one instance may use up the limit of a longer one: it
	// bounds what an instance sends before the fraction follows its offers.
	burstTime = 500 * time.Millisecond
)

// ID identifies one run of an upstream, equally at all instances.
type ID struct {
	// Key is the hash of the upstream's id.
	Key uint64
	// StartMillis is the Unix time of its start, in milliseconds.
	StartMillis int64
}

// State is what an instance knows of the limit of an upstream.
type State struct {
	ID ID
	// Domain is the failure domain of the upstream.
	Domain string
	// InForce states that the upstream has a limit, of PerSecond requests a second.
	InForce   bool
	PerSecond float64
	// NamedAt is when the newest response that named the limit, or that ended it, was
	// received, by any instance.
	NamedAt time.Time
	// Fraction is the part of the offered requests that may be sent, and FractionAt when the
	// holder computed it. It is the zero time if there was none yet.
	Fraction   float64
	FractionAt time.Time
	// Holder is the holder that computed the fraction, and Reported the rate of the offers
	// that were reported to it, in requests a second.
	Holder   netip.Addr
	Reported float64
}

// Rate returns the rate at which all instances together may send, in requests a second.
func (s *State) Rate() float64 { return max(s.PerSecond, minPerSecond) }

// Merge takes over from the state that another instance has what is newer. It reports
// whether the limit changed.
func (s *State) Merge(other *State) (changed bool) {
	if other.ID != s.ID {
		return false
	}
	if other.FractionAt.After(s.FractionAt) {
		s.Fraction, s.FractionAt, s.Holder, s.Reported = other.Fraction, other.FractionAt, other.Holder, other.Reported
	}
	if !other.NamedAt.After(s.NamedAt) {
		return false
	}
	s.NamedAt = other.NamedAt
	return s.set(other.InForce, other.PerSecond)
}

// set sets the limit. If it is lower than before, the fraction shrinks with it.
func (s *State) set(inForce bool, perSecond float64) (changed bool) {
	if s.InForce == inForce && s.PerSecond == perSecond {
		return false
	}
	old, lasts := s.Rate(), s.InForce && inForce
	s.InForce, s.PerSecond = inForce, perSecond
	if rate := s.Rate(); lasts && rate < old {
		s.Fraction *= rate / old
	}
	return true
}

// Demand is the rate at which one instance offers requests to an upstream.
type Demand struct {
	ID     ID
	Domain string // failure domain of the upstream
	Offers Rates
	// Sent is the rate at which it sends, in requests a second.
	Sent float64
}

// Rates are estimates of one rate, in events a second, over two times.
type Rates struct {
	// Mean is over offerTime. Recent is over recentTime, which follows a rise sooner, but
	// is less certain.
	Mean, Recent float64
	// long is over ownOfferTime. Other instances do not get it.
	long float64
}

// ownRate returns the rate over ownOfferTime, or since the first event if that is shorter.
func (e *Meter) ownRate(now time.Time) float64 {
	measured := max(offerTime, now.Sub(e.firstAt)).Seconds()
	return e.Rate(now).long / (1 - math.Exp(-measured/ownOfferTime.Seconds()))
}

// Highest returns the higher of the two estimates.
func (r Rates) Highest() float64 { return max(r.Mean, r.Recent) }

// Meter estimates the rate of events.
type Meter struct {
	rates   Rates
	at      time.Time
	firstAt time.Time // of the first event
}

// Add records an event.
func (e *Meter) Add(now time.Time) {
	if e.firstAt.IsZero() {
		e.firstAt = now
	}
	e.rates = e.Rate(now)
	e.rates.Mean += 1 / offerTime.Seconds()
	e.rates.Recent += 1 / recentTime.Seconds()
	e.rates.long += 1 / ownOfferTime.Seconds()
	e.at = now
}

// Rate returns the estimated rates, which decay without further events.
func (e *Meter) Rate(now time.Time) Rates {
	age := max(0, now.Sub(e.at)).Seconds()
	return Rates{
		Mean:   e.rates.Mean * math.Exp(-age/offerTime.Seconds()),
		Recent: e.rates.Recent * math.Exp(-age/recentTime.Seconds()),
		long:   e.rates.long * math.Exp(-age/ownOfferTime.Seconds()),
	}
}

// leastMeasured is the least time over which RateSince counts events.
const leastMeasured = 500 * time.Millisecond

// RateSince returns the rates of a meter that could not record events before an instant: those of the time since then, if
// that is shorter than the times of the estimates.
func (e *Meter) RateSince(since, now time.Time) Rates {
	measured, rates := max(leastMeasured, now.Sub(since)).Seconds(), e.Rate(now)
	rates.Mean /= 1 - math.Exp(-measured/offerTime.Seconds())
	rates.Recent /= 1 - math.Exp(-measured/recentTime.Seconds())
	rates.long /= 1 - math.Exp(-measured/ownOfferTime.Seconds())
	return rates
}

// NewMeter returns a meter with the rates that were estimated at an instant.
func NewMeter(rates Rates, at time.Time) Meter { return Meter{rates: rates, at: at} }
