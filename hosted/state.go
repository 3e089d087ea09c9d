package hosted

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hickorydrum/mirror"
	"hickorydrum/platform"
	"hickorydrum/revision"
)

const (
	maxStateBytes = 16 << 20 // of an encoded state, before and after decompression
	// minCompressBytes is the size from which an encoded state is compressed.
	minCompressBytes = 16 << 10
)

// paramCursor and paramEra are the query parameters of a request for the state. Each is repeated once for each
// kind, in the order of kinds, with the number and the era of the cursor of that kind. A request without eras is that of
// an instance that knows nothing of them.
const (
	paramCursor = "since"
	paramEra    = "era"
)

// headerEras is the header of the response with the eras of all kinds, separated by commas. A response without it is
// that of an instance that knows nothing of eras.
const headerEras = "State-Eras"

// stateMessage is the state that an instance sends to a peer, as encoded in CBOR: the content
// of its loaded mirrors, or their changes after the peer's cursors. Instances of versions that know nothing of eras
// decode it too, so the eras are in a header of the response (see headerEras).
type stateMessage struct {
	_     struct{} `cbor:",toarray"`
	Kinds []kindMessage
}

// kindMessage is a mirror.State as encoded in CBOR.
type kindMessage struct {
	_               struct{} `cbor:",toarray"`
	Kind            string
	Cursor          uint64
	Newest          uint64
	Full            bool
	RetentionMillis int64
	Objects         []objectMessage
}

// objectMessage is a platform.Object as encoded in CBOR.
type objectMessage struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Version uint64
	Value   []byte
	Deleted bool
}

// encodedState is an encoded state and its eras.
type encodedState struct {
	data []byte
	eras []uint64 // of each kind, in the order of kinds
}

// encodeState returns the encoded state for a peer whose mirrors have the given cursors, by
// kind. It is compressed if it has minCompressBytes or more, and cached until the next change.
func (f *follower) encodeState(cursors map[string]revision.Revision) (encodedState, error) {
	key := fmt.Sprint(cursors)
	f.mu.Lock()
	defer f.mu.Unlock()
	if state, ok := f.stateCache[key]; ok {
		return state, nil
	}
	var s stateMessage
	var eras []uint64
	now := time.Now()
	for _, kind := range kinds() {
		m := f.mirrors[kind]
		eras = append(eras, m.Cursor().Era)
		if !m.Cursor().IsZero() {
			s.Kinds = append(s.Kinds, encodeKind(kind, m.Since(cursors[kind], now)))
		}
	}
	data, err := cbor.Marshal(s)
	if err != nil {
		return encodedState{}, err
	}
	if len(data) >= minCompressBytes {
		if data, err = compress(data); err != nil {
			return encodedState{}, err
		}
	}
	f.stateCache[key] = encodedState{data, eras}
	return f.stateCache[key], nil
}

// encodeKind returns the message with a state. All revisions of a state are of the same era, which it leaves out.
func encodeKind(kind string, s mirror.State) kindMessage {
	out := kindMessage{
		Kind: kind, Cursor: s.Cursor.Number, Newest: s.Newest.Number, Full: s.Full, RetentionMillis: s.Retention.Milliseconds(),
	}
	for _, o := range s.Objects {
		out.Objects = append(out.Objects, objectMessage{Key: o.Key, Version: o.Version.Number, Value: o.Value, Deleted: o.Deleted})
	}
	return out
}

// decodeKind returns the state of an era in a message.
func decodeKind(m *kindMessage, era uint64) mirror.State {
	at := func(number uint64) revision.Revision { return revision.Revision{Era: era, Number: number} }
	s := mirror.State{
		Cursor: at(m.Cursor), Newest: at(m.Newest), Full: m.Full, Retention: time.Duration(m.RetentionMillis) * time.Millisecond,
	}
	for _, o := range m.Objects {
		s.Objects = append(s.Objects, platform.Object{Key: o.Key, Version: at(o.Version), Value: o.Value, Deleted: o.Deleted})
	}
	return s
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return out.Bytes(), err
}

// readState decodes the state that a peer sent, compressed or not. It reads at most
// maxStateBytes, before as well as after decompression.
func readState(body io.Reader) (*stateMessage, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxStateBytes))
	if err != nil {
		return nil, err
	}
	if len(data) > 1 && data[0] == 0x1f && data[1] == 0x8b {
		r, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return nil, err
		}
		if data, err = io.ReadAll(io.LimitReader(r, maxStateBytes)); err != nil {
			return nil, err
		}
	}
	var s stateMessage
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// readEras returns the eras by kind that the header of a response has. Kinds that it does not have are missing.
func readEras(header http.Header) (map[string]uint64, error) {
	eras := make(map[string]uint64)
	text := header.Get(headerEras)
	if text == "" {
		return eras, nil
	}
	numbers, err := parseNumbers(strings.Split(text, ","))
	if err != nil || len(numbers) > len(kinds()) {
		return nil, errors.New("the eras of the state cannot be read")
	}
	for i, era := range numbers {
		eras[kinds()[i]] = era
	}
	return eras, nil
}

// readCursors returns the cursors by kind in a request for the state, and false if one is malformed or there are too
// many.
func readCursors(query url.Values) (cursors map[string]revision.Revision, ok bool) {
	numbers, err := parseNumbers(query[paramCursor])
	eras, errEras := parseNumbers(query[paramEra])
	if err != nil || errEras != nil || len(numbers) > len(kinds()) || len(eras) > len(numbers) {
		return nil, false
	}
	cursors = make(map[string]revision.Revision)
	for i, number := range numbers {
		cursor := revision.Revision{Number: number}
		if i < len(eras) {
			cursor.Era = eras[i]
		}
		cursors[kinds()[i]] = cursor
	}
	return cursors, true
}

func parseNumbers(texts []string) ([]uint64, error) {
	var out []uint64
	for _, text := range texts {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, err
		}
		out = append(out, number)
	}
	return out, nil
}

func joinNumbers(numbers []uint64) string {
	texts := make([]string, len(numbers))
	for i, number := range numbers {
		texts[i] = strconv.FormatUint(number, 10)
	}
	return strings.Join(texts, ",")
}
