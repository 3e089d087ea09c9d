package gossip

import (
	"net/netip"
	"time"
)

// Member is the state of one instance of this instance's failure domain, as the instance
// itself sends it.
type Member struct {
	// Address identifies the member. All instances use the same ports.
	Address netip.Addr
	// Run distinguishes the starts of an instance at one address. It is the Unix time of the
	// start in milliseconds, modulo 2^32. As it wraps, two starts are ordered by the sign of
	// their 32-bit difference.
	Run uint32
	// Heartbeat counts the heartbeats and announcements (see view.announce) since the start.
	Heartbeat uint64
	// Ready members serve callers.
	Ready bool
	// Leaving members are about to stop.
	Leaving bool
	// StoreRefused members leave the watch of the platform's store to others, since the
	// store refuses their calls or the calls fail otherwise, for example by a timeout.
	StoreRefused bool
	// Demand is the demand of the requests at the member, as measured by package planner, in
	// thousandths of a slot, by service.
	Demand map[string]int
}

// serves reports whether callers should use the member.
func (m *Member) serves() bool { return m.Ready && !m.Leaving }

// canWatch reports whether the member may watch the platform's store for its failure domain.
func (m *Member) canWatch() bool { return !m.Leaving && !m.StoreRefused }

// memberState is what this instance knows of another member of its failure domain.
//
// An instance that was paused knows nothing of what happened meanwhile, so there are two questions about a
// member, and each has a time of its own:
//
//   - What does this instance say of it? Callers are given a member, other instances get its state, and this
//     instance counts on it only while its last sign of life (seenAt) is recent, see seen and maxNamedAge. A pause
//     of this instance changes nothing in that, and a datagram that may have waited through the pause is no
//     sign of life since (see view.arrivedAt).
//   - What does this instance leave to it? Its rank, and with it the roles and rights that it may still use, stay with
//     the member until this instance has run for deadAfter without a sign of life, see lives. A pause does not
//     count, since nothing could be received.
type memberState struct {
	member Member
	// seenAt is when the member's last heartbeat was received from the member itself, by this instance or by another
	// member that passed it on.
	seenAt time.Time
	// silentSince is seenAt, moved by the pauses of this instance since then.
	silentSince time.Time
}

// seen reports whether there was a sign of life of the member within deadAfter.
func (m *memberState) seen(now time.Time) bool { return now.Sub(m.seenAt) < deadAfter }

// lives reports whether the member may be alive: this instance has not run for deadAfter without a sign of its life.
func (m *memberState) lives(now time.Time) bool { return now.Sub(m.silentSince) < deadAfter }

// refresh records a sign of life.
func (m *memberState) refresh(at time.Time) {
	m.seenAt, m.silentSince = later(m.seenAt, at), later(m.silentSince, at)
}

// LoadReport is the load that a nearly saturated upstream reported to some member.
type LoadReport struct {
	// Key identifies the upstream between instances.
	Key uint32
	// Outstanding is how many requests were running and waiting there at the instant At,
	// which is by the clock of package clock.
	Outstanding int
	At          time.Time
}

// Summary aggregates the members of one failure domain for the other failure domains.
type Summary struct {
	Domain string
	Region string
	// Live counts the members with a recent sign of life. Present also counts those that have been
	// silent for less than forgetAfter, since these may still run, cut off from the others.
	Live    int
	Present int
	// Demand is the total demand of the members that may be alive, in thousandths of a slot, by
	// service.
	Demand map[string]int
	// Contacts are the addresses of some members that serve callers, each with a sign of life within maxContactAge
	// before the summary was made.
	Contacts []netip.Addr

	madeAt time.Time // when a member of the failure domain made it, by the clock of this instance
}
