package standin

import (
	"context"
	"time"

	"hickorydrum/fault"
	"hickorydrum/platform"
	"hickorydrum/revision"
)

// Client makes the calls of an instance to a Store, without a network: it does what platform.Client does over HTTP.
type Client struct{ store *Store }

// Client returns a client of the store.
func (s *Store) Client() *Client { return &Client{s} }

// at returns a revision of an era of the store.
func at(era, number uint64) revision.Revision { return revision.Revision{Era: era + 1, Number: number} }

func toObject(era uint64, o *Object) platform.Object {
	return platform.Object{Key: o.Key, Version: at(era, o.Version), Value: o.Value, Deleted: o.Deleted}
}

func toPage(p page) platform.Page {
	out := platform.Page{Cursor: at(p.era, p.cursor)}
	for i := range p.objects {
		out.Objects = append(out.Objects, toObject(p.era, &p.objects[i]))
	}
	return out
}

// errOtherEra is the error of a call that names a revision of an earlier era.
func errOtherEra() error {
	return fault.New(fault.Conflict, "the store came back from a copy", "read again")
}

// Get returns the object with the key, or a fault.Missing error.
func (c *Client) Get(ctx context.Context, key string) (platform.Object, error) {
	o, err := c.store.Get(ctx, key)
	if err != nil {
		return platform.Object{}, err
	}
	return toObject(c.store.Era(), &o), nil
}

// Put writes an object if its version is the given one, or if the version is zero and the object does not exist;
// otherwise it returns a fault.Conflict error. It returns the new version.
func (c *Client) Put(ctx context.Context, key string, value []byte, version revision.Revision) (revision.Revision, error) {
	if c.isOfEarlierEra(version) {
		return revision.Revision{}, errOtherEra()
	}
	next, err := c.store.Put(ctx, key, value, version.Number)
	if err != nil {
		return revision.Revision{}, err
	}
	return at(c.store.Era(), next), nil
}

// Delete removes an object if its version is the given one.
func (c *Client) Delete(ctx context.Context, key string, version revision.Revision) error {
	if c.isOfEarlierEra(version) {
		return errOtherEra()
	}
	return c.store.Delete(ctx, key, version.Number)
}

func (c *Client) isOfEarlierEra(version revision.Revision) bool {
	return !version.IsZero() && version.Era != at(c.store.Era(), 0).Era
}

// List returns the objects whose keys begin with the prefix.
func (c *Client) List(ctx context.Context, prefix string) (platform.Page, error) {
	p, err := c.store.list(ctx, prefix)
	if err != nil {
		return platform.Page{}, err
	}
	return toPage(p), nil
}

// Watch waits for changes under a prefix after the cursor, for as long as wait. It returns a fault.Conflict error if the
// store is of another era than the cursor.
func (c *Client) Watch(ctx context.Context, prefix string, cursor revision.Revision, wait time.Duration) (platform.Page, error) {
	p, err := c.store.watch(ctx, prefix, cursor.Number, wait)
	if err != nil {
		return platform.Page{}, err
	}
	if at(p.era, 0).Era != cursor.Era {
		return platform.Page{}, errOtherEra()
	}
	return toPage(p), nil
}
