package rollout

import (
	"context"

	"hickorydrum/roster"
)

// applyList applies a version of the platform's list of instances, unless a later one or the same has
// been applied, and notifies the peers.
func (f *Follower) applyList(m listMessage) {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	if m.Version <= f.list.Version {
		return
	}
	f.list = m
	f.onList(m.List)
	f.scheduleNotify()
}

// listVersion returns the version of the list that was applied last, 0 if none was.
func (f *Follower) listVersion() uint64 {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	return f.list.Version
}

// fetchList requests the list from a peer and applies it. A failure is ignored, as the next hello
// makes up for it.
func (f *Follower) fetchList(ctx context.Context, from roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var theirs listMessage
	if err := f.asker.Ask(ctx, target(from), CallList, struct{}{}, &theirs); err == nil {
		f.applyList(theirs)
	}
}

// onListCall handles CallList.
func (f *Follower) onListCall(context.Context, string, struct{}) (listMessage, error) {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	return f.list, nil
}
