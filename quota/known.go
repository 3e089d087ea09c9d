package quota

import "time"

// recordKnown records the state that a reporter had received before. From that of another holder a new holder learns
// what the bucket holds, and an old one that there is another.
func (one *held) recordKnown(known *State, h *Holder, now time.Time) {
	if known.Holder == h.self && known.At.After(h.start.at) || !known.Holder.IsValid() || !known.At.After(now.Add(-holdFor)) {
		return // that of a failure domain repeats what this holder sent
	}
	if !one.own || now.Sub(one.since) < settleTime {
		one.learn(known, h, now)
		return
	}
	if known.At.Before(one.since.Add(settleTime)) {
		return // it was computed before this holder answered
	}
	if _, ok := one.others[known.Holder]; ok || len(one.others) < maxOthers {
		one.others[known.Holder] = otherHolder{offered: known.Offered, at: known.At}
	}
}

// learn takes over the state of the holder before, also once this holder has begun to keep the bucket.
func (one *held) learn(known *State, h *Holder, now time.Time) {
	if !known.At.After(one.state.At) {
		return
	}
	one.state = *known
	if one.own && one.scope.Whole {
		level := one.levelOf(known, h, now) - one.quota.Rate*now.Sub(one.since).Seconds()
		one.level += one.scope.Part * (level - one.begunLevel)
		one.begunLevel = level
	}
}

// levelOf returns what the bucket of the account holds by a state of its holder.
func (one *held) levelOf(s *State, h *Holder, now time.Time) float64 {
	return min(one.quota.Burst, s.Room-h.terms.extra(one.quota)+one.quota.Rate*now.Sub(s.At).Seconds())
}
