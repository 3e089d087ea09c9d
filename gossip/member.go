package gossip

import (
	"net/netip"
	"time"
)

// Member is one instance of the own failure domain, as it tells of itself.
type Member struct {
	// Address names the member. All instances use the same ports.
	Address netip.Addr
	// Run tells two starts at one address apart: the later one has the higher number,
	// counted modulo 2^32.
	Run uint32
	// Heartbeat counts up while the run lives.
	Heartbeat uint64
	// Ready members serve callers.
	Ready bool
	// Leaving members are about to stop.
	Leaving bool
	// StoreRefused members get no answers from the platform's store.
	StoreRefused bool
	// Demand is what the requests that reach the member need, in thousandths of a slot,
	// by service.
	Demand map[string]int
}

// serves reports whether callers should use the member.
func (m *Member) serves() bool { return m.Ready && !m.Leaving }

// memberState is another member of the own failure domain.
type memberState struct {
	member Member
	// heardAt is when its beat last advanced.
	heardAt time.Time
}

// lives reports whether the member counts as living.
func (k *memberState) lives(now time.Time) bool { return now.Sub(k.heardAt) < deadAfter }

// LoadReport is an upstream that some member recently found crowded.
type LoadReport struct {
	// Key names the upstream.
	Key uint32
	// Outstanding is how many requests it had, and At when it told so.
	Outstanding int
	At   time.Time
}

// Summary is what one failure domain tells of its members together.
type Summary struct {
	Domain string
	Region string
	// Live counts the members that live, and Present also those that fell silent a short
	// while ago: they may only be cut off.
	Live    int
	Present int
	// Demand adds up the members' demand, in thousandths of a slot, by service.
	Demand map[string]int
	// Contacts are some members that serve callers.
	Contacts []netip.Addr

	madeAt time.Time
}
