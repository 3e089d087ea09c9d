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
	roundsPerSize     = 5
	maxCalls          = 2000
	lookupDuration    = 2 * time.Second
	regionCount       = 47
	maxConnections    = 64
	tableBeginMark    = "<!-- slopes begin -->"
	tableEndMark      = "<!-- slopes end -->"
	plotWidth         = 14 * vg.Centimeter
	plotHeight        = 8 * vg.Centimeter
	kiB               = 1024.0
	loopbackBytesFile = "/sys/class/net/lo/statistics/tx_bytes"
)

// Slope is a figure that grows with a size, as measured at several sizes.
type Slope struct {
	name     string
	sizeUnit string // what the size counts
	unit     string
	plotFile string // of the plot, or ""
	sizes    []float64
	values   []float64
}

// fit returns the line through the points and the standard error of its slope.
func (s Slope) fit() (base, slope, err float64) {
	base, slope = stat.LinearRegression(s.sizes, s.values, nil, false)
	if len(s.sizes) < 3 {
		return base, slope, 0
	}
	var residual, spread float64
	mean := stat.Mean(s.sizes, nil)
	for i, x := range s.sizes {
		d := s.values[i] - base - slope*x
		residual += d * d
		spread += (x - mean) * (x - mean)
	}
	return base, slope, math.Sqrt(residual / float64(len(s.sizes)-2) / spread)
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// median returns the median of several measurements.
func median(rounds int, measure func() float64) float64 {
	found := make([]float64, rounds)
	for i := range found {
		found[i] = measure()
	}
	return medianOf(found)
}

func medianOf(found []float64) float64 {
	sorted := append([]float64(nil), found...)
	for i := range sorted {
		for j := i; j > 0 && sorted[j] < sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted[len(sorted)/2]
}

func makeRecords(blocks int) []declaration.Record {
	var records []declaration.Record
	for r := range regionCount {
		name := fmt.Sprintf("r%02d", r)
		records = append(records, declaration.Record{
			Kind: declaration.KindRegion, Name: name,
			Body: fmt.Appendf(nil, `{"kind":"region","name":%q,"domains":["d%d"]}`, name, r),
		})
	}
	for k := range blocks {
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(10 + k>>16), byte(k >> 8), byte(k), 0}), 24).String()
		records = append(records, makeBlock(prefix, k%regionCount))
	}
	declaration.Sort(records)
	return records
}

func makeBlock(prefix string, region int) declaration.Record {
	return declaration.Record{
		Kind: declaration.KindBlock, Name: prefix,
		Body: fmt.Appendf(nil, `{"kind":"block","prefix":%q,"region":"r%02d"}`, prefix, region),
	}
}

// measureBlocks measures memory and processor time against the count of blocks.
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
		change.add(blocks, median(roundsPerSize, func() float64 {
			round++
			delta := declaration.Delta{Put: []declaration.Record{makeBlock("10.0.0.0/24", round%regionCount)}}
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

func (s *Slope) add(size int, found float64) {
	s.sizes = append(s.sizes, float64(size))
	s.values = append(s.values, found)
}

// measureRoster measures a change of the roster against its members.
func measureRoster() Slope {
	s := Slope{name: "taking a change of the roster", sizeUnit: "member", unit: "ms CPU"}
	for _, members := range []int{800, 1600, 3200, 6400} {
		r := roster.New(roster.Member{Name: "self", Run: "r", Region: "r0", State: roster.Live})
		var list []roster.Member
		for m := range members {
			list = append(list, roster.Member{
				Name: fmt.Sprintf("m%d", m), Run: "r", Region: fmt.Sprintf("r%d", m%regionCount), State: roster.Live,
			})
		}
		r.Merge(list)
		round := 0
		s.add(members, median(roundsPerSize, func() float64 {
			round++
			begun := cpuTime()
			r.MarkGone(fmt.Sprintf("m%d/r", round))
			return float64(cpuTime()-begun) / float64(time.Millisecond)
		}))
		runtime.KeepAlive(r)
	}
	return s
}

// fixture is two connected nodes.
type nodePair struct {
	client, server *peer.Node
	target         peer.Target
}

type echoMessage struct {
	From     roster.Member `cbor:"1,keyasint"`
	Revision uint64        `cbor:"2,keyasint"`
	Roster   uint64        `cbor:"3,keyasint"`
}

const echoCall peer.Call = "slope"

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
	f := &nodePair{}
	if f.client, err = node("client"); err != nil {
		return nil, err
	}
	if f.server, err = node("server"); err != nil {
		return nil, err
	}
	f.target = peer.NewTarget("server", f.server.Addr().String())
	return f, nil
}

func (f *nodePair) close() {
	_ = f.client.Close()
	_ = f.server.Close()
}

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

// measureCalls measures unary calls between instances, both sides.
func measureCalls(ctx context.Context) ([]Slope, error) {
	f, err := newNodePair()
	if err != nil {
		return nil, err
	}
	defer f.close()
	note := echoMessage{From: roster.Member{
		Name: "ct-1-a", Run: "d0a1b2c3d4e5f6g7h8i9", Region: "catania", Domain: "ct-1", Caller: "10.1.1.11:8080",
		Peer: "10.1.1.11:7070", Probe: "10.1.1.11:7071", State: roster.Live,
	}, Revision: 1, Roster: 1}
	cpu := Slope{name: "comparing notes with a peer, both sides", sizeUnit: "call", unit: "µs CPU"}
	bytes := Slope{name: "comparing notes with a peer, both ways", sizeUnit: "call", unit: "bytes"}
	for _, calls := range []int{maxCalls / 4, maxCalls / 2, maxCalls * 3 / 4, maxCalls} {
		before, sent := cpuTime(), loopbackSentBytes()
		for range calls {
			var resp echoMessage
			if err := f.client.Ask(ctx, f.target, echoCall, note, &resp); err != nil {
				return nil, err
			}
		}
		cpu.add(calls, float64(cpuTime()-before)/float64(time.Microsecond))
		bytes.add(calls, loopbackSentBytes()-sent)
	}
	return []Slope{cpu, bytes}, nil
}

// measureConnections measures connections that carry nothing but must stay open.
func measureConnections(ctx context.Context) ([]Slope, error) {
	f, err := newNodePair()
	if err != nil {
		return nil, err
	}
	defer f.close()
	memory := Slope{name: "connection with a call under way, both ends", sizeUnit: "connection", unit: "KiB"}
	traffic := Slope{name: "keeping such a connection open, both ways", sizeUnit: "connection", unit: "bytes a second"}
	opened := 0
	before := heapBytes()
	for _, conns := range []int{maxConnections / 4, maxConnections / 2, maxConnections} {
		for ; opened < conns; opened++ {
			s, err := f.client.Open(ctx, f.target, echoCall) // keeps its connection open
			if err != nil {
				return nil, err
			}
			defer s.Abort()
			f.client.Renew(f.target)
		}
		memory.add(conns, (heapBytes()-before)/kiB)
		sent, begun := loopbackSentBytes(), time.Now()
		time.Sleep(2 * time.Second)
		traffic.add(conns, (loopbackSentBytes()-sent)/time.Since(begun).Seconds())
	}
	return []Slope{memory, traffic}, nil
}

// measureLookups measures look-ups over HTTP at one instance.
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
	ctx, cancel := context.WithTimeout(ctx, lookupDuration)
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

// lookupLoop asks look-ups over one raw connection, so that the asking side
// costs little of what is measured.
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
		for answers := 0; answers < pipelined; {
			n, err := conn.Read(buf)
			if err != nil {
				return err
			}
			answers += strings.Count(string(buf[:n]), `"until":"`)
		}
		*count += pipelined
	}
	return nil
}
