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
	roleEvery = 250 * time.Millisecond
	// roleAfter is how long an instance waits after its start for others before it
	// watches by its rank, and aloneAfter until it does in any case if nobody told it
	// anything.
	roleAfter  = 200 * time.Millisecond
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
	teller    gossip.RevisionNotice // the last one that knew more
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

// missing reports whether a peer knows a change of a kind that is not known here. The
// lock is held.
func (f *follower) missing(kind string) bool {
	return f.watches[kind].missing > f.mirrors[kind].Newest()
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
func (f *follower) news(n gossip.RevisionNotice) {
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
