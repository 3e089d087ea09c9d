// Package budget bounds the retries of an instance and its requests to cold upstreams.
// Every time is passed in. The types are not safe for concurrent use.
package budget

import "time"

const (
	// windowIntervals is the number of intervals in which the window of a Retry is
	// counted.
	windowIntervals = 10
	// safetyFactor is the part of the allowance that is used: instances count
	// separately and learn of each other with a delay.
	safetyFactor = 0.7
	// initialSafetyFactor replaces safetyFactor in the first window of a Retry, in
	// which there is no slack either: the previous run of this instance may have spent
	// its allowance moments ago, and the other instances are not known yet. During the
	// second window it grows to safetyFactor, and the slack to its full value.
	initialSafetyFactor = 0.25
)

// Retry bounds the retries for one service within any window: a ratio of the requests,
// and this instance's part of a slack that all instances share.
type Retry struct {
	window         time.Duration
	counts         [windowIntervals + 1]intervalCount
	newestInterval int64     // number of the newest interval since the Unix epoch
	initialUntil   time.Time // end of the first window
	requests       float64
	retries        float64
}

type intervalCount struct{ requests, retries float64 }

// NewRetry returns a budget over the given window.
func NewRetry(window time.Duration) *Retry { return &Retry{window: window} }

// Request counts the first attempt at a request.
func (r *Retry) Request(now time.Time) {
	r.advance(now)
	r.counts[r.newestInterval%(windowIntervals+1)].requests++
	r.requests++
}

// Spend reports whether a retry is allowed, and counts it if it is.
func (r *Retry) Spend(now time.Time, ratio, slack float64, instances int) bool {
	if r.Remaining(now, ratio, slack, instances) < 1 {
		return false
	}
	r.counts[r.newestInterval%(windowIntervals+1)].retries++
	r.retries++
	return true
}

// Remaining returns how many retries are allowed now. It may be negative, for
// example after requests that allowed a retry have left the window before it.
func (r *Retry) Remaining(now time.Time, ratio, slack float64, instances int) float64 {
	r.advance(now)
	ramp := min(1, max(0, float64(now.Sub(r.initialUntil))/float64(r.window)))
	allowed := (initialSafetyFactor + ramp*(safetyFactor-initialSafetyFactor)) * ratio * r.requests
	return allowed + ramp*safetyFactor*slack/float64(max(1, instances)) - r.retries
}

// advance drops the intervals that have left the window.
func (r *Retry) advance(now time.Time) {
	if r.initialUntil.IsZero() {
		r.initialUntil = now.Add(r.window)
	}
	interval := now.UnixNano() / int64(r.window/windowIntervals)
	if interval-r.newestInterval > windowIntervals {
		r.counts = [windowIntervals + 1]intervalCount{}
		r.requests, r.retries = 0, 0
		r.newestInterval = interval
		return
	}
	for r.newestInterval < interval {
		r.newestInterval++
		c := &r.counts[r.newestInterval%(windowIntervals+1)]
		r.requests -= c.requests
		r.retries -= c.retries
		*c = intervalCount{}
	}
}

// TokenBucket bounds the rate of requests to one upstream. Its rate and size are passed
// in; it is full at its first use, unless Begin was called.
type TokenBucket struct {
	tokens  float64
	updated time.Time
}

// Begin sets what the bucket holds before its first use. It does nothing afterwards.
func (b *TokenBucket) Begin(tokens float64, now time.Time) {
	if b.updated.IsZero() {
		b.tokens, b.updated = tokens, now
	}
}

// Spend takes one token and reports whether there was one. The bucket fills with
// perSecond tokens a second and holds at most burst.
func (b *TokenBucket) Spend(now time.Time, perSecond, burst float64) bool {
	b.fill(now, perSecond, burst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Allows reports whether Spend would find a token.
func (b *TokenBucket) Allows(now time.Time, perSecond, burst float64) bool {
	b.fill(now, perSecond, burst)
	return b.tokens >= 1
}

func (b *TokenBucket) fill(now time.Time, perSecond, burst float64) {
	if b.updated.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+perSecond*now.Sub(b.updated).Seconds())
	}
	b.updated = now
}

// Return puts back the token of a request that was not sent. The next use of the bucket limits what it holds.
func (b *TokenBucket) Return() { b.tokens++ }
