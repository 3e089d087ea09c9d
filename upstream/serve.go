package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"hickorydrum/dispatch"
	"hickorydrum/fault"
	"hickorydrum/load"
)

// hedgeDelay is how long an idempotent request without a body waits for a response before a
// second attempt is sent.
const hedgeDelay = 400 * time.Millisecond

// maxIdle is how many idle connections to one upstream are kept for reuse.
const maxIdle = 16

var (
	hedges           = metrics.GetOrCreateCounter(`hickorydrum_hedges_total`)
	requestSeconds   = metrics.GetOrCreateHistogram(`hickorydrum_upstream_seconds`)
	upstreamFailures = metrics.GetOrCreateCounter(`hickorydrum_upstream_failures_total`)
)

// Serve acquires a slot for a request, sends the request to the upstream and forwards the
// response to the sink. An error is a *fault.Error that states whether the request was
// executed. An error after the sink received a head means that the response is incomplete. The
// address of the upstream is added to Tried, unless Tried is nil.
func (p *Pool) Serve(ctx context.Context, req *Request, body io.ReadCloser, sink dispatch.Sink) error {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	slot, err := p.Acquire(ctx, req)
	if err != nil {
		return err
	}
	if req.Tried != nil {
		req.Tried[slot.Address()] = true
	}
	if !req.Idempotent || req.Length != 0 {
		return slot.dispatch(ctx, req, body, sink, true)
	}
	return p.serveHedged(ctx, slot, req, sink)
}

// serveHedged serves an idempotent request without a body. If no response has begun after
// hedgeDelay, it sends a second attempt and forwards the response that begins first. The second
// attempt reuses only a connection that responded recently. The first attempt runs on the calling
// goroutine, since switching to another goroutine costs more than the rest of the work here.
func (p *Pool) serveHedged(ctx context.Context, slot *Slot, req *Request, sink dispatch.Sink) error {
	race := newRace(sink)
	defer race.cancelAll()
	first := race.addAttempt(ctx)
	second := make(chan error, 1)
	hedge := time.AfterFunc(hedgeDelay, func() {
		defer close(second)
		if s := p.hedgeSlot(race, req); s != nil {
			hedges.Inc()
			a := race.addAttempt(ctx)
			second <- s.dispatch(a.ctx, req, http.NoBody, a, true)
		}
	})
	err := slot.dispatch(first.ctx, req, http.NoBody, first, false)
	if hedge.Stop() {
		return err
	}
	if race.won(first) {
		race.cancelAll()
	}
	secondErr, sent := <-second
	if !sent || race.won(first) {
		return err
	}
	return fault.After(err, secondErr)
}

// hedgeSlot returns a slot for the second attempt, or nil if the first one has received the head
// of a response or no slot is free. The upstream of the first attempt may be chosen again.
func (p *Pool) hedgeSlot(race *race, req *Request) *Slot {
	if race.hasWinner() {
		return nil
	}
	hedged := *req
	hedged.Tried = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	slot, _ := p.tryAcquire(&hedged, time.Now()) // without a slot there is no second attempt
	return slot
}

// dispatch sends one request to the upstream of the slot and releases the slot. recent is passed
// to dispatch.Dialer.Get.
func (s *Slot) dispatch(ctx context.Context, req *Request, body io.ReadCloser, sink dispatch.Sink, recent bool) error {
	ctx, span := otel.Tracer("hickorydrum").Start(ctx, "upstream")
	defer span.End()
	span.SetAttributes(attribute.String("service", req.Service), attribute.String("upstream", s.Address()))
	begun := time.Now()
	c, err := s.connect(ctx, begun, recent)
	if err != nil {
		s.release(begun, outcomeOf(err, ctx))
		return err
	}
	request := req.Request
	request.Reused = c.Reused()
	request.Header = req.Header.Clone()
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	d := &dialect{reporter: &slotReports{slot: s, sentAt: begun}}
	reusable, err := dispatch.NewExchange(&request, d, req.Deadline, c).Run(ctx, body, sink)
	if reusable && err == nil {
		s.dialer.Put(c, time.Now(), maxIdle)
	} else {
		_ = c.Close()
	}
	if err == nil {
		requestSeconds.UpdateDuration(begun)
	}
	s.release(begun, outcomeOf(err, ctx))
	return err
}

// connect returns a connection to the upstream. It then checks whether the upstream may still
// get the request, since the process may have been paused after the slot was acquired.
func (s *Slot) connect(ctx context.Context, now time.Time, recent bool) (*dispatch.Conn, error) {
	c, err := s.dialer.Get(ctx, now, recent)
	if err != nil {
		return nil, err
	}
	if !s.Usable() {
		_ = c.Close()
		return nil, notExecuted(fault.Unavailable, "the upstream leaves", "try another upstream")
	}
	return c, nil
}

// outcomeOf returns the outcome that the load tracker records for a dispatch that ended with err.
// It counts the upstream's failures.
func outcomeOf(err error, ctx context.Context) load.Outcome {
	switch {
	case err == nil:
		return load.Answered
	case ctx.Err() != nil:
		return load.Abandoned
	case fault.KindOf(err) == fault.Overloaded:
		return load.Refused
	case fault.IsNotExecuted(err):
		upstreamFailures.Inc()
		return load.Unreachable
	default:
		upstreamFailures.Inc()
		return load.Failed
	}
}
