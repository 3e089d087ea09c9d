package hosted

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"hickorydrum/platform"
	"hickorydrum/server"
)

const (
	pathState   = "/state"
	pathMetrics = "/metrics"
	// acceptedTimeout is the TCP user timeout of the connections that all servers accept: one
	// whose sent bytes are not acknowledged for so long is closed.
	acceptedTimeout = 5 * time.Second
	// maxLookupTTL is the longest time for which callers may cache the response to a look-up. It is
	// short, so that few of them still connect to an instance when its planned stop ends.
	maxLookupTTL = 1500 * time.Millisecond
	// maxAddresses is the largest number of addresses in the response to a look-up.
	maxAddresses = 64
)

// servers are the HTTP servers of an instance.
type servers struct {
	front, ready, directory, control *server.Server // for callers, readiness checks, look-ups, and other instances
}

// listen opens the listeners of all servers. If one fails, it closes those that it opened.
func (i *Instance) listen() error {
	s := &i.servers
	for _, l := range []struct {
		name    string
		address string
		handler http.Handler
		limits  server.Limits
		into    **server.Server
	}{
		{"callers", i.settings.Front, i.ingress, i.limits.of(i.limits.callers, i.limits.heads), &s.front},
		{"readiness", i.settings.Ready, i.readyHandler(), i.limits.of(i.limits.readiness, nil), &s.ready},
		{"look-ups", i.settings.Directory, i.directoryHandler(), i.limits.of(i.limits.lookups, nil), &s.directory},
		{"instances", i.settings.Control, i.controlHandler(), i.limits.of(i.limits.instances, nil), &s.control},
	} {
		opened, err := server.Listen(l.address, l.handler, acceptedTimeout, i.log, server.WithName(l.name),
			server.WithLimits(l.limits))
		if err != nil {
			return errors.Join(err, s.close())
		}
		*l.into = opened
	}
	return nil
}

// Callers' connections that are open, by state.
var (
	connectionsIdle    = metrics.GetOrCreateGauge(`hickorydrum_connections{state="idle"}`, nil)
	connectionsReading = metrics.GetOrCreateGauge(`hickorydrum_connections{state="reading"}`, nil)
	connectionsServing = metrics.GetOrCreateGauge(`hickorydrum_connections{state="serving"}`, nil)
	connectionsClosing = metrics.GetOrCreateGauge(`hickorydrum_connections{state="closing"}`, nil)
)

// showConnections sets the metrics of callers' connections.
func showConnections(open server.Counts) {
	connectionsIdle.Set(float64(open.Idle))
	connectionsReading.Set(float64(open.Reading))
	connectionsServing.Set(float64(open.Serving))
	connectionsClosing.Set(float64(open.Closing))
}

// all returns the servers. Those that are not open yet are nil.
func (s *servers) all() []*server.Server {
	return []*server.Server{s.front, s.ready, s.directory, s.control}
}

// serve starts all servers in the group.
func (s *servers) serve(group *errgroup.Group) {
	for _, one := range s.all() {
		group.Go(func() error {
			one.Serve()
			return nil
		})
	}
}

// others returns the servers that are not for callers' requests.
func (s *servers) others() []*server.Server {
	return []*server.Server{s.ready, s.directory, s.control}
}

// stopAcceptingOthers closes the listeners of the other servers.
func (s *servers) stopAcceptingOthers() error {
	var group errgroup.Group
	for _, one := range s.others() {
		group.Go(one.StopAccepting)
	}
	return group.Wait()
}

// giveUpOthers gives up the idle connections of the other servers and reports whether none is open.
func (s *servers) giveUpOthers() bool {
	open := 0
	for _, one := range s.others() {
		one.GiveUpIdle(time.Now())
		open += one.Counts().Open()
	}
	return open == 0
}

// close closes all servers and their connections.
func (s *servers) close() error {
	var errs []error
	for _, one := range s.all() {
		if one != nil {
			errs = append(errs, one.Close())
		}
	}
	return errors.Join(errs...)
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	return e
}

// readyHandler serves the platform's readiness checks.
func (i *Instance) readyHandler() http.Handler {
	e := newEcho()
	e.GET(platform.PathReady, func(c echo.Context) error {
		if !i.ingress.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

// directoryHandler serves look-ups of instances.
func (i *Instance) directoryHandler() http.Handler {
	e := newEcho()
	e.GET(platform.PathLookup, func(c echo.Context) error {
		lookup := platform.DecodeLookup(c.QueryParams())
		addresses := i.serving(lookup.Domain, lookup.Region)
		if len(addresses) == 0 {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.JSON(http.StatusOK, platform.NewLookupResponse(addresses, i.lookupTTL()))
	})
	return e
}

// serving returns the addresses of the instances that callers from a failure domain should
// use: a random choice of maxAddresses if there are more.
func (i *Instance) serving(domain, region string) []string {
	var out []string
	for _, address := range i.mesh.Serving(domain, region) {
		out = append(out, netip.AddrPortFrom(address, i.front.Port()).String())
	}
	if len(out) > maxAddresses {
		rand.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
		out = out[:maxAddresses]
	}
	return out
}

// controlHandler serves the content of the mirrors to other instances, and the metrics.
func (i *Instance) controlHandler() http.Handler {
	e := newEcho()
	e.GET(pathState, func(c echo.Context) error { return i.follower.serveState(c.Response(), c.Request()) })
	e.GET(pathMetrics, func(c echo.Context) error {
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	return e
}
