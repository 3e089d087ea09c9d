package simulation

import (
	"time"

	"hickorydrum/load"
	"hickorydrum/planner"
)

const (
	// firstReturn and lastReturn bound when a refused caller comes back.
	firstReturn = 40 * time.Millisecond
	lastReturn  = 250 * time.Millisecond
	// leastLeft is the part of a caller's patience without which it does not come back.
	leastLeft = 3
)

// call is one request of a caller, and what became of it.
type call struct {
	world    *world
	kind     *RequestKind
	region   int
	object   uint64
	begunAt  time.Time
	returned bool // this is the caller's second attempt

	instance *instance
	ask      planner.Request
	sends    int
	tries    int
	job      *job // under way
	ended    bool
	outcome  outcome
}

// arrive begins an attempt at an instance.
func (c *call) arrive() {
	w := c.world
	now := w.now
	c.instance = w.pick(c.region)
	limit := min(c.kind.Timeout, c.begunAt.Add(c.kind.Patience).Sub(now))
	c.ask = planner.Request{
		Table: w.table, Route: w.routes[c.kind.Name], Object: c.object, Sticky: true,
		Bytes: c.kind.Bytes, Deadline: now.Add(limit), Tried: make(map[string]bool),
	}
	c.instance.planner.StartRequest(&c.ask, now)
	w.after(limit, c.expire)
	c.attempt()
}

// attempt sends the request to the next upstream, or refuses it.
func (c *call) attempt() {
	w := c.world
	for c.tries < planner.MaxTries {
		c.tries++
		choice, u := c.instance.planner.Choose(&c.ask, w.now)
		if u == nil || c.sends > 0 && !c.instance.planner.SpendRetry(c.ask.Service, w.now) {
			break
		}
		c.ask.Tried[u.ID] = true
		if _, ok := c.instance.planner.Begin(&c.ask, u, w.now); !ok {
			continue
		}
		c.sends++
		target := w.workers[u.ID]
		c.job = &job{
			call: c, worker: target, sentAt: w.now, way: w.pattern.oneWay(c.instance.domain, target.domain), chosen: choice.Position,
		}
		j := c.job
		w.after(j.way, func() { target.receive(j) })
		return
	}
	c.refuse()
}

// concluded takes in what came back from an upstream.
func (c *call) concluded(j *job, outcome load.Outcome, running, waiting int) {
	c.instance.planner.ReportLoad(j.worker.entry, running, waiting, c.world.now)
	c.finish(j, outcome, waiting > 0)
	if c.ended {
		return
	}
	switch {
	case outcome == load.Answered:
		c.end(answered)
	case c.sends < c.kind.MaxAttempts:
		c.attempt()
	default:
		c.refuse()
	}
}

// finish tells the planner how a send ended.
func (c *call) finish(j *job, outcome load.Outcome, waited bool) {
	c.instance.planner.End(&c.ask, &load.Result{
		Upstream: j.worker.entry, Outcome: outcome, Took: c.world.now.Sub(j.sentAt), Standing: j.chosen, Waited: waited,
	}, c.world.now)
}

// expire ends an attempt whose time is over.
func (c *call) expire() {
	if c.ended {
		return
	}
	if j := c.job; j != nil && j.state != over {
		c.world.after(j.way, func() { j.worker.cancel(j) })
		c.finish(j, load.Failed, false)
		c.job = nil
	}
	c.end(failed)
	if c.kind.Idempotent {
		c.comeBack(0)
	}
}

// refuse tells the caller to come back.
func (c *call) refuse() {
	c.end(refused)
	c.comeBack(firstReturn + time.Duration(c.world.random.Float64()*float64(lastReturn-firstReturn)))
}

// comeBack has the caller try once more, if it has the time.
func (c *call) comeBack(wait time.Duration) {
	left := c.begunAt.Add(c.kind.Patience).Sub(c.world.now)
	if c.returned || left <= c.kind.Patience/leastLeft {
		return
	}
	next := &call{world: c.world, kind: c.kind, region: c.region, object: c.object, begunAt: c.begunAt, returned: true}
	c.world.open(c)
	c.world.after(min(wait, left/leastLeft)+2*c.world.pattern.ToCaller, next.arrive)
}

// end notes what became of the request.
func (c *call) end(o outcome) {
	c.ended = true
	c.world.note(c, o)
}
