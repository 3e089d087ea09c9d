package hosted

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"hickorydrum/shutdown"
)

const (
	// maxStopMargin bounds the time between the end of a planned stop and the end of the grace period,
	// which is a tenth of that period if that is shorter.
	maxStopMargin = 300 * time.Millisecond
	// maxAnswerMargin bounds the time for responses to be written after the latest deadline that a request
	// may have, which is a fifteenth of the grace period if that is shorter.
	maxAnswerMargin = 200 * time.Millisecond
	// propagationMargin is the time allowed for all instances to stop naming this one in look-ups.
	propagationMargin = 500 * time.Millisecond
	// lateLookups is the factor by which some callers exceed the TTL of a look-up.
	lateLookups = 3
	// quietTime is how long a connection must have been idle to be given up. The listener closes early if no
	// connection is open and none was accepted for as long.
	quietTime = 500 * time.Millisecond
	// stopPoll is the interval at which a waiting step checks its condition.
	stopPoll = 20 * time.Millisecond
	// defaultTimeout stands for the longest timeout of a request if no configuration is in force or it sets
	// none.
	defaultTimeout = time.Second
)

// stop performs a planned stop: it directs callers to other instances and accepts connections until the
// look-ups that name this instance have expired, also at callers that use them for too long, as far as the
// grace period allows. It then closes the listener, waits until no connection is open, and ends the sends
// that remain at the last deadline that a request may have. Whether a request is cut off does not depend on
// these times: one whose deadline is later is rejected before it is sent, and a connection is given up only
// while it is idle or the head of a request on it stays incomplete.
func (i *Instance) stop() {
	begun := time.Now()
	i.readSettings(context.Background()) // the grace period may have changed; the last one holds otherwise
	shutdown.Stop(context.Background(), i.log, i.openConnections, i.stopSteps(begun)...)
}

func (i *Instance) openConnections() slog.LogValuer { return i.servers.front.Counts() }

// stopSteps returns the steps of a planned stop: name other instances in look-ups, wait until callers use
// those, close the callers' listener, finish their requests, end the sends that remain, and close the other
// servers.
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
		shutdown.WaitUntilOr("late look-ups", stopPoll, lastAccept, i.giveUpQuiet),
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
		shutdown.WaitUntilOr("last answers", stopPoll, end, func() bool { return i.servers.giveUpOthers() && closed() }),
	}
}

// acceptTimes returns when the look-ups that name this instance have expired, and until when the listener
// stays open after that for callers that use them for too long. last leaves time for a request with the
// longest timeout; if it is before expired, there is no such wait.
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

// giveUpQuiet gives up the connections that were idle for quietTime. It reports whether none is open and
// none was accepted for as long.
func (i *Instance) giveUpQuiet() bool {
	front, now := i.servers.front, time.Now()
	front.GiveUpIdle(now.Add(-quietTime))
	return front.Counts().Open() == 0 && now.Sub(front.LastAccepted()) > quietTime
}
