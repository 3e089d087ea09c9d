package declaration

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

const base = `kind: region
name: one
domains: [a, b]
---
kind: service
name: orders
path: /orders
limit: 10s
workers:
  - {at: "10.0.0.1:80", domain: a, slots: 3}
  - {at: "10.0.0.2:80", domain: b, slots: 4}
`

// baseLines is the number of lines in front of the text of a test.
var baseLines = strings.Count(base, "\n") + 1

// TestProblems checks that each error in a file is reported with its line and a
// remedy.
func TestProblems(t *testing.T) {
	tests := map[string]struct {
		text string
		line int
		want string
	}{
		"unknown kind":        {"kind: zone\nname: x", 1, `kind "zone" is not known`},
		"unknown field":       {"kind: region\nname: two\ndomains: [c]\ncolour: red", 4, "unknown field"},
		"wrong type":          {"kind: region\nname: two\ndomains: c", 3, ""},
		"bad name":            {"kind: region\nname: Two!\ndomains: [c]", 2, "is not a name"},
		"no domains":          {"kind: region\nname: two\ndomains: []", 3, "no failure domain"},
		"domain twice":        {"kind: region\nname: two\ndomains: [c, a]", 3, "already belongs"},
		"region twice":        {"kind: region\nname: one\ndomains: [c]", 1, "declared twice"},
		"path without slash":  {"kind: service\nname: x\npath: x\nlimit: 1s\nworkers: []", 3, "not a path prefix"},
		"reserved path":       {"kind: service\nname: x\npath: /.well-known\nlimit: 1s\nworkers: []", 3, "not a path prefix"},
		"path twice":          {"kind: service\nname: x\npath: /orders\nlimit: 1s\nworkers:\n  - {at: \"10.0.0.9:80\", domain: a, slots: 1}", 3, "already belongs"},
		"bad limit":           {"kind: service\nname: x\npath: /x\nlimit: soon\nworkers: []", 4, "not a time"},
		"no workers":          {"kind: service\nname: x\npath: /x\nlimit: 1s\nworkers: []", 5, "no upstream"},
		"worker by name":      {"kind: service\nname: x\npath: /x\nlimit: 1s\nworkers:\n  - {at: \"host:80\", domain: a, slots: 1}", 6, "not an IP number"},
		"worker twice":        {"kind: service\nname: x\npath: /x\nlimit: 1s\nworkers:\n  - {at: \"10.0.0.1:80\", domain: a, slots: 1}", 6, "already belongs"},
		"worker's domain":     {"kind: service\nname: x\npath: /x\nlimit: 1s\nworkers:\n  - {at: \"10.0.0.9:80\", domain: z, slots: 1}", 6, "not declared"},
		"no slots":            {"kind: service\nname: x\npath: /x\nlimit: 1s\nworkers:\n  - {at: \"10.0.0.9:80\", domain: a, slots: 0}", 6, "out of range"},
		"cap without service": {"kind: cap\nservice: x\nplanned: {share: 5%, every: 1s}\nfailure: {share: 5%, every: 1s}", 2, "not declared"},
		"share over 100%":     {"kind: cap\nservice: orders\nplanned: {share: 500%, every: 1s}\nfailure: {share: 5%, every: 1s}", 3, "not between"},
		"share without sign":  {"kind: cap\nservice: orders\nplanned: {share: 5%, every: 1s}\nfailure: {share: 5, every: 1s}", 4, "percent sign"},
		"link to itself":      {"kind: link\nends: [one, one]\nrate: 4Gbit", 2, "two different ends"},
		"link to nowhere":     {"kind: link\nends: [one, two]\nrate: 4Gbit", 2, "not declared"},
		"drain of nothing":    {"kind: drain\nfrom: 2026-12-07T21:00:00Z\nuntil: 2026-12-08T05:00:00Z", 1, "one target"},
		"drain of two":        {"kind: drain\nregion: one\ndomain: a\nfrom: 2026-12-07T21:00:00Z\nuntil: 2026-12-08T05:00:00Z", 1, "one target"},
		"drain backwards":     {"kind: drain\nregion: one\nfrom: 2026-12-08T21:00:00Z\nuntil: 2026-12-08T05:00:00Z", 4, "ends before"},
		"drain at no time":    {"kind: drain\nregion: one\nfrom: monday\nuntil: 2026-12-08T05:00:00Z", 3, "not an instant"},
		"bad prefix":          {"kind: block\nprefix: 10.7.0.0\nregion: one", 2, "not an address range"},
		"prefix with bits":    {"kind: block\nprefix: 10.7.0.1/16\nregion: one", 2, "bits set"},
		"block of nowhere":    {"kind: block\nprefix: 10.7.0.0/16\nregion: two", 3, "not declared"},
		"tag":                 {"kind: region\nname: !x two\ndomains: [c]", 2, "tags, anchors"},
		"alias":               {"kind: region\nname: &n two\ndomains: [*n]", 2, "tags, anchors"},
		"not YAML":            {"kind: [", 1, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(map[string][]byte{"f.yaml": []byte(base + "---\n" + test.text + "\n")})
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("got %v, want problems", err)
			}
			p := problems[0]
			if p.File() != "f.yaml" || p.Line() != baseLines+test.line || !strings.Contains(p.Error(), test.want) {
				t.Errorf("got %q, want line %d and %q", p.Error(), baseLines+test.line, test.want)
			}
			if !strings.Contains(p.Error(), ";") && p.remedy == "" && !strings.Contains(p.text, "write") {
				t.Errorf("%q names no remedy", p.Error())
			}
		})
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	_, err := Parse(map[string][]byte{
		"a.yaml": []byte("kind: zone\n---\nkind: block\nprefix: x\nregion: one\n"),
		"b.yaml": []byte("kind: region\nname: one\ndomains: []\n"),
	})
	var problems Problems
	if !errors.As(err, &problems) || len(problems) < 3 {
		t.Errorf("got %v, want a problem for each error", err)
	}
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"caltagirone", "valderrama"} {
		t.Run(name, func(t *testing.T) {
			set, err := Load(filepath.Join("..", "examples", name))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]int{3, 3}, []int{len(set.Regions()), len(set.Services())}); diff != "" {
				t.Error(diff)
			}
			restored, err := FromRecords(set.Records())
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(set.Digest(), restored.Digest()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestDiffPatch(t *testing.T) {
	record := func(name, body string) Record { return Record{Kind: KindBlock, Name: name, Body: []byte(body)} }
	tests := map[string]struct{ from, to []Record }{
		"nothing":   {nil, nil},
		"added":     {nil, []Record{record("a", "1")}},
		"removed":   {[]Record{record("a", "1"), record("b", "1")}, []Record{record("b", "1")}},
		"changed":   {[]Record{record("a", "1"), record("b", "1")}, []Record{record("a", "2"), record("b", "1")}},
		"all three": {[]Record{record("a", "1"), record("b", "1")}, []Record{record("b", "2"), record("c", "1")}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Patch(test.from, Diff(test.from, test.to))
			if Digest(got) != Digest(test.to) {
				t.Error(cmp.Diff(test.to, got))
			}
		})
	}
}

// TestSetPatch compares a patched set with one that was parsed as a whole.
func TestSetPatch(t *testing.T) {
	parse := func(text string) *Set {
		set, err := Parse(map[string][]byte{"f.yaml": []byte(base + text)})
		if err != nil {
			t.Fatal(err)
		}
		return set
	}
	blocks := "---\n{kind: block, prefix: 10.1.0.0/16, region: one}\n---\n{kind: block, prefix: 10.3.0.0/16, region: one}\n"
	two := "---\n{kind: region, name: two, domains: [c]}\n"
	tests := map[string]struct{ from, to string }{
		"nothing":        {blocks, blocks},
		"block added":    {two + blocks, two + blocks + "---\n{kind: block, prefix: 10.2.0.0/16, region: two}\n"},
		"block removed":  {blocks, ""},
		"block changed":  {two + blocks, two + strings.Replace(blocks, "region: one", "region: two", 1)},
		"region added":   {blocks, two + blocks},
		"all blocks new": {"", blocks},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			from, to := parse(test.from), parse(test.to)
			got, err := from.Patch(Diff(from.Records(), to.Records()))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(to.Digest(), got.Digest()); diff != "" {
				t.Error(diff)
			}
			samePrefix := cmp.Comparer(func(a, b netip.Prefix) bool { return a == b })
			opts := cmp.Options{cmp.AllowUnexported(Block{}), cmpopts.EquateEmpty(), samePrefix}
			if diff := cmp.Diff(to.blocks, got.blocks, opts); diff != "" {
				t.Error(diff)
			}
		})
	}
	bad := Delta{Put: []Record{{Kind: KindBlock, Name: "10.9.0.0/16", Body: []byte(`{"kind":"block","prefix":"10.9.0.0/16","region":"nowhere"}`)}}}
	if _, err := parse(blocks).Patch(bad); err == nil {
		t.Error("a block of an unknown region was accepted")
	}
}

func TestDrains(t *testing.T) {
	set, err := Parse(map[string][]byte{"f.yaml": []byte(base + `---
{kind: drain, domain: a, from: 2026-12-07T21:00:00Z, until: 2026-12-08T05:00:00Z}
---
{kind: drain, region: one, from: 2026-12-09T21:00:00Z, until: 2026-12-10T05:00:00Z}
`)})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		at             string
		worker, region bool
	}{
		"before":            {"2026-12-07T20:59:59Z", false, false},
		"domain drained":    {"2026-12-07T21:00:00Z", true, false},
		"between":           {"2026-12-08T05:00:00Z", false, false},
		"region drained":    {"2026-12-10T00:00:00Z", false, true},
		"in another offset": {"2026-12-07T23:30:00+02:00", true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			at, err := time.Parse(time.RFC3339, test.at)
			if err != nil {
				t.Fatal(err)
			}
			got := []bool{set.WorkerDrained(set.Services()[0].Workers()[0], at), set.RegionDrained("one", at)}
			if diff := cmp.Diff([]bool{test.worker, test.region}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	paths, _ := filepath.Glob("../examples/*/*.yaml")
	for _, path := range paths {
		if data, err := os.ReadFile(path); err == nil {
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := Parse(map[string][]byte{"f.yaml": data})
		if err != nil {
			return
		}
		restored, err := FromRecords(set.Records())
		if err != nil || restored.Digest() != set.Digest() {
			t.Errorf("an accepted set differs after a round trip through its records: %v", err)
		}
	})
}
