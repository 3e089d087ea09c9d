package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/period"
)

const (
	probeEvery   = time.Second
	probeTimeout = 800 * time.Millisecond
	maxHealth    = 16 << 10
	probeWorkers = 32
	probeIdle    = 30 * time.Second
)

// healthPage is what an upstream tells of itself.
type healthPage struct {
	State string `json:"state"`
}

// stateDraining is the only state that is believed: it asks for less. That an
// upstream calls itself ready, or its load low, proves nothing.
const stateDraining = "draining"

// Prober asks the owned upstreams for their health.
type Prober struct {
	pool   *Pool
	client *http.Client
}

// NewProber returns a prober of the pool's upstreams.
func NewProber(pool *Pool) *Prober {
	dialer := &net.Dialer{Timeout: probeTimeout}
	if pool.bind != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: pool.bind}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: probeIdle}
	return &Prober{pool: pool, client: &http.Client{Transport: transport, Timeout: probeTimeout}}
}

// Run probes until the context is done.
func (p *Prober) Run(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	return period.Each(ctx, probeEvery, func(time.Time) { p.Probe(ctx) })
}

// Probe asks every owned upstream once.
func (p *Prober) Probe(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(probeWorkers)
	for address, path := range p.pool.owned() {
		group.Go(func() error {
			if state, err := p.ask(ctx, address, path); err == nil {
				p.pool.setDraining(address, state == stateDraining)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (p *Prober) ask(ctx context.Context, address, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return "", err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var page healthPage
	err = json.NewDecoder(io.LimitReader(resp.Body, maxHealth)).Decode(&page)
	return page.State, err
}

// owned returns the health paths of the owned upstreams by address.
func (p *Pool) owned() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]string)
	for address, w := range p.workers {
		if g := p.services[w.service]; g != nil && w.tenure.Taking() {
			out[address] = g.decl.Health()
		}
	}
	return out
}

func (p *Pool) setDraining(address string, draining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[address]
	if !ok || w.draining == draining {
		return
	}
	w.draining = draining
	p.grant(p.services[w.service], time.Now())
}
