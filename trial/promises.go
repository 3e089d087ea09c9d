package trial

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"hickorydrum/fault"
	"hickorydrum/platform"
)

// checkPromises compares what the responses stated with the executions and
// counters of the upstreams, and writes the checks of the report.
func (t *trial) checkPromises(ctx context.Context) {
	runs := t.Runs()
	atMostOnce := Check{Promise: "an order or upload runs at most once"}
	notExecuted := Check{Promise: "told not run: was not run"}
	executed := Check{Promise: "told run: was run"}
	for _, result := range t.report.Load.Results {
		atMostOnce.Seen++
		if runs[result.ID] > 1 {
			atMostOnce.Broken++
		}
		notExecuted.Seen += result.NotRun
		if runs[result.ID] > result.Sends-result.NotRun {
			notExecuted.Broken++
		}
		if result.Ran == string(fault.Executed) {
			executed.Seen++
			if runs[result.ID] == 0 {
				executed.Broken++
			}
		}
	}
	intact := Check{Promise: "answers are whole and the caller's own"}
	for _, c := range t.report.Load.Classes {
		intact.Seen += c.Sent
		intact.Broken += c.Corrupt
	}
	slots := Check{Promise: "no upstream runs more requests than slots"}
	for _, f := range t.UpstreamStats(ctx) {
		slots.Seen += f.Served
		slots.Broken += f.OverLimit
	}
	stop := Check{Promise: "a planned stop ends cleanly", Seen: 1, Broken: t.report.UncleanStops}
	rollout := Check{Promise: "an accepted revision is in force within 5 s", Seen: 1}
	if t.report.RolloutSeconds > maxRollout.Seconds() {
		rollout.Broken++
	}
	t.report.Checks = []Check{intact, notExecuted, executed, atMostOnce, slots, stop, rollout}
	t.computeAddedLatency()
}

// computeAddedLatency computes the latency that an instance adds: listings through an
// instance less direct calls in the same run. Without direct calls the result is NaN.
func (t *trial) computeAddedLatency() {
	byClass := make(map[Class]ClassReport)
	for _, c := range t.report.Load.Classes {
		byClass[c.Class] = c
	}
	direct, ok := byClass[ClassDirect]
	if !ok {
		t.report.AddedP50, t.report.AddedP99 = math.NaN(), math.NaN()
		return
	}
	t.report.AddedP50 = byClass[ClassListing].P50 - direct.P50
	t.report.AddedP99 = byClass[ClassListing].P99 - direct.P99
}

// Print writes the report as tables, followed by the first failures of the load.
func (r TryReport) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "\n%s, seed %d\n", r.Deployment, r.Seed)
	fmt.Fprintln(w, "\nLATENCY (ms)\tSENT\tOK\tNOT RUN\tUNKNOWN\tWRONG\tP50\tP99\tP99.9\tMAX")
	for _, c := range r.Load.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n",
			c.Class, c.Sent, c.OK, c.NotRun, c.Unknown, c.Corrupt, c.P50, c.P99, c.P999, c.Max)
	}
	fmt.Fprintf(w, "added over a direct call\t\t\t\t\t\t%.1f\t%.1f\n", r.AddedP50, r.AddedP99)
	fmt.Fprintln(w, "\nHEADROOM (least)\tFREE\tOF SLOTS")
	var regions []string
	for region := range r.Headroom {
		regions = append(regions, region)
	}
	slices.Sort(regions)
	for _, region := range regions {
		fmt.Fprintf(w, "%s\t%d\t%d\n", region, r.Headroom[region].Free, r.Headroom[region].Slots)
	}
	fmt.Fprintf(w, "\nDRAIN TIME\t%.1f s\n", r.DrainSeconds)
	fmt.Fprintf(w, "ROLL-OUT\t%.2f s\n", r.RolloutSeconds)
	fmt.Fprintln(w, "\nPROMISE\tSEEN\tBROKEN")
	for _, c := range r.Checks {
		fmt.Fprintf(w, "%s\t%d\t%d\n", c.Promise, c.Seen, c.Broken)
	}
	_ = w.Flush()
	for _, text := range r.Load.Errors[:min(len(r.Load.Errors), 8)] {
		_, _ = fmt.Fprintf(out, "  seen: %s\n", strings.TrimSpace(text))
	}
}

// forcePut writes an object over any version; it reads the version again after a
// conflict.
func forcePut(ctx context.Context, key string, value []byte) error {
	client := platform.New("http://" + platformAddress)
	defer client.Close()
	for {
		o, err := client.Get(ctx, key)
		if err != nil && fault.KindOf(err) != fault.Missing {
			return err
		}
		_, err = client.Put(ctx, key, value, o.Version)
		if err == nil || fault.KindOf(err) != fault.Conflict {
			return err
		}
	}
}
