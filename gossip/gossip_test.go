package gossip

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"hickorydrum/clock"
	"hickorydrum/revision"
	"hickorydrum/standin"
)

func newTestView() *view {
	self := Member{Address: addressOf(1), Run: 1, Ready: true}
	regions := map[string]string{"one": "a", "two": "b"}
	return newView(self, "one", regions, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler), epoch)
}

var epoch = time.Unix(1_000_000, 0)

// liveMembers returns the live members, the view's own included.
func (v *view) liveMembers(now time.Time) []Member {
	out := []Member{v.self}
	for _, m := range v.members(now) {
		out = append(out, m.member)
	}
	return out
}

func (m *Mesh) live() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.liveMembers(clock.Now())
}

// TestMergeMember checks how mergeMember combines the states that a member sent itself with
// those that another member passed on.
func TestMergeMember(t *testing.T) {
	member := func(run uint32, heartbeat uint64) Member {
		return Member{Address: addressOf(2), Run: run, Heartbeat: heartbeat}
	}
	type update struct {
		member Member
		at     time.Duration
		direct bool
	}
	tests := map[string]struct {
		updates []update
		at      time.Duration
		live    bool
		run     uint32
	}{
		"direct":                   {[]update{{member(1, 1), 0, true}}, time.Second, true, 1},
		"silent":                   {[]update{{member(1, 1), 0, true}}, 4 * time.Second, false, 1},
		"passed on":                {[]update{{member(1, 1), 0, false}}, time.Second, true, 1},
		"passed on, old heartbeat": {[]update{{member(1, 5), 0, true}, {member(1, 5), 2 * time.Second, false}}, 4 * time.Second, false, 1},
		"passed on, newer one":     {[]update{{member(1, 5), 0, true}, {member(1, 6), 2 * time.Second, false}}, 3 * time.Second, true, 1},
		"a new run, direct":        {[]update{{member(1, 5), 0, true}, {member(2, 1), 0, true}}, time.Second, true, 2},
		"a run before, direct":     {[]update{{member(2, 5), 0, true}, {member(1, 1), 0, true}}, time.Second, true, 1},
		"a new run, too early":     {[]update{{member(1, 5), 0, true}, {member(2, 1), 0, false}}, time.Second, true, 1},
		"a new run after silence":  {[]update{{member(1, 5), 0, true}, {member(2, 1), 2 * time.Second, false}}, 3 * time.Second, true, 2},
		"an old run after silence": {[]update{{member(2, 5), 0, true}, {member(1, 9), 2 * time.Second, false}}, 4 * time.Second, false, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newTestView()
			for _, u := range test.updates {
				v.mergeMember(u.member, epoch.Add(u.at), u.direct)
			}
			m := v.others[addressOf(2)]
			live := epoch.Add(test.at).Sub(m.seenAt) < deadAfter
			if diff := cmp.Diff([]any{test.live, test.run}, []any{live, m.member.Run}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestMergeOwnState checks that an instance ignores its own state from other members.
func TestMergeOwnState(t *testing.T) {
	v := newTestView()
	v.mergeMember(Member{Address: addressOf(1), Run: 7}, epoch, true)
	if diff := cmp.Diff(1, len(v.liveMembers(epoch))); diff != "" {
		t.Error(diff)
	}
}

// TestDemandFromOthers checks that a member's demand is merged from any sender that has a
// newer heartbeat, and added to the failure domain's summary.
func TestDemandFromOthers(t *testing.T) {
	v := newTestView()
	merge := func(heartbeat uint64, millislots int, direct bool) {
		v.mergeMember(Member{Address: addressOf(2), Run: 1, Heartbeat: heartbeat, Demand: map[string]int{"s": millislots}}, epoch, direct)
	}
	merge(1, 5, true)
	merge(3, 7, false)
	merge(2, 6, false)
	v.self.Demand = map[string]int{"s": 10, "t": 1}
	if diff := cmp.Diff(map[string]int{"s": 17, "t": 1}, v.ownSummary(epoch).Demand); diff != "" {
		t.Error(diff)
	}
}

func TestCount(t *testing.T) {
	v := newTestView()
	v.mergeMember(Member{Address: addressOf(2), Run: 1, Heartbeat: 1}, epoch.Add(-10*time.Second), true)
	v.mergeSummary(&Summary{Domain: "two", Live: 2, Present: 3, madeAt: epoch.Add(-10 * time.Second)})
	v.mergeSummary(&Summary{Domain: "unknown", Live: 9, Present: 9, madeAt: epoch})
	inRegion, all := v.count("a")
	if diff := cmp.Diff([]int{2, 5}, []int{inRegion, all}); diff != "" {
		t.Errorf("a member that is silent for a short time must count: %s", diff)
	}
	v.forget(epoch.Add(forgetAfter - 5*time.Second))
	if _, all := v.count("a"); all != 4 {
		t.Errorf("after the member was removed: %d, want this instance and the other failure domain's", all)
	}
}

// TestCountLeaving guards against members that stopped as planned and still count.
func TestCountLeaving(t *testing.T) {
	v := newTestView()
	v.mergeMember(Member{Address: addressOf(2), Run: 1, Heartbeat: 1, Leaving: true}, epoch, true)
	v.forget(epoch.Add(deadAfter + time.Second))
	if _, all := v.count("a"); all != 1 {
		t.Errorf("%d instances count, want 1", all)
	}
}

// TestServing checks which members callers should use: those of their failure domain, else
// those of its region, else those of this instance's failure domain.
func TestServing(t *testing.T) {
	tests := map[string]struct {
		second     bool          // there is a second serving member in this instance's failure domain
		summaryAge time.Duration // of the other failure domain's summary
		domain     string
		want       []netip.Addr
	}{
		"own":              {true, 0, "one", []netip.Addr{addressOf(1), addressOf(2)}},
		"alone":            {false, 0, "one", []netip.Addr{addressOf(1)}},
		"another":          {true, 0, "two", []netip.Addr{addressOf(8), addressOf(9)}},
		"another, too old": {true, 5 * time.Second, "two", []netip.Addr{addressOf(1), addressOf(2)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newTestView()
			if test.second {
				v.mergeMember(Member{Address: addressOf(2), Run: 1, Heartbeat: 1, Ready: true}, epoch, true)
			}
			v.mergeMember(Member{Address: addressOf(3), Run: 1, Heartbeat: 1, Ready: true, Leaving: true}, epoch, true)
			v.mergeMember(Member{Address: addressOf(4), Run: 1, Heartbeat: 1}, epoch, true)
			v.mergeSummary(&Summary{
				Domain: "two", Live: 2, Present: 2, Contacts: []netip.Addr{addressOf(8), addressOf(9)}, madeAt: epoch.Add(-test.summaryAge),
			})
			compare := cmp.Comparer(func(a, b netip.Addr) bool { return a == b })
			if diff := cmp.Diff(test.want, v.serving(test.domain, "", epoch), compare); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestWatches checks that exactly one member of a failure domain watches the store, and
// that it is one whose calls to the store do not fail, if there is any.
func TestWatches(t *testing.T) {
	const members = 5
	watchers := func(refused, leaving map[int]bool) []int {
		var out []int
		for self := range members {
			v := newTestView()
			v.self = Member{Address: addressOf(self + 1), StoreRefused: refused[self], Leaving: leaving[self]}
			for other := range members {
				if other != self {
					v.mergeMember(Member{
						Address: addressOf(other + 1), Run: 1, Heartbeat: 1, StoreRefused: refused[other], Leaving: leaving[other],
					}, epoch, true)
				}
			}
			if v.watches(epoch) {
				out = append(out, self)
			}
		}
		return out
	}
	first := watchers(nil, nil)
	if len(first) != 1 {
		t.Fatalf("%v watch", first)
	}
	if next := watchers(map[int]bool{first[0]: true}, nil); len(next) != 1 || next[0] == first[0] {
		t.Errorf("while the store refuses %v, %v watch", first, next)
	}
	if next := watchers(nil, map[int]bool{first[0]: true}); len(next) != 1 || next[0] == first[0] {
		t.Errorf("when %v leaves, %v watch", first, next)
	}
	if all := watchers(map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true}, nil); len(all) != 1 {
		t.Errorf("when the store refuses all, %v watch", all)
	}
}

// TestPause checks that an instance that was paused does not use its rights to cold
// upstreams at first, and does not take all other members for dead.
func TestPause(t *testing.T) {
	v := newTestView()
	v.heartbeat(epoch)
	now := epoch.Add(3 * time.Second)
	v.heartbeatAt = now
	v.mergeMember(Member{Address: addressOf(2), Run: 1, Heartbeat: 1, Ready: true}, now, true)
	shares := func(at time.Time) (sum float64) {
		for key := range uint64(20) {
			sum += v.rightShare("one", key, at)
		}
		return sum
	}
	if shares(now) == 0 {
		t.Fatal("the instance has no rights")
	}
	later := now.Add(10 * time.Second)
	if n := shares(later); n > 0 {
		t.Errorf("after a pause, before the next heartbeat: it uses its rights")
	}
	v.heartbeat(later)
	if n := shares(later); n > 0 {
		t.Errorf("right after a pause it uses its rights")
	}
	if n := len(v.liveMembers(later)); n != 2 {
		t.Errorf("after a pause it has %d live members", n)
	}
}

// TestDatagramSize checks that a heartbeat with the largest content fits a datagram, and
// that it carries as many members and summaries as the bounds allow.
func TestDatagramSize(t *testing.T) {
	v := newTestView()
	demand := make(map[string]int)
	for i := range 12 {
		demand[fmt.Sprintf("a-service-%d", i)] = 1 << 20
	}
	v.self.Demand, v.newest = demand, []revision.Revision{{Era: 9, Number: 1 << 30}, {Era: 9, Number: 1 << 30}, {Era: 9, Number: 1 << 30}}
	for i := range 70 {
		v.mergeMember(Member{Address: addressOf(100 + i), Run: 1 << 31, Heartbeat: 1000, Ready: true, Demand: demand}, epoch, true)
		v.loadReports = append(v.loadReports, LoadReport{Key: 1<<32 - 1, Outstanding: 100, At: epoch})
	}
	var contacts []netip.Addr
	for i := range maxContactsSent {
		contacts = append(contacts, addressOf(i))
	}
	for i := range 128 {
		domain := fmt.Sprintf("catania-porto-%d", i)
		v.regions[domain] = "catania"
		v.mergeSummary(&Summary{Domain: domain, Live: 1 << 10, Present: 1 << 10, Demand: demand, Contacts: contacts, madeAt: epoch})
	}
	data := v.encode(&message{LoadReports: encodeLoadReports(v.loadReports, epoch)}, v.membersToSend(epoch), v.recentSummaries(epoch), epoch)
	if len(data) > maxDatagram {
		t.Errorf("a heartbeat takes %d bytes", len(data))
	}
	m, err := decode(data)
	if err != nil || len(m.Members) != maxMembersSent || len(m.Summaries) != maxSummariesSent {
		t.Errorf("%d members, %d summaries, %v", len(m.Members), len(m.Summaries), err)
	}
}

// TestLoadReports checks that a member sends its load reports to another one, with the
// time that has passed since.
func TestLoadReports(t *testing.T) {
	from := newTestView()
	from.self.Address = addressOf(2)
	from.mergeMember(Member{Address: addressOf(1), Run: 1, Heartbeat: 1}, epoch, true)
	from.loadReports = []LoadReport{{Key: 7, Outstanding: 20, At: epoch.Add(-time.Second)}}
	var received []LoadReport
	to := &Mesh{now: clock.Now, view: newTestView(), conn: nowhere{}, onRevisions: func(RevisionNotice) {}, onLoadReports: func(reports []LoadReport) { received = reports }}
	for _, d := range from.heartbeat(epoch.Add(100 * time.Millisecond)) {
		to.handle(d.data, from.self.Address)
	}
	if len(received) != 1 || received[0].Key != 7 || received[0].Outstanding != 20 {
		t.Fatalf("received %v", received)
	}
	if age := clock.Now().Sub(received[0].At); age < time.Second || age > 5*time.Second {
		t.Errorf("the report is %s old", age)
	}
}

// TestContained checks that a panic in the handling of a datagram neither ends the process
// nor leaves the lock locked: later datagrams are handled as usual.
func TestContained(t *testing.T) {
	from := Member{Address: addressOf(2), Run: 1, Heartbeat: 1}
	data, err := encode(&message{Domain: "one"}, &from, nil, nil, epoch)
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	m := &Mesh{now: clock.Now, view: newTestView(), conn: nowhere{}, log: slog.New(slog.DiscardHandler), onRevisions: func(RevisionNotice) {
		if calls++; calls == 1 {
			panic("planted")
		}
	}}
	m.handle(data, from.Address)
	m.view = nil // a panic while the lock is held
	m.handle(data, from.Address)
	m.view = newTestView()
	m.handle(data, from.Address)
	if calls != 2 || len(m.view.others) != 1 {
		t.Errorf("%d calls, %d members", calls, len(m.view.others))
	}
}

// nowhere is a connection that drops all datagrams.
type nowhere struct{ net.PacketConn }

func (nowhere) WriteTo(p []byte, _ net.Addr) (int, error) { return len(p), nil }

// TestNoEmptyDatagram guards against a message that cannot be encoded and is sent as an empty
// datagram, which every receiver counts as unreadable.
func TestNoEmptyDatagram(t *testing.T) {
	m := &Mesh{now: clock.Now, conn: nowhere{}}
	before := sent.Get()
	m.send([]datagram{{to: addressOf(2)}, {to: addressOf(2), data: []byte("x")}})
	if n := sent.Get() - before; n != 1 {
		t.Errorf("%d datagrams were sent, want 1", n)
	}
}

// TestStrangers checks that datagrams that are invalid, of another deployment or with a
// wrong sender are rejected.
func TestStrangers(t *testing.T) {
	from := Member{Address: addressOf(2), Run: 1, Heartbeat: 1}
	datagram := func(domain string, change func(m *message)) []byte {
		m := &message{Domain: domain}
		if _, err := encode(m, &from, nil, nil, epoch); err != nil {
			t.Fatal(err)
		}
		change(m)
		data, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	unchanged := func(*message) {}
	valid := datagram("one", unchanged)
	tests := map[string]struct {
		data     []byte
		from     netip.Addr
		accepted bool
	}{
		"a member":              {valid, addressOf(2), true},
		"of another address":    {valid, addressOf(3), false},
		"of itself":             {valid, addressOf(1), false},
		"of another deployment": {datagram("elsewhere", unchanged), addressOf(2), false},
		"of another version":    {datagram("one", func(m *message) { m.Format = 1 }), addressOf(2), false},
		"cut short":             {valid[:len(valid)-2], addressOf(2), false},
		"empty":                 {nil, addressOf(2), false},
		"garbage":               {bytes.Repeat([]byte{0xfb}, maxDatagram), addressOf(2), false},
		"no address":            {datagram("one", func(m *message) { m.From.Address = netip.Addr{} }), addressOf(2), false},
		"a demand below zero":   {datagram("one", func(m *message) { m.From.Demand = []int{-1} }), addressOf(2), false},
		"a sum below zero":      {datagram("one", func(m *message) { m.Summaries = []summaryRecord{{Domain: "two", Live: -1}} }), addressOf(2), false},
		"a sum of the future":   {datagram("one", func(m *message) { m.Summaries = []summaryRecord{{Domain: "two", AgeMillis: -9}} }), addressOf(2), false},
		"a sum of long ago": {datagram("one", func(m *message) {
			m.Summaries = []summaryRecord{{Domain: "two", AgeMillis: math.MaxInt64}}
		}), addressOf(2), false},
		"a contact of IPv6": {datagram("one", func(m *message) { m.Contacts = []netip.Addr{netip.IPv6Loopback()} }), addressOf(2), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := &Mesh{now: clock.Now, view: newTestView(), conn: nowhere{}, onRevisions: func(RevisionNotice) {}, onLoadReports: func([]LoadReport) {}}
			m.handle(test.data, test.from)
			if diff := cmp.Diff(test.accepted, len(m.view.others) > 0); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestMesh runs three members on loopback addresses with one seed: each finds all, and
// learns of a planned stop at once and of a death in time.
func TestMesh(t *testing.T) {
	var meshes []*Mesh
	var group errgroup.Group
	var cancels []context.CancelFunc
	port := freePort(t)
	for i := range 3 {
		ip := fmt.Sprintf("127.250.0.%d", i+1)
		m, err := New(net.JoinHostPort(ip, port), "one", map[string]string{"one": "r"}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		m.SetReady(true)
		m.SetSeeds([]netip.Addr{netip.MustParseAddr("127.250.0.1")})
		ctx, cancel := context.WithCancel(context.Background())
		cancels = append(cancels, cancel)
		meshes = append(meshes, m)
		group.Go(func() error { return m.Run(ctx) })
	}
	t.Cleanup(func() {
		for _, cancel := range cancels {
			cancel()
		}
		_ = group.Wait()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	await := func(what string, condition func() bool) {
		t.Helper()
		if standin.Await(ctx, condition) != nil {
			t.Fatalf("waited too long for: %s", what)
		}
	}
	for _, m := range meshes {
		await("all three", func() bool { return len(m.live()) == 3 })
	}
	meshes[1].Leave()
	await("the planned stop", func() bool {
		for _, m := range meshes[0].live() {
			if m.Leaving {
				return true
			}
		}
		return false
	})
	cancels[2]()
	await("the death", func() bool { return len(meshes[0].live()) == 2 })
}

func freePort(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.250.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, port, err := net.SplitHostPort(conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// FuzzTake decodes and handles arbitrary datagrams.
func FuzzTake(f *testing.F) {
	from := Member{Address: addressOf(2), Run: 1, Heartbeat: 1, Demand: map[string]int{"s": 1}}
	summaries := []*Summary{{Domain: "two", Live: 1, Present: 1, Contacts: []netip.Addr{addressOf(9)}, madeAt: epoch}}
	data, err := encode(&message{Domain: "one", Query: true}, &from, []*memberState{{member: Member{Address: addressOf(3)}, seenAt: epoch, silentSince: epoch}}, summaries, epoch)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		v := newTestView()
		v.handle(m, m.From.Address, epoch)
		if _, ok := v.others[addressOf(1)]; ok {
			t.Error("an instance is a member of its own view")
		}
		v.heartbeat(epoch.Add(time.Second))
	})
}
