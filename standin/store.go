// Package standin holds stand-ins for the systems around hickorydrum: the platform's object
// API, upstreams and the network. Tests and the try command use them; the product does not
// link them.
package standin

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"hickorydrum/fault"
	"hickorydrum/interval"
	"hickorydrum/platform"
)

// StoreFault is a fault that can be injected into the platform's object API.
type StoreFault string

// The faults of the platform.
const (
	StoreDown           StoreFault = "down"        // every call fails
	StoreSlow           StoreFault = "slow"        // every call takes longer by slowCallDelay
	StoreLoseResponse   StoreFault = "lose-answer" // the next writes take effect, but their responses are lost
	StoreStallWatch     StoreFault = "mute-watch"  // watches deliver no events
	StoreLateWrite      StoreFault = "late-write"  // the next writes fail, and take effect at ApplyLateWrites
	StoreSilent         StoreFault = "silent"      // calls get no response
	StoreHistoryDropped StoreFault = "forgotten"   // the next watches fail, as their history was dropped
)

const slowCallDelay = 500 * time.Millisecond

// firstEra is the era of a store that has never come back from a copy.
const firstEra = 1

// Object is an object of a Store.
type Object struct {
	Key     string
	Version uint64 // revision of its last change
	Value   []byte
	Deleted bool
}

func (o *Object) name() string {
	_, name, _ := strings.Cut(o.Key, "/")
	return name
}

// Store is an in-memory implementation of the platform's object API. Its own methods are those of programs that write
// to it, such as operators and upstreams, which name no era. Client returns what an instance uses.
type Store struct {
	mu         sync.Mutex
	era        uint64 // rises each time that the store comes back from a copy
	cursor     uint64 // revision of the last change
	objects    map[string]Object
	changed    chan struct{}
	faults     map[StoreFault]int // number of calls that are still affected; -1 for all
	lateWrites []func()
	reads      int
	writes     int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{era: firstEra, objects: make(map[string]Object), changed: make(chan struct{}), faults: make(map[StoreFault]int)}
}

// Fail injects a fault into the next n calls that it applies to: -1 for all, 0 to end the
// fault. StoreStallWatch is not counted: any n other than 0 applies to all watches.
func (s *Store) Fail(f StoreFault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[f] = n
	if f == StoreDown {
		s.notifyWatches()
	}
}

// Copy is what a store held at an instant.
type Copy struct {
	cursor  uint64
	objects map[string]Object
}

// Copy returns a copy of what the store holds now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{cursor: s.cursor, objects: maps.Clone(s.objects)}
}

// Restore makes the store come back from a copy: what was written since is gone, revisions go on from that of the
// copy and are given out again, and a new era begins.
func (s *Store) Restore(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cursor, s.objects = from.cursor, maps.Clone(from.objects)
	s.era++
	s.notifyWatches()
}

// Era returns the era of the store.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Calls returns the numbers of reads and writes so far.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// ApplyLateWrites applies the writes that StoreLateWrite delayed.
func (s *Store) ApplyLateWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, apply := range s.lateWrites {
		apply()
	}
	s.lateWrites = nil
}

// takeFault reports whether the fault applies to this call. If so, it applies to one call
// fewer from now on, unless it applies to all. The lock is held.
func (s *Store) takeFault(f StoreFault) bool {
	n := s.faults[f]
	if n > 0 {
		s.faults[f]--
	}
	return n != 0
}

// unavailable returns the error of a call that got no response.
func unavailable(executed fault.Execution) error {
	return fault.New(fault.Unavailable, "the platform does not answer", "check the platform", fault.WithExecution(executed))
}

// applyFaults applies the faults that affect calls of any type.
func (s *Store) applyFaults(ctx context.Context) error {
	s.mu.Lock()
	slow, down, silent := s.takeFault(StoreSlow), s.takeFault(StoreDown), s.takeFault(StoreSilent)
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return unavailable(fault.NotExecuted)
	}
	if slow && !interval.Sleep(ctx, slowCallDelay) {
		return unavailable(fault.NotExecuted)
	}
	if down {
		return unavailable(fault.NotExecuted)
	}
	return nil
}

// Get returns the object with the key, or a fault.Missing error.
func (s *Store) Get(ctx context.Context, key string) (Object, error) {
	if err := s.applyFaults(ctx); err != nil {
		return Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	o, ok := s.objects[key]
	if !ok || o.Deleted {
		return Object{}, fault.New(fault.Missing, "the platform holds no such object", "")
	}
	return o, nil
}

// Put writes an object if its version is the given one, or if the version is 0 and the
// object does not exist; otherwise it returns a fault.Conflict error. It returns the new
// version.
func (s *Store) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	if len(value) > platform.MaxValue {
		return 0, fault.New(fault.Invalid, fmt.Sprintf("value of %s has %d bytes", key, len(value)), "split it")
	}
	return s.write(ctx, Object{Key: key, Value: slices.Clone(value)}, version)
}

// Delete removes an object if its version is the given one.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	_, err := s.write(ctx, Object{Key: key, Deleted: true}, version)
	return err
}

func (s *Store) write(ctx context.Context, o Object, version uint64) (uint64, error) {
	if err := s.applyFaults(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.takeFault(StoreLateWrite) {
		s.lateWrites = append(s.lateWrites, func() { _, _ = s.commit(o, version) })
		return 0, unavailable(fault.MaybeExecuted)
	}
	loseResponse := s.takeFault(StoreLoseResponse)
	next, err := s.commit(o, version)
	if loseResponse {
		return 0, unavailable(fault.MaybeExecuted)
	}
	return next, err
}

// commit applies a conditional write. The lock is held.
func (s *Store) commit(o Object, version uint64) (uint64, error) {
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
	s.notifyWatches()
	return o.Version, nil
}

// notifyWatches wakes the waiting watches. The lock is held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// page is the result of a list or a watch.
type page struct {
	era, cursor uint64
	objects     []Object
}

func (s *Store) list(ctx context.Context, prefix string) (page, error) {
	if err := s.applyFaults(ctx); err != nil {
		return page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.page(prefix, 0, false), nil
}

// page returns the objects under a prefix that changed after a revision, with deleted ones if
// asked for. The lock is held.
func (s *Store) page(prefix string, after uint64, deleted bool) page {
	p := page{era: s.era, cursor: s.cursor}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && o.Version > after && (deleted || !o.Deleted) {
			p.objects = append(p.objects, o)
		}
	}
	slices.SortFunc(p.objects, func(a, b Object) int { return cmp.Compare(a.Key, b.Key) })
	return p
}

// watch waits for changes under a prefix after the cursor, for as long as wait. It stays open while the store comes
// back from a copy, and goes on in the new era if that has the revision.
func (s *Store) watch(ctx context.Context, prefix string, cursor uint64, wait time.Duration) (page, error) {
	if err := s.applyFaults(ctx); err != nil {
		return page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.reads++
	historyDropped := s.takeFault(StoreHistoryDropped)
	s.mu.Unlock()
	if historyDropped {
		return page{}, fault.New(fault.Conflict, "the history is dropped", "list again")
	}
	for {
		s.mu.Lock()
		down, stalled, unknown := s.faults[StoreDown] != 0, s.faults[StoreStallWatch] != 0, cursor > s.cursor
		found, changed := s.page(prefix, cursor, true), s.changed
		s.mu.Unlock()
		if down {
			return page{}, unavailable(fault.NotExecuted)
		}
		if unknown {
			return page{}, fault.New(fault.Conflict, "the store has no such revision", "list again")
		}
		if len(found.objects) > 0 && !stalled {
			return found, nil
		}
		select {
		case <-ctx.Done():
			return page{}, unavailable(fault.NotExecuted)
		case <-timer.C:
			if stalled {
				return page{era: found.era, cursor: cursor}, nil
			}
			return found, nil
		case <-changed:
		}
	}
}
