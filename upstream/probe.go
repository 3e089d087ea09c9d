package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/interval"
	"hickorydrum/response"
)

const (
	probeInterval  = time.Second
	probeTimeout   = 800 * time.Millisecond
	maxHealthBytes = 16 << 10
	maxProbes      = 32 // at the same time
	probeIdle      = 30 * time.Second
	// recentUse is how long an upstream is probed after the last request was sent to it.
	recentUse = 5 * time.Second
)

// healthPage is the body of an upstream's health page.
type healthPage struct {
	State string `json:"state"`
	// Start is the Unix time of the upstream's start, in milliseconds, 0 if the page does not name it.
	Start int64 `json:"start"`
}

// stateDraining is the only state that has an effect, which is that the upstream gets no new
// requests. A page that reports the upstream as ready or its load as low is ignored, since it is
// no evidence that the upstream serves requests.
const stateDraining = "draining"

// Prober fetches the health pages of the upstreams that this instance uses.
type Prober struct {
	pool   *Pool
	client *http.Client
}

// NewProber returns a prober for the pool's upstreams.
func NewProber(pool *Pool) *Prober {
	dialer := &net.Dialer{Timeout: probeTimeout}
	if pool.bind != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: pool.bind}
	}
	return &Prober{pool: pool, client: newProbeClient(dialer.DialContext)}
}

// newProbeClient returns the client of a prober whose connections are made by dial.
func newProbeClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return response.NewClient(&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: probeIdle, MaxResponseHeaderBytes: response.MaxHeadBytes,
	}, probeTimeout)
}

// Run calls Probe every probeInterval until the context is done.
func (p *Prober) Run(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	return interval.Each(ctx, probeInterval, func(time.Time) { p.Probe(ctx) })
}

// Probe fetches the health page of each upstream that was used recently or leaves. An
// upstream whose page cannot be fetched keeps its state.
func (p *Prober) Probe(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxProbes)
	for address, path := range p.pool.probeTargets(time.Now()) {
		group.Go(func() error {
			if page, err := p.fetch(ctx, address, path); err == nil {
				p.pool.setHealth(address, page)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// fetch returns the health page at the address and path.
func (p *Prober) fetch(ctx context.Context, address, path string) (healthPage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return healthPage{}, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return healthPage{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var page healthPage
	err = json.NewDecoder(io.LimitReader(resp.Body, maxHealthBytes)).Decode(&page)
	return page, err
}

// probeTargets returns, by address, the health paths of the upstreams that were used within
// recentUse or leave.
func (p *Pool) probeTargets(now time.Time) map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]string)
	if p.set == nil {
		return out
	}
	for _, s := range p.set.Services() {
		for _, w := range s.Workers() {
			used, ok := p.lastUsed[w.Address()]
			u, known := p.view.Upstream(w.Address())
			if ok && now.Sub(used) < recentUse || known && u.Draining {
				out[w.Address()] = s.HealthPath()
			}
		}
	}
	return out
}
