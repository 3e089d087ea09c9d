// Package period repeats work at an interval, and waits.
package period

import (
	"context"
	"time"
)

// Each calls f with the instant of each tick until the context is done. Ticks that
// come while f runs are dropped.
func Each(ctx context.Context, every time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(every)
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

// Sleep waits for a while, or until the context is done. It reports whether the whole
// time has passed.
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
