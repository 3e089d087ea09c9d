package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is the program of the deploy file, from the repository's root.
const program = "target/hickorydrum"

// ports are the ports that all machines use.
type ports struct{ front, ready, control, directory, internal int }

// freePorts returns ports that are free at all the IP numbers.
func freePorts(ips []string) (ports, error) {
	for attempt := range 50 {
		base := 21000 + (os.Getpid()*37+attempt*101)%9000
		p := ports{base, base + 1, base + 2, base + 3, base + 4}
		if portsFree(ips, p) {
			return p, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports were found")
}

func portsFree(ips []string, p ports) bool {
	for _, ip := range ips {
		for _, port := range []int{p.front, p.ready, p.control, p.directory} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
		u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, p.internal))
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// machine is one machine of the system, which runs one process.
type machine struct {
	name, ip, zone string
	ports          ports
	file           string
	log            *os.File
	command        *exec.Cmd
	ended          chan struct{} // closed when the process has ended
}

// zones has the region of each zone.
var zones = map[string]string{
	"catania-porto": "catania", "palermo-kalsa": "palermo", "ragusa-ibla": "ragusa",
	"catania-etna": "catania", "palermo-zisa": "palermo", "ragusa-marina": "ragusa",
}

// settings returns the settings file of the machine, with the bounds of the site amtt-lb.
func (m *machine) settings(seeds []string, store string) string {
	var b strings.Builder
	p := m.ports
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed, p.control))
	}
	fmt.Fprintf(&b, "[self]\nnode = %q\nrole = \"instance\"\nnodeClass = \"front\"\nserves = [\"front\",\"control\",\"directory\"]\n", m.name)
	fmt.Fprintf(&b, "ip = %q\nzone = %q\nregion = %q\ncountsTowardTolerance = false\nbootstrap = true\n", m.ip, m.zone, zones[m.zone])
	b.WriteString("[self.limits]\ncpuShare = 0.32\ncores = 1\nmemoryMb = 284\nfileDescriptors = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n")
	fmt.Fprintf(&b, "[network]\ninternalPorts = [%d,%d]\nseeds = [%s]\n", p.internal, p.internal+15, strings.Join(quoted, ","))
	fmt.Fprintf(&b, "[network.listen]\nfront = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"%s:%d\"\ndirectory = \"%s:%d\"\n",
		m.ip, p.front, m.ip, p.ready, m.ip, p.control, m.ip, p.directory)
	b.WriteString("[network.zones]\n")
	for zone, region := range zones {
		fmt.Fprintf(&b, "%s = %q\n", zone, region)
	}
	b.WriteString("[platform]\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = 1500\n")
	fmt.Fprintf(&b, "[platform.platform]\naddress = %q\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n", store)
	b.WriteString("[terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"platform\"]\n")
	b.WriteString("[terms.faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n[terms.bounds]\nseedLagS = 3\nreuseAfterS = 2\n")
	b.WriteString("stabilityWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2500\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2500\n")
	b.WriteString("downgradeSlackMs = 250\nmaxStretchMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 64\ncoldOver = 1.5\n")
	b.WriteString("coldSlack = 5\nevacuationMs = 5000\nrecoverS = 15\nttl_max_s = 5\nshiftMost = 0.15\n")
	return b.String()
}

// start starts the process of the machine.
func (m *machine) start() error {
	m.command = exec.Command(program, "host")
	m.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "HICKORYDRUM_NODE_FILE=" + m.file,
	}
	m.command.Stdout, m.command.Stderr = m.log, m.log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.ended = ended
	go func() {
		_ = m.command.Wait()
		close(ended)
	}()
	return nil
}

// running reports whether the process has not ended.
func (m *machine) running() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

func (m *machine) signal(s syscall.Signal) { _ = m.command.Process.Signal(s) }

// kill ends the process and waits for its end.
func (m *machine) kill() {
	if m.command == nil || m.command.Process == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.ended
}

// isReady reports whether the readiness check of the machine is answered with 200.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, m.ports.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// newMachine writes the settings of a machine into a folder.
func newMachine(folder, name, ip, zone string, p ports, seeds []string, store string) (*machine, error) {
	m := &machine{name: name, ip: ip, zone: zone, ports: p, file: filepath.Join(folder, name+".toml")}
	if err := os.WriteFile(m.file, []byte(m.settings(seeds, store)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	m.log = log
	return m, err
}
