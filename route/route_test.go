package route

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestMatch(t *testing.T) {
	table := NewTable(7, Limits{}, []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "B.example", Prefix: "/x/"},
	}, nil)
	tests := map[string]struct{ host, path, want string }{
		"the only prefix":            {"a.example", "/x/1", "short"},
		"the longest prefix":         {"a.example", "/x/y/1", "long"},
		"the prefix itself":          {"a.example", "/x/y/", "long"},
		"without its last slash":     {"a.example", "/x/y", "short"},
		"a name that begins with it": {"a.example", "/xy/", ""},
		"the port is no part":        {"a.example:8080", "/x/1", "short"},
		"hosts in any case":          {"b.EXAMPLE", "/x/1", "other"},
		"another host":               {"c.example", "/x/1", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r, ok := table.Match(test.host, test.path); ok {
				got = r.Name
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSplit checks that requests are split by weight, with many objects, with few, and
// with one that all requests are about.
func TestSplit(t *testing.T) {
	const requests, tolerance = 4000, 0.05
	tests := map[string]struct {
		weights []int
		object  func(i int) uint64
	}{
		"no objects":        {[]int{90, 10}, func(i int) uint64 { return uint64(i) * 0x9e3779b97f4a7c15 }},
		"few objects":       {[]int{50, 50}, func(i int) uint64 { return uint64(i%5) * 0x9e3779b97f4a7c15 }},
		"one heavy object":  {[]int{70, 30}, func(i int) uint64 { return 3 }},
		"three parts":       {[]int{20, 30, 50}, func(i int) uint64 { return uint64(i%40) * 0x9e3779b97f4a7c15 }},
		"a part of nothing": {[]int{100, 0}, func(i int) uint64 { return uint64(i) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Route{Name: "r"}
			for i, w := range test.weights {
				r.Targets = append(r.Targets, Target{Service: fmt.Sprint(i), Weight: w})
			}
			s := NewSplitter()
			now := time.Unix(0, 0)
			counts := make(map[string]int)
			for i := range requests {
				now = now.Add(5 * time.Millisecond)
				counts[s.Choose(r, test.object(i), now)]++
			}
			for i, w := range test.weights {
				share := float64(counts[fmt.Sprint(i)]) / requests
				if want := float64(w) / float64(r.TotalWeight()); math.Abs(share-want) > tolerance {
					t.Errorf("target %d got %.3f of the requests, want %.2f", i, share, want)
				}
			}
		})
	}
}

// TestSplitKeepsObjects checks that an object stays with its target while the shares
// allow it.
func TestSplitKeepsObjects(t *testing.T) {
	r := &Route{Name: "r", Targets: []Target{{"a", 50}, {"b", 50}}}
	s := NewSplitter()
	now := time.Unix(0, 0)
	first := make(map[uint64]string)
	moved := 0
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		object := uint64(i%200) * 0x9e3779b97f4a7c15
		got := s.Choose(r, object, now)
		if was, ok := first[object]; ok && was != got {
			moved++
		}
		first[object] = got
	}
	if moved > 400 {
		t.Errorf("objects changed their target %d times in 4000 requests", moved)
	}
}
