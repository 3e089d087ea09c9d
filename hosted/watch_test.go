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

// storeProxy stands between an instance and the store and can refuse its calls.
type storeProxy struct {
	server  *httptest.Server
	refuses atomic.Bool
	mu      sync.Mutex
	calls   int // but for pulses
}

func newStoreProxy(c *cluster) *storeProxy {
	target, err := url.Parse(c.api.URL)
	if err != nil {
		c.t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) {} // an instance that gave up
	g := &storeProxy{}
	g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.refuses.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !r.URL.Query().Has("staleOk") {
			g.mu.Lock()
			g.calls++
			g.mu.Unlock()
		}
		proxy.ServeHTTP(w, r)
	}))
	c.t.Cleanup(func() {
		g.server.CloseClientConnections()
		g.server.Close()
	})
	return g
}

func (g *storeProxy) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

// startBehindProxies starts instances of one failure domain, each behind a gate of its own.
func startBehindProxies(c *cluster, instances int) ([]*member, []*storeProxy) {
	var members []*member
	var gates []*storeProxy
	var seeds []string
	for i := range instances {
		g := newStoreProxy(c)
		m := c.startWith(fmt.Sprintf("m%d", i), "one-a", g.server.Listener.Addr().String(), seeds)
		seeds = append(seeds[:min(len(seeds), 2):min(len(seeds), 2)], fmt.Sprintf("%s:%d", m.ip, controlPort))
		members, gates = append(members, m), append(gates, g)
	}
	for _, m := range members {
		c.ready(m, 1)
	}
	return members, gates
}

// evacuate has a failure domain evacuated or taken back, and waits until all know it.
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

// TestOneWatches makes changes in a failure domain of many instances: all know them, and
// the store is asked as if there were one instance.
func TestOneWatches(t *testing.T) {
	t.Parallel()
	const instances, changes = 6, 8
	c := newCluster(t)
	c.configure(reads)
	c.worker("list", "one-a", nil)
	members, gates := startBehindProxies(c, instances)
	sum := func() int {
		n := 0
		for _, g := range gates {
			n += g.count()
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
	before, begun := sum(), time.Now()
	for i := range changes {
		evacuate(c, members, i%2 == 0)
	}
	// A watch for each change, and now and then one that ended without.
	most := changes + 1 + len(kinds())*(1+int(time.Since(begun)/minWatchWait))
	if n := sum() - before; n > most {
		t.Errorf("%d calls to the store for %d changes, want at most %d", n, changes, most)
	}
}

// TestWatcherRefused has the store refuse the instance that watches, and then all but one:
// the others take over and all go on learning of changes.
func TestWatcherRefused(t *testing.T) {
	t.Parallel()
	const instances = 4
	c := newCluster(t)
	c.configure(reads)
	c.worker("list", "one-a", nil)
	members, gates := startBehindProxies(c, instances)
	on := true
	for range instances - 1 {
		for i, m := range members {
			if m.instance.mesh.Watches() {
				gates[i].refuses.Store(true)
				gates[i].server.CloseClientConnections()
				break
			}
		}
		evacuate(c, members, on)
		on = !on
	}
}
