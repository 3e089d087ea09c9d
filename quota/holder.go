package quota

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"hickorydrum/limit"
)

const (
	// fadeAfter is the age from which the offers of a report fade.
	fadeAfter = 400 * time.Millisecond
	// A reporter is silent after silentAfter if the account has been over its quota for as long, and otherwise after
	// longSilentAfter, in which it must have reported too. If it would have been expected to offer more than
	// silentOffers requests meanwhile, it may be cut off, and its part of the quota is left to it, up to
	// reserveFor after its last report. Later the scope shows who can report.
	silentAfter     = time.Second
	longSilentAfter = calmInterval + 500*time.Millisecond
	silentOffers    = 8
	reserveFor      = 5 * time.Second
	// settleTime is how long a new holder collects reports, if another one held the account shortly before.
	settleTime = 600 * time.Millisecond
	// collectTime is how long a holder collects reports after a start, when all may report for the first time.
	collectTime = 3 * busyInterval
	// otherFor is the age up to which the state of another holder shows that there is one.
	otherFor = 1500 * time.Millisecond
	// pushEvery is how often the state of an account above its quota is sent to all instances of the failure
	// domain: also the first request at an instance must be admitted by the fraction.
	pushEvery = 500 * time.Millisecond
	// fallFactor is the factor by which the fraction has fallen when it is sent before that.
	fallFactor = 0.7
	// minInterval is the least time between two reports of a failure domain.
	minInterval = 40 * time.Millisecond
	// foresight is the time for whose offers the bucket must have room for a fraction of 1.
	foresight = 300 * time.Millisecond
	// computeEvery is how often a state is computed: not for each report.
	computeEvery = 20 * time.Millisecond
	// maxHeld, maxSources and maxOthers bound the accounts of one holder, and the reporters and the other
	// holders of one account.
	maxHeld    = 8192
	maxSources = 4096
	maxOthers  = 16
)

// Scope says for which instances a holder answers.
type Scope struct {
	// Whole states that it is the holder of the account. Otherwise it is that of a failure domain.
	Whole bool
	// Part is the part of all instances that can report to it.
	Part float64
}

// Holder sums the reports of accounts at one instance, as the holder of accounts and of the instance's failure
// domain. It is not safe for concurrent use.
type Holder struct {
	self   netip.Addr
	start  Start
	random *rand.Rand
	terms  Terms
	quotas map[uint64]Quota
	held   map[uint64]*held
}

// held is what a Holder keeps of one account.
type held struct {
	// reporter is that of a failure domain, which reports to the holder of the account.
	reporter

	quota      Quota
	sources    map[netip.Addr]*source
	others     map[netip.Addr]otherHolder
	recordedAt time.Time // when the last report was received
	pushAt     time.Time // of the next push
	pushed     float64   // fraction of the last push

	// own is set while the holder keeps the bucket, for the part of the account in scope.
	own        bool
	scope      Scope
	since      time.Time // when it began to
	begunLevel float64   // of the bucket for all instances, then
	level      float64   // requests in the bucket; below zero for a debt
	forgiven   float64   // part of a request that forgive has not taken off yet
	overSince  time.Time // since when the fraction has been below 1, the zero time if it is not
	computedAt time.Time
	computed   State
}

// otherHolder is another instance that also holds the account, while the views of the fleet differ.
type otherHolder struct {
	offered float64
	at      time.Time
}

// NewHolder returns the holder at an instance, which has no reports yet.
func NewHolder(self netip.Addr, random *rand.Rand, start Start) *Holder {
	return &Holder{self: self, start: start, random: random, held: make(map[uint64]*held)}
}

// SetQuotas sets the quotas of the accounts by the hash of their names, and the terms of their bounds. The holder
// keeps the map. For an account that is not in it, the quota in the reports counts.
func (h *Holder) SetQuotas(quotas map[uint64]Quota, terms Terms) { h.quotas, h.terms = quotas, terms }

// Record records a report.
func (h *Holder) Record(from netip.Addr, r *Report, now time.Time) {
	one, ok := h.held[r.Key]
	if !ok {
		if len(h.held) >= maxHeld {
			return
		}
		one = &held{
			reporter: newReporter(h.random), sources: make(map[netip.Addr]*source), others: make(map[netip.Addr]otherHolder),
		}
		one.computed.Key = r.Key
		h.held[r.Key] = one
	}
	one.recordedAt = now
	one.setQuota(h.quotas, r)
	one.recordKnown(&r.Known, h, now)
	s, ok := one.sources[from]
	if !ok && len(one.sources) >= maxSources {
		return
	}
	admitted := float64(r.Pending)
	if ok && s.run == r.Run {
		admitted = float64(int32(r.Admitted-s.admitted)) - s.assumed
	}
	one.admitted += uint32(int32(r.Admitted - one.countOf(s, r)))
	one.level -= admitted
	s = &source{run: r.Run, admitted: r.Admitted, offers: limit.NewMeter(r.Offers, now), at: now}
	one.sources[from] = s
	offered := one.total(now).Mean
	s.share = r.Offers.Mean / max(offered, r.Offers.Mean, minOffered)
}

// minOffered bounds the division by a rate of offers.
const minOffered = 1e-3

// countOf returns the count of a reporter that was recorded before a report.
func (one *held) countOf(s *source, r *Report) uint32 {
	if s != nil && s.run == r.Run {
		return s.admitted
	}
	return r.Admitted - uint32(r.Pending)
}

func (one *held) setQuota(quotas map[uint64]Quota, r *Report) {
	if q, ok := quotas[r.Key]; ok {
		one.quota = q
		return
	}
	one.quota = r.Quota
}

// Answer returns the answer to the last report of an account by a reporter. It returns false while too little is
// known.
func (h *Holder) Answer(key uint64, from netip.Addr, scope Scope, now time.Time) (Answer, bool) {
	one, ok := h.held[key]
	if !ok {
		return Answer{}, false
	}
	state, ok := one.current(h, scope, now)
	if !ok {
		return Answer{}, false
	}
	a := Answer{State: state}
	if s := one.sources[from]; s != nil {
		a.Run, a.Acked = s.run, s.admitted
	}
	return a, true
}

// Keys returns the accounts that were reported lately, and drops the others.
func (h *Holder) Keys(now time.Time) []uint64 {
	var out []uint64
	for key, one := range h.held {
		if now.Sub(one.recordedAt) > lapseAfter {
			delete(h.held, key)
			continue
		}
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// Reporters returns the instances that have reported an account.
func (h *Holder) Reporters(key uint64) []netip.Addr {
	one, ok := h.held[key]
	if !ok {
		return nil
	}
	return slices.SortedFunc(maps.Keys(one.sources), netip.Addr.Compare)
}

// Push returns the state of an account that all instances of the failure domain should get now, and all reporters too if
// it has fallen. It returns false if there is none: the account is below its quota, or they got it shortly before
// and the fraction has not fallen.
func (h *Holder) Push(key uint64, scope Scope, now time.Time) (a Answer, fallen, ok bool) {
	one, ok := h.held[key]
	if !ok {
		return Answer{}, false, false
	}
	state, ok := one.current(h, scope, now)
	if !ok || state.Fraction >= 1 {
		one.pushed = 1
		return Answer{}, false, false
	}
	fallen = state.Fraction < fallFactor*one.pushed
	if now.Before(one.pushAt) && !fallen {
		return Answer{}, false, false
	}
	one.pushAt, one.pushed = now.Add(pushEvery), state.Fraction
	return Answer{State: state}, fallen, true
}

// Report returns the report of a failure domain about an account, if it is due.
func (h *Holder) Report(key uint64, scope Scope, now time.Time) (Report, bool) {
	if one, ok := h.held[key]; ok {
		return one.reportDue(h, key, scope, now)
	}
	return Report{}, false
}

func (one *held) reportDue(h *Holder, key uint64, scope Scope, now time.Time) (Report, bool) {
	if scope.Whole {
		if one.own { // its bucket has what was admitted
			one.acked, one.askedAt = one.admitted, time.Time{}
		}
		return Report{}, false
	}
	offers, calmRate := one.total(now), calmPart*scope.Part*one.quota.Rate
	if one.asks(h, now) {
		calmRate = 0
	}
	if now.Sub(one.reportedAt) < minInterval || !one.due(one.quota, offers, one.recordedAt.After(one.reportedAt), calmRate, now) {
		return Report{}, false
	}
	return one.report(key, one.quota, offers, now), true
}

// Apply takes over an answer of the holder of an account.
func (h *Holder) Apply(a *Answer, now time.Time) {
	if one, ok := h.held[a.State.Key]; ok {
		one.apply(a, one.total(now).Mean)
	}
}

// current returns the state to publish.
func (one *held) current(h *Holder, scope Scope, now time.Time) (State, bool) {
	if !scope.Whole && !one.unanswered(now) {
		one.own = false
		if one.knows(now) {
			return one.braked(h, now), true
		}
		return one.calm(h, now), !one.asks(h, now)
	}
	if !scope.Whole && !h.start.counts(now) {
		return State{}, false
	}
	if !one.own || one.scope.Whole != scope.Whole {
		one.begin(h, scope, now)
	}
	if !scope.Whole {
		scope.Part = one.part(scope.Part, now)
	}
	one.scope = scope
	if scope.Whole && now.Sub(one.since) < one.collectsFor(h, now) {
		return State{}, false
	}
	if one.computed.At.Before(one.since) || now.Sub(one.computedAt) >= computeEvery {
		one.compute(h, now)
	}
	return one.computed, true
}

// asks reports whether the holder of a failure domain has to wait for the first answer of the holder of the account.
func (one *held) asks(h *Holder, now time.Time) bool {
	return one.state.At.IsZero() && h.start.recent(h.terms.Window, now)
}

// braked returns the last state of the holder of the account, with a lower fraction if this failure domain alone offers
// more than the bucket still allows: reports and answers may be late.
func (one *held) braked(h *Holder, now time.Time) State {
	s := one.state
	s.Room += one.quota.Rate*now.Sub(s.At).Seconds() - float64(one.pending())
	s.Fraction = min(s.Fraction, fraction(one.total(now), one.quota.Rate, s.Room, h.terms.extra(one.quota)))
	return s
}

// fraction returns the part of the offers that a bucket allows, which fills at a rate and has the given room, of which
// extra is beyond its level.
func fraction(offers limit.Rates, rate, room, extra float64) float64 {
	allowed := rate + room/steerTime.Seconds()
	if offered := offers.Highest(); offered > allowed && room-extra < offers.Mean*foresight.Seconds() {
		return clamp(allowed/offered, 0, 1)
	}
	return 1
}

// calm returns the state of a failure domain before the holder of the account has answered.
func (one *held) calm(h *Holder, now time.Time) State {
	return State{
		Key: one.computed.Key, At: now, Fraction: 1, Room: one.quota.Burst + h.terms.extra(one.quota),
		Offered: one.total(now).Mean,
	}
}

// collectsFor returns for how long this holder of the account only collects reports after it began.
func (one *held) collectsFor(h *Holder, now time.Time) time.Duration {
	switch {
	case one.knows(now):
		return settleTime
	case h.start.recent(h.terms.Window, now):
		return collectTime
	}
	return 0
}

// begin begins to keep the bucket, of which the last state of the holder before shows what it holds. Later, as the
// holder of the account, the bucket also has the parts of the other failure domains, which report what they used.
func (one *held) begin(h *Holder, scope Scope, now time.Time) {
	if one.own {
		whole := min(one.quota.Burst, one.begunLevel+one.quota.Rate*now.Sub(one.since).Seconds())
		one.level += max(0, scope.Part-one.scope.Part) * whole
		one.since = now
		return
	}
	part := 1.0
	if !scope.Whole {
		part = one.part(scope.Part, now)
	}
	one.begunLevel = h.start.level(one.quota, h.terms, now)
	if one.knows(now) {
		one.begunLevel = one.levelOf(&one.state, h, now)
	}
	one.level = part*one.begunLevel - float64(one.pending())
	one.own, one.since, one.computedAt, one.overSince = true, now, now, time.Time{}
	clear(one.others)
}

// compute fills the bucket and sets the fraction.
func (one *held) compute(h *Holder, now time.Time) {
	passed := now.Sub(one.computedAt).Seconds()
	one.computedAt = now
	offers := one.total(now)
	others := one.offeredToOthers(now)
	part := one.scope.Part
	if others > 0 {
		part *= offers.Mean / (offers.Mean + others)
	}
	rate, extra := part*one.quota.Rate, part*h.terms.extra(one.quota)
	rate -= one.reserve(rate, now)
	one.forgive(rate*passed, now)
	one.level = min(part*one.quota.Burst, one.level+rate*passed-one.assume(passed, now))
	admit := fraction(offers, rate, one.level+extra, extra)
	if admit >= 1 {
		one.overSince = time.Time{}
	} else if one.overSince.IsZero() {
		one.overSince = now
	}
	one.computed = State{
		Key: one.computed.Key, At: now, Fraction: admit, Room: one.level + extra,
		Offered: offers.Mean / max(part, minPart),
	}
	if one.scope.Whole {
		one.computed.Holder, one.computed.Offered = h.self, offers.Mean+others
	}
}

// minPart bounds the division by a part.
const minPart = 1e-4

// minAssumed is the rate of offers, in requests a second, from which a reporter is assumed to admit requests between
// two reports. A single request counts as a fourth of that.
const minAssumed = 1.0
