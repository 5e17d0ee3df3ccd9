// Package slowclient detects clients that send their request, or take their answer,
// at less than a minimum rate. A transfer has credit for short stalls. Slow networks
// are distinguished from slow clients: where nearly all transfers of an address prefix
// are slow at once, a lower minimum rate applies to them, as long as their pending
// bytes together stay within a bound.
//
// The package has no timers. The owner of the transfers calls Observe for each once
// per window, and keeps them ordered by rank, so that the slowest are found at once.
package slowclient

import (
	"cmp"
	"net/netip"
)

// Micros is a point in time or a duration in microseconds.
type Micros = int64

// Config defines which transfers are too slow.
type Config struct {
	MinRate        float64 // bytes per second; 0: none is too slow
	Window         Micros  // time between two observations of a transfer
	Credit         Micros  // how long a transfer may stall
	MaxPrefixBytes int64   // pending bytes that a prefix may have while its network is slow
	MaxPrefixes    int     // prefixes tracked at a time
}

// Rank orders transfers by their recent rate.
type Rank uint8

// The ranks: below the minimum rate, below 4 times and 16 times that, and faster.
const (
	Crawling Rank = iota
	Slow
	Fair
	Fast
	NumRanks // number of ranks
)

// Meter is the state of one transfer. Begin returns a new one.
type Meter struct {
	observedAt Micros
	moved      int64   // bytes transferred
	pending    int64   // bytes left to transfer
	credit     float32 // seconds
	rate       float32 // bytes per second, averaged over the last windows
	counted    bool    // included in the statistics of its prefix
}

const (
	rateWeight         = 0.5       // weight of the last window in the rate
	halfLife           = 5_000_000 // us, half-life of a prefix's samples
	minNetworkSamples  = 16        // recent samples of a prefix needed to find its network slow
	slowNetworkShare   = 0.75      // share of slow samples from which the network is slow
	slowNetworkDivisor = 8         // divisor of the minimum rate on a slow network
)

// prefixStats holds the statistics of one prefix.
type prefixStats struct {
	updatedAt     Micros
	samples, slow float64 // all and slow samples, halved each half-life
	pending       int64   // bytes left to transfer
	transfers     int     // transfers between Begin and End
}

// Detector detects slow transfers. It is not safe for concurrent use.
type Detector struct {
	cfg       Config
	rankBase  float64 // bytes per second, rate that the ranks are multiples of
	prefixes  map[netip.Prefix]*prefixStats
	lastSweep Micros
	pending   int64 // bytes that all transfers have left
}

// defaultRankBase is the rate, in bytes per second, that ranks are multiples of when
// no minimum rate is set.
const defaultRankBase = 1000

// New returns a Detector. Without a minimum rate it ranks transfers and finds none too slow.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, rankBase: cmp.Or(cfg.MinRate, defaultRankBase), prefixes: map[netip.Prefix]*prefixStats{}}
}

// Window returns the time between two observations of a transfer.
func (d *Detector) Window() Micros { return d.cfg.Window }

// Begin starts to track a transfer of which the given bytes have been moved and are
// pending. The caller must call End.
func (d *Detector) Begin(prefix netip.Prefix, moved, pending int64, now Micros) Meter {
	stats := d.stats(prefix, now)
	if stats != nil {
		stats.transfers++
		stats.pending += pending
	}
	d.pending += pending
	return Meter{observedAt: now, pending: pending, moved: moved, credit: d.maxCredit(), rate: float32(16 * d.rankBase), counted: stats != nil}
}

// End stops tracking a transfer and resets its meter.
func (d *Detector) End(m *Meter, prefix netip.Prefix) {
	if m.counted {
		stats := d.prefixes[prefix]
		stats.transfers--
		stats.pending -= m.pending
	}
	d.pending -= m.pending
	*m = Meter{}
}

// maxCredit returns the maximum credit of a transfer, in seconds at the minimum rate
// that applies to it.
func (d *Detector) maxCredit() float32 { return float32(float64(d.cfg.Credit) / 1e6) }

// Observe updates a transfer by the bytes that it has moved in all and has pending.
// It returns its rank and whether it is too slow and has to be ended.
func (d *Detector) Observe(m *Meter, prefix netip.Prefix, moved, pending int64, now Micros) (rank Rank, tooSlow bool) {
	elapsed := float64(now-m.observedAt) / 1e6
	if elapsed <= 0 { // the clock was set back: this window can't be measured
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
		stats := d.stats(prefix, now)
		stats.pending += added
		stats.samples++
		if rate < minRate {
			stats.slow++
		}
		if stats.samples >= minNetworkSamples && stats.slow >= slowNetworkShare*stats.samples {
			minRate /= slowNetworkDivisor
			if rate < d.cfg.MinRate && stats.pending > d.cfg.MaxPrefixBytes {
				return d.rank(m), true // the prefix holds more than its bound, at the expense of others
			}
		}
	}
	if minRate == 0 {
		return d.rank(m), false
	}
	m.credit = min(d.maxCredit(), m.credit+float32((rate/minRate-1)*elapsed))
	return d.rank(m), m.credit < 0
}

// rank returns the rank of a transfer's recent rate.
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

// stats returns the statistics of a prefix, decayed to now, or nil if the table is
// full.
func (d *Detector) stats(prefix netip.Prefix, now Micros) *prefixStats {
	stats := d.prefixes[prefix]
	if stats == nil {
		if len(d.prefixes) >= d.cfg.MaxPrefixes && now-d.lastSweep >= halfLife {
			d.lastSweep = now
			d.sweep()
		}
		if len(d.prefixes) >= d.cfg.MaxPrefixes {
			return nil
		}
		stats = &prefixStats{updatedAt: now}
		d.prefixes[prefix] = stats
	}
	for now-stats.updatedAt >= halfLife {
		stats.samples, stats.slow, stats.updatedAt = stats.samples/2, stats.slow/2, stats.updatedAt+halfLife
		if stats.samples < 1 {
			stats.samples, stats.slow, stats.updatedAt = 0, 0, now
		}
	}
	return stats
}

// sweep removes the prefixes without transfers.
func (d *Detector) sweep() {
	for prefix, stats := range d.prefixes {
		if stats.transfers == 0 {
			delete(d.prefixes, prefix)
		}
	}
}

// PendingBytes returns the bytes that all transfers have left, as last observed.
func (d *Detector) PendingBytes() int64 { return d.pending }

// Prefixes returns the number of prefixes in the table.
func (d *Detector) Prefixes() int { return len(d.prefixes) }
