package lease

import (
	"testing"
	"time"
)

var leaseStart = time.Unix(1000, 0)

// TestStaleMessages delivers messages of an earlier time of ownership.
func TestStaleMessages(t *testing.T) {
	taken := func() *Tenure {
		x := New("u", 4, time.Second)
		x.Start([]string{"b"})
		x.OnTake("b", Take{Upstream: "u", Round: 1}, true, 0)
		x.Gone("b")
		x.Start([]string{"c"})
		x.Complete(2, []string{"c"})
		return x
	}
	tests := map[string]struct {
		deliver func(x *Tenure)
		allowed int
	}{
		"answer of the round":         {func(x *Tenure) { x.OnYield("c", Yield{Upstream: "u", Round: 2}) }, 4},
		"answer of an earlier round":  {func(x *Tenure) { x.OnYield("c", Yield{Upstream: "u", Round: 1}) }, 0},
		"list of an earlier round":    {func(x *Tenure) { x.complete = false; x.Complete(1, nil) }, 0},
		"some still in flight":        {func(x *Tenure) { x.OnYield("c", Yield{Upstream: "u", Round: 2, Rest: 3}) }, 1},
		"denied":                      {func(x *Tenure) { x.OnYield("c", Yield{Upstream: "u", Round: 2, Denied: true}) }, 0},
		"names a taker not asked yet": {func(x *Tenure) { x.OnYield("c", Yield{Upstream: "u", Round: 2, Owner: "d"}) }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := taken()
			test.deliver(x)
			if got := x.Allowed(leaseStart); got != test.allowed {
				t.Errorf("%d requests are allowed, want %d", got, test.allowed)
			}
		})
	}
}

// TestDoubt follows owner and successor through a silence and its end.
func TestDoubt(t *testing.T) {
	const limit = 10 * time.Second
	owner, successor := New("u", 5, limit), New("u", 5, limit)
	owner.Start([]string{"h"})
	owner.Complete(1, []string{"h"})
	owner.OnYield("h", successor.OnTake("o", owner.Take(), true, 0))
	beat := func(at time.Duration, borrowed int) {
		_, b, ok := owner.Beat(leaseStart.Add(at), "h")
		if ok {
			owner.OnAck("h", leaseStart.Add(at), b, successor.OnBeat(leaseStart.Add(at), "o", b, borrowed))
		}
	}
	beat(0, 0)
	steps := []struct {
		name             string
		at               time.Duration
		before           func()
		owner, successor int
	}{
		{"renewed", time.Second, nil, 5, 0},
		{"owner lapsed", OwnerTerm, nil, 3, 0},
		{"successor believes no more", SuccessorTerm, nil, 3, 0},
		{"owner's requests have ended", SuccessorTerm + limit, nil, 3, 2},
		{"heard again, successor's requests last", 20 * time.Second, func() { beat(20*time.Second, 2) }, 3, 0},
		{"successor's requests have ended", 21 * time.Second, func() { beat(21*time.Second, 0) }, 5, 0},
	}
	for _, s := range steps {
		if s.before != nil {
			s.before()
		}
		now := leaseStart.Add(s.at)
		if owner.Allowed(now) != s.owner || successor.Allowed(now) != s.successor {
			t.Errorf("%s: owner %d, successor %d, want %d, %d", s.name, owner.Allowed(now), successor.Allowed(now), s.owner, s.successor)
		}
	}
}
