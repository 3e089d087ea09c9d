package load

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/fleet"
)

// sentLimited counts the requests that this instance sent to upstreams which had named a limit.
var sentLimited = metrics.GetOrCreateCounter(`hickorydrum_limited_sends_total`)

// NamedLimit is what a response says of the limit of its upstream.
type NamedLimit struct {
	// Named states that it names a limit, PerSecond, in requests a second from all instances
	// together.
	Named     bool
	PerSecond float64
	// Executed states that the upstream executed the request. Only then does a response that
	// names no limit end the limit.
	Executed bool
	// SentAt is when the request was sent.
	SentAt time.Time
}

// LimitChange is how a response changed what the tracker knows of a limit.
type LimitChange int

// The changes.
const (
	LimitKept  LimitChange = iota // nothing changed
	LimitSet                      // the upstream has a limit, or another one
	LimitEnded                    // the upstream has no limit any more
)

// limit is the limit of an upstream.
type limit struct {
	inForce   bool
	perSecond float64
	// changedAt is when the limit was set or ended.
	changedAt time.Time
}

// RecordLimit records what a response says of the limit of its upstream.
func (tr *Tracker) RecordLimit(u *fleet.Upstream, n NamedLimit, now time.Time) LimitChange {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s, ok := tr.states[u.ID]
	if !ok || s.startMillis != u.StartMillis {
		return LimitKept
	}
	switch {
	case n.Named && (!s.limit.inForce || s.limit.perSecond != n.PerSecond):
		s.limit = limit{inForce: true, perSecond: n.PerSecond, changedAt: now}
		return LimitSet
	case !n.Named && n.Executed && s.limit.inForce:
		s.limit = limit{changedAt: now}
		return LimitEnded
	}
	return LimitKept
}
