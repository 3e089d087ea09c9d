package standin

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// WorkerFault is a fault that can be injected into a Worker.
type WorkerFault string

// The faults of a worker.
const (
	WorkerReset    WorkerFault = "reset"    // run the request, then reset the connection
	WorkerCut      WorkerFault = "cut"      // close the connection before the response has its full length
	WorkerGarbage  WorkerFault = "garbage"  // respond with bytes that are not HTTP
	WorkerStale    WorkerFault = "extra"    // first send a response to another request
	WorkerTail     WorkerFault = "tail"     // send another response right after the response
	WorkerUnframed WorkerFault = "unframed" // respond without Content-Length
	WorkerEarly    WorkerFault = "early"    // respond before the request's body is read
	WorkerUnsealed WorkerFault = "unsealed" // respond without Hickorydrum-Server-Seal, the MAC
	WorkerEncoded  WorkerFault = "encoded"  // respond with a Content-Encoding
	WorkerFail     WorkerFault = "fail"     // respond with status 500
	WorkerBusy     WorkerFault = "busy"     // respond with status 503 and without Hickorydrum-Not-Executed
	WorkerRefuse   WorkerFault = "refuse"   // refuse the request without running it
	WorkerSilent   WorkerFault = "silent"   // run the request, never respond
	WorkerEndless  WorkerFault = "endless"  // respond with a body that has no end
)

// WorkerConfig describes a worker.
type WorkerConfig struct {
	ID    string
	Slots int
	// Queue is the greatest number of requests that wait for a slot.
	Queue int
	// Warm and Cold are the service times of a request whose object the worker has
	// handled before, and of any other.
	Warm, Cold time.Duration
	// Address is where the worker listens; a free port of 127.0.0.1 if empty.
	Address string
	// Body is the body of responses; defaultBody if empty.
	Body string
	// BodyTime is how long it takes to send the body of a response.
	BodyTime time.Duration
}

// Worker is a stand-in upstream that speaks the protocol between instances and upstreams. It
// has slots, a queue and a set of warm objects, and faults can be injected into its responses.
type Worker struct {
	config   WorkerConfig
	listener net.Listener
	group    errgroup.Group
	slots    chan struct{}

	mu       sync.Mutex
	waiting  int
	running  int
	warm     map[string]bool
	runs     map[string]int
	bodies   map[string]string
	headers  map[string]http.Header
	arrivals int
	aborted  int // requests whose connection ended while they ran
	faults   map[WorkerFault]int
	conns    map[net.Conn]bool
	closed   bool
	limit    string // value of the limit header, "" for none
	figures  string // further figures of the reported load, see ReportFigures
	header   string // further header lines of all responses, see SetHeader
	most     int    // connections open at a time, at most
}

// NewWorker starts a worker. Close stops it.
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
		warm: make(map[string]bool), runs: make(map[string]int), bodies: make(map[string]string),
		headers: make(map[string]http.Header),
		faults:  make(map[WorkerFault]int), conns: make(map[net.Conn]bool),
	}
	w.group.Go(w.accept)
	return w, nil
}

// Address returns the address that the worker listens on.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// ID returns the ID of the worker.
func (w *Worker) ID() string { return w.config.ID }

// Fail injects a fault into the responses to the next n requests: -1 for all, 0 to end the
// fault.
func (w *Worker) Fail(f WorkerFault, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[f] = n
}

// NameLimit makes the worker name a limit in its responses, in requests a second, or none
// if it is empty. The worker does not enforce it.
func (w *Worker) NameLimit(perSecond string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = perSecond
}

// ReportFigures sets further figures of the load that all responses report from now on, after the
// slots and separated by commas, the first of which is the pace in percent; none if it is empty.
func (w *Worker) ReportFigures(figures string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.figures = figures
}

// SetHeader sets further header lines that all responses have from now on, each with its CRLF.
func (w *Worker) SetHeader(lines string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.header = lines
}

// Runs returns how often the attempt with the ID was run.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Body returns the request body of the attempt with the ID.
func (w *Worker) Body(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bodies[id]
}

// Header returns the headers of the last request with the id that was run, nil if none was.
func (w *Worker) Header(id string) http.Header {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.headers[id]
}

// Arrivals returns how many requests asked for a slot, with those that were refused one.
func (w *Worker) Arrivals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals
}

// Running returns how many requests run or have been run and wait for their response to be sent.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// MostConnections returns how many connections were open at a time, at most.
func (w *Worker) MostConnections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}

// Aborted returns how many requests were aborted because their connection ended.
func (w *Worker) Aborted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.aborted
}

// Close stops the worker, closes its connections and waits for its goroutines.
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
		w.most = max(w.most, len(w.conns))
		w.mu.Unlock()
		w.group.Go(func() error {
			w.serve(c)
			return nil
		})
	}
}

// takeFault reports whether the fault applies to this request. If so, it applies to one
// request fewer from now on, unless it applies to all.
func (w *Worker) takeFault(f WorkerFault) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.faults[f]
	if n > 0 {
		w.faults[f]--
	}
	return n != 0
}

// serve handles the requests of one connection.
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
		if err != nil || !w.handle(c, r, req) {
			return
		}
	}
}

// handle handles one request and reports whether the connection stays open.
func (w *Worker) handle(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	if expected := req.Header.Get("Hickorydrum-Expected-Instance"); expected != "" && expected != w.config.ID {
		_, _ = io.Copy(io.Discard, req.Body)
		return w.reply(c, req, 421, "Hickorydrum-Instance-Id: "+w.config.ID+"\r\n", "")
	}
	early := w.takeFault(WorkerEarly)
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
	if w.takeFault(WorkerRefuse) {
		w.mu.Lock()
		w.arrivals++
		w.mu.Unlock()
		return w.reply(c, req, 503, "Hickorydrum-Not-Executed: 1\r\n", "")
	}
	if !w.acquireSlot() {
		return w.reply(c, req, 503, "Hickorydrum-Not-Executed: 1\r\n", "")
	}
	defer w.releaseSlot()
	w.recordRun(req, string(body))
	if !w.simulateWork(r, c, req) {
		return false
	}
	return w.respond(c, req)
}

// acquireSlot takes a slot, and waits in the queue until one is free. It returns false if the
// queue is full.
func (w *Worker) acquireSlot() bool {
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

func (w *Worker) releaseSlot() {
	<-w.slots
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
}

func (w *Worker) recordRun(req *http.Request, body string) {
	id := req.Header.Get("Hickorydrum-Attempt-Id")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	w.bodies[id] = body
	w.headers[id] = req.Header
}

// simulateWork waits for the service time. It returns false if the connection ends before.
// Further bytes from the client end the wait early.
func (w *Worker) simulateWork(r *bufio.Reader, c net.Conn, req *http.Request) bool {
	wait := w.config.Cold
	if cookie, err := req.Cookie("Hickorydrum-Affinity-Key"); err == nil {
		w.mu.Lock()
		if w.warm[cookie.Value] {
			wait = w.config.Warm
		}
		w.warm[cookie.Value] = true
		w.mu.Unlock()
	}
	silent := w.takeFault(WorkerSilent)
	if silent {
		wait = time.Hour
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || err == nil {
		return true
	}
	w.mu.Lock()
	w.aborted++
	w.mu.Unlock()
	return false
}

const (
	sealHeader  = "Hickorydrum-Server-Seal: sealed\r\n"
	defaultBody = "the worker's bytes"
)

// respond sends the response, with the fault that is set, and reports whether the connection
// stays open.
func (w *Worker) respond(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Hickorydrum-Attempt-Id")
	switch {
	case w.takeFault(WorkerReset):
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case w.takeFault(WorkerCut):
		w.mu.Lock()
		header := sealHeader + w.header
		w.mu.Unlock()
		w.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: %s\r\n%sContent-Length: 500\r\n\r\nhalf", id, header))
		return false
	case w.takeFault(WorkerGarbage):
		w.write(c, "\x00\x01 220 this is no answer\r\n\r\n")
		return false
	case w.takeFault(WorkerUnframed):
		w.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: %s\r\n%s\r\n%s", id, sealHeader, defaultBody))
		return false
	case w.takeFault(WorkerUnsealed):
		return w.reply(c, req, 200, "", defaultBody)
	case w.takeFault(WorkerEncoded):
		return w.reply(c, req, 200, sealHeader+"Content-Encoding: gzip\r\n", defaultBody)
	case w.takeFault(WorkerFail):
		return w.reply(c, req, 500, sealHeader, "failed")
	case w.takeFault(WorkerBusy):
		return w.reply(c, req, 503, sealHeader, "busy")
	case w.takeFault(WorkerEndless):
		w.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n", id, sealHeader, int64(math.MaxInt64)))
		return w.writeEndless(c)
	case w.takeFault(WorkerStale):
		w.write(c, "HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: another\r\n"+sealHeader+"Content-Length: 5\r\n\r\nextra")
	case w.takeFault(WorkerTail):
		ok := w.reply(c, req, 200, sealHeader, defaultBody)
		w.write(c, "HTTP/1.1 200 OK\r\nHickorydrum-Attempt-Id: another\r\nContent-Length: 4\r\n\r\ntail")
		return ok
	}
	return w.reply(c, req, 200, sealHeader, cmp.Or(w.config.Body, defaultBody))
}

// reply sends one complete response and reports whether it could be written. header holds
// further header lines, each with its CRLF.
func (w *Worker) reply(c net.Conn, req *http.Request, status int, header, body string) bool {
	w.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.config.Slots)
	if w.figures != "" {
		load += "," + w.figures
	}
	limit := w.limit
	header += w.header
	w.mu.Unlock()
	if limit != "" {
		header += "Hickorydrum-Server-Limit: " + limit + "\r\n"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&b, "Hickorydrum-Attempt-Id: %s\r\n", req.Header.Get("Hickorydrum-Attempt-Id"))
	fmt.Fprintf(&b, "Hickorydrum-Server-Load: %s\r\n%s", load, header)
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	return w.write(c, b.String()) && w.writeBody(c, body)
}

// bodyParts is the number of parts in which a body is sent that takes BodyTime.
const bodyParts = 20

// writeBody sends the body of a response, over the time that is configured.
func (w *Worker) writeBody(c net.Conn, body string) bool {
	if w.config.BodyTime == 0 {
		return w.write(c, body)
	}
	size := len(body)/bodyParts + 1
	for len(body) > 0 {
		time.Sleep(w.config.BodyTime / bodyParts)
		part := body[:min(size, len(body))]
		if !w.write(c, part) {
			return false
		}
		body = body[len(part):]
	}
	return true
}

// endlessPart and endlessPause are the size in bytes of each part of an endless body, and the
// pause before it.
const (
	endlessPart  = 64 << 10
	endlessPause = 10 * time.Millisecond
)

// writeEndless sends a body until the connection ends. It returns false, since no request can
// follow.
func (w *Worker) writeEndless(c net.Conn) bool {
	part := strings.Repeat("x", endlessPart)
	for w.write(c, part) {
		time.Sleep(endlessPause)
	}
	return false
}

func (w *Worker) write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// Entry returns the value of the worker's entry in the store. cold is how long the worker
// still counts as cold.
func (w *Worker) Entry(service, zone, state string, start time.Time, cold time.Duration) []byte {
	return fmt.Appendf(nil, `{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},`+
		`"status":{"state":%q,"sequence":1,"coldRemainingMs":%d}}`,
		w.Address(), start.UnixMilli(), service, zone, w.config.Slots, state, cold.Milliseconds())
}

// Await polls the condition every 5 ms and returns nil once it holds, or the error of the
// context once that is done.
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
