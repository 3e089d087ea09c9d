package planner

import (
	"time"

	"hickorydrum/fleet"
)

// RecordLeaving records that an upstream leaves: from now on it gets no more requests, whatever an
// entry says of this run of it. It reports whether that is new.
func (p *Planner) RecordLeaving(u *fleet.Upstream) bool { return p.withdrawals.Leave(u) }

// RecordPause records that an upstream wants no requests from this instance for a time. It reports
// whether that is later than what was known.
func (p *Planner) RecordPause(u *fleet.Upstream, wait time.Duration) bool {
	return p.withdrawals.Pause(u, wait)
}

// Left reports whether an upstream leaves or has left.
func (p *Planner) Left(u *fleet.Upstream) bool { return p.withdrawals.Left(u) }

// PauseLeft returns how long it takes until the first upstream that could serve the request and asked
// for a pause wants requests again. It returns false if there is none.
func (p *Planner) PauseLeft(req *Request) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, u := range p.View().Service(req.Service) {
		wait := p.withdrawals.PauseLeft(u)
		if wait == 0 || p.withdrawals.Left(u) || !req.Route.AllowsRegion(u.Region()) {
			continue
		}
		if !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest, found
}
