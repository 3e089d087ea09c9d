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
	maxQueueWait   = time.Second
	minQueueLength = 2
	// maxCallerShare is the fraction of a queue that one caller may fill.
	maxCallerShare = 0.25
	// retryDelay is the mean delay, on top of the expected wait, before a retry after a refusal.
	retryDelay = time.Second
)

var (
	admitted = metrics.GetOrCreateCounter(`hickorydrum_admitted_total`)
	refused  = metrics.GetOrCreateCounter(`hickorydrum_refused_total`)
	queued   = metrics.GetOrCreateCounter(`hickorydrum_queued_total`)
)

// queue holds the requests that wait for a slot of one service in one region, in order of
// arrival. The pool's lock guards it.
type queue struct {
	waiters []*waiter
}

// waiter is one queued request.
type waiter struct {
	caller string
}

// first reports whether w is the first in the queue.
func (q *queue) first(w *waiter) bool { return len(q.waiters) > 0 && q.waiters[0] == w }

func (q *queue) remove(w *waiter) {
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i:i], q.waiters[i+1:]...)
			return
		}
	}
}

// Slot is the right to have one request in flight at an upstream.
type Slot struct {
	pool     *Pool
	upstream *fleet.Upstream
	dialer   *dispatch.Dialer
}

// Address returns the address of the slot's upstream.
func (s *Slot) Address() string { return s.upstream.Address }

// Usable reports whether the upstream may still get the request: it is still declared, and is
// neither drained nor has it withdrawn. It is called right before the first byte is
// sent, since the process may have been paused after the slot was acquired.
func (s *Slot) Usable() bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.pool.view.Eligible(s.upstream) && s.pool.withdrawals.Allows(s.upstream)
}

// release frees the slot and records the outcome of the request.
func (s *Slot) release(begun time.Time, outcome load.Outcome) {
	now := time.Now()
	s.pool.tracker.End(&load.Result{
		Upstream: s.upstream, Class: route.Class{}, Outcome: outcome, Took: now.Sub(begun), ColdPeriod: coldPeriod,
	}, now)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.pool.inFlight[s.upstream.ID]--; s.pool.inFlight[s.upstream.ID] <= 0 {
		delete(s.pool.inFlight, s.upstream.ID)
	}
	s.pool.notifyWaiters()
}

// Acquire returns a slot for a request, at once or after a wait in the queue of at most
// maxQueueWait. An error is a *fault.Error which states that the request was not executed.
func (p *Pool) Acquire(ctx context.Context, req *Request) (*Slot, error) {
	now := time.Now()
	p.mu.Lock()
	q, err := p.queueFor(req)
	if err != nil {
		p.mu.Unlock()
		return nil, err
	}
	if len(q.waiters) == 0 {
		s, limited := p.tryAcquire(req, now)
		if s != nil || limited != nil {
			p.mu.Unlock()
			return countAcquired(s, limited)
		}
	}
	if err := p.checkQueue(q, req, now); err != nil {
		p.mu.Unlock()
		refused.Inc()
		return nil, err
	}
	w := &waiter{caller: req.Caller}
	q.waiters = append(q.waiters, w)
	p.mu.Unlock()
	queued.Inc()
	return p.wait(ctx, q, w, req)
}

// queueFor returns the queue of a request. The lock is held.
func (p *Pool) queueFor(req *Request) (*queue, error) {
	if p.set == nil {
		return nil, notExecuted(fault.Unavailable, "no upstreams are declared yet", "apply a configuration")
	}
	key := req.Service + " " + req.Region
	q, ok := p.queues[key]
	if !ok {
		q = &queue{}
		p.queues[key] = q
	}
	return q, nil
}

// wait blocks until the request is the first in its queue and a slot is free. It fails when the
// wait takes too long, ctx is done, or no upstream may serve the request any more.
func (p *Pool) wait(ctx context.Context, q *queue, w *waiter, req *Request) (*Slot, error) {
	until := time.Now().Add(maxQueueWait)
	if req.Deadline.Before(until) {
		until = req.Deadline
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		p.mu.Lock()
		if q.first(w) && ctx.Err() == nil {
			s, limited := p.tryAcquire(req, time.Now())
			if s != nil || limited != nil {
				q.remove(w)
				p.notifyWaiters()
				p.mu.Unlock()
				return countAcquired(s, limited)
			}
		}
		noneUsable := p.usableSlots(req) == 0
		freed := p.slotFreed
		p.mu.Unlock()
		ended := noneUsable
		if !ended {
			select {
			case <-freed:
			case <-timer.C:
				ended = true
			case <-ctx.Done():
				ended = true
			}
		}
		if ended {
			return nil, p.leaveQueue(q, w, req, noneUsable)
		}
	}
}

// countAcquired counts a request that leaves its queue with a slot or with the fault of its
// refusal, and returns them.
func countAcquired(s *Slot, limited *fault.Error) (*Slot, error) {
	if s == nil {
		refused.Inc()
		return nil, limited
	}
	admitted.Inc()
	return s, nil
}

// leaveQueue removes a request from its queue and returns the fault of its refusal.
func (p *Pool) leaveQueue(q *queue, w *waiter, req *Request, noneUsable bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.remove(w)
	p.notifyWaiters()
	refused.Inc()
	if noneUsable {
		return p.noUpstream(req)
	}
	return overloaded(time.Now(), 0)
}

// overloaded returns the fault of a request that got no slot. It may be retried after wait plus 0.5
// to 1.5 times retryDelay.
func overloaded(now time.Time, wait time.Duration) *fault.Error {
	at := now.Add(wait + retryDelay/2 + rand.N(retryDelay))
	return notExecuted(fault.Overloaded, "no slot is free", "retry after the given time", fault.WithRetryAt(at))
}

// usableSlots returns the number of slots, free or not, of the upstreams that may serve the
// request. The lock is held.
func (p *Pool) usableSlots(req *Request) int {
	n := 0
	for _, u := range p.view.Service(req.Service) {
		if u.Region() == req.Region && !req.Tried[u.ID] && p.withdrawals.Allows(u) {
			n += u.Slots
		}
	}
	return n
}

// checkQueue returns a fault if a request must not be queued: the queue is full, its caller has
// filled its share, or the expected wait is too long. Such a request is refused at once
// instead of after the wait. The lock is held.
func (p *Pool) checkQueue(q *queue, req *Request, now time.Time) error {
	slots := p.usableSlots(req)
	if slots == 0 {
		return p.noUpstream(req)
	}
	_, serviceTime := p.tracker.ServiceTimes(req.Service, route.Class{})
	wait := time.Duration(float64(serviceTime) * float64(len(q.waiters)+1) / float64(slots))
	capacity := max(slots, minQueueLength)
	if len(q.waiters) >= capacity || wait > maxQueueWait || now.Add(wait).After(req.Deadline) {
		return overloaded(now, wait)
	}
	own := 0
	for _, w := range q.waiters {
		if w.caller == req.Caller {
			own++
		}
	}
	if own > 0 && float64(own+1) > maxCallerShare*float64(capacity) {
		return overloaded(now, wait)
	}
	return nil
}
