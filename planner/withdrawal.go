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

// PauseLeft returns how long it takes until the first upstream that could serve the request wants
// requests again, if all of them asked for a pause. It returns false if one wants requests now, or if
// there is none.
func (p *Planner) PauseLeft(req *Request) (time.Duration, bool) {
	view := p.View()
	if view == nil || req.Route == nil {
		return 0, false
	}
	shortest, found := time.Duration(0), false
	for _, u := range view.Service(req.Service) {
		if p.withdrawals.Left(u) || !req.AllowsRegion(u.Region()) {
			continue
		}
		wait := p.withdrawals.PauseLeft(u)
		if wait == 0 {
			return 0, false
		}
		if !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest, found
}
