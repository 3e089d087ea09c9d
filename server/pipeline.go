package server

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"

	"hickorydrum/socket"
)

const (
	// maxAhead is how many requests of a connection may be handled before their turn, or wait for it with their
	// response. Callers usually send three requests at a time.
	maxAhead = 7
	// maxAheadHeads is how many bytes behind the request under way are read from a connection.
	maxAheadHeads = 32 << 10
	// maxAheadResponses is how many bytes of responses of a connection are kept until their turn; it is twice what
	// package ingress keeps of one response. A handler that writes more waits for its turn.
	maxAheadResponses = 512 << 10
	// aheadRead is how many bytes are read at a time once bytes have arrived behind the request under way.
	aheadRead = 4 << 10
)

// Pipeliner is a handler that allows some requests to run concurrently with others of their connection. A server
// whose handler is no Pipeliner handles the requests of a connection one after another.
type Pipeliner interface {
	http.Handler
	// RunsAhead reports whether a request with the host and the target, which begins with a slash, may run
	// before those ahead of it on its connection are answered, and others while it runs. It must not block.
	RunsAhead(host, target string) bool
}

// pipeline reads the requests of a connection that arrive while another one is handled, and starts those that may
// run before their turn. The HTTP server still reads all requests, one after another, and frames their
// responses: to it the bytes of the next request arrive only once it has finished the one before. Its background
// read during the handling of a request, which notices that the caller left, is the read ahead.
type pipeline struct {
	conn    *conn
	handler Pipeliner
	turn    turnWriter

	mu sync.Mutex
	in []byte // read from the socket, and not by the HTTP server yet
	// first has in while that is the first byte that arrived during the handling of a request.
	first [1]byte
	// The following describe what the HTTP server has read.
	head     head
	bodyLeft int64 // bytes of the body that the HTTP server has not read
	whole    bool  // it has read a whole request and not finished it
	raw      bool  // it is not known where a request ends: all bytes are passed on as they arrive
	err      error // why no further bytes are read
	// The following describe the request under way.
	underway     bool // its handling has begun and not ended
	handled      bool // its handling has ended
	host, target string
	values       context.Context // has the values for handlers
	follow       answer          // requests behind it may be started
	// The following describe the requests behind it.
	queue      []*ahead // started
	startedLen int      // bytes of in that are theirs
	next       head     // of the request behind them
	nextLen    int      // bytes of in that next has taken
	barred     bool     // that request waits for its turn
	buffered   int      // bytes of responses that wait for their turn
	closing    bool     // no further request is started
	closeLast  bool     // the response to the last started request closes the connection
	ctx        context.Context
	cancel     context.CancelFunc // nil until a request is started
}

// answer is the answer to a question that may not have been asked.
type answer int

const (
	notAsked answer = iota
	yes
	no
)

func newPipeline(c *conn, handler Pipeliner) *pipeline {
	p := &pipeline{conn: c, handler: handler}
	p.turn.pipeline = p
	return p
}

// read reads for the HTTP server. It never returns bytes of two requests at once, and none of the next one while
// one is handled.
func (p *pipeline) read(b []byte) (int, error) {
	n, whole, err := p.take(b)
	if n > 0 && !p.conn.startReading() {
		return 0, net.ErrClosed
	}
	if n > 0 || err != nil {
		return n, err
	}
	if whole {
		return p.readAhead(b)
	}
	n, err = p.conn.receive(b)
	return p.split(b[:n]), p.checkErr(err)
}

// take moves bytes that were read ahead to b, up to the end of the request. It reports whether the HTTP server
// has that request whole.
func (p *pipeline) take(b []byte) (n int, whole bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return 0, false, p.err
	}
	if p.whole && !p.raw {
		return 0, true, nil
	}
	if len(p.in) == 0 {
		return 0, false, nil
	}
	n = p.advance(p.in[:min(len(b), len(p.in))])
	copy(b, p.in[:n])
	p.drop(n)
	return n, false, nil
}

// drop removes bytes that the HTTP server has read. p.mu must be held.
func (p *pipeline) drop(n int) {
	if p.startedLen > 0 {
		p.startedLen -= n // it reads no further than to the end of the request
	} else {
		p.next, p.nextLen, p.barred = head{}, 0, false
	}
	if p.in = p.in[n:]; len(p.in) == 0 {
		p.in = nil
	}
}

// split keeps what follows the end of the request in b, and returns the length of the rest.
func (p *pipeline) split(b []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.advance(b)
	p.in = append(p.in, b[n:]...)
	return n
}

// advance follows the bytes that the HTTP server is about to read, and returns how many it may read: up to the end of
// the request. p.mu must be held.
func (p *pipeline) advance(b []byte) int {
	if p.raw {
		return len(b)
	}
	n := 0
	if !p.head.ended {
		n = p.head.feed(b)
		if p.head.irregular {
			p.raw = true
			return len(b)
		}
		if !p.head.ended {
			return n
		}
		p.bodyLeft = p.head.length
	}
	body := min(int64(len(b)-n), p.bodyLeft)
	p.bodyLeft -= body
	p.whole = p.bodyLeft == 0
	return n + int(body)
}

// readAhead reads from the connection until the read fails: the caller left, or the HTTP server ends its background
// read. b has room for the one byte of such a read.
func (p *pipeline) readAhead(b []byte) (int, error) {
	for {
		room := p.room(b)
		if len(room) == 0 {
			return p.awaitEnd(b)
		}
		n, err := p.conn.receive(room)
		p.store(room[:n])
		if err != nil {
			return 0, p.checkErr(err)
		}
	}
}

// room returns where the next bytes are read to: b if none have arrived, so that the connection needs no memory until
// then. It is empty if maxAheadHeads bytes have arrived, or if the request is handled and only the rest of its response is
// to be written: a caller that sends its next request once it has the response is often faster.
func (p *pipeline) room(b []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.in) == 0 {
		return b[:1]
	}
	size := min(aheadRead, maxAheadHeads-len(p.in))
	if size <= 0 || p.handled {
		return nil
	}
	p.in = slices.Grow(p.in, size)
	return p.in[len(p.in) : len(p.in)+size]
}

// store keeps bytes that arrived while a request is handled, and starts the requests that they complete.
func (p *pipeline) store(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(b) == 0 {
		return
	}
	if len(p.in) == 0 {
		p.in = p.first[:0]
	}
	p.in = append(p.in, b...)
	p.start()
}

// awaitEnd waits until the caller closes the connection. The caller may have sent more than is read ahead.
func (p *pipeline) awaitEnd(b []byte) (int, error) {
	err := socket.AwaitEnd(p.conn.Conn)
	if errors.Is(err, errors.ErrUnsupported) {
		// The end cannot be noticed: the HTTP server gets a byte, which ends its background read.
		p.passOn()
		n, _, err := p.take(b)
		return n, err
	}
	if err == nil {
		err = io.EOF
		p.conn.left.Store(true)
	}
	return 0, p.checkErr(err)
}

// checkErr takes the error of a read and returns it. If the connection has ended, it cancels the requests that
// were started, and no further bytes are read.
func (p *pipeline) checkErr(err error) error {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
	p.cancelAll()
	return err
}

// cancelAll cancels the requests that were started. p.mu must be held.
func (p *pipeline) cancelAll() {
	p.closing = true
	if p.cancel != nil {
		p.cancel()
	}
}

// end cancels the requests that were started and returns those that wait for their turn.
func (p *pipeline) end() []*ahead {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelAll()
	lost := p.queue
	p.queue = nil
	return lost
}

// finished marks that the HTTP server has finished a request. It reports whether bytes of the next one have arrived.
func (p *pipeline) finished() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.underway, p.handled, p.values = false, false, nil
	p.whole, p.head = false, head{}
	return len(p.in) > 0
}

// passOn makes all further bytes go to the reader as they arrive.
func (p *pipeline) passOn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raw = true
}

// busy reports whether bytes have arrived that the HTTP server has not read.
func (p *pipeline) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.in) > 0 || len(p.queue) > 0
}

// serve handles a request whose turn has come, or hands out the response to it if it was started before.
func (p *pipeline) serve(w http.ResponseWriter, r *http.Request) {
	started := p.begin(r)
	p.turn.ResponseWriter, p.turn.wrote = w, false
	if started != nil {
		started.handOut(&p.turn, r)
	} else {
		p.handler.ServeHTTP(&p.turn, r)
	}
	p.turn.writeHead()
	p.endHandling()
}

// endHandling marks the end of a request's handling: no request is started until that of the next one begins.
func (p *pipeline) endHandling() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.underway, p.handled = false, true
}

// begin marks the begin of a request's handling, starts those behind it that may run, and returns what was
// started of the request itself, nil if it was not.
func (p *pipeline) begin(r *http.Request) *ahead {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.underway, p.host, p.target, p.values = true, r.Host, r.RequestURI, r.Context()
	p.follow = notAsked
	if r.ContentLength != 0 || !r.ProtoAtLeast(1, 1) || !keepsOpen(r) || !strings.HasPrefix(r.RequestURI, "/") {
		p.follow = no
	}
	var started *ahead
	if len(p.queue) > 0 {
		started, p.queue = p.queue[0], p.queue[1:]
		p.follow = yes
	}
	p.start()
	return started
}

// reserve reports whether n more bytes of responses may wait for their turn, and counts them if so.
func (p *pipeline) reserve(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.buffered+n > maxAheadResponses {
		return false
	}
	p.buffered += n
	return true
}

// release takes back bytes that were counted by reserve.
func (p *pipeline) release(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.buffered -= n
}

// beginResponse decides whether a response closes the connection, before its head is written. One before requests
// that were started does not: the last of them does, and no further one is started.
func (p *pipeline) beginResponse(header http.Header) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closeLast && !p.conn.server.closing.Load() && !closes(header) {
		return
	}
	p.closing, p.closeLast = true, true
	if len(p.queue) > 0 {
		header.Del("Connection")
	} else {
		header.Set("Connection", "close")
	}
}

// closes reports whether a response with the header closes its connection.
func closes(header http.Header) bool {
	for _, value := range header["Connection"] {
		tokens := strings.FieldsFunc(value, func(c rune) bool { return c == ',' || c == ' ' || c == '\t' })
		if slices.ContainsFunc(tokens, func(token string) bool { return strings.EqualFold(token, "close") }) {
			return true
		}
	}
	return false
}
