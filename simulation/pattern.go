// Package simulation plays a pattern of load against the decisions of instances, in
// virtual time and without a network: callers in regions that come in waves, upstreams
// with slots, queues and a memory for objects, and troubles at set times.
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
	// Upstreams counts them by failure domain.
	Upstreams map[string]int
	Slots     int
	// Queue is how many requests wait at one upstream at most.
	Queue int
	// CacheSize is how many objects one upstream knows at a time.
	CacheSize int
}

// RequestKind is a kind of request.
type RequestKind struct {
	Name, Service string
	Idempotent    bool
	Priority      int
	// PerSecond is the mean rate over all regions.
	PerSecond float64
	// Objects is how many objects the callers of each region use.
	Objects int
	// ServiceTime is how long a run takes at an upstream that does not know the object, and
	// Gain is the part of it that is saved at one that does.
	ServiceTime time.Duration
	WarmGain float64
	// Objective is the latency within which an answer earns Worth; later it earns Late.
	Objective   time.Duration
	Worth, LateWorth float64
	// Timeout and Patience are how long the route and the caller wait.
	Timeout, Patience time.Duration
	Bytes             int64
	MaxAttempts       int
}

// Wave is how the load of a region swings about its mean.
type Wave struct {
	Amplitude  float64 // part of the mean
	Period time.Duration
}

// DisruptionKind names what goes wrong.
type DisruptionKind string

// The troubles.
const (
	Slow    DisruptionKind = "slow"    // upstreams take Times as long
	Down    DisruptionKind = "down"    // upstreams cannot be reached, and know nothing afterwards
	Burst   DisruptionKind = "burst"   // Times as many requests come
	Restart DisruptionKind = "restart" // every instance starts anew
)

// Disruption is one trouble at a set time.
type Disruption struct {
	Kind    DisruptionKind
	At, Duration time.Duration
	Service string // "" means all
	Share   float64
	Factor   float64
}

// Pattern is a deployment, its load and its troubles.
type Pattern struct {
	Name     string
	Length   time.Duration
	Domains  []Domain
	Services []Service
	Kinds    []RequestKind
	Wave     Wave
	// Load multiplies the rates of all kinds.
	Load     float64
	Disruptions []Disruption
	// InDomain, CrossDomain, CrossRegion and ToCaller are one-way delays.
	InDomain, CrossDomain, CrossRegion, ToCaller time.Duration
	RetryRatio, RetrySlack                       float64
	RetryWindow                                  time.Duration
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

// oneWay returns the delay between two failure domains.
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

// troubled returns the product of the factors of a kind of trouble at an instant,
// for a service and a member that fell at the given part of it.
func (p *Pattern) troubled(kind DisruptionKind, at time.Duration, service string, part float64) float64 {
	times := 1.0
	for _, t := range p.Disruptions {
		if t.Kind == kind && at >= t.At && at < t.At+t.Duration && (t.Service == "" || t.Service == service) && part < t.Share {
			times *= t.Factor
		}
	}
	return times
}
