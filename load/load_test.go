package load

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/dispatch"
	"hickorydrum/fleet"
	"hickorydrum/placement"
	"hickorydrum/route"
)

var (
	start   = time.Unix(10000, 0)
	class   = route.Class{Sticky: true}
	regions = map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"}
)

func upstream(id, domain string, change func(u *fleet.Upstream)) fleet.Upstream {
	u := fleet.Upstream{ID: id, Service: "list", Address: "127.0.0.1:9", Domain: domain, Slots: 4, StartMillis: 1}
	if change != nil {
		change(&u)
	}
	return u
}

// trackerOf returns a tracker whose upstreams are past their cold period, and its view.
func trackerOf(upstreams ...fleet.Upstream) (*Tracker, *fleet.View) {
	tr := NewTracker("a-1", "a", []string{"a", "b"}, func(u *fleet.Upstream) *dispatch.Dialer { return dispatch.NewDialer(u.Address) })
	v := fleet.NewView(upstreams, nil, regions)
	tr.ApplyView(v, true, noCold, start)
	return tr, v
}

func noCold(string) time.Duration { return 0 }

func coldFor(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

func request(object uint64) *Request {
	return &Request{
		Service: "list", Object: object, Sticky: true,
		Cold:   func(*fleet.Upstream) ColdShare { return ColdShare{PerSecond: 2, Burst: 1} },
		Allows: func(*fleet.Upstream) bool { return true },
	}
}

func ids(tr *Tracker, v *fleet.View, r *Request, now time.Time) []string {
	_, usable := tr.Candidates(r, v.Service("list"), now)
	out := []string{}
	for _, u := range usable {
		out = append(out, u.ID)
	}
	return out
}

func send(t *testing.T, tr *Tracker, u *fleet.Upstream, r Result, now time.Time) {
	t.Helper()
	if _, ok := tr.Begin(u, ColdShare{PerSecond: 1000, Burst: 1000}, now); !ok {
		t.Fatal("the upstream gets no request")
	}
	r.Upstream, r.Class, r.Sticky = u, class, true
	tr.End(&r, now)
}

// TestCandidates checks the distances of the candidates, and that upstreams which were tried
// or are not allowed are left out.
func TestCandidates(t *testing.T) {
	tr, v := trackerOf(upstream("one", "a-1", nil), upstream("two", "a-2", nil), upstream("three", "b-1", nil))
	r := request(7)
	candidates, _ := tr.Candidates(r, v.Service("list"), start)
	var got []placement.Distance
	for _, c := range candidates {
		got = append(got, c.Distance)
	}
	want := []placement.Distance{placement.SameDomain, placement.OtherRegion, placement.SameRegion}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	r.Tried = map[string]bool{"one": true}
	r.Allows = func(u *fleet.Upstream) bool { return u.Region() == "a" }
	if diff := cmp.Diff([]string{"two"}, ids(tr, v, r, start)); diff != "" {
		t.Error(diff)
	}
}

// TestCold checks when an upstream counts as cold, by how many of ten requests at one
// instant it gets.
func TestCold(t *testing.T) {
	const coldPeriod = 3 * time.Second
	startedAt := func(at time.Time) func(u *fleet.Upstream) {
		return func(u *fleet.Upstream) { u.StartMillis = at.UnixMilli() }
	}
	tests := map[string]struct {
		prepare func(tr *Tracker) *fleet.View
		at      time.Duration
		cold    bool
	}{
		"there before this instance": {
			prepare: func(tr *Tracker) *fleet.View {
				v := fleet.NewView([]fleet.Upstream{upstream("u", "a-1", startedAt(start.Add(-time.Minute)))}, nil, regions)
				tr.ApplyView(v, true, coldFor(coldPeriod), start)
				return v
			},
		},
		"started shortly before this instance": {
			prepare: func(tr *Tracker) *fleet.View {
				v := fleet.NewView([]fleet.Upstream{upstream("u", "a-1", startedAt(start.Add(-time.Second)))}, nil, regions)
				tr.ApplyView(v, true, coldFor(coldPeriod), start)
				return v
			},
			at: time.Second, cold: true,
		},
		"new": {
			prepare: func(tr *Tracker) *fleet.View {
				v := fleet.NewView([]fleet.Upstream{upstream("u", "a-1", nil)}, nil, regions)
				tr.ApplyView(v, false, coldFor(coldPeriod), start)
				return v
			},
			at: 2 * time.Second, cold: true,
		},
		"new for long": {
			prepare: func(tr *Tracker) *fleet.View {
				v := fleet.NewView([]fleet.Upstream{upstream("u", "a-1", nil)}, nil, regions)
				tr.ApplyView(v, false, coldFor(coldPeriod), start)
				return v
			},
			at: 4 * time.Second,
		},
		"restarted under its id": {
			prepare: func(tr *Tracker) *fleet.View {
				v := fleet.NewView([]fleet.Upstream{upstream("u", "a-1", nil)}, nil, regions)
				tr.ApplyView(v, true, coldFor(coldPeriod), start)
				v = fleet.NewView([]fleet.Upstream{upstream("u", "a-1", func(u *fleet.Upstream) { u.StartMillis = 2 })}, nil, regions)
				tr.ApplyView(v, false, coldFor(coldPeriod), start)
				return v
			},
			at: time.Second, cold: true,
		},
		"says so": {
			prepare: func(tr *Tracker) *fleet.View {
				v := fleet.NewView([]fleet.Upstream{upstream("u", "a-1", func(u *fleet.Upstream) { u.ColdRemainingMillis = 1500 })}, nil, regions)
				tr.ApplyView(v, true, noCold, start)
				return v
			},
			at: time.Second, cold: true,
		},
		"back after it could not be reached": {
			prepare: func(tr *Tracker) *fleet.View {
				v := fleet.NewView([]fleet.Upstream{upstream("u", "a-1", nil)}, nil, regions)
				tr.ApplyView(v, true, noCold, start)
				tr.End(&Result{Upstream: v.Service("list")[0], Outcome: Unreachable, ColdPeriod: coldPeriod}, start)
				return v
			},
			at: 2 * time.Second, cold: true,
		},
		"its evacuation ended": {
			prepare: func(tr *Tracker) *fleet.View {
				v := fleet.NewView([]fleet.Upstream{upstream("u", "a-1", nil)}, nil, regions)
				tr.ApplyView(v, true, noCold, start)
				tr.MarkCold(v, start.Add(coldPeriod), func(*fleet.Upstream) bool { return true })
				return v
			},
			at: time.Second, cold: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tr, _ := trackerOf()
			v := test.prepare(tr)
			u := v.Service("list")[0]
			now := start.Add(test.at)
			sent := 0
			for range 10 {
				if _, ok := tr.Begin(u, ColdShare{PerSecond: 2, Burst: 1}, now); ok {
					sent++
				}
			}
			want := 10
			if test.cold {
				want = 1
			}
			if sent != want {
				t.Errorf("%d of 10 requests were allowed, want %d", sent, want)
			}
		})
	}
}

// TestAvoidedAfterFailedConnection checks that an upstream is no candidate for a while after
// a failed connection.
func TestAvoidedAfterFailedConnection(t *testing.T) {
	tr, v := trackerOf(upstream("one", "a-1", nil), upstream("two", "a-2", nil))
	u, _ := v.Upstream("one")
	send(t, tr, u, Result{Outcome: Unreachable}, start)
	if diff := cmp.Diff([]string{"two"}, ids(tr, v, request(1), start)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"one", "two"}, ids(tr, v, request(1), start.Add(firstAvoid))); diff != "" {
		t.Errorf("after the pause: %s", diff)
	}
}

// TestOutstanding checks the expected load of an upstream: the requests of this instance, the
// reported ones of others, which lose weight with time, and a refusal.
func TestOutstanding(t *testing.T) {
	tr, v := trackerOf(upstream("one", "a-1", nil))
	u, _ := v.Upstream("one")
	outstandingAt := func(now time.Time) float64 {
		candidates, _ := tr.Candidates(request(1), v.Service("list"), now)
		return candidates[0].Outstanding
	}
	if _, ok := tr.Begin(u, ColdShare{}, start); !ok {
		t.Fatal("the upstream gets no request")
	}
	if got := outstandingAt(start); got != 1 {
		t.Errorf("with one request of its own: %.1f", got)
	}
	tr.RecordLoad("one", 4, 2, start)
	if got := outstandingAt(start); got != 6 {
		t.Errorf("6 reported, 1 of them its own: %.1f", got)
	}
	if got := outstandingAt(start.Add(reportHalfLife)); got != 3.5 {
		t.Errorf("after one half-life: %.1f", got)
	}
	tr.End(&Result{Upstream: u, Outcome: Refused}, start)
	if got := outstandingAt(start); got < 8 {
		t.Errorf("after a refusal: %.1f", got)
	}
}

// TestTimes checks that the warm and the cold time are measured though this instance often
// does not know for which objects an upstream is warm, and that other classes of requests
// and slow upstreams do not distort them.
func TestTimes(t *testing.T) {
	const warm, cold = 70 * time.Millisecond, 240 * time.Millisecond
	tr, v := trackerOf(upstream("one", "a-1", nil), upstream("slow", "a-2", nil))
	one, _ := v.Upstream("one")
	slow, _ := v.Upstream("slow")
	now := start
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		took := warm
		if i%5 == 0 {
			took = cold
		}
		// Half of the objects are new to this instance, though the upstream is warm for
		// them.
		object := uint64(i % 3)
		if i%2 == 0 {
			object = uint64(1000 + i)
		}
		send(t, tr, one, Result{Object: object, Outcome: Answered, Took: took + roundTripSameDomain}, now)
		send(t, tr, slow, Result{Object: object, Outcome: Answered, Took: 8 * took}, now)
		if _, ok := tr.Begin(one, ColdShare{}, now); ok {
			tr.End(&Result{Upstream: one, Outcome: Answered, Took: 2 * time.Millisecond}, now)
		}
	}
	gotWarm, gotCold := tr.ServiceTimes("list", class)
	if gotWarm < warm*9/10 || gotWarm > warm*13/10 || gotCold < cold*8/10 || gotCold > cold*13/10 {
		t.Errorf("warm %s, cold %s; want %s, %s", gotWarm, gotCold, warm, cold)
	}
	candidates, usable := tr.Candidates(request(1), v.Service("list"), now)
	for i, u := range usable {
		if isSlow := candidates[i].Slowdown > 3; isSlow != (u.ID == "slow") {
			t.Errorf("%s is measured as %.1f times slower", u.ID, candidates[i].Slowdown)
		}
	}
}

// TestSlotTime checks that the slot time stays that of upstreams that are warm for the object.
// Otherwise a region whose upstreams mostly are not would seem to need more slots.
func TestSlotTime(t *testing.T) {
	const warm, cold = 70 * time.Millisecond, 240 * time.Millisecond
	tr, v := trackerOf(upstream("one", "a-1", nil))
	u, _ := v.Upstream("one")
	now := start
	for i := range 600 {
		now = now.Add(20 * time.Millisecond)
		took := warm
		if i >= 200 {
			took = cold
		}
		send(t, tr, u, Result{Object: uint64(i), Outcome: Answered, Took: took}, now)
	}
	if got := tr.SlotTime("list", class); got < warm*9/10 || got > warm*12/10 {
		t.Errorf("a request holds a slot for %s, want about %s", got, warm)
	}
}

// TestRefused checks that a refusal counts as a full queue only if the upstream has
// reported waiting requests, and else as a failure.
func TestRefused(t *testing.T) {
	tests := map[string]struct {
		waiting int
		full    bool
	}{
		"requests wait": {waiting: 6, full: true},
		"nothing waits": {waiting: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tr, v := trackerOf(upstream("one", "a-1", nil))
			u, _ := v.Upstream("one")
			tr.RecordLoad("one", 2, test.waiting, start)
			send(t, tr, u, Result{Outcome: Refused}, start)
			candidates, _ := tr.Candidates(request(1), v.Service("list"), start)
			if full := candidates[0].Outstanding >= float64(2*u.Slots); full != test.full {
				t.Errorf("%.1f requests are expected there", candidates[0].Outstanding)
			}
			if fails := candidates[0].FailureRate > 0; fails == test.full {
				t.Errorf("its failure rate is %.2f", candidates[0].FailureRate)
			}
		})
	}
}

// TestFaultsFade checks that the slowdown and the failure rate of an upstream decay while
// it is not used, so that it is tried again.
func TestFaultsFade(t *testing.T) {
	tr, v := trackerOf(upstream("one", "a-1", nil), upstream("other", "a-1", nil))
	u, _ := v.Upstream("one")
	other, _ := v.Upstream("other")
	now := start
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		send(t, tr, other, Result{Object: 1, Outcome: Answered, Took: 80 * time.Millisecond}, now)
	}
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		send(t, tr, u, Result{Outcome: Answered, Took: 3 * time.Second}, now)
		send(t, tr, u, Result{Outcome: Failed}, now)
	}
	at := func(now time.Time) placement.Candidate {
		candidates, _ := tr.Candidates(request(1), v.Service("list"), now)
		return candidates[0]
	}
	if c := at(now); c.Slowdown < 5 || c.FailureRate < 0.3 {
		t.Errorf("at once: slow %.1f, failing %.2f", c.Slowdown, c.FailureRate)
	}
	if c := at(now.Add(10 * time.Second)); c.Slowdown > 1.6 || c.FailureRate > 0.05 {
		t.Errorf("after ten seconds: slow %.1f, failing %.2f", c.Slowdown, c.FailureRate)
	}
}

// TestRemovedUpstream checks that the state of upstreams that left the view is dropped.
func TestRemovedUpstream(t *testing.T) {
	tr, v := trackerOf(upstream("one", "a-1", nil))
	u, _ := v.Upstream("one")
	tr.ApplyView(fleet.NewView(nil, nil, regions), false, noCold, start)
	if _, ok := tr.Begin(u, ColdShare{}, start); ok {
		t.Error("an upstream that left the view gets requests")
	}
	tr.End(&Result{Upstream: u}, start)
}

// TestRestartedUpstream guards against a request to an upstream's earlier run that counts for the
// new run, as ended and as a failed connection.
func TestRestartedUpstream(t *testing.T) {
	tr, v := trackerOf(upstream("one", "a-1", nil))
	earlier, _ := v.Upstream("one")
	if _, ok := tr.Begin(earlier, ColdShare{}, start); !ok {
		t.Fatal("the upstream gets no request")
	}
	v = fleet.NewView([]fleet.Upstream{upstream("one", "a-1", func(u *fleet.Upstream) { u.StartMillis = 2 })}, nil, regions)
	tr.ApplyView(v, false, noCold, start)
	u, _ := v.Upstream("one")
	if _, ok := tr.Begin(u, ColdShare{}, start); !ok {
		t.Fatal("the restarted upstream gets no request")
	}
	tr.End(&Result{Upstream: earlier, Outcome: Unreachable}, start)
	candidates, _ := tr.Candidates(request(1), v.Service("list"), start)
	if len(candidates) != 1 || candidates[0].Outstanding != 1 || tr.states["one"].failures != 0 {
		t.Errorf("candidates %+v, %d failures; want one upstream with one request and no failure", candidates, tr.states["one"].failures)
	}
}

// TestTimesOfSlowServices checks that times are measured that are far from the assumed
// ones, in services that are slow or very fast. Otherwise a region takes slow requests for
// fast ones and computes that its few upstreams suffice.
func TestTimesOfSlowServices(t *testing.T) {
	tests := map[string]struct {
		warm, cold time.Duration
		// first is how many of the first requests are all for objects for which the upstream
		// is not warm.
		first int
		// Of the later requests, one in coldEvery is for such an object.
		coldEvery int
	}{
		"fast":                              {10 * time.Millisecond, 40 * time.Millisecond, 20, 5},
		"a third of a second":               {160 * time.Millisecond, 640 * time.Millisecond, 20, 5},
		"two seconds":                       {444 * time.Millisecond, 1776 * time.Millisecond, 20, 5},
		"two seconds, mostly warm":          {444 * time.Millisecond, 1776 * time.Millisecond, 10, 30},
		"two seconds, cold at first":        {444 * time.Millisecond, 1776 * time.Millisecond, 60, 2},
		"two seconds, mixed from the start": {444 * time.Millisecond, 1776 * time.Millisecond, 0, 4},
		"similar times":                     {300 * time.Millisecond, 600 * time.Millisecond, 20, 4},
		"two seconds, always warm":          {444 * time.Millisecond, 1776 * time.Millisecond, 0, 1000},
		"half a second, no change":          {120 * time.Millisecond, 480 * time.Millisecond, 5, 12},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tr, v := trackerOf(upstream("one", "a-1", nil))
			one, _ := v.Upstream("one")
			now := start
			for i := range 300 {
				now = now.Add(80 * time.Millisecond)
				took, object := test.warm, uint64(i%20)
				if i < test.first || i%test.coldEvery == test.coldEvery-1 {
					took, object = test.cold, uint64(1000+i)
				}
				took += time.Duration(i%7-3) * took / 20
				send(t, tr, one, Result{Object: object, Outcome: Answered, Took: took + roundTripSameDomain}, now)
			}
			warm, cold := tr.ServiceTimes("list", class)
			if warm < test.warm*8/10 || warm > test.warm*12/10 {
				t.Errorf("a request for an object for which the upstream is warm takes %s, want about %s", warm, test.warm)
			}
			if test.coldEvery < 1000 && (cold < test.cold*8/10 || cold > test.cold*12/10) {
				t.Errorf("a request for another object takes %s, want about %s", cold, test.cold)
			}
			if slow, _ := tr.states["one"].decayedHealth(now); slow > 1.5 {
				t.Errorf("the upstream is measured as %.1f times slower", slow)
			}
		})
	}
}
