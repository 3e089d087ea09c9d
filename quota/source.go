package quota

import (
	"math"
	"time"

	"hickorydrum/limit"
)

// source is the last report of an instance or a failure domain.
type source struct {
	run      uint32
	admitted uint32
	offers   limit.Meter
	at       time.Time
	share    float64 // of all offers
	// assumed is how many requests it was assumed to admit since.
	assumed float64
}

// silent reports whether the reporter may be cut off; overSince is since when the account has been over its quota.
func (s *source) silent(overSince, now time.Time) bool {
	age, after := now.Sub(s.at), longSilentAfter
	if !overSince.IsZero() && now.Sub(overSince) >= silentAfter {
		after = silentAfter
	}
	return age >= after && age < reserveFor && s.offers.Rate(s.at).Mean*age.Seconds() > silentOffers
}

// reserve returns the part of a rate that is left to silent reporters. They do not report later what they admitted by
// it (see forgive).
func (one *held) reserve(rate float64, now time.Time) float64 {
	share := 0.0
	for _, s := range one.sources {
		if s.silent(one.overSince, now) {
			share += s.share
		}
	}
	return min(1, share) * rate
}

// forgive takes what a failure domain was allowed by its own part of the quota off what it will report: the holder of
// the account has left that part to it since it noticed the silence.
func (one *held) forgive(allowed float64, now time.Time) {
	if one.scope.Whole || one.askedAt.IsZero() || now.Sub(one.askedAt) < silentAfter {
		one.forgiven = 0
		return
	}
	one.forgiven += allowed
	n := math.Floor(clamp(one.forgiven, 0, float64(max(0, one.pending()))))
	one.admitted -= uint32(n)
	one.forgiven = min(1, one.forgiven-n)
}

// assume returns how many requests the other reporters are assumed to have admitted in the given time. Otherwise the
// bucket would be full, and then lack what they admitted at once when they report it.
func (one *held) assume(passed float64, now time.Time) float64 {
	sum := 0.0
	for _, s := range one.sources {
		perSecond := s.offers.Rate(s.at).Mean
		if perSecond < minAssumed || now.Sub(s.at) >= reserveFor || s.silent(one.overSince, now) {
			continue
		}
		n := one.computed.Fraction * perSecond * passed
		s.assumed += n
		sum += n
	}
	return sum
}

// total returns the sum of the offers but for those of silent reporters, and drops reporters that have not reported for long.
func (one *held) total(now time.Time) limit.Rates {
	var sum limit.Rates
	for from, s := range one.sources {
		if now.Sub(s.at) > lapseAfter {
			delete(one.sources, from)
			continue
		}
		if s.silent(one.overSince, now) {
			continue
		}
		rates := s.offers.Rate(now.Add(-fadeAfter))
		sum.Mean += rates.Mean
		sum.Recent += rates.Recent
	}
	return sum
}

// offeredToOthers returns the offers that other holders sum.
func (one *held) offeredToOthers(now time.Time) float64 {
	sum := 0.0
	for holder, other := range one.others {
		if now.Sub(other.at) > otherFor {
			delete(one.others, holder)
			continue
		}
		sum += other.offered
	}
	return sum
}
