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
	// watched is how many members of the region each instance watches.
	watched        = 2
	probeDial      = time.Second
	probeRetry     = 500 * time.Millisecond
	probeLine      = 2 * time.Second
	probeKeepAlive = 5 * time.Second
	rewatchEvery   = 500 * time.Millisecond
	// silentFor is how long a member must be silent before the platform's list,
	// which lags, is believed that it is gone.
	silentFor = 10 * time.Second
)

// Watcher proves that members are gone. It holds a connection to a few members'
// probe addresses; when one ends and its address then refuses, the kernel there
// says that the process is gone. Silence proves nothing.
type Watcher struct {
	roster   *Roster
	listener net.Listener
	bind     net.IP
	onGone   func(Member)

	mu      sync.Mutex
	running map[string]context.CancelFunc
	listed  map[string]bool // addresses that the platform's list has named
	present map[string]bool // addresses that it names now
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
		listed: make(map[string]bool), present: make(map[string]bool),
	}, nil
}

// Addr returns the address that the watcher listens on.
func (w *Watcher) Addr() net.Addr { return w.listener.Addr() }

// SetPlatformList takes in the callers' addresses that the platform's list names.
func (w *Watcher) SetPlatformList(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.present = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		w.listed[address] = true
		w.present[address] = true
	}
}

// unlisted reports whether the platform's list named the member before and does
// not any more.
func (w *Watcher) unlisted(m Member) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed[m.Caller] && !w.present[m.Caller]
}

// Run answers probes and watches members until the context is done. The listener
// stays open until Close, since a refusal proves that the process is gone.
func (w *Watcher) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return w.accept(ctx, &group) })
	ticker := time.NewTicker(rewatchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = w.Close()
			return group.Wait()
		case <-ticker.C:
			w.adjust(ctx, &group)
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
			w.hold(ctx, conn)
			return nil
		})
	}
}

// hold tells the run of this instance and keeps the connection open.
func (w *Watcher) hold(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := fmt.Fprintln(conn, w.roster.Self().Run); err != nil {
		return
	}
	var one [1]byte
	_, _ = conn.Read(one[:]) // the other side sends nothing
}

// adjust watches the members that follow this one in the ring of its region.
func (w *Watcher) adjust(ctx context.Context, group *errgroup.Group) {
	want := make(map[string]Member)
	for _, m := range w.following() {
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

func (w *Watcher) following() []Member {
	self := w.roster.Self()
	ring := w.roster.View().Present(self.Region)
	var out []Member
	for i, m := range ring {
		if m.ID() != self.ID() {
			continue
		}
		for k := 1; k <= watched && k < len(ring); k++ {
			out = append(out, ring[(i+k)%len(ring)])
		}
	}
	return out
}

// watch follows one member until it is gone or no longer to be watched.
func (w *Watcher) watch(ctx context.Context, m Member) {
	heard := time.Now()
	for ctx.Err() == nil {
		found := w.attendAll(ctx, m)
		if found == heardFrom {
			heard = time.Now()
		}
		silent := found == silence && time.Since(heard) > silentFor && w.unlisted(m)
		if ctx.Err() == nil && (found == provenGone || silent) {
			if w.roster.MarkGone(m.ID()) {
				w.onGone(m)
			}
			return
		}
		timer := time.NewTimer(probeRetry)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// finding is what a probe found out.
type finding uint8

const (
	silence finding = iota
	heardFrom
	provenGone
)

// attendAll connects and, while the member's process runs, waits for the
// connection to end.
func (w *Watcher) attendAll(ctx context.Context, m Member) finding {
	found := silence
	for {
		conn, err := w.dial(ctx, m.Probe)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return provenGone
		}
		if err != nil {
			return found
		}
		run, ended := w.attend(ctx, conn, m.Run)
		switch {
		case run != "" && run != m.Run:
			return provenGone // another process has the address now
		case !ended || ctx.Err() != nil:
			return found
		}
		found = heardFrom
	}
}

func (w *Watcher) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: probeDial, KeepAlive: probeKeepAlive}
	if w.bind != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: w.bind}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// attend reads the run that answers and, if it is the wanted one, waits for the
// end of the connection. ended is false when the connection broke before the run
// was told.
func (w *Watcher) attend(ctx context.Context, conn net.Conn, want string) (run string, ended bool) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(probeLine))
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
