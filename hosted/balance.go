package hosted

import (
	"context"
	"maps"
	"slices"
	"time"

	"hickorydrum/gossip"
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
		demand := i.planner.Balance(balanceEvery, now, i.demands)
		told := make([]gossip.Demand, len(demand))
		for n, d := range demand {
			told[n] = gossip.Demand{Service: d.Service, Millislots: int(d.Slots * millislots)}
		}
		i.mesh.Tell(told, i.follower.newest())
		for _, m := range i.mesh.Live() {
			i.follower.news(m.Newest)
		}
	})
}

// demands returns the demand of all live instances.
func (i *Instance) demands(own []planner.Demand) []planner.PlacedDemand {
	var out []planner.PlacedDemand
	for _, d := range own {
		out = append(out, planner.PlacedDemand{Demand: d, Domain: i.settings.Domain, Region: i.settings.Region})
	}
	for _, m := range i.mesh.Live() {
		if m.Name == i.settings.Name {
			continue
		}
		for _, d := range m.Demand {
			demand := planner.Demand{Service: d.Service, Slots: float64(d.Millislots) / millislots}
			out = append(out, planner.PlacedDemand{Demand: demand, Domain: m.Domain, Region: m.Region})
		}
	}
	return out
}

// regionNames returns the regions in the order of their names.
func regionNames(s *platform.Settings) []string {
	return slices.Compact(slices.Sorted(maps.Values(s.Regions)))
}
