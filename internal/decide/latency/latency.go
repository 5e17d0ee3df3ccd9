// Package latency decides in which order a region's clients should go to the edges that can
// serve them, by what fronts measure in requests that they serve anyway.
//
// What is measured fades (forward decay, Cormode and others, 2009) and is kept as
// sketches that merge (DDSketch, Masson and others, 2019), so that a site's word is that of
// its fronts added up. One front's word weighs no more than a stated number of requests.
// Where a pair is not known, what is known of the region above counts in its place
// (shrinkage by weight). An order is by latency and by room, and its shares move at a
// bounded pace: latency alone herds everybody to one place (Donar, 2010).
package latency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// Micros is a span, or a moment of one process's own clock, in microseconds.
type Micros = int64

// Rules are what paths go by.
type Rules struct {
	HalfLife          Micros  // half life of what was measured
	OrderTTL          Micros  // after which an order is not gone by
	ExploreShare      float64 // part of a region's requests that try edges not seen lately
	MaxShiftPerSecond float64 // part of a region's share that may move in a second
	MaxFrontWeight    float64 // that one front's word counts at most, in requests
}

// Bounds.
const (
	MaxPairs    = 4096 // regions times edges that one process knows
	accuracy    = 0.02 // relative, of a sketch's quantiles
	maxBins     = 512
	priorWeight = 20 // requests that what is known of the region above counts as
	minWeight   = 0.05
)

// Pair is a region and an edge.
type Pair struct {
	Region string `cbor:"1,keyasint"`
	Edge   string `cbor:"2,keyasint"`
}

// Sample is one request's latency between them.
type Sample struct {
	Pair
	Latency Micros
}

// Summary is what is known of one pair.
type Summary struct {
	Pair   Pair    `cbor:"1,keyasint"`
	Weight float64 `cbor:"2,keyasint"` // requests, decayed
	Sketch []byte  `cbor:"3,keyasint"`
}

var indexMapping = func() mapping.IndexMapping {
	m, err := mapping.NewLogarithmicMapping(accuracy)
	if err != nil {
		panic(err) // the accuracy is a constant
	}
	return m
}()

func newSketch() *ddsketch.DDSketch {
	return ddsketch.NewDDSketch(indexMapping, store.NewCollapsingLowestDenseStore(maxBins), store.NewCollapsingLowestDenseStore(1))
}

// known is one pair as a process has it.
type pairSketch struct {
	sketch    *ddsketch.DDSketch
	decayedAt Micros
}

// Model is what one front measured itself.
type Model struct {
	rules Rules
	pairs map[Pair]*pairSketch
}

// NewModel makes an empty one.
func NewModel(r Rules) *Model { return &Model{rules: r, pairs: map[Pair]*pairSketch{}} }

func (m *Model) decay(k *pairSketch, now Micros) {
	if f := math.Exp2(-float64(now-k.decayedAt) / float64(m.rules.HalfLife)); f < 0.98 {
		_ = k.sketch.Reweight(f) // which only refuses what is not above 0
		k.decayedAt = now
	}
}

// Add takes samples in.
func (m *Model) Add(list []Sample, now Micros) {
	for _, x := range list {
		k := m.pairs[x.Pair]
		if k == nil {
			if len(m.pairs) >= MaxPairs {
				m.Prune(now)
				if len(m.pairs) >= MaxPairs {
					continue
				}
			}
			k = &pairSketch{newSketch(), now}
			m.pairs[x.Pair] = k
		}
		m.decay(k, now)
		_ = k.sketch.Add(float64(max(1, x.Latency))) // it is in range
	}
}

// Sweep forgets what has faded.
func (m *Model) Prune(now Micros) {
	maps.DeleteFunc(m.pairs, func(_ Pair, k *pairSketch) bool {
		m.decay(k, now)
		return k.sketch.GetCount() < minWeight
	})
}

// Tell is what this front says of all pairs.
func (m *Model) Summaries(now Micros) (list []Summary) {
	m.Prune(now)
	for p, k := range m.pairs {
		list = append(list, summary(p, k.sketch))
	}
	sortSummaries(list)
	return list
}

func summary(p Pair, s *ddsketch.DDSketch) Summary {
	var b []byte
	s.Encode(&b, true)
	return Summary{Pair: p, Weight: s.GetCount(), Sketch: b}
}

func sortSummaries(list []Summary) {
	slices.SortFunc(list, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Pair.Region, b.Pair.Region), cmp.Compare(a.Pair.Edge, b.Pair.Edge))
	})
}

// mostSketch bounds a sketch on the wire, in bytes.
const maxSketchBytes = 8 << 10

func (s *Summary) sketch() *ddsketch.DDSketch {
	if len(s.Sketch) > maxSketchBytes || !(s.Weight > 0 && s.Weight < 1e12) {
		return nil
	}
	x, err := ddsketch.DecodeDDSketch(s.Sketch, func() store.Store { return store.NewCollapsingLowestDenseStore(maxBins) }, indexMapping)
	if err != nil || x.IsEmpty() {
		return nil
	}
	return x
}

// Merge adds up what roles say. What a front says is cut to the most that one counts; a
// site's word has been cut front by front already.
func Merge(r Rules, fronts, sites [][]Summary) (out []Summary) {
	all := map[Pair]*ddsketch.DDSketch{}
	add := func(list []Summary, most float64) {
		for _, s := range list[:min(len(list), MaxPairs)] {
			x := s.sketch()
			if x == nil {
				continue
			}
			if n := x.GetCount(); most > 0 && n > most {
				_ = x.Reweight(most / n)
			}
			t := all[s.Pair]
			if t == nil {
				if len(all) >= MaxPairs {
					continue
				}
				t = newSketch()
				all[s.Pair] = t
			}
			_ = t.MergeWith(x) // of one shape
		}
	}
	for _, list := range fronts {
		add(list, r.MaxFrontWeight)
	}
	for _, list := range sites {
		add(list, 0)
	}
	for p, s := range all {
		out = append(out, summary(p, s))
	}
	sortSummaries(out)
	return out
}

// Share is one edge in a region's order.
type Share struct {
	Edge     string  `cbor:"1,keyasint" json:"edge"`
	Share    float64 `cbor:"2,keyasint" json:"share"`
	Median   float64 `cbor:"3,keyasint" json:"took_us"` // its median, with what stands for what is not known
	Weight   float64 `cbor:"4,keyasint" json:"weight"`
	Capacity float64 `cbor:"5,keyasint" json:"room"`
}

// Order is how a region's clients should go, the largest share first.
type Order struct {
	Region    string  `cbor:"1,keyasint" json:"region"`
	Edges     []Share `cbor:"2,keyasint" json:"edges"`
	Remaining Micros  `cbor:"3,keyasint" json:"left_us"` // from when who is told asked
}

// Planner is the root's: it has shares follow what is known.
type Planner struct {
	rules      Rules
	shares     map[string]map[string]float64
	steppedAt  Micros
	TotalShift float64 // shares that moved, added up: swings
}

// NewPlanner makes one.
func NewPlanner(r Rules) *Planner { return &Planner{rules: r, shares: map[string]map[string]float64{}} }

// estimate is a pair's median in us, and its weight.
type estimate struct{ median, weight float64 }

// Step gives every region's order. Room is what part of an edge can be used, 0 to 1, by
// verdicts and limits; 1 where nothing is known.
func (p *Planner) Step(list []Summary, room func(edge string) float64, now Micros) (out []Order) {
	own := map[Pair]estimate{}
	edges, regions := map[string]bool{}, map[string]bool{}
	above := map[Pair][]estimate{}
	for _, s := range list {
		x := s.sketch()
		if x == nil {
			continue
		}
		took, err := x.GetValueAtQuantile(0.5)
		if err != nil {
			continue
		}
		e := estimate{took, x.GetCount()}
		own[s.Pair] = e
		edges[s.Pair.Edge], regions[s.Pair.Region] = true, true
		for r := s.Pair.Region; r != ""; {
			r = r[:max(0, strings.LastIndexByte(r, '/'))]
			above[Pair{r, s.Pair.Edge}] = append(above[Pair{r, s.Pair.Edge}], e)
		}
	}
	span := float64(max(0, now-p.steppedAt)) / 1e6
	if p.steppedAt == 0 {
		span = 0
	}
	p.steppedAt = now
	for _, r := range slices.Sorted(maps.Keys(regions)) {
		o := Order{Region: r, Remaining: p.rules.OrderTTL}
		for _, e := range slices.Sorted(maps.Keys(edges)) {
			x := shrunkEstimate(own, above, r, e)
			o.Edges = append(o.Edges, Share{Edge: e, Median: x.median, Weight: x.weight, Capacity: min(1, max(0, room(e)))})
		}
		p.setTargetShares(&o)
		p.limitShift(&o, span)
		slices.SortStableFunc(o.Edges, func(a, b Share) int { return cmp.Or(-cmp.Compare(a.Share, b.Share), cmp.Compare(a.Edge, b.Edge)) })
		out = append(out, o)
	}
	maps.DeleteFunc(p.shares, func(r string, _ map[string]float64) bool { return !regions[r] })
	return out
}

// shrunk is a pair's estimate, drawn to what is known of the regions above by how little
// is known of it.
func shrunkEstimate(own map[Pair]estimate, above map[Pair][]estimate, region, edge string) estimate {
	x := own[Pair{region, edge}]
	for r := region; ; {
		if r == "" {
			return x
		}
		r = r[:max(0, strings.LastIndexByte(r, '/'))]
		total, sum := 0.0, 0.0
		for _, e := range above[Pair{r, edge}] {
			total += e.weight
			sum += e.weight * math.Log(e.median)
		}
		if total < 1 {
			continue
		}
		mean := math.Exp(sum / total)
		if x.weight == 0 {
			return estimate{median: mean}
		}
		w := x.weight / (x.weight + priorWeight)
		return estimate{math.Exp(w*math.Log(x.median) + (1-w)*math.Log(mean)), x.weight}
	}
}

// aim sets the shares that an order should come to: mostly to the quickest with room, by
// how much quicker it is, and a little to each so that it is seen.
func (p *Planner) setTargetShares(o *Order) {
	best := math.Inf(1)
	for _, s := range o.Edges {
		if s.Capacity > 0 && s.Median > 0 {
			best = min(best, s.Median)
		}
	}
	total := 0.0
	for i := range o.Edges {
		s := &o.Edges[i]
		took := s.Median
		if took == 0 {
			took = best * 2 // not known at all
		}
		s.Share = s.Capacity * math.Exp(-max(0, took-best)/max(2000, best*0.25))
		total += s.Share
	}
	n := float64(len(o.Edges))
	for i := range o.Edges {
		s := &o.Edges[i]
		if total > 0 {
			s.Share /= total
		} else {
			s.Share = 1 / n
		}
		s.Share = s.Share*(1-p.rules.ExploreShare) + p.rules.ExploreShare/n
	}
}

// move has shares go to where they should be, no faster than they may.
func (p *Planner) limitShift(o *Order, span float64) {
	was := p.shares[o.Region]
	next := map[string]float64{}
	if was != nil {
		moved := 0.0
		for _, s := range o.Edges {
			moved += math.Abs(s.Share - was[s.Edge])
		}
		moved /= 2
		part := 1.0
		if most := p.rules.MaxShiftPerSecond * span; moved > most {
			part = most / moved
		}
		p.TotalShift += moved * part
		for i := range o.Edges {
			s := &o.Edges[i]
			s.Share = was[s.Edge] + (s.Share-was[s.Edge])*part
		}
	}
	for _, s := range o.Edges {
		next[s.Edge] = s.Share
	}
	p.shares[o.Region] = next
}

// Map is the orders that one process was told. The zero value holds none.
type OrderCache struct {
	byRegion  map[string]Order
	expiresAt Micros
	stamp     Micros
}

// Told takes in what a keeper told in answer to a stamp of this process's own clock.
func (m *OrderCache) Update(list []Order, stamp, most Micros) {
	if stamp <= m.stamp {
		return
	}
	m.stamp, m.byRegion, m.expiresAt = stamp, map[string]Order{}, 0
	for _, o := range list[:min(len(list), MaxPairs)] {
		m.byRegion[o.Region] = o
		m.expiresAt = stamp + min(o.Remaining, most)
	}
}

// Of is the order for a region; ok is false where there is none that holds: then by own
// sight, and then by the static order. A region that is not known goes by the one above.
func (m *OrderCache) Lookup(region string, now Micros) (o Order, ok bool) {
	if now >= m.expiresAt {
		return o, false
	}
	for r := region; ; r = r[:max(0, strings.LastIndexByte(r, '/'))] {
		if o, ok = m.byRegion[r]; ok {
			o.Remaining = m.expiresAt - now
			return o, true
		}
		if r == "" {
			return o, false
		}
	}
}

// All gives the orders that hold, to be told on.
func (m *OrderCache) All(now Micros) (list []Order) {
	if now >= m.expiresAt {
		return nil
	}
	for _, r := range slices.Sorted(maps.Keys(m.byRegion)) {
		o := m.byRegion[r]
		o.Remaining = m.expiresAt - now
		list = append(list, o)
	}
	return list
}
