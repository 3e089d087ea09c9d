package declaration

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Region is a group of failure domains that callers are steered to.
type Region struct {
	name    string
	domains []string
}

// Name returns the name of the region.
func (r *Region) Name() string { return r.name }

// Domains returns the failure domains of the region.
func (r *Region) Domains() []string { return r.domains }

// Worker is one upstream of a service, called a worker in the files.
type Worker struct {
	address string
	domain  string
	region  string
	slots   int
}

// Address returns the IP address and port of the upstream.
func (w *Worker) Address() string { return w.address }

// Domain returns the failure domain of the upstream.
func (w *Worker) Domain() string { return w.domain }

// Region returns the region of the upstream.
func (w *Worker) Region() string { return w.region }

// Slots returns the largest number of requests that the upstream runs concurrently.
func (w *Worker) Slots() int { return w.slots }

// Service is a group of upstreams behind one path prefix.
type Service struct {
	name              string
	path              string
	idempotentMethods []string
	timeout           time.Duration
	healthPath        string
	workers           []*Worker
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// Path returns the path prefix that callers use.
func (s *Service) Path() string { return s.path }

// Idempotent reports whether requests with the method may be executed more than once.
func (s *Service) Idempotent(method string) bool { return slices.Contains(s.idempotentMethods, method) }

// Timeout returns the longest time that one request may take.
func (s *Service) Timeout() time.Duration { return s.timeout }

// HealthPath returns the path of the health check on the upstreams.
func (s *Service) HealthPath() string { return s.healthPath }

// Workers returns the upstreams of the service.
func (s *Service) Workers() []*Worker { return s.workers }

// Step limits how much traffic may move between regions in one interval.
type Step struct {
	share    float64
	interval time.Duration
}

// NewStep returns a step of the given share, a fraction of 1, in each interval.
func NewStep(share float64, interval time.Duration) Step {
	return Step{share: share, interval: interval}
}

// Share returns the fraction of the traffic that may move in one interval.
func (s Step) Share() float64 { return s.share }

// Interval returns the length of the interval.
func (s Step) Interval() time.Duration { return s.interval }

// Cap limits how fast the traffic of a service moves between regions.
type Cap struct {
	service string
	planned Step
	failure Step
}

// Planned returns the step for planned moves, such as those of a drain.
func (c Cap) Planned() Step { return c.planned }

// Failure returns the step for moves away from a failed or overloaded region.
func (c Cap) Failure() Step { return c.failure }

// Link is the network link between two regions.
type Link struct {
	ends [2]string
	rate float64
}

// Ends returns the two regions, sorted.
func (l Link) Ends() (a, b string) { return l.ends[0], l.ends[1] }

// Rate returns the capacity of each direction in bytes a second.
func (l Link) Rate() float64 { return l.rate }

// Drain is a declared period in which a region, a failure domain or an upstream is to
// serve no traffic.
type Drain struct {
	region string
	domain string
	worker string
	from   time.Time
	until  time.Time
}

// Region returns the drained region, or "".
func (d Drain) Region() string { return d.region }

// Domain returns the drained failure domain, or "".
func (d Drain) Domain() string { return d.domain }

// Worker returns the address of the drained upstream, or "".
func (d Drain) Worker() string { return d.worker }

// Active reports whether the drain is in force at now.
func (d Drain) Active(now time.Time) bool { return !now.Before(d.from) && now.Before(d.until) }

// From returns the instant at which the drain begins.
func (d Drain) From() time.Time { return d.from }

// Until returns the instant at which the drain ends.
func (d Drain) Until() time.Time { return d.until }

// Block is a range of caller addresses and its home region, the one nearest to it.
type Block struct {
	name   string // name of its record
	prefix netip.Prefix
	region string
}

// Prefix returns the prefix that contains the addresses of the block.
func (b Block) Prefix() netip.Prefix { return b.prefix }

// Region returns the home region of the block.
func (b Block) Region() string { return b.region }

// Set is a checked, immutable set of declarations.
type Set struct {
	records  []Record
	digest   digest
	regions  []*Region
	services []*Service
	caps     map[string]Cap
	links    []Link
	drains   []Drain
	blocks   []Block
}

// Records returns the canonical records, sorted by kind and name.
func (s *Set) Records() []Record { return s.records }

// Digest returns the digest of the records in hexadecimal.
func (s *Set) Digest() string { return s.digest.String() }

// Regions returns the regions, sorted by name.
func (s *Set) Regions() []*Region { return s.regions }

// Services returns the services, sorted by name.
func (s *Set) Services() []*Service { return s.services }

// Cap returns the cap of a service. If none is declared, it returns the zero Cap, under
// which no traffic moves.
func (s *Set) Cap(service string) Cap { return s.caps[service] }

// Links returns the links between regions.
func (s *Set) Links() []Link { return s.links }

// Drains returns the declared drains.
func (s *Set) Drains() []Drain { return s.drains }

// Blocks returns the declared blocks, sorted by prefix text.
func (s *Set) Blocks() []Block { return s.blocks }

// RegionOf returns the region that contains a failure domain, or "".
func (s *Set) RegionOf(domain string) string {
	for _, r := range s.regions {
		if slices.Contains(r.domains, domain) {
			return r.name
		}
	}
	return ""
}

// RegionDrained reports whether a drain of the region is in force at now.
func (s *Set) RegionDrained(region string, now time.Time) bool {
	return slices.ContainsFunc(s.drains, func(d Drain) bool {
		return d.region == region && d.Active(now)
	})
}

// WorkerDrained reports whether a drain of the upstream or of its failure domain is in
// force at now. A drain of its region does not count: the cap limits how fast the
// traffic of the region moves, and its upstreams serve the rest meanwhile.
func (s *Set) WorkerDrained(w *Worker, now time.Time) bool {
	return slices.ContainsFunc(s.drains, func(d Drain) bool {
		return d.Active(now) && (d.worker == w.address || d.domain == w.domain)
	})
}

// Patch returns a copy of the set with a delta applied. A delta of blocks alone, by far
// the most frequent, is applied without checking the unchanged records again.
func (s *Set) Patch(d Delta) (*Set, error) {
	onlyBlocks := !slices.ContainsFunc(d.changes(), func(c change) bool { return c.key.Kind != KindBlock })
	if !onlyBlocks {
		return FromRecords(Patch(s.records, d))
	}
	next := *s
	next.records = Patch(s.records, d)
	next.blocks = make([]Block, 0, len(s.blocks)+len(d.Put))
	rest := s.blocks
	for _, c := range d.changes() {
		i, found := slices.BinarySearchFunc(rest, c.key.Name, func(b Block, name string) int {
			return strings.Compare(b.name, name)
		})
		next.blocks = append(next.blocks, rest[:i]...)
		if found {
			i++
		}
		rest = rest[i:]
		if c.put == nil {
			continue
		}
		block, err := s.parseBlock(c.put)
		if err != nil {
			return nil, err
		}
		next.blocks = append(next.blocks, block)
	}
	next.blocks = append(next.blocks, rest...)
	next.digest = s.digest
	for _, c := range d.changes() {
		if i, found := slices.BinarySearchFunc(s.records, c.key, compareRecordKey); found {
			next.digest.remove(&s.records[i])
		}
		if c.put != nil {
			next.digest.add(c.put)
		}
	}
	return &next, nil
}

// parseBlock decodes the record of a block and checks it against the regions of the
// set.
func (s *Set) parseBlock(r *Record) (Block, error) {
	c := &compiler{set: &Set{}, declaredAt: make(map[Key]location), regions: make(map[string]*Region, len(s.regions))}
	for _, region := range s.regions {
		c.regions[region.name] = region
	}
	doc, err := parseRecord(*r)
	if err != nil {
		return Block{}, err
	}
	c.add(doc)
	if len(c.problems) > 0 {
		return Block{}, c.problems
	}
	return c.set.blocks[0], nil
}
