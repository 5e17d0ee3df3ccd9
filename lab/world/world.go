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

// RatePoint is a moment of the day from which clients send at a rate; with Ramp the
// rate changes linearly to that of the next point.
type RatePoint struct {
	At   Micros
	Rate float64 // requests per second
	Ramp bool
}

// World is a site in virtual time or on sockets.
type World struct {
	Mutation Mutation // fault in the fronts or their surroundings that a checker has to detect

	spec         Spec
	loop         *loop.Loop
	rand         *rand.Rand // of clients, sizes and waits
	faults       *rand.Rand // of injected faults, so that they do not change the other draws
	warmUpStart  Micros
	start        Micros
	end          Micros
	catalog      *catalog
	fronts       []*Front
	servers      []*server
	serverByName map[string]*server
	serverByAddr map[string]*server
	origin       *server
	branchLinks  []*link // by zone; nil for hubs
	delays       [][]Micros
	writeClass   string // name of the class of writes

	curve            []RatePoint
	branchWeight     []float64 // of each branch, fraction of all requests
	classShares      []float64 // of each class, cumulative fraction of all visits
	requestsPerVisit float64   // mean number of requests of a visit
	rateFactor       float64
	scanShare        float64
	corruptShare     float64
	loseShare        float64
	originSlowdown   float64
	cutZones         map[int]bool      // zones whose servers no front reaches
	frozenUntil      [2]map[int]Micros // by direction and zone: when a frozen link delivers again
	purges           []purge

	returning int // clients that wait before a retry

	plannedFaults  []Fault
	injectedFaults []Fault // with Inject, while they last

	sockets      *SocketOptions // nil: virtual time
	shuttingDown bool
	shutdownErr  error // of the fronts that were told to stop
	bodyRepeats  int   // how often a body is repeated, on sockets

	tries      map[string]*try
	lastID     uint64
	stats      Stats
	warmUp     Stats // of requests that began during the warm-up
	latencies  []*hdrhistogram.Histogram
	violations []Violation
	digest     *xxhash.Digest
}

// purge is a purge of an object, or of a group where object is below 0.
type purge struct {
	object int64
	group  uint8
	at     Micros
}

// minServerSize is the minimum capacity of a server's link, in transfers: below it a
// single request would exceed what a cold server can take.
const minServerSize = 4

// localCacheBytes is the size of a front's own cache of answers. A body here has some
// 30 bytes whatever the size of its part, so this holds 250 of them; a front of 192 MB
// holds as many bodies of 190 KB.
const localCacheBytes = 8 << 10

// dayStart is when every day begins, in Unix microseconds.
const dayStart Micros = 1_764_576_000_000_000

// New returns a world that has not started.
func New(spec Spec) (*World, error) {
	if err := spec.validate(); err != nil {
		return nil, fmt.Errorf("world: %w", err)
	}
	w := &World{spec: spec, rand: rand.New(rand.NewPCG(spec.Seed, 1)), faults: rand.New(rand.NewPCG(spec.Seed, 2)), warmUpStart: dayStart, start: dayStart,
		serverByName: map[string]*server{}, serverByAddr: map[string]*server{}, tries: map[string]*try{}, cutZones: map[int]bool{}, frozenUntil: [2]map[int]Micros{{}, {}}, rateFactor: 1, originSlowdown: 1,
		digest: xxhash.New()}
	w.stats.init(len(spec.Classes))
	w.warmUp.init(len(spec.Classes))
	w.loop = loop.NewOn(loop.NewVirtual(dayStart), w.processEvents)
	w.catalog = newCatalog(w)
	w.build()
	sum := 0.0
	for _, c := range spec.Classes {
		parts := float64(c.Parts[0]+c.Parts[1]) / 2
		if c.Write {
			w.writeClass, parts = c.Name, 1
		}
		requests := 1.0 // requests of a visit, given the chance that a client stops after a part
		for p, chance := 1.0, nextPartChance; p < parts; p, chance = p+1, chance*nextPartChance {
			requests += chance
		}
		w.requestsPerVisit += c.Share
		sum += c.Share / requests
		w.classShares = append(w.classShares, sum)
		w.latencies = append(w.latencies, hdrhistogram.New(1, int64(60*second), 3))
	}
	w.requestsPerVisit /= sum
	if _, err := rules.New(spec.settings(len(spec.Hubs)), spec.Seed); err != nil {
		return nil, fmt.Errorf("world: %w", err)
	}
	return w, nil
}

// processEvents has the fronts in this process carry out what they have decided.
func (w *World) processEvents() {
	for _, f := range w.fronts {
		if !f.stopped {
			f.program.processEvents()
		}
	}
}

// build creates the servers, the links and the fronts.
func (w *World) build() {
	s := &w.spec
	hubs, boxes := len(s.Hubs), 0
	w.branchLinks = make([]*link, hubs+len(s.Branches))
	flow := s.Flow / 1e6
	total := 0.0
	for i, b := range s.Branches {
		zone, size := hubs+i, 0.0
		for n := range b.Boxes {
			x := w.addServer(fmt.Sprintf("%s.box-%d", b.Name, n+1), boxKind, zone, s.BoxLink[0]+w.rand.Float64()*(s.BoxLink[1]-s.BoxLink[0]), flow, s.BoxCacheSeconds)
			size += x.size
			boxes++
		}
		total += size
		w.branchWeight = append(w.branchWeight, size)
		// Wider where few cache nodes share the link.
		width := s.BranchLink * s.MissShare * size * max(1, 6/float64(max(1, b.Boxes))/1.5)
		w.branchLinks[zone] = newLink(w, flow*s.MaxFillPace, func() float64 { return width * flow })
	}
	for i := range w.branchWeight {
		w.branchWeight[i] /= total
	}
	for i := range s.Parents {
		w.addServer(fmt.Sprintf("%s.parent-%d", s.Hubs[i%hubs], i/hubs+1), parentKind, i%hubs, s.ParentLink*s.MissShare*total/float64(s.Parents),
			flow*s.MaxFillPace, s.ParentCacheSeconds)
	}
	w.origin = w.addServer("head-office", originKind, 0, s.OriginLink*s.MissShare*0.5*total, flow*s.MaxFillPace, 0)
	w.delays = make([][]Micros, len(w.branchLinks))
	hub := func(zone int) int {
		if zone < hubs {
			return zone
		}
		return slices.Index(s.Hubs, s.Branches[zone-hubs].Hub)
	}
	for a := range w.delays {
		w.delays[a] = make([]Micros, len(w.branchLinks))
		for b := range w.delays[a] {
			if a == b {
				w.delays[a][b] = 150
				continue
			}
			steps := hub(a) - hub(b)
			if steps < 0 {
				steps = -steps
			}
			steps = min(steps, hubs-steps) // the hubs form a ring
			w.delays[a][b] = between(w.rand, s.RegionDelay)
			for range steps {
				w.delays[a][b] += between(w.rand, s.HubDelay)
			}
		}
	}
	for i, b := range s.Branches {
		for n := range b.Fronts {
			w.fronts = append(w.fronts, &Front{w: w, name: fmt.Sprintf("%s.front-%d", b.Name, n+1), zone: hubs + i, branch: i, newProgram: newInProcess, stopped: true})
		}
	}
}

func (w *World) addServer(name string, kind, zone int, size, maxPace, cacheSeconds float64) *server {
	x := &server{w: w, name: name, addr: fmt.Sprintf("10.0.%d.%d:9000", len(w.servers)>>8, len(w.servers)&255), kind: kind, zone: zone,
		size: max(minServerSize, size), up: true, state: rules.Ready, conns: map[*connection]bool{}, pending: map[item]*fill{}}
	flow := w.spec.Flow / 1e6
	x.out = newLink(w, maxPace, func() float64 {
		slow := 1.0
		if kind == originKind {
			slow = w.originSlowdown
		}
		return x.size * flow * x.capacityShare() / slow
	})
	x.cache = newCache(cacheSeconds * x.size * w.spec.Flow)
	w.servers = append(w.servers, x)
	w.serverByName[x.name], w.serverByAddr[x.addr] = x, x
	return x
}

// delay is the one-way latency between a zone and a server.
func (w *World) delay(zone int, s *server) Micros {
	if s == nil {
		return 0
	}
	return w.delays[zone][s.zone]
}

// The two directions between fronts and servers.
const (
	toServer = iota
	toFront
)

// departure is when bytes sent now to or from a server leave: now, or when a frozen
// link delivers again.
func (w *World) departure(direction int, s *server) Micros {
	return max(w.loop.Now(), w.frozenUntil[direction][s.zone])
}

// isCut reports whether a server is cut off from all fronts.
func (w *World) isCut(s *server) bool { return len(w.cutZones) > 0 && w.cutZones[s.zone] }

func (w *World) after(delay Micros, call func()) { w.loop.At(w.loop.Now()+delay, call) }

func (w *World) classIndex(name string) int {
	return slices.IndexFunc(w.spec.Classes, func(c Class) bool { return c.Name == name })
}

// Sorted views of maps, so that the history does not depend on map order.

func (w *World) connsToServer(s *server) []*connection {
	return slices.SortedFunc(maps.Keys(s.conns), func(a, b *connection) int {
		return cmp.Or(cmp.Compare(a.front.name, b.front.name), cmp.Compare(a.lastToServer, b.lastToServer), cmp.Compare(a.lastToFront, b.lastToFront), cmp.Compare(smallestID(a.jobs), smallestID(b.jobs)))
	})
}

func (w *World) connsOfFront(f *Front) []*connection {
	return slices.SortedFunc(maps.Keys(f.conns), func(a, b *connection) int {
		return cmp.Or(cmp.Compare(a.server.name, b.server.name), cmp.Compare(a.lastToServer, b.lastToServer), cmp.Compare(a.lastToFront, b.lastToFront), cmp.Compare(smallestID(a.jobs), smallestID(b.jobs)))
	})
}

func smallestID(open map[string]*job) string {
	smallest := ""
	for id := range open {
		if smallest == "" || id < smallest {
			smallest = id
		}
	}
	return smallest
}

func (w *World) triesAt(f *Front) (out []*try) {
	for a := range f.tries {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *try) int { return cmp.Compare(a.id, b.id) })
	return out
}

func sortedIDs(open map[string]*job) []string { return slices.Sorted(maps.Keys(open)) }

// Plan is the course of a day.
type Plan struct {
	WarmUp   Micros // before the day: caches and estimates fill, there are no faults and nothing is counted
	Duration Micros
	Curve    []RatePoint // empty: the spec's rate all day
	Faults   []Fault
}

// forever is later than the end of any day.
const forever Micros = 1 << 62

// drainTimeout is how long after the day's end open requests may take.
const drainTimeout = 12 * second

// Run plays a day and returns its result. A world can be run only once.
func (w *World) Run(p Plan) (*Result, error) {
	if w.end != 0 {
		return nil, errors.New("world: it was run already")
	}
	w.end, w.curve = forever, p.Curve // marks the world as started
	if err := w.startFronts(); err != nil {
		return nil, errors.Join(fmt.Errorf("world: %w", err), w.cleanUp())
	}
	if w.sockets != nil {
		w.warmUpStart = w.loop.Now()
	}
	w.start = w.warmUpStart + p.WarmUp
	w.end = w.start + p.Duration
	w.plannedFaults = p.Faults
	w.loop.At(w.start, func() { // counts of the warm-up are dropped
		w.stats = Stats{}
		w.stats.init(len(w.spec.Classes))
		w.sampleLoads()
	})
	for i := range p.Faults {
		if err := w.scheduleFault(&p.Faults[i]); err != nil {
			return nil, errors.Join(fmt.Errorf("world: %s: %w", p.Faults[i], err), w.cleanUp())
		}
	}
	for i := range w.spec.Branches {
		w.scheduleArrivals(i, w.warmUpStart, rand.New(rand.NewPCG(w.spec.Seed, 100+uint64(i))))
	}
	w.checkBounds()
	w.loop.At(w.end+drainTimeout, w.shutDown)
	if w.sockets != nil { // the day ends early when nothing is open
		w.loop.At(w.end, w.shutDownWhenIdle)
	}
	w.loop.Run()
	if err := w.cleanUp(); err != nil {
		return nil, fmt.Errorf("world: %w", err)
	}
	return w.result(), nil
}

// shutDownWhenIdle ends a day in which nothing is open any more, after the time in
// which writes may still run.
func (w *World) shutDownWhenIdle() {
	open := w.returning
	for _, f := range w.fronts {
		open += len(f.tries)
	}
	if open == 0 {
		w.after(2*second, w.shutDown)
		return
	}
	w.after(100*milli, w.shutDownWhenIdle)
}

// addToDigest adds an answer to the digest of the day.
func (w *World) addToDigest(t *try, x gateway.Answer) {
	var b [33]byte
	binary.LittleEndian.PutUint64(b[:], uint64(w.loop.Now()))
	binary.LittleEndian.PutUint64(b[8:], uint64(x.CreatedAt))
	copy(b[16:], t.id)
	b[32] = byte(x.Kind)
	_, _ = w.digest.Write(b[:])
}

// recordReply counts a server's reply.
func (w *World) recordReply(j *job, result, note string, createdAt Micros) {
	w.stats.Words[result]++
	if t := w.tries[j.id]; t != nil {
		t.answered, t.lastResult = t.answered+1, strings.TrimSpace(result+" "+note)
	}
	if result != "ok" {
		w.stats.Notes[result+" "+note]++
	}
	if result == "ok" {
		w.stats.Notes[note]++
		w.stats.SentBytes += j.bytes
		j.conn.front.checkCopyAge(j, createdAt)
	} else {
		delete(j.conn.front.sentAt, sendKey{j.conn, j.id})
	}
}
