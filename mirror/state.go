package mirror

import (
	"time"

	"hickorydrum/platform"
)

// State is what an instance sends to a peer about one kind.
type State struct {
	// Cursor is the revision up to which the state includes all changes, and Newest that of
	// the last change of the kind.
	Cursor, Newest uint64
	// Full reports that Objects are all objects of the kind. Otherwise they are those that
	// changed after the requested cursor.
	Full bool
	// Retention is the time left of the retention of missing objects, 0 if there is none.
	Retention time.Duration
	// Objects are the objects, and with Deleted set the removed ones. A retained object has
	// an entry with Deleted set after the one with its value, so that the peer retains it too.
	// Both are there even if the object did not change after the requested cursor.
	Objects []platform.Object
}

// Since returns the state for a peer whose mirror has the given cursor: the changes after
// the cursor, or the full state if the cursor is 0 or precedes the recorded removals.
func (m *Mirror) Since(cursor uint64, now time.Time) State {
	s := State{Cursor: m.cursor, Newest: m.newest, Full: cursor < m.tombstonesFrom || cursor == 0}
	if remaining := m.retentionEnd.Sub(now); remaining > 0 {
		s.Retention = remaining
	}
	for _, e := range m.Entries() {
		_, retained := m.retainedUntil[e.Object.Name()]
		if s.Full || e.Object.Version > cursor || retained {
			s.Objects = append(s.Objects, e.Object)
		}
	}
	removed := func(name string, at uint64) {
		s.Objects = append(s.Objects, platform.Object{Key: m.Prefix() + name, Version: at, Deleted: true})
	}
	for name := range m.retainedUntil {
		removed(name, m.cursor)
	}
	for name, t := range m.tombstones {
		if _, retained := m.retainedUntil[name]; !retained && !s.Full && t.revision > cursor {
			removed(name, t.revision)
		}
	}
	return s
}

// knowsRemoved reports whether a version of an object is one that the mirror knows to be removed:
// it includes all changes up to its cursor, but not that object.
func (m *Mirror) knowsRemoved(o platform.Object) bool {
	_, ok := m.objects[o.Name()]
	return !ok && o.Version <= m.cursor
}

// mergeFinal applies the objects that a peer has and those that it has no more, without a retention.
func (m *Mirror) mergeFinal(s State, present, removed []platform.Object, from Origin) bool {
	end := m.retentionEnd
	m.retentionEnd = time.Time{}
	defer func() { m.retentionEnd = end }()
	changed := false
	if s.Full {
		changed = m.List(platform.Page{Cursor: s.Cursor, Objects: present}, from)
	} else {
		changed = m.ApplyEvents(platform.Page{Cursor: s.Cursor, Objects: present}, from)
	}
	return m.ApplyEvents(platform.Page{Cursor: s.Cursor, Objects: removed}, from) || changed
}

// Merge applies the state that a peer sent in response to a request for the changes after
// the cursor of this mirror, or after a lower one. It reports whether anything changed. A
// state with a cursor below that of this mirror is ignored, and so is one that is not full
// while this mirror is empty. Of what the peer retains, only what this mirror has, or has not
// seen yet, is kept. What the peer has no more and does not retain is not retained here either: it
// was removed while the store served that peer or another one.
func (m *Mirror) Merge(s State, from Origin) bool {
	if s.Cursor < m.cursor || m.cursor == 0 && !s.Full {
		return false
	}
	if s.Retention > 0 && m.retention > 0 && from.At.Add(s.Retention).After(m.retentionEnd) {
		m.retentionEnd = from.At.Add(s.Retention)
	}
	var present, removed, retained []platform.Object
	has := make(map[string]bool, len(s.Objects))
	for _, o := range s.Objects {
		switch {
		case !o.Deleted:
			has[o.Name()] = true
			if !m.knowsRemoved(o) {
				present = append(present, o)
			}
		case has[o.Name()]:
			retained = append(retained, o)
		default:
			removed = append(removed, o)
		}
	}
	changed := m.mergeFinal(s, present, removed, from)
	changed = m.ApplyEvents(platform.Page{Cursor: s.Cursor, Objects: retained}, from) || changed
	m.cursor = max(m.cursor, s.Cursor)
	m.newest = max(m.newest, s.Newest)
	return changed
}
