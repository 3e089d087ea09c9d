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
	// usedLately is how long ago a request must have gone to an upstream for it to be
	// probed.
	usedLately = 5 * time.Second
)

// healthPage is what an upstream tells of itself.
type healthPage struct {
	State string `json:"state"`
}

// stateDraining is the only state that is believed: it asks for less. That an
// upstream calls itself ready, or its load low, proves nothing.
const stateDraining = "draining"

// Prober asks the upstreams that this instance uses for their health.
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

// Probe asks every upstream that was used lately once.
func (p *Prober) Probe(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(probeWorkers)
	for address, path := range p.pool.used(time.Now()) {
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

// used returns the health paths of the upstreams that were used lately, and of
// those that were draining, by address.
func (p *Pool) used(now time.Time) map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]string)
	if p.set == nil {
		return out
	}
	for _, s := range p.set.Services() {
		for _, w := range s.Workers() {
			if used, ok := p.usedAt[w.Address()]; ok && now.Sub(used) < usedLately || p.draining[w.Address()] {
				out[w.Address()] = s.HealthPath()
			}
		}
	}
	return out
}
