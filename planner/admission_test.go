package planner

import (
	"testing"
	"time"

	"hickorydrum/account"
	"hickorydrum/fleet"
	"hickorydrum/load"
	"hickorydrum/placement"
	"hickorydrum/route"
)

// TestAdmission checks that the priority and the account of requests reach the choice, and that each
// request that began is ended: counts that stay would make an account seem to hold more than its part.
func TestAdmission(t *testing.T) {
	urgent, bulk := &account.Account{Name: "urgent"}, &account.Account{Name: "bulk", Priority: 2}
	tests := map[string]struct {
		others []*account.Account // accounts of 24 requests that are in progress, in turn
		ended  bool               // they have ended
		of     *account.Account
		reason placement.Reason
	}{
		"no accounts":           {[]*account.Account{nil}, false, nil, placement.ReasonHome},
		"one account":           {[]*account.Account{bulk}, false, bulk, placement.ReasonHome},
		"the less urgent one":   {[]*account.Account{urgent, bulk}, false, bulk, placement.ReasonUrgency},
		"the more urgent one":   {[]*account.Account{urgent, bulk}, false, urgent, placement.ReasonHome},
		"the hot one":           {[]*account.Account{urgent, urgent, urgent, urgent, urgent, {Name: "other"}}, false, urgent, placement.ReasonAccount},
		"beside the hot one":    {[]*account.Account{urgent, urgent, urgent, urgent, urgent, {Name: "other"}}, false, &account.Account{Name: "other"}, placement.ReasonHome},
		"when the others ended": {[]*account.Account{urgent, bulk}, true, bulk, placement.ReasonHome},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, tracker, r := newPlanner(route.Service{Name: "list"})
			r.Objective = 500 * time.Millisecond
			now := time.Unix(1000, 0)
			view := fleet.NewView([]fleet.Upstream{{ID: "one", Service: "list", Domain: "a-1", Slots: 12, StartMillis: 1}}, nil,
				map[string]string{"a-1": "a"})
			tracker.ApplyView(view, true, func(string) time.Duration { return 0 }, now)
			p.SetView(view)
			u, _ := view.Upstream("one")
			start := func(a *account.Account) *Request {
				req := &Request{Table: p.Table(), Route: r, Account: a, Object: 7, Sticky: true, Deadline: now.Add(5 * time.Second)}
				p.StartRequest(req, now)
				return req
			}
			for i := range 24 {
				req := start(test.others[i%len(test.others)])
				if _, ok := p.Begin(req, u, now); !ok {
					t.Fatal("a request was not sent")
				}
				if test.ended {
					p.End(req, &load.Result{Upstream: u, Outcome: load.Abandoned}, now)
				}
				if req.Account == urgent && test.reason == placement.ReasonUrgency {
					p.admissions.record(req, placement.ReasonBusy, tracker, now) // the less urgent yield to it only then
				}
			}
			if choice, _ := p.Choose(start(test.of), now); choice.Reason != test.reason {
				t.Errorf("%s, want %s", choice.Reason, test.reason)
			}
		})
	}
}
