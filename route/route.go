// Package route holds the operators' configuration of routes and services, which
// selects the service and the limits of a request, and splits the requests of a route
// among its targets. It does no input or output.
package route

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"hickorydrum/account"
)

// Target is a service that gets a part of a route's requests, by its weight.
type Target struct {
	Service string
	Weight  int
}

// Route is the declaration for the requests to one host with one path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Idempotent states that a request may be executed more than once.
	Idempotent bool
	// Sticky states that an upstream serves a request faster if it recently handled another
	// one for the same object.
	Sticky bool
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Objective is the latency that the route aims at for its responses: one that takes longer is
	// worth less. 0 means none.
	Objective time.Duration
	// Timeout bounds the time that a request takes.
	Timeout time.Duration
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// HomeRegions are the regions that may serve the route; if there are none, all may.
	HomeRegions []string
	// AllowAnonymous states that requests need no key of a client account.
	AllowAnonymous bool
	Targets        []Target
}

// AllowsRegion reports whether a region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Class identifies routes whose requests take similar times: their declarations differ
// in paths and limits only.
type Class struct {
	Idempotent bool
	Sticky     bool
	Priority   int
	Objective  time.Duration
}

// Class returns the class of the route.
func (r *Route) Class() Class {
	return Class{Idempotent: r.Idempotent, Sticky: r.Sticky, Priority: r.Priority, Objective: r.Objective}
}

// TotalWeight returns the sum of the targets' weights.
func (r *Route) TotalWeight() int {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	return sum
}

// Service is the declaration of a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdPeriod is how long an upstream counts as cold after its start.
	ColdPeriod time.Duration
	// ColdRate is how many requests a second a cold upstream can serve.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	version  uint64
	limits   Limits
	byHost   map[string][]*Route // longest prefix first
	services map[string]Service
	count    int
	longest  time.Duration // longest timeout of a route
	accounts *account.Directory
}

// TableOption configures a Table in NewTable.
type TableOption func(*Table)

// WithAccounts sets the client accounts. Without them requests need no key.
func WithAccounts(d *account.Directory) TableOption { return func(t *Table) { t.accounts = d } }

// NewTable returns the table of a version.
func NewTable(version uint64, limits Limits, routes []*Route, services []Service, opts ...TableOption) *Table {
	t := &Table{
		version: version, limits: limits, count: len(routes),
		byHost: make(map[string][]*Route), services: make(map[string]Service, len(services)),
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.longest = max(t.longest, r.Timeout)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Accounts returns the client accounts, nil if requests need no key.
func (t *Table) Accounts() *account.Directory { return t.accounts }

// LongestTimeout returns the longest timeout of a route.
func (t *Table) LongestTimeout() time.Duration { return t.longest }

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Service returns the declaration of a service; that of an undeclared service has a
// name only.
func (t *Table) Service(name string) Service {
	if s, ok := t.services[name]; ok {
		return s
	}
	return Service{Name: name}
}

// Services returns the names of the declared services.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.services)) }

// Match returns the route of the host with the longest prefix of the path. The port and
// the case of the host are ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
