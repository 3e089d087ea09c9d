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
	// balanceInterval is how often the shares between regions are decided anew.
	balanceInterval = 500 * time.Millisecond
	millislots   = 1000
)

// balance tells the others the demand of this instance and takes in theirs.
func (i *Instance) balance(ctx context.Context) error {
	return period.Each(ctx, balanceInterval, func(now time.Time) {
		i.planner.Balance(balanceInterval, now, i.exchangeDemands)
	})
}

// encodeDemand returns a demand as the others are told it.
func encodeDemand(demand []planner.Demand) map[string]int {
	told := make(map[string]int, len(demand))
	for _, d := range demand {
		told[d.Service] = int(d.Slots * millislots)
	}
	return told
}

// encodeLoadReports returns crowded upstreams as the others are told of them: instants on the
// clock of the mesh.
func encodeLoadReports(crowds []load.Crowd) []gossip.Crowd {
	now, mesh := time.Now(), clock.Now()
	out := make([]gossip.Crowd, len(crowds))
	for n, c := range crowds {
		out[n] = gossip.Crowd{Key: c.Key, Busy: c.Busy, At: mesh.Add(c.At.Sub(now))}
	}
	return out
}

// receiveLoadReports takes in which upstreams another instance found crowded.
func (i *Instance) receiveLoadReports(crowds []gossip.Crowd) {
	now, mesh := time.Now(), clock.Now()
	out := make([]load.Crowd, len(crowds))
	for n, c := range crowds {
		out[n] = load.Crowd{Key: c.Key, Busy: c.Busy, At: now.Add(c.At.Sub(mesh))}
	}
	i.tracker.Hear(out)
}

// exchangeDemands returns the demand of each failure domain, this instance's own included.
func (i *Instance) exchangeDemands(own []planner.Demand) []planner.PlacedDemand {
	i.mesh.Tell(encodeDemand(own), encodeLoadReports(i.tracker.Crowded(time.Now())))
	return decodeDemands(i.mesh.Sums())
}

func decodeDemands(sums []gossip.Sum) []planner.PlacedDemand {
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
