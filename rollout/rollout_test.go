package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"hickorydrum/declaration"
	"hickorydrum/fault"
	"hickorydrum/peer"
	"hickorydrum/platform"
	"hickorydrum/revision"
	"hickorydrum/roster"
	"hickorydrum/standin"
)

// testSet returns a set of one region and the given number of blocks.
func testSet(t testing.TB, blocks int) *declaration.Set {
	t.Helper()
	text := "kind: region\nname: one\ndomains: [a]\n"
	for b := range blocks {
		text += fmt.Sprintf("---\n{kind: block, prefix: 10.%d.%d.0/24, region: one}\n", b/256, b%256)
	}
	set, err := declaration.Parse(map[string][]byte{"test.yaml": []byte(text)})
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// none is the revision of a set that was never applied.
var none revision.Revision

// rev returns a revision of the first era.
func rev(number uint64) revision.Revision { return revision.Revision{Era: 1, Number: number} }

func TestApplyRace(t *testing.T) {
	s := standin.NewStore().Client()
	ctx := t.Context()
	first, err := Apply(ctx, s, testSet(t, 1), none, "ada", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	second, err := Apply(ctx, s, testSet(t, 2), first, "bo", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	_, err = Apply(ctx, s, testSet(t, 3), first, "cy", time.Now())
	if fault.KindOf(err) != fault.Conflict {
		t.Fatalf("the later of two racing applies gave %v", err)
	}
	if remedy := fault.From(err).Remedy(); remedy == "" {
		t.Error("the fault of the refused apply has no remedy")
	}
	set, revision, err := Load(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{second, testSet(t, 2).Digest()}, []any{revision, set.Digest()}); diff != "" {
		t.Error(diff)
	}
}

func TestApplyFaults(t *testing.T) {
	tests := map[string]struct {
		fault     standin.StoreFault
		calls     int
		kind      fault.Kind
		execution fault.Execution
	}{
		"platform down":                {standin.StoreDown, -1, fault.Unavailable, ""},
		"answer of the chunk lost":     {standin.StoreLoseResponse, 1, "", ""},
		"answers of chunk, head lost":  {standin.StoreLoseResponse, 2, "", ""},
		"platform slow":                {standin.StoreSlow, -1, "", ""},
		"head may land later: unknown": {standin.StoreLateWrite, -1, fault.Unavailable, fault.MaybeExecuted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore()
				s.Fail(test.fault, test.calls)
				_, err := Apply(t.Context(), s.Client(), testSet(t, 3), none, "ada", time.Now())
				if diff := cmp.Diff(test.kind, fault.KindOf(err)); diff != "" {
					t.Error(diff)
				}
				if test.execution != "" && fault.From(err).Execution() != test.execution {
					t.Errorf("execution %s, want %s", fault.From(err).Execution(), test.execution)
				}
			})
		})
	}
}

// TestChunksAreStable checks that the change of one record rewrites at most 2 of
// many chunks.
func TestChunksAreStable(t *testing.T) {
	records := testSet(t, 9000).Records()
	before, err := split(records)
	if err != nil {
		t.Fatal(err)
	}
	after, err := split(declaration.Patch(records, declaration.Delta{Remove: []declaration.Key{records[4000].Key()}}))
	if err != nil {
		t.Fatal(err)
	}
	changed := 0
	names := make(map[string]bool)
	for _, c := range before {
		names[chunkName(c)] = true
	}
	for _, c := range after {
		if !names[chunkName(c)] {
			changed++
		}
	}
	if changed > 2 || len(before) < 4 {
		t.Errorf("%d of %d chunks changed with one record", changed, len(before))
	}
}

// network connects followers without sockets, by calling their handlers.
type network struct {
	nodes map[string]*testNode
	down  sync.Map // names of the nodes without a connection
}

type testNode struct {
	follower *Follower
	state    *State
	roster   *roster.Roster
	leaving  atomic.Pointer[[]string] // by the newest list
}

// asker makes the calls of one node.
type asker struct {
	net  *network
	from string
}

func (a asker) Ask(ctx context.Context, to peer.Target, call peer.Call, req, resp any) error {
	var target *testNode
	for name, n := range a.net.nodes {
		if to == peer.NewTarget(name, name) {
			target = n
		}
	}
	if target == nil || a.net.cut(a.from) || a.net.cut(target.roster.Self().Name) {
		return fault.New(fault.Unavailable, "cut", "")
	}
	var err error
	switch call {
	case CallHello:
		*resp.(*helloMessage), err = target.follower.onHello(ctx, a.from, req.(helloMessage))
	case CallUpdate:
		*resp.(*updateMessage), err = target.follower.onUpdate(ctx, a.from, req.(updateRequest))
	case CallRoster:
		*resp.(*rosterMessage), err = target.follower.onRoster(ctx, a.from, req.(rosterMessage))
	case CallList:
		*resp.(*listMessage), err = target.follower.onListCall(ctx, a.from, req.(struct{}))
	}
	return err
}

// cut reports whether the node has no connection.
func (n *network) cut(name string) bool {
	_, down := n.down.Load(name)
	return down
}

// add adds a node that fails the test if its revision ever decreases.
func (n *network) add(t *testing.T, store Store, name, region, domain string) *testNode {
	t.Helper()
	self := roster.Member{Name: name, Run: "r", Region: region, Domain: domain, Peer: name, State: roster.Live}
	r := roster.New(self)
	var last revision.Revision
	state := NewState(func(_ *declaration.Set, at revision.Revision) {
		if !at.After(last) {
			t.Errorf("%s reverted from revision %s to %s", name, last, at)
		}
		last = at
	})
	node := &testNode{state: state, roster: r}
	node.follower = NewFollower(state, store, r, asker{net: n, from: name}, slog.New(slog.DiscardHandler),
		func(list InstanceList) { node.leaving.Store(&list.Leaving) })
	n.nodes[name] = node
	return node
}

// introduce adds every node to the roster of every other.
func (n *network) introduce() {
	var members []roster.Member
	for _, node := range n.nodes {
		members = append(members, node.roster.Self())
	}
	for _, node := range n.nodes {
		node.roster.Merge(members)
	}
}

// newNetwork returns a network of nodes that know each other, in failure domains of one region.
func newNetwork(t *testing.T, store Store, domains, perDomain int) *network {
	t.Helper()
	n := &network{nodes: make(map[string]*testNode)}
	for d := range domains {
		for k := range perDomain {
			n.add(t, store, fmt.Sprintf("d%d-%d", d, k), "one", fmt.Sprintf("d%d", d))
		}
	}
	n.introduce()
	return n
}

// TestListEverywhere guards against instances that never learn which upstreams the platform lists as
// leaving since they do not watch it, and against an older list that takes that back.
func TestListEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		n := newNetwork(t, s.Client(), 2, 5)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		for _, node := range n.nodes {
			group.Go(func() error { return node.follower.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		if _, err := s.Put(ctx, InstanceListKey, []byte(`{"leaving":["a"]}`), 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		for name, node := range n.nodes {
			node.follower.applyList(listMessage{Version: 0})
			if leaving := node.leaving.Load(); leaving == nil || len(*leaving) != 1 {
				t.Errorf("%s does not know after 2 s that an upstream leaves", name)
			}
		}
		cancel()
		_ = group.Wait()
	})
}

// TestListFromCopy guards against an upstream that gets requests again since the platform came back from a copy of before
// it was listed as leaving, and against one that stays leaving for good after that.
func TestListFromCopy(t *testing.T) {
	tests := map[string]struct {
		restores int    // copies in a row
		again    string // what the platform writes after that, nothing if empty
		want     []string
		wantEnd  []string // long after that
	}{
		"not written again":         {1, "", []string{"b", "a"}, []string{"b"}},
		"two copies in a row":       {2, "", []string{"b", "a"}, []string{"b"}},
		"written again":             {1, `{"leaving":["a"]}`, []string{"a"}, []string{"a"}},
		"written again, not as was": {1, `{"leaving":["c"]}`, []string{"c"}, []string{"c"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore()
				n := newNetwork(t, s.Client(), 2, 5)
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				for _, node := range n.nodes {
					group.Go(func() error { return node.follower.Run(ctx) })
				}
				write := func(list string) {
					t.Helper()
					stored, err := s.Get(ctx, InstanceListKey)
					if err != nil && fault.KindOf(err) != fault.Missing {
						t.Fatal(err)
					}
					if _, err := s.Put(ctx, InstanceListKey, []byte(list), stored.Version); err != nil {
						t.Fatal(err)
					}
					time.Sleep(2 * time.Second)
				}
				check := func(want []string) {
					t.Helper()
					for name, node := range n.nodes {
						if diff := cmp.Diff(want, *node.leaving.Load()); diff != "" {
							t.Errorf("%s takes other upstreams for leaving (-want +got):\n%s", name, diff)
						}
					}
				}
				write(`{"leaving":["b"]}`)
				backup := s.Copy()
				write(`{"leaving":["a"]}`)
				check([]string{"a"})
				for range test.restores {
					s.Restore(backup)
					time.Sleep(2 * time.Second)
					check([]string{"b", "a"})
				}
				if test.again != "" {
					write(test.again)
				}
				check(test.want)
				time.Sleep(time.Minute)
				check(test.wantEnd)
				cancel()
				_ = group.Wait()
			})
		})
	}
}

// inForceBound is the time that the users allow from the acceptance of a revision
// until it is in force at every instance.
const inForceBound = 5 * time.Second

// TestInForceEverywhere applies a revision while the platform or a node fails, and
// checks that it comes into force at every node within the bound.
func TestInForceEverywhere(t *testing.T) {
	const perDomain, domains = 4, 3
	tests := map[string]struct {
		before func(s *standin.Store, n *network) // causes a fault before the apply
		after  func(s *standin.Store, n *network) // causes or ends a fault right after the apply
		except []string                           // nodes that need not have the revision
		bound  time.Duration                      // inForceBound if 0
	}{
		"all well": {},
		"platform slow": {
			before: func(s *standin.Store, _ *network) { s.Fail(standin.StoreSlow, -1) },
		},
		"platform down right after": {
			after: func(s *standin.Store, _ *network) {
				// At least one relay has read the revision by then; the others get it
				// from peers.
				time.Sleep(time.Millisecond)
				s.Fail(standin.StoreDown, -1)
			},
		},
		"watches stalled": {
			before: func(s *standin.Store, _ *network) { s.Fail(standin.StoreStallWatch, -1) },
			after: func(s *standin.Store, _ *network) {
				time.Sleep(4 * time.Second)
				s.Fail(standin.StoreStallWatch, 0)
			},
			bound: 2 * inForceBound,
		},
		"one node cut off": {
			before: func(_ *standin.Store, n *network) { n.down.Store("d0-0", true) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore()
				n := newNetwork(t, s.Client(), domains, perDomain)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var group errgroup.Group
				for _, node := range n.nodes {
					group.Go(func() error { return node.follower.Run(ctx) })
				}
				time.Sleep(2 * time.Second)
				if test.before != nil {
					test.before(s, n)
				}
				revision, err := Apply(ctx, s.Client(), testSet(t, 2), none, "ada", time.Now())
				if err != nil {
					t.Fatal(err)
				}
				if test.after != nil {
					test.after(s, n)
				}
				bound := inForceBound
				if test.bound > 0 {
					bound = test.bound
				}
				time.Sleep(bound)
				for name, node := range n.nodes {
					if got := node.state.Revision(); got != revision && !slices.Contains(test.except, name) {
						t.Errorf("%s has revision %d, want %d", name, got, revision)
					}
				}
				cancel()
				_ = group.Wait() // the followers end with their context
			})
		})
	}
}

// TestRelaysLost guards against instances that go on with an old revision since they confirm it to each other: those that
// watch the platform are cut off from them, at each tenth of the time between two watches, just before a new one.
func TestRelaysLost(t *testing.T) {
	const perDomain, domains, tenths = 6, 3, 10
	for tenth := range tenths {
		synctest.Test(t, func(t *testing.T) {
			s := standin.NewStore()
			n := newNetwork(t, s.Client(), domains, perDomain)
			first, err := Apply(t.Context(), s.Client(), testSet(t, 1), none, "ada", time.Now())
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var group errgroup.Group
			for _, node := range n.nodes {
				group.Go(func() error { return node.follower.Run(ctx) })
			}
			time.Sleep(20*time.Second + time.Duration(tenth)*watchWait/tenths)
			for name, node := range n.nodes {
				if node.follower.relayRank() < relaysPerDomain {
					n.down.Store(name, true)
				}
			}
			revision, err := Apply(ctx, s.Client(), testSet(t, 2), first, "ada", time.Now())
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(inForceBound)
			for name, node := range n.nodes {
				if got := node.state.Revision(); got != revision && !n.cut(name) {
					t.Errorf("%d tenths after a watch: %s has revision %d, want %d", tenth, name, got, revision)
				}
			}
			cancel()
			_ = group.Wait() // the followers end with their context
		})
	}
}

// silentAsker is a peer that has a higher revision and does not answer when asked for it.
type silentAsker struct{ from roster.Member }

func (a silentAsker) Ask(ctx context.Context, _ peer.Target, call peer.Call, _, resp any) error {
	if hello, ok := resp.(*helloMessage); ok {
		*hello = helloMessage{From: a.from, Revision: 1}
		return nil
	}
	<-ctx.Done()
	return fault.New(fault.Unavailable, "silent", "")
}

// TestStopWhileFetching guards against a stop that waits for an update that a peer does not send.
func TestStopWhileFetching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{nodes: make(map[string]*testNode)}
		node := n.add(t, standin.NewStore().Client(), "a", "one", "a")
		other := roster.Member{Name: "b", Run: "r", Region: "one", Domain: "b", Peer: "b", State: roster.Live}
		node.roster.Merge([]roster.Member{other})
		node.follower.asker = silentAsker{from: other}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return node.follower.Run(ctx) })
		time.Sleep(helloInterval + time.Second)
		stopped := time.Now()
		cancel()
		_ = group.Wait() // the follower ends with its context
		if took := time.Since(stopped); took > time.Second {
			t.Errorf("the follower ended %s after its context", took)
		}
	})
}

// TestRelaysOnly counts the calls to the platform while nothing changes or fails.
// There must be no more than those of the watches by the failure domain's relays.
func TestRelaysOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		n := &network{nodes: make(map[string]*testNode)}
		for k := range 8 {
			n.add(t, s.Client(), fmt.Sprintf("n%d", k), "one", "a")
		}
		n.introduce()
		if _, err := Apply(t.Context(), s.Client(), testSet(t, 1), none, "ada", time.Now()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var group errgroup.Group
		for _, node := range n.nodes {
			group.Go(func() error { return node.follower.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		before, _ := s.Calls()
		time.Sleep(40 * time.Second)
		after, _ := s.Calls()
		watches := int(40 * time.Second / watchWait)
		if got := after - before; got > relaysPerDomain*watches+relaysPerDomain {
			t.Errorf("%d calls in 40 s by 8 instances, want at most %d", got, relaysPerDomain*watches+relaysPerDomain)
		}
		cancel()
		_ = group.Wait() // the followers end with their context
	})
}

func TestStateNeverReverts(t *testing.T) {
	var seen []uint64
	s := NewState(func(_ *declaration.Set, at revision.Revision) { seen = append(seen, at.Number) })
	for _, number := range []uint64{2, 5, 3, 5, 6, 1} {
		if _, err := s.apply(testSet(t, int(number)).Records(), rev(number), time.Time{}, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff([]uint64{2, 5, 6}, seen); diff != "" {
		t.Error(diff)
	}
}

func TestUpdates(t *testing.T) {
	source := NewState(func(*declaration.Set, revision.Revision) {})
	for number := uint64(1); number <= 4; number++ {
		if _, err := source.apply(testSet(t, int(number)*3).Records(), rev(number), time.Time{}, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	tests := map[string]struct {
		have    uint64
		whole   bool
		changes int
	}{
		"from nothing":     {0, true, 0},
		"one behind":       {3, false, 1},
		"three behind":     {1, false, 3},
		"up to date":       {4, false, 0},
		"from a later one": {9, false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			target := NewState(func(*declaration.Set, revision.Revision) {})
			if test.have > 0 && test.have < 4 {
				if _, err := target.apply(testSet(t, int(test.have)*3).Records(), rev(test.have), time.Time{}, time.Now()); err != nil {
					t.Fatal(err)
				}
			}
			m := source.since(rev(test.have), 0)
			if diff := cmp.Diff([]any{test.whole, test.changes}, []any{len(m.Records) > 0, len(m.Deltas)}); diff != "" {
				t.Error(diff)
			}
			if m.Digest == "" {
				return
			}
			records, err := target.patch(m)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(source.Set().Records(), records); diff != "" {
				t.Error(diff)
			}
		})
	}
	damaged := source.since(rev(3), 0)
	damaged.Digest = "0"
	target := NewState(func(*declaration.Set, revision.Revision) {})
	if _, err := target.apply(testSet(t, 9).Records(), rev(3), time.Time{}, time.Now()); err != nil {
		t.Fatal(err)
	}
	if _, err := target.patch(damaged); fault.KindOf(err) != fault.Corrupt {
		t.Errorf("an update with a wrong digest gave %v", err)
	}
}

// TestOlderCopy guards against a set that replaces a later one, with what that has withdrawn, since the store came back
// from a copy which has it under a later era, and against a set that is refused for good after that.
func TestOlderCopy(t *testing.T) {
	applied := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	in := func(era, number uint64) revision.Revision { return revision.Revision{Era: era, Number: number} }
	tests := map[string]struct {
		at        revision.Revision
		appliedAt time.Time
		want      bool
	}{
		"an older set of the copy":             {in(2, 12), applied.Add(-time.Second), false},
		"the same set, from the copy":          {in(2, 15), applied, true},
		"a later set":                          {in(2, 13), applied.Add(time.Second), true},
		"an earlier era":                       {in(0, 20), applied.Add(time.Second), false},
		"a set of which no time is known":      {in(2, 12), time.Time{}, true},
		"the same era, by a clock that is off": {in(1, 16), applied.Add(-time.Hour), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState(func(*declaration.Set, revision.Revision) {})
			if _, err := s.apply(testSet(t, 1).Records(), in(1, 15), applied, time.Now()); err != nil {
				t.Fatal(err)
			}
			got, err := s.apply(testSet(t, 2).Records(), test.at, test.appliedAt, time.Now())
			if err != nil || got != test.want {
				t.Errorf("it comes into force: %t, %v, want %t", got, err, test.want)
			}
		})
	}
}

// slowStore is a store whose calls take a time, and which counts its lists and watches.
type slowStore struct {
	*standin.Client

	calls atomic.Int64
}

func (s *slowStore) call() {
	s.calls.Add(1)
	time.Sleep(4 * time.Millisecond)
}

func (s *slowStore) List(ctx context.Context, prefix string) (platform.Page, error) {
	s.call()
	return s.Client.List(ctx, prefix)
}

func (s *slowStore) Watch(ctx context.Context, prefix string, cursor revision.Revision, wait time.Duration) (platform.Page, error) {
	s.call()
	return s.Client.Watch(ctx, prefix, cursor, wait)
}

// TestRefusedWatches guards against a relay that lists and watches by turns without a pause, while the platform refuses
// each watch.
func TestRefusedWatches(t *testing.T) {
	const mostCalls = 40
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		s.Fail(standin.StoreHistoryDropped, -1)
		store := &slowStore{Client: s.Client()}
		n := newNetwork(t, store, 1, 1)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		for _, node := range n.nodes {
			group.Go(func() error { return node.follower.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		if got := store.calls.Load(); got > mostCalls {
			t.Errorf("%d calls in 20 s, want at most %d", got, mostCalls)
		}
		cancel()
		_ = group.Wait()
	})
}

// TestInForceAfterDrill guards against instances that stay at a revision which the platform no longer has, after it came
// back from a copy, and refuse what is applied later under a lower one.
func TestInForceAfterDrill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		n := newNetwork(t, s.Client(), 3, 4)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		for _, node := range n.nodes {
			group.Go(func() error { return node.follower.Run(ctx) })
		}
		apply := func(records int, base revision.Revision) revision.Revision {
			t.Helper()
			at, err := Apply(ctx, s.Client(), testSet(t, records), base, "ada", time.Now())
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(inForceBound)
			for name, node := range n.nodes {
				if got := node.state.Revision(); got != at {
					t.Errorf("%s has %s in force, want %s", name, got, at)
				}
			}
			return at
		}
		first := apply(2, none)
		backup := s.Copy()
		last := apply(4, apply(3, first))
		s.Restore(backup)
		time.Sleep(inForceBound)
		for name, node := range n.nodes {
			if got := node.state.Revision(); got != last {
				t.Errorf("%s has %s in force after the drill, want the later set %s", name, got, last)
			}
		}
		base, _, err := Current(ctx, s.Client())
		if err != nil {
			t.Fatal(err)
		}
		if again := apply(5, base); again.Number > last.Number {
			t.Errorf("the revision %s is not given out again after %s", again, last)
		}
		cancel()
		_ = group.Wait()
	})
}

// TestEraEverywhere guards against instances that do not learn that the platform came back from a copy, and so write
// nothing of what was lost again: it was away meanwhile, or another instance watches it.
func TestEraEverywhere(t *testing.T) {
	tests := map[string]struct {
		outage             time.Duration
		domains, perDomain int64
	}{
		"at once":                         {0, 3, 4},
		"after an outage":                 {3 * time.Second, 3, 4},
		"after a long one":                {30 * time.Second, 3, 4},
		"three instances":                 {3 * time.Second, 3, 1},
		"91 instances, after an outage":   {3 * time.Second, 13, 7},
		"92 instances, in two domains":    {0, 2, 46},
		"40 instances, each in one alone": {0, 40, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore()
				n := newNetwork(t, s.Client(), int(test.domains), int(test.perDomain))
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				var relays, others atomic.Int64
				for _, node := range n.nodes {
					node.follower.OnEra(func(relay bool) {
						if relay {
							relays.Add(1)
						} else {
							others.Add(1)
						}
					})
					group.Go(func() error { return node.follower.Run(ctx) })
				}
				time.Sleep(5 * time.Second)
				backup := s.Copy()
				time.Sleep(time.Second)
				relaysWanted := test.domains * min(test.perDomain, relaysPerDomain)
				for drills := int64(1); drills <= 2; drills++ {
					if test.outage > 0 {
						s.Fail(standin.StoreDown, -1)
						time.Sleep(test.outage)
					}
					s.Restore(backup)
					s.Fail(standin.StoreDown, 0)
					time.Sleep(10 * time.Second)
					want := []int64{drills * relaysWanted, drills * (test.domains*test.perDomain - relaysWanted)}
					if diff := cmp.Diff(want, []int64{relays.Load(), others.Load()}); diff != "" {
						t.Errorf("calls at relays and at others after return %d (-want +got):\n%s", drills, diff)
					}
				}
				cancel()
				_ = group.Wait()
			})
		})
	}
}
