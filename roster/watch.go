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
	"hickorydrum/interval"
)

const (
	// watchedMembers is how many members of the region each instance watches.
	watchedMembers     = 2
	probeDialTimeout   = time.Second
	probeRetryInterval = 500 * time.Millisecond
	probeReadTimeout   = 2 * time.Second // for the line with the incarnation
	probeKeepAlive     = 5 * time.Second // of TCP, to detect a machine that stopped
	adjustInterval     = 500 * time.Millisecond
	// silenceTimeout is how long a member must not have answered before its removal
	// from the platform's list counts as evidence that it is gone. The list alone
	// isn't enough, since it lags behind.
	silenceTimeout = 10 * time.Second
)

// Watcher detects members whose process has ended. It keeps a TCP connection to
// the probe addresses of a few members of its region. A member is gone if its
// address refuses a connection, since the kernel of a running machine refuses only
// if no process listens there, or if another incarnation answers. No answer alone
// is no evidence: then the member is gone only if, besides, it has been silent for
// silenceTimeout and was removed from the platform's list.
type Watcher struct {
	roster   *Roster
	listener net.Listener // on the probe address of this instance
	bind     net.IP       // source address of probes, nil for any
	onGone   func(Member)

	mu         sync.Mutex
	running    map[string]context.CancelFunc // watches, by member id
	everListed map[string]bool               // addresses that were in the platform's list
	listedNow  map[string]bool               // addresses in the latest list
}

// NewWatcher returns a Watcher that listens on the probe address. Its probes come
// from the address bind, if it is not nil. onGone is called once for each member
// that this instance found to be gone before any other report of it.
func NewWatcher(r *Roster, address string, bind net.IP, onGone func(Member)) (*Watcher, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "cannot listen on the probe address",
			"set -probe to a free address of this machine", fault.WithCause(err))
	}
	return &Watcher{
		roster: r, listener: listener, bind: bind, onGone: onGone, running: make(map[string]context.CancelFunc),
		everListed: make(map[string]bool), listedNow: make(map[string]bool),
	}, nil
}

// Addr returns the address that the watcher listens on.
func (w *Watcher) Addr() net.Addr { return w.listener.Addr() }

// SetPlatformList sets the addresses in the platform's list of instances, which are
// those for callers.
func (w *Watcher) SetPlatformList(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listedNow = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		w.everListed[address] = true
		w.listedNow[address] = true
	}
}

// delisted reports whether the member was in the platform's list and no longer is.
func (w *Watcher) delisted(m Member) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.everListed[m.Caller] && !w.listedNow[m.Caller]
}

// Run answers probes and watches members until the context is done, and then closes
// the listener. Until then the listener must stay open, since other instances take
// a refused connection as proof that this process has ended.
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

// Close closes the listener on the probe address.
func (w *Watcher) Close() error { return w.listener.Close() }

// accept serves probes until the listener is closed.
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

// serveProbe sends the incarnation of this instance and keeps the connection open
// until the other side closes it or the context is done.
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

// adjustWatches starts the watches of the members that follow this one in the ring
// of its region, and cancels those of others.
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

// neighbours returns the members that follow this one in the ring of its region,
// which is ordered by id.
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

// watch probes a member until it is gone or the context is done.
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
		interval.Sleep(ctx, probeRetryInterval)
	}
}

// probeResult is what a probe shows of a member.
type probeResult uint8

const (
	probeSilent   probeResult = iota // no answer
	probeAnswered                    // its process ran at the last answer
	probeGone                        // its process has ended
)

// probe connects to a member as long as its process answers, and waits for the end
// of each connection. The first connection that fails, or that ends before the
// answer, decides the result.
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
			return probeGone // the address belongs to another incarnation now
		case !ended || ctx.Err() != nil:
			return result
		}
		result = probeAnswered
	}
}

// dial connects to the probe address of a member.
func (w *Watcher) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: probeDialTimeout, KeepAlive: probeKeepAlive}
	if w.bind != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: w.bind}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// probeConn reads the incarnation that the other side sends and, if it is the
// wanted one, waits for the end of the connection, which it then closes. ended is
// false if the connection failed before the incarnation arrived.
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
