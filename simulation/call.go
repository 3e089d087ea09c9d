package simulation

import (
	"time"

	"hickorydrum/account"
	"hickorydrum/load"
	"hickorydrum/planner"
)

const (
	// A caller whose request was refused resubmits it after a random delay in
	// [minResubmitDelay, maxResubmitDelay).
	minResubmitDelay = 40 * time.Millisecond
	maxResubmitDelay = 250 * time.Millisecond
	// A caller resubmits only while more than 1/patienceDivisor of its patience is left,
	// and waits for at most 1/patienceDivisor of what is left.
	patienceDivisor = 3
)

// call is one submission of a request by a caller to an instance, and its outcome.
type call struct {
	simulator   *simulator
	kind        *RequestKind
	region      int
	object      uint64
	startedAt   time.Time
	account     *account.Account // nil if there are none
	resubmitted int              // how many times the caller sent the request before

	instance *instance
	request  planner.Request
	sends    int      // upstreams that the request was sent to
	choices  int      // choices asked of the planner, also those that led to no send
	current  *attempt // the latest attempt; nil before the first and after a timeout
	ended    bool
	outcome  outcome
}

// arrive hands the request to a random instance of the caller's region and starts its
// timeout.
func (c *call) arrive() {
	s := c.simulator
	now := s.now
	c.instance = s.pickInstance(c.region)
	limit := min(c.kind.Timeout, c.startedAt.Add(c.kind.Patience).Sub(now))
	c.request = planner.Request{
		Table: s.table, Route: s.routes[c.kind.Name], Object: c.object, Sticky: true,
		Account: c.account, BodyBytes: c.kind.Bytes, Deadline: now.Add(limit), Tried: make(map[string]bool),
	}
	c.instance.planner.StartRequest(&c.request, now)
	s.after(limit, c.expire)
	c.send()
}

// send sends the request to the upstream that the planner chooses. It refuses the request
// if the planner finds none, the retry budget is exhausted or the planner's limit of choices
// for one request is reached.
func (c *call) send() {
	s := c.simulator
	for c.choices < planner.MaxUpstreams {
		c.choices++
		choice, u := c.instance.planner.Choose(&c.request, s.now)
		if u == nil || c.sends > 0 && !c.instance.planner.SpendRetry(c.request.Service, s.now) {
			break
		}
		c.request.Tried[u.ID] = true
		if _, ok := c.instance.planner.Begin(&c.request, u, s.now); !ok {
			continue
		}
		c.sends++
		target := s.upstreams[u.ID]
		c.current = &attempt{
			call: c, upstream: target, sentAt: s.now, delay: s.pattern.oneWay(c.instance.domain, target.domain), position: choice.Position,
		}
		a := c.current
		s.after(a.delay, func() { target.receive(a) })
		return
	}
	c.refuse()
}

// receiveResponse handles the response to an attempt, and the load and pace that the upstream
// reports with it.
func (c *call) receiveResponse(a *attempt, outcome load.Outcome, running, waiting, pace int) {
	c.instance.planner.RecordLoad(a.upstream.entry, running, waiting, c.simulator.now)
	c.recordPace(a, pace)
	c.recordLimit(a, outcome)
	c.endAttempt(a, outcome, waiting > 0, pace)
	if c.ended {
		return
	}
	switch {
	case outcome == load.Answered:
		c.complete(answered)
	case c.sends < c.kind.MaxAttempts:
		c.send()
	default:
		c.refuse()
	}
}

// endAttempt reports the outcome of an attempt to the planner.
func (c *call) endAttempt(a *attempt, outcome load.Outcome, waited bool, pace int) {
	c.instance.planner.End(&c.request, &load.Result{
		Upstream: a.upstream.entry, Outcome: outcome, Took: c.simulator.now.Sub(a.sentAt), Position: a.position, Waited: waited, Pace: pace,
	}, c.simulator.now)
}

// expire fails a call that has no response at its deadline, and cancels its attempt at the
// upstream.
func (c *call) expire() {
	if c.ended {
		return
	}
	if a := c.current; a != nil && a.state != stateDone {
		c.simulator.after(a.delay, func() { a.upstream.cancel(a) })
		c.endAttempt(a, load.Failed, false, 0)
		c.current = nil
	}
	c.complete(failed)
	if c.kind.Idempotent {
		c.resubmit(0)
	}
}

// refuse sheds the request; the caller may resubmit it.
func (c *call) refuse() {
	c.complete(refused)
	if c.simulator.impatience() > 1 {
		c.resubmit(0)
		return
	}
	c.resubmit(minResubmitDelay + time.Duration(c.simulator.random.Float64()*float64(maxResubmitDelay-minResubmitDelay)))
}

// impatience returns how many times callers send a refused request again.
func (s *simulator) impatience() int {
	return int(s.pattern.disruptionFactor(Impatient, s.elapsed(), "", 0))
}

// resubmit has the caller send the request once more after the delay, if enough of its
// patience is left. The outcome of the first submission is then not counted.
func (c *call) resubmit(wait time.Duration) {
	left := c.startedAt.Add(c.kind.Patience).Sub(c.simulator.now)
	if c.resubmitted >= c.simulator.impatience() || left <= c.kind.Patience/patienceDivisor {
		return
	}
	next := &call{simulator: c.simulator, kind: c.kind, region: c.region, object: c.object, startedAt: c.startedAt, account: c.account, resubmitted: c.resubmitted + 1}
	c.simulator.retract(c)
	c.simulator.after(min(wait, left/patienceDivisor)+2*c.simulator.pattern.ToCaller, next.arrive)
}

// complete records the outcome of the call.
func (c *call) complete(o outcome) {
	c.ended = true
	c.simulator.record(c, o)
}
