package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	earlySize    = 24_000_000 // bytes
	earlyFirst   = 1_000_000  // what the worker reads of a body before it answers
	earlyPause   = 300 * time.Millisecond
	earlyUploads = 5
)

// received is what a worker got of the bodies, by the id of the request.
type received struct {
	mu    sync.Mutex
	bytes map[string]int64
	errs  map[string]error
}

func (r *received) set(id string, n int64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes[id], r.errs[id] = n, err
}

// playEarly sends uploads to workers that answer before they have read the whole body and read on later.
func playEarly(ctx context.Context, p *play) (int, error) {
	got := &received{bytes: make(map[string]int64), errs: make(map[string]error)}
	for i := range 2 {
		w, err := newWorker(fmt.Sprintf("i-up-%d", i), "disegni", "127.0.0.1", p.record, nil)
		if err != nil {
			return 0, err
		}
		w.work = func(r *http.Request) (string, error) {
			if p.trouble {
				n, err := io.CopyN(io.Discard, r.Body, earlyFirst)
				got.set(r.Header.Get(headerAttempt), n, err)
				return "accepted", err
			}
			n, err := io.Copy(io.Discard, r.Body)
			got.set(r.Header.Get(headerAttempt), n, err)
			return "accepted", err
		}
		w.after = func(r *http.Request) error {
			if !p.trouble {
				return nil
			}
			time.Sleep(earlyPause)
			n, err := io.Copy(io.Discard, r.Body)
			got.set(r.Header.Get(headerAttempt), earlyFirst+n, err)
			return err
		}
		p.addWorker(w, places[1].zone, 3)
	}
	config := newConfig("r7", newRoute("r-up", "upload", "/up/", "disegni", 8000))
	if err := p.deploy(ctx, config, places...); err != nil {
		return 0, err
	}
	time.Sleep(3500 * time.Millisecond) // stabilityWindowMs
	var answers []answer
	for n := range earlyUploads {
		m := p.machines[n%len(p.machines)]
		c := &client{address: m.address(m.ports.front), host: host, record: p.record}
		answers = append(answers, c.request(fmt.Sprintf("up-%d", n), http.MethodPost, "/up/x", earlySize, 8*time.Second))
		c.close()
	}
	time.Sleep(2 * time.Second)
	return p.judgeEarly(answers, got), nil
}

// judgeEarly counts the uploads that were answered with success and of which the worker got only a part.
func (p *play) judgeEarly(answers []answer, got *received) int {
	got.mu.Lock()
	defer got.mu.Unlock()
	cut := 0
	for _, a := range answers {
		n, err := got.bytes[a.id], got.errs[a.id]
		p.record.add("%s: status %d, seal %q; the worker got %d of %d bytes, error %v", a.id, a.status, a.seal, n, earlySize, err)
		if a.status == http.StatusOK && a.seal != "" && n < earlySize {
			cut++
		}
	}
	p.record.add("%d of %d uploads were answered with success, and the worker got a part only", cut, len(answers))
	if cut > 0 {
		return broken
	}
	return held
}
