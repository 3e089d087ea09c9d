package hosted

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"hickorydrum/event"
	"hickorydrum/freshness"
	"hickorydrum/interval"
	"hickorydrum/mirror"
	"hickorydrum/platform"
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
	maxStateBytes      = 16 << 20 // of an encoded state, before and after decompression
	// minCompressBytes is the size from which an encoded state is compressed.
	minCompressBytes = 16 << 10
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

// stateMessage is the state that an instance sends to a peer, as encoded in CBOR: the content
// of its loaded mirrors, or their changes after the peer's cursors.
type stateMessage struct {
	_     struct{} `cbor:",toarray"`
	Kinds []kindMessage
}

// kindMessage is a mirror.State as encoded in CBOR.
type kindMessage struct {
	_               struct{} `cbor:",toarray"`
	Kind            string
	Cursor          uint64
	Newest          uint64
	Full            bool
	RetentionMillis int64
	Objects         []objectMessage
}

// objectMessage is a platform.Object as encoded in CBOR.
type objectMessage struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Version uint64
	Value   []byte
	Deleted bool
}

// encodeState returns the encoded state for a peer whose mirrors have the given cursors, by
// kind. It is compressed if it has minCompressBytes or more, and cached until the next change.
func (f *follower) encodeState(cursors map[string]uint64) ([]byte, error) {
	key := fmt.Sprint(cursors)
	f.mu.Lock()
	defer f.mu.Unlock()
	if data, ok := f.stateCache[key]; ok {
		return data, nil
	}
	var s stateMessage
	now := time.Now()
	for _, kind := range kinds() {
		if m := f.mirrors[kind]; m.Cursor() > 0 {
			s.Kinds = append(s.Kinds, encodeKind(kind, m.Since(cursors[kind], now)))
		}
	}
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, err
	}
	if len(data) >= minCompressBytes {
		if data, err = compress(data); err != nil {
			return nil, err
		}
	}
	f.stateCache[key] = data
	return data, nil
}

func encodeKind(kind string, s mirror.State) kindMessage {
	out := kindMessage{Kind: kind, Cursor: s.Cursor, Newest: s.Newest, Full: s.Full, RetentionMillis: s.Retention.Milliseconds()}
	for _, o := range s.Objects {
		out.Objects = append(out.Objects, objectMessage{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return out
}

func decodeKind(m *kindMessage) mirror.State {
	s := mirror.State{
		Cursor: m.Cursor, Newest: m.Newest, Full: m.Full, Retention: time.Duration(m.RetentionMillis) * time.Millisecond,
	}
	for _, o := range m.Objects {
		s.Objects = append(s.Objects, platform.Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return s
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return out.Bytes(), err
}

// readState decodes the state that a peer sent, compressed or not. It reads at most
// maxStateBytes, before as well as after decompression.
func readState(body io.Reader) (*stateMessage, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxStateBytes))
	if err != nil {
		return nil, err
	}
	if len(data) > 1 && data[0] == 0x1f && data[1] == 0x8b {
		r, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return nil, err
		}
		if data, err = io.ReadAll(io.LimitReader(r, maxStateBytes)); err != nil {
			return nil, err
		}
	}
	var s stateMessage
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	return &s, nil
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

// paramCursor is the query parameter of a request for the state. It is repeated once for each
// kind, in the order of kinds, with the cursor of that kind.
const paramCursor = "since"

// askPeer fetches and applies the state of one peer and reports whether it contained any
// kind. If announce is set, changes are announced at once (see applyChange).
func (f *follower) askPeer(ctx context.Context, peer netip.Addr, announce bool) bool {
	f.mu.Lock()
	query := make(url.Values)
	for _, kind := range kinds() {
		query.Add(paramCursor, strconv.FormatUint(f.mirrors[kind].Cursor(), 10))
	}
	f.mu.Unlock()
	address := netip.AddrPortFrom(peer, f.port).String()
	s, err := f.fetch(ctx, "http://"+address+pathState+"?"+query.Encode())
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
			f.applyChange(k.Kind, announce, func(m *mirror.Mirror) bool { return m.Merge(decodeKind(k), from) })
		}
	}
	return len(s.Kinds) > 0
}

// countPeerCall counts a call to a peer by its outcome.
func countPeerCall(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickorydrum_peer_calls_total{outcome=%q}`, outcome)).Inc()
}

// fetch gets and decodes the state at a URL.
func (f *follower) fetch(ctx context.Context, stateURL string) (*stateMessage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, stateURL, nil)
	if err != nil {
		return nil, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, err
	}
	s, err := readState(resp.Body)
	if resp.StatusCode != http.StatusOK {
		err = errors.New(resp.Status)
	}
	return s, errors.Join(err, resp.Body.Close())
}

// serveState sends the changes after the cursors in the request. It rejects a request with a
// malformed cursor or with more cursors than kinds, both with the same text.
func (f *follower) serveState(w http.ResponseWriter, r *http.Request) error {
	cursors := make(map[string]uint64)
	for i, text := range r.URL.Query()[paramCursor] {
		cursor, err := strconv.ParseUint(text, 10, 64)
		if err != nil || i >= len(kinds()) {
			http.Error(w, "a cursor is not a number", http.StatusBadRequest)
			return nil
		}
		cursors[kinds()[i]] = cursor
	}
	data, err := f.encodeState(cursors)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, err = w.Write(data)
	return err
}
