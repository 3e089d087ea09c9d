package gossip

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hickorydrum/revision"
)

// TestConfirm checks who gets a confirmation, and that its age arrives as it was sent.
func TestConfirm(t *testing.T) {
	v := newTestView()
	now := epoch.Add(time.Second)
	v.mergeMember(Member{Address: addressOf(2), Run: 1}, now, true)
	v.mergeMember(Member{Address: addressOf(3), Run: 1}, now.Add(-deadAfter), true)
	v.contacts["two"] = []netip.Addr{addressOf(9)}
	newest := []revision.Revision{{Era: 2, Number: 1}, {Era: 2, Number: 2}, {Era: 1, Number: 3}}
	for name, test := range map[string]struct {
		otherDomains bool
		want         []netip.Addr
	}{
		"the failure domain": {false, []netip.Addr{addressOf(2)}},
		"all":                {true, []netip.Addr{addressOf(2), addressOf(9)}},
	} {
		t.Run(name, func(t *testing.T) {
			var to []netip.Addr
			for _, d := range v.confirm(&Confirmation{Newest: newest, Digests: []uint32{4}, At: now.Add(-300 * time.Millisecond)}, test.otherDomains, now) {
				to = append(to, d.to)
				got, err := decodeConfirmation(d.data)
				if err != nil {
					t.Fatal(err)
				}
				want := &confirmMessage{Format: confirmFormat, Domain: "one", From: addressOf(1), Newest: []uint64{1, 2, 3, 2, 2, 1}, Digests: []uint32{4}, AgeMillis: 300}
				if diff := cmp.Diff(want, got, cmp.AllowUnexported(confirmMessage{}), cmp.Comparer(func(a, b netip.Addr) bool { return a == b })); diff != "" {
					t.Error(diff)
				}
			}
			slices.SortFunc(to, netip.Addr.Compare)
			if !slices.Equal(to, test.want) {
				t.Errorf("sent to %v, want %v", to, test.want)
			}
		})
	}
}

// TestCheckOrder guards against failure domains that all ask the store at the same time, or none: all
// failure domains of a group compute the same order, and each has a position of its own while none is silent.
func TestCheckOrder(t *testing.T) {
	for _, domains := range []int{1, 2, 6, 9, 40} {
		t.Run(fmt.Sprint(domains), func(t *testing.T) {
			regions := make(map[string]string)
			for d := range domains {
				regions[domainName(d)] = "a"
			}
			positions := make(map[int]int)
			for d := range domains {
				v := newView(Member{Address: addressOf(d), Run: 1}, domainName(d), regions, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler), epoch)
				for other := range regions {
					v.mergeSummary(&Summary{Domain: other, madeAt: epoch})
				}
				positions[v.checkPosition(epoch)]++
				if slow := epoch.Add(demandFor - 1); v.checkPosition(slow) != v.checkPosition(epoch) {
					t.Errorf("%s takes failure domains for silent whose summaries are on their way", domainName(d))
				}
				if silent := epoch.Add(demandFor); v.checkPosition(silent) != 0 {
					t.Errorf("%s waits for failure domains that are silent", domainName(d))
				}
			}
			groups := (domains + maxCheckGroup - 1) / maxCheckGroup
			if positions[0] != groups || len(positions) != min(domains, maxCheckGroup) {
				t.Errorf("positions %v in %d groups", positions, groups)
			}
		})
	}
}

func FuzzDecodeConfirmation(f *testing.F) {
	v := newTestView()
	v.mergeMember(Member{Address: addressOf(2), Run: 1}, epoch, true)
	for _, d := range v.confirm(&Confirmation{Newest: []revision.Revision{{Number: 1}, {Number: 2}, {Era: 3, Number: 1 << 60}}, Digests: []uint32{1}, At: epoch}, false, epoch) {
		f.Add(d.data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeConfirmation(data)
		if err == nil && (m.AgeMillis < 0 || m.AgeMillis > maxAgeMillis || !m.From.Is4()) {
			t.Errorf("accepted %+v", m)
		}
	})
}
