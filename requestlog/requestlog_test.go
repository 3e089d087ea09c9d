package requestlog

import (
	"strings"
	"testing"

	"hickorydrum/placement"
)

// TestReasons checks that each placement reason that an instance logs has a text, which
// a history shows beside it.
func TestReasons(t *testing.T) {
	for _, r := range []placement.Reason{
		placement.ReasonHome, placement.ReasonKnown, placement.ReasonSpill, placement.ReasonFree, placement.ReasonNone,
		placement.ReasonNoTime, placement.ReasonBusy, placement.ReasonLimited, placement.ReasonStopping,
	} {
		if r.Text() == "" {
			t.Errorf("the reason %q has no text", r)
		}
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
