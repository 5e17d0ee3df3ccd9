package ephemeral

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"
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

// Guards against a dead server that is noticed ever later: only as long as first answers are
// missing, or come after the library's own time, may the next connection wait for longer.
func TestPatienceFollowsFirstAnswers(t *testing.T) {
	const own = 100 * time.Millisecond // the library's time
	for _, x := range []struct {
		name        string
		answerAfter time.Duration
		want        int64
	}{{"punctual", 0, 1}, {"late", 2 * own, 4}, {"missing", 10 * own, 8}} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			d := newDialer()
			d.patience.Store(4)
			client, server := net.Pipe()
			c := &watchedConn{Conn: client, dialer: d, started: true}
			time.AfterFunc(x.answerAfter, func() { _, _ = server.Write([]byte{0}) })
			t.Cleanup(func() { _, _ = client.Close(), server.Close() })
			for _, deadline := range []time.Time{time.Now().Add(own), {}, time.Now().Add(own)} {
				if err := c.SetReadDeadline(deadline); err != nil {
					t.Fatal(err)
				}
			}
			_, _ = c.Read(make([]byte, 1))
			if got := d.patience.Load(); got != x.want {
				t.Errorf("patience %d, want %d", got, x.want)
			}
		})
	}
}
