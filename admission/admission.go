// Package admission decides which requests are rejected first while a service is under pressure:
// the less urgent ones, and those of a client account that holds more than its fair part of the
// requests in progress. Package placement rejects a request when the waits in the queues exceed its
// bounds; this package sets the bounds of each request. It does no input or output, and every time
// is passed in.
package admission

import (
	"time"

	"hickorydrum/placement"
)

const (
	// leastUrgentFactor shortens the bounds of the least urgent priority at a service. Those between
	// it and the most urgent one are spaced evenly.
	leastUrgentFactor = 0.4
	// fullYield is the fraction of a more urgent priority that is rejected from which the bounds of the less
	// urgent ones are shortened by their whole factor. While none is rejected, nobody has to yield.
	fullYield = 0.1
	// minAccountFactor is the least factor by which the bounds of an account are shortened.
	minAccountFactor = 0.3
)

// Standing is where a request stands among those that share its service.
type Standing struct {
	// Rank is the number of priorities present at the service that are more urgent.
	Rank int
	// Ranks is the number of priorities present at the service.
	Ranks int
	// Objective is the latency objective of the request, and UrgentObjective the shortest one of
	// the more urgent requests that are present; 0 means none.
	Objective, UrgentObjective time.Duration
	// UrgentRejected is the fraction of the recent requests of a more urgent priority that were rejected,
	// of the priority with the largest one.
	UrgentRejected float64
	// Excess is how many times its fair part of the requests in progress the client account holds;
	// 0 without an account.
	Excess float64
	// Neglected states that requests of the priority or of the account are admitted much less often
	// than others.
	Neglected bool
}

// Bounds returns the bounds of the wait for a request. They are the default ones, for a request that
// others may not be preferred to: the most urgent, within the fair part of its account, or neglected.
func (s *Standing) Bounds() placement.Bounds {
	b := placement.DefaultBounds()
	if s.Neglected {
		return b
	}
	rank, account := s.rankFactor(), s.accountFactor()
	switch {
	case account < 1 && account <= rank:
		b.Reason = placement.ReasonAccount
	case rank < 1:
		b.Reason = placement.ReasonUrgency
	}
	b.MeanWait *= rank * account
	b.Wait *= rank * account
	return b
}

// rankFactor returns the factor for the urgency of the request. The bounds count latency objectives,
// and a less urgent request must not fill the queues beyond the wait that a more urgent one with a
// shorter objective accepts. It yields as far as more urgent requests are rejected.
func (s *Standing) rankFactor() float64 {
	if s.Rank == 0 || s.Ranks < 2 {
		return 1
	}
	factor := 1 - (1-leastUrgentFactor)*float64(s.Rank)/float64(s.Ranks-1)
	if s.UrgentObjective > 0 && s.UrgentObjective < s.Objective {
		factor *= float64(s.UrgentObjective) / float64(s.Objective)
	}
	return 1 - (1-factor)*min(1, s.UrgentRejected/fullYield)
}

// accountFactor returns the factor for what the account of the request holds.
func (s *Standing) accountFactor() float64 {
	if s.Excess <= 1 {
		return 1
	}
	return max(minAccountFactor, 1/s.Excess)
}
