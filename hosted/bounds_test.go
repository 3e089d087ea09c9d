package hosted

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/platform"
	"hickorydrum/server"
)

// TestBounds guards against limits on instances whose settings have none, and against servers that together take the
// descriptors that the calls to upstreams and to the store need.
func TestBounds(t *testing.T) {
	type connections struct{ Callers, Readiness, Lookups, Instances int }
	tests := map[string]struct {
		limits platform.Limits
		want   connections
	}{
		"none":                  {platform.Limits{}, connections{}},
		"descriptors":           {platform.Limits{FileDescriptors: 1024}, connections{384, 32, 64, 64}},
		"few descriptors":       {platform.Limits{FileDescriptors: 64}, connections{24, 4, 4, 4}},
		"memory":                {platform.Limits{MemoryBytes: 184_000_000}, connections{Callers: 1123}},
		"little memory":         {platform.Limits{MemoryBytes: 30_000_000, FileDescriptors: 1024}, connections{183, 32, 64, 64}},
		"many, with the memory": {platform.Limits{MemoryBytes: 184_000_000, FileDescriptors: 1 << 20}, connections{1123, 32768, 65536, 65536}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBounds(test.limits)
			if diff := cmp.Diff(test.want, connections{b.callers, b.readiness, b.lookups, b.instances}); diff != "" {
				t.Errorf("connections (-want +got):\n%s", diff)
			}
			if n := test.limits.FileDescriptors; n > 0 && 2*b.callers+b.readiness+b.lookups+b.instances > n {
				t.Errorf("the servers and the calls to upstreams take more than %d descriptors", n)
			}
			if unlimited := b.of(b.callers, b.heads) == (server.Limits{}); unlimited != (test.limits == (platform.Limits{})) {
				t.Errorf("no limits: %v", unlimited)
			}
		})
	}
}
