package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/standin"
)

// TestUpstreamStop guards against a stand-in upstream whose stop cuts off the requests that it
// runs, so that a trial counts them against the instances.
func TestUpstreamStop(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	u := standin.NewUpstream(1, 50*time.Millisecond, 1, func(string) { cancel() })
	var group errgroup.Group
	group.Go(func() error { return serveHTTP(ctx, address, u.Handler()) })
	body, err := request("http://" + address + "/x")
	if err != nil || len(body) == 0 {
		t.Errorf("the request that ran at the stop got %d bytes, error %v", len(body), err)
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// request sends a request with a load ID, again until the server listens, and returns the
// response's body.
func request(url string) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPost, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Header.Set(standin.HeaderLoadID, "id-1")
	defer http.DefaultClient.CloseIdleConnections()
	for until := time.Now().Add(httpTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		resp, err := http.DefaultClient.Do(req)
		var notListening *net.OpError
		if errors.As(err, &notListening) && notListening.Op == "dial" {
			continue
		}
		if err != nil {
			return nil, err
		}
		body, err := io.ReadAll(resp.Body)
		return body, errors.Join(err, resp.Body.Close())
	}
	return nil, fmt.Errorf("nothing listens at %s", url)
}
