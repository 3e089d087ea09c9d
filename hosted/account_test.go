package hosted

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/standin"
)

var twoAccounts = []testAccount{
	{name: "bakery", keys: []string{"bakery-key-1", "bakery-key-2"}},
	{name: "florist", keys: []string{"florist-key"}, homes: []string{"two"}},
}

// identity is what an upstream receives about the caller.
type identity struct {
	Status      int
	Name        string // of the client account
	Credentials int    // headers with a key
}

// TestAccounts guards against requests without a known key that are run, and against upstreams that get a key, or
// another account than that of the key.
func TestAccounts(t *testing.T) {
	c := newCluster(t)
	w := c.worker("list", "one-a", nil)
	m := c.start("a", "one-a")
	c.configureAccounts(twoAccounts, reads, testRoute{prefix: "/open/", kind: "safe", service: "list", anonymous: true})
	c.ready(m, 1)
	tests := map[string]struct {
		path   string
		header map[string]string
		want   identity
	}{
		"first key":                    {"/read/x", map[string]string{"Authorization": "Bearer bakery-key-1"}, identity{200, "bakery", 0}},
		"second key":                   {"/read/x", map[string]string{"Authorization": "Bearer bakery-key-2"}, identity{200, "bakery", 0}},
		"scheme in lower case":         {"/read/x", map[string]string{"Authorization": "bearer bakery-key-1"}, identity{200, "bakery", 0}},
		"the caller names an account":  {"/read/x", map[string]string{"Authorization": "Bearer bakery-key-1", "Hickorydrum-Tenant": "florist"}, identity{200, "bakery", 0}},
		"named as a hop-by-hop header": {"/read/x", map[string]string{"Authorization": "Bearer bakery-key-1", "Connection": "Hickorydrum-Tenant"}, identity{200, "bakery", 0}},
		"no key":                       {"/read/x", nil, identity{Status: 401}},
		"unknown key":                  {"/read/x", map[string]string{"Authorization": "Bearer other"}, identity{Status: 401}},
		"another scheme":               {"/read/x", map[string]string{"Authorization": "Basic bakery-key-1"}, identity{Status: 401}},
		"only the account's name":      {"/read/x", map[string]string{"Hickorydrum-Tenant": "bakery"}, identity{Status: 401}},
		"no route":                     {"/none/x", nil, identity{Status: 404}},
		"anonymous":                    {"/open/x", nil, identity{200, "", 0}},
		"anonymous with a name":        {"/open/x", map[string]string{"Hickorydrum-Tenant": "bakery"}, identity{200, "", 0}},
		"anonymous with unknown key":   {"/open/x", map[string]string{"Authorization": "Bearer other"}, identity{200, "", 0}},
		"anonymous with a key":         {"/open/x", map[string]string{"Authorization": "Bearer bakery-key-1"}, identity{200, "bakery", 0}},
		"home regions elsewhere":       {"/read/x", map[string]string{"Authorization": "Bearer florist-key"}, identity{Status: 503}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			id := "id-" + strings.ReplaceAll(name, " ", "-")
			got := identity{Status: c.send(m, callerRequest{path: test.path, id: id, header: test.header}).Status}
			if header := w.Header(id); header != nil {
				got.Name, got.Credentials = header.Get("Hickorydrum-Tenant"), len(header.Values("Authorization"))
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
	if logs := m.logs.String(); strings.Contains(logs, "bakery-key") {
		t.Error("a key stands in the log")
	}
}

// TestNoAccounts guards against deployments without client accounts that lose headers of their callers.
func TestNoAccounts(t *testing.T) {
	c := newCluster(t)
	w := c.worker("list", "one-a", nil)
	m := c.start("a", "one-a")
	c.configure(reads)
	c.ready(m, 1)
	header := map[string]string{"Authorization": "Bearer own", "Hickorydrum-Tenant": "own"}
	c.send(m, callerRequest{path: "/read/x", id: "1", header: header})
	got := w.Header("1")
	if got.Get("Authorization") != "Bearer own" || got.Get("Hickorydrum-Tenant") != "own" {
		t.Errorf("the upstream got %v", got)
	}
}

// TestKeyWithdrawn guards against a key that still works after it was withdrawn: on an open connection, at an instance
// that starts while the store is away, and once it has moved to another account.
func TestKeyWithdrawn(t *testing.T) {
	c := newCluster(t)
	w := c.worker("list", "one-a", nil)
	m := c.start("a", "one-a")
	c.configureAccounts(twoAccounts, reads)
	c.ready(m, 1)
	first := map[string]string{"Authorization": "Bearer bakery-key-1"}
	second := map[string]string{"Authorization": "Bearer bakery-key-2"}
	open := &http.Client{Timeout: waitTimeout}
	defer open.CloseIdleConnections()
	status := func(m *member, id string, header map[string]string) int {
		r, err := callerRequest{path: "/read/x", id: id, header: header}.build(m)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := open.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close() // only the status counts
		return resp.StatusCode
	}
	if got := status(m, "before", first); got != 200 {
		t.Fatalf("a valid key gets status %d", got)
	}
	moved := []testAccount{{name: "bakery", keys: []string{"bakery-key-3"}}, {name: "florist", keys: []string{"bakery-key-2"}}}
	c.configureAccounts(moved, reads)
	c.await("the new configuration", func() bool { return m.instance.planner.Table().Version() == c.version })
	if got := status(m, "withdrawn", first); got != 401 {
		t.Errorf("a withdrawn key gets status %d", got)
	}
	if got := status(m, "moved", second); got != 200 || w.Header("moved").Get("Hickorydrum-Tenant") != "florist" {
		t.Errorf("a key that moved gets status %d and the account %q", got, w.Header("moved").Get("Hickorydrum-Tenant"))
	}
	c.store.Fail(standin.StoreDown, 1_000_000)
	late := c.start("b", "one-a")
	c.ready(late, 1)
	if got := status(late, "late", first); got != 401 {
		t.Errorf("at an instance that starts without the store, a withdrawn key gets status %d", got)
	}
}
