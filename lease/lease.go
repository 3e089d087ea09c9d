// Package lease decides how many slots of one upstream an instance may use.
// At any time the sum over all instances is at most the upstream's slots,
// whoever is paused, cut off or gone. It is pure: time and messages are passed
// in, and the caller holds the lock.
//
// One instance of a region owns an upstream. An instance becomes the owner by
// taking: it asks every other instance of the region to yield, and may use the
// slots less the requests that they still have in flight. The owner renews its
// lease with one successor. When an owner falls silent, it limits itself to the
// larger half of the slots, and its successor may use the other half after a longer
// time.
package lease

import (
	"slices"
	"time"
)

const (
	// OwnerTerm is how long after sending the last acknowledged heartbeat an
	// owner may use all slots.
	OwnerTerm = 2 * time.Second
	// SuccessorTerm is how long after receiving the last heartbeat a successor believes
	// the owner, before it waits for the owner's requests to end.
	SuccessorTerm = 3 * time.Second
)

type role uint8

const (
	follower role = iota
	taker
)

// Take asks an instance to yield an upstream.
type Take struct {
	Upstream string `cbor:"1,keyasint"`
	// Round tells the tries of one taker apart; the answer repeats it.
	Round uint64 `cbor:"2,keyasint"`
}

// Yield answers a Take.
type Yield struct {
	Upstream string `cbor:"1,keyasint"`
	// Denied states that the answering instance keeps its own claim.
	Denied bool `cbor:"2,keyasint,omitempty"`
	// Rest is the number of requests that it still has in flight.
	Rest int `cbor:"3,keyasint,omitempty"`
	// Sole states that, beside the answering instance and the successor, no instance
	// could use slots when it yielded.
	Sole bool `cbor:"4,keyasint,omitempty"`
	// Successor names the successor that it had, or "".
	Successor string `cbor:"5,keyasint,omitempty"`
	// Owner names the taker it had yielded to before, or "".
	Owner string `cbor:"6,keyasint,omitempty"`
	// Round repeats that of the Take.
	Round uint64 `cbor:"7,keyasint"`
}

// Beat renews the lease of one upstream with the successor.
type Beat struct {
	Upstream string `cbor:"1,keyasint"`
	// Release ends the successor's part.
	Release bool `cbor:"2,keyasint,omitempty"`
	// Sole states that no other instance holds slots.
	Sole bool `cbor:"3,keyasint,omitempty"`
	// Round is that of the owner's Take.
	Round uint64 `cbor:"4,keyasint"`
}

// Ack answers a Beat.
type Ack struct {
	Upstream string `cbor:"1,keyasint"`
	// Borrowed is the number of requests that the successor still has in flight.
	Borrowed int `cbor:"2,keyasint,omitempty"`
	// Refused states that the successor does not know the sender as the owner.
	Refused bool `cbor:"3,keyasint,omitempty"`
}

// Tenure is the state of one instance about one upstream.
type Tenure struct {
	upstream string
	slots    int
	limit    time.Duration // the longest time that a request may be in flight

	role  role
	owner string // as follower: whom this instance yielded to

	// As taker.
	round     uint64
	rest      map[string]int // requests that each other instance may have in flight
	answered  map[string]bool
	successor string
	ackedAt   time.Time // when the last acknowledged heartbeat was sent
	succeeds  bool      // it was the successor of an owner that is gone
	complete  bool      // rest names every instance that may hold slots

	// As successor.
	successorOf string
	heard       time.Time
	sole        bool
}

// New returns the state of an instance that holds no slot.
func New(upstream string, slots int, limit time.Duration) *Tenure {
	return &Tenure{upstream: upstream, slots: slots, limit: limit}
}

// Slots returns the slots of the upstream.
func (t *Tenure) Slots() int { return t.slots }

// Taking reports whether this instance is, or is becoming, the owner.
func (t *Tenure) Taking() bool { return t.role == taker }

// Resize changes the slots and the longest request of the upstream.
func (t *Tenure) Resize(slots int, limit time.Duration) {
	t.slots = slots
	t.limit = max(limit, t.limit) // requests of the old limit may be in flight
}

func (t *Tenure) largerHalf() int  { return (t.slots + 1) / 2 }
func (t *Tenure) smallerHalf() int { return t.slots / 2 }

// Allowed returns how many requests this instance may have in flight now.
func (t *Tenure) Allowed(now time.Time) int {
	switch {
	case t.role == taker:
		allowed := 0
		if t.complete {
			allowed = max(0, t.slots-t.othersRest())
		}
		if t.succeeds {
			// Whoever took from the late owner left the successor its half.
			allowed = max(allowed, t.smallerHalf())
		}
		if t.successor != "" && !now.Before(t.ackedAt.Add(OwnerTerm)) {
			allowed = min(allowed, t.largerHalf())
		}
		return allowed
	case t.successorOf != "" && t.sole && !now.Before(t.heard.Add(SuccessorTerm+t.limit)):
		// Without the owner's word that it is the only one, a third instance
		// could hold the other half.
		return t.smallerHalf()
	default:
		return 0
	}
}

func (t *Tenure) othersRest() int {
	sum := 0
	for _, n := range t.rest {
		sum += n
	}
	return sum
}

// Start begins to take the upstream from the other instances of the region.
func (t *Tenure) Start(others []string) {
	if t.role == taker {
		return
	}
	t.succeeds = t.successorOf != "" && t.sole && !slices.Contains(others, t.successorOf)
	t.role = taker
	t.round++
	t.complete = false
	t.owner, t.successorOf, t.successor = "", "", ""
	t.ackedAt = time.Time{}
	t.rest = make(map[string]int, len(others))
	t.answered = make(map[string]bool, len(others))
	for _, member := range others {
		t.rest[member] = t.slots
	}
}

// Complete takes in the other instances of the region, as read from the platform
// after the given round began. An instance registers there before it takes, so
// that none can be missing; without this, or the word of the last owner, a taker
// gets no right, since it may not know who took just before.
func (t *Tenure) Complete(round uint64, others []string) {
	if t.role != taker || t.round != round {
		return
	}
	for _, member := range others {
		if _, known := t.rest[member]; !known {
			t.rest[member] = t.slots
		}
	}
	t.complete = true
}

// Incomplete returns the round of a taker that lacks the list of Complete.
func (t *Tenure) Incomplete() (uint64, bool) { return t.round, t.role == taker && !t.complete }

// Take returns the message that asks the pending instances to yield.
func (t *Tenure) Take() Take { return Take{Upstream: t.upstream, Round: t.round} }

// Pending returns the instances that have yet to yield.
func (t *Tenure) Pending() []string {
	if t.role != taker {
		return nil
	}
	var pending []string
	for member, n := range t.rest {
		if n > 0 || !t.answered[member] {
			pending = append(pending, member)
		}
	}
	return pending
}

// OnTake answers an instance that takes. It outranks this one when it comes
// first in the order of owners, or when this instance leaves.
func (t *Tenure) OnTake(from string, m Take, outranks bool, inFlight int) Yield {
	reply := Yield{Upstream: t.upstream, Round: m.Round, Rest: inFlight}
	if t.role == taker && !outranks {
		reply.Denied = true
		return reply
	}
	switch {
	case t.role == taker:
		reply.Sole = t.complete && t.onlyRestOf(t.successor)
		if t.successor != from {
			reply.Successor = t.successor
		}
	case t.successorOf != "" && t.successorOf != from:
		reply.Owner = t.successorOf
	case t.owner != from:
		reply.Owner = t.owner
	}
	t.follow(from)
	return reply
}

func (t *Tenure) follow(owner string) {
	t.role = follower
	t.owner = owner
	t.successorOf, t.successor = "", ""
	t.rest, t.answered = nil, nil
	t.succeeds = false
}

// onlyRestOf reports whether no instance but the named one may hold slots.
func (t *Tenure) onlyRestOf(member string) bool {
	for other, n := range t.rest {
		if n > 0 && other != member {
			return false
		}
	}
	return true
}

// OnYield takes in the answer of another instance. It returns the name of an
// instance that must be asked too, or "".
func (t *Tenure) OnYield(from string, y Yield) string {
	if t.role != taker || y.Round != t.round {
		return ""
	}
	if y.Denied {
		t.rest[from] = t.slots
		return ""
	}
	t.answered[from] = true
	t.rest[from] = min(y.Rest, t.slots)
	t.succeeds = t.succeeds && !y.Sole
	other := y.Owner
	if y.Successor != "" {
		other = y.Successor
	}
	_, known := t.rest[other]
	if other != "" && !known {
		t.rest[other] = t.slots
	}
	if y.Sole {
		t.complete = true
		t.trustSole(from, y.Successor)
	}
	if other == "" || known {
		return ""
	}
	return other
}

// trustSole lowers what instances without an answer may hold: nothing, but for
// the successor, which may use the smaller half.
func (t *Tenure) trustSole(owner, successor string) {
	for member := range t.rest {
		switch {
		case member == owner || t.answered[member]:
		case member == successor:
			t.rest[member] = min(t.rest[member], t.smallerHalf())
		default:
			t.rest[member] = 0
		}
	}
}

// Release gives the upstream up without a successor, such as when it is no
// longer declared.
func (t *Tenure) Release() { t.follow("") }

// Gone takes in the proof that an instance no longer runs; its requests fell
// with it.
func (t *Tenure) Gone(member string) {
	delete(t.rest, member)
	delete(t.answered, member)
	if t.successor == member {
		t.successor = ""
	}
	if t.owner == member {
		t.owner = ""
	}
}

// Beat returns the heartbeat that an owner sends, and to whom. want is the
// instance that should be the successor. A successor is replaced only after it
// acknowledged its release.
func (t *Tenure) Beat(now time.Time, want string) (string, Beat, bool) {
	if t.role != taker {
		return "", Beat{}, false
	}
	if t.successor == "" {
		if want == "" {
			return "", Beat{}, false
		}
		// No instance may borrow yet, so the first term begins now; the new
		// successor counts from its receipt, which is later.
		t.successor = want
		t.ackedAt = now
	}
	beat := Beat{Upstream: t.upstream, Round: t.round, Release: t.successor != want, Sole: t.complete && t.onlyRestOf("")}
	return t.successor, beat, true
}

// OnBeat takes in a heartbeat of the owner and returns the answer.
func (t *Tenure) OnBeat(now time.Time, from string, b Beat, inFlight int) Ack {
	if t.role == taker || t.owner != "" && t.owner != from && t.successorOf != from {
		return Ack{Upstream: t.upstream, Refused: true}
	}
	t.successorOf = from
	t.heard = now
	t.sole = b.Sole
	if b.Release {
		t.successorOf = ""
	}
	return Ack{Upstream: t.upstream, Borrowed: inFlight}
}

// OnAck takes in the answer to a heartbeat that was sent at the instant.
func (t *Tenure) OnAck(from string, sent time.Time, b Beat, a Ack) {
	if t.role != taker || b.Round != t.round || t.successor != from || a.Refused || a.Borrowed > 0 {
		return
	}
	if sent.After(t.ackedAt) {
		t.ackedAt = sent
	}
	if b.Release {
		t.successor = ""
	}
}
