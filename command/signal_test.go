package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"hickorydrum/standin"
)

const (
	// asProgram is the environment variable that makes the test binary run a command line.
	asProgram    = "HICKORYDRUM_TEST_PROGRAM"
	pipeSize     = 4096
	startTimeout = 10 * time.Second
	// stopTimeout is how long a planned stop without requests may take.
	stopTimeout = 6 * time.Second
	// hangUpInterval is the time between two of the SIGHUPs that a process gets while it stops.
	hangUpInterval = 5 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		Main()
	}
	os.Exit(m.Run())
}

const hostSettings = `
[self]
node = "one-1"
zone = "one-a"
region = "one"
[network]
internalPorts = [7600,7605]
seeds = []
[network.listen]
front = "%[1]s:8000"
ready = "%[1]s:8001"
directory = "%[1]s:8002"
control = "%[1]s:8003"
[network.zones]
one-a = "one"
[platform.platform]
address = %[2]q
[terms.bounds]
graceS = 2
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 60
coldOver = 1.5
coldSlack = 5
ttl_max_s = 5
`

// hostArgs returns the command line of an instance on the platform.
func hostArgs(t *testing.T, ip, platform string) []string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "local.toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, hostSettings, ip, strings.TrimPrefix(platform, "http://")), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"host", "-node-file", file}
}

// serveArgs returns the command line of an instance with the own interface.
func serveArgs(t *testing.T, ip, platform string) []string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "keys")
	if code, _, errOut := run("certify", "-dir", dir, "one-1"); code != 0 {
		t.Fatalf("certify: code %d, %s", code, errOut)
	}
	key := func(name string) string { return filepath.Join(dir, name+".pem") }
	return []string{
		"serve", "-name", "one-1", "-region", "one", "-domain", "one-a", "-platform", platform,
		"-caller", ip + ":8000", "-peer", ip + ":8001", "-probe", ip + ":8002", "-admin", ip + ":8003",
		"-lookup-life", "1s", "-ca", key("ca"), "-cert", key("one-1"), "-key", key("one-1-key"),
	}
}

// brokenPipe returns the writing end of a pipe that nobody reads any more.
func brokenPipe(t *testing.T) *os.File {
	r, w := pipe(t)
	_ = r.Close()
	return w
}

// fullPipe returns the writing end of a pipe that is full and open at both ends.
func fullPipe(t *testing.T) *os.File {
	_, w := pipe(t)
	if _, err := unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, pipeSize); err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(make([]byte, pipeSize)); err != nil {
		t.Fatal(err)
	}
	return w
}

func pipe(t *testing.T) (r, w *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = r.Close() // may be closed already
		_ = w.Close()
	})
	return r, w
}

// TestStopWithoutLogReader guards against a log that nobody reads: a closed pipe ended the
// process at once, a full one kept it from serving or from stopping, and a SIGHUP during the stop
// ended it before its log was written.
func TestStopWithoutLogReader(t *testing.T) {
	platform := httptest.NewServer(standin.PlatformHandler(standin.NewStore()))
	t.Cleanup(func() {
		platform.CloseClientConnections()
		platform.Close()
	})
	commands := map[string]func(t *testing.T, ip, platform string) []string{"host": hostArgs, "serve": serveArgs}
	logs := map[string]func(t *testing.T) *os.File{"broken": brokenPipe, "full": fullPipe}
	n := 0
	for name, args := range commands {
		for state, log := range logs {
			n++
			ip := fmt.Sprintf("127.%d.1.%d", 201+os.Getpid()%50, n)
			t.Run(name+", "+state, func(t *testing.T) {
				c := exec.Command(os.Args[0], args(t, ip, platform.URL)...)
				c.Env = append(os.Environ(), asProgram+"=1")
				out := log(t)
				c.Stdout, c.Stderr = out, out
				if err := c.Start(); err != nil {
					t.Fatal(err)
				}
				checkStop(t, c, "http://"+ip+":8000/")
			})
		}
	}
}

// TestFailWithoutReader guards against a process that cannot start and does not exit, because
// nobody reads why.
func TestFailWithoutReader(t *testing.T) {
	for state, stderr := range map[string]func(t *testing.T) *os.File{"broken": brokenPipe, "full": fullPipe} {
		t.Run(state, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
			defer cancel()
			c := exec.CommandContext(ctx, os.Args[0], "host", "-node-file", filepath.Join(t.TempDir(), "none"))
			c.Env = append(os.Environ(), asProgram+"=1")
			c.Stderr = stderr(t)
			err := c.Run()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || !exit.Exited() || ctx.Err() != nil {
				t.Errorf("the process ended with: %v, want an exit code", err)
			}
		})
	}
}

// checkStop waits until the instance responds to callers, sends SIGTERM and then SIGHUP again and
// again, and checks that the process exits in time and with code 0.
func checkStop(t *testing.T, c *exec.Cmd, url string) {
	t.Helper()
	var group errgroup.Group
	exited := make(chan struct{})
	group.Go(func() error {
		defer close(exited)
		return c.Wait()
	})
	// The signals fail if the process has ended, which its exit code shows.
	if awaitResponse(url, exited) {
		_ = c.Process.Signal(syscall.SIGHUP)
		time.Sleep(hangUpInterval)
		_ = c.Process.Signal(syscall.SIGTERM)
		hangUpUntil(c.Process, time.Now().Add(stopTimeout), exited)
	} else {
		t.Error("the instance serves no callers")
	}
	_ = c.Process.Kill() // no effect if it has ended
	if err := group.Wait(); err != nil {
		t.Errorf("the process ended with: %v", err)
	}
}

// hangUpUntil sends SIGHUP to a process at an interval until it has exited or the deadline has
// passed.
func hangUpUntil(p *os.Process, deadline time.Time, exited <-chan struct{}) {
	ticker := time.NewTicker(hangUpInterval)
	defer ticker.Stop()
	for time.Now().Before(deadline) {
		select {
		case <-exited:
			return
		case <-ticker.C:
			_ = p.Signal(syscall.SIGHUP) // fails if the process has ended
		}
	}
}

// awaitResponse reports whether a request gets a response of any status within startTimeout, before
// the process exits.
func awaitResponse(url string, exited <-chan struct{}) bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for until := time.Now().Add(startTimeout); time.Now().Before(until); {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			return true
		}
		select {
		case <-exited:
			return false
		case <-time.After(hangUpInterval):
		}
	}
	return false
}
