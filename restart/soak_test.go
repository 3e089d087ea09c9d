package restart

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"hickorydrum/standin"
)

var (
	seeds     = flag.Int("seeds", 3, "number of seeds that TestSoak plays")
	firstSeed = flag.Uint64("seed", 4, "first seed that TestSoak plays")
	instances = flag.Int("instances", 6, "number of instances that TestManyStops stops")
)

// TestSoak plays rows that are drawn by seed. It guards against requests that a combination of callers,
// upstreams and changes cuts off.
func TestSoak(t *testing.T) {
	t.Parallel()
	for i := range uint64(*seeds) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := drawRow(rand.New(rand.NewPCG(seed, 1)))
			t.Logf("grace %v, timeout %v, idle %v, instances %d, stagger %v, series %v, restart %v, unread %v, upstreams %+v, steps %q",
				r.grace, r.timeout, r.idle, r.instances, r.stagger, r.series, r.restart, r.unread, r.upstreams, r.drawn)
			for _, c := range r.crowds {
				t.Logf("crowd %+v", c)
			}
			r.check(t, seed)
		})
	}
}

// TestManyStops stops many instances beside each other, and starts them again. It guards against
// requests that are cut off when the machine is short of time.
func TestManyStops(t *testing.T) {
	t.Parallel()
	row{
		grace: 6 * time.Second, timeout: 2 * time.Second, upstreams: upstreams{number: 4, work: 300 * ms}, load: 3 * time.Second,
		instances: *instances, stagger: 3 * time.Second / time.Duration(*instances), restart: true,
		crowds: []crowd{
			{callers: 4, kind: unsafe, habit: habit{pool: 3, redials: true}, longest: 2 * time.Second},
			{callers: 2, kind: safe, habit: habit{fresh: true, redials: true, retries: true}, longest: 2 * time.Second},
		},
	}.check(t, 1)
}

// pick returns one of the choices.
func pick[T any](r *rand.Rand, choices ...T) T { return choices[r.IntN(len(choices))] }

// between returns a time from shortest to longest, in whole milliseconds.
func between(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return (shortest + time.Duration(r.Int64N(int64(longest-shortest)+1))).Truncate(ms)
}

// drawRow draws a row.
func drawRow(r *rand.Rand) row {
	out := row{
		grace: between(r, 2500*ms, 5*time.Second), timeout: between(r, 500*ms, 2500*ms), load: between(r, time.Second, 3*time.Second),
		idle: pick(r, 0, 0, 500*ms, time.Second), instances: pick(r, 1, 1, 1, 2, 3), unread: r.IntN(10) == 0,
		cuts: true, // large responses and pauses meet short timeouts
	}
	out.stagger, out.restart = pick(r, 0, 300*ms, time.Second), r.IntN(3) == 0
	out.series = out.restart && r.IntN(2) == 0
	out.upstreams = drawUpstreams(r, out.timeout)
	for range 2 + r.IntN(3) {
		out.crowds = append(out.crowds, drawCrowd(r, &out))
	}
	out.drawSteps(r)
	return out
}

func drawUpstreams(r *rand.Rand, timeout time.Duration) upstreams {
	out := upstreams{number: 2 + r.IntN(2), work: pick(r, shortWork, 50*ms, timeout/2, timeout*9/10)}
	switch r.IntN(8) {
	case 0:
		out.fault = standin.WorkerSilent
	case 1:
		out.fault = standin.WorkerEndless
	case 2:
		out.work, out.body, out.bodyTime = shortWork, 1<<20, timeout/2
	case 3:
		out.work, out.body = shortWork, 4<<20
	}
	return out
}

func drawCrowd(r *rand.Rand, of *row) crowd {
	out := crowd{
		callers: 5 + r.IntN(20), kind: pick(r, safe, unsafe, unsafe, upload), longest: pick(r, 50*ms, 300*ms, time.Second, 4*time.Second),
		habit: habit{fresh: r.IntN(4) == 0, pool: r.IntN(8), retries: r.IntN(2) == 0, redials: of.restart},
	}
	switch {
	case r.IntN(4) == 0 && out.kind != upload:
		out.habit.depth = 2 + r.IntN(3)
	case r.IntN(4) == 0:
		out.habit.sendTime = between(r, 0, of.timeout/2)
	case r.IntN(4) == 0:
		out.habit.readTime = of.timeout / 4
	}
	if r.IntN(2) == 0 {
		out.spread, out.quiet = pick(r, 5*ms, 50*ms, 500*ms), r.IntN(2) == 0
		for range 1 + r.IntN(3) {
			out.moments = append(out.moments, between(r, 0, of.grace))
		}
	}
	return out
}

// changes are the steps that are drawn, by name. Each is played once in a row.
var changes = map[string]func(*play){
	"hang up":             sendSignal(syscall.SIGHUP),
	"settings":            writeSettings,
	"routes":              unroute,
	"upstream leaves":     removeUpstream,
	"shorter idle time":   configure(300 * ms),
	"longer idle time":    configure(10 * time.Second),
	"short pause":         pause(200 * ms),
	"long pause":          pause(600 * ms),
	"a second long pause": pause(600 * ms),
}

// drawSteps draws up to three steps, while callers send or during the stops, and then possibly a
// second SIGTERM and a failure of the store.
func (r *row) drawSteps(random *rand.Rand) {
	names := slices.Sorted(maps.Keys(changes))
	last := time.Duration(0)
	for _, i := range random.Perm(len(names))[:random.IntN(4)] {
		at := between(random, -r.load*3/4, r.grace*3/4)
		if r.series && at > 0 {
			at = -at
		}
		r.drawn = append(r.drawn, fmt.Sprintf("%s at %v", names[i], at))
		r.steps = append(r.steps, step{at, changes[names[i]]})
		last = max(last, at)
	}
	if random.IntN(4) == 0 && !r.series {
		at := between(random, 0, r.grace*3/4)
		r.drawn = append(r.drawn, fmt.Sprintf("second SIGTERM at %v", at))
		r.steps = append(r.steps, step{at, sendSignal(syscall.SIGTERM)})
	}
	if f := pick(random, "", "", "", standin.StoreDown, standin.StoreSilent); f != "" && !r.restart {
		// It is the last step, since the others write to the store. A start needs the store.
		r.drawn = append(r.drawn, fmt.Sprintf("store %s at %v", f, last))
		r.steps = append(r.steps, step{last, failStore(f)})
	} else if random.IntN(3) == 0 {
		at := between(random, -r.load*3/4, 0)
		r.drawn = append(r.drawn, fmt.Sprintf("store back from a copy at %v", at))
		r.steps = append(r.steps, step{at, drill})
	}
}
