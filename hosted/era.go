package hosted

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/mirror"
	"hickorydrum/platform"
	"hickorydrum/revision"
)

const (
	// operatorRetention is how long a configuration or an evacuation stays that a copy of the store lacks, for the
	// operators to write it again.
	operatorRetention = 10 * time.Second
	// An upstream that had been removed, and that a copy of the store has, is hidden for lapseHeartbeats and entryRetention:
	// by then the entry of one that writes no more has lapsed again.
	lapseHeartbeats = 4
)

var (
	erasBegun = metrics.GetOrCreateCounter(`hickorydrum_store_eras_total`)
	// These count the objects that a copy of the store had otherwise than they were known here.
	eraRetained = metrics.GetOrCreateCounter(`hickorydrum_store_era_objects_total{outcome="retained"}`)
	eraKept     = metrics.GetOrCreateCounter(`hickorydrum_store_era_objects_total{outcome="kept"}`)
	eraHidden   = metrics.GetOrCreateCounter(`hickorydrum_store_era_objects_total{outcome="hidden"}`)
)

// newMirror returns the mirror of a kind. heartbeat is how often an upstream writes its entry.
func newMirror(kind string, heartbeat time.Duration) *mirror.Mirror {
	switch kind {
	case platform.KindUpstreams:
		hideFor := lapseHeartbeats*heartbeat + entryRetention
		return mirror.New(kind, mirror.WithRetention(entryRetention), mirror.WithEraRetention(entryRetention),
			mirror.WithWithdrawals(leavesStill), mirror.WithHiding(hideFor, noLaterStart))
	case platform.KindConfiguration:
		return mirror.New(kind, mirror.WithEraRetention(operatorRetention), mirror.WithWithdrawals(laterConfiguration))
	}
	return mirror.New(kind, mirror.WithEraRetention(operatorRetention))
}

// noLaterStart reports whether a copied entry of an upstream is of the same start of it as the known one, or of an earlier.
func noLaterStart(known, copied platform.Object) bool {
	a, err := platform.DecodeUpstream(known)
	b, errCopied := platform.DecodeUpstream(copied)
	return err == nil && errCopied == nil && b.StartMillis <= a.StartMillis
}

// leavesStill reports whether an upstream, by the known entry, leaves, and by a copied one of no later start does not.
func leavesStill(known, copied platform.Object) bool {
	a, err := platform.DecodeUpstream(known)
	b, errCopied := platform.DecodeUpstream(copied)
	return err == nil && errCopied == nil && a.Draining && !b.Draining && noLaterStart(known, copied)
}

// laterConfiguration reports whether the known configuration has a higher version than a copied one. What it withdrew
// or lowered would come back with the copied one at instances that start.
func laterConfiguration(known, copied platform.Object) bool {
	a, err := platform.DecodeConfiguration(known)
	b, errCopied := platform.DecodeConfiguration(copied)
	return err == nil && errCopied == nil && a.Version() > b.Version()
}

// inEarlierEra reports whether a revision is of an earlier era than the mirror of a kind.
func (f *follower) inEarlierEra(kind string, r revision.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.Era < f.mirrors[kind].Cursor().Era
}

// errEarlierEra is the error of a response that is of an earlier era than what is known.
func errEarlierEra(r revision.Revision) error {
	return fault.New(fault.Unavailable, "the store answers with its state of before it came back from a copy, revision "+r.String(),
		"check the platform", fault.WithExecution(fault.NotExecuted))
}

// checkEras returns an error if a mirror is still of an earlier era than a revision of the store.
func (f *follower) checkEras(current revision.Revision) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if least := f.leastCursor(); least.Era < current.Era {
		return errEarlierEra(least)
	}
	return nil
}

// leaveEra makes the watches of kinds that are of an earlier era than the given one begin again: what they wait for is
// not written in it. f.mu must be held.
func (f *follower) leaveEra(era uint64) {
	for _, kind := range kinds() {
		if f.mirrors[kind].Cursor().Era < era {
			f.watches[kind].cancel()
		}
	}
	f.nudge()
}

// logEra logs and counts what the mirror of a kind did when an era began.
func (f *follower) logEra(kind string, e *mirror.EraChange) {
	erasBegun.Inc()
	eraRetained.Add(e.Retained)
	eraKept.Add(e.Kept)
	eraHidden.Add(e.Hidden)
	attrs := []slog.Attr{
		slog.String("kind", kind), slog.String("from_era", e.From.EraName()), slog.String("era", e.To.EraName()),
		slog.Uint64("from_revision", e.From.Number), slog.Uint64("revision", e.To.Number), slog.String("source", string(e.Source)),
		slog.Int("retained", e.Retained), slog.Int("kept", e.Kept), slog.Int("hidden", e.Hidden),
	}
	if e.Peer != "" {
		attrs = append(attrs, slog.String("peer", e.Peer))
	}
	if len(e.HiddenNames) > 0 {
		attrs = append(attrs, slog.Any("first_hidden", e.HiddenNames))
	}
	event.EraBegun.Log(context.Background(), f.log, attrs...)
}
