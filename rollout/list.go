package rollout

import (
	"context"

	"hickorydrum/revision"
	"hickorydrum/roster"
)

// applyList applies a version of the platform's list of instances, unless a later one or the same has
// been applied, and notifies the peers.
func (f *Follower) applyList(m listMessage) {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	if !m.version().After(f.list.version()) {
		return
	}
	f.list = m
	f.onList(m.List)
	f.scheduleNotify()
}

// listVersion returns the version of the list that was applied last, the zero one if none was.
func (f *Follower) listVersion() revision.Revision {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	return f.list.version()
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
