// Package standin holds small stand-ins for the systems around hickorydrum, for
// tests and for the try command. The product never links it.
package standin

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"hickorydrum/fault"
	"hickorydrum/platform"
)

// StoreFault is a way in which the platform fails on order.
type StoreFault string

// The faults of the platform.
const (
	StoreDown       StoreFault = "down"        // every call fails
	StoreSlow       StoreFault = "slow"        // every call takes slowCall longer
	StoreLoseResponse StoreFault = "lose-answer" // the next writes take effect, their answers are lost
	StoreStallWatch  StoreFault = "mute-watch"  // watches tell nothing
	StoreLateWrite  StoreFault = "late-write"  // the next writes fail, and take effect later
	StoreSilent     StoreFault = "silent"      // calls are never answered
	StoreHistoryDropped  StoreFault = "forgotten"   // the next watches find their history dropped
)

const slowCall = 500 * time.Millisecond

// Store is the platform's object API in memory.
type Store struct {
	mu      sync.Mutex
	cursor  uint64 // the revision of the last change
	objects map[string]platform.Object
	changed chan struct{}
	faults  map[StoreFault]int // how many calls are still hit; -1 for all
	late    []func()
	reads   int
	writes  int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: make(map[string]platform.Object), changed: make(chan struct{}), faults: make(map[StoreFault]int)}
}

// Fail makes the next n calls that the fault applies to fail; -1 makes all, 0
// ends the fault.
func (s *Store) Fail(f StoreFault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[f] = n
	if f == StoreDown {
		s.wake()
	}
}

// Calls returns the counted reads and writes.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// ApplyLateWrites lets the held-back writes take effect.
func (s *Store) ApplyLateWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, land := range s.late {
		land()
	}
	s.late = nil
}

// hit reports whether the fault applies to this call. The lock is held.
func (s *Store) hit(f StoreFault) bool {
	n := s.faults[f]
	if n > 0 {
		s.faults[f]--
	}
	return n != 0
}

func lost(ran fault.Execution) error {
	return fault.New(fault.Unavailable, "the platform does not answer", "check the platform", fault.WithExecution(ran))
}

// before applies the faults of any call.
func (s *Store) before(ctx context.Context) error {
	s.mu.Lock()
	slow, down, silent := s.hit(StoreSlow), s.hit(StoreDown), s.hit(StoreSilent)
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return lost(fault.NotExecuted)
	}
	if slow {
		timer := time.NewTimer(slowCall)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return lost(fault.NotExecuted)
		case <-timer.C:
		}
	}
	if down {
		return lost(fault.NotExecuted)
	}
	return nil
}

// Get returns an object.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.before(ctx); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	o, ok := s.objects[key]
	if !ok || o.Deleted {
		return platform.Object{}, fault.New(fault.Missing, "the platform holds no such object", "")
	}
	return o, nil
}

// Put writes an object if its version is the given one, 0 for none.
func (s *Store) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	if len(value) > platform.MaxValue {
		return 0, fault.New(fault.Invalid, fmt.Sprintf("value of %s has %d bytes", key, len(value)), "split it")
	}
	return s.write(ctx, platform.Object{Key: key, Value: slices.Clone(value)}, version)
}

// Delete removes an object if its version is the given one.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	_, err := s.write(ctx, platform.Object{Key: key, Deleted: true}, version)
	return err
}

func (s *Store) write(ctx context.Context, o platform.Object, version uint64) (uint64, error) {
	if err := s.before(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.hit(StoreLateWrite) {
		s.late = append(s.late, func() { _, _ = s.commit(o, version) })
		return 0, lost(fault.MaybeExecuted)
	}
	lose := s.hit(StoreLoseResponse)
	next, err := s.commit(o, version)
	if lose {
		return 0, lost(fault.MaybeExecuted)
	}
	return next, err
}

// commit applies a conditional write. The lock is held.
func (s *Store) commit(o platform.Object, version uint64) (uint64, error) {
	old, ok := s.objects[o.Key]
	current := old.Version
	if !ok || old.Deleted {
		current = 0
	}
	if current != version {
		return 0, fault.New(fault.Conflict, "the object changed meanwhile", "read it and try again")
	}
	s.cursor++
	o.Version = s.cursor
	s.objects[o.Key] = o
	s.wake()
	return o.Version, nil
}

// wake tells the waiting watches. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the objects whose keys begin with the prefix.
func (s *Store) List(ctx context.Context, prefix string) (platform.Page, error) {
	if err := s.before(ctx); err != nil {
		return platform.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.page(prefix, 0, false), nil
}

// page returns what changed under a prefix after the cursor. The lock is held.
func (s *Store) page(prefix string, after uint64, deleted bool) platform.Page {
	page := platform.Page{Cursor: s.cursor}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && o.Version > after && (deleted || !o.Deleted) {
			page.Objects = append(page.Objects, o)
		}
	}
	slices.SortFunc(page.Objects, func(a, b platform.Object) int { return cmp.Compare(a.Key, b.Key) })
	return page
}

// Watch waits for changes under a prefix after the cursor.
func (s *Store) Watch(ctx context.Context, prefix string, cursor uint64, wait time.Duration) (platform.Page, error) {
	if err := s.before(ctx); err != nil {
		return platform.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.reads++
	forgotten := s.hit(StoreHistoryDropped)
	s.mu.Unlock()
	if forgotten {
		return platform.Page{}, fault.New(fault.Conflict, "the history is dropped", "list again")
	}
	for {
		s.mu.Lock()
		down, mute := s.faults[StoreDown] != 0, s.faults[StoreStallWatch] != 0
		page, changed := s.page(prefix, cursor, true), s.changed
		s.mu.Unlock()
		if down {
			return platform.Page{}, lost(fault.NotExecuted)
		}
		if len(page.Objects) > 0 && !mute {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return platform.Page{}, lost(fault.NotExecuted)
		case <-timer.C:
			if mute {
				return platform.Page{Cursor: cursor}, nil
			}
			return page, nil
		case <-changed:
		}
	}
}
