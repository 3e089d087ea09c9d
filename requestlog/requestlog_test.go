package requestlog

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/placement"
)

// TestReasons checks that each placement reason that an instance logs has a text, which
// a history shows beside it.
func TestReasons(t *testing.T) {
	for _, r := range []placement.Reason{
		placement.ReasonHome, placement.ReasonKnown, placement.ReasonSpill, placement.ReasonFree, placement.ReasonNone,
		placement.ReasonNoTime, placement.ReasonBusy, placement.ReasonUrgency, placement.ReasonAccount, placement.ReasonLimited,
		placement.ReasonPaused, placement.ReasonStopping, placement.ReasonMemory,
	} {
		if r.Text() == "" {
			t.Errorf("the reason %q has no text", r)
		}
	}
}

// TestOrder guards against lines in the order of their texts: a time without a fraction of a second is
// shorter than others.
func TestOrder(t *testing.T) {
	log := `{"time":"2026-01-01T00:00:01.25Z","event":501,"id":"a","sends":2}
{"time":"2026-01-01T00:00:01Z","event":502,"id":"a","sends":1}
{"time":"2026-01-01T00:00:01.125Z","event":502,"id":"a","sends":3}
`
	history, err := Collect(strings.NewReader(log), "a")
	if err != nil {
		t.Fatal(err)
	}
	var got []int
	for _, l := range history.lines {
		got = append(got, l.Sends)
	}
	if diff := cmp.Diff([]int{1, 3, 2}, got); diff != "" {
		t.Error(diff)
	}
}

func FuzzReadLine(f *testing.F) {
	f.Add(`front-1 {"time":"2026-01-01T00:00:01Z","msg":"revision in force","event":300}`)
	f.Fuzz(func(t *testing.T, text string) {
		if l, ok := readLine(text); ok && strings.Contains(l.source, "{") {
			t.Errorf("the source %q holds a brace", l.source)
		}
	})
}
