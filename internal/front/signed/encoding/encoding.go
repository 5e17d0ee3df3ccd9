// Package encoding compresses answers and keeps what came of it, beside the
// copies that the gateway keeps. A variant is found by the copy it was made of,
// its tag and the moment the origin gave it out, so that no purge can be passed
// by: the copy itself is asked for first each time.
package encoding

import (
	"bytes"
	"compress/gzip"
	"container/list"
	"fmt"

	"github.com/andybalholm/brotli"
	"github.com/klauspost/compress/zstd"
)

// Smallest is the least size of a body that is worth it, in bytes.
const MinSize = 512

// The effort: what a core does in a few milliseconds for the largest object.
const (
	brotliLevel  = 4
	brotliWindow = 18 // a power of two, and no less than the largest object
	gzipLevel    = gzip.DefaultCompression
)

// Encode compresses a body. It takes milliseconds and may run on any goroutine.
func Encode(encoding string, body []byte) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(len(body) / 2)
	var err error
	switch encoding {
	case "br":
		w := brotli.NewWriterOptions(&b, brotli.WriterOptions{Quality: brotliLevel, LGWin: brotliWindow})
		if _, err = w.Write(body); err == nil {
			err = w.Close()
		}
	case "gzip":
		var w *gzip.Writer
		if w, err = gzip.NewWriterLevel(&b, gzipLevel); err != nil {
			break
		}
		if _, err = w.Write(body); err == nil {
			err = w.Close()
		}
	case "zstd":
		// A window no larger than the largest object keeps the encoder small.
		var w *zstd.Encoder
		w, err = zstd.NewWriter(&b, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10),
			zstd.WithLowerEncoderMem(true))
		if err != nil {
			break
		}
		if _, err = w.Write(body); err == nil {
			err = w.Close()
		}
	default:
		err = fmt.Errorf("%q is not known", encoding)
	}
	if err != nil {
		return nil, fmt.Errorf("encoding: %w", err)
	}
	return b.Bytes(), nil
}

// Of names a variant.
type Key struct {
	Object    string
	Part      int
	Tag       string
	CreatedAt int64
	Encoding  string
}

// Variants keeps encoded bodies, so many bytes at most, the latest used.
type Variants struct {
	most  int
	bytes int
	byOf  map[Key]*list.Element
	order *list.List // of *variant
}

type variant struct {
	of   Key
	body []byte // nil: encoding makes it no smaller
}

// cost is what a variant takes beside its bytes and names.
const cost = 256

// New makes room for so many bytes; with 0 nothing is kept.
func New(most int) *Variants {
	return &Variants{most: most, byOf: map[Key]*list.Element{}, order: list.New()}
}

// Find gives a variant; its body is nil where encoding does not help.
func (v *Variants) Get(of Key) (body []byte, known bool) {
	e := v.byOf[of]
	if e == nil {
		return nil, false
	}
	v.order.MoveToFront(e)
	return e.Value.(*variant).body, true
}

// Keep takes a variant in; a nil body says that encoding does not help.
func (v *Variants) Put(of Key, body []byte) {
	if v.byOf[of] != nil || v.size(of, body) > v.most/4 {
		return
	}
	v.byOf[of] = v.order.PushFront(&variant{of, body})
	v.bytes += v.size(of, body)
	for v.bytes > v.most {
		e := v.order.Back()
		x := v.order.Remove(e).(*variant)
		delete(v.byOf, x.of)
		v.bytes -= v.size(x.of, x.body)
	}
}

func (v *Variants) size(of Key, body []byte) int {
	return cost + len(of.Object) + len(of.Tag) + len(body)
}

// Bytes is what is held.
func (v *Variants) Bytes() int { return v.bytes }
