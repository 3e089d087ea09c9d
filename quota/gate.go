package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hickorydrum/account"
	"hickorydrum/budget"
	"hickorydrum/limit"
)

const (
	// Above the quota an instance admits at most capFactor times what it did by its last report, which bounds a
	// rise of the offers until the fraction follows. capBurst is the time in which it may use the rate of a
	// longer one, and minCap the least number of requests at once.
	capFactor = 1.25
	capBurst  = 500 * time.Millisecond
	minCap    = 2.0
	// maxSpread bounds the random part of the time after which callers return.
	maxSpread = 2 * time.Second
	// overFor is how long after its last rejection an account counts as over its quota.
	overFor = 5 * time.Second
	// leastAllowed is how many of the requests that wait are admitted at least, of an account below its quota.
	leastAllowed = 2.0
	// maxAccounts bounds the accounts that are kept for the answers of holders.
	maxAccounts = 8192
)

// Decision is what becomes of a request.
type Decision struct {
	Admitted bool
	// Answered is nil once it is decided. Otherwise the instance knows too little to admit or to reject the request. The
	// channel is closed when it may know more: then Decide is to be called.
	Answered <-chan struct{}
	// Alone states that the instance decided by its own part of the quota, since its reports are not answered.
	Alone bool
}

// Change is that an account went over its quota at one instance, or is within it again.
type Change struct {
	Account string
	Over    bool
	// Alone is that of the first Decision over the quota.
	Alone bool
	// Rate is the quota, and Offered what all instances are offered, 0 if it is not known. Both are in
	// requests a second.
	Rate, Offered float64
	// Rejected counts the requests that the instance rejected while the account was over its quota.
	Rejected int
}

// Gate decides at one instance which requests of accounts are admitted. It is safe for concurrent use.
type Gate struct {
	instances func() int // how many may be running
	start     Start

	mu       sync.Mutex
	random   *rand.Rand
	terms    Terms
	accounts map[uint64]*entry
}

// entry is what a Gate keeps of one account.
type entry struct {
	reporter

	name   string // of the account, empty before its first offer
	quota  Quota
	offers limit.Meter
	// offeredAt is when the last request was offered.
	offeredAt time.Time
	usedAt    time.Time // of the last offer or answer
	// answered is closed at the next answer, and waiting counts the requests that wait for it.
	answered chan struct{}
	waiting  int
	// allowed is how many of the requests that have waited may be admitted after the answer.
	allowed float64
	// credit is the part of a request that may be admitted. Each offer adds the fraction to it.
	credit float64
	capped budget.TokenBucket // above the quota
	own    budget.TokenBucket // while reports are not answered
	room   limit.Room
	over   overState
}

// overState is what is logged of an account over its quota.
type overState struct {
	rejected int
	alone    bool      // of the first rejection
	lastAt   time.Time // of the last rejection
	reported bool      // the account was returned as one over its quota
}

// reject counts a rejection.
func (e *entry) reject(alone bool, now time.Time) {
	if e.over.rejected == 0 {
		e.over.alone = alone
	}
	e.over.rejected++
	e.over.lastAt = now
}

// Changes returns the accounts that went over their quotas since the last call, and those within them again.
func (g *Gate) Changes(now time.Time) []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Change
	for _, e := range g.accounts {
		ended := now.Sub(e.over.lastAt) > overFor
		if e.over.rejected == 0 || e.over.reported && !ended {
			continue
		}
		c := Change{Account: e.name, Over: !e.over.reported, Alone: e.over.alone, Rate: e.quota.Rate, Rejected: e.over.rejected}
		if e.knows(now) {
			c.Offered = e.state.Offered
		}
		out = append(out, c)
		e.over.reported = true
		if !c.Over {
			e.over = overState{}
		}
	}
	return out
}

// NewGate returns the gate of an instance. instances returns how many instances may be running.
func NewGate(terms Terms, instances func() int, random *rand.Rand, start Start) *Gate {
	return &Gate{terms: terms, instances: instances, start: start, random: random, accounts: make(map[uint64]*entry)}
}

// SetTerms sets the bound that later decisions keep.
func (g *Gate) SetTerms(terms Terms) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.terms = terms
}

// Admit decides on a request of an account that arrived now.
func (g *Gate) Admit(a *account.Account, now time.Time) Decision {
	if !a.Limited() {
		return Decision{Admitted: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entry(a, now)
	e.offers.Add(now)
	e.offeredAt, e.usedAt = now, now
	return e.decide(g, now)
}

// Decide decides on a request that Admit, or an earlier call, left undecided. If it is called with the context of the
// request done, it does not leave it undecided again.
func (g *Gate) Decide(ctx context.Context, a *account.Account, now time.Time) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entry(a, now)
	e.waiting--
	asks := e.asks(g, now)
	switch {
	case e.state.At.IsZero() && (!asks || ctx.Err() == nil): // there was no answer yet
		return e.decide(g, now)
	case e.allowed < 1:
		e.reject(true, now)
		return Decision{Alone: true}
	}
	e.allowed--
	e.admitted++
	return Decision{Admitted: true}
}

// decide decides on a request, unless the instance knows too little.
func (e *entry) decide(g *Gate, now time.Time) Decision {
	if e.asks(g, now) {
		if g.start.shares(now) && e.spend(g, now) {
			e.admitted++
			return Decision{Admitted: true, Alone: true}
		}
		if float64(e.waiting) < max(1, e.quota.Rate*countTime.Seconds()+e.quota.Burst) {
			return e.wait()
		}
	}
	d := Decision{Alone: e.unanswered(now), Admitted: e.admits(g, now)}
	if d.Admitted {
		e.admitted++
		return d
	}
	e.reject(d.Alone, now)
	return d
}

// wait returns that a request waits.
func (e *entry) wait() Decision {
	if e.answered == nil {
		e.answered = make(chan struct{})
	}
	e.waiting++
	return Decision{Answered: e.answered}
}

// allow sets how many of the requests that wait may be admitted by the first answer: this instance's part of what the bucket
// holds, or none of an account over its quota, whose later requests use it up.
func (e *entry) allow(g *Gate, now time.Time) {
	if e.state.Fraction < 1 {
		e.allowed = 0
		return
	}
	offered := e.offered(g, now).Mean
	e.allowed = max(leastAllowed, e.state.Room*offered/max(e.state.Offered, offered, minOffered))
}

// asks reports whether the instance has to wait for the first answer of the holder.
func (e *entry) asks(g *Gate, now time.Time) bool {
	return e.state.At.IsZero() && g.start.recent(g.terms.Window, now) && !(e.unanswered(now) && g.start.counts(now))
}

// wake has the requests that wait for an answer decided.
func (e *entry) wake() {
	if e.answered != nil {
		close(e.answered)
		e.answered = nil
	}
}

// RetryAt returns when the account of a request that was rejected now is expected to have room for it. Its caller
// waits until the given instant. Later calls return later times, so that the callers do not return at the same
// time; the random part spreads out those of different instances.
func (g *Gate) RetryAt(a *account.Account, until, now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entry(a, now)
	perSecond := e.share(g, now)
	gap := min(maxSpread.Seconds(), 1/perSecond) * g.random.Float64()
	return e.room.Next(perSecond, until, now).Add(time.Duration(gap * float64(time.Second)))
}

// Return takes back the admission of a request that was not executed.
func (g *Gate) Return(a *account.Account, now time.Time) {
	if !a.Limited() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entry(a, now)
	e.admitted--
	e.credit = min(e.credit+1, 2)
	e.capped.Return()
	e.own.Return()
}

func (g *Gate) entry(a *account.Account, now time.Time) *entry {
	e, ok := g.accounts[a.Hash()]
	if !ok {
		e = g.add(a.Hash(), now)
	}
	e.name, e.quota = a.Name, Quota{Rate: a.Rate, Burst: a.Burst}
	return e
}

// add adds an account. Its credit is random, so that not all instances admit their first requests at the same
// time.
func (g *Gate) add(key uint64, now time.Time) *entry {
	e := &entry{reporter: newReporter(g.random), credit: g.random.Float64(), usedAt: now}
	g.accounts[key] = e
	return e
}

// admits decides on a request and takes what it consumes from the buckets.
func (e *entry) admits(g *Gate, now time.Time) bool {
	extra := g.terms.extra(e.quota)
	switch {
	case e.asks(g, now):
		return false // too many others wait already
	case e.unanswered(now):
		if !e.spend(g, now) {
			return false
		}
		if now.Sub(e.askedAt) >= silentAfter {
			e.admitted-- // the holder leaves this part to the instance, and does not count what is admitted by it
		}
		return true
	case !e.knows(now):
		return float64(e.pending()) < max(1, e.quota.Burst+extra)
	case e.state.Fraction >= 1:
		return float64(e.pending()) < max(1, e.state.Room+e.share(g, now)*now.Sub(e.state.At).Seconds())
	}
	e.credit = min(e.credit+e.state.Fraction, 2)
	most := capFactor * (e.state.Fraction*e.reported.Highest() + e.quota.Rate/float64(max(1, g.instances())))
	if e.credit < 1 || !e.capped.Spend(now, most, max(minCap, most*capBurst.Seconds())) {
		e.credit = min(e.credit, 1)
		return false
	}
	e.credit--
	return true
}

// offered returns the rates of the offers at this instance.
func (e *entry) offered(g *Gate, now time.Time) limit.Rates {
	return e.offers.RateSince(g.start.at, now)
}

// spend takes a request from this instance's own part of the quota.
func (e *entry) spend(g *Gate, now time.Time) bool {
	perSecond, size := e.ownPart(g, now)
	return e.own.Spend(now, perSecond, size)
}

// hasPart reports whether spend would find a request.
func (e *entry) hasPart(g *Gate, now time.Time) bool {
	perSecond, size := e.ownPart(g, now)
	return e.own.Allows(now, perSecond, size)
}

// ownPart returns the rate and the size of the bucket of this instance's own part of the quota.
func (e *entry) ownPart(g *Gate, now time.Time) (perSecond, size float64) {
	part := e.part(1/float64(max(1, g.instances())), now)
	e.own.Begin(part*g.start.level(e.quota, g.terms, now), now)
	return part * e.quota.Rate, max(1, part*(e.quota.Burst+g.terms.extra(e.quota)))
}

// share returns the rate that this instance expects to admit, in requests a second.
func (e *entry) share(g *Gate, now time.Time) float64 {
	equal := 1 / float64(max(1, g.instances()))
	part := equal
	if e.knows(now) && e.state.Offered > 0 {
		part = clamp(e.offered(g, now).Mean/e.state.Offered, equal, 1)
	}
	return part * e.quota.Rate
}

// Reports returns the reports that are due. It drops the accounts that have offered nothing for long.
func (g *Gate) Reports(now time.Time) []Report {
	calm := calmPart / float64(max(1, g.instances()))
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Report
	for key, e := range g.accounts {
		if now.Sub(e.usedAt) > lapseAfter {
			delete(g.accounts, key)
			continue
		}
		if e.answered != nil && (!e.asks(g, now) || g.start.shares(now) && e.hasPart(g, now)) {
			e.wake()
		}
		offers, fresh, calmRate := e.offered(g, now), e.offeredAt.After(e.reportedAt), calm*e.quota.Rate
		if e.asks(g, now) {
			calmRate = 0
		}
		if e.due(e.quota, offers, fresh, calmRate, now) {
			out = append(out, e.report(key, e.quota, offers, now))
		}
	}
	return out
}

// Apply takes over answers of holders. That of an account without offers at this instance is kept, since it
// decides on the first one.
func (g *Gate) Apply(answers []Answer, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range answers {
		key := answers[i].State.Key
		e, ok := g.accounts[key]
		if !ok {
			if len(g.accounts) >= maxAccounts {
				continue
			}
			e = g.add(key, now)
		}
		e.usedAt = now
		first := e.state.At.IsZero()
		e.apply(&answers[i], e.offered(g, now).Mean)
		if first {
			e.allow(g, now)
		}
		e.wake()
	}
}
