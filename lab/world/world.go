package world

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/rules"
)

// Point is a moment of the day from which clients ask at a rate; with Ramp it moves
// evenly to that of the next point.
type RatePoint struct {
	At   Micros
	Rate float64 // requests a second
	Ramp bool
}

// World is a site in virtual time.
type World struct {
	Mutation Mutation // what is broken on purpose

	spec    Spec
	loop    *loop.Loop
	rand    *rand.Rand // of clients, sizes and waits
	faults  *rand.Rand // of what goes wrong, so that the rest stays as it is without
	first   Micros     // of the warm-up
	began   Micros
	ends    Micros
	catalog *catalog
	fronts  []*Front
	servers []*server
	by      map[string]*server
	at      map[string]*server // by address
	origin  *server
	inlets  []*link // by zone; nil for hubs
	ways    [][]Micros
	write   string // name of the class that writes

	curve      []RatePoint
	weight     []float64 // of the branches, of all requests
	shares     []float64 // of the classes, of all visits, summed up
	perVisit   float64   // requests
	surge      float64
	scan       float64
	spoilt     float64
	lost       float64
	originSlow float64
	cuts       map[int]bool      // zones whose servers no front reaches
	thaws      [2]map[int]Micros // when what stands still moves again, by zone
	purges     []purge

	returning int // clients that wait to come back

	planned  []Fault
	injected []Fault // while they go on

	sockets  *SocketOptions // nil: all in virtual time
	quitting bool
	ended    error // of the fronts that were told to end
	stretch  int   // times that a body is repeated, on sockets

	asks       map[string]*ask
	lastID     uint64
	stats      Stats
	warmUp     Stats // of those who came before the day began
	times      []*hdrhistogram.Histogram
	violations []Violation
	digest     *xxhash.Digest
}

// purge is one of an object, or of a group where object is below 0.
type purge struct {
	object int64
	group  uint8
	at     Micros
}

// leastSize is the least that a server's link carries, in transfers: under it one
// request would be more than a cold one may be sent.
const leastSize = 4

// ownCopies is what a front keeps of answers itself, in bytes. A body here is some
// 30 bytes, whatever its part's size, so this is 250 of them; a front of 192 MB
// keeps as many of 190 KB.
const ownCopies = 8 << 10

// day is when every day begins, in Unix microseconds.
const day Micros = 1_764_576_000_000_000

// New makes a world that has not begun.
func New(spec Spec) (*World, error) {
	if err := spec.check(); err != nil {
		return nil, fmt.Errorf("world: %w", err)
	}
	w := &World{spec: spec, rand: rand.New(rand.NewPCG(spec.Seed, 1)), faults: rand.New(rand.NewPCG(spec.Seed, 2)), first: day, began: day,
		by: map[string]*server{}, at: map[string]*server{}, asks: map[string]*ask{}, cuts: map[int]bool{}, thaws: [2]map[int]Micros{{}, {}}, surge: 1, originSlow: 1,
		digest: xxhash.New()}
	w.stats.init(len(spec.Classes))
	w.warmUp.init(len(spec.Classes))
	w.loop = loop.NewOn(loop.NewVirtual(day), w.settle)
	w.catalog = newCatalog(w)
	w.build()
	sum := 0.0
	for _, c := range spec.Classes {
		parts := float64(c.Parts[0]+c.Parts[1]) / 2
		if c.Write {
			w.write, parts = c.Name, 1
		}
		asks := 1.0 // that a visit makes, with those who do not stay
		for p, chance := 1.0, stay; p < parts; p, chance = p+1, chance*stay {
			asks += chance
		}
		w.perVisit += c.Share
		sum += c.Share / asks
		w.shares = append(w.shares, sum)
		w.times = append(w.times, hdrhistogram.New(1, int64(60*second), 3))
	}
	w.perVisit /= sum
	if _, err := rules.New(spec.settings(len(spec.Hubs)), spec.Seed); err != nil {
		return nil, fmt.Errorf("world: %w", err)
	}
	return w, nil
}

// settle has the fronts of this process carry out what they have decided.
func (w *World) settle() {
	for _, f := range w.fronts {
		if !f.dead {
			f.prog.settle()
		}
	}
}

// build makes the servers, the links and the fronts.
func (w *World) build() {
	s := &w.spec
	hubs, boxes := len(s.Hubs), 0
	w.inlets = make([]*link, hubs+len(s.Branches))
	flow := s.Flow / 1e6
	total := 0.0
	for i, b := range s.Branches {
		zone, size := hubs+i, 0.0
		for n := range b.Boxes {
			x := w.server(fmt.Sprintf("%s.box-%d", b.Name, n+1), boxKind, zone, s.BoxLink[0]+w.rand.Float64()*(s.BoxLink[1]-s.BoxLink[0]), flow, s.BoxCacheSeconds)
			size += x.size
			boxes++
		}
		total += size
		w.weight = append(w.weight, size)
		// Somewhat wider where few caches share it.
		width := s.BranchLink * s.MissShare * size * max(1, 6/float64(max(1, b.Boxes))/1.5)
		w.inlets[zone] = newLink(w, flow*s.MaxFillPace, func() float64 { return width * flow })
	}
	for i := range w.weight {
		w.weight[i] /= total
	}
	for i := range s.Parents {
		w.server(fmt.Sprintf("%s.parent-%d", s.Hubs[i%hubs], i/hubs+1), parentKind, i%hubs, s.ParentLink*s.MissShare*total/float64(s.Parents),
			flow*s.MaxFillPace, s.ParentCacheSeconds)
	}
	w.origin = w.server("head-office", originKind, 0, s.OriginLink*s.MissShare*0.5*total, flow*s.MaxFillPace, 0)
	w.ways = make([][]Micros, len(w.inlets))
	hub := func(zone int) int {
		if zone < hubs {
			return zone
		}
		return slices.Index(s.Hubs, s.Branches[zone-hubs].Hub)
	}
	for a := range w.ways {
		w.ways[a] = make([]Micros, len(w.inlets))
		for b := range w.ways[a] {
			if a == b {
				w.ways[a][b] = 150
				continue
			}
			steps := hub(a) - hub(b)
			if steps < 0 {
				steps = -steps
			}
			steps = min(steps, hubs-steps) // they stand in a ring
			w.ways[a][b] = between(w.rand, s.RegionDelay)
			for range steps {
				w.ways[a][b] += between(w.rand, s.HubDelay)
			}
		}
	}
	for i, b := range s.Branches {
		for n := range b.Fronts {
			w.fronts = append(w.fronts, &Front{w: w, name: fmt.Sprintf("%s.front-%d", b.Name, n+1), zone: hubs + i, branch: i, make: newInside, dead: true})
		}
	}
}

func (w *World) server(name string, kind, zone int, size, most, keep float64) *server {
	x := &server{w: w, name: name, addr: fmt.Sprintf("10.0.%d.%d:9000", len(w.servers)>>8, len(w.servers)&255), kind: kind, zone: zone,
		size: max(leastSize, size), up: true, state: rules.Ready, wires: map[*wire]bool{}, under: map[item]*fill{}}
	flow := w.spec.Flow / 1e6
	x.out = newLink(w, most, func() float64 {
		slow := 1.0
		if kind == originKind {
			slow = w.originSlow
		}
		return x.size * flow * x.share() / slow
	})
	x.keep = newStore(keep * x.size * w.spec.Flow)
	w.servers = append(w.servers, x)
	w.by[x.name], w.at[x.addr] = x, x
	return x
}

// way is the time from a place to a server, or back.
func (w *World) way(zone int, s *server) Micros {
	if s == nil {
		return 0
	}
	return w.ways[zone][s.zone]
}

// The two ways between fronts and servers.
const (
	there = iota
	back
)

// leaves is when what is sent now to or from a server gets on its way: now, or once
// a link that stands still moves again.
func (w *World) leaves(way int, s *server) Micros { return max(w.loop.Now(), w.thaws[way][s.zone]) }

// cut tells whether nothing crosses between any front and a server.
func (w *World) cut(s *server) bool { return len(w.cuts) > 0 && w.cuts[s.zone] }

func (w *World) after(in Micros, do func()) { w.loop.At(w.loop.Now()+in, do) }

func (w *World) class(name string) int {
	return slices.IndexFunc(w.spec.Classes, func(c Class) bool { return c.Name == name })
}

// Sorted views of what stands in maps, so that no history hangs on their order.

func (w *World) wiresOf(s *server) []*wire {
	return slices.SortedFunc(maps.Keys(s.wires), func(a, b *wire) int {
		return cmp.Or(cmp.Compare(a.front.name, b.front.name), cmp.Compare(a.there, b.there), cmp.Compare(a.back, b.back), cmp.Compare(first(a.open), first(b.open)))
	})
}

func (w *World) wiresBy(f *Front) []*wire {
	return slices.SortedFunc(maps.Keys(f.wires), func(a, b *wire) int {
		return cmp.Or(cmp.Compare(a.to.name, b.to.name), cmp.Compare(a.there, b.there), cmp.Compare(a.back, b.back), cmp.Compare(first(a.open), first(b.open)))
	})
}

func first(open map[string]*job) string {
	least := ""
	for id := range open {
		if least == "" || id < least {
			least = id
		}
	}
	return least
}

func (w *World) asksAt(f *Front) (out []*ask) {
	for a := range f.open {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *ask) int { return cmp.Compare(a.id, b.id) })
	return out
}

func sorted(open map[string]*job) []string { return slices.Sorted(maps.Keys(open)) }

// Plan is what a day brings.
type Plan struct {
	WarmUp   Micros // before the day, in which caches and beliefs fill and nothing goes wrong or counts
	Duration Micros
	Curve    []RatePoint // none: the spec's rate all day
	Faults   []Fault
}

// forever is a moment that no day has.
const forever Micros = 1 << 62

// drained is how long after the day's end what is open may take.
const drained = 12 * second

// Run plays a day and tells what came of it. A world plays one day only.
func (w *World) Run(p Plan) (*Result, error) {
	if w.ends != 0 {
		return nil, errors.New("world: it has had its day")
	}
	w.ends, w.curve = forever, p.Curve // it has begun
	if err := w.startFronts(); err != nil {
		return nil, errors.Join(fmt.Errorf("world: %w", err), w.release())
	}
	if w.sockets != nil {
		w.first = w.loop.Now()
	}
	w.began = w.first + p.WarmUp
	w.ends = w.began + p.Duration
	w.planned = p.Faults
	w.loop.At(w.began, func() { // what servers did in the warm-up does not count
		w.stats = Stats{}
		w.stats.init(len(w.spec.Classes))
		w.sample()
	})
	for i := range p.Faults {
		if err := w.plan(&p.Faults[i]); err != nil {
			return nil, errors.Join(fmt.Errorf("world: %s: %w", p.Faults[i], err), w.release())
		}
	}
	for i := range w.spec.Branches {
		w.arrivals(i, w.first, rand.New(rand.NewPCG(w.spec.Seed, 100+uint64(i))))
	}
	w.bounds()
	w.loop.At(w.ends+drained, w.quit)
	if w.sockets != nil { // nobody wants to wait for nothing
		w.loop.At(w.ends, w.quitWhenCalm)
	}
	w.loop.Run()
	if err := w.release(); err != nil {
		return nil, fmt.Errorf("world: %w", err)
	}
	return w.result(), nil
}

// quitWhenCalm ends a day of which nothing is open any more, after what writes may
// still do.
func (w *World) quitWhenCalm() {
	open := w.returning
	for _, f := range w.fronts {
		open += len(f.open)
	}
	if open == 0 {
		w.after(2*second, w.quit)
		return
	}
	w.after(100*milli, w.quitWhenCalm)
}

// note takes an answer into the digest of the day.
func (w *World) note(a *ask, x gateway.Answer) {
	var b [33]byte
	binary.LittleEndian.PutUint64(b[:], uint64(w.loop.Now()))
	binary.LittleEndian.PutUint64(b[8:], uint64(x.CreatedAt))
	copy(b[16:], a.id)
	b[32] = byte(x.Kind)
	_, _ = w.digest.Write(b[:])
}

// answered is told of every answer of a server.
func (w *World) answered(j *job, word, note string, born Micros) {
	w.stats.Words[word]++
	if a := w.asks[j.id]; a != nil {
		a.ended, a.last = a.ended+1, strings.TrimSpace(word+" "+note)
	}
	if word != "ok" {
		w.stats.Notes[word+" "+note]++
	}
	if word == "ok" {
		w.stats.Notes[note]++
		w.stats.SentBytes += j.bytes
		j.wire.front.gotCopy(j, born)
	} else {
		delete(j.wire.front.sends, sendKey{j.wire, j.id})
	}
}
