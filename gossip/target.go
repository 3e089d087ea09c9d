package gossip

import (
	"net/netip"
	"slices"
	"time"
)

// announce returns what tells every member of the failure domain at once of this one,
// and if far is set also a contact in each other one.
func (v *view) announce(far bool, now time.Time) []packet {
	v.self.Heartbeat++
	data := v.encode(&message{}, nil, nil, now)
	var out []packet
	for _, address := range v.addresses() {
		if v.others[address].lives(now) {
			out = append(out, packet{address, data})
		}
	}
	for _, contacts := range v.contacts {
		if far && len(contacts) > 0 {
			out = append(out, packet{contacts[v.random.IntN(len(contacts))], data})
		}
	}
	return out
}

// nearTargets returns the members of the failure domain that get this heartbeat. All
// have their turn before one gets another.
func (v *view) nearTargets(now time.Time) []netip.Addr {
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
		k, ok := v.others[to]
		if ok && k.lives(now) && !slices.Contains(out, to) {
			out = append(out, to)
		}
	}
	return out
}

// addresses returns those of the other members of the failure domain, in order.
func (v *view) addresses() []netip.Addr {
	out := make([]netip.Addr, 0, len(v.others))
	for address := range v.others {
		out = append(out, address)
	}
	slices.SortFunc(out, netip.Addr.Compare)
	return out
}

// suspects returns the members that were not heard of lately, and one of those that are
// gone: it may be back.
func (v *view) suspects(now time.Time) []netip.Addr {
	var out, gone []netip.Addr
	for _, address := range v.addresses() {
		switch silent := now.Sub(v.others[address].heardAt); {
		case silent > deadAfter:
			gone = append(gone, address)
		case silent > suspectAfter:
			out = append(out, address)
		}
	}
	if len(gone) > 0 {
		out = append(out, gone[v.random.IntN(len(gone))])
	}
	return out
}

// crossings draws how many heartbeats this member sends to other failure domains.
func (v *view) crossings(now time.Time) int {
	mean := float64(max(minCrossDomain, len(v.regions)-1)) / float64(v.live(now))
	n := int(mean)
	if v.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// farTarget returns a contact of some other failure domain.
func (v *view) farTarget() (netip.Addr, bool) {
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
	contacts := v.contacts[domains[v.random.IntN(len(domains))]]
	return contacts[v.random.IntN(len(contacts))], true
}

// joinTargets returns the seeds to ask: all of them while nobody else is known, else one
// of them now and then, so that parts that lost each other meet again.
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
