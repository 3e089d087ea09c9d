package trial

import (
	"fmt"
	"math"
	"net/netip"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot/vg"

	"hickorydrum/declaration"
	"hickorydrum/roster"
	"hickorydrum/steering"
)

const (
	slopeRounds    = 5
	slopeRegions   = 47
	tableBeginMark = "<!-- slopes begin -->"
	tableEndMark   = "<!-- slopes end -->"
	plotWidth      = 14 * vg.Centimeter
	plotHeight     = 8 * vg.Centimeter
	kiB            = 1024.0
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
