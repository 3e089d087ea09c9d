package rollout

import (
	"context"
	"slices"
	"time"

	"hickorydrum/revision"
	"hickorydrum/roster"
)

// listRetention is how long an instance keeps what it knew of the list, after the platform came back from a copy, for
// the platform to write the list again.
const listRetention = 10 * time.Second

// listState is the platform's list of instances as one instance knows it.
type listState struct {
	last listMessage // the version that was applied last
	// applied is the list that is in use: that of last and, until retainEnd, what was in use before its era.
	applied   InstanceList
	retainEnd time.Time // zero if nothing is retained
}

// union returns the addresses of either list, each once.
func (l InstanceList) union(other InstanceList) InstanceList {
	return InstanceList{Live: union(l.Live, other.Live), Leaving: union(l.Leaving, other.Leaving)}
}

func union(a, b []string) []string {
	out := slices.Clone(a)
	for _, address := range b {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// applyList applies a version of the platform's list of instances, unless a later one or the same has
// been applied, and notifies the peers. The first version of an era may be that of a copy, from before an upstream left
// or an instance started: until the list is written again or the retention ends, it only adds to what is known.
func (f *Follower) applyList(m listMessage) {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	known := f.list.last.version()
	if !m.version().After(known) {
		return
	}
	next := listState{last: m, applied: m.List}
	if m.version().NewEra(known) {
		next.applied = m.List.union(f.list.applied)
		next.retainEnd = time.Now().Add(listRetention)
	}
	f.list = next
	f.onList(next.applied)
	f.scheduleNotify()
}

// endListRetention applies the list as the platform has it if the retention has ended.
func (f *Follower) endListRetention(now time.Time) {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	if f.list.retainEnd.IsZero() || now.Before(f.list.retainEnd) {
		return
	}
	f.list.applied, f.list.retainEnd = f.list.last.List, time.Time{}
	f.onList(f.list.applied)
}

// listVersion returns the version of the list that was applied last, the zero one if none was.
func (f *Follower) listVersion() revision.Revision {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	return f.list.last.version()
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
	return f.list.last, nil
}
