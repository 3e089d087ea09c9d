package freshness

import (
	"sync"
	"time"
)

// Confirmation says up to when a copy of the objects of one kind is known to have all changes.
type Confirmation struct {
	// At is the time up to which the copy has all changes that the store acknowledged.
	At time.Time
	// Source says who confirmed it: SourceStore, or the address of a peer. It is empty if nobody did.
	Source string
}

// SourceStore is the source of a confirmation by the store.
const SourceStore = "store"

// Record holds the newest confirmation of each kind. It is safe for concurrent use; its lock is held
// only for moments, so that it can be read for each request.
type Record struct {
	started time.Time

	mu    sync.Mutex
	kinds map[string]Confirmation
}

// NewRecord returns a record of kinds that nobody has confirmed since the start of the instance.
func NewRecord(kinds []string, started time.Time) *Record {
	r := &Record{started: started, kinds: make(map[string]Confirmation, len(kinds))}
	for _, kind := range kinds {
		r.kinds[kind] = Confirmation{}
	}
	return r
}

// Confirm records that the copy of a kind has all changes up to an instant, unless a newer one is
// recorded. It reports whether it was recorded.
func (r *Record) Confirm(kind string, at time.Time, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !at.After(r.kinds[kind].At) {
		return false
	}
	r.kinds[kind] = Confirmation{At: at, Source: source}
	return true
}

// Of returns the newest confirmation of a kind, the zero value if there is none.
func (r *Record) Of(kind string) Confirmation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kinds[kind]
}

// Oldest returns the kind whose newest confirmation is the oldest, and that confirmation. Until a kind
// is confirmed, its time is that of the start.
func (r *Record) Oldest() (string, Confirmation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldestKind, oldest := "", Confirmation{}
	for kind, c := range r.kinds {
		if c.At.IsZero() {
			c.At = r.started
		}
		if oldestKind == "" || c.At.Before(oldest.At) || c.At.Equal(oldest.At) && kind < oldestKind {
			oldestKind, oldest = kind, c
		}
	}
	return oldestKind, oldest
}

// Age makes all confirmations by peers older. It is called after the instance was paused: what
// reached it then may have been received long after it was sent.
func (r *Record) Age(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind, c := range r.kinds {
		if c.Source != SourceStore && !c.At.IsZero() {
			c.At = c.At.Add(-by)
			r.kinds[kind] = c
		}
	}
}
