package hosted

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/event"
	"hickorydrum/freshness"
	"hickorydrum/interval"
	"hickorydrum/mirror"
	"hickorydrum/response"
)

const (
	// askPause is the pause after a round of calls to peers that left changes missing.
	askPause   = 100 * time.Millisecond
	peersAsked = 3 // peers called in one round
	// afterOutageTimeout is how long an instance waits for a peer's state after an outage of the
	// store, before it watches the store again.
	afterOutageTimeout = 500 * time.Millisecond
	peerTimeout        = time.Second
)

// newPeerTransport returns the transport of calls to peers. One that has lost power does not answer at
// all: it must not use up the time that a change has.
func newPeerTransport(budget freshness.Budget) *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: budget.Peer()}).DialContext,
		DisableCompression: true, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: response.MaxHeadBytes,
		ResponseHeaderTimeout: budget.Peer(),
	}
}

// askPeers fetches missing changes from peers, each time that a peer reports some, until the
// context is done.
func (f *follower) askPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.wake:
		}
		f.catchUp(ctx)
	}
}

// catchUp asks the peer that reported the missing changes, and then other peers, in rounds of
// up to peersAsked until nothing is missing. If that peer is in another failure domain, it
// first waits for Budget.Missing, for the change to arrive from its own failure domain, unless this
// instance has not loaded every kind yet.
func (f *follower) catchUp(ctx context.Context) {
	f.mu.Lock()
	sameDomain, loading := f.source.SameDomain, !f.allLoaded()
	f.mu.Unlock()
	if !sameDomain && !loading && !interval.Sleep(ctx, f.budget().Missing()) {
		return
	}
	for ctx.Err() == nil && f.behind() {
		f.mu.Lock()
		source := f.source
		f.mu.Unlock()
		asked := append([]netip.Addr{source.From}, f.mesh.Peers()...)
		for _, peer := range asked[:min(len(asked), peersAsked)] {
			if f.askPeer(ctx, peer, !source.SameDomain) && !f.behind() {
				return
			}
		}
		interval.Sleep(ctx, askPause)
	}
}

// askAfterOutage asks peersAsked peers for their state, for up to afterOutageTimeout in all. It begins with
// those of other failure domains: the members of its own have their state from this instance.
func (f *follower) askAfterOutage() {
	ctx, cancel := context.WithTimeout(context.Background(), afterOutageTimeout)
	defer cancel()
	peers := f.mesh.Peers()
	for i := range min(len(peers), peersAsked) {
		f.askPeer(ctx, peers[len(peers)-1-i], true)
	}
}

// behind reports whether a peer has reported changes that are missing here and have to come from
// peers.
func (f *follower) behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.needsPeers() {
		return false
	}
	for _, kind := range kinds() {
		if f.missesChange(kind) {
			return true
		}
	}
	return false
}

// askPeer fetches and applies the state of one peer and reports whether it contained any
// kind. If announce is set, changes are announced at once (see applyChange).
func (f *follower) askPeer(ctx context.Context, peer netip.Addr, announce bool) bool {
	f.mu.Lock()
	query := make(url.Values)
	for _, kind := range kinds() {
		cursor := f.mirrors[kind].Cursor()
		query.Add(paramCursor, strconv.FormatUint(cursor.Number, 10))
		query.Add(paramEra, strconv.FormatUint(cursor.Era, 10))
	}
	f.mu.Unlock()
	address := netip.AddrPortFrom(peer, f.port).String()
	s, eras, err := f.fetch(ctx, "http://"+address+pathState+"?"+query.Encode())
	if err != nil {
		countPeerCall("failed")
		event.PeerFailed.Log(ctx, f.log, slog.String("peer", address), slog.String("error", err.Error()))
		return false
	}
	countPeerCall("answered")
	for i := range s.Kinds {
		k := &s.Kinds[i]
		if _, ok := f.mirrors[k.Kind]; ok {
			from := f.received(k.Kind, mirror.FromPeer, peer.String())
			f.applyChange(k.Kind, announce, func(m *mirror.Mirror) bool { return m.Merge(decodeKind(k, eras[k.Kind]), from) })
		}
	}
	return len(s.Kinds) > 0
}

// countPeerCall counts a call to a peer by its outcome.
func countPeerCall(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickorydrum_peer_calls_total{outcome=%q}`, outcome)).Inc()
}

// fetch gets and decodes the state at a URL, and its eras by kind.
func (f *follower) fetch(ctx context.Context, stateURL string) (s *stateMessage, eras map[string]uint64, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, stateURL, nil)
	if err != nil {
		return nil, nil, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	s, err = readState(resp.Body)
	if resp.StatusCode != http.StatusOK {
		err = errors.New(resp.Status)
	}
	eras, errEras := readEras(resp.Header)
	return s, eras, errors.Join(err, errEras, resp.Body.Close())
}

// serveState sends the changes after the cursors in the request. It rejects a request with a
// malformed cursor or with more cursors than kinds, both with the same text.
func (f *follower) serveState(w http.ResponseWriter, r *http.Request) error {
	cursors, ok := readCursors(r.URL.Query())
	if !ok {
		http.Error(w, "a cursor is not a number", http.StatusBadRequest)
		return nil
	}
	state, err := f.encodeState(cursors)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set(headerEras, joinNumbers(state.eras))
	_, err = w.Write(state.data)
	return err
}
