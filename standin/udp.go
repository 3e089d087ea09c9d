package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// udpRelay carries the datagrams of one advertised address.
type udpRelay struct {
	link   *Link
	socket *net.UDPConn
	near   netip.AddrPort
	target *net.UDPAddr
	group  *errgroup.Group

	mu       sync.Mutex
	sessions map[netip.AddrPort]*udpSession
}

// udpSession is the way of one sender.
type udpSession struct {
	conn *net.UDPConn
	out  chan parcel
	back chan parcel
	done chan struct{}
}

func (l *Link) openUDP(ctx context.Context, r Route, group *errgroup.Group) (io.Closer, func() error, error) {
	near, err := netip.ParseAddrPort(r.From)
	if err != nil {
		return nil, nil, err
	}
	target, err := net.ResolveUDPAddr("udp", r.To)
	if err != nil {
		return nil, nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(near))
	if err != nil {
		return nil, nil, err
	}
	u := &udpRelay{
		link: l, socket: socket, near: near, target: target, group: group,
		sessions: make(map[netip.AddrPort]*udpSession),
	}
	return socket, func() error { return u.run(ctx) }, nil
}

func (u *udpRelay) run(ctx context.Context) error {
	for {
		buf := make([]byte, maxDatagram)
		n, from, err := u.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil
		}
		s := u.session(ctx, from)
		if s == nil {
			continue
		}
		delay := u.link.distances.oneWay(from.Addr().Unmap(), u.near.Addr())
		push(s.out, parcel{data: buf[:n], due: time.Now().Add(delay)})
	}
}

// push drops the datagram when the queue is full, as networks do.
func push(queue chan parcel, p parcel) {
	select {
	case queue <- p:
	default:
	}
}

func (u *udpRelay) session(ctx context.Context, from netip.AddrPort) *udpSession {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s, ok := u.sessions[from]; ok {
		return s
	}
	addr := from.Addr().Unmap()
	conn, err := net.DialUDP("udp", &net.UDPAddr{IP: addr.AsSlice()}, u.target)
	if err != nil {
		return nil
	}
	s := &udpSession{conn: conn, out: make(chan parcel, linkQueue*4), back: make(chan parcel, linkQueue*4), done: make(chan struct{})}
	u.sessions[from] = s
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	u.group.Go(func() error {
		defer stop()
		u.receive(s, from)
		return nil
	})
	u.group.Go(func() error {
		s.pass(s.out, func(data []byte) {
			if !u.link.cut(addr, u.near.Addr(), nil) {
				_, _ = conn.Write(data)
			}
		})
		return nil
	})
	u.group.Go(func() error {
		s.pass(s.back, func(data []byte) {
			if !u.link.cut(u.near.Addr(), addr, nil) {
				_, _ = u.socket.WriteToUDPAddrPort(data, from)
			}
		})
		return nil
	})
	return s
}

// pass sends what is queued when it is due, until the session ends.
func (s *udpSession) pass(queue <-chan parcel, send func([]byte)) {
	for {
		select {
		case <-s.done:
			return
		case p := <-queue:
			SleepUntil(p.due)
			send(p.data)
		}
	}
}

// receive reads what the target sends back, until it is silent for long.
func (u *udpRelay) receive(s *udpSession, from netip.AddrPort) {
	delay := u.link.distances.oneWay(from.Addr().Unmap(), u.near.Addr())
	for {
		buf := make([]byte, maxDatagram)
		_ = s.conn.SetReadDeadline(time.Now().Add(udpIdle))
		n, err := s.conn.Read(buf)
		if err != nil && (errors.Is(err, net.ErrClosed) || isTimeout(err)) {
			break
		}
		if err != nil {
			continue // the target's port is closed for now
		}
		push(s.back, parcel{data: buf[:n], due: time.Now().Add(delay)})
	}
	u.mu.Lock()
	delete(u.sessions, from)
	u.mu.Unlock()
	_ = s.conn.Close()
	close(s.done)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
