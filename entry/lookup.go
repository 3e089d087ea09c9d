package entry

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"hickorydrum/roster"
	"hickorydrum/steering"
)

const (
	// LookupPath is the HTTP path on which callers ask which instances to use.
	LookupPath = "/.well-known/hickorydrum/lookup"
	// maxInstances is the largest number of instances in a response.
	maxInstances = 3
)

// LookupInstance is one instance in the response to a look-up.
type LookupInstance struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// LookupResponse is the response to a look-up.
type LookupResponse struct {
	Region    string           `json:"region"`
	Revision  uint64           `json:"revision"`
	Until     time.Time        `json:"until"` // when the caller must ask again
	Instances []LookupInstance `json:"instances"`
}

// lookups holds the look-up responses for one steering table and one view of the roster,
// as JSON without the value of until.
type lookups struct {
	table          *steering.Table
	hasInstances   []bool     // by region: it has instances that serve callers
	responses      [][][]byte // by region and variant; each variant begins with another instance of the region
	servingRegions []int      // the regions that have instances
}

// newLookups renders the responses of all regions.
func newLookups(table *steering.Table, view *roster.View) *lookups {
	n := len(table.Regions())
	l := &lookups{table: table, hasInstances: make([]bool, n), responses: make([][][]byte, n)}
	for i, name := range table.Regions() {
		members := view.Serving(name)
		if len(members) == 0 {
			continue
		}
		l.hasInstances[i] = true
		l.servingRegions = append(l.servingRegions, i)
		for variant := range members {
			l.responses[i] = append(l.responses[i], renderResponse(name, table.Revision(), instancesFor(members, variant)))
		}
	}
	return l
}

// instancesFor returns the instances in one variant of a region's response: up to
// maxInstances, in the order of members from index variant on, with one instance of each
// failure domain first.
func instancesFor(members []roster.Member, variant int) []LookupInstance {
	var first, sameDomain []LookupInstance
	seen := make(map[string]bool)
	for k := range members {
		m := members[(variant+k)%len(members)]
		entry := LookupInstance{Address: m.Caller, Domain: m.Domain}
		if seen[m.Domain] {
			sameDomain = append(sameDomain, entry)
			continue
		}
		seen[m.Domain] = true
		first = append(first, entry)
	}
	first = append(first, sameDomain...)
	return first[:min(len(first), maxInstances)]
}

// renderResponse returns the response as JSON up to the value of until, which is its last
// field.
func renderResponse(region string, revision uint64, entries []LookupInstance) []byte {
	instances, err := json.Marshal(entries)
	if err != nil {
		return nil
	}
	b := append([]byte(nil), `{"region":`...)
	b = strconv.AppendQuote(b, region)
	b = append(b, `,"revision":`...)
	b = strconv.AppendUint(b, revision, 10)
	b = append(b, `,"instances":`...)
	b = append(b, instances...)
	return append(b, `,"until":"`...)
}

// targetRegion returns the region whose instances a caller should use: its home region, or
// the one that serves its traffic if the home region serves none of it any more. A region
// without instances is replaced by another one. It reports false if no region has any.
func (l *lookups) targetRegion(block steering.CallerBlock, p serviceRegion, relocated map[serviceRegion]*steering.Flow) (int, bool) {
	r := block.Region()
	if flow, ok := relocated[p]; ok && p.service != "" {
		r = flow.RegionOf(block.Hash())
	}
	if l.hasInstances[r] {
		return r, true
	}
	if len(l.servingRegions) == 0 {
		return 0, false
	}
	return l.servingRegions[int(block.Hash()%uint64(len(l.servingRegions)))], true
}

// append appends the response for a caller's address to buf. The region with index fallback
// is the home of addresses outside the declared blocks. It reports false if no region has
// instances.
func (l *lookups) append(
	buf []byte, addr netip.Addr, service string, fallback int, relocated map[serviceRegion]*steering.Flow, until time.Time,
) ([]byte, bool) {
	block := l.table.Lookup(addr, fallback)
	region, ok := l.targetRegion(block, serviceRegion{service: service, region: block.Region()}, relocated)
	if !ok {
		return buf, false
	}
	variants := l.responses[region]
	buf = append(buf, variants[int((block.Hash()>>8)%uint64(len(variants)))]...)
	buf = until.UTC().AppendFormat(buf, time.RFC3339Nano)
	return append(buf, '"', '}'), true
}
