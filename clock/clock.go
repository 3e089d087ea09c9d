// Package clock tells the time on a clock that runs through a suspension of the machine,
// so that what is allowed until an instant has ended when the machine wakes up after it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the instant on that clock. Only differences between its instants mean
// anything: it begins when the machine starts.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// A kernel without that clock: the steady one is the nearest.
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
