package hosted

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"hickorydrum/gossip"
	"hickorydrum/mirror"
	"hickorydrum/platform"
	"hickorydrum/revision"
	"hickorydrum/standin"
)

// eraFollower returns a follower whose mirrors all have one object, at revision 40 of 50 in an era.
func eraFollower(t *testing.T, port uint16, era uint64) *follower {
	t.Helper()
	f := newFollower(&stalledStore{Store: standin.NewStore()}, &soloMesh{}, port, slog.New(slog.DiscardHandler), func(string) {})
	for _, kind := range kinds() {
		page := platform.Page{
			Cursor:  revision.Revision{Era: era, Number: 50},
			Objects: []platform.Object{{Key: kind + "/a", Version: revision.Revision{Era: era, Number: 40}, Value: []byte(`"known"`)}},
		}
		f.applyChange(kind, false, func(m *mirror.Mirror) bool { return m.List(page, mirror.Origin{At: time.Now()}) })
	}
	return f
}

// TestOlderPeer guards against an instance that knows an era of the store, and goes back to what an instance of a version
// sends that knows none: that one may not have noticed that the store came back from a copy, and its revisions are higher.
func TestOlderPeer(t *testing.T) {
	for name, test := range map[string]struct {
		era  uint64 // of the instance
		want string // the object after the exchange
	}{
		"no era known":   {0, `"sent"`},
		"an era is":      {2, `"known"`},
		"another era is": {3, `"known"`},
	} {
		t.Run(name, func(t *testing.T) {
			state := stateMessage{}
			for _, kind := range kinds() {
				state.Kinds = append(state.Kinds, kindMessage{
					Kind: kind, Cursor: 90, Newest: 80, Full: true,
					Objects: []objectMessage{{Key: kind + "/a", Version: 80, Value: []byte(`"sent"`)}},
				})
			}
			data, err := cbor.Marshal(state)
			if err != nil {
				t.Fatal(err)
			}
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if len(r.URL.Query()[paramCursor]) != len(kinds()) {
					t.Errorf("the request has %q, which the peer refuses", r.URL.RawQuery)
				}
				_, _ = w.Write(data)
			}))
			defer peer.Close()
			at := netip.MustParseAddrPort(peer.Listener.Addr().String())
			f := eraFollower(t, at.Port(), test.era)
			defer f.client.CloseIdleConnections()
			newest := revision.Unpack([]uint64{80, 80, 80}, len(kinds())) // as in its datagrams
			f.handleNotice(gossip.RevisionNotice{From: at.Addr(), SameDomain: true, Newest: newest})
			if missing := f.behind(); missing != (test.era == 0) {
				t.Errorf("changes count as missing: %t", missing)
			}
			if !f.askPeer(t.Context(), at.Addr(), false) {
				t.Fatal("the peer's state cannot be read")
			}
			for _, kind := range kinds() {
				if objects, _ := f.objects(kind); len(objects) != 1 || string(objects[0].Value) != test.want {
					t.Errorf("%s: %v, want %s", kind, objects, test.want)
				}
			}
		})
	}
}

// TestOlderPeerConfirms guards against an instance that takes a state of an earlier era for current, since an instance of
// a version that knows no eras says so, and has the same objects at the same revisions.
func TestOlderPeerConfirms(t *testing.T) {
	for name, test := range map[string]struct {
		era  uint64
		want bool
	}{"no era known": {0, true}, "an era is": {2, false}} {
		t.Run(name, func(t *testing.T) {
			f := eraFollower(t, 1, test.era)
			own := f.ownConfirmation(time.Now())
			c := gossip.Confirmation{From: netip.MustParseAddr("10.0.0.2"), SameDomain: true, Digests: own.Digests, At: f.now().Add(time.Hour)}
			for _, r := range own.Newest {
				c.Newest = append(c.Newest, revision.Revision{Number: r.Number})
			}
			f.handleConfirmation(c)
			if got := f.confirmation(platform.KindConfiguration).Source != ""; got != test.want {
				t.Errorf("the state is confirmed: %t, want %t", got, test.want)
			}
		})
	}
}

// TestStateForOlderPeer guards against an instance of a version that knows no eras and gets nothing, or changes to a state
// that it does not have: it asks without eras, and reads the state without them.
func TestStateForOlderPeer(t *testing.T) {
	f := eraFollower(t, 1, 2)
	answer := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, pathState+"?since=45&since=45&since=45", nil)
	if err := f.serveState(answer, request); err != nil {
		t.Fatal(err)
	}
	// The message as that version decodes it, which refuses arrays of another length.
	var got struct {
		_     struct{} `cbor:",toarray"`
		Kinds []struct {
			_               struct{} `cbor:",toarray"`
			Kind            string
			Cursor          uint64
			Newest          uint64
			Full            bool
			RetentionMillis int64
			Objects         []objectMessage
		}
	}
	if err := cbor.Unmarshal(answer.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	for _, k := range got.Kinds {
		if diff := cmp.Diff([]any{uint64(50), uint64(40), true, 1}, []any{k.Cursor, k.Newest, k.Full, len(k.Objects)}); diff != "" {
			t.Errorf("%s: %s", k.Kind, diff)
		}
	}
}
