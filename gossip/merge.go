package gossip

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"hickorydrum/event"
)

// handle applies a message from an address and returns the datagrams to send in response:
// queries to the contacts in the message that are not members yet, and a reply if the message
// is a query or comes from a new member. It returns false for a message that is not accepted:
// from an unknown failure domain, from another address than that in the message, or from this
// instance itself.
func (v *view) handle(m *message, from netip.Addr, now time.Time) (replies []datagram, ok bool) {
	if !v.accepts(m.Domain, m.From.Address, from) {
		return nil, false
	}
	at := v.arrivedAt(now)
	_, known := v.others[from]
	if m.Domain == v.domain {
		v.mergeMember(decodeMember(&m.From, m.Services), at, true)
		for i := range m.Members {
			r := &m.Members[i]
			v.mergeMember(decodeMember(r, m.Services), at.Add(-r.age()), false)
		}
	} else {
		v.addContact(m.Domain, from)
	}
	for i := range m.Summaries {
		v.mergeSummary(decodeSummary(&m.Summaries[i], m.Services, at))
	}
	for _, address := range m.Contacts[:min(len(m.Contacts), maxContactsSent)] {
		if _, ok := v.others[address]; !ok && address != v.self.Address {
			replies = append(replies, datagram{address, v.encode(&message{Query: true}, nil, nil, now)})
		}
	}
	if m.Query || m.Domain == v.domain && !known {
		replies = append(replies, datagram{from, v.reply(m.Domain, from, now)})
	}
	return replies, true
}

// accepts reports whether a message is accepted by the failure domain and the address of its
// sender that it holds, and counts one that is not. It came from the address from.
func (v *view) accepts(domain string, sender, from netip.Addr) bool {
	_, known := v.regions[domain]
	if !known || sender != from || from == v.self.Address {
		rejected.Inc()
		return false
	}
	return true
}

// reply returns the encoded reply to an instance in a failure domain: to a member of this
// one's failure domain the members and summaries, or only this instance's state after the
// member's first joinHeartbeats heartbeats; to an instance elsewhere the contacts in its
// failure domain and the summaries.
func (v *view) reply(domain string, to netip.Addr, now time.Time) []byte {
	if m, ok := v.others[to]; ok && m.member.Heartbeat > joinHeartbeats {
		return v.encode(&message{}, nil, nil, now)
	}
	if domain == v.domain {
		return v.encode(&message{}, v.membersToSend(now), v.recentSummaries(now), now)
	}
	contacts := slices.DeleteFunc(slices.Clone(v.contacts[domain]), func(a netip.Addr) bool { return a == to })
	return v.encode(&message{Contacts: contacts}, nil, v.allSummaries(now), now)
}

// mergeMember merges the state of a member as of an instant. A state that the member sent
// itself (direct) replaces that of any other run. One that another member passed on replaces
// only that of an earlier run, and only after the member has been silent for replacedAfter.
// Of the same run, the state with more heartbeats counts in either case. Further members are
// ignored while there are maxMembers.
func (v *view) mergeMember(other Member, at time.Time, direct bool) {
	if other.Address == v.self.Address {
		return
	}
	m, ok := v.others[other.Address]
	switch {
	case !ok && len(v.others) >= maxMembers:
	case !ok:
		v.grow(at)
		v.others[other.Address] = &memberState{member: other, seenAt: at, silentSince: at}
		event.MemberJoined.Log(context.Background(), v.log, slog.String("member", other.Address.String()))
	case m.member.Run == other.Run:
		if other.Heartbeat > m.member.Heartbeat {
			m.member = other
			m.refresh(at)
		}
	case direct, at.Sub(m.seenAt) > replacedAfter && int32(other.Run-m.member.Run) > 0:
		m.member, m.seenAt, m.silentSince = other, at, at
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// addContact stores the sender of a datagram from another failure domain as a contact
// there, in place of the oldest contact if they are maxContactsSent.
func (v *view) addContact(domain string, from netip.Addr) {
	contacts := v.contacts[domain]
	if slices.Contains(contacts, from) {
		return
	}
	contacts = append(slices.Clone(contacts), from)
	v.contacts[domain] = contacts[max(0, len(contacts)-maxContactsSent):]
}

// mergeSummary stores the summary of another failure domain, and its contacts if it has any,
// unless the stored summary is at least as new. It ignores a summary of an unknown failure
// domain or of this instance's own.
func (v *view) mergeSummary(s *Summary) {
	region, ok := v.regions[s.Domain]
	if !ok || s.Domain == v.domain {
		return
	}
	if old, ok := v.summaries[s.Domain]; ok && !s.madeAt.After(old.madeAt) {
		return
	}
	if _, ok := v.lastPresent[s.Domain]; !ok {
		v.grow(s.madeAt)
	}
	s.Region = region
	v.summaries[s.Domain], v.lastPresent[s.Domain] = s, s.Present
	if len(s.Contacts) > 0 {
		v.contacts[s.Domain] = s.Contacts
	}
}
