package hosted

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"hickorydrum/event"
	"hickorydrum/mirror"
	"hickorydrum/period"
	"hickorydrum/platform"
)

const (
	// farWait is how long an instance waits for others of its failure domain before it
	// asks an instance of another one.
	farWait = 300 * time.Millisecond
	// askPause is the pause after a call to a peer that brought nothing.
	askPause    = 100 * time.Millisecond
	peersAsked  = 3 // in turn, before the next pause
	peerTimeout = time.Second
	maxState    = 16 << 20
	// compressFrom is the size of a state from which it is compressed, in bytes.
	compressFrom = 16 << 10
)

// stateMessage is what instances tell each other of what they know.
type stateMessage struct {
	_     struct{} `cbor:",toarray"`
	Kinds []kindMessage
}

// kindMessage is a mirror.State on the wire.
type kindMessage struct {
	_          struct{} `cbor:",toarray"`
	Kind       string
	Cursor     uint64
	Newest     uint64
	Whole      bool
	HoldMillis int64
	Objects    []objectMessage
}

// objectMessage is a platform.Object on the wire.
type objectMessage struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Version uint64
	Value   []byte
	Deleted bool
}

// encodeState returns what a peer is told that knows what happened up to the cursors, by
// kind, and whether it is compressed.
func (f *follower) encodeState(cursors map[string]uint64) ([]byte, error) {
	key := fmt.Sprint(cursors)
	f.mu.Lock()
	defer f.mu.Unlock()
	if data, ok := f.states[key]; ok {
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
	if len(data) >= compressFrom {
		if data, err = compress(data); err != nil {
			return nil, err
		}
	}
	f.states[key] = data
	return data, nil
}

func encodeKind(kind string, s mirror.State) kindMessage {
	out := kindMessage{Kind: kind, Cursor: s.Cursor, Newest: s.Newest, Whole: s.Whole, HoldMillis: s.Hold.Milliseconds()}
	for _, o := range s.Objects {
		out.Objects = append(out.Objects, objectMessage{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return out
}

func decodeKind(m *kindMessage) mirror.State {
	s := mirror.State{
		Cursor: m.Cursor, Newest: m.Newest, Whole: m.Whole, Hold: time.Duration(m.HoldMillis) * time.Millisecond,
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

// readState reads what a peer told. Its size is bounded before and after it is expanded.
func readState(body io.Reader) (*stateMessage, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxState))
	if err != nil {
		return nil, err
	}
	if len(data) > 1 && data[0] == 0x1f && data[1] == 0x8b {
		r, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return nil, err
		}
		if data, err = io.ReadAll(io.LimitReader(r, maxState)); err != nil {
			return nil, err
		}
	}
	var s stateMessage
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// askPeers learns from instances that know more, each time that one says so.
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

// catchUp asks the instance that knows more, and then others, until nothing is missing.
func (f *follower) catchUp(ctx context.Context) {
	f.mu.Lock()
	near, fresh := f.teller.SameDomain, !f.known()
	f.mu.Unlock()
	if !near && !fresh && !period.Pause(ctx, farWait) {
		return
	}
	for ctx.Err() == nil && f.lacking() {
		f.mu.Lock()
		teller := f.teller
		f.mu.Unlock()
		asked := append([]netip.Addr{teller.From}, f.others.Peers()...)
		for _, peer := range asked[:min(len(asked), peersAsked)] {
			if f.askPeer(ctx, peer, !teller.SameDomain) && !f.lacking() {
				return
			}
		}
		period.Pause(ctx, askPause)
	}
}

// lacking reports whether a peer knows more than this instance, which does not watch the
// store itself.
func (f *follower) lacking() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watching && f.known() {
		return false
	}
	for _, kind := range kinds() {
		if f.missing(kind) {
			return true
		}
	}
	return false
}

// Parameters of a call for the state: the cursor of each kind.
const paramCursor = "since"

// askPeer takes in what one peer knows and reports whether it told anything.
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
		peerCalls("failed")
		event.PeerFailed.Log(ctx, f.log, slog.String("peer", address), slog.String("error", err.Error()))
		return false
	}
	peerCalls("answered")
	for i := range s.Kinds {
		k := &s.Kinds[i]
		if _, ok := f.mirrors[k.Kind]; ok {
			f.change(k.Kind, announce, func(m *mirror.Mirror, now time.Time) bool { return m.Merge(decodeKind(k), now) })
		}
	}
	return len(s.Kinds) > 0
}

func peerCalls(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickorydrum_peer_calls_total{outcome=%q}`, outcome)).Inc()
}

func (f *follower) fetch(ctx context.Context, address string) (*stateMessage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
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

// serveState answers a peer that asks what is known since its cursors.
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
