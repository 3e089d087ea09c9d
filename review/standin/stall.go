package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	stallSize = 24_000_000 // bytes
	// stallFirst is what the worker reads of a body at once, and stallPause how long it works on that
	// before it reads on.
	stallFirst   = 1_000_000
	stallPause   = 2 * time.Second
	stallTimeout = 8 * time.Second
	stallClients = 4
	// termAfter is how long after the uploads have begun their machine is stopped.
	termAfter = 500 * time.Millisecond
	grace     = 6 * time.Second
)

// playStall stops a machine while workers work on uploads that they read in parts.
func playStall(ctx context.Context, p *play) (int, error) {
	work := func(r *http.Request) (string, error) {
		first, err := io.CopyN(io.Discard, r.Body, stallFirst)
		if err != nil {
			return "", err
		}
		time.Sleep(stallPause)
		rest, err := io.Copy(io.Discard, r.Body)
		return fmt.Sprint(first+rest, " bytes"), err
	}
	for i := range stallClients {
		w, err := newWorker(fmt.Sprintf("i-up-%d", i), "disegni", "127.0.0.1", p.record, work)
		if err != nil {
			return 0, err
		}
		p.addWorker(w, places[1].zone, 3)
	}
	config := newConfig("r7", newRoute("r-up", "upload", "/up/", "disegni", int(stallTimeout.Milliseconds())))
	if err := p.deploy(ctx, config, places...); err != nil {
		return 0, err
	}
	time.Sleep(3500 * time.Millisecond) // stabilityWindowMs
	m := p.machines[0]
	answers := make([]answer, stallClients)
	var group errgroup.Group
	for n := range stallClients {
		group.Go(func() error {
			c := &client{address: m.address(m.ports.front), host: host, record: p.record}
			answers[n] = c.request(fmt.Sprintf("up-%d", n), http.MethodPost, "/up/x", stallSize, stallTimeout)
			c.close()
			return nil
		})
	}
	time.Sleep(termAfter)
	if p.trouble {
		m.signal(syscall.SIGTERM)
	}
	_ = group.Wait()
	return p.judgeStall(answers), nil
}

// judgeStall counts the requests that the stopping machine broke off while their worker was at work.
func (p *play) judgeStall(answers []answer) int {
	cut := 0
	for _, a := range answers {
		if p.runs(a.id) > 0 && (a.status == 0 || a.seal == "") {
			cut++
			p.record.add("broken off: %s was at its worker; the client got status %d without a seal", a.id, a.status)
		}
	}
	p.record.add("%d of %d uploads broken off, SIGTERM: %v", cut, len(answers), p.trouble)
	if p.trouble && cut > 0 {
		return broken
	}
	return held
}
