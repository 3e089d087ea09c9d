package fault

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestProgress checks the Execution for the sets of facts that can occur.
func TestProgress(t *testing.T) {
	tests := map[string]struct {
		sent, refused, answered bool
		want                    Execution
	}{
		"nothing happened":       {false, false, false, NotExecuted},
		"a byte was sent":        {true, false, false, MaybeExecuted},
		"refused by upstream":    {true, true, false, NotExecuted},
		"answered":               {true, false, true, Executed},
		"answered after refusal": {true, true, true, Executed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p Progress
			if test.sent {
				p.MarkSent()
			}
			if test.refused {
				p.MarkRefused()
			}
			if test.answered {
				p.MarkAnswered()
			}
			if got := p.Execution(); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func TestFromAssumesTheWorst(t *testing.T) {
	e := From(errors.New("anything"))
	if e.Execution() != MaybeExecuted || IsNotExecuted(e) {
		t.Errorf("an error of another type has the execution %s", e.Execution())
	}
}

func TestWire(t *testing.T) {
	now := time.Unix(100, 0)
	there := now.Add(time.Hour) // the receiver's clock is an hour ahead
	tests := map[string]struct {
		fault *Error
		want  *Error
	}{
		"whole": {
			New(Overloaded, "full", "wait", WithRetryAt(now.Add(2*time.Second))),
			New(Overloaded, "full", "wait", WithRetryAt(there.Add(2*time.Second))),
		},
		"unknown outcome": {New(Corrupt, "cut", "", WithExecution(MaybeExecuted)), New(Corrupt, "cut", "", WithExecution(MaybeExecuted))},
		"cause in text":   {New(Corrupt, "cut", "x", WithCause(errors.New("eof"))), New(Corrupt, "cut: eof", "x")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := test.fault.ToWire(now).Err(there)
			if diff := cmp.Diff(test.want, got, cmp.AllowUnexported(Error{})); diff != "" {
				t.Error(diff)
			}
		})
	}
	if got := (Wire{Kind: Corrupt, Execution: "maybe"}).Err(now).Execution(); got != MaybeExecuted {
		t.Errorf("an unknown execution value became %s", got)
	}
}

func TestStatus(t *testing.T) {
	tests := map[string]struct {
		fault *Error
		want  int
	}{
		"refused":              {New(Overloaded, "", ""), http.StatusServiceUnavailable},
		"unreachable, not run": {New(Unavailable, "", ""), http.StatusServiceUnavailable},
		"unreachable, unknown": {New(Unavailable, "", "", WithExecution(MaybeExecuted)), http.StatusBadGateway},
		"too late":             {New(Expired, "", "", WithExecution(MaybeExecuted)), http.StatusGatewayTimeout},
		"another kind":         {New("strange", "", ""), http.StatusInternalServerError},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.fault.Status(); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
