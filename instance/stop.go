package instance

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/drain"
	"hickorydrum/roster"
)

// stopSteps returns the steps of a planned stop.
func (i *Instance) stopSteps() []drain.Step {
	var leftAt time.Time
	longest := func() time.Time {
		limit := stopSlack
		if set := i.state.Set(); set != nil {
			for _, s := range set.Services() {
				limit = max(limit, s.Timeout()+stopSlack)
			}
		}
		return time.Now().Add(limit)
	}
	return []drain.Step{
		drain.NewStep("leave", func(ctx context.Context) error {
			leftAt = time.Now()
			i.entry.Leave()
			i.roster.SetSelf(roster.Leaving)
			return i.publish(ctx, roster.Leaving)
		}),
		drain.WaitUntil("expire", func() time.Time {
			return leftAt.Add(i.settings.Duration("lookup-life") + spreadMargin)
		}),
		drain.NewStep("finish callers", func(ctx context.Context) error {
			ctx, cancel := context.WithDeadline(ctx, longest())
			defer cancel()
			return i.callers.http.Shutdown(ctx)
		}),
		drain.WaitFor("finish upstreams", stopPoll, longest, func() bool { return i.pool.InFlight() == 0 }),
		drain.NewStep("depart", func(ctx context.Context) error { return i.publish(ctx, roster.Gone) }),
	}
}

// publish tells peers and platform of this instance's state.
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
