package hosted

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/memory"
	"hickorydrum/platform"
	"hickorydrum/server"
)

// The parts of the file descriptors that the connections of each server may take, one in so many for the small ones.
// Each request of a caller may need a connection to an upstream besides the caller's own, so that callers get less
// than half of what the other servers leave; the rest is for the store, other instances, listeners and files.
const (
	callersPart    = 0.375
	readinessPart  = 1.0 / 32
	lookupsPart    = 1.0 / 16
	instancesPart  = 1.0 / 16
	minConnections = 4 // of each server
)

// bounds are what each server and the bodies may take of the machine.
type bounds struct {
	shares memory.Shares
	bodies *memory.Budget
	heads  *memory.Budget // of callers' requests
	// callers, readiness, lookups and instances are how many connections the servers may have, 0 for no bound.
	callers, readiness, lookups, instances int
	limited                                bool // the settings have a limit
}

// newBounds returns the bounds for the limits in the settings.
func newBounds(l platform.Limits) bounds {
	b := bounds{shares: memory.NewShares(l.MemoryBytes), limited: l != platform.Limits{}}
	b.bodies, b.heads = b.shares.Bodies(), b.shares.Heads()
	of := func(part float64) int {
		if l.FileDescriptors == 0 {
			return 0
		}
		return max(minConnections, int(part*float64(l.FileDescriptors)))
	}
	b.callers, b.readiness, b.lookups, b.instances = of(callersPart), of(readinessPart), of(lookupsPart), of(instancesPart)
	if fit := b.shares.Connections(); fit > 0 && (b.callers == 0 || fit < b.callers) {
		b.callers = max(minConnections, fit)
	}
	return b
}

// of returns the limits of one server. The requests to servers that are not for callers are few and small, and
// do not share the budget of the callers' heads: they have room also when callers have used that up.
func (b *bounds) of(connections int, heads *memory.Budget) server.Limits {
	if !b.limited {
		return server.Limits{}
	}
	return server.Limits{
		Connections: connections, HeaderLines: server.DefaultHeaderLines, Heads: heads, MinRate: true,
	}
}

// MemoryLimit returns the limit for the Go runtime that the settings give, 0 if they give none.
func (i *Instance) MemoryLimit() int64 { return i.limits.shares.Runtime() }

// closeStalled gives up connections on which clients send too slowly, and sets the metrics of the budgets.
func (i *Instance) closeStalled(now time.Time) {
	for _, one := range i.servers.all() {
		one.CloseStalled(now)
	}
	showBudget("bodies", i.limits.bodies)
	showBudget("heads", i.limits.heads)
}

// showBudget sets the metrics of a budget, if there is one.
func showBudget(of string, b *memory.Budget) {
	if b == nil {
		return
	}
	metrics.GetOrCreateGauge(`hickorydrum_memory_budget_bytes{of="`+of+`"}`, nil).Set(float64(b.Size()))
	metrics.GetOrCreateGauge(`hickorydrum_memory_used_bytes{of="`+of+`"}`, nil).Set(float64(b.Used()))
}
