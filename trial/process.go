package trial

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// process is one started program. When exited is closed, err is its exit error.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// instanceProcess is the process of one instance with its place and address. The
// process is nil until the instance is started.
type instanceProcess struct {
	*process
	name   string
	region string
	domain string
	ip     string
}

func (i *instanceProcess) caller() string { return fmt.Sprintf("%s:%d", i.ip, callerPort) }
func (i *instanceProcess) admin() string  { return fmt.Sprintf("%s:%d", i.ip, adminPort) }

// start starts a program that runs until Close. Its standard error goes to a log file
// in the directory of the deployment, and so does its standard output if out is nil.
func (d *Deployment) start(name, program string, out io.Writer, args ...string) (*process, error) {
	cmd := exec.Command(program, args...)
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd.Stderr = log
	cmd.Stdout = out
	if out == nil {
		cmd.Stdout = log
	}
	// Pdeathsig kills the process when this one dies. With a process group of its own
	// it does not get the interrupts of the terminal.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	d.processes = append(d.processes, p)
	d.group.Go(func() error {
		p.err = cmd.Wait()
		close(p.exited)
		return log.Close()
	})
	return p, nil
}

// runCounter counts the executions of an upstream from the load ids that it prints, so
// that the counts outlive its process.
type runCounter struct {
	d           *Deployment
	partialLine string
}

// Write counts the load ids in complete lines and keeps an incomplete line for the next
// call. It locks the deployment.
func (w *runCounter) Write(p []byte) (int, error) {
	lines := strings.Split(w.partialLine+string(p), "\n")
	w.partialLine = lines[len(lines)-1]
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	for _, line := range lines[:len(lines)-1] {
		w.d.runs[line]++
	}
	return len(p), nil
}

// Runs returns how often each request was executed, by load id. It locks the
// deployment.
func (d *Deployment) Runs() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.runs)
}
