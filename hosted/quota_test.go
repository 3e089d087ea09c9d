package hosted

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/standin"
)

// quotaClient sends requests of client accounts and keeps when those that were executed were sent.
type quotaClient struct {
	t    *testing.T
	http *http.Client

	mu       sync.Mutex
	executed map[string][]time.Time // by account
	statuses map[string]map[int]int
	retries  []float64 // the values of Retry-After in responses with 429
}

func newQuotaClient(t *testing.T) *quotaClient {
	c := &quotaClient{
		t: t, http: &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
		executed: make(map[string][]time.Time), statuses: make(map[string]map[int]int),
	}
	t.Cleanup(c.http.CloseIdleConnections)
	return c
}

// send sends a request with the key of an account, which is its name and "-key".
func (c *quotaClient) send(m *member, account, path, id string) {
	r, err := callerRequest{path: path, id: id, header: map[string]string{"Authorization": "Bearer " + account + "-key"}}.build(m)
	if err != nil {
		c.t.Error(err)
		return
	}
	at := time.Now()
	resp, err := c.http.Do(r)
	if err != nil {
		c.t.Error(err)
		return
	}
	_ = resp.Body.Close() // only the head counts
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.statuses[account] == nil {
		c.statuses[account] = make(map[int]int)
	}
	c.statuses[account][resp.StatusCode]++
	switch resp.StatusCode {
	case http.StatusOK:
		c.executed[account] = append(c.executed[account], at)
	case http.StatusTooManyRequests:
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil || wait <= 0 {
			c.t.Errorf("Retry-After is %q", resp.Header.Get("Retry-After"))
		}
		c.retries = append(c.retries, wait)
	}
}

// most returns the largest number of executed requests of an account in a window.
func (c *quotaClient) most(account string, window time.Duration) int {
	times := c.executed[account]
	slices.SortFunc(times, time.Time.Compare)
	most, last := 0, 0
	for first, at := range times {
		for last < len(times) && times[last].Sub(at) < window {
			last++
		}
		most = max(most, last-first)
	}
	return most
}

// TestQuotaOverInstances guards against an account that gets more than its quota from all instances together, against one
// that gets hardly any of it, and against a small account with one caller that is rejected meanwhile.
func TestQuotaOverInstances(t *testing.T) {
	const (
		rate, burst = 8.0, 4.0
		offered     = 40.0 // a second, at all instances
		window      = 5 * time.Second
		settle      = 3 * time.Second
		play        = 11 * time.Second
		bound       = (rate*5+burst)*1.1 + 20 // by the defaults of the settings
		least       = 0.7
	)
	c := newCluster(t)
	w := c.worker("list", "one-a", func(w *standin.WorkerConfig) { w.Slots, w.Queue = 60, 60 })
	members := []*member{c.start("a", "one-a"), c.start("b", "one-a"), c.start("c", "one-b")}
	c.configureAccounts([]testAccount{
		{name: "bakery", keys: []string{"bakery-key"}, rate: rate, burst: burst},
		{name: "florist", keys: []string{"florist-key"}, rate: 5, burst: 2},
		{name: "grocer", keys: []string{"grocer-key"}},
	}, reads)
	for _, m := range members {
		c.ready(m, 1)
	}
	time.Sleep(window) // before, the buckets count as empty
	client := newQuotaClient(t)
	begun := time.Now()
	var group errgroup.Group
	paced := func(m *member, account string, perSecond float64) {
		group.Go(func() error {
			for n := 0; time.Since(begun) < play; n++ {
				client.send(m, account, "/read/x", fmt.Sprintf("%s-%s-%d", account, m.ip, n))
				time.Sleep(time.Duration(float64(time.Second) / perSecond))
			}
			return nil
		})
	}
	for _, m := range members {
		paced(m, "bakery", offered/float64(len(members)))
	}
	paced(members[2], "florist", 2.5)
	paced(members[1], "grocer", 20)
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if n := client.most("bakery", window); float64(n) > bound {
		t.Errorf("%d requests in %s, want at most %.0f", n, window, bound)
	}
	used := 0
	for _, at := range client.executed["bakery"] {
		if at.Sub(begun) >= settle {
			used++
		}
	}
	if allowed := rate * (play - settle).Seconds(); float64(used) < least*allowed {
		t.Errorf("%d requests were executed, want at least %.0f", used, least*allowed)
	}
	for _, account := range []string{"florist", "grocer"} {
		if n := client.statuses[account][http.StatusTooManyRequests]; n > 0 {
			t.Errorf("%d requests of %s, which is below its quota, were rejected", n, account)
		}
	}
	if len(client.retries) == 0 || w.Header(fmt.Sprintf("bakery-%s-0", members[0].ip)) == nil {
		t.Errorf("no request was rejected, or the first one did not reach the upstream: %v", client.statuses)
	}
	t.Logf("%v, at most %d in %s, %d of %.0f used", client.statuses, client.most("bakery", window), window, used, rate*(play-settle).Seconds())
}

// TestQuotaReturned guards against requests that count against the quota although no upstream could execute them.
func TestQuotaReturned(t *testing.T) {
	c := newCluster(t)
	w := c.worker("list", "one-a", nil)
	m := c.start("a", "one-a")
	c.configureAccounts([]testAccount{{name: "bakery", keys: []string{"bakery-key"}, rate: 1, burst: 1}},
		reads, testRoute{prefix: "/none/", kind: "safe", service: "none"})
	c.ready(m, 1)
	time.Sleep(5 * time.Second) // the window of the quota: before, the bucket counts as empty
	client := newQuotaClient(t)
	const refused = 60
	for n := range refused {
		client.send(m, "bakery", "/none/x", fmt.Sprintf("none-%d", n))
	}
	if got := client.statuses["bakery"]; got[http.StatusServiceUnavailable] != refused {
		t.Errorf("without an upstream, the statuses are %v", got)
	}
	client.send(m, "bakery", "/read/x", "last")
	if w.Runs("last") != 1 {
		t.Errorf("a request after them is not executed: %v", client.statuses["bakery"])
	}
}
