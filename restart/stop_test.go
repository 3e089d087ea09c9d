package restart

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// row is one planned stop under load.
type row struct {
	grace, work, timeout time.Duration
	callers              int
	fresh                bool
	path, method         string
	pause                time.Duration // longest pause of a caller between two requests
	// moment, if set, is when after SIGTERM each caller sends its second request, give or take spread.
	moment, spread time.Duration
	// pausedAt and resumedAt, if set, are when after SIGTERM the process is paused and goes on.
	pausedAt, resumedAt time.Duration
	// opened is when after SIGTERM a caller opens the connection for its second request.
	opened time.Duration
}

// stopTime tells callers when SIGTERM was sent.
type stopTime struct {
	sent chan struct{} // closed once at is set
	at   time.Time
}

// wait waits until a caller of the row is to send its request number n.
func (r row) wait(random *rand.Rand, n int, stop *stopTime) {
	if r.moment == 0 || n != 1 {
		time.Sleep(time.Duration(random.Int64N(int64(r.pause))))
		return
	}
	<-stop.sent
	time.Sleep(time.Until(stop.at.Add(r.moment + time.Duration(random.Int64N(int64(2*r.spread))) - r.spread)))
}

// waitToOpen waits until a caller of the row is to open the connection for its request number n.
func (r row) waitToOpen(n int, stop *stopTime) {
	if r.opened > 0 && n == 1 {
		<-stop.sent
		time.Sleep(time.Until(stop.at.Add(r.opened)))
	}
}

// pauseProcess pauses the process for a part of its stop, if the row wants that.
func (r row) pauseProcess(p *process, signalled time.Time) {
	if r.pausedAt == 0 {
		return
	}
	time.Sleep(time.Until(signalled.Add(r.pausedAt)))
	p.signal(syscall.SIGSTOP)
	time.Sleep(time.Until(signalled.Add(r.resumedAt)))
	p.signal(syscall.SIGCONT)
}

// TestStopLosesNothing stops an instance with SIGTERM while callers use their connections until it is
// gone. It guards against requests that an upstream runs and whose caller gets no whole response, and
// against requests that the kernel has and nobody reads.
func TestStopLosesNothing(t *testing.T) {
	for name, r := range map[string]row{
		"upstreams as slow as the timeout": {
			grace: 4 * time.Second, work: 1800 * time.Millisecond, timeout: 2 * time.Second, callers: 40,
			path: "/order/", method: http.MethodPost, pause: 2 * time.Second,
		},
		"a new connection each, slow upstreams": {
			grace: 4 * time.Second, work: 1800 * time.Millisecond, timeout: 2 * time.Second, callers: 40, fresh: true,
			path: "/read/", method: http.MethodGet, pause: 2 * time.Second,
		},
		"a new connection each, fast upstreams": {
			grace: 3 * time.Second, work: 5 * time.Millisecond, timeout: time.Second, callers: 100, fresh: true,
			path: "/order/", method: http.MethodPost, pause: 20 * time.Millisecond,
		},
		"idle since before the signal": {
			grace: 3 * time.Second, work: 5 * time.Millisecond, timeout: time.Second, callers: 200,
			path: "/order/", method: http.MethodPost, pause: 8 * time.Second,
		},
		"idle connections used as they are closed": {
			grace: 3 * time.Second, work: 5 * time.Millisecond, timeout: time.Second, callers: 400,
			path: "/order/", method: http.MethodPost, pause: 200 * time.Millisecond,
			moment: 1300 * time.Millisecond, spread: 4 * time.Millisecond,
		},
		"paused before the end, used meanwhile": {
			grace: 3 * time.Second, work: 5 * time.Millisecond, timeout: time.Second, callers: 200, fresh: true,
			path: "/order/", method: http.MethodPost, pause: 200 * time.Millisecond,
			opened: 900 * time.Millisecond, moment: 1050 * time.Millisecond, spread: 20 * time.Millisecond,
			pausedAt: time.Second, resumedAt: 1400 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r.check(t, 1)
		})
	}
}

// check runs the row with a seed, and fails the test if a request is lost.
func (r row) check(t *testing.T, seed uint64) {
	t.Helper()
	d := newDeployment(t, r.grace)
	d.configure(r.timeout, 0)
	d.worker(r.work)
	p := d.start("a")
	j, stop := &journal{}, &stopTime{sent: make(chan struct{})}
	end := time.Now().Add(time.Minute)
	for i := range r.callers {
		c := &caller{
			name: fmt.Sprint(i), address: p.address(frontPort), path: r.path, method: r.method, fresh: r.fresh,
			wait:       func(random *rand.Rand, n int) { r.wait(random, n, stop) },
			waitToOpen: func(n int) { r.waitToOpen(n, stop) },
		}
		if r.method == http.MethodPost {
			c.body = "body"
		}
		defer startGroup(func() { c.run(j, seed*1000+uint64(i), end) })()
	}
	time.Sleep(2 * time.Second)
	signalled := time.Now()
	p.signal(syscall.SIGTERM)
	stop.at = signalled
	close(stop.sent)
	r.pauseProcess(p, signalled)
	took := p.awaitExit(signalled)
	time.Sleep(100 * time.Millisecond) // callers see the end of their connections
	c, lost := j.count(d.runs)
	t.Logf("stop took %v; %v", took.Round(time.Millisecond), c)
	for _, a := range lost {
		t.Logf("lost: %s, sent %v and ended %v after SIGTERM: %v", a.id, a.sent.Sub(signalled), a.ended.Sub(signalled), p.linesOf(`"`+a.id+`"`))
	}
	if c.lost > 0 || c.untrue > 0 || c.late > 0 {
		t.Errorf("%d requests were lost, %d rejected though they ran, and %d kept waiting before their connection was closed, want 0",
			c.lost, c.untrue, c.late)
	}
	t.Log(p.linesOf(`"event":10`))
}
