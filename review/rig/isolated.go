package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// The load of the case isolated: the only worker of a service is replaced while machines are replaced. The worker
// tolerates coldRate requests a second while it is cold.
const (
	isolatedEach   = 3 // machines that are lost, that stay, and that are added
	isolatedRate   = 180
	isolatedSettle = 6 * time.Second
	seedLag        = 3 * time.Second         // after the loss, until the settings name other seeds
	releaseAt      = 2500 * time.Millisecond // after the loss
	isolatedFor    = 7 * time.Second
	coldPeriod     = 3 * time.Second
	coldRate       = 14.0
	coldOver       = 1.5
	coldSlack      = 5.0
)

const isolatedBounds = `seedLagS = 3
stabilityWindowMs = 3000
drainMs = 2500
graceS = 6
configApplyMs = 2500
evacuationMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 64
coldOver = 1.5
coldSlack = 5
ttl_max_s = 5
`

// playIsolated plays the replacement of three machines, whose successors begin with seeds that are down.
func playIsolated(r *record, trouble bool) error {
	d, err := newDeployment(map[string]string{"east-a": "east"}, isolatedBounds)
	if err != nil {
		return err
	}
	defer d.close()
	all := &runs{}
	like := kind{service: "ledger", domain: "east-a", slots: 64, queue: 64, work: 20 * time.Millisecond, body: filled(400)}
	if err := d.addWorkers(1, like, all); err != nil {
		return err
	}
	rules := []routeRule{{prefix: "/order/", kind: "unsafe", service: "ledger", objective: 800 * time.Millisecond, timeout: 5 * time.Second}}
	if err := d.put("config/main", configuration(3, rules, nil)); err != nil {
		return err
	}
	lost, stay := d.addMachines("lost"), d.addMachines("stay")
	if err := startAll(append(lost, stay...)); err != nil {
		return err
	}
	time.Sleep(isolatedSettle)
	r.printf("%d instances are ready", len(lost)+len(stay))
	ctx, cancel := context.WithTimeout(context.Background(), isolatedFor)
	defer cancel()
	for _, i := range lost {
		i.signal(syscall.SIGKILL)
	}
	begun := time.Now()
	r.printf("three machines are lost")
	if !trouble {
		d.setSeeds(stay)
	}
	added := d.addMachines("added")
	if err := startAll(added); err != nil {
		return err
	}
	r.printf("three machines are added, with %s seeds", map[bool]string{true: "the lost ones as", false: "other"}[trouble])
	o := &orders{instances: append(stay, added...), sent: make(map[string]time.Time)}
	var group errgroup.Group
	group.Go(func() error { return o.send(ctx) })
	time.Sleep(time.Until(begun.Add(releaseAt)))
	fresh := &worker{kind: like, id: "i-new", born: time.Now(), runs: all}
	if err := d.addCold(fresh); err != nil {
		return err
	}
	if err := d.put("servers/"+d.workers[0].id, d.workers[0].entry("draining", 0)); err != nil {
		return err
	}
	r.printf("the worker is replaced: the new one is cold")
	time.Sleep(time.Until(begun.Add(seedLag)))
	d.setSeeds(stay)
	for _, i := range d.instances {
		if err := i.writeSettings(); err != nil {
			return err
		}
	}
	r.printf("the settings files name machines that run as seeds")
	_ = group.Wait()
	return o.judge(r, all.list(), fresh)
}

// addMachines adds machines that are not started yet.
func (d *deployment) addMachines(name string) []*instance {
	var out []*instance
	for k := range isolatedEach {
		out = append(out, d.add(machine{
			name: fmt.Sprintf("front-%s-%d", name, k), domain: "east-a", region: "east", memoryMb: 284, descriptors: 4100,
		}))
	}
	return out
}

// startAll starts instances and waits until they are ready.
func startAll(instances []*instance) error {
	for _, i := range instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range instances {
		if err := i.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// addCold starts a worker that is cold and registers it.
func (d *deployment) addCold(w *worker) error {
	if err := w.start(); err != nil {
		return err
	}
	d.group.Go(func() error {
		_ = w.server.Serve(w.listener) // it ends with close
		return nil
	})
	d.workers = append(d.workers, w)
	return d.put("servers/"+w.id, w.entry("ready", coldPeriod))
}

// orders are requests that must not run twice.
type orders struct {
	instances []*instance
	statuses  sync.Map

	mu   sync.Mutex
	sent map[string]time.Time // by id
}

// send sends requests at a steady rate until the context is done, to one instance after the other.
func (o *orders) send(ctx context.Context) error {
	transport := &http.Transport{MaxIdleConnsPerHost: 200}
	defer transport.CloseIdleConnections()
	var group errgroup.Group
	begun := time.Now()
	for n := 0; ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
		for due := int(time.Since(begun).Seconds() * isolatedRate); n < due; n++ {
			id, i := fmt.Sprintf("%016x", n+1), o.instances[n%len(o.instances)]
			group.Go(func() error {
				o.sendOne(transport, i, id)
				return nil
			})
		}
	}
	return group.Wait()
}

func (o *orders) sendOne(transport *http.Transport, i *instance, id string) {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/order/1", i.address(portFront)), nil)
	if err != nil {
		return
	}
	req.Host = host
	req.Header["Hickorydrum-Attempt-Id"] = []string{id}
	req.Header.Set("Hickorydrum-Deadline-Remaining", "5000")
	o.mu.Lock()
	o.sent[id] = time.Now()
	o.mu.Unlock()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		count(&o.statuses, "none")
		return
	}
	_ = resp.Body.Close()
	count(&o.statuses, fmt.Sprint(resp.StatusCode))
}

// judge checks the rule: it finds the second in which the cold worker got most of the requests that were sent in it.
func (o *orders) judge(r *record, all []run, cold *worker) error {
	o.statuses.Range(func(key, value any) bool {
		r.printf("answers %v: %d", key, value.(*atomic.Int64).Load())
		return true
	})
	var got []run
	for _, one := range all {
		if one.worker == cold.id && one.at.Sub(cold.born) < coldPeriod {
			got = append(got, one)
		}
		r.notef("request %s: run by %s, %.3f s after the new worker's start", one.id, one.worker, one.at.Sub(cold.born).Seconds())
	}
	most := 0
	for _, first := range got {
		begin, n := o.sent[first.id], 0
		for _, one := range got {
			if !o.sent[one.id].Before(begin) && one.at.Sub(begin) <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	bound := coldRate*coldOver + coldSlack
	r.printf("the cold worker got %d requests in its %v, %d in one second; the bound is %.0f", len(got), coldPeriod, most, bound)
	if float64(most) > bound {
		return errBroken
	}
	return nil
}
