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
	maxStreams          = 8192      // streams that a peer may have open on a connection
	initialStreamWindow = 512 << 10 // bytes, flow control of QUIC
	initialConnWindow   = 4 << 20   // bytes
	maxStreamWindow     = 16 << 20  // bytes; for a connection twice as much
	// unusedTimeout is how long a connection without streams is kept after its last
	// use.
	unusedTimeout = 30 * time.Second
	closeCode     = quic.ApplicationErrorCode(0)
)

var (
	dials       = metrics.GetOrCreateCounter(`hickorydrum_peer_dials_total`)
	dialsFailed = metrics.GetOrCreateCounter(`hickorydrum_peer_dials_failed_total`)
	calls       = metrics.GetOrCreateCounter(`hickorydrum_peer_calls_total`)
)

// Call is the name of a remote procedure. Each package that talks to peers defines
// its own.
type Call string

// Handler serves one stream of a call. A fault that it returns is sent to the peer.
type Handler func(ctx context.Context, s *Stream) error

// callMessage is the first message of each stream.
type callMessage struct {
	Call Call `cbor:"1,keyasint"`
}

// Target is the peer that a stream goes to.
type Target struct {
	name    string // in its certificate, empty for any
	address string
}

// NewTarget returns the target at the address whose certificate has the name. Any
// certificate of a trusted CA is accepted if the name is empty.
func NewTarget(name, address string) Target { return Target{name: name, address: address} }

// Node is the endpoint of one instance. It serves calls of peers, and pools the
// connections for its own calls.
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
	retired []*pooledConn // replaced by Redial, closed once they have no streams
}

// pooledConn is a connection that this side dials or has dialed.
type pooledConn struct {
	ready  chan struct{} // closed when the dial has ended; conn and err don't change after it
	conn   *quic.Conn
	err    error
	usedAt time.Time // when the last stream ended
	active int       // streams that this side opened and has not aborted
	// keepUntil is the time until which keep-alives are sent although there is no
	// stream. Unary calls don't extend it: those that need the connection are
	// frequent enough to keep it open.
	keepUntil time.Time
}

// Listen opens the endpoint of an instance on a UDP address. Handlers must be
// registered before Serve.
func Listen(address string, keys *Keys) (*Node, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fault.New(fault.Invalid, "the peer address is not usable", "set -peer to an IP number and port",
			fault.WithCause(err))
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "cannot listen on the peer address",
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

// Handle registers the handler of a call. It must not be called after Serve.
func (n *Node) Handle(call Call, h Handler) { n.handlers[call] = h }

// Serve starts to accept connections, until Close, and returns at once.
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

// serveConn serves the streams of a connection that a peer dialed. When the node closes, it
// closes the connection.
func (n *Node) serveConn(conn *quic.Conn) error {
	defer func() { _ = conn.CloseWithError(closeCode, "stopped") }() // no effect if the peer closed it
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

// peerName returns the name in the peer's certificate.
func peerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

// serveStream reads which call a stream is for and runs its handler.
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
	// Nobody reads what the peer still sends.
	s.raw.CancelRead(resetCode)
}

// Open opens the stream of a call. The name of the call is buffered and sent with the
// first message; the peer does not see the stream before. The user of the stream must
// call Abort once it no longer needs it.
func (n *Node) Open(ctx context.Context, to Target, call Call) (*Stream, error) {
	return n.open(ctx, to, call, unusedTimeout)
}

// open is like Open, and has the connection kept open for the time keep.
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

// release ends the use of a connection by one stream.
func (n *Node) release(p *pooledConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.active--
	p.usedAt = time.Now()
}

var errUnreachable = errors.New("no connection to the peer")

// unreachableError returns the fault for a call whose stream could not be opened.
func unreachableError(err error) *fault.Error {
	return fault.New(fault.Unavailable, "a peer cannot be reached", "try another instance",
		fault.WithCause(errors.Join(errUnreachable, err)))
}

// Ask makes a unary call: it sends the request and receives the response. It fails when ctx is
// done.
func (n *Node) Ask(ctx context.Context, to Target, call Call, req, resp any) error {
	s, err := n.open(ctx, to, call, 0)
	if err != nil {
		return err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, func() { s.SetDeadline(time.Now()) })
	defer stop()
	if err := s.Send(FrameMessage, req); err != nil {
		return err
	}
	s.Close()
	return s.Receive(FrameMessage, resp)
}

// Unary returns the handler of a unary call. f gets the name in the peer's
// certificate.
func Unary[Req, Resp any](f func(ctx context.Context, peer string, req Req) (Resp, error)) Handler {
	return func(ctx context.Context, s *Stream) error {
		var req Req
		if err := s.Receive(FrameMessage, &req); err != nil {
			return err
		}
		resp, err := f(ctx, s.Peer(), req)
		if err != nil {
			return err
		}
		return s.Send(FrameMessage, resp)
	}
}

// Close cancels the handlers' contexts, closes every connection, so that no peer waits for a
// response, and waits for the handlers.
func (n *Node) Close() error {
	n.cancel()
	_ = n.listener.Close()
	n.closeDialed()
	err := n.group.Wait()
	err = errors.Join(err, n.transport.Close())
	_ = n.transport.Conn.Close()
	return err
}
