package hosted

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/freshness"
	"hickorydrum/platform"
	"hickorydrum/revision"
)

const (
	// minAskDelay and maxAskDelay bound the exponential delay after a failed call of an instance that
	// does not watch the store. Those that watch it ping it, and tell the others when it answers.
	minAskDelay = 500 * time.Millisecond
	maxAskDelay = 3 * time.Second
	// takeoverAfter is how many times in a row an instance asks the store for itself before it watches
	// it, and takeoverFor for how long it then does, whatever its rank: long enough for the members
	// that rank before it to count as dead if they are.
	takeoverAfter = 2
	takeoverFor   = 4 * time.Second
	// minUnexplainedWait and maxUnexplainedWait bound the exponential delay after lists of all objects
	// that showed nothing new, although not each revision of the store is that of a known change: it may
	// be that of an object which is not followed, or which has changed again.
	minUnexplainedWait = time.Second
	maxUnexplainedWait = 4 * time.Second
	// maxSeen bounds the revisions of changes that are kept between two checks.
	maxSeen = 4096
)

// check asks the store whether it has changes that are missing here, loads them, and confirms the state to
// peers. It costs one call if the store's revision is the same as at the last check.
func (f *follower) check(ctx context.Context) {
	begun := f.now()
	f.beginAsk(begun)
	callCtx, cancel := context.WithTimeout(ctx, f.budget().Call())
	defer cancel()
	current, err := f.loadChanges(callCtx)
	if took := f.now().Sub(begun); took > f.budget().Call()+pausedAfter {
		f.confirming.record.Age(took)
	}
	f.endCheck(ctx, begun, current, err)
}

// loadChanges loads the changes that are missing here from the store and returns its revision. After a
// failure it pings the store first, which costs less than a list.
func (f *follower) loadChanges(ctx context.Context) (revision.Revision, error) {
	f.mu.Lock()
	failures := f.confirming.failures
	f.mu.Unlock()
	if failures > 0 {
		if err := f.store.Ping(ctx); err != nil {
			return revision.Revision{}, err
		}
	}
	current, err := f.list(ctx, platform.KindEvacuations)
	if err != nil {
		return revision.Revision{}, err
	}
	if err := f.checkKinds(ctx, current); err != nil {
		return revision.Revision{}, err
	}
	return current, f.checkEras(current)
}

// checkKinds loads the changes up to a revision of the store of all kinds but that of evacuations.
func (f *follower) checkKinds(ctx context.Context, current revision.Revision) error {
	if f.hasAll(current) {
		return nil
	}
	err := f.forKinds(func(kind string) error { return f.recheck(ctx, kind, current) })
	if err != nil || f.hasAll(current) || !f.allowUnexplained() {
		return err
	}
	// The watches of this instance may be stalled, those of the rechecks too.
	var changed atomic.Bool
	err = f.forKinds(func(kind string) error {
		newer, err := f.relist(ctx, kind)
		if newer {
			changed.Store(true)
		}
		return err
	})
	f.endUnexplained(changed.Load())
	return err
}

// forKinds calls load for each kind but that of evacuations at the same time, and returns one of their errors.
func (f *follower) forKinds(load func(kind string) error) error {
	var group errgroup.Group
	for _, kind := range kinds() {
		if kind != platform.KindEvacuations {
			group.Go(func() error { return load(kind) })
		}
	}
	return group.Wait()
}

// recheck loads the changes of a kind by a watch that does not wait for further ones, unless the mirror
// has all up to the revision.
func (f *follower) recheck(ctx context.Context, kind string, current revision.Revision) error {
	f.mu.Lock()
	cursor := f.mirrors[kind].Cursor()
	f.mu.Unlock()
	if !current.After(cursor) {
		return nil
	}
	if cursor.IsZero() { // it is not loaded
		_, err := f.relist(ctx, kind)
		return err
	}
	page, err := f.store.Watch(ctx, kind+"/", cursor, recheckWait)
	if fault.KindOf(err) == fault.Conflict {
		_, err := f.relist(ctx, kind)
		return err
	}
	if err != nil || len(page.Objects) == 0 {
		return err
	}
	f.applyEvents(kind, page, time.Time{})
	f.restartWatch(kind)
	return nil
}

// relist lists a kind and reports whether the mirror has a newer change than before.
func (f *follower) relist(ctx context.Context, kind string) (newer bool, err error) {
	before := f.newestOf(kind)
	if _, err := f.list(ctx, kind); err != nil {
		return false, err
	}
	if f.newestOf(kind) == before {
		return false, nil
	}
	f.restartWatch(kind)
	return true, nil
}

func (f *follower) newestOf(kind string) revision.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirrors[kind].Newest()
}

// restartWatch cancels the watch of a kind under way if there is one: it has not returned a change that
// the store has.
func (f *follower) restartWatch(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watching {
		stalledWatches.Inc()
		f.watches[kind].cancel()
	}
}

// hasAll reports whether the mirrors of all kinds are known to have all changes up to a revision of the
// store.
func (f *follower) hasAll(current revision.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	least := f.leastCursor()
	if !f.allLoaded() || least.Era != current.Era {
		return false
	}
	checked := revision.Max(f.confirming.checked, least)
	if !current.After(checked) {
		return true
	}
	// Each change of an era has a revision of its own.
	return checked.Era == current.Era && f.knownChanges(checked, current) == current.Number-checked.Number
}

// knownChanges counts the revisions after one and up to another of the same era that are those of changes known here. f.mu must be
// held.
func (f *follower) knownChanges(after, upTo revision.Revision) uint64 {
	known := make(map[revision.Revision]bool)
	for _, m := range f.mirrors {
		for _, r := range m.Revisions(after) {
			if !r.After(upTo) {
				known[r] = true
			}
		}
	}
	for r := range f.confirming.seen {
		if r.After(after) && !r.After(upTo) {
			known[r] = true
		}
	}
	return uint64(len(known))
}

// noteSeen records the revisions of changes that the store returned, also of objects that have changed again since.
func (f *follower) noteSeen(objects []platform.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.confirming
	if len(c.seen) > maxSeen {
		clear(c.seen)
	}
	for _, o := range objects {
		if o.Version.After(c.checked) {
			c.seen[o.Version] = true
		}
	}
}

// leastCursor returns the revision up to which the mirrors of all kinds have all changes by their own
// cursors. f.mu must be held.
func (f *follower) leastCursor() revision.Revision {
	least := revision.Revision{Era: math.MaxUint64, Number: math.MaxUint64}
	for _, m := range f.mirrors {
		least = revision.Min(least, m.Cursor())
	}
	return least
}

func (f *follower) allowUnexplained() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.now().Before(f.confirming.unexplainedAt)
}

// endUnexplained records whether lists showed a change that no watch had shown.
func (f *follower) endUnexplained(changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.confirming
	if changed {
		c.unexplainedWait, c.unexplainedAt = 0, time.Time{}
		return
	}
	c.unexplainedWait = min(maxUnexplainedWait, max(minUnexplainedWait, 2*c.unexplainedWait))
	c.unexplainedAt = f.now().Add(c.unexplainedWait)
}

// beginAsk counts a check of an instance that does not watch the store, and logs the first one since a peer
// last confirmed its state.
func (f *follower) beginAsk(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.confirming
	if f.watching {
		return
	}
	c.asks++
	if c.asks > 1 {
		return
	}
	c.askedAt = now
	kind, oldest := c.record.Oldest()
	event.AskBegun.Log(context.Background(), f.log, slog.String("kind", kind),
		slog.Int64("age_ms", now.Sub(oldest.At).Milliseconds()), slog.String("source", oldest.Source))
}

// endAsk logs that the instance no longer has to ask the store for itself, and which peer confirms the state
// now. f.mu must be held.
func (f *follower) endAsk(source string) {
	c := &f.confirming
	if c.asks == 0 {
		return
	}
	event.AskEnded.Log(context.Background(), f.log, slog.String("source", source), slog.Int("asks", c.asks),
		slog.Int64("lasted_ms", f.now().Sub(c.askedAt).Milliseconds()))
	c.asks, c.failures = 0, 0
}

// endCheck records the result of a check that began at an instant and got a revision of the store.
func (f *follower) endCheck(ctx context.Context, begun time.Time, current revision.Revision, err error) {
	f.mu.Lock()
	watching := f.watching
	f.mu.Unlock()
	if err != nil {
		countCheck(watching, "failed")
		f.checkFailed(ctx, err)
		return
	}
	countCheck(watching, "answered")
	f.mu.Lock()
	c := &f.confirming
	c.checked, c.failures, c.retryAt = revision.Max(c.checked, current), 0, time.Time{}
	maps.DeleteFunc(c.seen, func(r revision.Revision, _ bool) bool { return !r.After(c.checked) })
	if c.asks >= takeoverAfter {
		c.takeoverUntil = time.Now().Add(takeoverFor)
	}
	for _, kind := range kinds() {
		c.record.Confirm(kind, begun, freshness.SourceStore)
	}
	c.toldAt = begun
	own := f.ownConfirmation(begun)
	f.showAges()
	f.mu.Unlock()
	f.mesh.Confirm(own, true)
}

// checkFailed records a failed check. An instance that watches the store leaves the next try to
// pingStore.
func (f *follower) checkFailed(ctx context.Context, err error) {
	f.storeFailedUnlessDone(ctx, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.confirming
	wait := min(maxAskDelay, minAskDelay<<min(c.failures, maxDoublings))
	c.failures++
	c.retryAt = f.now().Add(wait/2 + rand.N(wait))
}

// countCheck counts a check by its outcome and by whether the instance watches the store.
func countCheck(watching bool, outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickorydrum_store_checks_total{watching="%t",outcome=%q}`, watching, outcome)).Inc()
}
