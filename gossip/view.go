package gossip

import (
	"cmp"
	"context"
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickorydrum/event"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// fanout is how many members of the failure domain each heartbeat is sent to.
	fanout = 2
	// minCrossDomain is the least number of heartbeats that the members of a failure
	// domain together send to other failure domains in each interval. If there are more
	// other failure domains than that, they send one for each.
	minCrossDomain = 4
	// maxMembersSent, maxSummariesSent and maxContactsSent bound the entries of one
	// datagram. Of the members, the newestSent with the newest heartbeats are always sent.
	maxMembersSent   = 24
	newestSent       = 16
	maxSummariesSent = 8
	maxContactsSent  = 6
	// joinHeartbeats is the number of first heartbeats of an instance during which its
	// queries are answered with members and summaries. Later replies carry only the state
	// of the member that replies.
	joinHeartbeats = 5
	// maxMembers bounds the members that are kept of the own failure domain.
	maxMembers = 1024
	// suspectAfter is the silence after which a member is queried, and deadAfter the
	// silence after which it counts as dead.
	suspectAfter = 1500 * time.Millisecond
	deadAfter    = 3 * time.Second
	// replacedAfter is the silence after which a later start at an address is accepted
	// also from other members, not only from itself.
	replacedAfter = 1500 * time.Millisecond
	// forgetAfter is the silence after which a member or a failure domain is removed.
	forgetAfter = time.Minute
	// freshFor is the age up to which the contacts in a summary are given to callers and
	// the summary is passed on.
	freshFor = 3 * time.Second
	// demandFor is the age up to which the demand in a summary is used.
	demandFor = 10 * time.Second
	// settleTime is how long an instance needs to learn of the others after a start or a
	// pause.
	settleTime = 2 * time.Second
	// pausedAfter is the delay of a heartbeat from which this instance counts as paused: its
	// view then dates from before the pause.
	pausedAfter = 1500 * time.Millisecond
	// rightsFor is how long after its last heartbeat an instance may use the rights that
	// its rank gives it.
	rightsFor = 1500 * time.Millisecond
	// leastPart is the denominator of the fraction of a failure domain's members that must
	// be alive to this instance before it may use the rights that its rank gives it.
	minLiveDivisor = 4
)

// packet is a datagram to send.
type datagram struct {
	to   netip.Addr
	data []byte
}

// view holds what one instance knows of the other instances. It does no input or output,
// and all times are passed in. It is not safe for concurrent use.
type view struct {
	domain  string
	regions map[string]string // by failure domain
	log     *slog.Logger
	random  *rand.Rand

	self        Member
	newest      []uint64
	loadReports []LoadReport // sent to the members of the failure domain
	seeds       []netip.Addr
	others      map[netip.Addr]*memberState // of the own failure domain
	summaries   map[string]*Summary         // of other failure domains
	contacts    map[string][]netip.Addr
	next        []netip.Addr // targets of the next heartbeats
	settledAt   time.Time
	heartbeatAt time.Time
}

func newView(self Member, domain string, regions map[string]string, random *rand.Rand, log *slog.Logger, now time.Time) *view {
	return &view{
		domain: domain, regions: regions, log: log, random: random, self: self,
		others: make(map[netip.Addr]*memberState), summaries: make(map[string]*Summary), contacts: make(map[string][]netip.Addr),
		settledAt: now.Add(settleTime), heartbeatAt: now,
	}
}

// heartbeat returns the datagrams to send at a heartbeat. It also removes members and
// failure domains that have been silent for too long.
func (v *view) heartbeat(now time.Time) []datagram {
	v.detectPause(now)
	v.self.Heartbeat++
	v.forget(now)
	var out []datagram
	sums := v.recentSummaries(now)
	for _, to := range v.domainTargets(now) {
		out = append(out, datagram{to, v.encode(&message{LoadReports: encodeLoadReports(v.loadReports, now)}, v.membersToSend(now), sums, now)})
		sums = nil // one member is enough: it passes them on
	}
	ask := v.encode(&message{Query: true}, nil, nil, now)
	for _, to := range v.suspects(now) {
		out = append(out, datagram{to, ask})
	}
	for range v.crossDomainHeartbeats(now) {
		if to, ok := v.otherDomainTarget(); ok {
			out = append(out, datagram{to, v.encode(&message{}, nil, v.allSummaries(now), now)})
		}
	}
	for _, to := range v.joinTargets(now) {
		out = append(out, datagram{to, ask})
	}
	return out
}

// detectPause checks whether this instance was paused since its last heartbeat. After a
// pause the others seem to have been silent since before it, so the time of the pause is
// not counted as their silence; and rights may have moved to other members, so this
// instance has to settle again.
func (v *view) detectPause(now time.Time) {
	late := now.Sub(v.heartbeatAt) - heartbeatInterval
	v.heartbeatAt = now
	if late < pausedAfter {
		return
	}
	v.settledAt = now.Add(settleTime)
	for _, k := range v.others {
		k.heardAt = k.heardAt.Add(late)
	}
}

// forget removes members and failure domains that have been silent for longer than
// forgetAfter, and logs members that have just died.
func (v *view) forget(now time.Time) {
	for address, k := range v.others {
		silent := now.Sub(k.heardAt)
		if silent > deadAfter && silent <= deadAfter+heartbeatInterval {
			event.MemberGone.Log(context.Background(), v.log, slog.String("member", address.String()), slog.Duration("silent", silent))
		}
		if silent > forgetAfter {
			delete(v.others, address)
		}
	}
	for domain, s := range v.summaries {
		if now.Sub(s.madeAt) > forgetAfter {
			delete(v.summaries, domain)
		}
	}
}

// encode completes a message with the state of this instance and returns its datagram.
func (v *view) encode(m *message, members []*memberState, sums []*Summary, now time.Time) []byte {
	m.Domain, m.Newest = v.domain, v.newest
	data, err := encode(m, &v.self, members, sums, now)
	if err != nil {
		unreadable.Inc()
	}
	return data
}

// members returns the other live members of the failure domain, those with the newest
// heartbeats first.
func (v *view) members(now time.Time) []*memberState {
	var out []*memberState
	for _, k := range v.others {
		if k.lives(now) {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *memberState) int {
		return cmp.Or(b.heardAt.Compare(a.heardAt), a.member.Address.Compare(b.member.Address))
	})
	return out
}

// membersToSend returns the members whose state one datagram carries: all, or if they are
// too many those with the newest heartbeats and a random choice of the rest.
func (v *view) membersToSend(now time.Time) []*memberState {
	members := v.members(now)
	if len(members) <= maxMembersSent {
		return members
	}
	rest := members[newestSent:]
	v.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return members[:maxMembersSent]
}

// recentSummaries returns the recent summaries of other failure domains, or a random
// choice of them if they are too many for a datagram.
func (v *view) recentSummaries(now time.Time) []*Summary {
	var out []*Summary
	for _, s := range v.summaries {
		if now.Sub(s.madeAt) < freshFor {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *Summary) int { return strings.Compare(a.Domain, b.Domain) })
	if len(out) > maxSummariesSent {
		v.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:maxSummariesSent]
	}
	return out
}

// allSummaries returns the summary of the own failure domain and the recent ones of
// others.
func (v *view) allSummaries(now time.Time) []*Summary {
	return append([]*Summary{v.ownSummary(now)}, v.recentSummaries(now)...)
}

// ownSummary returns the summary of the own failure domain.
func (v *view) ownSummary(now time.Time) *Summary {
	s := &Summary{
		Domain: v.domain, Region: v.regions[v.domain], Live: 1, Present: 1 + len(v.others), Demand: make(map[string]int), madeAt: now,
	}
	add := func(m *Member) {
		for service, millislots := range m.Demand {
			s.Demand[service] += millislots
		}
		if m.serves() {
			s.Contacts = append(s.Contacts, m.Address)
		}
	}
	add(&v.self)
	for _, k := range v.members(now) {
		s.Live++
		add(&k.member)
	}
	v.random.Shuffle(len(s.Contacts), func(i, j int) { s.Contacts[i], s.Contacts[j] = s.Contacts[j], s.Contacts[i] })
	s.Contacts = s.Contacts[:min(len(s.Contacts), maxContactsSent)]
	return s
}

// live counts the live members of the failure domain, this one included.
func (v *view) live(now time.Time) int {
	n := 1
	for _, k := range v.others {
		if k.lives(now) {
			n++
		}
	}
	return n
}

// handle applies a message from an address and returns the replies to it. It returns false
// for a message that is not accepted: of an unknown failure domain, with a wrong sender
// address, or of this instance itself.
func (v *view) handle(m *message, from netip.Addr, now time.Time) (answers []datagram, ok bool) {
	_, known := v.regions[m.Domain]
	if !known || m.From.Address != from || from == v.self.Address {
		rejected.Inc()
		return nil, false
	}
	_, met := v.others[from]
	if m.Domain == v.domain {
		v.mergeMember(decodeMember(&m.From, m.Services), now, true)
		for i := range m.Members {
			r := &m.Members[i]
			v.mergeMember(decodeMember(r, m.Services), now.Add(-r.age()), false)
		}
	} else {
		v.addContact(m.Domain, from)
	}
	for i := range m.Summaries {
		v.mergeSummary(decodeSummary(&m.Summaries[i], m.Services, now))
	}
	for _, address := range m.Contacts[:min(len(m.Contacts), maxContactsSent)] {
		if _, ok := v.others[address]; !ok && address != v.self.Address {
			answers = append(answers, datagram{address, v.encode(&message{Query: true}, nil, nil, now)})
		}
	}
	if m.Query || m.Domain == v.domain && !met {
		answers = append(answers, datagram{from, v.reply(m.Domain, from, now)})
	}
	return answers, true
}

// answer returns the reply to a query of an instance in a failure domain.
func (v *view) reply(domain string, asker netip.Addr, now time.Time) []byte {
	if k, ok := v.others[asker]; ok && k.member.Heartbeat > joinHeartbeats {
		return v.encode(&message{}, nil, nil, now)
	}
	if domain == v.domain {
		return v.encode(&message{}, v.membersToSend(now), v.recentSummaries(now), now)
	}
	contacts := slices.DeleteFunc(slices.Clone(v.contacts[domain]), func(a netip.Addr) bool { return a == asker })
	return v.encode(&message{Contacts: contacts}, nil, v.allSummaries(now), now)
}

// mergeMember merges the state of a member that was current at an instant. direct states
// that the member sent it itself; else another member passed it on.
func (v *view) mergeMember(other Member, at time.Time, direct bool) {
	if other.Address == v.self.Address {
		return
	}
	k, ok := v.others[other.Address]
	switch {
	case !ok && len(v.others) >= maxMembers:
	case !ok:
		v.others[other.Address] = &memberState{member: other, heardAt: at}
		event.MemberJoined.Log(context.Background(), v.log, slog.String("member", other.Address.String()))
	case k.member.Run == other.Run:
		if other.Heartbeat > k.member.Heartbeat {
			k.member, k.heardAt = other, later(k.heardAt, at)
		}
	case direct, at.Sub(k.heardAt) > replacedAfter && int32(other.Run-k.member.Run) > 0:
		k.member, k.heardAt = other, at
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addContact keeps the sender of a datagram from another failure domain as a contact
// there.
func (v *view) addContact(domain string, from netip.Addr) {
	contacts := v.contacts[domain]
	if slices.Contains(contacts, from) {
		return
	}
	contacts = append(slices.Clone(contacts), from)
	v.contacts[domain] = contacts[max(0, len(contacts)-maxContactsSent):]
}

// mergeSummary keeps the summary of another failure domain if it is newer than the present
// one.
func (v *view) mergeSummary(s *Summary) {
	region, ok := v.regions[s.Domain]
	if !ok || s.Domain == v.domain {
		return
	}
	if old, ok := v.summaries[s.Domain]; ok && !s.madeAt.After(old.madeAt) {
		return
	}
	s.Region = region
	v.summaries[s.Domain] = s
	if len(s.Contacts) > 0 {
		v.contacts[s.Domain] = s.Contacts
	}
}

// rank returns the rank of an instance for a key (rendezvous hashing). All members compute
// the same ranks.
func rank(address netip.Addr, key uint64) uint64 {
	var buf [12]byte
	ip := address.As4()
	copy(buf[:], ip[:])
	binary.LittleEndian.PutUint64(buf[4:], key)
	return xxhash.Sum64(buf[:])
}
