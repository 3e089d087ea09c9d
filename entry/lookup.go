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
	// LookupPath is where callers ask which instances to use.
	LookupPath = "/.well-known/hickorydrum/lookup"
	// maxNamed is how many instances an answer names.
	maxNamed = 3
)

// LookupInstance is one instance in the answer to a look-up.
type LookupInstance struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// LookupResponse is the answer to a look-up.
type LookupResponse struct {
	Region    string    `json:"region"`
	Revision  uint64    `json:"revision"`
	Until     time.Time `json:"until"` // when the caller must ask again
	Instances []LookupInstance   `json:"instances"`
}

// lookups holds the rendered answers of one table and roster.
type lookups struct {
	table   *steering.Table
	serving []bool     // by region: it has live instances
	answers [][][]byte // by region and variant: the answer but for its instant
	all     []int      // the regions with live instances
}

// newLookups renders the answers.
func newLookups(table *steering.Table, view *roster.View) *lookups {
	n := len(table.Regions())
	l := &lookups{table: table, serving: make([]bool, n), answers: make([][][]byte, n)}
	for i, name := range table.Regions() {
		members := view.Serving(name)
		if len(members) == 0 {
			continue
		}
		l.serving[i] = true
		l.all = append(l.all, i)
		for variant := range members {
			l.answers[i] = append(l.answers[i], render(name, table.Revision(), variantOf(members, variant)))
		}
	}
	return l
}

// variantOf returns the instances that one of the answers names: a few, from
// different failure domains where there are, beginning at the variant's.
func variantOf(members []roster.Member, variant int) []LookupInstance {
	var named, spare []LookupInstance
	seen := make(map[string]bool)
	for k := range members {
		m := members[(variant+k)%len(members)]
		entry := LookupInstance{Address: m.Caller, Domain: m.Domain}
		if seen[m.Domain] {
			spare = append(spare, entry)
			continue
		}
		seen[m.Domain] = true
		named = append(named, entry)
	}
	named = append(named, spare...)
	return named[:min(len(named), maxNamed)]
}

// render returns the answer as JSON up to the value of until, which comes last.
func render(region string, revision uint64, named []LookupInstance) []byte {
	instances, err := json.Marshal(named)
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

// region returns the region whose instances a caller should use: its home, or
// where its traffic has moved whole.
func (l *lookups) region(home steering.Home, p place, away map[place]*steering.Flow) (int, bool) {
	r := home.Region()
	if flow, ok := away[p]; ok && p.service != "" {
		r = flow.RegionOf(home.Hash())
	}
	if l.serving[r] {
		return r, true
	}
	if len(l.all) == 0 {
		return 0, false
	}
	return l.all[int(home.Hash()%uint64(len(l.all)))], true
}

// append appends the answer for a caller's address to buf.
func (l *lookups) append(
	buf []byte, addr netip.Addr, service string, fallback int, away map[place]*steering.Flow, until time.Time,
) ([]byte, bool) {
	home := l.table.Lookup(addr, fallback)
	region, ok := l.region(home, place{service: service, region: home.Region()}, away)
	if !ok {
		return buf, false
	}
	variants := l.answers[region]
	buf = append(buf, variants[int((home.Hash()>>8)%uint64(len(variants)))]...)
	buf = until.UTC().AppendFormat(buf, time.RFC3339Nano)
	return append(buf, '"', '}'), true
}
