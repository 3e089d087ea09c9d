package load

import (
	"time"

	"hickorydrum/route"
)

const (
	// firstWarm and firstCold are assumed until the first answers of a service.
	firstWarm = 80 * time.Millisecond
	firstCold = 200 * time.Millisecond
	// timeMemory is the weight of the newest time in an average.
	timeMemory = 0.05
	// fewTimes is how many times are averaged plainly at first.
	fewTimes = 20
	// plainSlow is the slowness up to which an upstream's times count for its service.
	plainSlow = 1.5
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

// workKey names requests that take alike.
type workKey struct {
	service string
	class   route.Class
}

// workTimes is how long the upstreams of a service take for a class of requests.
type workTimes struct {
	warm, cold average
}

func (b *Board) work(service string, class route.Class) *workTimes {
	k := workKey{service, class}
	t, ok := b.times[k]
	if !ok {
		t = &workTimes{}
		b.times[k] = t
	}
	return t
}

// Times returns how long a service takes for a class of requests with objects
// that the upstream knows, and with others.
func (b *Board) Times(service string, class route.Class) (warm, cold time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.work(service, class)
	return t.warm.value(firstWarm), t.cold.value(firstCold)
}

// isWarm reports whether a time is nearer to the warm mean than to the cold one,
// by ratio.
func (t *workTimes) isWarm(took time.Duration) bool {
	warm, cold := float64(t.warm.value(firstWarm)), float64(t.cold.value(firstCold))
	return float64(took)*float64(took) < warm*cold
}

// learn takes in the time of an answer that did not wait for a slot. What the
// time itself says goes before what was believed: another instance may have sent
// the object before.
func (t *workTimes) learn(g *gauge, took time.Duration, sticky, known, chilled bool) (hit bool) {
	if chilled {
		return false
	}
	own := time.Duration(float64(took) / g.slow)
	hit = sticky && t.isWarm(own)
	if known {
		outcome := 0.0
		if hit {
			outcome = 1
		}
		g.hits += hitMemory * (outcome - g.hits)
	}
	expected := t.cold.value(firstCold)
	if hit {
		expected = t.warm.value(firstWarm)
	}
	factor := min(maxSlow, float64(took)/float64(max(1, expected)))
	g.slow = max(1, g.slow+slowMemory*(factor-g.slow))
	switch {
	case g.slow > plainSlow:
		return hit
	case hit:
		t.warm.add(took)
	default:
		t.cold.add(took)
	}
	return hit
}

// WorkTime returns how long a request holds a slot at an upstream that knows its
// object, if the class has any. Regions are compared by it, so it must not depend on
// how well a region fares.
func (b *Board) WorkTime(service string, class route.Class) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.work(service, class)
	if class.Sticky {
		return t.warm.value(firstWarm)
	}
	return t.cold.value(firstWarm)
}
