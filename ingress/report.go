package ingress

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/clock"
	"hickorydrum/event"
)

const (
	// maxAnsweredLines and maxFailedLines limit the log lines a second about answered requests
	// and about others.
	maxAnsweredLines = 5
	maxFailedLines   = 100
)

// logLimiter limits the log lines about requests in each second.
type logLimiter struct {
	answered *event.Limiter
	failed   *event.Limiter
}

func newLogLimiter() *logLimiter {
	return &logLimiter{
		answered: event.NewLimiter(event.LinesPerSecond(maxAnsweredLines)),
		failed:   event.NewLimiter(event.LinesPerSecond(maxFailedLines)),
	}
}

// allow reports whether a line may be written now. On the first call in a second it also
// returns how many lines were omitted before.
func (l *logLimiter) allow(now time.Time, answered bool) (ok bool, omitted int) {
	omitted = l.answered.Omitted(now) + l.failed.Omitted(now)
	if answered {
		return l.answered.Allow(now), omitted
	}
	return l.failed.Allow(now), omitted
}

// lineCounter limits the log lines about what upstreams say of themselves in each second.
type lineCounter struct{ limiter event.Limiter }

// allow reports whether one more line may be written now. Others are dropped and counted in
// hickorydrum_limit_lines_omitted_total.
func (c *lineCounter) allow(now time.Time) bool {
	if !c.limiter.Allow(now) {
		limitLinesOmitted.Inc()
		return false
	}
	return true
}

// report logs the request and updates the metrics.
func (x *exchange) report() {
	now := time.Now()
	latency.Update(now.Sub(x.arrived).Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickorydrum_requests_total{outcome=%q,status="%d",reason=%q}`,
		x.result.outcome, x.result.status, x.choice.Reason)).Inc()
	answered := x.result.outcome == "answered" && x.result.status < 500
	ok, omitted := x.ingress.limiter.allow(now, answered)
	if omitted > 0 {
		event.LinesOmitted.Log(context.Background(), x.ingress.log, slog.Int("count", omitted))
	}
	if !ok {
		return
	}
	attrs := []slog.Attr{
		slog.String("id", x.id), slog.String("outcome", x.result.outcome), slog.Int("status", x.result.status),
		slog.Int64("took_ms", now.Sub(x.arrived).Milliseconds()), slog.Int("sends", x.sends),
		slog.String("reason", string(x.choice.Reason)), slog.Int64("expected_ms", x.choice.Expected.Milliseconds()),
		slog.Int64("limit_ms", x.planReq.Deadline.Sub(x.arrived).Milliseconds()),
	}
	if x.planReq.Route != nil {
		attrs = append(attrs, slog.String("route", x.planReq.Route.Name), slog.Uint64("version", x.planReq.Table.Version()),
			slog.String("service", x.planReq.Service))
	}
	if !x.confirmed.At.IsZero() {
		age := clock.Now().Sub(x.confirmed.At) - now.Sub(x.arrived)
		attrs = append(attrs, slog.Int64("confirmed_ms", max(0, age.Milliseconds())), slog.String("confirmed_by", x.confirmed.Source))
	}
	if x.chosen != nil {
		attrs = append(attrs, slog.String("upstream", x.chosen.ID), slog.String("domain", x.chosen.Domain),
			slog.Uint64("entry", x.chosen.Revision.Number), slog.String("era", x.chosen.Revision.EraName()), slog.String("source", x.chosen.Source),
			slog.Int64("known_ms", x.chosenAt.Sub(x.chosen.LearnedAt).Milliseconds()))
		if x.chosen.Peer != "" {
			attrs = append(attrs, slog.String("peer", x.chosen.Peer))
		}
	}
	if x.result.detail != "" {
		attrs = append(attrs, slog.String("detail", x.result.detail))
	}
	e := event.RequestAnswered
	if !answered {
		e = event.RequestUnanswered
	}
	e.Log(context.Background(), x.ingress.log, attrs...)
}
