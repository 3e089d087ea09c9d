package hosted

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"hickorydrum/shutdown"
)

const (
	// maxStopMargin is how long before the end of the grace period a planned stop ends at the latest, or a
	// tenth of the period if that is shorter.
	maxStopMargin = 300 * time.Millisecond
	// maxAnswerMargin is the time from the latest deadline of a request that is still sent to an upstream to
	// the end of the stop, for its response to be written, or a fifteenth of the period if that is shorter.
	maxAnswerMargin = 200 * time.Millisecond
	// propagationMargin is how long it takes until no instance names this one in look-ups any more.
	propagationMargin = 500 * time.Millisecond
	// lateLookups is how many times as long as they may some callers use the response to a look-up.
	lateLookups = 3
	// quietTime is how long no caller must have opened a connection for the stop to go on early, and how
	// long a connection must have been idle to be closed.
	quietTime = 500 * time.Millisecond
	stopPoll  = 20 * time.Millisecond
	// defaultTimeout is the longest time that a request may take if no configuration is in force.
	defaultTimeout = time.Second
)

// stop performs a planned stop: it directs callers to other instances, serves them until the look-ups
// that name this instance have expired, and then waits until no connection is open. Correctness does not
// depend on its times: a connection is given up only while no request is on it, and a request whose
// deadline is after the end of the stop is rejected.
func (i *Instance) stop() {
	begun := time.Now()
	i.readSettings(context.Background()) // the grace period may have changed; the last one holds otherwise
	shutdown.Stop(context.Background(), i.log, i.openConnections, i.stopSteps(begun)...)
}

func (i *Instance) openConnections() slog.LogValuer { return i.servers.front.Counts() }

// stopSteps returns the steps of a planned stop that begins now.
func (i *Instance) stopSteps(begun time.Time) []shutdown.Step {
	grace := i.bounds.Load().Grace
	end := begun.Add(grace - min(maxStopMargin, grace/10))
	lastAnswer := end.Add(-min(maxAnswerMargin, grace/15))
	expired, lastAccept := i.acceptTimes(begun, lastAnswer)
	front := i.servers.front
	closed := func() bool { return front.Counts().Open() == 0 }
	return []shutdown.Step{
		shutdown.NewStep("leave", func(context.Context) error {
			i.ingress.Leave(lastAnswer)
			i.mesh.Leave()
			return nil
		}),
		shutdown.WaitUntil("expire", func() time.Time { return expired }),
		shutdown.WaitUntilOr("late look-ups", stopPoll, lastAccept, i.quiet),
		shutdown.NewStep("stop accepting", func(context.Context) error { return front.StopAccepting() }),
		shutdown.WaitUntilOr("finish callers", stopPoll, lastAnswer, func() bool {
			front.GiveUpIdle(time.Now().Add(-quietTime))
			return closed()
		}),
		shutdown.NewStep("cut", func(context.Context) error {
			i.ingress.Cut()
			front.GiveUpIdle(time.Now())
			return nil
		}),
		shutdown.NewStep("stop accepting others", func(context.Context) error { return i.servers.stopAcceptingOthers() }),
		shutdown.WaitUntilOr("last answers", stopPoll, end, func() bool { return i.servers.othersClosed() && closed() }),
	}
}

// acceptTimes returns when the look-ups that name this instance have expired, and when the last
// connection is accepted: when those of callers who use them for too long have expired as well, but no
// later than a request with the longest timeout can be answered.
func (i *Instance) acceptTimes(begun, lastAnswer time.Time) (expired, last time.Time) {
	ttl := i.lookupTTL()
	longest := defaultTimeout
	if t := i.planner.Table(); t != nil {
		longest = cmp.Or(t.LongestTimeout(), longest)
	}
	expired = earlier(begun.Add(ttl+propagationMargin), lastAnswer)
	last = earlier(begun.Add(lateLookups*ttl+propagationMargin), lastAnswer.Add(-longest))
	return expired, last
}

// lookupTTL returns how long callers may cache the response to a look-up.
func (i *Instance) lookupTTL() time.Duration { return min(maxLookupTTL, i.bounds.Load().LookupTTL) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// quiet gives up idle connections and reports whether no connection is open and none was opened lately.
func (i *Instance) quiet() bool {
	front, now := i.servers.front, time.Now()
	front.GiveUpIdle(now.Add(-quietTime))
	return front.Counts().Open() == 0 && now.Sub(front.LastAccepted()) > quietTime
}
