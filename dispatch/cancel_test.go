package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// cancelSink cancels the context of the exchange when it gets the head, as a caller does that
// leaves as soon as it has the response.
type cancelSink struct {
	sink
	cancel context.CancelFunc
}

func (s *cancelSink) Head(h Head) error {
	s.cancel()
	return s.sink.Head(h)
}

// TestCancelAtTheEnd guards against a connection that is reused although it is being closed: a
// context that was cancelled as the response ended closed the connection under the next request.
func TestCancelAtTheEnd(t *testing.T) {
	response := strings.Replace(okResponse, "Content-Length: 5\r\n\r\nhello", "Content-Length: 0\r\n\r\n", 1)
	s := newScriptedUpstream(t, []string{response}, nil)
	d := NewDialer(s.listener.Addr().String())
	defer d.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := d.Get(ctx, time.Now(), false)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	r := &Request{ID: "id-1", Method: http.MethodGet, Target: "/", Host: "test", Header: http.Header{}}
	reusable, err := NewExchange(r, testDialect{}, time.Now().Add(5*time.Second), c).
		Run(ctx, http.NoBody, &cancelSink{cancel: cancel})
	if err != nil || reusable {
		t.Errorf("reusable %v, error %v; want a response and a connection that is not reused", reusable, err)
	}
}

// TestDialerClose checks that an exchange ends normally whose dialer is closed meanwhile, and
// that its connection is not kept then.
func TestDialerClose(t *testing.T) {
	for name, closeDialer := range map[string]func(*Dialer){"closed": (*Dialer).Close, "idle closed": (*Dialer).CloseIdle} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedUpstream(t, []string{"early " + okResponse, okResponse}, nil)
			d := NewDialer(s.listener.Addr().String())
			defer d.Close()
			body := readerFunc(func([]byte) (int, error) {
				closeDialer(d)
				return 0, io.EOF
			})
			got, err := send(d, Request{ID: "id-1", Method: http.MethodPost, Length: -1}, body, false)
			if err != nil || got.body.String() != "hello" {
				t.Errorf("%q, %v", got.body.String(), err)
			}
			if d.closed && len(d.idle) > 0 {
				t.Errorf("a closed dialer keeps %d connections", len(d.idle))
			}
		})
	}
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
