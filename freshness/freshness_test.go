package freshness_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/freshness"
)

// TestBudget guards against times that do not add up: a call to the store that starts as late as any
// instance starts one must end within four fifths of the bound, and an instance that watches the store
// must ask it before those that do not.
func TestBudget(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 2500 * time.Millisecond, 4 * time.Second} {
		b := freshness.NewBudget(bound)
		for position := range 10 {
			if sum, most := b.Ask(position)+b.Call(), bound*4/5; sum > most+time.Microsecond {
				t.Errorf("bound %s, position %d: a call may end after %s, want at most %s", bound, position, sum, most)
			}
			if b.Check(position) >= b.Ask(0) {
				t.Errorf("bound %s, position %d: asks after %s, those that do not watch the store after %s", bound, position, b.Check(position), b.Ask(0))
			}
			if position > 0 && (b.Check(position) < b.Check(position-1) || b.Ask(position) < b.Ask(position-1)) {
				t.Errorf("bound %s, position %d asks before the one ahead of it", bound, position)
			}
		}
	}
}

func TestRecord(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	r := freshness.NewRecord([]string{"a", "b"}, at(50))
	r.Confirm("a", at(100), freshness.SourceStore)
	if kind, oldest := r.Oldest(); kind != "b" || !oldest.At.Equal(at(50)) || oldest.Source != "" {
		t.Errorf("oldest is %s, %v; want b, which nobody confirmed since the start", kind, oldest)
	}
	r.Confirm("b", at(200), "10.0.0.1")
	if r.Confirm("b", at(150), freshness.SourceStore) {
		t.Error("an older confirmation replaced a newer one")
	}
	r.Age(120 * time.Millisecond)
	want := map[string]freshness.Confirmation{
		"a": {At: at(100), Source: freshness.SourceStore},
		"b": {At: at(80), Source: "10.0.0.1"},
	}
	for kind := range want {
		if diff := cmp.Diff(want[kind], r.Of(kind)); diff != "" {
			t.Errorf("%s: %s", kind, diff)
		}
	}
}
