package hosted

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/clock"
	"hickorydrum/interval"
	"hickorydrum/limit"
	"hickorydrum/load"
)

const (
	// limitsInterval is how often limits are exchanged with other instances.
	limitsInterval = 250 * time.Millisecond
	// endedFor is how long the end of a limit is sent to other instances.
	endedFor = 10 * time.Second
)

// exchangeLimits exchanges what is known of the limits of upstreams with the other
// instances, every limitsInterval until the context is done.
func (i *Instance) exchangeLimits(ctx context.Context) error {
	shown := make(map[string]bool)
	return interval.Each(ctx, limitsInterval, func(time.Time) {
		now, clockNow := time.Now(), clock.Now()
		limits := i.tracker.Limits(now.Add(-endedFor), now)
		states, demands := make([]limit.State, len(limits)), make([]limit.Demand, len(limits))
		for n, one := range limits {
			states[n], demands[n] = shiftState(one.State, now, clockNow), one.Demand
		}
		states = i.mesh.ExchangeLimits(states, demands)
		i.receiveLimits(states)
		showLimits(limits, shown)
	})
}

// shiftState returns a state whose times are by the clock that shows to, instead of the one
// that shows from at the same moment. Package load uses that of package time, package gossip
// that of package clock.
func shiftState(s limit.State, from, to time.Time) limit.State {
	s.NamedAt = to.Add(s.NamedAt.Sub(from))
	if !s.FractionAt.IsZero() {
		s.FractionAt = to.Add(s.FractionAt.Sub(from))
	}
	return s
}

// receiveLimits applies the limits that other instances know, and logs those that changed.
func (i *Instance) receiveLimits(states []limit.State) {
	now, clockNow := time.Now(), clock.Now()
	own := make([]limit.State, len(states))
	for n := range states {
		own[n] = shiftState(states[n], clockNow, now)
	}
	for _, changed := range i.tracker.MergeLimits(own) {
		i.ingress.LogLimit(changed.Upstream, &changed.State, slog.Bool("by_peer", true))
	}
}

// limitMetrics are the metrics of a limit, by name.
var limitMetrics = map[string]func(one *load.Limit) float64{
	"limit":    func(one *load.Limit) float64 { return one.State.PerSecond },
	"fraction": func(one *load.Limit) float64 { return one.State.Fraction },
	"offered":  func(one *load.Limit) float64 { return one.Demand.Offers.Mean },
	"sent":     func(one *load.Limit) float64 { return one.Demand.Sent },
}

// showLimits sets the metrics of the limits in force, and removes those of others. shown
// holds the upstreams that have metrics.
func showLimits(limits []load.Limit, shown map[string]bool) {
	ended := maps.Clone(shown)
	for n := range limits {
		one := &limits[n]
		if !one.State.InForce {
			continue
		}
		shown[one.Upstream] = true
		delete(ended, one.Upstream)
		for name, value := range limitMetrics {
			metrics.GetOrCreateGauge(limitMetric(name, one.Upstream), nil).Set(value(one))
		}
	}
	for upstream := range ended {
		delete(shown, upstream)
		for name := range limitMetrics {
			metrics.UnregisterMetric(limitMetric(name, upstream))
		}
	}
}

func limitMetric(name, upstream string) string {
	return fmt.Sprintf("hickorydrum_limit_%s{upstream=%q}", name, upstream)
}
