package hosted

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/gossip"
	"hickorydrum/mirror"
	"hickorydrum/period"
	"hickorydrum/platform"
)

const (
	// watchEach is how often one of all watching instances begins a watch of a kind anew:
	// that bounds for how long a change can be missed by all. Each watch waits for its
	// part of that, within the least and the most, and up to watchJitter longer, so that
	// the instances' watches do not end together.
	watchEach   = time.Second
	watchLeast  = 5 * time.Second
	watchMost   = 20 * time.Second
	watchJitter = 2 * time.Second
	// missedAfter is for how long a change that a peer knows may be missing here
	// before the watch counts as deaf, and checkWait is how long the next one waits.
	missedAfter = 400 * time.Millisecond
	checkWait   = 50 * time.Millisecond
	// checkedFor is for how long a change that the store did not tell is not asked for.
	checkedFor = 10 * time.Second
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
	// roleEvery is how often an instance finds out whether it watches the store.
	roleEvery = 100 * time.Millisecond
	// roleAfter is how long an instance waits after its start for others before it
	// watches by its rank, and aloneAfter until it does in any case if nobody told it
	// anything.
	roleAfter  = 250 * time.Millisecond
	aloneAfter = 2500 * time.Millisecond
	// glanceAfter is how long an instance waits after its start for a peer that tells what
	// there is, before it takes a glance at the store.
	glanceAfter = 50 * time.Millisecond
	// behindAfter is for how long a change that a peer knows may be missing here before
	// an instance asks the store whatever its rank.
	behindAfter = 1200 * time.Millisecond
	// refusedFor is for how long an instance whose calls fail leaves the watch to others.
	refusedFor = 5 * time.Second
)

// Store is the part of the platform's client that following needs.
type Store interface {
	List(ctx context.Context, prefix string) (platform.Page, error)
	Glance(ctx context.Context, prefix string) (platform.Page, error)
	Watch(ctx context.Context, prefix string, cursor uint64, wait time.Duration) (platform.Page, error)
	Pulse(ctx context.Context) error
}

// others are the other instances, as following needs them.
type others interface {
	// Watches reports whether this instance watches the store for its failure domain.
	Watches() bool
	// Watchers returns how many instances watch the store.
	Watchers() int
	// Peers returns the addresses of other instances, the nearest first.
	Peers() []netip.Addr
	// SetRefused tells the others whether the store answers this instance.
	SetRefused(refused bool)
	// Know sets which changes this instance knows, and Announce also tells the others of
	// the failure domain at once, and if far is set some in others.
	Know(newest []uint64)
	Announce(newest []uint64, far bool)
}

// follower keeps the mirrors up to date: from the store if this instance watches it for
// its failure domain, and else from instances that know more.
type follower struct {
	store    Store
	others   others
	client   *http.Client
	port     uint16 // of the control addresses
	log      *slog.Logger
	onChange func(kind string)
	begun    time.Time
	// restarted states that the fleet has run before, so that callers may be waiting.
	restarted bool
	wake      chan struct{} // an instance knows more

	mu        sync.Mutex
	mirrors   map[string]*mirror.Mirror
	watches   map[string]*watch
	teller    gossip.News // the last one that knew more
	watching  bool
	awaySince time.Time // zero while the store answers
	failedAt  time.Time // when the last call to the store failed
	restart   context.Context
	cancel    context.CancelFunc // ends the watches under way
	states    map[string][]byte  // by cursors, what peers were told since the last change
}

// watch is the watch of one kind under way.
type watch struct {
	cancel context.CancelFunc
	// missing is the newest change that a peer knows and this instance does not, since
	// missingAt.
	missing   uint64
	missingAt time.Time
	check     bool // the next watch only asks what was missed
	// checked is the newest change that a peer named and the store did not tell when it was
	// asked at checkedAt.
	checked   uint64
	checkedAt time.Time
}

// kinds lists what is followed.
func kinds() []string {
	return []string{platform.KindConfiguration, platform.KindEvacuations, platform.KindUpstreams}
}

func newFollower(store Store, others others, port uint16, log *slog.Logger, onChange func(kind string)) *follower {
	f := &follower{
		store: store, others: others, port: port, log: log, onChange: onChange, begun: time.Now(),
		mirrors: make(map[string]*mirror.Mirror), watches: make(map[string]*watch), wake: make(chan struct{}, 1),
		client: &http.Client{Timeout: peerTimeout, Transport: &http.Transport{
			DisableCompression: true, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		states: make(map[string][]byte),
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

var (
	storeAway    = metrics.GetOrCreateCounter(`hickorydrum_store_outages_total`)
	storeWatched = metrics.GetOrCreateGauge(`hickorydrum_store_watched`, nil)
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
			period.Pause(ctx, roleEvery)
			continue
		}
		f.lead(ctx)
	}
	return group.Wait()
}

// glance takes what the store tells cheaply until peers or the watching instance know it
// all. When all instances have started anew, callers need not wait for those that watch.
func (f *follower) glance(ctx context.Context) error {
	if !period.Pause(ctx, glanceAfter) {
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
	known, behind := true, false
	for _, kind := range kinds() {
		known = known && f.mirrors[kind].Cursor() > 0
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

// missing reports whether a peer knows a change of a kind that is not known here. The
// lock is held.
func (f *follower) missing(kind string) bool {
	return f.watches[kind].missing > f.mirrors[kind].Newest()
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
	for period.Pause(ctx, roleEvery) && f.mustWatch(time.Now()) {
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

// failed notes that the store did not answer.
func (f *follower) failed(err error) {
	f.mu.Lock()
	f.failedAt = time.Now()
	first := f.awaySince.IsZero()
	newest := f.newest()
	if first {
		f.awaySince = f.failedAt
		storeAway.Inc()
	}
	f.mu.Unlock()
	if first {
		f.others.SetRefused(true)
		f.others.Announce(newest, false)
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
	f.awaySince, f.failedAt = time.Time{}, time.Time{}
	now := time.Now()
	for _, m := range f.mirrors {
		m.Returned(now)
	}
	f.cancel()
	f.restart, f.cancel = context.WithCancel(context.Background())
	f.mu.Unlock()
	f.others.SetRefused(false)
	event.WatchBack.Log(context.Background(), f.log, slog.Duration("away", now.Sub(away)))
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
	period.Pause(waitCtx, wait)
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

// failedUnless notes a failed call, unless this instance itself ended it.
func (f *follower) failedUnless(ctx context.Context, err error) {
	if ctx.Err() == nil {
		f.failed(err)
	}
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
		period.Pause(ctx, gather)
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

// newest returns the revision of the last known change of each kind. The lock is held.
func (f *follower) newest() []uint64 {
	var out []uint64
	for _, kind := range kinds() {
		out = append(out, f.mirrors[kind].Newest())
	}
	return out
}

// news takes in which changes a peer knows. An instance that watches the store gives its
// watch some time to tell them: if it does not it is deaf and begins anew. Others ask the
// peer.
func (f *follower) news(n gossip.News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	more := false
	for i, kind := range kinds() {
		w, m := f.watches[kind], f.mirrors[kind]
		if i >= len(n.Newest) || n.Newest[i] <= m.Newest() {
			continue
		}
		if n.Newest[i] <= w.checked && now.Sub(w.checkedAt) < checkedFor {
			continue // the store was asked, and there is no such change
		}
		more = true
		if w.missing <= m.Newest() {
			w.missingAt = now
		}
		w.missing = max(w.missing, n.Newest[i])
		if f.watching && m.Cursor() > 0 && now.Sub(w.missingAt) > missedAfter && !w.check {
			w.missingAt, w.check = now, true
			deafWatches.Inc()
			w.cancel()
		}
	}
	if !more || f.watching && f.known() {
		return
	}
	f.teller = n
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// known reports whether something is known of each kind. The lock is held.
func (f *follower) known() bool {
	for _, m := range f.mirrors {
		if m.Cursor() == 0 {
			return false
		}
	}
	return true
}

var deafWatches = metrics.GetOrCreateCounter(`hickorydrum_store_deaf_watches_total`)

// change applies a change to a mirror and passes it on. The others of the failure domain
// are told at once if they may not know it.
func (f *follower) change(kind string, announce bool, apply func(m *mirror.Mirror, now time.Time) bool) {
	f.mu.Lock()
	before, first := f.mirrors[kind].Newest(), f.mirrors[kind].Cursor() == 0
	changed := apply(f.mirrors[kind], time.Now())
	newest := f.newest()
	news := f.mirrors[kind].Newest() > before
	if changed || news {
		clear(f.states)
	}
	f.mu.Unlock()
	switch {
	case news && announce:
		f.others.Announce(newest, first)
	case news:
		f.others.Know(newest)
	}
	if changed {
		f.onChange(kind)
	}
}

// expire drops entries whose hold is over.
func (f *follower) expire() {
	f.change(platform.KindUpstreams, false, func(m *mirror.Mirror, now time.Time) bool { return m.Expire(now) })
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
	for period.Pause(ctx, f.pulseWait()) {
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
