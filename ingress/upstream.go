package ingress

import (
	"context"
	"log/slog"
	"time"

	"hickorydrum/event"
	"hickorydrum/fleet"
	"hickorydrum/load"
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
		r.log(event.LimitInvalid, slog.String("error", l.Err.Error()))
		return
	}
	switch r.ingress.planner.RecordLimit(r.upstream, load.NamedLimit{
		Named: l.Named, PerSecond: l.PerSecond, Executed: l.Executed, SentAt: r.sentAt,
	}, time.Now()) {
	case load.LimitSet:
		r.log(event.LimitNamed, slog.Float64("per_second", l.PerSecond))
	case load.LimitEnded:
		r.log(event.LimitEnded)
	case load.LimitKept:
	}
}

func (r *upstreamReports) log(e event.Event, attrs ...slog.Attr) {
	if !r.ingress.limitLines.allow(time.Now()) {
		return
	}
	attrs = append(attrs, slog.String("upstream", r.upstream.ID), slog.String("service", r.upstream.Service))
	e.Log(context.Background(), r.ingress.log, attrs...)
}
