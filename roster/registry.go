package roster

import (
	"context"
	"encoding/json"
	"strings"

	"hickorydrum/fault"
	"hickorydrum/platform"
)

// WatchPrefix is the start of the keys that instances watch. What changes often,
// such as claims of orders, lies elsewhere.
const WatchPrefix = "watched/"

// Prefix is the start of the keys of the roster's objects, one for each failure
// domain.
const Prefix = WatchPrefix + "roster/"

const (
	maxWriteAttempts = 16
	// maxGone bounds the gone members that an object keeps, so that late readers
	// still learn of them.
	maxGone = 16
)

// domainObject is the object of one failure domain.
type domainObject struct {
	Members []Member `json:"members"`
}

// Store is the part of the platform that the registry uses.
type Store interface {
	platform.Store
	List(ctx context.Context, prefix string) (platform.Page, error)
}

// Registry keeps the roster's objects on the platform.
type Registry struct {
	store Store
}

// NewRegistry returns a registry on the store.
func NewRegistry(store Store) *Registry { return &Registry{store: store} }

// Decode returns the members that an object of the roster names.
func Decode(o platform.Object) []Member {
	var p domainObject
	if o.Deleted || json.Unmarshal(o.Value, &p) != nil {
		return nil
	}
	return p.Members
}

// Write records a member in the object of its failure domain. It is safe to
// repeat: states only grow.
func (g *Registry) Write(ctx context.Context, m Member) error {
	key := Prefix + m.Domain
	var err error
	for range maxWriteAttempts {
		var o platform.Object
		o, err = g.store.Get(ctx, key)
		if err != nil && fault.KindOf(err) != fault.Missing {
			return err
		}
		members, changed := withMember(Decode(o), m)
		if !changed {
			return nil
		}
		var value []byte
		if value, err = json.Marshal(domainObject{Members: members}); err != nil {
			return err
		}
		// No nonce is needed: a value with this member in this state is the aim,
		// whoever wrote it.
		if _, err = g.store.Put(ctx, key, value, o.Version); err == nil {
			return nil
		}
		if fault.KindOf(err) != fault.Conflict {
			return err
		}
	}
	return err
}

func withMember(members []Member, m Member) ([]Member, bool) {
	var out []Member
	found := false
	for _, old := range members {
		if old.ID() == m.ID() {
			if old.State >= m.State {
				return members, false
			}
			old = m
			found = true
		}
		out = append(out, old)
	}
	if !found {
		out = append(out, m)
	}
	return trimGone(out), true
}

func trimGone(members []Member) []Member {
	gone := 0
	for _, m := range members {
		if m.State == Gone {
			gone++
		}
	}
	var out []Member
	for _, m := range members {
		if m.State == Gone && gone > maxGone {
			gone--
			continue
		}
		out = append(out, m)
	}
	return out
}

// Read returns every registered member.
func (g *Registry) Read(ctx context.Context) ([]Member, error) {
	list, err := g.store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	var members []Member
	for _, o := range list.Objects {
		members = append(members, Decode(o)...)
	}
	return members, nil
}

// IsKey reports whether the key belongs to the roster.
func IsKey(key string) bool { return strings.HasPrefix(key, Prefix) }
