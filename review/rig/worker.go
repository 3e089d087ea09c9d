package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is the run of one request at a worker.
type run struct {
	id, account, service, worker string
	at                           time.Time
}

// runs records the runs at all workers.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// clear forgets all runs.
func (r *runs) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = nil
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// kind describes workers of a service.
type kind struct {
	service, domain string
	slots, queue    int
	work            time.Duration
	body            []byte
	limit           string // requests a second that it names, none if empty
}

// worker is a sound upstream: it refuses requests for another one, runs as many requests at a time as it has slots,
// queues some more, and refuses the rest.
type worker struct {
	kind
	id   string
	born time.Time
	runs *runs

	server   http.Server
	listener net.Listener
	taken    chan struct{}

	mu      sync.Mutex
	waiting int
}

// start listens on a free port of the loopback address.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.listener, w.taken = listener, make(chan struct{}, w.slots)
	if w.born.IsZero() {
		w.born = time.Now().Add(-time.Minute)
	}
	w.server = http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	return nil
}

// entry returns the value of the worker's entry in the store.
func (w *worker) entry(state string, cold time.Duration) []byte {
	return fmt.Appendf(nil, `{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},`+
		`"status":{"state":%q,"sequence":1,"coldRemainingMs":%d}}`,
		w.listener.Addr(), w.born.UnixMilli(), w.service, w.domain, w.slots, state, cold.Milliseconds())
}

// ServeHTTP handles one request.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Hickorydrum-Attempt-Id")
	header := out.Header()
	header["Hickorydrum-Attempt-Id"] = []string{id}
	if expected := r.Header.Get("Hickorydrum-Expected-Instance"); expected != "" && expected != w.id {
		header.Set("Hickorydrum-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !w.take() {
		header.Set("Hickorydrum-Not-Executed", "1")
		header.Set("Hickorydrum-Server-Load", w.load())
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.taken }()
	w.runs.add(run{id: id, account: r.Header.Get("Hickorydrum-Tenant"), service: w.service, worker: w.id, at: time.Now()})
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	header.Set("Hickorydrum-Server-Load", w.load())
	header.Set("Hickorydrum-Server-Seal", "sealed")
	if w.limit != "" {
		header.Set("Server-Limit", w.limit)
	}
	header.Set("Content-Length", strconv.Itoa(len(w.body)))
	_, _ = out.Write(w.body) // the caller may have left
}

func (w *worker) take() bool {
	w.mu.Lock()
	if len(w.taken) == w.slots && w.waiting >= w.queue {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	w.taken <- struct{}{}
	w.mu.Lock()
	w.waiting--
	w.mu.Unlock()
	return true
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(w.taken), w.waiting, w.slots)
}

// addWorkers starts workers of a service and registers them.
func (d *deployment) addWorkers(n int, like kind, all *runs) error {
	for k := range n {
		w := &worker{kind: like, id: fmt.Sprintf("i-%s-%s-%d", like.service, like.domain, k), runs: all}
		if err := w.start(); err != nil {
			return err
		}
		d.group.Go(func() error {
			_ = w.server.Serve(w.listener) // it ends with close
			return nil
		})
		d.workers = append(d.workers, w)
		if err := d.put("servers/"+w.id, w.entry("ready", 0)); err != nil {
			return err
		}
	}
	return nil
}

// filled returns a body of the given size.
func filled(size int) []byte { return []byte(strings.Repeat("x", size)) }
