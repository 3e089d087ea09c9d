package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	asleepSettle = 6 * time.Second
	asleepAfter  = 500 * time.Millisecond // after the loss
	asleepFor    = 5 * time.Second
	asleepWatch  = 12 * time.Second // after the loss
	askEvery     = 50 * time.Millisecond
	// longOff is stabilityWindowMs + 3 s, and allowedAnswers how many answers may name a machine that has been off for longer.
	longOff        = 6 * time.Second
	allowedAnswers = 3
)

// playAsleep plays the loss of a machine while the only other one of its failure domain is suspended.
func playAsleep(r *record, trouble bool) error {
	d, err := newDeployment(map[string]string{
		"palermo-kalsa": "palermo", "palermo-zisa": "palermo", "catania-porto": "catania", "catania-etna": "catania",
	}, isolatedBounds)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.addWorkers(2, kind{service: "swatch", domain: "palermo-zisa", slots: 4, queue: 12, body: filled(400)}, &runs{}); err != nil {
		return err
	}
	rules := []routeRule{{prefix: "/swatch/", kind: "safe", service: "swatch", objective: 200 * time.Millisecond, timeout: time.Second}}
	if err := d.put("config/main", configuration(3, rules, nil)); err != nil {
		return err
	}
	add := func(name, domain, region string) *instance {
		return d.add(machine{name: name, domain: domain, region: region, memoryMb: 284, descriptors: 4100})
	}
	first, second := add("front-porto", "catania-porto", "catania"), add("front-etna", "catania-etna", "catania")
	asked := add("front-zisa", "palermo-zisa", "palermo")
	sleeper, lost := add("front-kalsa-1", "palermo-kalsa", "palermo"), add("front-kalsa-2", "palermo-kalsa", "palermo")
	if err := startAll([]*instance{first, second, asked, sleeper, lost}); err != nil {
		return err
	}
	time.Sleep(asleepSettle)
	before, err := asked.lookUp()
	if err != nil {
		return err
	}
	r.printf("before the loss, %s names %v", asked.machine.name, before)
	lost.kill()
	begun := time.Now()
	r.printf("%s (%s) is lost for good", lost.machine.name, lost.address(portFront))
	time.Sleep(asleepAfter)
	if trouble {
		sleeper.signal(syscall.SIGSTOP)
		r.printf("%s is suspended", sleeper.machine.name)
		time.AfterFunc(asleepFor, func() {
			sleeper.signal(syscall.SIGCONT)
			r.printf("%s goes on", sleeper.machine.name)
		})
	}
	late, last := 0, time.Duration(0)
	for ; time.Since(begun) < asleepWatch; time.Sleep(askEvery) {
		addresses, err := asked.lookUp()
		off := time.Since(begun)
		r.notef("%.3f s after the loss: %v %v", off.Seconds(), addresses, err)
		if err == nil && slices.Contains(addresses, lost.address(portFront)) {
			last = off
			if off > longOff {
				late++
			}
		}
	}
	r.printf("%s named the lost machine until %.1f s after the loss; %d answers did so later than %v", asked.machine.name, last.Seconds(), late, longOff)
	if late > allowedAnswers {
		return errBroken
	}
	return nil
}

// lookUp asks the instance where a caller from its failure domain should connect.
func (i *instance) lookUp() ([]string, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", i.address(portDirectory), host, i.machine.region, i.machine.domain))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, err
}
