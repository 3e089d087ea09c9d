package instance

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"hickorydrum/entry"
	"hickorydrum/peer"
	"hickorydrum/roster"
	"hickorydrum/upstream"
)

// CallStatus is the call that asks a peer for its status.
const CallStatus peer.Call = "status"

const (
	statusTimeout  = 2 * time.Second
	statusParallel = 32
)

// Status is the status of one instance for operators.
type Status struct {
	Name      string             `json:"name" cbor:"1,keyasint"`
	Region    string             `json:"region" cbor:"2,keyasint"`
	Domain    string             `json:"domain" cbor:"3,keyasint"`
	State     string             `json:"state" cbor:"4,keyasint"`
	Revision  uint64             `json:"revision" cbor:"5,keyasint"`
	Era       string             `json:"era,omitempty" cbor:"11,keyasint,omitempty"` // of the store, of Revision
	Frozen    bool               `json:"frozen" cbor:"6,keyasint"`
	Uses      []upstream.Usage   `json:"uses" cbor:"7,keyasint"`
	Shares    []entry.FlowShares `json:"shares" cbor:"8,keyasint"`
	Reachable bool               `json:"reachable" cbor:"9,keyasint"`
	// LiveInstances is the number of live instances in the roster.
	LiveInstances int `json:"known" cbor:"10,keyasint"`
}

// Status returns the status of the instance.
func (i *Instance) Status() Status {
	self := i.roster.Self()
	now, at := time.Now(), i.state.Revision()
	return Status{
		Name: self.Name, Region: self.Region, Domain: self.Domain, State: self.State.String(),
		Revision: at.Number, Era: at.EraName(), Frozen: i.frozen(now),
		Uses: i.pool.Usage(), Shares: i.entry.Shares(), Reachable: true,
		LiveInstances: len(i.roster.View().Live()),
	}
}

// allStatuses returns the status of every member, sorted by name. A member that does not
// answer within statusTimeout is marked as not reachable.
func (i *Instance) allStatuses(ctx context.Context) []Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	self := i.roster.Self()
	out := []Status{i.Status()}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for _, m := range i.roster.View().AllPresent() {
		if m.ID() == self.ID() {
			continue
		}
		group.Go(func() error {
			status := i.statusOf(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, status)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// statusOf asks a member for its status. If that fails, it returns what the roster says of
// the member, marked as not reachable.
func (i *Instance) statusOf(ctx context.Context, m roster.Member) Status {
	var status Status
	if err := i.node.Ask(ctx, peer.NewTarget(m.Name, m.Peer), CallStatus, struct{}{}, &status); err != nil {
		return Status{Name: m.Name, Region: m.Region, Domain: m.Domain, State: m.State.String()}
	}
	return status
}

// adminHandler returns the HTTP handler for operators: liveness, readiness, metrics and
// status.
func (i *Instance) adminHandler() http.Handler {
	server := echo.New()
	server.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	server.GET("/readyz", func(c echo.Context) error {
		if reason := i.unreadyReason(time.Now()); reason != "" {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
	server.GET("/metrics", func(c echo.Context) error {
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	server.GET("/status", func(c echo.Context) error {
		if c.QueryParam("all") != "" {
			return c.JSON(http.StatusOK, i.allStatuses(c.Request().Context()))
		}
		return c.JSON(http.StatusOK, i.Status())
	})
	return server
}

// unreadyReason returns why callers should not be sent to this instance, or "" if it is
// ready.
func (i *Instance) unreadyReason(now time.Time) string {
	switch {
	case i.roster.Self().State == roster.Joining:
		return "not registered with the platform yet"
	case i.roster.Self().State != roster.Live:
		return "leaving"
	case i.state.Revision().IsZero():
		return "no configuration yet; apply one"
	case i.frozen(now):
		return "neither the platform nor a peer confirms the revision; shares do not move"
	default:
		return ""
	}
}
