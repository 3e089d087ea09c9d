package hosted

import (
	"context"
	"maps"
	"slices"
	"time"

	"hickorydrum/clock"
	"hickorydrum/gossip"
	"hickorydrum/interval"
	"hickorydrum/load"
	"hickorydrum/planner"
	"hickorydrum/platform"
)

const (
	// sharesInterval is how often the shares of the regions are computed.
	sharesInterval = 500 * time.Millisecond
	// millislots is the number of units in a slot: instances exchange demand in thousandths.
	millislots = 1000
)

// updateShares computes the shares of the regions from the demand of all instances, every
// sharesInterval until the context is done.
func (i *Instance) updateShares(ctx context.Context) error {
	return interval.Each(ctx, sharesInterval, func(now time.Time) {
		i.planner.UpdateShares(sharesInterval, now, i.exchangeDemands)
	})
}

// encodeDemand returns the demand by service, in thousandths of a slot, as sent to other
// instances.
func encodeDemand(demand []planner.Demand) map[string]int {
	demandMillislots := make(map[string]int, len(demand))
	for _, d := range demand {
		demandMillislots[d.Service] = int(d.Slots * millislots)
	}
	return demandMillislots
}

// encodeLoadReports returns the load of nearly saturated upstreams as sent to other instances.
// It converts the times, which package load takes from package time, to those of package
// clock, which package gossip uses.
func encodeLoadReports(reports []load.Report) []gossip.LoadReport {
	now, clockNow := time.Now(), clock.Now()
	out := make([]gossip.LoadReport, len(reports))
	for n, r := range reports {
		out[n] = gossip.LoadReport{Key: r.Key, Outstanding: r.Outstanding, At: clockNow.Add(r.At.Sub(now))}
	}
	return out
}

// receiveLoadReports passes the load of nearly saturated upstreams that another instance sent
// to the load tracker, with the times converted from those of package clock to those of package
// time.
func (i *Instance) receiveLoadReports(reports []gossip.LoadReport) {
	now, clockNow := time.Now(), clock.Now()
	out := make([]load.Report, len(reports))
	for n, r := range reports {
		out[n] = load.Report{Key: r.Key, Outstanding: r.Outstanding, At: now.Add(r.At.Sub(clockNow))}
	}
	i.tracker.MergeReports(out)
}

// exchangeDemands sets the demand and the load reports that the next heartbeats of this
// instance carry, and returns the total demand in each failure domain, by service. That of
// this instance is included.
func (i *Instance) exchangeDemands(own []planner.Demand) []planner.DomainDemand {
	i.mesh.SetLoad(encodeDemand(own), encodeLoadReports(i.tracker.RecentReports(time.Now())))
	return decodeDemands(i.mesh.Summaries())
}

// decodeDemands returns the demands in the summaries of the failure domains.
func decodeDemands(summaries []gossip.Summary) []planner.DomainDemand {
	var out []planner.DomainDemand
	for _, s := range summaries {
		for service, demandMillislots := range s.Demand {
			demand := planner.Demand{Service: service, Slots: float64(demandMillislots) / millislots}
			out = append(out, planner.DomainDemand{Demand: demand, Domain: s.Domain, Region: s.Region})
		}
	}
	return out
}

// regionNames returns the distinct regions of the settings, sorted.
func regionNames(s *platform.Settings) []string {
	return slices.Compact(slices.Sorted(maps.Values(s.Regions)))
}
