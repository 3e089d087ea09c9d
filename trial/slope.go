package trial

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot/vg"

	"hickorydrum/declaration"
	"hickorydrum/entry"
	"hickorydrum/peer"
	"hickorydrum/roster"
	"hickorydrum/steering"
	"hickorydrum/upstream"
)

const (
	slopeRounds         = 5
	maxSlopeCalls       = 2000
	slopeLookupTime     = 2 * time.Second
	slopeRegions        = 47
	maxSlopeConnections = 64
	tableBeginMark      = "<!-- slopes begin -->"
	tableEndMark        = "<!-- slopes end -->"
	plotWidth           = 14 * vg.Centimeter
	plotHeight          = 8 * vg.Centimeter
	kiB                 = 1024.0
	loopbackBytesFile   = "/sys/class/net/lo/statistics/tx_bytes"
)

// Slope is a quantity that grows with a size, as measured at several sizes.
type Slope struct {
	name     string
	sizeUnit string // what the size counts, in the singular
	unit     string
	plotFile string // file name of the plot; empty for none
	sizes    []float64
	values   []float64
}

// fit returns the intercept and the slope of the least-squares line through the points,
// and the standard error of the slope, which is 0 with fewer than 3 points.
func (s Slope) fit() (intercept, slope, stdErr float64) {
	intercept, slope = stat.LinearRegression(s.sizes, s.values, nil, false)
	if len(s.sizes) < 3 {
		return intercept, slope, 0
	}
	var residual, spread float64
	mean := stat.Mean(s.sizes, nil)
	for i, x := range s.sizes {
		d := s.values[i] - intercept - slope*x
		residual += d * d
		spread += (x - mean) * (x - mean)
	}
	return intercept, slope, math.Sqrt(residual / float64(len(s.sizes)-2) / spread)
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the size of the live heap. The second collection frees what
// sync.Pools retain through the first.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// median calls measure once per round and returns the median of the results.
func median(rounds int, measure func() float64) float64 {
	values := make([]float64, rounds)
	for i := range values {
		values[i] = measure()
	}
	return medianOf(values)
}

// medianOf returns the median of the values; of an even count it is the upper one.
func medianOf(values []float64) float64 {
	sorted := append([]float64(nil), values...)
	for i := range sorted {
		for j := i; j > 0 && sorted[j] < sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted[len(sorted)/2]
}

// makeRecords returns the sorted records of the regions and of a number of address
// blocks, spread evenly over the regions.
func makeRecords(blocks int) []declaration.Record {
	var records []declaration.Record
	for r := range slopeRegions {
		name := fmt.Sprintf("r%02d", r)
		records = append(records, declaration.Record{
			Kind: declaration.KindRegion, Name: name,
			Body: fmt.Appendf(nil, `{"kind":"region","name":%q,"domains":["d%d"]}`, name, r),
		})
	}
	for k := range blocks {
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(10 + k>>16), byte(k >> 8), byte(k), 0}), 24).String()
		records = append(records, makeBlock(prefix, k%slopeRegions))
	}
	declaration.Sort(records)
	return records
}

// makeBlock returns the record of an address block with its home region.
func makeBlock(prefix string, region int) declaration.Record {
	return declaration.Record{
		Kind: declaration.KindBlock, Name: prefix,
		Body: fmt.Appendf(nil, `{"kind":"block","prefix":%q,"region":"r%02d"}`, prefix, region),
	}
}

// measureBlocks measures the memory of a declaration set with its steering table, and
// the processor time of changing one record, by the number of blocks.
func measureBlocks() ([]Slope, error) {
	memory := Slope{name: "set and table in memory", sizeUnit: "block", unit: "KiB", plotFile: "slope-memory.svg"}
	change := Slope{name: "taking a change of one record", sizeUnit: "block", unit: "ms CPU", plotFile: "slope-change.svg"}
	for _, blocks := range []int{15_000, 30_000, 60_000, 120_000} {
		before := heapBytes()
		set, err := declaration.FromRecords(makeRecords(blocks))
		if err != nil {
			return nil, err
		}
		table := steering.NewTable(set, 1)
		memory.add(blocks, (heapBytes()-before)/kiB)
		runtime.KeepAlive(table)
		round := 0
		change.add(blocks, median(slopeRounds, func() float64 {
			round++
			delta := declaration.Delta{Put: []declaration.Record{makeBlock("10.0.0.0/24", round%slopeRegions)}}
			begun := cpuTime()
			next, err := set.Patch(delta)
			if err == nil {
				set = next
				table = steering.NewTable(next, uint64(round)+1)
			}
			return float64(cpuTime()-begun) / float64(time.Millisecond)
		}))
		runtime.KeepAlive(table)
	}
	return []Slope{memory, change}, nil
}

// add adds a point: the value measured at a size.
func (s *Slope) add(size int, value float64) {
	s.sizes = append(s.sizes, float64(size))
	s.values = append(s.values, value)
}

// measureRoster measures the processor time of a change of the roster by its number of
// members.
func measureRoster() Slope {
	s := Slope{name: "taking a change of the roster", sizeUnit: "member", unit: "ms CPU"}
	for _, members := range []int{800, 1600, 3200, 6400} {
		r := roster.New(roster.Member{Name: "self", Run: "r", Region: "r0", State: roster.Live})
		var list []roster.Member
		for m := range members {
			list = append(list, roster.Member{
				Name: fmt.Sprintf("m%d", m), Run: "r", Region: fmt.Sprintf("r%d", m%slopeRegions), State: roster.Live,
			})
		}
		r.Merge(list)
		round := 0
		s.add(members, median(slopeRounds, func() float64 {
			round++
			begun := cpuTime()
			r.MarkGone(fmt.Sprintf("m%d/r", round))
			return float64(cpuTime()-begun) / float64(time.Millisecond)
		}))
		runtime.KeepAlive(r)
	}
	return s
}

// nodePair is a client node and a server node that echoes messages.
type nodePair struct {
	client, server *peer.Node
	target         peer.Target
}

// echoMessage is the request and the response of echoCall.
type echoMessage struct {
	From     roster.Member `cbor:"1,keyasint"`
	Revision uint64        `cbor:"2,keyasint"`
	Roster   uint64        `cbor:"3,keyasint"`
}

const echoCall peer.Call = "slope"

// newNodePair starts two nodes on loopback addresses.
func newNodePair() (*nodePair, error) {
	now := time.Now()
	authority, err := peer.NewAuthority("slope", now, now.Add(time.Hour))
	if err != nil {
		return nil, err
	}
	node := func(name string) (*peer.Node, error) {
		pair, err := authority.Certify(name, now, now.Add(time.Hour))
		if err != nil {
			return nil, err
		}
		keys, err := peer.NewKeys(string(authority.Cert()), string(pair.Cert()), string(pair.Key()))
		if err != nil {
			return nil, err
		}
		n, err := peer.Listen("127.0.0.1:0", keys)
		if err != nil {
			return nil, err
		}
		n.Handle(echoCall, peer.Unary(func(_ context.Context, _ string, m echoMessage) (echoMessage, error) { return m, nil }))
		n.Serve()
		return n, nil
	}
	nodes := &nodePair{}
	if nodes.client, err = node("client"); err != nil {
		return nil, err
	}
	if nodes.server, err = node("server"); err != nil {
		return nil, err
	}
	nodes.target = peer.NewTarget("server", nodes.server.Addr().String())
	return nodes, nil
}

func (n *nodePair) close() {
	_ = n.client.Close()
	_ = n.server.Close()
}

// loopbackSentBytes returns the bytes that the loopback interface has sent, or NaN
// if the counter cannot be read.
func loopbackSentBytes() float64 {
	data, err := os.ReadFile(loopbackBytesFile)
	if err != nil {
		return math.NaN()
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(string(data)), 64)
	if err != nil {
		return math.NaN()
	}
	return n
}

// measureCalls measures the processor time of both nodes and the bytes sent over
// loopback, by the number of unary calls.
func measureCalls(ctx context.Context) ([]Slope, error) {
	nodes, err := newNodePair()
	if err != nil {
		return nil, err
	}
	defer nodes.close()
	message := echoMessage{From: roster.Member{
		Name: "ct-1-a", Run: "d0a1b2c3d4e5f6g7h8i9", Region: "catania", Domain: "ct-1", Caller: "10.1.1.11:8080",
		Peer: "10.1.1.11:7070", Probe: "10.1.1.11:7071", State: roster.Live,
	}, Revision: 1, Roster: 1}
	cpu := Slope{name: "comparing notes with a peer, both sides", sizeUnit: "call", unit: "µs CPU"}
	bytes := Slope{name: "comparing notes with a peer, both ways", sizeUnit: "call", unit: "bytes"}
	for _, calls := range []int{maxSlopeCalls / 4, maxSlopeCalls / 2, maxSlopeCalls * 3 / 4, maxSlopeCalls} {
		before, sent := cpuTime(), loopbackSentBytes()
		for range calls {
			var resp echoMessage
			if err := nodes.client.Ask(ctx, nodes.target, echoCall, message, &resp); err != nil {
				return nil, err
			}
		}
		cpu.add(calls, float64(cpuTime()-before)/float64(time.Microsecond))
		bytes.add(calls, loopbackSentBytes()-sent)
	}
	return []Slope{cpu, bytes}, nil
}

// measureConnections measures the memory and the traffic of connections with an open
// but idle call, by the number of connections.
func measureConnections(ctx context.Context) ([]Slope, error) {
	nodes, err := newNodePair()
	if err != nil {
		return nil, err
	}
	defer nodes.close()
	memory := Slope{name: "connection with a call under way, both ends", sizeUnit: "connection", unit: "KiB"}
	traffic := Slope{name: "keeping such a connection open, both ways", sizeUnit: "connection", unit: "bytes a second"}
	opened := 0
	before := heapBytes()
	for _, conns := range []int{maxSlopeConnections / 4, maxSlopeConnections / 2, maxSlopeConnections} {
		for ; opened < conns; opened++ {
			s, err := nodes.client.Open(ctx, nodes.target, echoCall) // the connection stays open while the call is
			if err != nil {
				return nil, err
			}
			defer s.Abort()
			nodes.client.Redial(nodes.target)
		}
		memory.add(conns, (heapBytes()-before)/kiB)
		sent, begun := loopbackSentBytes(), time.Now()
		time.Sleep(2 * time.Second)
		traffic.add(conns, (loopbackSentBytes()-sent)/time.Since(begun).Seconds())
	}
	return []Slope{memory, traffic}, nil
}

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
