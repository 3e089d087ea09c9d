package main

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// The load of the case quota: an account with a quota of 300 requests a second and a burst of 300 sends its usual
// requests, 1.6 times fewer, and then 7.5 times as many for some seconds.
const (
	quotaRate   = 300.0
	quotaBurst  = 300.0
	quotaUsual  = quotaRate / 1.6
	quotaHot    = 7.5 * quotaUsual
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20.0

	quotaSettle  = 6 * time.Second
	quotaCalm    = 4 * time.Second
	quotaHotFor  = 6500 * time.Millisecond
	quotaKillAt  = 2500 * time.Millisecond // after the account turned hot
	quotaDown    = 500 * time.Millisecond
	quotaWorkers = 3 // in each failure domain
	quotaFronts  = 2 // in each failure domain
	hotKey       = "hotkey"
)

const quotaBounds = pipeBounds + `quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
`

// quotaDomains are six failure domains in three regions.
var quotaDomains = map[string]string{
	"east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west", "south-a": "south", "south-b": "south",
}

// playQuota plays a hot account, during which all processes are killed at the same moment and started again.
func playQuota(r *record, trouble bool) error {
	d, err := newDeployment(quotaDomains, quotaBounds)
	if err != nil {
		return err
	}
	defer d.close()
	all := &runs{}
	instances, err := d.quotaFleet(quotaDomains, quotaFronts, all)
	if err != nil {
		return err
	}
	time.Sleep(quotaSettle)
	r.printf("%d instances are ready", len(instances))
	ctx, cancel := context.WithTimeout(context.Background(), quotaCalm+quotaHotFor)
	defer cancel()
	o := &offers{instances: instances, begun: time.Now(), sent: make(map[string]time.Time)}
	var group errgroup.Group
	group.Go(func() error { return o.send(ctx) })
	time.Sleep(quotaCalm)
	r.printf("the account is hot: %.0f requests a second instead of %.0f", quotaHot, quotaUsual)
	time.Sleep(quotaKillAt)
	if trouble {
		killAll(instances)
		r.printf("all processes are killed")
		time.Sleep(quotaDown)
		for _, i := range instances {
			if err := i.start(); err != nil {
				return err
			}
		}
		r.printf("all processes are started again")
	}
	_ = group.Wait()
	r.printf("the account has stopped")
	return o.judge(r, all.list())
}

// quotaFleet starts the workers and the instances.
func (d *deployment) quotaFleet(domains map[string]string, fronts int, all *runs) ([]*instance, error) {
	for domain := range domains {
		like := kind{service: "browse", domain: domain, slots: 64, queue: 64, work: 20 * time.Millisecond, body: filled(400)}
		if err := d.addWorkers(quotaWorkers, like, all); err != nil {
			return nil, err
		}
	}
	rules := []routeRule{{prefix: "/browse/", kind: "safe", service: "browse", objective: 800 * time.Millisecond, timeout: 5 * time.Second}}
	accounts := []tenant{{name: "hot", key: hotKey, rate: quotaRate, burst: quotaBurst}, {name: "other", key: "otherkey", rate: 1000, burst: 1000}}
	if err := d.put("config/main", configuration(3, rules, accounts)); err != nil {
		return nil, err
	}
	var out []*instance
	for k := range fronts {
		for _, domain := range slices.Sorted(maps.Keys(domains)) {
			region := domains[domain]
			out = append(out, d.add(machine{
				name: fmt.Sprintf("front-%s-%d", domain, k), domain: domain, region: region, memoryMb: 284, descriptors: 4100,
			}))
		}
	}
	for _, i := range out {
		if err := i.start(); err != nil {
			return nil, err
		}
	}
	for _, i := range out {
		if err := i.awaitReady(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// killAll ends all processes at the same moment.
func killAll(instances []*instance) {
	for _, i := range instances {
		i.signal(syscall.SIGKILL)
	}
	for _, i := range instances {
		i.kill()
	}
}

// offers are the requests of the account.
type offers struct {
	instances []*instance
	begun     time.Time
	round     int // begins the ids
	statuses  sync.Map

	mu   sync.Mutex
	sent map[string]time.Time // by id
}

// due returns how many requests are due by an instant.
func (o *offers) due(now time.Time) int {
	passed := now.Sub(o.begun)
	return int(quotaUsual*min(passed, quotaCalm).Seconds() + quotaHot*max(0, passed-quotaCalm).Seconds())
}

// send sends the requests that are due until the context is done, to one instance after the other.
func (o *offers) send(ctx context.Context) error {
	transport := &http.Transport{MaxIdleConnsPerHost: 200, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	var group errgroup.Group
	for n := 0; ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
		for due := o.due(time.Now()); n < due; n++ {
			id, i := fmt.Sprintf("%04x%012x", o.round, n+1), o.instances[n%len(o.instances)]
			object := n % 100
			group.Go(func() error {
				o.sendOne(transport, i, id, object)
				return nil
			})
		}
	}
	return group.Wait()
}

func (o *offers) sendOne(transport *http.Transport, i *instance, id string, object int) {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/browse/%d", i.address(portFront), object), nil)
	if err != nil {
		return
	}
	req.Host = host
	req.Header["Hickorydrum-Attempt-Id"] = []string{id}
	req.Header.Set("Authorization", "Bearer "+hotKey)
	req.Header.Set("Cookie", fmt.Sprintf("Hickorydrum-Affinity-Key=%d", object))
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

// judge checks the rule: it finds the window in which most requests were sent and run.
func (o *offers) judge(r *record, all []run) error {
	o.statuses.Range(func(key, value any) bool {
		r.printf("answers %v: %d", key, value.(*atomic.Int64).Load())
		return true
	})
	per := make(map[int]int)
	for _, one := range all {
		per[int(one.at.Sub(o.begun)/(500*time.Millisecond))]++
		r.notef("request %s of account %s: sent at %.3f s, run at %.3f s", one.id, one.account, o.sent[one.id].Sub(o.begun).Seconds(), one.at.Sub(o.begun).Seconds())
	}
	for k := range int((quotaCalm + quotaHotFor) / (500 * time.Millisecond)) {
		r.printf("run from %4.1f s of the load on, in half a second: %d", float64(k)/2, per[k])
	}
	most, from := 0, time.Time{}
	for _, first := range all {
		begin, n := o.sent[first.id], 0
		for _, one := range all {
			if !o.sent[one.id].Before(begin) && one.at.Sub(begin) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, begin
		}
	}
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	r.printf("sent and run in the 5 s from %.3f s of the load on: %d; the bound is %.0f", from.Sub(o.begun).Seconds(), most, bound)
	if float64(most) > bound {
		return errBroken
	}
	return nil
}
