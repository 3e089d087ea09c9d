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

func TestMergeOnlyGrows(t *testing.T) {
	tests := map[string]struct {
		known, told, want State
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
			if test.known != 0 {
				r.Merge([]Member{testMember("a", Joining)})
				r.Merge([]Member{testMember("a", test.known)})
			}
			r.Merge([]Member{testMember("a", test.told)})
			m, _ := r.View().Member("a/1")
			if diff := cmp.Diff(test.want, m.State); diff != "" {
				t.Error(diff)
			}
		})
	}
	r := New(testMember("self", Live))
	r.Merge([]Member{testMember("b", Live)})
	r.MarkGone("b/1")
	for before, known := range map[time.Duration]bool{-time.Hour: true, time.Hour: false} {
		r.Forget(time.Now().Add(before))
		if _, ok := r.View().Member("b/1"); ok && !known {
			t.Error("a member that is long gone is not forgotten")
		}
	}
	r.Merge([]Member{testMember("self", Gone)})
	if r.Self().State != Live {
		t.Error("others decided that this instance is gone")
	}
}

// TestRankMovesLittle takes one member away: only what it owned changes hands.
func TestRankMovesLittle(t *testing.T) {
	var members []Member
	for i := range 10 {
		members = append(members, testMember(fmt.Sprintf("m%d", i), Live))
	}
	owned := make(map[string]int)
	for k := range 2000 {
		key := fmt.Sprintf("10.0.%d.%d:80", k/256, k%256)
		owner, successor := First(key, members)
		order := Rank(key, members)
		if owner.ID() != order[0].ID() || successor.ID() != order[1].ID() {
			t.Fatalf("First and Rank disagree on %s", key)
		}
		owned[owner.Name]++
		after, _ := First(key, members[1:])
		if owner.Name != "m0" && after.ID() != owner.ID() {
			t.Errorf("%s went from %s to %s although m0 left", key, owner.Name, after.Name)
		}
		if owner.Name == "m0" && after.ID() != successor.ID() {
			t.Errorf("%s went to %s, not to its successor %s", key, after.Name, successor.Name)
		}
	}
	for name, n := range owned {
		if n < 120 || n > 280 {
			t.Errorf("%s owns %d of 2000", name, n)
		}
	}
}

func TestRegistry(t *testing.T) {
	tests := map[string]struct {
		fault standin.StoreFault
		calls int
		kind  fault.Kind
	}{
		"all well":    {"", 0, ""},
		"answer lost": {standin.StoreLoseResponse, 1, fault.Unavailable},
		"down":        {standin.StoreDown, -1, fault.Unavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := standin.NewStore()
			g := NewRegistry(s)
			if err := g.Write(t.Context(), testMember("a", Live)); err != nil {
				t.Fatal(err)
			}
			s.Fail(test.fault, test.calls)
			err := g.Write(t.Context(), testMember("a2", Live))
			if diff := cmp.Diff(test.kind, fault.KindOf(err)); diff != "" {
				t.Error(diff)
			}
			s.Fail(test.fault, 0)
			// Writing again is always safe, and an older state changes nothing.
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

// watchOne watches one member and returns a channel that tells when it is gone.
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

// process stands for a member's process: it answers probes with its run.
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

func TestWatcherProof(t *testing.T) {
	tests := map[string]struct {
		run  string // what answers at the address; "" for silence
		open bool
		gone bool
	}{
		"nobody listens":      {"", false, true},
		"another run answers": {"2", true, true},
		"runs":                {"1", true, false},
		"silent":              {"", true, false},
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
					t.Error("a member was called gone without a proof")
				}
			case <-time.After(wait):
				if test.gone {
					t.Error("the proof was not seen")
				}
			}
			if state := r.View().Present("one"); (len(state) == 1) != test.gone {
				t.Errorf("present members: %v", state)
			}
		})
	}
}
