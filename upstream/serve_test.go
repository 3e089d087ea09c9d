package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"hickorydrum/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sink keeps an answer.
type sink struct {
	head Head
	body bytes.Buffer
}

func (s *sink) Head(h Head) error {
	s.head = h
	return nil
}

func (s *sink) Write(p []byte) (int, error) { return s.body.Write(p) }

// poolAt returns a pool that owns the upstream at the address.
func poolAt(t *testing.T, address string) *Pool {
	t.Helper()
	p := ownedPool(t, map[string]int{address: 2})
	t.Cleanup(p.Close)
	return p
}

func serve(p *Pool, ask Ask, body io.Reader) (*sink, error) {
	s := &sink{}
	if ask.Header == nil {
		ask.Header = http.Header{}
	}
	ask.Service, ask.Target, ask.Host = "list", "/list/x", "test"
	if ask.Remaining == 0 {
		ask.Remaining = 5000
	}
	err := p.Serve(context.Background(), &ask, func() (io.ReadCloser, error) { return io.NopCloser(body), nil }, s)
	return s, err
}

// TestSilentConnection lets a kept connection fall silent for good: an idempotent
// request is raced on a new one, and is answered once.
func TestSilentConnection(t *testing.T) {
	var mute atomic.Bool
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if mute.Swap(false) {
			<-r.Context().Done()
			return
		}
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		_, _ = io.WriteString(w, "hello")
	}))
	defer backend.Close()
	p := poolAt(t, backend.Listener.Addr().String())
	for i := range 3 {
		mute.Store(i == 1)
		got, err := serve(p, Ask{ID: fmt.Sprintf("id-%d", i), Method: http.MethodGet, Idempotent: true}, nil)
		if err != nil || got.body.String() != "hello" {
			t.Errorf("request %d: %q, %v", i, got.body.String(), err)
		}
	}
	mute.Store(true)
	_, err := serve(p, Ask{ID: "order", Method: http.MethodPost, Remaining: 700}, strings.NewReader(""))
	if fault.From(err).Ran() != fault.RanUnknown || fault.KindOf(err) != fault.Expired {
		t.Errorf("an order on a silent connection ended with %v", err)
	}
}
