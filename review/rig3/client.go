package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request of a client and how it ended.
type sent struct {
	attempt, path, machine string
	at                     time.Time
	status                 int // 0 if there was no answer
	took                   time.Duration
	note                   string
}

// sents collects what all clients sent.
type sents struct {
	mu  sync.Mutex
	all []sent
}

func (s *sents) add(one sent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, one)
}

func (s *sents) copyOf() []sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]sent(nil), s.all...)
}

var attempts atomic.Uint64

// nextAttempt returns an id that no other attempt has.
func nextAttempt() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+attempts.Add(1)) }

// host is the host of all routes.
const host = "jepu9.example"

// call sends one request to a machine, with a key unless that is empty, and waits for its answer.
func call(client *http.Client, m *machine, method, path, body, key string, remaining time.Duration) sent {
	out := sent{attempt: nextAttempt(), path: path, machine: m.name, at: time.Now()}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, m.ports.front, path), strings.NewReader(body))
	if err != nil {
		out.note = err.Error()
		return out
	}
	r.Host = host
	r.Header.Set("Hickorydrum-Attempt-Id", out.attempt)
	r.Header.Set("Hickorydrum-Deadline-Remaining", fmt.Sprint(remaining.Milliseconds()))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(r)
	if err != nil {
		out.took, out.note = time.Since(out.at), "no answer"
		return out
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	out.status, out.took = resp.StatusCode, time.Since(out.at)
	if err != nil {
		out.note = "the answer was cut short"
	}
	return out
}

// newClient returns a client that keeps connections.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
}

// traffic sends requests for a path to each machine, every so often, until the rig is closed or stop is closed.
func (g *rig) traffic(all *sents, method, path, body string, every time.Duration, stop <-chan struct{}) {
	g.trafficWithKey(all, method, path, body, "", every, stop)
}

// trafficWithKey does the same with a key.
func (g *rig) trafficWithKey(all *sents, method, path, body, key string, every time.Duration, stop <-chan struct{}) {
	for _, m := range g.machines {
		g.group.Add(1)
		go func() {
			defer g.group.Done()
			client := newClient(2 * time.Second)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-g.ctx.Done():
					return
				case <-time.After(every):
				}
				g.group.Add(1)
				go func() {
					defer g.group.Done()
					all.add(call(client, m, method, fmt.Sprintf("%s%d", path, n), body, key, 1200*time.Millisecond))
				}()
			}
		}()
	}
}
