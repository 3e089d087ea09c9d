package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
)

const (
	idleTimeout         = 3 * time.Second
	keepAliveEvery      = time.Second
	handshakeTimeout    = 2 * time.Second
	maxStreams          = 8192
	initialStreamWindow = 512 << 10
	initialConnWindow   = 4 << 20
	maxStreamWindow     = 16 << 20
	// unusedTimeout is how long a connection is kept that nobody uses.
	unusedTimeout = 30 * time.Second
	closeCode     = quic.ApplicationErrorCode(0)
)

var (
	dials       = metrics.GetOrCreateCounter(`hickorydrum_peer_dials_total`)
	dialsFailed = metrics.GetOrCreateCounter(`hickorydrum_peer_dials_failed_total`)
	calls       = metrics.GetOrCreateCounter(`hickorydrum_peer_calls_total`)
)

// Call names a handler. Each slice of the protocol has its own.
type Call string

// Handler serves one stream of a call.
type Handler func(ctx context.Context, s *Stream) error

type callMessage struct {
	Call Call `cbor:"1,keyasint"`
}

// Target is the peer that a stream goes to.
type Target struct {
	name    string
	address string
}

// NewTarget returns the target with the certificate's name at an address.
func NewTarget(name, address string) Target { return Target{name: name, address: address} }

// Node is the end point of one instance.
type Node struct {
	keys      *Keys
	transport *quic.Transport
	listener  *quic.Listener
	config    *quic.Config
	handlers  map[Call]Handler
	group     errgroup.Group
	ctx       context.Context
	cancel    context.CancelFunc

	mu      sync.Mutex
	conns   map[Target]*pooledConn
	retired []*pooledConn // replaced, but still with streams
}

// pooledConn is a connection, or the attempt to make one.
type pooledConn struct {
	ready  chan struct{}
	conn   *quic.Conn
	err    error
	usedAt time.Time
	active int // streams that this side opened and has not aborted
	// keepUntil is until when the connection is kept open although nobody uses it.
	// Unary calls do not set it: those that need the connection repeat often.
	keepUntil time.Time
}

// Listen opens the end point on a UDP address. Handlers must be registered
// before Serve.
func Listen(address string, keys *Keys) (*Node, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fault.New(fault.Invalid, "the peer address is not usable", "set -peer to an IP number and port",
			fault.WithCause(err))
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "the peer address cannot be listened on",
			"set -peer to a free address of this machine", fault.WithCause(err))
	}
	n := &Node{
		keys:      keys,
		transport: &quic.Transport{Conn: socket},
		handlers:  make(map[Call]Handler),
		conns:     make(map[Target]*pooledConn),
		config: &quic.Config{
			MaxIdleTimeout:                 idleTimeout,
			EnableDatagrams:                true, // as keep-alives
			HandshakeIdleTimeout:           handshakeTimeout,
			MaxIncomingStreams:             maxStreams,
			MaxIncomingUniStreams:          -1,
			InitialStreamReceiveWindow:     initialStreamWindow,
			MaxStreamReceiveWindow:         maxStreamWindow,
			InitialConnectionReceiveWindow: initialConnWindow,
			MaxConnectionReceiveWindow:     2 * maxStreamWindow,
		},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.listener, err = n.transport.Listen(keys.serverConfig(), n.config)
	if err != nil {
		n.cancel()
		return nil, errors.Join(err, socket.Close())
	}
	return n, nil
}

// Addr returns the UDP address that the node listens on.
func (n *Node) Addr() net.Addr { return n.transport.Conn.LocalAddr() }

// Handle registers the handler of a call.
func (n *Node) Handle(call Call, h Handler) { n.handlers[call] = h }

// Serve accepts connections until Close.
func (n *Node) Serve() {
	n.group.Go(func() error {
		for {
			conn, err := n.listener.Accept(n.ctx)
			if err != nil {
				return nil
			}
			n.group.Go(func() error { return n.serveConn(conn) })
		}
	})
	n.group.Go(n.maintainConns)
}

func (n *Node) serveConn(conn *quic.Conn) error {
	name := peerName(conn.ConnectionState().TLS)
	for {
		raw, err := conn.AcceptStream(n.ctx)
		if err != nil {
			return nil
		}
		n.group.Go(func() error {
			n.serveStream(newStream(raw, name))
			return nil
		})
	}
}

func peerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

func (n *Node) serveStream(s *Stream) {
	var call callMessage
	if err := s.Receive(FrameCall, &call); err != nil {
		_ = s.SendFault(err)
		s.Abort()
		return
	}
	handler, ok := n.handlers[call.Call]
	if !ok {
		_ = s.SendFault(fault.New(fault.Missing, "call "+string(call.Call)+" is not known",
			"run the same version on every instance"))
		s.Close()
		return
	}
	calls.Inc()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	if err := handler(ctx, s); err != nil {
		_ = s.SendFault(err)
	}
	s.Close()
	// What the other side still sends is of no use.
	s.raw.CancelRead(resetCode)
}

// Open begins a call to a peer, which sees it with the first message. The caller
// ends the stream with Abort once it needs nothing more of it.
func (n *Node) Open(ctx context.Context, to Target, call Call) (*Stream, error) {
	return n.open(ctx, to, call, unusedTimeout)
}

// open begins a call and has the connection kept open for a time.
func (n *Node) open(ctx context.Context, to Target, call Call, keep time.Duration) (*Stream, error) {
	p, err := n.connect(ctx, to, time.Now().Add(keep))
	if err != nil {
		return nil, err
	}
	raw, err := p.conn.OpenStreamSync(ctx)
	if err != nil {
		n.release(p)
		return nil, unreachableError(err)
	}
	s := newStream(raw, to.name)
	s.release = func() { n.release(p) }
	if err := s.Buffer(FrameCall, callMessage{Call: call}); err != nil {
		s.Abort()
		return nil, unreachableError(err)
	}
	return s, nil
}

func (n *Node) release(p *pooledConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.active--
	p.usedAt = time.Now()
}

var errUnreachable = errors.New("no connection to the peer")

func unreachableError(err error) *fault.Error {
	return fault.New(fault.Unavailable, "a peer cannot be reached", "try another instance",
		fault.WithCause(errors.Join(errUnreachable, err)))
}

// IsUnreachable reports whether err states that no connection to a peer could be
// had, as opposed to a fault that the peer itself answered.
func IsUnreachable(err error) bool { return errors.Is(err, errUnreachable) }

// Ask makes a unary call: one message there, one back.
func (n *Node) Ask(ctx context.Context, to Target, call Call, req, resp any) error {
	s, err := n.open(ctx, to, call, 0)
	if err != nil {
		return err
	}
	defer s.Abort()
	if deadline, ok := ctx.Deadline(); ok {
		s.SetDeadline(deadline)
	}
	if err := s.Send(FrameReply, req); err != nil {
		return err
	}
	s.Close()
	return s.Receive(FrameReply, resp)
}

// Unary returns the handler of a unary call.
func Unary[Req, Resp any](f func(ctx context.Context, peer string, req Req) (Resp, error)) Handler {
	return func(ctx context.Context, s *Stream) error {
		var req Req
		if err := s.Receive(FrameReply, &req); err != nil {
			return err
		}
		resp, err := f(ctx, s.Peer(), req)
		if err != nil {
			return err
		}
		return s.Send(FrameReply, resp)
	}
}

// Close ends every connection and waits for the handlers.
func (n *Node) Close() error {
	n.cancel()
	_ = n.listener.Close()
	err := n.transport.Close()
	_ = n.transport.Conn.Close()
	return errors.Join(err, n.group.Wait())
}
