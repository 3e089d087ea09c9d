package restart

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

const (
	// callerPatience is how long callers wait for a response.
	callerPatience = 20 * time.Second
	// callerBuffer is the size in bytes of a caller's receive buffer, so that a slow caller makes
	// the instance wait.
	callerBuffer = 64 << 10
	// parts is the number of parts in which a slow caller sends a body or reads a response.
	parts = 10
	// redialPause is how long a caller waits before it dials an address again that refused it.
	redialPause = 20 * time.Millisecond
)

// startGroup runs f in the background and returns a function that waits for its end.
func startGroup(f func()) (wait func()) {
	var group errgroup.Group
	group.Go(func() error {
		f()
		return nil
	})
	return func() { _ = group.Wait() }
}

// kind is a kind of request.
type kind struct {
	method, path string
	body         int    // bytes
	header       string // further lines of the head, with %ID% for the ID of the request
}

var (
	safe   = kind{method: http.MethodGet, path: "/read/"}
	unsafe = kind{method: http.MethodPost, path: "/order/", body: 4}
	upload = kind{method: http.MethodPost, path: "/order/", body: 512 << 10}
)

// idempotent reports whether requests of the kind may run more than once.
func (k kind) idempotent() bool { return k.path == safe.path }

// request returns the bytes of the request with the ID: its head, and its body.
func (k kind) request(id string) (head, body string) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %sx HTTP/1.1\r\nHost: h.example\r\nHickorydrum-Attempt-Id: %s\r\n", k.method, k.path, id)
	fmt.Fprintf(&b, "Hickorydrum-Deadline-Remaining: %d\r\n", callerPatience.Milliseconds())
	if k.body > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", k.body)
	}
	b.WriteString(strings.ReplaceAll(k.header, "%ID%", id) + "\r\n")
	return b.String(), strings.Repeat("b", k.body)
}

// habit is how a caller uses its connections.
type habit struct {
	fresh    bool          // one request per connection
	pool     int           // connections that are kept open, 1 if 0; each request uses one of them
	depth    int           // whole requests that are written at once, 1 if 0
	sendTime time.Duration // time to send the body of a request
	readTime time.Duration // time to read the body of a response
	retries  bool          // send a request once more, at once, where that is allowed
	redials  bool          // dial again after a refused dial
}

// caller sends requests to one address and keeps using its connections until the address accepts
// no more of them.
type caller struct {
	habit
	kind
	name    string
	address string
	stop    <-chan struct{} // closed at the first SIGTERM of the instance
	over    <-chan struct{} // closed when the caller is to end
	// wait returns when the caller is to send its request number n.
	wait func(r *rand.Rand, n int)
	// waitToOpen returns when the caller is to open the connection for that request.
	waitToOpen func(n int)
}

// link is an open connection of a caller.
type link struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*link, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetReadBuffer(callerBuffer); err != nil {
		return nil, err
	}
	return &link{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// run sends requests until the address refuses a connection while no other is open, or until the
// caller is to end.
func (c *caller) run(j *journal, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 0))
	links := make([]*link, max(1, c.pool))
	defer func() {
		for _, l := range links {
			l.end()
		}
	}()
	var again []string // IDs of requests to be sent once more
	for n := 0; !isClosed(c.over) && len(links) > 0; {
		c.waitToOpen(n)
		if links = c.dialAll(links, j); len(links) == 0 {
			return
		}
		slot := r.IntN(len(links))
		if links[slot] == nil {
			time.Sleep(redialPause)
			continue
		}
		ids := again
		if len(ids) == 0 {
			c.wait(r, n)
			ids = c.newIDs(n)
			n += len(ids)
		}
		if isClosed(c.over) {
			return
		}
		attempts, open := c.send(links[slot], ids)
		j.add(attempts)
		if again = nil; c.retries {
			again = retriable(attempts)
		}
		if !open || c.fresh {
			links[slot].end()
			links[slot] = nil
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// dialAll opens the connections that are missing. It returns those that it could open and, if
// the caller redials, a nil for each of the others.
func (c *caller) dialAll(links []*link, j *journal) []*link {
	for i := range links {
		if links[i] != nil {
			continue
		}
		l, err := dial(c.address)
		if err != nil {
			j.refuse()
			continue
		}
		links[i] = l
	}
	if c.redials {
		return links
	}
	return slices.DeleteFunc(links, func(l *link) bool { return l == nil })
}

func (l *link) end() {
	if l != nil {
		_ = l.Close() // the attempts hold what the caller saw
	}
}

// ended reports whether the end of the connection has been received, without reading from it.
func (l *link) ended() (ended bool) {
	raw, err := l.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = n <= 0 && !errors.Is(err, unix.EAGAIN)
		return true
	})
	return ended || err != nil
}

// newIDs returns the IDs of the requests that are written at once, from number n on.
func (c *caller) newIDs(n int) []string {
	ids := make([]string, max(1, c.depth))
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", c.name, n+i)
	}
	return ids
}

// retryMark ends the IDs of retries.
const retryMark = "-again"

// retriable returns the IDs of the retries of those attempts that the caller may send again.
func retriable(attempts []attempt) (ids []string) {
	for _, a := range attempts {
		failed := a.status == 0 || a.status >= http.StatusInternalServerError
		if strings.HasSuffix(a.id, retryMark) || !failed {
			continue
		}
		if a.status == http.StatusServiceUnavailable || a.idempotent {
			ids = append(ids, a.id+retryMark)
		}
	}
	return ids
}

// send writes the requests and reads their responses, which come in order. It reports whether the
// connection stays open.
func (c *caller) send(l *link, ids []string) (attempts []attempt, open bool) {
	attempts = make([]attempt, len(ids))
	_ = l.SetDeadline(time.Now().Add(callerPatience)) // an error shows when the connection is used
	stale, stopping, started := l.ended(), isClosed(c.stop), time.Now()
	err := c.write(l, ids)
	sent := time.Now()
	for i, id := range ids {
		attempts[i] = attempt{id: id, idempotent: c.idempotent(), started: started, sent: sent, stale: stale, stopping: stopping, complete: err == nil}
	}
	for i := range attempts {
		a := &attempts[i]
		open = a.receive(l.reader, c.readTime)
		a.ended = time.Now()
		if !open {
			return attempts, false // those behind it are not to be answered
		}
	}
	return attempts, err == nil
}

// write writes the requests, all at once or, if the caller is slow, in parts.
func (c *caller) write(l *link, ids []string) error {
	var all strings.Builder
	for _, id := range ids {
		head, body := c.request(id)
		if c.sendTime == 0 {
			all.WriteString(head + body)
			continue
		}
		if err := c.writeSlowly(l, head, body); err != nil {
			return err
		}
	}
	_, err := io.WriteString(l, all.String())
	return err
}

func (c *caller) writeSlowly(l *link, head, body string) error {
	if _, err := io.WriteString(l, head); err != nil {
		return err
	}
	size := len(body)/parts + 1
	pause := c.sendTime * time.Duration(size) / time.Duration(max(1, len(body)))
	for part := range slices.Chunk([]byte(body), size) {
		time.Sleep(pause)
		if _, err := l.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// receive reads a whole response over the given time and reports whether the connection stays
// open.
func (a *attempt) receive(reader *bufio.Reader, readTime time.Duration) (open bool) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		a.err = err
		return false
	}
	a.begun = true
	a.err = readBody(resp, readTime)
	_ = resp.Body.Close() // the body was read
	if a.err != nil {
		return false
	}
	a.status = resp.StatusCode
	a.mixed = a.status == http.StatusOK && resp.Header.Get("Hickorydrum-Attempt-Id") != a.id
	return !resp.Close
}

func readBody(resp *http.Response, readTime time.Duration) error {
	if readTime > 0 && resp.ContentLength > 0 {
		for range parts {
			time.Sleep(readTime / parts)
			if _, err := io.CopyN(io.Discard, resp.Body, resp.ContentLength/parts); err != nil {
				return err
			}
		}
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}
