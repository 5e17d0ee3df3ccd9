package ephemeral

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"
)

// packet makes a packet of the protocol, with its length first.
func packet(words []uint32, rest ...byte) []byte {
	var b []byte
	for _, w := range words {
		b = binary.BigEndian.AppendUint32(b, w)
	}
	b = append(b, rest...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

// Guards against reads without a watch, after which a change is never seen, and against
// changes to other packets: the connect request may hold any number at the operation's
// offset.
func TestOnlyReadsSetWatches(t *testing.T) {
	connectPacket := packet([]uint32{0, opGetData, 7, 2000}, 0, 0)
	for name, c := range map[string]struct{ packet, want []byte }{
		"get data":        {packet([]uint32{1, opGetData, 2}, '/', 'a', 0), packet([]uint32{1, opGetData, 2}, '/', 'a', 1)},
		"get children":    {packet([]uint32{1, opGetChildren, 2}, '/', 'a', 0), packet([]uint32{1, opGetChildren, 2}, '/', 'a', 1)},
		"ping":            {packet([]uint32{1<<32 - 2, 11}), packet([]uint32{1<<32 - 2, 11})},
		"end of session":  {packet([]uint32{1, 1<<32 - 11}), packet([]uint32{1, 1<<32 - 11})},
		"other operation": {packet([]uint32{1, 3, 2}, '/', 'a', 0), packet([]uint32{1, 3, 2}, '/', 'a', 0)},
	} {
		near, far := net.Pipe()
		conn := &watchedConn{Conn: near}
		before := bytes.Clone(c.packet)
		go func() {
			_, _ = conn.Write(connectPacket)
			_, _ = conn.Write(c.packet)
			_ = conn.Close()
		}()
		got, err := io.ReadAll(far)
		if err != nil || !bytes.Equal(got, append(bytes.Clone(connectPacket), c.want...)) {
			t.Errorf("%s: got %v, %v, want %v", name, got, err, c.want)
		}
		if !bytes.Equal(c.packet, before) {
			t.Errorf("%s: the caller's packet was changed", name)
		}
	}
}
