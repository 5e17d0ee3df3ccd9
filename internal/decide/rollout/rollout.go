// Package rollout decides what each front of a fleet acts on: how a version that
// was proposed reaches them, part by part, when it goes on, stops or goes back to the
// last good one, who lags and why, who is shut out, and when nobody acts on an older
// one any more.
//
// Its state is replicated, and every replica draws the same conclusions where it
// applies an entry (Step). Versions are numbered through the fleet's life; 0 is what
// each front has in files of its own. Time is fleet time.
package rollout

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cherryramp/internal/decide/lease"
)

// Micros is a span, or a moment of fleet time, in microseconds.
type Micros = int64

const second Micros = 1_000_000

// Bounds.
const (
	MostPiece  = 8 << 10   // bytes of a piece
	MostSize   = 512 << 10 // bytes of a version
	mostKept   = 32        // versions that are told of
	mostPieces = 4 * MostSize / MostPiece
	mostText   = 200
	mostSteps  = 8
	looseFor   = 120 * second // a piece that no version names is kept
	checkFor   = 30 * second  // for every front that is heard to check a version
	actFor     = 30 * second  // for the fronts of a step to act on it
	flapFor    = 600 * second // after which a front that was shut out once counts as steady again
	mostFlaps  = 5
)

// Phase is how far a version has come.
type Phase uint8

// The phases.
const (
	Checking Phase = iota // every front that is heard checks it whole
	Rolling               // part of the fleet acts on it, and is watched
	Standing              // it is the fleet's
	Replaced              // it was
	TurnedDown
	Back // it went back to the last good one
)

var phases = [...]string{"checking", "rolling", "standing", "replaced", "turned down", "rolled back"}

// String is the phase's name.
func (p Phase) String() string {
	if int(p) < len(phases) {
		return phases[p]
	}
	return "unknown"
}

// Void tells whether nobody may take a version up any more.
func (p Phase) Void() bool { return p == TurnedDown || p == Back }

// Version is one of them.
type Version struct {
	N      uint64   `cbor:"1,keyasint"`
	Digest string   `cbor:"2,keyasint"` // SHA-256 of its bytes, in hex
	Pieces []string `cbor:"3,keyasint"` // digests of its pieces, in order
	Why    string   `cbor:"4,keyasint,omitempty"`
	By     string   `cbor:"5,keyasint,omitempty"`
	Urgent bool     `cbor:"6,keyasint,omitempty"`  // to all at once, unwatched
	Bar    Micros   `cbor:"7,keyasint,omitempty"`  // after it stands for so long nobody may act on older ones; 0: no bar
	Watch  Micros   `cbor:"8,keyasint,omitempty"`  // for which each step is watched
	Steps  []int    `cbor:"9,keyasint,omitempty"`  // percent of the fronts; 0: one a zone; the last is 100
	Base   uint64   `cbor:"10,keyasint,omitempty"` // what stood when it was proposed
	Phase  Phase    `cbor:"11,keyasint"`
	Since  Micros   `cbor:"12,keyasint"` // when it came into its phase, or step
	Step   int      `cbor:"13,keyasint,omitempty"`
	Acted  Micros   `cbor:"14,keyasint,omitempty"` // rolling: when all of the step acted on it; 0: not yet
	Note   string   `cbor:"15,keyasint,omitempty"` // why it ended, or what is unusual
	Passed Micros   `cbor:"16,keyasint,omitempty"` // when its bar had passed; 0: not yet, or none
	Part   []string `cbor:"18,keyasint,omitempty"` // rolling: who takes it up in this step, by name; none: all
	Spared []string `cbor:"17,keyasint,omitempty"` // fronts that are older and go on, since too many would be shut out
}

// Stand is what a front says of itself, and what the state concludes.
type Stand struct {
	Name    string `cbor:"1,keyasint"`
	ID      uint64 `cbor:"2,keyasint"`
	Start   uint64 `cbor:"3,keyasint"`
	Acts    uint64 `cbor:"4,keyasint,omitempty"`  // version that it acts on
	Checked uint64 `cbor:"5,keyasint,omitempty"`  // the newest that it found good
	Refused uint64 `cbor:"6,keyasint,omitempty"`  // the newest that it turned down
	Why     string `cbor:"7,keyasint,omitempty"`  // with the key at fault
	Crashed uint64 `cbor:"8,keyasint,omitempty"`  // the newest under which its process ended soon after it took it up
	Oldest  uint64 `cbor:"9,keyasint,omitempty"`  // the oldest under which it has open requests, and one; 0: none under an older one
	Bad     int    `cbor:"10,keyasint,omitempty"` // percent of its requests lately that were refused or failed, in steps of 5
	Seen    bool   `cbor:"11,keyasint,omitempty"` // so many that it tells anything
	Shut    uint64 `cbor:"12,keyasint,omitempty"` // it acts on nothing below this version
	Seq     uint64 `cbor:"13,keyasint,omitempty"` // of its audit's chain
	Head    string `cbor:"14,keyasint,omitempty"` // digest of the chain there

	Fenced  uint64 `cbor:"20,keyasint,omitempty"` // by the state: it is shut out below this version
	At      Micros `cbor:"21,keyasint,omitempty"` // since when its lease is granted no more; 0: not counted yet
	Flaps   int    `cbor:"22,keyasint,omitempty"` // how often it was shut out lately
	FlapAt  Micros `cbor:"23,keyasint,omitempty"`
	WarmAt  Micros `cbor:"24,keyasint,omitempty"` // after it came back: until when it is not a full machine
	WasBad  int    `cbor:"25,keyasint,omitempty"` // Bad at the moment at which the step began
	WasSeen bool   `cbor:"26,keyasint,omitempty"`
}

// Said is what the front itself said of it.
func (x Stand) Said() Stand {
	x.Fenced, x.At, x.Flaps, x.FlapAt, x.WarmAt, x.WasBad, x.WasSeen = 0, 0, 0, 0, 0, 0, false
	return x
}

// Headless is a stand without its audit's head, which changes all the time.
func (x Stand) Headless() Stand {
	x.Seq, x.Head = 0, ""
	return x
}

// Piece is a part of a version's bytes.
type Piece struct {
	Hash string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
	At   Micros `cbor:"3,keyasint"`
}

// Machine is what Step must know of a front.
type Machine struct {
	Name, Zone string
	ID, Start  uint64
	Lost       bool
	Away       bool
	Ended      Micros // lost: when its lease is surely over; 0: never
	Lease      Micros // the longest that it acts without hearing the fleet; 0: for ever
}

// Rules are what the operators set.
type Rules struct {
	Alone Micros // of leases; without them there are no bars
	Quota int    // percent of the fronts, and of those of a zone, that may be shut out for lagging
	Cold  Micros // for which a front that comes back is not a full machine
	Empty Micros // that open requests may take
}

// State is all versions, and where the fronts stand.
type State struct {
	Last     uint64    `cbor:"1,keyasint"`
	Good     uint64    `cbor:"2,keyasint"` // that stands; 0: what fronts have in files of their own
	Versions []Version `cbor:"3,keyasint,omitempty"`
	Stands   []Stand   `cbor:"4,keyasint,omitempty"` // by name
	Pieces   []Piece   `cbor:"5,keyasint,omitempty"` // by hash
	Barred   uint64    `cbor:"6,keyasint,omitempty"` // nobody may act below this one, once its bar has passed
	Holes    []Hole    `cbor:"7,keyasint,omitempty"` // audits that were lost with their disks
}

// Hole is what the fleet knows of an audit that is gone: its front came back under
// another incarnation.
type Hole struct {
	Name string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"` // that it was
	Seq  uint64 `cbor:"3,keyasint"` // records up to here are gone, and those behind it that nobody heard of
	Head string `cbor:"4,keyasint"`
	At   Micros `cbor:"5,keyasint"` // when it came back
}

const mostHoles = 256

// Errors of what was proposed.
var (
	ErrPiece  = fmt.Errorf("a piece of 1 to %d bytes is wanted", MostPiece)
	ErrPieces = fmt.Errorf("too many pieces wait or are kept, %d at most", mostPieces)
	ErrDigest = errors.New("the pieces do not make up the digest that was given, or some are not there")
	ErrSteps  = fmt.Errorf("steps of 0 to 100 percent that grow, %d at most, are wanted", mostSteps)
	ErrBar    = errors.New("a bar needs leases: set rules alone_s first")
	ErrNone   = errors.New("no such version is on its way")
	ErrText   = fmt.Errorf("a reason of %d bytes at most is wanted", mostText)
	ErrSpans  = errors.New("bar and watch: 0 to a day are possible")
)

// Hash names a piece.
func Hash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

func find[T any](list []T, key string, of func(*T) string) (int, bool) {
	return slices.BinarySearchFunc(list, key, func(x T, k string) int { return cmp.Compare(of(&x), k) })
}

// Keep takes a piece in. One that is there already costs nothing.
func (s *State) Keep(data []byte, now Micros) (hash string, err error) {
	if len(data) == 0 || len(data) > MostPiece {
		return "", ErrPiece
	}
	hash = Hash(data)
	i, ok := find(s.Pieces, hash, func(p *Piece) string { return p.Hash })
	if ok {
		s.Pieces[i].At = now
		return hash, nil
	}
	if len(s.Pieces) >= mostPieces {
		return "", ErrPieces
	}
	s.Pieces = slices.Insert(s.Pieces, i, Piece{Hash: hash, Data: data, At: now})
	return hash, nil
}

// Content puts a version's bytes together; nil: its pieces are not there any more.
func (s *State) Content(n uint64) []byte {
	v := s.Find(n)
	if v == nil {
		return nil
	}
	return s.join(v.Pieces)
}

func (s *State) join(hashes []string) (out []byte) {
	for _, h := range hashes {
		i, ok := find(s.Pieces, h, func(p *Piece) string { return p.Hash })
		if !ok {
			return nil
		}
		out = append(out, s.Pieces[i].Data...)
	}
	return out
}

// Find gives a version; nil: it is not kept, or there is none.
func (s *State) Find(n uint64) *Version {
	i, ok := slices.BinarySearchFunc(s.Versions, n, func(v Version, n uint64) int { return cmp.Compare(v.N, n) })
	if !ok {
		return nil
	}
	return &s.Versions[i]
}

// Watch is for how long a version's steps are watched.
func (s *State) Watch(n uint64) Micros {
	if v := s.Find(n); v != nil {
		return v.Watch
	}
	return 0
}

// Stand gives a front's; nil: it has said nothing yet.
func (s *State) Stand(name string) *Stand {
	i, ok := find(s.Stands, name, func(x *Stand) string { return x.Name })
	if !ok {
		return nil
	}
	return &s.Stands[i]
}

// Candidate is the version on its way; nil: there is none.
func (s *State) Candidate() *Version {
	if len(s.Versions) == 0 {
		return nil
	}
	if v := &s.Versions[len(s.Versions)-1]; v.Phase == Checking || v.Phase == Rolling {
		return v
	}
	return nil
}

// Propose takes a version in, whose pieces are there. Base is what stood as far as
// whoever proposes knew.
func (s *State) Propose(v Version, r Rules, now Micros) (uint64, error) {
	if len(v.Steps) == 0 {
		v.Steps = []int{0, 10, 100}
	}
	grows := slices.IsSorted(v.Steps) && v.Steps[0] >= 0 && v.Steps[len(v.Steps)-1] <= 100 && len(v.Steps) <= mostSteps
	data := s.join(v.Pieces)
	switch {
	case len(v.Why) > mostText || len(v.By) > mostText:
		return 0, ErrText
	case !grows:
		return 0, ErrSteps
	case v.Bar < 0 || v.Watch < 0 || v.Bar > 86400*second || v.Watch > 86400*second:
		return 0, ErrSpans
	case data == nil || len(data) > MostSize || Hash(data) != v.Digest:
		return 0, ErrDigest
	case v.Bar > 0 && r.Alone == 0:
		return 0, ErrBar
	}
	if c := s.Candidate(); c != nil {
		return 0, fmt.Errorf("version %d (%s) is %s, and one goes at a time", c.N, cmp.Or(c.Why, "no reason given"), c.Phase)
	}
	if v.Base != s.Good {
		why := ""
		if g := s.Find(s.Good); g != nil {
			why = fmt.Sprintf(" (%s, by %s)", cmp.Or(g.Why, "no reason given"), cmp.Or(g.By, "nobody named"))
		}
		return 0, fmt.Errorf("it was made on version %d, and version %d%s stands now", v.Base, s.Good, why)
	}
	if v.Steps[len(v.Steps)-1] < 100 {
		v.Steps = append(slices.Clone(v.Steps), 100)
	}
	s.Last++
	s.Versions = append(s.Versions, Version{N: s.Last, Digest: v.Digest, Pieces: v.Pieces, Why: v.Why, By: v.By, Urgent: v.Urgent, Bar: v.Bar,
		Watch: v.Watch, Steps: v.Steps, Base: v.Base, Since: now})
	c := &s.Versions[len(s.Versions)-1]
	if c.Urgent {
		s.stands(c, now)
	}
	if len(s.Versions) > mostKept {
		s.Versions = slices.Delete(s.Versions, 0, len(s.Versions)-mostKept)
	}
	return s.Last, nil
}

// stands has a version be the fleet's.
func (s *State) stands(v *Version, now Micros) {
	if old := s.Find(s.Good); old != nil {
		old.Phase, old.Since = Replaced, now
	}
	v.Phase, v.Since, v.Step, v.Part = Standing, now, len(v.Steps)-1, nil
	s.Good = v.N
}

// Stop is a person's word that the version on its way goes back.
func (s *State) Stop(why string, now Micros) error {
	c := s.Candidate()
	if c == nil {
		return ErrNone
	}
	s.end(c, Back, cmp.Or(why, "stopped by a person"), now)
	return nil
}

func (s *State) end(v *Version, p Phase, note string, now Micros) {
	v.Phase, v.Since, v.Note = p, now, note[:min(len(note), 2*mostText)]
}

// Reported takes in what a front says of itself, under the incarnation and process
// that the fleet knows it by.
func (s *State) Reported(x Stand, now Micros) {
	x.Why = x.Why[:min(len(x.Why), mostText)]
	x = x.Said()
	i, ok := find(s.Stands, x.Name, func(x *Stand) string { return x.Name })
	if !ok {
		s.Stands = slices.Insert(s.Stands, i, x)
		return
	}
	old := &s.Stands[i]
	if old.ID != x.ID && old.Seq > 0 {
		s.Holes = append(s.Holes, Hole{Name: x.Name, ID: old.ID, Seq: old.Seq, Head: old.Head, At: now})
		s.Holes = s.Holes[max(0, len(s.Holes)-mostHoles):]
	}
	x.Fenced, x.At, x.Flaps, x.FlapAt, x.WarmAt, x.WasBad, x.WasSeen = old.Fenced, old.At, old.Flaps, old.FlapAt, old.WarmAt, old.WasBad, old.WasSeen
	*old = x
}

// Of gives a front's stand where it is of its incarnation and process; else one that
// has said nothing.
func (s *State) of(m *Machine) Stand {
	if x := s.Stand(m.Name); x != nil && x.ID == m.ID && x.Start == m.Start {
		return *x
	}
	return Stand{Name: m.Name}
}

// rank orders the fronts for a version, differently for each.
func rank(n uint64, name string) uint64 {
	return xxhash.Sum64(fmt.Appendf(nil, "%d %s", n, name))
}

// begin begins a version's step, and says who takes it up: one a zone, or so many
// percent, of those that are heard and serve, and all of the step before; at 100 all.
func (s *State) begin(v *Version, step int, fleet []Machine, now Micros) {
	part := map[string]bool{}
	for _, name := range v.Part {
		part[name] = true
	}
	v.Phase, v.Step, v.Since, v.Acted = Rolling, step, now, 0
	s.began()
	if v.Steps[step] >= 100 {
		v.Part = nil
		return
	}
	order := make([]*Machine, 0, len(fleet))
	for i := range fleet {
		if m := &fleet[i]; !m.Lost && !m.Away {
			order = append(order, m)
		}
	}
	slices.SortFunc(order, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(rank(v.N, a.Name), rank(v.N, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	if percent := v.Steps[step]; percent == 0 {
		zones := map[string]bool{}
		for _, m := range order {
			if !zones[m.Zone] {
				zones[m.Zone], part[m.Name] = true, true
			}
		}
	} else {
		want := (len(order)*percent + 99) / 100
		for _, m := range order {
			if len(part) >= want {
				break
			}
			part[m.Name] = true
		}
	}
	v.Part = slices.Sorted(maps.Keys(part))
}

// has tells whether a front is of the step's part.
func (v *Version) has(name string) bool {
	if v.Steps[v.Step] >= 100 {
		return true
	}
	_, ok := slices.BinarySearch(v.Part, name)
	return ok
}

// Target is the version that a front is to act on, by the state alone.
func (s *State) Target(name string) uint64 {
	if c := s.Candidate(); c != nil && c.Phase == Rolling && c.has(name) {
		return c.N
	}
	return s.Good
}

// Least is the oldest version that a front may act on where the state is known; bar
// tells after how long since the state said so it must have stopped.
func (s *State) Least(name string) (n uint64, bar Micros) {
	n = s.floor(name)
	if g := s.Find(s.Good); g != nil && g.Bar > 0 && g.Passed == 0 && !slices.Contains(g.Spared, name) {
		return max(n, g.N), g.Bar
	}
	return n, 0
}

// floor is the version below which a front may not act at all, whatever newer bar runs.
func (s *State) floor(name string) uint64 {
	n := s.Barred
	if x := s.Stand(name); x != nil {
		n = max(n, x.Fenced)
	}
	return n
}

// Step draws the conclusions of a moment, and gives what has happened, a line each.
// Facts tells that the entry is one by which time has moved on.
func (s *State) Step(fleet []Machine, r Rules, now Micros, facts bool) (told []string) {
	tell := func(v *Version, format string, args ...any) {
		told = append(told, fmt.Sprintf("version %d: ", v.N)+fmt.Sprintf(format, args...))
	}
	if c := s.Candidate(); c != nil {
		was, step := c.Phase, c.Step
		switch c.Phase {
		case Checking:
			s.check(c, fleet, now)
		case Rolling:
			s.roll(c, fleet, now)
		}
		if c.Phase != was || c.Step != step {
			tell(c, "%s", s.line(c))
		}
	}
	// What is shut out by this entry is counted from the next on by which time moves on:
	// until this one was committed, leases may have been asked for.
	s.release(fleet, r, now, facts, func(text string) { told = append(told, text) })
	if g := s.Find(s.Good); g != nil && g.Bar > 0 && g.Passed == 0 {
		s.bar(g, fleet, r, now, tell)
	}
	s.loose(now)
	return told
}

// line tells how far a version is.
func (s *State) line(v *Version) string {
	text := v.Phase.String()
	if v.Phase == Rolling {
		text += fmt.Sprintf(" to step %d of %d (%s)", v.Step+1, len(v.Steps), stepName(v.Steps[v.Step]))
	}
	if v.Note != "" {
		text += ": " + v.Note
	}
	return text
}

func stepName(percent int) string {
	if percent == 0 {
		return "one a zone"
	}
	return fmt.Sprintf("%d%%", percent)
}

// check waits for every front that is heard to have checked a version.
func (s *State) check(c *Version, fleet []Machine, now Micros) {
	waits := ""
	for i := range fleet {
		m := &fleet[i]
		if m.Lost {
			continue
		}
		x := s.of(m)
		if x.Refused == c.N {
			s.end(c, TurnedDown, m.Name+" turned it down: "+x.Why, now)
			return
		}
		if x.Checked < c.N && waits == "" {
			waits = m.Name
		}
	}
	if waits == "" {
		s.begin(c, 0, fleet, now)
	} else if now-c.Since > checkFor {
		s.end(c, TurnedDown, fmt.Sprintf("%s has not checked it in %d s", waits, checkFor/second), now)
	}
}

// began notes how the fronts fare at the moment at which a step begins.
func (s *State) began() {
	for i := range s.Stands {
		x := &s.Stands[i]
		x.WasBad, x.WasSeen = x.Bad, x.Seen
	}
}

// roll goes on with a version's step, or goes back.
func (s *State) roll(c *Version, fleet []Machine, now Micros) {
	waits, acting := "", 0
	for i := range fleet {
		m := &fleet[i]
		x := s.of(m)
		switch {
		case x.Crashed == c.N:
			s.end(c, Back, m.Name+" ended soon after it had taken it up", now)
			return
		case x.Refused == c.N && c.has(m.Name):
			s.end(c, Back, m.Name+" turned it down: "+x.Why, now)
			return
		case x.Acts == c.N:
			acting++
		case c.has(m.Name) && !m.Lost && waits == "":
			waits = m.Name
		}
	}
	if text := s.sick(c, fleet); text != "" {
		s.end(c, Back, text, now)
		return
	}
	switch {
	case waits != "" || acting == 0:
		c.Acted = 0
		if now-c.Since > actFor+c.Watch {
			s.end(c, Back, cmp.Or(waits, "nobody")+fmt.Sprintf(" does not act on it after %d s", (now-c.Since)/second), now)
		}
	case c.Acted == 0:
		c.Acted = max(1, now)
	case now-c.Acted < c.Watch:
	case c.Step+1 < len(c.Steps):
		s.begin(c, c.Step+1, fleet, now)
	default:
		s.stands(c, now)
	}
}

// Sickness: percent points by which those who act on a version must fare worse than
// they did before, and than the others do.
const worse = 15

// sick compares how those who act on a version fare with how they did, and with the others.
func (s *State) sick(c *Version, fleet []Machine) string {
	var on, was, others, n, nWas, nOthers int
	for i := range fleet {
		m := &fleet[i]
		x := s.of(m)
		if m.Lost || !x.Seen {
			continue
		}
		if x.Acts == c.N {
			on, n = on+x.Bad, n+1
			if x.WasSeen {
				was, nWas = was+x.WasBad, nWas+1
			}
		} else {
			others, nOthers = others+x.Bad, nOthers+1
		}
	}
	if n == 0 {
		return ""
	}
	before, beside := was/max(1, nWas), others/max(1, nOthers)
	if on/n >= max(before, beside)+worse {
		return fmt.Sprintf("of the requests of those who act on it %d%% were refused or failed; before %d%%, of the others' %d%%", on/n, before, beside)
	}
	return ""
}

// bar follows a version's bar: who is late is shut out, within the quota, and it has
// passed once nobody acts on an older one.
func (s *State) bar(g *Version, fleet []Machine, r Rules, now Micros, tell func(*Version, string, ...any)) {
	late := now-g.Since >= g.Bar
	total, zones, shut, zoneShut := 0, map[string]int{}, 0, map[string]int{}
	for i := range fleet {
		m := &fleet[i]
		total++
		zones[m.Zone]++
		if x := s.Stand(m.Name); m.Lost || x != nil && x.Fenced > 0 && x.Acts < x.Fenced {
			shut++
			zoneShut[m.Zone]++
		}
	}
	open, spared := 0, []string{}
	for i := range fleet {
		m := &fleet[i]
		x := s.of(m)
		if x.Acts >= g.N && x.none(g.N) || x.Shut >= g.N && x.none(g.N) || m.over(now) {
			continue
		}
		own := s.Stand(m.Name)
		if own != nil && own.Fenced >= g.N {
			if own.At == 0 || m.Lease == 0 || now < own.At+lease.Until(m.Lease+r.Empty) {
				open++
			}
			continue
		}
		if !late || m.Lost {
			open++
			continue
		}
		if (shut+1)*100 > max(100, r.Quota*total) || (zoneShut[m.Zone]+1)*100 > max(100, r.Quota*zones[m.Zone]) {
			spared = append(spared, m.Name)
			open++
			continue
		}
		shut++
		zoneShut[m.Zone]++
		open++
		if own == nil {
			s.Reported(Stand{Name: m.Name, ID: m.ID, Start: m.Start}, now)
			own = s.Stand(m.Name)
		}
		own.Fenced, own.At = g.N, 0
		if now-own.FlapAt > flapFor {
			own.Flaps = 0
		}
		own.Flaps, own.FlapAt = min(own.Flaps+1, mostFlaps), now
		tell(g, "%s is shut out: %s", m.Name, s.Cause(m, now))
	}
	if !slices.Equal(spared, g.Spared) {
		if g.Spared = spared; len(spared) > 0 {
			tell(g, "LOUD: %d fronts act on older versions and go on, since more than %d%% would be shut out: %s", len(spared), r.Quota, few(spared))
		}
	}
	if open == 0 {
		g.Passed = max(1, now)
		s.Barred = max(s.Barred, g.N)
		tell(g, "its bar has passed: nobody acts on an older one")
	}
}

// none tells that no request is open that came under an older version than one.
func (x *Stand) none(n uint64) bool { return x.Oldest == 0 || x.Oldest > n }

// over tells whether a front is lost and its lease surely over.
func (m *Machine) over(now Micros) bool { return m.Lost && m.Ended > 0 && now >= m.Ended }

// release counts from when a front that was shut out is granted nothing, and lets in
// those that have come up to what they were shut out below.
func (s *State) release(fleet []Machine, r Rules, now Micros, facts bool, tell func(string)) {
	for i := range s.Stands {
		x := &s.Stands[i]
		if x.Fenced == 0 {
			continue
		}
		j := slices.IndexFunc(fleet, func(m Machine) bool { return m.Name == x.Name })
		if j < 0 {
			continue
		}
		m := &fleet[j]
		if x.Acts >= x.Fenced && x.ID == m.ID && x.Start == m.Start && !m.Lost {
			x.Fenced, x.At = 0, 0
			x.WarmAt = now + r.Cold<<max(0, x.Flaps-1)
			tell(fmt.Sprintf("front %s: brought up to version %d; it is a full machine in %d s", x.Name, x.Acts, (x.WarmAt-now)/second))
		} else if x.At == 0 && facts {
			x.At = max(1, now)
		}
	}
}

// loose forgets pieces that no version needs: those of versions that may be gone back
// to, or are on their way, stay.
func (s *State) loose(now Micros) {
	needed := map[string]bool{}
	for i := range s.Versions {
		if v := &s.Versions[i]; v.N == s.Good || v.Phase == Checking || v.Phase == Rolling {
			for _, h := range v.Pieces {
				needed[h] = true
			}
		}
	}
	s.Pieces = slices.DeleteFunc(s.Pieces, func(p Piece) bool { return !needed[p.Hash] && now-p.At > looseFor })
}

// Waiting tells whether anything here waits for time to pass.
func (s *State) Waiting(now Micros) bool {
	if s.Candidate() != nil || slices.ContainsFunc(s.Stands, func(x Stand) bool { return now < x.WarmAt }) {
		return true
	}
	if g := s.Find(s.Good); g != nil && g.Bar > 0 && g.Passed == 0 {
		return true
	}
	if slices.ContainsFunc(s.Stands, func(x Stand) bool { return x.Fenced > 0 && x.At == 0 }) {
		return true
	}
	named := 0
	if g := s.Find(s.Good); g != nil {
		named = len(g.Pieces)
	}
	return len(s.Pieces) > named
}

// Cause tells why a front lags, as far as the state knows.
func (s *State) Cause(m *Machine, now Micros) string {
	x := s.of(m)
	target := s.Good
	switch {
	case m.Lost:
		return "it is not heard: cut off, stopped or down"
	case x.ID == 0:
		return "it has said nothing of versions: an older build, or only just started"
	case x.Refused == target && target > 0:
		return "it turned version " + fmt.Sprint(target) + " down: " + x.Why
	case x.Crashed == target && target > 0:
		return fmt.Sprintf("its process ended soon after it had taken version %d up", target)
	case x.Checked >= target && x.Acts < target:
		return "it has checked the version and does not act on it yet: its disk is slow or takes nothing"
	case x.Acts < target:
		return "it has not checked the version yet"
	case !x.none(target):
		return fmt.Sprintf("it has requests open that came under version %d", x.Oldest-1)
	case x.Acts > target:
		return fmt.Sprintf("it is on its way back from version %d", x.Acts)
	}
	return "it does not lag"
}

// Lag is one front of a report.
type Lag struct {
	Name    string
	Acts    uint64
	Target  uint64
	Behind  uint64 // versions
	Oldest  uint64 // with open requests
	Cause   string // empty: it does not lag
	Shut    bool
	Warm    bool // it is not a full machine yet
	Refused uint64
	Why     string
}

// Lags tells where each front stands.
func (s *State) Lags(fleet []Machine, now Micros) (list []Lag) {
	for i := range fleet {
		m := &fleet[i]
		x := s.of(m)
		if m.Lost {
			if y := s.Stand(m.Name); y != nil {
				x.Acts = y.Acts
			}
		}
		l := Lag{Name: m.Name, Acts: x.Acts, Target: s.Target(m.Name), Oldest: x.Oldest, Refused: x.Refused, Why: x.Why}
		if y := s.Stand(m.Name); y != nil {
			l.Shut, l.Warm = y.Fenced > y.Acts, now < y.WarmAt
		}
		if l.Acts != l.Target || m.Lost {
			l.Cause = s.Cause(m, now)
			if l.Target > l.Acts {
				l.Behind = l.Target - l.Acts
			}
		}
		list = append(list, l)
	}
	return list
}

// Why says in a sentence what a version waits for, or what became of it.
func (s *State) Why(n uint64, fleet []Machine, r Rules, now Micros) string {
	v := s.Find(n)
	if v == nil {
		return fmt.Sprintf("version %d is not known here.", n)
	}
	var waits []string
	switch v.Phase {
	case Checking:
		for i := range fleet {
			if m := &fleet[i]; !m.Lost && s.of(m).Checked < n {
				waits = append(waits, m.Name)
			}
		}
		return fmt.Sprintf("version %d is being checked for %d s and waits for %s.", n, (now-v.Since)/second, few(waits))
	case Rolling:
		for i := range fleet {
			if m := &fleet[i]; v.has(m.Name) && !m.Lost && s.of(m).Acts != n {
				waits = append(waits, m.Name)
			}
		}
		if len(waits) > 0 {
			return fmt.Sprintf("version %d is %s and waits for %s to act on it.", n, s.line(v), few(waits))
		}
		return fmt.Sprintf("version %d is %s and watched for %d s more.", n, s.line(v), (max(0, v.Watch-(now-v.Acted))+second-1)/second)
	case Standing:
		if v.Bar == 0 || v.Passed > 0 {
			text := fmt.Sprintf("version %d stands for %d s", n, (now-v.Since)/second)
			if v.Passed > 0 {
				text += fmt.Sprintf("; its bar passed after %d s", (v.Passed-v.Since)/second)
			}
			return text + "."
		}
		for i := range fleet {
			m := &fleet[i]
			if x := s.of(m); (x.Acts < n && x.Shut < n || !x.none(n)) && !m.over(now) {
				waits = append(waits, fmt.Sprintf("%s (%s)", m.Name, s.Cause(m, now)))
			}
		}
		return fmt.Sprintf("version %d stands for %d s; its bar of %d s has not passed: %s.", n, (now-v.Since)/second, v.Bar/second, few(waits))
	}
	return fmt.Sprintf("version %d was %s %d s ago.", n, s.line(v), (now-v.Since)/second)
}

func few(names []string) string {
	if n := len(names); n > 5 {
		names = append(slices.Clone(names[:5]), fmt.Sprintf("%d more", n-5))
	}
	return cmp.Or(strings.Join(names, ", "), "nobody")
}
