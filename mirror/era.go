package mirror

import (
	"time"

	"hickorydrum/platform"
	"hickorydrum/revision"
)

// When the store comes back from a copy, its state is an older one than the mirror's, and what was written since the
// copy is gone until its writers write it again. So the first state of an era is not taken as it is:
//
//   - What the copy lacks is retained for a time (WithEraRetention): its writer may write it again.
//   - What the copy has in an earlier version that gives back a right, which the version known here takes away, keeps
//     its value until it is written again in the new era (WithWithdrawals).
//   - What was removed here before, and the copy still has, is hidden for a time (WithHiding): its removal is written
//     again, or its writer is alive and writes it again.
//
// All else is as the copy has it. The versions are those of the copy in any case, so that all mirrors of an era agree.

// era is what a Mirror knows about the last change of the store's era.
type era struct {
	retention time.Duration                              // see WithEraRetention
	withdraws func(known, copied platform.Object) bool   // see WithWithdrawals; nil for none
	hideFor   time.Duration                              // see WithHiding
	same      func(removed, copied platform.Object) bool // see WithHiding

	// retainEnd and hideEnd are fixed when the era begins, so that peers do not extend them for each other.
	retainEnd time.Time
	hideEnd   time.Time
	hidden    map[string]bool    // objects that are not shown before hideEnd, unless they are written again
	removed   map[string]removal // by name, the objects that were removed lately
	change    *EraChange         // see TakeEraChange
}

// removal is an object as it was last known before its removal, and a revision at which it no longer existed.
type removal struct {
	object   platform.Object
	revision revision.Revision
	at       time.Time
}

const (
	// maxCopyAge bounds the age of a copy of the store, and with it how long removals are recorded.
	maxCopyAge = time.Minute
	// maxRemovals bounds the recorded removals.
	maxRemovals = 4096
)

// EraChange says what a mirror did when a new era began.
type EraChange struct {
	From, To revision.Revision // cursors before and after
	// Source and Peer say who the first state of the era is from.
	Source Source
	Peer   string
	// Retained, Kept and Hidden are numbers of objects: those that the copy lacks, those that keep their value, and those
	// that had been removed.
	Retained, Kept, Hidden int
	// HiddenNames are the first of the hidden ones.
	HiddenNames []string
}

// maxNamesKept bounds the names in an EraChange.
const maxNamesKept = 8

// WithEraRetention keeps objects that a copy of the store lacks for the given time after the era began, since their
// writers may write them again.
func WithEraRetention(retention time.Duration) Option {
	return func(m *Mirror) { m.era.retention = retention }
}

// WithWithdrawals keeps the known value of an object over that of a copy of the store if withdraws reports that the
// known one takes a right away which the copied one gives.
func WithWithdrawals(withdraws func(known, copied platform.Object) bool) Option {
	return func(m *Mirror) { m.era.withdraws = withdraws }
}

// WithHiding hides objects that a copy of the store has although they had been removed, for the given time or until
// they are written again. same reports whether the object in the copy stands for the same thing as the removed one.
func WithHiding(hideFor time.Duration, same func(removed, copied platform.Object) bool) Option {
	return func(m *Mirror) { m.era.hideFor, m.era.same = hideFor, same }
}

// TakeEraChange returns what was done when the last era began, once, and nil if none has begun since the last call.
func (m *Mirror) TakeEraChange() *EraChange {
	change := m.era.change
	m.era.change = nil
	return change
}

// beginEra prepares the mirror for the first state of an era.
func (m *Mirror) beginEra(cursor revision.Revision, from Origin, retain time.Duration) {
	m.era.retainEnd = from.At.Add(retain)
	m.newest = revision.Revision{Era: cursor.Era}
	m.digested = false
	m.era.hideEnd = from.At.Add(m.era.hideFor)
	m.era.change = &EraChange{From: m.cursor, To: cursor, Source: from.Source, Peer: from.Peer}
}

// putCopied stores an object of the first state of an era. It reports whether the mirror changed.
func (m *Mirror) putCopied(o platform.Object, from Origin) bool {
	name := o.Name()
	old, ok := m.objects[name]
	hide := m.era.hidden[name] || !ok && m.broughtBack(o)
	switch {
	case ok && m.era.withdraws != nil && m.era.withdraws(old.Object, o):
		o.Value, from = old.Object.Value, old.Origin
		m.era.change.Kept++
	case ok && old.Object.Version.Number == o.Version.Number:
		from = old.Origin // as known before, most likely
	}
	changed := m.put(o, from)
	if hide {
		m.hide(name)
		m.era.change.noteHidden(name)
	}
	return changed
}

func (m *Mirror) hide(name string) {
	if m.era.hidden == nil {
		m.era.hidden = make(map[string]bool)
	}
	m.era.hidden[name] = true
}

// broughtBack reports whether an object of the first state of an era was removed here before, at a later revision than
// that of the version which the copy has. The mirror may never have had that version.
func (m *Mirror) broughtBack(o platform.Object) bool {
	r, ok := m.era.removed[o.Name()]
	return ok && m.era.same != nil && o.Version.Number <= r.revision.Number && m.era.same(r.object, o)
}

// noteHidden counts a hidden object.
func (c *EraChange) noteHidden(name string) {
	c.Hidden++
	if len(c.HiddenNames) < maxNamesKept {
		c.HiddenNames = append(c.HiddenNames, name)
	}
}

// retainMissing retains an object that the first state of an era lacks until the retention of the era ends, or drops it
// if that has ended. It reports whether it was dropped.
func (m *Mirror) retainMissing(name string, cursor revision.Revision, from Origin) bool {
	if !from.At.Before(m.era.retainEnd) {
		m.drop(name, cursor, from.At)
		return true
	}
	m.digested = false
	m.retainedUntil[name] = m.era.retainEnd
	return false
}

// retainedForEra reports whether an object is retained at an instant since the first state of the present era lacked it.
// Only what is written in the era ends that, not another state without the object.
func (m *Mirror) retainedForEra(name string, now time.Time) bool {
	version := m.objects[name].Object.Version
	_, retained := m.retainedUntil[name]
	return retained && version.Number == 0 && version.Era == m.cursor.Era && now.Before(m.era.retainEnd)
}

// renumberRetained gives the retained objects of earlier eras the revision before all others of an era: whatever the
// store writes in it replaces them.
func (m *Mirror) renumberRetained(era uint64) {
	for name := range m.retainedUntil {
		e := m.objects[name]
		if e.Object.Version.Era == era {
			continue
		}
		e.Object.Version = revision.Revision{Era: era}
		m.objects[name] = e
		if m.era.change != nil {
			m.era.change.Retained++
		}
	}
}

// recordRemoval records an object that no longer exists at a revision, in case that a copy of the store brings it back.
func (m *Mirror) recordRemoval(name string, at revision.Revision, now time.Time) {
	old, ok := m.objects[name]
	if m.era.same == nil || !ok {
		return
	}
	if m.era.removed == nil {
		m.era.removed = make(map[string]removal)
	}
	if len(m.era.removed) >= maxRemovals {
		m.forgetRemovals(now)
	}
	m.era.removed[name] = removal{object: old.Object, revision: at, at: now}
}

// forgetRemovals forgets the removals that are older than any copy of the store, or all if there are none.
func (m *Mirror) forgetRemovals(now time.Time) {
	for name, r := range m.era.removed {
		if now.Sub(r.at) > maxCopyAge {
			delete(m.era.removed, name)
		}
	}
	if len(m.era.removed) >= maxRemovals {
		clear(m.era.removed)
	}
}

// hideAll hides the objects that a peer hides, if this mirror has them in the same version. It reports whether anything
// changed.
func (m *Mirror) hideAll(objects []platform.Object, from Origin) bool {
	if !from.At.Before(m.era.hideEnd) {
		return false
	}
	changed := false
	for _, o := range objects {
		name := o.Name()
		if e, ok := m.objects[name]; !ok || e.Object.Version != o.Version || m.era.hidden[name] {
			continue
		}
		m.hide(name)
		changed = true
	}
	return changed
}

// showHidden shows the hidden objects if their time is over. It reports whether there were any.
func (m *Mirror) showHidden(now time.Time) bool {
	if len(m.era.hidden) == 0 || now.Before(m.era.hideEnd) {
		return false
	}
	clear(m.era.hidden)
	return true
}
