package main

import (
	"fmt"
	"time"
)

const (
	keysCalm        = 4 * time.Second         // before and after the tenant is taken away
	keysConfigApply = 3000 * time.Millisecond // configApplyMs of the site kaedehjul-lb-grown
	keysUnknown     = "frge9itfrzm2d54xbxhc"  // a key that no configuration ever held
	keysEvery       = 50 * time.Millisecond
)

// playKeys lets the operator take away the only tenant, with its key. All routes need a key.
func playKeys(g *rig, trouble bool) (bool, error) {
	config := func(version string, tenants int) {
		rules := []rule{{"/a/", "dele69a", "safe", 2000}, {"/b/", "xano55b", "unsafe", 2500}}
		g.store.put("config", "main", withTenants(configuration(version, rules, []string{"dele69a", "xano55b"}), tenants, false))
	}
	config("r5", 1)
	zonesUsed := []string{"catania-porto", "palermo-kalsa", "ragusa-ibla"}
	for i, zone := range zonesUsed {
		for _, service := range []string{"dele69a", "xano55b"} {
			if _, err := g.addWorker(fmt.Sprintf("i-%s-%d", service, i+1), service, zone); err != nil {
				return false, err
			}
		}
	}
	if err := g.startMachines(zonesUsed); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	byKey := map[string]*sents{tenantKey(0): {}, keysUnknown: {}, "": {}}
	for key, all := range byKey {
		g.trafficWithKey(all, "GET", "/a/", "", key, keysEvery, stop)
		g.trafficWithKey(all, "POST", "/b/", "order", key, keysEvery, stop)
	}
	g.sleep(keysCalm)
	removed := time.Now()
	if trouble {
		config("r6", 0)
		g.note("the operator takes the tenant away with r6; the store acknowledges it")
	}
	g.sleep(keysConfigApply + keysCalm)
	close(stop)
	g.sleep(2 * time.Second)
	return g.judgeKeys(byKey, removed), nil
}

// judgeKeys counts the requests that ran without a key that allows them.
func (g *rig) judgeKeys(byKey map[string]*sents, removed time.Time) bool {
	ran, passedOn := make(map[string]bool), 0
	for _, r := range g.runs.copyOf() {
		ran[r.attempt] = true
		if r.key != "" {
			passedOn++
		}
	}
	broken := 0
	for key, all := range byKey {
		var count, later, ranBefore, ranLater int
		for _, s := range all.copyOf() {
			count++
			late := s.at.Sub(removed) > keysConfigApply
			switch {
			case late && ran[s.attempt]:
				later, ranLater = later+1, ranLater+1
			case late:
				later++
			case ran[s.attempt]:
				ranBefore++
			}
		}
		name := map[string]string{"": "without a key", keysUnknown: "with a key that no configuration ever held"}[key]
		if name == "" {
			name = "with the key of the tenant"
		}
		g.note("%d requests were sent %s; %d of %d sent later than configApplyMs after the ack ran, and %d of the others", count, name, ranLater, later, ranBefore)
		if key == keysUnknown {
			broken += ranBefore + ranLater
		}
	}
	g.note("UNASKED: the key was passed on to a worker with %d requests", passedOn)
	g.note("ROUTE: %d requests ran with a key that no configuration ever held", broken)
	return broken > 0
}
