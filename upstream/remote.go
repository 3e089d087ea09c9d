package upstream

import (
	"context"
	"io"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
	"hickorydrum/peer"
)

// CallServe asks the owner of upstreams to serve a request.
const CallServe peer.Call = "serve"

// Frames of the serve call.
const (
	frameAsk peer.Frame = peer.FirstOwn + iota
	frameAdmitted
	frameHead
	frameRoom // ends an answer
)

// verdictWait is how long the owner may take to admit a request that waits in
// its queue, before the owner counts as silent.
const verdictWait = maxQueueWait + 500*time.Millisecond

// Opener begins calls to peers.
type Opener interface {
	Open(ctx context.Context, to peer.Target, call peer.Call) (*peer.Stream, error)
	Renew(to peer.Target)
}

// Register adds the handler of the serve call to a node.
func (p *Pool) Register(node *peer.Node) { node.Handle(CallServe, p.serveStream) }

// serveStream serves a request of another instance.
func (p *Pool) serveStream(ctx context.Context, s *peer.Stream) error {
	var ask Ask
	if err := s.Receive(frameAsk, &ask); err != nil {
		return err
	}
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(ask.Header))
	s.SetDeadline(ask.Deadline(time.Now()).Add(time.Second))
	// The asking side gives up by resetting its stream.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.Context(), cancel)
	defer stop()
	open := func() (io.ReadCloser, error) {
		if ask.Idempotent && ask.Length == 0 {
			return noBody{}, nil
		}
		// The asking side releases the request only now: until it has seen this
		// message, nothing can have been run.
		if err := s.Send(frameAdmitted, p.Room(ask.Service)); err != nil {
			return nil, notRun(fault.Unavailable, "the asking instance is gone", "", fault.WithCause(err))
		}
		body := peer.NewBody(s)
		if ask.Length != 0 {
			return body, nil
		}
		return noBody{}, awaitGo(body)
	}
	if err := p.Serve(ctx, &ask, open, &streamSink{stream: s, pool: p, service: ask.Service}); err != nil {
		return err
	}
	return s.Send(frameRoom, p.Room(ask.Service))
}

// awaitGo waits for the end frame that releases a request without a body.
func awaitGo(body *peer.Body) error {
	var one [1]byte
	if _, err := body.Read(one[:]); err != io.EOF {
		return notRun(fault.Unavailable, "the asking instance gave the request up", "", fault.WithCause(err))
	}
	return nil
}

// holdBytes is how much of a short answer is held back to be sent at once.
const holdBytes = 16 << 10

// streamSink sends an answer to the asking instance.
type streamSink struct {
	stream  *peer.Stream
	pool    *Pool
	service string
	short   bool // the whole answer is sent at once
}

// Head sends the beginning of the answer.
func (k *streamSink) Head(h Head) error {
	h.Room = k.pool.Room(k.service)
	k.short = h.Length >= 0 && h.Length <= holdBytes
	if k.short {
		return k.stream.Hold(frameHead, h)
	}
	return k.stream.Send(frameHead, h)
}

// Write sends a part of the body.
func (k *streamSink) Write(p []byte) (int, error) {
	if k.short && k.stream.Held()+len(p) <= 2*holdBytes {
		k.stream.HoldData(p)
		return len(p), nil
	}
	if err := k.stream.SendData(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Remote asks other instances to serve requests.
type Remote struct {
	opener Opener
}

// NewRemote returns the asking side on a node.
func NewRemote(opener Opener) *Remote { return &Remote{opener: opener} }

// Serve has the owner at the target serve a request and passes the answer on to
// the sink. report is called with the owner's room whenever it tells.
func (r *Remote) Serve(
	ctx context.Context, to peer.Target, ask *Ask, open OpenBody, sink Sink, report func(Room),
) error {
	ctx, span := otel.Tracer("hickorydrum").Start(ctx, "peer")
	defer span.End()
	span.SetAttributes(attribute.String("service", ask.Service))
	s, err := r.opener.Open(ctx, to, CallServe)
	if err != nil {
		return err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	traced := *ask
	traced.Header = ask.Header.Clone()
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(traced.Header))
	a := &asking{stream: s, ask: &traced, deadline: ask.Deadline(time.Now()), sink: sink, report: report}
	return a.run(open, func() { r.opener.Renew(to) })
}

// asking is one request that another instance serves.
type asking struct {
	stream   *peer.Stream
	ask      *Ask
	deadline time.Time
	sink     Sink
	report   func(Room)

	mu       sync.Mutex
	progress fault.Progress
	headed   bool
}

// released records that the other instance may send the request upstream.
func (a *asking) released() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.progress.MarkSent()
}

// failed returns err with the outcome that this side knows. The other side's
// word counts where it gave one.
func (a *asking) failed(err error) error {
	f := fault.From(err)
	if f.Ran() != fault.RanUnknown {
		return f
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	remedy := "retry only if the request is idempotent"
	if a.progress.Ran() == fault.RanNo {
		remedy = "retry"
	}
	return fault.New(f.Kind(), f.Text(), remedy, fault.WithRan(a.progress.Ran()), fault.WithCause(err))
}

func (a *asking) run(open OpenBody, renew func()) error {
	direct := a.ask.Idempotent && a.ask.Length == 0
	if direct {
		a.released()
	}
	if err := a.stream.Send(frameAsk, a.ask); err != nil {
		return a.failed(err)
	}
	if direct {
		a.stream.Close()
		a.stream.SetDeadline(a.deadline)
		return a.answer()
	}
	if err := a.awaitVerdict(); err != nil {
		if fault.From(err).Ran() == fault.RanUnknown {
			renew()
		}
		return a.failed(err)
	}
	return a.sendAndReceive(open)
}

func (a *asking) awaitVerdict() error {
	until := time.Now().Add(verdictWait)
	if a.deadline.Before(until) {
		until = a.deadline
	}
	a.stream.SetDeadline(until)
	var room Room
	if err := a.stream.Receive(frameAdmitted, &room); err != nil {
		return err
	}
	a.report(room)
	a.stream.SetDeadline(a.deadline)
	return nil
}

func (a *asking) sendAndReceive(open OpenBody) error {
	body, err := open()
	if err != nil {
		return fault.From(err)
	}
	a.released()
	var group errgroup.Group
	group.Go(func() error {
		if err := a.sendBody(body); err != nil {
			// A body that broke must not look whole.
			if fault.KindOf(err) != fault.Unavailable {
				a.stream.Abort()
			}
			return err
		}
		return nil
	})
	err = a.answer()
	if a.ask.Length != 0 {
		// An answer may come before the end of the body.
		a.stream.StopSending()
		_ = body.Close()
	}
	if sendErr := group.Wait(); err != nil && sendErr != nil && fault.KindOf(sendErr) == fault.Broken {
		err = a.failed(sendErr)
	}
	return err
}

func (a *asking) sendBody(body io.Reader) error {
	if a.ask.Length != 0 {
		if _, err := io.Copy(dataWriter{a.stream}, body); err != nil {
			return err
		}
	}
	if err := a.stream.SendEnd(); err != nil {
		return err
	}
	a.stream.Close()
	return nil
}

// dataWriter writes data frames.
type dataWriter struct{ s *peer.Stream }

func (w dataWriter) Write(p []byte) (int, error) {
	if err := w.s.SendData(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// answer passes the answer on. Only the closing room frame proves it whole.
func (a *asking) answer() error {
	for {
		frame, data, err := a.stream.Next()
		if err != nil {
			return a.failed(err)
		}
		switch {
		case frame == frameHead && !a.headed:
			a.headed = true
			err = a.passHead(data)
		case frame == peer.FrameData && a.headed:
			_, err = a.sink.Write(data)
		case frame == frameRoom && a.headed:
			return a.passRoom(data)
		default:
			err = fault.New(fault.Broken, "a peer sent a wrong frame", "run the same version on every instance",
				fault.WithRan(fault.RanUnknown))
		}
		if err != nil {
			return a.failed(err)
		}
	}
}

func (a *asking) passHead(data []byte) error {
	var head Head
	if err := peer.Decode(data, &head); err != nil {
		return err
	}
	a.report(head.Room)
	return a.sink.Head(head)
}

func (a *asking) passRoom(data []byte) error {
	var room Room
	if err := peer.Decode(data, &room); err != nil {
		return a.failed(err)
	}
	a.report(room)
	return nil
}
