package steering

import (
	"math"
	"time"

	"hickorydrum/declaration"
)

// Health is the state of one region for one service, as one instance sees it.
type Health struct {
	drained     bool
	dead        bool
	slots       int
	refused     int
	served      int
	utilization float64
}

// NewHealth returns the health of a region. utilization is the fraction of its slots
// that is in use; served and refused count recent requests.
func NewHealth(slots, served, refused int, utilization float64) Health {
	return Health{slots: slots, served: served, refused: refused, utilization: utilization}
}

// WithDrained returns a copy that says whether the region is drained.
func (h Health) WithDrained(drained bool) Health {
	h.drained = drained
	return h
}

// WithDead returns a copy that says whether the region is dead.
func (h Health) WithDead(dead bool) Health {
	h.dead = dead
	return h
}

func (h Health) usable() bool { return !h.drained && !h.dead && h.slots > 0 }

const (
	// overloadRefusedShare is the share of refused requests above which a region is
	// overloaded and sheds traffic.
	overloadRefusedShare = 0.01
	// returnUtilization is the utilization up to which a region takes back traffic
	// that it shed. The gap to full utilization prevents oscillation.
	returnUtilization = 0.7
)

func (h Health) overloaded() bool {
	all := h.served + h.refused
	return all > 0 && float64(h.refused) > overloadRefusedShare*float64(all)
}

// Plan is the goal of a flow and the limit of the steps towards it.
type Plan struct {
	goal []float64
	step declaration.Step
}

// Goal returns the wanted share of each region.
func (p Plan) Goal() []float64 { return p.goal }

// Step returns the limit of one step towards the goal.
func (p Plan) Step() declaration.Step { return p.step }

// NewPlan decides which regions should serve a flow: the home region while it is
// usable; the others, in proportion to their free slots, when it is drained, dead or
// without slots; and partly the others while the home region refuses requests.
// health and shares are indexed by region; shares are those in force.
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
		copy(goal, shares) // no other region is usable: move nothing
	}
	return Plan{goal: goal, step: step}
}

// homePlan returns the plan of a flow whose home region is usable. It fills goal,
// which is all zero.
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
		copy(goal, shares) // too busy to take traffic back, not overloaded: move nothing
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

// servedByDeadRegion reports whether a dead region other than home serves a share.
func servedByDeadRegion(home int, health []Health, shares []float64) bool {
	for r, share := range shares {
		if r != home && share > epsilon && health[r].dead {
			return true
		}
	}
	return false
}

// awayRegionsUsable reports whether every region other than home that serves a
// share is usable.
func awayRegionsUsable(home int, health []Health, shares []float64) bool {
	for r, share := range shares {
		if r != home && share > epsilon && !health[r].usable() {
			return false
		}
	}
	return true
}

// spread divides a share among the usable regions other than home in proportion to
// their free slots and stores the result in goal. It returns false if there is no
// such region.
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

// MoveTime returns the shortest time in which steps of the given limit move a share.
func MoveTime(share float64, step declaration.Step) time.Duration {
	if step.Share() <= 0 {
		return math.MaxInt64
	}
	steps := math.Ceil(share/step.Share() - epsilon)
	return time.Duration(max(0, steps-1)) * step.Interval()
}
