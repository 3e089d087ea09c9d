package limit

import (
	"time"

	"hickorydrum/budget"
)

// Response is what the response to a request says of the limit of its upstream.
type Response struct {
	// Named states that it names a limit, PerSecond, in requests a second from all instances
	// together.
	Named     bool
	PerSecond float64
	// Executed states that the upstream executed the request. Only then does a response that
	// names no limit end the limit.
	Executed bool
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Gate decides at one instance which requests are sent to an upstream.
type Gate struct {
	state  State
	offers Meter
	// credit is the part of a request that the instance may send. Each offer adds the
	// fraction to it.
	credit float64
	bucket budget.TokenBucket // holds what one instance may send at once
	room   Room               // for the requests that were refused
	sent   Meter              // of the requests that were let through
}

// NewGate returns the gate to an upstream without a limit. credit, from 0 to 1, should be
// random, so that not all instances send their first requests at the same time.
func NewGate(id ID, domain string, credit float64) *Gate {
	return &Gate{state: State{ID: id, Domain: domain}, credit: credit}
}

// State returns what the instance knows of the limit.
func (g *Gate) State() State { return g.state }

// Record applies what a response says of the limit and reports whether the limit changed. A
// lower limit, or the first one, counts at once. A higher one, or none, counts only if the
// request was sent after the newest response that named a limit was received: responses may
// overtake one another.
func (g *Gate) Record(r Response, now time.Time) (changed bool) {
	newest := r.SentAt.After(g.state.NamedAt)
	switch {
	case r.Named && (newest || !g.state.InForce || r.PerSecond <= g.state.PerSecond):
		g.state.NamedAt = now
		return g.state.set(true, r.PerSecond)
	case !r.Named && r.Executed && newest && g.state.InForce:
		g.state.NamedAt = now
		return g.state.set(false, 0)
	}
	return false
}

// Merge takes over what is newer in the state of another instance. It reports whether the
// limit changed.
func (g *Gate) Merge(other *State) (changed bool) { return g.state.Merge(other) }

// Offer reports whether a request that would be sent to the upstream may be sent. instances
// returns how many instances may be running.
func (g *Gate) Offer(now time.Time, instances func() int) bool {
	g.offers.Add(now)
	if !g.state.InForce {
		return true
	}
	fraction, most := g.part(now, instances)
	g.credit = min(g.credit+fraction, 2)
	if g.credit < 1 || !g.bucket.Spend(now, most, max(1, most*burstTime.Seconds())) {
		g.credit = min(g.credit, 1)
		return false
	}
	g.credit--
	g.sent.Add(now)
	return true
}

// part returns the part of the offers that this instance may send, and the highest rate of
// what it sends. Both are the holder's fraction and the limit; or without a recent fraction
// what makes an equal part of the limit.
func (g *Gate) part(now time.Time, instances func() int) (fraction, most float64) {
	if now.Sub(g.state.FractionAt) < fractionFor {
		return g.state.Fraction, g.state.Rate()
	}
	equal := equalUse * g.state.Rate() / float64(max(1, instances()))
	return min(1, equal/g.offers.ownRate(now)), equalBurst * equal
}

// RetryAt returns when this instance expects to have room for one more request whose caller
// waits until the given instant. If that is in time, the room is kept for the request: the next
// call returns a later one.
func (g *Gate) RetryAt(until, now time.Time, instances func() int) time.Time {
	return g.room.Next(g.share(now, instances), until, now)
}

// share returns the part of the limit that this instance may expect, in requests a second: by
// its part in the offers of all, or without a recent fraction an equal one.
func (g *Gate) share(now time.Time, instances func() int) float64 {
	part := 1 / float64(max(1, instances()))
	if now.Sub(g.state.FractionAt) < fractionFor {
		own := g.offers.Rate(now).Mean
		part = own / max(own, g.state.Reported)
	}
	return targetUse * g.state.Rate() * max(part, minShare)
}

// minShare is the least part of a limit that an instance expects.
const minShare = 0.001

// Demand returns the rates of what this instance offers and sends.
func (g *Gate) Demand(now time.Time) Demand {
	return Demand{ID: g.state.ID, Domain: g.state.Domain, Offers: g.offers.Rate(now), Sent: g.sent.Rate(now).Mean}
}
