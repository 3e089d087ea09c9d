package hosted

import (
	"context"
	"maps"
	"slices"
	"time"

	"hickorydrum/clock"
	"hickorydrum/gossip"
	"hickorydrum/load"
	"hickorydrum/period"
	"hickorydrum/planner"
	"hickorydrum/platform"
)

const (
	// balanceEvery is how often the shares between regions are decided anew.
	balanceEvery = 500 * time.Millisecond
	millislots   = 1000
)

// balance tells the others the demand of this instance and takes in theirs.
func (i *Instance) balance(ctx context.Context) error {
	return period.Each(ctx, balanceEvery, func(now time.Time) {
		i.planner.Balance(balanceEvery, now, i.demands)
	})
}

// tellDemand returns a demand as the others are told it.
func tellDemand(demand []planner.Demand) map[string]int {
	told := make(map[string]int, len(demand))
	for _, d := range demand {
		told[d.Service] = int(d.Slots * millislots)
	}
	return told
}

// tellCrowds returns crowded upstreams as the others are told of them: instants on the
// clock of the mesh.
func tellCrowds(crowds []load.Report) []gossip.LoadReport {
	now, mesh := time.Now(), clock.Now()
	out := make([]gossip.LoadReport, len(crowds))
	for n, c := range crowds {
		out[n] = gossip.LoadReport{Key: c.Key, Outstanding: c.Outstanding, At: mesh.Add(c.At.Sub(now))}
	}
	return out
}

// hearCrowds takes in which upstreams another instance found crowded.
func (i *Instance) hearCrowds(crowds []gossip.LoadReport) {
	now, mesh := time.Now(), clock.Now()
	out := make([]load.Report, len(crowds))
	for n, c := range crowds {
		out[n] = load.Report{Key: c.Key, Outstanding: c.Outstanding, At: now.Add(c.At.Sub(mesh))}
	}
	i.board.MergeReports(out)
}

// demands returns the demand of each failure domain, this instance's own included.
func (i *Instance) demands(own []planner.Demand) []planner.PlacedDemand {
	i.mesh.SetLoad(tellDemand(own), tellCrowds(i.board.RecentReports(time.Now())))
	return placeDemands(i.mesh.Summaries())
}

func placeDemands(sums []gossip.Summary) []planner.PlacedDemand {
	var out []planner.PlacedDemand
	for _, s := range sums {
		for service, told := range s.Demand {
			demand := planner.Demand{Service: service, Slots: float64(told) / millislots}
			out = append(out, planner.PlacedDemand{Demand: demand, Domain: s.Domain, Region: s.Region})
		}
	}
	return out
}

// regionNames returns the regions in the order of their names.
func regionNames(s *platform.Settings) []string {
	return slices.Compact(slices.Sorted(maps.Values(s.Regions)))
}
