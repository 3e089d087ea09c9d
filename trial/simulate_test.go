package trial

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/fault"
)

// TestSimulate checks that a pattern runs with each policy, and that unknown patterns
// and policies are refused.
func TestSimulate(t *testing.T) {
	tests := map[string]struct {
		pattern, policy string
		kind            fault.Kind
	}{
		"homes":              {pattern: "calm", policy: policyHomes},
		"the least busy one": {pattern: "calm", policy: policyLeastBusy},
		"no such pattern":    {pattern: "calmer", policy: policyHomes, kind: fault.Invalid},
		"no such policy":     {pattern: "calm", policy: "best", kind: fault.Invalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := simulate(&out, test.pattern, test.policy, 1)
			if diff := cmp.Diff(test.kind, fault.KindOf(err)); diff != "" {
				t.Fatalf("%s: %v", diff, err)
			}
			if err == nil && !strings.Contains(out.String(), "purchase") {
				t.Errorf("the report names no kind of request:\n%s", out.String())
			}
		})
	}
}
