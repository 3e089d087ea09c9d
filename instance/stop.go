package instance

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/roster"
	"hickorydrum/shutdown"
)

const (
	// propagationMargin is how long the leaving state of an instance takes to reach every
	// instance that answers look-ups.
	propagationMargin = 500 * time.Millisecond
	// arrivalMargin is how long after the expiry of the look-up responses that name an instance
	// requests may still arrive there.
	arrivalMargin = time.Second
	// responseMargin is the time from the latest deadline of a request to the end of a planned stop,
	// for its response to be written.
	responseMargin = 2 * time.Second
	// quietTime is how long a connection must have been idle to be closed during a planned stop.
	quietTime = 500 * time.Millisecond
	// operatorTime is how long a planned stop waits for the responses to operators.
	operatorTime = time.Second
	// stopPoll is the interval at which a waiting step checks its condition.
	stopPoll = 20 * time.Millisecond
)

// stop performs a planned stop. No request that was admitted has a deadline after its end.
func (i *Instance) stop() {
	expiry := time.Now().Add(i.settings.Duration("lookup-life") + propagationMargin)
	end := i.entry.Leave(expiry.Add(arrivalMargin + i.longestTimeout())).Add(responseMargin)
	shutdown.Stop(i.ctx, i.log, i.openConnections, i.stopSteps(expiry, end)...)
}

func (i *Instance) openConnections() slog.LogValuer { return i.callers.Counts() }

// stopSteps returns the steps of a planned stop: announce that the instance leaves, wait
// until look-up responses that name it have expired, finish the requests in flight, and
// announce that it is gone, and finish the operators' requests.
func (i *Instance) stopSteps(expiry, end time.Time) []shutdown.Step {
	operatorEnd := func() time.Time { return time.Now().Add(operatorTime) }
	return []shutdown.Step{
		shutdown.NewStep("leave", func(ctx context.Context) error {
			i.roster.SetSelf(roster.Leaving)
			return i.publish(ctx, roster.Leaving)
		}),
		shutdown.WaitUntil("expire", func() time.Time { return expiry }),
		shutdown.NewStep("stop accepting", func(context.Context) error { return i.callers.StopAccepting() }),
		shutdown.WaitUntilOr("finish callers", stopPoll, end, func() bool {
			i.callers.GiveUpIdle(time.Now().Add(-quietTime))
			return i.callers.Counts().Open() == 0
		}),
		shutdown.WaitUntilOr("finish upstreams", stopPoll, end, func() bool { return i.pool.InFlight() == 0 }),
		shutdown.NewStep("depart", func(ctx context.Context) error { return i.publish(ctx, roster.Gone) }),
		shutdown.NewStep("stop accepting operators", func(context.Context) error { return i.admin.StopAccepting() }),
		shutdown.WaitFor("finish operators", stopPoll, operatorEnd, i.giveUpOperators),
	}
}

// giveUpOperators gives up the idle connections of operators and reports whether none is open after that.
func (i *Instance) giveUpOperators() bool {
	i.admin.GiveUpIdle(time.Now())
	return i.admin.Counts().Open() == 0
}

// longestTimeout returns the longest timeout of a declared service, 0 if there is none.
func (i *Instance) longestTimeout() time.Duration {
	longest := time.Duration(0)
	if set := i.state.Set(); set != nil {
		for _, s := range set.Services() {
			longest = max(longest, s.Timeout())
		}
	}
	return longest
}

// publish sends this instance's state to the platform and to peers, and waits for both.
func (i *Instance) publish(ctx context.Context, state roster.State) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return i.registry.Write(ctx, withState(i.roster.Self(), state)) })
	group.Go(func() error {
		if state == roster.Gone {
			i.roster.SetSelf(state)
		}
		i.follower.NotifyPeers(ctx)
		return nil
	})
	return group.Wait()
}
