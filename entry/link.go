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

// linkBurst is the burst of a link's rate limit, in bytes. It must not be less than one
// copy buffer, so that one wait is enough for it; waitBytes splits larger parts.
const linkBurst = 256 << 10

// links limits the traffic of this instance on the declared links between its region and
// others. Each instance of the region uses an equal part of a link's rate, so that the sum
// stays within it although the instances do not coordinate.
type links struct {
	region string

	mu       sync.Mutex
	limiters map[string]*linkLimiters // by the region at the other end
}

// linkLimiters limits the two directions of one link.
type linkLimiters struct {
	out *rate.Limiter
	in  *rate.Limiter
}

func newLinks(region string) *links {
	return &links{region: region, limiters: make(map[string]*linkLimiters)}
}

// update sets the limits from the declared rates and the number of instances in the region.
func (l *links) update(t *steering.Table, view *roster.View) {
	instances := max(1, len(view.Present(l.region)))
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := make(map[string]bool)
	for _, link := range t.Set().Links() {
		a, b := link.Ends()
		remote := b
		if b == l.region {
			remote = a
		}
		if a != l.region && b != l.region {
			continue
		}
		seen[remote] = true
		limit := rate.Limit(link.Rate() / float64(instances))
		p, ok := l.limiters[remote]
		if !ok {
			p = &linkLimiters{out: rate.NewLimiter(limit, linkBurst), in: rate.NewLimiter(limit, linkBurst)}
			l.limiters[remote] = p
		}
		p.out.SetLimit(limit)
		p.in.SetLimit(limit)
	}
	for remote := range l.limiters {
		if !seen[remote] {
			delete(l.limiters, remote)
		}
	}
}

// limitersTo returns the limiters of the link to a region, or nil if it has none.
func (l *links) limitersTo(region string) *linkLimiters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiters[region]
}

// waitBytes waits until n bytes may pass the limiter.
func waitBytes(ctx context.Context, limiter *rate.Limiter, n int) error {
	for n > 0 {
		part := min(n, linkBurst)
		if err := limiter.WaitN(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

// throttledSink writes a response no faster than the link allows.
type throttledSink struct {
	dispatch.Sink
	ctx     context.Context
	limiter *rate.Limiter
}

func (s *throttledSink) Write(p []byte) (int, error) {
	if err := waitBytes(s.ctx, s.limiter, len(p)); err != nil {
		return 0, err
	}
	return s.Sink.Write(p)
}

// throttledBody reads a request's body no faster than the link allows.
type throttledBody struct {
	io.ReadCloser
	ctx     context.Context
	limiter *rate.Limiter
}

func (b *throttledBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), linkBurst)])
	if waitErr := waitBytes(b.ctx, b.limiter, n); waitErr != nil {
		return n, waitErr
	}
	return n, err
}

// throttle returns the body and the sink under the limits of the link to a region, or as
// they are if the link has no declared rate.
func (l *links) throttle(
	ctx context.Context, region string, body io.ReadCloser, sink dispatch.Sink,
) (io.ReadCloser, dispatch.Sink) {
	p := l.limitersTo(region)
	if p == nil || region == l.region {
		return body, sink
	}
	return &throttledBody{ReadCloser: body, ctx: ctx, limiter: p.out}, &throttledSink{Sink: sink, ctx: ctx, limiter: p.in}
}
