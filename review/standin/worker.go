package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// errLost is returned by the work of a request whose answer is lost.
var errLost = errors.New("the answer is lost")

// worker is a stand-in of one worker. It echoes the id of each request, adds a seal to its answers and
// answers 421 to a request for another instance.
type worker struct {
	id       string
	service  string
	listener net.Listener
	record   *record
	group    errgroup.Group
	// work handles a request whose head has been read, and returns the body of the answer. An error closes
	// the connection.
	work func(r *http.Request) (string, error)
	// after is called once the answer is written. It is nil if there is nothing more to do.
	after func(r *http.Request) error

	mu   sync.Mutex
	runs map[string]int // by the id of the request
}

func newWorker(id, service, ip string, rec *record, work func(r *http.Request) (string, error)) (*worker, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	return &worker{id: id, service: service, listener: l, record: rec, work: work, runs: make(map[string]int)}, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

// entry returns what the worker writes into the platform's store.
func (w *worker) entry(zone, state string, born int64, slots int) map[string]any {
	return map[string]any{
		"address": w.address(), "born": born,
		"info":   map[string]any{"service": w.service, "version": "v1", "zone": zone, "slots": slots},
		"status": map[string]any{"state": state, "sequence": 1, "coldRemainingMs": 0},
	}
}

func (w *worker) serve() error {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return w.group.Wait()
		}
		w.group.Go(func() error {
			w.serveConn(c)
			return nil
		})
	}
}

func (w *worker) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 4096)
	for {
		req, err := http.ReadRequest(r)
		if err != nil || !w.handle(c, req) {
			return
		}
	}
}

// handle handles one request, and reports whether the connection stays open.
func (w *worker) handle(c net.Conn, req *http.Request) bool {
	id := req.Header.Get(headerAttempt)
	if expected := req.Header.Get("Hickorydrum-Expected-Instance"); expected != "" && expected != w.id {
		_, _ = io.Copy(io.Discard, req.Body)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nHickorydrum-Instance-Id: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			w.id, headerAttempt, id)
		return err == nil
	}
	w.mu.Lock()
	w.runs[id]++
	run := w.runs[id]
	w.mu.Unlock()
	w.record.add("worker %s begins %s (run %d), %d bytes announced", w.id, id, run, req.ContentLength)
	begun := time.Now()
	body, err := w.work(req)
	if errors.Is(err, errLost) {
		w.record.add("worker %s has run %s, and its answer is lost", w.id, id)
		_, _ = io.Copy(io.Discard, c) // until the instance closes the connection
		return false
	}
	if err != nil {
		w.record.add("worker %s fails %s after %d ms: %v", w.id, id, time.Since(begun).Milliseconds(), err)
		return false
	}
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-of-%s\r\nContent-Length: %d\r\n\r\n%s",
		headerAttempt, id, headerSeal, id, len(body), body)
	w.record.add("worker %s answers %s with 200 after %d ms, error %v", w.id, id, time.Since(begun).Milliseconds(), err)
	if err == nil && w.after != nil {
		err = w.after(req)
	}
	return err == nil
}
