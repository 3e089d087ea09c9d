// Package route holds the operators' configuration as it is in force: which
// service a request is for, and within which limits. It is immutable and pure.
package route

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

// Target is a service that gets a part of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route is what the operators declare about the requests with one prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Idempotent requests may be run more than once.
	Idempotent bool
	// Sticky requests of one object are faster at an upstream that handled it.
	Sticky bool
	// Priority ranks the route; 0 is the highest.
	Priority int
	// Objective is the latency within which an answer is worth most.
	Objective time.Duration
	// Timeout is how long a request may take at most.
	Timeout time.Duration
	// MaxAttempts is how many upstreams one request may be sent to.
	MaxAttempts int
	// HomeRegions are the regions that may serve the route; none means all.
	HomeRegions   []string
	Targets []Target
}

// AllowsRegion reports whether the route may be served in a region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Class names the routes whose requests take alike: those that are declared alike
// but for their paths and limits.
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

// Service is what the operators declare about a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdTime is how long an upstream is cold after its start.
	ColdTime time.Duration
	// ColdRate is how many requests a second a cold upstream bears.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	version  uint64
	limits   Limits
	byHost   map[string][]*Route // longest prefix first
	services map[string]Service
	count    int
}

// NewTable returns the table of a version.
func NewTable(version uint64, limits Limits, routes []*Route, services []Service) *Table {
	t := &Table{
		version: version, limits: limits, count: len(routes),
		byHost: make(map[string][]*Route), services: make(map[string]Service, len(services)),
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Service returns what is declared about a service; an undeclared one has its
// name only.
func (t *Table) Service(name string) Service {
	if s, ok := t.services[name]; ok {
		return s
	}
	return Service{Name: name}
}

// Services returns the names of the declared services.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.services)) }

// Match returns the route with the longest prefix of the path at the host.
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
