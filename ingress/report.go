package ingress

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/event"
)

const (
	// answeredLines and failedLines are how many lines a second are written about
	// answered requests, and about others.
	answeredLines = 5
	failedLines   = 100
)

// lines bounds the lines that are written about requests.
type lines struct {
	mu       sync.Mutex
	second   int64
	answered int
	failed   int
	omitted  int
}

func newLines() *lines { return &lines{} }

// allow reports whether a line may be written now, and how many were left out
// in the second before.
func (l *lines) allow(now time.Time, answered bool) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		omitted = l.omitted
		l.second, l.answered, l.failed, l.omitted = second, 0, 0, 0
	}
	count, most := &l.failed, failedLines
	if answered {
		count, most = &l.answered, answeredLines
	}
	if *count >= most {
		l.omitted++
		return false, omitted
	}
	*count++
	return true, omitted
}

// report writes the line and counts the metrics of the request.
func (x *exchange) report() {
	now := time.Now()
	latency.Update(now.Sub(x.arrived).Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickorydrum_requests_total{outcome=%q,status="%d",reason=%q}`,
		x.result.outcome, x.result.status, x.choice.Reason)).Inc()
	answered := x.result.outcome == "answered" && x.result.status < 500
	ok, omitted := x.ingress.lines.allow(now, answered)
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
		slog.Int64("limit_ms", x.ask.Deadline.Sub(x.arrived).Milliseconds()),
	}
	if x.ask.Route != nil {
		attrs = append(attrs, slog.String("route", x.ask.Route.Name), slog.Uint64("version", x.ask.Table.Version()),
			slog.String("service", x.ask.Service))
	}
	if x.chosen != nil {
		attrs = append(attrs, slog.String("upstream", x.chosen.ID), slog.String("domain", x.chosen.Domain))
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
