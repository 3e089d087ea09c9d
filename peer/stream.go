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

// The frames of every stream. Packages that define calls may number their own from
// FrameFirstCustom on.
const (
	FrameCall    Frame = iota + 1 // the name of the call, first frame of a stream
	FrameMessage                  // the request or the response of a unary call
	FrameFault                    // a fault.Wire, last frame of a stream
	FrameData                     // a part of a body
	FrameEnd                      // the body is complete
	FrameFirstCustom
)

const (
	frameHeaderBytes = 5 // type, and length of the payload in big-endian
	// MaxMessage is the largest encoded message in bytes. A whole set of
	// declarations is sent in several messages.
	MaxMessage = 4 << 20
	// MaxData is the largest part of a body in one frame, in bytes.
	MaxData         = 64 << 10
	readBufferBytes = 16 << 10
	maxNested       = 16      // levels in a message
	maxElements     = 1 << 20 // elements of an array or pairs of a map in a message
	resetCode       = quic.StreamErrorCode(1)
)

var decoder = mustDecoder()

// mustDecoder returns the CBOR decoder of all messages. Its limits bound the memory
// that a malformed message can take.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: maxNested, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode decodes one message. It returns a fault if the data is not valid CBOR for
// the type of msg.
func Decode(data []byte, msg any) error {
	if err := decoder.Unmarshal(data, msg); err != nil {
		return fault.New(fault.Invalid, "a message of a peer is not readable",
			"run the same version on every instance", fault.WithCause(err))
	}
	return nil
}

// Encode returns a message in CBOR.
func Encode(msg any) ([]byte, error) { return cbor.Marshal(msg) }

// Stream is the stream of one call with a peer. One goroutine may send while
// another receives.
type Stream struct {
	raw     *quic.Stream
	r       *bufio.Reader
	peer    string
	payload []byte // of the last received frame
	pending []byte // send buffer: encoded frames not yet written
	// release ends the use of the connection. It is nil on the accepting side.
	release func()
	once    sync.Once
}

// newStream returns a stream with the peer of the given name.
func newStream(raw *quic.Stream, peer string) *Stream {
	return &Stream{raw: raw, r: bufio.NewReaderSize(raw, readBufferBytes), peer: peer}
}

// Peer returns the name in the peer's certificate. At the side that opened the
// stream it is the name of its Target.
func (s *Stream) Peer() string { return s.peer }

// SetDeadline sets the time after which sending and receiving fail.
func (s *Stream) SetDeadline(at time.Time) { _ = s.raw.SetDeadline(at) }

// Context returns a context that is done when the sending side of the stream was
// closed or aborted, by either side, or the connection ended.
func (s *Stream) Context() context.Context { return s.raw.Context() }

// Send sends the buffered frames and a message in a frame of the given type.
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

// SendData sends a part of a body of any size, in as many frames as needed.
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

// SendEnd sends the frame that marks the body as complete.
func (s *Stream) SendEnd() error { return s.write(FrameEnd, nil) }

// SendFault sends err as a fault, which must be the last frame of the stream.
func (s *Stream) SendFault(err error) error {
	return s.Send(FrameFault, fault.From(err).ToWire(time.Now()))
}

// write sends the buffered frames and then this one.
func (s *Stream) write(frame Frame, data []byte) error {
	s.append(frame, data)
	return s.Flush()
}

// append adds a frame to the send buffer.
func (s *Stream) append(frame Frame, data []byte) {
	var header [frameHeaderBytes]byte
	header[0] = byte(frame)
	binary.BigEndian.PutUint32(header[1:], uint32(len(data)))
	s.pending = append(s.pending, header[:]...)
	s.pending = append(s.pending, data...)
}

// Buffer adds a message to the send buffer, which the next send or Flush writes.
// One write for several small frames saves packets and wake-ups.
func (s *Stream) Buffer(frame Frame, msg any) error {
	data, err := Encode(msg)
	if err != nil {
		return err
	}
	s.append(frame, data)
	return nil
}

// Buffered returns the number of bytes in the send buffer.
func (s *Stream) Buffered() int { return len(s.pending) }

// Flush writes the send buffer to the stream.
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

// lostError returns the fault for a stream that failed after the peer may have
// received part of it.
func lostError(err error) *fault.Error {
	return fault.New(fault.Unavailable, "the connection to a peer was lost", "try another instance",
		fault.WithExecution(fault.MaybeExecuted), fault.WithCause(err))
}

// Next receives a frame. The payload is valid until the next call. The fault in a
// fault frame is returned as the error.
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
			"run the same version on every instance", fault.WithExecution(fault.MaybeExecuted))
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

// Receive receives a message, which must be in a frame of the given type.
func (s *Stream) Receive(want Frame, msg any) error {
	frame, data, err := s.Next()
	if err != nil {
		return err
	}
	if frame != want {
		s.Abort()
		return fault.New(fault.Invalid, fmt.Sprintf("a peer sent frame %d in place of %d", frame, want),
			"run the same version on every instance", fault.WithExecution(fault.MaybeExecuted))
	}
	return Decode(data, msg)
}

// Close closes the sending side. What was sent before is still delivered.
func (s *Stream) Close() { _ = s.raw.Close() }

// Abort resets both directions of the stream and releases the connection. It may be
// called more than once.
func (s *Stream) Abort() {
	s.raw.CancelWrite(resetCode)
	s.raw.CancelRead(resetCode)
	if s.release != nil {
		s.once.Do(s.release)
	}
}

// Body reads the data frames of a stream up to its end frame. If the end frame is
// missing, the last Read returns an error other than io.EOF.
type Body struct {
	stream *Stream
	rest   []byte // of the last data frame, not yet read
	done   bool   // the end frame was received
}

// NewBody returns a Body that reads the stream from its next frame on.
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
				"run the same version on every instance", fault.WithExecution(fault.MaybeExecuted))
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close makes a blocked Read return and requests the peer to stop sending.
func (b *Body) Close() error {
	b.stream.raw.CancelRead(resetCode)
	return nil
}
