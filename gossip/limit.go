package gossip

import (
	"net/netip"
	"time"

	"hickorydrum/limit"
)

const (
	// limitFanout is how many members of the failure domain each exchange of limits is sent
	// to, besides the holders.
	limitFanout = 2
	// limitDomainFor is the age of its last summary up to which a failure domain holds the
	// limits of its upstreams. Later another one does.
	limitDomainFor = demandFor
	// minReported is the rate of offers from which an instance reports them, in requests a
	// second.
	minReported = 0.01
)

// ExchangeLimits sends other instances the limits that this one knows, and the holder of each
// limit how many requests this one offers. states and demands correspond by index. It
// returns the states, with the fractions of which this instance is the holder.
func (m *Mesh) ExchangeLimits(states []limit.State, demands []limit.Demand) []limit.State {
	now := m.now()
	m.mu.Lock()
	datagrams := m.view.exchangeLimits(states, demands, now)
	m.mu.Unlock()
	m.send(datagrams)
	return states
}

// OnLimits sets the function that is called with the limits that another instance sent. It
// must be set before Run. f is called without the lock, by the goroutine that receives
// datagrams, so it must not block.
func (m *Mesh) OnLimits(f func([]limit.State)) { m.onLimits = f }

// handleLimits processes a datagram about limits.
func (m *Mesh) handleLimits(data []byte, from netip.Addr, now time.Time) error {
	msg, err := decodeLimits(data)
	if err != nil {
		return err
	}
	var datagrams []datagram
	var states []limit.State
	m.locked(func(v *view) { datagrams, states = v.handleLimits(msg, from, now) })
	m.send(datagrams)
	if len(states) > 0 {
		m.onLimits(states)
	}
	return nil
}

// exchangeLimits returns the datagrams of one exchange. It records the demands of which this
// instance is the holder, and sets the fractions of their states.
func (v *view) exchangeLimits(states []limit.State, demands []limit.Demand, now time.Time) []datagram {
	if len(states) == 0 {
		return nil
	}
	reports := make(map[netip.Addr]*limitMessage)
	for i := range states {
		if !states[i].InForce || demands[i].Offers.Mean < minReported {
			continue
		}
		to, ok := v.limitHolder(states[i].Domain, states[i].ID.Key, now)
		if !ok {
			continue
		}
		if to == v.self.Address {
			states[i] = v.recordDemand(to, demands[i], states[i], now)
			continue
		}
		if reports[to] == nil {
			reports[to] = v.newLimitMessage(v.self.Address)
		}
		reports[to].addState(&states[i], now)
		reports[to].addDemand(&demands[i])
	}
	var out []datagram
	for to, m := range reports {
		out = append(out, datagram{to, encodeDatagram(m)})
	}
	return append(out, v.spreadLimits(states, now)...)
}

// spreadLimits returns datagrams with all states, for some members of the failure domain and
// for contacts in others.
func (v *view) spreadLimits(states []limit.State, now time.Time) []datagram {
	m := v.newLimitMessage(v.self.Address)
	for i := range states {
		m.addState(&states[i], now)
	}
	data := encodeDatagram(m)
	var out []datagram
	members := v.members(now)
	for range min(limitFanout, len(members)) {
		out = append(out, datagram{members[v.random.IntN(len(members))].member.Address, data})
	}
	for range v.crossDomainHeartbeats(now) {
		if to, ok := v.otherDomainTarget(); ok {
			out = append(out, datagram{to, data})
		}
	}
	return out
}

func (v *view) newLimitMessage(origin netip.Addr) *limitMessage {
	return &limitMessage{Format: limitFormat, Domain: v.domain, From: v.self.Address, Origin: origin}
}

// limitHolder returns the instance to which this one reports its offers to an upstream: the
// holder of its limit, or if that is in another failure domain a contact there, which passes
// the report on.
func (v *view) limitHolder(domain string, key uint64, now time.Time) (netip.Addr, bool) {
	owner := v.ownerAmong(domain, key, func(s *Summary) bool { return now.Sub(s.madeAt) < limitDomainFor })
	if owner == v.domain {
		return v.first(key, (*Member).serves, now), true
	}
	return v.contact(owner)
}

// recordDemand records, as the holder, the offers that an instance reports, and returns the
// state with a new fraction if there is one.
func (v *view) recordDemand(origin netip.Addr, d limit.Demand, known limit.State, now time.Time) limit.State {
	v.holder.Record(origin, d, &known, now)
	if state, ok := v.holder.State(d.ID, v.presentFraction(now), now); ok {
		known.Merge(&state)
	}
	return known
}

// handleLimits applies a message from an address. It returns the datagrams to send in
// response, and the states in the message, with the fractions of which this instance is the
// holder.
func (v *view) handleLimits(m *limitMessage, from netip.Addr, now time.Time) ([]datagram, []limit.State) {
	if !v.accepts(m.Domain, m.From, from) {
		return nil, nil
	}
	at := v.arrivedAt(now)
	states := make([]limit.State, len(m.States))
	index := make(map[limit.ID]int, len(m.States))
	for i := range m.States {
		states[i] = m.state(&m.States[i], at)
		index[states[i].ID] = i
	}
	reply, passOn := v.newLimitMessage(v.self.Address), make(map[netip.Addr]*limitMessage)
	for i := range m.Demands {
		d := m.demand(&m.Demands[i])
		n, ok := index[d.ID]
		if !ok {
			continue
		}
		to, ok := v.limitHolder(d.Domain, d.ID.Key, now)
		switch {
		case ok && to == v.self.Address:
			states[n] = v.recordDemand(m.Origin, d, states[n], now)
			reply.addState(&states[n], now)
		case ok && m.Origin == from: // it was not passed on before
			if passOn[to] == nil {
				passOn[to] = v.newLimitMessage(m.Origin)
			}
			passOn[to].addState(&states[n], now)
			passOn[to].addDemand(&d)
		}
	}
	var out []datagram
	if len(reply.States) > 0 {
		out = append(out, datagram{m.Origin, encodeDatagram(reply)})
	}
	for to, one := range passOn {
		out = append(out, datagram{to, encodeDatagram(one)})
	}
	return out, states
}
