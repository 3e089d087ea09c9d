package shutdown

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// connections is the number of open connections of a test.
type connections int

func (c connections) LogValue() slog.Value { return slog.IntValue(int(c)) }

// line has the fields of a log line that are checked.
type line struct {
	Message string `json:"msg"`
	Step    string `json:"step"`
	Error   string `json:"error"`
	Found   int    `json:"found"`
	Left    int    `json:"left"`
	Open    int    `json:"open"`
}

// TestStopAfterFailure guards against a failed step that keeps the later ones from running, and checks
// what the log says of each step.
func TestStopAfterFailure(t *testing.T) {
	var out bytes.Buffer
	open := connections(5)
	closeTo := func(n connections, err error) func(context.Context) error {
		return func(context.Context) error {
			open = n
			return err
		}
	}
	Stop(t.Context(), slog.New(slog.NewJSONHandler(&out, nil)), func() slog.LogValuer { return open },
		NewStep("fails", closeTo(3, errors.New("away"))), NewStep("runs", closeTo(0, nil)))
	var got []line
	for decoder := json.NewDecoder(&out); decoder.More(); {
		var l line
		if err := decoder.Decode(&l); err != nil {
			t.Fatal(err)
		}
		got = append(got, l)
	}
	want := []line{
		{Message: "planned stop begun", Open: 5},
		{Message: "planned stop step done", Step: "fails", Error: "away", Found: 5, Left: 3},
		{Message: "planned stop step done", Step: "runs", Found: 3},
		{Message: "instance stopped"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("log (-want +got):\n%s", diff)
	}
}

// TestWait guards against a step that waits longer than its condition or its deadline says.
func TestWait(t *testing.T) {
	const limit = 10 * time.Second
	for name, test := range map[string]struct {
		step   func(deadline time.Time, condition func() bool) Step
		holds  time.Duration // when the condition holds, from the begin
		took   time.Duration
		failed bool
	}{
		"until":                   {func(at time.Time, _ func() bool) Step { return WaitUntil("", func() time.Time { return at }) }, 0, limit, false},
		"for, holds":              {waitFor, time.Second, time.Second, false},
		"for, never holds":        {waitFor, time.Hour, limit, true},
		"until or, holds at once": {waitUntilOr, 0, 0, false},
		"until or, holds":         {waitUntilOr, time.Second, time.Second, false},
		"until or, does not hold": {waitUntilOr, time.Hour, limit, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				step := test.step(begun.Add(limit), func() bool { return time.Since(begun) >= test.holds })
				err := step.run(t.Context())
				if diff := cmp.Diff([]any{test.took, test.failed}, []any{time.Since(begun), err != nil}); diff != "" {
					t.Errorf("time and failure (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func waitFor(deadline time.Time, condition func() bool) Step {
	return WaitFor("", 100*time.Millisecond, func() time.Time { return deadline }, condition)
}

func waitUntilOr(deadline time.Time, condition func() bool) Step {
	return WaitUntilOr("", 100*time.Millisecond, deadline, condition)
}
