// Package mirror holds what an instance believes about one kind of object of the
// platform. What it knows never becomes older, from whomever it is told.
package mirror

import (
	"slices"
	"strings"
	"time"

	"hickorydrum/platform"
)

// Mirror is the state of one kind. It is not safe for use at the same time.
type Mirror struct {
	kind    string
	hold    time.Duration
	objects map[string]platform.Object
	held    map[string]time.Time // until when a missing object is kept
	cursor  uint64
	newest  uint64

	holdTill time.Time // until when objects that go missing are kept
	// gone holds the objects that were removed after the revision goneSince, each with
	// one by which it was.
	gone      map[string]uint64
	goneSince uint64
}

// maxGone is how many removed objects are kept for peers.
const maxGone = 1024

// Option changes a Mirror while it is made.
type Option func(*Mirror)

// WithRetention keeps objects that went missing while the platform was away for a
// while after its return: their writers may put them back.
func WithRetention(hold time.Duration) Option { return func(m *Mirror) { m.hold = hold } }

// New returns an empty mirror of a kind.
func New(kind string, opts ...Option) *Mirror {
	m := &Mirror{
		kind: kind, objects: make(map[string]platform.Object), held: make(map[string]time.Time),
		gone: make(map[string]uint64),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Kind returns the kind.
func (m *Mirror) Kind() string { return m.kind }

// Prefix returns the prefix of the keys of the kind.
func (m *Mirror) Prefix() string { return m.kind + "/" }

// Cursor returns the revision up to which the state is known; 0 means that
// nothing is.
func (m *Mirror) Cursor() uint64 { return m.cursor }

// Newest returns the revision of the last change that is known. It differs from
// the cursor, which also moves with changes of other kinds.
func (m *Mirror) Newest() uint64 { return m.newest }

// StartRetention notes that the platform answers again after it was away.
func (m *Mirror) StartRetention(now time.Time) {
	if m.hold > 0 && m.cursor > 0 {
		m.holdTill = now.Add(m.hold)
	}
}

// ApplyList takes in a whole list and reports whether anything changed. A list that
// is older than what is known is ignored.
func (m *Mirror) ApplyList(page platform.Page, now time.Time) bool {
	if page.Cursor < m.cursor {
		return false
	}
	changed := m.cursor == 0
	if page.Cursor > m.cursor {
		// Objects that came and went since the last revision are not known.
		m.goneSince = page.Cursor
		clear(m.gone)
	}
	listed := make(map[string]bool, len(page.Objects))
	for _, o := range page.Objects {
		listed[o.Name()] = true
		m.newest = max(m.newest, o.Version)
		changed = m.put(o, now) || changed
	}
	for name, o := range m.objects {
		if !listed[name] && o.Version <= page.Cursor {
			changed = m.remove(name, page.Cursor, now) || changed
		}
	}
	m.cursor = page.Cursor
	return changed
}

// ApplyEvents takes in the changes that a watch from the cursor told, and reports
// whether anything changed.
func (m *Mirror) ApplyEvents(page platform.Page, now time.Time) bool {
	changed := false
	for _, o := range page.Objects {
		m.newest = max(m.newest, o.Version)
		if o.Deleted {
			m.newest = max(m.newest, page.Cursor)
			changed = m.removeBy(o.Name(), o.Version, page.Cursor, now) || changed
			continue
		}
		changed = m.put(o, now) || changed
	}
	// A watch that ends without a change may have missed one: its cursor proves
	// nothing. The next watch from the old cursor tells it, or that it is too old.
	if len(page.Objects) > 0 {
		m.cursor = max(m.cursor, page.Cursor)
	}
	return changed
}

// put takes in one object unless something newer is known.
func (m *Mirror) put(o platform.Object, now time.Time) bool {
	name := o.Name()
	if o.Deleted {
		return m.remove(name, o.Version, now)
	}
	known, ok := m.objects[name]
	if ok && known.Version > o.Version {
		return false
	}
	_, wasHeld := m.held[name]
	delete(m.held, name)
	delete(m.gone, name)
	m.objects[name] = o
	return !ok || wasHeld || known.Version != o.Version
}

// remove notes that an object is gone, as of a version. While objects are held,
// it stays for now.
func (m *Mirror) remove(name string, version uint64, now time.Time) bool {
	return m.removeBy(name, version, version, now)
}

// removeBy is remove for an object that was gone by a later revision than the version.
func (m *Mirror) removeBy(name string, version, by uint64, now time.Time) bool {
	known, ok := m.objects[name]
	if ok && known.Version > version {
		return false
	}
	m.bury(name, by)
	if !ok {
		return false
	}
	if now.Before(m.holdTill) {
		if _, held := m.held[name]; !held {
			m.held[name] = m.holdTill
		}
		return false
	}
	m.drop(name)
	return true
}

// bury keeps for peers that an object was removed.
func (m *Mirror) bury(name string, by uint64) {
	m.gone[name] = by
	if len(m.gone) <= maxGone {
		return
	}
	for _, revision := range m.gone {
		m.goneSince = max(m.goneSince, revision)
	}
	clear(m.gone)
}

func (m *Mirror) drop(name string) {
	delete(m.objects, name)
	delete(m.held, name)
}

// Expire drops the held objects whose time is over and reports whether there
// were any.
func (m *Mirror) Expire(now time.Time) bool {
	changed := false
	for name, till := range m.held {
		if !now.Before(till) {
			m.drop(name)
			changed = true
		}
	}
	return changed
}

// Objects returns the objects in the order of their names.
func (m *Mirror) Objects() []platform.Object {
	out := make([]platform.Object, 0, len(m.objects))
	for _, o := range m.objects {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// State is what a peer tells of a kind.
type State struct {
	// Cursor is the revision up to which it holds, and Newest that of the last change.
	Cursor, Newest uint64
	// Full states that it holds all objects; else it holds what changed after the
	// cursor that was asked for.
	Full bool
	// Retention is for how much longer removed objects are kept.
	Retention    time.Duration
	Objects []platform.Object
}

// Since returns what changed after a cursor, for a peer, or the whole state.
func (m *Mirror) Since(cursor uint64, now time.Time) State {
	s := State{Cursor: m.cursor, Newest: m.newest, Full: cursor < m.goneSince || cursor == 0}
	if hold := m.holdTill.Sub(now); hold > 0 {
		s.Retention = hold
	}
	for _, o := range m.Objects() {
		if s.Full || o.Version > cursor {
			s.Objects = append(s.Objects, o)
		}
	}
	removed := func(name string, by uint64) {
		s.Objects = append(s.Objects, platform.Object{Key: m.Prefix() + name, Version: by, Deleted: true})
	}
	for name := range m.held {
		removed(name, m.cursor)
	}
	for name, by := range m.gone {
		if _, held := m.held[name]; !held && !s.Full && by > cursor {
			removed(name, by)
		}
	}
	return s
}

// Merge takes in what a peer told when it was asked for the changes after the cursor of
// this mirror, or after an older one. It reports whether anything changed. A state that
// is older than what is known is ignored.
func (m *Mirror) Merge(s State, now time.Time) bool {
	if s.Cursor < m.cursor || m.cursor == 0 && !s.Full {
		return false
	}
	if s.Retention > 0 && m.hold > 0 && now.Add(s.Retention).After(m.holdTill) {
		m.holdTill = now.Add(s.Retention)
	}
	var living, removed []platform.Object
	for _, o := range s.Objects {
		if o.Deleted {
			removed = append(removed, o)
		} else {
			living = append(living, o)
		}
	}
	changed := false
	if s.Full {
		changed = m.ApplyList(platform.Page{Cursor: s.Cursor, Objects: living}, now)
	} else {
		changed = m.ApplyEvents(platform.Page{Cursor: s.Cursor, Objects: living}, now)
	}
	changed = m.ApplyEvents(platform.Page{Cursor: s.Cursor, Objects: removed}, now) || changed
	m.cursor = max(m.cursor, s.Cursor)
	m.newest = max(m.newest, s.Newest)
	return changed
}
