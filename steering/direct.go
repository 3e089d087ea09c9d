package steering

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"hickorydrum/declaration"
)

const (
	firstBits  = 16 // leading address bits that index the first level
	secondBits = 24 // leading address bits that both levels resolve together
	secondSize = 1 << (secondBits - firstBits)

	// Flags of an entry. Without them it is an index into callerBlocks plus 1, or 0
	// if no block contains the address.
	flagSecondLevel = uint32(1) << 31 // the rest is an index into secondLevels
	flagTrie        = uint32(1) << 30 // longer prefixes exist: look up in the trie
)

// directIndex answers look-ups of IPv4 addresses with at most two array reads. The
// trie of the table holds the same prefixes, but its nodes are scattered over memory:
// with 120,000 blocks each level costs a cache miss.
type directIndex struct {
	firstLevel   [1 << firstBits]uint32
	secondLevels [][secondSize]uint32
	callerBlocks []CallerBlock
}

// newDirectIndex indexes the IPv4 blocks among blocks. convert returns the value that
// a look-up in a block finds.
func newDirectIndex(blocks []declaration.Block, convert func(declaration.Block) CallerBlock) *directIndex {
	d := &directIndex{}
	var v4 []declaration.Block
	for _, b := range blocks {
		if b.Prefix().Addr().Is4() {
			v4 = append(v4, b)
		}
	}
	// Longer prefixes come later and overwrite shorter ones.
	slices.SortFunc(v4, func(a, b declaration.Block) int { return a.Prefix().Bits() - b.Prefix().Bits() })
	for _, b := range v4 {
		d.callerBlocks = append(d.callerBlocks, convert(b))
		d.insert(b.Prefix(), uint32(len(d.callerBlocks)))
	}
	return d
}

// insert stores the value for the addresses of a prefix. Shorter prefixes must be
// inserted first.
func (d *directIndex) insert(p netip.Prefix, value uint32) {
	addr := p.Addr().As4()
	index := int(binary.BigEndian.Uint16(addr[:2]))
	if p.Bits() <= firstBits {
		for i := range 1 << (firstBits - p.Bits()) {
			d.firstLevel[index+i] = value
		}
		return
	}
	second := d.secondLevelAt(index)
	if p.Bits() > secondBits {
		second[addr[2]] |= flagTrie
		return
	}
	for i := range 1 << (secondBits - p.Bits()) {
		second[int(addr[2])+i] = value
	}
}

// secondLevelAt returns the second level below an entry of the first. It creates it
// if needed, filled with the value of the entry.
func (d *directIndex) secondLevelAt(index int) *[secondSize]uint32 {
	e := d.firstLevel[index]
	if e&flagSecondLevel == 0 {
		var level [secondSize]uint32
		for i := range level {
			level[i] = e
		}
		d.secondLevels = append(d.secondLevels, level)
		e = flagSecondLevel | uint32(len(d.secondLevels)-1)
		d.firstLevel[index] = e
	}
	return &d.secondLevels[e&^flagSecondLevel]
}

// lookup returns the declared block of an address and whether there is one. If
// inTrie is true, the address must be looked up in the trie, and the other results
// are not valid.
func (d *directIndex) lookup(addr [4]byte) (block CallerBlock, found, inTrie bool) {
	e := d.firstLevel[binary.BigEndian.Uint16(addr[:2])]
	if e&flagSecondLevel != 0 {
		e = d.secondLevels[e&^flagSecondLevel][addr[2]]
	}
	switch {
	case e&flagTrie != 0:
		return CallerBlock{}, false, true
	case e == 0:
		return CallerBlock{}, false, false
	default:
		return d.callerBlocks[e-1], true, false
	}
}
