package upstream

import (
	"context"
	"errors"
	"sync"

	"hickorydrum/dispatch"
)

var errLostRace = errors.New("another attempt received a response first")

// race runs several attempts of one idempotent request. The first attempt that receives the head
// of a response forwards its response; the others are cancelled.
type race struct {
	sink dispatch.Sink

	mu       sync.Mutex
	attempts []*attempt
	winner   *attempt
}

// attempt is the sink of one attempt in a race.
type attempt struct {
	race   *race
	ctx    context.Context
	cancel context.CancelFunc
}

func newRace(sink dispatch.Sink) *race { return &race{sink: sink} }

// addAttempt adds an attempt whose context is cancelled when another attempt wins.
func (r *race) addAttempt(ctx context.Context) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &attempt{race: r}
	a.ctx, a.cancel = context.WithCancel(ctx)
	r.attempts = append(r.attempts, a)
	return a
}

// hasWinner reports whether an attempt has received the head of a response.
func (r *race) hasWinner() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != nil
}

// won reports whether the response of the attempt was forwarded.
func (r *race) won(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner == a
}

// cancelAll cancels the contexts of all attempts.
func (r *race) cancelAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		a.cancel()
	}
}

// Head forwards the head if this attempt is the first to receive one, and cancels the other
// attempts. Otherwise it returns errLostRace.
func (a *attempt) Head(h dispatch.Head) error {
	a.race.mu.Lock()
	if a.race.winner != nil {
		a.race.mu.Unlock()
		return errLostRace
	}
	a.race.winner = a
	for _, other := range a.race.attempts {
		if other != a {
			other.cancel()
		}
	}
	a.race.mu.Unlock()
	return a.race.sink.Head(h)
}

// Write forwards a part of the body.
func (a *attempt) Write(p []byte) (int, error) { return a.race.sink.Write(p) }
