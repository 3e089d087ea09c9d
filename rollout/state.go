package rollout

import (
	"sync"
	"time"

	"hickorydrum/declaration"
	"hickorydrum/fault"
	"hickorydrum/revision"
)

// maxDeltas is how many deltas a State keeps for peers. A peer whose revision
// is older than the oldest delta gets the whole set.
const maxDeltas = 64

const (
	maxPartBytes        = 2 << 20 // records in one update message
	recordOverheadBytes = 32      // encoding of one record besides its name and body
)

// State holds the revision of the declarations that is in force at one
// instance. The revision never decreases. When the platform's store comes back from
// a copy, a set that was applied before the one in force does not replace it: the
// copy is an older one, and its drains and limits may have changed since.
type State struct {
	onChange func(set *declaration.Set, at revision.Revision)

	mu        sync.Mutex
	revision  revision.Revision
	appliedAt time.Time // when the operator applied the set, by their clock; zero if not known
	set       *declaration.Set
	deltas    []change  // the latest ones, oldest first
	confirmed time.Time // when the platform or a peer last confirmed the revision
}

// change is the delta that leads from one revision to a later one.
type change struct {
	from, to revision.Revision
	delta    declaration.Delta
}

// NewState returns a State without a revision. onChange is called for each
// revision that comes into force, in order, while the State's lock is held.
func NewState(onChange func(set *declaration.Set, at revision.Revision)) *State {
	return &State{onChange: onChange}
}

// Revision returns the revision in force, or the zero one if there is none.
func (s *State) Revision() revision.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Set returns the set in force, or nil if there is none.
func (s *State) Set() *declaration.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// Confirm records that at the given time the platform or a peer had no higher
// revision. An earlier time than the recorded one is ignored.
func (s *State) Confirm(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.confirmed) {
		s.confirmed = now
	}
}

// ConfirmedAt returns the time of the latest confirmation, the zero time if
// there was none.
func (s *State) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// accepts reports whether a revision may come into force that an operator applied at
// the given time: it is higher than the one in force, and not one of a copy of the
// store that was applied before that.
func (s *State) accepts(at revision.Revision, appliedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayFollow(at, appliedAt)
}

// mayFollow is accepts with the lock held.
func (s *State) mayFollow(at revision.Revision, appliedAt time.Time) bool {
	if at.NewEra(s.revision) && !appliedAt.IsZero() && appliedAt.Before(s.appliedAt) {
		return false
	}
	return at.After(s.revision)
}

// apply brings the records into force as the given revision, which also
// confirms it. It does nothing if the revision is not accepted. It reports
// whether the records came into force.
func (s *State) apply(records []declaration.Record, at revision.Revision, appliedAt, now time.Time) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayFollow(at, appliedAt) {
		return false, nil
	}
	set, err := s.next(records, at)
	if err != nil {
		return false, err
	}
	s.set, s.revision, s.appliedAt = set, at, appliedAt
	if now.After(s.confirmed) {
		s.confirmed = now
	}
	s.onChange(set, at)
	return true, nil
}

// next builds the set of the records. If a set is in force, next patches a copy
// of it, since most records stay the same, and keeps the delta for peers. The
// lock is held.
func (s *State) next(records []declaration.Record, at revision.Revision) (*declaration.Set, error) {
	if s.set == nil {
		return declaration.FromRecords(records)
	}
	delta := declaration.Diff(s.set.Records(), records)
	set, err := s.set.Patch(delta)
	if err != nil {
		return nil, err
	}
	s.appendDelta(change{from: s.revision, to: at, delta: delta})
	return set, nil
}

// appendDelta keeps a delta for peers and drops the oldest beyond maxDeltas. The
// lock is held.
func (s *State) appendDelta(c change) {
	s.deltas = append(s.deltas, c)
	if len(s.deltas) > maxDeltas {
		s.deltas = s.deltas[1:]
	}
}

// since returns the update from the given revision to the one in force: the
// deltas between them or, if they are no longer kept, the records of the whole
// set from the offset on, as many as fit in one message. The update has no
// digest if there is nothing to send.
func (s *State) since(have revision.Revision, offset int) updateMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := updateMessage{To: s.revision.Number, ToEra: s.revision.Era}
	if !s.appliedAt.IsZero() {
		m.AppliedNanos = s.appliedAt.UnixNano()
	}
	if s.set == nil || !s.revision.After(have) {
		return m
	}
	m.Digest = s.set.Digest()
	for i, c := range s.deltas {
		if c.from == have {
			for _, later := range s.deltas[i:] {
				m.Deltas = append(m.Deltas, later.delta)
			}
			m.From, m.FromEra = have.Number, have.Era
			return m
		}
	}
	records := s.set.Records()
	if offset < 0 || offset > len(records) {
		return m
	}
	m.Records = firstPart(records[offset:])
	m.More = offset+len(m.Records) < len(records)
	return m
}

// firstPart returns the leading records that fit in one message, at least one
// if there are any.
func firstPart(records []declaration.Record) []declaration.Record {
	size := 0
	for i, r := range records {
		size += len(r.Body) + len(r.Name) + recordOverheadBytes
		if size > maxPartBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}

// patch returns the records of the revision that the update leads to. It returns
// a fault if the deltas start at another revision than the one in force, or if
// the records do not match the update's digest.
func (s *State) patch(m updateMessage) ([]declaration.Record, error) {
	records := m.Records
	if m.From != 0 {
		s.mu.Lock()
		if s.revision != m.from() {
			s.mu.Unlock()
			return nil, fault.New(fault.Conflict, "the update starts at another revision than the one in force", "ask again")
		}
		records = s.set.Records()
		s.mu.Unlock()
		for _, d := range m.Deltas {
			records = declaration.Patch(records, d)
		}
	}
	if declaration.Digest(records) != m.Digest {
		return nil, fault.New(fault.Corrupt, "the records of the update do not match its digest", "ask another instance")
	}
	return records, nil
}
