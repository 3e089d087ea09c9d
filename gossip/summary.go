package gossip

import (
	"slices"
	"strings"
	"time"
)

// recentSummaries returns the summaries of other failure domains that are younger than
// freshFor, or a random choice of them if they are too many for a datagram.
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

// allSummaries returns the summary of this instance's failure domain and the recent ones of
// others.
func (v *view) allSummaries(now time.Time) []*Summary {
	return append([]*Summary{v.ownSummary(now)}, v.recentSummaries(now)...)
}

// ownSummary returns the summary of this instance's failure domain.
func (v *view) ownSummary(now time.Time) *Summary {
	s := &Summary{
		Domain: v.domain, Region: v.regions[v.domain], Present: 1 + len(v.others), Demand: make(map[string]int), madeAt: now,
	}
	add := func(m *Member, contact bool) {
		for service, millislots := range m.Demand {
			s.Demand[service] += millislots
		}
		if contact && m.serves() {
			s.Contacts = append(s.Contacts, m.Address)
		}
	}
	add(&v.self, true)
	s.Live = v.live(now)
	for _, m := range v.members(now) {
		add(&m.member, now.Sub(m.seenAt) < maxContactAge)
	}
	v.random.Shuffle(len(s.Contacts), func(i, j int) { s.Contacts[i], s.Contacts[j] = s.Contacts[j], s.Contacts[i] })
	s.Contacts = s.Contacts[:min(len(s.Contacts), maxContactsSent)]
	return s
}
