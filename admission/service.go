package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hickorydrum/placement"
)

const (
	// presentFor is how long after its last request a priority counts as present at a service, and an
	// account is kept.
	presentFor = 5 * time.Second
	// tallyHalfLife is the time after which a decision has half its weight in a tally.
	tallyHalfLife = 2 * time.Second
	// minOffered is how many requests a tally must hold before its fraction counts.
	minOffered = 4
	// neglectedBelow is the fraction of how often all requests of the service are admitted, below
	// which a priority or an account is neglected. Each must be served at least a quarter as often as
	// all; the margin covers what upstreams reject, and uneven arrivals at the instances.
	neglectedBelow = 0.4
	// timeSmoothing is the weight of the newest admitted request in the mean service times.
	timeSmoothing = 0.02
)

// Request is what this package must know of a request.
type Request struct {
	Priority  int           // 0 is the most urgent
	Objective time.Duration // latency objective, 0 for none
	Account   string        // name of the client account, "" for none
	// Rate is the quota of the account in requests a second, 0 for none. The fair parts are in
	// proportion to the quotas.
	Rate float64
	// WarmTime and ColdTime are the expected service times, as in placement.Request.
	WarmTime, ColdTime time.Duration
}

// tally counts requests and those that were admitted. Both decay.
type tally struct {
	offered, admitted float64
	at                time.Time
}

func (t *tally) record(admitted bool, now time.Time) {
	decay := math.Exp2(-float64(now.Sub(t.at)) / float64(tallyHalfLife))
	t.offered, t.admitted, t.at = t.offered*decay+1, t.admitted*decay, now
	if admitted {
		t.admitted++
	}
}

// rejected returns the fraction that was rejected, 0 while there are few requests.
func (t *tally) rejected() float64 {
	if t.offered < minOffered {
		return 0
	}
	return 1 - t.admitted/t.offered
}

// neglected reports whether requests of the tally are admitted much less often than those of all.
func (t *tally) neglected(all *tally) bool {
	return t.offered >= minOffered && t.admitted*all.offered < neglectedBelow*all.admitted*t.offered
}

// class is a priority that is present at the service.
type class struct {
	priority   int
	objective  time.Duration // shortest one of its requests
	lastSeenAt time.Time
	tally      tally
}

// accountState is what an account has at the service.
type accountState struct {
	inProgress int
	rate       float64 // quota while inProgress is above 0
	lastSeenAt time.Time
	tally      tally
}

// Service holds the state of the requests for one service at one instance: the priorities present, and
// what each client account has in progress. It is not safe for concurrent use.
type Service struct {
	classes  []class // the most urgent first
	accounts map[string]*accountState
	all      tally
	// warmTime and coldTime are moving averages of the service times of admitted requests, in
	// nanoseconds.
	warmTime, coldTime float64
	sweptAt            time.Time // when accounts were last swept

	// inProgress counts the requests in progress of all accounts, active the accounts that have some,
	// limited those of them that have a quota, and rates sums their quotas.
	inProgress, active, limited int
	rates                       float64
}

// NewService returns the state of a service without requests.
func NewService() *Service { return &Service{accounts: make(map[string]*accountState)} }

// Arrive records that a request arrived.
func (s *Service) Arrive(r *Request, now time.Time) {
	s.forgetClasses(now)
	at, found := slices.BinarySearchFunc(s.classes, r.Priority, func(c class, priority int) int { return cmp.Compare(c.priority, priority) })
	if !found {
		s.classes = slices.Insert(s.classes, at, class{priority: r.Priority, objective: r.Objective})
	}
	c := &s.classes[at]
	c.lastSeenAt = now
	if r.Objective > 0 && (c.objective == 0 || r.Objective < c.objective) {
		c.objective = r.Objective
	}
	if r.Account != "" {
		s.account(r.Account, now).lastSeenAt = now
	}
}

func (s *Service) forgetClasses(now time.Time) {
	for i := len(s.classes) - 1; i >= 0; i-- {
		if now.Sub(s.classes[i].lastSeenAt) > presentFor {
			s.classes = slices.Delete(s.classes, i, i+1)
		}
	}
}

// account returns the state of an account. At most once in presentFor it forgets those that have
// nothing in progress and sent nothing recently.
func (s *Service) account(name string, now time.Time) *accountState {
	if now.Sub(s.sweptAt) > presentFor {
		s.sweptAt = now
		for name, a := range s.accounts {
			if a.inProgress == 0 && now.Sub(a.lastSeenAt) > presentFor {
				delete(s.accounts, name)
			}
		}
	}
	a, ok := s.accounts[name]
	if !ok {
		a = &accountState{lastSeenAt: now}
		s.accounts[name] = a
	}
	return a
}

// Begin counts a request as in progress.
func (s *Service) Begin(r *Request, now time.Time) {
	if r.Account == "" {
		return
	}
	a := s.account(r.Account, now)
	a.inProgress++
	s.inProgress++
	if a.inProgress > 1 {
		return
	}
	a.rate = r.Rate
	s.active++
	if a.rate > 0 {
		s.limited++
		s.rates += a.rate
	}
}

// End ends a request that Begin counted.
func (s *Service) End(r *Request) {
	a := s.accounts[r.Account]
	if a == nil || a.inProgress == 0 {
		return
	}
	a.inProgress--
	s.inProgress--
	if a.inProgress > 0 {
		return
	}
	s.active--
	if a.rate > 0 {
		s.limited--
		s.rates -= a.rate
	}
	if s.limited == 0 {
		s.rates = 0 // removes the rounding error of the sum
	}
}

// Record counts the decision on a request: admitted, or rejected by its bounds.
func (s *Service) Record(r *Request, admitted bool, now time.Time) {
	s.all.record(admitted, now)
	if admitted {
		s.learnTimes(r)
	}
	if c := s.class(r.Priority); c != nil {
		c.tally.record(admitted, now)
	}
	if a := s.accounts[r.Account]; a != nil {
		a.tally.record(admitted, now)
	}
}

func (s *Service) learnTimes(r *Request) {
	if s.coldTime == 0 {
		s.warmTime, s.coldTime = float64(r.WarmTime), float64(r.ColdTime)
	}
	s.warmTime += timeSmoothing * (float64(r.WarmTime) - s.warmTime)
	s.coldTime += timeSmoothing * (float64(r.ColdTime) - s.coldTime)
}

// QueueTimes returns the mean service times of the requests in the queues of the service, or 0 while
// they have one priority.
func (s *Service) QueueTimes() (warm, cold time.Duration) {
	if len(s.classes) < 2 {
		return 0, 0
	}
	return time.Duration(s.warmTime), time.Duration(s.coldTime)
}

func (s *Service) class(priority int) *class {
	for i := range s.classes {
		if s.classes[i].priority == priority {
			return &s.classes[i]
		}
	}
	return nil
}

// Bounds returns the bounds of the wait for a request that arrived.
func (s *Service) Bounds(r *Request, now time.Time) placement.Bounds {
	standing := s.standing(r, now)
	return standing.Bounds()
}

func (s *Service) standing(r *Request, now time.Time) Standing {
	out := Standing{Objective: r.Objective}
	for i := range s.classes {
		c := &s.classes[i]
		switch {
		case now.Sub(c.lastSeenAt) > presentFor:
			continue
		case c.priority < r.Priority:
			out.Rank++
			out.UrgentRejected = max(out.UrgentRejected, c.tally.rejected())
			if c.objective > 0 && (out.UrgentObjective == 0 || c.objective < out.UrgentObjective) {
				out.UrgentObjective = c.objective
			}
		case c.priority == r.Priority:
			out.Neglected = c.tally.neglected(&s.all)
		}
		out.Ranks++
	}
	if a := s.accounts[r.Account]; a != nil {
		out.Excess = s.excess(a, r.Rate)
		out.Neglected = out.Neglected || a.tally.neglected(&s.all)
	}
	return out
}

// excess returns how many times its fair part an account holds with one more request. The parts of the
// accounts that have requests in progress are in proportion to their quotas; an account without one
// counts as if it had the mean quota. One request above its part is no excess.
func (s *Service) excess(a *accountState, rate float64) float64 {
	mean := 1.0
	if s.limited > 0 {
		mean = s.rates / float64(s.limited)
	}
	if rate <= 0 {
		rate = mean
	}
	total := s.rates + float64(s.active-s.limited)*mean
	if a.inProgress == 0 {
		total += rate
	}
	fair := float64(s.inProgress+1) * rate / total
	return float64(a.inProgress+1) / (fair + 1)
}
