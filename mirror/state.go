package mirror

import (
	"slices"
	"time"

	"hickorydrum/platform"
	"hickorydrum/revision"
)

// State is what an instance sends to a peer about one kind.
type State struct {
	// Cursor is the revision up to which the state includes all changes, and Newest that of
	// the last change of the kind. The objects are all of the era of the cursor.
	Cursor, Newest revision.Revision
	// Full reports that Objects are all objects of the kind. Otherwise they are those that
	// changed after the requested cursor.
	Full bool
	// Retention is the time left of the retention of missing objects, 0 if there is none.
	Retention time.Duration
	// Objects are the objects, and with Deleted set the removed ones. A retained object has
	// an entry with Deleted set after the one with its value, so that the peer retains it too.
	// A hidden object has such an entry before the one with its value: a peer that knows nothing
	// of hidden objects removes it. Both are there even if the object did not change after the
	// requested cursor.
	Objects []platform.Object
}

// Since returns the state for a peer whose mirror has the given cursor: the changes after
// the cursor, or the full state if the cursor is zero or of another era, or precedes the recorded
// removals.
func (m *Mirror) Since(cursor revision.Revision, now time.Time) State {
	s := State{Cursor: m.cursor, Newest: m.newest}
	s.Full = m.tombstonesFrom.After(cursor) || cursor.IsZero() || cursor.Era != m.cursor.Era
	s.Retention = max(0, m.retentionEnd.Sub(now), m.era.retainEnd.Sub(now))
	removed := func(name string, at revision.Revision) {
		s.Objects = append(s.Objects, platform.Object{Key: m.Prefix() + name, Version: at, Deleted: true})
	}
	for _, e := range m.all() {
		name := e.Object.Name()
		_, retained := m.retainedUntil[name]
		if m.era.hidden[name] {
			removed(name, e.Object.Version)
		}
		if s.Full || e.Object.Version.After(cursor) || retained || m.era.hidden[name] {
			s.Objects = append(s.Objects, e.Object)
		}
	}
	for name := range m.retainedUntil {
		removed(name, m.cursor)
	}
	for name, t := range m.tombstones {
		if _, retained := m.retainedUntil[name]; !retained && !s.Full && t.revision.After(cursor) {
			removed(name, t.revision)
		}
	}
	return s
}

// knowsRemoved reports whether a version of an object is one that the mirror knows to be removed:
// it includes all changes up to its cursor, but not that object.
func (m *Mirror) knowsRemoved(o platform.Object) bool {
	_, ok := m.objects[o.Name()]
	return !ok && !o.Version.After(m.cursor)
}

// mergeFinal applies the objects that a peer has and those that it has no more, without a retention but that of an
// era that begins.
func (m *Mirror) mergeFinal(s *State, present, removed []platform.Object, from Origin) bool {
	end := m.retentionEnd
	m.retentionEnd = time.Time{}
	defer func() { m.retentionEnd = end }()
	changed := false
	if s.Full {
		changed = m.list(platform.Page{Cursor: s.Cursor, Objects: present}, from, min(s.Retention, m.era.retention))
	} else {
		changed = m.ApplyEvents(platform.Page{Cursor: s.Cursor, Objects: present}, from)
	}
	return m.ApplyEvents(platform.Page{Cursor: s.Cursor, Objects: removed}, from) || changed
}

// Merge applies the state that a peer sent in response to a request for the changes after
// the cursor of this mirror, or after a lower one. It reports whether anything changed. A
// state with a cursor below that of this mirror is ignored, and so is one that is not full
// while this mirror is empty or of another era. Of what the peer retains, only what this mirror has, or has not
// seen yet, is kept. What the peer has no more and does not retain is not retained here either: it
// was removed while the store served that peer or another one. If the state begins a new era, what
// only this mirror knows is retained for as long as the peer retains what it knew.
func (m *Mirror) Merge(s State, from Origin) bool {
	if m.cursor.After(s.Cursor) || !s.Full && (m.cursor.IsZero() || m.cursor.Era != s.Cursor.Era) {
		return false
	}
	if m.cursor.IsZero() {
		m.era.hideEnd = from.At.Add(m.era.hideFor)
		m.era.retainEnd = from.At.Add(min(s.Retention, m.era.retention))
	}
	afterOutage := m.retention > 0 && !s.Cursor.NewEra(m.cursor) && !from.At.Before(m.era.retainEnd)
	if s.Retention > 0 && afterOutage && from.At.Add(s.Retention).After(m.retentionEnd) {
		m.retentionEnd = from.At.Add(s.Retention)
	}
	parts := m.divide(s.Objects)
	changed := m.mergeFinal(&s, parts.present, parts.removed, from)
	changed = m.retainAll(&s, parts.retained, from) || changed
	changed = m.hideAll(parts.hidden, from) || changed
	m.cursor = revision.Max(m.cursor, s.Cursor)
	m.newest = revision.Max(m.newest, s.Newest)
	return changed
}

// retainAll retains what a peer retains, if this mirror has it. That is no change of its own: the peer says with the
// state which one was the last.
func (m *Mirror) retainAll(s *State, retained []platform.Object, from Origin) bool {
	end, newest := m.retentionEnd, m.newest
	defer func() { m.retentionEnd, m.newest = end, newest }()
	if m.era.retainEnd.After(end) {
		m.retentionEnd = m.era.retainEnd
	}
	return m.ApplyEvents(platform.Page{Cursor: s.Cursor, Objects: retained}, from)
}

// stateParts are the objects of a State by what the peer says of them.
type stateParts struct {
	present, removed, retained, hidden []platform.Object
}

// divide divides the objects of a peer's state. Those that this mirror knows to be removed are left out.
func (m *Mirror) divide(objects []platform.Object) stateParts {
	var parts stateParts
	has := make(map[string]bool, len(objects))
	deleted := make(map[string]bool)
	for _, o := range objects {
		name := o.Name()
		switch {
		case !o.Deleted:
			has[name] = true
			if !m.knowsRemoved(o) {
				parts.present = append(parts.present, o)
			}
			if deleted[name] {
				parts.hidden = append(parts.hidden, o)
			}
		case has[name]:
			parts.retained = append(parts.retained, o)
		default:
			deleted[name] = true
			parts.removed = append(parts.removed, o)
		}
	}
	parts.removed = slices.DeleteFunc(parts.removed, func(o platform.Object) bool { return has[o.Name()] })
	return parts
}
