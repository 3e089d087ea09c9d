package restart

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// attempt is one request of a caller, as the caller saw it.
type attempt struct {
	id         string
	idempotent bool
	started    time.Time // before its first byte was sent
	sent       time.Time // when its last byte was sent
	ended      time.Time
	stopping   bool  // it was sent after the first SIGTERM of the instance
	begun      bool  // the head of a response was received
	status     int   // of a whole response, 0 if there was none
	mixed      bool  // the response was to another request
	stale      bool  // it was sent on a connection whose end had been received
	err        error // why there is no whole response
	complete   bool  // all bytes of the request were sent
}

// lossSlack is the longest time from the last byte of a request to the close of its connection for which the
// request counts as having crossed the close.
const lossSlack = 200 * time.Millisecond

// closedLate reports whether the connection of a request without a response was closed later than the
// request can have crossed the close.
func (a *attempt) closedLate() bool {
	return a.complete && a.ended.Sub(a.sent) > lossSlack
}

// counts is what became of the requests of a run.
type counts struct {
	sent, served, rejected, expired, failed, closedUnread, lost int
	untrue                                                      int // rejected as not run, but run
	repeated                                                    int // run more than once, though not idempotent
	mixed                                                       int // answered with the response to another request
	cut                                                         int // responses that had begun and were not complete at the timeout
	stale                                                       int // closed unread, sent after the connection had ended
	late                                                        int // closed unread, later than lossSlack after the last byte was sent
	dropped                                                     int // failed, though sent to an instance that was stopping
	refused                                                     int // dials
}

func (c counts) String() string {
	return fmt.Sprintf("sent %d, served %d, rejected %d, expired %d, cut %d, failed %d, closed unread %d (stale %d, late %d), lost %d, untrue %d, repeated %d, mixed %d, dropped %d, dials refused %d",
		c.sent, c.served, c.rejected, c.expired, c.cut, c.failed, c.closedUnread, c.stale, c.late, c.lost, c.untrue, c.repeated, c.mixed, c.dropped, c.refused)
}

// journal collects the attempts of all callers. It is safe for concurrent use.
type journal struct {
	mu       sync.Mutex
	attempts []attempt
	refused  int
}

func (j *journal) add(attempts []attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, attempts...)
}

// refuse counts a refused dial.
func (j *journal) refuse() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refused++
}

// count returns what became of the attempts. A lost request was run by an upstream, by runs, and
// its caller got no whole response, though its timeout had not passed. bad has its attempts, and those closed late or dropped.
func (j *journal) count(runs func(id string) int, timeout time.Duration) (c counts, bad []attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c.refused = j.refused
	for _, a := range j.attempts {
		c.sent++
		n := runs(a.id)
		if n > 1 && !a.idempotent {
			c.repeated++
		}
		if a.mixed {
			c.mixed++
		}
		switch {
		case a.status == http.StatusServiceUnavailable, a.status == http.StatusNotFound:
			c.rejected++
			if n > 0 {
				c.untrue++
			}
		case a.status == http.StatusRequestTimeout: // its body did not arrive in time
			c.expired++
			if n > 0 {
				c.untrue++
			}
		case a.status == http.StatusOK:
			c.served++
		case a.status == http.StatusGatewayTimeout:
			c.expired++
		case a.status != 0:
			c.failed++
			if a.stopping {
				c.dropped++
				bad = append(bad, a)
			}
		case a.begun && a.ended.Sub(a.started) >= timeout:
			c.cut++
		case n > 0:
			c.lost++
			bad = append(bad, a)
		default:
			c.closedUnread++
			if a.stale {
				c.stale++
			}
			if a.closedLate() {
				c.late++
				bad = append(bad, a)
			}
		}
	}
	return c, bad
}
