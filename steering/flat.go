package steering

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"hickorydrum/declaration"
)

const (
	firstBits  = 16 // of an address, index the first level
	secondBits = 24 // of an address, end at the second level
	secondSize = 1 << (secondBits - firstBits)

	// Marks of an entry; without one it is an index into homes plus 1, or 0.
	flagSecondLevel = uint32(1) << 31 // the rest is an index into the second level
	flagTrie        = uint32(1) << 30 // longer prefixes lie below: ask the trie
)

// directIndex answers look-ups of IPv4 addresses with two array reads. The trie holds
// the same prefixes, but its nodes are spread over memory: with 120,000 blocks
// each level costs a cache miss.
type directIndex struct {
	firstLevel   [1 << firstBits]uint32
	secondLevels [][secondSize]uint32
	callerBlocks []CallerBlock
}

// newDirectIndex indexes the IPv4 blocks. home returns the value of a block.
func newDirectIndex(blocks []declaration.Block, home func(declaration.Block) CallerBlock) *directIndex {
	f := &directIndex{}
	var v4 []declaration.Block
	for _, b := range blocks {
		if b.Prefix().Addr().Is4() {
			v4 = append(v4, b)
		}
	}
	// Longer prefixes come later and replace shorter ones.
	slices.SortFunc(v4, func(a, b declaration.Block) int { return a.Prefix().Bits() - b.Prefix().Bits() })
	for _, b := range v4 {
		f.callerBlocks = append(f.callerBlocks, home(b))
		f.insert(b.Prefix(), uint32(len(f.callerBlocks)))
	}
	return f
}

func (f *directIndex) insert(p netip.Prefix, value uint32) {
	addr := p.Addr().As4()
	index := int(binary.BigEndian.Uint16(addr[:2]))
	if p.Bits() <= firstBits {
		for i := range 1 << (firstBits - p.Bits()) {
			f.firstLevel[index+i] = value
		}
		return
	}
	second := f.secondLevelAt(index)
	if p.Bits() > secondBits {
		second[addr[2]] |= flagTrie
		return
	}
	for i := range 1 << (secondBits - p.Bits()) {
		second[int(addr[2])+i] = value
	}
}

// secondLevelAt returns the second level of an entry, made if need be.
func (f *directIndex) secondLevelAt(index int) *[secondSize]uint32 {
	e := f.firstLevel[index]
	if e&flagSecondLevel == 0 {
		var level [secondSize]uint32
		for i := range level {
			level[i] = e
		}
		f.secondLevels = append(f.secondLevels, level)
		e = flagSecondLevel | uint32(len(f.secondLevels)-1)
		f.firstLevel[index] = e
	}
	return &f.secondLevels[e&^flagSecondLevel]
}

// lookup returns the home of an address. inTrie states that only the trie knows.
func (f *directIndex) lookup(addr [4]byte) (home CallerBlock, found, inTrie bool) {
	e := f.firstLevel[binary.BigEndian.Uint16(addr[:2])]
	if e&flagSecondLevel != 0 {
		e = f.secondLevels[e&^flagSecondLevel][addr[2]]
	}
	switch {
	case e&flagTrie != 0:
		return CallerBlock{}, false, true
	case e == 0:
		return CallerBlock{}, false, false
	default:
		return f.callerBlocks[e-1], true, false
	}
}
