package idempotency

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/interval"
	"hickorydrum/platform"
	"hickorydrum/revision"
)

const (
	// maxCopyAge bounds the age of a copy that the store comes back from, and with it how long claims are kept in memory.
	maxCopyAge = time.Minute
	// maxKept and maxKeptBytes bound the kept claims and the bodies of their responses. Beyond the first the oldest are
	// forgotten, beyond the second the newest are kept without their responses.
	maxKept      = 1 << 14
	maxKeptBytes = 16 << 20
	// concurrentWrites is how many claims are written again at one time, and maxPause bounds the pause between two
	// attempts: until then a repeat of the request would be executed again.
	concurrentWrites = 4
	maxPause         = time.Second
)

// keptClaims holds the claims that an instance wrote lately. A copy of the store may lack them: without them a repeat of
// their requests would be executed again.
type keptClaims struct {
	mu     sync.Mutex
	claims map[string]keptClaim // by object
	order  []keptEntry          // by time; a claim that was written several times has as many entries
	last   uint64               // number of the last entry
	bytes  int                  // of the bodies
}

// keptClaim is the state of a claim as this instance last wrote it.
type keptClaim struct {
	rec   record
	at    time.Time
	entry uint64 // number of its latest entry
}

// keptEntry is the place of a claim in the order.
type keptEntry struct {
	object string
	number uint64
}

// keep replaces the kept state of a claim.
func (k *keptClaims) keep(object string, rec record, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.claims == nil {
		k.claims = make(map[string]keptClaim)
	}
	k.forget(object)
	k.prune(now)
	if rec.Stored && k.bytes+len(rec.Body) > maxKeptBytes {
		rec.Stored, rec.Header, rec.Body = false, nil, nil
	}
	k.last++
	k.claims[object] = keptClaim{rec: rec, at: now, entry: k.last}
	k.bytes += len(rec.Body)
	k.order = append(k.order, keptEntry{object, k.last})
}

// prune drops the first entries that are not needed any more, and the oldest if there is no room for another. k.mu must
// be held.
func (k *keptClaims) prune(now time.Time) {
	for len(k.order) > 0 && (len(k.order) >= maxKept || k.over(k.order[0], now)) {
		first := k.order[0]
		if k.isLatest(first) {
			k.forget(first.object)
		}
		k.order = k.order[1:]
	}
}

// isLatest reports whether the entry is the latest one of a kept claim. k.mu must be held.
func (k *keptClaims) isLatest(e keptEntry) bool { return k.claims[e.object].entry == e.number }

// forget drops a claim, but for its place in the order. k.mu must be held.
func (k *keptClaims) forget(object string) {
	k.bytes -= len(k.claims[object].rec.Body)
	delete(k.claims, object)
}

// over reports whether an entry is not needed any more: its claim was written again, or no copy of the store can lack it.
// The claim of a request that may be in progress is kept until that must have ended. k.mu must be held.
func (k *keptClaims) over(e keptEntry, now time.Time) bool {
	if !k.isLatest(e) {
		return true
	}
	c := k.claims[e.object]
	return now.Sub(c.at) > maxCopyAge && (c.rec.State != stateClaimed || now.After(c.rec.ExpiresAt))
}

// latest returns the kept state of a claim.
func (k *keptClaims) latest(object string) (record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.claims[object]
	return c.rec, ok
}

// objects returns the objects of the kept claims, the latest first.
func (k *keptClaims) objects() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for i := len(k.order) - 1; i >= 0; i-- {
		if k.isLatest(k.order[i]) {
			out = append(out, k.order[i].object)
		}
	}
	return out
}

// WriteAgain writes the claims of this instance again in the background, after the store came back from a copy that may
// lack them or have them in an earlier state.
func (cl *Claimer) WriteAgain() {
	cl.Go(func() {
		ctx, cancel := context.WithTimeout(cl.ctx, releaseTimeout)
		defer cancel()
		var group errgroup.Group
		group.SetLimit(concurrentWrites)
		for _, object := range cl.kept.objects() {
			group.Go(func() error {
				cl.writeAgain(ctx, object)
				return nil
			})
		}
		_ = group.Wait()
	})
}

// writeAgain writes one claim again, with retries until the context is done.
func (cl *Claimer) writeAgain(ctx context.Context, object string) {
	for failures := 0; ; failures++ {
		rec, ok := cl.kept.latest(object)
		if !ok {
			return
		}
		err := cl.restore(ctx, object, rec)
		if err == nil {
			return
		}
		if !interval.Sleep(ctx, min(platform.Backoff(failures), maxPause)) {
			event.AnswerNotKept.Log(cl.ctx, cl.log, slog.String("object", object), slog.String("error", err.Error()))
			return
		}
	}
}

// restore writes a claim that the store lacks, or has in a state from before. The claim of another request is left as it
// is: that one got the key from the copy. A released claim forbids nothing, so it is written only over its own former
// state, and replaced by the claim of a later request.
func (cl *Claimer) restore(ctx context.Context, object string, rec record) error {
	c := Claim{claimer: cl, object: object, rec: rec}
	if rec.State != stateReleased {
		if err := c.write(ctx, revision.Revision{}); fault.KindOf(err) != fault.Conflict {
			return err
		}
	}
	found, err := cl.store.Get(ctx, object)
	if fault.KindOf(err) == fault.Missing && rec.State == stateReleased {
		return nil
	}
	if err != nil {
		return err
	}
	var stored record
	err = json.Unmarshal(found.Value, &stored)
	switch {
	case err == nil && stored.Nonce == rec.Nonce && (stored.State != stateClaimed || rec.State == stateClaimed):
		return nil
	case err == nil && (stored.Nonce == rec.Nonce || stored.State == stateReleased && rec.State != stateReleased):
		return c.write(ctx, found.Version)
	case rec.State == stateReleased:
		return nil
	}
	event.AnswerNotKept.Log(cl.ctx, cl.log, slog.String("object", object), slog.String("error", "the claim is another request's"))
	return nil
}
