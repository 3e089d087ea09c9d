package requestlog

import (
	"slices"
	"strings"
	"time"

	"hickorydrum/event"
)

// eraShownFor is how long after the store came back from a copy the stories of requests tell of it.
const eraShownFor = time.Minute

// eraFields are the fields of a line about a new era of the store.
type eraFields struct {
	Kind         string   `json:"kind"`
	FromEra      string   `json:"from_era"`
	Revision     uint64   `json:"revision"`
	FromRevision uint64   `json:"from_revision"`
	Retained     int      `json:"retained"`
	Kept         int      `json:"kept"`
	Hidden       int      `json:"hidden"`
	FirstHidden  []string `json:"first_hidden"`
}

// eraLines returns the last line of each kind about a new era that the instance of l logged no later than l and within
// eraShownFor of it.
func (s *History) eraLines(l *line) []line {
	var out []line
	for i := len(s.context) - 1; i >= 0; i-- {
		one := s.context[i]
		seen := slices.ContainsFunc(out, func(other line) bool { return other.Kind == one.Kind })
		if one.is(event.EraBegun) && one.source == l.source && !seen && !one.at.After(l.at) && l.at.Sub(one.at) < eraShownFor {
			out = append(out, one)
		}
	}
	return out
}

// writeEras writes whether the store had come back from a copy shortly before an attempt, and what the instance did then.
func (w *story) writeEras(l *line) {
	for _, one := range w.history.eraLines(l) {
		w.printf("  the store came back from a copy, known here %d ms before: era %s to %s, %s from revision %d to %d",
			l.at.Sub(one.at).Milliseconds(), one.FromEra, one.Era, one.Kind, one.FromRevision, one.Revision)
		w.printf("; retained %d that the copy lacks, kept %d as they were, hid %d that had been removed", one.Retained, one.Kept, one.Hidden)
		if len(one.FirstHidden) > 0 {
			w.printf(" (%s)", strings.Join(one.FirstHidden, ", "))
		}
		w.printf("\n")
	}
}
