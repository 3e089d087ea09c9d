package simulation

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hickorydrum/dispatch"
	"hickorydrum/fleet"
	"hickorydrum/load"
	"hickorydrum/planner"
	"hickorydrum/route"
)

const (
	balanceEvery = 500 * time.Millisecond
	tick         = 10 * time.Millisecond
	// gossipDelay is how long what one instance tells takes to all of its failure domain.
	gossipDelay = 750 * time.Millisecond
)

var epoch = time.Unix(1_000_000, 0)

// instance is one instance, without its network.
type instance struct {
	domain  *Domain
	board   *load.Tracker
	planner *planner.Planner
	demand  []planner.Demand
}

// crowd is all instances, as one of them knows them.
type crowd struct{ pattern *Pattern }

// Count returns how many instances there are.
func (c crowd) Count(region string) (inRegion, all int) {
	for _, d := range c.pattern.Domains {
		all += d.Instances
		if d.Region == region {
			inRegion += d.Instances
		}
	}
	return inRegion, all
}

// Part returns the part of a right: every instance of the region has the same.
func (c crowd) RightShare(domain string, _ uint64) float64 {
	for _, d := range c.pattern.Domains {
		if d.Name == domain {
			inRegion, _ := c.Count(d.Region)
			return 1 / float64(inRegion)
		}
	}
	return 0
}

// event is something that happens at an instant.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is a pattern that is being played.
type world struct {
	pattern *Pattern
	regions []string // in the order of the callers' numbers
	options []planner.Option
	random  *rand.Rand
	now     time.Time
	queue   events
	order   int

	table     *route.Table
	routes    map[string]*route.Route
	view      *fleet.View
	workers   map[string]*worker
	instances []*instance
	report    *Report
}

// Run plays a pattern and reports what became of its requests. The options change
// the planners, so that policies can be compared.
func Run(p *Pattern, seed uint64, opts ...planner.Option) *Report {
	w := &world{
		pattern: p, regions: p.regions(), options: opts, random: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		routes: make(map[string]*route.Route), workers: make(map[string]*worker), report: newReport(p),
	}
	w.build()
	w.start()
	w.after(0, w.arrivals)
	w.after(balanceEvery, w.balance)
	for _, t := range p.Troubles {
		if t.Kind == Restart {
			w.after(t.At, w.start)
		}
	}
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	return w.report
}

func (w *world) elapsed() time.Duration { return w.now.Sub(epoch) }

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now.Add(max(0, d)), order: w.order, do: do})
}

// build makes the configuration and the upstreams.
func (w *world) build() {
	var routes []*route.Route
	var services []route.Service
	for i := range w.pattern.Kinds {
		k := &w.pattern.Kinds[i]
		r := &route.Route{
			Name: k.Name, Host: "h", Prefix: "/" + k.Name + "/", Idempotent: k.Idempotent, Sticky: true, Priority: k.Priority,
			Objective: k.Objective, Timeout: k.Timeout, MaxAttempts: k.MaxAttempts,
			Targets: []route.Target{{Service: k.Service, Weight: 1}},
		}
		w.routes[k.Name] = r
		routes = append(routes, r)
	}
	regions := make(map[string]string)
	var upstreams []fleet.Upstream
	for i := range w.pattern.Services {
		s := &w.pattern.Services[i]
		services = append(services, route.Service{Name: s.Name})
		upstreams = append(upstreams, w.employ(s, regions)...)
	}
	w.table = route.NewTable(1, route.Limits{}, routes, services)
	w.view = fleet.NewView(upstreams, nil, regions)
	for id, one := range w.workers {
		one.entry, _ = w.view.Upstream(id)
	}
}

// employ makes the upstreams of a service.
func (w *world) employ(s *Service, regions map[string]string) []fleet.Upstream {
	var out []fleet.Upstream
	total := 0
	for _, n := range s.Upstreams {
		total += n
	}
	order := w.random.Perm(total)
	for i := range w.pattern.Domains {
		d := &w.pattern.Domains[i]
		regions[d.Name] = d.Region
		for range s.Upstreams[d.Name] {
			id := fmt.Sprintf("%s-%d", s.Name, len(out))
			part := (float64(order[len(out)]) + 0.5) / float64(total)
			w.workers[id] = &worker{world: w, service: s, domain: d, part: part}
			out = append(out, fleet.Upstream{ID: id, Service: s.Name, Address: id, Domain: d.Name, Slots: s.Slots, StartMillis: 1})
		}
	}
	return out
}

// start starts every instance anew.
func (w *world) start() {
	regions := slices.Sorted(slices.Values(w.regions))
	w.instances = nil
	for i := range w.pattern.Domains {
		d := &w.pattern.Domains[i]
		for range d.Instances {
			board := load.NewTracker(d.Name, d.Region, regions, func(u *fleet.Upstream) *dispatch.Dialer {
				return dispatch.NewDialer(u.Address)
			})
			board.ApplyView(w.view, true, func(string) time.Duration { return 0 }, w.now)
			for j := range w.pattern.Domains {
				board.ObserveDial(w.pattern.Domains[j].Name, 2*w.pattern.oneWay(d, &w.pattern.Domains[j]))
			}
			place := planner.Location{Domain: d.Name, Region: d.Region, Regions: regions}
			bounds := planner.RetryBounds{Ratio: w.pattern.RetryRatio, Slack: w.pattern.RetrySlack, Window: w.pattern.RetryWindow}
			p := planner.New(place, board, crowd{w.pattern}, bounds, w.options...)
			p.SetTable(w.table)
			p.SetView(w.view)
			w.instances = append(w.instances, &instance{domain: d, board: board, planner: p})
		}
	}
	for _, one := range w.instances {
		one.planner.UpdateShares(balanceEvery, w.now, func([]planner.Demand) []planner.InstanceDemand { return nil })
	}
}

// balance has every instance take in the demand that the others told before.
func (w *world) balance() {
	type place struct{ domain, service string }
	sums := make(map[place]*planner.InstanceDemand)
	var told []planner.InstanceDemand
	for _, one := range w.instances {
		for _, d := range one.demand {
			at := place{one.domain.Name, d.Service}
			if sums[at] == nil {
				sums[at] = &planner.InstanceDemand{Domain: one.domain.Name, Region: one.domain.Region}
				sums[at].Service = d.Service
			}
			sums[at].Slots += d.Slots
		}
	}
	for _, sum := range sums {
		told = append(told, *sum)
	}
	slices.SortFunc(told, func(a, b planner.InstanceDemand) int {
		return cmp.Or(strings.Compare(a.Domain, b.Domain), strings.Compare(a.Service, b.Service))
	})
	w.gossip()
	for _, one := range w.instances {
		one.demand = one.planner.UpdateShares(balanceEvery, w.now, func([]planner.Demand) []planner.InstanceDemand { return told })
	}
	if w.elapsed() < w.pattern.Length {
		w.after(balanceEvery, w.balance)
	}
}

// gossip has every instance tell those of its failure domain which upstreams are crowded.
func (w *world) gossip() {
	for _, one := range w.instances {
		crowds := one.board.RecentReports(w.now)
		if len(crowds) == 0 {
			continue
		}
		w.after(gossipDelay, func() {
			for _, other := range w.instances {
				if other.domain == one.domain && other != one {
					other.board.MergeReports(crowds)
				}
			}
		})
	}
}

// arrivals draws the requests of one tick.
func (w *world) arrivals() {
	regions := w.regions
	for i := range w.pattern.Kinds {
		k := &w.pattern.Kinds[i]
		for region := range regions {
			phase := float64(region)/float64(len(regions)) + float64(w.elapsed())/float64(w.pattern.Wave.Period)
			rate := w.pattern.Load * k.PerSecond / float64(len(regions)) * (1 + w.pattern.Wave.Swing*math.Sin(2*math.Pi*phase))
			rate *= w.pattern.troubled(Burst, w.elapsed(), "", 0)
			for range w.poisson(rate * tick.Seconds()) {
				w.call(k, region)
			}
		}
	}
	if w.elapsed()+tick < w.pattern.Length {
		w.after(tick, w.arrivals)
	}
}

// call has a caller of a region send a request.
func (w *world) call(k *Kind, region int) {
	object := uint64(region*k.Objects+w.random.IntN(k.Objects))*0x9e3779b97f4a7c15 + 1
	begun := w.now.Add(time.Duration(w.random.Int64N(int64(tick))))
	c := &call{world: w, kind: k, region: region, object: object, begunAt: begun}
	w.after(begun.Sub(w.now)+w.pattern.ToCaller, c.arrive)
}

// poisson draws from the distribution with the mean.
func (w *world) poisson(mean float64) int {
	n, p, limit := 0, w.random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= w.random.Float64()
	}
	return n
}

// pick returns an instance of a region.
func (w *world) pick(region int) *instance {
	name := w.regions[region]
	var near []*instance
	for _, one := range w.instances {
		if one.domain.Region == name {
			near = append(near, one)
		}
	}
	return near[w.random.IntN(len(near))]
}

// note counts what became of a request.
func (w *world) note(c *call, o outcome) {
	w.count(c, o, 1)
	w.report.Repeats += max(0, c.sends-1)
	c.outcome = o
}

// open takes back what was noted of a request: its caller comes back.
func (w *world) open(c *call) { w.count(c, c.outcome, -1) }

func (w *world) count(c *call, o outcome, by int) {
	latency := w.now.Sub(c.begunAt) + w.pattern.ToCaller
	window := min(len(w.report.Windows)-1, int(c.begunAt.Sub(epoch)/windowLength))
	for _, t := range []*Tally{
		&w.report.All, w.report.Kinds[c.kind.Name], w.report.Regions[w.regions[c.region]], w.report.Windows[window],
	} {
		t.count(c, o, latency, by)
	}
}
