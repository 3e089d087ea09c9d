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
	Error    string           `json:"error"`
	Count    int              `json:"count"`
	Entry    uint64           `json:"entry"`
	Era      string           `json:"era"`
	Source   string           `json:"source"`
	Peer     string           `json:"peer"`
	Known    int64            `json:"known_ms"`

	// ConfirmedBy is who last confirmed the configuration, ConfirmedAge how long before the request arrived.
	ConfirmedBy  string `json:"confirmed_by"`
	ConfirmedAge int64  `json:"confirmed_ms"`

	eraFields

	// Fields of the lines about a planned stop.
	Step     string        `json:"step"`
	StepTook time.Duration `json:"took"`
	Found    connections   `json:"found"`
	Left     connections   `json:"left"`
	Open     connections   `json:"open"`

	source string    // the text before the JSON object, such as the name of the instance
	at     time.Time // Time, zero if it is missing or not in the format of RFC 3339
}

// connections are the open connections of a log line, by state.
type connections struct {
	Idle    int `json:"idle"`
	Reading int `json:"reading"`
	Serving int `json:"serving"`
	Closing int `json:"closing"`
}

// String returns the numbers in a few words.
func (c connections) String() string {
	return fmt.Sprintf("%d idle, %d reading, %d serving, %d closing", c.Idle, c.Reading, c.Serving, c.Closing)
}

// is reports whether the line is about the event.
func (l *line) is(e event.Event) bool { return l.Event == e.Number() }

// aboutRequest reports whether the line is about one request, which may have no ID.
func (l *line) aboutRequest() bool {
	return l.is(event.RequestAnswered) || l.is(event.RequestUnanswered) || l.is(event.RequestLost)
}

// begun returns when the request of the line arrived.
func (l *line) begun() time.Time { return l.at.Add(-time.Duration(l.Took) * time.Millisecond) }

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
		case l.is(event.LinesOmitted):
			s.omitted += l.Count
		case l.ID == "" && !l.aboutRequest():
			s.context = append(s.context, l)
		}
	}
	slices.SortStableFunc(s.lines, compareTimes)
	slices.SortStableFunc(s.context, compareTimes)
	return s, scanner.Err()
}

func compareTimes(a, b line) int { return a.at.Compare(b.at) }

// Empty reports whether the logs have no line about the request.
func (s *History) Empty() bool { return len(s.lines) == 0 }
