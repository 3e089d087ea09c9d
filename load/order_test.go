package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"hickorydrum/fleet"
	"hickorydrum/placement"
)

// moved is how the homes of objects differ between two views.
type moved struct {
	all   int // objects whose home differs
	other int // of those, objects whose home neither joined nor left nor changed its slots
}

// upstreamsOf returns n upstreams, the slots of which repeat those given.
func upstreamsOf(n int, slots ...int) []fleet.Upstream {
	out := make([]fleet.Upstream, n)
	for i := range out {
		out[i] = upstream(fmt.Sprintf("u-%d", i), "a-1", func(u *fleet.Upstream) { u.Slots = slots[i%len(slots)] })
	}
	return out
}

func listOf(upstreams []fleet.Upstream) []*fleet.Upstream {
	return fleet.NewView(upstreams, nil, regions).Service("list")
}

// homes returns the ids of the homes of objects among the upstreams.
func homes(o *orders, upstreams []*fleet.Upstream, objects []uint64) []string {
	out := make([]string, len(objects))
	for i, object := range objects {
		ranks := o.ranks("list", upstreams, object)
		out[i] = upstreams[slices.Index(ranks, slices.Max(ranks))].ID
	}
	return out
}

func objectsOf(n int) []uint64 {
	r := rand.New(rand.NewPCG(3, 3))
	out := make([]uint64, n)
	for i := range out {
		out[i] = r.Uint64()
	}
	return out
}

// TestMoves guards against objects that move although neither their old nor their new home has joined,
// left or changed its slots, and against more moves than 1.1 times the share of that upstream. For equal
// slots this share is 1/n.
func TestMoves(t *testing.T) {
	const tolerated = 1.1
	sizes := map[string][]int{"equal": {4}, "uneven": {2, 4, 8}}
	for _, n := range []int{3, 10, 33, 232, 1000} {
		for sizesName, slots := range sizes {
			before := upstreamsOf(n, slots...)
			slotsBefore := 0
			for _, u := range before {
				slotsBefore += u.Slots
			}
			joins := append(slices.Clone(before), upstream("new", "a-1", func(u *fleet.Upstream) { u.Slots = before[n/2].Slots }))
			leaves := slices.Delete(slices.Clone(before), n/2, n/2+1)
			joinsOther := append(slices.Clone(before), upstream("new", "a-1", func(u *fleet.Upstream) { u.Slots = 6 }))
			grows := slices.Clone(before)
			grows[n/2].Slots *= 2
			changed := before[n/2]
			tests := map[string]struct {
				after    []fleet.Upstream
				id       string
				expected float64 // fraction of the objects that moves
			}{
				"joins":                  {joins, "new", float64(changed.Slots) / float64(slotsBefore+changed.Slots)},
				"leaves":                 {leaves, changed.ID, float64(changed.Slots) / float64(slotsBefore)},
				"joins with other slots": {joinsOther, "new", 6 / float64(slotsBefore+6)},
				"gets twice the slots": {
					grows, changed.ID,
					2*float64(changed.Slots)/float64(slotsBefore+changed.Slots) - float64(changed.Slots)/float64(slotsBefore),
				},
			}
			for name, test := range tests {
				t.Run(fmt.Sprintf("%d %s/%s", n, sizesName, name), func(t *testing.T) {
					t.Parallel()
					// Ten thousand moves are expected, so that their number varies by 1%; fewer among
					// many upstreams, where a run takes longer.
					count := int(min(10_000/test.expected, 1_500_000/float64(n)))
					objects := objectsOf(count)
					old, now := homes(newOrders(), listOf(before), objects), homes(newOrders(), listOf(test.after), objects)
					var got moved
					for i := range objects {
						if old[i] != now[i] {
							got.all++
							if old[i] != test.id && now[i] != test.id {
								got.other++
							}
						}
					}
					expected := test.expected * float64(count)
					bound := tolerated * expected
					if expected < 1000 {
						bound += 4 * math.Sqrt(expected) // four standard deviations of so few
					}
					if got.other > 0 || float64(got.all) > bound {
						t.Errorf("of %d objects %d moved, %d of them elsewhere, want %.0f at most", count, got.all, got.other, bound)
					}
				})
			}
		}
	}
}

// TestFlap guards against objects that do not return to their home after an upstream left and came
// back, or after a restart of an upstream or of this instance.
func TestFlap(t *testing.T) {
	all := upstreamsOf(30, 2, 4, 8)
	objects := objectsOf(500)
	restarted := slices.Clone(all)
	for i := range restarted {
		restarted[i].StartMillis = start.Add(time.Duration(i) * time.Second).UnixMilli()
	}
	one := newOrders()
	want := homes(one, listOf(all), objects)
	for range 3 {
		homes(one, listOf(all[1:]), objects)
		if diff := cmp.Diff(want, homes(one, listOf(all), objects)); diff != "" {
			t.Fatalf("after a flap: %s", diff)
		}
	}
	if diff := cmp.Diff(want, homes(one, listOf(restarted), objects)); diff != "" {
		t.Errorf("after restarts of upstreams: %s", diff)
	}
	if diff := cmp.Diff(want, homes(newOrders(), listOf(all), objects)); diff != "" {
		t.Errorf("at another instance: %s", diff)
	}
}

// TestEqualSlots guards against a whole order that differs from the one by hash where all upstreams
// have the same number of slots.
func TestEqualSlots(t *testing.T) {
	list := listOf(upstreamsOf(50, 4))
	o := newOrders()
	for _, object := range objectsOf(200) {
		ranks := o.ranks("list", list, object)
		for i, a := range list {
			for j, b := range list {
				byHash := placement.Rank(object, a.Hash()) > placement.Rank(object, b.Hash())
				if got := ranks[i] > ranks[j]; got != byHash {
					t.Fatalf("object %d: %s before %s is %t, by hash %t", object, a.ID, b.ID, got, byHash)
				}
			}
		}
	}
}

// TestRanksKept guards against ranks of an earlier view, and against more ranks than the bound.
func TestRanksKept(t *testing.T) {
	o := newOrders()
	few, many := listOf(upstreamsOf(3, 4)), listOf(upstreamsOf(1000, 4))
	if got := len(o.ranks("list", few, 1)); got != 3 {
		t.Errorf("%d ranks for 3 upstreams", got)
	}
	if got := len(o.ranks("list", many, 1)); got != 1000 {
		t.Errorf("%d ranks for 1000 upstreams", got)
	}
	for _, object := range objectsOf(1200) {
		o.ranks("list", many, object)
		o.ranks("other", few, object)
		sum := 0
		for _, s := range o.services {
			sum += len(s.ranks) * len(s.upstreams)
		}
		if sum != o.kept || sum > maxRanks {
			t.Fatalf("%d ranks are kept, %d counted", sum, o.kept)
		}
	}
}

// TestHomeBySlots guards against candidates whose ranks ignore the slots.
func TestHomeBySlots(t *testing.T) {
	tr, v := trackerOf(upstreamsOf(2, 1, 9)...)
	got := 0
	const objects = 2000
	for _, object := range objectsOf(objects) {
		candidates, usable := tr.Candidates(request(object), v.Service("list"), start)
		best := slices.IndexFunc(candidates, func(c placement.Candidate) bool { return c.Rank == 2 })
		if usable[best].ID == "u-1" {
			got++
		}
	}
	if got < 0.85*objects || got > 0.95*objects {
		t.Errorf("the upstream with 9 of 10 slots is the home of %d of %d objects", got, objects)
	}
}

// BenchmarkRanks returns the ranks of 1,000 upstreams for objects that were requested before, and for
// others.
func BenchmarkRanks(b *testing.B) {
	for name, slots := range map[string][]int{"equal": {4}, "uneven": {2, 4, 8}} {
		list := listOf(upstreamsOf(1000, slots...))
		objects := objectsOf(500)
		b.Run(name+"/known", func(b *testing.B) {
			o := newOrders()
			homes(o, list, objects)
			i := 0
			for b.Loop() {
				o.ranks("list", list, objects[i%len(objects)])
				i++
			}
		})
		b.Run(name+"/new", func(b *testing.B) {
			o := newOrders()
			object := uint64(0)
			for b.Loop() {
				object++
				o.ranks("list", list, object)
			}
		})
	}
}

// TestRanksConcurrently guards against ranks of another view, or of none, while requests with different
// views are chosen for at once.
func TestRanksConcurrently(t *testing.T) {
	o := newOrders()
	lists := [][]*fleet.Upstream{listOf(upstreamsOf(40, 2, 4)), listOf(upstreamsOf(40, 2, 4)), listOf(upstreamsOf(41, 2, 4))}
	var group errgroup.Group
	for _, list := range lists {
		group.Go(func() error {
			for i := range 2000 {
				if got := o.ranks("list", list, uint64(i%50)); len(got) != len(list) {
					return fmt.Errorf("%d ranks for %d upstreams", len(got), len(list))
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
