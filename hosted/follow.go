package hosted

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/mirror"
	"hickorydrum/period"
	"hickorydrum/platform"
)

const (
	// watchEach is how often one of all instances begins a watch of a kind anew: that
	// bounds for how long a change can be missed by all. Each watch waits for its part
	// of that, within the least and the most, and up to watchJitter longer, so that the
	// instances' watches do not end together.
	watchEach   = time.Second
	watchLeast  = 5 * time.Second
	watchMost   = 20 * time.Second
	watchJitter = 2 * time.Second
	// missedAfter is for how long a change that a peer knows may be missing here
	// before the watch counts as deaf, and checkWait is how long the next one waits.
	missedAfter = 400 * time.Millisecond
	checkWait   = 50 * time.Millisecond
	// gather is how long changes are gathered between two watches of a kind.
	gather = 800 * time.Millisecond
	// pulseEvery and pulseTimeout find out whether the store still answers.
	pulseEvery   = time.Second
	pulseTimeout = 600 * time.Millisecond
	// firstRetry and mostRetry bound how long a follower waits after a failed call,
	// unless a pulse is answered before.
	firstRetry   = 100 * time.Millisecond
	mostRetry    = 3 * time.Second
	maxDoublings = 5
	// awayPulseEvery is how often an outage is found to be over.
	awayPulseEvery = 500 * time.Millisecond
	// holdLapsed is how long entries that went missing during an outage of the store
	// are kept after its return.
	holdLapsed = 2 * time.Second
)

// Store is the part of the platform's client that following needs.
type Store interface {
	List(ctx context.Context, prefix string) (platform.Page, error)
	Watch(ctx context.Context, prefix string, cursor uint64, wait time.Duration) (platform.Page, error)
	Pulse(ctx context.Context) error
}

// follower keeps the mirrors up to date, from the store or, while it is away,
// from peers.
type follower struct {
	store     Store
	peers     func() []string
	instances func() int
	client    *http.Client
	log       *slog.Logger
	onChange  func(kind string)

	mu        sync.Mutex
	mirrors   map[string]*mirror.Mirror
	watches   map[string]*watch
	awaySince time.Time // zero while the store answers
	restart   context.Context
	cancel    context.CancelFunc // ends the watches under way
}

// watch is the watch of one kind under way.
type watch struct {
	cancel context.CancelFunc
	// missing is the newest change that a peer knows and this instance does not, since
	// missingAt.
	missing   uint64
	missingAt time.Time
	check     bool // the next watch only asks what was missed
}

// kinds lists what is followed.
func kinds() []string {
	return []string{platform.KindConfiguration, platform.KindEvacuations, platform.KindUpstreams}
}

func newFollower(
	store Store, peers func() []string, instances func() int, log *slog.Logger, onChange func(kind string),
) *follower {
	f := &follower{
		store: store, peers: peers, instances: instances, log: log, onChange: onChange, mirrors: make(map[string]*mirror.Mirror),
		watches: make(map[string]*watch),
		client:  &http.Client{Timeout: peerTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, kind := range kinds() {
		f.mirrors[kind] = mirror.New(kind)
		f.watches[kind] = &watch{cancel: func() {}}
	}
	f.mirrors[platform.KindUpstreams] = mirror.New(platform.KindUpstreams, mirror.WithHold(holdLapsed))
	f.restart, f.cancel = context.WithCancel(context.Background())
	return f
}

// objects returns what is known of a kind, and whether anything is.
func (f *follower) objects(kind string) ([]platform.Object, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mirrors[kind]
	return m.Objects(), m.Cursor() > 0
}

var storeAway = metrics.GetOrCreateCounter(`hickorydrum_store_outages_total`)

// failed notes that the store did not answer.
func (f *follower) failed(err error) {
	f.mu.Lock()
	first := f.awaySince.IsZero()
	if first {
		f.awaySince = time.Now()
		storeAway.Inc()
	}
	f.mu.Unlock()
	if first {
		event.WatchFailed.Log(context.Background(), f.log, slog.String("error", err.Error()))
	}
}

// answered notes that the store answers. After an outage, every watch begins anew:
// its connection may have lost an answer.
func (f *follower) answered() {
	f.mu.Lock()
	away := f.awaySince
	if away.IsZero() {
		f.mu.Unlock()
		return
	}
	f.awaySince = time.Time{}
	now := time.Now()
	for _, m := range f.mirrors {
		m.Returned(now)
	}
	f.cancel()
	f.restart, f.cancel = context.WithCancel(context.Background())
	f.mu.Unlock()
	event.WatchBack.Log(context.Background(), f.log, slog.Duration("away", now.Sub(away)))
}

// follow keeps the mirror of one kind up to date.
func (f *follower) follow(ctx context.Context, kind string) error {
	failures := 0
	listed := false
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
	period.Pause(waitCtx, wait)
}

func (f *follower) list(ctx context.Context, kind string) error {
	page, err := f.store.List(ctx, kind+"/")
	if err != nil {
		f.failed(err)
		return err
	}
	f.answered()
	f.change(kind, func(m *mirror.Mirror, now time.Time) bool { return m.List(page, now) })
	return nil
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
	wait := watchWait(f.instances()) + time.Duration(rand.Int64N(int64(watchJitter)))
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
		f.change(kind, func(m *mirror.Mirror, now time.Time) bool { return m.Events(page, now) })
		period.Pause(ctx, gather)
	}
	if check {
		f.mu.Lock()
		f.mirrors[kind].Verified(missing)
		f.mu.Unlock()
	}
	return nil
}

// watchWait returns how long a watch waits among so many instances.
func watchWait(instances int) time.Duration {
	return min(watchMost, max(watchLeast, time.Duration(instances)*watchEach))
}

// newest returns the revision of the last known change of each kind.
func (f *follower) newest() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []uint64
	for _, kind := range kinds() {
		out = append(out, f.mirrors[kind].Newest())
	}
	return out
}

// news takes in which changes a peer knows. A watch that does not tell one of them
// in time is deaf and begins anew.
func (f *follower) news(newest []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for n, kind := range kinds() {
		w, m := f.watches[kind], f.mirrors[kind]
		switch {
		case n >= len(newest) || newest[n] <= m.Newest() || m.Cursor() == 0:
		case w.missing <= m.Newest():
			w.missing, w.missingAt = newest[n], now
		case now.Sub(w.missingAt) > missedAfter && !w.check:
			w.missing = max(w.missing, newest[n])
			w.missingAt, w.check = now, true
			deafWatches.Inc()
			w.cancel()
		}
	}
}

var deafWatches = metrics.GetOrCreateCounter(`hickorydrum_store_deaf_watches_total`)

// change applies a change to a mirror and passes it on.
func (f *follower) change(kind string, apply func(m *mirror.Mirror, now time.Time) bool) {
	f.mu.Lock()
	changed := apply(f.mirrors[kind], time.Now())
	f.mu.Unlock()
	if changed {
		f.onChange(kind)
	}
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

// pulse asks the store for something small at an interval, so that an outage is
// noticed while the watches wait, and drops entries whose hold is over.
func (f *follower) pulse(ctx context.Context) error {
	for ctx.Err() == nil {
		period.Pause(ctx, f.pulseWait())
		call, cancel := context.WithTimeout(ctx, pulseTimeout)
		err := f.store.Pulse(call)
		cancel()
		if err != nil {
			f.failed(err)
		} else {
			f.answered()
		}
		f.change(platform.KindUpstreams, func(m *mirror.Mirror, now time.Time) bool { return m.Expire(now) })
	}
	return nil
}
