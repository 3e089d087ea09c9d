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

// hedgeAfter is how long an idempotent request waits on a reused connection
// before a second one is raced on a new connection.
const hedgeAfter = 400 * time.Millisecond

// maxIdle is how many idle connections to one upstream are kept.
const maxIdle = 16

var (
	hedges     = metrics.GetOrCreateCounter(`hickorydrum_hedges_total`)
	served     = metrics.GetOrCreateHistogram(`hickorydrum_upstream_seconds`)
	servedFail = metrics.GetOrCreateCounter(`hickorydrum_upstream_failures_total`)
)

// Serve admits a request, sends it to one upstream and passes the answer to the
// sink. A fault states whether the request was run. After the sink got a head, a
// fault means that the answer is not whole. The address of the upstream is added to
// those that were tried.
func (p *Pool) Serve(ctx context.Context, ask *Ask, body io.ReadCloser, sink dispatch.Sink) error {
	ctx, cancel := context.WithDeadline(ctx, ask.Deadline)
	defer cancel()
	slot, err := p.Acquire(ctx, ask)
	if err != nil {
		return err
	}
	if ask.Tried != nil {
		ask.Tried[slot.Address()] = true
	}
	if !ask.Idempotent || ask.Length != 0 {
		return slot.dispatch(ctx, ask, body, sink, true)
	}
	return p.serveHedged(ctx, slot, ask, sink)
}

// serveHedged serves an idempotent request without a body. When the connection
// stays silent, it races a second one. The first dispatch runs on the caller's
// goroutine: a hand-over to another costs more than the rest of the way.
func (p *Pool) serveHedged(ctx context.Context, slot *Slot, ask *Ask, sink dispatch.Sink) error {
	race := newRace(sink)
	defer race.end()
	first := race.entrant(ctx)
	second := make(chan error, 1)
	hedge := time.AfterFunc(hedgeAfter, func() {
		defer close(second)
		if s := p.hedgeSlot(race, ask); s != nil {
			hedges.Inc()
			e := race.entrant(ctx)
			second <- s.dispatch(e.ctx, ask, http.NoBody, e, true)
		}
	})
	err := slot.dispatch(first.ctx, ask, http.NoBody, first, false)
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
func (p *Pool) hedgeSlot(race *race, ask *Ask) *Slot {
	if race.started() {
		return nil
	}
	again := *ask
	again.Tried = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pick(&again, time.Now())
}

// dispatch runs one request on the slot and releases it.
func (s *Slot) dispatch(ctx context.Context, ask *Ask, body io.ReadCloser, sink dispatch.Sink, proven bool) error {
	ctx, span := otel.Tracer("hickorydrum").Start(ctx, "upstream")
	defer span.End()
	span.SetAttributes(attribute.String("service", ask.Service), attribute.String("upstream", s.Address()))
	begun := time.Now()
	c, err := s.connect(ctx, begun, proven)
	if err != nil {
		s.finish(begun, outcomeOf(err, ctx))
		return err
	}
	request := ask.Request
	request.Header = ask.Header.Clone()
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	d := &dialect{tell: func(busy int) { s.pool.board.ReportLoad(s.upstream.ID, busy, 0, time.Now()) }}
	reusable, err := dispatch.NewExchange(&request, d, ask.Deadline, c).Run(ctx, body, sink)
	if reusable && err == nil {
		s.dialer.Put(c, time.Now(), maxIdle)
	} else {
		_ = c.Close()
	}
	if err == nil {
		served.UpdateDuration(begun)
	}
	s.finish(begun, outcomeOf(err, ctx))
	return err
}

// connect returns a connection and asks last whether the upstream may still get the
// request, since the process may have been paused since its admission.
func (s *Slot) connect(ctx context.Context, now time.Time, proven bool) (*dispatch.Conn, error) {
	c, err := s.dialer.Get(ctx, now, proven)
	if err != nil {
		return nil, err
	}
	if !s.Holds() {
		_ = c.Close()
		return nil, notRun(fault.Unavailable, "the upstream leaves", "try another upstream")
	}
	return c, nil
}

// outcomeOf returns what a dispatch that ended with err says of its upstream.
func outcomeOf(err error, ctx context.Context) load.Outcome {
	switch {
	case err == nil:
		return load.Answered
	case ctx.Err() != nil:
		return load.Abandoned
	case fault.KindOf(err) == fault.Overloaded:
		return load.Refused
	case fault.NotRun(err):
		servedFail.Inc()
		return load.Unreachable
	default:
		servedFail.Inc()
		return load.Failed
	}
}
