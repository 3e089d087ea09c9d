package quota

import "time"

// Start is when an instance started. Its methods are the rule of the package comment for the time after that.
type Start struct{ at, sharesAt, countsAt time.Time }

// countTime is the time in which instances that start together learn how many they are, and shareTime that in which they learn
// it well enough to use their parts for a moment.
const (
	countTime = 2 * time.Second
	shareTime = time.Second
)

// NewStart returns the start of an instance.
func NewStart(at time.Time) Start {
	return Start{at: at, sharesAt: at.Add(shareTime), countsAt: at.Add(countTime)}
}

// recent reports whether a window that ends now may have begun before the start.
func (s *Start) recent(window time.Duration, now time.Time) bool { return now.Sub(s.at) < window }

// shares reports whether the instance may use its part of a quota while it waits for the first answer.
func (s *Start) shares(now time.Time) bool { return !now.Before(s.sharesAt) }

// counts reports whether the instance may decide by its part of a quota alone.
func (s *Start) counts(now time.Time) bool { return !now.Before(s.countsAt) }

// level returns what the bucket of an account holds that the instance begins to keep now. At the start that is less than
// nothing: what the bucket allows beyond the burst may have been used before, too.
func (s *Start) level(q Quota, t Terms, now time.Time) float64 {
	if !s.recent(t.Window, now) {
		return q.Burst
	}
	return min(q.Rate*now.Sub(s.at).Seconds()-t.extra(q), q.Burst)
}
