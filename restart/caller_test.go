package restart

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
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

// attempt is one request of a caller, as the caller saw it.
type attempt struct {
	id       string
	sent     time.Time // when its last byte was sent
	ended    time.Time
	status   int  // of a whole response, 0 if there was none
	complete bool // all bytes of the request were sent
}

// counts is what became of the requests of a run.
type counts struct {
	sent, served, rejected, failed, closedUnread, lost int
	untrue                                             int // rejected as not run, but run
	late                                               int // closed unread, later than lossSlack after the last byte was sent
}

// lossSlack is how long after its last byte was sent a request may be closed unread at the latest: it
// crossed the close then.
const lossSlack = 200 * time.Millisecond

func (c counts) String() string {
	return fmt.Sprintf("sent %d, served %d, rejected %d, failed %d, closed unread %d, late %d, lost %d, untrue %d",
		c.sent, c.served, c.rejected, c.failed, c.closedUnread, c.late, c.lost, c.untrue)
}

// journal collects the attempts of all callers. It is safe for concurrent use.
type journal struct {
	mu       sync.Mutex
	attempts []attempt
}

func (j *journal) add(a attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, a)
}

// count returns what became of the attempts. A lost request was run by an upstream, by runs, and
// its caller got no whole response. lost has its attempts.
func (j *journal) count(runs func(id string) int) (c counts, lost []attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range j.attempts {
		c.sent++
		ran := runs(a.id) > 0
		switch {
		case a.status == http.StatusServiceUnavailable:
			c.rejected++
			if ran {
				c.untrue++
			}
		case a.status == http.StatusOK:
			c.served++
		case a.status != 0:
			c.failed++
		case ran:
			c.lost++
			lost = append(lost, a)
		default:
			c.closedUnread++
			if a.complete && a.ended.Sub(a.sent) > lossSlack {
				c.late++
			}
		}
	}
	return c, lost
}

// caller sends requests to one address and keeps using its connection until the address accepts
// no more connections.
type caller struct {
	name    string
	address string
	path    string
	method  string
	body    string
	fresh   bool // use a connection for one request only
	// wait returns when the caller is to send its request number n.
	wait func(r *rand.Rand, n int)
	// waitToOpen returns when the caller is to open the connection for that request.
	waitToOpen func(n int)
}

// run sends requests until the address refuses a connection, or until the end.
func (c *caller) run(j *journal, seed uint64, end time.Time) {
	r := rand.New(rand.NewPCG(seed, 0))
	for n := 0; time.Now().Before(end); {
		c.waitToOpen(n)
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return
		}
		n = c.use(conn, j, r, n, end)
		_ = conn.Close() // the attempt holds what the caller saw
	}
}

// use sends requests on one connection until it ends. n is the number of the first of them; the
// number of the next is returned.
func (c *caller) use(conn net.Conn, j *journal, r *rand.Rand, n int, end time.Time) int {
	reader := bufio.NewReader(conn)
	for time.Now().Before(end) {
		c.wait(r, n)
		a, open := c.send(conn, reader, fmt.Sprintf("%s-%d", c.name, n))
		n++
		j.add(a)
		if !open || c.fresh {
			break
		}
	}
	return n
}

// send sends one request and reads its response. It reports whether the connection stays open.
func (c *caller) send(conn net.Conn, reader *bufio.Reader, id string) (a attempt, open bool) {
	a.id = id
	_, err := io.WriteString(conn, c.request(id))
	a.sent, a.complete = time.Now(), err == nil
	if err == nil {
		open = a.receive(reader)
	}
	a.ended = time.Now()
	return a, open
}

// request returns the bytes of the request with the ID.
func (c *caller) request(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %sx HTTP/1.1\r\nHost: h.example\r\nHickorydrum-Attempt-Id: %s\r\n", c.method, c.path, id)
	b.WriteString("Hickorydrum-Deadline-Remaining: 20000\r\n")
	if c.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	return b.String()
}

// receive reads a whole response and reports whether the connection stays open.
func (a *attempt) receive(reader *bufio.Reader) (open bool) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close() // the body was read
	if err != nil {
		return false
	}
	a.status = resp.StatusCode
	return !resp.Close
}
