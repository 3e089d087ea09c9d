package server

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// start starts the requests that have arrived whole and may run. p.mu must be held.
func (p *pipeline) start() {
	for p.mayStart() {
		p.nextLen += p.next.feed(p.in[p.startedLen+p.nextLen:])
		if !p.next.ended && !p.next.irregular {
			return
		}
		from := p.startedLen
		if p.next.irregular || !p.startOne(p.in[from:from+p.nextLen]) {
			p.barred = true
			return
		}
		p.startedLen += p.nextLen
		p.next, p.nextLen = head{}, 0
	}
}

// mayStart reports whether the request behind those that were started may be started too, as far as they are
// concerned. p.mu must be held.
func (p *pipeline) mayStart() bool {
	if !p.underway || p.raw || p.barred || p.closing || p.follow == no || len(p.queue) >= maxAhead ||
		p.startedLen+p.nextLen >= len(p.in) || p.conn.server.closing.Load() {
		return false
	}
	if p.follow == notAsked {
		p.follow = no
		if p.handler.RunsAhead(p.host, p.target) {
			p.follow = yes
		}
	}
	return p.follow == yes
}

// startOne starts the request with the head, if it may run before its turn. p.mu must be held.
func (p *pipeline) startOne(b []byte) bool {
	r, ok := parseAhead(b)
	if !ok || !p.handler.RunsAhead(r.Host, r.RequestURI) {
		return false
	}
	hold, ok := p.conn.server.limits.holdHead(b)
	if !ok {
		return false
	}
	if p.cancel == nil {
		p.ctx, p.cancel = context.WithCancel(context.WithoutCancel(p.values))
	}
	r.RemoteAddr = p.conn.RemoteAddr().String()
	a := &ahead{pipeline: p, begun: time.Now(), header: make(http.Header), turn: make(chan struct{}), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.WithValue(p.ctx, aheadKey{}, a))
	a.request = r.WithContext(ctx)
	p.queue = append(p.queue, a)
	metrics.GetOrCreateCounter(`hickorydrum_requests_ahead_total{server="` + p.conn.server.name + `"}`).Inc()
	p.conn.server.ahead.Go(func() error {
		defer hold.Close()
		defer cancel()
		a.run()
		return nil
	})
	return true
}
