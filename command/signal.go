package command

import (
	"os/signal"
	"syscall"
	"time"

	"hickorydrum/event"
)

// flushTimeout is how long a process waits at its end until the lines of its log are written.
const flushTimeout = 200 * time.Millisecond

// ignoreBrokenPipes makes writes to a standard output or error that nobody reads any more fail.
// Without it such a write ends the process.
func ignoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }

// flush writes the queued lines of a log, as far as its destination takes them in time.
func flush(lines *event.Writer) {
	_ = lines.Close(time.Now().Add(flushTimeout)) // there is nowhere else to report lines that were not written
}
