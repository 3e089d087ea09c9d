package hosted

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/gossip"
	"hickorydrum/platform"
	"hickorydrum/standin"
)

// deafStore is a store whose watches tell nothing while it is deaf.
type deafStore struct {
	*standin.Store

	mu   sync.Mutex
	deaf bool
}

func (s *deafStore) setDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

// Watch begins in the state that the store is in, and stays in it.
func (s *deafStore) Watch(ctx context.Context, prefix string, cursor uint64, wait time.Duration) (platform.Page, error) {
	s.mu.Lock()
	deaf := s.deaf
	s.mu.Unlock()
	if !deaf {
		return s.Store.Watch(ctx, prefix, cursor, wait)
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

// Glance is a list.
func (s *deafStore) Glance(ctx context.Context, prefix string) (platform.Page, error) {
	return s.List(ctx, prefix)
}

// Pulse answers.
func (s *deafStore) Pulse(context.Context) error { return nil }

// TestDeafWatch makes a change that a watch under way does not tell. A peer knows it:
// the watch begins anew at once, and not again for the same change.
func TestDeafWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &deafStore{Store: standin.NewStore()}
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
		f := newFollower(store, &loner{}, 1, slog.New(slog.DiscardHandler), func(string) { changes++ })
		f.setWatching(true)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		store.setDeaf(true)
		group.Go(func() error { return f.follow(ctx, platform.KindEvacuations) })
		synctest.Wait()
		version := put(platform.KindEvacuations + "/b")
		store.setDeaf(false)
		newest := make([]uint64, len(kinds()))
		for i, kind := range kinds() {
			if kind == platform.KindEvacuations {
				newest[i] = version
			}
		}
		for range 3 {
			f.news(gossip.RevisionNotice{Newest: newest})
			time.Sleep(missedAfter)
		}
		synctest.Wait()
		if objects, _ := f.objects(platform.KindEvacuations); len(objects) != 2 || changes != 2 {
			t.Errorf("%d objects are known after %d changes, want 2 after 2", len(objects), changes)
		}
		// A peer that says more than there is costs one look, not one at each heartbeat.
		newest = append([]uint64(nil), newest...)
		for i := range newest {
			newest[i] = version + 5
		}
		readsBefore, _ := store.Calls()
		for range 20 {
			f.news(gossip.RevisionNotice{Newest: newest})
			time.Sleep(missedAfter)
		}
		if reads, _ := store.Calls(); reads-readsBefore > 6 {
			t.Errorf("%d calls for a change that is not there", reads-readsBefore)
		}
		cancel()
		_ = group.Wait()
	})
}

func TestWatchWait(t *testing.T) {
	for instances, want := range map[int]time.Duration{
		1: watchLeast, 3: watchLeast, 12: 12 * time.Second, 70: watchMost, 6400: watchMost,
	} {
		if got := watchWait(instances); got != want {
			t.Errorf("%d instances: %s, want %s", instances, got, want)
		}
	}
}

// loner knows no other instances.
type loner struct{}

func (*loner) Watches() bool           { return true }
func (*loner) Watchers() int           { return 1 }
func (*loner) Peers() []netip.Addr     { return nil }
func (*loner) SetRefused(bool)         {}
func (*loner) Know([]uint64)           {}
func (*loner) Announce([]uint64, bool) {}

// awayStore is a store that answers nothing while it is away, and counts the calls
// that are not pulses.
type awayStore struct {
	*standin.Store

	mu    sync.Mutex
	away  bool
	calls int
}

var errAway = errors.New("the store is away")

func (s *awayStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.calls = away, 0
}

func (s *awayStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *awayStore) call(counts int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls += counts
	if s.away {
		return errAway
	}
	return nil
}

func (s *awayStore) List(ctx context.Context, prefix string) (platform.Page, error) {
	if err := s.call(1); err != nil {
		return platform.Page{}, err
	}
	return s.Store.List(ctx, prefix)
}

// Glance is a list.
func (s *awayStore) Glance(ctx context.Context, prefix string) (platform.Page, error) {
	return s.List(ctx, prefix)
}

func (s *awayStore) Watch(ctx context.Context, prefix string, cursor uint64, wait time.Duration) (platform.Page, error) {
	if err := s.call(1); err != nil {
		return platform.Page{}, err
	}
	return s.Store.Watch(ctx, prefix, cursor, wait)
}

func (s *awayStore) Pulse(context.Context) error { return s.call(0) }

// TestQuietWhileAway starts while the store is away: the followers ask seldom, and
// know everything soon after its return.
func TestQuietWhileAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &awayStore{Store: standin.NewStore()}
		if _, err := store.Put(t.Context(), platform.KindEvacuations+"/a", []byte("{}"), 0); err != nil {
			t.Fatal(err)
		}
		f := newFollower(store, &loner{}, 1, slog.New(slog.DiscardHandler), func(string) {})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		store.setAway(true)
		for _, kind := range kinds() {
			group.Go(func() error { return f.follow(ctx, kind) })
		}
		group.Go(func() error { return f.pulse(ctx) })
		time.Sleep(10 * time.Second)
		if got, most := store.count(), len(kinds())*9; got > most {
			t.Errorf("%d calls in ten seconds, want at most %d", got, most)
		}
		store.setAway(false)
		time.Sleep(awayPulseEvery + 10*time.Millisecond)
		for _, kind := range kinds() {
			if _, known := f.objects(kind); !known {
				t.Errorf("%s is not known after the return", kind)
			}
		}
		cancel()
		_ = group.Wait()
	})
}

// waiter is an instance of a fleet in which another one watches the store.
type waiter struct{ loner }

func (*waiter) Watches() bool { return false }

// TestGlance starts an instance when nobody else knows anything, as it is when all have
// started anew: callers are served as soon as the store has answered, not when the watching
// instance has told it. At the first start of a fleet nobody waits, and nothing is asked.
func TestGlance(t *testing.T) {
	for name, restarted := range map[string]bool{"first start": false, "restart": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &awayStore{Store: standin.NewStore()}
				if _, err := store.Put(t.Context(), platform.KindUpstreams+"/a", []byte("{}"), 0); err != nil {
					t.Fatal(err)
				}
				f := newFollower(store, &waiter{}, 1, slog.New(slog.DiscardHandler), func(string) {})
				f.restarted = restarted
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return f.run(ctx) })
				time.Sleep(glanceAfter + 10*time.Millisecond)
				synctest.Wait()
				_, known := f.objects(platform.KindUpstreams)
				if known != restarted || (store.count() > 0) != restarted {
					t.Errorf("upstreams known: %t, after %d calls", known, store.count())
				}
				cancel()
				_ = group.Wait()
			})
		})
	}
}
