package server

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/event"
	"hickorydrum/memory"
)

// Limits bound what clients may take of the process. The zero value has no bound.
type Limits struct {
	// Connections is how many may be open at a time, 0 for no bound.
	Connections int
	// HeaderLines is how many lines the head of a request may have, 0 for no bound.
	HeaderLines int
	// Heads bounds the memory of the requests in progress without their bodies, nil for no bound.
	Heads *memory.Budget
	// MinRate states that a client that sends a head or a body at less than minRate is given up.
	MinRate bool
}

const (
	// DefaultHeaderLines is far above the number of lines of ordinary heads, and bounds the memory of one head: the
	// lines take more of it than their bytes.
	DefaultHeaderLines = 1000
	// A client is given up if it sends less than minRate bytes a second over ratePeriod.
	minRate    = 1 << 10
	ratePeriod = 5 * time.Second
	// minIdle is how long a connection must have been idle to be closed for a new one: a request may be on its way
	// on a younger one.
	minIdle = 100 * time.Millisecond
	// Connections that were closed for new ones may exceed the limit by one in closingPart: they are open until the client
	// has acknowledged the end.
	closingPart = 8
	// refuseTime bounds the write of a refusal.
	refuseTime = 100 * time.Millisecond
	// The Retry-After of a refused client is from minReturn to maxReturn, at random: stalled clients are given up
	// after ratePeriod, and requests end all the time.
	minReturn = 500 * time.Millisecond
	maxReturn = 1500 * time.Millisecond
	// maxLimitLines limits the log lines about clients that met a limit in a second.
	maxLimitLines = 20
)

// The names of limits in metrics and log lines.
const (
	limitConnections = "connections"
	limitHeads       = "heads"
	limitHeaderBytes = "header-bytes"
	limitHeaderLines = "header-lines"
	limitHeadRate    = "head-rate"
	limitBodyRate    = "body-rate"
)

// WithLimits sets the limits; the default is none.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// ReportLimit counts and logs that a client met a limit. The status is that of the refusal, 0 if there is none. The
// lines are those of all servers of the process together.
func ReportLimit(log *slog.Logger, server, limit, client string, status int) {
	metrics.GetOrCreateCounter(`hickorydrum_limit_rejections_total{server="` + server + `",limit="` + limit + `"}`).Inc()
	now := time.Now()
	omitted := limitLines.Omitted(now)
	if omitted > 0 {
		event.LinesOmitted.Log(context.Background(), log, slog.Int("count", omitted))
	}
	if limitLines.Allow(now) {
		event.LimitReached.Log(context.Background(), log, slog.String("server", server), slog.String("limit", limit),
			slog.String("client", client), slog.Int("status", status))
	}
}

var limitLines = event.NewLimiter(event.LinesPerSecond(maxLimitLines))

func (s *Server) reportLimit(limit string, client net.Addr, status int) {
	ReportLimit(s.log, s.name, limit, client.String(), status)
}

// makeRoom reports whether one more connection may be opened. If there are too many, it closes the one that has been
// idle for longest; if none is idle, it refuses the new one.
func (s *Server) makeRoom(raw net.Conn) bool {
	if s.limits.Connections == 0 || s.openCount() < s.limits.Connections {
		return true
	}
	closed := s.closeLongestIdle(time.Now().Add(-minIdle))
	if closed && s.openCount() < s.limits.Connections+max(1, s.limits.Connections/closingPart) {
		return true
	}
	s.reportLimit(limitConnections, raw.RemoteAddr(), http.StatusServiceUnavailable)
	writeRefusal(raw, http.StatusServiceUnavailable)
	_ = raw.Close() // the client may have got the response or not: nothing of it was read
	return false
}

func (s *Server) openCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closeLongestIdle closes the connection that has been idle for longest, if it was so before the given time. It reports
// whether there was one.
func (s *Server) closeLongestIdle(before time.Time) bool {
	type candidate struct {
		conn  *conn
		since time.Time
	}
	var candidates []candidate
	for _, c := range s.all() {
		if since, ok := c.idleSince(); ok && since.Before(before) {
			candidates = append(candidates, candidate{c, since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.since.Compare(b.since) })
	for _, one := range candidates {
		one.conn.giveUp(idle, func(since, _ time.Time) bool { return since.Equal(one.since) })
		if one.conn.load() == closing {
			return true
		}
	}
	return false
}

// idleSince returns since when the connection is idle, and false if it is not.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateSince, c.load() == idle
}

// writeRefusal writes a response of the server itself, before a request was read whole. It closes the connection for
// writing.
func writeRefusal(raw net.Conn, status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		wait := minReturn + time.Duration(rand.Int64N(int64(maxReturn-minReturn)))
		retry = fmt.Sprintf("Retry-After: %.3f\r\n", wait.Seconds())
	}
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	_ = raw.SetWriteDeadline(time.Now().Add(refuseTime)) // it fails if the connection is closed
	_, err := fmt.Fprintf(raw, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s\n",
		text, retry, len(text)+1, text)
	if w, ok := raw.(closeWriter); ok && err == nil {
		_ = w.CloseWrite() // the connection is closed next
	}
}

// SetMaxHeader sets how many bytes the head of a request may have, at least maxHeaderBytes and at most
// headerCeiling.
func (s *Server) SetMaxHeader(bytes int) {
	s.headerBytes.Store(int64(min(max(bytes, maxHeaderBytes), headerCeiling)))
}
