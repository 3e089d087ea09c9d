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
}

// Option changes a Mirror while it is made.
type Option func(*Mirror)

// WithHold keeps objects that went missing while the platform was away for a
// while after its return: their writers may put them back.
func WithHold(hold time.Duration) Option { return func(m *Mirror) { m.hold = hold } }

// New returns an empty mirror of a kind.
func New(kind string, opts ...Option) *Mirror {
	m := &Mirror{
		kind: kind, objects: make(map[string]platform.Object), held: make(map[string]time.Time),
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

// Verified notes that nothing up to a revision is missing.
func (m *Mirror) Verified(revision uint64) { m.newest = max(m.newest, revision) }

// Returned notes that the platform answers again after it was away.
func (m *Mirror) Returned(now time.Time) {
	if m.hold > 0 && m.cursor > 0 {
		m.holdTill = now.Add(m.hold)
	}
}

// List takes in a whole list and reports whether anything changed. A list that
// is older than what is known is ignored.
func (m *Mirror) List(page platform.Page, now time.Time) bool {
	if page.Cursor < m.cursor {
		return false
	}
	changed := m.cursor == 0
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

// Events takes in the changes that a watch from the cursor told, and reports
// whether anything changed.
func (m *Mirror) Events(page platform.Page, now time.Time) bool {
	changed := false
	for _, o := range page.Objects {
		m.newest = max(m.newest, o.Version)
		if o.Deleted {
			m.newest = max(m.newest, page.Cursor)
			changed = m.remove(o.Name(), o.Version, now) || changed
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
	m.objects[name] = o
	return !ok || wasHeld || known.Version != o.Version
}

// remove notes that an object is gone, as of a version. While objects are held,
// it stays for now.
func (m *Mirror) remove(name string, version uint64, now time.Time) bool {
	known, ok := m.objects[name]
	if !ok || known.Version > version {
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

// Page returns the state, for a peer.
func (m *Mirror) Page() platform.Page { return platform.Page{Cursor: m.cursor, Objects: m.Objects()} }
