package load

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"hickorydrum/fleet"
)

// TestPaceSlowdown guards against a spell of 600 ms that is expected to last for ever, or for a
// request of seconds as for one of milliseconds, and against figures that are not plausible.
func TestPaceSlowdown(t *testing.T) {
	tests := map[string]struct {
		percents   int
		usual, age time.Duration
		want       float64
	}{
		"fresh":               {250, 10 * time.Millisecond, 0, 2.5},
		"half of the spell":   {250, 10 * time.Millisecond, 300 * time.Millisecond, 1.75},
		"spell over":          {250, 10 * time.Millisecond, 600 * time.Millisecond, 1},
		"long ago":            {250, 10 * time.Millisecond, time.Hour, 1},
		"from the future":     {250, 10 * time.Millisecond, -time.Second, 2.5},
		"longer than a spell": {250, 1800 * time.Millisecond, 0, 1.1},
		"its time not known":  {250, 0, 0, 2.5},
		"as usual":            {100, 10 * time.Millisecond, 0, 1},
		"faster":              {80, 10 * time.Millisecond, 0, 0.8},
		"none":                {0, 10 * time.Millisecond, 0, 1},
		"below 0":             {-250, 10 * time.Millisecond, 0, 1},
		"10000":               {10000, 10 * time.Millisecond, 0, 1},
		"1":                   {1, 10 * time.Millisecond, 0, 1},
		"the largest integer": {math.MaxInt, 10 * time.Millisecond, 0, 1},
		"the least integer":   {math.MinInt, 10 * time.Millisecond, 0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := newPace(test.percents, start).slowdown(test.usual, start.Add(test.age))
			if diff := cmp.Diff(test.want, got, cmpopts.EquateApprox(0, 1e-6)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPaceCorrect guards against a time that is corrected for longer than a spell lasts, and against
// one that a figure which is not plausible changes.
func TestPaceCorrect(t *testing.T) {
	tests := map[string]struct {
		percents   int
		took, want time.Duration
	}{
		"short":               {250, 100 * time.Millisecond, 40 * time.Millisecond},
		"longer than a spell": {250, 2 * time.Second, 1820 * time.Millisecond},
		"as usual":            {100, 100 * time.Millisecond, 100 * time.Millisecond},
		"faster":              {80, 100 * time.Millisecond, 125 * time.Millisecond},
		"none":                {0, 100 * time.Millisecond, 100 * time.Millisecond},
		"below 0":             {-100, 100 * time.Millisecond, 100 * time.Millisecond},
		"10000":               {10000, 100 * time.Millisecond, 100 * time.Millisecond},
		"no time":             {250, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := newPace(test.percents, start).correct(test.took)
			if diff := cmp.Diff(test.want, got, cmpopts.EquateApprox(0, float64(time.Microsecond))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// slowdownOf returns the slowdown of the only candidate.
func slowdownOf(tr *Tracker, v *fleet.View, now time.Time) float64 {
	r := request(1)
	r.Class = class
	candidates, _ := tr.Candidates(r, v.Service("list"), now)
	return candidates[0].Slowdown
}

// TestRecordPace guards against a pace that is not used, that is used when it is old, and that an
// older report or one that is not plausible replaces by something slow.
func TestRecordPace(t *testing.T) {
	tests := map[string]struct {
		record func(tr *Tracker)
		want   float64
	}{
		"none":         {func(*Tracker) {}, 1},
		"slow":         {func(tr *Tracker) { tr.RecordPace("u", 250, start) }, 2.5},
		"an older one": {func(tr *Tracker) { tr.RecordPace("u", 250, start); tr.RecordPace("u", 100, start.Add(-time.Second)) }, 2.5},
		"a newer one":  {func(tr *Tracker) { tr.RecordPace("u", 250, start.Add(-time.Second)); tr.RecordPace("u", 100, start) }, 1},
		"stale":        {func(tr *Tracker) { tr.RecordPace("u", 250, start.Add(-time.Second)) }, 1},
		"absurd":       {func(tr *Tracker) { tr.RecordPace("u", 10000, start) }, 1},
		"unknown":      {func(tr *Tracker) { tr.RecordPace("x", 250, start) }, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tr, v := trackerOf(upstream("u", "a-1", nil))
			test.record(tr)
			if diff := cmp.Diff(test.want, slowdownOf(tr, v, start), cmpopts.EquateApprox(0, 1e-6)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// learned is what a tracker learned of an upstream from a series of responses.
type learned struct {
	warm, hitRate, slowdown float64
}

// learn sends requests to an upstream that is warm for all of them, in spells of 600 ms at 2.5
// times the usual time for 15% of the time. paceOf returns the pace of a response.
func learn(t *testing.T, paceOf func(slow bool) int) learned {
	t.Helper()
	const usualTime, period, requests = 40 * time.Millisecond, 4 * time.Second, 2000
	tr, v := trackerOf(upstream("u", "a-1", nil))
	u, _ := v.Upstream("u")
	tr.roundTrips["a-1"] = 0
	random := rand.New(rand.NewPCG(1, 1))
	now, worst := start, 1.0
	for range requests {
		slow := now.Sub(start)%period < spell
		took := time.Duration(float64(usualTime) * (0.9 + 0.2*random.Float64()))
		if slow {
			took = time.Duration(float64(took) * 2.5)
		}
		now = now.Add(took)
		send(t, tr, u, Result{Outcome: Answered, Took: took, Pace: paceOf(slow), Object: uint64(random.IntN(20))}, now)
		worst = max(worst, tr.states["u"].slowdown)
	}
	warm, _ := tr.ServiceTimes("list", class)
	return learned{warm: float64(warm) / float64(usualTime), hitRate: tr.states["u"].hitRate, slowdown: worst}
}

// TestLearnInSpells guards against slow spells that are learned as a slow upstream, as a change of
// the service time or as objects for which the upstream is no longer warm.
func TestLearnInSpells(t *testing.T) {
	got := learn(t, func(slow bool) int {
		if slow {
			return 250
		}
		return 100
	})
	if math.Abs(got.warm-1) > 0.05 || got.hitRate < 0.98 || got.slowdown > 1.1 {
		t.Errorf("learned %+v", got)
	}
	without := learn(t, func(bool) int { return 0 })
	if without.hitRate > got.hitRate-0.2 {
		t.Errorf("learned %+v without a pace, so that the spells do not test the correction", without)
	}
	t.Logf("learned with a pace %+v, without %+v", got, without)
}

// TestLearnAbsurd guards against figures that are not plausible and change what is learned.
func TestLearnAbsurd(t *testing.T) {
	want := learn(t, func(bool) int { return 0 })
	for _, percents := range []int{-250, 1, 10000, math.MaxInt, math.MinInt} {
		got := learn(t, func(bool) int { return percents })
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(learned{})); diff != "" {
			t.Errorf("a pace of %d: %s", percents, diff)
		}
	}
}
