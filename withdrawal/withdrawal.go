// Package withdrawal records which upstreams want no requests: for good, because they leave, or
// for a time, because they asked for a pause. It is asked right before a request is sent,
// wherever the instance learned of the withdrawal.
//
// A withdrawal only grows. Nothing that is learned later about the same run of an upstream takes
// it back, such as an older entry or a later response; only a new start of the upstream does.
package withdrawal

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hickorydrum/clock"
	"hickorydrum/fleet"
)

const (
	// Callers that could not be served in a pause return within returnSpread of it after its end, and
	// within minReturnSpread at least.
	returnSpread    = 0.25
	minReturnSpread = 250 * time.Millisecond
)

// ReturnAfter returns after how long a caller should return that cannot be served while a pause lasts: a
// random time after its end, so that not all callers return at once.
func ReturnAfter(pause time.Duration) time.Duration {
	return pause + rand.N(max(minReturnSpread, time.Duration(returnSpread*float64(pause))))
}

// maxRecords bounds the upstreams that a Registry records. Beyond it, those whose records are
// oldest are forgotten.
const maxRecords = 8192

// record is what an upstream has withdrawn. Upstreams are identified by the hashes of their IDs.
type record struct {
	// The runs of the upstream that started at or before leftStart leave, or have left. It is 0
	// if none does.
	leftStart int64
	// The run that started at pausedStart wants no requests before pausedUntil, by package
	// clock.
	pausedStart int64
	pausedUntil time.Time
	changedAt   time.Time
}

// left reports whether the run of the upstream leaves or has left.
func (one record) left(u *fleet.Upstream) bool {
	return one.leftStart > 0 && u.StartMillis <= one.leftStart
}

// Registry records the withdrawals of all upstreams at one instance. Its methods may be called
// concurrently.
type Registry struct {
	now        func() time.Time
	maxRecords int

	mu sync.Mutex // held during changes
	// records is replaced when an upstream is added, so that readers need no lock. A record of it is
	// replaced when that upstream withdraws more.
	records atomic.Pointer[map[uint64]*atomic.Pointer[record]]
}

// Option configures a Registry.
type Option func(*Registry)

// WithClock sets the function that returns the time. The default is clock.Now, which also counts
// the time in which the machine is suspended.
func WithClock(now func() time.Time) Option { return func(r *Registry) { r.now = now } }

// New returns a Registry without records.
func New(opts ...Option) *Registry {
	r := &Registry{now: clock.Now, maxRecords: maxRecords}
	for _, opt := range opts {
		opt(r)
	}
	r.records.Store(&map[uint64]*atomic.Pointer[record]{})
	return r
}

// Leave records that an upstream leaves for good, and reports whether that is new.
func (r *Registry) Leave(u *fleet.Upstream) bool {
	return r.update(u, func(one *record) bool {
		if u.StartMillis <= one.leftStart {
			return false
		}
		one.leftStart = u.StartMillis
		return true
	})
}

// Pause records that an upstream wants no requests for a time from now on, and reports whether
// that is later than what was known.
func (r *Registry) Pause(u *fleet.Upstream, wait time.Duration) bool {
	until := r.now().Add(wait)
	return r.update(u, func(one *record) bool {
		if u.StartMillis < one.pausedStart || u.StartMillis == one.pausedStart && !until.After(one.pausedUntil) {
			return false
		}
		one.pausedStart, one.pausedUntil = u.StartMillis, until
		return true
	})
}

// update replaces the record of an upstream if change reports that it changed it, and reports the
// same.
func (r *Registry) update(u *fleet.Upstream, change func(one *record) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var one record
	stored, ok := (*r.records.Load())[u.Hash()]
	if ok {
		one = *stored.Load()
	}
	if !change(&one) {
		return false
	}
	one.changedAt = r.now()
	if ok {
		stored.Store(&one)
	} else {
		r.add(u.Hash(), &one)
	}
	return true
}

// add adds the record of an upstream that has none. The lock is held.
func (r *Registry) add(hash uint64, one *record) {
	records := maps.Clone(*r.records.Load())
	records[hash] = &atomic.Pointer[record]{}
	records[hash].Store(one)
	if len(records) > r.maxRecords {
		forgetOldest(records)
	}
	r.records.Store(&records)
}

// forgetOldest removes the record that changed first.
func forgetOldest(records map[uint64]*atomic.Pointer[record]) {
	var oldest uint64
	var at time.Time
	for hash, stored := range records {
		if one := stored.Load(); at.IsZero() || one.changedAt.Before(at) {
			oldest, at = hash, one.changedAt
		}
	}
	delete(records, oldest)
}

// get returns the record of an upstream, the zero record if there is none.
func (r *Registry) get(u *fleet.Upstream) record {
	stored, ok := (*r.records.Load())[u.Hash()]
	if !ok {
		return record{}
	}
	return *stored.Load()
}

// Left reports whether an upstream leaves or has left.
func (r *Registry) Left(u *fleet.Upstream) bool { return r.get(u).left(u) }

// PauseLeft returns how long an upstream still wants no requests, 0 if it asked for no pause that lasts.
func (r *Registry) PauseLeft(u *fleet.Upstream) time.Duration { return r.pauseLeft(r.get(u), u) }

func (r *Registry) pauseLeft(one record, u *fleet.Upstream) time.Duration {
	if one.pausedUntil.IsZero() || one.pausedStart != u.StartMillis {
		return 0
	}
	return max(0, one.pausedUntil.Sub(r.now()))
}

// Allows reports whether a request may be sent to an upstream now.
func (r *Registry) Allows(u *fleet.Upstream) bool {
	one := r.get(u)
	return !one.left(u) && r.pauseLeft(one, u) == 0
}
