package upstream

import (
	"time"

	"hickorydrum/fault"
	"hickorydrum/fleet"
	"hickorydrum/withdrawal"
)

// run is one run of the upstream at an address.
type run struct {
	// number counts the runs that this instance has seen. It takes the place of a start time in the
	// view: that of the first run is long past, so that upstreams of the first view do not count as
	// cold.
	number int64
	// startMillis is the start that the upstream's health page names, 0 as long as it names none.
	startMillis int64
}

// runAt returns the run of the upstream at an address. The lock is held.
func (p *Pool) runAt(address string) run {
	if r, ok := p.runs[address]; ok {
		return r
	}
	return run{number: 1}
}

// recordLeaving records that a run of an upstream leaves. If its health page names its start, only a
// new start ends that, and otherwise a page that reports it as ready.
func (p *Pool) recordLeaving(u *fleet.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leave(u) {
		p.updateView(time.Now())
	}
}

// leave records that a run of an upstream leaves, and reports whether that is new. The lock is held.
func (p *Pool) leave(u *fleet.Upstream) bool {
	current := p.runAt(u.Address)
	if current.startMillis > 0 || u.StartMillis < current.number {
		return p.withdrawals.Leave(u)
	}
	if p.draining[u.Address] {
		return false
	}
	p.draining[u.Address] = true
	return true
}

// setHealth applies the health page of the upstream at an address.
func (p *Pool) setHealth(address string, page healthPage) {
	if page.Start <= 0 {
		p.setDraining(address, page.State == stateDraining)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.runAt(address)
	if page.Start < old.startMillis {
		return // of a run that has ended
	}
	current := run{number: old.number, startMillis: page.Start}
	if old.startMillis > 0 && page.Start > old.startMillis {
		current.number++
	}
	p.runs[address] = current
	leaves := page.State == stateDraining || old.startMillis == 0 && p.draining[address]
	delete(p.draining, address)
	if current.number != old.number {
		p.updateView(time.Now())
	}
	if u, ok := p.view.Upstream(address); ok && leaves && p.leave(u) {
		p.updateView(time.Now())
	}
}

// noUpstream returns the fault of a request whose service has no usable upstream in the region. If
// some asked for a pause, its caller is to return after the shortest one that lasts. The lock is held.
func (p *Pool) noUpstream(req *Request) *fault.Error {
	pause := time.Duration(0)
	for _, u := range p.view.Service(req.Service) {
		if wait := p.withdrawals.PauseLeft(u); wait > 0 && u.Region() == req.Region && (pause == 0 || wait < pause) {
			pause = wait
		}
	}
	at := time.Now().Add(retryDelay)
	if pause > 0 {
		at = time.Now().Add(withdrawal.ReturnAfter(pause))
	}
	return notExecuted(fault.Unavailable, "no upstream of the service may be used in the region", "retry after the given time",
		fault.WithRetryAt(at))
}
