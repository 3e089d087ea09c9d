package trial

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"hickorydrum/declaration"
	"hickorydrum/entry"
	"hickorydrum/roster"
	"hickorydrum/steering"
	"hickorydrum/upstream"
)

const slopeLookupTime = 2 * time.Second

// measureLookups measures the rate of look-ups over HTTP at one instance and the
// processor time of each.
func measureLookups(ctx context.Context) (perSecond, microseconds float64, err error) {
	self := roster.Member{Name: "a", Run: "r", Region: "r00", Domain: "d0", Caller: "10.0.0.1:80", State: roster.Live}
	r := roster.New(self)
	e := entry.New(r.Self, upstream.NewPool("d0", "r00"), nil, discardLogger)
	set, err := declaration.FromRecords(makeRecords(120_000))
	if err != nil {
		return 0, 0, err
	}
	e.SetTable(steering.NewTable(set, 1))
	e.SetView(r.View())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Second}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	ctx, cancel := context.WithTimeout(ctx, slopeLookupTime)
	defer cancel()
	begun, cpu := time.Now(), cpuTime()
	var clients errgroup.Group
	counts := make([]int, runtime.NumCPU())
	for i := range counts {
		clients.Go(func() error { return lookupLoop(ctx, listener.Addr().String(), &counts[i]) })
	}
	err = clients.Wait()
	total := 0
	for _, n := range counts {
		total += n
	}
	used := cpuTime() - cpu
	perSecond = float64(total) / time.Since(begun).Seconds()
	_ = server.Close()
	_ = group.Wait()
	return perSecond, float64(used.Microseconds()) / float64(total), err
}

// lookupLoop sends pipelined look-ups over one raw connection until ctx is done and
// adds the responses to count. Raw requests keep the processor time of the client low
// in the measurement.
func lookupLoop(ctx context.Context, address string, count *int) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	const pipelined = 16
	var request strings.Builder
	for i := range pipelined {
		fmt.Fprintf(&request, "GET %s?address=10.%d.%d.1 HTTP/1.1\r\nHost: x\r\n\r\n", entry.LookupPath, xxhash.Sum64String(address)%200, i)
	}
	text := []byte(request.String())
	buf := make([]byte, 64<<10)
	for ctx.Err() == nil {
		if _, err := conn.Write(text); err != nil {
			return err
		}
		for responses := 0; responses < pipelined; {
			n, err := conn.Read(buf)
			if err != nil {
				return err
			}
			responses += strings.Count(string(buf[:n]), `"until":"`)
		}
		*count += pipelined
	}
	return nil
}
