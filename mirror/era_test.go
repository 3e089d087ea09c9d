package mirror

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/platform"
	"hickorydrum/revision"
)

const (
	testRetention = 2 * time.Second
	testHiding    = 6 * time.Second
)

// eraObject returns an object with a value at a revision of an era.
func eraObject(name string, era, number uint64, value string) platform.Object {
	return platform.Object{Key: "k/" + name, Version: revision.Revision{Era: era, Number: number}, Value: []byte(value)}
}

func eraPage(era, cursor uint64, objects ...platform.Object) platform.Page {
	return platform.Page{Cursor: revision.Revision{Era: era, Number: cursor}, Objects: objects}
}

// newEraMirror returns a mirror in which the value "leaves" takes the right away that any other gives, and in which all
// objects of one name stand for the same but those with the value "other".
func newEraMirror() *Mirror {
	return New("k", WithEraRetention(testRetention),
		WithWithdrawals(func(known, copied platform.Object) bool {
			return string(known.Value) == "leaves" && string(copied.Value) != "other"
		}),
		WithHiding(testHiding, func(_, copied platform.Object) bool { return string(copied.Value) != "other" }))
}

func values(m *Mirror) map[string]string {
	out := make(map[string]string)
	for _, e := range m.Entries() {
		out[e.Object.Name()] = string(e.Object.Value)
	}
	return out
}

// TestEras guards against a mirror that stays at the state of before the store came back from a copy, since revisions are
// lower then, and against one that takes rights back which only the copy gives, or keeps for good what is gone.
func TestEras(t *testing.T) {
	type step struct {
		at time.Duration
		do func(m *Mirror, from Origin) bool
	}
	list := func(at time.Duration, p platform.Page) step {
		return step{at, func(m *Mirror, from Origin) bool { return m.List(p, from) }}
	}
	events := func(at time.Duration, p platform.Page) step {
		return step{at, func(m *Mirror, from Origin) bool { return m.ApplyEvents(p, from) }}
	}
	expire := func(at time.Duration) step {
		return step{at, func(m *Mirror, from Origin) bool { return m.Expire(from.At) }}
	}
	gone := eraObject("a", 2, 60, "")
	gone.Deleted = true
	removed := eraObject("a", 1, 90, "")
	removed.Deleted = true
	before := list(0, eraPage(1, 50, eraObject("a", 1, 40, "ready")))
	tests := map[string]struct {
		steps []step
		want  map[string]string
	}{
		"a lower revision of a later era": {
			steps: []step{list(0, eraPage(1, 90, eraObject("a", 1, 80, "old"))), list(0, eraPage(2, 50, eraObject("a", 2, 40, "new")))},
			want:  map[string]string{"a": "new"},
		},
		"an answer of an earlier era": {
			steps: []step{list(0, eraPage(2, 50, eraObject("a", 2, 40, "new"))), list(0, eraPage(1, 90, eraObject("a", 1, 80, "old")))},
			want:  map[string]string{"a": "new"},
		},
		"events of another era": {
			steps: []step{before, events(0, eraPage(2, 60, eraObject("a", 2, 60, "new")))}, want: map[string]string{"a": "ready"},
		},
		"the same revision with another content": {
			steps: []step{before, list(0, eraPage(2, 50, eraObject("a", 2, 40, "new")))}, want: map[string]string{"a": "new"},
		},
		"lacked by the copy: retained": {
			steps: []step{before, list(0, eraPage(2, 30)), list(time.Second, eraPage(2, 35)), expire(time.Second)}, want: map[string]string{"a": "ready"},
		},
		"lacked by the copy: not for good": {
			steps: []step{before, list(0, eraPage(2, 30)), expire(testRetention)}, want: map[string]string{},
		},
		"lacked by the copy, written again with a lower revision": {
			steps: []step{before, list(0, eraPage(2, 30)), events(time.Second, eraPage(2, 31, eraObject("a", 2, 31, "again"))), expire(testRetention)},
			want:  map[string]string{"a": "again"},
		},
		"lacked by two copies in a row: retained from the second one on": {
			steps: []step{before, list(0, eraPage(2, 30)), list(time.Second, eraPage(3, 30)), expire(testRetention)}, want: map[string]string{"a": "ready"},
		},
		"in the copy, removed in the new era: gone at once": {
			steps: []step{before, list(0, eraPage(2, 50, eraObject("a", 2, 40, "ready"))), events(time.Second, eraPage(2, 60, gone))}, want: map[string]string{},
		},
		"removed, and in the copy: hidden": {
			steps: []step{before, events(0, eraPage(1, 90, removed)), list(0, eraPage(2, 50, eraObject("a", 2, 40, "ready"))), expire(testHiding - 1)},
			want:  map[string]string{},
		},
		"removed, and in the copy: not hidden for good": {
			steps: []step{before, events(0, eraPage(1, 90, removed)), list(0, eraPage(2, 50, eraObject("a", 2, 40, "ready"))), expire(testHiding)},
			want:  map[string]string{"a": "ready"},
		},
		"removed, in the copy in a version that was never known: hidden": {
			steps: []step{before, events(0, eraPage(1, 90, removed)), list(0, eraPage(2, 70, eraObject("a", 2, 70, "ready")))}, want: map[string]string{},
		},
		"removed, and in two copies in a row: hidden": {
			steps: []step{
				before, events(0, eraPage(1, 90, removed)), list(0, eraPage(2, 50, eraObject("a", 2, 40, "ready"))),
				list(time.Second, eraPage(3, 50, eraObject("a", 3, 40, "ready"))),
			},
			want: map[string]string{},
		},
		"removed, and started again in the copy": {
			steps: []step{before, events(0, eraPage(1, 90, removed)), list(0, eraPage(2, 50, eraObject("a", 2, 40, "other")))}, want: map[string]string{"a": "other"},
		},
		"hidden, and written again": {
			steps: []step{
				before, events(0, eraPage(1, 90, removed)), list(0, eraPage(2, 50, eraObject("a", 2, 40, "ready"))),
				events(time.Second, eraPage(2, 51, eraObject("a", 2, 51, "ready"))),
			},
			want: map[string]string{"a": "ready"},
		},
		"dropped at the end of its retention, and in the next copy: hidden": {
			steps: []step{before, list(0, eraPage(2, 30)), expire(testRetention), list(testRetention, eraPage(3, 30, eraObject("a", 3, 30, "ready")))},
			want:  map[string]string{},
		},
		"leaves, and does not in the copy": {
			steps: []step{list(0, eraPage(1, 50, eraObject("a", 1, 45, "leaves"))), list(0, eraPage(2, 50, eraObject("a", 2, 40, "ready")))},
			want:  map[string]string{"a": "leaves"},
		},
		"leaves, and is written again in the new era": {
			steps: []step{
				list(0, eraPage(1, 50, eraObject("a", 1, 45, "leaves"))), list(0, eraPage(2, 50, eraObject("a", 2, 40, "ready"))),
				events(0, eraPage(2, 51, eraObject("a", 2, 51, "ready"))),
			},
			want: map[string]string{"a": "ready"},
		},
		"from an era that is not known": {
			steps: []step{list(0, eraPage(0, 50, eraObject("a", 0, 45, "leaves"))), list(0, eraPage(2, 40, eraObject("b", 2, 40, "ready")))},
			want:  map[string]string{"b": "ready"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newEraMirror()
			for _, s := range test.steps {
				s.do(m, at(start.Add(s.at)))
			}
			if diff := cmp.Diff(test.want, values(m)); diff != "" {
				t.Error(diff)
			}
			// A mirror that gets all from this one must show the same.
			peer := newEraMirror()
			peer.Merge(m.Since(peer.Cursor(), start.Add(time.Second)), at(start.Add(time.Second)))
			if diff := cmp.Diff(test.want, values(peer)); diff != "" && !m.Cursor().IsZero() {
				t.Errorf("a peer: %s", diff)
			}
			if m.Digest() != peer.Digest() || m.Newest() != peer.Newest() {
				t.Errorf("a peer has the digest %x and %s, want %x and %s", peer.Digest(), peer.Newest(), m.Digest(), m.Newest())
			}
		})
	}
}

// TestEraFromPeer guards against an instance that loses what only it knows, since it learns of a new era from a peer that
// did not know it, and against one that gets only the changes from a peer of the new era.
func TestEraFromPeer(t *testing.T) {
	m, peer := newEraMirror(), newEraMirror()
	m.List(eraPage(1, 50, eraObject("a", 1, 40, "ready"), eraObject("b", 1, 50, "ready")), at(start))
	peer.List(eraPage(1, 45, eraObject("a", 1, 40, "ready")), at(start))
	peer.List(eraPage(2, 46, eraObject("a", 2, 40, "ready"), eraObject("c", 2, 46, "ready")), at(start))
	s := peer.Since(m.Cursor(), start)
	if !s.Full {
		t.Error("the state is not full")
	}
	m.Merge(s, at(start))
	if diff := cmp.Diff(map[string]string{"a": "ready", "b": "ready", "c": "ready"}, values(m)); diff != "" {
		t.Error(diff)
	}
	// The peer must not take over what is retained here: it has not seen it.
	peer.Merge(m.Since(peer.Cursor(), start), at(start))
	if diff := cmp.Diff(map[string]string{"a": "ready", "c": "ready"}, values(peer)); diff != "" {
		t.Errorf("the peer: %s", diff)
	}
	m.Expire(start.Add(testRetention))
	if diff := cmp.Diff(values(peer), values(m)); diff != "" {
		t.Errorf("after the retention: %s", diff)
	}
	older := New("k")
	older.List(eraPage(1, 60, eraObject("a", 1, 55, "old")), at(start))
	if m.Merge(older.Since(m.Cursor(), start), at(start)) {
		t.Error("the state of an earlier era is taken over")
	}
}
