package upstream

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"hickorydrum/dispatch"
	"hickorydrum/fault"
)

// hedgeAfter is how long an idempotent request waits on a reused connection
// before a second one is raced on a new connection.
const hedgeAfter = 400 * time.Millisecond

// maxShedPause is how long an upstream that sheds gets no work at most. It is less
// than a request may wait in the queue, which would else be refused whole.
const maxShedPause = maxQueueWait / 2

var (
	hedges     = metrics.GetOrCreateCounter(`hickorydrum_hedges_total`)
	served     = metrics.GetOrCreateHistogram(`hickorydrum_upstream_seconds`)
	servedFail = metrics.GetOrCreateCounter(`hickorydrum_upstream_failures_total`)
)

// Serve admits a request, dispatches it and passes the answer to the sink. A
// fault states whether the request was run. After the sink got a head, a fault
// means that the answer is not whole.
func (p *Pool) Serve(ctx context.Context, ask *Ask, open OpenBody, sink Sink) error {
	deadline := ask.Deadline(time.Now())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	slot, err := p.Acquire(ctx, ask.Service, ask.Caller, deadline)
	if err != nil {
		return err
	}
	body, err := open()
	if err != nil {
		slot.Release(time.Now())
		return fault.From(err)
	}
	if !ask.Idempotent || ask.Length != 0 {
		return slot.dispatch(ctx, ask, deadline, body, sink, true)
	}
	return p.serveHedged(ctx, slot, ask, deadline, sink)
}

// serveHedged serves an idempotent request without a body. When the connection
// stays silent, it races a second one. The first dispatch runs on the caller's
// goroutine: a hand-over to another costs more than the rest of the way.
func (p *Pool) serveHedged(ctx context.Context, slot *Slot, ask *Ask, deadline time.Time, sink Sink) error {
	race := newRace(sink)
	defer race.end()
	first := race.entrant(ctx)
	second := make(chan error, 1)
	hedge := time.AfterFunc(hedgeAfter, func() {
		defer close(second)
		if s := p.hedgeSlot(race, ask.Service); s != nil {
			hedges.Inc()
			e := race.entrant(ctx)
			second <- s.dispatch(e.ctx, ask, deadline, noBody{}, e, true)
		}
	})
	err := slot.dispatch(first.ctx, ask, deadline, noBody{}, first, false)
	if hedge.Stop() {
		return err
	}
	if race.won(first) {
		race.end()
	}
	secondErr, ran := <-second
	if !ran || race.won(first) {
		return err
	}
	return secondErr
}

// hedgeSlot returns a slot for a second dispatch, or nil when the first one has
// an answer or none is free.
func (p *Pool) hedgeSlot(race *race, service string) *Slot {
	if race.started() {
		return nil
	}
	return p.TryAcquire(service)
}

type noBody struct{}

func (noBody) Read([]byte) (int, error) { return 0, io.EOF }
func (noBody) Close() error             { return nil }

// dispatch runs one request on the slot and releases it.
func (s *Slot) dispatch(
	ctx context.Context, ask *Ask, deadline time.Time, body io.ReadCloser, sink Sink, proven bool,
) error {
	ctx, span := otel.Tracer("hickorydrum").Start(ctx, "upstream")
	defer span.End()
	span.SetAttributes(attribute.String("service", ask.Service), attribute.String("upstream", s.Address()))
	begun := time.Now()
	c, err := s.connect(ctx, begun, proven)
	if err != nil {
		s.finish(begun, err, false)
		return err
	}
	request := ask.request()
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	x := dispatch.NewExchange(request, dialect{}, deadline, c)
	reusable, err := x.Run(ctx, body, headSink{sink})
	if reusable && err == nil {
		s.worker.dialer.Put(c, time.Now(), s.slots)
	}
	s.finish(begun, err, ctx.Err() != nil)
	return err
}

// connect returns a connection and checks the right to the slot last, since the
// process may have been paused since its admission.
func (s *Slot) connect(ctx context.Context, now time.Time, proven bool) (*dispatch.Conn, error) {
	c, err := s.worker.dialer.Get(ctx, now, proven)
	if err != nil {
		return nil, err
	}
	if !s.Holds(time.Now()) {
		_ = c.Close()
		// Not an overload: another instance has the slots now, and is to be asked.
		return nil, notRun(fault.Unavailable, "the upstream was handed over or leaves", "try another instance")
	}
	return c, nil
}

// finish notes the outcome and releases the slot.
func (s *Slot) finish(begun time.Time, err error, cancelled bool) {
	now := time.Now()
	s.note(now, begun, err, cancelled)
	if err != nil && fault.From(err).Ran() == fault.RanUnknown {
		time.AfterFunc(cancelSettle, func() { s.Release(time.Now()) })
		return
	}
	s.Release(now)
}

func (s *Slot) note(now, begun time.Time, err error, cancelled bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	switch {
	case err == nil:
		served.UpdateDuration(begun)
		s.worker.succeeded(now.Sub(begun))
	case cancelled:
	case fault.KindOf(err) == fault.Overloaded:
		if at := fault.From(err).RetryAt(); at.After(now) && fault.NotRun(err) {
			s.worker.shedTill = now.Add(min(at.Sub(now), maxShedPause))
		}
	default:
		servedFail.Inc()
		s.worker.failed(now)
	}
}
