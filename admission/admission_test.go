package admission

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/placement"
)

var near = cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 1e-9 })

// shortened returns the default bounds times a factor.
func shortened(factor float64, reason placement.Reason) placement.Bounds {
	b := placement.DefaultBounds()
	return placement.Bounds{MeanWait: factor * b.MeanWait, Wait: factor * b.Wait, Reason: reason}
}

// TestBounds guards against bounds that let less urgent requests, or an account above its fair part,
// fill the queues, and against shorter bounds where nothing is preferred to the request.
func TestBounds(t *testing.T) {
	usual := placement.DefaultBounds()
	tests := map[string]struct {
		standing Standing
		want     placement.Bounds
	}{
		"nothing known":             {Standing{}, usual},
		"the only priority":         {Standing{Ranks: 1, Objective: time.Second}, usual},
		"the most urgent":           {Standing{Ranks: 3, Objective: time.Second}, usual},
		"between":                   {Standing{Rank: 1, Ranks: 3, UrgentRejected: 0.2}, shortened(0.7, placement.ReasonUrgency)},
		"the least urgent":          {Standing{Rank: 2, Ranks: 3, UrgentRejected: 0.2}, shortened(0.4, placement.ReasonUrgency)},
		"a longer objective":        {Standing{Rank: 1, Ranks: 2, Objective: 4 * time.Second, UrgentObjective: time.Second, UrgentRejected: 0.2}, shortened(0.1, placement.ReasonUrgency)},
		"a shorter objective":       {Standing{Rank: 1, Ranks: 2, Objective: time.Second, UrgentObjective: 4 * time.Second, UrgentRejected: 0.2}, shortened(0.4, placement.ReasonUrgency)},
		"an account at its part":    {Standing{Ranks: 1, Excess: 1}, usual},
		"an account above it":       {Standing{Ranks: 1, Excess: 2}, shortened(0.5, placement.ReasonAccount)},
		"an account far above it":   {Standing{Ranks: 1, Excess: 20}, shortened(0.3, placement.ReasonAccount)},
		"less urgent, and above":    {Standing{Rank: 1, Ranks: 2, Excess: 2, UrgentRejected: 0.2}, shortened(0.2, placement.ReasonUrgency)},
		"no urgent one is rejected": {Standing{Rank: 1, Ranks: 2}, usual},
		"few urgent are rejected":   {Standing{Rank: 1, Ranks: 2, UrgentRejected: 0.05}, shortened(0.7, placement.ReasonUrgency)},
		"neglected":                 {Standing{Rank: 1, Ranks: 2, Neglected: true}, usual},
		"a neglected account":       {Standing{Ranks: 1, Excess: 3, Neglected: true}, usual},
		"less urgent, above a bit":  {Standing{Rank: 1, Ranks: 2, Excess: 0.5, UrgentRejected: 0.2}, shortened(0.4, placement.ReasonUrgency)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.standing.Bounds(), near); diff != "" {
				t.Error(diff)
			}
		})
	}
}
