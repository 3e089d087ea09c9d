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

	"github.com/cespare/xxhash/v2"

	"hickorydrum/account"
	"hickorydrum/dispatch"
	"hickorydrum/fleet"
	"hickorydrum/limit"
	"hickorydrum/load"
	"hickorydrum/planner"
	"hickorydrum/route"
)

const (
	shareInterval = 500 * time.Millisecond
	tick          = 10 * time.Millisecond
	// gossipDelay is how long a load report takes to reach all instances of the failure domain.
	gossipDelay = 750 * time.Millisecond
	// spellsAfter is how long after the last request slow spells still begin.
	spellsAfter = 10 * time.Second
)

var epoch = time.Unix(1_000_000, 0)

// instance is the planner and the load tracker of one simulated instance.
type instance struct {
	domain  *Domain
	tracker *load.Tracker
	planner *planner.Planner
	demand  []planner.Demand
}

// membership implements planner.Instances for one simulated instance. All instances of the
// pattern count as running.
type membership struct {
	pattern *Pattern
	domain  *Domain // of the instance
}

// Count returns the number of instances in a region and in all regions.
func (m membership) Count(region string) (inRegion, all int) {
	for _, d := range m.pattern.Domains {
		all += d.Instances
		if d.Region == region {
			inRegion += d.Instances
		}
	}
	return inRegion, all
}

// RightShare returns the share of a right, such as the request rate of a cold upstream in the
// failure domain, that the instance holds: equal parts for the instances of the domain's region,
// nothing for the others.
func (m membership) RightShare(domain string, _ uint64) float64 {
	inOwnRegion := func(d Domain) bool { return d.Name == domain && d.Region == m.domain.Region }
	if !slices.ContainsFunc(m.pattern.Domains, inOwnRegion) {
		return 0
	}
	inRegion, _ := m.Count(m.domain.Region)
	return 1 / float64(inRegion)
}

// event is a function to run at a point in virtual time. Events at the same time run in the
// order in which they were scheduled.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
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

// simulator is the state of one simulation.
type simulator struct {
	pattern *Pattern
	regions []string // a caller's region is an index into it
	options []planner.Option
	seed    uint64
	random  *rand.Rand
	now     time.Time
	queue   events
	seq     int

	table     *route.Table
	routes    map[string]*route.Route
	accounts  map[string]*account.Account
	view      *fleet.View
	upstreams map[string]*upstream
	instances []*instance
	holder    *limit.Holder
	report    *Report
}

// Run simulates a pattern and returns the outcomes of its requests. The options apply to
// all planners, so that policies can be compared. The same seed gives the same report.
func Run(p *Pattern, seed uint64, opts ...planner.Option) *Report {
	s := &simulator{
		pattern: p, regions: p.regions(), options: opts, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		routes: make(map[string]*route.Route), accounts: make(map[string]*account.Account), upstreams: make(map[string]*upstream), report: newReport(p),
		holder: limit.NewHolder(instanceAddress(0)),
	}
	s.build()
	s.startInstances()
	s.after(0, s.generateRequests)
	s.after(shareInterval, s.updateShares)
	for _, d := range p.Disruptions {
		if d.Kind == Restart {
			s.after(d.At, s.startInstances)
		}
	}
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	return s.report
}

func (s *simulator) elapsed() time.Duration { return s.now.Sub(epoch) }

func (s *simulator) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(max(0, d)), seq: s.seq, run: run})
}

// build creates the route table and the upstreams.
func (s *simulator) build() {
	var routes []*route.Route
	var services []route.Service
	for i := range s.pattern.Kinds {
		k := &s.pattern.Kinds[i]
		r := &route.Route{
			Name: k.Name, Host: "h", Prefix: "/" + k.Name + "/", Idempotent: k.Idempotent, Sticky: true, Priority: k.Priority,
			Objective: k.Objective, Timeout: k.Timeout, MaxAttempts: k.MaxAttempts,
			Targets: []route.Target{{Service: k.Service, Weight: 1}},
		}
		s.routes[k.Name] = r
		routes = append(routes, r)
	}
	for _, a := range s.pattern.Accounts {
		s.accounts[a.Name] = &account.Account{Name: a.Name, Priority: a.Priority, Rate: a.Rate}
	}
	regions := make(map[string]string)
	var upstreams []fleet.Upstream
	for i := range s.pattern.Services {
		svc := &s.pattern.Services[i]
		services = append(services, route.Service{Name: svc.Name})
		upstreams = append(upstreams, s.newUpstreams(svc, regions)...)
	}
	s.table = route.NewTable(1, route.Limits{}, routes, services)
	s.view = fleet.NewView(upstreams, nil, regions)
	for id, u := range s.upstreams {
		u.entry, _ = s.view.Upstream(id)
	}
}

// newUpstreams creates the upstreams of a service, and adds the regions of all failure
// domains to regions.
func (s *simulator) newUpstreams(svc *Service, regions map[string]string) []fleet.Upstream {
	var out []fleet.Upstream
	total := 0
	for _, n := range svc.Upstreams {
		total += n
	}
	ranks := s.random.Perm(total)
	for i := range s.pattern.Domains {
		d := &s.pattern.Domains[i]
		regions[d.Name] = d.Region
		for range svc.Upstreams[d.Name] {
			id := fmt.Sprintf("%s-%d", svc.Name, len(out))
			rank := (float64(ranks[len(out)]) + 0.5) / float64(total)
			// The spells have a random source of their own, so that they are the same with every policy.
			spells := s.pattern.Spells.draw(s.pattern.Length+spellsAfter, rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(id))))
			s.upstreams[id] = &upstream{simulator: s, service: svc, domain: d, rank: rank, spells: spells}
			out = append(out, fleet.Upstream{ID: id, Service: svc.Name, Address: id, Domain: d.Name, Slots: svc.Slots, StartMillis: 1})
		}
	}
	return out
}

// startInstances replaces all instances by new ones that have no load state yet.
func (s *simulator) startInstances() {
	regions := slices.Sorted(slices.Values(s.regions))
	s.instances = nil
	for i := range s.pattern.Domains {
		d := &s.pattern.Domains[i]
		for range d.Instances {
			tracker := load.NewTracker(d.Name, d.Region, regions, func(u *fleet.Upstream) *dispatch.Dialer {
				return dispatch.NewDialer(u.Address)
			})
			tracker.ApplyView(s.view, true, func(string) time.Duration { return 0 }, s.now)
			for j := range s.pattern.Domains {
				tracker.ObserveDial(s.pattern.Domains[j].Name, 2*s.pattern.oneWay(d, &s.pattern.Domains[j]))
			}
			location := planner.Location{Domain: d.Name, Region: d.Region, Regions: regions}
			retryBounds := planner.RetryBounds{Ratio: s.pattern.RetryRatio, Slack: s.pattern.RetrySlack, Window: s.pattern.RetryWindow}
			p := planner.New(location, tracker, membership{s.pattern, d}, retryBounds, s.options...)
			p.SetTable(s.table)
			p.SetView(s.view)
			s.instances = append(s.instances, &instance{domain: d, tracker: tracker, planner: p})
		}
	}
	for _, inst := range s.instances {
		inst.planner.UpdateShares(shareInterval, s.now, func([]planner.Demand) []planner.DomainDemand { return nil })
	}
}

// updateShares gives every instance the demand that all instances reported in the previous
// round, summed by failure domain and service, and has it update its shares.
func (s *simulator) updateShares() {
	type key struct{ domain, service string }
	sums := make(map[key]*planner.DomainDemand)
	var demands []planner.DomainDemand
	for _, inst := range s.instances {
		for _, d := range inst.demand {
			k := key{inst.domain.Name, d.Service}
			if sums[k] == nil {
				sums[k] = &planner.DomainDemand{Domain: inst.domain.Name, Region: inst.domain.Region}
				sums[k].Service = d.Service
			}
			sums[k].Slots += d.Slots
		}
	}
	for _, sum := range sums {
		demands = append(demands, *sum)
	}
	slices.SortFunc(demands, func(a, b planner.DomainDemand) int {
		return cmp.Or(strings.Compare(a.Domain, b.Domain), strings.Compare(a.Service, b.Service))
	})
	s.gossip()
	s.exchangeLimits()
	for _, inst := range s.instances {
		inst.demand = inst.planner.UpdateShares(shareInterval, s.now, func([]planner.Demand) []planner.DomainDemand { return demands })
	}
	if s.elapsed() < s.pattern.Length {
		s.after(shareInterval, s.updateShares)
	}
}

// gossip sends the load reports of every instance, about nearly saturated upstreams, to the
// other instances of its failure domain.
func (s *simulator) gossip() {
	for _, inst := range s.instances {
		reports := inst.tracker.RecentReports(s.now)
		if len(reports) == 0 {
			continue
		}
		s.after(gossipDelay, func() {
			for _, other := range s.instances {
				if other.domain == inst.domain && other != inst {
					other.tracker.MergeReports(reports)
				}
			}
		})
	}
}

// generateRequests draws the requests of one tick from a Poisson distribution.
func (s *simulator) generateRequests() {
	regions := s.regions
	for i := range s.pattern.Kinds {
		k := &s.pattern.Kinds[i]
		for region := range regions {
			phase := float64(region)/float64(len(regions)) + float64(s.elapsed())/float64(s.pattern.Wave.Period)
			rate := s.pattern.Load * k.PerSecond / float64(len(regions)) * (1 + s.pattern.Wave.Amplitude*math.Sin(2*math.Pi*phase))
			if len(s.pattern.Accounts) == 0 {
				s.generate(k, region, nil, rate)
			}
			for i := range s.pattern.Accounts {
				a := &s.pattern.Accounts[i]
				s.generate(k, region, a, rate*a.Share)
			}
		}
	}
	if s.elapsed()+tick < s.pattern.Length {
		s.after(tick, s.generateRequests)
	}
}

// generate draws the requests of one kind and account, which is nil if there are none, in one tick.
func (s *simulator) generate(k *RequestKind, region int, a *Account, rate float64) {
	rate *= s.pattern.burstFactor(s.elapsed(), k.Name, a)
	for range s.poisson(rate * tick.Seconds()) {
		s.call(k, region, a)
	}
}

// call sends a request for a random object from a caller of a region, at a random time
// within the tick.
func (s *simulator) call(k *RequestKind, region int, a *Account) {
	object := uint64(region*k.Objects+s.random.IntN(k.Objects))*0x9e3779b97f4a7c15 + 1
	started := s.now.Add(time.Duration(s.random.Int64N(int64(tick))))
	c := &call{simulator: s, kind: k, region: region, object: object, startedAt: started}
	if a != nil {
		c.account = s.accounts[a.Name]
	}
	s.after(started.Sub(s.now)+s.pattern.ToCaller, c.arrive)
}

// poisson draws a number from the Poisson distribution with the given mean.
func (s *simulator) poisson(mean float64) int {
	n, p, limit := 0, s.random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= s.random.Float64()
	}
	return n
}

// pickInstance returns a random instance of a region.
func (s *simulator) pickInstance(region int) *instance {
	name := s.regions[region]
	var local []*instance
	for _, inst := range s.instances {
		if inst.domain.Region == name {
			local = append(local, inst)
		}
	}
	return local[s.random.IntN(len(local))]
}

// record counts the outcome of a call.
func (s *simulator) record(c *call, o outcome) {
	s.count(c, o, 1)
	s.report.Retries += max(0, c.sends-1)
	c.outcome = o
}

// retract subtracts the outcome of a call that its caller resubmits. It must run at the time
// of the outcome, since the latency is computed from the current time.
func (s *simulator) retract(c *call) { s.count(c, c.outcome, -1) }

func (s *simulator) count(c *call, o outcome, delta int) {
	latency := s.now.Sub(c.startedAt) + s.pattern.ToCaller
	window := min(len(s.report.Windows)-1, int(c.startedAt.Sub(epoch)/windowLength))
	tallies := []*Tally{
		&s.report.All, s.report.Kinds[c.kind.Name], s.report.Regions[s.regions[c.region]], s.report.Windows[window],
	}
	if c.account != nil {
		tallies = append(tallies, s.report.Accounts[c.account.Name])
	}
	for _, t := range tallies {
		t.count(c, o, latency, delta)
	}
}
