package command

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"hickorydrum/event"
	"hickorydrum/hosted"
	"hickorydrum/setting"
)

// newHost returns the command that runs an instance that gets its configuration and its
// upstreams from the users' platform, see package hosted.
func newHost(p printer) subcommands.Command {
	b := &base{
		printer: p, name: "host", synopsis: "run an instance on the users' platform until SIGTERM",
		usage: "host [settings]", settings: setting.Host(),
	}
	b.run = func(ctx context.Context, _ []string) error {
		ignoreBrokenPipes()
		stop, hangUps := notifySignals(ctx)
		lines := event.NewWriter(os.Stdout)
		defer flush(lines)
		i, err := hosted.New(b.settings.Value("node-file"), b.settings.Logger(lines))
		if err != nil {
			return err
		}
		if limit := i.MemoryLimit(); limit > 0 {
			debug.SetMemoryLimit(limit)
		}
		return i.Run(stop, hangUps)
	}
	return b
}
