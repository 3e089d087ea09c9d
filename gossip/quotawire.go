package gossip

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hickorydrum/limit"
	"hickorydrum/quota"
)

const (
	// quotaFormat is the format of datagrams about quotas. Instances of versions that know none reject them,
	// and handle all other datagrams of this instance.
	quotaFormat = 103
	// maxQuotaRecords bounds the records of one datagram, which take up to 110 bytes each.
	maxQuotaRecords = 64
)

// quotaMessage is a datagram about the quotas of accounts.
type quotaMessage struct {
	_      struct{} `cbor:",toarray"`
	Format int
	// Domain is the failure domain of the sender, and From its address.
	Domain string
	From   netip.Addr
	// Origin is the instance that reports. It differs from From if the datagram was passed on to the holder.
	Origin  netip.Addr
	Reports []quotaReportRecord
	Answers []quotaAnswerRecord
}

// quotaReportRecord is a quota.Report on the wire.
type quotaReportRecord struct {
	_        struct{} `cbor:",toarray"`
	Rate     float64
	Burst    float64
	Run      uint32
	Mean     uint32 // offers, in thousandths of a request a second
	Recent   uint32
	Admitted uint32
	Pending  int32
	Known    quotaStateRecord // with the key of the account
}

// quotaAnswerRecord is a quota.Answer on the wire.
type quotaAnswerRecord struct {
	_     struct{} `cbor:",toarray"`
	Run   uint32
	Acked uint32
	State quotaStateRecord
}

// quotaStateRecord is a quota.State on the wire.
type quotaStateRecord struct {
	_        struct{} `cbor:",toarray"`
	Key      uint64
	Age      int64 // milliseconds, or -1 if there is no state
	Holder   []byte
	Fraction uint16 // of math.MaxUint16
	Room     int32  // requests, in thousandths
	Offered  uint32 // in thousandths of a request a second
}

func encodeQuotaState(s *quota.State, now time.Time) quotaStateRecord {
	r := quotaStateRecord{Key: s.Key, Age: -1}
	if s.At.IsZero() {
		return r
	}
	r.Age, r.Fraction = int64(encodeMillis(s.At, now)), uint16(s.Fraction*math.MaxUint16)
	if r.Age > maxAgeMillis {
		return quotaStateRecord{Key: s.Key, Age: -1}
	}
	r.Room, r.Offered = encodeRoom(s.Room), encodeMilli(s.Offered)
	if s.Holder.Is4() {
		r.Holder = s.Holder.AsSlice()
	}
	return r
}

func encodeRoom(room float64) int32 {
	return int32(min(math.MaxInt32, max(math.MinInt32, math.Round(room*milli))))
}

func (r *quotaStateRecord) state(now time.Time) quota.State {
	s := quota.State{Key: r.Key}
	if r.Age < 0 {
		return s
	}
	s.At, s.Fraction = now.Add(-time.Duration(r.Age)*time.Millisecond), float64(r.Fraction)/math.MaxUint16
	s.Room, s.Offered = float64(r.Room)/milli, float64(r.Offered)/milli
	s.Holder, _ = netip.AddrFromSlice(r.Holder)
	return s
}

func encodeQuotaReport(r *quota.Report, now time.Time) quotaReportRecord {
	known := r.Known
	known.Key = r.Key
	return quotaReportRecord{
		Rate: r.Quota.Rate, Burst: r.Quota.Burst, Run: r.Run, Mean: encodeMilli(r.Offers.Mean), Recent: encodeMilli(r.Offers.Recent),
		Admitted: r.Admitted, Pending: r.Pending, Known: encodeQuotaState(&known, now),
	}
}

func (r *quotaReportRecord) report(now time.Time) quota.Report {
	return quota.Report{
		Key: r.Known.Key, Quota: quota.Quota{Rate: r.Rate, Burst: r.Burst}, Run: r.Run,
		Offers:   limit.Rates{Mean: float64(r.Mean) / milli, Recent: float64(r.Recent) / milli},
		Admitted: r.Admitted, Pending: r.Pending, Known: r.Known.state(now),
	}
}

func encodeQuotaAnswer(a *quota.Answer, now time.Time) quotaAnswerRecord {
	return quotaAnswerRecord{Run: a.Run, Acked: a.Acked, State: encodeQuotaState(&a.State, now)}
}

func (r *quotaAnswerRecord) answer(now time.Time) quota.Answer {
	return quota.Answer{State: r.State.state(now), Run: r.Run, Acked: r.Acked}
}

// quotaPrefix begins every datagram about quotas: an array of six elements, of which the first is quotaFormat.
var quotaPrefix = []byte{0x86, 0x18, quotaFormat}

// isQuotas reports whether a datagram is about quotas.
func isQuotas(data []byte) bool { return bytes.HasPrefix(data, quotaPrefix) }

// decodeQuotas parses a datagram about quotas. It checks the format's version, the addresses, the number of the
// records, and their ages, rates and counts; the receiver checks the failure domain of the sender.
func decodeQuotas(data []byte) (*quotaMessage, error) {
	var m quotaMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("the datagram cannot be read: %w", err)
	}
	switch {
	case m.Format != quotaFormat:
		return nil, fmt.Errorf("the datagram has format %d, not %d", m.Format, quotaFormat)
	case !m.From.Is4() || !m.Origin.Is4():
		return nil, errors.New("the sender has no IPv4 address")
	case len(m.Reports) > maxQuotaRecords || len(m.Answers) > maxQuotaRecords:
		return nil, errors.New("the datagram has too many records")
	}
	for i := range m.Reports {
		if r := &m.Reports[i]; !r.valid() {
			return nil, errors.New("a report has an invalid quota, count or state")
		}
	}
	for i := range m.Answers {
		if a := &m.Answers[i]; !a.State.valid() || a.State.Age < 0 {
			return nil, errors.New("an answer has an invalid state")
		}
	}
	return &m, nil
}

func (r *quotaReportRecord) valid() bool {
	usable := func(n float64) bool { return n >= 0 && n <= limit.MaxPerSecond }
	return usable(r.Rate) && usable(r.Burst) && r.Known.valid()
}

func (r *quotaStateRecord) valid() bool {
	return r.Age >= -1 && r.Age <= maxAgeMillis && (len(r.Holder) == 0 || len(r.Holder) == 4)
}
