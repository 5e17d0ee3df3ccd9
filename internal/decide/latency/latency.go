// Package latency decides which share of a region's clients should go to which edge, from
// latencies that fronts measure on the requests that they serve.
//
// Measurements decay exponentially (forward decay, Cormode et al., 2009) and are held in
// mergeable sketches (DDSketch, Masson et al., 2019), so a site's summary is the merge of
// its fronts' summaries. The weight of a single front is capped. An estimate with little
// data is shrunk towards that of the enclosing region. Shares depend on latency and on
// capacity and change at a bounded rate, since routing by latency alone sends all clients
// to one place (Donar, 2010).
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

// Micros is a duration, or a time on the process's own clock, in microseconds.
type Micros = int64

// Rules are the parameters of path selection.
type Rules struct {
	HalfLife          Micros  // half-life of measurements
	OrderTTL          Micros  // how long an order may be used
	ExploreShare      float64 // fraction of a region's requests spread evenly over all edges, so that each is measured
	MaxShiftPerSecond float64 // fraction of a region's requests that may move per second
	MaxFrontWeight    float64 // maximum weight of one front's summary, in requests
}

// Limits and accuracy.
const (
	MaxPairs    = 4096 // region and edge pairs held by one process
	accuracy    = 0.02 // relative accuracy of a sketch's quantiles
	maxBins     = 512
	priorWeight = 20 // weight, in requests, of the enclosing region's estimate
	minWeight   = 0.05
)

// Pair identifies a path: a client region and an edge.
type Pair struct {
	Region string `cbor:"1,keyasint"`
	Edge   string `cbor:"2,keyasint"`
}

// Sample is the latency of one request of a pair.
type Sample struct {
	Pair
	Latency Micros
}

// Summary is the latency distribution of one pair.
type Summary struct {
	Pair   Pair    `cbor:"1,keyasint"`
	Weight float64 `cbor:"2,keyasint"` // decayed number of requests
	Sketch []byte  `cbor:"3,keyasint"`
}

var indexMapping = func() mapping.IndexMapping {
	m, err := mapping.NewLogarithmicMapping(accuracy)
	if err != nil {
		panic(err) // cannot happen: the accuracy is a valid constant
	}
	return m
}()

func newSketch() *ddsketch.DDSketch {
	return ddsketch.NewDDSketch(indexMapping, store.NewCollapsingLowestDenseStore(maxBins), store.NewCollapsingLowestDenseStore(1))
}

// pairSketch is the decaying sketch of one pair.
type pairSketch struct {
	sketch    *ddsketch.DDSketch
	decayedAt Micros
}

// Model holds the measurements of one front.
type Model struct {
	rules Rules
	pairs map[Pair]*pairSketch
}

// NewModel returns an empty Model.
func NewModel(r Rules) *Model { return &Model{rules: r, pairs: map[Pair]*pairSketch{}} }

func (m *Model) decay(k *pairSketch, now Micros) {
	if f := math.Exp2(-float64(now-k.decayedAt) / float64(m.rules.HalfLife)); f < 0.98 {
		_ = k.sketch.Reweight(f) // fails only for factors that are not positive
		k.decayedAt = now
	}
}

// Add records samples. Samples of new pairs are dropped while MaxPairs pairs are held.
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
		_ = k.sketch.Add(float64(max(1, x.Latency))) // the value is in the sketch's range
	}
}

// Prune removes pairs whose weight has decayed below minWeight.
func (m *Model) Prune(now Micros) {
	maps.DeleteFunc(m.pairs, func(_ Pair, k *pairSketch) bool {
		m.decay(k, now)
		return k.sketch.GetCount() < minWeight
	})
}

// Summaries returns the summaries of all pairs, ordered by pair.
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

// maxSketchBytes bounds the size of an encoded sketch.
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

// Merge merges summaries by pair. Each front's weight is capped at MaxFrontWeight; sites'
// summaries are not capped, since their fronts' weights already were.
func Merge(r Rules, fronts, sites [][]Summary) (out []Summary) {
	all := map[Pair]*ddsketch.DDSketch{}
	add := func(list []Summary, maxWeight float64) {
		for _, s := range list[:min(len(list), MaxPairs)] {
			x := s.sketch()
			if x == nil {
				continue
			}
			if n := x.GetCount(); maxWeight > 0 && n > maxWeight {
				_ = x.Reweight(maxWeight / n)
			}
			t := all[s.Pair]
			if t == nil {
				if len(all) >= MaxPairs {
					continue
				}
				t = newSketch()
				all[s.Pair] = t
			}
			_ = t.MergeWith(x) // all sketches have the same mapping
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

// Share is the part of a region's requests that one edge should serve.
type Share struct {
	Edge     string  `cbor:"1,keyasint" json:"edge"`
	Share    float64 `cbor:"2,keyasint" json:"share"`
	Median   float64 `cbor:"3,keyasint" json:"took_us"` // estimated median in microseconds, shrunk towards the enclosing region's
	Weight   float64 `cbor:"4,keyasint" json:"weight"`
	Capacity float64 `cbor:"5,keyasint" json:"room"`
}

// Order lists the edges for a region's clients, the largest share first.
type Order struct {
	Region    string  `cbor:"1,keyasint" json:"region"`
	Edges     []Share `cbor:"2,keyasint" json:"edges"`
	Remaining Micros  `cbor:"3,keyasint" json:"left_us"` // validity, from the time of the receiver's request
}

// Planner runs at the root's owner and adjusts shares to the measured latencies.
type Planner struct {
	rules      Rules
	shares     map[string]map[string]float64
	steppedAt  Micros
	TotalShift float64 // sum of all changes of shares
}

// NewPlanner returns a Planner without shares.
func NewPlanner(r Rules) *Planner { return &Planner{rules: r, shares: map[string]map[string]float64{}} }

// estimate is a pair's median in microseconds, and its weight.
type estimate struct{ median, weight float64 }

// Step returns the order of every region. Capacity returns an edge's usable fraction, 0 to
// 1, by verdicts and limits; 1 if nothing is known about it.
func (planner *Planner) Step(list []Summary, capacity func(edge string) float64, now Micros) (out []Order) {
	estimates := map[Pair]estimate{}
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
		estimates[s.Pair] = e
		edges[s.Pair.Edge], regions[s.Pair.Region] = true, true
		for r := s.Pair.Region; r != ""; {
			r = r[:max(0, strings.LastIndexByte(r, '/'))]
			above[Pair{r, s.Pair.Edge}] = append(above[Pair{r, s.Pair.Edge}], e)
		}
	}
	span := float64(max(0, now-planner.steppedAt)) / 1e6
	if planner.steppedAt == 0 {
		span = 0
	}
	planner.steppedAt = now
	for _, r := range slices.Sorted(maps.Keys(regions)) {
		o := Order{Region: r, Remaining: planner.rules.OrderTTL}
		for _, e := range slices.Sorted(maps.Keys(edges)) {
			x := shrunkEstimate(estimates, above, r, e)
			o.Edges = append(o.Edges, Share{Edge: e, Median: x.median, Weight: x.weight, Capacity: min(1, max(0, capacity(e)))})
		}
		planner.setTargetShares(&o)
		planner.limitShift(&o, span)
		slices.SortStableFunc(o.Edges, func(a, b Share) int { return cmp.Or(-cmp.Compare(a.Share, b.Share), cmp.Compare(a.Edge, b.Edge)) })
		out = append(out, o)
	}
	maps.DeleteFunc(planner.shares, func(r string, _ map[string]float64) bool { return !regions[r] })
	return out
}

// shrunkEstimate returns a pair's estimate, shrunk towards that of the nearest enclosing
// region with data; the less weight the pair has, the more.
func shrunkEstimate(estimates map[Pair]estimate, above map[Pair][]estimate, region, edge string) estimate {
	x := estimates[Pair{region, edge}]
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

// setTargetShares sets the shares that an order should converge to: they fall
// exponentially with the latency above that of the fastest edge with capacity, and
// ExploreShare is spread evenly so that every edge is measured.
func (planner *Planner) setTargetShares(o *Order) {
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
			took = best * 2 // no estimate
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
		s.Share = s.Share*(1-planner.rules.ExploreShare) + planner.rules.ExploreShare/n
	}
}

// limitShift moves the shares towards their targets, by at most MaxShiftPerSecond.
func (planner *Planner) limitShift(o *Order, span float64) {
	previous := planner.shares[o.Region]
	next := map[string]float64{}
	if previous != nil {
		shift := 0.0
		for _, s := range o.Edges {
			shift += math.Abs(s.Share - previous[s.Edge])
		}
		shift /= 2
		fraction := 1.0
		if maxShift := planner.rules.MaxShiftPerSecond * span; shift > maxShift {
			fraction = maxShift / shift
		}
		planner.TotalShift += shift * fraction
		for i := range o.Edges {
			s := &o.Edges[i]
			s.Share = previous[s.Edge] + (s.Share-previous[s.Edge])*fraction
		}
	}
	for _, s := range o.Edges {
		next[s.Edge] = s.Share
	}
	planner.shares[o.Region] = next
}

// OrderCache holds the orders that one process received. The zero value is empty.
type OrderCache struct {
	byRegion  map[string]Order
	expiresAt Micros
	stamp     Micros
}

// Update replaces the orders by those that an owner sent in answer to a request. Stamp is
// the time of the request on this process's clock; older answers are ignored.
func (cache *OrderCache) Update(list []Order, stamp, maxValidity Micros) {
	if stamp <= cache.stamp {
		return
	}
	cache.stamp, cache.byRegion, cache.expiresAt = stamp, map[string]Order{}, 0
	for _, o := range list[:min(len(list), MaxPairs)] {
		cache.byRegion[o.Region] = o
		cache.expiresAt = stamp + min(o.Remaining, maxValidity)
	}
}

// Lookup returns the order of a region, or of the nearest enclosing region that has one.
// If ok is false there is no valid order, and the caller uses its own measurements, then
// the static order.
func (cache *OrderCache) Lookup(region string, now Micros) (o Order, ok bool) {
	if now >= cache.expiresAt {
		return o, false
	}
	for r := region; ; r = r[:max(0, strings.LastIndexByte(r, '/'))] {
		if o, ok = cache.byRegion[r]; ok {
			o.Remaining = cache.expiresAt - now
			return o, true
		}
		if r == "" {
			return o, false
		}
	}
}

// All returns the valid orders, ordered by region, for forwarding.
func (cache *OrderCache) All(now Micros) (list []Order) {
	if now >= cache.expiresAt {
		return nil
	}
	for _, r := range slices.Sorted(maps.Keys(cache.byRegion)) {
		o := cache.byRegion[r]
		o.Remaining = cache.expiresAt - now
		list = append(list, o)
	}
	return list
}
