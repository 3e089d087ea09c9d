// Package fleet holds the upstreams of all services as an immutable View.
package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickorydrum/revision"
)

// Upstream is one upstream, as it registered itself in the platform's store or as the
// operators declared it.
type Upstream struct {
	ID      string
	Service string
	Address string
	Domain  string // failure domain
	Slots   int
	// Draining is set when the upstream must get no new requests.
	Draining bool
	// StartMillis is the Unix time of the upstream's start, in milliseconds. It
	// distinguishes two starts under one id.
	StartMillis int64
	// ColdRemainingMillis is how many milliseconds of its cold period were left when the
	// upstream wrote its entry.
	ColdRemainingMillis int64
	// Revision is the store's revision of the upstream's entry.
	Revision revision.Revision
	// Source says from where this instance has that revision, and Peer from which other instance.
	Source string
	Peer   string
	// LearnedAt is when this instance received it.
	LearnedAt time.Time

	hash   uint64
	region string
}

// Hash returns the hash of the id, which ranks upstreams for an object.
func (u *Upstream) Hash() uint64 { return u.hash }

// Region returns the region of the upstream's failure domain, or "" when the
// settings name none.
func (u *Upstream) Region() string { return u.region }

// View is the set of upstreams at one moment. It never changes, so its methods may
// be called concurrently.
type View struct {
	byService map[string][]*Upstream
	byID      map[string]*Upstream
	evacuated map[string]bool
}

// ViewOption configures a View in NewView.
type ViewOption func(*viewConfig)

type viewConfig struct {
	left func(u *Upstream) bool
}

// WithLeft sets a function that reports whether an upstream leaves although its entry does not say so.
// Such an upstream counts as draining.
func WithLeft(left func(u *Upstream) bool) ViewOption { return func(c *viewConfig) { c.left = left } }

// NewView returns a view of the upstreams. Those that are draining or in an
// evacuated failure domain are found by id but get no requests. The map regions has
// the region of each failure domain.
func NewView(upstreams []Upstream, evacuated []string, regions map[string]string, opts ...ViewOption) *View {
	config := viewConfig{left: func(*Upstream) bool { return false }}
	for _, opt := range opts {
		opt(&config)
	}
	v := &View{
		byService: make(map[string][]*Upstream), byID: make(map[string]*Upstream, len(upstreams)),
		evacuated: make(map[string]bool, len(evacuated)),
	}
	for _, domain := range evacuated {
		v.evacuated[domain] = true
	}
	for i := range upstreams {
		u := upstreams[i]
		u.hash = xxhash.Sum64String(u.ID)
		u.region = regions[u.Domain]
		u.Draining = u.Draining || config.left(&u)
		v.byID[u.ID] = &u
		if !u.Draining && !v.evacuated[u.Domain] {
			v.byService[u.Service] = append(v.byService[u.Service], &u)
		}
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// Service returns the upstreams that may get requests for a service, sorted by id.
// The caller must not change the slice.
func (v *View) Service(name string) []*Upstream { return v.byService[name] }

// Upstream returns the upstream with the id, also when it must not get requests.
func (v *View) Upstream(id string) (*Upstream, bool) {
	u, ok := v.byID[id]
	return u, ok
}

// Eligible reports whether an upstream of an older view may still get requests.
func (v *View) Eligible(u *Upstream) bool {
	current, ok := v.byID[u.ID]
	return ok && current.StartMillis == u.StartMillis && current.Address == u.Address && !current.Draining && !v.evacuated[current.Domain]
}

// Evacuated reports whether a failure domain is evacuated: nothing may be sent to it.
func (v *View) Evacuated(domain string) bool { return v.evacuated[domain] }

// All returns every upstream, in no particular order.
func (v *View) All() []*Upstream {
	out := make([]*Upstream, 0, len(v.byID))
	for _, u := range v.byID {
		out = append(out, u)
	}
	return out
}
