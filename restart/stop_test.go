package restart

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hickorydrum/standin"
)

const (
	// defaultLoad is how long callers send before the first SIGTERM.
	defaultLoad = 2 * time.Second
	// afterStop is how long callers go on after the last process has exited.
	afterStop = 300 * time.Millisecond
	// maxSeeds is how many others an instance has as seeds.
	maxSeeds = 2
	// maxShown is how many lost requests are printed.
	maxShown = 5
)

// stopTime tells callers when SIGTERM was sent for the first time.
type stopTime struct {
	sent  chan struct{} // closed once first is set
	first time.Time

	mu     sync.Mutex
	latest time.Time // when SIGTERM was sent last, after a restart
}

func newStopTime() *stopTime { return &stopTime{sent: make(chan struct{})} }

func (s *stopTime) set(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest.IsZero() {
		s.first = at
		close(s.sent)
	}
	s.latest = at
}

// await waits for the first SIGTERM. It returns false if over is closed before.
func (s *stopTime) await(over <-chan struct{}) bool {
	select {
	case <-s.sent:
		return true
	case <-over:
		return false
	}
}

// last returns when the SIGTERM of the last stop was sent, the zero time if there was none.
func (s *stopTime) last() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// crowd is a number of callers of the same kind.
type crowd struct {
	callers int // for each instance
	kind    kind
	habit   habit
	// shortest and longest bound the pause of a caller before a request; longest must be greater.
	shortest, longest time.Duration
	// moments, if set, are times after the first SIGTERM. Each caller sends one batch of habit.depth requests
	// at each, at random within spread, which must be above 0. A caller sends its first batch without regard
	// to the moments unless quiet is set; once they are used up, it pauses as before.
	moments []time.Duration
	spread  time.Duration
	quiet   bool
	// opened is when after SIGTERM a caller opens the connection for its first request of the moments.
	opened time.Duration
}

// moment returns the number of the moment at which a caller sends its request number n, and false if
// it sends it at none.
func (c crowd) moment(n int) (moment int, ok bool) {
	moment = n / max(1, c.habit.depth)
	if !c.quiet {
		moment-- // the first request is not that of a moment
	}
	return moment, moment >= 0 && moment < len(c.moments)
}

// wait waits until a caller of the crowd is to send its request number n.
func (c crowd) wait(random *rand.Rand, n int, stop *stopTime, over <-chan struct{}) {
	pause := c.shortest + time.Duration(random.Int64N(int64(c.longest-c.shortest)))
	if moment, ok := c.moment(n); ok && stop.await(over) {
		pause = time.Until(stop.first.Add(c.moments[moment] + time.Duration(random.Int64N(int64(2*c.spread))) - c.spread))
	}
	sleep(pause, over)
}

// waitToOpen waits until a caller of the crowd is to open the connection for its request number n.
func (c crowd) waitToOpen(n int, stop *stopTime, over <-chan struct{}) {
	if moment, ok := c.moment(n); c.opened > 0 && ok && moment == 0 && stop.await(over) {
		sleep(time.Until(stop.first.Add(c.opened)), over)
	}
}

// sleep waits for the given time, or until over is closed.
func sleep(d time.Duration, over <-chan struct{}) {
	select {
	case <-time.After(d):
	case <-over:
	}
}

// upstreams is how the upstreams of a row respond.
type upstreams struct {
	number   int // 1 if 0
	work     time.Duration
	body     int           // bytes of a response, a few if 0
	bodyTime time.Duration // time to send it
	fault    standin.WorkerFault
}

// row is one planned stop under load.
type row struct {
	grace, timeout time.Duration
	upstreams      upstreams
	crowds         []crowd
	load           time.Duration // before the first SIGTERM, defaultLoad if 0
	idle           time.Duration // how long connections may be idle, defaultIdle if 0
	instances      int           // 1 if 0
	// stagger is the time between the SIGTERMs of two instances. If series is set, the next one is
	// sent once the last instance runs again.
	stagger time.Duration
	series  bool
	restart bool // start the instances again
	cuts    bool // responses may be incomplete at the timeout
	unread  bool // nobody reads their standard output
	busy    int  // other processes that keep a core busy
	steps   []step
	drawn   []string // describes the steps, if they were drawn
}

// play is a row that is being played.
type play struct {
	row
	deployment *deployment
	processes  []*process
}

// check plays the row with a seed, and fails the test if a request is lost.
func (r row) check(t *testing.T, seed uint64) {
	t.Helper()
	p := r.set(t)
	j, over := &journal{}, make(chan struct{})
	wait := p.startCallers(j, seed, over)
	took := p.stopAll()
	time.Sleep(afterStop)
	close(over)
	wait()
	c, bad := j.count(p.deployment.runs, r.timeout)
	t.Logf("seed %d: stop took %v; %v", seed, took.Round(time.Millisecond), c)
	p.report(bad)
	if c.cut > 0 && !r.cuts {
		t.Errorf("%d responses were not complete at the timeout, want 0", c.cut)
	}
	if c.lost > 0 || c.untrue > 0 || c.late > 0 || c.repeated > 0 || c.mixed > 0 || c.dropped > 0 {
		t.Errorf("%d requests were lost, %d rejected though they ran, %d kept waiting before their connection was closed, "+
			"%d repeated, %d answered with another's response, %d sent to an upstream in vain, want 0",
			c.lost, c.untrue, c.late, c.repeated, c.mixed, c.dropped)
	}
}

// set starts the upstreams and the instances of the row.
func (r row) set(t *testing.T) *play {
	t.Helper()
	d := newDeployment(t, r.grace)
	d.configure(configuration{timeout: r.timeout, idle: r.idle})
	var faults []standin.WorkerFault
	if r.upstreams.fault != "" {
		faults = append(faults, r.upstreams.fault)
	}
	for range max(1, r.upstreams.number) {
		d.worker(standin.WorkerConfig{
			Warm: r.upstreams.work, Cold: r.upstreams.work,
			Body: strings.Repeat("r", r.upstreams.body), BodyTime: r.upstreams.bodyTime,
		}, faults...)
	}
	for range r.busy {
		startBusy(t)
	}
	p := &play{row: r, deployment: d}
	for i := range max(1, r.instances) {
		p.processes = append(p.processes, d.start(fmt.Sprintf("a%d", i), r.unread, p.processes[:min(i, maxSeeds)]...))
	}
	return p
}

// startCallers starts the callers of all instances and returns a function that waits for their end.
func (p *play) startCallers(j *journal, seed uint64, over <-chan struct{}) (wait func()) {
	var waits []func()
	for i, instance := range p.processes {
		for k, crowd := range p.crowds {
			for n := range crowd.callers {
				c := &caller{
					name: fmt.Sprintf("%d-%d-%d", i, k, n), address: instance.address(frontPort), kind: crowd.kind, habit: crowd.habit, stop: instance.stop.sent, over: over,
					wait:       func(random *rand.Rand, n int) { crowd.wait(random, n, instance.stop, over) },
					waitToOpen: func(n int) { crowd.waitToOpen(n, instance.stop, over) },
				}
				callerSeed := seed<<32 + uint64(i)<<24 + uint64(k)<<16 + uint64(n)
				waits = append(waits, startGroup(func() { c.run(j, callerSeed) }))
			}
		}
	}
	return func() {
		for _, wait := range waits {
			wait()
		}
	}
}

// stopAll plays the steps and stops the instances. It returns how long the longest stop took.
func (p *play) stopAll() (longest time.Duration) {
	begun := time.Now().Add(cmp.Or(p.load, defaultLoad))
	p.playSteps(begun, func(s step) bool { return s.at < 0 })
	time.Sleep(time.Until(begun))
	for i, instance := range p.processes {
		if i > 0 {
			time.Sleep(p.stagger)
		}
		instance.terminate()
		if p.series {
			longest = max(longest, p.end(instance))
		}
	}
	p.playSteps(begun, func(s step) bool { return s.at >= 0 })
	if p.series {
		return longest
	}
	for _, instance := range p.processes {
		longest = max(longest, p.end(instance))
	}
	return longest
}

// end waits until the instance has exited, and starts it again if the row says so.
func (p *play) end(instance *process) (took time.Duration) {
	took = instance.awaitExit()
	if p.restart {
		instance.launch()
	}
	return took
}

// playSteps plays the chosen steps, at their times after begun.
func (p *play) playSteps(begun time.Time, chosen func(step) bool) {
	steps := slices.Clone(p.steps)
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, s := range steps {
		if chosen(s) {
			time.Sleep(time.Until(begun.Add(s.at)))
			s.do(p)
		}
	}
}

var (
	lostLine   = regexp.MustCompile(`"event":504,.*"id":"([^"]*)".*"reason":"([^"]*)"`)
	stopEvents = regexp.MustCompile(`"event":10[234],`)
)

// report logs the requests that were lost or closed late with the reasons that the instances logged, and the lines of the
// stops.
func (p *play) report(bad []attempt) {
	t := p.deployment.t
	t.Helper()
	logged := make(map[string]string)
	for _, instance := range p.processes {
		for _, m := range lostLine.FindAllStringSubmatch(instance.log(), -1) {
			logged[m[1]] = m[2]
		}
	}
	reasons := make(map[string]int)
	for i, a := range bad {
		reason := cmp.Or(logged[a.id], "none logged")
		reasons[reason]++
		if i < maxShown {
			at := p.processes[0].stop.first
			t.Logf("%s, %s: sent %v and ended %v after SIGTERM, response begun: %v, %v", a.id, reason, a.sent.Sub(at), a.ended.Sub(at), a.begun, a.err)
		}
	}
	if len(bad) == 0 {
		return
	}
	t.Logf("reasons: %v", reasons)
	for _, line := range strings.Split(p.processes[0].log(), "\n") {
		if stopEvents.MatchString(line) {
			t.Log(line)
		}
	}
}
