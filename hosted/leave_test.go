package hosted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hickorydrum/fleet"
	"hickorydrum/platform"
)

// inForce is how long a change that the store has acknowledged may take until an instance that
// reaches the store or another instance acts on it. It is the smallest bound that operators may set.
const inForce = 2 * time.Second

// usable reports whether an instance may send requests to the upstream with the ID.
func usable(m *member, id string) bool {
	u, ok := m.instance.planner.View().Upstream(id)
	return ok && !u.Draining
}

// TestLeaveWhileStoreRefuses guards against an instance that sends to an upstream which left
// while the store refused that instance: as the only one of its failure domain it watches the
// store, and it must ask its peers instead. What it learns must also hold once the store serves
// it again, when the entry is gone.
func TestLeaveWhileStoreRefuses(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.configure(reads)
	leaving := c.worker("list", "one-a", nil)
	c.worker("list", "one-a", nil)
	proxy := newStoreProxy(c)
	alone := c.startWith("alone", "one-b", proxy.server.Listener.Addr().String(), nil)
	c.startWith("peer", "one-a", c.api.Listener.Addr().String(), []string{fmt.Sprintf("%s:%d", alone.ip, controlPort)})
	for _, m := range c.instances {
		c.ready(m, 2)
	}
	proxy.refuses.Store(true)
	proxy.server.CloseClientConnections()
	c.await("the outage at the instance that is refused", func() bool {
		f := alone.instance.follower
		f.mu.Lock()
		defer f.mu.Unlock()
		return !f.outageSince.IsZero()
	})
	acknowledged := time.Now()
	c.register(leaving, "list", "one-a", "draining")
	c.await("the refused instance to stop sending", func() bool { return !usable(alone, leaving.ID()) })
	if took := time.Since(acknowledged); took > inForce {
		t.Errorf("the refused instance stopped sending after %s, want at most %s", took, inForce)
	}
	c.await("the lines about it", func() bool {
		return strings.Contains(alone.logs.String(), `"event":314,"upstream":"`+leaving.ID()+`","state":"leaving","source":"peer"`) &&
			strings.Contains(c.instances[1].logs.String(), `"event":314,"upstream":"`+leaving.ID()+`","state":"leaving","source":"watch"`)
	})
	c.remove(platform.KindUpstreams + "/" + leaving.ID())
	c.await("the removal at the peer", func() bool { return len(allUpstreams(c.instances[1])) == 1 })
	proxy.refuses.Store(false)
	for end := time.Now().Add(entryRetention + time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, m := range c.instances {
			if usable(m, leaving.ID()) {
				t.Fatalf("%s may send to an upstream that left, after the store serves all again", m.instance.settings.Name)
			}
		}
	}
}

func allUpstreams(m *member) []*fleet.Upstream { return m.instance.planner.View().All() }
