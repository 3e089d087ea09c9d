package gossip

import (
	"net/netip"
	"slices"
	"time"
)

// announce returns datagrams with the state of this instance for every live member of the
// failure domain, and if otherDomains is set also for a contact in each other failure domain.
// It counts as a heartbeat.
func (v *view) announce(otherDomains bool, now time.Time) []datagram {
	v.self.Heartbeat++
	data := v.encode(&message{}, nil, nil, now)
	out := v.toMembers(data, now)
	if !otherDomains {
		return out
	}
	for domain := range v.contacts {
		if to, ok := v.contact(domain); ok {
			out = append(out, datagram{to, data})
		}
	}
	return out
}

// toMembers returns datagrams with the same data for every other live member of the failure domain.
func (v *view) toMembers(data []byte, now time.Time) []datagram {
	var out []datagram
	for _, address := range v.addresses() {
		if v.others[address].lives(now) {
			out = append(out, datagram{address, data})
		}
	}
	return out
}

// contact returns a random contact in another failure domain. It returns false if none is known.
func (v *view) contact(domain string) (netip.Addr, bool) {
	contacts := v.contacts[domain]
	if len(contacts) == 0 {
		return netip.Addr{}, false
	}
	return contacts[v.random.IntN(len(contacts))], true
}

// domainTargets returns up to fanout live members of the failure domain to send the next
// heartbeat to. Successive calls visit all members in a random order, which is drawn again
// after every member has had its turn.
func (v *view) domainTargets(now time.Time) []netip.Addr {
	var out []netip.Addr
	for range 2 * len(v.others) {
		if len(out) == fanout {
			break
		}
		if len(v.next) == 0 {
			v.next = v.addresses()
			v.random.Shuffle(len(v.next), func(i, j int) { v.next[i], v.next[j] = v.next[j], v.next[i] })
		}
		to := v.next[0]
		v.next = v.next[1:]
		m, ok := v.others[to]
		if ok && m.lives(now) && !slices.Contains(out, to) {
			out = append(out, to)
		}
	}
	return out
}

// addresses returns the sorted addresses of the other members of the failure domain.
func (v *view) addresses() []netip.Addr {
	out := make([]netip.Addr, 0, len(v.others))
	for address := range v.others {
		out = append(out, address)
	}
	slices.SortFunc(out, netip.Addr.Compare)
	return out
}

// suspects returns the members to query: those silent for longer than suspectAfter but not
// than deadAfter, and one of those silent for longer, at random, which may have come back.
func (v *view) suspects(now time.Time) []netip.Addr {
	var out, dead []netip.Addr
	for _, address := range v.addresses() {
		switch silent := now.Sub(v.others[address].silentSince); {
		case silent > deadAfter:
			dead = append(dead, address)
		case silent > suspectAfter:
			out = append(out, address)
		}
	}
	if len(dead) > 0 {
		out = append(out, dead[v.random.IntN(len(dead))])
	}
	return out
}

// crossDomainHeartbeats draws how many heartbeats this member sends to other failure domains
// in one interval, so that all members of the failure domain together send the intended
// number on average: minCrossDomain, or one for each other failure domain if these are more.
func (v *view) crossDomainHeartbeats(now time.Time) int {
	mean := float64(max(minCrossDomain, len(v.regions)-1)) / float64(v.live(now))
	n := int(mean)
	if v.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// otherDomainTarget returns a random contact in a random other failure domain. It returns
// false if there is no contact.
func (v *view) otherDomainTarget() (netip.Addr, bool) {
	var domains []string
	for domain, contacts := range v.contacts {
		if len(contacts) > 0 {
			domains = append(domains, domain)
		}
	}
	if len(domains) == 0 {
		return netip.Addr{}, false
	}
	slices.Sort(domains)
	return v.contact(domains[v.random.IntN(len(domains))])
}

// joinTargets returns the seeds to query: all of them while this instance has found no
// other instances or until settledAt, else a random one with a probability of one in the
// number of live members. These queries merge partitions that have lost each other.
func (v *view) joinTargets(now time.Time) []netip.Addr {
	var out []netip.Addr
	for _, seed := range v.seeds {
		if seed != v.self.Address {
			out = append(out, seed)
		}
	}
	if len(out) == 0 || v.live(now) == 1 && len(v.summaries) == 0 || now.Before(v.settledAt) {
		return out
	}
	if v.random.IntN(v.live(now)) > 0 {
		return nil
	}
	return []netip.Addr{out[v.random.IntN(len(out))]}
}
