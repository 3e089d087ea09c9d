package hosted

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"hickorydrum/server"
	"hickorydrum/standin"
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

// TestConnectionMetrics opens callers' connections in several states. The metrics must have them.
func TestConnectionMetrics(t *testing.T) {
	c := newCluster(t)
	c.configure(testRoute{prefix: "/order/", kind: "unsafe", service: "list", timeout: 5000})
	c.worker("list", "one-a", func(w *standin.WorkerConfig) { w.Cold, w.Warm = 4*time.Second, 4*time.Second })
	m := c.start("a", "one-a")
	c.ready(m, 1)
	const order = "POST /order/x HTTP/1.1\r\nHost: h.example\r\nHickorydrum-Attempt-Id: id\r\nContent-Length: 2\r\n\r\n"
	for _, sent := range []string{"", "", "", "POST /or", "POST /or", order + "ab"} {
		conn, _ := c.raw(m)
		if _, err := io.WriteString(conn, sent); err != nil {
			t.Fatal(err)
		}
	}
	want := map[string]string{"idle": "3", "reading": "2", "serving": "1", "closing": "0"}
	c.await("the connections in the metrics", func() bool { return cmp.Equal(connectionMetrics(t, m), want) })
}

// connectionMetrics returns the values of the metrics of callers' connections, by state.
func connectionMetrics(t *testing.T, m *member) map[string]string {
	t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", m.ip, controlPort))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]string)
	for _, match := range regexp.MustCompile(`hickorydrum_connections{state="(\w+)"} (\w+)`).FindAllSubmatch(text, -1) {
		out[string(match[1])] = string(match[2])
	}
	return out
}
