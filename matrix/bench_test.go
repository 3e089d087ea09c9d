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

// BenchmarkAddedLatency measures the latency that an instance adds. It alternates
// requests through an instance with direct calls to an upstream with the same service
// time, at half load.
func BenchmarkAddedLatency(b *testing.B) {
	c := newCluster(b)
	direct := c.servers[0].URL + "/list/x"
	through := "http://" + c.members[0].caller + "/list/x"
	latencies := map[string][]time.Duration{}
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
	for range 50 { // warms up the upstreams and opens connections
		get(direct)
		get(through)
	}
	// With the measured request, the two in the background take half of the six slots
	// of the region.
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
		latencies["direct"] = append(latencies["direct"], get(direct))
		latencies["through"] = append(latencies["through"], get(through))
	}
	close(stop)
	_ = load.Wait()
	quantile := func(name string, fraction float64) float64 {
		slices.Sort(latencies[name])
		return float64(latencies[name][int(fraction*float64(len(latencies[name])-1))].Microseconds())
	}
	b.ReportMetric(quantile("direct", 0.5), "direct-p50-us")
	b.ReportMetric(quantile("through", 0.5)-quantile("direct", 0.5), "added-p50-us")
	b.ReportMetric(quantile("through", 0.99)-quantile("direct", 0.99), "added-p99-us")
	b.ReportMetric(0, "ns/op")
}
