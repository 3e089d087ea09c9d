package restart

import (
	"syscall"
	"testing"
	"time"

	"hickorydrum/standin"
)

const (
	ms = time.Millisecond
	// shortWork is the time that fast upstreams need.
	shortWork = 5 * ms
)

func fast(number int) upstreams { return upstreams{number: number, work: shortWork} }

// TestStopLosesNothing stops an instance with SIGTERM while callers use their connections until it is
// gone. It guards against requests that an upstream runs and whose caller gets no whole response, and
// against requests that the kernel has and nobody reads.
func TestStopLosesNothing(t *testing.T) {
	t.Parallel()
	playAll(t, map[string]row{
		"upstreams as slow as the timeout": {
			grace: 4 * time.Second, timeout: 2 * time.Second, upstreams: upstreams{work: 1800 * ms},
			crowds: []crowd{{callers: 40, kind: unsafe, longest: 2 * time.Second}},
		},
		"a new connection each, slow upstreams": {
			grace: 4 * time.Second, timeout: 2 * time.Second, upstreams: upstreams{work: 1800 * ms},
			crowds: []crowd{{callers: 40, kind: safe, habit: habit{fresh: true}, longest: 2 * time.Second}},
		},
		"a new connection each, fast upstreams": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: fast(1),
			crowds: []crowd{{callers: 100, kind: unsafe, habit: habit{fresh: true}, longest: 20 * ms}},
		},
		"idle since before the signal": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: fast(1),
			crowds: []crowd{{callers: 200, kind: unsafe, longest: 8 * time.Second}},
		},
		"idle connections used as they are closed": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: fast(1),
			crowds: []crowd{{
				callers: 400, kind: unsafe, longest: 200 * ms, moments: []time.Duration{1300 * ms}, spread: 4 * ms,
			}},
		},
		"paused before the end, used meanwhile": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: fast(1),
			crowds: []crowd{{
				callers: 200, kind: unsafe, habit: habit{fresh: true}, longest: 200 * ms,
				opened: 900 * ms, moments: []time.Duration{1050 * ms}, spread: 20 * ms,
			}},
			steps: []step{{time.Second, pause(400 * ms)}},
		},
		"pools that are mostly idle": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: fast(2),
			crowds: []crowd{
				{callers: 20, kind: unsafe, habit: habit{pool: 12}, longest: 60 * ms},
				{callers: 10, kind: safe, habit: habit{pool: 12, retries: true}, longest: 60 * ms},
			},
		},
		"pipelined requests": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: upstreams{work: 20 * ms},
			crowds: []crowd{
				{callers: 20, kind: safe, habit: habit{depth: 4}, longest: 100 * ms},
				{callers: 20, kind: unsafe, habit: habit{depth: 4}, longest: 100 * ms},
			},
		},
		"bodies that are slow to come": {
			grace: 4 * time.Second, timeout: 1500 * ms, upstreams: upstreams{work: 50 * ms},
			crowds: []crowd{
				{callers: 15, kind: upload, habit: habit{sendTime: time.Second}, longest: time.Second},
				{callers: 15, kind: unsafe, habit: habit{sendTime: 300 * ms}, longest: time.Second},
			},
		},
		"uploads": {
			grace: 4 * time.Second, timeout: 1500 * ms, upstreams: upstreams{work: 100 * ms},
			crowds: []crowd{{callers: 15, kind: upload, habit: habit{retries: true}, longest: 400 * ms}},
		},
		"large responses read slowly": {
			grace: 4 * time.Second, timeout: 2500 * ms, upstreams: upstreams{work: shortWork, body: 12 << 20},
			crowds: []crowd{{callers: 10, kind: safe, habit: habit{readTime: time.Second}, longest: time.Second}},
		},
		"large responses read slowly, with the next request in the kernel": {
			grace: 4 * time.Second, timeout: 2500 * ms, upstreams: upstreams{work: shortWork, body: 3 << 20},
			crowds: []crowd{{
				callers: 10, kind: kind{method: unsafe.method, path: unsafe.path, body: 48 << 10},
				habit: habit{depth: 2, readTime: 800 * ms}, longest: 300 * ms,
			}},
		},
		"response bodies that are slow": {
			grace: 4 * time.Second, timeout: 2500 * ms, upstreams: upstreams{work: shortWork, body: 1 << 20, bodyTime: 1200 * ms},
			crowds: []crowd{
				{callers: 15, kind: safe, longest: time.Second},
				{callers: 15, kind: unsafe, longest: time.Second},
			},
		},
		"response bodies without end": {
			grace: 4 * time.Second, timeout: time.Second, upstreams: upstreams{work: shortWork, fault: standin.WorkerEndless}, cuts: true,
			crowds: []crowd{{callers: 10, kind: safe, longest: time.Second}},
		},
		"silent upstreams": {
			grace: 4 * time.Second, timeout: 1500 * ms, upstreams: upstreams{fault: standin.WorkerSilent},
			crowds: []crowd{
				{callers: 10, kind: safe, longest: time.Second},
				{callers: 10, kind: unsafe, longest: time.Second},
			},
		},
		"a timeout longer than the stop": {
			grace: 3 * time.Second, timeout: 6 * time.Second, upstreams: upstreams{work: 2200 * ms},
			crowds: []crowd{
				{callers: 20, kind: unsafe, longest: 500 * ms},
				{callers: 20, kind: safe, habit: habit{fresh: true, retries: true}, longest: 500 * ms},
			},
		},
		"silent upstreams and a timeout longer than the stop": {
			grace: 3 * time.Second, timeout: 6 * time.Second, upstreams: upstreams{fault: standin.WorkerSilent},
			crowds: []crowd{{callers: 20, kind: unsafe, longest: 500 * ms}},
		},
		"bursts at the moments of the stop": {
			grace: 4 * time.Second, timeout: time.Second, upstreams: fast(1),
			crowds: []crowd{
				{callers: 100, kind: unsafe, longest: time.Second, spread: 10 * ms, moments: []time.Duration{0, 100 * ms, 2300 * ms, 3700 * ms}},
				{callers: 100, kind: unsafe, longest: time.Second, spread: 10 * ms, moments: []time.Duration{2300 * ms}, quiet: true},
				{callers: 50, kind: unsafe, longest: time.Second, spread: 500 * ms, moments: []time.Duration{time.Second, 3500 * ms}, quiet: true},
			},
		},
		"idle connections used at any time of the stop": {
			grace: 3 * time.Second, timeout: 500 * ms, upstreams: fast(1), crowds: spreadOverStop(3 * time.Second),
		},
		"slow upstreams and connections used at any time of the stop": {
			grace: 4 * time.Second, timeout: 1500 * ms, upstreams: upstreams{work: 1200 * ms}, crowds: spreadOverStop(4 * time.Second),
		},
	})
}

// spreadOverStop returns callers that use each of their connections once during a stop of at most the
// given length, most of them connections on which they sent nothing before.
func spreadOverStop(longest time.Duration) []crowd {
	middle := []time.Duration{longest / 2}
	return []crowd{
		{callers: 200, kind: unsafe, longest: time.Second, moments: middle, spread: longest / 2, quiet: true},
		{callers: 100, kind: unsafe, longest: time.Second, moments: middle, spread: longest / 2},
		{callers: 100, kind: safe, habit: habit{retries: true}, longest: time.Second, moments: middle, spread: longest / 2, quiet: true},
	}
}

// TestChangesLoseNothing plays what else may end something: idle timeouts, configurations, settings,
// upstreams and signals. It guards against requests that such a change cuts off.
func TestChangesLoseNothing(t *testing.T) {
	t.Parallel()
	steady := []crowd{
		{callers: 20, kind: unsafe, habit: habit{pool: 4}, longest: 40 * ms},
		{callers: 20, kind: safe, habit: habit{fresh: true}, longest: 40 * ms},
	}
	playAll(t, map[string]row{
		"requests around the idle timeout": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: fast(1), idle: time.Second, load: 6 * time.Second,
			crowds: []crowd{{callers: 300, kind: unsafe, shortest: 990 * ms, longest: 1520 * ms}},
		},
		"idle timeouts that change": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: fast(1), load: 5 * time.Second,
			crowds: []crowd{{callers: 300, kind: unsafe, longest: 1500 * ms}},
			steps:  []step{{-4 * time.Second, configure(500 * ms)}, {-2500 * ms, configure(10 * time.Second)}, {-time.Second, configure(300 * ms)}},
		},
		"routes that are removed and added": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: fast(1), load: 3 * time.Second, crowds: steady,
			steps: []step{{-2 * time.Second, unroute}, {100 * ms, unroute}},
		},
		"settings that change": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: fast(1), load: 4 * time.Second, crowds: steady,
			steps: []step{
				{-3 * time.Second, writeSettings},
				{-500 * ms, sendSignal(syscall.SIGHUP)},
				{200 * ms, sendSignal(syscall.SIGHUP)},
				{300 * ms, writeSettings},
			},
		},
		"a second SIGTERM": {
			grace: 4 * time.Second, timeout: 1500 * ms, upstreams: upstreams{work: 800 * ms},
			crowds: []crowd{{callers: 40, kind: unsafe, longest: 400 * ms}},
			steps:  []step{{300 * ms, sendSignal(syscall.SIGTERM)}, {1500 * ms, sendSignal(syscall.SIGTERM)}, {2400 * ms, sendSignal(syscall.SIGTERM)}},
		},
		"an upstream that leaves": {
			grace: 3 * time.Second, timeout: 1500 * ms, upstreams: upstreams{number: 2, work: 200 * ms}, load: 3 * time.Second,
			crowds: steady, steps: []step{{-2 * time.Second, removeUpstream}},
		},
		"an upstream that leaves during the stop": {
			grace: 4 * time.Second, timeout: 1500 * ms, upstreams: upstreams{number: 2, work: 200 * ms},
			crowds: steady, steps: []step{{100 * ms, removeUpstream}},
		},
		"the store away": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: fast(1), crowds: steady,
			steps: []step{{-500 * ms, failStore(standin.StoreDown)}},
		},
		"the store silent": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: fast(1), crowds: steady,
			steps: []step{{-500 * ms, failStore(standin.StoreSilent)}},
		},
		"logs that nobody reads": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: fast(1), crowds: steady, unread: true,
		},
		"a paused process": {
			grace: 4 * time.Second, timeout: 1500 * ms, upstreams: upstreams{work: 100 * ms},
			crowds: []crowd{
				{callers: 40, kind: unsafe, habit: habit{pool: 2}, longest: 200 * ms},
				{callers: 40, kind: unsafe, longest: 100 * ms, spread: 200 * ms, moments: []time.Duration{300 * ms, 2400 * ms}, quiet: true},
			},
			steps: []step{{100 * ms, pause(400 * ms)}, {2200 * ms, pause(400 * ms)}},
		},
		"a process paused just before its end": {
			grace: 4 * time.Second, timeout: time.Second, upstreams: upstreams{work: 100 * ms},
			crowds: []crowd{
				{callers: 20, kind: unsafe, longest: 300 * ms},
				{callers: 60, kind: unsafe, longest: time.Second, spread: 200 * ms, moments: []time.Duration{3300 * ms}, quiet: true},
			},
			steps: []step{{2280 * ms, pause(1320 * ms)}},
		},
		"a process paused again and again": {
			grace: 4 * time.Second, timeout: 800 * ms, upstreams: upstreams{work: 20 * ms}, crowds: spreadOverStop(4 * time.Second),
			steps: repeat(200*ms, 4*time.Second, pause(150*ms)),
		},
		"a process that runs now and then": {
			grace: 4 * time.Second, timeout: time.Second, upstreams: fast(1),
			crowds: append(spreadOverStop(4*time.Second),
				crowd{callers: 100, kind: unsafe, habit: habit{fresh: true}, longest: 200 * ms}),
			steps: repeat(500*ms, 4*time.Second, pause(400*ms)),
		},
		"a pause longer than the timeout as bodies come": {
			grace: 4 * time.Second, timeout: 500 * ms, upstreams: fast(1),
			crowds: []crowd{{
				callers: 20, kind: unsafe, habit: habit{sendTime: 400 * ms}, longest: time.Second,
				moments: []time.Duration{300 * ms}, spread: 10 * ms, quiet: true,
			}},
			steps: []step{{400 * ms, pause(700 * ms)}},
		},
		"busy processes beside it": {
			grace: 4 * time.Second, timeout: 1500 * ms, upstreams: upstreams{work: 300 * ms}, busy: 2,
			crowds: []crowd{{callers: 100, kind: unsafe, habit: habit{pool: 2}, longest: 500 * ms}},
		},
	})
}

// TestRestartsLoseNothing stops and restarts several instances under load. It guards against requests
// that are cut off as stops come in series, together or overlapping.
func TestRestartsLoseNothing(t *testing.T) {
	t.Parallel()
	crowds := []crowd{
		{callers: 15, kind: unsafe, habit: habit{pool: 3, redials: true}, longest: 100 * ms},
		{callers: 15, kind: safe, habit: habit{fresh: true, redials: true, retries: true}, longest: 100 * ms},
	}
	playAll(t, map[string]row{
		"in series": {
			grace: 3 * time.Second, timeout: time.Second, upstreams: upstreams{number: 2, work: 50 * ms}, crowds: crowds,
			instances: 3, series: true, restart: true,
		},
		"overlapping": {
			grace: 4 * time.Second, timeout: time.Second, upstreams: upstreams{number: 2, work: 50 * ms}, crowds: crowds,
			instances: 3, stagger: 600 * ms, restart: true,
		},
		"all at once": {
			grace: 4 * time.Second, timeout: 1500 * ms, upstreams: upstreams{number: 2, work: 500 * ms}, crowds: crowds,
			instances: 4, restart: true,
		},
	})
}

// playAll plays the rows beside each other.
func playAll(t *testing.T, rows map[string]row) {
	t.Helper()
	for name, r := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r.check(t, 1)
		})
	}
}
