// Command standin plays the cases of the review: it starts instances as separate processes, and is their
// platform, their workers and their clients on loopback addresses.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// memoryMiB is the memory of a machine.
const memoryMiB = 284

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// record is the record of one play.
type record struct {
	mu    sync.Mutex
	begun time.Time
	out   *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%7.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// play is one play of a case.
type play struct {
	trouble bool // the disruption happens
	folder  string
	record  *record
	store   *store
	group   errgroup.Group
	closers []func()
	ended   atomic.Bool // no process may be started any more

	storeAddress string
	machines     []*machine
	workers      []*worker
}

var cases = map[string]func(ctx context.Context, p *play) (int, error){
	"bodies":   playBodies,
	"early":    playEarly,
	"stall":    playStall,
	"takeover": playTakeover,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(unable)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// longest is the longest time that a play may take.
const longest = 110 * time.Second

func run(name, path string) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer func() { _ = out.Close() }()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer func() { _ = os.RemoveAll(folder) }()
	signalled, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(signalled, longest)
	defer cancel()
	p := &play{trouble: os.Getenv("TROUBLE") != "0", folder: folder, record: &record{begun: time.Now(), out: out}, store: newStore()}
	defer p.end()
	p.record.add("case %s, disruption %v", name, p.trouble)
	var group errgroup.Group
	done := make(chan int, 1)
	group.Go(func() error {
		code, err := cases[name](ctx, p)
		if err != nil {
			p.record.add("the case could not be played: %v", err)
			code = unable
		}
		done <- code
		return nil
	})
	code := unable
	select {
	case code = <-done:
	case <-ctx.Done():
		p.record.add("the play takes too long, or was ended")
	}
	p.record.add("exit code %d", code)
	return code
}

// end ends all that the play started.
func (p *play) end() {
	p.ended.Store(true)
	for _, m := range p.machines {
		m.kill()
	}
	for _, one := range p.closers {
		one()
	}
	_ = p.group.Wait()
}

// place is where a machine stands.
type place struct{ zone, region string }

// deploy starts the store and a machine in each place, and waits until all are ready.
func (p *play) deploy(ctx context.Context, config map[string]any, places ...place) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.closers = append(p.closers, func() { _ = l.Close() })
	p.storeAddress = l.Addr().String()
	p.group.Go(func() error { return p.store.serve(l) })
	p.store.put("config", "main", config)
	ips := make([]string, len(places))
	for i := range places {
		ips[i] = fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, i+1)
	}
	free, err := freePorts(ips)
	if err != nil {
		return err
	}
	for i, at := range places {
		name := fmt.Sprintf("front-%s-%d", at.zone, i+1)
		p.machines = append(p.machines, &machine{
			name: name, ip: ips[i], zone: at.zone, region: at.region, ports: free,
			file: filepath.Join(p.folder, name+".toml"), record: p.record,
		})
	}
	for _, m := range p.machines {
		if err := p.startMachine(m, true); err != nil {
			return err
		}
	}
	return p.awaitReady(ctx)
}

// startMachine writes the settings file of a machine and starts its process.
func (p *play) startMachine(m *machine, first bool) error {
	if p.ended.Load() {
		return errors.New("the play has ended")
	}
	if err := os.WriteFile(m.file, []byte(m.settings(p.machines, p.storeAddress, first)), 0o600); err != nil {
		return err
	}
	if err := m.start(p.folder); err != nil {
		return err
	}
	p.group.Go(m.wait)
	return nil
}

func (p *play) awaitReady(ctx context.Context) error {
	for _, m := range p.machines {
		for !m.ready() {
			if ctx.Err() != nil {
				return errors.New(m.name + " is not ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	p.record.add("all machines are ready")
	return nil
}

// addWorker starts a worker and registers it.
func (p *play) addWorker(w *worker, zone string, slots int) {
	p.workers = append(p.workers, w)
	p.closers = append(p.closers, func() { _ = w.listener.Close() })
	p.group.Go(w.serve)
	born := time.Now().Add(-time.Minute).UnixMilli()
	p.store.put("servers", w.id, w.entry(zone, "ready", born, slots))
	p.record.add("worker %s of %s listens on %s", w.id, w.service, w.address())
}

// runs returns how often workers have begun to run the request with the id.
func (p *play) runs(id string) int { return p.runsAt("", id) }

// runsAt is like runs, for the workers of one service.
func (p *play) runsAt(service, id string) int {
	runs := 0
	for _, w := range p.workers {
		if service == "" || w.service == service {
			w.mu.Lock()
			runs += w.runs[id]
			w.mu.Unlock()
		}
	}
	return runs
}
