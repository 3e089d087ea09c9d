// Package story tells from logs what became of one request.
package story

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"hickorydrum/event"
	"hickorydrum/placement"
)

// maxLogLine is the longest line that is read, in bytes.
const maxLogLine = 1 << 20

// line is what a story needs of a line of a log.
type line struct {
	Time     string           `json:"time"`
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

	source string // what stands before the JSON, such as the instance
}

// readLine returns the JSON object in a line, with what stands before it.
func readLine(text string) (line, bool) {
	before, rest, ok := strings.Cut(text, "{")
	if !ok {
		return line{}, false
	}
	var l line
	if json.Unmarshal([]byte("{"+rest), &l) != nil {
		return line{}, false
	}
	l.source = strings.TrimSpace(before)
	return l, true
}

// History is the lines about one request, and what happened around it.
type History struct {
	id      string
	lines   []line // of the request
	around  []line // changes of what the instances believed, and outages
	omitted int
}

// Collect reads logs of one or more instances, for the request with the id.
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
			s.around = append(s.around, l)
		}
	}
	slices.SortStableFunc(s.lines, func(a, b line) int { return strings.Compare(a.Time, b.Time) })
	slices.SortStableFunc(s.around, func(a, b line) int { return strings.Compare(a.Time, b.Time) })
	return s, scanner.Err()
}

// aroundLines is how many lines before the request's end are told.
const aroundLines = 5

// Empty reports whether no line is about the request.
func (s *History) Empty() bool { return len(s.lines) == 0 }

// Write tells the story: what became of the request, why, and what the instance came to
// believe before.
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
		for _, a := range s.before(l) {
			p("  before it, %s: %s (event %d)\n", a.Time, a.Text, a.Event)
		}
	}
	if s.omitted > 0 {
		p("%d lines about other requests were left out of this log\n", s.omitted)
	}
	return w.Flush()
}

// before returns what the same instance came to believe shortly before a line.
func (s *History) before(l line) []line {
	var out []line
	for _, a := range s.around {
		if a.source == l.source && a.Time <= l.Time {
			out = append(out, a)
		}
	}
	return out[max(0, len(out)-aroundLines):]
}
