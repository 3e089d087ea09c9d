package hosted

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorydrum/event"
	"hickorydrum/fault"
	"hickorydrum/fleet"
	"hickorydrum/mirror"
	"hickorydrum/platform"
	"hickorydrum/revision"
)

// decodedUpstream is the result of decoding one revision of an upstream entry.
type decodedUpstream struct {
	revision revision.Revision
	upstream fleet.Upstream
	usable   bool
}

// decode returns the usable upstreams among the entries, and what changed since the last call. Each
// revision of an entry is decoded once, and logged if it is not usable. i.mu must be held.
func (i *Instance) decode(entries []mirror.Entry) ([]fleet.Upstream, viewChanges) {
	upstreams := make([]fleet.Upstream, 0, len(entries))
	decoded := make(map[string]decodedUpstream, len(entries))
	var changes viewChanges
	for _, e := range entries {
		d, ok := i.decoded[e.Object.Key]
		if !ok || d.revision != e.Object.Version {
			old := d
			d = i.decodeEntry(&e)
			changes.addUpdate(&old, &d, &e)
		}
		decoded[e.Object.Key] = d
		if d.usable {
			upstreams = append(upstreams, d.upstream)
		}
	}
	entriesSkipped.Set(float64(len(decoded) - len(upstreams)))
	for key, old := range i.decoded {
		if _, ok := decoded[key]; !ok && old.usable {
			name := strings.TrimPrefix(key, platform.KindUpstreams+"/")
			changes.addRemoval(name, i.follower.removal(platform.KindUpstreams, name))
		}
	}
	i.decoded = decoded
	return upstreams, changes
}

const (
	// maxEntryLines bounds the lines a second about entries that are not usable, and maxEntryText the text of
	// the error in each, in bytes: it may cite what the entry says.
	maxEntryLines = 20
	maxEntryText  = 300
	// maxClockDifference bounds how far the start of an upstream may be in the future.
	maxClockDifference = time.Hour
)

var entriesSkipped = metrics.GetOrCreateGauge(`hickorydrum_upstream_entries_skipped`, nil)

// decodeEntry decodes one entry, and logs it if it is not usable.
func (i *Instance) decodeEntry(e *mirror.Entry) decodedUpstream {
	u, err := platform.DecodeUpstream(e.Object)
	if err == nil && time.Until(time.UnixMilli(u.StartMillis)) > maxClockDifference {
		err = fault.New(fault.Invalid, "the entry "+e.Object.Key+" has a start in the future", "correct the program that writes it")
	}
	if err != nil {
		u = fleet.Upstream{}
		i.logUnusable(e.Object.Key, err)
	}
	u.Source, u.Peer, u.LearnedAt = string(e.Origin.Source), e.Origin.Peer, e.Origin.At
	return decodedUpstream{revision: e.Object.Version, upstream: u, usable: err == nil}
}

// logUnusable logs an entry that is not usable.
func (i *Instance) logUnusable(key string, err error) {
	now := time.Now()
	omitted := i.entryLines.Omitted(now)
	if !i.entryLines.Allow(now) {
		return
	}
	event.EntryRefused.Log(context.Background(), i.log, slog.String("object", shorten(key, maxNameShown)),
		slog.String("error", shorten(err.Error(), maxEntryText)), slog.Int("omitted", omitted))
}

// shorten cuts a text to a number of bytes.
func shorten(text string, most int) string {
	if len(text) <= most {
		return text
	}
	return text[:most] + "..."
}

const (
	// maxChangesLogged bounds the changes that the line about a view has of each sort.
	maxChangesLogged = 8
	// maxNameShown bounds what lines show of a name that another program wrote, in bytes.
	maxNameShown = 80
)

// viewChanges is what changed from one view of the upstreams to the next: one text for each change,
// with the upstream's ID, the revision, the source and the peer.
type viewChanges struct {
	added, updated, draining, removed []string

	withdrawn []withdrawn
}

// withdrawn is an upstream whose entry says that it leaves, or is gone.
type withdrawn struct {
	id       string
	gone     bool
	revision revision.Revision // of the entry that says so, zero if it is gone
	from     mirror.Origin
}

// addUpdate records the change to a revision of an upstream. old is the zero value if it had none.
func (c *viewChanges) addUpdate(old, now *decodedUpstream, e *mirror.Entry) {
	text := describe(e.Object.Name(), now.revision, now.upstream.Source, now.upstream.Peer)
	switch {
	case now.upstream.Draining && !old.upstream.Draining:
		c.draining = append(c.draining, text)
		c.withdrawn = append(c.withdrawn, withdrawn{id: e.Object.Name(), revision: now.revision, from: e.Origin})
	case old.revision.IsZero():
		c.added = append(c.added, text)
	default:
		c.updated = append(c.updated, text)
	}
}

// addRemoval records the removal of an upstream.
func (c *viewChanges) addRemoval(name string, from mirror.Origin) {
	c.removed = append(c.removed, describe(name, revision.Revision{}, string(from.Source), from.Peer))
	c.withdrawn = append(c.withdrawn, withdrawn{id: name, gone: true, from: from})
}

// describe returns the text of one change. A zero revision is left out, and so is an empty source or peer.
func describe(name string, at revision.Revision, source, peer string) string {
	parts := []string{shorten(name, maxNameShown)}
	if !at.IsZero() {
		parts = append(parts, "@"+at.String())
	}
	for _, part := range []string{source, peer} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, " ")
}

// attrs returns the numbers of the changes and the first of them, for the log.
func (c *viewChanges) attrs() []slog.Attr {
	var out []slog.Attr
	add := func(name string, changes []string) {
		if len(changes) > 0 {
			out = append(out, slog.Group(name, slog.Int("count", len(changes)),
				slog.Any("first", changes[:min(len(changes), maxChangesLogged)])))
		}
	}
	add("added", c.added)
	add("updated", c.updated)
	add("draining", c.draining)
	add("removed", c.removed)
	return out
}
