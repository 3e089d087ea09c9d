package gossip

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hickorydrum/revision"
)

// maxCheckGroup bounds the failure domains that confirm the state to each other. It bounds the
// datagrams that one instance sends to tell all others.
const maxCheckGroup = 16

// confirmFormat is the format of datagrams with a confirmation. Instances of versions that know
// none reject them, and handle all other datagrams of this instance.
const confirmFormat = 102

// Confirmation states that another instance knows its state of the platform's store to be
// current.
type Confirmation struct {
	// From is the instance that sent it.
	From netip.Addr
	// SameDomain states that From is in the failure domain of this instance.
	SameDomain bool
	// Newest holds the revision of the last change in its state, by kind of entry in the
	// platform's store.
	Newest []revision.Revision
	// Digests holds a digest of its state, by kind. Two states that have the same last change may differ: one
	// that was loaded as a whole does not show what was removed before.
	Digests []uint32
	// At is a time up to which its state has all changes that the store acknowledged.
	At time.Time
}

// confirmMessage is a datagram with a confirmation.
type confirmMessage struct {
	_      struct{} `cbor:",toarray"`
	Format int
	// Domain is the failure domain of the sender, and From its address.
	Domain string
	From   netip.Addr
	Newest []uint64 // as in message
	// Digests are those of Confirmation.
	Digests []uint32
	// AgeMillis is the time since Confirmation.At, in milliseconds.
	AgeMillis int64
}

// OnConfirmed sets the function that is called with each confirmation that another instance
// sends. It must be set before Run. f is called without the lock, by the goroutine that receives
// datagrams, so it must not block.
func (m *Mesh) OnConfirmed(f func(Confirmation)) { m.onConfirmed = f }

// Confirm sends a confirmation of this instance to the live members of the failure domain. If
// otherDomains is set, it also sends it to one contact in each other failure domain of the group that
// confirms together. From and SameDomain of the confirmation are not used.
func (m *Mesh) Confirm(c Confirmation, otherDomains bool) {
	now := m.now()
	m.mu.Lock()
	datagrams := m.view.confirm(&c, otherDomains, now)
	m.mu.Unlock()
	m.send(datagrams)
}

// CheckPosition returns the position of this instance's failure domain among those that confirm
// the state together, in the order in which they ask the store. Those that are silent do not count.
func (m *Mesh) CheckPosition() int {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.checkPosition(now)
}

// AskPosition returns the position of this instance in the order in which the members of the
// failure domain ask the store for themselves once nobody confirms the state to them. The one
// that should watch the store does not count.
func (m *Mesh) AskPosition() int {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.askPosition(now)
}

// handleConfirmation processes a datagram with a confirmation.
func (m *Mesh) handleConfirmation(data []byte, from netip.Addr, now time.Time) error {
	msg, err := decodeConfirmation(data)
	if err != nil {
		return err
	}
	var ok, sameDomain bool
	var at time.Time
	m.locked(func(v *view) {
		ok, sameDomain = v.accepts(msg.Domain, msg.From, from), msg.Domain == v.domain
		at = v.arrivedAt(now).Add(-time.Duration(msg.AgeMillis) * time.Millisecond)
	})
	if ok {
		m.onConfirmed(Confirmation{From: from, SameDomain: sameDomain, Newest: revision.Unpack(msg.Newest, StoreKinds), Digests: msg.Digests, At: at})
	}
	return nil
}

// confirm returns the datagrams of one confirmation. It does not count as a heartbeat.
func (v *view) confirm(c *Confirmation, otherDomains bool, now time.Time) []datagram {
	data := encodeDatagram(&confirmMessage{
		Format: confirmFormat, Domain: v.domain, From: v.self.Address, Newest: revision.Pack(c.Newest), Digests: c.Digests,
		AgeMillis: min(maxAgeMillis, int64(encodeMillis(c.At, now))),
	})
	out := v.toMembers(data, now)
	if !otherDomains {
		return out
	}
	for _, domain := range v.checkGroup {
		if to, ok := v.contact(domain); ok {
			out = append(out, datagram{to, data})
		}
	}
	return out
}

// checkGroup returns the failure domains that confirm the state together with the given one, which is among
// them, in the order in which they ask the store: the same at all instances.
func checkGroup(own string, regions map[string]string) []string {
	domains := slices.SortedFunc(maps.Keys(regions), func(a, b string) int {
		return cmp.Or(cmp.Compare(domainRank(b, watchKey), domainRank(a, watchKey)), strings.Compare(a, b))
	})
	first := max(0, slices.Index(domains, own)) / maxCheckGroup * maxCheckGroup
	return domains[first:min(len(domains), first+maxCheckGroup)]
}

func (v *view) checkPosition(now time.Time) int {
	position := 0
	for _, domain := range v.checkGroup {
		if domain == v.domain {
			break
		}
		if s, ok := v.summaries[domain]; ok && now.Sub(s.madeAt) < demandFor {
			position++
		}
	}
	return position
}

func (v *view) askPosition(now time.Time) int {
	own, higher := rank(v.self.Address, watchKey), 0
	for _, m := range v.others {
		if m.lives(now) && m.member.canWatch() && rank(m.member.Address, watchKey) > own {
			higher++
		}
	}
	return max(0, higher-1)
}

// confirmPrefix begins every datagram with a confirmation: an array of six elements, of which the
// first is confirmFormat.
var confirmPrefix = []byte{0x86, 0x18, confirmFormat}

func isConfirmation(data []byte) bool { return bytes.HasPrefix(data, confirmPrefix) }

// decodeConfirmation parses a datagram with a confirmation. It checks the format's version, the
// address and the age; the receiver checks the failure domain of the sender.
func decodeConfirmation(data []byte) (*confirmMessage, error) {
	var m confirmMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("the datagram cannot be read: %w", err)
	}
	switch {
	case m.Format != confirmFormat:
		return nil, fmt.Errorf("the datagram has format %d, not %d", m.Format, confirmFormat)
	case !m.From.Is4():
		return nil, errors.New("the sender has no IPv4 address")
	case m.AgeMillis < 0 || m.AgeMillis > maxAgeMillis:
		return nil, errors.New("the confirmation has an invalid age")
	}
	return &m, nil
}
