package roster

import (
	"context"
	"encoding/json"
	"strings"

	"hickorydrum/fault"
	"hickorydrum/platform"
)

// WatchPrefix is the prefix of the keys that instances watch on the platform.
// Objects that change often, such as claims of orders, have keys outside of it.
const WatchPrefix = "watched/"

// Prefix is the prefix of the keys of the roster's objects, one for each failure
// domain.
const Prefix = WatchPrefix + "roster/"

const (
	maxWriteAttempts = 16 // attempts of Write, which retries after a conflict
	// maxGone is how many gone members an object keeps, so that an instance that
	// reads it late still learns that they are gone.
	maxGone = 16
)

// domainObject is the object of one failure domain on the platform.
type domainObject struct {
	Members []Member `json:"members"`
}

// Store is the part of the platform's client that the registry uses.
type Store interface {
	platform.Store
	List(ctx context.Context, prefix string) (platform.Page, error)
}

// Registry reads and writes the roster's objects on the platform.
type Registry struct {
	store Store
}

// NewRegistry returns a Registry that uses the store.
func NewRegistry(store Store) *Registry { return &Registry{store: store} }

// Decode returns the members in an object of the roster. It returns nil if the
// object is deleted or cannot be decoded.
func Decode(o platform.Object) []Member {
	var p domainObject
	if o.Deleted || json.Unmarshal(o.Value, &p) != nil {
		return nil
	}
	return p.Members
}

// Write records a member and its state in the object of its failure domain. It is
// safe to repeat, since a state is never replaced by an earlier one.
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
		// The value needs no nonce to tell whose write took effect: it is enough that
		// the object has this member in this state, whoever wrote it.
		if _, err = g.store.Put(ctx, key, value, o.Version); err == nil {
			return nil
		}
		if fault.KindOf(err) != fault.Conflict {
			return err
		}
	}
	return err
}

// withMember returns the members with m added or its state updated, and whether
// that changed anything. It does not modify the slice.
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

// trimGone returns the members without the first gone ones, so that at most maxGone
// gone members remain.
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

// Read returns the members of all failure domains.
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

// IsKey reports whether the key is that of a roster object.
func IsKey(key string) bool { return strings.HasPrefix(key, Prefix) }
