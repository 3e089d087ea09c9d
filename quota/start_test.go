package quota

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/account"
)

var (
	self            = netip.AddrFrom4([4]byte{10})
	reporterAddress = netip.AddrFrom4([4]byte{11})
	approximate     = cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 0.01 })
)

// TestStart guards against a bucket that an instance begins after its start and that holds what may have been admitted before.
func TestStart(t *testing.T) {
	extra := testTerms.extra(Quota{Rate: 10, Burst: 20})
	tests := map[string]struct {
		after  time.Duration
		level  float64
		counts bool
	}{
		"at the start":         {0, -extra, false},
		"a little later":       {time.Second, 10 - extra, false},
		"when it is full":      {3500 * time.Millisecond, 20, true},
		"a window later":       {5 * time.Second, 20, true},
		"when it knows others": {countTime, 20 - extra, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := NewStart(epoch), epoch.Add(test.after)
			got := []any{s.level(Quota{Rate: 10, Burst: 20}, testTerms, now), s.counts(now)}
			if diff := cmp.Diff([]any{test.level, test.counts}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestGateAfterStart guards against an instance that has just started and admits or rejects requests of an account by what
// it does not know.
func TestGateAfterStart(t *testing.T) {
	one := &account.Account{Name: "a", Rate: 10, Burst: 5}
	const instances, offered = 5, 40
	state := func(fraction, room float64) *State {
		return &State{At: epoch, Fraction: fraction, Room: room, Offered: 10}
	}
	ended, end := context.WithCancel(context.Background())
	end()
	tests := map[string]struct {
		answer *State // after waited
		waited time.Duration
		ctx    context.Context
		// waiting, admitted and rejected are what becomes of the requests.
		waiting, admitted, rejected int
	}{
		"no answer yet":            {nil, 500 * time.Millisecond, context.Background(), 25, 0, 15},
		"no answer in time":        {nil, 500 * time.Millisecond, ended, 0, 0, 40},
		"no answer, with a part":   {nil, 1600 * time.Millisecond, context.Background(), 24, 1, 15},
		"no answer at all":         {nil, 2500 * time.Millisecond, context.Background(), 0, 1, 39},
		"an answer at once":        {state(1, 8), 100 * time.Millisecond, context.Background(), 0, 8, 32},
		"little room":              {state(1, 0.5), 100 * time.Millisecond, context.Background(), 0, 2, 38},
		"a late answer":            {state(1, 8), 1500 * time.Millisecond, context.Background(), 0, 8, 32},
		"a late answer, over":      {state(0.5, 8), 1500 * time.Millisecond, context.Background(), 0, 0, 40},
		"an answer with a debt":    {state(0.5, -8), 100 * time.Millisecond, context.Background(), 0, 0, 40},
		"an answer, after a while": {state(1, 100), 100 * time.Millisecond, context.Background(), 0, 25, 15},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewGate(testTerms, func() int { return instances }, rand.New(rand.NewPCG(1, 1)), NewStart(epoch))
			waiting, admitted, rejected := 0, 0, 0
			count := func(d Decision) {
				switch {
				case d.Answered != nil:
					waiting++
				case d.Admitted:
					admitted++
				default:
					rejected++
				}
			}
			for range offered {
				count(g.Admit(one, epoch))
			}
			g.Reports(epoch)
			now := epoch.Add(test.waited)
			if test.answer != nil {
				test.answer.Key, test.answer.At = one.Hash(), now
				g.Apply([]Answer{{State: *test.answer}}, now)
			}
			again := waiting
			waiting = 0
			for range again {
				count(g.Decide(test.ctx, one, now))
			}
			if diff := cmp.Diff([]int{test.waiting, test.admitted, test.rejected}, []int{waiting, admitted, rejected}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestHolderAfterStart guards against a holder that starts again and does not know what its bucket holds, though an instance
// that reports does.
func TestHolderAfterStart(t *testing.T) {
	known := func(room float64) State {
		return State{Key: 1, At: epoch.Add(-time.Second), Holder: self, Fraction: 1, Room: room}
	}
	q := Quota{Rate: 10, Burst: 40}
	extra := testTerms.extra(q)
	tests := map[string]struct {
		known State
		want  float64 // room after two seconds
	}{
		"nothing is known":            {State{}, 20},
		"the state of its last run":   {known(5), 35},
		"a debt of its last run":      {known(-50), -20},
		"it was full":                 {known(40 + extra), 40 + extra},
		"the state is of long before": {State{Key: 1, At: epoch.Add(-time.Minute), Holder: self, Fraction: 1, Room: 40}, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := NewHolder(self, rand.New(rand.NewPCG(1, 1)), NewStart(epoch))
			h.SetQuotas(nil, testTerms)
			scope := Scope{Whole: true, Part: 1}
			var got float64
			for at := time.Second; at <= 2*time.Second; at += 100 * time.Millisecond {
				h.Record(reporterAddress, &Report{Key: 1, Quota: q, Run: 1, Known: test.known}, epoch.Add(at))
				if a, ok := h.Answer(1, reporterAddress, scope, epoch.Add(at)); ok {
					got = a.State.Room
				}
			}
			if diff := cmp.Diff(test.want, got, approximate); diff != "" {
				t.Error(diff)
			}
		})
	}
}
