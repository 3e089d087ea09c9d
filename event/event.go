// Package event defines the numbered log events of instances. docs/EVENTS.md is
// their catalogue for operators.
package event

import (
	"context"
	"log/slog"
)

// Event is a numbered kind of log entry.
type Event struct {
	number int
	level  slog.Level
	text   string
}

// Number returns the number of the event.
func (e Event) Number() int { return e.number }

// Level returns the level at which the event is logged.
func (e Event) Level() slog.Level { return e.level }

// Text returns the message of the event.
func (e Event) Text() string { return e.text }

// The events. The hundreds group them by area: 100 process, 200 membership, 300
// configuration and upstreams, 400 traffic, 500 requests, 600 orders, which are
// requests with an idempotency key.
var (
	Started             = add(100, slog.LevelInfo, "instance started")
	Ready               = add(101, slog.LevelInfo, "instance ready")
	StopBegun           = add(102, slog.LevelInfo, "planned stop begun")
	StopStep            = add(103, slog.LevelInfo, "planned stop step done")
	Stopped             = add(104, slog.LevelInfo, "instance stopped")
	KeysReloaded        = add(105, slog.LevelInfo, "keys loaded again")
	KeysFailed          = add(106, slog.LevelWarn, "keys could not be loaded again")
	ServeFailed         = add(107, slog.LevelError, "a server of the instance failed")
	SettingsReloaded    = add(108, slog.LevelInfo, "settings file read again")
	SettingsRefused     = add(109, slog.LevelWarn, "settings file refused")
	Registered          = add(200, slog.LevelInfo, "instance registered")
	RegisterFailed      = add(201, slog.LevelWarn, "instance could not register")
	MemberJoined        = add(202, slog.LevelInfo, "instance joined")
	MemberLeaving       = add(203, slog.LevelInfo, "instance leaving")
	MemberGone          = add(204, slog.LevelWarn, "instance gone")
	DatagramFailed      = add(205, slog.LevelError, "a datagram could not be handled")
	RevisionApplied     = add(300, slog.LevelInfo, "revision in force")
	RevisionRefused     = add(301, slog.LevelError, "revision refused")
	WatchFailed         = add(302, slog.LevelWarn, "platform watch failed")
	WatchRecovered      = add(303, slog.LevelInfo, "platform watch works again")
	RevisionUnconfirmed = add(304, slog.LevelWarn, "neither platform nor peers confirm the revision")
	RevisionConfirmed   = add(305, slog.LevelInfo, "revision confirmed again")
	ViewApplied         = add(306, slog.LevelInfo, "view of upstreams in force")
	EntryRefused        = add(307, slog.LevelWarn, "entry names no upstream")
	WatchBegun          = add(308, slog.LevelInfo, "watching the platform's store for the failure domain")
	WatchEnded          = add(309, slog.LevelInfo, "no longer watching the platform's store")
	PeerFailed          = add(310, slog.LevelWarn, "a peer that knows more did not answer")
	LimitNamed          = add(311, slog.LevelInfo, "an upstream names a limit")
	LimitEnded          = add(312, slog.LevelInfo, "an upstream names no limit any more")
	LimitInvalid        = add(313, slog.LevelWarn, "an upstream names a limit that is not valid")
	UpstreamWithdrawn   = add(314, slog.LevelInfo, "an upstream leaves or is gone, it gets no more requests")
	UpstreamPaused      = add(315, slog.LevelInfo, "an upstream asks for a pause")
	PauseInvalid        = add(316, slog.LevelWarn, "an upstream asks for a pause that is not valid")
	WithdrawnLate       = add(317, slog.LevelWarn, "requests were sent to an upstream that had left")
	AskBegun            = add(318, slog.LevelInfo, "no instance confirms the state, asking the platform's store")
	AskEnded            = add(319, slog.LevelInfo, "no longer asking the platform's store for itself")
	LoadInvalid         = add(320, slog.LevelWarn, "an upstream reports a load that is not valid")
	QuotaReached        = add(321, slog.LevelInfo, "a client account is over its quota, requests of it are rejected")
	QuotaKept           = add(322, slog.LevelInfo, "a client account is within its quota again")
	EraBegun            = add(323, slog.LevelWarn, "the platform's store came back from a copy")
	EraInvalid          = add(324, slog.LevelWarn, "the platform's store names an era that cannot be used")
	TrafficMoved        = add(400, slog.LevelInfo, "traffic moved")
	RegionDead          = add(401, slog.LevelWarn, "region does not answer")
	RegionRecovered     = add(402, slog.LevelInfo, "region answers again")
	RequestFailed       = add(500, slog.LevelDebug, "request failed")
	RequestAnswered     = add(501, slog.LevelInfo, "request answered")
	RequestUnanswered   = add(502, slog.LevelWarn, "request not answered")
	LinesOmitted        = add(503, slog.LevelInfo, "lines about requests left out")
	RequestLost         = add(504, slog.LevelWarn, "the caller got no whole response")
	LimitReached        = add(505, slog.LevelWarn, "a client met a limit of the instance")
	ClaimUncertain      = add(600, slog.LevelWarn, "an order's claim is in doubt")
	AnswerNotKept       = add(601, slog.LevelWarn, "an order's answer could not be kept")
)

var catalogue []Event

func add(number int, level slog.Level, text string) Event {
	e := Event{number: number, level: level, text: text}
	catalogue = append(catalogue, e)
	return e
}

// All returns a copy of the catalogue, in the order of numbers.
func All() []Event { return append([]Event(nil), catalogue...) }

// Log writes the event to the logger, with its number as the attribute "event" and
// the given attributes.
func (e Event) Log(ctx context.Context, log *slog.Logger, attrs ...slog.Attr) {
	log.LogAttrs(ctx, e.level, e.text, append([]slog.Attr{slog.Int("event", e.number)}, attrs...)...)
}
