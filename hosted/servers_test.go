package hosted

import (
	"net"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"
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
	s := &servers{front: &server{listener: listener, http: &http.Server{}}}
	var group errgroup.Group
	group.Go(func() error {
		_ = s.front.http.Serve(listener) // Serve returns when the listener is closed
		return nil
	})
	<-listener.accepting
	s.stopAccepting()
	if err := s.close(); err != nil {
		t.Error(err)
	}
	_ = group.Wait()
}
