package rollout

import (
	"time"

	"hickorydrum/declaration"
	"hickorydrum/revision"
	"hickorydrum/roster"
)

// In messages between instances the number and the era of a revision are fields of their own, since instances of
// earlier versions know nothing of eras: they ignore the era, and one that they do not send is not known.

// helloMessage is the request and the response of CallHello.
type helloMessage struct {
	From     roster.Member `cbor:"1,keyasint"`
	Revision uint64        `cbor:"2,keyasint"`
	Roster   uint64        `cbor:"3,keyasint"` // digest of the sender's roster
	// List is the version of the platform's list of instances at the sender, 0 if it has none.
	List uint64 `cbor:"4,keyasint,omitempty"`
	// ConfirmedMillis is how many milliseconds ago the sender's revision was confirmed, by the platform or by
	// peers in turn. It is nil if it never was, or if the sender is of a version that does not say.
	ConfirmedMillis *int64 `cbor:"5,keyasint,omitempty"`
	Era             uint64 `cbor:"6,keyasint,omitempty"` // of Revision
	ListEra         uint64 `cbor:"7,keyasint,omitempty"`
	// StoreEra is the latest era of the platform that the sender knows.
	StoreEra uint64 `cbor:"8,keyasint,omitempty"`
}

func (m *helloMessage) revision() revision.Revision {
	return revision.Revision{Era: m.Era, Number: m.Revision}
}

func (m *helloMessage) list() revision.Revision {
	return revision.Revision{Era: m.ListEra, Number: m.List}
}

// updateRequest is the request of CallUpdate.
type updateRequest struct {
	Have uint64 `cbor:"1,keyasint"` // revision in force at the sender
	// Offset is how many records of the whole set the sender has received.
	Offset int    `cbor:"2,keyasint,omitempty"`
	Era    uint64 `cbor:"3,keyasint,omitempty"` // of Have
}

// updateMessage is the response of CallUpdate. It has either Deltas, which lead
// from the revision From to the revision To, or Records of the whole set To; then
// From is 0. Digest is that of the whole set To. It is empty if there is nothing
// to send.
type updateMessage struct {
	From    uint64               `cbor:"1,keyasint,omitempty"`
	To      uint64               `cbor:"2,keyasint"`
	Digest  string               `cbor:"3,keyasint,omitempty"`
	Deltas  []declaration.Delta  `cbor:"4,keyasint,omitempty"`
	Records []declaration.Record `cbor:"5,keyasint,omitempty"`
	// More is set if the whole set has further records after these.
	More bool `cbor:"6,keyasint,omitempty"`
	// FromEra and ToEra are the eras of From and To, and AppliedNanos is when an operator applied To, as Unix time in
	// nanoseconds, 0 if that is not known.
	FromEra      uint64 `cbor:"7,keyasint,omitempty"`
	ToEra        uint64 `cbor:"8,keyasint,omitempty"`
	AppliedNanos int64  `cbor:"9,keyasint,omitempty"`
}

// appliedAt returns when an operator applied the set, the zero time if that is not known.
func (m *updateMessage) appliedAt() time.Time {
	if m.AppliedNanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, m.AppliedNanos)
}

func (m *updateMessage) from() revision.Revision {
	return revision.Revision{Era: m.FromEra, Number: m.From}
}

func (m *updateMessage) to() revision.Revision {
	return revision.Revision{Era: m.ToEra, Number: m.To}
}

// rosterMessage is the request and the response of CallRoster. Digests are those
// of the sender's failure domains, so that the receiver returns only the members
// of domains that differ.
type rosterMessage struct {
	Members []roster.Member   `cbor:"1,keyasint,omitempty"`
	Digests map[string]uint64 `cbor:"2,keyasint,omitempty"`
}

// listMessage is the response of CallList.
type listMessage struct {
	Version uint64       `cbor:"1,keyasint"`
	List    InstanceList `cbor:"2,keyasint"`
	Era     uint64       `cbor:"3,keyasint,omitempty"` // of Version
}

func (m *listMessage) version() revision.Revision {
	return revision.Revision{Era: m.Era, Number: m.Version}
}
