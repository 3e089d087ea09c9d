package requestlog

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"strconv"
	"time"

	"hickorydrum/event"
)

// maxContextLines is how many lines of context are written for each attempt.
const maxContextLines = 5

// story writes a history for people.
type story struct {
	history *History
	out     *bufio.Writer
}

// Write writes the history for people: for each attempt how it ended, what that means for the caller, the
// route, upstream and placement behind it, the planned stop of the instance if there was one, and what the
// instance logged shortly before.
func (s *History) Write(out io.Writer) error {
	w := &story{history: s, out: bufio.NewWriter(out)}
	for _, a := range s.attempts() {
		w.writeAttempt(&a)
	}
	if s.omitted > 0 {
		w.printf("%d lines about requests were left out of this log\n", s.omitted)
	}
	return w.out.Flush()
}

// printf writes a part of the story. Flush returns the error, if there is one.
func (w *story) printf(format string, args ...any) { _, _ = fmt.Fprintf(w.out, format, args...) }

func (w *story) writeAttempt(a *attempt) {
	first := a.mainLine()
	w.printf("%s %s\n", first.Time, first.source)
	if a.end != nil {
		w.writeEnd(a.end)
	}
	w.writeLost(a)
	if a.end == nil || a.end.Outcome != outcomeAnswered || a.lost != nil {
		w.printf("  whether it ran: %s\n", a.execution())
	}
	w.writeEras(first)
	if a.stop != nil {
		w.writeStop(a)
	} else if a.lostReason() == reasonStopped {
		w.printf("  no line about the begin of the stop (event 102) is in this log\n")
	}
	for _, l := range w.history.precedingEvents(first, a.stop) {
		w.printf("  before it, %s: %s (event %d)\n", l.Time, l.Text, l.Event)
	}
}

// writeEnd writes what the instance logged at the end of an attempt.
func (w *story) writeEnd(l *line) {
	w.printf("  request %s: %s", w.history.id, cmp.Or(l.Outcome, l.Text))
	if l.Status > 0 {
		w.printf(", status %d", l.Status)
	}
	w.printf(" after %d ms of %d\n", l.Took, l.Limit)
	if cause := cmp.Or(l.Detail, l.Error); cause != "" {
		w.printf("  cause: %s\n", cause)
	}
	if l.Route != "" {
		w.printf("  route %s of configuration version %d, service %s\n", l.Route, l.Version, l.Service)
	}
	if l.ConfirmedBy != "" {
		w.printf("  the configuration was known to be current %d ms before the request arrived, from %s\n", l.ConfirmedAge, l.ConfirmedBy)
	}
	if l.Upstream != "" {
		w.printf("  last upstream: %s in %s; sent to %d in all\n", l.Upstream, l.Domain, l.Sends)
	}
	if l.Source != "" {
		w.printf("  what was known of it: its entry at revision %s, from the source %q %s, %d ms before it was chosen\n",
			l.entryRevision(), l.Source, l.Peer, l.Known)
	}
	if text := l.Reason.Text(); text != "" {
		w.printf("  last choice: %s (%s)", l.Reason, text)
		if l.Expected > 0 {
			w.printf(", expected after %d ms", l.Expected)
		}
		w.printf("\n")
	}
}

// entryRevision returns the revision of the upstream's entry, after its era if that is known.
func (l *line) entryRevision() string {
	number := strconv.FormatUint(l.Entry, 10)
	if l.Era == "" {
		return number
	}
	return l.Era + ":" + number
}

// writeLost writes why the caller got no whole response, if it got none.
func (w *story) writeLost(a *attempt) {
	reason := a.lostReason()
	if reason == "" {
		return
	}
	if a.end == nil {
		w.printf("  request %s: no line about its end; the process ended before, or the line was left out\n", w.history.id)
	}
	w.printf("  its caller got no whole response: %s (%s", lostTexts[reason], reason)
	if a.lost != nil {
		w.printf(", %d ms after the request arrived", a.lost.Took)
	}
	w.printf(")\n")
	if reason == reasonStopped && a.end != nil && a.end.Outcome == outcomeCallerGone {
		w.printf("  the line about its end takes that for the caller's close\n")
	}
}

// writeStop writes what the steps of the planned stop did while the attempt was under way.
func (w *story) writeStop(a *attempt) {
	s := a.stop
	arrived := a.mainLine().begun()
	relation := "after"
	since := arrived.Sub(s.begun.at)
	if since < 0 {
		relation, since = "before", -since
	}
	w.printf("  planned stop of the instance from %s, open then: %s\n", s.begun.Time, s.begun.Open)
	w.printf("  the request arrived %d ms %s that\n", since.Milliseconds(), relation)
	for _, l := range s.during(arrived, a.ended()) {
		w.printf("    %s step %q done after %s: found %s; left %s\n", l.Time, l.Step, l.StepTook.Round(time.Millisecond), l.Found, l.Left)
	}
	if s.ended != nil {
		w.printf("    %s stop done, open: %s\n", s.ended.Time, s.ended.Open)
	} else {
		w.printf("    no line about the end of the stop (event 104) is in this log\n")
	}
}

// precedingEvents returns the last lines of context, up to maxContextLines, that the instance of l logged no
// later than l. It leaves out those of the stop.
func (s *History) precedingEvents(l *line, stop *stop) []line {
	var out []line
	for _, a := range s.context {
		if a.source == l.source && !a.at.After(l.at) && !stop.has(&a) {
			out = append(out, a)
		}
	}
	return out[max(0, len(out)-maxContextLines):]
}

// has reports whether a line of the same instance is about the stop. There may be no stop.
func (s *stop) has(l *line) bool {
	isStop := l.is(event.StopBegun) || l.is(event.StopStep) || l.is(event.Stopped)
	return s != nil && isStop && !l.at.Before(s.begun.at)
}
