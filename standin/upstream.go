package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"hickorydrum/interval"
)

// Headers that the load tool and the stand-in upstream share.
const (
	HeaderLoadID = "Load-Id"     // ID of one request of the load
	HeaderSum    = "Content-Sum" // SHA-256 of a received or sent body
	HeaderSize   = "Load-Size"   // wanted size of the response body, in bytes
)

const (
	coldRequests    = 5 // first requests, which take coldFactor times as long
	coldFactor      = 5
	defaultBodySize = 2 << 10
	lateDelay       = 3 * time.Second
	drainGrace      = 2 * time.Second
)

// UpstreamFault is a fault that can be injected into an Upstream.
type UpstreamFault string

// The faults of an upstream.
const (
	UpstreamShed        UpstreamFault = "shed"     // refuse the request without running it
	UpstreamTruncate    UpstreamFault = "truncate" // truncate the response
	UpstreamMismatch    UpstreamFault = "cross"    // respond as if to another request
	UpstreamLate        UpstreamFault = "late"     // delay the response by lateDelay
	UpstreamSilent      UpstreamFault = "silent"   // run the request, but never respond
	UpstreamReset       UpstreamFault = "reset"    // run the request, then abort the connection
	UpstreamFalseHealth UpstreamFault = "lie"      // report ready and no load on the health page, whatever the state
)

// Stats holds the counters of an Upstream.
type Stats struct {
	Runs       map[string]int `json:"runs"`       // number of runs by request ID
	Peak       int            `json:"peak"`       // most requests at a time
	OverLimit  int            `json:"over"`       // requests accepted beyond the slots
	Refused    int            `json:"refused"`    // requests refused without running, for lack of a slot
	AfterDrain int            `json:"afterDrain"` // requests that started more than drainGrace, 2 s, after a drain began
	Served     int            `json:"served"`
}

// Upstream is a stand-in upstream with slots and no queue, whose runs can be counted by
// request ID.
type Upstream struct {
	slots       int
	serviceTime time.Duration
	onRun       func(id string)
	random      *rand.Rand

	mu         sync.Mutex
	inFlight   int
	served     int
	stats      Stats
	drainStart time.Time
	faults     map[UpstreamFault]int
	limit      string // value of the Limit header, "" for none
	start      time.Time
}

// NewUpstream returns an upstream whose mean service time is the given one. It calls onRun
// for each run of a request that has an ID.
func NewUpstream(slots int, serviceTime time.Duration, seed uint64, onRun func(id string)) *Upstream {
	return &Upstream{
		slots: slots, serviceTime: serviceTime, onRun: onRun, random: rand.New(rand.NewPCG(seed, 1)),
		stats: Stats{Runs: make(map[string]int)}, faults: make(map[UpstreamFault]int), start: time.Now(),
	}
}

// Fail injects a fault into the next n requests: -1 for all, 0 to end the fault.
func (u *Upstream) Fail(f UpstreamFault, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults[f] = n
}

// Drain makes the health page report that the upstream is draining. Requests are still
// served.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drainStart = time.Now()
}

// Stats returns the counters.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	stats := u.stats
	stats.Served = u.served
	stats.Runs = make(map[string]int, len(u.stats.Runs))
	for id, n := range u.stats.Runs {
		stats.Runs[id] = n
	}
	return stats
}

// takeFault reports whether the fault applies to this request. If so, it applies to one
// request fewer from now on, unless it applies to all.
func (u *Upstream) takeFault(f UpstreamFault) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.faults[f]
	if n > 0 {
		u.faults[f]--
	}
	return n != 0
}

// NameLimit makes the upstream name a limit in its responses, in requests a second, or none
// if it is empty. The upstream does not enforce it.
func (u *Upstream) NameLimit(perSecond string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = perSecond
}

// Handler returns the handler of the upstream's requests, its health page and its controls
// for tests.
func (u *Upstream) Handler() http.Handler {
	server := echo.New()
	server.GET("/health", u.health)
	server.GET("/standin/facts", func(c echo.Context) error { return c.JSON(http.StatusOK, u.Stats()) })
	server.POST("/standin/drain", func(c echo.Context) error {
		u.Drain()
		return c.NoContent(http.StatusNoContent)
	})
	server.POST("/standin/limit", func(c echo.Context) error {
		u.NameLimit(c.QueryParam("rate"))
		return c.NoContent(http.StatusNoContent)
	})
	server.POST("/standin/fault", func(c echo.Context) error {
		n, err := strconv.Atoi(c.QueryParam("requests"))
		if err != nil {
			return c.String(http.StatusBadRequest, "requests is not a number")
		}
		u.Fail(UpstreamFault(c.QueryParam("kind")), n)
		return c.NoContent(http.StatusNoContent)
	})
	server.Any("/*", u.serve)
	return server
}

func (u *Upstream) health(c echo.Context) error {
	u.mu.Lock()
	state, busy := "ready", u.inFlight
	if !u.drainStart.IsZero() {
		state = "draining"
	}
	u.mu.Unlock()
	if u.takeFault(UpstreamFalseHealth) {
		state, busy = "ready", 0
	}
	return c.JSON(http.StatusOK, map[string]any{"state": state, "busy": busy, "slots": u.slots, "start": u.start.UnixMilli()})
}

// acquireSlot takes a slot if one is free. It reports whether it did, and whether the upstream
// is cold.
func (u *Upstream) acquireSlot() (cold, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.inFlight >= u.slots {
		u.stats.Refused++
		return false, false
	}
	u.inFlight++
	u.stats.Peak = max(u.stats.Peak, u.inFlight)
	if u.inFlight > u.slots {
		u.stats.OverLimit++
	}
	if !u.drainStart.IsZero() && time.Since(u.drainStart) > drainGrace {
		u.stats.AfterDrain++
	}
	return u.served < coldRequests, true
}

func (u *Upstream) releaseSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
	u.served++
}

// serve handles one request.
func (u *Upstream) serve(c echo.Context) error {
	r := c.Request()
	h := c.Response().Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if u.takeFault(UpstreamShed) {
		return shed(c)
	}
	cold, ok := u.acquireSlot()
	if !ok {
		return shed(c)
	}
	defer u.releaseSlot()
	sum := sha256.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		return nil // the body was truncated: the request is not run
	}
	id := r.Header.Get(HeaderLoadID)
	u.recordRun(id)
	u.simulateWork(r, cold)
	if r.Context().Err() != nil {
		return nil
	}
	return u.respond(c, id, hex.EncodeToString(sum.Sum(nil)))
}

// ShedPause is the time for which an upstream that refuses a request wants no more from an instance.
const ShedPause = time.Second

// shed refuses a request without running it.
func shed(c echo.Context) error {
	h := c.Response().Header()
	h.Set("Ran", "no")
	h.Set("Retry-After", strconv.FormatFloat(ShedPause.Seconds(), 'f', -1, 64))
	return c.String(http.StatusServiceUnavailable, "shed")
}

// recordRun counts a run of the request with the ID; requests without one are not counted.
func (u *Upstream) recordRun(id string) {
	if id == "" {
		return
	}
	u.mu.Lock()
	u.stats.Runs[id]++
	u.mu.Unlock()
	u.onRun(id)
}

// simulateWork waits for a random time from 0.75 to 1.25 times the mean service time, and
// for longer on a cold upstream. It ends early with the request's context.
func (u *Upstream) simulateWork(r *http.Request, cold bool) {
	u.mu.Lock()
	d := time.Duration(float64(u.serviceTime) * (0.75 + u.random.Float64()/2))
	u.mu.Unlock()
	if cold {
		d *= coldFactor
	}
	if u.takeFault(UpstreamLate) {
		d += lateDelay
	}
	interval.Sleep(r.Context(), d)
}

// respond sends the response, with the fault that is set. sum is the hex SHA-256 of the
// request's body.
func (u *Upstream) respond(c echo.Context, id, sum string) error {
	r := c.Request()
	switch {
	case u.takeFault(UpstreamReset):
		panic(http.ErrAbortHandler)
	case u.takeFault(UpstreamSilent):
		<-r.Context().Done()
		return nil
	case u.takeFault(UpstreamMismatch):
		c.Response().Header().Set("Request-Id", "another")
		id = "another"
	}
	size := defaultBodySize
	if n, err := strconv.Atoi(r.Header.Get(HeaderSize)); err == nil && n >= 0 {
		size = n
	}
	body := GenerateBody(id, size)
	h := c.Response().Header()
	h.Set(HeaderLoadID, id)
	h.Set(HeaderSum, sum)
	u.mu.Lock()
	h.Set("Busy", strconv.Itoa(u.inFlight))
	if u.limit != "" {
		h.Set("Limit", u.limit)
	}
	u.mu.Unlock()
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Content-Type", echo.MIMEOctetStream)
	c.Response().WriteHeader(http.StatusOK)
	if u.takeFault(UpstreamTruncate) {
		_, _ = c.Response().Write(body[:len(body)/2])
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	_, err := c.Response().Write(body)
	return err
}

// GenerateBody returns the body of a request or a response with the ID. It depends only on
// its parameters, so that a test can tell whether a response is complete and belongs to its
// request.
func GenerateBody(id string, size int) []byte {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	line := fmt.Sprintf("%016x %s\n", h.Sum64(), id)
	body := make([]byte, 0, size+len(line))
	for len(body) < size {
		body = append(body, line...)
	}
	return body[:size]
}
