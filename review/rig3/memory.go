package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The figures of the case. Those of machines and answers are of the site kaedehjul-lb-grown.
const (
	memoryMb        = 184 // of the smaller machines
	memoryAnswer    = 30000
	memoryClients   = 1000 // at each of two machines
	memoryAhead     = 20   // requests that each of them sends
	memoryPace      = 4000 // bytes a second that each of them reads
	memorySegment   = 1460
	memoryWindow    = 16 << 10
	memoryOpened    = 10 * time.Second // in which the clients connect
	memoryWatched   = 60 * time.Second
	memoryDown      = time.Second // between a kill and the next start
	memoryLook      = 50 * time.Millisecond
	memoryEnds      = 3 // ends of a process on a machine that break the rule
	memoryMachines  = 2 // machines with so many ends that break the rule
	memoryTenants   = 8
	memoryTenantKey = "spuxsr7i427eya6u6s"
)

// playMemory lets many clients read slowly who send further safe requests before the first one is answered. The platform
// kills a process that exceeds the memory of its machine and starts it again.
func playMemory(g *rig, trouble bool) (bool, error) {
	config := configuration("r5", []rule{{"/a/", "dele69a", "safe", 1200}, {"/b/", "dele69a", "unsafe", 2500}, {"/s/", "xano55b", "safe", 1200}}, []string{"dele69a", "xano55b"})
	g.store.put("config", "main", withTenants(config, memoryTenants, true))
	zonesUsed := []string{"catania-porto", "palermo-kalsa", "ragusa-ibla"}
	for i, zone := range zonesUsed {
		for _, service := range []string{"dele69a", "xano55b"} {
			w, err := g.addWorker(fmt.Sprintf("i-%s-%d", service, i+1), service, zone)
			if err != nil {
				return false, err
			}
			if service == "xano55b" {
				w.bytes, w.work = memoryAnswer, 5*time.Millisecond
			}
		}
	}
	g.memoryMb = memoryMb
	if err := g.startMachines(zonesUsed); err != nil {
		return false, err
	}
	g.sleep(2 * time.Second)
	var all sents
	stop := make(chan struct{})
	g.traffic(&all, "GET", "/a/", "", 50*time.Millisecond, stop)
	g.traffic(&all, "POST", "/b/", "order", 50*time.Millisecond, stop)
	g.sleep(2 * time.Second)
	watched := make([]*watched, 0, len(g.machines))
	for _, m := range g.machines {
		watched = append(watched, g.watchMemory(m))
	}
	var clients readers
	g.note("%d clients at each of two machines connect in %s, send %d safe requests each for answers of %d bytes, and read them %s",
		memoryClients, memoryOpened, memoryAhead, memoryAnswer, map[bool]string{true: fmt.Sprintf("at %d bytes a second", memoryPace), false: "at once"}[trouble])
	for _, m := range g.machines[:memoryMachines] {
		for i := range memoryClients {
			g.group.Add(1)
			go func() {
				defer g.group.Done()
				if !g.sleep(time.Duration(i) * memoryOpened / memoryClients) {
					return
				}
				for g.sleep(0) {
					clients.readSlowly(g.ctx, m, i, trouble)
					if !g.sleep(time.Second) {
						return
					}
				}
			}()
		}
	}
	until := time.Now().Add(memoryWatched)
	for time.Now().Before(until) && g.sleep(5*time.Second) {
		g.note("%d connections are open, %d answers were read whole; memory: %s", clients.open.Load(), clients.answers.Load(), memories(watched))
	}
	close(stop)
	g.sleep(2 * time.Second)
	answered, unanswered := 0, 0
	for _, s := range all.copyOf() {
		switch s.status {
		case 200:
			answered++
		case 0:
			unanswered++
		}
	}
	g.note("%d ordinary requests were sent, %d answered with 200, %d not answered", len(all.copyOf()), answered, unanswered)
	broken := 0
	for i, w := range watched {
		g.note("Fault: the process on %s exceeded its %d MB %d times; the most was %d MB", g.machines[i].name, memoryMb, w.ends.Load(), w.most.Load()>>20)
		if w.ends.Load() >= memoryEnds {
			broken++
		}
	}
	return broken >= memoryMachines, nil
}

func tenantKey(i int) string { return fmt.Sprintf("%s%d", memoryTenantKey, i%memoryTenants) }

// watched is what was seen of the memory of a process.
type watched struct{ now, most, ends atomic.Int64 }

// watchMemory looks at the memory of the process on a machine. It kills one that exceeds the machine's, and starts it again.
func (g *rig) watchMemory(m *machine) *watched {
	w := &watched{}
	g.group.Add(1)
	go func() {
		defer g.group.Done()
		for g.sleep(memoryLook) {
			bytes := m.residentBytes()
			w.now.Store(bytes)
			w.most.Store(max(w.most.Load(), bytes))
			if bytes <= memoryMb<<20 && m.running() {
				continue
			}
			w.ends.Add(1)
			g.note("the process on %s has %d MB of %d: the platform kills it", m.name, bytes>>20, memoryMb)
			m.kill()
			if !g.sleep(memoryDown) {
				return
			}
			if err := m.start(); err != nil {
				g.note("the process on %s does not start: %v", m.name, err)
				return
			}
		}
	}()
	return w
}

func memories(all []*watched) string {
	var out []string
	for _, w := range all {
		out = append(out, fmt.Sprintf("%d MB", w.now.Load()>>20))
	}
	return strings.Join(out, ", ")
}

// readers are clients that send requests ahead.
type readers struct{ open, answers atomic.Int64 }

// readSlowly sends requests on one connection and reads the answers, slowly or at once, until the connection ends.
func (r *readers) readSlowly(ctx context.Context, m *machine, number int, slowly bool) {
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, memorySegment)
			if failure == nil {
				failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, memoryWindow)
			}
		})
		if err != nil {
			return err
		}
		return failure
	}}
	conn, err := dialer.DialContext(ctx, "tcp", fmt.Sprintf("%s:%d", m.ip, m.ports.front))
	if err != nil {
		return
	}
	r.open.Add(1)
	defer r.open.Add(-1)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	var out strings.Builder
	for n := range memoryAhead {
		fmt.Fprintf(&out, "GET /s/%d HTTP/1.1\r\nHost: %s\r\nHickorydrum-Attempt-Id: %s\r\nHickorydrum-Deadline-Remaining: 2000\r\nAuthorization: Bearer %s\r\n\r\n",
			n, host, nextAttempt(), tenantKey(number))
	}
	if _, err := conn.Write([]byte(out.String())); err != nil {
		return
	}
	got, block := 0, make([]byte, memoryPace/4)
	if !slowly {
		block = make([]byte, 64<<10)
	}
	for {
		n, err := conn.Read(block)
		if err != nil {
			return
		}
		r.answers.Add(int64((got+n)/memoryAnswer - got/memoryAnswer))
		got += n
		if !slowly {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second / 4):
		}
	}
}
