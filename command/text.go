package command

import (
	"bytes"
	"context"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"hickorydrum/declaration"
	"hickorydrum/entry"
	"hickorydrum/fault"
	"hickorydrum/instance"
	"hickorydrum/steering"
)

// describe tells what an apply of the set would change and move.
func describe(old *declaration.Set, revision uint64, set *declaration.Set, now time.Time) string {
	var b strings.Builder
	var before []declaration.Record
	if old != nil {
		before = old.Records()
	}
	delta := declaration.Compare(before, set.Records())
	if delta.Empty() {
		fmt.Fprintf(&b, "revision %d holds these declarations already\n", revision)
		return b.String()
	}
	fmt.Fprintf(&b, "against revision %d:\n", revision)
	known := make(map[declaration.Key]bool)
	for _, r := range before {
		known[r.Key()] = true
	}
	for _, r := range delta.Put {
		verb := "add"
		if known[r.Key()] {
			verb = "change"
		}
		fmt.Fprintf(&b, "  %-6s %s %s\n", verb, r.Kind, r.Name)
	}
	for _, k := range delta.Remove {
		fmt.Fprintf(&b, "  %-6s %s %s\n", "remove", k.Kind, k.Name)
	}
	b.WriteString(describeDrains(set, now))
	return b.String()
}

// describeDrains foretells how long the caps make the drains of regions take.
func describeDrains(set *declaration.Set, now time.Time) string {
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
				s.Name(), step.Share()*100, step.Every(), steering.MoveTime(1, step))
		}
	}
	return b.String()
}

// statusText is the table of the status command.
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

func sharesText(s entry.FlowShares) string {
	var parts []string
	for region, share := range s.Shares {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", region, share*100))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func lookup(ctx context.Context, b *base, at, address, service string) error {
	if at == "" {
		return fault.New(fault.Invalid, "-at is missing", "name the callers' address of any instance")
	}
	query := url.Values{}
	if address != "" {
		query.Set("address", address)
	}
	if service != "" {
		query.Set("service", service)
	}
	var answer entry.LookupResponse
	if err := getJSON(ctx, "http://"+at+entry.LookupPath+"?"+query.Encode(), &answer); err != nil {
		return err
	}
	b.printf("region %s, revision %d, until %s\n", answer.Region, answer.Revision, answer.Until.Format(time.RFC3339))
	for _, n := range answer.Instances {
		b.printf("  %s (%s)\n", n.Address, n.Domain)
	}
	return nil
}
