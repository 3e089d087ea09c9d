package load

import (
	"slices"
	"sync"

	"hickorydrum/fleet"
	"hickorydrum/placement"
)

// maxRanks bounds the ranks that are kept, 4 bytes each. All are dropped when there are more.
const maxRanks = 1 << 20

// orders holds the orders of preference among the upstreams of each service. Its methods are safe for
// concurrent use.
type orders struct {
	mu       sync.Mutex
	services map[string]*serviceOrder
	kept     int // ranks of all services
}

func newOrders() *orders { return &orders{services: make(map[string]*serviceOrder)} }

// serviceOrder is the order of preference among the upstreams of a service in one view.
type serviceOrder struct {
	upstreams []*fleet.Upstream
	weighted  bool                // the upstreams differ in their slots
	ranks     map[uint64][]uint32 // by object, and by index in upstreams
}

// ranks returns the rank of each of the upstreams of a service, as a view returns them, for an
// object. The highest rank, which is the number of upstreams, is preferred. The caller must not change
// the slice.
func (o *orders) ranks(service string, upstreams []*fleet.Upstream, object uint64) []uint32 {
	o.mu.Lock()
	s := o.service(service, upstreams)
	ranks, ok := s.ranks[object]
	weighted := s.weighted
	o.mu.Unlock()
	if ok {
		return ranks
	}
	ranks = computeRanks(upstreams, weighted, object)
	o.mu.Lock()
	defer o.mu.Unlock()
	if s != o.services[service] {
		return ranks // the view has changed
	}
	if o.kept+len(ranks) > maxRanks {
		o.clear()
	}
	if _, ok := s.ranks[object]; !ok {
		s.ranks[object] = ranks
		o.kept += len(ranks)
	}
	return ranks
}

// clear drops the ranks of all services. o.mu must be held.
func (o *orders) clear() {
	for _, s := range o.services {
		clear(s.ranks)
	}
	o.kept = 0
}

// service returns the order of a service for the upstreams of a view. o.mu must be held.
func (o *orders) service(service string, upstreams []*fleet.Upstream) *serviceOrder {
	s, ok := o.services[service]
	switch {
	case ok && sameSlice(s.upstreams, upstreams):
	case ok && slices.EqualFunc(s.upstreams, upstreams, sameRanks):
		s.upstreams = upstreams
	default:
		if ok {
			o.kept -= len(s.ranks) * len(s.upstreams)
		}
		s = &serviceOrder{upstreams: upstreams, weighted: differInSlots(upstreams), ranks: make(map[uint64][]uint32)}
		o.services[service] = s
	}
	return s
}

// sameSlice reports whether two slices are the same, not only equal. Views do not change, so that the
// slice of a service identifies its upstreams.
func sameSlice(a, b []*fleet.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// sameRanks reports whether two upstreams have the same rank for every object.
func sameRanks(a, b *fleet.Upstream) bool { return a.Hash() == b.Hash() && a.Slots == b.Slots }

func differInSlots(upstreams []*fleet.Upstream) bool {
	return slices.ContainsFunc(upstreams, func(u *fleet.Upstream) bool { return u.Slots != upstreams[0].Slots })
}

// computeRanks returns the ranks of upstreams for an object. Unless weighted is set, their order is
// that of placement.Rank.
func computeRanks(upstreams []*fleet.Upstream, weighted bool, object uint64) []uint32 {
	type ranked struct {
		rank  uint64
		index int
	}
	order := make([]ranked, len(upstreams))
	for i, u := range upstreams {
		order[i] = ranked{rank: placement.Rank(object, u.Hash()), index: i}
		if weighted {
			order[i].rank = placement.WeightedRank(object, u.Hash(), u.Slots)
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		switch {
		case a.rank > b.rank:
			return -1
		case a.rank < b.rank:
			return 1
		default:
			return a.index - b.index
		}
	})
	ranks := make([]uint32, len(order))
	for place, one := range order {
		ranks[one.index] = uint32(len(order) - place)
	}
	return ranks
}
