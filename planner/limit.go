package planner

import (
	"time"

	"hickorydrum/fleet"
	"hickorydrum/limit"
	"hickorydrum/placement"
)

// maxOffers bounds the upstreams with a limit to which one choice offers a request. After
// them only upstreams without a limit are left, so that a choice stays cheap while many
// upstreams have one.
const maxOffers = 4

// Choose returns the upstream to which a request is sent next, by the newest view. An
// upstream whose limit has no room is passed over. If there is none, the choice has index
// -1 and the upstream is nil; the reason is placement.ReasonLimited if a limit was the cause, and
// placement.ReasonPaused if a pause was.
// SetView and StartRequest must have been called before.
func (p *Planner) Choose(req *Request, now time.Time) (placement.Choice, *fleet.Upstream) {
	choice, u := p.chooseWithRoom(req, now)
	p.admissions.record(req, choice.Reason, p.tracker, now)
	return choice, u
}

// chooseWithRoom is Choose without the record of the decision.
func (p *Planner) chooseWithRoom(req *Request, now time.Time) (placement.Choice, *fleet.Upstream) {
	for offers := range maxOffers + 1 {
		choice, u := p.chooseOnce(req, offers == maxOffers, now)
		if u == nil {
			return p.withoutUpstream(req, choice), nil
		}
		if p.tracker.Offer(u, p.countInstances, now) {
			return choice, u
		}
		if req.heldBack == nil {
			req.heldBack, req.firstHeldBack = make(map[string]bool), u.ID
		}
		req.heldBack[u.ID] = true
	}
	// A limit was named between the last two choices.
	return p.withoutUpstream(req, placement.Choice{Index: -1, Reason: placement.ReasonNone}), nil
}

// withoutUpstream returns the choice of no upstream with its reason: if none is left and a limit
// held the request back, that is the limit, and if only pauses are in the way, those.
func (p *Planner) withoutUpstream(req *Request, choice placement.Choice) placement.Choice {
	if choice.Reason != placement.ReasonNone {
		return choice
	}
	if len(req.heldBack) > 0 {
		choice.Reason = placement.ReasonLimited
	} else if _, ok := p.PauseLeft(req); ok {
		choice.Reason = placement.ReasonPaused
	}
	return choice
}

// RetryAt returns the instant at which the first upstream whose limit held the request back
// is expected to have room for it. The room is kept for the request if its caller still waits
// then. It returns false if no limit held the request back.
func (p *Planner) RetryAt(req *Request, now time.Time) (time.Time, bool) {
	if req.firstHeldBack == "" {
		return time.Time{}, false
	}
	return p.tracker.RetryAt(req.firstHeldBack, req.Deadline, p.countInstances, now), true
}

// RecordLimit records what the response of an upstream says of its limit. It returns the
// limit and whether it changed.
func (p *Planner) RecordLimit(u *fleet.Upstream, r limit.Response, now time.Time) (limit.State, bool) {
	return p.tracker.RecordLimit(u, r, now)
}

// countInstances returns how many instances may be running.
func (p *Planner) countInstances() int {
	_, all := p.instances.Count(p.location.Region)
	return all
}
