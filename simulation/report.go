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

// windowLength is the length of the windows by which a report groups requests.
const windowLength = 2 * time.Second

// Tally counts requests by outcome.
type Tally struct {
	Requests, InTime, Late, Refused, Failed int
	maxWorth, earnedWorth                   float64
}

// Worth returns the worth of the responses as a fraction of what the requests are worth if
// all of them are answered in time; 1 if there are none.
func (t *Tally) Worth() float64 {
	if t.maxWorth == 0 {
		return 1
	}
	return t.earnedWorth / t.maxWorth
}

// Served returns the fraction of the requests that were answered; 1 if there are none.
func (t *Tally) Served() float64 {
	if t.Requests == 0 {
		return 1
	}
	return float64(t.InTime+t.Late) / float64(t.Requests)
}

// count adds an outcome with a delta of 1, and subtracts it with -1.
func (t *Tally) count(c *call, o outcome, latency time.Duration, delta int) {
	k := c.kind
	t.Requests += delta
	t.maxWorth += float64(delta) * k.Worth
	switch {
	case o == refused:
		t.Refused += delta
	case o == failed:
		t.Failed += delta
	case latency <= k.Objective:
		t.InTime += delta
		t.earnedWorth += float64(delta) * k.Worth
	default:
		t.Late += delta
		t.earnedWorth += float64(delta) * k.Late
	}
}

// Report is the result of a simulation: the outcomes of all requests, and by kind, by client
// account, by region of the caller and by the window in which the request started.
type Report struct {
	All      Tally
	Kinds    map[string]*Tally
	Accounts map[string]*Tally
	Regions  map[string]*Tally
	Windows  []*Tally
	// Retries counts the attempts of a submission beyond its first.
	Retries int
}

func newReport(p *Pattern) *Report {
	r := &Report{Kinds: make(map[string]*Tally), Accounts: make(map[string]*Tally), Regions: make(map[string]*Tally)}
	for _, a := range p.Accounts {
		r.Accounts[a.Name] = &Tally{}
	}
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

// Between returns the tally of the windows that start in [from, to).
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
		sum.maxWorth += w.maxWorth
		sum.earnedWorth += w.earnedWorth
	}
	return sum
}

// Write prints the report as a table.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(name string, t *Tally) {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", name, t.Requests, t.InTime, t.Late, t.Refused, t.Failed, t.Worth())
	}
	_, _ = fmt.Fprintln(w, "\tasked\tin time\tlate\trefused\tfailed\tworth\t")
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		line(name, r.Kinds[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Accounts)) {
		line(name, r.Accounts[name])
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
