package command

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"hickorydrum/event"
	"hickorydrum/fault"
)

// maxLogLine is the longest line that is read, in bytes.
const maxLogLine = 1 << 20

// logLine is what explain needs of a line of a log.
type logLine struct {
	Time     string `json:"time"`
	Event    int    `json:"event"`
	Text     string `json:"msg"`
	ID       string `json:"id"`
	Outcome  string `json:"outcome"`
	Status   int    `json:"status"`
	Took     int64  `json:"took_ms"`
	Limit    int64  `json:"limit_ms"`
	Expected int64  `json:"expected_ms"`
	Sends    int    `json:"sends"`
	Reason   string `json:"reason"`
	Route    string `json:"route"`
	Version  uint64 `json:"version"`
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Domain   string `json:"domain"`
	Detail   string `json:"detail"`
	Count    int    `json:"count"`

	source string // what stands before the JSON, such as the instance
}

// readLine returns the JSON object in a line, with what stands before it.
func readLine(text string) (logLine, bool) {
	before, rest, ok := strings.Cut(text, "{")
	if !ok {
		return logLine{}, false
	}
	var l logLine
	if json.Unmarshal([]byte("{"+rest), &l) != nil {
		return logLine{}, false
	}
	l.source = strings.TrimSpace(before)
	return l, true
}

// story is the lines about one request, and what happened around it.
type story struct {
	lines   []logLine // of the request
	around  []logLine // changes of what the instances believed, and outages
	omitted int
}

// collect reads logs of one or more instances.
func collect(in io.Reader, id string) (*story, error) {
	s := &story{}
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
	slices.SortStableFunc(s.lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	slices.SortStableFunc(s.around, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	return s, scanner.Err()
}

var reasons = map[string]string{
	"home":    "the object's home among the upstreams",
	"known":   "not the home, but an upstream that had the object lately",
	"spill":   "an upstream that did not have the object: the home was busy, slow or failing",
	"free":    "the upstream with the least expected time; the request names no object",
	"none":    "no upstream may be used: none is ready in the allowed regions, or all were tried",
	"no-time": "no upstream was expected to answer in the time left",
}

// aroundLines is how many lines before the request's end are told.
const aroundLines = 5

func (s *story) print(p printer, id string) {
	for _, l := range s.lines {
		p.printf("%s %s\n", l.Time, l.source)
		p.printf("  request %s: %s", id, l.Outcome)
		if l.Status > 0 {
			p.printf(", status %d", l.Status)
		}
		p.printf(" after %d ms of %d\n", l.Took, l.Limit)
		if l.Detail != "" {
			p.printf("  cause: %s\n", l.Detail)
		}
		if l.Route != "" {
			p.printf("  route %s of configuration version %d, service %s\n", l.Route, l.Version, l.Service)
		}
		if l.Upstream != "" {
			p.printf("  last upstream: %s in %s; sent to %d in all\n", l.Upstream, l.Domain, l.Sends)
		}
		if text, ok := reasons[l.Reason]; ok {
			p.printf("  last choice: %s (%s), expected after %d ms\n", l.Reason, text, l.Expected)
		}
		s.printAround(p, l)
	}
	if s.omitted > 0 {
		p.printf("%d lines about other requests were left out of this log\n", s.omitted)
	}
}

// printAround tells what the same instance came to believe shortly before.
func (s *story) printAround(p printer, l logLine) {
	var before []logLine
	for _, a := range s.around {
		if a.source == l.source && a.Time <= l.Time {
			before = append(before, a)
		}
	}
	for _, a := range before[max(0, len(before)-aroundLines):] {
		p.printf("  before it, %s: %s (event %d)\n", a.Time, a.Text, a.Event)
	}
}

func newExplain(p printer) subcommands.Command {
	b := &base{
		printer: p, name: "explain", synopsis: "tell what became of a request, from logs on standard input",
		usage: "explain ID < LOG",
	}
	b.run = func(_ context.Context, args []string) error { return explain(p, args, os.Stdin) }
	return b
}

func explain(p printer, args []string, in io.Reader) error {
	if len(args) != 1 {
		return fault.New(fault.Invalid, "one request is needed", "name the id that the caller sent with it")
	}
	s, err := collect(in, args[0])
	if err != nil {
		return fault.New(fault.Invalid, "the log cannot be read", "give it lines of JSON", fault.WithCause(err))
	}
	if len(s.lines) == 0 {
		return fault.New(fault.Missing, "no line is about the request "+args[0],
			"give it the logs of all instances; lines about answered requests are sampled")
	}
	s.print(p, args[0])
	return nil
}
