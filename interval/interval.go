// Package interval runs a function at an interval and sleeps, each until a context is done.
package interval

import (
	"context"
	"time"
)

// Each calls f with the time of each tick, at the given interval, until the context is
// done; it then returns nil. It drops ticks that come while f runs.
func Each(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			f(now)
		}
	}
}

// Sleep waits for the duration, or until the context is done. It reports whether the
// whole duration has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
