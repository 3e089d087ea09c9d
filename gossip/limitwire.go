package gossip

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hickorydrum/limit"
)

// limitFormat is the format of datagrams about limits. Instances of versions that know none
// reject them, and handle all other datagrams of this instance.
const limitFormat = 101

// milli is the number of units in a request a second, as sent in datagrams.
const milli = 1000

// limitMessage is a datagram about the limits of upstreams.
type limitMessage struct {
	_      struct{} `cbor:",toarray"`
	Format int
	// Domain is the failure domain of the sender, and From its address.
	Domain string
	From   netip.Addr
	// Origin is the instance whose offers are reported. It differs from From if the datagram
	// was passed on to the holder.
	Origin netip.Addr
	// Domains are the failure domains of upstreams. Each record has an index into it.
	Domains []string
	States  []limitStateRecord
	Demands []limitDemandRecord
}

// limitStateRecord is a limit.State on the wire.
type limitStateRecord struct {
	_           struct{} `cbor:",toarray"`
	Key         uint64
	StartMillis int64
	Domain      int
	InForce     bool
	Milli       uint64 // limit, in thousandths of a request a second
	NamedAge    uint32 // milliseconds
	Fraction    uint16 // of math.MaxUint16
	FractionAge int64  // milliseconds, or -1 if there is no fraction
	Holder      netip.Addr
	Reported    uint32 // offers, in thousandths a second
}

// limitDemandRecord is a limit.Demand on the wire.
type limitDemandRecord struct {
	_           struct{} `cbor:",toarray"`
	Key         uint64
	StartMillis int64
	Domain      int
	Mean        uint32 // offers, in thousandths a second
	Recent      uint32
	Sent        uint32 // what was sent, in the same unit
}

func (m *limitMessage) domainIndex(domain string) int {
	if i := slices.Index(m.Domains, domain); i >= 0 {
		return i
	}
	m.Domains = append(m.Domains, domain)
	return len(m.Domains) - 1
}

func (m *limitMessage) addState(s *limit.State, now time.Time) {
	r := limitStateRecord{
		Key: s.ID.Key, StartMillis: s.ID.StartMillis, Domain: m.domainIndex(s.Domain), InForce: s.InForce,
		Milli: uint64(math.Round(s.PerSecond * milli)), NamedAge: encodeMillis(s.NamedAt, now), FractionAge: -1,
	}
	if !s.FractionAt.IsZero() {
		r.Fraction = uint16(s.Fraction * math.MaxUint16)
		r.FractionAge = int64(encodeMillis(s.FractionAt, now))
		r.Holder, r.Reported = s.Holder, encodeMilli(s.Reported)
	}
	m.States = append(m.States, r)
}

func (m *limitMessage) addDemand(d *limit.Demand) {
	m.Demands = append(m.Demands, limitDemandRecord{
		Key: d.ID.Key, StartMillis: d.ID.StartMillis, Domain: m.domainIndex(d.Domain),
		Mean: encodeMilli(d.Offers.Mean), Recent: encodeMilli(d.Offers.Recent), Sent: encodeMilli(d.Sent),
	})
}

// encodeMillis returns the time since an instant in milliseconds.
func encodeMillis(at, now time.Time) uint32 {
	return uint32(min(math.MaxUint32, max(0, now.Sub(at).Milliseconds())))
}

func encodeMilli(perSecond float64) uint32 {
	return uint32(min(math.MaxUint32, math.Round(perSecond*milli)))
}

func (m *limitMessage) state(r *limitStateRecord, now time.Time) limit.State {
	s := limit.State{
		ID: limit.ID{Key: r.Key, StartMillis: r.StartMillis}, Domain: m.Domains[r.Domain], InForce: r.InForce,
		PerSecond: float64(r.Milli) / milli, NamedAt: now.Add(-time.Duration(r.NamedAge) * time.Millisecond),
	}
	if r.FractionAge >= 0 {
		s.Fraction = float64(r.Fraction) / math.MaxUint16
		s.FractionAt = now.Add(-time.Duration(r.FractionAge) * time.Millisecond)
		s.Holder, s.Reported = r.Holder, float64(r.Reported)/milli
	}
	return s
}

func (m *limitMessage) demand(r *limitDemandRecord) limit.Demand {
	return limit.Demand{
		ID: limit.ID{Key: r.Key, StartMillis: r.StartMillis}, Domain: m.Domains[r.Domain],
		Offers: limit.Rates{Mean: float64(r.Mean) / milli, Recent: float64(r.Recent) / milli},
		Sent:   float64(r.Sent) / milli,
	}
}

// limitPrefix begins every datagram about limits: an array of seven elements, of which the
// first is limitFormat.
var limitPrefix = []byte{0x87, 0x18, limitFormat}

// isLimits reports whether a datagram is about limits.
func isLimits(data []byte) bool { return bytes.HasPrefix(data, limitPrefix) }

// decodeLimits parses a datagram about limits. It checks the format's version, the addresses
// and the indexes and ages; the receiver checks the failure domain of the sender.
func decodeLimits(data []byte) (*limitMessage, error) {
	var m limitMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("the datagram cannot be read: %w", err)
	}
	if m.Format != limitFormat {
		return nil, fmt.Errorf("the datagram has format %d, not %d", m.Format, limitFormat)
	}
	if !m.From.Is4() || !m.Origin.Is4() {
		return nil, errors.New("the sender has no IPv4 address")
	}
	known := func(index int) bool { return index >= 0 && index < len(m.Domains) }
	for _, r := range m.States {
		if !known(r.Domain) || r.FractionAge > maxAgeMillis || r.Milli > limit.MaxPerSecond*milli {
			return nil, errors.New("a limit has an invalid failure domain, age or rate")
		}
	}
	for _, r := range m.Demands {
		if !known(r.Domain) {
			return nil, errors.New("a demand has an unknown failure domain")
		}
	}
	return &m, nil
}
