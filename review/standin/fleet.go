package main

import (
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
)

// Headers of requests and answers.
const (
	headerAttempt = "Hickorydrum-Attempt-Id"
	headerSeal    = "Hickorydrum-Server-Seal"
)

// ports are the ports of an instance, the same on each machine.
type ports struct{ front, ready, control, directory, internal int }

// machine is one machine of the deployment, with its one process.
type machine struct {
	name, ip, zone, region string
	ports                  ports
	file                   string
	record                 *record

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended
}

// freePorts returns ports that are free on all addresses.
func freePorts(ips []string) (ports, error) {
	for base := 20000; base < 60000; base += 100 {
		if allFree(ips, base) {
			return ports{front: base, ready: base + 1, control: base + 2, directory: base + 3, internal: base + 10}, nil
		}
	}
	return ports{}, errors.New("there are no free ports")
}

func allFree(ips []string, base int) bool {
	for _, ip := range ips {
		for port := base; port < base+26; port++ {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// settings returns the settings file of the machine's process.
func (m *machine) settings(all []*machine, storeAddress string, first bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, `[self]
node = %q
role = "instance"
nodeClass = "front"
serves = ["front","control","directory"]
ip = %q
zone = %q
region = %q
countsTowardTolerance = false
bootstrap = %v
[self.limits]
cpuShare = 0.32
cores = 1
memoryMb = %d
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[network]
internalPorts = [%d,%d]
seeds = [%q]
[network.listen]
front = %q
ready = %q
control = %q
directory = %q
[network.zones]
`, m.name, m.ip, m.zone, m.region, first, memoryMiB, m.ports.internal, m.ports.internal+15, all[0].address(m.ports.control),
		m.address(m.ports.front), m.address(m.ports.ready), m.address(m.ports.control), m.address(m.ports.directory))
	zones := make(map[string]string)
	for _, one := range all {
		zones[one.zone] = one.region
	}
	for zone, region := range zones {
		fmt.Fprintf(&b, "%s = %q\n", zone, region)
	}
	fmt.Fprintf(&b, `[platform]
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
[terms]
contracts = ["base","drain","config","cost","retry","recover","places","platform"]
[terms.faultTolerance]
machines = 1
zones = 1
regions = 1
[terms.bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2500
graceS = 6
lossSlackMs = 200
configApplyMs = 2500
downgradeSlackMs = 250
maxStretchMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 64
coldOver = 1.5
coldSlack = 5
evacuationMs = 5000
recoverS = 15
ttl_max_s = 5
shiftMost = 0.15
`, storeAddress)
	return b.String()
}

// start starts the process of the machine, with the command of the deploy file.
func (m *machine) start(folder string) error {
	out, err := os.OpenFile(filepath.Join(folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/hickorydrum", "host")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HICKORYDRUM_NODE_FILE=" + m.file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	m.record.add("%s starts with process %d", m.name, cmd.Process.Pid)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.ended = cmd, make(chan struct{})
	return nil
}

// current returns the process of the machine, and a channel that is closed when it has ended. Both are nil
// before the first start.
func (m *machine) current() (*exec.Cmd, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd, m.ended
}

// wait waits for the end of the process.
func (m *machine) wait() error {
	cmd, ended := m.current()
	err := cmd.Wait()
	m.record.add("the process of %s has ended: %v", m.name, err)
	close(ended)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.record.add("%s gets %s", m.name, s)
	cmd, _ := m.current()
	_ = cmd.Process.Signal(s) // it may have ended
}

// kill ends the process if there is one.
func (m *machine) kill() {
	if cmd, _ := m.current(); cmd != nil {
		_ = cmd.Process.Kill() // it may have ended
	}
}

// ready reports whether the process says that it is ready.
func (m *machine) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.address(m.ports.ready) + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// residentMiB returns the resident memory of the process, 0 if it has ended.
func (m *machine) residentMiB() int {
	cmd, _ := m.current()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1]) // the kernel writes a number
	return pages * os.Getpagesize() >> 20
}
