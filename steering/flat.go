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
	markSecond = uint32(1) << 31 // the rest is an index into the second level
	markTrie   = uint32(1) << 30 // longer prefixes lie below: ask the trie
)

// flat answers look-ups of IPv4 addresses with two array reads. The trie holds
// the same prefixes, but its nodes are spread over memory: with 120,000 blocks
// each level costs a cache miss.
type flat struct {
	first  [1 << firstBits]uint32
	second [][secondSize]uint32
	homes  []CallerBlock
}

// newFlat indexes the IPv4 blocks. home returns the value of a block.
func newFlat(blocks []declaration.Block, home func(declaration.Block) CallerBlock) *flat {
	f := &flat{}
	var v4 []declaration.Block
	for _, b := range blocks {
		if b.Prefix().Addr().Is4() {
			v4 = append(v4, b)
		}
	}
	// Longer prefixes come later and replace shorter ones.
	slices.SortFunc(v4, func(a, b declaration.Block) int { return a.Prefix().Bits() - b.Prefix().Bits() })
	for _, b := range v4 {
		f.homes = append(f.homes, home(b))
		f.insert(b.Prefix(), uint32(len(f.homes)))
	}
	return f
}

func (f *flat) insert(p netip.Prefix, value uint32) {
	addr := p.Addr().As4()
	index := int(binary.BigEndian.Uint16(addr[:2]))
	if p.Bits() <= firstBits {
		for i := range 1 << (firstBits - p.Bits()) {
			f.first[index+i] = value
		}
		return
	}
	second := f.below(index)
	if p.Bits() > secondBits {
		second[addr[2]] |= markTrie
		return
	}
	for i := range 1 << (secondBits - p.Bits()) {
		second[int(addr[2])+i] = value
	}
}

// below returns the second level of an entry, made if need be.
func (f *flat) below(index int) *[secondSize]uint32 {
	e := f.first[index]
	if e&markSecond == 0 {
		var level [secondSize]uint32
		for i := range level {
			level[i] = e
		}
		f.second = append(f.second, level)
		e = markSecond | uint32(len(f.second)-1)
		f.first[index] = e
	}
	return &f.second[e&^markSecond]
}

// lookup returns the home of an address. inTrie states that only the trie knows.
func (f *flat) lookup(addr [4]byte) (home CallerBlock, found, inTrie bool) {
	e := f.first[binary.BigEndian.Uint16(addr[:2])]
	if e&markSecond != 0 {
		e = f.second[e&^markSecond][addr[2]]
	}
	switch {
	case e&markTrie != 0:
		return CallerBlock{}, false, true
	case e == 0:
		return CallerBlock{}, false, false
	default:
		return f.homes[e-1], true, false
	}
}
