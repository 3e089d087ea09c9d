package requestlog

import (
	"cmp"
	"slices"
	"time"

	"hickorydrum/event"
	"hickorydrum/placement"
)

// maxBeginSkew bounds the difference between the begins of a request as computed from two of its lines: each has the
// time that the request took in milliseconds, and is written a moment after that is measured.
const maxBeginSkew = 50 * time.Millisecond

// attempt is one arrival of the request at an instance. A caller that repeats a request makes several.
type attempt struct {
	end  *line // event 501 or 502, nil if the logs do not have it
	lost *line // event 504, nil if the caller got a whole response or the logs do not have it
	stop *stop // the planned stop of the instance that had begun, nil if there was none
}

// attempts returns the attempts, ordered by the times of their main lines.
func (s *History) attempts() []attempt {
	out := s.pairLines()
	for i := range out {
		out[i].stop = s.stopBefore(out[i].mainLine().source, out[i].ended())
	}
	slices.SortStableFunc(out, func(a, b attempt) int { return compareTimes(*a.mainLine(), *b.mainLine()) })
	return out
}

// pairLines returns the attempts, each with its lines.
func (s *History) pairLines() []attempt {
	var out []attempt
	for i := range s.lines {
		if l := &s.lines[i]; !l.is(event.RequestLost) {
			out = append(out, attempt{end: l})
		}
	}
	for i := range s.lines {
		l := &s.lines[i]
		if !l.is(event.RequestLost) {
			continue
		}
		if a := attemptOf(out, l); a != nil {
			a.lost = l
		} else {
			out = append(out, attempt{lost: l})
		}
	}
	return out
}

// attemptOf returns the attempt of the same instance whose begin is nearest to that of a line of event 504,
// at most maxBeginSkew apart; nil if there is none. Its own line may be written before or after.
func attemptOf(attempts []attempt, lost *line) *attempt {
	var nearest *attempt
	skew := maxBeginSkew
	for i := range attempts {
		a := &attempts[i]
		if a.end == nil || a.lost != nil || a.end.source != lost.source || a.end.begun().After(lost.at) {
			continue
		}
		if s := a.end.begun().Sub(lost.begun()).Abs(); s <= skew {
			nearest, skew = a, s
		}
	}
	return nearest
}

// mainLine returns the line about the end of the attempt, or that of event 504 if there is none.
func (a *attempt) mainLine() *line { return cmp.Or(a.end, a.lost) }

// ended returns when the last line about the attempt was written.
func (a *attempt) ended() time.Time {
	at := a.mainLine().at
	if a.lost != nil && a.lost.at.After(at) {
		at = a.lost.at
	}
	return at
}

// Reasons of event 504, see package server.
const (
	reasonStopped    placement.Reason = "stopped"
	reasonCallerLeft placement.Reason = "caller-left"
	reasonAborted    placement.Reason = "aborted"
)

var lostTexts = map[placement.Reason]string{
	reasonStopped:    "the instance closed the connection at the end of its stop",
	reasonCallerLeft: "the caller closed the connection, or took no more of the response",
	reasonAborted:    "the instance broke the response off, such as when that of the upstream ended early",
}

// Outcomes of event 501 and 502, see package ingress.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeCallerGone = "caller-gone"
	outcomeCut        = "cut"
)

// lostReason returns why the caller got no whole response, "" if it got one as far as the logs show.
func (a *attempt) lostReason() placement.Reason {
	switch {
	case a.lost != nil:
		return a.lost.Reason
	case a.end.Outcome == outcomeCallerGone && a.stop.endedAt(a.end.at):
		return reasonStopped
	case a.end.Outcome == outcomeCallerGone:
		return reasonCallerLeft
	case a.end.Outcome == outcomeCut:
		return reasonAborted
	}
	return ""
}

// execution says for people whether an upstream ran the request.
func (a *attempt) execution() string {
	switch {
	case a.end == nil, a.end.Outcome == "":
		return "an upstream may have run it, no line says more; it can be sent again only if it is idempotent"
	case a.end.Outcome == outcomeAnswered:
		return "an upstream ran it"
	case a.end.Outcome == outcomeRefused && a.end.Reason == placement.ReasonStopping:
		return "no upstream ran it; another instance can serve it at once"
	case a.end.Outcome == outcomeRefused, a.end.Sends == 0:
		return "no upstream ran it"
	}
	return "an upstream may have run it; it can be sent again only if it is idempotent"
}

// stop has the log lines about one planned stop of an instance.
type stop struct {
	begun *line // event 102
	steps []line
	ended *line // event 104, nil if the logs do not have it
}

// stopBefore returns the planned stop of an instance that had begun at the given time, nil if the logs have none.
func (s *History) stopBefore(source string, at time.Time) *stop {
	var out *stop
	for i := range s.context {
		l := &s.context[i]
		switch {
		case l.source != source:
		case l.is(event.StopBegun), l.is(event.Started):
			if l.at.After(at) {
				return out
			}
			out = nil // a stop before this line was that of an earlier process
			if l.is(event.StopBegun) {
				out = &stop{begun: l}
			}
		case l.is(event.StopStep) && out != nil:
			out.steps = append(out.steps, *l)
		case l.is(event.Stopped) && out != nil:
			out.ended = l
		}
	}
	return out
}

// endedAt reports whether the stop had ended at the given time. There may be no stop.
func (s *stop) endedAt(at time.Time) bool { return s != nil && s.ended != nil && !s.ended.at.After(at) }

// during returns the steps that were under way at any time between two.
func (s *stop) during(from, until time.Time) []line {
	var out []line
	for _, l := range s.steps {
		if !l.at.Before(from) && !l.at.Add(-l.StepTook).After(until) {
			out = append(out, l)
		}
	}
	return out
}
