package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	attempt string
	path    string
	worker  string
	service string
	key     string // the credential that reached the worker
	at      time.Time
}

// runs collects what all workers ran.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

func (r *runs) copyOf() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// worker is a stand-in of one worker. It answers in HTTP and checks in with the store.
type worker struct {
	id, service, zone string
	address           string
	slots             int
	born              int64
	work              time.Duration
	bytes             int // size of an answer
	runs              *runs
	server            *http.Server
	mu                sync.Mutex
	running           int
	draining          bool
}

// newWorker starts a worker at an IP number.
func newWorker(ip, id, service, zone string, r *runs) (*worker, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, address: listener.Addr().String(), slots: 16,
		born: time.Now().Add(-time.Minute).UnixMilli(), work: 20 * time.Millisecond, bytes: 400, runs: r,
	}
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// entry is what the worker writes to the store.
func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	status := "ready"
	if w.draining {
		status = "draining"
	}
	return map[string]any{
		"address": w.address, "born": w.born,
		"info":   map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
		"status": map[string]any{"state": status, "sequence": 1, "coldRemainingMs": 0},
	}
}

func (w *worker) setDraining() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

// begin takes a slot, or reports false if requests fill the slots and the queue.
func (w *worker) begin() (running int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= 4*w.slots {
		return w.running, false
	}
	w.running++
	return w.running, true
}

func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// ServeHTTP answers one request.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Hickorydrum-Attempt-Id")
	out.Header().Set("Hickorydrum-Attempt-Id", attempt)
	out.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		out.Header().Set("Hickorydrum-Instance-Id", w.id)
		return
	}
	if expected := r.Header.Get("Hickorydrum-Expected-Instance"); expected != "" && expected != w.id {
		out.Header().Set("Hickorydrum-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	running, ok := w.begin()
	out.Header().Set("Hickorydrum-Server-Load", fmt.Sprintf("%d,%d,%d", min(running, w.slots), max(0, running-w.slots), w.slots))
	if !ok {
		out.Header().Set("Hickorydrum-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.end()
	w.runs.add(run{attempt: attempt, path: r.URL.Path, worker: w.id, service: w.service, key: r.Header.Get("Authorization"), at: time.Now()})
	time.Sleep(w.work)
	out.Header().Set("Hickorydrum-Server-Seal", "seal-"+attempt)
	out.Header().Set("Content-Length", strconv.Itoa(w.bytes))
	_, _ = out.Write(bytes.Repeat([]byte("x"), w.bytes))
}

func (w *worker) stop() { _ = w.server.Close() }
