// Package budget bounds what an instance may send beyond the first try of each
// request, and to cold upstreams. It is pure: time is passed in.
package budget

import "time"

const (
	// windowIntervals is how many windowIntervals the window of a Retry is counted in.
	windowIntervals = 10
	// safetyFactor is the share of the allowance that is used: instances count apart, and
	// their views of each other are late.
	safetyFactor = 0.7
	// initialSafetyFactor is used, without the slack, in the first window of a Retry: a run of
	// this instance before may have spent its allowance moments ago, and the other
	// instances are not known yet. In the second window it grows to the margin.
	initialSafetyFactor = 0.25
)

// Retry bounds the repeats for one service within any window: a ratio of the
// requests, and this instance's part of a fixed slack.
type Retry struct {
	window   time.Duration
	counts   [windowIntervals + 1]intervalCount
	newestInterval   int64 // number of the newest part
	initialUntil  time.Time
	requests float64
	retries  float64
}

type intervalCount struct{ requests, retries float64 }

// NewRetry returns a budget over the given window.
func NewRetry(window time.Duration) *Retry { return &Retry{window: window} }

// Request counts the first try of a request.
func (r *Retry) Request(now time.Time) {
	r.advance(now)
	r.counts[r.newestInterval%(windowIntervals+1)].requests++
	r.requests++
}

// Spend counts a repeat and reports whether it is allowed.
func (r *Retry) Spend(now time.Time, ratio, slack float64, instances int) bool {
	if r.Remaining(now, ratio, slack, instances) < 1 {
		return false
	}
	r.counts[r.newestInterval%(windowIntervals+1)].retries++
	r.retries++
	return true
}

// Remaining returns how many repeats are allowed now.
func (r *Retry) Remaining(now time.Time, ratio, slack float64, instances int) float64 {
	r.advance(now)
	grown := min(1, max(0, float64(now.Sub(r.initialUntil))/float64(r.window)))
	allowed := (initialSafetyFactor + grown*(safetyFactor-initialSafetyFactor)) * ratio * r.requests
	return allowed + grown*safetyFactor*slack/float64(max(1, instances)) - r.retries
}

// advance forgets the parts that have left the window.
func (r *Retry) advance(now time.Time) {
	if r.initialUntil.IsZero() {
		r.initialUntil = now.Add(r.window)
	}
	part := now.UnixNano() / int64(r.window/windowIntervals)
	if part-r.newestInterval > windowIntervals {
		r.counts = [windowIntervals + 1]intervalCount{}
		r.requests, r.retries = 0, 0
		r.newestInterval = part
		return
	}
	for r.newestInterval < part {
		r.newestInterval++
		c := &r.counts[r.newestInterval%(windowIntervals+1)]
		r.requests -= c.requests
		r.retries -= c.retries
		*c = intervalCount{}
	}
}

// TokenBucket bounds the requests to one upstream: a bucket that holds one second's
// worth at most.
type TokenBucket struct {
	tokens  float64
	updated time.Time
}

// Spend takes one request from the bucket and reports whether it is allowed. The
// bucket fills with perSecond requests and holds at most burst.
func (r *TokenBucket) Spend(now time.Time, perSecond, burst float64) bool {
	r.fill(now, perSecond, burst)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Allows reports whether Spend would allow a request.
func (r *TokenBucket) Allows(now time.Time, perSecond, burst float64) bool {
	r.fill(now, perSecond, burst)
	return r.tokens >= 1
}

func (r *TokenBucket) fill(now time.Time, perSecond, burst float64) {
	if r.updated.IsZero() {
		r.tokens = burst
	} else {
		r.tokens = min(burst, r.tokens+perSecond*now.Sub(r.updated).Seconds())
	}
	r.updated = now
}
