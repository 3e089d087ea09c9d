package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/fleet"
)

// TestRecentReports checks that only recent reports of nearly saturated upstreams are
// passed on, and that reports of other instances are merged if they are newer.
func TestRecentReports(t *testing.T) {
	tr, v := trackerOf(upstream("full", "a-1", nil), upstream("free", "a-1", nil), upstream("old", "a-1", nil))
	now := start.Add(time.Minute)
	tr.RecordLoad("old", 4, 9, now.Add(-2*time.Second))
	tr.RecordLoad("full", 4, 3, now.Add(-time.Second))
	tr.RecordLoad("free", 2, 0, now)
	full, _ := v.Upstream("full")
	free, _ := v.Upstream("free")
	want := []Report{{Key: key(full), Outstanding: 7, At: now.Add(-time.Second)}}
	if diff := cmp.Diff(want, tr.RecentReports(now)); diff != "" {
		t.Error(diff)
	}
	outstanding := func() map[string]float64 {
		out := make(map[string]float64)
		candidates, usable := tr.Candidates(request(1), v.Service("list"), now)
		for i, u := range usable {
			out[u.ID] = candidates[i].Outstanding
		}
		return out
	}
	before := outstanding()
	tr.MergeReports([]Report{
		{Key: key(full), Outstanding: 19, At: now.Add(-3 * time.Second)}, // older than the present report
		{Key: key(free), Outstanding: 12, At: now.Add(time.Millisecond)},
		{Key: 12345, Outstanding: 99, At: now}, // of an upstream that is not in the view
	})
	after := outstanding()
	if before["full"] != after["full"] || after["free"] < 11 {
		t.Errorf("before %v, after %v", before, after)
	}
}

// TestMaxReports checks that the number of reports is bounded and that the newest are
// kept.
func TestMaxReports(t *testing.T) {
	var upstreams []fleet.Upstream
	for i := range 3 * maxReports {
		upstreams = append(upstreams, upstream(fmt.Sprint(i), "a-1", nil))
	}
	tr, _ := trackerOf(upstreams...)
	for i, u := range upstreams {
		tr.RecordLoad(u.ID, 4, 1, start.Add(time.Duration(i)*time.Millisecond))
	}
	reports := tr.RecentReports(start.Add(200 * time.Millisecond))
	if len(reports) != maxReports || !reports[0].At.Equal(start.Add((3*maxReports-1)*time.Millisecond)) {
		t.Errorf("%d reports, the first from %s after the start", len(reports), reports[0].At.Sub(start))
	}
}
