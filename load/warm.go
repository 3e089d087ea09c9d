package load

import "hickorydrum/placement"

// warmSmoothing is the weight of the newest outcome in a warm probability.
const warmSmoothing = 0.05

// initialWarmProbabilities are assumed until the first responses. When this instance
// starts, most upstreams have been running for some time, so that the home of an object is
// probably warm for it.
var initialWarmProbabilities = warmProbabilities{0.8, 0.2}

// warmProbabilities are the probabilities, by position, that an upstream of a service is
// warm for an object although it did not recently answer this instance for it.
type warmProbabilities [placement.Positions]float64

// learn updates the probability of a position. hit states that an upstream at it was warm.
func (p *warmProbabilities) learn(position int, hit bool) {
	outcome := 0.0
	if hit {
		outcome = 1
	}
	p[position] += warmSmoothing * (outcome - p[position])
}

// warmProbabilities returns the probabilities of a service. tr.mu must be held.
func (tr *Tracker) warmProbabilities(service string) *warmProbabilities {
	p, ok := tr.warm[service]
	if !ok {
		initial := initialWarmProbabilities
		p = &initial
		tr.warm[service] = p
	}
	return p
}

// WarmProbabilities returns the probabilities, by position, that an upstream of a service
// is warm for an object although it did not recently answer this instance for it.
func (tr *Tracker) WarmProbabilities(service string) [placement.Positions]float64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return *tr.warmProbabilities(service)
}
