package declaration

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

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

// add checks a document and adds it to the set, or adds its problems. The method for each kind
// returns the name of the document's record, or "" after a problem.
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
