package command

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"hickorydrum/declaration"
	"hickorydrum/entry"
	"hickorydrum/instance"
	"hickorydrum/steering"
)

// planText returns the changes that an apply of the set would make to old, the declarations
// of the revision, and the least times that the drains of regions in the set take.
func planText(old *declaration.Set, revision uint64, set *declaration.Set, now time.Time) string {
	var b strings.Builder
	var before []declaration.Record
	if old != nil {
		before = old.Records()
	}
	delta := declaration.Diff(before, set.Records())
	if delta.Empty() {
		fmt.Fprintf(&b, "revision %d holds these declarations already\n", revision)
		return b.String()
	}
	fmt.Fprintf(&b, "against revision %d:\n", revision)
	existing := make(map[declaration.Key]bool)
	for _, r := range before {
		existing[r.Key()] = true
	}
	for _, r := range delta.Put {
		verb := "add"
		if existing[r.Key()] {
			verb = "change"
		}
		fmt.Fprintf(&b, "  %-6s %s %s\n", verb, r.Kind, r.Name)
	}
	for _, k := range delta.Remove {
		fmt.Fprintf(&b, "  %-6s %s %s\n", "remove", k.Kind, k.Name)
	}
	b.WriteString(drainText(set, now))
	return b.String()
}

// drainText returns how long the drains of regions take at least under the caps of the
// services.
func drainText(set *declaration.Set, now time.Time) string {
	var b strings.Builder
	for _, d := range set.Drains() {
		if d.Region() == "" || d.Until().Before(now) {
			continue
		}
		fmt.Fprintf(&b, "drain of %s from %s:\n", d.Region(), d.From().Format(time.RFC3339))
		for _, s := range set.Services() {
			step := set.Cap(s.Name()).Planned()
			if step.Share() <= 0 {
				fmt.Fprintf(&b, "  %s does not move: it has no cap\n", s.Name())
				continue
			}
			fmt.Fprintf(&b, "  %s moves %.1f%% every %s: done after %s at the earliest\n",
				s.Name(), step.Share()*100, step.Interval(), steering.MoveTime(1, step))
		}
	}
	return b.String()
}

// statusText returns the table that the status command prints.
func statusText(all []instance.Status) string {
	var buf bytes.Buffer
	w := tabwriter.NewWriter(&buf, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tREGION\tDOMAIN\tSTATE\tREVISION\tIN FLIGHT\tNOTE")
	for _, s := range all {
		inFlight := 0
		for _, u := range s.Uses {
			inFlight += u.InFlight
		}
		note := ""
		switch {
		case !s.Reachable:
			note = "does not answer"
		case s.Frozen:
			note = "revision not confirmed"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", s.Name, s.Region, s.Domain, s.State, s.Revision, inFlight, note)
	}
	for _, s := range all {
		for _, share := range s.Shares {
			fmt.Fprintf(w, "%s\tserves %s of %s\t%s\n", s.Name, share.Service, share.Home, sharesText(share))
		}
	}
	_ = w.Flush()
	return buf.String()
}

// sharesText returns the shares as percentages, sorted by region.
func sharesText(s entry.FlowShares) string {
	var parts []string
	for region, share := range s.Shares {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", region, share*100))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
