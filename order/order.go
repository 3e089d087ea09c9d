// Package order keeps requests with an idempotency key from running twice. The
// key's claim is created on the platform before the request is dispatched; only
// the claim's holder dispatches it.
package order

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/rs/xid"
	"golang.org/x/sync/errgroup"

	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/period"
	"hickorydrum/platform"
)

const (
	// Prefix is the start of the keys of claims.
	Prefix = "order/"
	// MaxStoredBody is the largest answer body that is kept for re-sends, in bytes.
	MaxStoredBody = 256 << 10
	// MaxKeyLength is the longest idempotency key, in bytes.
	MaxKeyLength = 256
	// claimMargin is how much longer than its request a claim counts as under
	// way: clocks may differ by this much.
	claimMargin = 5 * time.Second
	// settleWait is how long a re-send waits for the end of a send under way, which it
	// reads each settlePoll.
	settleWait = 500 * time.Millisecond
	settlePoll = 50 * time.Millisecond
	// Retention is how long claims and their answers are kept.
	Retention      = 24 * time.Hour
	storeTimeout = 5 * time.Second
	resolveFor   = time.Minute
	retryIn      = time.Second
)

// state is how far the request of a claim has come.
type state string

const (
	stateClaimed  state = "claimed"  // may be under way
	stateDone     state = "done"     // answered; the answer is kept
	stateUnknown  state = "unknown"  // ended without a proof of its outcome
	stateReleased state = "released" // not run; the key may be claimed again
)

// record is the object of one claim.
type record struct {
	Nonce string      `json:"nonce"`
	State state       `json:"state"`
	Print string      `json:"print"` // digest of method and target
	Until time.Time   `json:"until"` // when a claim no longer counts as under way
	Kept  bool        `json:"kept,omitempty"`
	Code  int         `json:"code,omitempty"`
	Head  http.Header `json:"head,omitempty"`
	Body  []byte      `json:"body,omitempty"`
}

// Response is the kept answer of a request.
type Response struct {
	status int
	header http.Header
	body   []byte
}

// NewResponse returns an answer to keep.
func NewResponse(status int, header http.Header, body []byte) Response {
	return Response{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (a Response) Status() int { return a.status }

// Header returns the headers.
func (a Response) Header() http.Header { return a.header }

// Body returns the body.
func (a Response) Body() []byte { return a.body }

// Store is the part of the platform that claims need.
type Store interface {
	platform.Store
	Delete(ctx context.Context, key string, version uint64) error
	List(ctx context.Context, prefix string) (platform.Page, error)
}

// Claimer makes and resolves claims.
type Claimer struct {
	store Store
	log   *slog.Logger
	now   func() time.Time
	group errgroup.Group
	ctx   context.Context
}

// New returns a book whose background work ends with the context.
func New(ctx context.Context, store Store, log *slog.Logger) *Claimer {
	return &Claimer{store: store, log: log, now: time.Now, ctx: ctx}
}

// Wait waits for the background work.
func (b *Claimer) Wait() { _ = b.group.Wait() }

// Claim is the right to dispatch the request of one key.
type Claim struct {
	book    *Claimer
	object  string
	version uint64
	rec     record
}

// ObjectKey returns the platform key of a claim.
func ObjectKey(service, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + service + "/" + hex.EncodeToString(sum[:])
}

// Begin claims a key for a request that ends by the deadline. Exactly one of
// the results is set: the claim, when the request may be dispatched; the kept
// answer of an earlier send; or a fault.
func (b *Claimer) Begin(ctx context.Context, service, key, request string, deadline time.Time) (*Claim, *Response, error) {
	if len(key) > MaxKeyLength {
		return nil, nil, fault.New(fault.Invalid, fmt.Sprintf("the idempotency key has over %d bytes", MaxKeyLength), "shorten it")
	}
	sum := sha256.Sum256([]byte(request))
	c := &Claim{book: b, object: ObjectKey(service, key), rec: record{
		Nonce: xid.New().String(),
		State: stateClaimed,
		Print: hex.EncodeToString(sum[:]),
		Until: deadline.Add(claimMargin),
	}}
	err := c.put(ctx, 0)
	if fault.KindOf(err) != fault.Conflict {
		return c.begun(err)
	}
	found, old, err := c.settled(ctx)
	if err != nil {
		return nil, nil, err
	}
	if old.State == stateReleased && old.Print == c.rec.Print {
		return c.begun(c.put(ctx, found.Version))
	}
	answer, err := c.resolve(old)
	return nil, answer, err
}

// settled reads the record of an earlier send. While that is under way it reads again
// for a moment: a caller that has its answer may send again before the end of the
// claim is written.
func (c *Claim) settled(ctx context.Context) (platform.Object, record, error) {
	until := c.book.now().Add(settleWait)
	for {
		found, err := c.book.store.Get(ctx, c.object)
		if err != nil {
			return found, record{}, c.book.unreachable(err)
		}
		var old record
		if err := json.Unmarshal(found.Value, &old); err != nil {
			return found, record{}, fault.New(fault.Corrupt, "the claim of the key is damaged", "use a new key",
				fault.WithExecution(fault.MaybeExecuted), fault.WithCause(err))
		}
		underWay := old.State == stateClaimed && old.Print == c.rec.Print && c.book.now().Before(old.Until)
		if !underWay || !c.book.now().Before(until) || !period.Sleep(ctx, settlePoll) {
			return found, old, nil
		}
	}
}

// begun returns the claim, or what its write's failure means.
func (c *Claim) begun(err error) (*Claim, *Response, error) {
	switch fault.KindOf(err) {
	case "":
		if err == nil {
			return c, nil, nil
		}
	case fault.Conflict:
		return nil, nil, underWay(c.book.now())
	}
	if !fault.IsNotExecuted(err) {
		// The claim may be there. Nobody will dispatch under it, so it must not
		// stand in the way of a re-send.
		c.book.group.Go(func() error {
			c.resolveLost()
			return nil
		})
	}
	return nil, nil, c.book.unreachable(err)
}

// unreachable refuses a request whose claim cannot be made or read. It is not run,
// but an earlier send with the key may have been: the outcome that the caller asks
// about is unknown.
func (b *Claimer) unreachable(err error) error {
	return fault.New(fault.Unavailable, "the claim of the key cannot be made or read", "retry with the same key",
		fault.WithExecution(fault.MaybeExecuted), fault.WithRetryAt(b.now().Add(retryIn)), fault.WithCause(err))
}

func underWay(now time.Time) error {
	return fault.New(fault.Conflict, "a request with this key is under way", "ask again with the same key",
		fault.WithExecution(fault.MaybeExecuted), fault.WithRetryAt(now.Add(retryIn)))
}

// resolve answers a re-send from the record of an earlier send.
func (c *Claim) resolve(old record) (*Response, error) {
	switch {
	case old.Print != c.rec.Print:
		return nil, fault.New(fault.Invalid, "the idempotency key was used for another request", "use a new key")
	case old.State == stateDone && old.Kept:
		return &Response{status: old.Code, header: old.Head, body: old.Body}, nil
	case old.State == stateDone:
		return nil, fault.New(fault.Conflict, "the request was run; its answer was too large to keep",
			"read the result from the service", fault.WithExecution(fault.Executed))
	case old.State == stateClaimed && c.book.now().Before(old.Until):
		return nil, underWay(c.book.now())
	default:
		return nil, fault.New(fault.Conflict, "the outcome of the request with this key is unknown",
			"check with the service before using a new key", fault.WithExecution(fault.MaybeExecuted))
	}
}

func (c *Claim) put(ctx context.Context, version uint64) error {
	value, err := json.Marshal(c.rec)
	if err != nil {
		return err
	}
	next, err := platform.PutWithReadBack(ctx, c.book.store, c.object, value, version)
	if err == nil {
		c.version = next
	}
	return err
}

// resolveLost releases a claim whose write may have taken effect.
func (c *Claim) resolveLost() {
	event.ClaimUncertain.Log(c.book.ctx, c.book.log, slog.String("object", c.object))
	ctx, cancel := context.WithTimeout(c.book.ctx, resolveFor)
	defer cancel()
	for failures := 0; ; failures++ {
		found, err := c.book.store.Get(ctx, c.object)
		if err == nil {
			var rec record
			if json.Unmarshal(found.Value, &rec) != nil || rec.Nonce != c.rec.Nonce || rec.State == stateReleased {
				return
			}
			c.rec.State = stateReleased
			if err = c.put(ctx, found.Version); err == nil || fault.KindOf(err) == fault.Conflict {
				return
			}
		}
		// A missing object may still be written by a call that is on its way, so
		// it is looked for again until the time is over.
		if !period.Sleep(ctx, platform.Backoff(failures)) {
			return
		}
	}
}

// Finish keeps the answer for re-sends.
func (c *Claim) Finish(a Response) {
	c.rec.State = stateDone
	c.rec.Code = a.status
	if len(a.body) <= MaxStoredBody {
		c.rec.Kept = true
		c.rec.Head = a.header
		c.rec.Body = a.body
	}
	c.end()
}

// Fail records that the request ended with a fault.
func (c *Claim) Fail(err error) {
	c.rec.State = stateUnknown
	if fault.IsNotExecuted(err) {
		c.rec.State = stateReleased
	}
	c.end()
}

// end writes the final state. When that cannot be done, a re-send finds the
// claim and is told that the outcome is unknown, which is true.
func (c *Claim) end() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.book.ctx), storeTimeout)
	defer cancel()
	for failures := 0; ; failures++ {
		err := c.put(ctx, c.version)
		if err == nil {
			return
		}
		if fault.KindOf(err) == fault.Conflict || !period.Sleep(ctx, platform.Backoff(failures)) {
			event.AnswerNotKept.Log(ctx, c.book.log, slog.String("object", c.object), slog.String("error", err.Error()))
			return
		}
	}
}

// Clean deletes claims that are older than KeepFor. One instance does it for
// all.
func (b *Claimer) Clean(ctx context.Context) error {
	page, err := b.store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	oldest := b.now().Add(-Retention)
	for _, o := range page.Objects {
		var rec record
		if !strings.HasPrefix(o.Key, Prefix) || json.Unmarshal(o.Value, &rec) != nil || rec.Until.After(oldest) {
			continue
		}
		if err := b.store.Delete(ctx, o.Key, o.Version); err != nil && fault.KindOf(err) != fault.Conflict {
			return err
		}
	}
	return nil
}
