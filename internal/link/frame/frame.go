// Package frame encodes and decodes the frames of the protocol between sites. Frames are of
// bounded size, with heads in CBOR (RFC 8949). The package keeps no state of connections or
// streams and has no clock.
//
// A frame consists of a length (of all that follows it), a kind, a stream, the time at which
// it was sent, and its body. The time is in microseconds by the sender's clock, with any
// origin. The numbers are big-endian, of 4, 1, 4 and 8 bytes.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the type of a frame.
type Kind uint8

// The kinds of frames. Those marked with 0 belong to the connection and have stream 0. The
// others belong to a stream, but for KindCredit, which may have either.
const (
	KindHello  Kind = iota + 1 // 0: the first frame of each side
	KindOpen                   // a request
	KindAnswer                 // the head of the response
	KindData                   // bytes of a request or a response
	KindCredit                 // credit for more bytes on a stream or, with stream 0, on the connection
	KindCancel                 // cancels the request
	KindQuery                  // asks for the status of an attempt
	KindStatus                 // the status of an attempt
	KindOffer                  // 0: see Offer
	KindPing                   // 0
	KindPong                   // 0
	KindLeave                  // 0: no new requests are accepted on this connection
	numKinds
)

const (
	headSize  = 4 + fixedSize
	fixedSize = 1 + 4 + 8
	// MaxData is the maximum body of a data frame in bytes, MaxHead that of any other.
	MaxData = 16 << 10
	MaxHead = 4 << 10
)

// Errors for malformed frames. The connection can't be used after any of them.
var (
	ErrLength = errors.New("frame: length out of range")
	ErrKind   = errors.New("frame: unknown kind")
	ErrStream = errors.New("frame: wrong stream for this kind")
)

// Frame is one frame. The Body of a parsed frame is a slice of the parsed bytes.
type Frame struct {
	Kind   Kind
	Stream uint32
	Sent   uint64 // us, by the sender's clock
	Body   []byte
}

// Append appends an encoded frame to dst. It returns dst unchanged and an error if the frame
// is invalid.
func Append(dst []byte, f Frame) ([]byte, error) {
	if err := f.check(); err != nil {
		return dst, err
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(fixedSize+len(f.Body)))
	dst = append(dst, byte(f.Kind))
	dst = binary.BigEndian.AppendUint32(dst, f.Stream)
	dst = binary.BigEndian.AppendUint64(dst, f.Sent)
	return append(dst, f.Body...), nil
}

func (f *Frame) check() error {
	maxBody := MaxHead
	if f.Kind == KindData {
		maxBody = MaxData
	}
	connLevel := f.Kind == KindHello || f.Kind >= KindOffer
	switch {
	case f.Kind == 0 || f.Kind >= numKinds:
		return ErrKind
	case len(f.Body) > maxBody:
		return ErrLength
	case connLevel != (f.Stream == 0) && f.Kind != KindCredit:
		return ErrStream
	}
	return nil
}

// Parse parses a frame at the start of b and returns its size in bytes. used is 0 while the
// frame is incomplete. Malformed frames are rejected as early as possible.
func Parse(b []byte) (f Frame, used int, err error) {
	if len(b) >= 4 {
		if n := binary.BigEndian.Uint32(b); n < fixedSize || n > fixedSize+MaxData {
			return f, 0, ErrLength
		}
	}
	if len(b) < headSize {
		return f, 0, nil
	}
	size := 4 + int(binary.BigEndian.Uint32(b))
	f = Frame{Kind: Kind(b[4]), Stream: binary.BigEndian.Uint32(b[5:]), Sent: binary.BigEndian.Uint64(b[9:])}
	whole := len(b) >= size
	f.Body = b[headSize:min(size, len(b))]
	if err := f.check(); err != nil {
		return Frame{}, 0, err
	}
	if f.Kind != KindData && size-headSize > MaxHead {
		return Frame{}, 0, ErrLength
	}
	if !whole {
		return Frame{}, 0, nil
	}
	return f, size, nil
}

// Hello is the head of the first frame of each side.
type Hello struct {
	Versions []uint16 `cbor:"1,keyasint"`
	Site     string   `cbor:"2,keyasint"`
	Epoch    uint64   `cbor:"3,keyasint"` // of the sender's ledger
	Window   uint32   `cbor:"4,keyasint"` // bytes that a stream may send without further credit
	Total    uint32   `cbor:"5,keyasint"` // bytes that all streams together may
	Streams  uint32   `cbor:"6,keyasint"`
}

// Open is the head of a request. Its bytes follow as data.
type Open struct {
	ID        uint64 `cbor:"1,keyasint"`
	Attempt   uint32 `cbor:"2,keyasint"`
	Epoch     uint64 `cbor:"3,keyasint"` // of the ledger that it is sent to
	Class     string `cbor:"4,keyasint"`
	Object    string `cbor:"5,keyasint"`
	Part      int32  `cbor:"6,keyasint,omitempty"` // -1: none
	Group     uint8  `cbor:"7,keyasint,omitempty"`
	Remaining uint64 `cbor:"8,keyasint"` // us until the client gives up
	Hops      uint8  `cbor:"9,keyasint"`
	Length    uint32 `cbor:"10,keyasint,omitempty"` // bytes of the request
	Offset    uint32 `cbor:"11,keyasint,omitempty"` // first byte of the response that is wanted
	Tag       string `cbor:"12,keyasint,omitempty"` // that the response must have, if part of it was received before
	MaxAge    uint64 `cbor:"13,keyasint,omitempty"` // us, of a cached copy; 0: any
}

// Answer is the head of a response. Its bytes follow as data.
type Answer struct {
	Outcome    uint8  `cbor:"1,keyasint"` // as the ledger has it
	Length     uint32 `cbor:"2,keyasint,omitempty"`
	Tag        string `cbor:"3,keyasint,omitempty"`
	Age        uint64 `cbor:"4,keyasint,omitempty"` // us since the store sent the copy
	RetryAfter uint64 `cbor:"5,keyasint,omitempty"` // us, if the request was refused
}

// Query asks for the status of an attempt.
type Query struct {
	ID      uint64 `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	Epoch   uint64 `cbor:"3,keyasint"` // of the ledger that it was sent to
	Age     uint64 `cbor:"4,keyasint"` // us since it was sent
}

// Status is the status of an attempt. A response body that is kept follows as data.
type Status struct {
	Kind    uint8  `cbor:"1,keyasint"` // as the ledger has it
	Outcome uint8  `cbor:"2,keyasint,omitempty"`
	Kept    bool   `cbor:"3,keyasint,omitempty"`
	Epoch   uint64 `cbor:"4,keyasint"` // of the ledger that gives the status
	Length  uint32 `cbor:"5,keyasint,omitempty"`
}

// Credit allows the receiver to send more bytes.
type Credit struct {
	Bytes uint32 `cbor:"1,keyasint"`
}

// Offer is the share, in thousandths, of the requests that could be sent to the other site
// that the sender accepts.
type Offer struct {
	Share uint16 `cbor:"1,keyasint"`
}

// Decoding is strict: unknown and duplicate fields, indefinite lengths, tags and trailing
// bytes are errors.
var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16,
		UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[T any](x T, err error) T {
	if err != nil {
		panic(err) // can't happen: the options are constants
	}
	return x
}

// EncodeHead encodes a head as a frame's body.
func EncodeHead(x any) ([]byte, error) { return encoder.Marshal(x) }

// DecodeHead decodes the head in a frame's body. x is a pointer to the type of the frame's
// kind.
func DecodeHead(f Frame, x any) error {
	if err := decoder.Unmarshal(f.Body, x); err != nil {
		return fmt.Errorf("frame: head of kind %d: %w", f.Kind, err)
	}
	return nil
}

// Versions are the supported versions of the protocol.
var Versions = []uint16{1}

// ErrVersion is returned if two sides support no common version.
var ErrVersion = errors.New("frame: no version in common")

// NegotiateVersion returns the highest version that both sides support, or ErrVersion.
func NegotiateVersion(theirs []uint16) (version uint16, err error) {
	for _, v := range theirs {
		if slices.Contains(Versions, v) {
			version = max(version, v)
		}
	}
	if version == 0 {
		return 0, ErrVersion
	}
	return version, nil
}
