package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/interval"
	"hickorydrum/standin"
)

const (
	stopFraction     = 0.2 // planned stop of an instance, as a fraction of the load's duration
	faultFraction    = 0.4 // start of the faults
	healFraction     = 0.7 // end of the faults
	applyFraction    = 0.8 // a drain is applied
	maxRollout       = 5 * time.Second
	stopTimeout      = 65 * time.Second
	callersPerRegion = 8
)

// TryOptions holds the flags of the try command.
type TryOptions struct {
	Profile  Profile
	Examples string
	Duration time.Duration
	Seed     uint64
	JSON     bool
	Keep     bool // keep the directory with the logs
	Out      io.Writer
	Faults   []Fault
	// Program is the path of the hickorydrum executable. If it is empty, Try builds
	// one.
	Program string
}

// Fault is a fault that a try injects in addition to the planned stop.
type Fault string

// The faults of a try.
const (
	FaultKill     Fault = "kill"     // SIGKILL to an instance
	FaultPause    Fault = "pause"    // SIGSTOP to an instance, SIGCONT at healFraction
	FaultCut      Fault = "cut"      // network partition between one region and the others in both directions, then healed
	FaultOneWay   Fault = "one-way"  // network partition in one direction between two regions, then healed
	FaultSilent   Fault = "silent"   // open connections within a region carry no data from then on, but are not closed
	FaultPlatform Fault = "platform" // the platform is unreachable, then recovers
	FaultDrill    Fault = "drill"    // the platform comes back at healFraction from a copy taken before
	FaultUpstream Fault = "upstream" // SIGKILL to an upstream
)

// AllFaults lists the faults of a try.
var AllFaults = []Fault{FaultKill, FaultPause, FaultCut, FaultOneWay, FaultSilent, FaultPlatform, FaultDrill, FaultUpstream}

// Check is a promise of hickorydrum with the number of times that a try checked it and
// found it broken.
type Check struct {
	Promise string `json:"promise"`
	Seen    int    `json:"seen"`
	Broken  int    `json:"broken"`
}

// TryReport is the result of a try.
type TryReport struct {
	Deployment     string                 `json:"deployment"`
	Seed           uint64                 `json:"seed"`
	Load           LoadReport             `json:"load"`
	Headroom       map[string]RegionSlots `json:"headroom"`  // by region, at the least free slots seen
	DrainSeconds   float64                `json:"drainTime"` // from SIGTERM to the exit of the stopped instance
	UncleanStops   int                    `json:"drainCut"`  // planned stops whose process exited with an error
	RolloutSeconds float64                `json:"rollout"`   // from the end of apply until the revision is in force at every running instance
	Checks         []Check                `json:"checks"`
	AddedP50       float64                `json:"added50"` // latency added to a direct call, in milliseconds
	AddedP99       float64                `json:"added99"`
}

// Broken returns how often promises were broken, over all checks.
func (r TryReport) Broken() int {
	n := 0
	for _, c := range r.Checks {
		n += c.Broken
	}
	return n
}

// Try starts a deployment, runs load against it through a planned stop, the faults of
// the options and a change of the declarations, and reports how the promises held.
func Try(ctx context.Context, o TryOptions) (TryReport, error) {
	begun := time.Now()
	say := func(format string, args ...any) {
		if !o.JSON {
			_, _ = fmt.Fprintf(o.Out, "[%5.1fs] "+format+"\n", append([]any{time.Since(begun).Seconds()}, args...)...)
		}
	}
	say("trying the deployment %s with seed %d", o.Profile.name, o.Seed)
	dir, err := os.MkdirTemp("", "hickorydrum-try-")
	if err != nil {
		return TryReport{}, err
	}
	if o.Keep {
		say("logs are kept in %s", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	self, err := os.Executable()
	if err != nil {
		return TryReport{}, err
	}
	if o.Program == "" {
		o.Program = filepath.Join(dir, "hickorydrum")
		say("building hickorydrum")
		out, err := exec.CommandContext(ctx, "go", "build", "-o", o.Program, "./cmd/hickorydrum").CombinedOutput()
		if err != nil {
			return TryReport{}, fmt.Errorf("go build: %s: %w", out, err)
		}
	}
	d, err := NewDeployment(o.Profile, o.Examples, dir, o.Program, self)
	if err != nil {
		return TryReport{}, err
	}
	defer func() { _ = d.Close() }()
	if err := d.Start(ctx, say); err != nil {
		return TryReport{}, err
	}
	say("every instance is ready")
	t := &trial{Deployment: d, options: o, say: say, report: TryReport{
		Deployment: o.Profile.name, Seed: o.Seed, Headroom: make(map[string]RegionSlots),
	}}
	if err := t.run(ctx); err != nil {
		return TryReport{}, err
	}
	return t.report, nil
}

// trial is one run of the load against a started deployment.
type trial struct {
	*Deployment
	options TryOptions
	say     func(format string, args ...any)
	report  TryReport
}

// plan returns the plan of the load: every instance is a seed, and each region has
// callers.
func (t *trial) plan() LoadPlan {
	plan := LoadPlan{Workloads: t.profile.workloads, Seconds: t.options.Duration.Seconds(), Seed: t.options.Seed}
	for _, i := range t.instances {
		plan.Seeds = append(plan.Seeds, i.caller())
	}
	for r := range t.set.Regions() {
		for n := range callersPerRegion {
			plan.Callers = append(plan.Callers, fmt.Sprintf("127.%d.%d.%d", standin.CallerOctetBase+r+1, n+1, 10))
		}
	}
	plan.Direct = t.directUpstreams()
	return plan
}

// run runs the load and the events beside it, and fills in the report.
func (t *trial) run(ctx context.Context) error {
	data, err := json.Marshal(t.plan())
	if err != nil {
		return err
	}
	file := filepath.Join(t.dir, "load.json")
	if err := os.WriteFile(file, data, fileMode); err != nil {
		return err
	}
	var out bytes.Buffer
	load, err := t.start("load", t.standinProgram, &out, "load", "-plan", file)
	if err != nil {
		return err
	}
	t.say("the load runs for %s", t.options.Duration)
	watched, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return t.watchHeadroom(watched) })
	group.Go(func() error { return t.runEvents(ctx, time.Now()) })
	select {
	case <-load.exited:
	case <-ctx.Done():
		return ctx.Err()
	}
	cancel()
	if err := group.Wait(); err != nil {
		return err
	}
	if load.err != nil {
		return fmt.Errorf("load: %w", load.err)
	}
	if err := json.Unmarshal(out.Bytes(), &t.report.Load); err != nil {
		return fmt.Errorf("the load's report is not readable: %w", err)
	}
	t.checkPromises(ctx)
	return nil
}

// watchHeadroom records the least free slots of each region, once a second until ctx is
// done.
func (t *trial) watchHeadroom(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for region, room := range t.Headroom(ctx) {
			least, ok := t.report.Headroom[region]
			if !ok || room.Free < least.Free {
				t.report.Headroom[region] = room
			}
		}
	}
}

// sleepUntil sleeps until the given time, or fails when ctx is done.
func sleepUntil(ctx context.Context, at time.Time) error {
	if !interval.Sleep(ctx, time.Until(at)) {
		return ctx.Err()
	}
	return nil
}

// runEvents stops an instance, injects and ends the faults and applies a change, at
// fixed fractions of the duration of the load that began at begun.
func (t *trial) runEvents(ctx context.Context, begun time.Time) error {
	at := func(fraction float64) time.Time {
		return begun.Add(time.Duration(fraction * float64(t.options.Duration)))
	}
	if err := sleepUntil(ctx, at(stopFraction)); err != nil {
		return err
	}
	var group errgroup.Group
	stopped := t.instances[int(t.options.Seed)%len(t.instances)]
	group.Go(func() error { return t.stopInstance(ctx, stopped) })
	if err := sleepUntil(ctx, at(faultFraction)); err != nil {
		return err
	}
	var heals []func() error
	for _, f := range t.options.Faults {
		heal, err := t.inject(ctx, f)
		if err != nil {
			return err
		}
		heals = append(heals, heal)
	}
	if err := sleepUntil(ctx, at(healFraction)); err != nil {
		return err
	}
	for _, heal := range heals {
		if err := heal(); err != nil {
			return err
		}
	}
	if err := sleepUntil(ctx, at(applyFraction)); err != nil {
		return err
	}
	group.Go(func() error { return t.applyDrain(ctx) })
	return group.Wait()
}

// inject starts a fault and returns the function that ends it. The seed selects the
// instance or upstream.
func (t *trial) inject(ctx context.Context, f Fault) (heal func() error, err error) {
	victim := t.instances[(int(t.options.Seed)+len(t.instances)/2)%len(t.instances)]
	noHeal := func() error { return nil }
	partition := func(partitions ...standin.Partition) (func() error, error) {
		for _, p := range partitions {
			data, err := json.Marshal(p)
			if err != nil {
				return nil, err
			}
			if err := post(ctx, "http://"+linkControlAddress+"/cut", data); err != nil {
				return nil, err
			}
		}
		return func() error { return post(ctx, "http://"+linkControlAddress+"/heal", nil) }, nil
	}
	switch f {
	case FaultPause:
		t.say("pausing %s", victim.name)
		resume := func() error {
			t.say("resuming %s", victim.name)
			return victim.cmd.Process.Signal(syscall.SIGCONT)
		}
		return resume, victim.cmd.Process.Signal(syscall.SIGSTOP)
	case FaultCut:
		t.say("cutting region 2 off")
		return partition(
			standin.Partition{From: "127.2.", To: "127.1."}, standin.Partition{From: "127.1.", To: "127.2."},
			standin.Partition{From: "127.2.", To: "127.3."}, standin.Partition{From: "127.3.", To: "127.2."})
	case FaultOneWay:
		t.say("losing what goes from region 2 to region 1")
		return partition(standin.Partition{From: "127.2.", To: "127.1."})
	case FaultSilent:
		t.say("silencing the open connections within region 1")
		return partition(standin.Partition{From: "127.1.", To: "127.1.", Silent: true})
	case FaultPlatform:
		t.say("the platform goes down")
		down := func(calls int) error {
			url := fmt.Sprintf("http://%s/standin/fault?kind=%s&calls=%d", platformAddress, standin.StoreDown, calls)
			return post(ctx, url, nil)
		}
		return func() error { return down(0) }, down(-1)
	case FaultDrill:
		t.say("copying the platform")
		restore := func() error {
			t.say("the platform comes back from the copy")
			return post(ctx, "http://"+platformAddress+"/standin/restore", nil)
		}
		return restore, post(ctx, "http://"+platformAddress+"/standin/copy", nil)
	case FaultUpstream:
		p := t.upstreams[int(t.options.Seed)%len(t.upstreams)]
		t.say("killing %s", p.name)
		return noHeal, p.cmd.Process.Kill()
	default:
		t.say("killing %s", victim.name)
		return noHeal, victim.cmd.Process.Kill()
	}
}

// stopInstance stops an instance with SIGTERM and measures how long that takes.
func (t *trial) stopInstance(ctx context.Context, i *instanceProcess) error {
	t.say("asking %s to stop", i.name)
	begun := time.Now()
	if err := i.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-i.exited:
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return fmt.Errorf("%s did not stop", i.name)
	}
	t.report.DrainSeconds = time.Since(begun).Seconds()
	if i.err != nil {
		t.report.UncleanStops++
	}
	t.say("%s stopped after %.1f s", i.name, t.report.DrainSeconds)
	return nil
}

// applyDrain applies a drain of one upstream and measures the time until the revision
// is in force at every running instance.
func (t *trial) applyDrain(ctx context.Context) error {
	w := t.set.Services()[0].Workers()[0].Address()
	now := time.Now().UTC()
	sources := make(map[string][]byte, len(t.declarationFiles)+1)
	for name, data := range t.declarationFiles {
		sources[name] = data
	}
	sources["drain.yaml"] = fmt.Appendf(nil, "kind: drain\nworker: %q\nfrom: %s\nuntil: %s\n",
		w, now.Format(time.RFC3339), now.Add(time.Hour).Format(time.RFC3339))
	t.say("applying a drain of %s", w)
	output, err := t.Apply(ctx, sources)
	if err != nil {
		return err
	}
	var revision uint64
	if _, err := fmt.Sscanf(output, "revision %d", &revision); err != nil {
		return fmt.Errorf("apply printed no revision: %q: %w", output, err)
	}
	begun := time.Now()
	err = waitFor(ctx, "the revision to be in force", func() bool {
		for _, i := range t.runningInstances() {
			if s, ok := t.status(ctx, i); !ok || s.Revision < revision {
				return false
			}
		}
		return true
	})
	t.report.RolloutSeconds = time.Since(begun).Seconds()
	t.say("the revision is in force everywhere after %.2f s", t.report.RolloutSeconds)
	return err
}

// ErrBroken is the error of a try command that found a broken promise.
var ErrBroken = errors.New("a promise was broken")
