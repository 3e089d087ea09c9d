package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"hickorydrum/standin"
)

// binary is the program under review, as the build of the deploy file leaves it.
const binary = "target/hickorydrum"

// readyTimeout bounds the wait for an instance to be ready.
const readyTimeout = 15 * time.Second

// machine is what the settings say of the machine of an instance.
type machine struct {
	name, domain, region string
	memoryMb             int
	descriptors          int
}

// deployment is a store and upstreams in this process, and instances in processes of their own.
type deployment struct {
	dir     string
	store   *standin.Store
	api     *http.Server
	address string // of the store
	net     byte   // second byte of the loopback addresses
	base    int    // first port of the instances
	domains map[string]string
	bounds  string // lines of the table of bounds in the settings
	workers []*worker
	group   errgroup.Group

	mu        sync.Mutex
	instances []*instance
	seeds     []*instance // nil for the first instances
}

func newDeployment(domains map[string]string, bounds string) (*deployment, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-rig")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		dir: dir, store: standin.NewStore(), address: listener.Addr().String(), net: byte(60 + os.Getpid()%150),
		base: 21000 + os.Getpid()%30*300, domains: domains, bounds: bounds,
	}
	opened.Lock()
	opened.all = append(opened.all, d)
	opened.Unlock()
	d.api = &http.Server{Handler: standin.PlatformHandler(d.store), ReadHeaderTimeout: readyTimeout}
	d.group.Go(func() error {
		_ = d.api.Serve(listener) // it ends with close
		return nil
	})
	return d, nil
}

// close ends all instances and the store.
func (d *deployment) close() {
	d.mu.Lock()
	all := d.instances
	d.mu.Unlock()
	for _, i := range all {
		i.kill()
	}
	for _, w := range d.workers {
		_ = w.server.Close()
	}
	_ = d.api.Close()
	_ = d.group.Wait()
	_ = os.RemoveAll(d.dir)
}

// put writes an object, whether it exists or not.
func (d *deployment) put(key string, value []byte) error {
	ctx, version := context.Background(), uint64(0)
	if o, err := d.store.Get(ctx, key); err == nil {
		version = o.Version
	}
	_, err := d.store.Put(ctx, key, value, version)
	return err
}

// The ports of an instance, from the base of the deployment.
const (
	portFront = iota
	portReady
	portControl
	portDirectory
	portFirst // of those between instances
	portLast  = portFirst + 15
)

// instance is one instance. It may be started several times.
type instance struct {
	deployment *deployment
	machine    machine
	ip         string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// add adds an instance that is not started yet.
func (d *deployment) add(m machine) *instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.instances)
	i := &instance{deployment: d, machine: m, ip: fmt.Sprintf("127.%d.%d.%d", d.net, 1+n/200, 10+n%200)}
	d.instances = append(d.instances, i)
	return i
}

func (i *instance) address(port int) string {
	return net.JoinHostPort(i.ip, strconv.Itoa(i.deployment.base+port))
}

func (i *instance) settingsPath() string {
	return filepath.Join(i.deployment.dir, i.machine.name+".toml")
}

// maxSeeds is how many seeds a settings file names.
const maxSeeds = 3

// setSeeds sets the seeds that settings files name from now on, in place of the first instances.
func (d *deployment) setSeeds(seeds []*instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

func (d *deployment) seedInstances() []*instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	seeds := d.seeds
	if seeds == nil {
		seeds = d.instances
	}
	return seeds[:min(maxSeeds, len(seeds))]
}

// writeSettings writes the settings file.
func (i *instance) writeSettings() error {
	next := i.settingsPath() + ".next"
	if err := os.WriteFile(next, []byte(i.settings()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, i.settingsPath())
}

// settings returns the text of the settings file.
func (i *instance) settings() string {
	d := i.deployment
	var seeds []string
	for _, other := range d.seedInstances() {
		seeds = append(seeds, strconv.Quote(other.address(portControl)))
	}
	zones := ""
	for domain, region := range d.domains {
		zones += fmt.Sprintf("%s = %q\n", domain, region)
	}
	return fmt.Sprintf(`[self]
node = %q
role = "instance"
nodeClass = "front"
serves = ["front","control","directory"]
ip = %q
zone = %q
region = %q
countsTowardTolerance = false
bootstrap = false
[self.limits]
cpuShare = 0.8
cores = 1
memoryMb = %d
fileDescriptors = %d
linkMbps = 1000.0
diskMb = 0
[network]
internalPorts = [%d,%d]
seeds = [%s]
[network.listen]
front = %q
ready = %q
control = %q
directory = %q
[network.zones]
%s[platform]
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
[platform.platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[terms.faultTolerance]
machines = 1
zones = 1
regions = 1
[terms.bounds]
%s`, i.machine.name, i.ip, i.machine.domain, i.machine.region, i.machine.memoryMb, i.machine.descriptors,
		d.base+portFirst, d.base+portLast, strings.Join(seeds, ","), i.address(portFront), i.address(portReady),
		i.address(portControl), i.address(portDirectory), zones, d.address, d.bounds)
}

// start starts the process. Its output goes to a file in the folder of the deployment.
func (i *instance) start() error {
	if err := i.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(i.deployment.dir, i.machine.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(binary, "host")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYDRUM_NODE_FILE=" + i.settingsPath()}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	if i.machine.descriptors > 0 {
		limit := &unix.Rlimit{Cur: uint64(i.machine.descriptors), Max: uint64(i.machine.descriptors)}
		_ = unix.Prlimit(command.Process.Pid, unix.RLIMIT_NOFILE, limit, nil)
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.command, i.exited = command, exited
	i.mu.Unlock()
	i.deployment.group.Go(func() error {
		_ = command.Wait()
		_ = out.Close()
		close(exited)
		return nil
	})
	return nil
}

// awaitReady waits until the instance is ready.
func (i *instance) awaitReady() error {
	for begun := time.Now(); time.Since(begun) < readyTimeout; time.Sleep(20 * time.Millisecond) {
		if i.ready() {
			return nil
		}
	}
	return errors.New("instance " + i.machine.name + " is not ready")
}

func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + i.address(portReady) + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		_ = i.command.Process.Signal(s) // it may have exited
	}
}

// kill ends the process at once and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	command, exited := i.command, i.exited
	i.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
}

// lives reports whether the process runs.
func (i *instance) lives() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.exited:
		return false
	default:
		return i.command != nil
	}
}

// memory returns a figure of the status of the process in bytes, such as VmRSS or VmHWM, 0 if it has ended.
func (i *instance) memory(name string) int {
	i.mu.Lock()
	pid := i.command.Process.Pid
	i.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == name+":" {
			kb, _ := strconv.Atoi(fields[1]) // 0 if it is no number
			return kb << 10
		}
	}
	return 0
}

// openDescriptors returns how many descriptors the process has open.
func (i *instance) openDescriptors() int {
	i.mu.Lock()
	pid := i.command.Process.Pid
	i.mu.Unlock()
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // none if it has ended
	return len(entries)
}
