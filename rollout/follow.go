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

// In messages between instances the number and the era of a revision are fields of their own, since instances of
// earlier versions know nothing of eras: they ignore the era, and one that they do not send is not known.

// helloMessage is the request and the response of CallHello.
type helloMessage struct {
	From     roster.Member `cbor:"1,keyasint"`
	Revision uint64        `cbor:"2,keyasint"`
	Roster   uint64        `cbor:"3,keyasint"` // digest of the sender's roster
	// List is the version of the platform's list of instances at the sender, 0 if it has none.
	List uint64 `cbor:"4,keyasint,omitempty"`
	// ConfirmedMillis is how many milliseconds ago the sender's revision was confirmed, by the platform or by
	// peers in turn. It is nil if it never was, or if the sender is of a version that does not say.
	ConfirmedMillis *int64 `cbor:"5,keyasint,omitempty"`
	Era             uint64 `cbor:"6,keyasint,omitempty"` // of Revision
	ListEra         uint64 `cbor:"7,keyasint,omitempty"`
}

func (m *helloMessage) revision() revision.Revision {
	return revision.Revision{Era: m.Era, Number: m.Revision}
}

func (m *helloMessage) list() revision.Revision {
	return revision.Revision{Era: m.ListEra, Number: m.List}
}

// updateRequest is the request of CallUpdate.
type updateRequest struct {
	Have uint64 `cbor:"1,keyasint"` // revision in force at the sender
	// Offset is how many records of the whole set the sender has received.
	Offset int    `cbor:"2,keyasint,omitempty"`
	Era    uint64 `cbor:"3,keyasint,omitempty"` // of Have
}

// updateMessage is the response of CallUpdate. It has either Deltas, which lead
// from the revision From to the revision To, or Records of the whole set To; then
// From is 0. Digest is that of the whole set To. It is empty if there is nothing
// to send.
type updateMessage struct {
	From    uint64               `cbor:"1,keyasint,omitempty"`
	To      uint64               `cbor:"2,keyasint"`
	Digest  string               `cbor:"3,keyasint,omitempty"`
	Deltas  []declaration.Delta  `cbor:"4,keyasint,omitempty"`
	Records []declaration.Record `cbor:"5,keyasint,omitempty"`
	// More is set if the whole set has further records after these.
	More bool `cbor:"6,keyasint,omitempty"`
	// FromEra and ToEra are the eras of From and To, and AppliedAt is when an operator applied To.
	FromEra   uint64    `cbor:"7,keyasint,omitempty"`
	ToEra     uint64    `cbor:"8,keyasint,omitempty"`
	AppliedAt time.Time `cbor:"9,keyasint,omitempty"`
}

func (m *updateMessage) from() revision.Revision {
	return revision.Revision{Era: m.FromEra, Number: m.From}
}

func (m *updateMessage) to() revision.Revision {
	return revision.Revision{Era: m.ToEra, Number: m.To}
}

// rosterMessage is the request and the response of CallRoster. Digests are those
// of the sender's failure domains, so that the receiver returns only the members
// of domains that differ.
type rosterMessage struct {
	Members []roster.Member   `cbor:"1,keyasint,omitempty"`
	Digests map[string]uint64 `cbor:"2,keyasint,omitempty"`
}

// InstanceList is the platform's list of live and leaving instances, each by its
// address for callers. Leaving may name upstreams too, by their addresses. The list
// lags behind the real state.
type InstanceList struct {
	Live    []string `json:"live" cbor:"1,keyasint,omitempty"`
	Leaving []string `json:"leaving" cbor:"2,keyasint,omitempty"`
}

// listMessage is the response of CallList.
type listMessage struct {
	Version uint64       `cbor:"1,keyasint"`
	List    InstanceList `cbor:"2,keyasint"`
	Era     uint64       `cbor:"3,keyasint,omitempty"` // of Version
}

func (m *listMessage) version() revision.Revision {
	return revision.Revision{Era: m.Era, Number: m.Version}
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

	loader       loader
	watchFailing atomic.Bool   // the last call for the watch failed
	changed      chan struct{} // has an entry if peers must be notified of a change

	listMu sync.Mutex // held while a list is applied
	list   listMessage
}

// NewFollower returns a Follower. onList is called with each version of the
// platform's list of instances that this instance gets from the platform or a peer,
// in their order.
func NewFollower(
	state *State, store Store, r *roster.Roster, asker Asker, log *slog.Logger, onList func(InstanceList),
) *Follower {
	f := &Follower{
		state: state, store: store, roster: r, asker: asker, log: log, onList: onList,
		changed: make(chan struct{}, 1),
	}
	r.OnChange(func(*roster.View) { f.scheduleNotify() })
	return f
}

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
// done. After a failure it backs off and lists the objects again.
func (f *Follower) watch(ctx context.Context) error {
	failures := 0                 // in a row
	var cursor *revision.Revision // nil until the objects were listed; the cursor of an empty store is 0
	for ctx.Err() == nil {
		if !f.isRelay(time.Now()) {
			cursor = nil
			interval.Sleep(ctx, relayCheckInterval)
			continue
		}
		next, err := f.watchOnce(ctx, cursor)
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

// watchOnce waits for changes after the cursor, applies them and returns the next cursor.
func (f *Follower) watchOnce(ctx context.Context, cursor *revision.Revision) (revision.Revision, error) {
	page, err := f.nextPage(ctx, cursor)
	if err != nil {
		return revision.Revision{}, err
	}
	if err := f.applyObjects(ctx, page.Objects); err != nil {
		return revision.Revision{}, err
	}
	f.state.Confirm(time.Now())
	f.scheduleNotify()
	return page.Cursor, nil
}

// nextPage waits for changes after the cursor and returns them. It returns all watched objects
// instead if the cursor is nil, or if the platform no longer has the history since the cursor,
// which it reports as a conflict.
func (f *Follower) nextPage(ctx context.Context, cursor *revision.Revision) (platform.Page, error) {
	if cursor != nil {
		page, err := f.store.Watch(ctx, roster.WatchPrefix, *cursor, watchWait)
		if fault.KindOf(err) != fault.Conflict {
			return page, err
		}
	}
	return f.store.List(ctx, roster.WatchPrefix)
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
