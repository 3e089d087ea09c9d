package declaration

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/bits"
	"slices"
)

// Kind is the kind of a declaration.
type Kind string

// The kinds of declaration.
const (
	KindRegion  Kind = "region"
	KindService Kind = "service"
	KindCap     Kind = "cap"
	KindLink    Kind = "link"
	KindDrain   Kind = "drain"
	KindBlock   Kind = "block"
)

// Record is one declaration in its canonical form: the JSON of its checked document.
// Declarations are stored, sent and compared in this form.
type Record struct {
	Kind Kind   `cbor:"1,keyasint" json:"kind"`
	Name string `cbor:"2,keyasint" json:"name"`
	Body []byte `cbor:"3,keyasint" json:"body"`
}

// Key identifies a record in its set.
type Key struct {
	Kind Kind   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
}

// Key returns the key of the record.
func (r Record) Key() Key { return Key{Kind: r.Kind, Name: r.Name} }

func compareRecords(a, b Record) int { return compareKeys(a.Key(), b.Key()) }

// Sort orders records by kind and name.
func Sort(records []Record) {
	if !slices.IsSortedFunc(records, compareRecords) {
		slices.SortFunc(records, compareRecords)
	}
}

// Digest returns the digest of a set of records in hexadecimal. It does not
// depend on their order.
func Digest(records []Record) string {
	var sum digest
	for i := range records {
		sum.add(&records[i])
	}
	return sum.String()
}

// digest is the sum of the records' SHA-256 hashes modulo 2^256, so that a change of
// one record does not require hashing all others. It detects corruption, but not a
// set that an operator has crafted to collide.
type digest [4]uint64

func (d *digest) add(r *Record) {
	var carry uint64
	for i, word := range r.hash() {
		d[i], carry = bits.Add64(d[i], word, carry)
	}
}

func (d *digest) remove(r *Record) {
	var borrow uint64
	for i, word := range r.hash() {
		d[i], borrow = bits.Sub64(d[i], word, borrow)
	}
}

// String returns the digest in hexadecimal.
func (d *digest) String() string {
	var out [32]byte
	for i, word := range d {
		binary.BigEndian.PutUint64(out[i*8:], word)
	}
	return hex.EncodeToString(out[:])
}

// hash returns the SHA-256 hash of the record as four big-endian words.
func (r *Record) hash() (words [4]uint64) {
	data := make([]byte, 0, len(r.Kind)+len(r.Name)+len(r.Body)+2)
	data = append(data, r.Kind...)
	data = append(data, 0)
	data = append(data, r.Name...)
	data = append(data, 0)
	data = append(data, r.Body...)
	sum := sha256.Sum256(data)
	for i := range words {
		words[i] = binary.BigEndian.Uint64(sum[i*8:])
	}
	return words
}

// Delta is the difference between two sets of records: those to add or replace and
// the keys of those to remove.
type Delta struct {
	Put    []Record `cbor:"1,keyasint,omitempty"`
	Remove []Key    `cbor:"2,keyasint,omitempty"`
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool { return len(d.Put) == 0 && len(d.Remove) == 0 }

// Diff returns the delta that changes one sorted set of records into another.
func Diff(from, to []Record) Delta {
	var d Delta
	i, j := 0, 0
	for i < len(from) || j < len(to) {
		switch {
		case j == len(to) || i < len(from) && compareRecords(from[i], to[j]) < 0:
			d.Remove = append(d.Remove, from[i].Key())
			i++
		case i == len(from) || compareRecords(from[i], to[j]) > 0:
			d.Put = append(d.Put, to[j])
			j++
		default:
			if !bytes.Equal(from[i].Body, to[j].Body) {
				d.Put = append(d.Put, to[j])
			}
			i++
			j++
		}
	}
	return d
}

// Patch returns a sorted copy of sorted records with the delta applied.
func Patch(records []Record, d Delta) []Record {
	out := make([]Record, 0, len(records)+len(d.Put))
	rest := records
	for _, c := range d.changes() {
		i, found := slices.BinarySearchFunc(rest, c.key, compareRecordKey)
		out = append(out, rest[:i]...)
		if found {
			i++
		}
		rest = rest[i:]
		if c.put != nil {
			out = append(out, *c.put)
		}
	}
	return append(out, rest...)
}

// change is the change of one record; put is nil if the record is removed.
type change struct {
	key Key
	put *Record
}

// changes returns the changes of the delta, sorted by key.
func (d Delta) changes() []change {
	out := make([]change, 0, len(d.Put)+len(d.Remove))
	for i := range d.Put {
		out = append(out, change{key: d.Put[i].Key(), put: &d.Put[i]})
	}
	for _, key := range d.Remove {
		out = append(out, change{key: key})
	}
	slices.SortFunc(out, func(a, b change) int { return compareKeys(a.key, b.key) })
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

func compareRecordKey(r Record, key Key) int { return compareKeys(r.Key(), key) }
