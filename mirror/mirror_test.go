package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/platform"
	"hickorydrum/revision"
)

var start = time.Unix(1000, 0)

// rev returns a revision of the first era.
func rev(number uint64) revision.Revision { return revision.Revision{Era: 1, Number: number} }

func object(name string, version uint64) platform.Object {
	return platform.Object{Key: "k/" + name, Version: rev(version), Value: []byte(fmt.Sprint(version))}
}

// at is the origin of an update that is received from the store at an instant.
func at(now time.Time) Origin { return Origin{Source: FromWatch, At: now} }

func deleted(name string, version uint64) platform.Object {
	o := object(name, version)
	o.Deleted = true
	return o
}

func page(cursor uint64, objects ...platform.Object) platform.Page {
	return platform.Page{Cursor: rev(cursor), Objects: objects}
}

func versions(m *Mirror) map[string]uint64 {
	out := make(map[string]uint64)
	for _, e := range m.Entries() {
		out[e.Object.Name()] = e.Object.Version.Number
	}
	return out
}

func TestMirror(t *testing.T) {
	type step func(m *Mirror, now time.Time) bool
	list := func(p platform.Page) step { return func(m *Mirror, now time.Time) bool { return m.List(p, at(now)) } }
	events := func(p platform.Page) step {
		return func(m *Mirror, now time.Time) bool { return m.ApplyEvents(p, at(now)) }
	}
	recovery := func(m *Mirror, now time.Time) bool { m.StartRetention(now); return false }
	expire := func(m *Mirror, now time.Time) bool { return m.Expire(now) }
	tests := map[string]struct {
		steps   []step
		at      []time.Duration // time of each step after start; a missing one means 0
		changed []bool
		want    map[string]uint64
		cursor  uint64
	}{
		"a list": {
			steps: []step{list(page(5, object("a", 2)))}, changed: []bool{true},
			want: map[string]uint64{"a": 2}, cursor: 5,
		},
		"an empty list counts as loaded": {
			steps: []step{list(page(5))}, changed: []bool{true}, want: map[string]uint64{}, cursor: 5,
		},
		"an older list from a peer": {
			steps:   []step{list(page(5, object("a", 4))), list(page(3, object("a", 2), object("b", 3)))},
			changed: []bool{true, false}, want: map[string]uint64{"a": 4}, cursor: 5,
		},
		"a newer list without an object": {
			steps:   []step{list(page(5, object("a", 4), object("b", 5))), list(page(8, object("b", 5)))},
			changed: []bool{true, true}, want: map[string]uint64{"b": 5}, cursor: 8,
		},
		"events": {
			steps:   []step{list(page(5, object("a", 4))), events(page(9, object("a", 6), object("b", 7), deleted("a", 9)))},
			changed: []bool{true, true}, want: map[string]uint64{"b": 7}, cursor: 9,
		},
		"a repeated event": {
			steps:   []step{list(page(5, object("a", 4))), events(page(6, object("a", 4)))},
			changed: []bool{true, false}, want: map[string]uint64{"a": 4}, cursor: 6,
		},
		"an empty watch does not move the cursor": {
			steps:   []step{list(page(5, object("a", 4))), events(page(9))},
			changed: []bool{true, false}, want: map[string]uint64{"a": 4}, cursor: 5,
		},
		"missing after an outage: retained": {
			steps:   []step{list(page(5, object("a", 4))), recovery, list(page(9)), expire},
			at:      []time.Duration{0, time.Second, time.Second, 2 * time.Second},
			changed: []bool{true, false, false, false}, want: map[string]uint64{"a": 4}, cursor: 9,
		},
		"missing after an outage: dropped in the end": {
			steps:   []step{list(page(5, object("a", 4))), recovery, list(page(9)), expire},
			at:      []time.Duration{0, time.Second, time.Second, 3 * time.Second},
			changed: []bool{true, false, false, true}, want: map[string]uint64{}, cursor: 9,
		},
		"missing after an outage: written again in time": {
			steps:   []step{list(page(5, object("a", 4))), recovery, list(page(9)), events(page(11, object("a", 11))), expire},
			at:      []time.Duration{0, time.Second, time.Second, 2 * time.Second, 4 * time.Second},
			changed: []bool{true, false, false, true, false}, want: map[string]uint64{"a": 11}, cursor: 11,
		},
		"missing long after an outage": {
			steps:   []step{list(page(5, object("a", 4))), recovery, list(page(9))},
			at:      []time.Duration{0, time.Second, 4 * time.Second},
			changed: []bool{true, false, true}, want: map[string]uint64{}, cursor: 9,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := New("k", WithRetention(2*time.Second))
			var changed []bool
			for i, s := range test.steps {
				now := start
				if i < len(test.at) {
					now = start.Add(test.at[i])
				}
				changed = append(changed, s(m, now))
			}
			if diff := cmp.Diff([]any{test.changed, test.want, test.cursor}, []any{changed, versions(m), m.Cursor().Number}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// model is a store of one kind of object whose history can be dropped.
type model struct {
	revision uint64
	objects  map[string]uint64
	history  []platform.Object // deletions and changes, in the order of their versions
	oldest   uint64            // watches from an older cursor are refused
}

func (s *model) change(r *rand.Rand) {
	s.revision++
	name := string(rune('a' + r.IntN(4)))
	if _, ok := s.objects[name]; ok && r.IntN(2) == 0 {
		delete(s.objects, name)
		s.history = append(s.history, deleted(name, s.revision))
		return
	}
	s.objects[name] = s.revision
	s.history = append(s.history, object(name, s.revision))
}

func (s *model) list() platform.Page {
	p := page(s.revision)
	for name, version := range s.objects {
		p.Objects = append(p.Objects, object(name, version))
	}
	return p
}

func (s *model) watch(cursor uint64) (platform.Page, bool) {
	if cursor < s.oldest {
		return platform.Page{}, false
	}
	p := page(s.revision)
	for _, o := range s.history {
		if o.Version.Number > cursor {
			p.Objects = append(p.Objects, o)
		}
	}
	return p, true
}

// TestInterleavings runs changes, lists, watches, stalled watches, dropped histories and
// merges from a lagging peer in random order. It guards against a mirror that mixes states
// or goes back: at any time a mirror must equal the store at some revision, which never
// decreases, and after a list or a watch it must equal the store's newest state.
func TestInterleavings(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := &model{objects: make(map[string]uint64)}
		states := []map[string]uint64{{}}
		m, peer, far := New("k"), New("k"), New("k") // far is updated by the other two only
		follow := func(m *Mirror) {
			if !m.Cursor().IsZero() {
				if p, ok := s.watch(m.Cursor().Number); ok {
					m.ApplyEvents(p, at(start))
					return
				}
			}
			m.List(s.list(), at(start))
		}
		last, lastFar := 0, 0
		for step := range 60 {
			synced := false // m has just read the state of the store
			switch r.IntN(9) {
			case 0, 1:
				s.change(r)
				copied := make(map[string]uint64)
				for name, v := range s.objects {
					copied[name] = v
				}
				states = append(states, copied)
			case 2:
				follow(m)
				synced = true
			case 3:
				follow(peer)
			case 4: // a stalled watch returns the store's revision without events
				if !m.Cursor().IsZero() {
					m.ApplyEvents(page(s.revision), at(start))
				}
			case 5:
				s.oldest = s.revision
				s.history = nil
			case 6:
				if !peer.Cursor().IsZero() {
					m.Merge(peer.Since(m.Cursor(), start), at(start))
				}
			case 7, 8:
				source := m
				if r.IntN(2) == 0 {
					source = peer
				}
				if !source.Cursor().IsZero() {
					far.Merge(source.Since(far.Cursor(), start), at(start))
				}
				for !far.Cursor().IsZero() && lastFar < len(states) && !cmp.Equal(states[lastFar], versions(far)) {
					lastFar++
				}
				if lastFar == len(states) {
					t.Fatalf("seed %d, step %d: a mirror updated from mirrors holds %v, which is no later state of the store", seed, step, versions(far))
				}
			}
			if m.Cursor().IsZero() {
				continue
			}
			at := -1
			for i := len(states) - 1; i >= last; i-- {
				if cmp.Equal(states[i], versions(m)) {
					at = i
					break
				}
			}
			if at < 0 || synced && at != len(states)-1 {
				t.Fatalf("seed %d, step %d: the mirror holds %v, the store %v", seed, step, versions(m), s.objects)
			}
			if synced {
				last = at
			}
		}
	}
}

// TestMergeHolds guards against the loss of an object that went missing during an outage at
// instances that learn of it from a peer: they must retain it as the peer does, and drop it
// when the retention ends without a new write.
func TestMergeHolds(t *testing.T) {
	source := New("k", WithRetention(2*time.Second))
	source.List(page(5, object("a", 2), object("b", 3)), at(start))
	near := New("k", WithRetention(2*time.Second))
	near.Merge(source.Since(near.Cursor(), start), at(start))
	source.StartRetention(start)
	source.List(page(8, object("a", 2), object("c", 8)), at(start))
	for name, m := range map[string]*Mirror{"merged before the outage": near, "new": New("k", WithRetention(2*time.Second))} {
		m.Merge(source.Since(m.Cursor(), start), at(start))
		if diff := cmp.Diff(map[string]uint64{"a": 2, "b": 3, "c": 8}, versions(m)); diff != "" {
			t.Errorf("%s, right after the recovery: %s", name, diff)
		}
		m.Expire(start.Add(2 * time.Second))
		if diff := cmp.Diff(map[string]uint64{"a": 2, "c": 8}, versions(m)); diff != "" {
			t.Errorf("%s, after the retention: %s", name, diff)
		}
	}
}

// TestManyRemoved removes more objects than are recorded as tombstones. A peer with an older
// cursor must get the full state, or it would keep objects that no longer exist.
func TestManyRemoved(t *testing.T) {
	m, peer := New("k"), New("k")
	var all []platform.Object
	for i := range uint64(maxTombstones + 2) {
		all = append(all, object(fmt.Sprint(i), i+1))
	}
	m.List(page(maxTombstones+2, all...), at(start))
	peer.Merge(m.Since(revision.Revision{}, start), at(start))
	m.List(page(maxTombstones+10, all[0]), at(start))
	s := m.Since(peer.Cursor(), start)
	if !s.Full {
		t.Error("the state is not full")
	}
	peer.Merge(s, at(start))
	if diff := cmp.Diff(versions(m), versions(peer)); diff != "" {
		t.Error(diff)
	}
}

// TestRemovedStaysRemoved guards against an object that has been removed and comes back from a
// peer that still has an older version of it. Such a peer has been without the store for a time
// and retains what it finds missing.
func TestRemovedStaysRemoved(t *testing.T) {
	retaining := func(objects ...platform.Object) *Mirror {
		m := New("k", WithRetention(2*time.Second))
		m.List(page(5, objects...), at(start))
		m.StartRetention(start)
		m.List(page(20, object("b", 3)), at(start))
		return m
	}
	tests := map[string]struct {
		setUp func(m *Mirror)
		peer  *Mirror
		want  map[string]uint64
	}{
		"by an event": {
			setUp: func(m *Mirror) {
				m.List(page(5, object("a", 2), object("b", 3)), at(start))
				m.ApplyEvents(page(12, deleted("a", 12)), at(start))
			},
			peer: retaining(object("a", 2), object("b", 3)), want: map[string]uint64{"b": 3},
		},
		"by an event, after a version that the peer has not": {
			setUp: func(m *Mirror) {
				m.List(page(5, object("a", 2), object("b", 3)), at(start))
				m.ApplyEvents(page(10, object("a", 10)), at(start))
				m.ApplyEvents(page(12, deleted("a", 12)), at(start))
			},
			peer: retaining(object("a", 2), object("b", 3)), want: map[string]uint64{"b": 3},
		},
		"by a list": {
			setUp: func(m *Mirror) {
				m.List(page(5, object("a", 2), object("b", 3)), at(start))
				m.List(page(18, object("b", 3)), at(start))
			},
			peer: retaining(object("a", 2), object("b", 3)), want: map[string]uint64{"b": 3},
		},
		"before the first list": {
			setUp: func(m *Mirror) { m.List(page(18, object("b", 3)), at(start)) },
			peer:  retaining(object("a", 2), object("b", 3)), want: map[string]uint64{"b": 3},
		},
		"among more than are recorded": {
			setUp: func(m *Mirror) {
				m.List(page(5, object("a", 2), object("b", 3)), at(start))
				m.ApplyEvents(page(6, deleted("a", 6)), at(start))
				for i := range maxTombstones + 1 {
					m.ApplyEvents(page(7, deleted(fmt.Sprint(i), 7)), at(start))
				}
			},
			peer: retaining(object("a", 2), object("b", 3)), want: map[string]uint64{"b": 3},
		},
		"present here, missing there: kept for the retention": {
			setUp: func(m *Mirror) { m.List(page(5, object("a", 2), object("b", 3)), at(start)) },
			peer:  retaining(object("a", 2), object("b", 3)), want: map[string]uint64{"a": 2, "b": 3},
		},
		"unknown here: taken over for the retention": {
			setUp: func(*Mirror) {},
			peer:  retaining(object("a", 2), object("b", 3)), want: map[string]uint64{"a": 2, "b": 3},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := New("k", WithRetention(2*time.Second))
			test.setUp(m)
			m.Merge(test.peer.Since(m.Cursor(), start), at(start))
			if diff := cmp.Diff(test.want, versions(m)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNoReturn runs changes, outages, lists, watches, dropped histories and merges between mirrors
// in random order. It guards against a mirror that takes back a version of an object which it has
// dropped, whatever the order of outages and merges.
func TestNoReturn(t *testing.T) {
	const retention = 2 * time.Second
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		s := &model{objects: make(map[string]uint64)}
		mirrors := make([]*Mirror, 4) // the last two are updated by the others only
		dropped := make([]map[string]uint64, len(mirrors))
		for i := range mirrors {
			mirrors[i], dropped[i] = New("k", WithRetention(retention)), make(map[string]uint64)
		}
		now := start
		for step := range 600 {
			now = now.Add(time.Duration(r.Int64N(int64(retention / 8))))
			i := r.IntN(len(mirrors))
			m, before := mirrors[i], versions(mirrors[i])
			switch r.IntN(6) {
			case 0:
				s.change(r)
			case 1:
				s.oldest, s.history = s.revision, nil
			case 2:
				m.Expire(now)
			case 3: // the end of an outage
				m.StartRetention(now)
			case 4:
				if p, ok := s.watch(m.Cursor().Number); ok && !m.Cursor().IsZero() && i < 2 {
					m.ApplyEvents(p, at(now))
				} else if i < 2 {
					m.List(s.list(), at(now))
				}
			case 5:
				if source := mirrors[r.IntN(len(mirrors))]; !source.Cursor().IsZero() {
					m.Merge(source.Since(m.Cursor(), now), at(now))
				}
			}
			after := versions(m)
			for name, version := range before {
				if _, ok := after[name]; !ok {
					dropped[i][name] = version
				}
			}
			for name, version := range after {
				if version <= dropped[i][name] {
					t.Fatalf("seed %d, step %d: mirror %d has %s at %d, dropped at %d", seed, step, i, name, version, dropped[i][name])
				}
			}
		}
	}
}

// TestListedRemovalIsNew guards against peers that never ask for a removal which was found by a list: the
// revision of the last change, which they compare, must grow.
func TestListedRemovalIsNew(t *testing.T) {
	for name, retention := range map[string]time.Duration{"dropped": 0, "retained": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			m := New("k", WithRetention(retention))
			m.List(page(5, object("a", 2), object("b", 3)), at(start))
			before := m.Newest()
			m.StartRetention(start)
			m.List(page(8, object("b", 3)), at(start))
			if !m.Newest().After(before) {
				t.Errorf("the last change is at %d after the removal, and %d before", m.Newest(), before)
			}
			removed := m.Newest()
			m.List(page(9, object("b", 3)), at(start))
			if m.Newest() != removed {
				t.Errorf("the last change is at %d after a list without a change, want %d", m.Newest(), removed)
			}
		})
	}
}

// TestRemovalConfirmedByPeer guards against an object that is retained after an outage of one instance,
// though it was removed while the store served others.
func TestRemovalConfirmedByPeer(t *testing.T) {
	tests := map[string]struct {
		peer func(m *Mirror)
		want map[string]uint64
	}{
		"a peer that saw it removed": {
			func(m *Mirror) { m.ApplyEvents(page(9, deleted("a", 9)), at(start)) }, map[string]uint64{"b": 3},
		},
		"a peer that listed": {
			func(m *Mirror) { m.List(page(9, object("b", 3)), at(start)) }, map[string]uint64{"b": 3},
		},
		"a peer that retains it too": {func(m *Mirror) {
			m.StartRetention(start)
			m.List(page(9, object("b", 3)), at(start))
		}, map[string]uint64{"a": 2, "b": 3}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, peer := New("k", WithRetention(2*time.Second)), New("k", WithRetention(2*time.Second))
			for _, one := range []*Mirror{m, peer} {
				one.List(page(5, object("a", 2), object("b", 3)), at(start))
			}
			test.peer(peer)
			m.StartRetention(start)
			m.Merge(peer.Since(m.Cursor(), start), at(start))
			if diff := cmp.Diff(test.want, versions(m)); diff != "" {
				t.Error(diff)
			}
			m.List(page(9, object("b", 3)), at(start))
			if diff := cmp.Diff(test.want, versions(m)); diff != "" {
				t.Errorf("after its own list: %s", diff)
			}
		})
	}
}

// TestOvertakenWatch guards against a watch that returns a version after a peer's state has shown that the
// object was removed.
func TestOvertakenWatch(t *testing.T) {
	m, peer := New("k"), New("k")
	for _, one := range []*Mirror{m, peer} {
		one.List(page(5, object("b", 3)), at(start))
	}
	peer.ApplyEvents(page(9, object("a", 7), deleted("a", 9)), at(start))
	m.Merge(peer.Since(m.Cursor(), start), at(start))
	m.ApplyEvents(page(7, object("a", 7)), at(start))
	if diff := cmp.Diff(map[string]uint64{"b": 3}, versions(m)); diff != "" {
		t.Error(diff)
	}
}

// TestDigest guards against two mirrors that are taken for the same since they have the same last change: one that
// was loaded after a removal does not know of it.
func TestDigest(t *testing.T) {
	one, two := platform.Object{Key: "k/a", Version: rev(1)}, platform.Object{Key: "k/b", Version: rev(2)}
	loaded := func(cursor uint64, objects ...platform.Object) *Mirror {
		m := New("k", WithRetention(time.Second))
		m.List(platform.Page{Cursor: rev(cursor), Objects: objects}, Origin{})
		return m
	}
	both, later := loaded(2, one, two), loaded(3, two)
	if both.Newest() != later.Newest() || both.Digest() == later.Digest() {
		t.Errorf("last changes %d and %d, digests %d and %d", both.Newest(), later.Newest(), both.Digest(), later.Digest())
	}
	if other := loaded(9, two, one); other.Digest() != both.Digest() {
		t.Error("the same objects in another order have another digest")
	}
	at := time.Unix(100, 0)
	both.StartRetention(at)
	both.ApplyEvents(platform.Page{Cursor: rev(3), Objects: []platform.Object{{Key: "k/a", Version: rev(3), Deleted: true}}}, Origin{At: at})
	if len(both.Entries()) != 2 || both.Digest() != later.Digest() {
		t.Errorf("%d objects; a retained one counts in the digest", len(both.Entries()))
	}
}
