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
	// balanceInterval is how often the shares of traffic between regions are computed.
	sharesInterval = 500 * time.Millisecond
	// millislots is the number of units in a slot: instances exchange demand in thousandths.
	millislots = 1000
)

// balance computes the shares of traffic between regions from the demand of all instances.
func (i *Instance) updateShares(ctx context.Context) error {
	return period.Each(ctx, sharesInterval, func(now time.Time) {
		i.planner.UpdateShares(sharesInterval, now, i.exchangeDemands)
	})
}

// encodeDemand returns a demand in millislots by service, as sent to other instances.
func encodeDemand(demand []planner.Demand) map[string]int {
	slots := make(map[string]int, len(demand))
	for _, d := range demand {
		slots[d.Service] = int(d.Slots * millislots)
	}
	return slots
}

// encodeLoadReports returns the load of nearly saturated upstreams as sent to other instances,
// with its times converted to the clock of the mesh.
func encodeLoadReports(reports []load.Report) []gossip.LoadReport {
	now, mesh := time.Now(), clock.Now()
	out := make([]gossip.LoadReport, len(reports))
	for n, r := range reports {
		out[n] = gossip.LoadReport{Key: r.Key, Outstanding: r.Outstanding, At: mesh.Add(r.At.Sub(now))}
	}
	return out
}

// receiveLoadReports passes the load of nearly saturated upstreams that another instance
// observed to the load tracker, with its times converted to the local clock.
func (i *Instance) receiveLoadReports(reports []gossip.LoadReport) {
	now, mesh := time.Now(), clock.Now()
	out := make([]load.Report, len(reports))
	for n, r := range reports {
		out[n] = load.Report{Key: r.Key, Outstanding: r.Outstanding, At: now.Add(r.At.Sub(mesh))}
	}
	i.tracker.MergeReports(out)
}

// exchangeDemands sends the demand and the load reports of this instance to the others, and
// returns the demand of each failure domain, this instance's included.
func (i *Instance) exchangeDemands(own []planner.Demand) []planner.InstanceDemand {
	i.mesh.SetLoad(encodeDemand(own), encodeLoadReports(i.tracker.RecentReports(time.Now())))
	return decodeDemands(i.mesh.Summaries())
}

// decodeDemands returns the demands in the summaries of the failure domains.
func decodeDemands(sums []gossip.Summary) []planner.InstanceDemand {
	var out []planner.InstanceDemand
	for _, s := range sums {
		for service, slots := range s.Demand {
			demand := planner.Demand{Service: service, Slots: float64(slots) / millislots}
			out = append(out, planner.InstanceDemand{Demand: demand, Domain: s.Domain, Region: s.Region})
		}
	}
	return out
}

// regionNames returns the distinct regions of the settings, sorted.
func regionNames(s *platform.Settings) []string {
	return slices.Compact(slices.Sorted(maps.Values(s.Regions)))
}
