package upstream

import (
	"time"

	"hickorydrum/limit"
)

// slotReports passes on what an upstream says of itself in the response to the request of a slot.
type slotReports struct {
	slot   *Slot
	sentAt time.Time
}

func (r *slotReports) reportLoad(busy int) {
	r.slot.pool.tracker.RecordLoad(r.slot.upstream.ID, busy, 0, time.Now())
}

func (r *slotReports) reportLimit(l limit.Response) {
	l.SentAt = r.sentAt
	r.slot.pool.tracker.RecordLimit(r.slot.upstream, l, time.Now())
}

func (r *slotReports) reportLeaving() { r.slot.pool.recordLeaving(r.slot.upstream) }

func (r *slotReports) reportPause(wait time.Duration) {
	r.slot.pool.withdrawals.Pause(r.slot.upstream, wait)
}
