package simulation

import (
	"slices"
	"time"

	"hickorydrum/fleet"
	"hickorydrum/load"
)

// serviceTimeSpread is the largest deviation of a service time, as a fraction of its mean.
const serviceTimeSpread = 0.25

// upstream is one simulated upstream.
type upstream struct {
	simulator *simulator
	service   *Service
	domain    *Domain
	entry     *fleet.Upstream
	rank      float64 // in (0, 1), random; a disruption with a larger Share affects the upstream

	spells  []span
	running []*attempt
	waiting []*attempt
	cached  []uint64 // objects, the least recently used first
}

// attempt is one send of a request to an upstream.
type attempt struct {
	call     *call
	upstream *upstream
	sentAt   time.Time
	delay    time.Duration // one-way, between the instance and the upstream
	state    attemptState
	position int // position of the upstream in the object's preference order
}

type attemptState int

const (
	statePending attemptState = iota
	stateRunning
	stateDone // answered, refused or cancelled
)

func (u *upstream) down() bool {
	return u.simulator.pattern.disruptionFactor(Down, u.simulator.elapsed(), u.service.Name, u.rank) != 1
}

// rejects draws whether the upstream rejects a request whatever its load.
func (u *upstream) rejects() bool {
	fraction := u.simulator.pattern.disruptionFactor(Reject, u.simulator.elapsed(), u.service.Name, u.rank)
	return fraction < 1 && u.simulator.random.Float64() < fraction
}

// receive starts a request if a slot is free, queues it if the queue has room, and refuses
// it otherwise. While the upstream is down, it cannot be reached and loses its cache.
func (u *upstream) receive(a *attempt) {
	switch {
	case a.state == stateDone:
	case u.down():
		u.cached = nil
		u.reply(a, load.Unreachable)
	case u.rejects():
		u.reply(a, load.Refused)
	case len(u.running) < u.service.Slots:
		u.start(a)
	case len(u.waiting) < u.service.Queue:
		u.waiting = append(u.waiting, a)
	default:
		u.reply(a, load.Refused)
	}
}

// start runs a request in a free slot.
func (u *upstream) start(a *attempt) {
	a.state = stateRunning
	u.running = append(u.running, a)
	kind := a.call.kind
	serviceTime := float64(kind.ServiceTime) * (1 + serviceTimeSpread*(2*u.simulator.random.Float64()-1))
	if slices.Contains(u.cached, a.call.request.Object) {
		serviceTime *= 1 - kind.WarmGain
	}
	serviceTime *= u.simulator.pattern.disruptionFactor(Slow, u.simulator.elapsed(), u.service.Name, u.rank)
	u.simulator.after(u.lasts(time.Duration(serviceTime)), func() {
		if a.state == stateRunning {
			u.cacheObject(a.call.request.Object)
			u.release(a)
			u.reply(a, load.Answered)
		}
	})
}

// cacheObject makes an object the most recently used one of the cache, and evicts the least
// recently used one if the cache is full.
func (u *upstream) cacheObject(object uint64) {
	if at := slices.Index(u.cached, object); at >= 0 {
		u.cached = slices.Delete(u.cached, at, at+1)
	}
	u.cached = append(u.cached, object)
	if len(u.cached) > u.service.CacheSize {
		u.cached = u.cached[1:]
	}
}

// release frees the slot of a request and starts requests from the queue; cancelled ones
// are skipped.
func (u *upstream) release(a *attempt) {
	u.running = slices.DeleteFunc(u.running, func(other *attempt) bool { return other == a })
	for len(u.waiting) > 0 && len(u.running) < u.service.Slots {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		if next.state != stateDone {
			u.start(next)
		}
	}
}

// cancel aborts a request that the instance has given up.
func (u *upstream) cancel(a *attempt) {
	wasRunning := a.state == stateRunning
	a.state = stateDone
	if wasRunning {
		u.release(a)
	}
}

// reply sends the outcome of a request to the instance, with the current load
// and pace.
func (u *upstream) reply(a *attempt, outcome load.Outcome) {
	running, waiting, pace := len(u.running), len(u.waiting), u.pace()
	u.simulator.after(a.delay, func() {
		if a.state != stateDone {
			a.state = stateDone
			a.call.receiveResponse(a, outcome, running, waiting, pace)
		}
	})
}
