// Package simulation is a discrete-event simulation of a deployment under load. It runs the
// planners of all instances in virtual time and without a network. A pattern describes the
// callers of each region, whose load follows a wave, the upstreams with their slots, queues
// and caches of objects, and disruptions at set times.
package simulation

import "time"

// Domain is one failure domain.
type Domain struct {
	Name, Region string
	Instances    int
}

// Service is a service and its upstreams.
type Service struct {
	Name string
	// Upstreams is the number of upstreams by failure domain.
	Upstreams map[string]int
	Slots     int
	// Queue is the greatest number of requests that wait at one upstream.
	Queue int
	// CacheSize is the number of objects in the cache of one upstream. The upstream is warm
	// for an object in its cache.
	CacheSize int
}

// RequestKind describes the requests of one route.
type RequestKind struct {
	Name, Service string
	Idempotent    bool
	Priority      int
	// PerSecond is the mean rate of requests, summed over all regions.
	PerSecond float64
	// Objects is the number of objects that the callers of one region use.
	Objects int
	// ServiceTime is the mean time that a run takes at an upstream that is cold for the
	// object. WarmGain is the fraction of it that a warm upstream saves.
	ServiceTime time.Duration
	WarmGain    float64
	// Objective is the latency up to which a response is credited with Worth; a later one is
	// credited with Late.
	Objective   time.Duration
	Worth, Late float64
	// Timeout is the limit of one submission to an instance; Patience is how long the caller
	// waits in all, with resubmissions.
	Timeout, Patience time.Duration
	Bytes             int64 // size of the request's body
	MaxAttempts       int
}

// Account is a client account of the callers.
type Account struct {
	Name     string
	Priority int
	Share    float64 // fraction of the requests of each kind; the shares of all accounts add up to 1
	Rate     float64 // quota in requests a second, of which only the ratio to those of others counts
}

// Wave is the sine wave that the load of each region follows. The regions differ in phase.
type Wave struct {
	Amplitude float64 // as a fraction of the mean
	Period    time.Duration
}

// DisruptionKind is a kind of disruption.
type DisruptionKind string

// The kinds of disruption.
const (
	Slow    DisruptionKind = "slow"    // service times are multiplied by Factor
	Down    DisruptionKind = "down"    // upstreams cannot be reached, and their caches are lost; Factor is anything but 1
	Burst   DisruptionKind = "burst"   // the rate of requests is multiplied by Factor; Service is empty and Share above 0
	Limit   DisruptionKind = "limit"   // upstreams name a limit of Factor requests a second in their responses
	Restart DisruptionKind = "restart" // all instances restart at At without any state; the other fields do not apply
	// Impatient callers send a refused request again at once, Factor times instead of once.
	Impatient DisruptionKind = "impatient"
	// Reject has upstreams reject the fraction Factor of the requests, whether or not slots are free.
	Reject DisruptionKind = "reject"
)

// Disruption is a fault, a restart or a burst of load that starts at At.
type Disruption struct {
	Kind         DisruptionKind
	At, Duration time.Duration
	Service      string  // "" for all
	Requests     string  // kind of request that a burst affects, "" for all
	Account      string  // account that a burst affects, "" for all
	Share        float64 // fraction of the upstreams of each service that is affected
	Factor       float64
}

// Pattern is a deployment, its load and its disruptions.
type Pattern struct {
	Name     string
	Length   time.Duration
	Domains  []Domain
	Services []Service
	Kinds    []RequestKind
	Accounts []Account // none if requests need no key
	Wave     Wave
	// Load multiplies the rates of all kinds.
	Load        float64
	Disruptions []Disruption
	Spells      Spells
	// InDomain, CrossDomain, CrossRegion and ToCaller are one-way delays.
	InDomain, CrossDomain, CrossRegion, ToCaller time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries, as in planner.RetryBounds.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}

// regions returns the names of the regions, in order of their first failure domain.
func (p *Pattern) regions() []string {
	var out []string
	seen := make(map[string]bool)
	for _, d := range p.Domains {
		if !seen[d.Region] {
			seen[d.Region] = true
			out = append(out, d.Region)
		}
	}
	return out
}

// oneWay returns the one-way delay between two failure domains.
func (p *Pattern) oneWay(from, to *Domain) time.Duration {
	switch {
	case from.Name == to.Name:
		return p.InDomain
	case from.Region == to.Region:
		return p.CrossDomain
	default:
		return p.CrossRegion
	}
}

// burstFactor returns by how much the rate of a kind of request is multiplied for an account, which is
// nil if there are none.
func (p *Pattern) burstFactor(at time.Duration, kind string, account *Account) float64 {
	factor := 1.0
	for _, d := range p.Disruptions {
		if d.Kind == Burst && at >= d.At && at < d.At+d.Duration && (d.Requests == "" || d.Requests == kind) &&
			(d.Account == "" || account != nil && d.Account == account.Name) {
			factor *= d.Factor
		}
	}
	return factor
}

// disruptionFactor returns the product of the factors of the disruptions of a kind that
// are active at a time and affect the upstream of a service with the given rank.
func (p *Pattern) disruptionFactor(kind DisruptionKind, at time.Duration, service string, rank float64) float64 {
	factor := 1.0
	for _, d := range p.Disruptions {
		if d.Kind == kind && at >= d.At && at < d.At+d.Duration && (d.Service == "" || d.Service == service) && rank < d.Share {
			factor *= d.Factor
		}
	}
	return factor
}
