package simulation

import (
	"fmt"
	"math"
	"time"

	"hickorydrum/placement"
)

// A day with its wave of load and its disruptions is compressed to about half a minute.
const (
	dayLength  = 32 * time.Second
	wavePeriod = 36 * time.Second
)

// Travellers returns the pattern of a deployment with many reads and some purchases, in
// which one of three regions has a seventh of the upstreams.
func Travellers() *Pattern {
	return &Pattern{
		Name: "travellers", Length: dayLength, Load: 1, Wave: Wave{Amplitude: 0.55, Period: wavePeriod},
		Domains: []Domain{
			{Name: "a-1", Region: "a", Instances: 2},
			{Name: "a-2", Region: "a", Instances: 1},
			{Name: "b-1", Region: "b", Instances: 2},
			{Name: "b-2", Region: "b", Instances: 1},
			{Name: "c-1", Region: "c", Instances: 2},
			{Name: "c-2", Region: "c", Instances: 1},
		},
		Services: []Service{
			{
				Name: "packs", Slots: 6, Queue: 18, CacheSize: 66,
				Upstreams: map[string]int{"a-1": 1, "a-2": 1, "b-1": 3, "b-2": 3, "c-1": 4, "c-2": 4},
			},
			{
				Name: "sales", Slots: 3, Queue: 9, CacheSize: 28,
				Upstreams: map[string]int{"a-1": 1, "a-2": 1, "b-1": 2, "b-2": 2, "c-1": 3, "c-2": 3},
			},
		},
		Kinds: []RequestKind{
			{
				Name: "pull", Service: "packs", Idempotent: true, Priority: 2, PerSecond: 363, Objects: 90,
				ServiceTime: 360 * time.Millisecond, WarmGain: 0.7, Objective: 300 * time.Millisecond, Worth: 1, Late: 0.2,
				Timeout: 800 * time.Millisecond, Patience: 2 * time.Second, Bytes: 0, MaxAttempts: 2,
			},
			{
				Name: "purchase", Service: "sales", Priority: 1, PerSecond: 108, Objects: 27,
				ServiceTime: 480 * time.Millisecond, WarmGain: 0.7, Objective: 400 * time.Millisecond, Worth: 2, Late: 0.4,
				Timeout: time.Second, Patience: 2500 * time.Millisecond, Bytes: 300, MaxAttempts: 2,
			},
		},
		InDomain: 100 * time.Microsecond, CrossDomain: 500 * time.Microsecond, CrossRegion: 35 * time.Millisecond,
		ToCaller: 3 * time.Millisecond, RetryRatio: 0.2, RetrySlack: 58, RetryWindow: 10 * time.Second,
	}
}

// Fleet returns the pattern of a deployment of two hundred instances and nine hundred
// upstreams, of which one of three regions has a tenth. An instance sees few requests for
// each object, they take seconds, and the uploads have large bodies.
func Fleet() *Pattern {
	p := &Pattern{
		Name: "fleet", Length: 24 * time.Second, Load: 0.65, Wave: Wave{Amplitude: 0.55, Period: wavePeriod},
		InDomain: 100 * time.Microsecond, CrossDomain: 1400 * time.Microsecond, CrossRegion: 20 * time.Millisecond,
		ToCaller: 8 * time.Millisecond, RetryRatio: 0.2, RetrySlack: 430, RetryWindow: 10 * time.Second,
		Services: []Service{
			{Name: "catalogue", Slots: 5, Queue: 15, CacheSize: 12, Upstreams: make(map[string]int)},
			{Name: "ledger", Slots: 5, Queue: 15, CacheSize: 9, Upstreams: make(map[string]int)},
			{Name: "intake", Slots: 5, Queue: 15, CacheSize: 10, Upstreams: make(map[string]int)},
		},
		Kinds: []RequestKind{
			{
				Name: "read", Service: "catalogue", Idempotent: true, Priority: 2, PerSecond: 1675, Objects: 130,
				ServiceTime: 1776 * time.Millisecond, WarmGain: 0.75, Objective: time.Second, Worth: 1, Late: 0.2,
				Timeout: 2500 * time.Millisecond, Patience: 8 * time.Second, MaxAttempts: 2,
			},
			{
				Name: "order", Service: "ledger", Priority: 1, PerSecond: 520, Objects: 40,
				ServiceTime: 2304 * time.Millisecond, WarmGain: 0.75, Objective: 1200 * time.Millisecond, Worth: 2, Late: 0.4,
				Timeout: 3 * time.Second, Patience: 10 * time.Second, Bytes: 1200, MaxAttempts: 2,
			},
			{
				Name: "upload", Service: "intake", Priority: 1, PerSecond: 176, Objects: 13,
				ServiceTime: 2112 * time.Millisecond, WarmGain: 0.75, Objective: 1200 * time.Millisecond, Worth: 2, Late: 0.4,
				Timeout: 8 * time.Second, Patience: 8 * time.Second, Bytes: 60 << 10, MaxAttempts: 2,
			},
		},
	}
	upstreams := map[string][]int{"a": {96, 39, 12}, "b": {20, 8, 2}, "c": {80, 32, 10}}
	for _, region := range []string{"a", "b", "c"} {
		for _, domain := range []string{"1", "2", "3"} {
			name := region + "-" + domain
			p.Domains = append(p.Domains, Domain{Name: name, Region: region, Instances: 21})
			for i, n := range upstreams[region] {
				p.Services[i].Upstreams[name] = n
			}
		}
	}
	return p
}

// SharedMachines returns the pattern of a deployment of 33 instances and 232 upstreams whose machines
// other work slows down for some 600 ms at a time, 15% of the time.
func SharedMachines() *Pattern {
	p := &Pattern{
		Name: "shared", Length: 24 * time.Second, Load: 1, Wave: Wave{Amplitude: 0.55, Period: wavePeriod},
		InDomain: 100 * time.Microsecond, CrossDomain: time.Millisecond, CrossRegion: 20 * time.Millisecond,
		ToCaller: 5 * time.Millisecond, RetryRatio: 0.2, RetrySlack: 230, RetryWindow: 10 * time.Second,
		Spells: Spells{Length: 600 * time.Millisecond, Share: 0.15, Factor: 2.5, Reported: true},
		Services: []Service{
			{Name: "prices", Slots: 4, Queue: 12, CacheSize: 30, Upstreams: make(map[string]int)},
			{Name: "packs", Slots: 4, Queue: 12, CacheSize: 30, Upstreams: make(map[string]int)},
			{Name: "sales", Slots: 4, Queue: 12, CacheSize: 20, Upstreams: make(map[string]int)},
		},
		Kinds: []RequestKind{
			{
				Name: "check", Service: "prices", Idempotent: true, Priority: 1, PerSecond: 900, Objects: 500,
				ServiceTime: 400 * time.Millisecond, WarmGain: 0.7, Objective: 250 * time.Millisecond, Worth: 1, Late: 0.2,
				Timeout: 800 * time.Millisecond, Patience: 2 * time.Second, MaxAttempts: 2,
			},
			{
				Name: "pull", Service: "packs", Idempotent: true, Priority: 2, PerSecond: 800, Objects: 450,
				ServiceTime: 360 * time.Millisecond, WarmGain: 0.7, Objective: 300 * time.Millisecond, Worth: 1, Late: 0.2,
				Timeout: 800 * time.Millisecond, Patience: 2 * time.Second, MaxAttempts: 2,
			},
			{
				Name: "purchase", Service: "sales", Priority: 1, PerSecond: 300, Objects: 150,
				ServiceTime: 480 * time.Millisecond, WarmGain: 0.7, Objective: 400 * time.Millisecond, Worth: 2, Late: 0.4,
				Timeout: time.Second, Patience: 2500 * time.Millisecond, Bytes: 300, MaxAttempts: 2,
			},
		},
	}
	upstreams := map[string][]int{"a": {20, 16, 8}, "b": {44, 36, 16}, "c": {42, 34, 16}}
	for _, region := range []string{"a", "b", "c"} {
		for number, instances := range []int{6, 5} {
			name := fmt.Sprintf("%s-%d", region, number+1)
			p.Domains = append(p.Domains, Domain{Name: name, Region: region, Instances: instances})
			for i, n := range upstreams[region] {
				p.Services[i].Upstreams[name] = n / 2
			}
		}
	}
	return p
}

// Find returns the pattern with the given name, and whether there is one.
func Find(name string) (*Pattern, bool) {
	for _, p := range Patterns() {
		if p.Name == name {
			return p, true
		}
	}
	return nil, false
}

// LeastBusy chooses the upstream with the fewest outstanding requests per slot, whatever
// the object. It is the baseline that other policies are compared with.
func LeastBusy(_ placement.Request, candidates []placement.Candidate, _ placement.Costs) placement.Choice {
	choice := placement.Choice{Index: -1, Reason: placement.ReasonNone}
	least := math.Inf(1)
	for i, c := range candidates {
		if utilization := c.Outstanding / float64(c.Slots); utilization < least {
			least, choice = utilization, placement.Choice{Index: i, Reason: placement.ReasonFree}
		}
	}
	return choice
}

// Patterns returns all named patterns: the deployment of Travellers at several loads and
// with the disruptions that occur under high load, and Fleet.
func Patterns() []*Pattern {
	calm := Travellers()
	calm.Name, calm.Load = "calm", 0.66
	busy := Travellers()
	busy.Name, busy.Load = "busy", 1.3
	busy.Disruptions = []Disruption{{Kind: Down, At: 11 * time.Second, Duration: 4 * time.Second, Share: 0.22, Factor: 2}}
	slow := Travellers()
	slow.Name, slow.Load = "slow", 1.07
	slow.Disruptions = []Disruption{{Kind: Slow, At: 10 * time.Second, Duration: 9 * time.Second, Service: "packs", Share: 0.4, Factor: 12}}
	burst := Travellers()
	burst.Name = "burst"
	burst.Disruptions = []Disruption{{Kind: Burst, At: 12 * time.Second, Duration: 4 * time.Second, Share: 1, Factor: 1.7}}
	restart := Travellers()
	restart.Name = "restart"
	restart.Disruptions = []Disruption{{Kind: Restart, At: 16 * time.Second}}
	short := Travellers()
	short.Name, short.Load = "short", 1.34
	short.Services[0].Upstreams = map[string]int{"a-1": 1, "a-2": 1, "b-1": 2, "b-2": 1, "c-1": 4, "c-2": 4}
	short.Services[1].Upstreams = map[string]int{"a-1": 1, "a-2": 1, "b-1": 1, "b-2": 1, "c-1": 3, "c-2": 3}
	short.Disruptions = []Disruption{{Kind: Burst, At: 10 * time.Second, Duration: 3 * time.Second, Share: 1, Factor: 1.5}}
	return []*Pattern{calm, busy, slow, burst, restart, short, Fleet()}
}
