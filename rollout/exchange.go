package rollout

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
	"hickorydrum/peer"
	"hickorydrum/period"
	"hickorydrum/roster"
)

// helloLoop compares notes with a few neighbours and one instance farther away, so
// that news reach everyone even when relays or the platform fail.
func (f *Follower) helloLoop(ctx context.Context) error {
	return period.Each(ctx, helloInterval, func(time.Time) {
		self := f.roster.Self()
		f.helloAll(ctx, without(f.neighbours(f.roster.View(), self), self))
	})
}

func (f *Follower) neighbours(view *roster.View, self roster.Member) []roster.Member {
	ring := view.Present(self.Region)
	var out []roster.Member
	for i, m := range ring {
		if m.ID() != self.ID() {
			continue
		}
		for k := 1; k <= helloNeighbours && k < len(ring); k++ {
			out = append(out, ring[(i+k)%len(ring)])
		}
	}
	// The farther one stays the same, since a new connection costs more than many
	// hellos.
	var remote []roster.Member
	for _, m := range view.AllPresent() {
		if m.Region != self.Region {
			remote = append(remote, m)
		}
	}
	if first, _ := roster.OwnerAndSuccessor(self.ID(), remote); first.Name != "" {
		out = append(out, first)
	}
	return out
}

func (f *Follower) helloAll(ctx context.Context, members []roster.Member) {
	var group errgroup.Group
	for _, m := range members {
		group.Go(func() error {
			f.helloOne(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
}

func target(m roster.Member) peer.Target { return peer.NewTarget(m.Name, m.Peer) }

func (f *Follower) helloOne(ctx context.Context, m roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	mine := f.ownHello()
	var theirs helloMessage
	if err := f.asker.Ask(ctx, target(m), CallHello, mine, &theirs); err != nil {
		return
	}
	f.reconcile(ctx, theirs)
}

func (f *Follower) ownHello() helloMessage {
	return helloMessage{
		From: f.roster.Self(), Revision: f.state.Revision(), Roster: f.roster.View().Digest(),
	}
}

// reconcile fetches what the other side has and this one lacks.
func (f *Follower) reconcile(ctx context.Context, theirs helloMessage) {
	f.roster.Merge([]roster.Member{theirs.From})
	if theirs.Revision <= f.state.Revision() {
		if theirs.Revision == f.state.Revision() && theirs.Revision > 0 {
			f.state.Confirm(time.Now())
		}
	} else {
		f.fetch(ctx, theirs.From)
	}
	if theirs.Roster != f.roster.View().Digest() {
		f.syncRosters(ctx, theirs.From)
	}
}

func (f *Follower) fetch(ctx context.Context, from roster.Member) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), updateTimeout)
	defer cancel()
	update, err := f.fetchAll(ctx, from)
	if err != nil || update.To <= f.state.Revision() {
		return
	}
	records, err := f.state.patch(update)
	if err != nil {
		f.logRefused(ctx, update.To, err)
		return
	}
	f.apply(ctx, records, update.To, from.Name)
}

// fetchAll asks for the change since the revision in force. A whole set comes in
// parts; when the revision changes between two of them, it begins anew.
func (f *Follower) fetchAll(ctx context.Context, from roster.Member) (updateMessage, error) {
	req := updateRequest{Have: f.state.Revision()}
	var whole updateMessage
	for {
		var part updateMessage
		if err := f.asker.Ask(ctx, target(from), CallUpdate, req, &part); err != nil {
			return updateMessage{}, err
		}
		if part.To != whole.To {
			whole = updateMessage{}
			if req.Offset > 0 {
				req.Offset = 0
				continue
			}
		}
		part.Records = append(whole.Records, part.Records...)
		whole = part
		if !part.More {
			return whole, nil
		}
		req.Offset = len(whole.Records)
	}
}

// syncRosters brings both sides to the same roster. Only the failure domains that
// differ travel.
func (f *Follower) syncRosters(ctx context.Context, with roster.Member) {
	var theirs rosterMessage
	mine := rosterMessage{Digests: f.roster.View().Digests()}
	if err := f.asker.Ask(ctx, target(with), CallRoster, mine, &theirs); err != nil {
		return
	}
	f.roster.Merge(theirs.Members)
	if missing := f.roster.View().Differing(theirs.Digests); len(missing) > 0 {
		_ = f.asker.Ask(ctx, target(with), CallRoster, rosterMessage{Members: missing}, &theirs)
	}
}

// checkSender refuses messages whose sender is not who its certificate says.
func checkSender(name string, from roster.Member) error {
	if from.Name != name {
		return fault.New(fault.Denied, "a message of "+from.Name+" came from "+name,
			"give each instance a certificate of its own")
	}
	return nil
}

func (f *Follower) onHello(ctx context.Context, name string, theirs helloMessage) (helloMessage, error) {
	if err := checkSender(name, theirs.From); err != nil {
		return helloMessage{}, err
	}
	f.roster.Merge([]roster.Member{theirs.From})
	if theirs.Revision > f.state.Revision() {
		f.fetch(ctx, theirs.From)
	} else if theirs.Revision == f.state.Revision() && theirs.Revision > 0 {
		f.state.Confirm(time.Now())
	}
	return f.ownHello(), nil
}

func (f *Follower) onUpdate(_ context.Context, _ string, req updateRequest) (updateMessage, error) {
	return f.state.since(req.Have, req.Offset), nil
}

func (f *Follower) onRoster(_ context.Context, _ string, theirs rosterMessage) (rosterMessage, error) {
	f.roster.Merge(theirs.Members)
	if theirs.Digests == nil {
		return rosterMessage{}, nil
	}
	view := f.roster.View()
	return rosterMessage{Members: view.Differing(theirs.Digests), Digests: view.Digests()}, nil
}

// NotifyPeers tells the neighbours of a change of this instance and returns when
// each has answered or its time is over.
func (f *Follower) NotifyPeers(ctx context.Context) {
	self := f.roster.Self()
	view := f.roster.View()
	f.helloAll(ctx, without(append(view.Present(self.Region), f.neighbours(view, self)...), self))
}

// Bootstrap asks the known instances for the revision in force, for a start
// while the platform does not answer.
func (f *Follower) Bootstrap(ctx context.Context, seeds []peer.Target) {
	for _, to := range seeds {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		var theirs helloMessage
		err := f.asker.Ask(ctx, to, CallHello, f.ownHello(), &theirs)
		if err == nil {
			f.reconcile(ctx, theirs)
		}
		cancel()
	}
}
