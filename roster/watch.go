package roster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
)

const (
	// watchedMembers is how many members of the region each instance watches.
	watchedMembers     = 2
	probeDialTimeout   = time.Second
	probeRetryInterval = 500 * time.Millisecond
	probeReadTimeout   = 2 * time.Second
	probeKeepAlive     = 5 * time.Second
	adjustInterval     = 500 * time.Millisecond
	// silenceTimeout is how long a member must be silent before the platform's list,
	// which lags, is believed that it is gone.
	silenceTimeout = 10 * time.Second
)

// Watcher proves that members are gone. It holds a connection to a few members'
// probe addresses; when one ends and its address then refuses, the kernel there
// says that the process is gone. Silence proves nothing.
type Watcher struct {
	roster   *Roster
	listener net.Listener
	bind     net.IP
	onGone   func(Member)

	mu         sync.Mutex
	running    map[string]context.CancelFunc
	everListed map[string]bool // addresses that the platform's list has named
	listedNow  map[string]bool // addresses that it names now
}

// NewWatcher listens on the probe address. onGone is called once for each member
// that this instance proved gone.
func NewWatcher(r *Roster, address string, bind net.IP, onGone func(Member)) (*Watcher, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "the probe address cannot be listened on",
			"set -probe to a free address of this machine", fault.WithCause(err))
	}
	return &Watcher{
		roster: r, listener: listener, bind: bind, onGone: onGone, running: make(map[string]context.CancelFunc),
		everListed: make(map[string]bool), listedNow: make(map[string]bool),
	}, nil
}

// Addr returns the address that the watcher listens on.
func (w *Watcher) Addr() net.Addr { return w.listener.Addr() }

// SetPlatformList takes in the callers' addresses that the platform's list names.
func (w *Watcher) SetPlatformList(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listedNow = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		w.everListed[address] = true
		w.listedNow[address] = true
	}
}

// delisted reports whether the platform's list named the member before and does
// not any more.
func (w *Watcher) delisted(m Member) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.everListed[m.Caller] && !w.listedNow[m.Caller]
}

// Run answers probes and watches members until the context is done. The listener
// stays open until Close, since a refusal proves that the process is gone.
func (w *Watcher) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return w.accept(ctx, &group) })
	ticker := time.NewTicker(adjustInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = w.Close()
			return group.Wait()
		case <-ticker.C:
			w.adjustWatches(ctx, &group)
		}
	}
}

// Close ends the listener.
func (w *Watcher) Close() error { return w.listener.Close() }

func (w *Watcher) accept(ctx context.Context, group *errgroup.Group) error {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return nil
		}
		group.Go(func() error {
			w.serveProbe(ctx, conn)
			return nil
		})
	}
}

// serveProbe tells the run of this instance and keeps the connection open.
func (w *Watcher) serveProbe(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := fmt.Fprintln(conn, w.roster.Self().Run); err != nil {
		return
	}
	var one [1]byte
	_, _ = conn.Read(one[:]) // the other side sends nothing
}

// adjustWatches watches the members that follow this one in the ring of its region.
func (w *Watcher) adjustWatches(ctx context.Context, group *errgroup.Group) {
	want := make(map[string]Member)
	for _, m := range w.neighbours() {
		want[m.ID()] = m
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, cancel := range w.running {
		if _, ok := want[id]; !ok {
			cancel()
			delete(w.running, id)
		}
	}
	for id, m := range want {
		if _, ok := w.running[id]; ok {
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		w.running[id] = cancel
		group.Go(func() error {
			w.watch(watchCtx, m)
			return nil
		})
	}
}

func (w *Watcher) neighbours() []Member {
	self := w.roster.Self()
	ring := w.roster.View().Present(self.Region)
	var out []Member
	for i, m := range ring {
		if m.ID() != self.ID() {
			continue
		}
		for k := 1; k <= watchedMembers && k < len(ring); k++ {
			out = append(out, ring[(i+k)%len(ring)])
		}
	}
	return out
}

// watch follows one member until it is gone or no longer to be watched.
func (w *Watcher) watch(ctx context.Context, m Member) {
	lastAnswer := time.Now()
	for ctx.Err() == nil {
		result := w.probe(ctx, m)
		if result == probeAnswered {
			lastAnswer = time.Now()
		}
		silent := result == probeSilent && time.Since(lastAnswer) > silenceTimeout && w.delisted(m)
		if ctx.Err() == nil && (result == probeGone || silent) {
			if w.roster.MarkGone(m.ID()) {
				w.onGone(m)
			}
			return
		}
		timer := time.NewTimer(probeRetryInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// probeResult is what a probe found out.
type probeResult uint8

const (
	probeSilent probeResult = iota
	probeAnswered
	probeGone
)

// probe connects and, while the member's process runs, waits for the
// connection to end.
func (w *Watcher) probe(ctx context.Context, m Member) probeResult {
	result := probeSilent
	for {
		conn, err := w.dial(ctx, m.Probe)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return probeGone
		}
		if err != nil {
			return result
		}
		run, ended := w.probeConn(ctx, conn, m.Run)
		switch {
		case run != "" && run != m.Run:
			return probeGone // another process has the address now
		case !ended || ctx.Err() != nil:
			return result
		}
		result = probeAnswered
	}
}

func (w *Watcher) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: probeDialTimeout, KeepAlive: probeKeepAlive}
	if w.bind != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: w.bind}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// probeConn reads the run that answers and, if it is the wanted one, waits for the
// end of the connection. ended is false when the connection broke before the run
// was told.
func (w *Watcher) probeConn(ctx context.Context, conn net.Conn, want string) (run string, ended bool) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(probeReadTimeout))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "", false
	}
	if run = strings.TrimSpace(line); run != want {
		return run, true
	}
	_ = conn.SetReadDeadline(time.Time{})
	var one [1]byte
	_, _ = conn.Read(one[:])
	return run, true
}
