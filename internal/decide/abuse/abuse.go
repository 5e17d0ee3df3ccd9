// Package abuse counts events by address prefix, such as forged signatures, with
// exponential decay, in a fixed number of bytes for any number of addresses.
//
// It is a count-min sketch (Cormode and Muthukrishnan, 2005) with conservative
// update. The counters decay lazily: each stores the half-life period in which it was
// last updated. A prefix that shares all its counters with others is overestimated;
// none is underestimated. For forged signatures an overestimate costs a later turn in
// the queue and not the request.
package abuse

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Micros is a point in time in microseconds of the Unix clock, or a duration in
// microseconds.
type Micros = int64

// HalfLife is the period after which counts halve.
const HalfLife Micros = 10_000_000

const (
	rows  = 4
	width = 1 << 10 // counters in a row; a power of two
)

// counter is a count as of an epoch, the number of a half-life period.
type counter struct {
	epoch uint32
	count uint32
}

// Sketch holds the counts. It is not safe for concurrent use.
type Sketch struct {
	counters [rows][width]counter
	seed     uint64
}

// New returns an empty sketch. An unpredictable seed keeps attackers from choosing
// prefixes that collide.
func New(seed uint64) *Sketch { return &Sketch{seed: seed} }

// Prefix returns the prefix of an address that is held responsible for it: a
// household or a site has at least a /24 (IPv4) or a /56 (IPv6).
func Prefix(a netip.Addr) netip.Prefix {
	a = a.Unmap()
	bits := 24
	if a.Is6() {
		bits = 56
	}
	p, _ := a.WithZone("").Prefix(bits)
	return p
}

// indexes returns a prefix's counter in each row.
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

// decayed returns the count as of an epoch.
func (c *counter) decayed(epoch uint32) uint32 {
	if age := epoch - c.epoch; age >= 32 {
		return 0
	} else {
		return c.count >> age
	}
}

// Count returns the estimated decayed count of a prefix.
func (s *Sketch) Count(p netip.Prefix, now Micros) uint32 {
	epoch, lowest := uint32(now/HalfLife), ^uint32(0)
	for i, index := range s.indexes(p) {
		lowest = min(lowest, s.counters[i][index].decayed(epoch))
	}
	return lowest
}

// Add counts one event of a prefix.
func (s *Sketch) Add(p netip.Prefix, now Micros) {
	epoch, n := uint32(now/HalfLife), s.Count(p, now)+1
	for i, index := range s.indexes(p) {
		c := &s.counters[i][index]
		*c = counter{epoch, max(c.decayed(epoch), n)}
	}
}

// Size is the size of a sketch's counters in bytes.
const Size = rows * width * 8
