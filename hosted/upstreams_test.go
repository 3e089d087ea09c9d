package hosted

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/fleet"
	"hickorydrum/mirror"
	"hickorydrum/platform"
	"hickorydrum/revision"
)

// TestViewChanges guards against a line about a view that does not say which upstreams changed,
// and from where this instance has that.
func TestViewChanges(t *testing.T) {
	entry := func(id string) *mirror.Entry {
		return &mirror.Entry{Object: platform.Object{Key: platform.KindUpstreams + "/" + id}}
	}
	ready := func(number uint64, source, peer string) *decodedUpstream {
		return &decodedUpstream{revision: revision.Revision{Number: number}, upstream: fleet.Upstream{Source: source, Peer: peer}, usable: true}
	}
	draining := ready(12, "watch", "")
	draining.upstream.Draining = true
	var c viewChanges
	c.addUpdate(&decodedUpstream{}, ready(7, "peer", "10.0.0.4"), entry("i-1"))
	c.addUpdate(ready(7, "list", ""), ready(9, "list", ""), entry("i-2"))
	c.addUpdate(ready(7, "list", ""), draining, entry("i-3"))
	c.addRemoval("i-4", mirror.Origin{Source: mirror.FromWatch})
	c.addRemoval("i-5", mirror.Origin{})
	want := viewChanges{
		added: []string{"i-1 @7 peer 10.0.0.4"}, updated: []string{"i-2 @9 list"}, draining: []string{"i-3 @12 watch"},
		removed: []string{"i-4 watch", "i-5"},
		withdrawn: []withdrawn{
			{id: "i-3", revision: revision.Revision{Number: 12}}, {id: "i-4", gone: true, from: mirror.Origin{Source: mirror.FromWatch}}, {id: "i-5", gone: true},
		},
	}
	if diff := cmp.Diff(want, c, cmp.AllowUnexported(viewChanges{}, withdrawn{})); diff != "" {
		t.Error(diff)
	}
}
