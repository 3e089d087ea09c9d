package server

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// ahead is a request whose handler runs before its turn, and its response. It implements http.ResponseWriter for the
// handler: what that writes is kept until the turn of the request, and goes to the HTTP server from then on.
type ahead struct {
	pipeline *pipeline
	request  *http.Request
	begun    time.Time
	header   http.Header
	turn     chan struct{} // closed when the turn of the request has come
	done     chan struct{} // closed when the handler has ended
	panicked any           // what the handler panicked with; valid after done

	mu      sync.Mutex
	id      string
	status  int         // 0 until the head is written
	head    http.Header // as it was then
	body    []byte      // written before the turn
	flushed bool        // the handler asked for what it wrote to be sent
	out     http.ResponseWriter
}

// aheadKey is the key of a request that runs before its turn in its context.
type aheadKey struct{}

// run runs the handler. A panic is kept for the turn of the request.
func (a *ahead) run() {
	a.panicked = http.ErrAbortHandler // if the handler ends its goroutine
	defer close(a.done)
	defer func() {
		if failure := recover(); failure != nil {
			a.panicked = failure
		}
	}()
	a.pipeline.handler.ServeHTTP(a, a.request)
	a.panicked = nil
}

// handOut writes the response to w once the turn of the request r has come, and waits for the end of the handler. It
// panics as the handler did.
func (a *ahead) handOut(w http.ResponseWriter, r *http.Request) {
	if r.Method != a.request.Method || r.RequestURI != a.request.RequestURI || r.Host != a.request.Host {
		panic(http.ErrAbortHandler) // the HTTP server read another request
	}
	a.attach(w)
	<-a.done
	if a.panicked != nil {
		panic(a.panicked)
	}
	maps.Copy(w.Header(), a.header) // trailers, or the whole header if the handler wrote nothing
}

// attach writes what the handler has written, and makes it write to w from now on.
func (a *ahead) attach(w http.ResponseWriter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pipeline.conn.setID(a.id)
	if a.status != 0 {
		maps.Copy(w.Header(), a.head)
		w.WriteHeader(a.status)
	}
	if len(a.body) > 0 {
		_, _ = w.Write(a.body) // the connection fails the request if the caller left
	}
	a.pipeline.release(len(a.body))
	a.body, a.out = nil, w
	if a.flushed {
		a.flush()
	}
	close(a.turn)
}

// setID sets the ID of the request.
func (a *ahead) setID(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.id = id; a.out != nil {
		a.pipeline.conn.setID(id)
	}
}

func (a *ahead) currentID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.id
}

// Header returns the header of the response.
func (a *ahead) Header() http.Header { return a.header }

// WriteHeader writes the head of the response. Informational ones are dropped before the turn of the request.
func (a *ahead) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(status)
}

// writeHeader writes the head of the response, unless it is written. a.mu must be held.
func (a *ahead) writeHeader(status int) {
	if a.status != 0 {
		return
	}
	if a.out != nil {
		maps.Copy(a.out.Header(), a.header)
		a.out.WriteHeader(status)
	}
	if status >= http.StatusOK {
		a.status, a.head = status, a.header.Clone()
	}
}

// Write writes a part of the body. It waits for the turn of the request if too many bytes wait for it already.
func (a *ahead) Write(p []byte) (int, error) {
	if a.keep(p) {
		return len(p), nil
	}
	select {
	case <-a.turn:
	case <-a.request.Context().Done():
		return 0, a.request.Context().Err()
	}
	return a.out.Write(p)
}

// keep keeps a part of the body until the turn of the request. It reports false if that has come, or if there is no
// room.
func (a *ahead) keep(p []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(http.StatusOK)
	if a.out != nil || !a.pipeline.reserve(len(p)) {
		return false
	}
	a.body = append(a.body, p...)
	return true
}

// Flush sends what was written once the turn of the request has come.
func (a *ahead) Flush() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(http.StatusOK)
	if a.flushed = true; a.out != nil {
		a.flush()
	}
}

// flush sends what was written. a.mu must be held.
func (a *ahead) flush() {
	_ = http.NewResponseController(a.out).Flush() // the next write fails if this does
}
