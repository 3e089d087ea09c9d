package declaration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	maxSlots          = 4096 // of one worker
	maxTimeout        = time.Hour
	maxInterval       = 24 * time.Hour
	defaultHealthPath = "/health"
)

var defaultIdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// compiler converts documents into a set and collects every problem it meets.
type compiler struct {
	set            *Set
	problems       Problems
	declaredAt     map[Key]location // of the first document with the key
	regions        map[string]*Region
	regionByDomain map[string]string
	services       map[string]*Service
	workers        map[string]string // service names by worker address
}

// compile checks documents and returns them as a set, or else every problem found.
func compile(docs []document) (*Set, Problems) {
	c := &compiler{
		set:            &Set{caps: make(map[string]Cap)},
		declaredAt:     make(map[Key]location),
		regions:        make(map[string]*Region),
		regionByDomain: make(map[string]string),
		services:       make(map[string]*Service),
		workers:        make(map[string]string),
	}
	// Regions and services come first, since the other kinds refer to them.
	for _, kind := range []Kind{KindRegion, KindService, KindCap, KindLink, KindDrain, KindBlock} {
		for _, doc := range docs {
			if doc.kind == kind {
				c.add(doc)
			}
		}
	}
	if len(c.set.regions) == 0 {
		c.addProblem(location{}, "", "no region is declared", "add a document of kind region")
	}
	c.checkPaths()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	Sort(c.set.records)
	for i := range c.set.records {
		c.set.digest.add(&c.set.records[i])
	}
	slices.SortFunc(c.set.blocks, func(a, b Block) int { return strings.Compare(a.name, b.name) })
	slices.SortFunc(c.set.regions, func(a, b *Region) int { return strings.Compare(a.name, b.name) })
	slices.SortFunc(c.set.services, func(a, b *Service) int { return strings.Compare(a.name, b.name) })
	return c.set, nil
}

// addProblem adds a problem of the field with the given path; the empty path stands
// for the whole document.
func (c *compiler) addProblem(at location, path, text, remedy string) {
	c.problems = append(c.problems, Problem{file: at.file, line: at.line(path), text: text, remedy: remedy})
}

// add checks a document and adds it to the set, or adds its problems.
func (c *compiler) add(doc document) {
	var name string
	switch body := doc.body.(type) {
	case *regionDocument:
		name = c.addRegion(body, doc.location)
	case *serviceDocument:
		name = c.addService(body, doc.location)
	case *capDocument:
		name = c.addCap(body, doc.location)
	case *linkDocument:
		name = c.addLink(body, doc.location)
	case *drainDocument:
		name = c.addDrain(body, doc.location)
	case *blockDocument:
		name = c.addBlock(body, doc.location)
	}
	if name != "" {
		c.addRecord(doc, name)
	}
}

// addRecord adds the canonical record of a checked document, or a problem if its
// name is in use.
func (c *compiler) addRecord(doc document, name string) {
	key := Key{Kind: doc.kind, Name: name}
	if first, ok := c.declaredAt[key]; ok {
		c.addProblem(doc.location, "", fmt.Sprintf("%s %q is declared twice", doc.kind, name),
			fmt.Sprintf("remove this one or the one at %s:%d", first.file, first.line("")))
		return
	}
	c.declaredAt[key] = doc.location
	body, err := json.Marshal(doc.body)
	if err != nil {
		c.addProblem(doc.location, "", err.Error(), "correct the document")
		return
	}
	c.set.records = append(c.set.records, Record{Kind: doc.kind, Name: name, Body: body})
}

// checkName reports whether a name may be part of keys and addresses, and adds a
// problem if not.
func (c *compiler) checkName(at location, path, name string) bool {
	ok := name != "" && len(name) <= 64 && !strings.ContainsFunc(name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-')
	})
	if !ok {
		c.addProblem(at, path, fmt.Sprintf("%s %q is not a name", path, name),
			"use 1 to 64 lower-case letters, digits and hyphens")
	}
	return ok
}

// checkRegion reports whether a region is declared, and adds a problem if not.
func (c *compiler) checkRegion(at location, path, name string) bool {
	if _, ok := c.regions[name]; ok {
		return true
	}
	c.addProblem(at, path, fmt.Sprintf("region %q is not declared", name),
		"declare it or use the name of a declared region")
	return false
}

// addRegion checks and adds a region and returns the name of its record, or "" after
// a problem, as do addService, addCap, addLink, addDrain and addBlock.
func (c *compiler) addRegion(d *regionDocument, at location) string {
	if !c.checkName(at, "name", d.Name) {
		return ""
	}
	if len(d.Domains) == 0 {
		c.addProblem(at, "domains", fmt.Sprintf("region %q has no failure domain", d.Name), "list at least one under domains")
		return ""
	}
	for i, domain := range d.Domains {
		path := fmt.Sprintf("domains[%d]", i)
		if !c.checkName(at, path, domain) {
			return ""
		}
		if other, ok := c.regionByDomain[domain]; ok {
			c.addProblem(at, path, fmt.Sprintf("failure domain %q already belongs to region %q", domain, other),
				"list it in one region only")
			return ""
		}
		c.regionByDomain[domain] = d.Name
	}
	region := &Region{name: d.Name, domains: d.Domains}
	if _, ok := c.regions[d.Name]; !ok {
		c.regions[d.Name] = region
		c.set.regions = append(c.set.regions, region)
	}
	return d.Name
}

func (c *compiler) addService(d *serviceDocument, at location) string {
	if !c.checkName(at, "name", d.Name) {
		return ""
	}
	if !strings.HasPrefix(d.Path, "/") || strings.HasPrefix(d.Path, "/.") || strings.ContainsAny(d.Path, "?#* ") {
		c.addProblem(at, "path", fmt.Sprintf("path %q is not a path prefix", d.Path),
			"write a path such as /orders, without a query and not under /.")
		return ""
	}
	timeout, ok := c.parseDuration(at, "limit", d.Limit, maxTimeout)
	if !ok {
		return ""
	}
	if d.Health != "" && !strings.HasPrefix(d.Health, "/") {
		c.addProblem(at, "health", fmt.Sprintf("health %q is not a path", d.Health), "begin it with /")
		return ""
	}
	s := &Service{name: d.Name, path: d.Path, idempotentMethods: d.Safe, timeout: timeout, healthPath: d.Health}
	if len(s.idempotentMethods) == 0 {
		s.idempotentMethods = defaultIdempotentMethods
	}
	if s.healthPath == "" {
		s.healthPath = defaultHealthPath
	}
	if !c.addWorkers(s, d, at) {
		return ""
	}
	if _, exists := c.services[d.Name]; !exists {
		c.services[d.Name] = s
		c.set.services = append(c.set.services, s)
	}
	return d.Name
}

// addWorkers checks the workers of a service and adds them to it. It reports whether
// it found no problem.
func (c *compiler) addWorkers(s *Service, d *serviceDocument, at location) bool {
	if len(d.Workers) == 0 {
		c.addProblem(at, "workers", fmt.Sprintf("service %q has no upstream", d.Name), "list at least one under workers")
		return false
	}
	for i, w := range d.Workers {
		path := fmt.Sprintf("workers[%d]", i)
		if _, err := netip.ParseAddrPort(w.At); err != nil {
			c.addProblem(at, path+".at", fmt.Sprintf("worker address %q is not an IP number and port", w.At),
				"write it such as 10.1.0.4:80")
			return false
		}
		if other, ok := c.workers[w.At]; ok {
			c.addProblem(at, path+".at", fmt.Sprintf("worker %s already belongs to service %q", w.At, other),
				"list each worker once")
			return false
		}
		region, ok := c.regionByDomain[w.Domain]
		if !ok {
			c.addProblem(at, path+".domain", fmt.Sprintf("failure domain %q is not declared", w.Domain),
				"list it under a region's domains")
			return false
		}
		if w.Slots < 1 || w.Slots > maxSlots {
			c.addProblem(at, path+".slots", fmt.Sprintf("slots %d is out of range", w.Slots),
				fmt.Sprintf("write a number from 1 to %d", maxSlots))
			return false
		}
		c.workers[w.At] = d.Name
		s.workers = append(s.workers, &Worker{address: w.At, domain: w.Domain, region: region, slots: w.Slots})
	}
	return true
}

// parseDuration parses a duration above 0 and up to maximum.
func (c *compiler) parseDuration(at location, path, text string, maximum time.Duration) (time.Duration, bool) {
	v, err := time.ParseDuration(text)
	if err != nil || v <= 0 || v > maximum {
		c.addProblem(at, path, fmt.Sprintf("%s %q is not a time above 0 and up to %s", path, text, maximum),
			"write a number and unit such as 10s")
		return 0, false
	}
	return v, true
}

func (c *compiler) parseStep(at location, path string, d stepDocument) (Step, bool) {
	share, err := parseShare(d.Share)
	if err != nil {
		c.addProblem(at, path+".share", err.Error(), "")
		return Step{}, false
	}
	interval, ok := c.parseDuration(at, path+".every", d.Every, maxInterval)
	return Step{share: share, interval: interval}, ok
}

func (c *compiler) addCap(d *capDocument, at location) string {
	if _, ok := c.services[d.Service]; !ok {
		c.addProblem(at, "service", fmt.Sprintf("service %q is not declared", d.Service),
			"declare it or use the name of a declared service")
		return ""
	}
	planned, ok := c.parseStep(at, "planned", d.Planned)
	if !ok {
		return ""
	}
	failure, ok := c.parseStep(at, "failure", d.Failure)
	if !ok {
		return ""
	}
	c.set.caps[d.Service] = Cap{service: d.Service, planned: planned, failure: failure}
	return d.Service
}

func (c *compiler) addLink(d *linkDocument, at location) string {
	if len(d.Ends) != 2 || d.Ends[0] == d.Ends[1] {
		c.addProblem(at, "ends", "a link has two different ends", "list two regions under ends")
		return ""
	}
	for i, end := range d.Ends {
		if !c.checkRegion(at, fmt.Sprintf("ends[%d]", i), end) {
			return ""
		}
	}
	rate, err := parseRate(d.Rate)
	if err != nil {
		c.addProblem(at, "rate", err.Error(), "")
		return ""
	}
	slices.Sort(d.Ends)
	c.set.links = append(c.set.links, Link{ends: [2]string(d.Ends), rate: rate})
	return d.Ends[0] + "+" + d.Ends[1]
}

// parseTime parses an instant in the format of RFC 3339.
func (c *compiler) parseTime(at location, path, text string) (time.Time, bool) {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		c.addProblem(at, path, fmt.Sprintf("%s %q is not an instant", path, text),
			"write it such as 2026-12-07T21:00:00Z")
	}
	return t, err == nil
}

func (c *compiler) addDrain(d *drainDocument, at location) string {
	target, ok := c.drainTarget(d, at)
	if !ok {
		return ""
	}
	from, ok := c.parseTime(at, "from", d.From)
	if !ok {
		return ""
	}
	until, ok := c.parseTime(at, "until", d.Until)
	if !ok {
		return ""
	}
	if !until.After(from) {
		c.addProblem(at, "until", "the drain ends before it begins", "write an instant after from")
		return ""
	}
	c.set.drains = append(c.set.drains, Drain{
		region: d.Region, domain: d.Domain, worker: d.Worker, from: from, until: until,
	})
	return target + "@" + from.UTC().Format(time.RFC3339)
}

// drainTarget checks the target of a drain and returns it in the form that it has in
// the name of the record.
func (c *compiler) drainTarget(d *drainDocument, at location) (string, bool) {
	targets := 0
	for _, name := range []string{d.Region, d.Domain, d.Worker} {
		if name != "" {
			targets++
		}
	}
	if targets != 1 {
		c.addProblem(at, "", "a drain names one target", "write exactly one of region, domain and worker")
		return "", false
	}
	switch {
	case d.Region != "":
		return "region-" + d.Region, c.checkRegion(at, "region", d.Region)
	case d.Domain != "":
		if _, ok := c.regionByDomain[d.Domain]; !ok {
			c.addProblem(at, "domain", fmt.Sprintf("failure domain %q is not declared", d.Domain),
				"use the name of a declared failure domain")
			return "", false
		}
		return "domain-" + d.Domain, true
	default:
		if _, ok := c.workers[d.Worker]; !ok {
			c.addProblem(at, "worker", fmt.Sprintf("worker %q is not declared", d.Worker),
				"use the address of a declared worker")
			return "", false
		}
		return "worker-" + d.Worker, true
	}
}

func (c *compiler) addBlock(d *blockDocument, at location) string {
	prefix, err := netip.ParsePrefix(d.Prefix)
	if err != nil {
		c.addProblem(at, "prefix", fmt.Sprintf("prefix %q is not an address range", d.Prefix),
			"write it such as 10.7.0.0/16")
		return ""
	}
	if prefix != prefix.Masked() {
		c.addProblem(at, "prefix", fmt.Sprintf("prefix %q has bits set behind its length", d.Prefix),
			"write "+prefix.Masked().String())
		return ""
	}
	if !c.checkRegion(at, "region", d.Region) {
		return ""
	}
	block := Block{name: prefix.String(), prefix: prefix, region: d.Region}
	c.set.blocks = append(c.set.blocks, block)
	return block.name
}

// checkPaths adds a problem for each service whose path belongs to an earlier one.
func (c *compiler) checkPaths() {
	byPath := make(map[string]string)
	for _, s := range c.set.services {
		if other, ok := byPath[s.path]; ok {
			c.addProblem(c.declaredAt[Key{Kind: KindService, Name: s.name}], "path",
				fmt.Sprintf("path %q already belongs to service %q", s.path, other),
				"give each service a path of its own")
			continue
		}
		byPath[s.path] = s.name
	}
}
