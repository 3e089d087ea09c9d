package simulation

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/placement"
	"hickorydrum/planner"
)

// seeds is how often each pattern is played in a test.
const seeds = 3

// play plays a pattern with several seeds.
func play(p *Pattern, opts ...planner.Option) []*Report {
	var out []*Report
	for seed := range uint64(seeds) {
		out = append(out, Run(p, seed, opts...))
	}
	return out
}

// worth returns the mean worth of the requests that began within a span.
func worth(reports []*Report, from, to time.Duration) float64 {
	sum := 0.0
	for _, r := range reports {
		t := r.Between(from, to)
		sum += t.Worth()
	}
	return sum / float64(len(reports))
}

func pattern(t *testing.T, name string) *Pattern {
	t.Helper()
	p, ok := Find(name)
	if !ok {
		t.Fatalf("there is no pattern %q", name)
	}
	return p
}

// TestPatterns holds the worth of each pattern, and of the time after its trouble: the
// services must become quick again.
func TestPatterns(t *testing.T) {
	tests := map[string]struct {
		whole, after float64
		from         time.Duration
	}{
		"calm":    {whole: 0.93, after: 0.98, from: 10 * time.Second},
		"busy":    {whole: 0.80, after: 0.95, from: 20 * time.Second},
		"slow":    {whole: 0.85, after: 0.95, from: 22 * time.Second},
		"burst":   {whole: 0.88, after: 0.95, from: 20 * time.Second},
		"restart": {whole: 0.88, after: 0.95, from: 22 * time.Second},
		"short":   {whole: 0.80, after: 0.92, from: 16 * time.Second},
	}
	for _, p := range Patterns() {
		if p.Name == "fleet" {
			continue // played once, in a test of its own
		}
		test, ok := tests[p.Name]
		if !ok {
			t.Errorf("the pattern %q has no bound", p.Name)
			continue
		}
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			reports := play(p)
			if got := worth(reports, 0, p.Length); got < test.whole {
				t.Errorf("worth %.3f, want %.2f", got, test.whole)
			}
			if got := worth(reports, test.from, p.Length); got < test.after {
				t.Errorf("worth %.3f from %s on, want %.2f", got, test.from, test.after)
			}
		})
	}
}

// TestFleet plays two hundred instances that each see little: the region that is short of
// upstreams sends away what it cannot serve, and upstreams that one instance finds crowded
// are left alone by those beside it.
func TestFleet(t *testing.T) {
	t.Parallel()
	const from = 10 * time.Second
	p := Fleet()
	p.Length = 16 * time.Second
	report := Run(p, 1)
	if got := report.Between(from, p.Length); got.Worth() < 0.9 {
		t.Errorf("worth %.3f from %s on, want 0.9", got.Worth(), from)
	}
	for kind, want := range map[string]float64{"read": 0.8, "order": 0.7, "upload": 0.75} {
		if got := report.Kinds[kind].Worth(); got < want {
			t.Errorf("%s: worth %.3f, want %.2f", kind, got, want)
		}
	}
	// The worst region of the whole play, with its first seconds in which nothing is known.
	if got := report.Regions["b"].Worth(); got < 0.6 {
		t.Errorf("the region that is short: worth %.3f, want 0.6", got)
	}
}

// TestRuns plays one pattern twice with the same seed, and counts every request once.
func TestRuns(t *testing.T) {
	p := pattern(t, "burst")
	first, second := Run(p, 5), Run(p, 5)
	if diff := cmp.Diff(first, second, cmp.AllowUnexported(Tally{})); diff != "" {
		t.Errorf("two runs differ: %s", diff)
	}
	sums := make(map[string]int)
	for _, one := range first.Kinds {
		sums["kinds"] += one.Requests
	}
	for _, one := range first.Regions {
		sums["regions"] += one.Requests
	}
	for _, one := range first.Windows {
		sums["windows"] += one.Requests
	}
	all := first.All.Requests
	if diff := cmp.Diff(map[string]int{"kinds": all, "regions": all, "windows": all}, sums); diff != "" {
		t.Error(diff)
	}
	if a := first.All; a.InTime+a.Late+a.Refused+a.Failed != all {
		t.Errorf("%d requests, %+v", all, a)
	}
}

// TestShortRefusals has more requests come than can be served: what cannot be served in
// time is refused at once, so that the rest is quick, and no kind or region starves.
func TestShortRefusals(t *testing.T) {
	p := pattern(t, "short")
	patient := func(d placement.Request, options []placement.Candidate, costs placement.Costs) placement.Choice {
		d.Objective = time.Minute // no queue is too long
		return placement.Choose(d, options, costs)
	}
	refusing := play(p)
	with, without := worth(refusing, 0, p.Length), worth(play(p, planner.WithChoose(patient)), 0, p.Length)
	if with < without+0.03 {
		t.Errorf("worth %.3f with refusals, %.3f without", with, without)
	}
	r := refusing[0]
	for name, kind := range r.Kinds {
		if served := kind.InTime + kind.Late; served*10 < kind.Requests*9 {
			t.Errorf("of %d requests of %s %d are served", kind.Requests, name, served)
		}
	}
	for name, region := range r.Regions {
		if served := region.InTime + region.Late; served*10 < region.Requests*9 {
			t.Errorf("of %d requests of region %s %d are served", region.Requests, name, served)
		}
	}
}

// TestBudget holds the operators' bound on repeats while upstreams refuse.
func TestBudget(t *testing.T) {
	for _, name := range []string{"busy", "short"} {
		t.Run(name, func(t *testing.T) {
			p := pattern(t, name)
			r := Run(p, 2)
			windows := float64(p.Length) / float64(p.RetryWindow)
			bound := p.RetryRatio*float64(r.All.Requests) + p.RetrySlack*float64(len(p.Services))*windows
			if float64(r.Retries) > bound {
				t.Errorf("%d repeats of %d requests", r.Retries, r.All.Requests)
			}
		})
	}
}

// TestHomes compares homes of objects with the upstream that has the least requests.
func TestHomes(t *testing.T) {
	p := pattern(t, "calm")
	homes, least := worth(play(p), 0, p.Length), worth(play(p, planner.WithChoose(LeastBusy)), 0, p.Length)
	if homes < least+0.1 {
		t.Errorf("worth %.3f with homes, %.3f without", homes, least)
	}
}
