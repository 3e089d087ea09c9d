package command

import (
	"context"
	"io"
	"os"

	"github.com/google/subcommands"

	"hickorydrum/fault"
	"hickorydrum/requestlog"
)

// newExplain returns the command that prints the history of one request.
func newExplain(p printer) subcommands.Command {
	b := &base{
		printer: p, name: "explain", synopsis: "tell what became of a request, from logs on standard input",
		usage: "explain ID < LOG",
	}
	b.run = func(_ context.Context, args []string) error { return explain(p, args, os.Stdin) }
	return b
}

// explain writes the history of the request whose ID is the only argument, from the logs in
// in.
func explain(p printer, args []string, in io.Reader) error {
	if len(args) != 1 {
		return fault.New(fault.Invalid, "one request is needed", "name the id that the caller sent with it")
	}
	history, err := requestlog.Collect(in, args[0])
	if err != nil {
		return fault.New(fault.Invalid, "the log cannot be read", "give it lines of JSON", fault.WithCause(err))
	}
	if history.Empty() {
		return fault.New(fault.Missing, "no line is about the request "+args[0],
			"give it the logs of all instances; lines above a limit are left out (event 503), and a killed process writes none")
	}
	return history.Write(p.out)
}
