package declaration

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Kind names a kind of declaration.
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

// Record is one declaration in its canonical form: the JSON of its checked
// document. Records are what is stored, sent and compared.
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

// Key returns the identity of the record.
func (r Record) Key() Key { return Key{Kind: r.Kind, Name: r.Name} }

func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Sort orders records by kind and name, the order in which they are digested.
func Sort(records []Record) { slices.SortFunc(records, compareRecords) }

// Digest returns the SHA-256 of sorted records in hexadecimal.
func Digest(records []Record) string {
	h := sha256.New()
	for _, r := range records {
		h.Write([]byte(r.Kind))
		h.Write([]byte{0})
		h.Write([]byte(r.Name))
		h.Write([]byte{0})
		h.Write(r.Body)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Delta holds what turns one set of records into another.
type Delta struct {
	Put    []Record `cbor:"1,keyasint,omitempty"`
	Remove []Key    `cbor:"2,keyasint,omitempty"`
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool { return len(d.Put) == 0 && len(d.Remove) == 0 }

// Compare returns the delta from one sorted set of records to another.
func Compare(from, to []Record) Delta {
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

// Patch returns the records with the delta applied, sorted. The argument is
// left as it was.
func Patch(records []Record, d Delta) []Record {
	changed := make(map[Key]*Record, len(d.Put)+len(d.Remove))
	for i := range d.Put {
		changed[d.Put[i].Key()] = &d.Put[i]
	}
	for _, key := range d.Remove {
		changed[key] = nil
	}
	out := make([]Record, 0, len(records)+len(d.Put))
	for _, r := range records {
		if _, ok := changed[r.Key()]; !ok {
			out = append(out, r)
		}
	}
	out = append(out, d.Put...)
	Sort(out)
	return out
}
