package encoding

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"testing"

	"github.com/andybalholm/brotli"
	"github.com/klauspost/compress/zstd"
	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// Checks that each format's own decoder restores the body.
func TestRoundTrip(t *testing.T) {
	decode := map[string]func(io.Reader) (io.Reader, error){
		"br":   func(r io.Reader) (io.Reader, error) { return brotli.NewReader(r), nil },
		"gzip": func(r io.Reader) (io.Reader, error) { return gzip.NewReader(r) },
		"zstd": func(r io.Reader) (io.Reader, error) { return zstd.NewReader(r) },
	}
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat(rapid.SliceOf(rapid.Byte()).Draw(t, "body"), rapid.IntRange(1, 500).Draw(t, "times"))
		for name, d := range decode {
			text, err := Encode(name, body)
			if err != nil {
				t.Fatal(err)
			}
			r, err := d(bytes.NewReader(text))
			if err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(r); err != nil || !bytes.Equal(got, body) {
				t.Fatalf("%s: %d bytes of %d, %v", name, len(got), len(body), err)
			}
		}
	})
	if _, err := Encode("deflate", nil); err == nil {
		t.Error("an unknown encoding was accepted")
	}
}

// Checks the bound, that the least recently used variants go first, that a variant of a
// newer copy is another one, and that an oversized variant is not kept.
func TestVariants(t *testing.T) {
	v := New(100_000)
	key := func(i int, createdAt int64) Key {
		return Key{Object: fmt.Sprint(i), Tag: "t", CreatedAt: createdAt, Encoding: "br"}
	}
	for i := range 50 {
		v.Put(key(i, 1), make([]byte, 5000))
		v.Get(key(0, 1))
	}
	if _, known := v.Get(key(0, 1)); !known || v.Bytes() > 100_000 {
		t.Errorf("the first was evicted, or %d bytes are held", v.Bytes())
	}
	if _, known := v.Get(key(1, 1)); known {
		t.Error("the second was not evicted")
	}
	if _, known := v.Get(key(0, 2)); known {
		t.Error("a newer copy found an older one's variant")
	}
	v.Put(key(99, 1), make([]byte, 60_000))
	if _, known := v.Get(key(99, 1)); known {
		t.Error("an oversized variant was kept")
	}
}

func BenchmarkEncode(b *testing.B) {
	var body []byte
	for i := 0; len(body) < 240_000; i++ {
		body = fmt.Appendf(body, ".c%d{margin:%dpx;color:#%06x}\n", i, i%40, i*7919)
	}
	for _, name := range []string{"br", "zstd", "gzip"} {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for b.Loop() {
				text, err := Encode(name, body)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(body))/float64(len(text)), "ratio")
			}
		})
	}
}
