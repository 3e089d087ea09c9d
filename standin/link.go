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

// CallerOctetBase plus the number of a region is the second octet of the addresses of the
// callers that are near the region.
const CallerOctetBase = 100

const (
	linkBufferSize  = 32 << 10
	linkQueueLength = 256
	udpIdleTimeout  = 30 * time.Second
	maxDatagramSize = 2048
	linkDialTimeout = 2 * time.Second
)

// RoundTripTimes holds the round-trip times that a link emulates. Addresses are 127.R.D.x
// for failure domain D of region R, and 127.(100+R).x.x for callers near region R.
type RoundTripTimes struct {
	domains time.Duration // between failure domains of a region
	regions time.Duration // between regions
	callers time.Duration // between callers and their region
}

// NewRoundTripTimes returns the round-trip times between failure domains of a region,
// between regions, and between callers and the region that they are near.
func NewRoundTripTimes(domains, regions, callers time.Duration) RoundTripTimes {
	return RoundTripTimes{domains: domains, regions: regions, callers: callers}
}

// oneWay returns the delay of a packet between two addresses: half the round-trip time.
func (r RoundTripTimes) oneWay(a, b netip.Addr) time.Duration {
	x, y := a.As4(), b.As4()
	var rtt time.Duration
	rx, callerA := regionOf(x)
	ry, callerB := regionOf(y)
	if callerA || callerB {
		rtt += r.callers
	}
	switch {
	case rx != ry:
		rtt += r.regions
	case !callerA && !callerB && x[2] != y[2]:
		rtt += r.domains
	}
	return rtt / 2
}

func regionOf(a [4]byte) (region byte, caller bool) {
	if a[1] >= CallerOctetBase {
		return a[1] - CallerOctetBase, true
	}
	return a[1], false
}

// Route forwards the connections or datagrams that arrive at From to the address To.
type Route struct {
	Network string `json:"network"`
	From    string `json:"from"`
	To      string `json:"to"`
}

// Partition is a network partition: packets from addresses with the prefix From to addresses
// with the prefix To, such as "127.1.", are lost. If Silent is set, it stalls only the TCP
// connections that are open when it starts, in both directions; later ones work.
type Partition struct {
	From   string `json:"from"`
	To     string `json:"to"`
	Silent bool   `json:"silent"`
}

// Link relays TCP and UDP and emulates the delays and partitions of a network.
type Link struct {
	rtts RoundTripTimes

	mu         sync.Mutex
	partitions []Partition
	stalled    map[*relay]bool
	relays     map[*relay]bool
}

// NewLink returns a link with the given round-trip times.
func NewLink(r RoundTripTimes) *Link {
	return &Link{rtts: r, stalled: make(map[*relay]bool), relays: make(map[*relay]bool)}
}

// relay is one open TCP connection through the link, from a to b.
type relay struct {
	a, b netip.Addr
}

// Add starts a partition.
func (l *Link) Add(p Partition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.Silent {
		l.partitions = append(l.partitions, p)
		return
	}
	for r := range l.relays {
		if p.matches(r.a, r.b) || p.matches(r.b, r.a) {
			l.stalled[r] = true
		}
	}
}

// Heal ends all partitions. Stalled connections stay stalled.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitions = nil
}

func (p Partition) matches(from, to netip.Addr) bool {
	return strings.HasPrefix(from.String(), p.From) && strings.HasPrefix(to.String(), p.To)
}

// blocked reports whether a partition stops packets from one address to another, or r, which
// may be nil, is stalled.
func (l *Link) blocked(from, to netip.Addr, r *relay) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r != nil && l.stalled[r] {
		return true
	}
	for _, p := range l.partitions {
		if p.matches(from, to) {
			return true
		}
	}
	return false
}

// Run relays the routes until the context is done. It calls ready once it listens on every
// address.
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

// relayTCP relays one connection. It dials the server from the client's IP address, so that
// the server sees that address.
func (l *Link) relayTCP(ctx context.Context, client net.Conn, r Route) {
	defer func() { _ = client.Close() }()
	from := addrOf(client.RemoteAddr())
	to, err := netip.ParseAddrPort(r.From)
	if err != nil {
		return
	}
	if l.blocked(from, to.Addr(), nil) {
		// A partitioned peer does not answer: keep the connection open and send nothing.
		_, _ = io.Copy(io.Discard, client)
		return
	}
	dialer := net.Dialer{Timeout: linkDialTimeout, LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
	server, err := dialer.DialContext(ctx, "tcp", r.To)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the client gets a reset, as from a closed port
		}
		return
	}
	defer func() { _ = server.Close() }()
	stop := context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = server.Close()
	})
	defer stop()
	rel := &relay{a: from, b: to.Addr()}
	l.track(rel, true)
	defer l.track(rel, false)
	delay := l.rtts.oneWay(from, to.Addr())
	var group errgroup.Group
	group.Go(func() error { return l.forward(server, client, delay, rel, from, to.Addr()) })
	group.Go(func() error { return l.forward(client, server, delay, rel, to.Addr(), from) })
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
	delete(l.stalled, r)
}

// packet is data in transit and the time at which it is delivered.
type packet struct {
	data []byte
	due  time.Time
}

// forward copies one direction, from a to b, with a delay. When the sender closes its half
// cleanly, that half is closed towards the receiver; an error resets the whole connection.
func (l *Link) forward(to, from net.Conn, delay time.Duration, r *relay, a, b netip.Addr) error {
	queue := make(chan packet, linkQueueLength)
	var group errgroup.Group
	group.Go(func() error {
		defer func() {
			for range queue { // keeps the reader from blocking after a failed write
				continue
			}
		}()
		for p := range queue {
			SleepUntil(p.due)
			if l.blocked(a, b, r) {
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
	case l.blocked(a, b, r): // the partition also swallows the end of the stream
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

// read queues what it reads, each packet to be delivered after the delay. It returns nil at
// the end of the stream.
func (l *Link) read(from net.Conn, queue chan<- packet, delay time.Duration) error {
	for {
		buf := make([]byte, linkBufferSize)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- packet{data: buf[:n], due: time.Now().Add(delay)}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// SleepUntil sleeps until a time.
func SleepUntil(at time.Time) {
	if d := time.Until(at); d > 0 {
		time.Sleep(d)
	}
}

// Controls returns the handler that starts and ends partitions.
func (l *Link) Controls() http.Handler {
	server := echo.New()
	server.POST("/cut", func(c echo.Context) error {
		var p Partition
		if err := c.Bind(&p); err != nil {
			return err
		}
		l.Add(p)
		return c.NoContent(http.StatusNoContent)
	})
	server.POST("/heal", func(c echo.Context) error {
		l.Heal()
		return c.NoContent(http.StatusNoContent)
	})
	return server
}
