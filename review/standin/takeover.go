package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// settled is how long the machines run before anything happens to them.
	settled      = 6250 * time.Millisecond
	darkFor      = 3500 * time.Millisecond
	configApply  = 2500 * time.Millisecond
	requestEvery = 20 * time.Millisecond
	routeWork    = 5 * time.Millisecond
)

// playTakeover changes the configuration just after the two machines that watch the store have lost power, and
// asks the third one which configuration it has.
func playTakeover(ctx context.Context, p *play) (int, error) {
	for _, service := range []string{"old", "new"} {
		if err := p.addWorkers(service, 2, 8, routeWork); err != nil {
			return 0, err
		}
	}
	config := func(version, service string) map[string]any {
		idle := "new"
		if service == "new" {
			idle = "old"
		}
		return newConfig(version, newRoute("r-1", "safe", "/a/", service, 1200), newRoute("r-2", "safe", "/b/", idle, 1200))
	}
	if err := p.deploy(ctx, config("r7", "old"), places[0], places[1], places[1]); err != nil {
		return 0, err
	}
	time.Sleep(settled)
	watchers, other, err := p.findWatchers()
	if err != nil {
		return 0, err
	}
	for _, m := range watchers {
		if p.trouble {
			m.signal(syscall.SIGKILL)
		}
	}
	down := time.Now()
	p.store.put("config", "main", config("r8", "new"))
	acked := time.Now()
	p.record.add("the store acknowledges r8, which moves /a/ from the service old to new")
	last, late, err := p.askUntil(other, acked, down.Add(darkFor+time.Second))
	if err != nil {
		return 0, err
	}
	p.record.add("the last request that old ran was sent %d ms after the ack; %d were sent after %d ms",
		last.Milliseconds(), late, configApply.Milliseconds())
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// findWatchers returns the machines that watch the store, one in each zone, by their metrics, and the other one.
func (p *play) findWatchers() (watchers []*machine, other *machine, err error) {
	for _, m := range p.machines {
		resp, err := http.Get("http://" + m.address(m.ports.control) + "/metrics")
		if err != nil {
			return nil, nil, err
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return nil, nil, err
		}
		if strings.Contains(string(text), "hickorydrum_store_watched 1") {
			p.record.add("%s watches the store", m.name)
			watchers = append(watchers, m)
		} else {
			other = m
		}
	}
	if len(watchers) != 2 || other == nil {
		return nil, nil, errors.New("not exactly two of the three machines watch the store")
	}
	return watchers, other, nil
}

// askUntil sends a machine requests for the moved route. It returns when the last one that the old service
// ran was sent, after the ack, and how many of those were sent later than the bound.
func (p *play) askUntil(m *machine, acked, until time.Time) (last time.Duration, late int, err error) {
	c := &client{address: m.address(m.ports.front), host: host, record: p.record}
	defer c.close()
	for n := 0; time.Now().Before(until); n++ {
		id := fmt.Sprintf("ask-%d", n)
		sent := time.Since(acked)
		a := c.request(id, http.MethodGet, "/a/x", 0, 1200*time.Millisecond)
		if a.status == http.StatusOK && p.runsAt("old", id) > 0 {
			last = sent
			if sent > configApply {
				late++
			}
		}
		time.Sleep(requestEvery)
	}
	return last, late, nil
}
