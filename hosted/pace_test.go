package hosted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hickorydrum/standin"
)

// TestReportedFigures guards against requests that fail for a report of load with more than three
// figures or with one that is not valid, and against a report that is not valid and is not logged or
// floods the log.
func TestReportedFigures(t *testing.T) {
	const requests, maxLinesPerSecond = 200, 20
	tests := map[string]struct {
		figures string
		logged  bool
	}{
		"a pace":          {"250", false},
		"further figures": {"100,7,x", false},
		"an absurd pace":  {"10000", false},
		"a word":          {"slow", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.configure(reads)
			w := c.worker("list", "one-a", func(w *standin.WorkerConfig) { w.Slots = 60 })
			w.ReportFigures(test.figures)
			m := c.start("a", "one-a")
			c.ready(m, 1)
			began := time.Now()
			for n := range requests {
				id := fmt.Sprintf("%d", n)
				if r := c.send(m, callerRequest{path: "/read/x", id: id, object: id}); r.Status != 200 {
					t.Fatalf("request %s: %+v, logged: %s", id, r, logged(m, id))
				}
			}
			lines := strings.Count(m.logs.String(), `"event":320`)
			// The requests may begin and end within a second, of each of which all lines are used.
			most := maxLinesPerSecond * (time.Since(began).Seconds() + 2)
			if (lines > 0) != test.logged || float64(lines) > most {
				t.Errorf("%d lines about reports that are not valid, at most %.0f are expected", lines, most)
			}
		})
	}
}
