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

// sourceAnswer is the source of a withdrawal that a response of the upstream names.
const sourceAnswer = "answer"

// upstreamReports passes on what an upstream says of itself in the response to one request.
// It implements platform.Reporter.
type upstreamReports struct {
	ingress  *Ingress
	upstream *fleet.Upstream
	sentAt   time.Time
	waited   bool // requests were waiting at the upstream
	pace     int  // of the upstream's machine, in percent; 0 if the response does not say
}

// ReportLoad records the load of the upstream.
func (r *upstreamReports) ReportLoad(l platform.Load) {
	r.waited = l.Waiting > 0
	now := time.Now()
	r.ingress.planner.RecordLoad(r.upstream, l.Running, l.Waiting, now)
	if l.Pace != 0 {
		r.pace = l.Pace
		r.ingress.planner.RecordPace(r.upstream, l.Pace, now)
	}
}

// ReportLoadError counts and logs that a report of the upstream's load is not valid.
func (r *upstreamReports) ReportLoadError(err error) {
	invalidLoads.Inc()
	r.ingress.logUpstream(event.LoadInvalid, r.upstream.ID, slog.String("error", err.Error()))
}

// ReportLimit records the limit that the upstream names, or that it names none, and logs
// what changes by it.
func (r *upstreamReports) ReportLimit(l platform.Limit) {
	if l.Err != nil {
		r.ingress.logUpstream(event.LimitInvalid, r.upstream.ID, slog.String("error", l.Err.Error()))
		return
	}
	state, changed := r.ingress.planner.RecordLimit(r.upstream, limit.Response{
		Named: l.Named, PerSecond: l.PerSecond, Executed: l.Executed, SentAt: r.sentAt,
	}, time.Now())
	if changed {
		r.ingress.LogLimit(r.upstream.ID, &state)
	}
}

// ReportLeaving records that the upstream leaves, or another one that has its address now.
func (r *upstreamReports) ReportLeaving(misdirected bool) {
	if !misdirected {
		r.ingress.recordLeaving(r.upstream)
		return
	}
	for _, u := range r.ingress.planner.View().All() {
		if u.Address == r.upstream.Address && u.ID != r.upstream.ID {
			r.ingress.recordLeaving(u)
		}
	}
}

// recordLeaving records and logs that an upstream said in a response that it leaves.
func (g *Ingress) recordLeaving(u *fleet.Upstream) {
	if !g.planner.RecordLeaving(u) {
		return
	}
	withdrawn.Inc()
	g.logUpstream(event.UpstreamWithdrawn, u.ID, slog.String("state", "leaving"),
		slog.String("source", sourceAnswer), slog.Uint64("entry", u.Revision.Number), slog.String("era", u.Revision.EraName()))
	g.onLeaving()
}

// ReportPause records the pause that the upstream asks for.
func (r *upstreamReports) ReportPause(p platform.Pause) {
	if p.Err != nil {
		r.ingress.logUpstream(event.PauseInvalid, r.upstream.ID, slog.String("error", p.Err.Error()))
		return
	}
	if r.ingress.planner.RecordPause(r.upstream, p.Wait) {
		pauses.Inc()
		r.ingress.logUpstream(event.UpstreamPaused, r.upstream.ID, slog.Int64("wait_ms", p.Wait.Milliseconds()))
	}
}

// LogLimit logs a limit that has changed.
func (g *Ingress) LogLimit(upstream string, s *limit.State, attrs ...slog.Attr) {
	if !s.InForce {
		g.logUpstream(event.LimitEnded, upstream, attrs...)
		return
	}
	g.logUpstream(event.LimitNamed, upstream, append(attrs, slog.Float64("per_second", s.PerSecond))...)
}

// logUpstream writes a line about what an upstream says of itself, unless there were too many in
// this second.
func (g *Ingress) logUpstream(e event.Event, upstream string, attrs ...slog.Attr) {
	if g.upstreamLines.allow(time.Now()) {
		e.Log(context.Background(), g.log, append(attrs, slog.String("upstream", upstream))...)
	}
}
