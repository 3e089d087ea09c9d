// Package rollout distributes declarations: it writes a checked set to the
// platform as one revision, and brings each revision into force at every instance.
package rollout

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/xid"

	"hickorydrum/declaration"
	"hickorydrum/fault"
	"hickorydrum/platform"
	"hickorydrum/revision"
	"hickorydrum/roster"
)

const (
	// HeadKey is the key of the object that stores the Head. The version of the
	// object is the revision.
	HeadKey     = roster.WatchPrefix + "head"
	chunkPrefix = "chunk/"
	// chunkRecords is the mean number of records in a chunk. A hash of each
	// record's key decides whether the chunk ends after it, so that the change of
	// a record usually rewrites one chunk only.
	chunkRecords = 1024
	// maxChunkBytes is the estimated size at which a chunk ends in any case. It
	// leaves room below platform.MaxValue.
	maxChunkBytes = 900 << 10
	// maxCachedChunks bounds the chunks that a loader caches for the next revision.
	maxCachedChunks = 4096
)

// Head lists the chunks that make up the revision in force. Chunks are object
// names below chunkPrefix, Digest is that of the whole set, By and At state who
// applied it and when. The Nonce makes each Head unique, so that a writer
// recognizes its own when it reads the object back.
type Head struct {
	Nonce  string    `json:"nonce"`
	Digest string    `json:"digest"`
	Chunks []string  `json:"chunks"`
	By     string    `json:"by,omitempty"`
	At     time.Time `json:"at"`
}

// Store is the part of the platform's client that a rollout needs.
type Store interface {
	platform.Store
	List(ctx context.Context, prefix string) (platform.Page, error)
	Watch(ctx context.Context, prefix string, cursor revision.Revision, wait time.Duration) (platform.Page, error)
}

// split divides sorted records into chunks encoded as JSON.
func split(records []declaration.Record) ([][]byte, error) {
	var chunks [][]byte
	var part []declaration.Record
	size := 0
	flush := func() error {
		if len(part) == 0 {
			return nil
		}
		data, err := json.Marshal(part)
		if err != nil {
			return err
		}
		if len(data) > platform.MaxValue {
			return fault.New(fault.Invalid, fmt.Sprintf("%s %q is too large", part[0].Kind, part[0].Name),
				"divide it into several declarations")
		}
		chunks = append(chunks, data)
		part, size = nil, 0
		return nil
	}
	for _, r := range records {
		n := len(r.Body)*4/3 + len(r.Name) + 64 // estimate of the JSON, with the body in base64
		if size+n > maxChunkBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		part = append(part, r)
		size += n
		if xxhash.Sum64String(string(r.Kind)+"/"+r.Name)%chunkRecords == 0 {
			if err := flush(); err != nil {
				return nil, err
			}
		}
	}
	err := flush()
	return chunks, err
}

// chunkName returns the name of a chunk, the SHA-256 of its content in hex.
func chunkName(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Current reads the head from the platform. The revision is zero if no set was ever
// applied.
func Current(ctx context.Context, s Store) (at revision.Revision, head Head, err error) {
	o, err := s.Get(ctx, HeadKey)
	if fault.KindOf(err) == fault.Missing {
		return revision.Revision{}, Head{}, nil
	}
	if err != nil {
		return revision.Revision{}, Head{}, err
	}
	if err := json.Unmarshal(o.Value, &head); err != nil {
		return revision.Revision{}, Head{}, fault.New(fault.Corrupt, "the head cannot be decoded", "apply the files again", fault.WithCause(err))
	}
	return o.Version, head, nil
}

// Apply writes the set to the platform as the successor of the base revision and
// returns its revision. Of concurrent calls with the same base exactly one
// succeeds; the others return a fault of kind Conflict.
func Apply(ctx context.Context, s Store, set *declaration.Set, base revision.Revision, by string, now time.Time) (revision.Revision, error) {
	chunks, err := split(set.Records())
	if err != nil {
		return revision.Revision{}, err
	}
	head := Head{Nonce: xid.New().String(), Digest: set.Digest(), By: by, At: now}
	for _, data := range chunks {
		name := chunkName(data)
		head.Chunks = append(head.Chunks, name)
		if err := putChunk(ctx, s, name, data); err != nil {
			return revision.Revision{}, err
		}
	}
	value, err := json.Marshal(head)
	if err != nil {
		return revision.Revision{}, err
	}
	applied, err := platform.PutWithReadBack(ctx, s, HeadKey, value, base)
	if fault.KindOf(err) == fault.Conflict {
		return revision.Revision{}, conflictError(ctx, s)
	}
	if err != nil && !fault.IsNotExecuted(err) {
		return revision.Revision{}, fault.New(fault.Unavailable, "the platform did not confirm whether the set was accepted",
			"run status to see the revision in force, then apply again if it is not yours",
			fault.WithExecution(fault.MaybeExecuted), fault.WithCause(err))
	}
	return applied, err
}

// putChunk writes a chunk. A conflict is no fault: chunks are named by their
// content, so an existing object of this name has the same content.
func putChunk(ctx context.Context, s Store, name string, data []byte) error {
	_, err := platform.PutWithReadBack(ctx, s, chunkPrefix+name, data, revision.Revision{})
	if fault.KindOf(err) == fault.Conflict {
		return nil
	}
	return err
}

// conflictError returns the fault for an Apply whose base is not the revision in
// force, and names that revision if it can be read.
func conflictError(ctx context.Context, s Store) error {
	text := "another set was applied meanwhile"
	if at, head, err := Current(ctx, s); err == nil {
		text = fmt.Sprintf("revision %d was applied meanwhile by %s at %s", at.Number, head.By, head.At.Format(time.RFC3339))
	}
	return fault.New(fault.Conflict, text, "run plan to see what differs, merge it into your files and apply again")
}

// loader reads revisions from the platform. It caches the chunks of the last
// one, since most of them are part of the next one too.
type loader struct {
	chunks map[string][]declaration.Record // by name
}

// load returns the records of the head, sorted and checked against its digest.
func (l *loader) load(ctx context.Context, s Store, head Head) ([]declaration.Record, error) {
	if l.chunks == nil || len(l.chunks) > maxCachedChunks {
		l.chunks = make(map[string][]declaration.Record)
	}
	used := make(map[string][]declaration.Record, len(head.Chunks))
	var records []declaration.Record
	for _, name := range head.Chunks {
		part, ok := l.chunks[name]
		if !ok {
			var err error
			if part, err = readChunk(ctx, s, name); err != nil {
				return nil, err
			}
		}
		used[name] = part
		records = append(records, part...)
	}
	l.chunks = used
	declaration.Sort(records)
	if declaration.Digest(records) != head.Digest {
		return nil, fault.New(fault.Corrupt, "the records of the chunks do not match the digest in the head",
			"apply the files again")
	}
	return records, nil
}

// readChunk reads a chunk and checks its content against its name.
func readChunk(ctx context.Context, s Store, name string) ([]declaration.Record, error) {
	o, err := s.Get(ctx, chunkPrefix+name)
	if err != nil {
		return nil, err
	}
	if chunkName(o.Value) != name {
		return nil, fault.New(fault.Corrupt, "the content of a configuration chunk does not match its name",
			"apply the files again")
	}
	var part []declaration.Record
	if err := json.NewDecoder(bytes.NewReader(o.Value)).Decode(&part); err != nil {
		return nil, fault.New(fault.Corrupt, "a configuration chunk cannot be decoded", "apply the files again",
			fault.WithCause(err))
	}
	return slices.Clip(part), nil
}

// Load returns the set in force according to the platform, and its revision. The
// set is nil and the revision zero if no set was ever applied.
func Load(ctx context.Context, s Store) (*declaration.Set, revision.Revision, error) {
	at, head, err := Current(ctx, s)
	if err != nil || at.IsZero() {
		return nil, revision.Revision{}, err
	}
	records, err := new(loader).load(ctx, s, head)
	if err != nil {
		return nil, revision.Revision{}, err
	}
	set, err := declaration.FromRecords(records)
	return set, at, err
}
