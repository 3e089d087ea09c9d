package hosted

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/freshness"
	"hickorydrum/gossip"
	"hickorydrum/mirror"
	"hickorydrum/platform"
)

const (
	// maxConfirmSleep bounds how long keepConfirmed sleeps, so that it notices a pause of the process.
	maxConfirmSleep = 250 * time.Millisecond
	// pausedAfter is the delay of a wake-up from which the process counts as paused. What peers said
	// meanwhile may be as old as the pause is long.
	pausedAfter = 300 * time.Millisecond
	// minAskDelay and maxAskDelay bound the exponential delay after a failed call of an instance that
	// does not watch the store. Those that watch it ping it, and tell the others when it answers.
	minAskDelay = 500 * time.Millisecond
	maxAskDelay = 3 * time.Second
	// takeoverAfter is how many times in a row an instance asks the store for itself before it watches
	// it, and takeoverFor for how long it then does, whatever its rank: long enough for the members
	// that rank before it to count as dead if they are.
	takeoverAfter = 2
	takeoverFor   = 4 * time.Second
	// minUnexplainedWait and maxUnexplainedWait bound the exponential delay after lists of all objects
	// that did not show the change at the store's revision, such as one of an object that is not
	// followed.
	minUnexplainedWait = time.Second
	maxUnexplainedWait = 16 * time.Second
	// maxReported bounds the confirmations that wait for changes.
	maxReported = 4
)

// confirming is what a follower knows of how current its mirrors are. The follower's lock guards it.
type confirming struct {
	record *freshness.Record
	// checked is the store's revision up to which all mirrors have all changes.
	checked uint64
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
	// While a peer has changes that are missing here, they are on their way, and the peer asks the store.
	if n := len(c.reported); n > 0 {
		due = later(due, earlier(c.reported[n-1].At.Add(age), oldest.At.Add(askAge)))
	}
	if c.retryAt.After(due) {
		due = c.retryAt
	}
	if missing := f.nextStalled(); !missing.IsZero() && missing.Before(due) {
		due = missing
	}
	return due.Sub(now)
}

// check asks the store whether it has changes that are missing here, loads them, and tells peers that
// the state is current. It costs one call if the store's revision is the same as at the last check.
func (f *follower) check(ctx context.Context) {
	begun := f.now()
	f.beginAsk(begun)
	callCtx, cancel := context.WithTimeout(ctx, f.budget().Call())
	defer cancel()
	revision, err := f.loadChanges(callCtx)
	f.mu.Lock()
	if took := f.now().Sub(begun); took > f.budget().Call()+pausedAfter {
		f.confirming.record.Age(took)
	}
	f.mu.Unlock()
	f.endCheck(ctx, begun, revision, err)
}

// loadChanges loads the changes that are missing here from the store and returns its revision. After a
// failure it pings the store first, which costs that little.
func (f *follower) loadChanges(ctx context.Context) (revision uint64, err error) {
	f.mu.Lock()
	failures := f.confirming.failures
	f.mu.Unlock()
	if failures > 0 {
		if err := f.store.Ping(ctx); err != nil {
			return 0, err
		}
	}
	page, err := f.store.List(ctx, platform.KindEvacuations+"/")
	if err != nil {
		return 0, err
	}
	f.storeAnswered()
	from := f.received(platform.KindEvacuations, mirror.FromList, "")
	f.applyChange(platform.KindEvacuations, true, func(m *mirror.Mirror) bool { return m.List(page, from) })
	return page.Cursor, f.checkKinds(ctx, page.Cursor)
}

// checkKinds loads the changes up to a revision of the store of all kinds but that of evacuations.
func (f *follower) checkKinds(ctx context.Context, revision uint64) error {
	if f.hasAll(revision) {
		return nil
	}
	changed, err := f.forKinds(func(kind string) (bool, error) { return f.recheck(ctx, kind, revision) })
	if err != nil || changed || f.explains(revision) || !f.allowUnexplained() {
		return err
	}
	// The watches of this instance may be stalled, those of the rechecks too.
	changed, err = f.forKinds(func(kind string) (bool, error) { return f.relist(ctx, kind) })
	f.endUnexplained(changed)
	return err
}

// forKinds calls check for each kind but that of evacuations at the same time. It reports whether one
// of the calls did, and returns one of their errors.
func (f *follower) forKinds(check func(kind string) (bool, error)) (bool, error) {
	var group errgroup.Group
	changed := make([]bool, len(kinds()))
	for i, kind := range kinds() {
		if kind == platform.KindEvacuations {
			continue
		}
		group.Go(func() error {
			var err error
			changed[i], err = check(kind)
			return err
		})
	}
	err := group.Wait()
	for _, one := range changed {
		if one {
			return true, err
		}
	}
	return false, err
}

// recheck loads the changes of a kind by a watch that does not wait for further ones, unless the mirror
// has all up to the revision. It reports whether there were any.
func (f *follower) recheck(ctx context.Context, kind string, revision uint64) (bool, error) {
	f.mu.Lock()
	cursor, loaded := f.mirrors[kind].Cursor(), f.mirrors[kind].Cursor() > 0
	f.mu.Unlock()
	if cursor >= revision {
		return false, nil
	}
	if !loaded {
		return f.relist(ctx, kind)
	}
	page, err := f.store.Watch(ctx, kind+"/", cursor, recheckWait)
	if fault.KindOf(err) == fault.Conflict {
		return f.relist(ctx, kind)
	}
	if err != nil || len(page.Objects) == 0 {
		return false, err
	}
	from := f.received(kind, mirror.FromWatch, "")
	f.applyChange(kind, true, func(m *mirror.Mirror) bool { return m.ApplyEvents(page, from) })
	f.restartWatch(kind)
	return true, nil
}

// relist lists a kind and reports whether the mirror has a newer change than before.
func (f *follower) relist(ctx context.Context, kind string) (bool, error) {
	before := f.newestOf(kind)
	if err := f.list(ctx, kind); err != nil {
		return false, err
	}
	if f.newestOf(kind) == before {
		return false, nil
	}
	f.restartWatch(kind)
	return true, nil
}

func (f *follower) newestOf(kind string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirrors[kind].Newest()
}

// restartWatch cancels the watch of a kind under way if there is one: it has not returned a change that
// the store has.
func (f *follower) restartWatch(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watching {
		stalledWatches.Inc()
		f.watches[kind].cancel()
	}
}

// hasAll reports whether the mirrors of all kinds are known to have all changes up to a revision of the
// store.
func (f *follower) hasAll(revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.allLoaded() {
		return false
	}
	checked := max(f.confirming.checked, f.leastCursor())
	if checked >= revision {
		return true
	}
	// Each change has a revision of its own.
	known := make(map[uint64]bool)
	for _, m := range f.mirrors {
		for _, one := range m.Revisions(checked) {
			known[one] = one <= revision
		}
	}
	n := uint64(0)
	for _, counts := range known {
		if counts {
			n++
		}
	}
	return n == revision-checked
}

// leastCursor returns the revision up to which the mirrors of all kinds have all changes by their own
// cursors. f.mu must be held.
func (f *follower) leastCursor() uint64 {
	least := uint64(math.MaxUint64)
	for _, m := range f.mirrors {
		least = min(least, m.Cursor())
	}
	return least
}

// explains reports whether some mirror has the change at a revision of the store.
func (f *follower) explains(revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.mirrors {
		if m.Newest() >= revision {
			return true
		}
	}
	return false
}

func (f *follower) allowUnexplained() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.now().Before(f.confirming.unexplainedAt)
}

// endUnexplained records whether lists showed a change that no watch had shown.
func (f *follower) endUnexplained(changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.confirming
	if changed {
		c.unexplainedWait, c.unexplainedAt = 0, time.Time{}
		return
	}
	c.unexplainedWait = min(maxUnexplainedWait, max(minUnexplainedWait, 2*c.unexplainedWait))
	c.unexplainedAt = f.now().Add(c.unexplainedWait)
}

// beginAsk logs the first call of an instance that nobody confirms the state to, although it does not
// watch the store.
func (f *follower) beginAsk(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.confirming
	if f.watching {
		return
	}
	c.asks++
	if c.asks > 1 {
		return
	}
	c.askedAt = now
	kind, oldest := c.record.Oldest()
	event.AskBegun.Log(context.Background(), f.log, slog.String("kind", kind),
		slog.Int64("age_ms", now.Sub(oldest.At).Milliseconds()), slog.String("source", oldest.Source))
}

// endAsk logs that the instance needs not ask the store for itself any more, and who confirms the state
// now. f.mu must be held.
func (f *follower) endAsk(source string) {
	c := &f.confirming
	if c.asks == 0 {
		return
	}
	event.AskEnded.Log(context.Background(), f.log, slog.String("source", source), slog.Int("asks", c.asks),
		slog.Int64("lasted_ms", f.now().Sub(c.askedAt).Milliseconds()))
	c.asks, c.failures = 0, 0
}

// endCheck records the result of a check that began at an instant and got a revision of the store.
func (f *follower) endCheck(ctx context.Context, begun time.Time, revision uint64, err error) {
	f.mu.Lock()
	watching := f.watching
	f.mu.Unlock()
	if err != nil {
		countCheck(watching, "failed")
		f.checkFailed(ctx, err)
		return
	}
	countCheck(watching, "answered")
	f.mu.Lock()
	c := &f.confirming
	c.checked, c.failures, c.retryAt = max(c.checked, revision), 0, time.Time{}
	if c.asks >= takeoverAfter {
		c.takeoverUntil = time.Now().Add(takeoverFor)
	}
	for _, kind := range kinds() {
		c.record.Confirm(kind, begun, freshness.SourceStore)
	}
	c.toldAt = begun
	own := f.ownConfirmation(begun)
	f.showAges()
	f.mu.Unlock()
	f.mesh.Confirm(own, true)
}

// checkFailed records a failed check. An instance that watches the store leaves the next try to
// pingStore.
func (f *follower) checkFailed(ctx context.Context, err error) {
	f.storeFailedUnlessDone(ctx, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.confirming
	wait := min(maxAskDelay, minAskDelay<<min(c.failures, maxDoublings))
	c.failures++
	c.retryAt = f.now().Add(wait/2 + rand.N(wait))
}

// countCheck counts a check by its outcome and by whether the instance watches the store.
func countCheck(watching bool, outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickorydrum_store_checks_total{watching="%t",outcome=%q}`, watching, outcome)).Inc()
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

// confirmBy records one confirmation of a peer for the kinds of which it has the same objects. It reports whether those are all. f.mu must be held.
func (f *follower) confirmBy(reported *gossip.Confirmation) bool {
	c, all, confirmed := &f.confirming, true, false
	for i, kind := range kinds() {
		if f.mirrors[kind].Digest() != reported.Digests[i] {
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

// confirmation returns up to when the state of a kind is known to be current, by the clock of package clock.
func (f *follower) confirmation(kind string) freshness.Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirming.record.Of(kind)
}

// nextStalled returns when the watch of some kind counts as stalled, the zero time if no change is
// missing. f.mu must be held.
func (f *follower) nextStalled() time.Time {
	var next time.Time
	for _, kind := range kinds() {
		w := f.watches[kind]
		if !f.watching || w.recheck || !f.missesChange(kind) || f.mirrors[kind].Cursor() == 0 {
			continue
		}
		at := f.now().Add(f.budget().Missing() - time.Since(w.missingSince))
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// replaceStalledWatches replaces the watches that have not returned changes which a peer has.
func (f *follower) replaceStalledWatches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, kind := range kinds() {
		if f.missesChange(kind) {
			f.replaceIfStalled(kind, time.Now())
		}
	}
}

// replaceIfStalled cancels the watch under way of a kind if a change is missing for too long. The next
// one is a recheck. f.mu must be held.
func (f *follower) replaceIfStalled(kind string, now time.Time) {
	w := f.watches[kind]
	if !f.watching || w.recheck || f.mirrors[kind].Cursor() == 0 || now.Sub(w.missingSince) <= f.budget().Missing() {
		return
	}
	w.missingSince, w.recheck = now, true
	stalledWatches.Inc()
	w.cancel()
}

// budget returns how the time is divided within which a change has to be in force.
func (f *follower) budget() freshness.Budget { return *f.bound.Load() }

// setBound sets the time within which a change has to be in force.
func (f *follower) setBound(bound time.Duration) {
	budget := freshness.NewBudget(bound)
	f.bound.Store(&budget)
}
