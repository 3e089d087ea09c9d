package instance

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/roster"
	"hickorydrum/server"
	"hickorydrum/shutdown"
)

// stopSteps returns the steps of a planned stop: announce that the instance leaves, wait
// until look-up responses that name it have expired, finish the requests in flight, and
// announce that it is gone.
func (i *Instance) stopSteps() []shutdown.Step {
	var leaveTime time.Time
	requestDeadline := func() time.Time {
		limit := stopSlack
		if set := i.state.Set(); set != nil {
			for _, s := range set.Services() {
				limit = max(limit, s.Timeout()+stopSlack)
			}
		}
		return time.Now().Add(limit)
	}
	return []shutdown.Step{
		shutdown.NewStep("leave", func(ctx context.Context) error {
			leaveTime = time.Now()
			i.entry.Leave()
			i.roster.SetSelf(roster.Leaving)
			return i.publish(ctx, roster.Leaving)
		}),
		shutdown.WaitUntil("expire", func() time.Time {
			return leaveTime.Add(i.settings.Duration("lookup-life") + propagationMargin)
		}),
		shutdown.NewStep("finish callers", func(ctx context.Context) error {
			ctx, cancel := context.WithDeadline(ctx, requestDeadline())
			defer cancel()
			return i.callers.http.Shutdown(ctx)
		}),
		shutdown.WaitFor("finish upstreams", stopPoll, requestDeadline, func() bool { return i.pool.InFlight() == 0 }),
		shutdown.NewStep("depart", func(ctx context.Context) error { return i.publish(ctx, roster.Gone) }),
	}
}

// openRequests returns the requests that are being sent to upstreams.
func (i *Instance) openRequests() slog.LogValuer { return server.Counts{Serving: i.pool.InFlight()} }

// publish sends this instance's state to the platform and to peers, and waits for both.
func (i *Instance) publish(ctx context.Context, state roster.State) error {
	ctx, cancel := context.WithTimeout(ctx, stopStepTimeout)
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
