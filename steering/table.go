// Package steering decides which region and which instance serve a caller. It does
// no I/O and reads no clock: all input, the time included, comes from arguments.
package steering

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"

	"hickorydrum/declaration"
)

// Addresses outside every declared block are grouped into blocks of these prefix
// lengths.
const (
	undeclaredBitsV4 = 24
	undeclaredBitsV6 = 48
)

// CallerBlock is the address block that a caller belongs to, declared or not, with
// its home region.
type CallerBlock struct {
	hash     uint64
	region   uint8 // index; no check refuses a set with more regions than it holds
	declared bool
}

// Hash returns the hash of the block's prefix, the same on every instance.
func (b CallerBlock) Hash() uint64 { return b.hash }

// Region returns the index of the block's home region in Table.Regions.
func (b CallerBlock) Region() int { return int(b.region) }

// Declared reports whether the block is declared.
func (b CallerBlock) Declared() bool { return b.declared }

// Table is an immutable index over one set of declarations. It is replaced as a
// whole when the set changes.
type Table struct {
	set            *declaration.Set
	revision       uint64
	trie           bart.Table[CallerBlock]
	direct         *directIndex
	regions        []string
	regionIndex    map[string]int
	servicesByPath []*declaration.Service // longest path first
	servicesByName map[string]*declaration.Service
}

// NewTable indexes the set of a revision.
func NewTable(set *declaration.Set, revision uint64) *Table {
	t := &Table{
		set:            set,
		revision:       revision,
		regionIndex:    make(map[string]int),
		servicesByName: make(map[string]*declaration.Service),
	}
	for i, r := range set.Regions() {
		t.regions = append(t.regions, r.Name())
		t.regionIndex[r.Name()] = i
	}
	convert := func(b declaration.Block) CallerBlock {
		return CallerBlock{hash: hashPrefix(b.Prefix()), region: uint8(t.regionIndex[b.Region()]), declared: true}
	}
	for _, b := range set.Blocks() {
		t.trie.Insert(b.Prefix(), convert(b))
	}
	t.direct = newDirectIndex(set.Blocks(), convert)
	t.servicesByPath = slices.Clone(set.Services())
	slices.SortFunc(t.servicesByPath, func(a, b *declaration.Service) int { return len(b.Path()) - len(a.Path()) })
	for _, s := range set.Services() {
		t.servicesByName[s.Name()] = s
	}
	return t
}

// Set returns the set of declarations that the table indexes.
func (t *Table) Set() *declaration.Set { return t.set }

// Revision returns the revision of the set.
func (t *Table) Revision() uint64 { return t.revision }

// Regions returns the names of the regions by index.
func (t *Table) Regions() []string { return t.regions }

// RegionIndex returns the index of a region and whether the region is declared.
func (t *Table) RegionIndex(name string) (int, bool) {
	i, ok := t.regionIndex[name]
	return i, ok
}

// Service returns the service whose path is the longest prefix of path, or nil.
func (t *Table) Service(path string) *declaration.Service {
	for _, s := range t.servicesByPath {
		if underPrefix(s.Path(), path) {
			return s
		}
	}
	return nil
}

// ServiceByName returns the service with the given name, or nil.
func (t *Table) ServiceByName(name string) *declaration.Service { return t.servicesByName[name] }

// underPrefix reports whether path lies under prefix, at a segment boundary.
func underPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// Lookup returns the block of an address. The home region of an address outside
// every declared block is fallback.
func (t *Table) Lookup(addr netip.Addr, fallback int) CallerBlock {
	addr = addr.Unmap()
	if block, ok := t.lookupDeclared(addr); ok {
		return block
	}
	bits := undeclaredBitsV6
	if addr.Is4() {
		bits = undeclaredBitsV4
	}
	prefix, err := addr.Prefix(bits)
	if err != nil {
		return CallerBlock{region: uint8(fallback)}
	}
	return CallerBlock{hash: hashPrefix(prefix), region: uint8(fallback)}
}

func (t *Table) lookupDeclared(addr netip.Addr) (CallerBlock, bool) {
	if addr.Is4() {
		if block, found, inTrie := t.direct.lookup(addr.As4()); !inTrie {
			return block, found
		}
	}
	return t.trie.Lookup(addr)
}

func hashPrefix(p netip.Prefix) uint64 {
	addr := p.Addr().As16()
	var buf [17]byte
	copy(buf[:], addr[:])
	buf[16] = byte(p.Bits())
	return xxhash.Sum64(buf[:])
}

// HashRequest returns the hash of a request id.
func HashRequest(id string) uint64 { return xxhash.Sum64String(id) }

// Rank returns the rank of a member for a key by rendezvous hashing: the member with
// the highest rank owns the key. All instances compute the same ranks.
func Rank(key, member string) uint64 {
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:8], xxhash.Sum64String(key))
	binary.BigEndian.PutUint64(buf[8:], xxhash.Sum64String(member))
	return xxhash.Sum64(buf[:])
}
