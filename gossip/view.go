package gossip

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"hickorydrum/event"
	"hickorydrum/limit"
	"hickorydrum/quota"
	"hickorydrum/revision"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// fanout is how many members of the failure domain each heartbeat is sent to.
	fanout = 2
	// minCrossDomain is the least number of heartbeats that the members of a failure
	// domain together send to other failure domains in each interval. If there are more
	// other failure domains than that, they send one for each.
	minCrossDomain = 4
	// maxMembersSent, maxSummariesSent and maxContactsSent bound the members, the summaries
	// of failure domains other than the sender's, and the contacts in a failure domain that
	// one datagram carries. Of the members, the newestSent with the newest heartbeats are
	// always sent.
	maxMembersSent   = 24
	newestSent       = 16
	maxSummariesSent = 8
	maxContactsSent  = 6
	// joinHeartbeats is the number of first heartbeats of an instance during which replies to
	// its queries from its own failure domain carry members and summaries. Later ones carry
	// only the state of the member that replies. Replies to other failure domains always
	// carry contacts and summaries.
	joinHeartbeats = 5
	// maxMembers bounds the other members of its failure domain that an instance keeps track
	// of.
	maxMembers = 1024
	// suspectAfter is the silence after which a member is queried, and deadAfter the
	// silence after which it counts as dead.
	suspectAfter = 1500 * time.Millisecond
	deadAfter    = 3 * time.Second
	// replacedAfter is how long a member must have been silent before a report by other
	// members that it has restarted is accepted.
	replacedAfter = 1500 * time.Millisecond
	// forgetAfter is the silence after which a member is removed: until then it may run, cut off
	// from this instance, and use its part of what all instances share. A member that was
	// leaving is removed once it counts as dead.
	forgetAfter = time.Hour
	// forgetSummaryAfter is the age at which the summary of another failure domain is removed.
	// How many instances it had is kept, since a partition may last for longer.
	forgetSummaryAfter = time.Minute
	// maxNamedAge is the age of its last sign of life up to which an instance is given to callers, by any instance. Callers
	// may be given an instance that is lost for 6 s; the difference allows for the time that datagrams take, which
	// their ages do not show.
	maxNamedAge = 5 * time.Second
	// freshFor is the age up to which the contacts in a summary are given to callers and
	// the summary is passed on, and maxContactAge the age of their last signs of life when it is made.
	freshFor      = 3 * time.Second
	maxContactAge = maxNamedAge - freshFor
	// demandFor is the age up to which the demand in a summary is used, and up to which its failure
	// domain does not count as silent. In a large failure domain a summary takes seconds to reach all
	// members.
	demandFor = 10 * time.Second
	// settleTime is how long an instance needs to learn of the others after a start or a
	// pause.
	settleTime = 2 * time.Second
	// growTime is how long the view of an instance that has started still grows, and how long after each newcomer: the seeds
	// are queried at each heartbeat, so that the next one is known within that.
	growTime = heartbeatInterval + 150*time.Millisecond
	// pausedAfter is the delay of a heartbeat from which this instance counts as paused: its
	// view then dates from before the pause.
	pausedAfter = 1500 * time.Millisecond
	// lateAfter is the delay of a heartbeat from which the datagrams that this instance reads may have waited since the
	// heartbeat before, and drainTime how long after its next heartbeat it has read all of these.
	lateAfter = 250 * time.Millisecond
	drainTime = 200 * time.Millisecond
	// rightsFor is how long after its last heartbeat an instance may use its rights to cold
	// upstreams.
	rightsFor = 1500 * time.Millisecond
	// minLiveDivisor sets how many members of its failure domain must be alive for an
	// instance to use its rights to cold upstreams: at least 1/minLiveDivisor of them.
	minLiveDivisor = 4
)

// datagram is an encoded message and the instance to send it to.
type datagram struct {
	to   netip.Addr
	data []byte
}

// view is the membership view of one instance: its own state and what it has received of
// the other instances. It does no input or output except logging, and all times are passed
// in. It is not safe for concurrent use.
type view struct {
	domain  string
	regions map[string]string // by failure domain
	log     *slog.Logger
	random  *rand.Rand

	// checkGroup are the failure domains that confirm the state together with this one, in the order in which they
	// ask the store.
	checkGroup []string

	self        Member
	newest      []revision.Revision         // revision of the last change that this instance has, by kind of entry in the store
	loadReports []LoadReport                // sent to the members of the failure domain
	seeds       []netip.Addr                // asked for contacts while joining, and to merge partitions
	others      map[netip.Addr]*memberState // other members of this instance's failure domain
	summaries   map[string]*Summary         // of other failure domains
	contacts    map[string][]netip.Addr     // by other failure domain, some instances there that datagrams can be sent to
	holder      *limit.Holder               // of the limits that this instance holds
	quotas      *quota.Holder               // of the accounts whose reports this instance sums
	lastPresent map[string]int              // by other failure domain, how many instances it had by its last summary
	next        []netip.Addr                // targets of the next heartbeats
	settledAt   time.Time                   // until then, after a start or a pause, the instance uses no rights to cold upstreams
	heartbeatAt time.Time                   // of the last heartbeat
	// growsUntil is when the view counts as grown after a start. Each newcomer moves it, up to mostGrowsUntil.
	growsUntil, mostGrowsUntil time.Time
	// Until drainedAt, the datagrams that are read may have arrived as early as waitedSince.
	drainedAt, waitedSince time.Time
}

func newView(self Member, domain string, regions map[string]string, random *rand.Rand, log *slog.Logger, now time.Time) *view {
	return &view{
		domain: domain, regions: regions, log: log, random: random, self: self, checkGroup: checkGroup(domain, regions),
		others: make(map[netip.Addr]*memberState), summaries: make(map[string]*Summary), contacts: make(map[string][]netip.Addr),
		holder: limit.NewHolder(self.Address), quotas: quota.NewHolder(self.Address, random, quota.NewStart(now)), lastPresent: make(map[string]int),
		settledAt: now.Add(settleTime), growsUntil: now.Add(growTime), mostGrowsUntil: now.Add(settleTime), heartbeatAt: now,
	}
}

// heartbeat returns the datagrams to send at a heartbeat. It also removes members and
// summaries that are too old.
func (v *view) heartbeat(now time.Time) []datagram {
	v.detectPause(now)
	v.self.Heartbeat++
	v.forget(now)
	var out []datagram
	summaries := v.recentSummaries(now)
	for _, to := range v.domainTargets(now) {
		out = append(out, datagram{to, v.encode(&message{LoadReports: encodeLoadReports(v.loadReports, now)}, v.membersToSend(now), summaries, now)})
		summaries = nil // one member is enough: it passes them on
	}
	query := v.encode(&message{Query: true}, nil, nil, now)
	for _, to := range v.suspects(now) {
		out = append(out, datagram{to, query})
	}
	for range v.crossDomainHeartbeats(now) {
		if to, ok := v.otherDomainTarget(); ok {
			out = append(out, datagram{to, v.encode(&message{}, nil, v.allSummaries(now), now)})
		}
	}
	for _, to := range v.joinTargets(now) {
		out = append(out, datagram{to, query})
	}
	return out
}

// detectPause checks whether this instance was paused since its last heartbeat. After a
// pause the others seem to have been silent since before it, so what is theirs is left to them for the
// time of the pause (see memberState); and rights to cold upstreams may have moved to other
// members, so this instance may not use any for settleTime.
func (v *view) detectPause(now time.Time) {
	late := now.Sub(v.heartbeatAt) - heartbeatInterval
	if late >= lateAfter {
		v.waitedSince, v.drainedAt = v.heartbeatAt, now.Add(drainTime)
	}
	v.heartbeatAt = now
	if late < pausedAfter {
		return
	}
	v.settledAt = now.Add(settleTime)
	for _, m := range v.others {
		m.silentSince = m.silentSince.Add(late)
	}
}

// arrivedAt returns the earliest time at which a datagram that is handled now can have arrived: all ages in it count from
// then. Datagrams wait in the socket while this instance is paused.
func (v *view) arrivedAt(now time.Time) time.Time {
	switch {
	case now.Sub(v.heartbeatAt) >= heartbeatInterval+lateAfter:
		return v.heartbeatAt
	case now.Before(v.drainedAt):
		return v.waitedSince
	}
	return now
}

// grow records that a member or a failure domain has become known.
func (v *view) grow(now time.Time) {
	if now.Before(v.growsUntil) {
		v.growsUntil = earlier(later(v.growsUntil, now.Add(growTime)), v.mostGrowsUntil)
	}
}

// grown reports whether this instance knows of enough others to agree with them on the holder of an account. Before, those
// that start together have different holders.
func (v *view) grown(now time.Time) bool { return !now.Before(v.growsUntil) }

// forget removes members that have been silent for longer than forgetAfter, or that were
// leaving and are dead, and summaries older than forgetSummaryAfter, and logs members that
// have just died. The contacts in other failure domains stay.
func (v *view) forget(now time.Time) {
	for address, m := range v.others {
		silent := now.Sub(m.silentSince)
		if silent > deadAfter && silent <= deadAfter+heartbeatInterval {
			event.MemberGone.Log(context.Background(), v.log, slog.String("member", address.String()), slog.Duration("silent", silent))
		}
		if silent > forgetAfter || m.member.Leaving && silent > deadAfter+heartbeatInterval {
			delete(v.others, address)
		}
	}
	for domain, s := range v.summaries {
		if now.Sub(s.madeAt) > forgetSummaryAfter {
			delete(v.summaries, domain)
		}
	}
}

// encode completes a message with the state of this instance and returns it encoded, or nil,
// which is not sent, if it cannot be encoded. It counts such a message with the unreadable
// datagrams.
func (v *view) encode(m *message, members []*memberState, summaries []*Summary, now time.Time) []byte {
	m.Domain, m.Newest = v.domain, revision.Pack(v.newest)
	data, err := encode(m, &v.self, members, summaries, now)
	if err != nil {
		unreadable.Inc()
	}
	return data
}

// members returns the other members of the failure domain that may be alive, those with the newest
// heartbeats first.
func (v *view) members(now time.Time) []*memberState {
	var out []*memberState
	for _, m := range v.others {
		if m.lives(now) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *memberState) int {
		return cmp.Or(b.seenAt.Compare(a.seenAt), a.member.Address.Compare(b.member.Address))
	})
	return out
}

// membersToSend returns the members whose state one datagram carries: all with a recent sign of life, or if they are
// too many those with the newest heartbeats and a random choice of the rest.
func (v *view) membersToSend(now time.Time) []*memberState {
	members := slices.DeleteFunc(v.members(now), func(m *memberState) bool { return !m.seen(now) })
	if len(members) <= maxMembersSent {
		return members
	}
	rest := members[newestSent:]
	v.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return members[:maxMembersSent]
}

// live counts the members of the failure domain with a recent sign of life, this one included.
func (v *view) live(now time.Time) int {
	n := 1
	for _, m := range v.others {
		if m.seen(now) {
			n++
		}
	}
	return n
}
