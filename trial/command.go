package trial

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"hickorydrum/server"
	"hickorydrum/standin"
)

const (
	finishTimeout  = 5 * time.Second
	finishInterval = 5 * time.Millisecond // between two checks whether requests are under way
)

// Run executes the standin command line and returns the exit code of the process.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	flags.SetOutput(errOut)
	commander := subcommands.NewCommander(flags, "standin")
	commander.Output, commander.Error = out, errOut
	commander.Register(commander.HelpCommand(), "")
	for _, c := range []*command{
		platformCommand(), upstreamCommand(out), linkCommand(), loadCommand(out), tryCommand(out), slopeCommand(out),
		simulateCommand(out),
	} {
		c.errOut = errOut
		commander.Register(c, "")
	}
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return int(commander.Execute(ctx))
}

// command implements subcommands.Command for one subcommand.
type command struct {
	name, synopsis string
	flags          func(f *flag.FlagSet)
	run            func(ctx context.Context) error
	errOut         io.Writer
}

// Name returns the name of the command.
func (c *command) Name() string { return c.name }

// Synopsis returns a one-line description of the command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the usage text of the command.
func (c *command) Usage() string { return c.name + " [flags]\n  " + c.synopsis + ".\n\n" }

// SetFlags registers the flags of the command.
func (c *command) SetFlags(f *flag.FlagSet) { c.flags(f) }

// Execute runs the command.
func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		_, _ = fmt.Fprintln(c.errOut, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// serveHTTP serves HTTP on the address until ctx is done. It then finishes the requests under way,
// for at most finishTimeout, and returns nil.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	s, err := server.Listen(address, handler, httpTimeout, discardLogger)
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error {
		s.Serve()
		return nil
	})
	<-ctx.Done()
	ticker := time.NewTicker(finishInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(finishTimeout); time.Now().Before(deadline); <-ticker.C {
		_ = s.StopAccepting() // fails from the second call on, since the listener is closed
		if s.Counts().Open() == 0 {
			break
		}
	}
	return errors.Join(s.Close(), group.Wait())
}

func platformCommand() *command {
	var listen string
	return &command{
		name: "platform", synopsis: "stand in for the platform's object API",
		flags: func(f *flag.FlagSet) { f.StringVar(&listen, "listen", "127.0.0.1:7000", "address to listen on") },
		run: func(ctx context.Context) error {
			return serveHTTP(ctx, listen, standin.PlatformHandler(standin.NewStore()))
		},
	}
}

func upstreamCommand(out io.Writer) *command {
	var listen string
	var slots int
	var work time.Duration
	var seed uint64
	return &command{
		name: "upstream", synopsis: "stand in for an upstream; prints the id of each request that it runs",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&listen, "listen", "127.0.0.1:8000", "address to listen on")
			f.IntVar(&slots, "slots", 4, "requests that it runs at once")
			f.DurationVar(&work, "work", 20*time.Millisecond, "time that a request takes")
			f.Uint64Var(&seed, "seed", 1, "seed of the variation")
		},
		run: func(ctx context.Context) error {
			var mu sync.Mutex
			u := standin.NewUpstream(slots, work, seed, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				_, _ = fmt.Fprintln(out, id)
			})
			return serveHTTP(ctx, listen, u.Handler())
		},
	}
}

func linkCommand() *command {
	var routes, controlAddress string
	var domains, regions, callers time.Duration
	return &command{
		name: "link", synopsis: "relay TCP and UDP with the delays and cuts of a network",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&routes, "routes", "", "JSON file with the routes")
			f.StringVar(&controlAddress, "control", "127.0.0.1:7999", "address for POST /cut, /heal")
			f.DurationVar(&domains, "domains", 500*time.Microsecond, "round trip between failure domains")
			f.DurationVar(&regions, "regions", 20*time.Millisecond, "round trip between regions")
			f.DurationVar(&callers, "callers", 3*time.Millisecond, "round trip to callers")
		},
		run: func(ctx context.Context) error {
			data, err := os.ReadFile(routes)
			if err != nil {
				return err
			}
			var list []standin.Route
			if err := json.Unmarshal(data, &list); err != nil {
				return err
			}
			l := standin.NewLink(standin.NewRoundTripTimes(domains, regions, callers))
			var group errgroup.Group
			group.Go(func() error { return serveHTTP(ctx, controlAddress, l.Controls()) })
			group.Go(func() error { return l.Run(ctx, list, func() {}) })
			return group.Wait()
		},
	}
}

func loadCommand(out io.Writer) *command {
	var plan string
	return &command{
		name: "load", synopsis: "drive look-ups and requests, and print a report as JSON",
		flags: func(f *flag.FlagSet) { f.StringVar(&plan, "plan", "", "JSON file with the plan") },
		run: func(ctx context.Context) error {
			data, err := os.ReadFile(plan)
			if err != nil {
				return err
			}
			var p LoadPlan
			if err := json.Unmarshal(data, &p); err != nil {
				return err
			}
			l, err := NewLoad(p)
			if err != nil {
				return err
			}
			return json.NewEncoder(out).Encode(l.Run(ctx))
		},
	}
}

func tryCommand(out io.Writer) *command {
	o := TryOptions{Out: out}
	var name, faults string
	return &command{
		name: "try", synopsis: "run a whole small deployment through a planned stop and a kill",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&name, "deployment", "caltagirone", "caltagirone or valderrama")
			f.StringVar(&o.Examples, "examples", "examples", "directory of the examples")
			f.DurationVar(&o.Duration, "for", 20*time.Second, "how long the load runs")
			f.Uint64Var(&o.Seed, "seed", 1, "seed of the load and of the events")
			f.StringVar(&faults, "fault", string(FaultKill),
				fmt.Sprint("what is done beside the planned stop, one or more by commas: ", AllFaults))
			f.BoolVar(&o.JSON, "json", false, "print the report as JSON only")
			f.BoolVar(&o.Keep, "keep", false, "keep the logs")
			f.StringVar(&o.Program, "program", "", "program of hickorydrum; built when empty")
		},
		run: func(ctx context.Context) error {
			profile, ok := Profiles[name]
			if !ok {
				return fmt.Errorf("deployment %q is not known; use one of %s", name, strings.Join(profileNames(), ", "))
			}
			for _, name := range strings.Split(faults, ",") {
				if !slices.Contains(AllFaults, Fault(name)) {
					return fmt.Errorf("fault %q is not known; use one of %v", name, AllFaults)
				}
				o.Faults = append(o.Faults, Fault(name))
			}
			o.Profile = profile
			report, err := Try(ctx, o)
			if err != nil {
				return err
			}
			if o.JSON {
				err = json.NewEncoder(out).Encode(report)
			} else {
				report.Print(out)
			}
			if report.Broken() > 0 {
				return errors.Join(err, ErrBroken)
			}
			return err
		},
	}
}

// profileNames returns the sorted names of the example deployments.
func profileNames() []string {
	var names []string
	for name := range Profiles {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func slopeCommand(out io.Writer) *command {
	var page string
	return &command{
		name: "slope", synopsis: "measure how state, messages and processor time grow, and rewrite the tables of a page",
		flags: func(f *flag.FlagSet) { f.StringVar(&page, "page", "", "page to rewrite, such as docs/CAPACITY.md") },
		run:   func(ctx context.Context) error { return RunSlope(ctx, page, out) },
	}
}

var discardLogger = slog.New(slog.DiscardHandler)
