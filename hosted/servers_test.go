package hosted

import (
	"log/slog"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"

	"hickorydrum/server"
)

// slowListener is a listener whose Accept stays blocked until the second call of Close.
type slowListener struct {
	net.Listener
	accepting, release chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.release
	return nil, net.ErrClosed
}

// Close closes the listener. Its second call makes Accept return.
func (l *slowListener) Close() error {
	err := l.Listener.Close()
	if err != nil {
		close(l.release)
	}
	return err
}

// TestCloseAfterStop closes the servers after a planned stop closed the callers' listener, but
// before their server has noticed that. The second close of the listener fails then, which must
// not be reported as a failure of the stop.
func TestCloseAfterStop(t *testing.T) {
	opened, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &slowListener{Listener: opened, accepting: make(chan struct{}), release: make(chan struct{})}
	s := &servers{front: server.New(listener, http.NotFoundHandler(), slog.New(slog.DiscardHandler))}
	var group errgroup.Group
	group.Go(func() error {
		s.front.Serve()
		return nil
	})
	<-listener.accepting
	if err := s.front.StopAccepting(); err != nil {
		t.Error(err)
	}
	if err := s.close(); err != nil {
		t.Error(err)
	}
	_ = group.Wait()
}
