package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hickorydrum/route"
)

const (
	// firstCold is how long an unknown object is assumed to take until the first answers,
	// for requests without an objective; else it is the objective.
	firstCold = 200 * time.Millisecond
	// timeSmoothing is the weight of the newest time in an average.
	timeSmoothing = 0.05
	// fewTimes is how many times are averaged plainly at first.
	fewTimes = 20
	// plainSlow is the slowness up to which an upstream's times count for its service.
	plainSlow = 1.5
	// warmPart is the part of the time of an unknown object that a known one is assumed to
	// take until both are measured.
	warmPart = 0.4
	// recentTimes is how many of the newest times are kept, and recentOfOne how many of
	// them may be of one upstream. When there are fewTimesToFit, and less than leastFitting
	// of them is near one of the two means, within the factor nearTime, the means are found
	// anew from them.
	recentTimes = 32
	recentOfOne = 8
	// warmWithin is how long after the first time one of a known object must have come.
	warmWithin    = 3 * time.Second
	fewTimesToFit = 4
	leastFitting  = 0.4
	nearTime      = 1.6
	// leastApart is the ratio from which times count as two kinds.
	leastApart = 1.6
	// fewOfAKind is how many times make a kind.
	fewOfAKind = 3
)

// average is a mean that forgets.
type average struct {
	mean  float64 // nanoseconds
	count int
}

func (a *average) add(d time.Duration) {
	a.count++
	weight := max(timeSmoothing, 1/float64(a.count))
	if a.count > fewTimes {
		weight = timeSmoothing
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
	first      time.Duration // the time of an unknown object until it is measured
	warm, cold average
	recent     []recentTime // the oldest first
	firstAt    time.Time
	// guessed states that all times were of one kind when the means were found.
	guessed bool
}

// recentTime is how long a request took at an upstream.
type recentTime struct {
	upstream string
	took     time.Duration
}

// note keeps a time among the recent ones, of which no upstream has more than a part.
func (t *workTimes) note(upstream string, took time.Duration, now time.Time) {
	if t.firstAt.IsZero() {
		t.firstAt = now
	}
	same, oldest := 0, 0
	for i := len(t.recent) - 1; i >= 0; i-- {
		if t.recent[i].upstream == upstream {
			same++
			oldest = i
		}
	}
	switch {
	case same >= recentOfOne:
		t.recent = slices.Delete(t.recent, oldest, oldest+1)
	case len(t.recent) >= recentTimes:
		t.recent = slices.Delete(t.recent, 0, 1)
	}
	t.recent = append(t.recent, recentTime{upstream, took})
}

// sorted returns the recent times, the shortest first.
func (t *workTimes) sorted() []time.Duration {
	out := make([]time.Duration, len(t.recent))
	for i, r := range t.recent {
		out[i] = r.took
	}
	slices.Sort(out)
	return out
}

// means returns how long requests take whose object is known, and not.
func (t *workTimes) means() (warm, cold time.Duration) {
	return t.warm.value(time.Duration(warmPart * float64(t.first))), t.cold.value(t.first)
}

// few reports whether too few times are known to tell whether they fit the means.
func (t *workTimes) few() bool { return len(t.recent) < fewTimesToFit }

// fits reports whether the recent times are near the means.
func (t *workTimes) fits(now time.Time) bool {
	if t.warm.count == 0 && now.Sub(t.firstAt) > warmWithin {
		return false
	}
	if t.guessed && t.twoKinds() {
		return false
	}
	warm, cold := t.means()
	near := 0
	for _, r := range t.recent {
		if isNear(r.took, warm) || isNear(r.took, cold) {
			near++
		}
	}
	return float64(near) >= leastFitting*float64(len(t.recent))
}

// twoKinds reports whether the recent times are of two kinds for sure.
func (t *workTimes) twoKinds() bool {
	low, high := split(t.sorted())
	return min(len(low), len(high)) >= fewOfAKind
}

func isNear(a, b time.Duration) bool {
	return float64(a) < nearTime*float64(b) && float64(b) < nearTime*float64(a)
}

// restart finds the means anew from the recent times. Times of one kind are taken for
// those of known objects: mostly the upstreams have run for longer than this instance.
func (t *workTimes) restart() {
	low, high := split(t.sorted())
	t.warm, t.cold = average{}, average{}
	t.warm.add(mean(low))
	t.guessed = len(high) == 0
	if t.guessed {
		t.cold.add(time.Duration(float64(mean(low)) / warmPart))
		return
	}
	t.cold.add(mean(high))
}

// split divides sorted times where the two parts differ most from each other, compared
// with how much the times within them do. The second part is empty if all are of one kind.
func split(sorted []time.Duration) (low, high []time.Duration) {
	best, bestAt := 0.0, 0
	for at := 1; at < len(sorted); at++ {
		apart := math.Log(float64(mean(sorted[at:])) / float64(max(1, mean(sorted[:at]))))
		if gain := apart * apart * float64(at) * float64(len(sorted)-at); gain > best {
			best, bestAt = gain, at
		}
	}
	low, high = sorted[:bestAt], sorted[bestAt:]
	if bestAt == 0 || float64(mean(high)) < leastApart*float64(mean(low)) {
		return sorted, nil
	}
	return low, high
}

func mean(times []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, t := range times {
		sum += t
	}
	return sum / time.Duration(max(1, len(times)))
}

func (b *Tracker) work(service string, class route.Class) *workTimes {
	k := workKey{service, class}
	t, ok := b.times[k]
	if !ok {
		t = &workTimes{first: cmp.Or(class.Objective, firstCold)}
		b.times[k] = t
	}
	return t
}

// ServiceTimes returns how long a service takes for a class of requests with objects
// that the upstream knows, and with others.
func (b *Tracker) ServiceTimes(service string, class route.Class) (warm, cold time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.work(service, class)
	return t.means()
}

// Measured reports whether any answer told how long a service takes for a class of
// requests. Until then its times are assumed.
func (b *Tracker) Measured(service string, class route.Class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.work(service, class)
	return t.warm.count+t.cold.count > 0
}

// isWarm reports whether a time is nearer to the warm mean than to the cold one,
// by ratio.
func (t *workTimes) isWarm(took time.Duration) bool {
	warm, cold := t.means()
	return float64(took)*float64(took) < float64(warm)*float64(cold)
}

// learn takes in the time of an answer that did not wait for a slot. What the
// time itself says goes before what was believed: another instance may have sent
// the object before.
func (t *workTimes) learn(g *upstreamState, took time.Duration, sticky, known, chilled bool) (hit bool) {
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
		g.hits += hitSmoothing * (outcome - g.hits)
	}
	warm, expected := t.means()
	if hit {
		expected = warm
	}
	factor := min(maxSlow, float64(took)/float64(max(1, expected)))
	g.slow = max(1, g.slow+slowdownSmoothing*(factor-g.slow))
	switch {
	case g.slow > plainSlow, t.few():
		return hit
	case hit:
		t.warm.add(took)
	default:
		t.cold.add(took)
	}
	return hit
}

// SlotTime returns how long a request holds a slot at an upstream that knows its
// object, if the class has any. Regions are compared by it, so it must not depend on
// how well a region fares.
func (b *Tracker) SlotTime(service string, class route.Class) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.work(service, class)
	warm, cold := t.means()
	switch {
	case class.Sticky:
		return warm
	case t.cold.count == 0:
		return time.Duration(warmPart * float64(t.first))
	default:
		return cold
	}
}
