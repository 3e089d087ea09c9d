package hosted

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/event"
	"hickorydrum/gossip"
	"hickorydrum/mirror"
	"hickorydrum/platform"
)

const (
	// watchSpacing is the intended time between two starts of a watch of one kind among all
	// instances that watch the store. While every watch under way is stalled, the gap between
	// two starts bounds how long a change stays unnoticed. The wait of one watch is watchSpacing
	// times the number of watching instances, between minWatchWait and maxWatchWait, plus a
	// random time of up to watchJitter so that the watches of different instances do not end
	// together.
	watchSpacing = time.Second
	minWatchWait = 5 * time.Second
	maxWatchWait = 20 * time.Second
	watchJitter  = 2 * time.Second
	// stallTimeout is how long a change that a peer reports may be missing here before the
	// watch under way counts as stalled. recheckWait is the wait of the watch that follows.
	stallTimeout = 400 * time.Millisecond
	recheckWait  = 50 * time.Millisecond
	// absentFor is how long a change is not asked for again after a recheck of the store did
	// not return it.
	absentFor = 10 * time.Second
	// batchDelay is the pause after a watch that returned changes, so that further changes
	// are returned together.
	batchDelay = 800 * time.Millisecond
	// pulseInterval is the time between two pulses, the cheap calls that detect an outage of
	// the store, and pulseTimeout is the timeout of one.
	pingInterval = time.Second
	pingTimeout  = 600 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential delay after a failed call, which
	// doubles at most maxDoublings times. A pulse that is answered ends the delay early.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 3 * time.Second
	maxDoublings  = 5
	// outagePulseInterval is the time between two pulses during an outage of the store.
	outagePingInterval = 500 * time.Millisecond
	// missingRetention is how long upstream entries that went missing during an outage of the
	// store are retained after its recovery.
	entryRetention = 2 * time.Second
	// roleInterval is how often an instance checks whether it has to watch the store.
	roleInterval = 250 * time.Millisecond
	// roleDelay is how long a starting instance waits for the heartbeats of others before it
	// lets its rank decide whether it watches the store. aloneDelay is how long it waits for the
	// state from a peer before it watches the store whatever its rank.
	roleDelay  = 200 * time.Millisecond
	aloneDelay = 2500 * time.Millisecond
	// glanceDelay is how long a starting instance waits for a peer to send the state before it
	// reads possibly stale lists from the store.
	staleLoadDelay = 50 * time.Millisecond
	// behindTimeout is how long a change that a peer reports may be missing here before an
	// instance watches the store whatever its rank.
	behindTimeout = 1200 * time.Millisecond
	// failedWatchPause is how long an instance whose calls to the store failed leaves the watch
	// to other instances.
	failedWatchPause = 5 * time.Second
)

// Store is the part of the platform's client that a follower uses. Glance is a List that
// may be some seconds out of date and costs the store little; Pulse only checks that the
// store answers.
type Store interface {
	List(ctx context.Context, prefix string) (platform.Page, error)
	Glance(ctx context.Context, prefix string) (platform.Page, error)
	Watch(ctx context.Context, prefix string, cursor uint64, wait time.Duration) (platform.Page, error)
	Pulse(ctx context.Context) error
}

// peerMesh is the part of gossip.Mesh that a follower uses to coordinate with other instances.
type peerMesh interface {
	// Watches reports whether this instance has to watch the store for its failure domain.
	Watches() bool
	// Watchers returns the number of instances that watch the store.
	Watchers() int
	// Peers returns the addresses of other instances, the nearest first.
	Peers() []netip.Addr
	// SetRefused tells the other instances whether the store refuses or fails the calls of
	// this one.
	SetRefused(refused bool)
	// Know sets the revisions of the last changes, by kind, that the next heartbeats carry.
	// Announce also sends them at once to the other instances of the failure domain, and if
	// far is set to one instance of each other failure domain.
	Know(newest []uint64)
	Announce(newest []uint64, far bool)
}

// follower keeps a mirror of each followed kind up to date: from the store if this instance
// watches it for its failure domain, and otherwise from instances that have newer changes.
type follower struct {
	store    Store
	mesh     peerMesh
	client   *http.Client
	port     uint16 // of the control addresses of all instances
	log      *slog.Logger
	onChange func(kind string)
	started  time.Time
	// restarted reports that the fleet has run before, so callers may be waiting already.
	ranBefore bool
	wake      chan struct{} // receives when a peer reports changes that are missing here

	mu            sync.Mutex
	mirrors       map[string]*mirror.Mirror
	watches       map[string]*watch
	source        gossip.RevisionNotice // the last peer that reported changes missing here
	watching      bool
	outageSince   time.Time          // start of the current outage of the store, zero while it answers
	failedAt      time.Time          // time of the last failed call to the store, zero if none counts
	watchCtx      context.Context    // canceled to end all watches under way, and replaced then
	cancelWatches context.CancelFunc // cancels watchCtx
	stateCache    map[string][]byte  // encoded states for peers by their cursors, cleared by each change
}

// watch is the state of the watch of one kind.
type watch struct {
	cancel context.CancelFunc // ends the watch under way
	// missing is the revision of the newest change that a peer reported and that was not here,
	// missing since missingAt. It counts while it exceeds the mirror's newest change.
	missingRevision uint64
	missingSince    time.Time
	recheck         bool // the next watch only rechecks the store for the missing change
	// absent is the newest revision that a peer reported and that a recheck of the store at
	// absentAt did not return.
	absent   uint64
	absentAt time.Time
}

// kinds returns the followed kinds, in the order in which messages between instances list them.
func kinds() []string {
	return []string{platform.KindConfiguration, platform.KindEvacuations, platform.KindUpstreams}
}

// newFollower returns a follower with empty mirrors. It calls onChange, without holding its
// lock, after each change of the objects of a kind.
func newFollower(store Store, mesh peerMesh, port uint16, log *slog.Logger, onChange func(kind string)) *follower {
	f := &follower{
		store: store, mesh: mesh, port: port, log: log, onChange: onChange, started: time.Now(),
		mirrors: make(map[string]*mirror.Mirror), watches: make(map[string]*watch), wake: make(chan struct{}, 1),
		client: &http.Client{Timeout: peerTimeout, Transport: &http.Transport{
			DisableCompression: true, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		stateCache: make(map[string][]byte),
	}
	for _, kind := range kinds() {
		f.mirrors[kind] = mirror.New(kind)
		f.watches[kind] = &watch{cancel: func() {}}
	}
	f.mirrors[platform.KindUpstreams] = mirror.New(platform.KindUpstreams, mirror.WithRetention(entryRetention))
	f.watchCtx, f.cancelWatches = context.WithCancel(context.Background())
	return f
}

// objects returns the objects of a kind, and whether the kind has been loaded at all.
func (f *follower) objects(kind string) ([]platform.Object, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mirrors[kind]
	return m.Objects(), m.Cursor() > 0
}

var (
	storeOutages = metrics.GetOrCreateCounter(`hickorydrum_store_outages_total`)
	storeWatched = metrics.GetOrCreateGauge(`hickorydrum_store_watched`, nil)
)

// missing reports whether a peer has reported a change of a kind that is not in the mirror.
// The lock is held.
func (f *follower) missesChange(kind string) bool {
	return f.watches[kind].missingRevision > f.mirrors[kind].Newest()
}

// storeFailed records a failed call to the store. The first one starts an outage: the other
// instances are notified at once, so that one of them can take over the watch.
func (f *follower) storeFailed(err error) {
	f.mu.Lock()
	f.failedAt = time.Now()
	first := f.outageSince.IsZero()
	newest := f.newest()
	if first {
		f.outageSince = f.failedAt
		storeOutages.Inc()
	}
	f.mu.Unlock()
	if first {
		f.mesh.SetRefused(true)
		f.mesh.Announce(newest, false)
		event.WatchFailed.Log(context.Background(), f.log, slog.String("error", err.Error()))
	}
}

// storeAnswered records that the store answered. At the end of an outage it starts the
// retention of missing objects and cancels all watches, since their connections may have
// lost an answer.
func (f *follower) storeAnswered() {
	f.mu.Lock()
	since := f.outageSince
	if since.IsZero() {
		f.mu.Unlock()
		return
	}
	f.outageSince, f.failedAt = time.Time{}, time.Time{}
	now := time.Now()
	for _, m := range f.mirrors {
		m.StartRetention(now)
	}
	f.cancelWatches()
	f.watchCtx, f.cancelWatches = context.WithCancel(context.Background())
	f.mu.Unlock()
	f.mesh.SetRefused(false)
	event.WatchRecovered.Log(context.Background(), f.log, slog.Duration("away", now.Sub(since)))
}

// newest returns the revision of the last change of each kind, in the order of kinds. The
// lock is held.
func (f *follower) newest() []uint64 {
	var out []uint64
	for _, kind := range kinds() {
		out = append(out, f.mirrors[kind].Newest())
	}
	return out
}

// handleNotice handles a peer's report of the last changes that it has. If this instance
// watches the store, its watch may still return a missing change: only after stallTimeout
// is the watch treated as stalled and replaced by a recheck. Otherwise askPeers is woken to
// fetch the change from the peer.
func (f *follower) handleNotice(n gossip.RevisionNotice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	more := false
	for i, kind := range kinds() {
		w, m := f.watches[kind], f.mirrors[kind]
		if i >= len(n.Newest) || n.Newest[i] <= m.Newest() {
			continue
		}
		if n.Newest[i] <= w.absent && now.Sub(w.absentAt) < absentFor {
			continue // a recheck showed that the store has no such change
		}
		more = true
		if w.missingRevision <= m.Newest() {
			w.missingSince = now
		}
		w.missingRevision = max(w.missingRevision, n.Newest[i])
		if f.watching && m.Cursor() > 0 && now.Sub(w.missingSince) > stallTimeout && !w.recheck {
			w.missingSince, w.recheck = now, true
			stalledWatches.Inc()
			w.cancel()
		}
	}
	if !more || f.watching && f.allLoaded() {
		return
	}
	f.source = n
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// allLoaded reports whether every kind has been loaded. The lock is held.
func (f *follower) allLoaded() bool {
	for _, m := range f.mirrors {
		if m.Cursor() == 0 {
			return false
		}
	}
	return true
}

var stalledWatches = metrics.GetOrCreateCounter(`hickorydrum_store_deaf_watches_total`)

// applyChange applies a change to the mirror of a kind and calls onChange if the objects
// changed. If the mirror has a newer change than before, the other instances get the new
// revisions: at once if announce is set, else with the next heartbeats. The first load of a
// kind is announced to other failure domains too.
func (f *follower) applyChange(kind string, announce bool, apply func(m *mirror.Mirror, now time.Time) bool) {
	f.mu.Lock()
	before, first := f.mirrors[kind].Newest(), f.mirrors[kind].Cursor() == 0
	changed := apply(f.mirrors[kind], time.Now())
	newest := f.newest()
	newer := f.mirrors[kind].Newest() > before
	if changed || newer {
		clear(f.stateCache)
	}
	f.mu.Unlock()
	switch {
	case newer && announce:
		f.mesh.Announce(newest, first)
	case newer:
		f.mesh.Know(newest)
	}
	if changed {
		f.onChange(kind)
	}
}

// expire drops upstream entries whose retention is over.
func (f *follower) expire() {
	f.applyChange(platform.KindUpstreams, false, func(m *mirror.Mirror, now time.Time) bool { return m.Expire(now) })
}
