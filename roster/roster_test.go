package roster

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
	"hickorydrum/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testMember(name string, state State) Member {
	return Member{Name: name, Run: "1", Region: "one", Domain: "d-" + name[:1], State: state}
}

// TestMergeOnlyGrows checks that a merge never replaces a state by an earlier one,
// adds no member that is gone already, and leaves this instance's own state alone.
func TestMergeOnlyGrows(t *testing.T) {
	tests := map[string]struct {
		current, reported, want State // 0 for not in the roster
	}{
		"newer":        {Live, Leaving, Leaving},
		"older":        {Gone, Live, Gone},
		"same":         {Leaving, Leaving, Leaving},
		"not seen yet": {0, Live, Live},
		"never seen":   {0, Gone, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(testMember("self", Live))
			if test.current != 0 {
				r.Merge([]Member{testMember("a", Joining)})
				r.Merge([]Member{testMember("a", test.current)})
			}
			r.Merge([]Member{testMember("a", test.reported)})
			m, _ := r.View().Member("a/1")
			if diff := cmp.Diff(test.want, m.State); diff != "" {
				t.Error(diff)
			}
		})
	}
	r := New(testMember("self", Live))
	r.Merge([]Member{testMember("self", Gone)})
	if r.Self().State != Live {
		t.Error("a report of another instance changed the state of this one")
	}
}

// TestPruneGone guards against members that stay in the view for ever after their end, and
// against a recent end that is forgotten, after which an old report could add the member again.
func TestPruneGone(t *testing.T) {
	tests := map[string]struct {
		state  State
		before time.Duration // of the prune, from now
		kept   bool
	}{
		"gone for long": {Gone, time.Hour, false},
		"gone lately":   {Gone, -time.Hour, true},
		"live":          {Live, time.Hour, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(testMember("self", Live))
			r.Merge([]Member{testMember("b", Live)})
			if test.state == Gone {
				r.MarkGone("b/1")
			}
			r.PruneGone(time.Now().Add(test.before))
			if _, kept := r.View().Member("b/1"); kept != test.kept {
				t.Errorf("the member is in the view: %t, want %t", kept, test.kept)
			}
		})
	}
}

// TestSelfOnlyGrows guards against an instance that names itself live again during its planned
// stop, because its registration ended after the stop had begun.
func TestSelfOnlyGrows(t *testing.T) {
	r := New(testMember("self", Joining))
	for _, state := range []State{Leaving, Live} {
		r.SetSelf(state)
		if m, _ := r.View().Member("self/1"); m.State != Leaving || r.Self().State != Leaving {
			t.Errorf("after %s the instance is %s, in its view %s", state, r.Self().State, m.State)
		}
	}
}

// TestRankMovesLittle removes one of 10 members and checks that only its keys get
// another owner, namely its successor. It also bounds the keys of each member.
func TestRankMovesLittle(t *testing.T) {
	var members []Member
	for i := range 10 {
		members = append(members, testMember(fmt.Sprintf("m%d", i), Live))
	}
	owned := make(map[string]int)
	for k := range 2000 {
		key := fmt.Sprintf("10.0.%d.%d:80", k/256, k%256)
		owner, successor := OwnerAndSuccessor(key, members)
		order := Rank(key, members)
		if owner.ID() != order[0].ID() || successor.ID() != order[1].ID() {
			t.Fatalf("OwnerAndSuccessor and Rank disagree on %s", key)
		}
		owned[owner.Name]++
		after, _ := OwnerAndSuccessor(key, members[1:])
		if owner.Name != "m0" && after.ID() != owner.ID() {
			t.Errorf("%s moved from %s to %s although only m0 left", key, owner.Name, after.Name)
		}
		if owner.Name == "m0" && after.ID() != successor.ID() {
			t.Errorf("%s moved to %s, not to its successor %s", key, after.Name, successor.Name)
		}
	}
	for name, n := range owned {
		if n < 120 || n > 280 {
			t.Errorf("%s owns %d of 2000 keys", name, n)
		}
	}
}

func TestRegistry(t *testing.T) {
	tests := map[string]struct {
		fault standin.StoreFault
		calls int
		kind  fault.Kind
	}{
		"all well":      {"", 0, ""},
		"response lost": {standin.StoreLoseResponse, 1, fault.Unavailable},
		"down":          {standin.StoreDown, -1, fault.Unavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := standin.NewStore()
			g := NewRegistry(s.Client())
			if err := g.Write(t.Context(), testMember("a", Live)); err != nil {
				t.Fatal(err)
			}
			s.Fail(test.fault, test.calls)
			err := g.Write(t.Context(), testMember("a2", Live))
			if diff := cmp.Diff(test.kind, fault.KindOf(err)); diff != "" {
				t.Error(diff)
			}
			s.Fail(test.fault, 0)
			// A repeated write is safe, and an earlier state changes nothing.
			for _, state := range []State{Live, Leaving, Live} {
				if err := g.Write(t.Context(), testMember("a2", state)); err != nil {
					t.Fatal(err)
				}
			}
			members, err := g.Read(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]Member{testMember("a", Live), testMember("a2", Leaving)}, members); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// watchOne runs a Watcher whose roster has one other member. The channel receives
// the member when the Watcher reports it gone.
func watchOne(t *testing.T, m Member) (r *Roster, gone chan Member) {
	t.Helper()
	r = New(testMember("watching", Live))
	gone = make(chan Member, 1)
	w, err := NewWatcher(r, "127.0.0.1:0", nil, func(m Member) { gone <- m })
	if err != nil {
		t.Fatal(err)
	}
	r.Merge([]Member{m})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return r, gone
}

// process listens like a member's process and answers each probe with the
// incarnation; it never answers if run is empty.
func process(t *testing.T, address, run string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer func() { _ = conn.Close() }()
				if run != "" {
					_, _ = fmt.Fprintln(conn, run)
				}
				var one [1]byte
				_, _ = conn.Read(one[:])
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener
}

// TestWatcherProof checks that a member is reported gone if its probe address
// refuses connections or another incarnation answers there, and not if nothing
// answers.
func TestWatcherProof(t *testing.T) {
	tests := map[string]struct {
		run  string // incarnation that answers at the address; "" if nothing answers
		open bool   // whether a process listens there
		gone bool   // whether the Watcher must report the member gone
	}{
		"nobody listens":              {"", false, true},
		"another incarnation answers": {"2", true, true},
		"runs":                        {"1", true, false},
		"silent":                      {"", true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener := process(t, "127.0.0.1:0", test.run)
			m := testMember("a", Live)
			m.Probe = listener.Addr().String()
			if !test.open {
				_ = listener.Close()
			}
			r, gone := watchOne(t, m)
			wait := 5 * time.Second
			if !test.gone {
				wait = 1500 * time.Millisecond
			}
			select {
			case <-gone:
				if !test.gone {
					t.Error("a member was reported gone without evidence")
				}
			case <-time.After(wait):
				if test.gone {
					t.Error("the member was not reported gone")
				}
			}
			if state := r.View().Present("one"); (len(state) == 1) != test.gone {
				t.Errorf("present members: %v", state)
			}
		})
	}
}
