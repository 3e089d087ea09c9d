package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/fleet"
)

// TestCrowded tells others of the upstreams that have few slots free, as long as what they
// told is new, and takes in what others found.
func TestCrowded(t *testing.T) {
	b, v := boardOf(upstream("full", "a-1", nil), upstream("free", "a-1", nil), upstream("old", "a-1", nil))
	now := begun.Add(time.Minute)
	b.ReportLoad("old", 4, 9, now.Add(-2*time.Second))
	b.ReportLoad("full", 4, 3, now.Add(-time.Second))
	b.ReportLoad("free", 2, 0, now)
	full, _ := v.Upstream("full")
	free, _ := v.Upstream("free")
	want := []Report{{Key: key(full), Outstanding: 7, At: now.Add(-time.Second)}}
	if diff := cmp.Diff(want, b.RecentReports(now)); diff != "" {
		t.Error(diff)
	}
	busy := func() map[string]float64 {
		out := make(map[string]float64)
		options, usable := b.Candidates(request(1), v.Service("list"), now)
		for i, u := range usable {
			out[u.ID] = options[i].Busy
		}
		return out
	}
	before := busy()
	b.MergeReports([]Report{
		{Key: key(full), Outstanding: 19, At: now.Add(-3 * time.Second)}, // older than what is known
		{Key: key(free), Outstanding: 12, At: now.Add(time.Millisecond)},
		{Key: 12345, Outstanding: 99, At: now}, // of an upstream that is not known here
	})
	after := busy()
	if before["full"] != after["full"] || after["free"] < 11 {
		t.Errorf("before %v, after %v", before, after)
	}
}

// TestMostCrowded bounds what is told, by what was heard of last.
func TestMostCrowded(t *testing.T) {
	var upstreams []fleet.Upstream
	for i := range 3 * mostCrowded {
		upstreams = append(upstreams, upstream(fmt.Sprint(i), "a-1", nil))
	}
	b, _ := boardOf(upstreams...)
	for i, u := range upstreams {
		b.ReportLoad(u.ID, 4, 1, begun.Add(time.Duration(i)*time.Millisecond))
	}
	told := b.RecentReports(begun.Add(200 * time.Millisecond))
	if len(told) != mostCrowded || !told[0].At.Equal(begun.Add((3*mostCrowded-1)*time.Millisecond)) {
		t.Errorf("%d are told, the first of %s", len(told), told[0].At.Sub(begun))
	}
}
