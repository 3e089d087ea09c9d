package gossip

import (
	"net/netip"
	"time"

	"hickorydrum/quota"
)

// quotaPresentFor is the age of its last summary up to which a failure domain counts as one that can report to
// the holder of an account. It is longer than the time for which a failure domain that cannot report keeps its
// part of the quota, so that the two parts overlap for a short time only.
const quotaPresentFor = 5 * time.Second

// A member with fewer than youngHeartbeats, which it sends in two seconds, holds no account while one with oldHeartbeats
// lives. Members that started at the same time are closer to each other than that.
const (
	youngHeartbeats = 4
	oldHeartbeats   = 10
)

// ExchangeQuotas sends reports about accounts to their holders, as this instance and as the holder of its failure
// domain, and the states of accounts above their quotas to the members. It returns the answers that this
// instance gives itself.
func (m *Mesh) ExchangeQuotas(reports []quota.Report) []quota.Answer {
	now := m.now()
	m.mu.Lock()
	datagrams, answers := m.view.exchangeQuotas(reports, now)
	m.mu.Unlock()
	m.send(datagrams)
	return answers
}

// SetQuotas sets the quotas of all accounts by the hash of their names, and the terms of their bounds. The mesh
// keeps the map, which must not be changed afterwards.
func (m *Mesh) SetQuotas(quotas map[uint64]quota.Quota, terms quota.Terms) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.quotas.SetQuotas(quotas, terms)
}

// OnQuotas sets the function that is called with the answers about quotas that another instance sent. It must be
// set before Run. f is called without the lock, by the goroutine that receives datagrams, so it must not
// block.
func (m *Mesh) OnQuotas(f func([]quota.Answer)) { m.onQuotas = f }

// handleQuotas processes a datagram about quotas.
func (m *Mesh) handleQuotas(data []byte, from netip.Addr, now time.Time) error {
	msg, err := decodeQuotas(data)
	if err != nil {
		return err
	}
	var datagrams []datagram
	var answers []quota.Answer
	m.locked(func(v *view) { datagrams, answers = v.handleQuotas(msg, from, now) })
	m.send(datagrams)
	if len(answers) > 0 {
		m.onQuotas(answers)
	}
	return nil
}

// exchangeQuotas returns the datagrams of one exchange, and the answers to reports whose holder is this instance.
func (v *view) exchangeQuotas(reports []quota.Report, now time.Time) ([]datagram, []quota.Answer) {
	var own []quota.Answer
	out := newQuotaBatch(v, v.self.Address, now)
	for i := range reports {
		r := &reports[i]
		to := v.quotaMember(r.Key, now)
		if to != v.self.Address {
			out.addReport(to, r)
			continue
		}
		if !v.grown(now) {
			continue
		}
		v.quotas.Record(to, r, now)
		if a, ok := v.quotas.Answer(r.Key, to, v.quotaScope(r.Key, now), now); ok {
			own = append(own, a)
		}
	}
	for _, key := range v.quotas.Keys(now) {
		own = append(own, v.followUp(key, out, now)...)
	}
	return out.datagrams(), own
}

// quotaHolder returns the instance to which the holder of this failure domain reports an account: the holder of the
// account, or if that is in another failure domain a contact there, which passes the report on. whole states that it
// is this instance.
func (v *view) quotaHolder(key uint64, now time.Time) (to netip.Addr, whole, ok bool) {
	owner := v.ownerAmong("", key, func(s *Summary) bool { return now.Sub(s.madeAt) < quotaPresentFor })
	if owner == v.domain {
		to = v.quotaMember(key, now)
		return to, to == v.self.Address, true
	}
	to, ok = v.contact(owner)
	return to, false, ok
}

// quotaMember returns the member of the failure domain that holds an account there. One that has just started does not while
// another has run for longer: it does not answer yet.
func (v *view) quotaMember(key uint64, now time.Time) netip.Addr {
	longest := v.self.Heartbeat
	for _, m := range v.others {
		if m.lives(now) {
			longest = max(longest, m.member.Heartbeat)
		}
	}
	holds := func(m *Member) bool {
		return m.serves() && (m.Heartbeat >= youngHeartbeats || longest < oldHeartbeats)
	}
	return v.first(key, holds, now)
}

// quotaScope returns for which instances this one answers about an account.
func (v *view) quotaScope(key uint64, now time.Time) quota.Scope {
	if _, whole, _ := v.quotaHolder(key, now); whole {
		return quota.Scope{Whole: true, Part: v.presentWithin(quotaPresentFor, now)}
	}
	_, all := v.count("")
	return quota.Scope{Part: float64(v.live(now)) / float64(max(1, all))}
}

// handleQuotas applies a message from an address. It returns the datagrams to send in response, and the answers
// for this instance.
func (v *view) handleQuotas(m *quotaMessage, from netip.Addr, now time.Time) ([]datagram, []quota.Answer) {
	if !v.accepts(m.Domain, m.From, from) {
		return nil, nil
	}
	at := v.arrivedAt(now)
	answers := make([]quota.Answer, len(m.Answers))
	for i := range m.Answers {
		answers[i] = m.Answers[i].answer(at)
		v.quotas.Apply(&answers[i], now)
	}
	keys := make(map[uint64]bool)
	replies, passedOn := newQuotaBatch(v, v.self.Address, now), newQuotaBatch(v, m.Origin, now)
	if !v.grown(now) {
		m.Reports = nil
	}
	for i := range m.Reports {
		r := m.Reports[i].report(at)
		if to, ok := v.passOn(m, r.Key, from, now); ok {
			passedOn.addReport(to, &r)
			continue
		}
		v.quotas.Record(m.Origin, &r, now)
		if a, ok := v.quotas.Answer(r.Key, m.Origin, v.quotaScope(r.Key, now), now); ok {
			replies.addAnswer(m.Origin, &a)
		}
		keys[r.Key] = true
	}
	for i := range answers {
		keys[answers[i].State.Key] = true
	}
	for key := range keys {
		answers = append(answers, v.followUp(key, replies, now)...)
	}
	return append(replies.datagrams(), passedOn.datagrams()...), answers
}

// followUp adds what follows from a message about an account without waiting for the next exchange: a report of the
// failure domain, and for its members a fraction that has fallen. It returns the answer for this instance.
func (v *view) followUp(key uint64, out *quotaBatch, now time.Time) []quota.Answer {
	scope := v.quotaScope(key, now)
	if r, ok := v.quotas.Report(key, scope, now); ok {
		if to, _, ok := v.quotaHolder(key, now); ok {
			out.addReport(to, &r)
		}
	}
	a, fallen, ok := v.quotas.Push(key, scope, now)
	if !ok {
		return nil
	}
	for _, m := range v.members(now) {
		out.addAnswer(m.member.Address, &a)
	}
	if !fallen {
		return []quota.Answer{a}
	}
	for _, to := range v.quotas.Reporters(key) {
		if _, member := v.others[to]; !member && to != v.self.Address {
			out.addAnswer(to, &a)
		}
	}
	return []quota.Answer{a}
}

// passOn returns the instance to which a report is passed on. Reports of members of this failure domain are not, nor
// are those that were passed on already.
func (v *view) passOn(m *quotaMessage, key uint64, from netip.Addr, now time.Time) (netip.Addr, bool) {
	if m.Domain == v.domain || m.Origin != from {
		return netip.Addr{}, false
	}
	to, whole, ok := v.quotaHolder(key, now)
	return to, ok && !whole && to != from
}

// quotaBatch collects the records of datagrams by their receivers.
type quotaBatch struct {
	view   *view
	origin netip.Addr
	now    time.Time
	open   map[netip.Addr]*quotaMessage // with room for more
	full   []datagram
}

func newQuotaBatch(v *view, origin netip.Addr, now time.Time) *quotaBatch {
	return &quotaBatch{view: v, origin: origin, now: now, open: make(map[netip.Addr]*quotaMessage)}
}

// message returns the message to an instance to which a record is added.
func (b *quotaBatch) message(to netip.Addr) *quotaMessage {
	m := b.open[to]
	if m != nil && len(m.Reports)+len(m.Answers) >= maxQuotaRecords {
		b.full = append(b.full, datagram{to, encodeDatagram(m)})
		m = nil
	}
	if m == nil {
		m = &quotaMessage{Format: quotaFormat, Domain: b.view.domain, From: b.view.self.Address, Origin: b.origin}
		b.open[to] = m
	}
	return m
}

func (b *quotaBatch) addReport(to netip.Addr, r *quota.Report) {
	m := b.message(to)
	m.Reports = append(m.Reports, encodeQuotaReport(r, b.now))
}

func (b *quotaBatch) addAnswer(to netip.Addr, a *quota.Answer) {
	m := b.message(to)
	m.Answers = append(m.Answers, encodeQuotaAnswer(a, b.now))
}

// datagrams returns the encoded messages.
func (b *quotaBatch) datagrams() []datagram {
	out := b.full
	for to, m := range b.open {
		out = append(out, datagram{to, encodeDatagram(m)})
	}
	return out
}
