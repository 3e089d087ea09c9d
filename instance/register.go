package instance

import (
	"context"
	"log/slog"

	"hickorydrum/event"
	"hickorydrum/interval"
	"hickorydrum/platform"
	"hickorydrum/roster"
)

// join copies the state of the peers and then registers this instance with the platform.
// Look-ups name only registered instances.
func (i *Instance) join(ctx context.Context) error {
	// The copy from peers comes first. It doesn't need the platform, and an instance that
	// cannot register yet still serves the callers that send requests to it.
	i.bootstrap(ctx)
	if !i.register(ctx, withState(i.roster.Self(), roster.Joining)) {
		return nil
	}
	if members, err := i.registry.Read(ctx); err == nil {
		i.roster.Merge(members)
	}
	i.adopt(ctx)
	if !i.register(ctx, withState(i.roster.Self(), roster.Live)) {
		return nil
	}
	if i.roster.Self().State == roster.Joining {
		i.roster.SetSelf(roster.Live)
		event.Registered.Log(ctx, i.log)
	}
	i.follower.NotifyPeers(ctx)
	event.Ready.Log(ctx, i.log)
	return nil
}

// withState returns m with another state.
func withState(m roster.Member, s roster.State) roster.Member {
	m.State = s
	return m
}

// onGone writes a member's state as gone to the platform, for instances that start later.
func (i *Instance) onGone(m roster.Member) {
	i.startRegister(withState(m, roster.Gone))
}

// startRegister registers a member in the background.
func (i *Instance) startRegister(m roster.Member) {
	i.group.Go(func() error {
		i.register(i.ctx, m)
		return nil
	})
}

// register writes a member's state to the platform, with retries until it succeeds. It
// reports false if the context ended first.
func (i *Instance) register(ctx context.Context, m roster.Member) bool {
	for failures := 0; ctx.Err() == nil; failures++ {
		err := i.registry.Write(ctx, m)
		if err == nil {
			return true
		}
		if failures == 0 {
			event.RegisterFailed.Log(ctx, i.log, slog.String("member", m.ID()), slog.String("error", err.Error()))
		}
		interval.Sleep(ctx, platform.Backoff(failures))
	}
	return false
}

// onEra writes again what the platform may have lost, after that came back from a copy.
func (i *Instance) onEra(relay bool) {
	i.claimer.WriteAgain()
	if relay {
		i.registerDomain()
	}
}

// registerDomain writes the members of the failure domain to the platform again, after that came back from a copy which
// may lack them or have them in an earlier state. A state that the platform has already is not written.
func (i *Instance) registerDomain() {
	own := i.roster.Self().Domain
	for _, m := range i.roster.View().Members() {
		if m.Domain == own {
			i.startRegister(m)
		}
	}
}
