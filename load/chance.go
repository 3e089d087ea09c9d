package load

import "hickorydrum/placement"

// warmSmoothing is the weight of the newest outcome in a chance.
const warmSmoothing = 0.05

// firstChances are assumed until the first answers: a start of this instance is mostly
// no start of the upstreams.
var firstChances = chances{0.8, 0.2}

// chances are the probabilities, by standing, that an upstream of a service knows an
// object that another instance may have sent there.
type chances [placement.Standings]float64

func (c *chances) learn(standing int, hit bool) {
	outcome := 0.0
	if hit {
		outcome = 1
	}
	c[standing] += warmSmoothing * (outcome - c[standing])
}

// chances returns those of a service. The lock is held.
func (b *Tracker) chances(service string) *chances {
	c, ok := b.known[service]
	if !ok {
		first := firstChances
		c = &first
		b.known[service] = c
	}
	return c
}

// WarmProbabilities returns the probabilities, by standing, that an upstream of a service knows
// an object that this instance did not send there.
func (b *Tracker) WarmProbabilities(service string) [placement.Standings]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *b.chances(service)
}
