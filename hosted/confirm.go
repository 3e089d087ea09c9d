package hosted

import (
	"context"
	"time"

	"hickorydrum/freshness"
	"hickorydrum/gossip"
	"hickorydrum/revision"
)

const (
	// maxConfirmSleep bounds how long keepConfirmed sleeps, so that it notices a pause of the process.
	maxConfirmSleep = 250 * time.Millisecond
	// pausedAfter is the delay of a wake-up from which the process counts as paused. What peers said
	// meanwhile may be as old as the pause is long.
	pausedAfter = 300 * time.Millisecond
	// maxReported bounds the confirmations that wait for changes.
	maxReported = 4
)

// confirming is what a follower knows of how current its mirrors are. The follower's lock guards it, but for the
// record.
type confirming struct {
	record *freshness.Record // never replaced
	// checked is the store's revision up to which all mirrors have all changes.
	checked revision.Revision
	// seen holds the revisions after it of changes that the store has returned.
	seen map[revision.Revision]bool
	// reported are the newest confirmations of peers, from old to new. Each counts once this instance
	// has the same objects as the peer.
	reported []gossip.Confirmation
	// toldAt is the time of the newest confirmation that the members of the failure domain have.
	toldAt time.Time
	// asks counts the calls to the store since a peer confirmed the state, of an instance that does
	// not watch it, failures those in a row that failed.
	asks     int
	failures int
	askedAt  time.Time // of the first of the asks
	retryAt  time.Time // no call before it, after a failed one
	// takeoverUntil is until when the instance watches the store whatever its rank.
	takeoverUntil time.Time
	wakeAt        time.Time // when keepConfirmed wakes next; zero while it makes calls
	// unexplainedAt is the earliest time of the next lists for a change that no watch shows.
	unexplainedAt   time.Time
	unexplainedWait time.Duration
}

// keepConfirmed asks the store each time that the state was confirmed too long ago, by the store or by
// peers, until the context is done.
func (f *follower) keepConfirmed(ctx context.Context) error {
	for ctx.Err() == nil {
		now := f.now()
		f.replaceStalledWatches()
		wait := f.untilCheck(now)
		if wait <= 0 {
			f.check(ctx)
			continue
		}
		f.sleepUntil(ctx, now.Add(min(wait, maxConfirmSleep)))
	}
	return nil
}

// sleepUntil sleeps until an instant, or until nudge is called, or the context is done. If it wakes
// much later, the process was paused, and what peers said last counts as so much older.
func (f *follower) sleepUntil(ctx context.Context, at time.Time) {
	f.mu.Lock()
	f.confirming.wakeAt = at
	f.mu.Unlock()
	timer := time.NewTimer(at.Sub(f.now()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.nudged:
	case <-timer.C:
	}
	late := f.now().Sub(at)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirming.wakeAt = time.Time{}
	if late > pausedAfter {
		f.confirming.record.Age(late)
		f.confirming.retryAt = time.Time{}
	}
	f.showAges()
}

// nudge makes keepConfirmed look again at what is due.
func (f *follower) nudge() {
	select {
	case f.nudged <- struct{}{}:
	default: // it is about to
	}
}

// untilCheck returns how long the state may still be relied upon without a call to the store.
func (f *follower) untilCheck(now time.Time) time.Duration {
	checkAge, askAge := f.budget().Check(f.mesh.CheckPosition()), f.budget().Ask(f.mesh.AskPosition())
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.confirming
	if f.watching && !f.outageSince.IsZero() {
		return maxConfirmSleep // pingStore finds out when the store answers again
	}
	age := askAge
	if f.watching || c.asks > 0 {
		age = checkAge
	}
	_, oldest := c.record.Oldest()
	due := oldest.At.Add(age)
	// While a peer has changes that are missing here, it asks the store for both, and the changes are on their way.
	if n := len(c.reported); n > 0 {
		due = later(due, earlier(c.reported[n-1].At.Add(age), oldest.At.Add(askAge)))
	}
	due = later(due, c.retryAt)
	wait := due.Sub(now)
	for _, kind := range kinds() {
		if at, ok := f.stalledAt(kind); ok {
			wait = min(wait, time.Until(at))
		}
	}
	return wait
}

// handleConfirmation handles a peer's statement that its state is current. It counts for this instance
// if that has the same objects; changes that only the peer has are fetched as after any other notice.
func (f *follower) handleConfirmation(c gossip.Confirmation) {
	f.mu.Lock()
	wakeAt := f.confirming.wakeAt
	if !wakeAt.IsZero() && f.now().Sub(wakeAt) > pausedAfter {
		f.mu.Unlock()
		return // it may have been received during a pause of this process
	}
	f.confirming.addReported(c)
	f.confirmByPeer()
	f.mu.Unlock()
	f.handleNotice(gossip.RevisionNotice{From: c.From, SameDomain: c.SameDomain, Newest: c.Newest})
	f.tellDomain()
}

// addReported adds a confirmation, unless a newer one is known.
func (c *confirming) addReported(one gossip.Confirmation) {
	n := len(c.reported)
	if len(one.Newest) < len(kinds()) || len(one.Digests) < len(kinds()) || n > 0 && !one.At.After(c.reported[n-1].At) {
		return
	}
	c.reported = append(c.reported, one)
	c.reported = c.reported[max(0, len(c.reported)-maxReported):]
}

// confirmByPeer records the newest confirmation of a peer that has the same objects as this instance, for each
// kind. f.mu must be held.
func (f *follower) confirmByPeer() {
	c := &f.confirming
	if !f.allLoaded() {
		return
	}
	done := 0 // of the confirmations, how many count for all kinds
	for n := range c.reported {
		if f.confirmBy(&c.reported[n]) {
			done = n + 1
		}
	}
	c.reported = c.reported[done:]
}

// confirmBy records one confirmation of a peer for the kinds of which it has the same objects of the same era as this
// instance: a state of an earlier era may look the same, and is not what the store has now. It reports whether those
// are all kinds. f.mu must be held.
func (f *follower) confirmBy(reported *gossip.Confirmation) bool {
	c, all, confirmed := &f.confirming, true, false
	for i, kind := range kinds() {
		if m := f.mirrors[kind]; m.Digest() != reported.Digests[i] || m.Newest().Era != reported.Newest[i].Era {
			all = false
			continue
		}
		confirmed = c.record.Confirm(kind, reported.At, reported.From.String()) || confirmed
	}
	if all && reported.SameDomain {
		c.toldAt = later(c.toldAt, reported.At)
	}
	if all && confirmed {
		f.endAsk(reported.From.String())
	}
	return all
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// tellDomain passes a peer's confirmation on to the members of the failure domain if they have no
// recent one.
func (f *follower) tellDomain() {
	f.mu.Lock()
	c := &f.confirming
	_, oldest := c.record.Oldest()
	if !f.allLoaded() || oldest.Source == "" || oldest.At.Sub(c.toldAt) < f.budget().Check(0)/2 {
		f.mu.Unlock()
		return
	}
	c.toldAt = oldest.At
	own := f.ownConfirmation(oldest.At)
	f.mu.Unlock()
	f.mesh.Confirm(own, false)
}

// ownConfirmation returns the statement that the state of this instance has all changes up to an instant. f.mu
// must be held.
func (f *follower) ownConfirmation(at time.Time) gossip.Confirmation {
	c := gossip.Confirmation{Newest: f.newest(), At: at}
	for _, kind := range kinds() {
		c.Digests = append(c.Digests, f.mirrors[kind].Digest())
	}
	return c
}

// showAges sets the metrics of how long ago the state of each kind was last confirmed. f.mu must be held.
func (f *follower) showAges() {
	now := f.now()
	for _, kind := range kinds() {
		if c := f.confirming.record.Of(kind); !c.At.IsZero() {
			f.ages[kind].Set(now.Sub(c.At).Seconds())
		}
	}
}

// confirmation returns up to when the state of a kind is known to be current, by the clock of package clock. It
// does not take f.mu, which is held while a state is encoded for a peer: it is called for each request.
func (f *follower) confirmation(kind string) freshness.Confirmation {
	return f.confirming.record.Of(kind)
}

// budget returns how the time is divided within which a change has to be in force.
func (f *follower) budget() freshness.Budget { return *f.bound.Load() }

// setBound sets the time within which a change has to be in force.
func (f *follower) setBound(bound time.Duration) {
	budget := freshness.NewBudget(bound)
	f.bound.Store(&budget)
}
