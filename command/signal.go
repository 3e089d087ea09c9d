package command

import (
	"os/signal"
	"syscall"
)

// ignoreBrokenPipes makes writes to a standard output or error that nobody reads any more fail.
// Without it such a write ends the process.
func ignoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }
