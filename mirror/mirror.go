// Package mirror keeps a local copy of the platform's objects of one kind. The copy is
// updated from the platform or from other instances and never goes back to an older
// revision, whichever of them an update comes from. When the platform's store comes back
// from a copy, a new era begins: what the mirror knows then may be newer than the store's
// state, and does not all give way to it at once (see era.go).
package mirror

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickorydrum/platform"
	"hickorydrum/revision"
)

// Mirror is the local copy of the objects of one kind. It is not safe for concurrent use.
type Mirror struct {
	kind          string
	retention     time.Duration // how long missing objects are kept after an outage; 0 means not at all
	objects       map[string]Entry
	retainedUntil map[string]time.Time // by name, the end of the retention of a missing object
	cursor        revision.Revision    // see Cursor
	newest        revision.Revision    // see Newest
	digest        uint32               // see Digest; valid if digested is set
	digested      bool

	retentionEnd time.Time // objects that go missing before this time are retained until then
	// tombstones holds, by name, the objects that were removed after the revision
	// tombstonesFrom. Removals up to tombstonesFrom are not recorded.
	tombstones     map[string]tombstone
	tombstonesFrom revision.Revision
	era            era
}

// Source says who an update is from.
type Source string

// The sources.
const (
	FromWatch     Source = "watch"      // the store's events
	FromList      Source = "list"       // a list of the store
	FromStaleList Source = "stale-list" // a list of the store that may be some seconds old
	FromPeer      Source = "peer"       // another instance
)

// Origin says who an update is from and when it was received.
type Origin struct {
	Source Source
	Peer   string // address of the instance, "" for other sources
	At     time.Time
	// After is a time up to which the state before the update was current: the store acknowledged
	// the changes of the update after it. It is the zero time if that is not known.
	After time.Time
}

// Delay returns the longest time that may have passed between the store's acknowledgement of the
// update and its receipt, and false if that is not known.
func (o Origin) Delay() (time.Duration, bool) {
	if o.After.IsZero() {
		return 0, false
	}
	return max(0, o.At.Sub(o.After)), true
}

// Entry is an object of a mirror, with the origin of its version.
type Entry struct {
	Object platform.Object
	Origin Origin
}

// tombstone records that an object no longer existed at a revision.
type tombstone struct {
	revision revision.Revision
	origin   Origin
}

// maxTombstones is the largest number of removed objects that are recorded for peers.
// Beyond it, peers with an older cursor get the full state.
const maxTombstones = 1024

// Option configures a Mirror in New.
type Option func(*Mirror)

// WithRetention keeps objects that went missing during an outage of the platform for the
// given time after its recovery, since their writers may write them again.
func WithRetention(retention time.Duration) Option {
	return func(m *Mirror) { m.retention = retention }
}

// New returns an empty mirror of the objects of a kind.
func New(kind string, opts ...Option) *Mirror {
	m := &Mirror{
		kind: kind, objects: make(map[string]Entry), retainedUntil: make(map[string]time.Time),
		tombstones: make(map[string]tombstone),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Kind returns the kind of the objects.
func (m *Mirror) Kind() string { return m.kind }

// Prefix returns the prefix of the keys of the objects.
func (m *Mirror) Prefix() string { return m.kind + "/" }

// Cursor returns the revision of the platform's store up to which the mirror includes
// all changes. It is zero until the first list or full state is applied.
func (m *Mirror) Cursor() revision.Revision { return m.cursor }

// Newest returns the revision of the last change of the kind that the mirror includes.
// The cursor may be higher, since it also advances with changes of other kinds.
func (m *Mirror) Newest() revision.Revision { return m.newest }

// Digest returns a digest of the names and versions of the objects, without those that are retained. Mirrors of
// the same era with the same digest have the same objects, but for a chance of one in 2^32. Those with the same Newest may
// differ: one that was loaded by a list does not know of objects that were removed before.
func (m *Mirror) Digest() uint32 {
	if m.digested {
		return m.digest
	}
	sum := uint64(0) // of hashes, so that the order does not matter
	var version [8]byte
	for name, e := range m.objects {
		if _, retained := m.retainedUntil[name]; retained {
			continue
		}
		binary.LittleEndian.PutUint64(version[:], e.Object.Version.Number)
		hash := xxhash.New()
		_, _ = hash.WriteString(name) // it never fails
		_, _ = hash.Write(version[:])
		sum += hash.Sum64()
	}
	m.digest, m.digested = uint32(sum>>32), true
	return m.digest
}

// StartRetention starts the retention of missing objects. It is called when the platform
// answers again after an outage. It does nothing in a mirror without a retention, or
// before the first list or full state is applied.
func (m *Mirror) StartRetention(now time.Time) {
	if m.retention > 0 && !m.cursor.IsZero() {
		m.retentionEnd = now.Add(m.retention)
	}
}

// List replaces the state by a list of all objects and reports whether anything
// changed. A list with a cursor below that of the mirror is ignored, and objects of the
// mirror that are newer than the list are kept. The first list of a new era begins that era.
func (m *Mirror) List(page platform.Page, from Origin) bool {
	return m.list(page, from, m.era.retention)
}

// list is like List. If a new era begins, it retains the objects that the list lacks for the time retain.
func (m *Mirror) list(page platform.Page, from Origin, retain time.Duration) bool {
	if m.cursor.After(page.Cursor) {
		return false
	}
	begins := page.Cursor.NewEra(m.cursor)
	if begins {
		m.beginEra(page.Cursor, from, retain)
	}
	changed := m.cursor.IsZero()
	if page.Cursor.After(m.cursor) {
		// The list does not show objects that were created and removed since the old
		// cursor, so the record of removals is not complete from before it.
		m.tombstonesFrom = page.Cursor
		clear(m.tombstones)
	}
	m.newest = revision.Max(m.newest, revision.Revision{Era: page.Cursor.Era})
	put, remove := m.put, m.removeMissing
	if begins {
		put, remove = m.putCopied, m.retainMissing
	}
	listed := make(map[string]bool, len(page.Objects))
	for _, o := range page.Objects {
		listed[o.Name()] = true
		m.newest = revision.Max(m.newest, o.Version)
		changed = put(o, from) || changed
	}
	for name, o := range m.objects {
		if !listed[name] && !o.Object.Version.After(page.Cursor) {
			changed = remove(name, page.Cursor, from) || changed
		}
	}
	if page.Cursor.Era > m.cursor.Era {
		m.renumberRetained(page.Cursor.Era)
	}
	m.cursor = page.Cursor
	return changed
}

// removeMissing removes an object that a list lacks, unless it is retained since the present era began. It reports whether
// the object was dropped.
func (m *Mirror) removeMissing(name string, cursor revision.Revision, from Origin) bool {
	if m.retainedForEra(name, from.At) {
		return false
	}
	if _, retained := m.retainedUntil[name]; !retained {
		m.newest = revision.Max(m.newest, cursor) // the revision of the removal is not known
	}
	return m.remove(name, cursor, from)
}

// ApplyEvents applies the changes that a watch from the cursor returned, and reports
// whether anything changed. Changes of another era than the cursor's are ignored.
func (m *Mirror) ApplyEvents(page platform.Page, from Origin) bool {
	if page.Cursor.Era != m.cursor.Era {
		return false
	}
	changed := false
	for _, o := range page.Objects {
		m.newest = revision.Max(m.newest, o.Version)
		if o.Deleted {
			m.newest = revision.Max(m.newest, page.Cursor)
			changed = m.removeAt(o.Name(), o.Version, page.Cursor, from) || changed
			continue
		}
		if m.knowsRemoved(o) {
			continue // a peer's state has overtaken the watch
		}
		changed = m.put(o, from) || changed
	}
	// A watch that returns no change may have missed one, so its cursor is not adopted.
	// The next watch from the old cursor returns the missed change, or fails because the
	// cursor is too old.
	if len(page.Objects) > 0 {
		m.cursor = revision.Max(m.cursor, page.Cursor)
	}
	return changed
}

// put stores an object, or removes it if it is marked as deleted, unless the mirror has a
// newer version. It reports whether the mirror changed.
func (m *Mirror) put(o platform.Object, from Origin) bool {
	name := o.Name()
	if o.Deleted {
		return m.remove(name, o.Version, from)
	}
	old, ok := m.objects[name]
	if ok && old.Object.Version.After(o.Version) {
		return false
	}
	m.digested = false
	_, wasRetained := m.retainedUntil[name]
	delete(m.retainedUntil, name)
	delete(m.tombstones, name)
	if ok && old.Object.Version == o.Version {
		return wasRetained
	}
	m.objects[name] = Entry{Object: o, Origin: from}
	delete(m.era.hidden, name)
	return true
}

// remove removes an object that no longer exists at the revision version, unless the
// mirror has a newer version of it. During a retention the object stays until that ends.
// It reports whether the object was dropped.
func (m *Mirror) remove(name string, version revision.Revision, from Origin) bool {
	return m.removeAt(name, version, version, from)
}

// removeAt is like remove, but records at as the revision of the removal. The event of a
// removal may carry the object's last version, while the store's revision is higher.
func (m *Mirror) removeAt(name string, version, at revision.Revision, from Origin) bool {
	old, ok := m.objects[name]
	if ok && old.Object.Version.After(version) {
		return false
	}
	m.addTombstone(name, tombstone{revision: at, origin: from})
	if !ok {
		return false
	}
	m.digested = false
	if from.At.Before(m.retentionEnd) {
		if _, retained := m.retainedUntil[name]; !retained {
			m.retainedUntil[name] = m.retentionEnd
		}
		return false
	}
	m.drop(name, at, from.At)
	return true
}

// addTombstone records for peers that an object no longer exists at a revision. When
// there are more than maxTombstones, it discards all of them and advances tombstonesFrom.
func (m *Mirror) addTombstone(name string, t tombstone) {
	m.tombstones[name] = t
	if len(m.tombstones) <= maxTombstones {
		return
	}
	for _, t := range m.tombstones {
		m.tombstonesFrom = revision.Max(m.tombstonesFrom, t.revision)
	}
	clear(m.tombstones)
}

// drop deletes an object, of which it is known at an instant that it no longer exists at a revision.
func (m *Mirror) drop(name string, at revision.Revision, now time.Time) {
	m.recordRemoval(name, at, now)
	m.digested = false
	delete(m.objects, name)
	delete(m.retainedUntil, name)
	delete(m.era.hidden, name)
}

// Expire drops the retained objects whose retention is over, shows the hidden ones whose time is over, and
// reports whether there were any.
func (m *Mirror) Expire(now time.Time) bool {
	changed := m.showHidden(now)
	for name, until := range m.retainedUntil {
		if !now.Before(until) {
			m.drop(name, m.cursor, now)
			changed = true
		}
	}
	return changed
}

// NextExpiry returns when Expire next has something to do, and false if nothing is retained or hidden.
func (m *Mirror) NextExpiry() (time.Time, bool) {
	var next time.Time
	if len(m.era.hidden) > 0 {
		next = m.era.hideEnd
	}
	for _, until := range m.retainedUntil {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next, !next.IsZero()
}

// Entries returns the objects, retained ones included and hidden ones left out, sorted by key.
func (m *Mirror) Entries() []Entry {
	return slices.DeleteFunc(m.all(), func(e Entry) bool { return m.era.hidden[e.Object.Name()] })
}

// all returns all objects, sorted by key.
func (m *Mirror) all() []Entry {
	out := make([]Entry, 0, len(m.objects))
	for _, e := range m.objects {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Object.Key, b.Object.Key) })
	return out
}

// Revisions returns the revisions after the given one at which the mirror knows objects to have changed or to
// have been removed: at most one for each of these changes.
func (m *Mirror) Revisions(after revision.Revision) []revision.Revision {
	var out []revision.Revision
	for _, e := range m.objects {
		if e.Object.Version.After(after) {
			out = append(out, e.Object.Version)
		}
	}
	for _, t := range m.tombstones {
		if t.revision.After(after) {
			out = append(out, t.revision)
		}
	}
	return out
}

// Removal returns the origin of the removal of an object, and false if it is not recorded.
func (m *Mirror) Removal(name string) (Origin, bool) {
	t, ok := m.tombstones[name]
	return t.origin, ok
}
