package hosted

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"hickorydrum/gossip"
	"hickorydrum/platform"
	"hickorydrum/standin"
)

// TestStoreFromCopy guards against an instance that stays at an old configuration after the store came back from a copy,
// since revisions that are given out again look old to it, and that calls the store without a pause meanwhile.
func TestStoreFromCopy(t *testing.T) {
	const mostCalls = 100
	store := standin.NewStore()
	api := httptest.NewServer(standin.PlatformHandler(store))
	defer api.Close()
	client := platform.New(api.URL)
	defer client.Close()
	write := func(key, value string) {
		t.Helper()
		o, _ := store.Get(t.Context(), key) // a missing object has the zero version
		if _, err := store.Put(t.Context(), key, []byte(value), o.Version); err != nil {
			t.Fatal(err)
		}
	}
	const configuration, upstream, added = platform.KindConfiguration + "/main", platform.KindUpstreams + "/i-1", platform.KindUpstreams + "/i-2"
	write(configuration, `"r1"`)
	write(upstream, `"ready"`)
	f := newFollower(client, &soloMesh{}, 1, slog.New(slog.DiscardHandler), func(string) {})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return f.run(ctx) })
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	value := func(key string) string {
		for _, kind := range kinds() {
			objects, _ := f.objects(kind)
			for _, o := range objects {
				if o.Key == key {
					return string(o.Value)
				}
			}
		}
		return ""
	}
	await := func(what string, want map[string]string) {
		t.Helper()
		got := make(map[string]string)
		for until := time.Now().Add(defaultBound); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			for key := range want {
				got[key] = value(key)
			}
			if cmp.Equal(want, got) {
				return
			}
		}
		t.Fatalf("%s: after %s: %s", what, defaultBound, cmp.Diff(want, got))
	}
	await("the start", map[string]string{configuration: `"r1"`, upstream: `"ready"`})
	backup := store.Copy()
	for _, version := range []string{`"r2"`, `"r3"`, `"r4"`} {
		write(configuration, version)
	}
	await("before the drill", map[string]string{configuration: `"r4"`})
	store.Restore(backup)
	write(configuration, `"r5"`)
	write(added, `"ready"`)
	await("after the drill", map[string]string{configuration: `"r5"`, upstream: `"ready"`, added: `"ready"`})
	if reads, _ := store.Calls(); reads > mostCalls {
		t.Errorf("%d calls to the store, want at most %d", reads, mostCalls)
	}
}

// TestKindsOfNotices guards against eras that notices drop since another number of kinds is followed than they carry.
func TestKindsOfNotices(t *testing.T) {
	if got := len(kinds()); got != gossip.StoreKinds {
		t.Errorf("%d kinds are followed, notices carry %d", got, gossip.StoreKinds)
	}
}

// TestEarlierStart guards against an upstream that gets requests again, although its process has ended, since a copy of the
// store has the entry of a start before the one that drained or was removed.
func TestEarlierStart(t *testing.T) {
	entry := func(start int, state string) platform.Object {
		return platform.Object{Key: platform.KindUpstreams + "/a", Value: fmt.Appendf(nil,
			`{"address":"10.9.0.1:80","born":%d,"info":{"service":"s","zone":"z","slots":4},"status":{"state":%q}}`, start, state)}
	}
	tests := map[string]struct {
		known, copied platform.Object
		hides, keeps  bool
	}{
		"the same start":          {entry(2, "draining"), entry(2, "ready"), true, true},
		"an earlier start":        {entry(2, "draining"), entry(1, "ready"), true, true},
		"a later start":           {entry(1, "draining"), entry(2, "ready"), false, false},
		"no known start":          {entry(0, "draining"), entry(2, "ready"), false, false},
		"the known one is ready":  {entry(2, "ready"), entry(1, "ready"), true, false},
		"both drain":              {entry(2, "draining"), entry(1, "draining"), true, false},
		"one that cannot be read": {entry(2, "draining"), platform.Object{Key: platform.KindUpstreams + "/a"}, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := noLaterStart(test.known, test.copied); got != test.hides {
				t.Errorf("a removed one stays hidden: %t, want %t", got, test.hides)
			}
			if got := leavesStill(test.known, test.copied); got != test.keeps {
				t.Errorf("the known entry is kept: %t, want %t", got, test.keeps)
			}
		})
	}
}
