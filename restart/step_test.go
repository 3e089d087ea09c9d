package restart

import (
	"os/exec"
	"syscall"
	"testing"
	"time"

	"hickorydrum/standin"
)

// step is something that happens during a row, at a time after the first SIGTERM, or before it
// if at is negative.
type step struct {
	at time.Duration
	do func(p *play)
}

// sendSignal sends a signal to all processes.
func sendSignal(s syscall.Signal) func(*play) {
	return func(p *play) {
		for _, instance := range p.processes {
			instance.signal(s)
		}
	}
}

// pauseMargin is how long before the end of the grace period a paused process continues at the
// latest.
const pauseMargin = 400 * time.Millisecond

// pause stops all processes for the given time, or until pauseMargin before the grace period of one
// ends. It does not stop those that have exited.
func pause(d time.Duration) func(*play) {
	return func(p *play) {
		until := time.Now().Add(d)
		for _, instance := range p.processes {
			last := instance.stop.last()
			if end := last.Add(p.grace - pauseMargin); !last.IsZero() && end.Before(until) {
				until = end
			}
		}
		if time.Now().After(until) {
			return
		}
		sendSignal(syscall.SIGSTOP)(p)
		time.Sleep(time.Until(until))
		sendSignal(syscall.SIGCONT)(p)
	}
}

// repeat returns steps that do the same at an interval, from the first SIGTERM until the given time.
func repeat(every, until time.Duration, do func(*play)) (steps []step) {
	for at := time.Duration(0); at < until; at += every {
		steps = append(steps, step{at, do})
	}
	return steps
}

// configure writes a configuration with another idle timeout.
func configure(idle time.Duration) func(*play) {
	return func(p *play) { p.deployment.configure(configuration{timeout: p.timeout, idle: idle}) }
}

// unroute writes a configuration without the route for safe requests, and a moment later one with it.
func unroute(p *play) {
	p.deployment.configure(configuration{timeout: p.timeout, idle: p.idle, unrouted: true})
	time.Sleep(300 * time.Millisecond)
	p.deployment.configure(configuration{timeout: p.timeout, idle: p.idle})
}

// writeSettings changes the settings files, and writes one that can't be read in between.
func writeSettings(p *play) {
	for _, instance := range p.processes {
		instance.writeSettings("this is no setting")
	}
	time.Sleep(300 * time.Millisecond)
	for _, instance := range p.processes {
		instance.writeSettings("[terms.other]", "value = 1")
	}
}

// removeUpstream makes the first upstream leave: it drains, its entry is deleted, and it ends once
// it runs no request.
func removeUpstream(p *play) {
	w := p.deployment.workers[0]
	p.deployment.register(w, "draining")
	time.Sleep(500 * time.Millisecond)
	p.deployment.unregister(w)
	p.deployment.await("upstream without requests", func() bool { return w.Running() == 0 })
	if err := w.Close(); err != nil {
		p.deployment.t.Error(err)
	}
}

// failStore makes the store fail all calls from now on.
func failStore(f standin.StoreFault) func(*play) {
	return func(p *play) { p.deployment.store.Fail(f, -1) }
}

// drill makes the store come back from a copy that lacks two changes of the configuration, which are written again.
func drill(p *play) {
	backup := p.deployment.store.Copy()
	unroute(p)
	p.deployment.store.Restore(backup)
	time.Sleep(300 * time.Millisecond)
	p.deployment.configure(configuration{timeout: p.timeout, idle: p.idle})
}

// startBusy starts a process that keeps a core busy until the test ends.
func startBusy(t *testing.T) {
	t.Helper()
	command := exec.Command("sh", "-c", "while :; do :; done")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait() // it was killed
	})
}
