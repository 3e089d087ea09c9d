package hosted

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/gossip"
	"hickorydrum/platform"
	"hickorydrum/revision"
	"hickorydrum/standin"
)

// stalledStore is a store whose watches return no events while it is stalled.
type stalledStore struct {
	*standin.Store

	mu      sync.Mutex
	stalled bool
}

func (s *stalledStore) setStalled(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = stalled
}

func (s *stalledStore) List(ctx context.Context, prefix string) (platform.Page, error) {
	return s.Client().List(ctx, prefix)
}

// Watch decides at its start whether it is stalled. A stalled watch returns the store's
// revision without events when its wait is over.
func (s *stalledStore) Watch(ctx context.Context, prefix string, cursor revision.Revision, wait time.Duration) (platform.Page, error) {
	s.mu.Lock()
	stalled := s.stalled
	s.mu.Unlock()
	if !stalled {
		return s.Client().Watch(ctx, prefix, cursor, wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return platform.Page{}, ctx.Err()
	case <-timer.C:
		page, err := s.List(ctx, prefix)
		return platform.Page{Cursor: page.Cursor}, err
	}
}

// ListStale returns an up-to-date list.
func (s *stalledStore) ListStale(ctx context.Context, prefix string) (platform.Page, error) {
	return s.List(ctx, prefix)
}

// Ping always succeeds.
func (s *stalledStore) Ping(context.Context) error { return nil }

// firstEra returns a revision of the first era of a stand-in for the store.
func firstEra(number uint64) revision.Revision { return revision.Revision{Era: 2, Number: number} }

// TestStalledWatch guards against a change that stays unnoticed because the watch under way is
// stalled and never returns it. When a peer still reports the change after stallTimeout, the
// watch must be replaced, and not again for the same change.
func TestStalledWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &stalledStore{Store: standin.NewStore()}
		put := func(key string) uint64 {
			t.Helper()
			version, err := store.Put(t.Context(), key, []byte("{}"), 0)
			if err != nil {
				t.Fatal(err)
			}
			return version
		}
		put(platform.KindEvacuations + "/a")
		var changes int
		f := newFollower(store, &soloMesh{}, 1, slog.New(slog.DiscardHandler), func(string) { changes++ })
		f.setWatching(true)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		store.setStalled(true)
		group.Go(func() error { return f.follow(ctx, platform.KindEvacuations) })
		synctest.Wait()
		version := put(platform.KindEvacuations + "/b")
		store.setStalled(false)
		newest := make([]revision.Revision, len(kinds()))
		for i, kind := range kinds() {
			if kind == platform.KindEvacuations {
				newest[i] = firstEra(version)
			}
		}
		for range 3 {
			f.handleNotice(gossip.RevisionNotice{Newest: newest})
			time.Sleep(f.budget().Missing() + time.Millisecond)
		}
		synctest.Wait()
		if objects, _ := f.objects(platform.KindEvacuations); len(objects) != 2 || changes != 2 {
			t.Errorf("%d objects are loaded after %d changes, want 2 after 2", len(objects), changes)
		}
		// A peer that reports revisions which the store does not have must cost one recheck, not
		// one at each heartbeat.
		newest = append([]revision.Revision(nil), newest...)
		for i := range newest {
			newest[i] = firstEra(version + 5)
		}
		readsBefore, _ := store.Calls()
		for range 20 {
			f.handleNotice(gossip.RevisionNotice{Newest: newest})
			time.Sleep(f.budget().Missing() + time.Millisecond)
		}
		if reads, _ := store.Calls(); reads-readsBefore > 6 {
			t.Errorf("%d calls for a change that is not there", reads-readsBefore)
		}
		cancel()
		_ = group.Wait()
	})
}

// soloMesh is the mesh of an instance without others.
type soloMesh struct{}

func (*soloMesh) Watches() bool                      { return true }
func (*soloMesh) Peers() []netip.Addr                { return nil }
func (*soloMesh) SetStoreRefused(bool)               {}
func (*soloMesh) SetRevisions([]revision.Revision)   {}
func (*soloMesh) Announce([]revision.Revision, bool) {}
func (*soloMesh) CheckPosition() int                 { return 0 }
func (*soloMesh) AskPosition() int                   { return 0 }

func (*soloMesh) Confirm(gossip.Confirmation, bool) {}

// unreachableStore is a store whose calls fail while it is unreachable, and which counts the
// calls that are not pings.
type unreachableStore struct {
	*standin.Store

	mu          sync.Mutex
	unreachable bool
	calls       int
	latency     time.Duration // of calls that are counted; set before the first one
}

var errUnreachable = errors.New("the store is unreachable")

// setUnreachable also resets the count of calls.
func (s *unreachableStore) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable, s.calls = unreachable, 0
}

func (s *unreachableStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// call adds counts to the number of calls and fails while the store is unreachable.
func (s *unreachableStore) call(counts int) error {
	if counts > 0 {
		time.Sleep(s.latency)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls += counts
	if s.unreachable {
		return errUnreachable
	}
	return nil
}

func (s *unreachableStore) List(ctx context.Context, prefix string) (platform.Page, error) {
	if err := s.call(1); err != nil {
		return platform.Page{}, err
	}
	return s.Client().List(ctx, prefix)
}

// ListStale returns an up-to-date list.
func (s *unreachableStore) ListStale(ctx context.Context, prefix string) (platform.Page, error) {
	return s.List(ctx, prefix)
}

func (s *unreachableStore) Watch(ctx context.Context, prefix string, cursor revision.Revision, wait time.Duration) (platform.Page, error) {
	if err := s.call(1); err != nil {
		return platform.Page{}, err
	}
	return s.Client().Watch(ctx, prefix, cursor, wait)
}

func (s *unreachableStore) Ping(context.Context) error { return s.call(0) }

// TestQuietWhileAway starts a follower during an outage of the store. Its retries must not load
// the store, which is the reason for the exponential delay, and every kind must be loaded soon
// after the recovery, which a ping detects.
func TestQuietWhileAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &unreachableStore{Store: standin.NewStore()}
		if _, err := store.Put(t.Context(), platform.KindEvacuations+"/a", []byte("{}"), 0); err != nil {
			t.Fatal(err)
		}
		f := newFollower(store, &soloMesh{}, 1, slog.New(slog.DiscardHandler), func(string) {})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		store.setUnreachable(true)
		for _, kind := range kinds() {
			group.Go(func() error { return f.follow(ctx, kind) })
		}
		group.Go(func() error { return f.pingStore(ctx) })
		time.Sleep(10 * time.Second)
		if got, most := store.count(), len(kinds())*9; got > most {
			t.Errorf("%d calls in ten seconds, want at most %d", got, most)
		}
		store.setUnreachable(false)
		time.Sleep(outagePingInterval + 10*time.Millisecond)
		for _, kind := range kinds() {
			if _, loaded := f.objects(kind); !loaded {
				t.Errorf("%s is not loaded after the recovery", kind)
			}
		}
		cancel()
		_ = group.Wait()
	})
}

// nonWatchingMesh is the mesh of an instance that leaves the watch to another one.
type nonWatchingMesh struct{ soloMesh }

func (*nonWatchingMesh) Watches() bool { return false }

// TestStaleLoad starts an instance while no peer has loaded anything, as after a restart of all
// instances. Callers must be served as soon as the store has answered, without waiting for the
// watching instance to pass on the state. At the first start of a deployment no callers wait, and
// the store must not be called.
func TestStaleLoad(t *testing.T) {
	for name, ranBefore := range map[string]bool{"first start": false, "restart": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &unreachableStore{Store: standin.NewStore()}
				if _, err := store.Put(t.Context(), platform.KindUpstreams+"/a", []byte("{}"), 0); err != nil {
					t.Fatal(err)
				}
				f := newFollower(store, &nonWatchingMesh{}, 1, slog.New(slog.DiscardHandler), func(string) {},
					withRanBefore(ranBefore), withClock(time.Now))
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return f.run(ctx) })
				time.Sleep(staleLoadDelay + 10*time.Millisecond)
				synctest.Wait()
				_, loaded := f.objects(platform.KindUpstreams)
				if loaded != ranBefore || (store.count() > 0) != ranBefore {
					t.Errorf("upstreams loaded: %t, after %d calls", loaded, store.count())
				}
				cancel()
				_ = group.Wait()
			})
		})
	}
}

// TestRetentionAfterOutage guards against upstreams that left and are kept for seconds after a
// single call to the store failed: no entry lapses in that time, so those that are missing
// have been removed. After a longer outage, entries that are missing may be written again.
func TestRetentionAfterOutage(t *testing.T) {
	const heartbeat = 1500 * time.Millisecond
	for name, test := range map[string]struct {
		outage time.Duration
		want   int // upstreams right after the recovery
	}{
		"a failed call": {outage: 100 * time.Millisecond, want: 0},
		"an outage":     {outage: 6 * time.Second, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &unreachableStore{Store: standin.NewStore()}
				version, err := store.Put(t.Context(), platform.KindUpstreams+"/a", []byte("{}"), 0)
				if err != nil {
					t.Fatal(err)
				}
				f := newFollower(store, &soloMesh{}, 1, slog.New(slog.DiscardHandler), func(string) {}, withHeartbeat(heartbeat), withClock(time.Now))
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return f.run(ctx) })
				time.Sleep(roleDelay + 2*roleInterval + 50*time.Millisecond)
				store.setUnreachable(true)
				f.mu.Lock()
				f.cancelWatches()
				f.watchCtx, f.cancelWatches = context.WithCancel(context.Background())
				f.mu.Unlock()
				time.Sleep(test.outage)
				if err := store.Delete(t.Context(), platform.KindUpstreams+"/a", version); err != nil {
					t.Fatal(err)
				}
				store.setUnreachable(false)
				time.Sleep(outagePingInterval + maxRetryDelay/10)
				if objects, _ := f.objects(platform.KindUpstreams); len(objects) != test.want {
					t.Errorf("%d upstreams, want %d", len(objects), test.want)
				}
				cancel()
				_ = group.Wait()
			})
		})
	}
}

// TestStalledStore guards against a change that stays unknown for long although a peer has it: the
// store answers this instance, but returns to it neither by its watch nor by a recheck what it has
// acknowledged. The peer that reports the change must be asked for it.
func TestStalledStore(t *testing.T) {
	store := &stalledStore{Store: standin.NewStore()}
	ctx, cancel := context.WithCancel(t.Context())
	put := func(key string) uint64 {
		t.Helper()
		version, err := store.Put(ctx, key, []byte("{}"), 0)
		if err != nil {
			t.Fatal(err)
		}
		return version
	}
	put(platform.KindEvacuations + "/a")
	peer := newFollower(&stalledStore{Store: store.Store}, &soloMesh{}, 1, slog.New(slog.DiscardHandler), func(string) {})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := peer.serveState(w, r); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	at := netip.MustParseAddrPort(server.Listener.Addr().String())
	f := newFollower(store, &soloMesh{}, at.Port(), slog.New(slog.DiscardHandler), func(string) {})
	var group errgroup.Group
	for _, one := range []*follower{f, peer} {
		one.setWatching(true)
		for _, kind := range kinds() {
			if _, err := one.list(ctx, kind); err != nil {
				t.Fatal(err)
			}
		}
	}
	store.setStalled(true)
	group.Go(func() error { return f.follow(ctx, platform.KindEvacuations) })
	put(platform.KindEvacuations + "/b")
	acknowledged := time.Now()
	for _, kind := range kinds() {
		if _, err := peer.list(ctx, kind); err != nil {
			t.Fatal(err)
		}
	}
	peer.mu.Lock()
	notice := gossip.RevisionNotice{From: at.Addr(), Newest: peer.newest()}
	peer.mu.Unlock()
	for objects, _ := f.objects(platform.KindEvacuations); len(objects) < 2; objects, _ = f.objects(platform.KindEvacuations) {
		if time.Since(acknowledged) > inForce {
			t.Fatalf("a change that a peer has is not known after %s", inForce)
		}
		f.handleNotice(notice)
		time.Sleep(50 * time.Millisecond)
	}
	cancel()
	_ = group.Wait()
}

// rankedMesh is the mesh of an instance that watches the store unless it has announced that the store
// refuses it. It counts the announcements.
type rankedMesh struct {
	soloMesh

	mu            sync.Mutex
	refused       bool
	announcements int
}

func (m *rankedMesh) Watches() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.refused
}

func (m *rankedMesh) SetStoreRefused(refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused = refused
	if refused {
		m.announcements++
	}
}

// TestRefusedAgain guards against an instance that takes the watch back while the store still refuses it,
// and keeps it: each try that fails must be announced to the others of its failure domain, so that one of
// them watches.
func TestRefusedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, mesh := &unreachableStore{Store: standin.NewStore()}, &rankedMesh{}
		if _, err := store.Put(t.Context(), platform.KindUpstreams+"/a", []byte("{}"), 0); err != nil {
			t.Fatal(err)
		}
		f := newFollower(store, mesh, 1, slog.New(slog.DiscardHandler), func(string) {}, withClock(time.Now))
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return f.run(ctx) })
		time.Sleep(roleDelay + 2*roleInterval)
		for _, kind := range kinds() {
			if _, loaded := f.objects(kind); !loaded {
				t.Fatalf("%s is not loaded", kind)
			}
		}
		store.setUnreachable(true)
		time.Sleep(3*failedWatchPause + 5*time.Second)
		mesh.mu.Lock()
		if mesh.announcements < 3 || !mesh.refused {
			t.Errorf("the refusal was announced %d times, and is in force: %t; want 3 times, true", mesh.announcements, mesh.refused)
		}
		mesh.mu.Unlock()
		cancel()
		_ = group.Wait()
	})
}

// TestRefusedWatches guards against a follower that lists and watches by turns without a pause, while the store refuses
// each watch.
func TestRefusedWatches(t *testing.T) {
	const mostCalls = 40
	synctest.Test(t, func(t *testing.T) {
		store := &unreachableStore{Store: standin.NewStore(), latency: 4 * time.Millisecond}
		store.Fail(standin.StoreHistoryDropped, -1)
		f := newFollower(store, &soloMesh{}, 1, slog.New(slog.DiscardHandler), func(string) {})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return f.follow(ctx, platform.KindUpstreams) })
		time.Sleep(20 * time.Second)
		if got := store.count(); got > mostCalls {
			t.Errorf("%d calls in 20 s, want at most %d", got, mostCalls)
		}
		cancel()
		_ = group.Wait()
	})
}
