package hosted

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/platform"
	"hickorydrum/socket"
)

const (
	pathState   = "/state"
	pathMetrics = "/metrics"
	// callerTimeout ends a connection whose sent bytes a caller does not acknowledge.
	callerTimeout = 5 * time.Second
	defaultIdle   = 30 * time.Second
	// lookupLife is how long callers use the answer to a look-up. It is short, so that
	// few still come when a planned stop ends.
	lookupLife = 1500 * time.Millisecond
	// maxAddresses is how many instances an answer to a look-up names at most.
	maxAddresses = 64
)

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

// servers are the listeners of an instance.
type servers struct {
	front, ready, directory, control *server

	mu   sync.Mutex
	idle time.Duration
	conn map[net.Conn]time.Time // callers' idle connections, and since when
}

// listen opens the listeners.
func (i *Instance) listen() error {
	s := &i.servers
	s.idle, s.conn = defaultIdle, make(map[net.Conn]time.Time)
	for _, l := range []struct {
		address string
		handler http.Handler
		into    **server
	}{
		{i.settings.Front, i.ingress, &s.front},
		{i.settings.Ready, i.readyHandler(), &s.ready},
		{i.settings.Directory, i.directoryHandler(), &s.directory},
		{i.settings.Control, i.controlHandler(), &s.control},
	} {
		opened, err := listen(l.address, l.handler)
		if err != nil {
			return errors.Join(err, s.close())
		}
		*l.into = opened
	}
	s.front.http.ConnState = s.noteState
	return nil
}

func listen(address string, handler http.Handler) (*server, error) {
	config := net.ListenConfig{Control: socket.UserTimeout(callerTimeout)}
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "the address "+address+" cannot be listened on", "free the address",
			fault.WithCause(err))
	}
	return &server{listener: listener, http: &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}}, nil
}

func (s *servers) all() []*server { return []*server{s.front, s.ready, s.directory, s.control} }

func (s *servers) serve(group *errgroup.Group, log *slog.Logger) {
	for _, one := range s.all() {
		group.Go(func() error {
			err := one.http.Serve(one.listener)
			if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				event.ServeFailed.Log(context.Background(), log, slog.String("error", err.Error()))
			}
			return nil
		})
	}
}

// noteState keeps when each connection of a caller became idle.
func (s *servers) noteState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.conn[c] = time.Now()
		return
	}
	delete(s.conn, c)
}

// setIdle sets how long callers may leave a connection idle.
func (s *servers) setIdle(idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = cmp.Or(idle, defaultIdle)
}

// closeIdle closes the connections that were idle for too long.
func (s *servers) closeIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.conn {
		if now.Sub(since) > s.idle {
			_ = c.Close()
			delete(s.conn, c)
		}
	}
}

// stopAccepting closes the callers' listener and their idle connections.
func (s *servers) stopAccepting() {
	_ = s.front.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conn {
		_ = c.Close()
	}
	clear(s.conn)
}

// close closes all listeners and connections. That of the callers was closed when the
// planned stop began.
func (s *servers) close() error {
	var errs []error
	for _, one := range s.all() {
		if one == nil {
			continue
		}
		if err := one.http.Close(); !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	return e
}

// readyHandler answers the platform's readiness checks.
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

// directoryHandler answers look-ups.
func (i *Instance) directoryHandler() http.Handler {
	e := newEcho()
	e.GET(platform.PathLookup, func(c echo.Context) error {
		lookup := platform.DecodeLookup(c.QueryParams())
		addresses := i.serving(lookup.Domain, lookup.Region)
		if len(addresses) == 0 {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		life := min(lookupLife, i.settings.Bounds.LookupTTL)
		return c.JSON(http.StatusOK, platform.NewLookupAnswer(addresses, life))
	})
	return e
}

// serving returns the addresses that callers from a failure domain should use.
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

// controlHandler answers other instances and tells the metrics.
func (i *Instance) controlHandler() http.Handler {
	e := newEcho()
	e.GET(pathState, func(c echo.Context) error { return i.follower.serveState(c.Response(), c.Request()) })
	e.GET(pathMetrics, func(c echo.Context) error {
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	return e
}
