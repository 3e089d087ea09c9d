package gossip

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// format is the version of the datagram format. Datagrams of other versions are
	// rejected.
	format = 2
	// maxDatagram bounds the size of a received datagram, in bytes. A larger one is cut off
	// and cannot be decoded.
	maxDatagram = 8 << 10
	// StoreKinds is how many kinds of entries in the platform's store instances follow. Notices carry the newest
	// revision of each, then the era of each.
	StoreKinds = 3
	// maxAgeMillis bounds the age of a received summary, in milliseconds.
	maxAgeMillis = int64(time.Hour / time.Millisecond)
)

// message is one datagram.
type message struct {
	_      struct{} `cbor:",toarray"`
	Format int
	// Domain is the failure domain of the sender and of Members.
	Domain string
	From   memberRecord
	// Query requests an immediate reply.
	Query bool
	// Newest holds the revision of the last change that the sender has, for each kind of
	// entry in the platform's store that it follows, as revision.Pack returns them.
	Newest []uint64
	// Services names the services. Each Demand field is empty or has one number for each, in
	// this order.
	Services    []string
	Members     []memberRecord
	Summaries   []summaryRecord
	LoadReports []loadReportRecord
	// Contacts are instances in the receiver's failure domain whose addresses the sender
	// has. By them, instances of one failure domain that query a seed in another one find
	// each other.
	Contacts []netip.Addr
}

// memberRecord is a Member on the wire.
type memberRecord struct {
	_         struct{} `cbor:",toarray"`
	Address   netip.Addr
	Run       uint32
	Heartbeat uint64
	State     uint8
	// Age is the time since the heartbeat was received, in units of ageUnit. It is 0 for the
	// sender itself.
	Age    uint16
	Demand []int
}

// loadReportRecord is a LoadReport on the wire.
type loadReportRecord struct {
	_           struct{} `cbor:",toarray"`
	Key         uint32
	Outstanding uint16
	// Age is the time since the upstream reported the load, in units of ageUnit.
	Age uint16
}

const ageUnit = 50 * time.Millisecond

func (r *memberRecord) age() time.Duration { return time.Duration(r.Age) * ageUnit }

// encodeAge returns the time since an instant in units of ageUnit, bounded to the field's
// range.
func encodeAge(at, now time.Time) uint16 {
	return uint16(min(math.MaxUint16, max(0, now.Sub(at)/ageUnit)))
}

func encodeLoadReports(reports []LoadReport, now time.Time) []loadReportRecord {
	var out []loadReportRecord
	for _, r := range reports {
		outstanding := uint16(min(math.MaxUint16, max(0, r.Outstanding)))
		out = append(out, loadReportRecord{Key: r.Key, Outstanding: outstanding, Age: encodeAge(r.At, now)})
	}
	return out
}

func decodeLoadReports(records []loadReportRecord, now time.Time) []LoadReport {
	var out []LoadReport
	for _, r := range records {
		out = append(out, LoadReport{Key: r.Key, Outstanding: int(r.Outstanding), At: now.Add(-time.Duration(r.Age) * ageUnit)})
	}
	return out
}

// Bits of memberRecord.State.
const (
	stateReady = 1 << iota
	stateLeaving
	stateRefused
)

// summaryRecord is a Summary on the wire.
type summaryRecord struct {
	_       struct{} `cbor:",toarray"`
	Domain  string
	Live    int
	Present int
	// AgeMillis is the time since the summary was made, in milliseconds.
	AgeMillis int64
	Demand    []int
	Contacts  []netip.Addr
}

func encodeMember(m *Member, services []string) memberRecord {
	r := memberRecord{Address: m.Address, Run: m.Run, Heartbeat: m.Heartbeat, Demand: encodeDemand(m.Demand, services)}
	if m.Ready {
		r.State |= stateReady
	}
	if m.Leaving {
		r.State |= stateLeaving
	}
	if m.StoreRefused {
		r.State |= stateRefused
	}
	return r
}

func decodeMember(r *memberRecord, services []string) Member {
	return Member{
		Address: r.Address, Run: r.Run, Heartbeat: r.Heartbeat, Demand: decodeDemand(r.Demand, services),
		Ready: r.State&stateReady != 0, Leaving: r.State&stateLeaving != 0, StoreRefused: r.State&stateRefused != 0,
	}
}

func encodeSummary(s *Summary, services []string, now time.Time) summaryRecord {
	return summaryRecord{
		Domain: s.Domain, Live: s.Live, Present: s.Present, AgeMillis: max(0, now.Sub(s.madeAt).Milliseconds()),
		Demand: encodeDemand(s.Demand, services), Contacts: s.Contacts,
	}
}

func decodeSummary(r *summaryRecord, services []string, now time.Time) *Summary {
	return &Summary{
		Domain: r.Domain, Live: r.Live, Present: r.Present, Demand: decodeDemand(r.Demand, services), Contacts: r.Contacts,
		madeAt: now.Add(-time.Duration(r.AgeMillis) * time.Millisecond),
	}
}

func encodeDemand(demand map[string]int, services []string) []int {
	if len(demand) == 0 {
		return nil
	}
	out := make([]int, len(services))
	for i, name := range services {
		out[i] = demand[name]
	}
	return out
}

func decodeDemand(demand []int, services []string) map[string]int {
	out := make(map[string]int, len(demand))
	for i, millislots := range demand {
		if i < len(services) && millislots > 0 {
			out[services[i]] = millislots
		}
	}
	return out
}

// encode completes a message with the sender's state, members and summaries and returns it
// encoded.
func encode(m *message, from *Member, members []*memberState, summaries []*Summary, now time.Time) ([]byte, error) {
	names := make(map[string]bool)
	for name := range from.Demand {
		names[name] = true
	}
	for _, one := range members {
		for name := range one.member.Demand {
			names[name] = true
		}
	}
	for _, one := range summaries {
		for name := range one.Demand {
			names[name] = true
		}
	}
	m.Format = format
	m.Services = slices.Sorted(maps.Keys(names))
	m.From = encodeMember(from, m.Services)
	for _, one := range members {
		r := encodeMember(&one.member, m.Services)
		r.Age = encodeAge(one.seenAt, now)
		m.Members = append(m.Members, r)
	}
	for _, one := range summaries {
		m.Summaries = append(m.Summaries, encodeSummary(one, m.Services, now))
	}
	return cbor.Marshal(m)
}

// encodeDatagram returns an encoded message of another format than that of message, or nil, which is not sent, if it
// cannot be encoded. It counts such a message with the unreadable datagrams.
func encodeDatagram(m any) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		unreadable.Inc()
	}
	return data
}

// decode parses a datagram. It checks the format's version, all addresses, and the counts,
// ages and demands for invalid values; the receiver checks the failure domains.
func decode(data []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("the datagram cannot be read: %w", err)
	}
	if m.Format != format {
		return nil, fmt.Errorf("the datagram has format %d, not %d", m.Format, format)
	}
	for _, r := range append([]memberRecord{m.From}, m.Members...) {
		if !r.Address.Is4() {
			return nil, errors.New("a member has no IPv4 address")
		}
		if slices.Min(append(r.Demand, 0)) < 0 {
			return nil, errors.New("a member has a demand below zero")
		}
	}
	usable := func(a netip.Addr) bool { return a.Is4() }
	if !all(m.Contacts, usable) {
		return nil, errors.New("a contact has no IPv4 address")
	}
	for _, s := range m.Summaries {
		if s.Live < 0 || s.Present < s.Live || s.AgeMillis < 0 || s.AgeMillis > maxAgeMillis || slices.Min(append(s.Demand, 0)) < 0 {
			return nil, errors.New("a summary has an invalid count, age or demand")
		}
		if !all(s.Contacts, usable) {
			return nil, errors.New("a contact in a summary has no IPv4 address")
		}
	}
	return &m, nil
}

// all reports whether fits returns true for all elements of a list.
func all[T any](list []T, fits func(T) bool) bool {
	return !slices.ContainsFunc(list, func(one T) bool { return !fits(one) })
}
