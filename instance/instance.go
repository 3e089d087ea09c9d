// Package instance creates one instance with its listeners and runs it from its start to
// the end of its planned stop.
package instance

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rs/xid"
	"golang.org/x/sync/errgroup"

	"hickorydrum/declaration"
	"hickorydrum/entry"
	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/idempotency"
	"hickorydrum/interval"
	"hickorydrum/peer"
	"hickorydrum/platform"
	"hickorydrum/revision"
	"hickorydrum/rollout"
	"hickorydrum/roster"
	"hickorydrum/server"
	"hickorydrum/setting"
	"hickorydrum/socket"
	"hickorydrum/steering"
	"hickorydrum/upstream"
)

const (
	callerIdleTimeout = 60 * time.Second
	callerUserTimeout = 10 * time.Second
	idleCheckInterval = 500 * time.Millisecond
	refreshInterval   = 200 * time.Millisecond
	keysInterval      = 5 * time.Second
	cleanInterval     = time.Hour
	callTimeout       = 3 * time.Second // of a message to the platform or to a peer
	// frozenAfter is the time since the last confirmation of the revision after which
	// traffic no longer moves between regions.
	frozenAfter  = 10 * time.Second
	seedInterval = 300 * time.Millisecond
	seedAttempts = 10
)

// Instance is one instance of hickorydrum: listeners for callers, peers and operators, and
// the background work behind them.
type Instance struct {
	settings *setting.Table
	log      *slog.Logger
	platform *platform.Client
	roster   *roster.Roster
	registry *roster.Registry
	watcher  *roster.Watcher
	keys     *peer.Keys
	node     *peer.Node
	pool     *upstream.Pool
	state    *rollout.State
	follower *rollout.Follower
	entry    *entry.Entry
	claimer  *idempotency.Claimer
	callers  *server.Server
	admin    *server.Server

	ctx    context.Context // of the background work
	cancel context.CancelFunc
	group  errgroup.Group

	viewMu       sync.Mutex              // serializes onView; guards loggedStates
	loggedStates map[string]roster.State // last state of each member that was logged, by its ID
}

// New opens the listeners of an instance and creates its parts. Run serves on them.
func New(settings *setting.Table, log *slog.Logger) (*Instance, error) {
	bind := net.ParseIP(settings.Value("bind"))
	keys, err := peer.NewKeys(settings.Value("ca"), settings.Value("cert"), settings.Value("key"))
	if err != nil {
		return nil, err
	}
	i := &Instance{
		settings: settings, log: log, keys: keys,
		platform:     platform.New(settings.Value("platform"), platform.WithBind(bind)),
		loggedStates: make(map[string]roster.State),
	}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	l, err := i.listen(bind)
	if err != nil {
		i.cancel()
		return nil, err
	}
	i.assemble(bind, l)
	return i, nil
}

// listeners are the HTTP listeners of an instance.
type listeners struct{ callers, admin net.Listener }

// listen opens the listeners and creates the roster. If one fails, those opened before it
// are closed.
func (i *Instance) listen(bind net.IP) (listeners, error) {
	var l listeners
	var err error
	if i.node, err = peer.Listen(i.settings.Value("peer"), i.keys); err != nil {
		return l, err
	}
	if l.callers, err = listenTCP(i.settings.Value("caller"), "-caller"); err != nil {
		return l, errors.Join(err, i.node.Close())
	}
	if l.admin, err = listenTCP(i.settings.Value("admin"), "-admin"); err != nil {
		return l, errors.Join(err, l.callers.Close(), i.node.Close())
	}
	i.roster = roster.New(i.member())
	i.watcher, err = roster.NewWatcher(i.roster, i.settings.Value("probe"), bind, i.onGone)
	if err != nil {
		return l, errors.Join(err, l.admin.Close(), l.callers.Close(), i.node.Close())
	}
	return l, nil
}

// member returns this instance's entry of the roster, with a new run ID.
func (i *Instance) member() roster.Member {
	announced := func(name string) string {
		if v := i.settings.Value("announce-" + name); v != "" {
			return v
		}
		return i.settings.Value(name)
	}
	return roster.Member{
		Name: i.settings.Value("name"), Run: xid.New().String(),
		Region: i.settings.Value("region"), Domain: i.settings.Value("domain"),
		Caller: announced("caller"), Peer: announced("peer"), Probe: announced("probe"),
		State: roster.Joining,
	}
}

// assemble creates the parts of the instance and connects them.
func (i *Instance) assemble(bind net.IP, l listeners) {
	self := i.roster.Self()
	i.registry = roster.NewRegistry(i.platform)
	i.pool = upstream.NewPool(self.Domain, self.Region, upstream.WithBind(bind),
		upstream.WithInstances(func() int { return len(i.roster.View().AllPresent()) }))
	i.state = rollout.NewState(i.onRevision)
	i.claimer = idempotency.New(i.ctx, i.platform, i.log)
	i.entry = entry.New(i.roster.Self, i.pool, i.claimer, i.log,
		entry.WithFrozen(i.frozen), entry.WithLookupTTL(i.settings.Duration("lookup-life")))
	i.follower = rollout.NewFollower(i.state, i.platform, i.roster, i.node, i.log, i.onInstanceList)
	i.follower.OnEra(i.onEra)
	i.callers = server.New(l.callers, i.entry.Handler(), i.log)
	i.admin = server.New(l.admin, i.adminHandler(), i.log, server.WithName("operators"))
	i.callers.SetIdle(callerIdleTimeout)
	i.roster.OnChange(i.onView)
	i.onView(i.roster.View())
	i.follower.Register(i.node)
	i.entry.Register(i.node)
	i.node.Handle(CallStatus, peer.Unary(func(context.Context, string, struct{}) (Status, error) {
		return i.Status(), nil
	}))
}

// listenTCP opens a listener. flag is the command-line flag of the address, for the error.
func listenTCP(address, flag string) (net.Listener, error) {
	config := net.ListenConfig{Control: socket.UserTimeout(callerUserTimeout)}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "the address "+address+" cannot be listened on",
			"set "+flag+" to a free address of this machine", fault.WithCause(err))
	}
	return listener, nil
}

// frozen reports whether the revision was not confirmed for frozenAfter, so that traffic
// must not move between regions.
func (i *Instance) frozen(now time.Time) bool {
	return now.Sub(i.state.ConfirmedAt()) > frozenAfter
}

// onRevision applies a new revision of the declarations.
func (i *Instance) onRevision(set *declaration.Set, at revision.Revision) {
	table := steering.NewTable(set, at.Number)
	i.pool.SetTable(table, time.Now())
	i.entry.SetTable(table)
}

// onView applies the newest view of the roster. It ignores its argument: calls for two
// changes may arrive in reverse order.
func (i *Instance) onView(*roster.View) {
	i.viewMu.Lock()
	defer i.viewMu.Unlock()
	v := i.roster.View()
	i.entry.SetView(v)
	i.logMembers(v)
}

// logMembers logs the members whose state changed. viewMu is held.
func (i *Instance) logMembers(v *roster.View) {
	self := i.roster.Self()
	for _, m := range v.Members() {
		if i.loggedStates[m.ID()] == m.State || m.ID() == self.ID() {
			continue
		}
		i.loggedStates[m.ID()] = m.State
		e, ok := map[roster.State]event.Event{
			roster.Live: event.MemberJoined, roster.Leaving: event.MemberLeaving, roster.Gone: event.MemberGone,
		}[m.State]
		if ok {
			e.Log(i.ctx, i.log, slog.String("member", m.ID()), slog.String("domain", m.Domain))
		}
	}
}

// onInstanceList applies the platform's list of live and leaving instances.
func (i *Instance) onInstanceList(page rollout.InstanceList) {
	i.pool.SetLeaving(page.Leaving)
	i.watcher.SetPlatformList(append(slices.Clone(page.Live), page.Leaving...))
}

// Run serves until stop is done. It then waits for the requests in flight before it closes
// the listeners and ends the background work.
func (i *Instance) Run(stop context.Context) error {
	stopTraces, err := startTraces(i.ctx, i.settings.Value("otlp"), i.settings.Value("name"))
	if err != nil {
		return fault.New(fault.Invalid, "traces cannot be sent", "correct -otlp", fault.WithCause(err))
	}
	self := i.roster.Self()
	event.Started.Log(i.ctx, i.log, slog.String("instance", self.ID()), slog.String("caller", self.Caller),
		slog.String("peer", self.Peer))
	i.node.Serve()
	i.serve(i.callers)
	i.serve(i.admin)
	for _, run := range []func(context.Context) error{
		i.watcher.Run, i.follower.Run, i.entry.Run, upstream.NewProber(i.pool).Run, i.refresh, i.reloadKeys,
		i.clean, i.join, i.closeIdle,
	} {
		i.group.Go(func() error { return run(i.ctx) })
	}
	<-stop.Done()
	i.stop()
	i.cancel()
	i.pool.Close()
	err = errors.Join(i.callers.Close(), i.admin.Close(), i.group.Wait(), i.node.Close())
	i.claimer.Wait()
	i.platform.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return errors.Join(err, stopTraces(ctx))
}

// serve starts a server in the background.
func (i *Instance) serve(s *server.Server) {
	i.group.Go(func() error {
		s.Serve()
		return nil
	})
}

// closeIdle closes the connections of callers and operators that have been idle for too long.
func (i *Instance) closeIdle(ctx context.Context) error {
	return interval.Each(ctx, idleCheckInterval, func(now time.Time) {
		i.callers.CloseIdle(now)
		i.admin.CloseIdle(now)
	})
}

// bootstrap asks the seeds for a first revision, up to seedAttempts times.
func (i *Instance) bootstrap(ctx context.Context) {
	var seeds []peer.Target
	for _, address := range i.settings.List("seeds") {
		seeds = append(seeds, peer.NewTarget("", address))
	}
	for attempt := 0; ctx.Err() == nil && i.state.Revision().IsZero() && len(seeds) > 0 && attempt < seedAttempts; attempt++ {
		i.follower.Bootstrap(ctx, seeds)
		interval.Sleep(ctx, seedInterval)
	}
}

// adopt copies the placements that another instance of the same region has in force.
func (i *Instance) adopt(ctx context.Context) {
	self := i.roster.Self()
	for _, m := range i.roster.View().Serving(self.Region) {
		if m.ID() == self.ID() {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := i.entry.AdoptPlacements(ctx, i.node, peer.NewTarget(m.Name, m.Peer))
		cancel()
		if err == nil {
			return
		}
	}
}

// refresh applies the drains that begin or end, and logs when traffic becomes frozen and
// when the revision is confirmed again.
func (i *Instance) refresh(ctx context.Context) error {
	wasFrozen := false
	return interval.Each(ctx, refreshInterval, func(now time.Time) {
		set := i.state.Set()
		if set == nil {
			return
		}
		i.pool.Refresh(set, now)
		frozen := i.frozen(now)
		switch {
		case frozen && !wasFrozen:
			event.RevisionUnconfirmed.Log(ctx, i.log)
		case !frozen && wasFrozen:
			event.RevisionConfirmed.Log(ctx, i.log)
		}
		wasFrozen = frozen
	})
}

// reloadKeys reloads the certificates when their files change, so that they are replaced
// without a restart.
func (i *Instance) reloadKeys(ctx context.Context) error {
	last := i.keyTimes()
	return interval.Each(ctx, keysInterval, func(time.Time) {
		times := i.keyTimes()
		if slices.Equal(times, last) {
			return
		}
		last = times
		if err := i.keys.Reload(); err != nil {
			event.KeysFailed.Log(ctx, i.log, slog.String("error", err.Error()))
			return
		}
		event.KeysReloaded.Log(ctx, i.log)
	})
}

// keyTimes returns the modification times of the key files; zero for those that are not
// files.
func (i *Instance) keyTimes() []time.Time {
	var times []time.Time
	for _, name := range []string{"ca", "cert", "key"} {
		var at time.Time
		if info, err := os.Stat(i.settings.Value(name)); err == nil {
			at = info.ModTime()
		}
		times = append(times, at)
	}
	return times
}

// clean removes members that have been gone for cleanInterval from the roster. One instance
// of the fleet, selected by hash, also deletes old claims.
func (i *Instance) clean(ctx context.Context) error {
	return interval.Each(ctx, cleanInterval, func(now time.Time) {
		i.roster.PruneGone(now.Add(-cleanInterval))
		first, _ := roster.OwnerAndSuccessor("clean", i.roster.View().AllPresent())
		if first.ID() == i.roster.Self().ID() {
			_ = i.claimer.Clean(ctx)
		}
	})
}
