package planner

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/fleet"
	"hickorydrum/route"
)

// smallRegion returns the shares and the view of an instance in the smallest of three
// regions, which has a twelfth of the upstreams and a third of the callers.
func smallRegion() (*shares, *fleet.View) {
	regions := map[string]string{"a-1": "a", "b-1": "b", "c-1": "c"}
	var upstreams []fleet.Upstream
	for domain, n := range map[string]int{"a-1": 12, "b-1": 2, "c-1": 10} {
		for i := range n {
			upstreams = append(upstreams, fleet.Upstream{ID: domain + string(rune('a'+i)), Service: "list", Domain: domain, Slots: 4})
		}
	}
	s := newShares(Location{Domain: "b-1", Region: "b", Regions: []string{"a", "b", "c"}})
	s.addServices([]string{"list"})
	return s, fleet.NewView(upstreams, nil, regions)
}

// TestSharesBeforeTraffic checks that a small region sends away a part of its requests
// from the first one on, so that its few upstreams are not overloaded until the demand
// is measured.
func TestSharesBeforeTraffic(t *testing.T) {
	s, view := smallRegion()
	s.update(nil, view, []int{4, 4, 4})
	if local := s.services["list"].regionShares[1]; local > 0.4 || local < 0.1 {
		t.Errorf("the small region keeps %.2f of its requests", local)
	}
}

// TestFirstSharesWithoutSteps checks that the shares are set without steps until the first
// request is measured: no object changes its region yet, and upstreams may appear one after
// the other.
func TestFirstSharesWithoutSteps(t *testing.T) {
	s, view := smallRegion()
	s.update(nil, fleet.NewView(nil, nil, map[string]string{"a-1": "a", "b-1": "b", "c-1": "c"}), []int{4, 4, 4})
	s.update(nil, view, []int{4, 4, 4})
	if local := s.services["list"].regionShares[1]; local > 0.4 {
		t.Errorf("the small region keeps %.2f of its requests", local)
	}
}

// TestSharesAgree checks that two instances with different estimates of the service
// time report the same demand, so that no region seems to need more because of its
// estimate.
func TestSharesAgree(t *testing.T) {
	class := route.Class{Sticky: true, Objective: 200 * time.Millisecond}
	reported := make(map[time.Duration][]Demand)
	for _, slotTime := range []time.Duration{70 * time.Millisecond, 240 * time.Millisecond} {
		s, _ := smallRegion()
		for range 50 {
			s.recordArrival("list", class, 100)
		}
		reported[slotTime] = s.measure(500*time.Millisecond, func(string, route.Class) time.Duration { return slotTime })
	}
	if diff := cmp.Diff(reported[70*time.Millisecond], reported[240*time.Millisecond]); diff != "" {
		t.Error(diff)
	}
}

// TestSharesStep checks that no share changes by more than maxShareStep when the demand
// jumps.
func TestSharesStep(t *testing.T) {
	s, view := smallRegion()
	class := route.Class{Sticky: true}
	meanTime := func(string, route.Class) time.Duration { return 72 * time.Millisecond }
	var before []float64
	for i := range 70 {
		perInterval := 10
		if i > 20 && i < 40 {
			perInterval = 90
		}
		for range perInterval {
			s.recordArrival("list", class, 100)
		}
		own := s.measure(500*time.Millisecond, meanTime)
		var all []DomainDemand
		for _, d := range own {
			all = append(all, DomainDemand{Demand: d, Domain: "b-1", Region: "b"})
		}
		s.update(all, view, []int{4, 4, 4})
		row := append([]float64(nil), s.services["list"].regionShares...)
		sum := 0.0
		for r, share := range row {
			sum += share
			if before != nil && math.Abs(share-before[r]) > maxShareStep+1e-9 {
				t.Errorf("interval %d: region %d went from %.3f to %.3f", i, r, before[r], share)
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("interval %d: the shares %v", i, row)
		}
		before = row
	}
	if before[1] < 0.99 {
		t.Errorf("with little demand the small region keeps %.2f of its requests", before[1])
	}
}

// TestHomesBind checks that objects of a route with home regions stay in these regions,
// whatever the shares are.
func TestHomesBind(t *testing.T) {
	s, view := smallRegion()
	s.update(nil, view, []int{4, 4, 4})
	bound := &route.Route{HomeRegions: []string{"b"}}
	for i := range uint64(200) {
		if got := s.region(&Request{Service: "list", Object: i * 0x9e3779b97f4a7c15, Route: bound}); got != 1 {
			t.Fatalf("an object is served in region %d", got)
		}
	}
	if got := s.region(&Request{Service: "list", Object: 1, Route: &route.Route{HomeRegions: []string{"nowhere"}}}); got != -1 {
		t.Errorf("an object of no region is served in region %d", got)
	}
}

// TestStaysInDomain checks that large requests stay in their failure domain as far as
// its slots suffice.
func TestStaysInDomain(t *testing.T) {
	s, view := smallRegion()
	class := route.Class{}
	staying := func() int {
		n := 0
		for i := range uint64(1000) {
			if s.staysInDomain("list", i*0x9e3779b97f4a7c15) {
				n++
			}
		}
		return n
	}
	for range 10 {
		for range 10 {
			s.recordArrival("list", class, 60<<10)
		}
		own := s.measure(500*time.Millisecond, func(string, route.Class) time.Duration { return 100 * time.Millisecond })
		s.update([]DomainDemand{{Demand: own[0], Domain: "b-1", Region: "b"}}, view, []int{4, 4, 4})
	}
	if n := staying(); n != 1000 {
		t.Errorf("with room %d of 1000 objects stay", n)
	}
	s.update([]DomainDemand{{Demand: Demand{Service: "list", Slots: 48}, Domain: "b-1", Region: "b"}}, view, []int{4, 4, 4})
	if n := staying(); n > 200 || n < 50 {
		t.Errorf("at ten times the room %d of 1000 objects stay", n)
	}
}
