// Package encoding compresses answers and caches the results, beside the gateway's
// cache of copies. A variant's key has the tag and the origin time of the copy that it
// was made of, and the copy is fetched first each time, so a purge of the copy also
// invalidates its variants.
package encoding

import (
	"bytes"
	"compress/gzip"
	"container/list"
	"fmt"

	"github.com/andybalholm/brotli"
	"github.com/klauspost/compress/zstd"
)

// MinSize is the smallest body that is worth encoding, in bytes.
const MinSize = 512

// Levels at which one core encodes the largest object in a few milliseconds.
const (
	brotliLevel  = 4
	brotliWindow = 18 // log2 of the window, which covers the largest object
	gzipLevel    = gzip.DefaultCompression
)

// Encode compresses a body as br, gzip or zstd. It takes milliseconds and may run on
// any goroutine.
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
		err = fmt.Errorf("unknown encoding %q", encoding)
	}
	if err != nil {
		return nil, fmt.Errorf("encoding: %w", err)
	}
	return b.Bytes(), nil
}

// Key identifies a variant: the copy that it was made of, and the encoding.
type Key struct {
	Object    string
	Part      int
	Tag       string
	CreatedAt int64
	Encoding  string
}

// Variants is an LRU cache of encoded bodies, bounded in bytes.
type Variants struct {
	maxBytes int
	bytes    int
	entries  map[Key]*list.Element
	lru      *list.List // of *variant, most recently used first
}

type variant struct {
	key  Key
	body []byte // nil: encoding does not make it smaller
}

// entryOverhead is the memory of a variant besides its body and names, in bytes.
const entryOverhead = 256

// New makes a cache of at most maxBytes; with 0 it keeps nothing.
func New(maxBytes int) *Variants {
	return &Variants{maxBytes: maxBytes, entries: map[Key]*list.Element{}, lru: list.New()}
}

// Get gives a variant and whether it is known; its body is nil where encoding does not
// make it smaller.
func (v *Variants) Get(key Key) (body []byte, known bool) {
	e := v.entries[key]
	if e == nil {
		return nil, false
	}
	v.lru.MoveToFront(e)
	return e.Value.(*variant).body, true
}

// Put adds a variant, and evicts others to make room. A nil body means that encoding does
// not make it smaller. A variant of more than a quarter of the cache is not kept.
func (v *Variants) Put(key Key, body []byte) {
	if v.entries[key] != nil || v.size(key, body) > v.maxBytes/4 {
		return
	}
	v.entries[key] = v.lru.PushFront(&variant{key, body})
	v.bytes += v.size(key, body)
	for v.bytes > v.maxBytes {
		e := v.lru.Back()
		x := v.lru.Remove(e).(*variant)
		delete(v.entries, x.key)
		v.bytes -= v.size(x.key, x.body)
	}
}

func (v *Variants) size(key Key, body []byte) int {
	return entryOverhead + len(key.Object) + len(key.Tag) + len(body)
}

// Bytes is the memory of all variants.
func (v *Variants) Bytes() int { return v.bytes }
