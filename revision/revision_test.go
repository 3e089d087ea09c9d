package revision_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/revision"
)

// TestOrder guards against a revision of an earlier era that counts as later since its number is higher.
func TestOrder(t *testing.T) {
	want := []revision.Revision{{}, {Number: 9}, {Era: 1}, {Era: 1, Number: 7}, {Era: 1, Number: 8}, {Era: 2, Number: 3}, {Era: 1 << 63, Number: 1}}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, revision.Revision.Compare)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for i := range want {
		for j := range want {
			if after := want[i].After(want[j]); after != (i > j) {
				t.Errorf("%s is after %s: %t", want[i], want[j], after)
			}
			if most, least := revision.Max(want[i], want[j]), revision.Min(want[i], want[j]); most != want[max(i, j)] || least != want[min(i, j)] {
				t.Errorf("of %s and %s the later is %s, the earlier %s", want[i], want[j], most, least)
			}
		}
	}
}

// TestPack guards against eras that get lost between instances, and against a message without them that is read as one of
// an era.
func TestPack(t *testing.T) {
	tests := map[string]struct {
		packed []uint64
		want   []revision.Revision
	}{
		"without eras": {[]uint64{5, 6, 7}, []revision.Revision{{Number: 5}, {Number: 6}, {Number: 7}}},
		"with eras":    {[]uint64{5, 6, 7, 2, 2, 1}, []revision.Revision{{Era: 2, Number: 5}, {Era: 2, Number: 6}, {Era: 1, Number: 7}}},
		"some eras":    {[]uint64{5, 6, 7, 2, 0, 0}, []revision.Revision{{Era: 2, Number: 5}, {Number: 6}, {Number: 7}}},
		"none":         {nil, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, revision.Unpack(test.packed, 3)); diff != "" {
				t.Errorf("unpacked: %s", diff)
			}
			if diff := cmp.Diff(test.packed, revision.Pack(test.want)); diff != "" {
				t.Errorf("packed: %s", diff)
			}
		})
	}
	for name, odd := range map[string][]uint64{"too short": {5}, "too long": {5, 6, 7, 1, 1, 1, 9, 9}, "cut": {5, 6, 7, 1}} {
		t.Run(name, func(t *testing.T) {
			if got := revision.Unpack(odd, 3); len(got) != min(len(odd), 3) {
				t.Errorf("unpacked as %v", got)
			}
		})
	}
}

// TestNewEra guards against a first known era that counts as a return of the store from a copy.
func TestNewEra(t *testing.T) {
	in := func(era uint64) revision.Revision { return revision.Revision{Era: era, Number: 1} }
	tests := map[string]struct {
		from, to revision.Revision
		want     bool
		name     string // of the era
	}{
		"the same":          {in(1), in(1), false, "0"},
		"the next":          {in(1), in(2), true, "1"},
		"several later":     {in(1), in(9), true, "8"},
		"an earlier one":    {in(2), in(1), false, "0"},
		"none known":        {in(0), in(0), false, ""},
		"none known so far": {in(0), in(3), false, "2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.to.NewEra(test.from); got != test.want {
				t.Errorf("%s after %s begins a new era: %t", test.to, test.from, got)
			}
			if diff := cmp.Diff(test.name, test.to.EraName()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
