// Package slowclient decides which clients are too slow: whose request comes, or whose
// answer goes, at less than a least pace. One that is behind for a moment lives on
// credit. It tells a slow client from a slow network: where nearly all of a prefix
// of addresses are slow at once, a lower pace holds for them, as long as what they
// have waiting together stays within their part.
//
// Nothing is timed here. Whoever holds the transfers looks at each once a window,
// and keeps them in order of rank, so that the slowest are found at once.
package slowclient

import (
	"cmp"
	"net/netip"
)

// Micros is a moment or a span in microseconds.
type Micros = int64

// Config says what is too slow.
type Config struct {
	MinRate        float64 // bytes a second
	Window         Micros  // between two looks at a transfer
	Credit         Micros  // for so long nothing may move
	MaxPrefixBytes int64   // bytes that one prefix may have waiting while its network is slow
	MaxPrefixes    int     // prefixes that are known at a time
}

// Rank orders transfers by their pace of late.
type Rank uint8

// The ranks: under the least pace, under 4 and 16 times that, and faster.
const (
	Crawling Rank = iota
	Slow
	Fair
	Fast
	NumRanks
)

// Meter is what is kept of one transfer. Begin makes one.
type Meter struct {
	observedAt Micros
	moved      int64
	pending    int64   // of what waits, as counted for its prefix
	credit     float32 // s
	rate       float32 // bytes a second, of the last windows
	counted    bool    // it counts in its prefix
}

const (
	rateWeight         = 0.5       // of the last window in the rate
	halfLife           = 5_000_000 // us after which what is known of a prefix halves
	minNetworkSamples  = 16        // looks at a prefix lately, from which it can be a network's fault
	slowNetworkShare   = 0.75      // of them that were behind
	slowNetworkDivisor = 8         // what is left of the least pace there: an eighth
)

// crowd is what is known of a prefix.
type prefixStats struct {
	updatedAt     Micros
	samples, slow float64 // lately, halving
	pending       int64   // waiting, of the transfers that are metered
	transfers     int
}

// Pacer judges transfers.
type Detector struct {
	cfg       Config
	rankBase  float64 // the pace that ranks are counted from
	prefixes  map[netip.Prefix]*prefixStats
	lastSweep Micros
	pending   int64 // that all transfers have left
}

// rankLeast is where ranks begin when no least pace is set, bytes a second.
const defaultRankBase = 1000

// New makes a pacer. Without a least pace it ranks and ends nothing.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, rankBase: cmp.Or(cfg.MinRate, defaultRankBase), prefixes: map[netip.Prefix]*prefixStats{}}
}

// Window is the time between two looks at a transfer.
func (d *Detector) Window() Micros { return d.cfg.Window }

// Begin meters a transfer that has moved so much and has so much left. It must be
// ended.
func (d *Detector) Begin(prefix netip.Prefix, moved, pending int64, now Micros) Meter {
	c := d.stats(prefix, now)
	if c != nil {
		c.transfers++
		c.pending += pending
	}
	d.pending += pending
	return Meter{observedAt: now, pending: pending, moved: moved, credit: d.maxCredit(), rate: float32(16 * d.rankBase), counted: c != nil}
}

// End takes a transfer off its prefix's account.
func (d *Detector) End(m *Meter, prefix netip.Prefix) {
	if m.counted {
		c := d.prefixes[prefix]
		c.transfers--
		c.pending -= m.pending
	}
	d.pending -= m.pending
	*m = Meter{}
}

// most is the credit that a transfer has at most, in seconds at the least pace that
// holds for it.
func (d *Detector) maxCredit() float32 { return float32(float64(d.cfg.Credit) / 1e6) }

// Look judges a transfer that has moved so much in all and has so much left. Over
// tells that it is to be ended.
func (d *Detector) Observe(m *Meter, prefix netip.Prefix, moved, pending int64, now Micros) (r Rank, tooSlow bool) {
	elapsed := float64(now-m.observedAt) / 1e6
	if elapsed <= 0 { // the clock was set back: nothing is known of this window
		m.observedAt, m.moved = now, moved
		return d.rank(m), false
	}
	rate := float64(moved-m.moved) / elapsed
	m.rate += rateWeight * (float32(rate) - m.rate)
	m.observedAt, m.moved = now, moved
	minRate, added := d.cfg.MinRate, pending-m.pending
	m.pending = pending
	d.pending += added
	if m.counted {
		c := d.stats(prefix, now)
		c.pending += added
		c.samples++
		if rate < minRate {
			c.slow++
		}
		if c.samples >= minNetworkSamples && c.slow >= slowNetworkShare*c.samples {
			minRate /= slowNetworkDivisor
			if rate < d.cfg.MinRate && c.pending > d.cfg.MaxPrefixBytes {
				return d.rank(m), true // more than its part: it is not for the others to wait for
			}
		}
	}
	if minRate == 0 {
		return d.rank(m), false
	}
	m.credit = min(d.maxCredit(), m.credit+float32((rate/minRate-1)*elapsed))
	return d.rank(m), m.credit < 0
}

func (d *Detector) rank(m *Meter) Rank {
	switch rate := float64(m.rate); {
	case rate < d.rankBase:
		return Crawling
	case rate < 4*d.rankBase:
		return Slow
	case rate < 16*d.rankBase:
		return Fair
	}
	return Fast
}

// crowd gives what is known of a prefix, halved for the time since; nil where
// there is no room for one more.
func (d *Detector) stats(prefix netip.Prefix, now Micros) *prefixStats {
	c := d.prefixes[prefix]
	if c == nil {
		if len(d.prefixes) >= d.cfg.MaxPrefixes && now-d.lastSweep >= halfLife {
			d.lastSweep = now
			d.sweep()
		}
		if len(d.prefixes) >= d.cfg.MaxPrefixes {
			return nil
		}
		c = &prefixStats{updatedAt: now}
		d.prefixes[prefix] = c
	}
	for now-c.updatedAt >= halfLife {
		c.samples, c.slow, c.updatedAt = c.samples/2, c.slow/2, c.updatedAt+halfLife
		if c.samples < 1 {
			c.samples, c.slow, c.updatedAt = 0, 0, now
		}
	}
	return c
}

// sweep forgets the prefixes of which nothing is metered.
func (d *Detector) sweep() {
	for prefix, c := range d.prefixes {
		if c.transfers == 0 {
			delete(d.prefixes, prefix)
		}
	}
}

// Left is what all transfers have left, as last looked at.
func (d *Detector) PendingBytes() int64 { return d.pending }

// Known counts the prefixes of which something is kept.
func (d *Detector) Prefixes() int { return len(d.prefixes) }
