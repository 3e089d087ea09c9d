package hosted

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/event"
	"hickorydrum/mirror"
)

var storeOutages = metrics.GetOrCreateCounter(`hickorydrum_store_outages_total`)

// storeFailed records a failed call to the store. The first one starts an outage. At the first one,
// and at the first one of each later try, an instance that watches the store notifies the other members
// of the failure domain at once, so that one of them can take over the watch.
func (f *follower) storeFailed(err error) {
	f.mu.Lock()
	first, notify, watching := f.outageSince.IsZero(), !f.refused, f.watching
	if watching || f.failedAt.IsZero() {
		f.failedAt = time.Now()
	}
	f.refused = true
	newest := f.newest()
	if first {
		f.outageSince = time.Now()
		storeOutages.Inc()
	}
	f.mu.Unlock()
	if first {
		event.WatchFailed.Log(context.Background(), f.log, slog.String("error", err.Error()))
	}
	if notify {
		f.mesh.SetStoreRefused(true)
	}
	if notify && watching {
		f.mesh.Announce(newest, false)
	}
}

// storeAnswered records that the store answered. At the end of an outage it cancels all
// watches, since their connections may have lost a response. If entries may have lapsed in the
// outage, since the store answered neither this instance nor a peer that confirmed the state, it
// starts the retention of those that the store no longer has, and asks a peer before the watches
// begin again: what was removed while the store served that peer is not retained.
func (f *follower) storeAnswered() {
	f.mu.Lock()
	since, now := f.outageSince, time.Now()
	_, confirmed := f.confirming.record.Oldest()
	lapsed := now.Sub(f.answeredAt) >= f.heartbeat && f.now().Sub(confirmed.At) >= f.heartbeat
	f.answeredAt = now
	if since.IsZero() {
		f.mu.Unlock()
		return
	}
	f.outageSince, f.failedAt, f.refused = time.Time{}, time.Time{}, false
	if lapsed {
		for _, m := range f.mirrors {
			m.StartRetention(now)
		}
	}
	f.mu.Unlock()
	if lapsed {
		f.askAfterOutage()
	}
	f.mu.Lock()
	f.cancelWatches()
	f.watchCtx, f.cancelWatches = context.WithCancel(context.Background())
	f.confirming.retryAt = time.Time{}
	f.mu.Unlock()
	f.nudge()
	f.mesh.SetStoreRefused(false)
	event.WatchRecovered.Log(context.Background(), f.log, slog.Duration("away", now.Sub(since)))
}

// scheduleExpiry makes the next object that is retained or hidden end to be so in time. f.mu must be held.
func (f *follower) scheduleExpiry() {
	var next time.Time
	for _, m := range f.mirrors {
		if until, ok := m.NextExpiry(); ok && (next.IsZero() || until.Before(next)) {
			next = until
		}
	}
	if !next.IsZero() {
		f.expiry.Reset(time.Until(next))
	}
}

// expire drops objects whose retention is over, and shows those that are hidden no longer.
func (f *follower) expire() {
	for _, kind := range kinds() {
		f.applyChange(kind, false, func(m *mirror.Mirror) bool { return m.Expire(time.Now()) })
	}
}
