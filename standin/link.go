package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"
)

// CallerOctetBase plus the number of a region is the second octet of the addresses
// of callers near it.
const CallerOctetBase = 100

const (
	linkBuffer    = 32 << 10
	linkQueue     = 256
	udpIdle       = 30 * time.Second
	maxDatagram   = 2048
	linkDialLimit = 2 * time.Second
)

// RoundTripTimes is the round-trip time between places. Addresses are 127.R.D.x for
// region R and failure domain D, and 127.(100+R).x.x for callers near region R.
type RoundTripTimes struct {
	domains time.Duration
	regions time.Duration
	callers time.Duration
}

// NewRoundTripTimes returns distances between failure domains, regions and callers.
func NewRoundTripTimes(domains, regions, callers time.Duration) RoundTripTimes {
	return RoundTripTimes{domains: domains, regions: regions, callers: callers}
}

// oneWay returns how long a packet takes between two addresses.
func (d RoundTripTimes) oneWay(a, b netip.Addr) time.Duration {
	x, y := a.As4(), b.As4()
	var rtt time.Duration
	rx, callerA := regionOf(x)
	ry, callerB := regionOf(y)
	if callerA || callerB {
		rtt += d.callers
	}
	switch {
	case rx != ry:
		rtt += d.regions
	case !callerA && !callerB && x[2] != y[2]:
		rtt += d.domains
	}
	return rtt / 2
}

func regionOf(a [4]byte) (region byte, caller bool) {
	if a[1] >= CallerOctetBase {
		return a[1] - CallerOctetBase, true
	}
	return a[1], false
}

// Route is one advertised address and where it leads.
type Route struct {
	Network string `json:"network"`
	From    string `json:"from"`
	To      string `json:"to"`
}

// Partition is a broken way between two groups of addresses, named by their beginnings
// such as "127.1.". Silent leaves open connections hanging while new ones work.
type Partition struct {
	From   string `json:"from"`
	To     string `json:"to"`
	Silent bool   `json:"silent"`
}

// Link relays TCP and UDP with delays and cuts.
type Link struct {
	distances RoundTripTimes

	mu     sync.Mutex
	cuts   []Partition
	mute   map[*relay]bool
	relays map[*relay]bool
}

// NewLink returns a link with the given distances.
func NewLink(d RoundTripTimes) *Link {
	return &Link{distances: d, mute: make(map[*relay]bool), relays: make(map[*relay]bool)}
}

// relay is one open TCP connection through the link.
type relay struct {
	a, b netip.Addr
}

// Add cuts a way. A silent cut mutes the connections that are open now.
func (l *Link) Add(c Partition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.Silent {
		l.cuts = append(l.cuts, c)
		return
	}
	for r := range l.relays {
		if c.hits(r.a, r.b) || c.hits(r.b, r.a) {
			l.mute[r] = true
		}
	}
}

// Heal ends all cuts. Muted connections stay mute.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts = nil
}

func (c Partition) hits(from, to netip.Addr) bool {
	return strings.HasPrefix(from.String(), c.From) && strings.HasPrefix(to.String(), c.To)
}

func (l *Link) cut(from, to netip.Addr, r *relay) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r != nil && l.mute[r] {
		return true
	}
	for _, c := range l.cuts {
		if c.hits(from, to) {
			return true
		}
	}
	return false
}

// Run relays the routes until the context is done. ready is called once every
// address is listened on.
func (l *Link) Run(ctx context.Context, routes []Route, ready func()) error {
	var group errgroup.Group
	var closers []io.Closer
	defer func() {
		for _, c := range closers {
			_ = c.Close()
		}
	}()
	for _, r := range routes {
		c, run, err := l.open(ctx, r, &group)
		if err != nil {
			return err
		}
		closers = append(closers, c)
		group.Go(run)
	}
	ready()
	<-ctx.Done()
	for _, c := range closers {
		_ = c.Close()
	}
	return group.Wait()
}

func (l *Link) open(ctx context.Context, r Route, group *errgroup.Group) (io.Closer, func() error, error) {
	if r.Network == "udp" {
		return l.openUDP(ctx, r, group)
	}
	listener, err := net.Listen("tcp", r.From)
	if err != nil {
		return nil, nil, err
	}
	return listener, func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				l.relayTCP(ctx, conn, r)
				return nil
			})
		}
	}, nil
}

func addrOf(a net.Addr) netip.Addr {
	ap, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}

// relayTCP carries one connection. The far side sees the near side's address.
func (l *Link) relayTCP(ctx context.Context, near net.Conn, r Route) {
	defer func() { _ = near.Close() }()
	from := addrOf(near.RemoteAddr())
	to, err := netip.ParseAddrPort(r.From)
	if err != nil {
		return
	}
	if l.cut(from, to.Addr(), nil) {
		// A cut way gives no answer: keep the connection without a word.
		_, _ = io.Copy(io.Discard, near)
		return
	}
	dialer := net.Dialer{Timeout: linkDialLimit, LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
	far, err := dialer.DialContext(ctx, "tcp", r.To)
	if err != nil {
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the caller sees a reset, as from a closed port
		}
		return
	}
	defer func() { _ = far.Close() }()
	stop := context.AfterFunc(ctx, func() {
		_ = near.Close()
		_ = far.Close()
	})
	defer stop()
	rel := &relay{a: from, b: to.Addr()}
	l.track(rel, true)
	defer l.track(rel, false)
	delay := l.distances.oneWay(from, to.Addr())
	var group errgroup.Group
	group.Go(func() error { return l.carry(far, near, delay, rel, from, to.Addr()) })
	group.Go(func() error { return l.carry(near, far, delay, rel, to.Addr(), from) })
	_ = group.Wait()
}

func (l *Link) track(r *relay, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.relays[r] = true
		return
	}
	delete(l.relays, r)
	delete(l.mute, r)
}

// parcel is data on its way.
type parcel struct {
	data []byte
	due  time.Time
}

// carry copies one direction with a delay. A half that ends cleanly is closed in
// turn; one that breaks breaks both.
func (l *Link) carry(to, from net.Conn, delay time.Duration, r *relay, a, b netip.Addr) error {
	queue := make(chan parcel, linkQueue)
	var group errgroup.Group
	group.Go(func() error {
		defer func() {
			for range queue { // lets the reader go on after a failed write
				continue
			}
		}()
		for p := range queue {
			SleepUntil(p.due)
			if l.cut(a, b, r) {
				continue
			}
			if _, err := to.Write(p.data); err != nil {
				_ = from.Close()
				return err
			}
		}
		return nil
	})
	err := l.read(from, queue, delay)
	close(queue)
	writeErr := group.Wait()
	tcp, ok := to.(*net.TCPConn)
	switch {
	case l.cut(a, b, r): // the end is not heard either
	case ok && err == nil && writeErr == nil:
		_ = tcp.CloseWrite()
	default:
		if ok {
			_ = tcp.SetLinger(0)
		}
		_ = to.Close()
	}
	return err
}

func (l *Link) read(from net.Conn, queue chan<- parcel, delay time.Duration) error {
	for {
		buf := make([]byte, linkBuffer)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- parcel{data: buf[:n], due: time.Now().Add(delay)}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// SleepUntil waits until an instant.
func SleepUntil(at time.Time) {
	if d := time.Until(at); d > 0 {
		time.Sleep(d)
	}
}

// Controls returns the handler that cuts and heals ways.
func (l *Link) Controls() http.Handler {
	server := echo.New()
	server.POST("/cut", func(c echo.Context) error {
		var cut Partition
		if err := c.Bind(&cut); err != nil {
			return err
		}
		l.Add(cut)
		return c.NoContent(http.StatusNoContent)
	})
	server.POST("/heal", func(c echo.Context) error {
		l.Heal()
		return c.NoContent(http.StatusNoContent)
	})
	return server
}
