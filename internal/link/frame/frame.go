// Package frame is the sites' own protocol on the wire: frames of bounded size, with
// heads in CBOR (RFC 8949). It reads and writes bytes and knows no connection, no
// stream's state and no clock.
//
// A frame is a length (of what follows), a kind, a stream and the moment at which it
// left by its sender's clock, in microseconds of any beginning; then its body. The
// figures are big-endian, of 4, 1, 4 and 8 bytes.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Kind says what a frame is.
type Kind uint8

// The kinds. Those marked with 0 belong to the connection and have stream 0, the
// others have one.
const (
	KindHello  Kind = iota + 1 // 0: the first of each side
	KindOpen                   // a request
	KindAnswer                 // the head of what became of it
	KindData                   // bytes of a request or an answer
	KindCredit                 // more may be sent, on a stream or, with 0, in all
	KindCancel                 // the request is given up
	KindQuery                  // what became of a try?
	KindStatus                 // the word on it
	KindOffer                  // 0: what the sender takes of what could cross
	KindPing                   // 0
	KindPong                   // 0
	KindLeave                  // 0: nothing new is taken on this connection
	kinds
)

const (
	headSize = 4 + fixed
	fixed    = 1 + 4 + 8
	// MostData bounds a data frame's bytes, MostHead any other's.
	MaxData = 16 << 10
	MaxHead = 4 << 10
)

// Errors of bytes that are no frame. None of them can be recovered from.
var (
	ErrLength = errors.New("frame: length out of bounds")
	ErrKind   = errors.New("frame: kind is not known")
	ErrStream = errors.New("frame: wrong stream for its kind")
)

// Frame is one. Body stands in the bytes that it was read from.
type Frame struct {
	Kind   Kind
	Stream uint32
	Sent   uint64 // by the sender's clock
	Body   []byte
}

// Append writes a frame.
func Append(dst []byte, f Frame) ([]byte, error) {
	if err := f.check(); err != nil {
		return dst, err
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(fixed+len(f.Body)))
	dst = append(dst, byte(f.Kind))
	dst = binary.BigEndian.AppendUint32(dst, f.Stream)
	dst = binary.BigEndian.AppendUint64(dst, f.Sent)
	return append(dst, f.Body...), nil
}

func (f *Frame) check() error {
	most := MaxHead
	if f.Kind == KindData {
		most = MaxData
	}
	alone := f.Kind == KindHello || f.Kind >= KindOffer
	switch {
	case f.Kind == 0 || f.Kind >= kinds:
		return ErrKind
	case len(f.Body) > most:
		return ErrLength
	case alone != (f.Stream == 0) && f.Kind != KindCredit:
		return ErrStream
	}
	return nil
}

// Parse reads a frame from the front of b; 0 are used while it is not whole. What
// can't become a frame is refused as early as that is seen.
func Parse(b []byte) (f Frame, used int, err error) {
	if len(b) >= 4 {
		if n := binary.BigEndian.Uint32(b); n < fixed || n > fixed+MaxData {
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

// Hello is what each side says first.
type Hello struct {
	Versions []uint16 `cbor:"1,keyasint"`
	Site     string   `cbor:"2,keyasint"`
	Epoch    uint64   `cbor:"3,keyasint"` // of its memory of what ran
	Window   uint32   `cbor:"4,keyasint"` // bytes that a stream may send ahead
	Total    uint32   `cbor:"5,keyasint"` // that all may
	Streams  uint32   `cbor:"6,keyasint"`
}

// Open is a request. Its bytes follow as data.
type Open struct {
	ID        uint64 `cbor:"1,keyasint"`
	Attempt   uint32 `cbor:"2,keyasint"`
	Epoch     uint64 `cbor:"3,keyasint"` // that it is sent to
	Class     string `cbor:"4,keyasint"`
	Object    string `cbor:"5,keyasint"`
	Part      int32  `cbor:"6,keyasint,omitempty"` // -1: it has none
	Group     uint8  `cbor:"7,keyasint,omitempty"`
	Remaining uint64 `cbor:"8,keyasint"` // us of its client's time
	Hops      uint8  `cbor:"9,keyasint"`
	Length    uint32 `cbor:"10,keyasint,omitempty"` // of its bytes
	Offset    uint32 `cbor:"11,keyasint,omitempty"` // from which of the answer's on
	Tag       string `cbor:"12,keyasint,omitempty"` // that the answer must have, where some of it is here
	MaxAge    uint64 `cbor:"13,keyasint,omitempty"` // us, the oldest copy that will do; 0: any
}

// Answer is the head of what became of a request. Its bytes follow as data.
type Answer struct {
	Outcome    uint8  `cbor:"1,keyasint"` // as the ledger has it
	Length     uint32 `cbor:"2,keyasint,omitempty"`
	Tag        string `cbor:"3,keyasint,omitempty"`
	Age        uint64 `cbor:"4,keyasint,omitempty"` // us since the store gave the copy out
	RetryAfter uint64 `cbor:"5,keyasint,omitempty"` // us to stay away, where it was refused
}

// Ask asks for a try.
type Query struct {
	ID      uint64 `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	Epoch   uint64 `cbor:"3,keyasint"` // that it was sent to
	Age     uint64 `cbor:"4,keyasint"` // us since then
}

// Tell is the word on a try. Bytes that are kept follow as data.
type Status struct {
	Kind    uint8  `cbor:"1,keyasint"` // as the ledger has it
	Outcome uint8  `cbor:"2,keyasint,omitempty"`
	Kept    bool   `cbor:"3,keyasint,omitempty"`
	Epoch   uint64 `cbor:"4,keyasint"` // under which it is said
	Length  uint32 `cbor:"5,keyasint,omitempty"`
}

// Credit lets so many more bytes be sent.
type Credit struct {
	Bytes uint32 `cbor:"1,keyasint"`
}

// Offer is the share that the sender takes of what could cross, in thousandths.
type Offer struct {
	Share uint16 `cbor:"1,keyasint"`
}

// Heads are strict: each field once and known, no lengths that are left open,
// nothing nested, nothing behind them.
var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16,
		UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[T any](x T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return x
}

// Head writes a head as a frame's body.
func EncodeHead(x any) ([]byte, error) { return encoder.Marshal(x) }

// Read reads a head from a frame's body; x is a pointer to the one of its kind.
func DecodeHead(f Frame, x any) error {
	if err := decoder.Unmarshal(f.Body, x); err != nil {
		return fmt.Errorf("frame: head of kind %d: %w", f.Kind, err)
	}
	return nil
}

// Versions are those that this program speaks.
var Versions = []uint16{1}

// ErrVersion tells that two sides have no version in common.
var ErrVersion = errors.New("frame: no version in common")

// Agree gives the highest version that both speak.
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
