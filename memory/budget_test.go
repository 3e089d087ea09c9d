package memory

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	kib  = 1 << 10
	wait = 2 * time.Second
)

// step is one call on a hold, by the hold's name.
type step struct {
	hold     string
	declared int64 // for the first step of a hold
	grow     int64 // without a wait, if above 0
	closed   bool
	want     bool // of grow
}

// TestBudget guards against holds that get more than the budget has, and against small requests that large
// ones starve. The budget has 1 MiB, of which 128 KiB are the reserve for holds of up to 64 KiB.
func TestBudget(t *testing.T) {
	tests := map[string]struct {
		steps []step
		used  int64
	}{
		"small ones use all": {[]step{
			{hold: "a", grow: 960 * kib, want: false}, // large
			{hold: "b", grow: 64 * kib, want: true}, {hold: "c", grow: 64 * kib, want: true},
		}, 128 * kib},
		"large ones leave the reserve": {[]step{
			{hold: "a", grow: 896 * kib, want: true},
			{hold: "b", grow: 65 * kib, want: false},
			{hold: "c", grow: 64 * kib, want: true},
			{hold: "d", grow: 64 * kib, want: true},
			{hold: "e", grow: 1, want: false},
		}, 1024 * kib},
		"what grows becomes large": {[]step{
			{hold: "a", grow: 896 * kib, want: true}, {hold: "b", grow: 32 * kib, want: true}, {hold: "b", grow: 33 * kib, want: false},
		}, 928 * kib},
		"declared as large": {[]step{
			{hold: "a", grow: 896 * kib, want: true}, {hold: "b", declared: 65 * kib, grow: 1, want: false},
		}, 896 * kib},
		"returned": {[]step{
			{hold: "a", grow: 796 * kib, want: true},
			{hold: "b", grow: 101 * kib, want: false},
			{hold: "b", grow: 100 * kib, want: true},
			{hold: "a", closed: true},
			{hold: "c", grow: 796 * kib, want: true},
		}, 896 * kib},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(1024*kib, WithReserve(128*kib))
			holds := make(map[string]*Hold)
			for i, s := range test.steps {
				h := holds[s.hold]
				if h == nil {
					h = b.Open(s.declared)
					holds[s.hold] = h
				}
				switch {
				case s.closed:
					h.Close()
				default:
					if got := h.Grow(s.grow); got != s.want {
						t.Errorf("step %d: %v, want %v", i, got, s.want)
					}
				}
			}
			if diff := cmp.Diff(test.used, b.Used()); diff != "" {
				t.Errorf("used (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNoBudget guards against limits on instances whose settings have none.
func TestNoBudget(t *testing.T) {
	b := NewShares(0).Bodies()
	h := b.Open(1 << 40)
	if !b.Fits(1<<40) || !h.Grow(1<<40) || !h.GrowUntil(t.Context(), 1<<40, time.Now()) || b.Used() != 0 || b.Size() != 0 {
		t.Error("no budget has a bound")
	}
	h.Close()
	if NewShares(0).Heads() != nil || NewShares(0).Connections() != 0 || NewShares(0).Runtime() != 0 {
		t.Error("no memory limit gives a limit")
	}
}

// TestShares guards against a single body within the limits that never has room, and against parts that
// exceed the memory.
func TestShares(t *testing.T) {
	s := NewShares(184 * 1000 * 1000)
	if !s.Bodies().Fits(64 << 20) {
		t.Error("a body of 64 MiB has no room on an instance with 184 MB")
	}
	parts := s.Bodies().Size() + s.Heads().Size() + int64(s.Connections())*connBytes
	if parts > s.Runtime() || s.Runtime() > 184*1000*1000 {
		t.Errorf("the parts have %d bytes, the runtime %d", parts, s.Runtime())
	}
}

// outcomes has the order in which holds got their bytes, or that they were refused, with the time.
type outcomes struct{ text []string }

func (o *outcomes) add(name string, granted bool, begun time.Time) {
	o.text = append(o.text, fmt.Sprintf("%s %v %v", name, granted, time.Since(begun)))
}

// TestWait guards against a wait without end, room that goes to a young hold while an old one waits, and room that is
// split between holds of which none can end. The first hold has what the others leave of 1 MiB without the reserve.
func TestWait(t *testing.T) {
	type request struct {
		name     string
		declared int64
		held     int64         // before the others wait
		grow     int64         // then
		after    time.Duration // when it asks
	}
	tests := map[string]struct {
		requests []request
		release  time.Duration // when the first hold is closed
		want     []string
	}{
		"refused at the deadline": {[]request{{"a", 0, 0, 100 * kib, 0}}, wait + time.Second, []string{"a false 2s"}},
		"room in time":            {[]request{{"a", 0, 0, 100 * kib, 0}}, time.Second, []string{"a true 1s"}},
		"begins to be large while another waits": {
			[]request{{"a", 0, 0, 100 * kib, 0}, {"b", 0, 0, 100 * kib, time.Millisecond}},
			time.Second,
			[]string{"a true 1s", "b true 999ms"},
		},
		"small beside a large that waits": {
			[]request{{"a", 0, 0, 100 * kib, 0}, {"b", 0, 0, 10 * kib, time.Millisecond}},
			time.Second,
			[]string{"b true 0s", "a true 1s"},
		},
		"one that has bytes before one that has none": {
			[]request{{"a", 800 * kib, 0, 100 * kib, 0}, {"b", 0, 200 * kib, 600 * kib, time.Millisecond}},
			time.Second,
			[]string{"b true 999ms", "a false 2s"},
		},
		"not more begin than can end": {
			[]request{{"a", 500 * kib, 0, 32 * kib, 0}, {"b", 500 * kib, 0, 32 * kib, time.Millisecond}},
			time.Second,
			[]string{"a true 1s", "b false 2s"},
		},
		"the youngest is refused for the oldest": {
			[]request{{"a", 500 * kib, 300 * kib, 32 * kib, 0}, {"b", 500 * kib, 300 * kib, 32 * kib, time.Millisecond}},
			wait + time.Second,
			[]string{"b false 299ms", "a true 300ms"},
		},
		"both can end with the room that there is soon": {
			[]request{{"a", 500 * kib, 300 * kib, 32 * kib, 0}, {"b", 350 * kib, 300 * kib, 32 * kib, time.Millisecond}},
			refuseAfter / 2,
			[]string{"a true 150ms", "b true 149ms"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New(1024*kib, WithReserve(128*kib))
				holds := make([]*Hold, len(test.requests))
				held := int64(0)
				for i, r := range test.requests {
					holds[i] = b.Open(r.declared)
					if r.held > 0 && !holds[i].Grow(r.held) {
						t.Fatal("no room at the start")
					}
					held += r.held
				}
				first := b.Open(0)
				if !first.Grow(896*kib - held) {
					t.Fatal("no room at the start")
				}
				done := make(chan struct{}, len(test.requests))
				var got outcomes
				for i, r := range test.requests {
					time.AfterFunc(r.after, func() {
						begun := time.Now()
						granted := holds[i].GrowUntil(context.Background(), r.grow, begun.Add(wait))
						b.mu.Lock() // orders the outcomes
						got.add(r.name, granted, begun)
						b.mu.Unlock()
						if !granted {
							holds[i].Close()
						}
						done <- struct{}{}
					})
				}
				time.AfterFunc(test.release, first.Close)
				for range test.requests {
					<-done
				}
				time.Sleep(2 * wait)
				// Holds that get their bytes at the same instant are compared by name.
				if diff := cmp.Diff(test.want, got.text, cmp.Transformer("sorted", sorted)); diff != "" {
					t.Errorf("outcomes (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func sorted(lines []string) map[string]int {
	out := make(map[string]int)
	for _, line := range lines {
		out[line]++
	}
	return out
}
