package rollout

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
	"hickorydrum/interval"
	"hickorydrum/peer"
	"hickorydrum/revision"
	"hickorydrum/roster"
)

// helloLoop regularly exchanges hellos with a few neighbours in the region and one
// instance of another region, so that changes reach every instance even when
// relays or the platform fail. It also ends the retention of the list.
func (f *Follower) helloLoop(ctx context.Context) error {
	return interval.Each(ctx, helloInterval, func(now time.Time) {
		f.endListRetention(now)
		self := f.roster.Self()
		f.helloAll(ctx, without(f.neighbours(f.roster.View(), self), self))
	})
}

// neighbours returns the next helloNeighbours members in the ring of the region
// and one member of another region.
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
	// The member of another region is chosen by rank and so stays the same, since a
	// new connection costs more than many hellos.
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

// helloAll sends hellos to the members concurrently and waits for all of them.
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

// target returns the target of calls to a member.
func target(m roster.Member) peer.Target { return peer.NewTarget(m.Name, m.Peer) }

// helloOne exchanges hellos with a member. A failure is ignored, as a later hello
// makes up for it.
func (f *Follower) helloOne(ctx context.Context, m roster.Member) {
	theirs, err := f.hello(ctx, target(m))
	if err != nil {
		return
	}
	f.reconcile(ctx, theirs)
}

// hello sends a hello and returns that of the peer.
func (f *Follower) hello(ctx context.Context, to peer.Target) (theirs helloMessage, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = f.asker.Ask(ctx, to, CallHello, f.ownHello(), &theirs)
	return theirs, err
}

// ownHello returns the hello of this instance in its present state.
func (f *Follower) ownHello() helloMessage {
	at, list := f.state.Revision(), f.listVersion()
	hello := helloMessage{
		From: f.roster.Self(), Revision: at.Number, Era: at.Era, Roster: f.roster.View().Digest(), List: list.Number, ListEra: list.Era,
	}
	f.newestMu.Lock()
	hello.StoreEra = f.newest.Era
	f.newestMu.Unlock()
	if at := f.state.ConfirmedAt(); !at.IsZero() {
		age := max(0, time.Since(at).Milliseconds())
		hello.ConfirmedMillis = &age
	}
	return hello
}

// confirmBy takes a peer's hello for a confirmation of the revision in force, if the peer has the same one. It is
// as old as what confirmed it to the peer.
func (f *Follower) confirmBy(theirs *helloMessage) {
	if theirs.revision() != f.state.Revision() || theirs.Revision == 0 || theirs.ConfirmedMillis == nil {
		return
	}
	if age := *theirs.ConfirmedMillis; age >= 0 && age < time.Hour.Milliseconds() {
		f.state.Confirm(time.Now().Add(-time.Duration(age) * time.Millisecond))
	}
}

// take compares the hello of a peer with the state of this instance. It fetches a higher revision and a
// later list of instances, takes an equal revision that was confirmed to the peer as a confirmation, and
// learns of a later era of the platform.
func (f *Follower) take(ctx context.Context, theirs *helloMessage) {
	f.roster.Merge([]roster.Member{theirs.From})
	f.noteNewest(ctx, revision.Revision{Era: theirs.StoreEra}, theirs.From.Name)
	if theirs.revision().After(f.state.Revision()) {
		f.fetch(ctx, theirs.From)
	}
	f.confirmBy(theirs)
	if theirs.list().After(f.listVersion()) {
		f.fetchList(ctx, theirs.From)
	}
}

// reconcile takes the hello of a peer, and exchanges members if the rosters differ.
func (f *Follower) reconcile(ctx context.Context, theirs helloMessage) {
	f.take(ctx, &theirs)
	if theirs.Roster != f.roster.View().Digest() {
		f.syncRosters(ctx, theirs.From)
	}
}

// fetch requests the changes since the revision in force from a peer and applies
// them. The update has a longer time limit than a hello, since a whole set may take
// several calls.
func (f *Follower) fetch(ctx context.Context, from roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	update, err := f.fetchAll(ctx, from)
	if err != nil || !f.state.accepts(update.to(), update.appliedAt()) {
		return
	}
	records, err := f.state.patch(update)
	if err != nil {
		f.logRefused(ctx, update.to(), err)
		return
	}
	f.apply(ctx, records, update.to(), update.appliedAt(), from.Name)
}

// fetchAll requests the update since the revision in force. A whole set comes in
// several parts; if the peer's revision changes between two of them, fetchAll
// starts again from the first.
func (f *Follower) fetchAll(ctx context.Context, from roster.Member) (updateMessage, error) {
	have := f.state.Revision()
	req := updateRequest{Have: have.Number, Era: have.Era}
	var whole updateMessage
	for {
		var part updateMessage
		if err := f.asker.Ask(ctx, target(from), CallUpdate, req, &part); err != nil {
			return updateMessage{}, err
		}
		if part.to() != whole.to() {
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

// syncRosters merges the rosters of this instance and a peer at both sides. Only
// members of failure domains whose digests differ are sent.
func (f *Follower) syncRosters(ctx context.Context, with roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
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

// checkSender returns a fault if the sender that a message names is not the one
// in the peer's certificate.
func checkSender(name string, from roster.Member) error {
	if from.Name != name {
		return fault.New(fault.Denied, "a message of "+from.Name+" came from "+name,
			"give each instance a certificate of its own")
	}
	return nil
}

// onHello handles CallHello. Unlike reconcile it leaves a difference of the rosters
// to the sender, which gets this instance's digest in the response.
func (f *Follower) onHello(ctx context.Context, name string, theirs helloMessage) (helloMessage, error) {
	if err := checkSender(name, theirs.From); err != nil {
		return helloMessage{}, err
	}
	f.take(ctx, &theirs)
	return f.ownHello(), nil
}

// onUpdate handles CallUpdate.
func (f *Follower) onUpdate(_ context.Context, _ string, req updateRequest) (updateMessage, error) {
	return f.state.since(revision.Revision{Era: req.Era, Number: req.Have}, req.Offset), nil
}

// onRoster handles CallRoster. A request without digests only delivers members.
func (f *Follower) onRoster(_ context.Context, _ string, theirs rosterMessage) (rosterMessage, error) {
	f.roster.Merge(theirs.Members)
	if theirs.Digests == nil {
		return rosterMessage{}, nil
	}
	view := f.roster.View()
	return rosterMessage{Members: view.Differing(theirs.Digests), Digests: view.Digests()}, nil
}

// NotifyPeers sends a hello to all other members of the region and to one of
// another region. It returns when each has answered or its call has timed out.
func (f *Follower) NotifyPeers(ctx context.Context) {
	self := f.roster.Self()
	view := f.roster.View()
	f.helloAll(ctx, without(append(view.Present(self.Region), f.neighbours(view, self)...), self))
}

// Bootstrap exchanges hellos with the seeds, one after the other, and fetches
// their revision and members. It serves to start while the platform does not
// answer.
func (f *Follower) Bootstrap(ctx context.Context, seeds []peer.Target) {
	for _, to := range seeds {
		if theirs, err := f.hello(ctx, to); err == nil {
			f.reconcile(ctx, theirs)
		}
	}
}
