package frame

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// A frame must parse as it was written, wherever it is cut, without the bytes after it.
func TestTruncatedFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Frame{Kind: Kind(rapid.IntRange(1, int(numKinds)-1).Draw(t, "kind")), Sent: rapid.Uint64().Draw(t, "sent"),
			Body: rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "body")}
		if f.Kind != KindHello && f.Kind < KindOffer {
			f.Stream = rapid.Uint32Min(1).Draw(t, "stream")
		}
		text, err := Append(nil, f)
		if err != nil {
			t.Fatal(err)
		}
		for cut := range len(text) {
			if _, used, err := Parse(text[:cut]); used != 0 || err != nil {
				t.Fatalf("cut at %d: %d, %v", cut, used, err)
			}
		}
		got, used, err := Parse(append(bytes.Clone(text), "more"...))
		if err != nil || used != len(text) || got.Kind != f.Kind || got.Stream != f.Stream || got.Sent != f.Sent || !bytes.Equal(got.Body, f.Body) {
			t.Fatalf("%+v, %d, %v", got, used, err)
		}
	})
}

// Malformed frames must be rejected with the right error, as early as possible, and must not
// be encoded either.
func TestMalformedFrames(t *testing.T) {
	head := func(length uint32, kind Kind, stream byte) []byte {
		return []byte{byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length), byte(kind), 0, 0, 0, stream, 0, 0, 0, 0, 0, 0, 0, 0}
	}
	for _, x := range []struct {
		text []byte
		want error
	}{
		{[]byte{0xff, 0, 0, 0}, ErrLength}, {[]byte{0, 0, 0, 3}, ErrLength}, {head(fixedSize+MaxData+1, KindData, 1), ErrLength},
		{head(fixedSize+MaxHead+1, KindOpen, 1), ErrLength}, {head(fixedSize, 0, 1), ErrKind}, {head(fixedSize, numKinds, 0), ErrKind},
		{head(fixedSize, KindOpen, 0), ErrStream}, {head(fixedSize, KindHello, 1), ErrStream}, {head(fixedSize, KindPing, 3), ErrStream},
	} {
		if _, used, err := Parse(x.text); !errors.Is(err, x.want) || used != 0 {
			t.Errorf("%x: %d, %v, want %v", x.text, used, err, x.want)
		}
	}
	for _, f := range []Frame{{Kind: KindData, Stream: 1, Body: make([]byte, MaxData+1)}, {Kind: KindStatus, Stream: 1, Body: make([]byte, MaxHead+1)},
		{Kind: KindData}, {}} {
		if _, err := Append(nil, f); err == nil {
			t.Errorf("kind %d was encoded", f.Kind)
		}
	}
}

// Heads must decode as they were encoded, and malformed ones must be rejected.
func TestHeadEncoding(t *testing.T) {
	for _, x := range []any{&Hello{[]uint16{1, 2}, "north", 1 << 63, 1, 2, 3}, &Open{ID: 1 << 60, Attempt: 1, Epoch: 9, Class: "guide-video", Object: "9f3a", Part: -1,
		Group: 255, Remaining: 5_000_000, Hops: 1, Length: 3, Offset: 4, Tag: "t", MaxAge: 8}, &Answer{1, 240_000, "t", 3, 4}, &Query{1, 2, 3, 4}, &Status{3, 1, true, 9, 7},
		&Credit{1}, &Offer{1000}} {
		body, err := EncodeHead(x)
		if err != nil {
			t.Fatal(err)
		}
		again := reflect.New(reflect.TypeOf(x).Elem()).Interface()
		if err := DecodeHead(Frame{Body: body}, again); err != nil || !reflect.DeepEqual(again, x) {
			t.Errorf("%+v: got %+v, %v", x, again, err)
		}
		if err := DecodeHead(Frame{Body: append(body, 0)}, again); err == nil {
			t.Errorf("%T: trailing bytes were accepted", x)
		}
	}
	for name, body := range map[string][]byte{"a duplicate field": {0xa2, 1, 1, 1, 2}, "an unknown field": {0xa1, 0x18, 0x63, 1},
		"an indefinite length": {0xbf, 1, 1, 0xff}, "a tag": {0xc1, 0xa0}, "a negative number": {0xa1, 1, 0x20}, "no map": {1}, "nothing": {}} {
		if err := DecodeHead(Frame{Kind: KindCredit, Body: body}, &Credit{}); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	if v, err := NegotiateVersion([]uint16{0, 7, 1}); v != 1 || err != nil {
		t.Error(v, err)
	}
	if _, err := NegotiateVersion([]uint16{7}); !errors.Is(err, ErrVersion) {
		t.Error(err)
	}
}

// FuzzParse checks that arbitrary bytes cause no panic, and that parsed frames encode to the
// same bytes.
func FuzzParse(f *testing.F) {
	text, err := Append(nil, Frame{Kind: KindData, Stream: 7, Sent: 9, Body: []byte("bytes")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	body, err := EncodeHead(&Open{ID: 1, Class: "guide-video", Object: "9f3a"})
	if err != nil {
		f.Fatal(err)
	}
	text, err = Append(nil, Frame{Kind: KindOpen, Stream: 1, Body: body})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, b []byte) {
		x, used, err := Parse(b)
		if used == 0 || err != nil {
			return
		}
		if again, err := Append(nil, x); err != nil || !bytes.Equal(again, b[:used]) {
			t.Fatalf("%+v: %x, %v", x, again, err)
		}
		for _, head := range []any{&Hello{}, &Open{}, &Answer{}, &Query{}, &Status{}, &Credit{}, &Offer{}} {
			_ = DecodeHead(x, head)
		}
	})
}

// BenchmarkOpen measures encoding and decoding the open frame of a request.
func BenchmarkOpen(b *testing.B) {
	open := Open{ID: 1 << 60, Attempt: 1, Epoch: 1 << 60, Class: "guide-video", Object: "7f3a9c21e0b4d655", Part: 3, Group: 17, Remaining: 1_500_000, Hops: 1}
	var buf []byte
	for b.Loop() {
		body, err := EncodeHead(&open)
		if err != nil {
			b.Fatal(err)
		}
		if buf, err = Append(buf[:0], Frame{Kind: KindOpen, Stream: 1, Sent: 1, Body: body}); err != nil {
			b.Fatal(err)
		}
		f, _, err := Parse(buf)
		var x Open
		if err != nil || DecodeHead(f, &x) != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(buf)), "bytes")
}
