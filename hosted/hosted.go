// Package hosted assembles an instance that runs on the users' platform: it gets the
// configuration and the upstreams from the platform's store or from peers, and serves
// callers, look-ups and readiness checks.
package hosted

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"hickorydrum/clock"
	"hickorydrum/dispatch"
	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/fleet"
	"hickorydrum/freshness"
	"hickorydrum/gossip"
	"hickorydrum/ingress"
	"hickorydrum/interval"
	"hickorydrum/load"
	"hickorydrum/planner"
	"hickorydrum/platform"
	"hickorydrum/quota"
)

const (
	// upstreamTimeout is the TCP user timeout of connections to upstreams: a connection whose
	// sent bytes are not acknowledged for so long is closed.
	upstreamTimeout = time.Second
	// The timeout of a dial to an upstream is dialRoundTrips times the round-trip time plus
	// dialSlack.
	dialRoundTrips = 3
	dialSlack      = 120 * time.Millisecond
)

var (
	versionInForce   = metrics.GetOrCreateGauge(`hickorydrum_configuration_version`, nil)
	upstreamsKnown   = metrics.GetOrCreateGauge(`hickorydrum_upstreams_known`, nil)
	domainsEvacuated = metrics.GetOrCreateGauge(`hickorydrum_domains_evacuated`, nil)
)

// Instance is an instance on the users' platform, with its servers and all its state. It
// serves while Run runs.
type Instance struct {
	file      string
	settings  platform.Settings
	limits    bounds
	front     netip.AddrPort // address at which callers reach this instance
	log       *slog.Logger
	store     *platform.Client
	follower  *follower
	mesh      *gossip.Mesh
	tracker   *load.Tracker
	planner   *planner.Planner
	quotas    *quota.Gate
	hasQuotas atomic.Bool // an account of the configuration in force has a quota
	// quotasBegun has a value after hasQuotas has become true.
	quotasBegun chan struct{}
	ingress     *ingress.Ingress
	servers     servers
	group       errgroup.Group
	bounds      atomic.Pointer[platform.Bounds] // as last read from the settings file
	refresh     chan struct{}                   // see refreshView
	// withdrawalLines bounds the lines about upstreams that leave or are gone.
	withdrawalLines *event.Limiter
	// entryLines bounds those about entries that are not usable.
	entryLines *event.Limiter
	// quotaLines bounds those about quotas of client accounts.
	quotaLines *event.Limiter

	mu                sync.Mutex                 // held while objects from the store are applied; guards the fields below
	evacuated         map[string]bool            // failure domains under evacuation in the last view
	hadConfiguredView bool                       // a view of the upstreams was applied while a configuration was in force
	decoded           map[string]decodedUpstream // by key, the last decoded revision of each upstream entry
}

// New returns an instance with the settings in the platform's settings file. Its listeners
// are open, but nothing is served before Run.
func New(file string, log *slog.Logger) (*Instance, error) {
	settings, err := platform.LoadSettings(file)
	if err != nil {
		return nil, err
	}
	i := &Instance{
		file: file, settings: settings, limits: newBounds(settings.Limits), log: log, store: platform.New("http://"+settings.Store, platform.WithLog(log)),
		evacuated: make(map[string]bool), decoded: make(map[string]decodedUpstream), refresh: make(chan struct{}, 1),
		quotasBegun:     make(chan struct{}, 1),
		withdrawalLines: event.NewLimiter(event.LinesPerSecond(maxWithdrawalLines)),
		entryLines:      event.NewLimiter(event.LinesPerSecond(maxEntryLines)),
		quotaLines:      event.NewLimiter(event.LinesPerSecond(maxQuotaLines)),
	}
	i.bounds.Store(&settings.Bounds)
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
	gossipAddress := netip.AddrPortFrom(control.Addr(), uint16(settings.FirstPort)).String()
	i.mesh, err = gossip.New(gossipAddress, settings.Domain, settings.Regions, log)
	if err != nil {
		return nil, err
	}
	i.mesh.SetSeeds(seedAddresses(settings.Seeds))
	i.tracker = load.NewTracker(settings.Domain, settings.Region, regionNames(&settings), i.newDialer)
	location := planner.Location{Domain: settings.Domain, Region: settings.Region, Regions: regionNames(&settings)}
	i.planner = planner.New(location, i.tracker, i.mesh, retryBounds(settings.Bounds))
	i.follower = newFollower(i.store, i.mesh, control.Port(), log, i.apply, withRanBefore(!settings.Bootstrap),
		withHeartbeat(settings.HeartbeatInterval), withBound(settings.Bounds.Propagation))
	i.quotas = newQuotaGate(quotaTerms(&settings.Bounds), i.instances, quota.NewStart(clock.Now()))
	i.ingress = ingress.New(i.planner, log, ingress.WithOnLeaving(i.refreshView), ingress.WithMemory(i.limits.bodies), ingress.WithQuotas(i.quotas),
		ingress.WithConfirmed(func() freshness.Confirmation { return i.follower.confirmation(platform.KindConfiguration) }))
	i.mesh.OnRevisions(i.follower.handleNotice)
	i.mesh.OnConfirmed(i.follower.handleConfirmation)
	i.mesh.OnLoadReports(i.receiveLoadReports)
	i.mesh.OnLimits(i.receiveLimits)
	i.mesh.OnQuotas(i.receiveQuotas)
	return i, i.listen()
}

func retryBounds(b platform.Bounds) planner.RetryBounds {
	return planner.RetryBounds{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// newDialer returns the dialer of an upstream. It reports the dial times to the load tracker.
func (i *Instance) newDialer(u *fleet.Upstream) *dispatch.Dialer {
	return dispatch.NewDialer(u.Address,
		dispatch.WithUserTimeout(upstreamTimeout),
		dispatch.WithTimeout(func() time.Duration { return dialRoundTrips*i.tracker.RoundTrip(u) + dialSlack }),
		dispatch.WithDialTimes(func(took time.Duration) { i.tracker.ObserveDial(u.Domain, took) }))
}

// Run serves until the context stop is done, then performs a planned stop. Each value received from reload makes it
// read the settings file again.
func (i *Instance) Run(stop context.Context, reload <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	event.Started.Log(ctx, i.log, slog.String("instance", i.settings.Name), slog.String("domain", i.settings.Domain),
		slog.String("caller", i.settings.Front))
	i.servers.serve(&i.group)
	i.group.Go(func() error { return i.mesh.Run(ctx) })
	i.group.Go(func() error { return i.follower.run(ctx) })
	i.group.Go(func() error { return i.reload(ctx, reload) })
	i.group.Go(func() error { return i.refreshViews(ctx) })
	i.group.Go(func() error { return i.closeIdle(ctx) })
	i.group.Go(func() error { return i.updateShares(ctx) })
	i.group.Go(func() error { return i.exchangeLimits(ctx) })
	i.group.Go(func() error { return i.exchangeQuotas(ctx) })
	<-stop.Done()
	i.stop()
	cancel()
	err := i.servers.close()
	i.store.Close()
	return errors.Join(err, i.group.Wait())
}

// apply puts the current objects of a kind in the platform's store into force. It is called
// after each change of them.
func (i *Instance) apply(kind string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if kind == platform.KindConfiguration {
		i.applyConfiguration()
		return
	}
	i.applyUpstreams()
}

// applyConfiguration puts the configuration into force if its version is higher than that in
// force. One that cannot be decoded is logged and skipped. i.mu must be held.
func (i *Instance) applyConfiguration() {
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
	i.applyQuotas(table)
	i.planner.SetTable(table)
	i.servers.front.SetIdle(table.Limits().IdleTimeout)
	i.servers.front.SetMaxHeader(table.Limits().HeaderBytes)
	versionInForce.Set(float64(table.Version()))
	event.RevisionApplied.Log(context.Background(), i.log, slog.Uint64("version", table.Version()),
		slog.Uint64("revision", o.Version.Number), slog.String("era", o.Version.EraName()), slog.Int("routes", table.Len()))
	i.applyUpstreams()
	i.mesh.SetReady(i.ingress.Ready())
}

// applyUpstreams puts a view of the current upstreams and evacuations into force. It does
// nothing until the upstreams are loaded. i.mu must be held.
func (i *Instance) applyUpstreams() {
	entries, ok := i.follower.entries(platform.KindUpstreams)
	if !ok {
		return
	}
	now := time.Now()
	evacuations, _ := i.follower.objects(platform.KindEvacuations)
	domains := make([]string, 0, len(evacuations))
	for _, o := range evacuations {
		domains = append(domains, o.Name())
	}
	upstreams, changes := i.decode(entries)
	view := fleet.NewView(upstreams, domains, i.settings.Regions, fleet.WithLeft(i.planner.Left))
	i.recordWithdrawals(view, changes.withdrawn)
	i.tracker.ApplyView(view, !i.hadConfiguredView, i.coldPeriod, now)
	i.noteEvacuations(view, domains, now)
	i.hadConfiguredView = i.planner.Table() != nil
	i.planner.SetView(view)
	i.mesh.SetReady(i.ingress.Ready())
	upstreamsKnown.Set(float64(len(upstreams)))
	domainsEvacuated.Set(float64(len(domains)))
	event.ViewApplied.Log(context.Background(), i.log, append(changes.attrs(),
		slog.Int("upstreams", len(upstreams)), slog.Int("evacuated", len(domains)))...)
}

// coldPeriod returns how long an upstream of a service counts as cold after its start, 0
// without a configuration.
func (i *Instance) coldPeriod(service string) time.Duration {
	if t := i.planner.Table(); t != nil {
		return t.Service(service).ColdPeriod
	}
	return 0
}

// noteEvacuations records which failure domains are evacuated. If the evacuation of one has
// ended, it marks the upstreams there as cold. i.mu must be held.
func (i *Instance) noteEvacuations(view *fleet.View, domains []string, now time.Time) {
	for domain := range i.evacuated {
		if !view.Evacuated(domain) {
			delete(i.evacuated, domain)
			i.markCold(view, domain, now)
		}
	}
	for _, domain := range domains {
		i.evacuated[domain] = true
	}
}

// markCold marks the upstreams of a failure domain as cold for the cold period of their service.
func (i *Instance) markCold(view *fleet.View, domain string, now time.Time) {
	for _, u := range view.All() {
		if u.Domain == domain {
			until := now.Add(i.coldPeriod(u.Service))
			i.tracker.MarkCold(view, until, func(other *fleet.Upstream) bool { return other.ID == u.ID })
		}
	}
}

// seedAddresses returns the IPv4 addresses among the seeds and skips the rest.
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
	// settingsInterval is how often the settings file is read again without a signal.
	settingsInterval = 2 * time.Second
	// idleCheckInterval is how often connections are checked for idleness.
	idleCheckInterval = 500 * time.Millisecond
)

// reload reads the settings file again on each signal and at an interval, since the platform
// may change the file without sending a signal. It applies the bounds and the seeds; the other
// settings take effect at the next start.
func (i *Instance) reload(ctx context.Context, signals <-chan os.Signal) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		if i.readSettings(ctx) && signalled {
			event.SettingsReloaded.Log(ctx, i.log)
		}
	}
}

// readSettings reads the settings file and applies the bounds and the seeds. It reports false, and
// logs why, if the file is not usable.
func (i *Instance) readSettings(ctx context.Context) bool {
	settings, err := platform.LoadSettings(i.file)
	if err != nil {
		event.SettingsRefused.Log(ctx, i.log, slog.String("error", err.Error()))
		return false
	}
	i.bounds.Store(&settings.Bounds)
	i.planner.SetBounds(retryBounds(settings.Bounds))
	i.mu.Lock()
	i.applyQuotas(i.planner.Table())
	i.mu.Unlock()
	i.follower.setBound(settings.Bounds.Propagation)
	i.mesh.SetSeeds(seedAddresses(settings.Seeds))
	return true
}

// closeIdle closes callers' connections that have been idle for too long and those of clients that stall, and sets the
// metrics of those that are open, every idleCheckInterval until the context is done.
func (i *Instance) closeIdle(ctx context.Context) error {
	return interval.Each(ctx, idleCheckInterval, func(now time.Time) {
		i.servers.front.CloseIdle(now)
		i.closeStalled(now)
		showConnections(i.servers.front.Counts())
	})
}
