package limit

import (
	"net/netip"
	"time"
)

const (
	// targetUse is the part of a limit that the instances together should use. The rest
	// allows for the chance in which requests the fraction lets through.
	targetUse = 0.9
	// While the requests sent in offerTime exceed stopUse times what the limit allows in that
	// time, and stopSlack, none are let through: the fraction lets more through by chance.
	stopUse   = 1.05
	stopSlack = 2.0
	// settleTime is how long a new holder collects offers before it publishes a fraction.
	settleTime = 1500 * time.Millisecond
	// computeEvery is how often a fraction is computed: not at each report, since that would
	// cost by the square of the instances.
	computeEvery = 100 * time.Millisecond
	// reportFor is the age up to which a report counts in full: the next one is due. An older
	// one fades.
	reportFor = 400 * time.Millisecond
	// lapseAfter is how long after the last report an upstream is dropped.
	lapseAfter = 15 * time.Second
	// otherFor is the age up to which a fraction of another holder shows that there is one.
	otherFor = 1500 * time.Millisecond
	// maxOthers bounds the other holders of one limit.
	maxOthers = 16
	// maxHeld bounds the upstreams of which one instance is the holder.
	maxHeld = 1024
	// maxReporters bounds the instances whose offers to one upstream are added up.
	maxReporters = 8192
)

// Holder adds up the offers of all instances to the upstreams that this instance is the
// holder of.
type Holder struct {
	self netip.Addr
	held map[ID]*held
}

type held struct {
	state      State
	since      time.Time // of the first report
	reportedAt time.Time // of the last report
	computedAt time.Time // of the fraction
	offers     map[netip.Addr]Meter
	sent       map[netip.Addr]Meter
	// others is what was reported to another holder, while the views of the fleet differ.
	others map[netip.Addr]otherHolder
}

// otherHolder is the rate of the offers that another holder added up.
type otherHolder struct {
	reported float64
	at       time.Time
}

// NewHolder returns a holder at an instance, which has no reports yet.
func NewHolder(self netip.Addr) *Holder { return &Holder{self: self, held: make(map[ID]*held)} }

// Record records the offers that an instance reports, with the state that it knows.
func (h *Holder) Record(from netip.Addr, d Demand, known *State, now time.Time) {
	one, ok := h.held[d.ID]
	if !ok {
		h.forget(now)
		if len(h.held) >= maxHeld {
			return
		}
		one = &held{
			state: State{ID: d.ID, Domain: d.Domain}, since: now,
			offers: make(map[netip.Addr]Meter), sent: make(map[netip.Addr]Meter), others: make(map[netip.Addr]otherHolder),
		}
		h.held[d.ID] = one
	}
	one.state.Merge(known)
	one.reportedAt = now
	if known.Holder != h.self && known.FractionAt.After(one.others[known.Holder].at) && len(one.others) < maxOthers {
		one.others[known.Holder] = otherHolder{reported: known.Reported, at: known.FractionAt}
	}
	if _, ok := one.offers[from]; !ok && len(one.offers) >= maxReporters {
		return
	}
	one.offers[from] = Meter{rates: d.Offers, at: now}
	one.sent[from] = Meter{rates: Rates{Mean: d.Sent}, at: now}
}

// forget drops the upstreams of which nothing was reported lately.
func (h *Holder) forget(now time.Time) {
	for id, one := range h.held {
		if now.Sub(one.reportedAt) > lapseAfter {
			delete(h.held, id)
		}
	}
}

// State returns what the holder knows of the limit of an upstream, with a new fraction.
// present is the part of all instances that can report to this holder: if it is below 1,
// the others may be cut off from it and send on their own. It returns false while too little
// is known.
func (h *Holder) State(id ID, present float64, now time.Time) (State, bool) {
	one, ok := h.held[id]
	if !ok || now.Sub(one.reportedAt) > lapseAfter {
		delete(h.held, id)
		return State{}, false
	}
	if now.Sub(one.since) < settleTime || !one.state.InForce {
		return State{}, false
	}
	if now.Sub(one.computedAt) >= computeEvery {
		one.compute(h.self, present, now)
	}
	return one.state, true
}

// compute adds up the reports and sets the fraction.
func (one *held) compute(self netip.Addr, present float64, now time.Time) {
	one.computedAt = now
	offered, sent := total(one.offers, now).Highest(), total(one.sent, now).Mean
	one.state.Holder, one.state.Reported = self, offered
	for holder, other := range one.others {
		if now.Sub(other.at) > otherFor {
			delete(one.others, holder)
			continue
		}
		offered += other.reported
	}
	one.state.Fraction, one.state.FractionAt = 1, now
	allowed := present * one.state.Rate()
	if offered > targetUse*allowed {
		one.state.Fraction = targetUse * allowed / offered
	}
	if sent*offerTime.Seconds() > stopUse*allowed*offerTime.Seconds()+stopSlack {
		one.state.Fraction = 0
	}
}

// total adds up the rates that instances reported, and drops those of instances that have not
// reported lately.
func total(reports map[netip.Addr]Meter, now time.Time) Rates {
	var sum Rates
	for from, one := range reports {
		if now.Sub(one.at) > lapseAfter {
			delete(reports, from)
			continue
		}
		rates := one.Rate(now.Add(-reportFor))
		sum.Mean += rates.Mean
		sum.Recent += rates.Recent
	}
	return sum
}
