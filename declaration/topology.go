package declaration

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

const (
	maxSlots          = 4096 // of one worker
	maxTimeout        = time.Hour
	defaultHealthPath = "/health"
)

var defaultIdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// addRegion checks and adds a region.
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
