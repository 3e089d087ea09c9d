package planner

import (
	"testing"
	"time"

	"hickorydrum/dispatch"
	"hickorydrum/fleet"
	"hickorydrum/load"
	"hickorydrum/route"
)

// soleInstance is the only instance, which has the whole rate of every cold upstream.
type soleInstance struct{}

func (soleInstance) Count(string) (inRegion, all int)  { return 1, 1 }
func (soleInstance) RightShare(string, uint64) float64 { return 1 }

// newPlanner returns a planner of region a, its load state and a route to the service.
func newPlanner(service route.Service) (*Planner, *load.Tracker, *route.Route) {
	location := Location{Domain: "a-1", Region: "a", Regions: []string{"a"}}
	tracker := load.NewTracker("a-1", "a", location.Regions, func(u *fleet.Upstream) *dispatch.Dialer {
		return dispatch.NewDialer(u.Address)
	})
	p := New(location, tracker, soleInstance{}, RetryBounds{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
	r := &route.Route{
		Name: "list", Host: "h", Prefix: "/", Sticky: true, MaxAttempts: 2, Targets: []route.Target{{Service: service.Name, Weight: 1}},
	}
	p.SetTable(route.NewTable(1, route.Limits{}, []*route.Route{r}, []route.Service{service}))
	return p, tracker, r
}

// TestNewRoute checks that a request of a class without measured times is not refused
// when it has less time left than the objective: an assumed time is no reason to refuse
// it.
func TestNewRoute(t *testing.T) {
	p, tracker, r := newPlanner(route.Service{Name: "list"})
	r.Objective = time.Second
	now := time.Unix(1000, 0)
	view := fleet.NewView([]fleet.Upstream{{ID: "one", Service: "list", Domain: "a-1", Slots: 1, StartMillis: 1}}, nil,
		map[string]string{"a-1": "a"})
	tracker.ApplyView(view, true, func(string) time.Duration { return 0 }, now)
	p.SetView(view)
	for _, sticky := range []bool{true, false} {
		req := Request{Table: p.Table(), Route: r, Object: 7, Sticky: sticky, Deadline: now.Add(300 * time.Millisecond)}
		p.StartRequest(&req, now)
		if choice, u := p.Choose(&req, now); u == nil {
			t.Errorf("sticky %t: refused: %s", sticky, choice.Reason)
		}
	}
}

// TestLeavesMeanwhile checks that nothing is sent to an upstream that drains, is removed,
// restarts or is evacuated between the choice of it and Begin. The view may change between
// the arrival of a request and its first or second send, for example while a large body
// arrives or after a refusal.
func TestLeavesMeanwhile(t *testing.T) {
	regions := map[string]string{"a-1": "a"}
	upstream := func(id string, startMillis int64, draining bool) fleet.Upstream {
		return fleet.Upstream{ID: id, Service: "list", Address: id, Domain: "a-1", Slots: 1, StartMillis: startMillis, Draining: draining}
	}
	tests := map[string]struct {
		later     []fleet.Upstream
		evacuated []string
		chosen    string // ID that Choose returns after the change
		begins    bool   // whether Begin still counts a request at the first choice after the change
	}{
		"nothing changes":                 {[]fleet.Upstream{upstream("one", 1, false)}, nil, "one", true},
		"it leaves":                       {[]fleet.Upstream{upstream("one", 1, true), upstream("two", 1, false)}, nil, "two", false},
		"it is gone":                      {[]fleet.Upstream{upstream("two", 1, false)}, nil, "two", false},
		"it restarts":                     {[]fleet.Upstream{upstream("one", 2, false)}, nil, "one", false},
		"its failure domain is evacuated": {[]fleet.Upstream{upstream("one", 1, false)}, []string{"a-1"}, "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, tracker, r := newPlanner(route.Service{Name: "list"})
			now := time.Unix(1000, 0)
			applyView := func(upstreams []fleet.Upstream, evacuated []string) {
				view := fleet.NewView(upstreams, evacuated, regions)
				tracker.ApplyView(view, true, func(string) time.Duration { return 0 }, now)
				p.SetView(view)
			}
			applyView([]fleet.Upstream{upstream("one", 1, false)}, nil)
			req := Request{Table: p.Table(), Route: r, Object: 7, Sticky: true, Deadline: now.Add(time.Second)}
			p.StartRequest(&req, now)
			_, chosen := p.Choose(&req, now)
			if chosen == nil || chosen.ID != "one" {
				t.Fatalf("%v was chosen at first", chosen)
			}
			applyView(test.later, test.evacuated)
			if _, begins := p.Begin(&req, chosen, now); begins != test.begins {
				t.Errorf("the send to the first choice begins: %t", begins)
			}
			_, next := p.Choose(&req, now)
			if next != nil && next.ID != test.chosen || next == nil && test.chosen != "" {
				t.Errorf("then %v was chosen, want %q", next, test.chosen)
			}
		})
	}
}
