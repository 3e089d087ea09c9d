// Package fleet holds which upstreams there are, as one immutable view.
package fleet

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Upstream is one upstream as it registered itself.
type Upstream struct {
	ID      string
	Service string
	Address string
	Domain  string // failure domain
	Slots   int
	// Draining upstreams get no new requests.
	Draining bool
	// StartMillis is the Unix millisecond of the upstream's start. It tells two starts
	// under one id apart.
	StartMillis int64
	// ColdRemainingMillis is how many more milliseconds the upstream was cold when it wrote
	// its entry.
	ColdRemainingMillis int64
	// Revision is that of the entry.
	Revision uint64

	hash   uint64
	region string
}

// Hash returns the hash of the id, for ranks.
func (u *Upstream) Hash() uint64 { return u.hash }

// Region returns the region of the failure domain, or "" when it is not known.
func (u *Upstream) Region() string { return u.region }

// View is the upstreams at one moment.
type View struct {
	byService map[string][]*Upstream
	byID      map[string]*Upstream
	evacuated map[string]bool
}

// NewView returns the view of the upstreams, without those in evacuated failure
// domains. The regions are those of the failure domains.
func NewView(upstreams []Upstream, evacuated []string, regions map[string]string) *View {
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

// Service returns the upstreams that may get requests for a service.
func (v *View) Service(name string) []*Upstream { return v.byService[name] }

// Upstream returns the upstream with the id, whether or not it may get requests.
func (v *View) Upstream(id string) (*Upstream, bool) {
	u, ok := v.byID[id]
	return u, ok
}

// Eligible reports whether an upstream of an older view may still get requests.
func (v *View) Eligible(u *Upstream) bool {
	now, ok := v.byID[u.ID]
	return ok && now.StartMillis == u.StartMillis && now.Address == u.Address && !now.Draining && !v.evacuated[now.Domain]
}

// Evacuated reports whether nothing may be sent to a failure domain.
func (v *View) Evacuated(domain string) bool { return v.evacuated[domain] }

// All returns every upstream, in no order.
func (v *View) All() []*Upstream {
	out := make([]*Upstream, 0, len(v.byID))
	for _, u := range v.byID {
		out = append(out, u)
	}
	return out
}
