// Package hosted assembles an instance that runs on the users' platform: it learns
// the configuration and the upstreams from the platform's store or from peers, and
// serves callers, look-ups and readiness checks.
package hosted

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"hickorydrum/dispatch"
	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/fleet"
	"hickorydrum/gossip"
	"hickorydrum/ingress"
	"hickorydrum/load"
	"hickorydrum/period"
	"hickorydrum/planner"
	"hickorydrum/platform"
)

const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	// upstreamTimeout ends a connection to an upstream whose sent bytes are not
	// acknowledged.
	upstreamTimeout = time.Second
	// dialTrips and dialSlack bound how long a connection to an upstream may take.
	dialTrips = 3
	dialSlack = 120 * time.Millisecond
	// stopMargin is how long before the end of the grace period everything ends, and
	// acceptMargin is how long before it no more connections are accepted.
	stopMargin   = 300 * time.Millisecond
	acceptMargin = 1700 * time.Millisecond
	stopPoll     = 50 * time.Millisecond
)

var (
	versionInForce   = metrics.GetOrCreateGauge(`hickorydrum_configuration_version`, nil)
	upstreamsKnown   = metrics.GetOrCreateGauge(`hickorydrum_upstreams_known`, nil)
	domainsEvacuated = metrics.GetOrCreateGauge(`hickorydrum_domains_evacuated`, nil)
)

// Instance is one running instance.
type Instance struct {
	file     string
	settings platform.Settings
	front    netip.AddrPort // where callers reach this instance
	log      *slog.Logger
	store    *platform.Client
	follower *follower
	mesh     *gossip.Mesh
	board    *load.Tracker
	planner  *planner.Planner
	ingress  *ingress.Ingress
	servers  servers
	group    errgroup.Group

	mu        sync.Mutex // held while beliefs are put in force
	evacuated map[string]bool
	known     bool // the upstreams were known before
	decoded   map[string]decodedUpstream
}

// decodedUpstream is an entry of an upstream as it was read.
type decodedUpstream struct {
	version  uint64
	upstream fleet.Upstream
	usable   bool
}

// New opens the listeners of an instance with the platform's settings file.
func New(file string, log *slog.Logger) (*Instance, error) {
	settings, err := platform.LoadSettings(file)
	if err != nil {
		return nil, err
	}
	i := &Instance{
		file: file, settings: settings, log: log, store: platform.New("http://" + settings.Store),
		evacuated: make(map[string]bool), decoded: make(map[string]decodedUpstream),
	}
	control, err := netip.ParseAddrPort(settings.Control)
	if err != nil {
		return nil, fault.New(fault.Invalid, "the control address is not usable", "write it such as 10.1.0.4:8544",
			fault.WithCause(err))
	}
	i.front, err = netip.ParseAddrPort(settings.Front)
	if err != nil {
		return nil, fault.New(fault.Invalid, "the callers' address is not usable", "write it such as 10.1.0.4:8548",
			fault.WithCause(err))
	}
	gossipAt := netip.AddrPortFrom(control.Addr(), uint16(settings.FirstPort)).String()
	i.mesh, err = gossip.New(gossipAt, settings.Domain, settings.Regions, log)
	if err != nil {
		return nil, err
	}
	i.mesh.SetSeeds(seedAddresses(settings.Seeds))
	i.board = load.NewTracker(settings.Domain, settings.Region, regionNames(&settings), i.newDialer)
	place := planner.Place{Domain: settings.Domain, Region: settings.Region, Regions: regionNames(&settings)}
	i.planner = planner.New(place, i.board, i.mesh, retryBounds(settings.Bounds))
	i.ingress = ingress.New(i.planner, log)
	i.follower = newFollower(i.store, i.mesh, control.Port(), log, i.believe)
	i.follower.restarted = !settings.Bootstrap
	i.mesh.OnRevisions(i.follower.news)
	i.mesh.OnLoadReports(i.hearCrowds)
	return i, i.listen()
}

func retryBounds(b platform.Bounds) planner.RetryBounds {
	return planner.RetryBounds{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

func (i *Instance) newDialer(u *fleet.Upstream) *dispatch.Dialer {
	return dispatch.NewDialer(u.Address,
		dispatch.WithUserTimeout(upstreamTimeout),
		dispatch.WithTimeout(func() time.Duration { return dialTrips*i.board.RoundTrip(u) + dialSlack }),
		dispatch.WithDialTimes(func(took time.Duration) { i.board.ObserveDial(u.Domain, took) }))
}

// Run serves until stop is done, then stops without cutting a request. Each value
// of reload has the settings file read again.
func (i *Instance) Run(stop context.Context, reload <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	event.Started.Log(ctx, i.log, slog.String("instance", i.settings.Name), slog.String("domain", i.settings.Domain),
		slog.String("caller", i.settings.Front))
	i.servers.serve(&i.group, i.log)
	i.group.Go(func() error { return i.mesh.Run(ctx) })
	i.group.Go(func() error { return i.follower.run(ctx) })
	i.group.Go(func() error { return i.reload(ctx, reload) })
	i.group.Go(func() error { return i.sweep(ctx) })
	i.group.Go(func() error { return i.balance(ctx) })
	<-stop.Done()
	i.stop()
	cancel()
	err := i.servers.close()
	i.store.Close()
	return errors.Join(err, i.group.Wait())
}

// stop lets callers go elsewhere and ends when no request is left, or when the
// grace period is about to.
func (i *Instance) stop() {
	begun := time.Now()
	grace := i.settings.Bounds.Grace
	event.StopBegun.Log(context.Background(), i.log, slog.Int64("in_flight", i.ingress.InFlight()))
	i.ingress.Leave()
	i.mesh.Leave()
	time.Sleep(time.Until(begun.Add(grace - acceptMargin)))
	i.servers.stopAccepting()
	for time.Until(begun.Add(grace-stopMargin)) > 0 && i.ingress.InFlight() > 0 {
		time.Sleep(stopPoll)
	}
	event.Stopped.Log(context.Background(), i.log, slog.Int64("in_flight", i.ingress.InFlight()))
}

// believe puts what is known of a kind in force.
func (i *Instance) believe(kind string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if kind == platform.KindConfiguration {
		i.configure()
		return
	}
	i.lookAround()
}

// configure puts a newer configuration in force. The lock is held.
func (i *Instance) configure() {
	objects, _ := i.follower.objects(platform.KindConfiguration)
	o, ok := platform.Configuration(objects)
	if !ok {
		return
	}
	table, err := platform.DecodeConfiguration(o)
	if err != nil {
		event.RevisionRefused.Log(context.Background(), i.log, slog.String("error", err.Error()))
		return
	}
	if old := i.planner.Table(); old != nil && old.Version() >= table.Version() {
		return
	}
	i.planner.SetTable(table)
	i.servers.setIdle(table.Limits().IdleTimeout)
	versionInForce.Set(float64(table.Version()))
	event.RevisionTaken.Log(context.Background(), i.log, slog.Uint64("version", table.Version()),
		slog.Uint64("revision", o.Version), slog.Int("routes", table.Len()))
	i.lookAround()
	i.mesh.SetReady(i.ingress.Ready())
}

// lookAround puts the newest view of the upstreams in force. The lock is held.
func (i *Instance) lookAround() {
	entries, ok := i.follower.objects(platform.KindUpstreams)
	if !ok {
		return
	}
	now := time.Now()
	evacuations, _ := i.follower.objects(platform.KindEvacuations)
	domains := make([]string, 0, len(evacuations))
	for _, o := range evacuations {
		domains = append(domains, o.Name())
	}
	upstreams := i.decode(entries)
	view := fleet.NewView(upstreams, domains, i.settings.Regions)
	i.board.ApplyView(view, !i.known, i.coldTime, now)
	i.noteEvacuations(view, domains, now)
	i.known = i.planner.Table() != nil
	i.planner.SetView(view)
	i.mesh.SetReady(i.ingress.Ready())
	upstreamsKnown.Set(float64(len(upstreams)))
	domainsEvacuated.Set(float64(len(domains)))
	event.ViewTaken.Log(context.Background(), i.log, slog.Int("upstreams", len(upstreams)),
		slog.Int("evacuated", len(domains)))
}

// coldTime returns how long the upstreams of a service are cold after a start.
func (i *Instance) coldTime(service string) time.Duration {
	if t := i.planner.Table(); t != nil {
		return t.Service(service).ColdTime
	}
	return 0
}

// noteEvacuations takes the upstreams of a failure domain as cold when its
// evacuation ends. The lock is held.
func (i *Instance) noteEvacuations(view *fleet.View, domains []string, now time.Time) {
	for domain := range i.evacuated {
		if !view.Evacuated(domain) {
			delete(i.evacuated, domain)
			i.chill(view, domain, now)
		}
	}
	for _, domain := range domains {
		i.evacuated[domain] = true
	}
}

func (i *Instance) chill(view *fleet.View, domain string, now time.Time) {
	for _, u := range view.All() {
		if u.Domain == domain {
			till := now.Add(i.coldTime(u.Service))
			i.board.MarkCold(view, till, func(other *fleet.Upstream) bool { return other.ID == u.ID })
		}
	}
}

// decode returns the upstreams that entries name. An entry is read once for each of its
// versions, and logged if it is not usable. The lock is held.
func (i *Instance) decode(entries []platform.Object) []fleet.Upstream {
	upstreams := make([]fleet.Upstream, 0, len(entries))
	decoded := make(map[string]decodedUpstream, len(entries))
	for _, o := range entries {
		d, ok := i.decoded[o.Key]
		if !ok || d.version != o.Version {
			u, err := platform.DecodeUpstream(o)
			if err != nil {
				event.EntryRefused.Log(context.Background(), i.log, slog.String("error", err.Error()))
			}
			d = decodedUpstream{version: o.Version, upstream: u, usable: err == nil}
		}
		decoded[o.Key] = d
		if d.usable {
			upstreams = append(upstreams, d.upstream)
		}
	}
	i.decoded = decoded
	return upstreams
}

// seedAddresses returns the addresses of the seeds that can be read.
func seedAddresses(seeds []string) []netip.Addr {
	var out []netip.Addr
	for _, seed := range seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil && at.Addr().Is4() {
			out = append(out, at.Addr())
		}
	}
	return out
}

const (
	settingsEvery = 2 * time.Second
	sweepEvery    = 500 * time.Millisecond
)

// reload takes in the settings file when it is asked to, and at an interval: the
// file may change without a signal.
func (i *Instance) reload(ctx context.Context, asked <-chan os.Signal) error {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-asked:
			signalled = true
		case <-ticker.C:
		}
		settings, err := platform.LoadSettings(i.file)
		if err != nil {
			event.SettingsRefused.Log(ctx, i.log, slog.String("error", err.Error()))
			continue
		}
		i.planner.SetBounds(retryBounds(settings.Bounds))
		i.mesh.SetSeeds(seedAddresses(settings.Seeds))
		if signalled {
			event.SettingsTaken.Log(ctx, i.log)
		}
	}
}

// sweep closes connections of callers that were idle for too long.
func (i *Instance) sweep(ctx context.Context) error {
	return period.Each(ctx, sweepEvery, i.servers.closeIdle)
}
