// Package idempotency ensures that a request with an idempotency key is executed at most
// once. An instance creates a claim for the key on the platform before it dispatches
// the request; only the instance that created the claim dispatches it.
package idempotency

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
	"hickorydrum/interval"
	"hickorydrum/platform"
	"hickorydrum/revision"
)

const (
	// Prefix is the prefix of the platform keys of claims.
	Prefix = "order/"
	// MaxStoredBody is the size of the largest response body that is stored for repeated
	// requests, in bytes.
	MaxStoredBody = 256 << 10
	// MaxKeyLength is the length of the longest idempotency key, in bytes.
	MaxKeyLength = 256
	// clockSkewMargin is added to the deadline of a request to get the time at which
	// its claim expires: the clocks of instances may differ by this much.
	clockSkewMargin = 5 * time.Second
	// resultWait is how long a repeated request waits for the final state of an earlier
	// one that is in progress. It reads the claim every resultPoll.
	resultWait = 500 * time.Millisecond
	resultPoll = 50 * time.Millisecond
	// Retention is how long claims and their responses are kept after the claim expires.
	Retention      = 24 * time.Hour
	storeTimeout   = 5 * time.Second
	releaseTimeout = time.Minute
	retryDelay     = time.Second
)

// state is the state of a claim's request.
type state string

const (
	stateClaimed  state = "claimed"  // may be in progress
	stateDone     state = "done"     // answered; the response is stored unless it is too large
	stateUnknown  state = "unknown"  // failed; the upstream may have executed it
	stateReleased state = "released" // not executed; the key may be claimed again
)

// record is the platform's object of one claim.
type record struct {
	Nonce       string      `json:"nonce"`
	State       state       `json:"state"`
	Fingerprint string      `json:"print"`          // SHA-256 digest of method and target, in hex
	ExpiresAt   time.Time   `json:"until"`          // from then on a claimed request no longer counts as in progress
	Stored      bool        `json:"kept,omitempty"` // Header and Body hold the response
	Status      int         `json:"code,omitempty"`
	Header      http.Header `json:"head,omitempty"`
	Body        []byte      `json:"body,omitempty"`
}

// Response is the stored HTTP response of a request.
type Response struct {
	status int
	header http.Header
	body   []byte
}

// NewResponse returns a response to store. It keeps the header and the body without a
// copy.
func NewResponse(status int, header http.Header, body []byte) Response {
	return Response{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// Header returns the header fields.
func (r Response) Header() http.Header { return r.header }

// Body returns the body.
func (r Response) Body() []byte { return r.body }

// Store holds the objects of claims; the platform's client implements it.
type Store interface {
	platform.Store
	Delete(ctx context.Context, key string, version revision.Revision) error
	List(ctx context.Context, prefix string) (platform.Page, error)
}

// Claimer creates and resolves the claims of idempotency keys.
type Claimer struct {
	store Store
	log   *slog.Logger
	now   func() time.Time
	group errgroup.Group
	ctx   context.Context
	kept  keptClaims
}

// New returns a Claimer whose background work ends with the context.
func New(ctx context.Context, store Store, log *slog.Logger) *Claimer {
	return &Claimer{store: store, log: log, now: time.Now, ctx: ctx}
}

// Go runs f in the background, such as the end of a claim whose caller must not wait for it.
func (cl *Claimer) Go(f func()) {
	cl.group.Go(func() error {
		f()
		return nil
	})
}

// Wait waits for the background work to end.
func (cl *Claimer) Wait() { _ = cl.group.Wait() }

// Claim is the exclusive right to dispatch the request with one key. Its holder ends it
// with Finish or Fail.
type Claim struct {
	claimer *Claimer
	object  string
	version revision.Revision
	rec     record
}

// ObjectKey returns the platform key of the claim of a service's idempotency key.
func ObjectKey(service, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + service + "/" + hex.EncodeToString(sum[:])
}

// Begin claims a key for a request that ends by the deadline. Exactly one of the
// results is set: the claim, if the request may be dispatched; the stored response of
// an earlier request with the key; or a fault.
func (cl *Claimer) Begin(ctx context.Context, service, key, request string, deadline time.Time) (*Claim, *Response, error) {
	if len(key) > MaxKeyLength {
		return nil, nil, fault.New(fault.Invalid, fmt.Sprintf("the idempotency key has over %d bytes", MaxKeyLength), "shorten it")
	}
	sum := sha256.Sum256([]byte(request))
	c := &Claim{claimer: cl, object: ObjectKey(service, key), rec: record{
		Nonce:       xid.New().String(),
		State:       stateClaimed,
		Fingerprint: hex.EncodeToString(sum[:]),
		ExpiresAt:   deadline.Add(clockSkewMargin),
	}}
	err := c.put(ctx, revision.Revision{})
	if fault.KindOf(err) != fault.Conflict {
		return c.claimResult(err)
	}
	found, old, err := c.awaitResult(ctx)
	if err != nil {
		return nil, nil, err
	}
	if old.State == stateReleased && old.Fingerprint == c.rec.Fingerprint {
		return c.claimResult(c.put(ctx, found.Version))
	}
	response, err := c.repeatResponse(old)
	return nil, response, err
}

// awaitResult reads the record of an earlier request with the key. While that request is
// in progress it reads again, for up to resultWait: a caller that has its response may
// repeat the request before the final state of the claim is written.
func (c *Claim) awaitResult(ctx context.Context) (platform.Object, record, error) {
	until := c.claimer.now().Add(resultWait)
	for {
		found, err := c.claimer.store.Get(ctx, c.object)
		if err != nil {
			return found, record{}, c.claimer.storeUnavailable(err)
		}
		var old record
		if err := json.Unmarshal(found.Value, &old); err != nil {
			return found, record{}, fault.New(fault.Corrupt, "the claim of the key is damaged", "use a new key",
				fault.WithExecution(fault.MaybeExecuted), fault.WithCause(err))
		}
		inProgress := old.State == stateClaimed && old.Fingerprint == c.rec.Fingerprint && c.claimer.now().Before(old.ExpiresAt)
		if !inProgress || !c.claimer.now().Before(until) || !interval.Sleep(ctx, resultPoll) {
			return found, old, nil
		}
	}
}

// claimResult returns the results of Begin after a write of the claim: the claim, or a
// fault if the write failed with err.
func (c *Claim) claimResult(err error) (*Claim, *Response, error) {
	switch fault.KindOf(err) {
	case "":
		if err == nil {
			return c, nil, nil
		}
	case fault.Conflict:
		return nil, nil, inProgress(c.claimer.now())
	}
	if !fault.IsNotExecuted(err) {
		// The write may have taken effect. No instance will dispatch the request under
		// this claim, so it must not block a repeated request.
		c.claimer.Go(c.releaseUncertain)
	}
	return nil, nil, c.claimer.storeUnavailable(err)
}

// storeUnavailable returns the fault of a request whose claim cannot be written or read.
// This request is not executed, but an earlier one with the key may have been, so the
// outcome for the key is unknown.
func (cl *Claimer) storeUnavailable(err error) error {
	return fault.New(fault.Unavailable, "the claim of the key cannot be made or read", "retry with the same key",
		fault.WithExecution(fault.MaybeExecuted), fault.WithRetryAt(cl.now().Add(retryDelay)), fault.WithCause(err))
}

// inProgress returns the fault of a request while an earlier one with its key may still
// be in progress.
func inProgress(now time.Time) error {
	return fault.New(fault.Conflict, "a request with this key is under way", "ask again with the same key",
		fault.WithExecution(fault.MaybeExecuted), fault.WithRetryAt(now.Add(retryDelay)))
}

// repeatResponse returns the response to a repeated request, from the record of the
// earlier one, or a fault if there is none to repeat.
func (c *Claim) repeatResponse(old record) (*Response, error) {
	switch {
	case old.Fingerprint != c.rec.Fingerprint:
		return nil, fault.New(fault.Invalid, "the idempotency key was used for another request", "use a new key")
	case old.State == stateDone && old.Stored:
		return &Response{status: old.Status, header: old.Header, body: old.Body}, nil
	case old.State == stateDone:
		return nil, fault.New(fault.Conflict, "the request was run; its answer was too large to keep",
			"read the result from the service", fault.WithExecution(fault.Executed))
	case old.State == stateClaimed && c.claimer.now().Before(old.ExpiresAt):
		return nil, inProgress(c.claimer.now())
	default:
		return nil, fault.New(fault.Conflict, "the outcome of the request with this key is unknown",
			"check with the service before using a new key", fault.WithExecution(fault.MaybeExecuted))
	}
}

// put writes the record as write does. A claim that was written is kept for the case that the store loses it.
func (c *Claim) put(ctx context.Context, version revision.Revision) error {
	err := c.write(ctx, version)
	if err == nil {
		c.claimer.kept.keep(c.object, c.rec, c.claimer.now())
	}
	return err
}

// write writes the record if the object still has the version (zero: does not exist yet), and
// stores the new version.
func (c *Claim) write(ctx context.Context, version revision.Revision) error {
	value, err := json.Marshal(c.rec)
	if err != nil {
		return err
	}
	next, err := platform.PutWithReadBack(ctx, c.claimer.store, c.object, value, version)
	if err == nil {
		c.version = next
	}
	return err
}

// releaseUncertain releases a claim whose write may or may not have taken effect. It makes
// attempts for releaseTimeout or until the claimer's context is done, and then a last one.
func (c *Claim) releaseUncertain() {
	event.ClaimUncertain.Log(c.claimer.ctx, c.claimer.log, slog.String("object", c.object))
	repeat, cancel := context.WithTimeout(c.claimer.ctx, releaseTimeout)
	defer cancel()
	last := false
	for failures := 0; !c.release() && !last; failures++ {
		last = !interval.Sleep(repeat, platform.Backoff(failures))
	}
}

// release reads the claim and releases it if it is this one. It reports whether no further
// attempt is needed. If the object is missing, one is: the platform may still process the
// delayed write.
func (c *Claim) release() bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.claimer.ctx), storeTimeout)
	defer cancel()
	found, err := c.claimer.store.Get(ctx, c.object)
	if err != nil {
		return false
	}
	var rec record
	if json.Unmarshal(found.Value, &rec) != nil || rec.Nonce != c.rec.Nonce || rec.State == stateReleased {
		return true
	}
	c.rec.State = stateReleased
	err = c.put(ctx, found.Version)
	return err == nil || fault.KindOf(err) == fault.Conflict
}

// Finish stores the response for repeated requests. A body of more than MaxStoredBody is
// left out, and repeated requests then get a fault that says so.
func (c *Claim) Finish(r Response) {
	c.rec.State = stateDone
	c.rec.Status = r.status
	if len(r.body) <= MaxStoredBody {
		c.rec.Stored = true
		c.rec.Header = r.header
		c.rec.Body = r.body
	}
	c.writeFinalState()
}

// Fail records that the request ended with a fault, and releases the key if the fault
// proves that the request was not executed.
func (c *Claim) Fail(err error) {
	c.rec.State = stateUnknown
	if fault.IsNotExecuted(err) {
		c.rec.State = stateReleased
	}
	c.writeFinalState()
}

// writeFinalState writes the record with its final state, with retries for up to
// storeTimeout. If that fails, the claim expires, and repeated requests get the correct
// response that the outcome is unknown.
func (c *Claim) writeFinalState() {
	c.claimer.kept.keep(c.object, c.rec, c.claimer.now())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.claimer.ctx), storeTimeout)
	defer cancel()
	for failures := 0; ; failures++ {
		err := c.put(ctx, c.version)
		if fault.KindOf(err) == fault.Conflict {
			err = c.putAgain(ctx)
		}
		if err == nil {
			return
		}
		if fault.KindOf(err) == fault.Conflict || !interval.Sleep(ctx, platform.Backoff(failures)) {
			event.AnswerNotKept.Log(ctx, c.claimer.log, slog.String("object", c.object), slog.String("error", err.Error()))
			return
		}
	}
}

// putAgain writes the record after the store came back from a copy in which the claim is missing or has another version.
// The error is of kind fault.Conflict if the object is another request's. WriteAgain may write the claim at the same
// time, so a conflict over it is tried once more.
func (c *Claim) putAgain(ctx context.Context) error {
	var err error
	for range 2 {
		var found platform.Object
		found, err = c.claimer.store.Get(ctx, c.object)
		if err != nil && fault.KindOf(err) != fault.Missing {
			return err
		}
		var rec record
		if err == nil && (json.Unmarshal(found.Value, &rec) != nil || rec.Nonce != c.rec.Nonce) {
			return fault.New(fault.Conflict, "the claim is another request's", "")
		}
		if err = c.put(ctx, found.Version); fault.KindOf(err) != fault.Conflict {
			return err
		}
	}
	return err
}

// Clean deletes claims that expired longer than Retention ago. Only one instance of the
// fleet needs to call it.
func (cl *Claimer) Clean(ctx context.Context) error {
	page, err := cl.store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	oldest := cl.now().Add(-Retention)
	for _, o := range page.Objects {
		var rec record
		if !strings.HasPrefix(o.Key, Prefix) || json.Unmarshal(o.Value, &rec) != nil || rec.ExpiresAt.After(oldest) {
			continue
		}
		if err := cl.store.Delete(ctx, o.Key, o.Version); err != nil && fault.KindOf(err) != fault.Conflict {
			return err
		}
	}
	return nil
}
