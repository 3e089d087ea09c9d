package upstream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/dispatch"
	"hickorydrum/fault"
	"hickorydrum/fleet"
	"hickorydrum/load"
	"hickorydrum/route"
)

const (
	maxQueueWait = time.Second
	minQueue     = 2
	// callerShare is the part of a queue that one caller may fill.
	callerShare = 0.25
	retryJitter = time.Second
)

var (
	admitted = metrics.GetOrCreateCounter(`hickorydrum_admitted_total`)
	refused  = metrics.GetOrCreateCounter(`hickorydrum_refused_total`)
	queued   = metrics.GetOrCreateCounter(`hickorydrum_queued_total`)
)

// queue is the requests that wait for a slot of one service in one region, first
// come first served.
type queue struct {
	waiters []*waiter
}

type waiter struct {
	caller string
}

func (q *queue) first(w *waiter) bool { return len(q.waiters) > 0 && q.waiters[0] == w }

func (q *queue) remove(w *waiter) {
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i:i], q.waiters[i+1:]...)
			return
		}
	}
}

// Slot is one request's place at an upstream.
type Slot struct {
	pool     *Pool
	upstream *fleet.Upstream
	dialer   *dispatch.Dialer
}

// Address returns the address of the slot's upstream.
func (s *Slot) Address() string { return s.upstream.Address }

// Holds reports whether the upstream may still get the request. It is asked right
// before the request's first byte, since the process may have been paused.
func (s *Slot) Holds() bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	u, ok := s.pool.view.Upstream(s.upstream.ID)
	return ok && !u.Leaving
}

// finish gives the slot back and notes how the request fared.
func (s *Slot) finish(begun time.Time, outcome load.Outcome) {
	now := time.Now()
	s.pool.board.End(&load.Result{
		Upstream: s.upstream, Class: route.Class{}, Outcome: outcome, Took: now.Sub(begun), ColdTime: coldFor,
	}, now)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.pool.inFlight[s.upstream.ID]--; s.pool.inFlight[s.upstream.ID] <= 0 {
		delete(s.pool.inFlight, s.upstream.ID)
	}
	s.pool.wake()
}

// Acquire admits a request, at once or after a bounded wait. The fault states that
// the request was not run.
func (p *Pool) Acquire(ctx context.Context, ask *Ask) (*Slot, error) {
	now := time.Now()
	p.mu.Lock()
	q, err := p.queue(ask)
	if err != nil {
		p.mu.Unlock()
		return nil, err
	}
	if len(q.waiters) == 0 {
		if s := p.pick(ask, now); s != nil {
			p.mu.Unlock()
			admitted.Inc()
			return s, nil
		}
	}
	if err := p.mayQueue(q, ask, now); err != nil {
		p.mu.Unlock()
		refused.Inc()
		return nil, err
	}
	w := &waiter{caller: ask.Caller}
	q.waiters = append(q.waiters, w)
	p.mu.Unlock()
	queued.Inc()
	return p.wait(ctx, q, w, ask)
}

// queue returns the queue of a request. The lock is held.
func (p *Pool) queue(ask *Ask) (*queue, error) {
	if p.set == nil {
		return nil, notRun(fault.Unavailable, "no upstreams are declared yet", "apply a configuration")
	}
	key := ask.Service + " " + ask.Region
	q, ok := p.waiting[key]
	if !ok {
		q = &queue{}
		p.waiting[key] = q
	}
	return q, nil
}

// wait waits until the request is the first of its queue and a slot is free.
func (p *Pool) wait(ctx context.Context, q *queue, w *waiter, ask *Ask) (*Slot, error) {
	until := time.Now().Add(maxQueueWait)
	if ask.Deadline.Before(until) {
		until = ask.Deadline
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		p.mu.Lock()
		if q.first(w) && ctx.Err() == nil {
			if s := p.pick(ask, time.Now()); s != nil {
				q.remove(w)
				p.wake()
				p.mu.Unlock()
				admitted.Inc()
				return s, nil
			}
		}
		gone := p.slots(ask) == 0
		freed := p.freed
		p.mu.Unlock()
		over := gone
		if !over {
			select {
			case <-freed:
			case <-timer.C:
				over = true
			case <-ctx.Done():
				over = true
			}
		}
		if over {
			return nil, p.giveUp(q, w, gone)
		}
	}
}

// giveUp takes a request out of its queue.
func (p *Pool) giveUp(q *queue, w *waiter, gone bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.remove(w)
	p.wake()
	refused.Inc()
	if gone {
		return noUpstream()
	}
	return overloaded(time.Now(), 0)
}

func noUpstream() error {
	return notRun(fault.Unavailable, "no upstream of the service may be used in the region", "retry after the given time",
		fault.WithRetryAt(time.Now().Add(retryJitter)))
}

func overloaded(now time.Time, wait time.Duration) *fault.Error {
	at := now.Add(wait + retryJitter/2 + rand.N(retryJitter))
	return notRun(fault.Overloaded, "no slot is free", "retry after the given time", fault.WithRetryAt(at))
}

// slots returns the slots that may be used for a request. The lock is held.
func (p *Pool) slots(ask *Ask) int {
	n := 0
	for _, u := range p.view.Service(ask.Service) {
		if u.Region() == ask.Region && !ask.Tried[u.ID] {
			n += u.Slots
		}
	}
	return n
}

// mayQueue refuses a request that would wait too long, so that the refusal comes at
// once. The lock is held.
func (p *Pool) mayQueue(q *queue, ask *Ask, now time.Time) error {
	slots := p.slots(ask)
	if slots == 0 {
		return noUpstream()
	}
	_, work := p.board.ServiceTimes(ask.Service, route.Class{})
	wait := time.Duration(float64(work) * float64(len(q.waiters)+1) / float64(slots))
	room := max(slots, minQueue)
	if len(q.waiters) >= room || wait > maxQueueWait || now.Add(wait).After(ask.Deadline) {
		return overloaded(now, wait)
	}
	own := 0
	for _, w := range q.waiters {
		if w.caller == ask.Caller {
			own++
		}
	}
	if own > 0 && float64(own+1) > callerShare*float64(room) {
		return overloaded(now, wait)
	}
	return nil
}
