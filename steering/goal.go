package steering

import (
	"math"
	"time"

	"hickorydrum/declaration"
)

// Health is what an instance believes of one region for one service.
type Health struct {
	drained     bool
	dead        bool
	slots       int
	refused     int
	served      int
	utilization float64
}

// NewHealth returns the health of a region that has slots in all, of which the
// part busy is in use, and that served and refused requests since the last step.
func NewHealth(slots, served, refused int, busy float64) Health {
	return Health{slots: slots, served: served, refused: refused, utilization: busy}
}

// WithDrained returns the health with the region marked as drained.
func (h Health) WithDrained(drained bool) Health {
	h.drained = drained
	return h
}

// WithDead returns the health with the region marked as dead.
func (h Health) WithDead(dead bool) Health {
	h.dead = dead
	return h
}

func (h Health) usable() bool { return !h.drained && !h.dead && h.slots > 0 }

const (
	// overloadRefusedShare is the part of refused requests from which a region sheds.
	overloadRefusedShare = 0.01
	// returnUtilization is the part of busy slots under which a region takes back
	// what it had shed; the gap to a full region keeps moves from repeating.
	returnUtilization = 0.7
)

func (h Health) overloaded() bool {
	all := h.served + h.refused
	return all > 0 && float64(h.refused) > overloadRefusedShare*float64(all)
}

// Plan is where a flow should be served and the step that leads there.
type Plan struct {
	goal []float64
	step declaration.Step
}

// Goal returns the wanted share of each region.
func (p Plan) Goal() []float64 { return p.goal }

// Step returns the step that the move may take.
func (p Plan) Step() declaration.Step { return p.step }

// NewPlan decides where a flow should be served: at home while the home region
// is in order; elsewhere, in proportion to the free slots there, when it is
// drained or dead; and partly elsewhere while the home refuses requests.
func NewPlan(home int, health []Health, shares []float64, limit declaration.Cap) Plan {
	goal := make([]float64, len(health))
	h := health[home]
	if h.usable() {
		return homePlan(home, health, shares, limit, goal)
	}
	step := limit.Failure()
	if h.drained && !h.dead {
		step = limit.Planned()
	}
	if !spread(goal, home, health, 1) {
		copy(goal, shares) // nowhere to go: stay
	}
	return Plan{goal: goal, step: step}
}

func homePlan(home int, health []Health, shares []float64, limit declaration.Cap, goal []float64) Plan {
	h := health[home]
	away := 1 - shares[home]
	switch {
	case h.overloaded():
		away = math.Min(1, away+limit.Failure().Share())
		if away > 0 && spread(goal, home, health, away) {
			goal[home] = 1 - away
			return Plan{goal: goal, step: limit.Failure()}
		}
		copy(goal, shares)
		return Plan{goal: goal, step: limit.Failure()}
	case away > epsilon && h.utilization > returnUtilization && awayRegionsUsable(home, health, shares):
		copy(goal, shares) // neither pressed nor relaxed: stay
		return Plan{goal: goal, step: limit.Planned()}
	default:
		goal[home] = 1
		step := limit.Planned()
		if servedByDeadRegion(home, health, shares) {
			step = limit.Failure()
		}
		return Plan{goal: goal, step: step}
	}
}

// servedByDeadRegion reports whether a region that serves a part is dead.
func servedByDeadRegion(home int, health []Health, shares []float64) bool {
	for r, share := range shares {
		if r != home && share > epsilon && health[r].dead {
			return true
		}
	}
	return false
}

// awayRegionsUsable reports whether every region that serves a part is usable.
func awayRegionsUsable(home int, health []Health, shares []float64) bool {
	for r, share := range shares {
		if r != home && share > epsilon && !health[r].usable() {
			return false
		}
	}
	return true
}

// spread divides a share among the usable regions other than home by their free
// slots. It reports whether there was any.
func spread(goal []float64, home int, health []Health, share float64) bool {
	var free float64
	weight := make([]float64, len(health))
	for r, h := range health {
		if r == home || !h.usable() {
			continue
		}
		weight[r] = float64(h.slots) * math.Max(0.05, 1-h.utilization)
		if h.overloaded() {
			weight[r] *= 0.05
		}
		free += weight[r]
	}
	if free == 0 {
		return false
	}
	for r, w := range weight {
		goal[r] = share * w / free
	}
	return true
}

// MoveTime returns how long a cap makes the move of a share last at best.
func MoveTime(share float64, step declaration.Step) time.Duration {
	if step.Share() <= 0 {
		return math.MaxInt64
	}
	steps := math.Ceil(share/step.Share() - epsilon)
	return time.Duration(max(0, steps-1)) * step.Interval()
}
