package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hickorydrum/route"
)

const (
	// defaultColdTime is the service time that is assumed, until it is measured, at an
	// upstream that is not warm for the object, for requests without an objective. With an
	// objective, the objective is assumed.
	defaultColdTime = 200 * time.Millisecond
	// timeSmoothing is the weight of the newest time in an average.
	timeSmoothing = 0.05
	// meanTimes is how many first times an average weighs equally.
	meanTimes = 20
	// maxSlowdownToLearn is the slowdown up to which the times of an upstream update the
	// means of its service.
	maxSlowdownToLearn = 1.5
	// warmRatio is the assumed ratio of the warm time to the cold time until both are
	// measured.
	warmRatio = 0.4
	// maxRecent is how many of the newest times are kept, and maxRecentPerUpstream how
	// many of them may come from one upstream.
	maxRecent            = 32
	maxRecentPerUpstream = 8
	// warmWithin is the longest time from the first response until a warm service time is
	// measured; after it the means are fitted again.
	warmWithin = 3 * time.Second
	// Once minTimesToFit times are kept, and less than the fraction minFittingFraction of
	// them is within the factor nearFactor of the warm mean or of the cold mean, both means
	// are fitted again to the kept times.
	minTimesToFit      = 4
	minFittingFraction = 0.4
	nearFactor         = 1.6
	// minModeRatio is the least ratio of two means with which the times count as two modes:
	// those of upstreams that are warm for the object, and those of others.
	minModeRatio = 1.6
	// minModeSize is how many times each of two modes must have before the means that were
	// fitted to one mode are fitted again.
	minModeSize = 3
)

// average is an exponential moving average; its first values are averaged arithmetically.
type average struct {
	mean  float64 // nanoseconds
	count int
}

func (a *average) add(d time.Duration) {
	a.count++
	weight := max(timeSmoothing, 1/float64(a.count))
	if a.count > meanTimes {
		weight = timeSmoothing
	}
	a.mean += weight * (float64(d) - a.mean)
}

// value returns the average, or assumed if there are no values yet.
func (a *average) value(assumed time.Duration) time.Duration {
	if a.count == 0 {
		return assumed
	}
	return time.Duration(a.mean)
}

// serviceTimesKey identifies requests that share their service times.
type serviceTimesKey struct {
	service string
	class   route.Class
}

// serviceTimes holds how long the upstreams of a service take for a class of requests:
// warm is the mean for objects for which they are warm, cold that for others.
type serviceTimes struct {
	assumedCold time.Duration // assumed for cold until it is measured
	warm, cold  average
	recent      []recentTime // the oldest first
	firstAt     time.Time    // when the first response was recorded
	// unimodal states that all kept times were of one mode when the means were last fitted,
	// so that the cold mean is only assumed.
	unimodal bool
}

// recentTime is the service time of one request at an upstream.
type recentTime struct {
	upstream string
	took     time.Duration
}

// note adds a time to the recent ones. If an upstream already has maxRecentPerUpstream of
// them, its oldest is dropped, so that no upstream dominates the fit; if there are
// maxRecent, the oldest of all is dropped.
func (t *serviceTimes) note(upstream string, took time.Duration, now time.Time) {
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
	case same >= maxRecentPerUpstream:
		t.recent = slices.Delete(t.recent, oldest, oldest+1)
	case len(t.recent) >= maxRecent:
		t.recent = slices.Delete(t.recent, 0, 1)
	}
	t.recent = append(t.recent, recentTime{upstream, took})
}

// sorted returns the recent times, the shortest first.
func (t *serviceTimes) sorted() []time.Duration {
	out := make([]time.Duration, len(t.recent))
	for i, r := range t.recent {
		out[i] = r.took
	}
	slices.Sort(out)
	return out
}

// means returns the mean service times at upstreams that are warm for the object, and at
// those that are not. They are assumed until they are measured.
func (t *serviceTimes) means() (warm, cold time.Duration) {
	return t.warm.value(time.Duration(warmRatio * float64(t.assumedCold))), t.cold.value(t.assumedCold)
}

// tooFew reports whether there are too few recent times to check them against the means.
func (t *serviceTimes) tooFew() bool { return len(t.recent) < minTimesToFit }

// fits reports whether the means may stay: a warm time has been measured or warmWithin is
// not over, the times have not split into two modes since the last fit, and enough of the
// recent times are near one of the two means.
func (t *serviceTimes) fits(now time.Time) bool {
	if t.warm.count == 0 && now.Sub(t.firstAt) > warmWithin {
		return false
	}
	if t.unimodal && t.bimodal() {
		return false
	}
	warm, cold := t.means()
	near := 0
	for _, r := range t.recent {
		if isNear(r.took, warm) || isNear(r.took, cold) {
			near++
		}
	}
	return float64(near) >= minFittingFraction*float64(len(t.recent))
}

// bimodal reports whether the recent times have two modes of at least minModeSize times
// each.
func (t *serviceTimes) bimodal() bool {
	low, high := split(t.sorted())
	return min(len(low), len(high)) >= minModeSize
}

func isNear(a, b time.Duration) bool {
	return float64(a) < nearFactor*float64(b) && float64(b) < nearFactor*float64(a)
}

// refit computes the means again from the recent times. If these have only one mode, it is
// taken as the warm one, since most upstreams have been running for longer than this
// instance and are warm for their objects.
func (t *serviceTimes) refit() {
	low, high := split(t.sorted())
	t.warm, t.cold = average{}, average{}
	t.warm.add(mean(low))
	t.unimodal = len(high) == 0
	if t.unimodal {
		t.cold.add(time.Duration(float64(mean(low)) / warmRatio))
		return
	}
	t.cold.add(mean(high))
}

// split divides sorted times into two modes, at the point with the largest variance between
// the logarithms of the two means. high is empty if the times have only one mode.
func split(sorted []time.Duration) (low, high []time.Duration) {
	best, bestAt := 0.0, 0
	for at := 1; at < len(sorted); at++ {
		apart := math.Log(float64(mean(sorted[at:])) / float64(max(1, mean(sorted[:at]))))
		if gain := apart * apart * float64(at) * float64(len(sorted)-at); gain > best {
			best, bestAt = gain, at
		}
	}
	low, high = sorted[:bestAt], sorted[bestAt:]
	if bestAt == 0 || float64(mean(high)) < minModeRatio*float64(mean(low)) {
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

func (tr *Tracker) serviceTimes(service string, class route.Class) *serviceTimes {
	k := serviceTimesKey{service, class}
	t, ok := tr.times[k]
	if !ok {
		t = &serviceTimes{assumedCold: cmp.Or(class.Objective, defaultColdTime)}
		tr.times[k] = t
	}
	return t
}

// ServiceTimes returns how long a service takes for a class of requests, at an upstream
// that is warm for the object and at one that is not.
func (tr *Tracker) ServiceTimes(service string, class route.Class) (warm, cold time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	t := tr.serviceTimes(service, class)
	return t.means()
}

// Measured reports whether at least one of the means for a class of requests comes from
// responses. Until then ServiceTimes returns assumed times. The first minTimesToFit-1 responses
// do not set the means, nor do those that waited for a slot.
func (tr *Tracker) Measured(service string, class route.Class) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	t := tr.serviceTimes(service, class)
	return t.warm.count+t.cold.count > 0
}

// isWarm reports whether a time is nearer to the warm mean than to the cold one, by ratio.
func (t *serviceTimes) isWarm(took time.Duration) bool {
	warm, cold := t.means()
	return float64(took)*float64(took) < float64(warm)*float64(cold)
}

// learn updates the slowdown and the hit rate of the upstream, and the means, by the service
// time of a response that did not wait for a slot. sticky states that the request named an
// object, known that the upstream recently answered this instance for the object. hit
// reports whether the upstream was warm for the object. The measured time decides that and
// not known, since the upstream may be warm through other instances. For an upstream that is
// in its cold period, learn changes nothing and returns false.
func (t *serviceTimes) learn(s *upstreamState, took time.Duration, sticky, known, inColdPeriod bool) (hit bool) {
	if inColdPeriod {
		return false
	}
	normal := time.Duration(float64(took) / s.slowdown)
	hit = sticky && t.isWarm(normal)
	if known {
		outcome := 0.0
		if hit {
			outcome = 1
		}
		s.hitRate += hitSmoothing * (outcome - s.hitRate)
	}
	warm, expected := t.means()
	if hit {
		expected = warm
	}
	factor := min(maxSlowdown, float64(took)/float64(max(1, expected)))
	s.slowdown = max(1, s.slowdown+slowdownSmoothing*(factor-s.slowdown))
	switch {
	case s.slowdown > maxSlowdownToLearn, t.tooFew():
		return hit
	case hit:
		t.warm.add(took)
	default:
		t.cold.add(took)
	}
	return hit
}

// SlotTime returns how long a request occupies a slot at an upstream that is warm for its
// object, or at any upstream for a class without objects. Until that is measured it returns
// the assumed warm time. The planner converts the demand of all regions into slots by it, so it
// must not depend on how a region's upstreams perform at the moment.
func (tr *Tracker) SlotTime(service string, class route.Class) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.slotTime(service, class)
}

// slotTime implements SlotTime. tr.mu must be held.
func (tr *Tracker) slotTime(service string, class route.Class) time.Duration {
	t := tr.serviceTimes(service, class)
	warm, cold := t.means()
	switch {
	case class.Sticky:
		return warm
	case t.cold.count == 0:
		return time.Duration(warmRatio * float64(t.assumedCold))
	default:
		return cold
	}
}
