package simulation

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/placement"
	"hickorydrum/planner"
)

// seeds is the number of runs of a pattern, each with its own seed.
const seeds = 3

// runSeeds simulates a pattern with several seeds.
func runSeeds(p *Pattern, opts ...planner.Option) []*Report {
	var out []*Report
	for seed := range uint64(seeds) {
		out = append(out, Run(p, seed, opts...))
	}
	return out
}

// worth returns the mean worth, over the reports, of the requests that started in the windows
// from from to to.
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

// TestPatterns guards against a low worth of the requests of a pattern, over the whole run and
// over the time after its disruption, when latencies must have recovered.
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
			continue // run once, by TestFleet
		}
		test, ok := tests[p.Name]
		if !ok {
			t.Errorf("the pattern %q has no bound", p.Name)
			continue
		}
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			reports := runSeeds(p)
			if got := worth(reports, 0, p.Length); got < test.whole {
				t.Errorf("worth %.3f, want %.2f", got, test.whole)
			}
			if got := worth(reports, test.from, p.Length); got < test.after {
				t.Errorf("worth %.3f from %s on, want %.2f", got, test.from, test.after)
			}
		})
	}
}

// TestFleet simulates two hundred instances that each see few requests. The region that is
// short of upstreams must send what it cannot serve to other regions, and instances must avoid
// upstreams that another instance of their failure domain reports as nearly saturated.
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
	// This bound is for the whole run, with the first seconds, in which there is no load state yet.
	if got := report.Regions["b"].Worth(); got < 0.6 {
		t.Errorf("the region that is short: worth %.3f, want 0.6", got)
	}
}

// TestRuns checks that two runs with the same seed have equal reports, and that a report
// counts every request once.
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

// TestShortRefusals has more requests arrive than can be served. Requests that cannot be
// served in time must be refused at once, so that the rest is answered in time, and no kind
// of request and no region may starve.
func TestShortRefusals(t *testing.T) {
	p := pattern(t, "short")
	patient := func(r placement.Request, candidates []placement.Candidate, costs placement.Costs) placement.Choice {
		r.Objective = time.Minute // no queue is too long
		return placement.Choose(r, candidates, costs)
	}
	refusing := runSeeds(p)
	with, without := worth(refusing, 0, p.Length), worth(runSeeds(p, planner.WithChoose(patient)), 0, p.Length)
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

// TestBudget checks the operators' bound on retries while upstreams refuse requests.
func TestBudget(t *testing.T) {
	for _, name := range []string{"busy", "short"} {
		t.Run(name, func(t *testing.T) {
			p := pattern(t, name)
			r := Run(p, 2)
			windows := float64(p.Length) / float64(p.RetryWindow)
			bound := p.RetryRatio*float64(r.All.Requests) + p.RetrySlack*float64(len(p.Services))*windows
			if float64(r.Retries) > bound {
				t.Errorf("%d retries for %d requests", r.Retries, r.All.Requests)
			}
		})
	}
}

// TestHomes checks that choosing upstreams by the home of the object gives the requests a
// higher worth than choosing the least busy upstream.
func TestHomes(t *testing.T) {
	p := pattern(t, "calm")
	homes, least := worth(runSeeds(p), 0, p.Length), worth(runSeeds(p, planner.WithChoose(LeastBusy)), 0, p.Length)
	if homes < least+0.1 {
		t.Errorf("worth %.3f with homes, %.3f without", homes, least)
	}
}

// TestLimited guards against requests that are refused, or late for long, while a limit of some
// upstreams leaves room at others, and against a service that stays worse after the limit ends.
func TestLimited(t *testing.T) {
	const begins, ends, recovered = 8 * time.Second, 22 * time.Second, 24 * time.Second
	p := Travellers()
	p.Load = 0.9
	p.Disruptions = []Disruption{{Kind: Limit, At: begins, Duration: ends - begins, Service: "packs", Share: 0.13, Factor: 7}}
	for seed := range uint64(seeds) {
		r := Run(p, seed)
		during, after := r.Between(begins, ends), r.Between(recovered, p.Length)
		if during.Refused > 0 || during.Worth() < 0.95 {
			t.Errorf("seed %d: %d refused and worth %.3f while limits are named", seed, during.Refused, during.Worth())
		}
		if after.Worth() < 0.95 {
			t.Errorf("seed %d: worth %.3f after them", seed, after.Worth())
		}
	}
}

// TestRightShares guards against instances that together hold more than the whole right to a
// cold upstream.
func TestRightShares(t *testing.T) {
	for _, p := range Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			for _, upstream := range p.Domains {
				sum := 0.0
				for i := range p.Domains {
					m := membership{p, &p.Domains[i]}
					sum += float64(p.Domains[i].Instances) * m.RightShare(upstream.Name, 1)
				}
				if math.Abs(sum-1) > 1e-9 {
					t.Errorf("the shares in an upstream of %s add up to %g, want 1", upstream.Name, sum)
				}
			}
		})
	}
}

// TestSharedMachines guards against paces by which requests are served worse than without: by leaving
// the home of their object for an upstream that is not warm, or by wrong service times.
func TestSharedMachines(t *testing.T) {
	t.Parallel()
	const tolerated = 0.02
	worthOf := func(reported bool) float64 {
		p := SharedMachines()
		p.Length, p.Spells.Reported = 10*time.Second, reported
		return worth([]*Report{Run(p, 1)}, 0, p.Length)
	}
	with, without := worthOf(true), worthOf(false)
	if with < without-tolerated {
		t.Errorf("worth %.3f with paces, %.3f without", with, without)
	}
}

// TestSpells guards against work that a spell slows down by more or less than its part in the spell.
func TestSpells(t *testing.T) {
	p := &Pattern{Spells: Spells{Factor: 2.5}}
	spells := []span{{100 * time.Millisecond, 350 * time.Millisecond}}
	tests := map[string]struct{ from, work, want time.Duration }{
		"before":  {0, 50 * time.Millisecond, 50 * time.Millisecond},
		"into":    {50 * time.Millisecond, 100 * time.Millisecond, 175 * time.Millisecond},
		"within":  {100 * time.Millisecond, 40 * time.Millisecond, 100 * time.Millisecond},
		"out of":  {300 * time.Millisecond, 50 * time.Millisecond, 80 * time.Millisecond},
		"through": {50 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond},
		"after":   {350 * time.Millisecond, 50 * time.Millisecond, 50 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			u := &upstream{simulator: &simulator{pattern: p, now: epoch.Add(test.from)}, spells: spells}
			if got := u.lasts(test.work); got != test.want {
				t.Errorf("lasts %s, want %s", got, test.want)
			}
		})
	}
}

// BenchmarkSharedPace reports the worth of requests after the first seconds with paces that are not
// reported, only known to the instance that got them, and shared with all others after a delay. It is
// the measurement in docs/design/pace.md.
func BenchmarkSharedPace(b *testing.B) {
	const from = 6 * time.Second
	tests := map[string]Spells{
		"not reported": {},
		"reported":     {Reported: true},
		"after 1ms":    {Reported: true, SharedAfter: time.Millisecond},
		"after 250ms":  {Reported: true, SharedAfter: 250 * time.Millisecond},
		"after 750ms":  {Reported: true, SharedAfter: 750 * time.Millisecond},
	}
	for name, test := range tests {
		b.Run(name, func(b *testing.B) {
			p := SharedMachines()
			p.Spells.Reported, p.Spells.SharedAfter = test.Reported, test.SharedAfter
			for b.Loop() {
				b.ReportMetric(worth(runSeeds(p), from, p.Length), "worth")
			}
		})
	}
}
