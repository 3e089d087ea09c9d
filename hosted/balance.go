package hosted

import (
	"context"
	"maps"
	"slices"
	"time"

	"hickorydrum/gossip"
	"hickorydrum/ingress"
	"hickorydrum/period"
	"hickorydrum/platform"
)

// balanceEvery is how often the shares between regions are decided anew.
const balanceEvery = 500 * time.Millisecond

// balance tells the others the demand of this instance and takes in theirs.
func (i *Instance) balance(ctx context.Context) error {
	return period.Each(ctx, balanceEvery, func(time.Time) {
		demand := i.ingress.Balance(balanceEvery, i.demandByRegion)
		told := make([]gossip.Demand, len(demand))
		for n, d := range demand {
			told[n] = gossip.Demand(d)
		}
		i.mesh.SetDemand(told)
	})
}

// demandByRegion adds up the demand of all live instances, by service.
func (i *Instance) demandByRegion(own []ingress.Demand) map[string][]float64 {
	regions := regionNames(&i.settings)
	sum := make(map[string][]float64)
	add := func(region, service string, slots float64) {
		at := slices.Index(regions, region)
		if at < 0 {
			return
		}
		if sum[service] == nil {
			sum[service] = make([]float64, len(regions))
		}
		sum[service][at] += slots
	}
	for _, d := range own {
		add(i.settings.Region, d.Service, d.Slots)
	}
	for _, m := range i.mesh.Live() {
		if m.Name == i.settings.Name {
			continue
		}
		for _, d := range m.Demand {
			add(m.Region, d.Service, d.Slots)
		}
	}
	return sum
}

// regionNames returns the regions in the order of their names.
func regionNames(s *platform.Settings) []string {
	return slices.Compact(slices.Sorted(maps.Values(s.Regions)))
}
