package upstream

import (
	"context"
	"errors"
	"sync"

	"hickorydrum/dispatch"
)

var errLostRace = errors.New("another connection answered first")

// race lets several dispatches of one idempotent request compete: the first
// that has a head passes its answer on, the others are cancelled.
type race struct {
	sink dispatch.Sink

	mu       sync.Mutex
	entrants []*entrant
	winner   *entrant
}

// entrant is the sink of one competing dispatch.
type entrant struct {
	race   *race
	ctx    context.Context
	cancel context.CancelFunc
}

func newRace(sink dispatch.Sink) *race { return &race{sink: sink} }

func (r *race) entrant(ctx context.Context) *entrant {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &entrant{race: r}
	e.ctx, e.cancel = context.WithCancel(ctx)
	r.entrants = append(r.entrants, e)
	return e
}

func (r *race) started() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != nil
}

// won reports whether the answer of the entrant was passed on.
func (r *race) won(e *entrant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner == e
}

func (r *race) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entrants {
		e.cancel()
	}
}

// Head passes the head on if this dispatch is the first to have one.
func (e *entrant) Head(h dispatch.Head) error {
	e.race.mu.Lock()
	if e.race.winner != nil {
		e.race.mu.Unlock()
		return errLostRace
	}
	e.race.winner = e
	for _, other := range e.race.entrants {
		if other != e {
			other.cancel()
		}
	}
	e.race.mu.Unlock()
	return e.race.sink.Head(h)
}

// Write passes a part of the body on.
func (e *entrant) Write(p []byte) (int, error) { return e.race.sink.Write(p) }
