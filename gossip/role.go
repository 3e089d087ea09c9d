package gossip

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// watchKey is the key by which the members of a failure domain are ranked for watching the
// platform's store.
const watchKey = 1

// ranksFirst reports whether this instance has the highest rank for a key among the
// members of its failure domain that are alive and for which fits returns true.
func (v *view) ranksFirst(key uint64, fits func(m *Member) bool, now time.Time) bool {
	return fits(&v.self) && v.first(key, fits, now) == v.self.Address
}

// first returns the member with the highest rank for a key among those that are alive and for
// which fits returns true, or this instance if there is none.
func (v *view) first(key uint64, fits func(m *Member) bool, now time.Time) netip.Addr {
	best, bestRank := v.self.Address, uint64(0)
	if fits(&v.self) {
		bestRank = rank(v.self.Address, key)
	}
	for _, m := range v.others {
		if !m.lives(now) || !fits(&m.member) {
			continue
		}
		if r := rank(m.member.Address, key); r > bestRank {
			best, bestRank = m.member.Address, r
		}
	}
	return best
}

// presentFraction returns the part of all instances ever known that this instance receives
// heartbeats or summaries of now. The others may be cut off from it and still run.
func (v *view) presentFraction(now time.Time) float64 { return v.presentWithin(limitDomainFor, now) }

// presentWithin returns the part of all instances ever known that this instance has received
// heartbeats of, or summaries of within the given time.
func (v *view) presentWithin(within time.Duration, now time.Time) float64 {
	live, all := v.live(now), 1+len(v.others)
	for domain, present := range v.lastPresent {
		all += present
		if s, ok := v.summaries[domain]; ok && now.Sub(s.madeAt) < within {
			live += s.Live
		}
	}
	return float64(live) / float64(max(live, all))
}

// watches reports whether this instance watches the store for its failure domain. If the
// calls of all members to the store fail, the one that ranks first keeps trying. A member that
// is about to stop does not watch.
func (v *view) watches(now time.Time) bool {
	staying := func(m *Member) bool { return !m.Leaving }
	if v.ranksFirst(watchKey, (*Member).canWatch, now) {
		return true
	}
	if slices.ContainsFunc(v.members(now), func(m *memberState) bool { return m.member.canWatch() }) {
		return false
	}
	return v.ranksFirst(watchKey, staying, now)
}

// rightShare returns this instance's share of the right to the request rate of a cold
// upstream. key identifies the upstream, and domain is its failure domain. The share is 0
// unless this instance's failure domain is the owner of the right and this instance ranks
// first for the key among the serving members there. It is also 0 while the membership that
// the rank depends on is uncertain: shortly after a start or a pause, or while too few
// members of the failure domain are alive. If a failure domain is partitioned, the first
// instance of each side holds the fraction of the right that its side has of the members, as
// long as neither side has removed the members of the other (see forgetAfter).
func (v *view) rightShare(domain string, key uint64, now time.Time) float64 {
	if now.Before(v.settledAt) || now.Sub(v.heartbeatAt) > rightsFor || v.owner(domain, key) != v.domain {
		return 0
	}
	live, present := v.live(now), 1+len(v.others)
	if live*minLiveDivisor < present || !v.ranksFirst(key, (*Member).serves, now) {
		return 0
	}
	return float64(live) / float64(present)
}

// owner returns the failure domain whose instances hold the right to the request rate of
// the upstream that key identifies, in the given failure domain: that failure domain itself if
// it was ever known, since it may still run, cut off from this one; else another one.
func (v *view) owner(domain string, key uint64) string {
	if _, ok := v.lastPresent[domain]; ok {
		return domain
	}
	return v.ownerAmong(domain, key, func(*Summary) bool { return true })
}

// ownerAmong returns the given failure domain if fits returns true for its summary or it is
// this instance's own, else another one for which fits does, preferably in its region.
func (v *view) ownerAmong(domain string, key uint64, fits func(s *Summary) bool) string {
	if s, ok := v.summaries[domain]; ok && fits(s) || domain == v.domain {
		return domain
	}
	best, bestInRegion, bestRank := v.domain, v.regions[v.domain] == v.regions[domain], domainRank(v.domain, key)
	for other, s := range v.summaries {
		if !fits(s) {
			continue
		}
		inRegion, rank := v.regions[other] == v.regions[domain], domainRank(other, key)
		if inRegion != bestInRegion && inRegion || inRegion == bestInRegion && rank > bestRank {
			best, bestInRegion, bestRank = other, inRegion, rank
		}
	}
	return best
}

// domainRank returns the rank of a failure domain for a key, equally at all instances.
func domainRank(domain string, key uint64) uint64 {
	return rank(netip.AddrFrom4([4]byte{}), key^xxhash.Sum64String(domain))
}

// serving returns the members that callers from a failure domain should use: those of the
// failure domain if there are at least minServing, else those of its region, else those
// of this instance's failure domain, since the callers reached this instance, else any. It
// uses the given region if the failure domain is not known.
func (v *view) serving(domain, region string, now time.Time) []netip.Addr {
	if inDomain := v.servingIn(domain, now); len(inDomain) >= minServing {
		return inDomain
	}
	if configured, ok := v.regions[domain]; ok {
		region = configured
	}
	var out []netip.Addr
	for other := range v.regions {
		if v.regions[other] == region {
			out = append(out, v.servingIn(other, now)...)
		}
	}
	if len(out) == 0 {
		out = v.servingIn(v.domain, now)
	}
	if len(out) == 0 {
		for other := range v.summaries {
			out = append(out, v.servingIn(other, now)...)
		}
	}
	slices.SortFunc(out, netip.Addr.Compare)
	return out
}

// servingIn returns the members of a failure domain that serve callers: all with a recent sign of life
// of this instance's failure domain, and the contacts in a recent summary of another. The last sign of life of none is
// older than maxNamedAge.
func (v *view) servingIn(domain string, now time.Time) []netip.Addr {
	if domain != v.domain {
		if s, ok := v.summaries[domain]; ok && now.Sub(s.madeAt) < freshFor {
			return s.Contacts
		}
		return nil
	}
	var out []netip.Addr
	if v.self.serves() {
		out = append(out, v.self.Address)
	}
	for _, address := range v.addresses() {
		if m := v.others[address]; m.member.serves() && m.seen(now) {
			out = append(out, address)
		}
	}
	return out
}

// minServing is the least number of serving members of a failure domain with which callers
// from there get only these.
const minServing = 2

// count returns how many instances may be running, in a region and in all: the members that
// were not removed, and those of the other failure domains by their last summaries, however
// old.
func (v *view) count(region string) (inRegion, all int) {
	all = 1 + len(v.others)
	if v.regions[v.domain] == region {
		inRegion = all
	}
	for domain, present := range v.lastPresent {
		all += present
		if v.regions[domain] == region {
			inRegion += present
		}
	}
	return inRegion, all
}

// peers returns the addresses of other instances that this one may query: the live members
// of its failure domain, then contacts in others, then the seeds. The members and the
// contacts are each in random order.
func (v *view) peers(now time.Time) []netip.Addr {
	var out []netip.Addr
	for _, m := range v.members(now) {
		out = append(out, m.member.Address)
	}
	v.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	var elsewhere []netip.Addr
	for _, contacts := range v.contacts {
		elsewhere = append(elsewhere, contacts...)
	}
	v.random.Shuffle(len(elsewhere), func(i, j int) { elsewhere[i], elsewhere[j] = elsewhere[j], elsewhere[i] })
	out = append(out, elsewhere...)
	for _, seed := range v.seeds {
		if seed != v.self.Address && !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	return out
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
