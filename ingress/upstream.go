package ingress

import (
	"context"
	"log/slog"
	"time"

	"hickorydrum/event"
	"hickorydrum/fleet"
	"hickorydrum/limit"
	"hickorydrum/platform"
)

// upstreamReports passes on what an upstream says of itself in the response to one request.
// It implements platform.Reporter.
type upstreamReports struct {
	ingress  *Ingress
	upstream *fleet.Upstream
	sentAt   time.Time
	waited   bool // requests were waiting at the upstream
}

// ReportLoad records the load of the upstream.
func (r *upstreamReports) ReportLoad(l platform.Load) {
	r.waited = l.Waiting > 0
	r.ingress.planner.RecordLoad(r.upstream, l.Running, l.Waiting, time.Now())
}

// ReportLimit records the limit that the upstream names, or that it names none, and logs
// what changes by it.
func (r *upstreamReports) ReportLimit(l platform.Limit) {
	if l.Err != nil {
		r.ingress.logLimit(event.LimitInvalid, r.upstream.ID, slog.String("error", l.Err.Error()))
		return
	}
	state, changed := r.ingress.planner.RecordLimit(r.upstream, limit.Response{
		Named: l.Named, PerSecond: l.PerSecond, Executed: l.Executed, SentAt: r.sentAt,
	}, time.Now())
	if changed {
		r.ingress.LogLimit(r.upstream.ID, &state)
	}
}

// LogLimit logs a limit that has changed.
func (g *Ingress) LogLimit(upstream string, s *limit.State, attrs ...slog.Attr) {
	if !s.InForce {
		g.logLimit(event.LimitEnded, upstream, attrs...)
		return
	}
	g.logLimit(event.LimitNamed, upstream, append(attrs, slog.Float64("per_second", s.PerSecond))...)
}

// logLimit writes a line about the limit of an upstream, unless there were too many in this
// second.
func (g *Ingress) logLimit(e event.Event, upstream string, attrs ...slog.Attr) {
	if g.limitLines.allow(time.Now()) {
		e.Log(context.Background(), g.log, append(attrs, slog.String("upstream", upstream))...)
	}
}
