package load

import "time"

const (
	// firstWarm and firstCold are assumed until the first answers of a service.
	firstWarm = 80 * time.Millisecond
	firstCold = 200 * time.Millisecond
	// timeMemory is the weight of the newest time in an average.
	timeMemory = 0.05
	// fewTimes is how many times are averaged plainly at first.
	fewTimes = 20
)

// average is a mean that forgets.
type average struct {
	mean  float64 // nanoseconds
	count int
}

func (a *average) add(d time.Duration) {
	a.count++
	weight := max(timeMemory, 1/float64(a.count))
	if a.count > fewTimes {
		weight = timeMemory
	}
	a.mean += weight * (float64(d) - a.mean)
}

func (a *average) value(first time.Duration) time.Duration {
	if a.count == 0 {
		return first
	}
	return time.Duration(a.mean)
}

// serviceTimes is how long the upstreams of a service take.
type serviceTimes struct {
	warm, cold average
}

func (b *Board) times(service string) *serviceTimes {
	t, ok := b.services[service]
	if !ok {
		t = &serviceTimes{}
		b.services[service] = t
	}
	return t
}

// Times returns how long a service takes with objects that the upstream knows,
// and with others.
func (b *Board) Times(service string) (warm, cold time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.times(service)
	return t.warm.value(firstWarm), t.cold.value(firstCold)
}

// learn takes in the time of an answer that did not wait for a slot.
func (t *serviceTimes) learn(g *Gauge, took time.Duration, sticky, known, chilled bool) {
	warm, cold := t.warm.value(firstWarm), t.cold.value(firstCold)
	hit := known && took < (warm+cold)/2*time.Duration(max(1, int(g.slow)))
	if known {
		if hit {
			g.hits += hitMemory * (1 - g.hits)
		} else {
			g.hits -= hitMemory * g.hits
		}
	}
	expected := cold
	if hit {
		expected = warm
	}
	if !chilled && expected > 0 {
		factor := min(maxSlow, float64(took)/float64(expected))
		g.slow += slowMemory * (factor - g.slow)
		g.slow = max(1, g.slow)
	}
	if chilled || g.slow > 2 {
		return
	}
	if hit {
		t.warm.add(took)
		return
	}
	if !sticky || !known || took > warm {
		t.cold.add(took)
	}
}
