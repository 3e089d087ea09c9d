package declaration

import (
	"fmt"
	"slices"
	"time"
)

const maxInterval = 24 * time.Hour

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

func (c *compiler) parseStep(at location, path string, d stepDocument) (Step, bool) {
	share, err := parseShare(d.Share)
	if err != nil {
		c.addProblem(at, path+".share", err.Error(), "")
		return Step{}, false
	}
	interval, ok := c.parseDuration(at, path+".every", d.Every, maxInterval)
	return Step{share: share, interval: interval}, ok
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

// parseTime parses an instant in the format of RFC 3339.
func (c *compiler) parseTime(at location, path, text string) (time.Time, bool) {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		c.addProblem(at, path, fmt.Sprintf("%s %q is not an instant", path, text),
			"write it such as 2026-12-07T21:00:00Z")
	}
	return t, err == nil
}
