// Command rig plays the script cases of the review of 2026: it starts instances as separate processes, with stand-ins
// for the store, the upstreams and the callers in its own process, and checks one rule.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// longest is how long a case may take.
const longest = 110 * time.Second

// errBroken is returned by a case that found the rule broken.
var errBroken = errors.New("the rule was broken")

// opened has the deployment of the case, for endAll.
var opened struct {
	sync.Mutex
	all []*deployment
}

// endAll ends all processes.
func endAll() {
	opened.Lock()
	defer opened.Unlock()
	for _, d := range opened.all {
		for _, i := range d.instances {
			i.signal(syscall.SIGKILL)
		}
	}
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), begun: time.Now()}, nil
}

// printf writes a line to the record and to the standard output.
func (r *record) printf(format string, args ...any) {
	line := fmt.Sprintf("%7.3f s  ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.out, line)
}

// notef writes a line to the record only.
func (r *record) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *record) close() {
	_ = r.out.Flush()
	_ = r.file.Close()
}

// cases are the cases by the name that is given on the command line.
var cases = map[string]func(r *record, trouble bool) error{
	"pipeline": playPipeline,
	"isolated": playIsolated,
	"quota":    playQuota,
	"asleep":   playAsleep,
	"holder":   playHolder,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitNoRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	watchdog := time.AfterFunc(longest, func() {
		endAll()
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(exitNoRun)
	})
	defer watchdog.Stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		endAll()
		os.Exit(exitNoRun)
	}()
	r.printf("case %s, trouble %t", os.Args[1], trouble)
	switch err := cases[os.Args[1]](r, trouble); {
	case errors.Is(err, errBroken):
		r.printf("BROKEN")
		return exitBroken
	case err != nil:
		r.printf("could not run: %v", err)
		return exitNoRun
	}
	r.printf("held")
	return exitHeld
}

// routeRule is one rule of the configuration.
type routeRule struct {
	prefix, kind, service string
	objective, timeout    time.Duration
	priority              int
}

// tenant is one client account of the configuration.
type tenant struct {
	name, key   string
	rate, burst float64
}

const host = "h.example"

// configuration returns the value of config/main.
func configuration(version int, rules []routeRule, tenants []tenant) []byte {
	var outRules, outTenants, clusters []any
	seen := make(map[string]bool)
	for _, one := range rules {
		outRules = append(outRules, map[string]any{
			"name": "r" + one.prefix, "kind": one.kind, "targetLatencyMs": one.objective.Milliseconds(), "priority": one.priority,
			"allowAnonymous": false, "stickySessions": true, "match": map[string]any{"pathPrefix": one.prefix},
			"action": map[string]any{
				"service": one.service, "timeoutMs": one.timeout.Milliseconds(), "maxAttempts": 2, "homeRegions": []string{},
			},
		})
		if !seen[one.service] {
			clusters = append(clusters, map[string]any{
				"name": one.service, "healthPath": "/health", "maxConnections": 1830, "protocol": "h1", "tls": false,
				"coldStartS": 3.0, "coldPerS": 14.0,
			})
		}
		seen[one.service] = true
	}
	for _, one := range tenants {
		outTenants = append(outTenants, map[string]any{
			"name": one.name, "apiKeys": []string{one.key}, "priority": 1, "ratePerS": one.rate, "burst": one.burst, "homeRegions": []string{},
		})
	}
	config := map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"listeners": []any{map[string]any{"host": host, "rules": outRules}},
		"clusters":  clusters,
	}
	if len(outTenants) > 0 {
		config["tenants"] = outTenants
	}
	text, _ := json.Marshal(config) // it has only plain values
	return text
}
