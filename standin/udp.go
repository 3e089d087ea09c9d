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

// udpRelay relays the datagrams of one route.
type udpRelay struct {
	link   *Link
	socket *net.UDPConn
	listen netip.AddrPort
	target *net.UDPAddr
	group  *errgroup.Group

	mu       sync.Mutex
	sessions map[netip.AddrPort]*udpSession
}

// udpSession relays between one sender and the target. Its socket has the sender's IP
// address, so that the target sees that address.
type udpSession struct {
	conn     *net.UDPConn
	toTarget chan packet
	toSender chan packet
	done     chan struct{}
}

func (l *Link) openUDP(ctx context.Context, r Route, group *errgroup.Group) (io.Closer, func() error, error) {
	listen, err := netip.ParseAddrPort(r.From)
	if err != nil {
		return nil, nil, err
	}
	target, err := net.ResolveUDPAddr("udp", r.To)
	if err != nil {
		return nil, nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, nil, err
	}
	u := &udpRelay{
		link: l, socket: socket, listen: listen, target: target, group: group,
		sessions: make(map[netip.AddrPort]*udpSession),
	}
	return socket, func() error { return u.run(ctx) }, nil
}

func (u *udpRelay) run(ctx context.Context) error {
	for {
		buf := make([]byte, maxDatagramSize)
		n, from, err := u.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil
		}
		s := u.session(ctx, from)
		if s == nil {
			continue
		}
		delay := u.link.rtts.oneWay(from.Addr().Unmap(), u.listen.Addr())
		enqueue(s.toTarget, packet{data: buf[:n], due: time.Now().Add(delay)})
	}
}

// enqueue drops the datagram if the queue is full, as a network does.
func enqueue(queue chan packet, p packet) {
	select {
	case queue <- p:
	default:
	}
}

// session returns the session of a sender. It opens one if there is none, and returns nil if
// that fails.
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
	s := &udpSession{conn: conn, toTarget: make(chan packet, linkQueueLength*4), toSender: make(chan packet, linkQueueLength*4), done: make(chan struct{})}
	u.sessions[from] = s
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	u.group.Go(func() error {
		defer stop()
		u.receive(s, from)
		return nil
	})
	u.group.Go(func() error {
		s.forward(s.toTarget, func(data []byte) {
			if !u.link.blocked(addr, u.listen.Addr(), nil) {
				_, _ = conn.Write(data)
			}
		})
		return nil
	})
	u.group.Go(func() error {
		s.forward(s.toSender, func(data []byte) {
			if !u.link.blocked(u.listen.Addr(), addr, nil) {
				_, _ = u.socket.WriteToUDPAddrPort(data, from)
			}
		})
		return nil
	})
	return s
}

// forward sends each queued datagram when it is due, until the session ends.
func (s *udpSession) forward(queue <-chan packet, send func([]byte)) {
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

// receive queues what the target sends back. It ends the session when the target has sent
// nothing for udpIdleTimeout.
func (u *udpRelay) receive(s *udpSession, from netip.AddrPort) {
	delay := u.link.rtts.oneWay(from.Addr().Unmap(), u.listen.Addr())
	for {
		buf := make([]byte, maxDatagramSize)
		_ = s.conn.SetReadDeadline(time.Now().Add(udpIdleTimeout))
		n, err := s.conn.Read(buf)
		if err != nil && (errors.Is(err, net.ErrClosed) || isTimeout(err)) {
			break
		}
		if err != nil {
			continue // such as ECONNREFUSED while the target's port is closed
		}
		enqueue(s.toSender, packet{data: buf[:n], due: time.Now().Add(delay)})
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
