package rollout

import (
	"sync"
	"time"

	"hickorydrum/declaration"
	"hickorydrum/fault"
)

// maxDeltas is how many changes an instance can pass on without the whole set.
const maxDeltas = 64

const (
	maxPartBytes        = 2 << 20 // bytes of records in one message
	recordOverheadBytes = 32
)

// State is the revision that is in force at one instance. It only rises.
type State struct {
	onChange func(set *declaration.Set, revision uint64)

	mu        sync.Mutex
	revision  uint64
	set       *declaration.Set
	deltas    []change
	confirmed time.Time // when the platform or a peer last confirmed the revision
}

// change is the step between two revisions.
type change struct {
	from, to uint64
	delta    declaration.Delta
}

// NewState returns a state without a revision. onChange is called for each
// revision that comes into force, in order.
func NewState(onChange func(set *declaration.Set, revision uint64)) *State {
	return &State{onChange: onChange}
}

// Revision returns the revision in force, 0 if there is none.
func (s *State) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Set returns the set in force, or nil.
func (s *State) Set() *declaration.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// Confirm notes that the platform or a peer knows no higher revision.
func (s *State) Confirm(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.confirmed) {
		s.confirmed = now
	}
}

// ConfirmedAt returns when the revision was last confirmed.
func (s *State) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// apply brings records into force as the revision, unless it is not higher than
// the one in force. It reports whether it did.
func (s *State) apply(records []declaration.Record, revision uint64, now time.Time) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.revision {
		return false, nil
	}
	set, err := s.next(records, revision)
	if err != nil {
		return false, err
	}
	s.set, s.revision = set, revision
	if now.After(s.confirmed) {
		s.confirmed = now
	}
	s.onChange(set, revision)
	return true, nil
}

// next returns the set of the records. The set in force is patched, since most of
// it stays. The lock is held.
func (s *State) next(records []declaration.Record, revision uint64) (*declaration.Set, error) {
	if s.set == nil {
		return declaration.FromRecords(records)
	}
	delta := declaration.Compare(s.set.Records(), records)
	set, err := s.set.Patch(delta)
	if err != nil {
		return nil, err
	}
	s.appendDelta(change{from: s.revision, to: revision, delta: delta})
	return set, nil
}

func (s *State) appendDelta(c change) {
	s.deltas = append(s.deltas, c)
	if len(s.deltas) > maxDeltas {
		s.deltas = s.deltas[1:]
	}
}

// since returns what turns the revision into the one in force: one delta after
// the other, or the whole set from the offset on, as much as fits in a message.
func (s *State) since(revision uint64, offset int) updateMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := updateMessage{To: s.revision}
	if s.set == nil || revision >= s.revision {
		return m
	}
	m.Digest = s.set.Digest()
	for i, c := range s.deltas {
		if c.from == revision {
			for _, later := range s.deltas[i:] {
				m.Deltas = append(m.Deltas, later.delta)
			}
			m.From = revision
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

// firstPart returns the records that fit in one message.
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

// patch returns the records that an update leads to.
func (s *State) patch(m updateMessage) ([]declaration.Record, error) {
	records := m.Records
	if m.From != 0 {
		s.mu.Lock()
		if s.revision != m.From {
			s.mu.Unlock()
			return nil, fault.New(fault.Conflict, "the update is for another revision", "ask again")
		}
		records = s.set.Records()
		s.mu.Unlock()
		for _, d := range m.Deltas {
			records = declaration.Patch(records, d)
		}
	}
	if declaration.Digest(records) != m.Digest {
		return nil, fault.New(fault.Broken, "the update does not match its digest", "ask another instance")
	}
	return records, nil
}
