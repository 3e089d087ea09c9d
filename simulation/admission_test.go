package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hickorydrum/placement"
	"hickorydrum/planner"
)

// sameForAll is the policy in which all requests have the default bounds of the wait.
var sameForAll = planner.WithChoose(func(r placement.Request, candidates []placement.Candidate, costs placement.Costs) placement.Choice {
	r.Bounds, r.QueueWarmTime, r.QueueColdTime = placement.Bounds{}, 0, 0
	return placement.Choose(r, candidates, costs)
})

// group is a kind of request, or a client account, in the reports of several runs.
type group struct {
	name          string
	priority      int
	served, worth float64 // means over the reports
}

func groupOf(name string, priority int, reports []*Report, pick func(r *Report) *Tally) group {
	g := group{name: name, priority: priority}
	for _, r := range reports {
		g.served += pick(r).Served() / float64(len(reports))
		g.worth += pick(r).Worth() / float64(len(reports))
	}
	return g
}

// groups returns the client accounts of a pattern, or the kinds of requests if it has none, and all
// requests together.
func groups(p *Pattern, reports []*Report) (each []group, all group) {
	for _, a := range p.Accounts {
		each = append(each, groupOf(a.Name, a.Priority, reports, func(r *Report) *Tally { return r.Accounts[a.Name] }))
	}
	if len(each) == 0 {
		for _, k := range p.Kinds {
			each = append(each, groupOf(k.Name, k.Priority, reports, func(r *Report) *Tally { return r.Kinds[k.Name] }))
		}
	}
	return each, groupOf("all", 0, reports, func(r *Report) *Tally { return &r.All })
}

// TestAdmission guards against urgent requests that are served less often, or earn less, than less
// urgent ones which share their service, against a kind or an account that starves, and against
// rejections that cost more than they gain.
func TestAdmission(t *testing.T) {
	const at = 8 * time.Second
	burst := Disruption{Kind: Burst, At: at, Duration: 3 * time.Second, Requests: "search", Share: 1, Factor: 4}
	hot := Disruption{Kind: Burst, At: at, Duration: 8 * time.Second, Account: "account-02", Share: 1, Factor: 7}
	impatient := Disruption{Kind: Impatient, At: at, Duration: 8 * time.Second, Share: 1, Factor: 3}
	rejects := Disruption{Kind: Reject, At: at, Duration: 8 * time.Second, Share: 0.3, Factor: 0.6}
	urgentBurst := Disruption{Kind: Burst, At: at, Duration: 10 * time.Second, Requests: "check", Share: 1, Factor: 8}
	urgentHot := Disruption{Kind: Burst, At: at, Duration: 8 * time.Second, Account: "account-00", Share: 1, Factor: 7}
	tests := map[string]struct {
		pattern     *Pattern
		load        float64
		disruptions []Disruption
		hot         string  // account that may be served less often than its priority suggests
		gain        float64 // least gain of the worth of all
	}{
		"a burst of less urgent requests":              {Shared(), 1.3, []Disruption{burst}, "", 0.015},
		"a hot account":                                {SharedByAccounts(), 1.5, []Disruption{hot}, "account-02", 0},
		"a hot urgent account":                         {SharedByAccounts(), 1.5, []Disruption{urgentHot}, "account-00", 0},
		"impatient callers":                            {Shared(), 1.4, []Disruption{burst, impatient}, "", 0.02},
		"upstreams that reject though slots are free":  {Shared(), 1.3, []Disruption{rejects}, "", -0.005},
		"all at once":                                  {SharedByAccounts(), 1.1, []Disruption{burst, hot, impatient, rejects}, "account-02", 0.03},
		"all at once without accounts":                 {Shared(), 1.4, []Disruption{burst, impatient, rejects}, "", 0.03},
		"more urgent requests than all slots can take": {Shared(), 1.4, []Disruption{urgentBurst}, "", 0.08},
		"three times the load for long":                {Shared(), 3, nil, "", 0.1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := test.pattern
			p.Load, p.Disruptions = test.load, test.disruptions
			before, allBefore := groups(p, runSeeds(p, sameForAll))
			after, all := groups(p, runSeeds(p))
			t.Logf("%s", table(append(before, allBefore), append(after, all)))
			if gain := all.worth - allBefore.worth; gain < test.gain {
				t.Errorf("the worth grows by %.3f, want %.3f", gain, test.gain)
			}
			for _, g := range after {
				if g.served < all.served/4 {
					t.Errorf("%s starves: served %.3f of all %.3f", g.name, g.served, all.served)
				}
				for _, other := range after {
					if g.name != test.hot && g.priority < other.priority && (g.served < other.served-0.05 || g.worth < other.worth-0.15) {
						t.Errorf("%s falls behind %s, which is less urgent", g.name, other.name)
					}
				}
			}
		})
	}
}

// table returns the figures before and after as text.
func table(before, after []group) string {
	var out strings.Builder
	for i, a := range after {
		fmt.Fprintf(&out, "\n%s (%d): served %.3f, %.3f; worth %.3f, %.3f", a.name, a.priority, before[i].served, a.served, before[i].worth, a.worth)
	}
	return out.String()
}
