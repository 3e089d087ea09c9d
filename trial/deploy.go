package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/declaration"
	"hickorydrum/rollout"
)

const (
	processPortOffset  = 10000 // processes listen this far above the advertised ports, which the link relays
	callerPort         = 8080
	peerPort           = 7070
	probePort          = 7071
	adminPort          = 9090
	platformAddress    = "127.1.1.9:7000"
	linkControlAddress = "127.0.0.1:7999"
	// directAddressFormat is the address of an upstream in each region that serves
	// direct calls only. Direct calls bypass the admission control of the instances,
	// which keeps the other upstreams within their slots.
	directAddressFormat = "127.%d.1.99:8999"
	directSlots         = 1000
	instancesPerDomain  = 2
	waitTimeout         = 30 * time.Second
	pollInterval        = 50 * time.Millisecond
	httpTimeout         = 3 * time.Second
	dirMode             = 0o700
	fileMode            = 0o600
)

// Deployment is a small deployment of separate processes on loopback addresses.
type Deployment struct {
	profile          Profile
	dir              string
	program          string
	standinProgram   string
	declarationFiles map[string][]byte
	set              *declaration.Set
	processes        []*process
	instances        []*instanceProcess
	upstreams        []*process
	group            errgroup.Group

	mu   sync.Mutex
	runs map[string]int // executions by load id, as printed by the upstreams; protected by mu
}

// NewDeployment reads the declarations of an example and prepares a deployment with its
// files and logs in dir. The arguments program and standinProgram are the paths of the
// hickorydrum and standin executables.
func NewDeployment(profile Profile, examples, dir, program, standinProgram string) (*Deployment, error) {
	d := &Deployment{
		profile: profile, dir: dir, program: program, standinProgram: standinProgram,
		declarationFiles: make(map[string][]byte), runs: make(map[string]int),
	}
	paths, err := filepath.Glob(filepath.Join(examples, profile.name, "*.yaml"))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("no example under %q: run it in the root of the project (%w)", examples, err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		d.declarationFiles[filepath.Base(path)] = toLoopback(data)
	}
	d.set, err = declaration.Parse(d.declarationFiles)
	return d, err
}

// toLoopback replaces the 10.0.0.0/8 addresses of the examples by addresses in
// 127.0.0.0/8.
func toLoopback(data []byte) []byte {
	text := strings.ReplaceAll(string(data), `"10.`, `"127.`)
	return []byte(strings.ReplaceAll(text, "prefix: 10.", "prefix: 127."))
}

// Start starts every process, applies the declarations and waits until every instance
// is ready. It reports its progress to say.
func (d *Deployment) Start(ctx context.Context, say func(format string, args ...any)) error {
	if err := d.startLink(); err != nil {
		return err
	}
	if _, err := d.start("platform", d.standinProgram, nil, "platform", "-listen", shiftPort(platformAddress, processPortOffset)); err != nil {
		return err
	}
	if err := d.startUpstreams(); err != nil {
		return err
	}
	if err := waitFor(ctx, "the platform", func() bool {
		return getStatusCode(ctx, "http://"+platformAddress+"/standin/calls") == http.StatusOK
	}); err != nil {
		return err
	}
	say("started the platform, the link and %d upstreams", len(d.processes)-2)
	if err := d.startInstances(); err != nil {
		return err
	}
	if err := d.publishInstanceList(ctx, nil, nil); err != nil {
		return err
	}
	say("started %d instances", len(d.instances))
	if _, err := d.Apply(ctx, d.declarationFiles); err != nil {
		return err
	}
	return waitFor(ctx, "every instance to be ready", func() bool { return d.ready(ctx) })
}

// startUpstreams starts the declared upstreams and those for direct calls.
func (d *Deployment) startUpstreams() error {
	for _, s := range d.set.Services() {
		for _, w := range s.Workers() {
			name := "upstream-" + strings.NewReplacer(".", "-", ":", "-").Replace(w.Address())
			p, err := d.start(name, d.standinProgram, &runCounter{d: d}, "upstream", "-listen", shiftPort(w.Address(), processPortOffset),
				"-slots", strconv.Itoa(w.Slots()), "-work", d.profile.serviceTimes[s.Name()].String())
			if err != nil {
				return err
			}
			d.upstreams = append(d.upstreams, p)
		}
	}
	work := d.profile.serviceTimes[strings.TrimPrefix(d.profile.workloads[0].Path, "/")].String()
	for i, address := range d.directUpstreams() {
		_, err := d.start(fmt.Sprint("direct-", i+1), d.standinProgram, nil, "upstream", "-listen", shiftPort(address, processPortOffset),
			"-slots", strconv.Itoa(directSlots), "-work", work)
		if err != nil {
			return err
		}
	}
	return nil
}

// directUpstreams returns the addresses of the upstreams for direct calls, one per
// region.
func (d *Deployment) directUpstreams() []string {
	var out []string
	for r := range d.set.Regions() {
		out = append(out, fmt.Sprintf(directAddressFormat, r+1))
	}
	return out
}

// startInstances creates the certificates of the instances and starts them all.
func (d *Deployment) startInstances() error {
	var names, seeds []string
	for _, i := range d.instances {
		names = append(names, i.name)
		seeds = append(seeds, fmt.Sprintf("%s:%d", i.ip, peerPort))
	}
	keys := filepath.Join(d.dir, "keys")
	out, err := exec.Command(d.program, append([]string{"certify", "-dir", keys}, names...)...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("certify: %s: %w", out, err)
	}
	for _, i := range d.instances {
		if err := d.startInstance(i, seeds); err != nil {
			return err
		}
	}
	return nil
}

// startInstance starts an instance that listens on the ports behind the link and
// announces the ports that the link relays.
func (d *Deployment) startInstance(i *instanceProcess, seeds []string) error {
	keys := filepath.Join(d.dir, "keys")
	listen := func(port int) string { return fmt.Sprintf("%s:%d", i.ip, port+processPortOffset) }
	announce := func(port int) string { return fmt.Sprintf("%s:%d", i.ip, port) }
	p, err := d.start("instance-"+i.name, d.program, nil, "serve",
		"-name", i.name, "-region", i.region, "-domain", i.domain,
		"-platform", "http://"+platformAddress, "-bind", i.ip,
		"-caller", listen(callerPort), "-announce-caller", announce(callerPort),
		"-peer", listen(peerPort), "-announce-peer", announce(peerPort),
		"-probe", announce(probePort), "-admin", i.admin(), "-lookup-life", "2s",
		"-ca", filepath.Join(keys, "ca.pem"), "-cert", filepath.Join(keys, i.name+".pem"),
		"-key", filepath.Join(keys, i.name+"-key.pem"), "-seeds", strings.Join(seeds, ","))
	i.process = p
	return err
}

// Apply applies declaration files with the apply command of hickorydrum and returns
// what it printed.
func (d *Deployment) Apply(ctx context.Context, sources map[string][]byte) (string, error) {
	dir := filepath.Join(d.dir, "files")
	if err := os.RemoveAll(dir); err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return "", err
	}
	for name, data := range sources {
		if err := os.WriteFile(filepath.Join(dir, name), data, fileMode); err != nil {
			return "", err
		}
	}
	out, err := exec.CommandContext(ctx, d.program, "apply", "-platform", "http://"+platformAddress, dir).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("apply: %s: %w", out, err)
	}
	return string(out), nil
}

// publishInstanceList writes the platform's list of live and leaving instances. On a
// real platform the list lags behind the instances.
func (d *Deployment) publishInstanceList(ctx context.Context, leaving, gone []string) error {
	list := rollout.InstanceList{Leaving: leaving}
	for _, i := range d.instances {
		address := i.caller()
		if !slices.Contains(leaving, address) && !slices.Contains(gone, address) {
			list.Live = append(list.Live, address)
		}
	}
	data, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return forcePut(ctx, rollout.InstanceListKey, data)
}

// Close kills every process that was started and waits for them.
func (d *Deployment) Close() error {
	for _, p := range d.processes {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	return d.group.Wait()
}
