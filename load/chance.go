package load

import "hickorydrum/placement"

// warmSmoothing is the weight of the newest outcome in a warm probability.
const warmSmoothing = 0.05

// initialWarmProbabilities are assumed until the first responses. When this instance
// starts, the upstreams have mostly been running for some time, so that the home of an
// object is probably warm for it.
var initialWarmProbabilities = warmProbabilities{0.8, 0.2}

// warmProbabilities are the probabilities, by position, that an upstream of a service is
// warm for an object that only other instances may have sent there.
type warmProbabilities [placement.Positions]float64

func (c *warmProbabilities) learn(standing int, hit bool) {
	outcome := 0.0
	if hit {
		outcome = 1
	}
	c[standing] += warmSmoothing * (outcome - c[standing])
}

// warmProbabilities returns the probabilities of a service. The lock is held.
func (tr *Tracker) warmProbabilities(service string) *warmProbabilities {
	c, ok := tr.warm[service]
	if !ok {
		first := initialWarmProbabilities
		c = &first
		tr.warm[service] = c
	}
	return c
}

// WarmProbabilities returns the probabilities, by position, that an upstream of a service
// is warm for an object that this instance did not send there.
func (tr *Tracker) WarmProbabilities(service string) [placement.Positions]float64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return *tr.warmProbabilities(service)
}
