package entry

import (
	"context"
	"io"
	"sync"

	"golang.org/x/time/rate"

	"hickorydrum/dispatch"
	"hickorydrum/roster"
	"hickorydrum/steering"
)

// linkBurst is how many bytes may pass at once; it is one copy buffer or more.
const linkBurst = 256 << 10

// links keeps this instance's part of the declared rates between its region and
// the others. Each instance takes an equal part, so that the sum needs no
// agreement.
type links struct {
	region string

	mu    sync.Mutex
	pairs map[string]*pair
}

// pair limits both directions of one link.
type pair struct {
	out *rate.Limiter
	in  *rate.Limiter
}

func newLinks(region string) *links { return &links{region: region, pairs: make(map[string]*pair)} }

// update takes in the declared rates and the number of instances that share them.
func (l *links) update(t *steering.Table, view *roster.View) {
	parts := max(1, len(view.Present(l.region)))
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := make(map[string]bool)
	for _, link := range t.Set().Links() {
		a, b := link.Ends()
		far := b
		if b == l.region {
			far = a
		}
		if a != l.region && b != l.region {
			continue
		}
		seen[far] = true
		limit := rate.Limit(link.Rate() / float64(parts))
		p, ok := l.pairs[far]
		if !ok {
			p = &pair{out: rate.NewLimiter(limit, linkBurst), in: rate.NewLimiter(limit, linkBurst)}
			l.pairs[far] = p
		}
		p.out.SetLimit(limit)
		p.in.SetLimit(limit)
	}
	for far := range l.pairs {
		if !seen[far] {
			delete(l.pairs, far)
		}
	}
}

// to returns the limits towards a region, or nil when there are none.
func (l *links) to(region string) *pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pairs[region]
}

func wait(ctx context.Context, limiter *rate.Limiter, n int) error {
	for n > 0 {
		part := min(n, linkBurst)
		if err := limiter.WaitN(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

// pacedSink passes an answer on no faster than the link allows.
type pacedSink struct {
	dispatch.Sink
	ctx     context.Context
	limiter *rate.Limiter
}

func (s *pacedSink) Write(p []byte) (int, error) {
	if err := wait(s.ctx, s.limiter, len(p)); err != nil {
		return 0, err
	}
	return s.Sink.Write(p)
}

// pacedBody reads a request's body no faster than the link allows.
type pacedBody struct {
	io.ReadCloser
	ctx     context.Context
	limiter *rate.Limiter
}

func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), linkBurst)])
	if waitErr := wait(b.ctx, b.limiter, n); waitErr != nil {
		return n, waitErr
	}
	return n, err
}

// paced returns the body and the sink under the limits of the link to a region.
func (l *links) paced(
	ctx context.Context, region string, body io.ReadCloser, sink dispatch.Sink,
) (io.ReadCloser, dispatch.Sink) {
	p := l.to(region)
	if p == nil || region == l.region {
		return body, sink
	}
	return &pacedBody{ReadCloser: body, ctx: ctx, limiter: p.out}, &pacedSink{Sink: sink, ctx: ctx, limiter: p.in}
}
