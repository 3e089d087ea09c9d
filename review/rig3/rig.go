package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	checkIn  = 1500 * time.Millisecond // between two check-ins of a worker
	readyFor = 20 * time.Second        // the longest wait for all machines to be ready
)

// rig is a small deployment on loopback: the store, workers, and machines of the system.
type rig struct {
	folder   string
	record   *os.File
	begun    time.Time
	store    *store
	address  string // of the store
	runs     runs
	machines []*machine
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu      sync.Mutex
	workers []*worker
	gone    map[string]bool // workers that check in no more
}

// newRig returns a deployment without workers and machines. It writes its record to record.txt in dir.
func newRig(dir string) (*rig, error) {
	folder, err := os.MkdirTemp("", "hickorydrum-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(dir + "/record.txt")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.10.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &rig{folder: folder, record: record, begun: time.Now(), store: newStore(), address: listener.Addr().String(), gone: make(map[string]bool)}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	server := &http.Server{Handler: g.store}
	go func() { _ = server.Serve(listener) }()
	return g, nil
}

// note writes a line to the record.
func (g *rig) note(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(g.begun).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = g.record.WriteString(line)
}

// addWorker starts a worker that checks in with the store until it is gone.
func (g *rig) addWorker(id, service, zone string) (*worker, error) {
	g.mu.Lock()
	ip := fmt.Sprintf("127.10.2.%d", len(g.workers)+1)
	g.mu.Unlock()
	w, err := newWorker(ip, id, service, zone, &g.runs)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.workers = append(g.workers, w)
	g.mu.Unlock()
	g.store.put("servers", id, w.entry())
	g.group.Add(1)
	go g.keepCheckedIn(w)
	return w, nil
}

// keepCheckedIn writes the worker's entry every checkIn. Of two equal ones the second changes nothing.
func (g *rig) keepCheckedIn(w *worker) {
	defer g.group.Done()
	for g.sleep(checkIn) {
		g.mu.Lock()
		gone := g.gone[w.id]
		g.mu.Unlock()
		switch {
		case g.store.isAway():
		case gone:
			g.store.remove("servers", w.id)
		default:
			g.store.put("servers", w.id, w.entry())
		}
	}
}

// leave removes the entry of a worker, which goes on serving.
func (g *rig) leave(w *worker) {
	g.mu.Lock()
	g.gone[w.id] = true
	g.mu.Unlock()
	g.store.remove("servers", w.id)
}

// isAway reports whether the store is away.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// startMachines starts one machine in each of the zones and waits until all are ready.
func (g *rig) startMachines(in []string) error {
	var ips []string
	for i := range in {
		ips = append(ips, fmt.Sprintf("127.10.1.%d", i+1))
	}
	p, err := freePorts(ips)
	if err != nil {
		return err
	}
	for i, zone := range in {
		m, err := newMachine(g.folder, fmt.Sprintf("front-%s-%d", zone, i+1), ips[i], zone, p, ips[:min(3, len(ips))], g.address)
		if err != nil {
			return err
		}
		g.machines = append(g.machines, m)
	}
	for _, m := range g.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(readyFor)
	for _, m := range g.machines {
		for !m.isReady() {
			if time.Now().After(until) || !m.running() {
				return fmt.Errorf("the machine %s does not become ready", m.name)
			}
			g.sleep(50 * time.Millisecond)
		}
	}
	g.note("%d machines are ready", len(g.machines))
	return nil
}

// sleep waits. It reports false if the rig was closed meanwhile.
func (g *rig) sleep(d time.Duration) bool {
	select {
	case <-g.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// close ends everything that the rig started.
func (g *rig) close() {
	g.cancel()
	for _, m := range g.machines {
		m.kill()
		_ = m.log.Close()
	}
	g.group.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.workers {
		w.stop()
	}
	_ = g.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(g.folder)
	} else {
		fmt.Println("the logs are in", g.folder)
	}
}
