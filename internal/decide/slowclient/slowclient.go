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
	at     Micros
	moved  int64
	left   int64   // of what waits, as counted for its prefix
	credit float32 // s
	rate   float32 // bytes a second, of the last windows
	known  bool    // it counts in its prefix
}

const (
	rateWeight   = 0.5       // of the last window in the rate
	half         = 5_000_000 // us after which what is known of a prefix halves
	networkFrom  = 16        // looks at a prefix lately, from which it can be a network's fault
	networkShare = 0.75      // of them that were behind
	lenience     = 8         // what is left of the least pace there: an eighth
)

// crowd is what is known of a prefix.
type crowd struct {
	at          Micros
	looks, slow float64 // lately, halving
	left        int64   // waiting, of the transfers that are metered
	metered     int
}

// Pacer judges transfers.
type Detector struct {
	cfg    Config
	ranks  float64 // the pace that ranks are counted from
	crowds map[netip.Prefix]*crowd
	swept  Micros
	left   int64 // that all transfers have left
}

// rankLeast is where ranks begin when no least pace is set, bytes a second.
const rankLeast = 1000

// New makes a pacer. Without a least pace it ranks and ends nothing.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, ranks: cmp.Or(cfg.MinRate, rankLeast), crowds: map[netip.Prefix]*crowd{}}
}

// Window is the time between two looks at a transfer.
func (p *Detector) Window() Micros { return p.cfg.Window }

// Begin meters a transfer that has moved so much and has so much left. It must be
// ended.
func (p *Detector) Begin(from netip.Prefix, moved, left int64, now Micros) Meter {
	c := p.crowd(from, now)
	if c != nil {
		c.metered++
		c.left += left
	}
	p.left += left
	return Meter{at: now, left: left, moved: moved, credit: p.most(), rate: float32(16 * p.ranks), known: c != nil}
}

// End takes a transfer off its prefix's account.
func (p *Detector) End(m *Meter, from netip.Prefix) {
	if m.known {
		c := p.crowds[from]
		c.metered--
		c.left -= m.left
	}
	p.left -= m.left
	*m = Meter{}
}

// most is the credit that a transfer has at most, in seconds at the least pace that
// holds for it.
func (p *Detector) most() float32 { return float32(float64(p.cfg.Credit) / 1e6) }

// Look judges a transfer that has moved so much in all and has so much left. Over
// tells that it is to be ended.
func (p *Detector) Observe(m *Meter, from netip.Prefix, moved, left int64, now Micros) (r Rank, over bool) {
	spent := float64(now-m.at) / 1e6
	if spent <= 0 { // the clock was set back: nothing is known of this window
		m.at, m.moved = now, moved
		return p.rank(m), false
	}
	rate := float64(moved-m.moved) / spent
	m.rate += rateWeight * (float32(rate) - m.rate)
	m.at, m.moved = now, moved
	least, more := p.cfg.MinRate, left-m.left
	m.left = left
	p.left += more
	if m.known {
		c := p.crowd(from, now)
		c.left += more
		c.looks++
		if rate < least {
			c.slow++
		}
		if c.looks >= networkFrom && c.slow >= networkShare*c.looks {
			least /= lenience
			if rate < p.cfg.MinRate && c.left > p.cfg.MaxPrefixBytes {
				return p.rank(m), true // more than its part: it is not for the others to wait for
			}
		}
	}
	if least == 0 {
		return p.rank(m), false
	}
	m.credit = min(p.most(), m.credit+float32((rate/least-1)*spent))
	return p.rank(m), m.credit < 0
}

func (p *Detector) rank(m *Meter) Rank {
	switch rate := float64(m.rate); {
	case rate < p.ranks:
		return Crawling
	case rate < 4*p.ranks:
		return Slow
	case rate < 16*p.ranks:
		return Fair
	}
	return Fast
}

// crowd gives what is known of a prefix, halved for the time since; nil where
// there is no room for one more.
func (p *Detector) crowd(from netip.Prefix, now Micros) *crowd {
	c := p.crowds[from]
	if c == nil {
		if len(p.crowds) >= p.cfg.MaxPrefixes && now-p.swept >= half {
			p.swept = now
			p.sweep()
		}
		if len(p.crowds) >= p.cfg.MaxPrefixes {
			return nil
		}
		c = &crowd{at: now}
		p.crowds[from] = c
	}
	for now-c.at >= half {
		c.looks, c.slow, c.at = c.looks/2, c.slow/2, c.at+half
		if c.looks < 1 {
			c.looks, c.slow, c.at = 0, 0, now
		}
	}
	return c
}

// sweep forgets the prefixes of which nothing is metered.
func (p *Detector) sweep() {
	for from, c := range p.crowds {
		if c.metered == 0 {
			delete(p.crowds, from)
		}
	}
}

// Left is what all transfers have left, as last looked at.
func (p *Detector) PendingBytes() int64 { return p.left }

// Known counts the prefixes of which something is kept.
func (p *Detector) Prefixes() int { return len(p.crowds) }
