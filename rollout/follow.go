package rollout

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/declaration"
	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/interval"
	"hickorydrum/peer"
	"hickorydrum/platform"
	"hickorydrum/revision"
	"hickorydrum/roster"
)

// Calls between instances.
const (
	// CallHello exchanges the revisions and the digests of the rosters.
	CallHello peer.Call = "hello"
	// CallUpdate requests the changes since a revision.
	CallUpdate peer.Call = "update"
	// CallRoster exchanges the members of failure domains whose digests differ.
	CallRoster peer.Call = "roster"
	// CallList requests the platform's list of instances.
	CallList peer.Call = "list"
)

const (
	// InstanceListKey is the key of the object that stores the InstanceList.
	InstanceListKey = roster.WatchPrefix + "instances"

	// watchWait bounds one watch call at the platform. At each end of one, a relay tells its
	// share of the failure domain that the revision is current.
	watchWait = 4 * time.Second
	// unconfirmedAfter is the age of the last confirmation of its revision from which an
	// instance watches the platform itself.
	unconfirmedAfter   = watchWait + 300*time.Millisecond
	helloInterval      = 2 * time.Second
	callTimeout        = 2 * time.Second
	relayCheckInterval = 250 * time.Millisecond // between checks of an instance that is no relay
	updateTimeout      = 10 * time.Second       // for all parts of an update
	relaysPerDomain    = 2                      // instances of a failure domain that watch the platform
	helloNeighbours    = 2                      // members of the own region that get each hello
)

// InstanceList is the platform's list of live and leaving instances, each by its
// address for callers. Leaving may name upstreams too, by their addresses. The list
// lags behind the real state.
type InstanceList struct {
	Live    []string `json:"live" cbor:"1,keyasint,omitempty"`
	Leaving []string `json:"leaving" cbor:"2,keyasint,omitempty"`
}

// Asker makes unary calls to peers.
type Asker interface {
	Ask(ctx context.Context, to peer.Target, call peer.Call, req, resp any) error
}

// Follower keeps the revision and the roster of one instance up to date. A few
// relays in each failure domain watch the platform and notify the other instances;
// beyond that, instances regularly compare their state with some peers.
type Follower struct {
	state  *State
	store  Store
	roster *roster.Roster
	asker  Asker
	log    *slog.Logger
	onList func(InstanceList)
	onEra  func(relay bool)

	loader       loader
	watchFailing atomic.Bool   // the last call for the watch failed
	changed      chan struct{} // has an entry if peers must be notified of a change

	listMu sync.Mutex // held while a list is applied
	list   listState

	newestMu sync.Mutex
	newest   revision.Revision // the highest that the platform, or a peer, is known to have reached
}

// NewFollower returns a Follower. onList is called with each version of the
// platform's list of instances that this instance gets from the platform or a peer,
// in their order; that of a copy has what was known before, too, for a time.
func NewFollower(
	state *State, store Store, r *roster.Roster, asker Asker, log *slog.Logger, onList func(InstanceList),
) *Follower {
	f := &Follower{
		state: state, store: store, roster: r, asker: asker, log: log, onList: onList, onEra: func(bool) {},
		changed: make(chan struct{}, 1),
	}
	r.OnChange(func(*roster.View) { f.scheduleNotify() })
	return f
}

// OnEra sets the function that is called once for each return of the platform from a copy that this instance learns of.
// relay says whether it is one of the relays of its failure domain then. It must be set before Run.
func (f *Follower) OnEra(onEra func(relay bool)) { f.onEra = onEra }

// Register adds the handlers of the calls to the node.
func (f *Follower) Register(node *peer.Node) {
	node.Handle(CallHello, peer.Unary(f.onHello))
	node.Handle(CallUpdate, peer.Unary(f.onUpdate))
	node.Handle(CallRoster, peer.Unary(f.onRoster))
	node.Handle(CallList, peer.Unary(f.onListCall))
}

// Run watches the platform, if this instance is a relay, and exchanges state with
// peers until the context is done.
func (f *Follower) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return f.watch(ctx) })
	group.Go(func() error { return f.helloLoop(ctx) })
	group.Go(func() error { return f.notifyLoop(ctx) })
	return group.Wait()
}

// isRelay reports whether this instance watches the platform. The first
// relaysPerDomain members of its failure domain do, and so does an instance whose
// revision neither the platform nor a peer has confirmed within unconfirmedAfter.
func (f *Follower) isRelay(now time.Time) bool {
	rank := f.relayRank()
	return rank < relaysPerDomain || now.Sub(f.state.ConfirmedAt()) > unconfirmedAfter
}

// relayRank returns the position of this instance among the live members of its
// failure domain in the order in which they are chosen as relays. It is 0 for an
// instance that is not live, so that it watches the platform too.
func (f *Follower) relayRank() int {
	self := f.roster.Self()
	order := roster.Rank("relay", f.roster.View().Domain(self.Domain))
	for i, m := range order {
		if m.ID() == self.ID() {
			return i
		}
	}
	return 0
}

// watch watches the platform while this instance is a relay, until the context is
// done. After a failure it backs off and lists the objects again, and so it does while
// each watch is refused although the objects were just listed.
func (f *Follower) watch(ctx context.Context) error {
	failures, refusals := 0, 0    // in a row
	var cursor *revision.Revision // nil until the objects were listed; the cursor of an empty store is 0
	for ctx.Err() == nil {
		if !f.isRelay(time.Now()) {
			cursor = nil
			interval.Sleep(ctx, relayCheckInterval)
			continue
		}
		next, refused, err := f.watchOnce(ctx, cursor)
		if err != nil {
			f.watchFailed(ctx, err)
			cursor = nil
			interval.Sleep(ctx, platform.Backoff(failures))
			failures++
			continue
		}
		f.watchRecovered(ctx)
		failures = 0
		cursor = &next
		if !refused {
			refusals = 0
			continue
		}
		if refusals > 0 {
			interval.Sleep(ctx, platform.Backoff(refusals))
		}
		refusals++
	}
	return nil
}

// watchFailed logs the first of several failures in a row.
func (f *Follower) watchFailed(ctx context.Context, err error) {
	if ctx.Err() == nil && !f.watchFailing.Swap(true) {
		event.WatchFailed.Log(ctx, f.log, slog.String("error", err.Error()))
	}
}

// watchRecovered logs the first success after a failure.
func (f *Follower) watchRecovered(ctx context.Context) {
	if f.watchFailing.Swap(false) {
		event.WatchRecovered.Log(ctx, f.log)
	}
}

// watchOnce waits for changes after the cursor, applies them and returns the next cursor, and whether the platform
// refused the watch.
func (f *Follower) watchOnce(ctx context.Context, cursor *revision.Revision) (next revision.Revision, refused bool, err error) {
	page, refused, err := f.nextPage(ctx, cursor)
	if err != nil {
		return revision.Revision{}, refused, err
	}
	f.noteNewest(ctx, page.Cursor, "list")
	if err := f.applyObjects(ctx, page.Objects); err != nil {
		return revision.Revision{}, refused, err
	}
	f.state.Confirm(time.Now())
	f.scheduleNotify()
	return page.Cursor, refused, nil
}

// nextPage waits for changes after the cursor and returns them. It returns all watched objects
// instead if the cursor is nil, or if the platform no longer has the history since the cursor,
// which it reports as a conflict. refused is set in that case.
func (f *Follower) nextPage(ctx context.Context, cursor *revision.Revision) (page platform.Page, refused bool, err error) {
	if cursor != nil {
		page, err := f.store.Watch(ctx, roster.WatchPrefix, *cursor, watchWait)
		if fault.KindOf(err) != fault.Conflict {
			return page, false, err
		}
	}
	page, err = f.store.List(ctx, roster.WatchPrefix)
	return page, cursor != nil, err
}

// applyObjects passes each object to the part of the instance that its key
// belongs to. An instance list that cannot be decoded is skipped.
func (f *Follower) applyObjects(ctx context.Context, objects []platform.Object) error {
	for _, o := range objects {
		switch {
		case o.Key == HeadKey && !o.Deleted:
			if err := f.applyHead(ctx, o); err != nil {
				return err
			}
		case roster.IsKey(o.Key):
			f.roster.Merge(roster.Decode(o))
		case o.Key == InstanceListKey && !o.Deleted:
			var list InstanceList
			if json.Unmarshal(o.Value, &list) == nil {
				f.applyList(listMessage{Version: o.Version.Number, Era: o.Version.Era, List: list})
			}
		}
	}
	return nil
}

// applyHead loads and applies the revision of a head object, unless it is in force
// already. A failure to read its chunks is returned, so that the watch starts
// again; a head that cannot be decoded is only logged.
func (f *Follower) applyHead(ctx context.Context, o platform.Object) error {
	var head Head
	if err := json.Unmarshal(o.Value, &head); err != nil {
		f.logRefused(ctx, o.Version, err)
		return nil
	}
	if !f.state.accepts(o.Version, head.At) {
		return nil
	}
	records, err := f.loader.load(ctx, f.store, head)
	if err != nil {
		return err
	}
	f.apply(ctx, records, o.Version, head.At, "platform")
	return nil
}

// apply brings the records into force as the given revision and schedules a
// notification of the peers. Source is "platform" or the name of the peer that
// sent the records.
func (f *Follower) apply(ctx context.Context, records []declaration.Record, at revision.Revision, appliedAt time.Time, source string) {
	applied, err := f.state.apply(records, at, appliedAt, time.Now())
	if err != nil {
		f.logRefused(ctx, at, err)
		return
	}
	if applied {
		event.RevisionApplied.Log(ctx, f.log, slog.Uint64("revision", at.Number), slog.String("era", at.EraName()), slog.String("source", source))
		f.scheduleNotify()
	}
}

// logRefused logs that a revision could not be brought into force, and why. The
// previous one stays in force.
func (f *Follower) logRefused(ctx context.Context, at revision.Revision, err error) {
	event.RevisionRefused.Log(ctx, f.log, slog.Uint64("revision", at.Number), slog.String("era", at.EraName()), slog.String("error", err.Error()))
}

// scheduleNotify makes notifyLoop notify peers of a change, without waiting for it.
func (f *Follower) scheduleNotify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// notifyLoop sends a hello to the neighbours after each change and each answer of the platform. A relay
// also sends one to its share of the members of its failure domain.
func (f *Follower) notifyLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.changed:
		}
		self := f.roster.Self()
		view := f.roster.View()
		to := f.neighbours(view, self)
		if rank := f.relayRank(); rank < relaysPerDomain {
			for i, m := range view.Domain(self.Domain) {
				if i%relaysPerDomain == rank {
					to = append(to, m)
				}
			}
		}
		f.helloAll(ctx, without(to, self))
	}
}

// without returns the members other than self, each once.
func without(members []roster.Member, self roster.Member) []roster.Member {
	var out []roster.Member
	seen := map[string]bool{self.ID(): true}
	for _, m := range members {
		if !seen[m.ID()] {
			seen[m.ID()] = true
			out = append(out, m)
		}
	}
	return out
}
