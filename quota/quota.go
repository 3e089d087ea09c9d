// Package quota keeps the quotas of client accounts: each bounds the requests of one account at all
// instances together by a token bucket.
//
// An instance counts the requests that an account offers (see Gate) and reports them to the holder of its
// failure domain, which reports their sum to the holder of the account (see Holder). The holder of the
// account keeps the token bucket and answers with the fraction of the offered requests that every instance
// may admit. An instance or a failure domain whose reports are not answered uses its part of the quota, so that
// the sum keeps the quota while instances fail or cannot reach each other. An account that offers far less
// than its quota needs no messages.
//
// # After a start
//
// An instance that has just started does not know how many others there are, nor what was admitted before. Both count
// in full: a window that begins before the start still has the bound of the quota, whatever was admitted in it and
// however many instances started at the same time. So it keeps the following rule, which is in type Start.
//
//   - A bucket that the instance begins counts as empty at its start, and fills from then on, until a Window has
//     passed. Only the state of the holder before, which a report carries, shows that there is more.
//   - It takes no reports while its view of the fleet still grows: instances that start together do not agree on the holders
//     yet, and report to one after the other. Reports are repeated until they are answered.
//   - A request of an account whose holder has not answered since the start is neither admitted nor rejected: it waits for the
//     first answer. Meanwhile the instance admits what its part of the quota allows, once it knows roughly how many parts
//     there are (shareTime). If there is no answer, it decides by its part alone, once it knows that well (countTime).
//
// The package does no input or output, and every time is passed in.
package quota

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"hickorydrum/limit"
)

const (
	// answerWithin is how long an instance waits for the answer to a report before it uses its part of the
	// quota. It allows for one report that is lost.
	answerWithin = 450 * time.Millisecond
	// holdFor is the age up to which a state determines the part of the quota that an instance or a failure
	// domain uses while its reports are not answered. Later that is an equal part.
	holdFor = 3 * time.Second
	// offeredPart is the portion of the quota that is divided by the offers that the last state shows. The
	// rest is divided equally, for offers that come since.
	offeredPart = 0.8
	// steerTime is the time in which the requests that the bucket holds are spread, and a debt is paid back.
	// A shorter one would make the fraction oscillate, since reports take up to 300 ms.
	steerTime = time.Second
	// lapseAfter is how long after its last offer or report an account or a reporter is dropped.
	lapseAfter = 15 * time.Second
	// calmPart is the portion of its equal part of the quota up to which an instance or a failure domain does
	// not report its offers.
	calmPart = 0.5
	// Reports are busyInterval apart while the account is near its quota, or above it, and calmInterval
	// otherwise. A rise of the offers is reported at once.
	busyInterval = 190 * time.Millisecond
	calmInterval = 2 * time.Second
	// busyPart is the portion of the quota from which an account counts as near it.
	busyPart = 0.7
	// A rise is an offered rate of more than riseFactor times the last reported one, and riseSlack in addition.
	riseFactor = 1.3
	riseSlack  = 2.0
	// roomPart is the part of what the bucket holds that is admitted without a report.
	roomPart = 0.1
)

// Terms are the settings for the bound on the requests of an account: in every window, those that its quota
// allows in that time, the part Over more, and Slack more.
type Terms struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

const (
	// slackUse and overUse are the portions of Slack and Over that the token bucket uses beyond the burst.
	// The rest allows for requests that are admitted before the holder knows of them.
	slackUse = 0.25
	overUse  = 0.05
	// leastTime is the time whose requests the bucket holds at least: until a report is answered.
	leastTime = 250 * time.Millisecond
	// maxUse is the greatest portion of both together that the bucket uses.
	maxUse = 0.5
)

// extra returns how many requests the token bucket allows beyond the burst of a quota: at least as many as make it
// hold what the rate allows until a report is answered.
func (t Terms) extra(q Quota) float64 {
	over := t.Over * (q.Rate*t.Window.Seconds() + q.Burst)
	least := min(q.Rate*leastTime.Seconds()-q.Burst, maxUse*(t.Slack+over))
	return max(slackUse*t.Slack+overUse*over, least)
}

// Quota is the quota of one account at all instances together: requests a second, and requests in addition.
type Quota struct{ Rate, Burst float64 }

// State is what the holder of an account publishes.
type State struct {
	Key uint64 // hash of the account's name
	// At is when the holder computed the state, the zero time if there is none yet.
	At time.Time
	// Holder is the holder of the account, the zero address if the state is that of a failure domain whose
	// reports were not answered yet.
	Holder netip.Addr
	// Fraction is the part of the offered requests that every instance may admit.
	Fraction float64
	// Room is how many requests the token bucket allows at once, below zero for a debt.
	Room float64
	// Offered is the rate of the offers of all instances, in requests a second.
	Offered float64
}

// newer takes over a state that was computed later.
func (s *State) newer(other *State) {
	if other.At.After(s.At) {
		*s = *other
	}
}

// Report is what an instance or the holder of a failure domain reports of one account.
type Report struct {
	Key   uint64
	Quota Quota
	// Run distinguishes the counts of one reporter: Admitted begins at 0 with each.
	Run    uint32
	Offers limit.Rates
	// Admitted counts the admitted requests. Pending are those of them that no answer has acknowledged.
	Admitted uint32
	Pending  int32
	// Known is the last state that the reporter received.
	Known State
}

// Answer is a state for the reporter with the given Run. Acked is the count in its last report that the state
// takes into account. Without a Run, it answers no report.
type Answer struct {
	State State
	Run   uint32
	Acked uint32
}

// reporter is what a Gate and the holder of a failure domain keep of their reports of one account.
type reporter struct {
	run      uint32
	admitted uint32
	acked    uint32
	state    State // the last one received
	// offeredThen is the own rate of offers when state was received.
	offeredThen float64
	reported    limit.Rates
	reportedAt  time.Time
	askedAt     time.Time // of the first report that was not answered
}

func newReporter(random *rand.Rand) reporter {
	return reporter{run: 1 + random.Uint32N(math.MaxUint32)}
}

// pending returns the admitted requests that no answer has acknowledged.
func (r *reporter) pending() int32 { return int32(r.admitted - r.acked) }

// unanswered reports whether reports have not been answered for too long.
func (r *reporter) unanswered(now time.Time) bool {
	return !r.askedAt.IsZero() && now.Sub(r.askedAt) >= answerWithin
}

// knows reports whether the state is recent.
func (r *reporter) knows(now time.Time) bool { return now.Sub(r.state.At) < holdFor }

// part returns the part of the quota that may be used without an answer; equal is the equal part.
func (r *reporter) part(equal float64, now time.Time) float64 {
	if !r.knows(now) || r.state.Offered <= 0 {
		return equal
	}
	return min(1, offeredPart*min(1, r.offeredThen/r.state.Offered)+(1-offeredPart)*equal)
}

// due reports whether a report is due; fresh states that there are offers since the last one, and calm is the
// rate of offers that needs none.
func (r *reporter) due(q Quota, offers limit.Rates, fresh bool, calm float64, now time.Time) bool {
	age := now.Sub(r.reportedAt)
	busy := r.knows(now) && (r.state.Fraction < 1 || r.state.Offered > busyPart*q.Rate)
	switch {
	case !r.askedAt.IsZero():
		return age >= busyInterval
	case !fresh:
		return false
	case busy:
		return age >= busyInterval
	case offers.Highest() < calm:
		r.admitted = r.acked // a later report must not count them as admitted since the last one
		return false
	case age >= calmInterval:
		return true
	}
	return offers.Recent > riseFactor*r.reported.Recent+riseSlack || float64(r.pending()) > roomPart*r.state.Room
}

// report returns a report, which counts as sent.
func (r *reporter) report(key uint64, q Quota, offers limit.Rates, now time.Time) Report {
	r.reported, r.reportedAt = offers, now
	if r.askedAt.IsZero() {
		r.askedAt = now
	}
	return Report{Key: key, Quota: q, Run: r.run, Offers: offers, Admitted: r.admitted, Pending: r.pending(), Known: r.state}
}

// apply takes over an answer.
func (r *reporter) apply(a *Answer, offered float64) {
	if a.State.At.After(r.state.At) {
		r.offeredThen = offered
	}
	r.state.newer(&a.State)
	if a.Run == r.run {
		r.acked, r.askedAt = a.Acked, time.Time{}
	}
}

// clamp returns a value within bounds.
func clamp(value, low, high float64) float64 { return math.Min(high, math.Max(low, value)) }
