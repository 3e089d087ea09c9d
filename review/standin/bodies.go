package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	uploadSize    = 20_000_000 // bytes; the configuration's maxBodyBytes is 67,108,864
	uploadEvery   = 700 * time.Millisecond
	uploadWork    = 2112 * time.Millisecond
	uploadTimeout = 8 * time.Second
	uploadWorkers = 16
	orderWork     = 312 * time.Millisecond
	orderTimeout  = 1500 * time.Millisecond
	orderWorkers  = 6
	orderClients  = 8 // at the machine that is left
	calmBefore    = 4 * time.Second
	zoneLostFor   = 5500 * time.Millisecond
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = time.Second
	// maxLost is how many requests from kept connections may end without an answer.
	maxLost = 3
)

// playBodies sends each of three machines an upload every uploadEvery. Then the zone of two of them loses
// power, and the third one gets the uploads of all. The platform kills a process that holds more memory than
// its machine has.
func playBodies(ctx context.Context, p *play) (int, error) {
	if err := p.addWorkers("disegni", uploadWorkers, 3, uploadWork); err != nil {
		return 0, err
	}
	if err := p.addWorkers("commesse", orderWorkers, 4, orderWork); err != nil {
		return 0, err
	}
	config := newConfig("r7",
		newRoute("r-up", "upload", "/up/", "disegni", int(uploadTimeout.Milliseconds())),
		newRoute("r-order", "unsafe", "/order/", "commesse", int(orderTimeout.Milliseconds())))
	if err := p.deploy(ctx, config, places[0], places[0], places[1]); err != nil {
		return 0, err
	}
	lost, left := p.machines[:2], p.machines[2]
	until := time.Now().Add(calmBefore + zoneLostFor + time.Second)
	t := &tally{}
	var group errgroup.Group
	group.Go(func() error { return p.enforceMemory(left, until) })
	group.Go(func() error { return p.sendUploads(left, left, until) })
	for _, m := range lost {
		group.Go(func() error { return p.sendUploads(m, left, until) })
	}
	for n := range orderClients {
		group.Go(func() error { return p.sendOrders(left, n, until, t) })
	}
	time.Sleep(calmBefore)
	if p.trouble {
		p.record.add("the zone %s loses power", places[0].zone)
		for _, m := range lost {
			m.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(zoneLostFor)
	for _, m := range lost {
		if !p.trouble {
			break
		}
		if err := p.startMachine(m, false); err != nil {
			return 0, err
		}
	}
	_ = group.Wait()
	return p.judgeLost(t), nil
}

// places are where the machines of the small deployments stand. All workers stand in the second zone.
var places = []place{{"catania-porto", "catania"}, {"catania-etna", "catania"}}

// addWorkers starts workers of a service that read the whole body and then work for the given time.
func (p *play) addWorkers(service string, count, slots int, long time.Duration) error {
	work := func(r *http.Request) (string, error) {
		n, err := io.Copy(io.Discard, r.Body)
		time.Sleep(long)
		return fmt.Sprint(n, " bytes"), err
	}
	for i := range count {
		w, err := newWorker(fmt.Sprintf("i-%s-%d", service, i), service, "127.0.0.1", p.record, work)
		if err != nil {
			return err
		}
		p.addWorker(w, places[1].zone, slots)
	}
	return nil
}

// tally counts what became of the orders.
type tally struct {
	mu       sync.Mutex
	answered int
	// lost are those that came over a connection that had carried others, and whose connection then ended
	// without an answer.
	lost []string
}

// sendUploads sends a machine an upload every uploadEvery, each on a new connection. If it accepts no
// connection, the upload goes to the other machine.
func (p *play) sendUploads(m, other *machine, until time.Time) error {
	var group errgroup.Group
	for n := 0; time.Now().Before(until); n++ {
		group.Go(func() error {
			c := &client{address: m.address(m.ports.front), host: host, record: p.record}
			if c.connect() != nil {
				c.address = other.address(other.ports.front)
			}
			c.request(fmt.Sprintf("up-%s-%d", m.name, n), http.MethodPost, "/up/x", uploadSize, uploadTimeout)
			c.close()
			return nil
		})
		time.Sleep(uploadEvery)
	}
	return group.Wait()
}

// sendOrders sends a machine one order after the other on a kept connection.
func (p *play) sendOrders(m *machine, n int, until time.Time, t *tally) error {
	c := &client{address: m.address(m.ports.front), host: host, record: p.record}
	defer c.close()
	for k := 0; time.Now().Before(until); k++ {
		kept := c.conn != nil
		a := c.request(fmt.Sprintf("order-%d-%d", n, k), http.MethodPost, "/order/x", 1200, orderTimeout)
		t.mu.Lock()
		switch {
		case a.status != 0:
			t.answered++
		case kept && a.closed():
			t.lost = append(t.lost, a.id)
		}
		t.mu.Unlock()
		if a.status != http.StatusOK {
			time.Sleep(200 * time.Millisecond) // the machine may be down, or just up
		}
	}
	return nil
}

// enforceMemory does what the platform does: it kills the process of a machine when it holds more memory
// than the machine has, and starts it again after a short delay.
func (p *play) enforceMemory(m *machine, until time.Time) error {
	const step = 20
	most := 0
	for time.Now().Before(until) {
		now := m.residentMiB()
		if now >= most+step {
			most = now
			p.record.add("%s holds %d MiB", m.name, now)
		}
		if now > memoryMiB {
			p.record.add("%s holds %d MiB, over its %d", m.name, now, memoryMiB)
			m.signal(syscall.SIGKILL)
			_, ended := m.current()
			<-ended
			time.Sleep(restartDelay)
			most = 0
			if err := p.startMachine(m, false); err != nil {
				return err
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	p.record.add("%s held up to %d MiB since its last start, or less than %d more", m.name, most, step)
	return nil
}

// judgeLost counts the orders that a worker got and whose kept connection ended without an answer.
func (p *play) judgeLost(t *tally) int {
	lost := 0
	for _, id := range t.lost {
		if p.runs(id) > 0 {
			lost++
			p.record.add("lost: %s was passed on to a worker, and its kept connection ended without an answer", id)
		}
	}
	p.record.add("%d orders answered, %d lost; up to %d may be", t.answered, lost, maxLost)
	if lost > maxLost {
		return broken
	}
	return held
}
