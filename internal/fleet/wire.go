package fleet

import (
	"encoding/binary"
	"errors"

	"cherryramp/internal/fleet/consensus"
)

// A message on the fleet's stream is its length (of kind and payload, 4 bytes,
// big-endian), its kind and its payload.
const (
	wireHead = 5
	mostWire = 16 << 20 // bytes of a message: a snapshot of the largest fleet is far less
)

// ErrLength tells of a message that is empty or too long; its connection ends.
var ErrMessageLength = errors.New("fleet: a message's length is out of bounds")

func appendMessage(dst []byte, kind consensus.Kind, payload []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(1+len(payload)))
	return append(append(dst, byte(kind)), payload...)
}

// parseMessage reads a message from the front of b; 0 are used while it is not whole.
func parseMessage(b []byte) (kind consensus.Kind, payload []byte, used int, err error) {
	if len(b) < 4 {
		return 0, nil, 0, nil
	}
	n := int(binary.BigEndian.Uint32(b))
	if n < 1 || n > mostWire {
		return 0, nil, 0, ErrMessageLength
	}
	if len(b) < 4+n {
		return 0, nil, 0, nil
	}
	return consensus.Kind(b[4]), b[wireHead : 4+n], 4 + n, nil
}
