package fleet

import (
	"encoding/binary"
	"errors"

	"cherryramp/internal/fleet/consensus"
)

// A message on the fleet's stream is its length (of kind and payload, 4 bytes, big-endian), its
// kind and its payload.
const (
	messageHeader   = 5
	maxMessageBytes = 16 << 20 // of one message; a snapshot of the largest fleet is far smaller
)

// ErrMessageLength is returned for a message that is empty or too long; its connection ends.
var ErrMessageLength = errors.New("fleet: a message's length is out of bounds")

func appendMessage(dst []byte, kind consensus.Kind, payload []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(1+len(payload)))
	return append(append(dst, byte(kind)), payload...)
}

// parseMessage parses the first message in b; used is 0 while it is incomplete.
func parseMessage(b []byte) (kind consensus.Kind, payload []byte, used int, err error) {
	if len(b) < 4 {
		return 0, nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(b))
	if length < 1 || length > maxMessageBytes {
		return 0, nil, 0, ErrMessageLength
	}
	if len(b) < 4+length {
		return 0, nil, 0, nil
	}
	return consensus.Kind(b[4]), b[messageHeader : 4+length], 4 + length, nil
}
