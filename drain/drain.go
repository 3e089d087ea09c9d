// Package drain carries out the planned stop of an instance, step by step, so
// that no request in flight is cut.
package drain

import (
	"context"
	"log/slog"
	"time"

	"hickorydrum/event"
)

// Step is one part of a planned stop. It returns when it is done.
type Step struct {
	name string
	run  func(ctx context.Context) error
}

// NewStep returns a step with a name for the log.
func NewStep(name string, run func(ctx context.Context) error) Step {
	return Step{name: name, run: run}
}

// Stop runs the steps in order. A step that fails does not keep the later ones
// from running: they protect requests too.
func Stop(ctx context.Context, log *slog.Logger, steps ...Step) {
	begun := time.Now()
	event.StopBegun.Log(ctx, log)
	for _, step := range steps {
		at := time.Now()
		attrs := []slog.Attr{slog.String("step", step.name)}
		if err := step.run(ctx); err != nil {
			attrs = append(attrs, slog.String("error", err.Error()))
		}
		event.StopStep.Log(ctx, log, append(attrs, slog.Duration("took", time.Since(at)))...)
	}
	event.Stopped.Log(ctx, log, slog.Duration("took", time.Since(begun)))
}

// WaitUntil returns a step that waits for an instant, such as the expiry of the
// answers that still name the instance. The instant is computed when the step
// begins.
func WaitUntil(name string, at func() time.Time) Step {
	return NewStep(name, func(ctx context.Context) error {
		timer := time.NewTimer(time.Until(at()))
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		}
	})
}

// WaitFor returns a step that waits until a condition holds or an instant passes.
func WaitFor(name string, every time.Duration, deadline func() time.Time, holds func() bool) Step {
	return NewStep(name, func(ctx context.Context) error {
		ctx, cancel := context.WithDeadline(ctx, deadline())
		defer cancel()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for !holds() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
		}
		return nil
	})
}
