// Package shutdown runs the steps of the planned stop of an instance one after another, so that
// requests in flight finish.
package shutdown

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"hickorydrum/event"
	"hickorydrum/interval"
)

// Step is one step of a planned stop. Its function returns when the step is done.
type Step struct {
	name string
	run  func(ctx context.Context) error
}

// NewStep returns a step that calls run. The name is used in the log.
func NewStep(name string, run func(ctx context.Context) error) Step {
	return Step{name: name, run: run}
}

// Stop runs the steps in order. After a step fails, the later steps still run, since they protect
// requests too; the error is logged. open returns the connections and requests that are open; the
// log lines have what each step found and left.
func Stop(ctx context.Context, log *slog.Logger, open func() slog.LogValuer, steps ...Step) {
	begun := time.Now()
	event.StopBegun.Log(ctx, log, slog.Any("open", open()))
	for _, step := range steps {
		start := time.Now()
		attrs := []slog.Attr{slog.String("step", step.name), slog.Any("found", open())}
		if err := step.run(ctx); err != nil {
			attrs = append(attrs, slog.String("error", err.Error()))
		}
		event.StopStep.Log(ctx, log, append(attrs, slog.Any("left", open()), slog.Duration("took", time.Since(start)))...)
	}
	event.Stopped.Log(ctx, log, slog.Any("open", open()), slog.Duration("took", time.Since(begun)))
}

// WaitUntil returns a step that waits until the time that deadline returns, such as the expiry of
// the look-up responses that still name the instance. It calls deadline once, when it begins.
func WaitUntil(name string, deadline func() time.Time) Step {
	return NewStep(name, func(ctx context.Context) error {
		if !interval.Sleep(ctx, time.Until(deadline())) {
			return ctx.Err()
		}
		return nil
	})
}

// WaitFor returns a step that checks a condition at the given interval until it holds. The step
// fails if the deadline passes first. It calls deadline once, when it begins.
func WaitFor(name string, every time.Duration, deadline func() time.Time, condition func() bool) Step {
	return NewStep(name, func(ctx context.Context) error {
		ctx, cancel := context.WithDeadline(ctx, deadline())
		defer cancel()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for !condition() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
		}
		return nil
	})
}

// WaitUntilOr returns a step that checks a condition at the given interval until it holds, at the latest
// until the deadline. Unlike WaitFor it does not fail then.
func WaitUntilOr(name string, every time.Duration, deadline time.Time, condition func() bool) Step {
	wait := WaitFor(name, every, func() time.Time { return deadline }, condition)
	return NewStep(name, func(ctx context.Context) error {
		err := wait.run(ctx)
		if errors.Is(err, context.DeadlineExceeded) {
			return nil
		}
		return err
	})
}
