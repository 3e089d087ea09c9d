package hosted

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"hickorydrum/mirror"
	"hickorydrum/period"
	"hickorydrum/platform"
)

const (
	// askPeersAfter is for how long the store must be away before peers are asked.
	askPeersAfter = 700 * time.Millisecond
	peersEvery    = 500 * time.Millisecond
	peersAsked    = 3 // at one time, until one answers
	peerTimeout   = time.Second
	maxState      = 16 << 20
)

// stateMessage is what instances tell each other while the store is away.
type stateMessage struct {
	Kinds map[string]platform.Page `json:"kinds"`
}

// state returns what this instance knows, for a peer.
func (f *follower) state() stateMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := stateMessage{Kinds: make(map[string]platform.Page)}
	for kind, m := range f.mirrors {
		if m.Cursor() > 0 {
			s.Kinds[kind] = m.Page()
		}
	}
	return s
}

// askPeers learns from peers while the store is away.
func (f *follower) askPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		period.Pause(ctx, peersEvery)
		if !f.lacking() {
			continue
		}
		f.askSome(ctx)
	}
	return nil
}

// askSome asks a few peers until one tells something.
func (f *follower) askSome(ctx context.Context) {
	peers := f.peers()
	for _, peer := range peers[:min(len(peers), peersAsked)] {
		if f.askPeer(ctx, peer) {
			return
		}
	}
}

// lacking reports whether the store is away for long enough to ask peers.
func (f *follower) lacking() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.awaySince.IsZero() && time.Since(f.awaySince) > askPeersAfter
}

// askPeer takes in what one peer knows and reports whether it told anything.
func (f *follower) askPeer(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathState, nil)
	if err != nil {
		return false
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var s stateMessage
	if json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(&s) != nil || len(s.Kinds) == 0 {
		return false
	}
	for kind, page := range s.Kinds {
		if _, ok := f.mirrors[kind]; ok {
			f.change(kind, func(m *mirror.Mirror, now time.Time) bool { return m.List(page, now) })
		}
	}
	return true
}
