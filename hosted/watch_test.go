package hosted

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hickorydrum/platform"
)

// storeProxy forwards the calls of one instance to the store, or refuses them.
type storeProxy struct {
	server  *httptest.Server
	refuses atomic.Bool
	mu      sync.Mutex
	calls   int // without pings and lists that may be stale
}

func newStoreProxy(c *cluster) *storeProxy {
	target, err := url.Parse(c.api.URL)
	if err != nil {
		c.t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) {} // the instance canceled its call
	p := &storeProxy{}
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.refuses.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !r.URL.Query().Has("staleOk") {
			p.mu.Lock()
			p.calls++
			p.mu.Unlock()
		}
		proxy.ServeHTTP(w, r)
	}))
	c.t.Cleanup(func() { c.closeAfterStop(p.server) })
	return p
}

func (p *storeProxy) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// startBehindProxies starts instances of one failure domain, each with a proxy of its own.
func startBehindProxies(c *cluster, instances int) ([]*member, []*storeProxy) {
	var members []*member
	var proxies []*storeProxy
	var seeds []string
	for i := range instances {
		p := newStoreProxy(c)
		m := c.startWith(fmt.Sprintf("m%d", i), "one-a", p.server.Listener.Addr().String(), seeds)
		seeds = append(seeds[:min(len(seeds), 2):min(len(seeds), 2)], fmt.Sprintf("%s:%d", m.ip, controlPort))
		members, proxies = append(members, m), append(proxies, p)
	}
	for _, m := range members {
		c.ready(m, 1)
	}
	return members, proxies
}

// evacuate starts or ends an evacuation and waits until all members have it in force.
func evacuate(c *cluster, members []*member, on bool) {
	c.t.Helper()
	key := platform.KindEvacuations + "/one-b"
	if on {
		c.put(key, []byte("{}"))
	} else {
		c.remove(key)
	}
	c.await("the evacuation at all instances", func() bool {
		for _, m := range members {
			if m.instance.planner.View().Evacuated("one-b") != on {
				return false
			}
		}
		return true
	})
}

// TestOneWatches guards against a load on the store that grows with the number of instances.
// Only one instance of a failure domain may watch: all instances must apply each change, while
// the store gets about as many calls as from a single one.
func TestOneWatches(t *testing.T) {
	t.Parallel()
	const instances, changes = 6, 8
	c := newCluster(t)
	c.configure(reads)
	c.worker("list", "one-a", nil)
	members, proxies := startBehindProxies(c, instances)
	totalCalls := func() int {
		n := 0
		for _, p := range proxies {
			n += p.count()
		}
		return n
	}
	c.await("one instance that watches", func() bool {
		n := 0
		for _, m := range members {
			if m.instance.mesh.Watches() {
				n++
			}
		}
		return n == 1
	})
	before, begun := totalCalls(), time.Now()
	for i := range changes {
		evacuate(c, members, i%2 == 0)
	}
	// One watch for each change, those that ended without a change, and the checks of one instance.
	checks := int(time.Since(begun) / members[0].instance.follower.budget().Check(0))
	most := changes + 1 + len(kinds())*(1+int(time.Since(begun)/watchWait)) + checks
	if n := totalCalls() - before; n > most {
		t.Errorf("%d calls to the store for %d changes, want at most %d", n, changes, most)
	}
}

// TestWatcherRefused makes the store refuse the watching instance, and then its successors but
// for the last one. Each time another instance must take over the watch, and all instances must
// still get the changes.
func TestWatcherRefused(t *testing.T) {
	t.Parallel()
	const instances = 4
	c := newCluster(t)
	c.configure(reads)
	c.worker("list", "one-a", nil)
	members, proxies := startBehindProxies(c, instances)
	on := true
	for range instances - 1 {
		for i, m := range members {
			if m.instance.mesh.Watches() {
				proxies[i].refuses.Store(true)
				proxies[i].server.CloseClientConnections()
				break
			}
		}
		evacuate(c, members, on)
		on = !on
	}
}
