package hosted

import (
	"net"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"
)

// slowListener goes on accepting for a while after it was closed.
type slowListener struct {
	net.Listener
	accepting, release chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.release
	return nil, net.ErrClosed
}

// Close closes the listener; accepting ends with the second call.
func (l *slowListener) Close() error {
	err := l.Listener.Close()
	if err != nil {
		close(l.release)
	}
	return err
}

// TestCloseAfterStop closes the servers while that of the callers has not yet noticed that
// its listener was closed by the planned stop: that is no failure of the stop.
func TestCloseAfterStop(t *testing.T) {
	opened, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &slowListener{Listener: opened, accepting: make(chan struct{}), release: make(chan struct{})}
	s := &servers{front: &server{listener: listener, http: &http.Server{}}}
	var group errgroup.Group
	group.Go(func() error {
		_ = s.front.http.Serve(listener) // it ends with the listener
		return nil
	})
	<-listener.accepting
	s.stopAccepting()
	if err := s.close(); err != nil {
		t.Error(err)
	}
	_ = group.Wait()
}
