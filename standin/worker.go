package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// WorkerFault is a way in which a worker answers on order.
type WorkerFault string

// The faults of a worker.
const (
	WorkerReset    WorkerFault = "reset"    // run, then close without an answer
	WorkerCut      WorkerFault = "cut"      // end the answer before its length
	WorkerGarbage  WorkerFault = "garbage"  // answer with bytes that are no HTTP
	WorkerStale    WorkerFault = "extra"    // send a late answer to another request first
	WorkerTail     WorkerFault = "tail"     // send bytes behind the answer
	WorkerUnframed WorkerFault = "unframed" // answer without a length
	WorkerEarly    WorkerFault = "early"    // answer before the body is in
	WorkerUnsealed WorkerFault = "unsealed" // answer without the MAC
	WorkerEncoded  WorkerFault = "encoded"  // answer with a Content-Encoding
	WorkerFail     WorkerFault = "fail"     // answer 500
	WorkerBusy     WorkerFault = "busy"     // answer 503 without a word on the run
	WorkerSilent   WorkerFault = "silent"   // run, never answer
)

// WorkerConfig describes a worker.
type WorkerConfig struct {
	ID    string
	Slots int
	// Queue is how many requests wait for a slot at most.
	Queue int
	// Warm and Cold are how long a request takes with an object that the worker
	// handled before, and with another.
	Warm, Cold time.Duration
	// Address to listen on; a free port of 127.0.0.1 if empty.
	Address string
}

// Worker speaks the platform's protocol with upstreams: slots, a queue, refusals,
// objects that it knows, answers that are wrong on order.
type Worker struct {
	config   WorkerConfig
	listener net.Listener
	group    errgroup.Group
	slots    chan struct{}

	mu       sync.Mutex
	waiting  int
	running  int
	known    map[string]bool
	runs     map[string]int
	bodies   map[string]string
	arrivals int
	stopped  int // requests that ended since their caller left
	faults   map[WorkerFault]int
	conns    map[net.Conn]bool
	closed   bool
}

// NewWorker starts a worker.
func NewWorker(config WorkerConfig) (*Worker, error) {
	address := config.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		config: config, listener: listener, slots: make(chan struct{}, config.Slots),
		known: make(map[string]bool), runs: make(map[string]int), bodies: make(map[string]string),
		faults: make(map[WorkerFault]int), conns: make(map[net.Conn]bool),
	}
	w.group.Go(w.accept)
	return w, nil
}

// Address returns the address of the worker.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// ID returns the id of the worker.
func (w *Worker) ID() string { return w.config.ID }

// Fail has the next n requests answered wrongly, -1 for all, 0 to end the fault.
func (w *Worker) Fail(f WorkerFault, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[f] = n
}

// Runs returns how often the request of an id was run.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Body returns the body that the request of an id had.
func (w *Worker) Body(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bodies[id]
}

// Arrivals returns how many requests reached the worker.
func (w *Worker) Arrivals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals
}

// Aborted returns how many requests ended since their connection closed.
func (w *Worker) Aborted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// Close ends the worker and its connections.
func (w *Worker) Close() error {
	w.mu.Lock()
	w.closed = true
	err := w.listener.Close()
	for c := range w.conns {
		_ = c.Close()
	}
	w.mu.Unlock()
	return errors.Join(err, w.group.Wait())
}

func (w *Worker) accept() error {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return nil
		}
		w.mu.Lock()
		if w.closed {
			_ = c.Close()
		}
		w.conns[c] = true
		w.mu.Unlock()
		w.group.Go(func() error {
			w.serve(c)
			return nil
		})
	}
}

func (w *Worker) hit(f WorkerFault) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.faults[f]
	if n > 0 {
		w.faults[f]--
	}
	return n != 0
}

// serve answers the requests of one connection.
func (w *Worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil || !w.answer(c, r, req) {
			return
		}
	}
}

// answer serves one request and reports whether the connection goes on.
func (w *Worker) answer(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	if expected := req.Header.Get("Hickorydrum-Expected-Instance"); expected != "" && expected != w.config.ID {
		_, _ = io.Copy(io.Discard, req.Body)
		return w.reply(c, req, 421, "Hickorydrum-Instance-Id: "+w.config.ID+"\r\n", "")
	}
	early := w.hit(WorkerEarly)
	if early {
		w.reply(c, req, 400, "", "early")
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	if early {
		return true
	}
	if !w.enter() {
		return w.reply(c, req, 503, "Hickorydrum-Not-Executed: 1\r\n", "")
	}
	defer w.leave()
	w.count(req.Header.Get("Hickorydrum-Attempt-Id"), string(body))
	if !w.work(r, c, req) {
		return false
	}
	return w.finish(c, req)
}

// enter takes a slot, or a place in the queue until one is free.
func (w *Worker) enter() bool {
	w.mu.Lock()
	w.arrivals++
	if w.waiting >= w.config.Queue && len(w.slots) == cap(w.slots) {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	w.slots <- struct{}{}
	w.mu.Lock()
	w.waiting--
	w.running++
	w.mu.Unlock()
	return true
}

func (w *Worker) leave() {
	<-w.slots
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
}

func (w *Worker) count(id, body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	w.bodies[id] = body
}

// work takes its time, and stops when the connection ends.
func (w *Worker) work(r *bufio.Reader, c net.Conn, req *http.Request) bool {
	took := w.config.Cold
	if cookie, err := req.Cookie("Hickorydrum-Affinity-Key"); err == nil {
		w.mu.Lock()
		if w.known[cookie.Value] {
			took = w.config.Warm
		}
		w.known[cookie.Value] = true
		w.mu.Unlock()
	}
	silent := w.hit(WorkerSilent)
	if silent {
		took = time.Hour
	}
	_ = c.SetReadDeadline(time.Now().Add(took))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || err == nil {
		return true
	}
	w.mu.Lock()
	w.stopped++
	w.mu.Unlock()
	return false
}

const (
	seal     = "Hickorydrum-Server-Seal: sealed\r\n"
	longBody = "the worker's bytes"
)

// finish sends the answer, wrong if that was ordered.
func (w *Worker) finish(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Hickorydrum-Attempt-Id")
	switch {
	case w.hit(WorkerReset):
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case w.hit(WorkerCut):
		w.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: %s\r\n%sContent-Length: 500\r\n\r\nhalf", id, seal))
		return false
	case w.hit(WorkerGarbage):
		w.write(c, "\x00\x01 220 this is no answer\r\n\r\n")
		return false
	case w.hit(WorkerUnframed):
		w.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: %s\r\n%s\r\n%s", id, seal, longBody))
		return false
	case w.hit(WorkerUnsealed):
		return w.reply(c, req, 200, "", longBody)
	case w.hit(WorkerEncoded):
		return w.reply(c, req, 200, seal+"Content-Encoding: gzip\r\n", longBody)
	case w.hit(WorkerFail):
		return w.reply(c, req, 500, seal, "failed")
	case w.hit(WorkerBusy):
		return w.reply(c, req, 503, seal, "busy")
	case w.hit(WorkerStale):
		w.write(c, "HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: another\r\n"+seal+"Content-Length: 5\r\n\r\nextra")
	case w.hit(WorkerTail):
		ok := w.reply(c, req, 200, seal, longBody)
		w.write(c, "HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: another\r\nContent-Length: 4\r\n\r\ntail")
		return ok
	}
	return w.reply(c, req, 200, seal, longBody)
}

// reply sends one complete answer.
func (w *Worker) reply(c net.Conn, req *http.Request, status int, header, body string) bool {
	w.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.config.Slots)
	w.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&b, "Hickorydrum-Attempt-Id: %s\r\n", req.Header.Get("Hickorydrum-Attempt-Id"))
	fmt.Fprintf(&b, "Hickorydrum-Server-Load: %s\r\n%s", load, header)
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	return w.write(c, b.String())
}

func (w *Worker) write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// Entry returns what the worker registers in the store.
func (w *Worker) Entry(service, zone, state string, born time.Time, cold time.Duration) []byte {
	return fmt.Appendf(nil, `{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},`+
		`"status":{"state":%q,"sequence":1,"coldRemainingMs":%d}}`,
		w.Address(), born.UnixMilli(), service, zone, w.config.Slots, state, cold.Milliseconds())
}

// Await returns nil once the condition holds, or the context's error.
func Await(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
