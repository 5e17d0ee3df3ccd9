// Package abuse keeps how often addresses brought forged signatures lately,
// in a fixed number of bytes however many addresses there are.
//
// It is a count-min sketch (Cormode and Muthukrishnan, 2005) with conservative
// update, of counters that halve every so often by themselves: each remembers
// the period it was last touched in. An address may be held for more suspect
// than it is, where it shares all its counters with others, and never for less.
// That costs it a later turn and not its request.
package abuse

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Micros is a moment or a span in microseconds of the Unix clock.
type Micros = int64

// Period is after which counts halve.
const HalfLife Micros = 10_000_000

const (
	rows  = 4
	width = 1 << 10 // counters in a row; a power of two
)

type counter struct {
	epoch uint32
	count uint32
}

// Sketch keeps the counts.
type Sketch struct {
	counters [rows][width]counter
	seed     uint64
}

// New makes a sketch; the seed keeps others from choosing what falls together.
func New(seed uint64) *Sketch { return &Sketch{seed: seed} }

// Prefix is the part of an address that is held responsible: a household or a
// site has a /24 (IPv4) or a /56 (IPv6) at least.
func Prefix(a netip.Addr) netip.Prefix {
	a = a.Unmap()
	bits := 24
	if a.Is6() {
		bits = 56
	}
	p, _ := a.WithZone("").Prefix(bits)
	return p
}

func (s *Sketch) indexes(p netip.Prefix) (index [rows]uint32) {
	var buf [17 + 8]byte
	a := p.Addr().As16()
	copy(buf[:], a[:])
	buf[16] = byte(p.Bits())
	for i := range 8 {
		buf[17+i] = byte(s.seed >> (8 * i))
	}
	h := xxhash.Sum64(buf[:])
	for i := range index {
		index[i] = uint32(h>>(16*i)) & (width - 1)
	}
	return index
}

func (c *counter) decayed(epoch uint32) uint32 {
	if age := epoch - c.epoch; age >= 32 {
		return 0
	} else {
		return c.count >> age
	}
}

// Count gives about how many forged signatures came from a prefix lately.
func (s *Sketch) Count(p netip.Prefix, now Micros) uint32 {
	epoch, lowest := uint32(now/HalfLife), ^uint32(0)
	for i, index := range s.indexes(p) {
		lowest = min(lowest, s.counters[i][index].decayed(epoch))
	}
	return lowest
}

// Add counts one more.
func (s *Sketch) Add(p netip.Prefix, now Micros) {
	epoch, n := uint32(now/HalfLife), s.Count(p, now)+1
	for i, index := range s.indexes(p) {
		c := &s.counters[i][index]
		*c = counter{epoch, max(c.decayed(epoch), n)}
	}
}

// Bytes is what a sketch takes.
const Size = rows * width * 8
