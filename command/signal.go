package command

import (
	"context"
	"os"
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

// notifySignals returns a context that is done after SIGTERM or SIGINT, and the channel of SIGHUPs.
// It is called before the first listener opens and holds until the process ends, so that SIGTERM and SIGINT
// always lead to a planned stop, also if sent more than once, and SIGHUP never ends the process.
func notifySignals(ctx context.Context) (stop context.Context, hangUps <-chan os.Signal) {
	stop, _ = signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return stop, received
}

// flush writes the queued lines of a log, as far as its destination takes them in time.
func flush(lines *event.Writer) {
	_ = lines.Close(time.Now().Add(flushTimeout)) // there is nowhere else to report lines that were not written
}
