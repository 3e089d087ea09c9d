package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"hickorydrum/fault"
)

// Frame is the type of one frame on a stream.
type Frame uint8

// The frames that every stream knows. Slices of the protocol add their own from
// FrameFirstCustom on.
const (
	FrameCall  Frame = iota + 1 // names the called handler
	FrameReply                  // the answer to a unary call
	FrameFault                  // a fault.Wire ends the stream
	FrameData                   // a part of a body
	FrameEnd                    // the whole body was sent
	FrameFirstCustom
)

const (
	frameHeaderBytes = 5 // type and length
	// MaxMessage is the largest message; a whole set of declarations travels in
	// parts of this size.
	MaxMessage = 4 << 20
	// MaxData is the largest part of a body in one frame.
	MaxData         = 64 << 10
	readBufferBytes = 16 << 10
	maxNested       = 16
	maxElements     = 1 << 20
	resetCode       = quic.StreamErrorCode(1)
)

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: maxNested, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode reads one message. It refuses what is not a valid message.
func Decode(data []byte, msg any) error {
	if err := decoder.Unmarshal(data, msg); err != nil {
		return fault.New(fault.Invalid, "a message of a peer is not readable",
			"run the same version on every instance", fault.WithCause(err))
	}
	return nil
}

// Encode returns a message as bytes.
func Encode(msg any) ([]byte, error) { return cbor.Marshal(msg) }

// Stream is one exchange with a peer. One goroutine may send while another
// receives.
type Stream struct {
	raw     *quic.Stream
	r       *bufio.Reader
	peer    string
	payload []byte // of the last received frame
	pending []byte
	// release tells the node that an opened stream ended.
	release func()
	once    sync.Once
}

func newStream(raw *quic.Stream, peer string) *Stream {
	return &Stream{raw: raw, r: bufio.NewReaderSize(raw, readBufferBytes), peer: peer}
}

// Peer returns the name in the certificate of the other side.
func (s *Stream) Peer() string { return s.peer }

// SetDeadline sets the instant after which sending and receiving fail.
func (s *Stream) SetDeadline(at time.Time) { _ = s.raw.SetDeadline(at) }

// Context is done when the other side gave the stream up.
func (s *Stream) Context() context.Context { return s.raw.Context() }

// Send sends a message in a frame of the given type.
func (s *Stream) Send(frame Frame, msg any) error {
	data, err := Encode(msg)
	if err != nil {
		return err
	}
	if len(data) > MaxMessage {
		return fault.New(fault.Invalid, fmt.Sprintf("a message has %d bytes, over %d", len(data), MaxMessage),
			"shorten the request's header")
	}
	return s.write(frame, data)
}

// SendData sends a part of a body.
func (s *Stream) SendData(part []byte) error {
	for len(part) > 0 {
		n := min(len(part), MaxData)
		if err := s.write(FrameData, part[:n]); err != nil {
			return err
		}
		part = part[n:]
	}
	return nil
}

// SendEnd states that the body was sent whole.
func (s *Stream) SendEnd() error { return s.write(FrameEnd, nil) }

// SendFault ends the stream with a fault.
func (s *Stream) SendFault(err error) error {
	return s.Send(FrameFault, fault.From(err).ToWire(time.Now()))
}

// write sends a frame, after the ones that were held back.
func (s *Stream) write(frame Frame, data []byte) error {
	s.append(frame, data)
	return s.Flush()
}

// append puts a frame behind those that are held back.
func (s *Stream) append(frame Frame, data []byte) {
	var header [frameHeaderBytes]byte
	header[0] = byte(frame)
	binary.BigEndian.PutUint32(header[1:], uint32(len(data)))
	s.pending = append(s.pending, header[:]...)
	s.pending = append(s.pending, data...)
}

// Buffer puts a message behind those that are held back until the next send or
// flush: one write for several small frames saves packets and wake-ups.
func (s *Stream) Buffer(frame Frame, msg any) error {
	data, err := Encode(msg)
	if err != nil {
		return err
	}
	s.append(frame, data)
	return nil
}

// BufferData puts a part of a body behind those that are held back.
func (s *Stream) BufferData(part []byte) { s.append(FrameData, part) }

// Buffered returns how many bytes are held back.
func (s *Stream) Buffered() int { return len(s.pending) }

// Flush sends what is held back.
func (s *Stream) Flush() error {
	if len(s.pending) == 0 {
		return nil
	}
	_, err := s.raw.Write(s.pending)
	s.pending = s.pending[:0]
	if err != nil {
		return lostError(err)
	}
	return nil
}

func lostError(err error) *fault.Error {
	return fault.New(fault.Unavailable, "the connection to a peer was lost", "try another instance",
		fault.WithRan(fault.RanUnknown), fault.WithCause(err))
}

// Next receives a frame. The payload is valid until the next call. A fault frame
// is returned as its error.
func (s *Stream) Next() (Frame, []byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(s.r, header[:]); err != nil {
		return 0, nil, lostError(err)
	}
	frame := Frame(header[0])
	size := binary.BigEndian.Uint32(header[1:])
	if size > MaxMessage || frame == FrameData && size > MaxData {
		s.Abort()
		return 0, nil, fault.New(fault.Invalid, "a peer sent an oversized frame",
			"run the same version on every instance", fault.WithRan(fault.RanUnknown))
	}
	if int(size) > cap(s.payload) {
		s.payload = make([]byte, size)
	}
	s.payload = s.payload[:size]
	if _, err := io.ReadFull(s.r, s.payload); err != nil {
		return 0, nil, lostError(err)
	}
	if frame == FrameFault {
		var wire fault.Wire
		if err := Decode(s.payload, &wire); err != nil {
			return 0, nil, err
		}
		return frame, nil, wire.Err(time.Now())
	}
	return frame, s.payload, nil
}

// Receive receives a message in a frame of the given type.
func (s *Stream) Receive(want Frame, msg any) error {
	frame, data, err := s.Next()
	if err != nil {
		return err
	}
	if frame != want {
		s.Abort()
		return fault.New(fault.Invalid, fmt.Sprintf("a peer sent frame %d in place of %d", frame, want),
			"run the same version on every instance", fault.WithRan(fault.RanUnknown))
	}
	return Decode(data, msg)
}

// Close ends the sending side; what was sent still arrives.
func (s *Stream) Close() { _ = s.raw.Close() }

// Abort gives up both directions.
func (s *Stream) Abort() {
	s.raw.CancelWrite(resetCode)
	s.raw.CancelRead(resetCode)
	if s.release != nil {
		s.once.Do(s.release)
	}
}

// Body reads the data frames of a stream up to its end frame. A body that is cut
// short ends with an error, never with io.EOF.
type Body struct {
	stream *Stream
	rest   []byte
	done   bool
}

// NewBody returns a reader of the body that follows on the stream.
func NewBody(s *Stream) *Body { return &Body{stream: s} }

// Read reads the next bytes of the body.
func (b *Body) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.done {
			return 0, io.EOF
		}
		frame, data, err := b.stream.Next()
		if err != nil {
			return 0, err
		}
		switch frame {
		case FrameData:
			b.rest = data
		case FrameEnd:
			b.done = true
		default:
			return 0, fault.New(fault.Invalid, "a peer sent a wrong frame in a body",
				"run the same version on every instance", fault.WithRan(fault.RanUnknown))
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close ends a read that waits; the other side is told to send no more.
func (b *Body) Close() error {
	b.stream.raw.CancelRead(resetCode)
	return nil
}

// StopSending gives up the sending side. It is harmless after Close was
// acknowledged.
func (s *Stream) StopSending() { s.raw.CancelWrite(resetCode) }
