package matrix

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/standin"
)

// BenchmarkAddedLatency compares requests through an instance with direct calls
// to the same kind of upstream, in turn, at half load.
func BenchmarkAddedLatency(b *testing.B) {
	c := newCluster(b)
	direct := c.servers[0].URL + "/list/x"
	through := "http://" + c.members[0].caller + "/list/x"
	took := map[string][]time.Duration{}
	get := func(url string) time.Duration {
		begun := time.Now()
		req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url, nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set(standin.HeaderLoadID, "bench")
		resp, err := c.client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return time.Since(begun)
	}
	for range 50 { // warms workers and connections
		get(direct)
		get(through)
	}
	// Two requests are always under way beside the measured one: half of the six
	// slots of the region.
	stop := make(chan struct{})
	var load errgroup.Group
	for range 2 {
		load.Go(func() error {
			for {
				select {
				case <-stop:
					return nil
				default:
					get(through)
				}
			}
		})
	}
	for b.Loop() {
		took["direct"] = append(took["direct"], get(direct))
		took["through"] = append(took["through"], get(through))
	}
	close(stop)
	_ = load.Wait()
	at := func(name string, part float64) float64 {
		slices.Sort(took[name])
		return float64(took[name][int(part*float64(len(took[name])-1))].Microseconds())
	}
	b.ReportMetric(at("direct", 0.5), "direct-p50-us")
	b.ReportMetric(at("through", 0.5)-at("direct", 0.5), "added-p50-us")
	b.ReportMetric(at("through", 0.99)-at("direct", 0.99), "added-p99-us")
	b.ReportMetric(0, "ns/op")
}
