package simulation

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

type outcome int

const (
	answered outcome = iota
	refused
	failed
)

// windowLength is the length of the windows of a report.
const windowLength = 2 * time.Second

// Tally counts what became of requests.
type Tally struct {
	Requests, InTime, Late, Refused, Failed int
	owed, earned                         float64
}

// Worth returns the credit earned of that owed.
func (t *Tally) Worth() float64 {
	if t.owed == 0 {
		return 1
	}
	return t.earned / t.owed
}

// count counts an outcome, or with -1 takes it back.
func (t *Tally) count(c *call, o outcome, latency time.Duration, by int) {
	k := c.kind
	t.Requests += by
	t.owed += float64(by) * k.Worth
	switch {
	case o == refused:
		t.Refused += by
	case o == failed:
		t.Failed += by
	case latency <= k.Objective:
		t.InTime += by
		t.earned += float64(by) * k.Worth
	default:
		t.Late += by
		t.earned += float64(by) * k.LateWorth
	}
}

// Report is what became of the requests of a pattern.
type Report struct {
	All     Tally
	Kinds   map[string]*Tally
	Regions map[string]*Tally
	Windows []*Tally
	// Retries counts sends beyond the first of a request.
	Retries int
}

func newReport(p *Pattern) *Report {
	r := &Report{Kinds: make(map[string]*Tally), Regions: make(map[string]*Tally)}
	for _, k := range p.Kinds {
		r.Kinds[k.Name] = &Tally{}
	}
	for _, region := range p.regions() {
		r.Regions[region] = &Tally{}
	}
	for range int(p.Length/windowLength) + 1 {
		r.Windows = append(r.Windows, &Tally{})
	}
	return r
}

// Between returns the tally of the requests that began within a span.
func (r *Report) Between(from, to time.Duration) Tally {
	var sum Tally
	for i, w := range r.Windows {
		if at := time.Duration(i) * windowLength; at < from || at >= to {
			continue
		}
		sum.Requests += w.Requests
		sum.InTime += w.InTime
		sum.Late += w.Late
		sum.Refused += w.Refused
		sum.Failed += w.Failed
		sum.owed += w.owed
		sum.earned += w.earned
	}
	return sum
}

// Write prints the report as tables.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(name string, t *Tally) {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", name, t.Requests, t.InTime, t.Late, t.Refused, t.Failed, t.Worth())
	}
	_, _ = fmt.Fprintln(w, "\tasked\tin time\tlate\trefused\tfailed\tworth\t")
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		line(name, r.Kinds[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Regions)) {
		line(name, r.Regions[name])
	}
	for i, t := range r.Windows {
		if t.Requests > 0 {
			line((time.Duration(i) * windowLength).String(), t)
		}
	}
	line("all", &r.All)
	_, _ = fmt.Fprintf(w, "repeats\t%d\t\t\t\t\t\t\n", r.Retries)
	return w.Flush()
}
