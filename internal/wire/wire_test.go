package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"cherryramp/rules"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const sample = `00000047 00000003 0000000000805c5a 0000000c
	15 0003 5d3a91c4 00 00000000 91f03b7c55d20a64 0003a980 44200000 41300000 40400000 01
	14 0003 0000004d
	13 0005 0e6f2b19`

func TestDecode(t *testing.T) {
	b, err := Decode(unhex(t, sample))
	if err != nil {
		t.Fatal(err)
	}
	if b.Clock != 0x805c5a || b.Number != 12 || len(b.Events) != 3 {
		t.Fatalf("got clock %d, number %d, %d events", b.Clock, b.Number, len(b.Events))
	}
	want := rules.Request{ID: 0x5d3a91c4, Object: 0x91f03b7c55d20a64, Expires: 240000,
		Size: 640, Group: 11, Part: 3}
	if b.Events[0].Event != want || b.Events[0].Gateway != 3 {
		t.Errorf("request: got %+v", b.Events[0])
	}
	if b.Events[1].Event != (rules.Timer{Tag: 0x4d}) {
		t.Errorf("timer: got %+v", b.Events[1])
	}
	if b.Events[2].Event != (rules.Expired{ID: 0x0e6f2b19}) || b.Events[2].Gateway != 5 {
		t.Errorf("expired: got %+v", b.Events[2])
	}
}

func TestDecodeMalformed(t *testing.T) {
	good := unhex(t, sample)
	cut := append([]byte(nil), good[:len(good)-1]...)
	shorter := append([]byte(nil), cut...)
	shorter[3]--
	trailing := append(append([]byte(nil), good...), 0)
	longer := append([]byte(nil), trailing...)
	longer[3]++
	unknown := append([]byte(nil), good...)
	unknown[batchHeader] = 99
	huge := append([]byte{0xff, 0xff, 0xff, 0xff}, good[4:]...)
	tests := []struct {
		name, want string
		frame      []byte
	}{
		{"half a header", "header is truncated", good[:9]},
		{"frame cut", "frame is truncated", cut},
		{"last record cut", "record is truncated", shorter},
		{"bytes after the frame", "trail the frame", trailing},
		{"bytes after the last record", "trail the last record", longer},
		{"unknown code", "unknown code", unknown},
		{"oversized", "out of range", huge},
	}
	for _, tt := range tests {
		if _, err := Decode(tt.frame); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want %q", tt.name, err, tt.want)
		}
	}
	if _, err := ReadBatch(bytes.NewReader(nil), new(bytes.Buffer)); !errors.Is(err, io.EOF) {
		t.Errorf("end between frames: got %v", err)
	}
}

func TestReply(t *testing.T) {
	var r Reply
	r.Reset(12)
	r.Add(3, rules.Get{ID: 0x5d3a91c4, Server: 0x0a124a07232b, Timeout: 900000, Source: 0x0a9011f22354,
		KeepRank: 2, MaxAge: 1500000, Join: true, Revalidate: true})
	r.Add(3, rules.Refuse{ID: 0x0e6f2b19, RetryAfter: 250000})
	want := unhex(t, `00000037 00000002 0000000c
		59 0003 5d3a91c4 0a124a07 232b 000dbba0 0a9011f2 2354 02 0016e360 09
		50 0003 0e6f2b19 0003d090`)
	want[3] = byte(len(want))
	if got := r.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(unhex(f, sample))
	f.Add(unhex(f, `00000014 00000000 0000000000805c5a 00000001`))
	f.Add(unhex(f, `00000034 00000001 0000000000805c5a 00000001
		17 0003 02 0000000000000029 ffffffff 0a124a07 232b 0000 00000000`))
	f.Fuzz(func(t *testing.T, frame []byte) {
		b, err := Decode(frame)
		if err == nil && len(b.Events)*3 > len(frame) {
			t.Errorf("%d events out of %d bytes", len(b.Events), len(frame))
		}
	})
}
