package rollout

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/declaration"
	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/peer"
	"hickorydrum/period"
	"hickorydrum/platform"
	"hickorydrum/roster"
)

// Calls between instances.
const (
	// CallHello compares revisions and rosters.
	CallHello peer.Call = "hello"
	// CallUpdate asks for what changed since a revision.
	CallUpdate peer.Call = "update"
	// CallRoster exchanges the members that both sides know.
	CallRoster peer.Call = "roster"
)

const (
	// InstanceListKey is the platform's lagging list of live and leaving instances.
	InstanceListKey = roster.WatchPrefix + "instances"

	watchWait          = 4 * time.Second
	helloInterval      = 2 * time.Second
	callTimeout        = 2 * time.Second
	relayCheckInterval = time.Second
	updateTimeout      = 10 * time.Second
	relaysPerDomain    = 2 // of each failure domain watch the platform
	helloNeighbours    = 2 // neighbours in the region
)

type helloMessage struct {
	From     roster.Member `cbor:"1,keyasint"`
	Revision uint64        `cbor:"2,keyasint"`
	Roster   uint64        `cbor:"3,keyasint"`
}

type updateRequest struct {
	Have uint64 `cbor:"1,keyasint"`
	// Offset is the number of records of the whole set that have arrived.
	Offset int `cbor:"2,keyasint,omitempty"`
}

type updateMessage struct {
	From    uint64               `cbor:"1,keyasint,omitempty"`
	To      uint64               `cbor:"2,keyasint"`
	Digest  string               `cbor:"3,keyasint,omitempty"`
	Deltas  []declaration.Delta  `cbor:"4,keyasint,omitempty"`
	Records []declaration.Record `cbor:"5,keyasint,omitempty"`
	// More states that further records of the whole set follow.
	More bool `cbor:"6,keyasint,omitempty"`
}

// rosterMessage names members, and tells what the sender has of each failure
// domain, so that only those that differ travel.
type rosterMessage struct {
	Members []roster.Member   `cbor:"1,keyasint,omitempty"`
	Digests map[string]uint64 `cbor:"2,keyasint,omitempty"`
}

// InstanceList is the platform's lagging list.
type InstanceList struct {
	Live    []string `json:"live"`
	Leaving []string `json:"leaving"`
}

// Asker makes unary calls to peers.
type Asker interface {
	Ask(ctx context.Context, to peer.Target, call peer.Call, req, resp any) error
}

// Follower keeps one instance at the newest revision and roster.
type Follower struct {
	state  *State
	store  Store
	roster *roster.Roster
	asker  Asker
	log    *slog.Logger
	onList func(InstanceList)

	loader       loader
	wake         chan struct{}
	watchFailing atomic.Bool
	changed      chan struct{}
}

// NewFollower returns a follower. onList is called with each state of the
// platform's list of instances.
func NewFollower(
	state *State, store Store, r *roster.Roster, asker Asker, log *slog.Logger, onList func(InstanceList),
) *Follower {
	f := &Follower{
		state: state, store: store, roster: r, asker: asker, log: log, onList: onList,
		wake: make(chan struct{}, 1), changed: make(chan struct{}, 1),
	}
	r.OnChange(func(*roster.View) { f.scheduleNotify() })
	return f
}

// Register adds the handlers of the protocol to a node.
func (f *Follower) Register(node *peer.Node) {
	node.Handle(CallHello, peer.Unary(f.onHello))
	node.Handle(CallUpdate, peer.Unary(f.onUpdate))
	node.Handle(CallRoster, peer.Unary(f.onRoster))
}

// Run follows the platform and the peers until the context is done.
func (f *Follower) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return f.watch(ctx) })
	group.Go(func() error { return f.helloLoop(ctx) })
	group.Go(func() error { return f.notifyLoop(ctx) })
	return group.Wait()
}

// isRelay reports whether this instance watches the platform for its failure
// domain. An instance that cannot confirm its revision with a peer watches too.
func (f *Follower) isRelay(now time.Time) bool {
	rank := f.relayRank()
	return rank < relaysPerDomain || now.Sub(f.state.ConfirmedAt()) > watchWait
}

// relayRank returns the place of this instance in the order of relays of its
// failure domain.
func (f *Follower) relayRank() int {
	self := f.roster.Self()
	order := roster.Rank("relay", f.roster.View().LiveInDomain(self.Domain))
	for i, m := range order {
		if m.ID() == self.ID() {
			return i
		}
	}
	return 0
}

func (f *Follower) watch(ctx context.Context) error {
	failures := 0
	var cursor *uint64 // nil until listed; an empty platform's cursor is 0
	for ctx.Err() == nil {
		if !f.isRelay(time.Now()) {
			cursor = nil
			period.Pause(ctx, relayCheckInterval)
			continue
		}
		next, err := f.watchOnce(ctx, cursor)
		if err != nil {
			f.watchFailed(ctx, err)
			cursor = nil
			period.Pause(ctx, platform.Backoff(failures))
			failures++
			continue
		}
		f.watchRecovered(ctx)
		failures = 0
		cursor = &next
	}
	return nil
}

func (f *Follower) watchFailed(ctx context.Context, err error) {
	if ctx.Err() == nil && !f.watchFailing.Swap(true) {
		event.WatchFailed.Log(ctx, f.log, slog.String("error", err.Error()))
	}
}

func (f *Follower) watchRecovered(ctx context.Context) {
	if f.watchFailing.Swap(false) {
		event.WatchBack.Log(ctx, f.log)
	}
}

// watchOnce lists at first, then waits for changes.
func (f *Follower) watchOnce(ctx context.Context, cursor *uint64) (uint64, error) {
	if cursor == nil {
		return f.list(ctx)
	}
	page, err := f.store.Watch(ctx, roster.WatchPrefix, *cursor, watchWait)
	if fault.KindOf(err) == fault.Conflict {
		return f.list(ctx)
	}
	if err != nil {
		return 0, err
	}
	if err := f.applyObjects(ctx, page.Objects); err != nil {
		return 0, err
	}
	f.state.Confirm(time.Now())
	return page.Cursor, nil
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	page, err := f.store.List(ctx, roster.WatchPrefix)
	if err != nil {
		return 0, err
	}
	if err := f.applyObjects(ctx, page.Objects); err != nil {
		return 0, err
	}
	f.state.Confirm(time.Now())
	return page.Cursor, nil
}

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
			var page InstanceList
			if json.Unmarshal(o.Value, &page) == nil {
				f.onList(page)
			}
		}
	}
	return nil
}

func (f *Follower) applyHead(ctx context.Context, o platform.Object) error {
	if o.Version <= f.state.Revision() {
		return nil
	}
	var head Head
	if err := json.Unmarshal(o.Value, &head); err != nil {
		f.logRefused(ctx, o.Version, err)
		return nil
	}
	records, err := f.loader.load(ctx, f.store, head)
	if err != nil {
		return err
	}
	f.apply(ctx, records, o.Version, "platform")
	return nil
}

func (f *Follower) apply(ctx context.Context, records []declaration.Record, revision uint64, source string) {
	applied, err := f.state.apply(records, revision, time.Now())
	if err != nil {
		f.logRefused(ctx, revision, err)
		return
	}
	if applied {
		event.RevisionTaken.Log(ctx, f.log, slog.Uint64("revision", revision), slog.String("source", source))
		f.scheduleNotify()
	}
}

func (f *Follower) logRefused(ctx context.Context, revision uint64, err error) {
	event.RevisionRefused.Log(ctx, f.log, slog.Uint64("revision", revision), slog.String("error", err.Error()))
}

// scheduleNotify has the neighbours told of news.
func (f *Follower) scheduleNotify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// notifyLoop says hello to the neighbours at once when there are news. Relays tell
// their failure domain too, each its part.
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
			for i, m := range view.LiveInDomain(self.Domain) {
				if i%relaysPerDomain == rank {
					to = append(to, m)
				}
			}
		}
		f.helloAll(ctx, without(to, self))
	}
}

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
