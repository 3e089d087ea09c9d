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

// run follows until the context is done.
func (f *follower) run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return f.askPeers(ctx) })
	if f.restarted {
		group.Go(func() error { return f.glance(ctx) })
	}
	for ctx.Err() == nil {
		if !f.mustWatch(time.Now()) {
			f.expire()
			period.Sleep(ctx, roleEvery)
			continue
		}
		f.lead(ctx)
	}
	return group.Wait()
}

// glance takes what the store tells cheaply until peers or the watching instance know it
// all. When all instances have started anew, callers need not wait for those that watch.
func (f *follower) glance(ctx context.Context) error {
	if !period.Sleep(ctx, glanceAfter) {
		return nil
	}
	for _, kind := range kinds() {
		if _, known := f.objects(kind); known {
			continue
		}
		page, err := f.store.Glance(ctx, kind+"/")
		if err != nil {
			return nil // the store is away: those that watch find out
		}
		f.change(kind, true, func(m *mirror.Mirror, now time.Time) bool { return m.List(page, now) })
	}
	return nil
}

// mustWatch reports whether this instance watches the store.
func (f *follower) mustWatch(now time.Time) bool {
	f.mu.Lock()
	known, behind := f.known(), false
	for _, kind := range kinds() {
		behind = behind || f.missing(kind) && now.Sub(f.watches[kind].missingAt) > behindAfter
	}
	retries := !f.watching && !f.failedAt.IsZero() && now.Sub(f.failedAt) > refusedFor
	if retries {
		f.failedAt = time.Time{}
	}
	f.mu.Unlock()
	if retries {
		f.others.SetRefused(false)
	}
	age := now.Sub(f.begun)
	return age > roleAfter && f.others.Watches() || behind || !known && age > aloneAfter
}

// lead watches the store for as long as this instance has to.
func (f *follower) lead(ctx context.Context) {
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setWatching(true)
	defer f.setWatching(false)
	var group errgroup.Group
	for _, kind := range kinds() {
		group.Go(func() error { return f.follow(leadCtx, kind) })
	}
	group.Go(func() error { return f.pulse(leadCtx) })
	for period.Sleep(ctx, roleEvery) && f.mustWatch(time.Now()) {
	}
	cancel()
	_ = group.Wait() // the followers end without an error
}

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

func (f *follower) watch(ctx context.Context, kind string) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	cursor, restart := f.mirrors[kind].Cursor(), f.restart
	w := f.watches[kind]
	w.cancel = cancel
	check, missing := w.check, w.missing
	w.check = false
	f.mu.Unlock()
	defer context.AfterFunc(restart, cancel)()
	wait := watchWait(f.others.Watchers()) + time.Duration(rand.Int64N(int64(watchJitter)))
	if check {
		wait = checkWait
	}
	page, err := f.store.Watch(watchCtx, kind+"/", cursor, wait)
	switch {
	case err != nil && watchCtx.Err() != nil:
		return nil
	case err != nil:
		if fault.KindOf(err) != fault.Conflict {
			f.failed(err)
		}
		return err
	}
	f.answered()
	if len(page.Objects) > 0 {
		f.change(kind, true, func(m *mirror.Mirror, now time.Time) bool { return m.Events(page, now) })
		period.Sleep(ctx, gather)
	}
	if check {
		f.mu.Lock()
		w.checked, w.checkedAt, w.missing = missing, time.Now(), 0
		f.mu.Unlock()
	}
	return nil
}

// watchWait returns how long a watch waits among so many instances that watch.
func watchWait(instances int) time.Duration {
	return min(watchMost, max(watchLeast, time.Duration(instances)*watchEach))
}

func (f *follower) list(ctx context.Context, kind string) error {
	page, err := f.store.List(ctx, kind+"/")
	if err != nil {
		f.failedUnless(ctx, err)
		return err
	}
	f.answered()
	f.change(kind, true, func(m *mirror.Mirror, now time.Time) bool { return m.List(page, now) })
	return nil
}

// follow keeps the mirror of one kind up to date from the store.
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
			f.awaitStore(ctx, min(mostRetry, firstRetry<<min(failures-1, maxDoublings)))
		}
	}
	return nil
}

// awaitStore waits for a time, or until the store answers after it was away.
func (f *follower) awaitStore(ctx context.Context, wait time.Duration) {
	f.mu.Lock()
	restart := f.restart
	f.mu.Unlock()
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(restart, cancel)()
	period.Sleep(waitCtx, wait)
}

// failedUnless notes a failed call, unless this instance itself ended it.
func (f *follower) failedUnless(ctx context.Context, err error) {
	if ctx.Err() == nil {
		f.failed(err)
	}
}

// pulse asks the store for something small at an interval, so that an outage is
// noticed while the watches wait, and drops entries whose hold is over.
func (f *follower) pulse(ctx context.Context) error {
	for period.Sleep(ctx, f.pulseWait()) {
		call, cancel := context.WithTimeout(ctx, pulseTimeout)
		err := f.store.Pulse(call)
		cancel()
		if err != nil {
			f.failedUnless(ctx, err)
		} else {
			f.answered()
		}
		f.expire()
	}
	return nil
}

// pulseWait returns how long to wait for the next pulse.
func (f *follower) pulseWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.awaySince.IsZero() {
		return pulseEvery
	}
	return awayPulseEvery
}
