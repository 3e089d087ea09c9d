package hosted

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/platform"
	"hickorydrum/standin"
)

var (
	drillSeeds = flag.Int("drill-seeds", 10, "how many seeds TestDrills plays")
	drillFirst = flag.Uint64("drill-first", 0, "first seed that TestDrills plays")
	drillSize  = flag.Int("drill-size", 0, "instances in TestDrills, 0 for several sizes")
	drillLog   = flag.Bool("drill-log", false, "TestDrills prints the logs of the instances")
)

const (
	// drillSettle is how long after the last change all instances must have exactly what the store has.
	drillSettle = 20 * time.Second
	// checkEvery is how often it is checked that no right came back.
	checkEvery = 50 * time.Millisecond
)

var drillSizes = []size{
	{3, 2, 2500 * time.Millisecond},
	{12, 6, 2500 * time.Millisecond},
	{30, 3, 3 * time.Second},
	{91, 9, 3 * time.Second},
}

// drill is one return of the store from a copy.
type drill struct {
	world *world
	// lost are the changes that the copy does not have.
	lost []change
	// knew holds, by instance, which of them it knew right before.
	knew map[*simulated]map[string]change
	// unseen holds, by instance, the removals that it knew only by not having the object: it may not have seen that it
	// was written, and learn of that from a peer before it learns of the removal.
	unseen map[*simulated]map[string]bool
}

// begin makes changes, and lets the store come back from a copy that does not have them.
func (w *world) beginDrill(random *rand.Rand) *drill {
	d := &drill{world: w, knew: make(map[*simulated]map[string]change), unseen: make(map[*simulated]map[string]bool)}
	backup := w.store.Copy()
	from := len(w.changed())
	w.write(platform.KindUpstreams+"/i-0", w.value(platform.KindUpstreams+"/i-0", "draining"))
	w.write(platform.KindUpstreams+"/i-1", w.value(platform.KindUpstreams+"/i-1", "draining"))
	w.drawChange(platform.KindConfiguration)
	w.tell("a copy is taken; i-0 and i-1 drain, the configuration changes")
	for range random.IntN(4) {
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		w.drawChange(kinds()[random.IntN(len(kinds()))])
	}
	if _, err := w.store.Get(w.t.Context(), platform.KindUpstreams+"/i-1"); err == nil {
		w.remove(platform.KindUpstreams + "/i-1")
	}
	if _, err := w.store.Get(w.t.Context(), platform.KindEvacuations+"/d-1"); err != nil {
		w.put(platform.KindEvacuations + "/d-1")
	}
	time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
	if random.IntN(2) == 0 {
		w.tell("the store is away")
		w.store.Fail(standin.StoreDown, -1)
		time.Sleep(time.Duration(random.Int64N(int64(1500 * time.Millisecond))))
	}
	d.lost = w.changed()[from:]
	d.noteKnown()
	w.forget(from)
	w.store.Restore(backup)
	w.store.Fail(standin.StoreDown, 0)
	w.tell("the store is back from the copy, %d changes are lost", len(d.lost))
	return d
}

// forget forgets the changes from one on.
func (w *world) forget(from int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes = w.changes[:from:from]
}

// noteKnown records which of the lost changes each instance knows: the last one of each object, if it knows it.
func (d *drill) noteKnown() {
	last := make(map[string]change)
	for _, c := range d.lost {
		last[c.key] = c
	}
	for _, s := range d.world.all() {
		d.knew[s], d.unseen[s] = make(map[string]change), make(map[string]bool)
		for key, c := range last {
			if s.has(&c) {
				d.knew[s][key] = c
				d.unseen[s][key] = c.removes && !s.reached(&c)
			}
		}
	}
}

// rewrite writes again what was lost: the last state of each object.
func (d *drill) rewrite() {
	last := make(map[string]change)
	for _, c := range d.lost {
		last[c.key] = c
	}
	for _, key := range slices.Sorted(maps.Keys(last)) {
		c := last[key]
		o, err := d.world.store.Get(d.world.t.Context(), key)
		switch {
		case c.removes && err == nil:
			d.world.remove(key)
		case !c.removes && !bytes.Equal(o.Value, c.value):
			d.world.write(key, c.value)
		}
	}
	d.world.tell("what was lost is written again")
}

// check checks at one instant that no instance which knew that a right was taken away has it back.
func (d *drill) check() {
	for s, known := range d.knew {
		if is := s.condition(); is.dead || time.Now().Before(is.pausedUntil) {
			continue
		}
		for key, c := range known {
			if err := s.keeps(&c, d.unseen[s][key]); err != nil {
				d.world.t.Errorf("%s in %s, %s: %v", s.address, s.domain, key, err)
				delete(known, key)
			}
		}
	}
}

// reached reports whether an instance has seen the store's changes up to that one.
func (s *simulated) reached(c *change) bool {
	s.follower.mu.Lock()
	defer s.follower.mu.Unlock()
	return !c.revision.After(s.follower.mirrors[c.kind].Newest())
}

// keeps returns an error if an instance has a right back that a change took away. A removal that it has not seen may show
// as the state before it, which must take the right away too.
func (s *simulated) keeps(c *change, unseen bool) error {
	objects, _ := s.follower.objects(c.kind)
	i := slices.IndexFunc(objects, func(o platform.Object) bool { return o.Key == c.key })
	switch {
	case c.kind == platform.KindUpstreams && c.removes && i >= 0:
		if u, err := platform.DecodeUpstream(objects[i]); err != nil || !unseen || !u.Draining {
			return fmt.Errorf("it is back: %s", objects[i].Value)
		}
	case c.kind == platform.KindEvacuations && !c.removes && i < 0:
		return fmt.Errorf("the evacuation has ended")
	case c.kind == platform.KindUpstreams && !c.removes && i >= 0:
		known, _ := platform.DecodeUpstream(platform.Object{Key: c.key, Value: c.value})
		if u, err := platform.DecodeUpstream(objects[i]); err != nil || known.Draining && !u.Draining {
			return fmt.Errorf("it does not drain any more: %s", objects[i].Value)
		}
	case c.kind == platform.KindConfiguration && i >= 0:
		known, _ := platform.DecodeConfiguration(platform.Object{Key: c.key, Value: c.value})
		if t, err := platform.DecodeConfiguration(objects[i]); err != nil || t.Version() < known.Version() {
			return fmt.Errorf("it is an older one: %s", objects[i].Value)
		}
	}
	return nil
}

// checkFor checks during a time.
func (d *drill) checkFor(lasts time.Duration) {
	for until := time.Now().Add(lasts); time.Now().Before(until); time.Sleep(checkEvery) {
		d.check()
	}
}

// playDrills plays one or two drills beside disruptions. It returns the time that each instance in touch took to know
// each change that was made once the store had served it for long enough again.
func (w *world) playDrills() []time.Duration {
	time.Sleep(settleFor + time.Duration(w.random.Int64N(int64(time.Second))))
	all := disruptions()
	names := slices.Sorted(maps.Keys(selections))
	var ends []func()
	disrupt := func() {
		if w.random.IntN(3) == 0 {
			return
		}
		d, name := all[w.random.IntN(len(all))], names[w.random.IntN(len(names))]
		hit := selections[name](w, w.random)
		w.tell("%s, %d: %s", name, len(hit), d.name)
		for _, s := range hit {
			if !s.condition().dead {
				if end := d.begin(w, s, w.random); end != nil {
					ends = append(ends, end)
				}
			}
		}
	}
	for range 1 + w.random.IntN(2) {
		before := w.random.IntN(2) == 0
		if before {
			disrupt()
		}
		d := w.beginDrill(w.random)
		if !before {
			disrupt()
		}
		d.checkFor(time.Duration(w.random.Int64N(int64(3 * time.Second))))
		d.rewrite()
	}
	for _, end := range ends {
		end()
	}
	w.tell("all that lasts has ended")
	time.Sleep(stabilityWindow)
	var out []time.Duration
	for range 2 {
		c := w.drawChange(kinds()[w.random.IntN(len(kinds()))])
		w.tell("%s changes", c.key)
		time.Sleep(w.bound)
		out = append(out, w.delays(c)...)
	}
	return out
}

// differs returns how what an instance has differs from what the store has.
func (w *world) differs(s *simulated) string {
	out := ""
	for _, kind := range kinds() {
		page, err := w.store.Client().List(w.t.Context(), kind+"/")
		if err != nil {
			w.t.Fatal(err)
		}
		objects, _ := s.follower.objects(kind)
		out += cmp.Diff(page.Objects, objects, cmp.Comparer(func(a, b []byte) bool { return string(a) == string(b) }))
	}
	return out
}

// TestDrills plays returns of the store from a copy, one or two in a row, beside outages, kills, starts, suspensions and
// cuts, at sizes from 3 to 91 instances. It guards against an instance that stays with what the store no longer has, that
// takes a right back which was taken away, or that keeps for good what was removed. By hand also with -drill-size 1000.
func TestDrills(t *testing.T) {
	for seed := *drillFirst; seed < *drillFirst+uint64(*drillSeeds); seed++ {
		size := drillSizes[seed%uint64(len(drillSizes))]
		if *drillSize > 0 {
			size.instances = *drillSize
		}
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed, size.bound)
				if *drillLog {
					w.out = t.Output()
				}
				w.startAll(size.instances, size.domains)
				defer w.end()
				for _, d := range w.playDrills() {
					if d > w.most() {
						t.Errorf("%d instances: a change after the drill is known after %s, want at most %s", size.instances, d, w.most())
					}
				}
				time.Sleep(drillSettle)
				for _, s := range w.all() {
					if diff := w.differs(s); diff != "" && !s.condition().dead {
						t.Errorf("%s in %s differs from the store: %s", s.address, s.domain, diff)
					}
				}
				if t.Failed() {
					t.Log(w.story)
				}
			})
		})
	}
}

// TestDrillCalls guards against a load on the store after its return from a copy that grows with the instances, or does
// not end: those that watch it load each kind again, and the others get the state from them.
func TestDrillCalls(t *testing.T) {
	const lasts = 10 * time.Second
	for _, size := range append(slices.Clone(drillSizes), largeSize) {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, size.bound)
				w.startAll(size.instances, size.domains)
				defer w.end()
				time.Sleep(settleFor)
				lists, watches := w.countCalls(lasts)
				backup := w.store.Copy()
				w.drawChange(platform.KindConfiguration)
				time.Sleep(time.Second)
				w.store.Restore(backup)
				listsAfter, watchesAfter := w.countCalls(lasts)
				extra := listsAfter + watchesAfter - lists - watches
				t.Logf("%d calls more than in calm, %d instances of %d watch", extra, len(w.watchers()), size.instances)
				// A watch that is refused, a list and a watch again for each kind, and as much once more.
				if most := len(w.watchers())*len(kinds())*6 + size.instances/10; extra > most {
					t.Errorf("%d calls more than in calm after the return, want at most %d", extra, most)
				}
			})
		})
	}
}
