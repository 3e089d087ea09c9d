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
)

// Headers that the load tool and the stand-in upstream share.
const (
	HeaderLoadID = "Load-Id"     // identifies one request of the load
	HeaderSum    = "Content-Sum" // SHA-256 of a received or sent body
	HeaderSize   = "Load-Size"   // wanted size of the answer
)

const (
	coldRequests = 5
	coldFactor   = 5
	defaultSize  = 2 << 10
	lateAnswer   = 3 * time.Second
	drainGrace   = 2 * time.Second
)

// UpstreamFault is a way in which an upstream fails on order.
type UpstreamFault string

// The faults of an upstream.
const (
	UpstreamShed     UpstreamFault = "shed"     // refuse without running
	UpstreamTruncate UpstreamFault = "truncate" // cut the answer short
	UpstreamMismatch    UpstreamFault = "cross"    // answer as if to another request
	UpstreamLate     UpstreamFault = "late"     // answer late
	UpstreamSilent   UpstreamFault = "silent"   // run, but never answer
	UpstreamReset    UpstreamFault = "reset"    // run, then close without an answer
	UpstreamFalseHealth      UpstreamFault = "lie"      // claim health and no load whatever holds
)

// Stats is what an upstream has counted.
type Stats struct {
	Runs       map[string]int `json:"runs"`
	Peak       int            `json:"peak"`       // most requests at once
	OverLimit       int            `json:"over"`       // requests run beyond the slots
	Refused    int            `json:"refused"`    // refused unrun, for lack of a slot
	AfterDrain int            `json:"afterDrain"` // requests begun 2 s or more after a drain began
	Served     int            `json:"served"`
}

// Upstream is a worker with slots.
type Upstream struct {
	slots  int
	work   time.Duration
	onRun  func(id string)
	random *rand.Rand

	mu        sync.Mutex
	inFlight  int
	served    int
	facts     Stats
	drainedAt time.Time
	faults    map[UpstreamFault]int
}

// NewUpstream returns a worker that takes about the given time for a request.
// onRun is called whenever a request is run.
func NewUpstream(slots int, work time.Duration, seed uint64, onRun func(id string)) *Upstream {
	return &Upstream{
		slots: slots, work: work, onRun: onRun, random: rand.New(rand.NewPCG(seed, 1)),
		facts: Stats{Runs: make(map[string]int)}, faults: make(map[UpstreamFault]int),
	}
}

// Fail makes the next n requests fail, -1 for all, 0 to end the fault.
func (u *Upstream) Fail(f UpstreamFault, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults[f] = n
}

// Drain makes the worker say that it leaves.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drainedAt = time.Now()
}

// Stats returns what was counted.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.facts
	f.Served = u.served
	f.Runs = make(map[string]int, len(u.facts.Runs))
	for id, n := range u.facts.Runs {
		f.Runs[id] = n
	}
	return f
}

func (u *Upstream) hit(f UpstreamFault) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.faults[f]
	if n > 0 {
		u.faults[f]--
	}
	return n != 0
}

// Handler serves the worker's requests, health page and controls.
func (u *Upstream) Handler() http.Handler {
	server := echo.New()
	server.GET("/health", u.health)
	server.GET("/standin/facts", func(c echo.Context) error { return c.JSON(http.StatusOK, u.Stats()) })
	server.POST("/standin/drain", func(c echo.Context) error {
		u.Drain()
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
	if !u.drainedAt.IsZero() {
		state = "draining"
	}
	u.mu.Unlock()
	if u.hit(UpstreamFalseHealth) {
		state, busy = "ready", 0
	}
	return c.JSON(http.StatusOK, map[string]any{"state": state, "busy": busy, "slots": u.slots})
}

// enter takes a slot, unless all are taken.
func (u *Upstream) enter() (cold, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.inFlight >= u.slots {
		u.facts.Refused++
		return false, false
	}
	u.inFlight++
	u.facts.Peak = max(u.facts.Peak, u.inFlight)
	if u.inFlight > u.slots {
		u.facts.OverLimit++
	}
	if !u.drainedAt.IsZero() && time.Since(u.drainedAt) > drainGrace {
		u.facts.AfterDrain++
	}
	return u.served < coldRequests, true
}

func (u *Upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
	u.served++
}

// serve runs one request.
func (u *Upstream) serve(c echo.Context) error {
	r := c.Request()
	h := c.Response().Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if u.hit(UpstreamShed) {
		return shed(c)
	}
	cold, ok := u.enter()
	if !ok {
		return shed(c)
	}
	defer u.leave()
	sum := sha256.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		return nil // the body was cut: nothing is run
	}
	id := r.Header.Get(HeaderLoadID)
	u.run(id)
	u.pause(r, cold)
	if r.Context().Err() != nil {
		return nil
	}
	return u.answer(c, id, hex.EncodeToString(sum.Sum(nil)))
}

// shed refuses a request unrun.
func shed(c echo.Context) error {
	h := c.Response().Header()
	h.Set("Ran", "no")
	h.Set("Retry-After", "1")
	return c.String(http.StatusServiceUnavailable, "shed")
}

func (u *Upstream) run(id string) {
	if id == "" {
		return
	}
	u.mu.Lock()
	u.facts.Runs[id]++
	u.mu.Unlock()
	u.onRun(id)
}

// pause works for a time that varies by half; a cold worker takes longer.
func (u *Upstream) pause(r *http.Request, cold bool) {
	u.mu.Lock()
	d := time.Duration(float64(u.work) * (0.75 + u.random.Float64()/2))
	u.mu.Unlock()
	if cold {
		d *= coldFactor
	}
	if u.hit(UpstreamLate) {
		d += lateAnswer
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (u *Upstream) answer(c echo.Context, id, sum string) error {
	r := c.Request()
	switch {
	case u.hit(UpstreamReset):
		panic(http.ErrAbortHandler)
	case u.hit(UpstreamSilent):
		<-r.Context().Done()
		return nil
	case u.hit(UpstreamMismatch):
		c.Response().Header().Set("Request-Id", "another")
		id = "another"
	}
	size := defaultSize
	if n, err := strconv.Atoi(r.Header.Get(HeaderSize)); err == nil && n >= 0 {
		size = n
	}
	body := GenerateBody(id, size)
	h := c.Response().Header()
	h.Set(HeaderLoadID, id)
	h.Set(HeaderSum, sum)
	u.mu.Lock()
	h.Set("Busy", strconv.Itoa(u.inFlight))
	u.mu.Unlock()
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Content-Type", echo.MIMEOctetStream)
	c.Response().WriteHeader(http.StatusOK)
	if u.hit(UpstreamTruncate) {
		_, _ = c.Response().Write(body[:len(body)/2])
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	_, err := c.Response().Write(body)
	return err
}

// GenerateBody returns the answer to the request with the id, so that the load tool
// can tell whether an answer is whole and its own.
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
