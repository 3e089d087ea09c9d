package rollout

import (
	"context"
	"log/slog"

	"hickorydrum/event"
	"hickorydrum/revision"
	"hickorydrum/roster"
)

// noteNewest notes a revision that the platform has reached, by its own answer ("list") or by the hello of a peer,
// which names the era only. The first revision of a later era means that the platform came back from a copy: that is
// logged, OnEra's function is called, and the peers are notified.
func (f *Follower) noteNewest(ctx context.Context, at revision.Revision, source string) {
	f.newestMu.Lock()
	from := f.newest
	f.newest = revision.Max(from, at)
	f.newestMu.Unlock()
	if !at.NewEra(from) {
		return
	}
	event.EraBegun.Log(ctx, f.log, slog.String("kind", roster.WatchPrefix), slog.String("from_era", from.EraName()), slog.String("era", at.EraName()),
		slog.Uint64("from_revision", from.Number), slog.Uint64("revision", at.Number), slog.String("source", source))
	f.onEra(f.relayRank() < relaysPerDomain)
	f.scheduleNotify()
}
