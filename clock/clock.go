// Package clock reads a monotonic clock that also advances while the machine is
// suspended. A right that an instance holds for a limited time, such as its share of a
// request rate, thus expires on time even if the machine is suspended meanwhile.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as an instant after the Unix epoch.
// Only the difference of two such instants is meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel lacks the clock. The monotonic clock of package time is the best
		// replacement, but stops during a suspension.
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
