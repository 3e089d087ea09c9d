package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/mirror"
	"hickorydrum/period"
)

// run keeps the mirrors up to date until the context is done.
func (f *follower) run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return f.askPeers(ctx) })
	if f.ranBefore {
		group.Go(func() error { return f.loadStale(ctx) })
	}
	for ctx.Err() == nil {
		if !f.mustWatch(time.Now()) {
			f.expire()
			period.Sleep(ctx, roleInterval)
			continue
		}
		f.watchStore(ctx)
	}
	return group.Wait()
}

// glance loads each kind that is not loaded yet from a possibly stale list, which costs the
// store little. After a restart of all instances, callers are thus served before the
// watching instance has loaded and passed on the state.
func (f *follower) loadStale(ctx context.Context) error {
	if !period.Sleep(ctx, staleLoadDelay) {
		return nil
	}
	for _, kind := range kinds() {
		if _, loaded := f.objects(kind); loaded {
			continue
		}
		page, err := f.store.Glance(ctx, kind+"/")
		if err != nil {
			return nil // the watching instances detect and report an outage of the store
		}
		f.applyChange(kind, true, func(m *mirror.Mirror, now time.Time) bool { return m.List(page, now) })
	}
	return nil
}

// mustWatch reports whether this instance has to watch the store: by its rank, or because
// a reported change is missing for longer than behindTimeout, or because it has not
// loaded everything aloneDelay after its start. It also clears a failure of the store that is older
// than failedWatchPause, so that this instance may be chosen again.
func (f *follower) mustWatch(now time.Time) bool {
	f.mu.Lock()
	loaded, behind := f.allLoaded(), false
	for _, kind := range kinds() {
		behind = behind || f.missesChange(kind) && now.Sub(f.watches[kind].missingSince) > behindTimeout
	}
	retry := !f.watching && !f.failedAt.IsZero() && now.Sub(f.failedAt) > failedWatchPause
	if retry {
		f.failedAt = time.Time{}
	}
	f.mu.Unlock()
	if retry {
		f.mesh.SetRefused(false)
	}
	age := now.Sub(f.started)
	return age > roleDelay && f.mesh.Watches() || behind || !loaded && age > aloneDelay
}

// watchStore watches the store for as long as mustWatch says so.
func (f *follower) watchStore(ctx context.Context) {
	storeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setWatching(true)
	defer f.setWatching(false)
	var group errgroup.Group
	for _, kind := range kinds() {
		group.Go(func() error { return f.follow(storeCtx, kind) })
	}
	group.Go(func() error { return f.pingStore(storeCtx) })
	for period.Sleep(ctx, roleInterval) && f.mustWatch(time.Now()) {
	}
	cancel()
	_ = group.Wait() // follow and pulse always return nil
}

// setWatching records, logs and exports whether this instance watches the store.
func (f *follower) setWatching(watching bool) {
	f.mu.Lock()
	f.watching = watching
	f.mu.Unlock()
	if watching {
		storeWatched.Set(1)
		event.WatchBegun.Log(context.Background(), f.log)
		return
	}
	storeWatched.Set(0)
	event.WatchEnded.Log(context.Background(), f.log)
}

// watch runs one watch of a kind from the mirror's cursor and applies what it returns. A
// recheck waits only for recheckWait and marks the missing change as absent if the store
// does not return it. The error is of kind Conflict when the cursor is too old.
func (f *follower) watch(ctx context.Context, kind string) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	cursor, all := f.mirrors[kind].Cursor(), f.watchCtx
	w := f.watches[kind]
	w.cancel = cancel
	recheck, missing := w.recheck, w.missingRevision
	w.recheck = false
	f.mu.Unlock()
	defer context.AfterFunc(all, cancel)()
	wait := watchWait(f.mesh.Watchers()) + time.Duration(rand.Int64N(int64(watchJitter)))
	if recheck {
		wait = recheckWait
	}
	page, err := f.store.Watch(watchCtx, kind+"/", cursor, wait)
	switch {
	case err != nil && watchCtx.Err() != nil:
		return nil
	case err != nil:
		if fault.KindOf(err) != fault.Conflict {
			f.storeFailed(err)
		}
		return err
	}
	f.storeAnswered()
	if len(page.Objects) > 0 {
		f.applyChange(kind, true, func(m *mirror.Mirror, now time.Time) bool { return m.ApplyEvents(page, now) })
		period.Sleep(ctx, batchDelay)
	}
	if recheck {
		f.mu.Lock()
		w.absent, w.absentAt, w.missingRevision = missing, time.Now(), 0
		f.mu.Unlock()
	}
	return nil
}

// watchWait returns the wait of a watch, before the jitter, when so many instances watch the
// store.
func watchWait(instances int) time.Duration {
	return min(maxWatchWait, max(minWatchWait, time.Duration(instances)*watchSpacing))
}

// list loads all objects of a kind from the store.
func (f *follower) list(ctx context.Context, kind string) error {
	page, err := f.store.List(ctx, kind+"/")
	if err != nil {
		f.storeFailedUnlessDone(ctx, err)
		return err
	}
	f.storeAnswered()
	f.applyChange(kind, true, func(m *mirror.Mirror, now time.Time) bool { return m.List(page, now) })
	return nil
}

// follow keeps the mirror of one kind up to date from the store until the context is done.
// It lists the kind if it is not loaded or the cursor is too old, and else watches it.
func (f *follower) follow(ctx context.Context, kind string) error {
	failures := 0
	f.mu.Lock()
	listed := f.mirrors[kind].Cursor() > 0
	f.mu.Unlock()
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = f.list(ctx, kind)
			listed = err == nil
		} else {
			err = f.watch(ctx, kind)
		}
		switch {
		case err == nil:
			failures = 0
		case fault.KindOf(err) == fault.Conflict:
			listed = false
		default:
			failures++
			f.awaitStore(ctx, min(maxRetryDelay, minRetryDelay<<min(failures-1, maxDoublings)))
		}
	}
	return nil
}

// awaitStore waits for the given time, or until an outage of the store ends.
func (f *follower) awaitStore(ctx context.Context, wait time.Duration) {
	f.mu.Lock()
	all := f.watchCtx
	f.mu.Unlock()
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(all, cancel)()
	period.Sleep(waitCtx, wait)
}

// storeFailedUnlessDone records a failed call to the store, unless this instance canceled
// the context of the call.
func (f *follower) storeFailedUnlessDone(ctx context.Context, err error) {
	if ctx.Err() == nil {
		f.storeFailed(err)
	}
}

// pulse sends pulses to the store, so that an outage is detected while the watches wait, and
// drops entries whose retention is over.
func (f *follower) pingStore(ctx context.Context) error {
	for period.Sleep(ctx, f.pingWait()) {
		call, cancel := context.WithTimeout(ctx, pingTimeout)
		err := f.store.Pulse(call)
		cancel()
		if err != nil {
			f.storeFailedUnlessDone(ctx, err)
		} else {
			f.storeAnswered()
		}
		f.expire()
	}
	return nil
}

// pulseWait returns the time until the next pulse.
func (f *follower) pingWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outageSince.IsZero() {
		return pingInterval
	}
	return outagePingInterval
}
