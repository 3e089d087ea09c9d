// Package command implements the command line of hickorydrum.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"time"

	"github.com/google/subcommands"

	"hickorydrum/declaration"
	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/instance"
	"hickorydrum/platform"
	"hickorydrum/response"
	"hickorydrum/rollout"
	"hickorydrum/setting"
)

// Version is the version of the program.
const Version = "0.1.0"

const (
	callTimeout = 10 * time.Second
	// maxResponseBytes bounds the body of an instance's response.
	maxResponseBytes = 64 << 20
	// maxQuoted is how many characters of a response that reports an error are printed.
	maxQuoted = 200
)

// Run runs the command line args and returns the exit code: 0 for success, 1 for a failure,
// 2 for an invalid command line, settings or files.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("hickorydrum", flag.ContinueOnError)
	flags.SetOutput(errOut)
	commander := subcommands.NewCommander(flags, "hickorydrum")
	commander.Output, commander.Error = out, errOut
	p := printer{out: out, err: errOut}
	commander.Register(commander.HelpCommand(), "")
	for _, c := range []subcommands.Command{
		newServe(p), newHost(p), newCheck(p), newPlan(p), newApply(p), newStatus(p), newLookup(p), newExplain(p), newCertify(p), newVersion(p),
	} {
		commander.Register(c, "")
	}
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

// printer writes results to out and faults to err.
type printer struct {
	out, err io.Writer
}

func (p printer) printf(format string, args ...any) { _, _ = fmt.Fprintf(p.out, format, args...) }

// fail prints a fault, as far as the error output takes it in time, and returns the exit code
// for it.
func (p printer) fail(err error) subcommands.ExitStatus {
	lines := event.NewWriter(p.err)
	_, _ = fmt.Fprintln(lines, err) // an event.Writer never fails
	flush(lines)
	var problems declaration.Problems
	if errors.As(err, &problems) || fault.KindOf(err) == fault.Invalid {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// base is the common part of the commands; it implements subcommands.Command.
type base struct {
	printer
	name     string
	synopsis string
	usage    string
	settings *setting.Table
	run      func(ctx context.Context, args []string) error
}

// Name returns the name of the command.
func (b *base) Name() string { return b.name }

// Synopsis returns one line about the command.
func (b *base) Synopsis() string { return b.synopsis }

// Usage returns the usage line and the synopsis.
func (b *base) Usage() string { return b.usage + "\n  " + b.synopsis + ".\n\n" }

// SetFlags declares a flag for each setting of the command.
func (b *base) SetFlags(f *flag.FlagSet) {
	if b.settings != nil {
		b.settings.SetFlags(f)
	}
}

// Execute checks the settings and runs the command.
func (b *base) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if b.settings != nil {
		if err := b.settings.Check(); err != nil {
			return b.fail(err)
		}
	}
	if err := b.run(ctx, f.Args()); err != nil {
		return b.fail(err)
	}
	return subcommands.ExitSuccess
}

// newServe returns the command that runs an instance.
func newServe(p printer) subcommands.Command {
	b := &base{
		printer: p, name: "serve", synopsis: "run an instance until SIGTERM, then stop it without cutting a request",
		usage: "serve [settings]", settings: setting.Serve(),
	}
	b.run = func(ctx context.Context, _ []string) error {
		ignoreBrokenPipes()
		stop, _ := notifySignals(ctx) // a SIGHUP has no effect: the keys are read again whenever they change
		lines := event.NewWriter(os.Stderr)
		defer flush(lines)
		i, err := instance.New(b.settings, b.settings.Logger(lines))
		if err != nil {
			return err
		}
		return i.Run(stop)
	}
	return b
}

// loadDir reads and checks the declarations in the directory that is the only argument.
func loadDir(args []string) (*declaration.Set, error) {
	if len(args) != 1 {
		return nil, fault.New(fault.Invalid, "one directory is needed", "name the directory with the .yaml files")
	}
	return declaration.Load(args[0])
}

// runOnStore sets the run function of a command with the setting platform: it calls run with the
// platform's store and with the declarations in the directory that is the only argument.
func (b *base) runOnStore(run func(ctx context.Context, store *platform.Client, set *declaration.Set) error) {
	b.run = func(ctx context.Context, args []string) error {
		set, err := loadDir(args)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return run(ctx, platform.New(b.settings.Value("platform")), set)
	}
}

// newCheck returns the command that checks declarations.
func newCheck(p printer) subcommands.Command {
	b := &base{printer: p, name: "check", synopsis: "check a directory of declarations offline", usage: "check DIR"}
	b.run = func(_ context.Context, args []string) error {
		set, err := loadDir(args)
		if err != nil {
			return err
		}
		b.printf("%d declarations are in order: %d regions, %d services, %d blocks; digest %.12s\n",
			len(set.Records()), len(set.Regions()), len(set.Services()), len(set.Blocks()), set.Digest())
		return nil
	}
	return b
}

// newPlan returns the command that prints what an apply would change.
func newPlan(p printer) subcommands.Command {
	b := &base{
		printer: p, name: "plan", synopsis: "tell what an apply would change, what it moves and how long the caps make it take",
		usage: "plan -platform URL DIR", settings: setting.NewTable(setting.Platform()),
	}
	b.runOnStore(func(ctx context.Context, store *platform.Client, set *declaration.Set) error {
		old, at, err := rollout.Load(ctx, store)
		if err != nil {
			return err
		}
		b.printf("%s", planText(old, at.Number, set, time.Now()))
		return nil
	})
	return b
}

// newApply returns the command that applies declarations as one revision.
func newApply(p printer) subcommands.Command {
	b := &base{
		printer: p, name: "apply", synopsis: "apply a directory of declarations as one revision",
		usage: "apply -platform URL DIR", settings: setting.NewTable(setting.Platform()),
	}
	b.runOnStore(func(ctx context.Context, store *platform.Client, set *declaration.Set) error {
		current, head, err := rollout.Current(ctx, store)
		if err != nil {
			return err
		}
		if !current.IsZero() && head.Digest == set.Digest() {
			b.printf("revision %d holds these declarations already\n", current.Number)
			return nil
		}
		applied, err := rollout.Apply(ctx, store, set, current, currentUser(), time.Now())
		if err != nil {
			return err
		}
		b.printf("revision %d is accepted: %d declarations, digest %.12s\n", applied.Number, len(set.Records()), set.Digest())
		return nil
	})
	return b
}

// currentUser returns the name of the operating system's user, which a revision records as
// its author.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// newStatus returns the command that prints the status of all instances.
func newStatus(p printer) subcommands.Command {
	b := &base{
		printer: p, name: "status", synopsis: "tell which revision is in force where, drains, shares and headroom",
		usage: "status -instance ADDRESS", settings: setting.NewTable(setting.Instance()),
	}
	b.run = func(ctx context.Context, _ []string) error {
		var all []instance.Status
		if err := getJSON(ctx, "http://"+b.settings.Value("instance")+"/status?all=1", &all); err != nil {
			return err
		}
		b.printf("%s", statusText(all))
		return nil
	}
	return b
}

// client calls instances. Each call has a deadline of its own.
var client = response.NewClient(&http.Transport{MaxResponseHeaderBytes: response.MaxHeadBytes}, 0)

// getJSON decodes the response to a GET request into the variable that into points to. Any
// status but 200 is an error.
func getJSON(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fault.New(fault.Invalid, "the address is not usable", "write it such as 10.1.0.4:8080", fault.WithCause(err))
	}
	resp, err := client.Do(req)
	if err != nil {
		return fault.New(fault.Unavailable, "the instance does not answer", "name another instance", fault.WithCause(err))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := response.ReadBody(resp, maxResponseBytes)
	if err != nil {
		return fault.New(fault.Corrupt, "the instance's response cannot be read", "name another instance", fault.WithCause(err))
	}
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, fmt.Sprintf("the instance answered %.*q: %.*q", maxQuoted, resp.Status, maxQuoted, body), "")
	}
	return json.Unmarshal(body, into)
}

// newVersion returns the command that prints the version.
func newVersion(p printer) subcommands.Command {
	b := &base{printer: p, name: "version", synopsis: "print the version", usage: "version"}
	b.run = func(context.Context, []string) error {
		b.printf("hickorydrum %s\n", Version)
		return nil
	}
	return b
}

// Main runs the command line of the process.
func Main() { os.Exit(Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
