// Package fault holds the typed errors of hickorydrum and the one decision
// about whether a failed request was run.
package fault

import (
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Kind classifies a fault.
type Kind string

// The kinds of fault.
const (
	Invalid     Kind = "invalid"     // the request or file is malformed
	Missing     Kind = "missing"     // the named thing does not exist
	Overloaded  Kind = "overloaded"  // no capacity may be used now
	Expired     Kind = "expired"     // the deadline passed
	Unavailable Kind = "unavailable" // the other side could not be reached
	Conflict    Kind = "conflict"    // somebody else changed or holds the thing
	Corrupt      Kind = "broken"      // the answer was cut short or crossed
	Denied      Kind = "denied"      // the other side is not trusted
)

// Execution tells whether a request was run by an upstream.
type Execution string

// The three outcomes of a request.
const (
	NotExecuted      Execution = "no"
	MaybeExecuted Execution = "unknown"
	Executed     Execution = "yes"
)

// Progress records the facts about one request from which its outcome follows.
type Progress struct {
	sent     bool
	refused  bool
	answered bool
}

// MarkSent records that a byte of the request may have reached an upstream.
func (p *Progress) MarkSent() { p.sent = true }

// MarkRefused records that the upstream itself refused the request unrun.
func (p *Progress) MarkRefused() { p.refused = true }

// MarkAnswered records that the upstream gave a complete answer.
func (p *Progress) MarkAnswered() { p.answered = true }

// Execution decides the outcome. It is the only place where that is decided: "no" is
// returned only when no byte reached an upstream or the upstream refused the
// request itself.
func (p Progress) Execution() Execution {
	switch {
	case p.answered:
		return Executed
	case p.refused:
		return NotExecuted
	case p.sent:
		return MaybeExecuted
	default:
		return NotExecuted
	}
}

// Error is a fault with its kind, its remedy and the outcome of the request
// that it ended.
type Error struct {
	kind    Kind
	ran     Execution
	text    string
	remedy  string
	retryAt time.Time
	cause   error
}

// Option changes an Error while it is made.
type Option func(*Error)

// WithExecution sets the outcome; without it the request is stated as not run.
func WithExecution(ran Execution) Option { return func(e *Error) { e.ran = ran } }

// WithRetryAt sets the instant before which a retry is useless.
func WithRetryAt(at time.Time) Option { return func(e *Error) { e.retryAt = at } }

// WithCause keeps the error that led to this one.
func WithCause(cause error) Option {
	return func(e *Error) {
		if cause != nil {
			e.cause = eris.Wrap(cause, string(e.kind))
		}
	}
}

// New returns a fault of the given kind. The remedy states what the reader can
// do about it.
func New(kind Kind, text, remedy string, opts ...Option) *Error {
	e := &Error{kind: kind, ran: NotExecuted, text: text, remedy: remedy}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Error returns the text, the cause and the remedy in one line.
func (e *Error) Error() string {
	s := e.text
	if e.cause != nil {
		s += ": " + eris.Cause(e.cause).Error()
	}
	if e.remedy != "" {
		s += "; " + e.remedy
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the kind of the fault.
func (e *Error) Kind() Kind { return e.kind }

// Execution returns the outcome of the request that the fault ended.
func (e *Error) Execution() Execution { return e.ran }

// Text returns what happened, without cause and remedy.
func (e *Error) Text() string { return e.text }

// Remedy returns what the reader can do.
func (e *Error) Remedy() string { return e.remedy }

// RetryAt returns the instant before which a retry is useless; it is zero when
// none is known.
func (e *Error) RetryAt() time.Time { return e.retryAt }

// From returns err as a fault. Errors of other types become Unavailable with
// an unknown outcome, which is the only safe assumption about them.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Unavailable, "internal failure", "retry if the request is idempotent",
		WithExecution(MaybeExecuted), WithCause(err))
}

// KindOf returns the kind of err, or "" when err is not a fault.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return ""
}

// IsNotExecuted reports whether err states that the request was not run.
func IsNotExecuted(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.ran == NotExecuted
}

var statusByKind = map[Kind]int{
	Invalid:     http.StatusBadRequest,
	Missing:     http.StatusNotFound,
	Overloaded:  http.StatusServiceUnavailable,
	Expired:     http.StatusGatewayTimeout,
	Unavailable: http.StatusServiceUnavailable,
	Conflict:    http.StatusConflict,
	Corrupt:      http.StatusBadGateway,
	Denied:      http.StatusForbidden,
}

// Status returns the HTTP status that callers see for the fault.
func (e *Error) Status() int {
	if e.ran == MaybeExecuted && e.kind == Unavailable {
		return http.StatusBadGateway
	}
	if status, ok := statusByKind[e.kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Wire is the form of a fault in messages between instances.
type Wire struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Execution    Execution    `cbor:"2,keyasint"`
	Text   string `cbor:"3,keyasint"`
	Remedy string `cbor:"4,keyasint,omitempty"`
	// RetryIn is a remaining time in milliseconds: clocks of two instances differ.
	RetryIn int64 `cbor:"5,keyasint,omitempty"`
}

// ToWire returns the fault as a message, with its instant relative to now.
func (e *Error) ToWire(now time.Time) Wire {
	w := Wire{Kind: e.kind, Execution: e.ran, Text: e.text, Remedy: e.remedy}
	if e.cause != nil {
		w.Text += ": " + eris.Cause(e.cause).Error()
	}
	if !e.retryAt.IsZero() {
		w.RetryIn = max(1, e.retryAt.Sub(now).Milliseconds())
	}
	return w
}

// Err returns the message as a fault, with its instant counted from now.
func (w Wire) Err(now time.Time) *Error {
	e := New(w.Kind, w.Text, w.Remedy, WithExecution(w.Execution))
	if w.Execution != NotExecuted && w.Execution != Executed {
		e.ran = MaybeExecuted
	}
	if w.RetryIn > 0 {
		e.retryAt = now.Add(time.Duration(w.RetryIn) * time.Millisecond)
	}
	return e
}
