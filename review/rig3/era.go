package main

import (
	"fmt"
	"time"
)

// The times and bounds of the case. The bounds are those of the site amtt-lb.
const (
	eraCalm        = 3 * time.Second         // before the copy is taken
	eraChanges     = 4 * time.Second         // between the copy and the loss
	eraAway        = time.Second             // for which the store is away
	eraSettle      = 8 * time.Second         // between the return of the store and the planned work, above stabilityWindowMs
	eraWatched     = 15 * time.Second        // after the planned work
	eraDrain       = 2500 * time.Millisecond // drainMs
	eraConfigApply = 2500 * time.Millisecond // configApplyMs
	eraShown       = 10                      // requests of a kind that the record lists
)

// playEra lets the store come back from a copy some seconds old. Later a worker reports that it drains, and the operator
// moves a route to another service and adds one. All is acknowledged while the store is stable.
func playEra(g *rig, trouble bool) (bool, error) {
	services := []string{"dele69a", "xano55b"}
	rules := func(moved string) []rule {
		return []rule{{"/a/", "dele69a", "safe", 1200}, {"/m/", moved, "safe", 1200}, {"/b/", "xano55b", "unsafe", 1500}}
	}
	config := func(version int, moved string, added ...rule) {
		g.store.put("config", "main", configuration(fmt.Sprintf("r%d", version), append(rules(moved), added...), services))
	}
	config(5, "dele69a")
	var workers []*worker
	for i, zone := range []string{"catania-porto", "palermo-kalsa", "ragusa-ibla"} {
		for _, service := range services {
			w, err := g.addWorker(fmt.Sprintf("i-%s-%d", service, i+1), service, zone)
			if err != nil {
				return false, err
			}
			workers = append(workers, w)
		}
	}
	if err := g.startMachines([]string{"catania-porto", "palermo-kalsa", "ragusa-ibla"}); err != nil {
		return false, err
	}
	var all sents
	stop := make(chan struct{})
	g.traffic(&all, "GET", "/a/", "", 40*time.Millisecond, stop)
	g.traffic(&all, "GET", "/m/", "", 40*time.Millisecond, stop)
	g.traffic(&all, "POST", "/b/", "order", 40*time.Millisecond, stop)
	g.sleep(eraCalm)

	copied := g.store.copyOf()
	g.note("a copy of the store is taken at revision %d", copied.revision)
	joined, err := g.addWorker("i-dele69a-4", "dele69a", "catania-porto")
	if err != nil {
		return false, err
	}
	replaced := workers[2]
	replaced.setDraining()
	g.store.put("servers", replaced.id, replaced.entry())
	for version := 6; version <= 11; version++ { // six changes of the configuration
		config(version, "dele69a")
		g.sleep(eraChanges / 6)
	}
	g.leave(replaced)
	g.note("%s has replaced %s and the operator has made six changes; the store is at revision %d", joined.id, replaced.id, g.store.revision())
	if trouble {
		g.store.setAway(true)
		g.sleep(eraAway)
		g.store.restore(copied)
		g.store.setAway(false)
		g.note("the store is back from the copy, at revision %d", g.store.revision())
		config(11, "dele69a")
		g.sleep(2 * checkIn)
		g.note("the operator and the workers have written again what was lost; the store is at revision %d", g.store.revision())
	}
	g.sleep(eraSettle)

	leaving := workers[0]
	leaving.setDraining()
	revision := g.store.put("servers", leaving.id, leaving.entry())
	drained := time.Now()
	g.note("the worker %s reports that it drains; the store acknowledges it at revision %d", leaving.id, revision)
	config(12, "xano55b", rule{"/n/", "xano55b", "unsafe", 1500})
	moved := time.Now()
	g.note("with r12 the operator moves /m/ from dele69a to xano55b and adds /n/; the store acknowledges it at revision %d", g.store.revision())
	g.sleep(eraConfigApply + 100*time.Millisecond)
	g.traffic(&all, "POST", "/n/", "order", 40*time.Millisecond, stop)
	g.sleep(eraWatched - eraConfigApply)
	close(stop)
	g.sleep(2 * time.Second)
	return g.judgeEra(&all, leaving.id, drained, moved), nil
}

// judgeEra counts the requests that reached the worker too late, those that the old service ran too late, and those that
// were refused though their route is there.
func (g *rig) judgeEra(all *sents, leaving string, drained, moved time.Time) bool {
	at, answered, refused := make(map[string]time.Time), 0, 0
	for _, s := range all.copyOf() {
		at[s.attempt] = s.at
		switch s.status {
		case 200:
			answered++
		case 404:
			if refused++; refused <= eraShown {
				g.note("CONFIG: request %s for %s, sent %.1f s after the ack of r12, is answered 404 by %s", s.attempt, s.path, s.at.Sub(moved).Seconds(), s.machine)
			}
		}
	}
	late, old := 0, 0
	for _, r := range g.runs.copyOf() {
		begun, ok := at[r.attempt]
		if !ok {
			continue
		}
		if r.worker == leaving && begun.Sub(drained) > eraDrain {
			if late++; late <= eraShown {
				g.note("DRAIN: request %s, sent %.1f s after the ack, runs at %s", r.attempt, begun.Sub(drained).Seconds(), r.worker)
			}
		}
		if r.service == "dele69a" && r.path[:3] == "/m/" && begun.Sub(moved) > eraConfigApply {
			if old++; old <= eraShown {
				g.note("CONFIG: request %s, sent %.1f s after the ack of r12, runs at %s of the old service", r.attempt, begun.Sub(moved).Seconds(), r.worker)
			}
		}
	}
	g.note("%d requests were sent, %d answered with 200", len(at), answered)
	g.note("CONFIG: %d requests that were sent later than configApplyMs after the ack of r12 were run by the old service", old)
	g.note("CONFIG, DENIED: %d requests for the route that r12 adds, sent later than configApplyMs after its ack, were answered 404", refused)
	g.note("DRAIN: %d requests that were sent later than drainMs after the ack reached the worker that drains", late)
	g.note("the store got %d calls, of which it refused %d with 429", g.store.calls, g.store.limited)
	return old+refused > 0
}
