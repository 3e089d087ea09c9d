// Package requestlog collects the log lines of instances about one request, and reconstructs from them
// how the request ended and why.
package requestlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"hickorydrum/event"
	"hickorydrum/placement"
)

// maxLogLine is the longest log line that is read, in bytes.
const maxLogLine = 1 << 20

// line has the fields of a log line that a History uses.
type line struct {
	Time     string           `json:"time"` // as logged
	Event    int              `json:"event"`
	Text     string           `json:"msg"`
	ID       string           `json:"id"`
	Outcome  string           `json:"outcome"`
	Status   int              `json:"status"`
	Took     int64            `json:"took_ms"`
	Limit    int64            `json:"limit_ms"`
	Expected int64            `json:"expected_ms"`
	Sends    int              `json:"sends"`
	Reason   placement.Reason `json:"reason"`
	Route    string           `json:"route"`
	Version  uint64           `json:"version"`
	Service  string           `json:"service"`
	Upstream string           `json:"upstream"`
	Domain   string           `json:"domain"`
	Detail   string           `json:"detail"`
	Count    int              `json:"count"`

	source string    // the text before the JSON object, such as the name of the instance
	at     time.Time // Time, zero if it is missing or not in the format of RFC 3339
}

// readLine parses a log line: any text, then a JSON object. It reports false for a line
// without a JSON object.
func readLine(text string) (line, bool) {
	source, rest, ok := strings.Cut(text, "{")
	if !ok {
		return line{}, false
	}
	var l line
	if json.Unmarshal([]byte("{"+rest), &l) != nil {
		return line{}, false
	}
	l.source = strings.TrimSpace(source)
	l.at, _ = time.Parse(time.RFC3339Nano, l.Time) // lines about dropped lines have none
	return l, true
}

// History has the log lines about one request, and those that the instances logged
// about no request.
type History struct {
	id      string
	lines   []line // log lines of the request
	context []line // log lines of no request, such as state changes and outages
	omitted int
}

// Collect reads the logs of one or more instances and returns the history of the
// request with the id. Lines that are not JSON are skipped. It fails when a line is
// longer than maxLogLine or in cannot be read.
func Collect(in io.Reader, id string) (*History, error) {
	s := &History{id: id}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		l, ok := readLine(scanner.Text())
		switch {
		case !ok:
		case l.ID == id:
			s.lines = append(s.lines, l)
		case l.Event == event.LinesOmitted.Number():
			s.omitted += l.Count
		case l.ID == "":
			s.context = append(s.context, l)
		}
	}
	slices.SortStableFunc(s.lines, compareTimes)
	slices.SortStableFunc(s.context, compareTimes)
	return s, scanner.Err()
}

func compareTimes(a, b line) int { return a.at.Compare(b.at) }

// maxContextLines is how many lines of context are written for each line of the request.
const maxContextLines = 5

// Empty reports whether the logs have no line about the request.
func (s *History) Empty() bool { return len(s.lines) == 0 }

// Write writes the history for people: how the request ended, the route, upstream and
// placement behind it, and what the same instance logged shortly before.
func (s *History) Write(out io.Writer) error {
	w := bufio.NewWriter(out)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) } // Flush returns the error
	for _, l := range s.lines {
		p("%s %s\n", l.Time, l.source)
		p("  request %s: %s", s.id, l.Outcome)
		if l.Status > 0 {
			p(", status %d", l.Status)
		}
		p(" after %d ms of %d\n", l.Took, l.Limit)
		if l.Detail != "" {
			p("  cause: %s\n", l.Detail)
		}
		if l.Route != "" {
			p("  route %s of configuration version %d, service %s\n", l.Route, l.Version, l.Service)
		}
		if l.Upstream != "" {
			p("  last upstream: %s in %s; sent to %d in all\n", l.Upstream, l.Domain, l.Sends)
		}
		if text := l.Reason.Text(); text != "" {
			p("  last choice: %s (%s), expected after %d ms\n", l.Reason, text, l.Expected)
		}
		for _, a := range s.precedingEvents(l) {
			p("  before it, %s: %s (event %d)\n", a.Time, a.Text, a.Event)
		}
	}
	if s.omitted > 0 {
		p("%d lines about other requests were left out of this log\n", s.omitted)
	}
	return w.Flush()
}

// precedingEvents returns the last lines of context, up to maxContextLines, that the
// instance of l logged no later than l.
func (s *History) precedingEvents(l line) []line {
	var out []line
	for _, a := range s.context {
		if a.source == l.source && !a.at.After(l.at) {
			out = append(out, a)
		}
	}
	return out[max(0, len(out)-maxContextLines):]
}
