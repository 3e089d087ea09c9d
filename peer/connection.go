package peer

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"hickorydrum/interval"
)

// connect returns the connection to the target, which it dials if there is none,
// and counts a stream on it until release is called. The connection is kept open at
// least until keepUntil. After a fault there is nothing to release.
func (n *Node) connect(ctx context.Context, to Target, keepUntil time.Time) (*pooledConn, error) {
	n.mu.Lock()
	p, ok := n.conns[to]
	if !ok || p.broken() {
		p = &pooledConn{ready: make(chan struct{})}
		n.conns[to] = p
		n.group.Go(func() error {
			n.dial(to, p)
			return nil
		})
	}
	p.active++
	if keepUntil.After(p.keepUntil) {
		p.keepUntil = keepUntil
	}
	n.mu.Unlock()
	err := error(nil)
	select {
	case <-p.ready:
		err = p.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		n.release(p)
		return nil, unreachableError(err)
	}
	return p, nil
}

// broken reports whether the connection was closed or the dial failed. It is false
// while the dial is under way.
func (p *pooledConn) broken() bool {
	select {
	case <-p.ready:
		return p.err != nil || p.conn.Context().Err() != nil
	default:
		return false
	}
}

// close closes the connection, if there is one. The dial must have ended.
func (p *pooledConn) close() {
	if p.conn != nil {
		_ = p.conn.CloseWithError(closeCode, "unused")
	}
}

// dial makes the connection of p, or sets its error, and then closes p.ready.
func (n *Node) dial(to Target, p *pooledConn) {
	dials.Inc()
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	defer close(p.ready)
	udp, err := net.ResolveUDPAddr("udp", to.address)
	if err == nil {
		p.conn, err = n.transport.Dial(ctx, udp, n.keys.clientConfig(to.name), n.config)
	}
	if err != nil {
		dialsFailed.Inc()
		p.err = err
	}
}

// Redial makes the next call to the target use a new connection. Calls in progress
// keep the old one. It is for connections on which the peer no longer answers.
func (n *Node) Redial(to Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.conns[to]; ok {
		n.retired = append(n.retired, p)
		delete(n.conns, to)
	}
}

// maintainConns regularly sends a keep-alive on the connections that must stay open
// and closes the unused ones, until the node is closed.
func (n *Node) maintainConns() error {
	return interval.Each(n.ctx, keepAliveEvery, func(now time.Time) {
		for _, p := range n.inUse(now) {
			_ = p.conn.SendDatagram([]byte{0})
		}
		for _, p := range n.unused(now) {
			p.close()
		}
	})
}

// closeDialed closes all connections that this side has dialed. The context of the node must be
// done, which ends the dials under way.
func (n *Node) closeDialed() {
	n.mu.Lock()
	all := slices.Concat(slices.Collect(maps.Values(n.conns)), n.retired)
	n.mu.Unlock()
	for _, p := range all {
		<-p.ready
		p.close()
	}
}

// inUse returns the connections that must not run into the idle timeout. A service
// may work on a request for longer than that without sending a byte.
func (n *Node) inUse(now time.Time) []*pooledConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*pooledConn
	add := func(p *pooledConn) {
		ready := false
		select {
		case <-p.ready:
			ready = p.err == nil
		default:
		}
		if ready && (p.active > 0 || now.Before(p.keepUntil)) {
			out = append(out, p)
		}
	}
	for _, p := range n.conns {
		add(p)
	}
	for _, p := range n.retired {
		add(p)
	}
	return out
}

// unused removes from the node the connections that ended, the idle ones that were
// not used for unusedTimeout, and the retired ones without streams, and returns
// them.
func (n *Node) unused(now time.Time) []*pooledConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out, kept []*pooledConn
	for to, p := range n.conns {
		idle := p.active == 0 && now.Sub(p.usedAt) >= unusedTimeout
		if idle || p.broken() {
			delete(n.conns, to)
			out = append(out, p)
		}
	}
	for _, p := range n.retired {
		if p.active == 0 || p.broken() {
			out = append(out, p)
			continue
		}
		kept = append(kept, p)
	}
	n.retired = kept
	return out
}
