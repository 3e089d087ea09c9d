package hosted

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/event"
	"hickorydrum/fleet"
	"hickorydrum/platform"
)

const (
	// lateAfter is the delay from which it is too late that an instance learns that an upstream has left.
	lateAfter = time.Second
	// maxWithdrawalLines bounds the lines a second about upstreams that leave or are gone. The line about
	// the view has the number of those that are left out.
	maxWithdrawalLines = 50
	// sourceUnknown is the source of a removal whose origin is not recorded any more.
	sourceUnknown = "unknown"
)

// refreshView makes refreshViews build the view of the upstreams again.
func (i *Instance) refreshView() {
	select {
	case i.refresh <- struct{}{}:
	default: // it is about to be built
	}
}

// refreshViews builds the view of the upstreams again each time that one of them says in a response
// that it leaves, until the context is done.
func (i *Instance) refreshViews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.refresh:
			i.apply(platform.KindUpstreams)
		}
	}
}

// recordWithdrawals records the upstreams whose entries say that they leave, and logs them and those
// whose entries are gone. i.mu must be held.
func (i *Instance) recordWithdrawals(view *fleet.View, changed []withdrawn) {
	for _, u := range view.All() {
		if u.Draining {
			i.planner.RecordLeaving(u)
		}
	}
	for n := range changed {
		i.logWithdrawal(&changed[n])
	}
}

// logWithdrawal logs and counts one upstream that leaves or is gone, and whether a request was sent to it
// too late.
func (i *Instance) logWithdrawal(w *withdrawn) {
	state := "leaving"
	if w.gone {
		state = "gone"
	}
	source := cmp.Or(string(w.from.Source), sourceUnknown)
	attrs := []slog.Attr{
		slog.String("upstream", w.id), slog.String("state", state), slog.String("source", source), slog.Uint64("entry", w.revision.Number),
		slog.String("era", w.revision.EraName()),
	}
	if w.from.Peer != "" {
		attrs = append(attrs, slog.String("peer", w.from.Peer))
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickorydrum_withdrawals_total{source=%q}`, source)).Inc()
	delay, known := w.from.Delay()
	if known {
		delay += time.Since(w.from.At)
		attrs = append(attrs, slog.Int64("delay_ms", delay.Milliseconds()))
		metrics.GetOrCreateHistogram(fmt.Sprintf(`hickorydrum_withdrawal_seconds{source=%q}`, source)).Update(delay.Seconds())
	}
	if !i.withdrawalLines.Allow(time.Now()) {
		return
	}
	event.UpstreamWithdrawn.Log(context.Background(), i.log, attrs...)
	sentAt := i.tracker.SentAt(w.id)
	if known && sentAt.Sub(w.from.After) > lateAfter {
		event.WithdrawnLate.Log(context.Background(), i.log, append(attrs, slog.Int64("sent_ms", time.Since(sentAt).Milliseconds()))...)
	}
}
