// Package fault defines the typed errors of hickorydrum. It is also the only place
// that decides whether an upstream executed a failed request.
package fault

import (
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	Invalid     Kind = "invalid"     // the request or file is malformed
	Missing     Kind = "missing"     // the named thing does not exist
	Overloaded  Kind = "overloaded"  // no capacity is available now
	Expired     Kind = "expired"     // the deadline passed
	Unavailable Kind = "unavailable" // the other side could not be reached
	Conflict    Kind = "conflict"    // another writer changed or owns the thing
	Corrupt     Kind = "broken"      // data is truncated, malformed or belongs to another request
	Denied      Kind = "denied"      // the other side is not trusted
)

// Execution states whether an upstream executed a request.
type Execution string

// The values of Execution.
const (
	NotExecuted   Execution = "no"
	MaybeExecuted Execution = "unknown"
	Executed      Execution = "yes"
)

// Progress records the facts about one request that determine its Execution.
type Progress struct {
	sent     bool
	refused  bool
	answered bool
}

// MarkSent records that a byte of the request may have reached an upstream.
func (p *Progress) MarkSent() { p.sent = true }

// MarkRefused records that the upstream itself refused the request without
// executing it.
func (p *Progress) MarkRefused() { p.refused = true }

// MarkAnswered records that the upstream sent a complete response.
func (p *Progress) MarkAnswered() { p.answered = true }

// Execution decides whether the request was executed. No other code decides this.
// It returns NotExecuted only when no byte can have reached an upstream or the
// upstream itself refused the request.
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

// Error is an error with a kind, a remedy for its reader, and the Execution of the
// request that it ended.
type Error struct {
	kind      Kind
	execution Execution
	text      string
	remedy    string
	retryAt   time.Time
	cause     error
}

// Option configures an Error in New.
type Option func(*Error)

// WithExecution sets whether the request was executed; the default is NotExecuted.
func WithExecution(x Execution) Option { return func(e *Error) { e.execution = x } }

// WithRetryAt sets the instant before which a retry is useless.
func WithRetryAt(at time.Time) Option { return func(e *Error) { e.retryAt = at } }

// WithCause sets the error that led to this one; nil sets none.
func WithCause(cause error) Option {
	return func(e *Error) {
		if cause != nil {
			e.cause = eris.Wrap(cause, string(e.kind))
		}
	}
}

// New returns an Error of the given kind. The remedy states what its reader can do
// about it, and may be empty.
func New(kind Kind, text, remedy string, opts ...Option) *Error {
	e := &Error{kind: kind, execution: NotExecuted, text: text, remedy: remedy}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Error returns the text, the root cause and the remedy in one line.
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

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Execution returns whether the request that the error ended was executed.
func (e *Error) Execution() Execution { return e.execution }

// Text returns the description of the error, without cause and remedy.
func (e *Error) Text() string { return e.text }

// Remedy returns what the reader can do about the error; it may be empty.
func (e *Error) Remedy() string { return e.remedy }

// RetryAt returns the instant before which a retry is useless, or the zero time
// when none is known.
func (e *Error) RetryAt() time.Time { return e.retryAt }

// From returns err as an *Error, or nil for nil. An error of another type becomes
// Unavailable and MaybeExecuted, which is the only safe assumption about it.
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

// KindOf returns the kind of err, or "" when err wraps no *Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return ""
}

// IsNotExecuted reports whether err states that the request was not executed. It is
// false for an error that wraps no *Error.
func IsNotExecuted(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.execution == NotExecuted
}

// After returns err as the error of a request that was sent before and ended with the earlier error:
// if the earlier send may have been executed, the request may have been.
func After(earlier, err error) error {
	if earlier == nil || IsNotExecuted(earlier) || !IsNotExecuted(err) {
		return err
	}
	e := *From(err)
	e.execution = MaybeExecuted
	return &e
}

var statusByKind = map[Kind]int{
	Invalid:     http.StatusBadRequest,
	Missing:     http.StatusNotFound,
	Overloaded:  http.StatusServiceUnavailable,
	Expired:     http.StatusGatewayTimeout,
	Unavailable: http.StatusServiceUnavailable,
	Conflict:    http.StatusConflict,
	Corrupt:     http.StatusBadGateway,
	Denied:      http.StatusForbidden,
}

// Status returns the HTTP status with which the error is sent to callers.
func (e *Error) Status() int {
	if e.execution == MaybeExecuted && e.kind == Unavailable {
		return http.StatusBadGateway
	}
	if status, ok := statusByKind[e.kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Wire is the encoded form of an Error in messages between instances.
type Wire struct {
	Kind      Kind      `cbor:"1,keyasint"`
	Execution Execution `cbor:"2,keyasint"`
	Text      string    `cbor:"3,keyasint"`
	Remedy    string    `cbor:"4,keyasint,omitempty"`
	// RetryIn is the time until RetryAt in milliseconds. It is relative because the
	// clocks of two instances differ.
	RetryIn int64 `cbor:"5,keyasint,omitempty"`
}

// ToWire returns the encoded form of the error. RetryIn is counted from now. A
// cause becomes a part of the text.
func (e *Error) ToWire(now time.Time) Wire {
	w := Wire{Kind: e.kind, Execution: e.execution, Text: e.text, Remedy: e.remedy}
	if e.cause != nil {
		w.Text += ": " + eris.Cause(e.cause).Error()
	}
	if !e.retryAt.IsZero() {
		w.RetryIn = max(1, e.retryAt.Sub(now).Milliseconds())
	}
	return w
}

// Err returns the decoded error, with RetryAt counted from now. An Execution of an
// unknown value becomes MaybeExecuted.
func (w Wire) Err(now time.Time) *Error {
	e := New(w.Kind, w.Text, w.Remedy, WithExecution(w.Execution))
	if w.Execution != NotExecuted && w.Execution != Executed {
		e.execution = MaybeExecuted
	}
	if w.RetryIn > 0 {
		e.retryAt = now.Add(time.Duration(w.RetryIn) * time.Millisecond)
	}
	return e
}
