package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/declaration"
	"hickorydrum/dispatch"
	"hickorydrum/fault"
	"hickorydrum/roster"
	"hickorydrum/steering"
	"hickorydrum/upstream"
)

const testFiles = `
{kind: region, name: one, domains: [a, b]}
---
{kind: region, name: two, domains: [c]}
---
{kind: service, name: list, path: /list, limit: 2s, workers: [{at: "10.0.0.1:80", domain: a, slots: 2}, {at: "10.0.0.2:80", domain: c, slots: 2}]}
---
{kind: cap, service: list, planned: {share: 25%, every: 1s}, failure: {share: 50%, every: 1s}}
---
{kind: block, prefix: 10.1.0.0/16, region: one}
---
{kind: block, prefix: 10.2.0.0/16, region: two}
`

func testTable(t testing.TB, more string) *steering.Table {
	t.Helper()
	set, err := declaration.Parse(map[string][]byte{"f.yaml": []byte(testFiles + more)})
	if err != nil {
		t.Fatal(err)
	}
	return steering.NewTable(set, 7)
}

func testMember(name, region, domain string, state roster.State) roster.Member {
	return roster.Member{Name: name, Run: "1", Region: region, Domain: domain, Caller: name + ":80", State: state}
}

func testView(members ...roster.Member) *roster.View {
	r := roster.New(members[0])
	r.Merge(members[1:])
	return r.View()
}

// TestLookupNames checks which region and instances a look-up names for each state of the
// instances: live ones, a leaving one only if it is the last of the region, and those of
// another region if the home region has none.
func TestLookupNames(t *testing.T) {
	live := []roster.Member{
		testMember("a1", "one", "a", roster.Live), testMember("a2", "one", "a", roster.Live),
		testMember("b1", "one", "b", roster.Live), testMember("c1", "two", "c", roster.Live),
	}
	with := func(i int, state roster.State) []roster.Member {
		out := append([]roster.Member(nil), live...)
		out[i].State = state
		return out
	}
	tests := map[string]struct {
		members []roster.Member
		address string
		region  string
		without string
		count   int
	}{
		"home":                {live, "10.1.0.1", "one", "", 3},
		"other home":          {live, "10.2.0.1", "two", "", 1},
		"unknown block":       {live, "192.0.2.1", "one", "", 3},
		"leaving":             {with(1, roster.Leaving), "10.1.0.1", "one", "a2:80", 2},
		"gone":                {with(1, roster.Gone), "10.1.0.1", "one", "a2:80", 2},
		"joining":             {with(1, roster.Joining), "10.1.0.1", "one", "a2:80", 2},
		"no instance left":    {with(3, roster.Gone), "10.2.0.1", "one", "c1:80", 3},
		"last one is leaving": {with(3, roster.Leaving), "10.2.0.1", "two", "", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLookups(testTable(t, ""), testView(test.members...))
			until := time.Now().Add(3 * time.Second)
			data, ok := l.append(nil, netip.MustParseAddr(test.address), "", 0, nil, until)
			if !ok {
				t.Fatal("no region has instances")
			}
			var got LookupResponse
			if err := json.Unmarshal(data, &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]any{test.region, uint64(7), test.count}, []any{got.Region, got.Revision, len(got.Instances)}); diff != "" {
				t.Error(diff)
			}
			if !got.Until.Equal(until) {
				t.Errorf("until %s, want %s", got.Until, until)
			}
			for _, n := range got.Instances {
				if n.Address == test.without {
					t.Errorf("%s is named", n.Address)
				}
			}
		})
	}
}

// TestLookupSpreadsDomains checks that the first two instances in a response belong to
// different failure domains, so that the failure of one domain leaves the caller with one.
func TestLookupSpreadsDomains(t *testing.T) {
	var members []roster.Member
	for i := range 6 {
		members = append(members, testMember(fmt.Sprintf("m%d", i), "one", string("ab"[i%2]), roster.Live))
	}
	for variant := range members {
		named := instancesFor(members, variant)
		if named[0].Domain == named[1].Domain {
			t.Errorf("variant %d names %v", variant, named)
		}
	}
}

// TestBudget checks that the retry budget allows one retry per ten requests.
func TestBudget(t *testing.T) {
	var b budget
	for range 100 {
		b.earn()
	}
	spent := 0
	for b.spend() {
		spent++
	}
	if spent < 9 || spent > 10 {
		t.Errorf("100 requests allow %d retries, want 10", spent)
	}
}

// TestFlowsFollowRegions changes the list of regions, and with it their indices, while
// traffic is served outside its home region: it must stay in the same region, at this
// instance and at one that adopts the placements.
func TestFlowsFollowRegions(t *testing.T) {
	f := newFlows(slog.New(slog.DiscardHandler))
	f.setTable(testTable(t, ""))
	now := time.Unix(1000, 0)
	flow := f.flow(serviceRegion{service: "list", region: 0}, now)
	step := declaration.NewStep(1, time.Second)
	flow.Advance(now, []float64{0, 1}, step)
	sent := f.placements()
	next := testTable(t, "---\n{kind: region, name: new, domains: [z]}\n") // sorts before "one"
	f.setTable(next)
	home, _ := next.RegionIndex("one")
	remote, _ := next.RegionIndex("two")
	shares := f.flow(serviceRegion{service: "list", region: home}, now).Shares()
	if shares[remote] < 0.99 {
		t.Errorf("shares after the change of regions: %v", shares)
	}
	// Another instance adopts the placements that this one had in force.
	other := newFlows(slog.New(slog.DiscardHandler))
	other.setTable(next)
	other.adopt(sent, now)
	if got := other.flow(serviceRegion{service: "list", region: home}, now).Shares(); got[remote] < 0.99 {
		t.Errorf("adopted shares: %v", got)
	}
	sent[0].Regions = []string{"nowhere"}
	other = newFlows(slog.New(slog.DiscardHandler))
	other.setTable(next)
	other.adopt(sent, now)
	if got := other.flow(serviceRegion{service: "list", region: home}, now).Shares(); got[home] < 0.99 {
		t.Errorf("a placement with unknown regions was adopted: %v", got)
	}
}

// TestRegionDead checks that a region counts as dead only when none of its upstreams was
// reached for some time, and not because one of them fails.
func TestRegionDead(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	type contact struct {
		ms int
		ok bool
	}
	tests := map[string]struct {
		contacts []contact
		isDead   bool
	}{
		"one gone, others answer": {[]contact{{0, true}, {100, false}, {110, false}, {120, false}, {130, true}, {900, false}}, false},
		"many at once":            {[]contact{{0, true}, {100, false}, {100, false}, {100, false}, {100, false}}, false},
		"nobody for long":         {[]contact{{0, true}, {500, false}, {900, false}, {1100, false}}, true},
		"never reached":           {[]contact{{0, false}, {600, false}, {1100, false}}, true},
		"back":                    {[]contact{{0, true}, {500, false}, {900, false}, {1100, false}, {1200, true}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFlows(slog.New(slog.DiscardHandler))
			f.setTable(testTable(t, ""))
			last := 0
			for _, c := range test.contacts {
				f.observeReachability(t.Context(), 1, c.ok, at(c.ms))
				last = c.ms
			}
			if got := f.isDead(1, at(last+1)); got != test.isDead {
				t.Errorf("dead: %v, want %v", got, test.isDead)
			}
		})
	}
}

// TestOutcomesLast checks that refusals count only once they have lasted, so that a short
// burst of them moves no traffic.
func TestOutcomesLast(t *testing.T) {
	tests := map[string]struct {
		refusing time.Duration
		refusals int // at each tick
		quiet    time.Duration
		counts   bool
	}{
		"a moment":             {time.Second, 1, 0, false},
		"a burst, long ago":    {advanceInterval, 100, minRefusalTime + time.Second, false},
		"lasting":              {minRefusalTime + time.Second, 1, 0, true},
		"lasting, over lately": {minRefusalTime + time.Second, 1, time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := &outcomes{}
			now := time.Unix(1000, 0)
			tick := func(length time.Duration, refusals int) {
				for until := now.Add(length); now.Before(until); now = now.Add(advanceInterval) {
					for range refusals {
						o.add(false, now)
					}
					o.add(true, now)
					o.decay(now)
				}
			}
			tick(test.refusing, test.refusals)
			tick(test.quiet, 0)
			if _, refused := o.effectiveCounts(now); (refused > 0) != test.counts {
				t.Errorf("%d refusals count after %s", refused, test.refusing)
			}
		})
	}
}

// TestTimeLimit checks that the caller's header can only shorten the service's limit, and
// that a header that isn't a number or leaves no time is refused.
func TestTimeLimit(t *testing.T) {
	service := testTable(t, "").ServiceByName("list")
	tests := map[string]struct {
		header string
		want   time.Duration
		fails  bool
	}{
		"none":         {"", 2 * time.Second, false},
		"less":         {"500", 500 * time.Millisecond, false},
		"more":         {"9000", 2 * time.Second, false},
		"over":         {"0", 0, true},
		"past":         {"-5", 0, true},
		"not a number": {"1s", 0, true},
		"huge":         {"99999999999999999", 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := timeLimit(http.Header{upstream.HeaderTimeout: {test.header}}, service)
			if got != test.want || (err != nil) != test.fails {
				t.Errorf("got %s, %v", got, err)
			}
		})
	}
}

// FuzzLookup sends look-ups with arbitrary queries: each failed response must have the
// header that says whether the request was executed.
func FuzzLookup(f *testing.F) {
	r := roster.New(testMember("a1", "one", "a", roster.Live))
	e := New(r.Self, upstream.NewPool("a", "one"), nil, slog.New(slog.DiscardHandler))
	e.SetTable(testTable(f, ""))
	e.SetView(r.View())
	handler := e.Handler()
	f.Add("address=10.1.0.1&service=list")
	f.Add("address=%zz")
	f.Fuzz(func(t *testing.T, query string) {
		if strings.ContainsAny(query, " \r\n\x00\x7f") {
			t.Skip("not a request line")
		}
		req := httptest.NewRequest(http.MethodGet, LookupPath, nil)
		req.URL.RawQuery = query
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, req)
		if w.Code != http.StatusOK && w.Header().Get(upstream.HeaderRan) == "" {
			t.Errorf("the response to %q has status %d and no header that says whether it was executed", query, w.Code)
		}
	})
}

// stubUpstreams serves every request after it calls a function.
type stubUpstreams struct{ before func() }

func (s stubUpstreams) Serve(_ context.Context, _ *upstream.Request, _ io.ReadCloser, sink dispatch.Sink) error {
	s.before()
	return sink.Head(dispatch.Head{Status: http.StatusOK, Header: make(http.Header)})
}

func (stubUpstreams) Utilization(string, string, time.Time) float64 { return 0 }

// TestLeave guards against callers that stay on their connections during a planned stop, and against
// requests that the rest of it has no time for: 2 s, the limit of the service.
func TestLeave(t *testing.T) {
	enough := time.Now().Add(time.Minute)
	tests := map[string]struct {
		path          string
		before, while time.Time // end of the stop that begins before the request, or while it is in flight
		status        int
		closed        bool
	}{
		"no stop":                              {path: "/list", status: http.StatusOK},
		"look-up":                              {path: LookupPath, before: enough, status: http.StatusOK, closed: true},
		"request":                              {path: "/list", before: enough, status: http.StatusOK, closed: true},
		"request in flight as the stop begins": {path: "/list", while: enough, status: http.StatusOK, closed: true},
		"no time left":                         {path: "/list", before: time.Now().Add(time.Second), status: http.StatusServiceUnavailable, closed: true},
		"unknown path":                         {path: "/other", before: enough, status: http.StatusNotFound, closed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			self := testMember("a1", "one", "a", roster.Live)
			var e *Entry
			leave := func(end time.Time) {
				if !end.IsZero() {
					e.Leave(end)
				}
			}
			up := stubUpstreams{before: func() { leave(test.while) }}
			e = New(func() roster.Member { return self }, up, nil, slog.New(slog.DiscardHandler))
			e.SetTable(testTable(t, ""))
			e.SetView(testView(self))
			leave(test.before)
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodGet, test.path, nil)
			e.Handler().ServeHTTP(w, r)
			got := []any{w.Code, w.Header().Get("Connection") == "close"}
			if diff := cmp.Diff([]any{test.status, test.closed}, got); diff != "" {
				t.Error(diff)
			}
			if w.Code == http.StatusServiceUnavailable && w.Header().Get(upstream.HeaderRan) != string(fault.NotExecuted) {
				t.Errorf("ran %q, want no", w.Header().Get(upstream.HeaderRan))
			}
		})
	}
}

// TestAdmissionEnd checks that a planned stop ends no earlier than the latest deadline of the requests
// in flight.
func TestAdmissionEnd(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct{ deadline, end, want time.Time }{
		"nothing in flight": {end: now.Add(time.Second), want: now.Add(time.Second)},
		"short requests":    {deadline: now.Add(time.Second), end: now.Add(time.Minute), want: now.Add(time.Minute)},
		"a long request":    {deadline: now.Add(time.Minute), end: now.Add(time.Second), want: now.Add(time.Minute)},
	} {
		t.Run(name, func(t *testing.T) {
			var a admission
			if err := a.admit(test.deadline); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, a.leave(test.end)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// failingUpstreams fails the sends of a request one after the other with the given faults.
type failingUpstreams struct{ faults []*fault.Error }

func (f *failingUpstreams) Serve(_ context.Context, req *upstream.Request, _ io.ReadCloser, _ dispatch.Sink) error {
	req.Tried[fmt.Sprint(len(f.faults))] = true
	err := f.faults[0]
	f.faults = f.faults[1:]
	return err
}

func (*failingUpstreams) Utilization(string, string, time.Time) float64 { return 0 }

// TestRefusalIsTrue guards against a response which says that a request was not run after an earlier send
// of it may have been run.
func TestRefusalIsTrue(t *testing.T) {
	cut := fault.New(fault.Corrupt, "cut", "", fault.WithExecution(fault.MaybeExecuted))
	leaves := fault.New(fault.Unavailable, "leaves", "")
	denied := fault.New(fault.Invalid, "refused", "")
	for name, test := range map[string]struct {
		faults []*fault.Error
		want   fault.Execution
	}{
		"refused":                   {[]*fault.Error{denied}, fault.NotExecuted},
		"refused twice":             {[]*fault.Error{leaves, denied}, fault.NotExecuted},
		"cut":                       {[]*fault.Error{cut, cut, cut}, fault.MaybeExecuted},
		"cut, then refused":         {[]*fault.Error{cut, denied}, fault.MaybeExecuted},
		"cut, then refused, thrice": {[]*fault.Error{cut, leaves, denied}, fault.MaybeExecuted},
	} {
		t.Run(name, func(t *testing.T) {
			self := testMember("a1", "one", "a", roster.Live)
			e := New(func() roster.Member { return self }, &failingUpstreams{test.faults}, nil, slog.New(slog.DiscardHandler))
			e.SetTable(testTable(t, ""))
			e.SetView(testView(self))
			w := httptest.NewRecorder()
			e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/list", nil))
			if diff := cmp.Diff(string(test.want), w.Header().Get(upstream.HeaderRan)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
