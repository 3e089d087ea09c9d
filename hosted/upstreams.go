package hosted

import (
	"context"
	"log/slog"
	"strconv"
	"strings"

	"hickorydrum/event"
	"hickorydrum/fleet"
	"hickorydrum/mirror"
	"hickorydrum/platform"
)

// decodedUpstream is the result of decoding one revision of an upstream entry.
type decodedUpstream struct {
	revision uint64
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
	for key := range i.decoded {
		if _, ok := decoded[key]; !ok {
			name := strings.TrimPrefix(key, platform.KindUpstreams+"/")
			changes.addRemoval(name, i.follower.removal(platform.KindUpstreams, name))
		}
	}
	i.decoded = decoded
	return upstreams, changes
}

// decodeEntry decodes one entry, and logs it if it is not usable.
func (i *Instance) decodeEntry(e *mirror.Entry) decodedUpstream {
	u, err := platform.DecodeUpstream(e.Object)
	if err != nil {
		event.EntryRefused.Log(context.Background(), i.log, slog.String("error", err.Error()))
	}
	u.Source, u.Peer, u.LearnedAt = string(e.Origin.Source), e.Origin.Peer, e.Origin.At
	return decodedUpstream{revision: e.Object.Version, upstream: u, usable: err == nil}
}

// maxChangesLogged bounds the changes that the line about a view has of each sort.
const maxChangesLogged = 8

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
	revision uint64 // of the entry that says so, 0 if it is gone
	from     mirror.Origin
}

// addUpdate records the change to a revision of an upstream. old is the zero value if it had none.
func (c *viewChanges) addUpdate(old, now *decodedUpstream, e *mirror.Entry) {
	text := describe(e.Object.Name(), now.revision, now.upstream.Source, now.upstream.Peer)
	switch {
	case now.upstream.Draining && !old.upstream.Draining:
		c.draining = append(c.draining, text)
		c.withdrawn = append(c.withdrawn, withdrawn{id: e.Object.Name(), revision: now.revision, from: e.Origin})
	case old.revision == 0:
		c.added = append(c.added, text)
	default:
		c.updated = append(c.updated, text)
	}
}

// addRemoval records the removal of an upstream.
func (c *viewChanges) addRemoval(name string, from mirror.Origin) {
	c.removed = append(c.removed, describe(name, 0, string(from.Source), from.Peer))
	c.withdrawn = append(c.withdrawn, withdrawn{id: name, gone: true, from: from})
}

// describe returns the text of one change. A revision of 0 is left out, and so is an empty source or peer.
func describe(name string, revision uint64, source, peer string) string {
	parts := []string{name}
	if revision > 0 {
		parts = append(parts, "@"+strconv.FormatUint(revision, 10))
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
