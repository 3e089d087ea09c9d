package hosted

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hickorydrum/standin"
)

// TestBrokenStates guards against a state that is taken from bytes which are no response of the peer.
func TestBrokenStates(t *testing.T) {
	state, err := cbor.Marshal(stateMessage{})
	if err != nil {
		t.Fatal(err)
	}
	const (
		ok        = "HTTP/1.1 200 OK\r\n"
		elsewhere = "/elsewhere"
	)
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(state), state)
	tests := map[string]struct {
		response string
		ok       bool
	}{
		"whole":               {ok + whole, true},
		"status 000":          {"HTTP/1.1 000 x\r\n" + whole, false},
		"status 201":          {"HTTP/1.1 201 x\r\n" + whole, false},
		"a blank in a name":   {ok + "A B: c\r\n" + whole, false},
		"a control byte":      {ok + "A\x01B: c\r\n" + whole, false},
		"of another instance": {"HTTP/1.1 302 Found\r\nLocation: " + elsewhere + "\r\nContent-Length: 0\r\n\r\n", false},
		"cut":                 {ok + "\r\n" + string(state[:len(state)-1]), false},
		"too long a head":     {ok + "A: " + strings.Repeat("b", 128<<10) + "\r\n" + whole, false},
		"too long a body":     {ok + "\r\n" + strings.Repeat("\xf6", maxStateBytes+1), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peer, err := standin.NewRaw(func(conn *net.TCPConn, r *http.Request) bool {
				text := test.response
				if r.URL.Path == elsewhere {
					text = ok + whole
				}
				_, _ = io.WriteString(conn, text) // the instance may have closed the connection
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = peer.Close() }()
			f := newFollower(&stalledStore{Store: standin.NewStore()}, &soloMesh{}, 1, slog.New(slog.DiscardHandler), func(string) {})
			defer f.client.CloseIdleConnections()
			if got, _, err := f.fetch(t.Context(), "http://"+peer.Address()); (err == nil) != test.ok {
				t.Errorf("the state is %v, %v", got, err)
			}
		})
	}
}
