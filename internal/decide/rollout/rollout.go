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
	MaxPieceSize      = 8 << 10   // bytes of a piece
	MaxVersionSize    = 512 << 10 // bytes of a version
	maxVersions       = 32        // versions that are told of
	maxPieces         = 4 * MaxVersionSize / MaxPieceSize
	maxTextSize       = 200
	maxSteps          = 8
	pieceRetention    = 120 * second // a piece that no version names is kept
	checkTimeout      = 30 * second  // for every front that is heard to check a version
	activationTimeout = 30 * second  // for the fronts of a step to act on it
	flapWindow        = 600 * second // after which a front that was shut out once counts as steady again
	maxFlaps          = 5
)

// Phase is how far a version has come.
type Phase uint8

// The phases.
const (
	Checking Phase = iota // every front that is heard checks it whole
	Rolling               // part of the fleet acts on it, and is watched
	Stable                // it is the fleet's
	Replaced              // it was
	Rejected
	RolledBack // it went back to the last good one
)

var phaseNames = [...]string{"checking", "rolling", "standing", "replaced", "turned down", "rolled back"}

// String is the phase's name.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Void tells whether nobody may take a version up any more.
func (p Phase) Withdrawn() bool { return p == Rejected || p == RolledBack }

// Version is one of them.
type Version struct {
	Number       uint64   `cbor:"1,keyasint"`
	Digest       string   `cbor:"2,keyasint"` // SHA-256 of its bytes, in hex
	Pieces       []string `cbor:"3,keyasint"` // digests of its pieces, in order
	Reason       string   `cbor:"4,keyasint,omitempty"`
	ProposedBy   string   `cbor:"5,keyasint,omitempty"`
	Urgent       bool     `cbor:"6,keyasint,omitempty"`  // to all at once, unwatched
	Gate         Micros   `cbor:"7,keyasint,omitempty"`  // after it stands for so long nobody may act on older ones; 0: no bar
	Watch        Micros   `cbor:"8,keyasint,omitempty"`  // for which each step is watched
	Steps        []int    `cbor:"9,keyasint,omitempty"`  // percent of the fronts; 0: one a zone; the last is 100
	Base         uint64   `cbor:"10,keyasint,omitempty"` // what stood when it was proposed
	Phase        Phase    `cbor:"11,keyasint"`
	Since        Micros   `cbor:"12,keyasint"` // when it came into its phase, or step
	Step         int      `cbor:"13,keyasint,omitempty"`
	ActiveAt     Micros   `cbor:"14,keyasint,omitempty"` // rolling: when all of the step acted on it; 0: not yet
	Note         string   `cbor:"15,keyasint,omitempty"` // why it ended, or what is unusual
	GatePassedAt Micros   `cbor:"16,keyasint,omitempty"` // when its bar had passed; 0: not yet, or none
	Cohort       []string `cbor:"18,keyasint,omitempty"` // rolling: who takes it up in this step, by name; none: all
	Exempt       []string `cbor:"17,keyasint,omitempty"` // fronts that are older and go on, since too many would be shut out
}

// Stand is what a front says of itself, and what the state concludes.
type FrontStatus struct {
	Name          string `cbor:"1,keyasint"`
	ID            uint64 `cbor:"2,keyasint"`
	Start         uint64 `cbor:"3,keyasint"`
	Active        uint64 `cbor:"4,keyasint,omitempty"`  // version that it acts on
	Checked       uint64 `cbor:"5,keyasint,omitempty"`  // the newest that it found good
	Refused       uint64 `cbor:"6,keyasint,omitempty"`  // the newest that it turned down
	Reason        string `cbor:"7,keyasint,omitempty"`  // with the key at fault
	Crashed       uint64 `cbor:"8,keyasint,omitempty"`  // the newest under which its process ended soon after it took it up
	OldestInUse   uint64 `cbor:"9,keyasint,omitempty"`  // the oldest under which it has open requests, and one; 0: none under an older one
	FailedPercent int    `cbor:"10,keyasint,omitempty"` // percent of its requests lately that were refused or failed, in steps of 5
	HasSample     bool   `cbor:"11,keyasint,omitempty"` // so many that it tells anything
	SelfFenced    uint64 `cbor:"12,keyasint,omitempty"` // it acts on nothing below this version
	AuditSeq      uint64 `cbor:"13,keyasint,omitempty"` // of its audit's chain
	AuditHead     string `cbor:"14,keyasint,omitempty"` // digest of the chain there

	Fenced                uint64 `cbor:"20,keyasint,omitempty"` // by the state: it is shut out below this version
	FencedAt              Micros `cbor:"21,keyasint,omitempty"` // since when its lease is granted no more; 0: not counted yet
	Flaps                 int    `cbor:"22,keyasint,omitempty"` // how often it was shut out lately
	LastFlapAt            Micros `cbor:"23,keyasint,omitempty"`
	WarmAt                Micros `cbor:"24,keyasint,omitempty"` // after it came back: until when it is not a full machine
	BaselineFailedPercent int    `cbor:"25,keyasint,omitempty"` // Bad at the moment at which the step began
	BaselineHasSample     bool   `cbor:"26,keyasint,omitempty"`
}

// Said is what the front itself said of it.
func (status FrontStatus) OwnReport() FrontStatus {
	status.Fenced, status.FencedAt, status.Flaps, status.LastFlapAt, status.WarmAt, status.BaselineFailedPercent, status.BaselineHasSample = 0, 0, 0, 0, 0, 0, false
	return status
}

// Headless is a stand without its audit's head, which changes all the time.
func (status FrontStatus) WithoutAuditHead() FrontStatus {
	status.AuditSeq, status.AuditHead = 0, ""
	return status
}

// Piece is a part of a version's bytes.
type Piece struct {
	Hash     string `cbor:"1,keyasint"`
	Data     []byte `cbor:"2,keyasint"`
	StoredAt Micros `cbor:"3,keyasint"`
}

// Machine is what Step must know of a front.
type Machine struct {
	Name, Zone  string
	ID, Start   uint64
	Lost        bool
	NotServing  bool
	LeaseExpiry Micros // lost: when its lease is surely over; 0: never
	Lease       Micros // the longest that it acts without hearing the fleet; 0: for ever
}

// Rules are what the operators set.
type Rules struct {
	LeaseSpan        Micros // of leases; without them there are no bars
	MaxFencedPercent int    // percent of the fronts, and of those of a zone, that may be shut out for lagging
	WarmUp           Micros // for which a front that comes back is not a full machine
	DrainTimeout     Micros // that open requests may take
}

// State is all versions, and where the fronts stand.
type State struct {
	LastNumber  uint64        `cbor:"1,keyasint"`
	Stable      uint64        `cbor:"2,keyasint"` // that stands; 0: what fronts have in files of their own
	Versions    []Version     `cbor:"3,keyasint,omitempty"`
	Statuses    []FrontStatus `cbor:"4,keyasint,omitempty"` // by name
	Pieces      []Piece       `cbor:"5,keyasint,omitempty"` // by hash
	EnforcedMin uint64        `cbor:"6,keyasint,omitempty"` // nobody may act below this one, once its bar has passed
	LostAudits  []LostAudit   `cbor:"7,keyasint,omitempty"` // audits that were lost with their disks
}

// Hole is what the fleet knows of an audit that is gone: its front came back under
// another incarnation.
type LostAudit struct {
	Name    string `cbor:"1,keyasint"`
	ID      uint64 `cbor:"2,keyasint"` // that it was
	Seq     uint64 `cbor:"3,keyasint"` // records up to here are gone, and those behind it that nobody heard of
	Head    string `cbor:"4,keyasint"`
	FoundAt Micros `cbor:"5,keyasint"` // when it came back
}

const maxLostAudits = 256

// Errors of what was proposed.
var (
	ErrPieceSize       = fmt.Errorf("a piece of 1 to %d bytes is wanted", MaxPieceSize)
	ErrTooManyPieces   = fmt.Errorf("too many pieces wait or are kept, %d at most", maxPieces)
	ErrDigest          = errors.New("the pieces do not make up the digest that was given, or some are not there")
	ErrSteps           = fmt.Errorf("steps of 0 to 100 percent that grow, %d at most, are wanted", maxSteps)
	ErrGateNeedsLeases = errors.New("a bar needs leases: set rules alone_s first")
	ErrNoCandidate     = errors.New("no such version is on its way")
	ErrReasonLength    = fmt.Errorf("a reason of %d bytes at most is wanted", maxTextSize)
	ErrSpanRange       = errors.New("bar and watch: 0 to a day are possible")
)

// Hash names a piece.
func Hash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

func search[T any](list []T, key string, keyOf func(*T) string) (int, bool) {
	return slices.BinarySearchFunc(list, key, func(x T, k string) int { return cmp.Compare(keyOf(&x), k) })
}

// Keep takes a piece in. One that is there already costs nothing.
func (s *State) StorePiece(data []byte, now Micros) (hash string, err error) {
	if len(data) == 0 || len(data) > MaxPieceSize {
		return "", ErrPieceSize
	}
	hash = Hash(data)
	i, ok := search(s.Pieces, hash, func(p *Piece) string { return p.Hash })
	if ok {
		s.Pieces[i].StoredAt = now
		return hash, nil
	}
	if len(s.Pieces) >= maxPieces {
		return "", ErrTooManyPieces
	}
	s.Pieces = slices.Insert(s.Pieces, i, Piece{Hash: hash, Data: data, StoredAt: now})
	return hash, nil
}

// Content puts a version's bytes together; nil: its pieces are not there any more.
func (s *State) Content(n uint64) []byte {
	v := s.Find(n)
	if v == nil {
		return nil
	}
	return s.assemble(v.Pieces)
}

func (s *State) assemble(hashes []string) (out []byte) {
	for _, h := range hashes {
		i, ok := search(s.Pieces, h, func(p *Piece) string { return p.Hash })
		if !ok {
			return nil
		}
		out = append(out, s.Pieces[i].Data...)
	}
	return out
}

// Find gives a version; nil: it is not kept, or there is none.
func (s *State) Find(n uint64) *Version {
	i, ok := slices.BinarySearchFunc(s.Versions, n, func(v Version, n uint64) int { return cmp.Compare(v.Number, n) })
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
func (s *State) Status(name string) *FrontStatus {
	i, ok := search(s.Statuses, name, func(x *FrontStatus) string { return x.Name })
	if !ok {
		return nil
	}
	return &s.Statuses[i]
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
	grows := slices.IsSorted(v.Steps) && v.Steps[0] >= 0 && v.Steps[len(v.Steps)-1] <= 100 && len(v.Steps) <= maxSteps
	data := s.assemble(v.Pieces)
	switch {
	case len(v.Reason) > maxTextSize || len(v.ProposedBy) > maxTextSize:
		return 0, ErrReasonLength
	case !grows:
		return 0, ErrSteps
	case v.Gate < 0 || v.Watch < 0 || v.Gate > 86400*second || v.Watch > 86400*second:
		return 0, ErrSpanRange
	case data == nil || len(data) > MaxVersionSize || Hash(data) != v.Digest:
		return 0, ErrDigest
	case v.Gate > 0 && r.LeaseSpan == 0:
		return 0, ErrGateNeedsLeases
	}
	if c := s.Candidate(); c != nil {
		return 0, fmt.Errorf("version %d (%s) is %s, and one goes at a time", c.Number, cmp.Or(c.Reason, "no reason given"), c.Phase)
	}
	if v.Base != s.Stable {
		why := ""
		if g := s.Find(s.Stable); g != nil {
			why = fmt.Sprintf(" (%s, by %s)", cmp.Or(g.Reason, "no reason given"), cmp.Or(g.ProposedBy, "nobody named"))
		}
		return 0, fmt.Errorf("it was made on version %d, and version %d%s stands now", v.Base, s.Stable, why)
	}
	if v.Steps[len(v.Steps)-1] < 100 {
		v.Steps = append(slices.Clone(v.Steps), 100)
	}
	s.LastNumber++
	s.Versions = append(s.Versions, Version{Number: s.LastNumber, Digest: v.Digest, Pieces: v.Pieces, Reason: v.Reason, ProposedBy: v.ProposedBy, Urgent: v.Urgent, Gate: v.Gate,
		Watch: v.Watch, Steps: v.Steps, Base: v.Base, Since: now})
	c := &s.Versions[len(s.Versions)-1]
	if c.Urgent {
		s.makeStable(c, now)
	}
	if len(s.Versions) > maxVersions {
		s.Versions = slices.Delete(s.Versions, 0, len(s.Versions)-maxVersions)
	}
	return s.LastNumber, nil
}

// stands has a version be the fleet's.
func (s *State) makeStable(v *Version, now Micros) {
	if old := s.Find(s.Stable); old != nil {
		old.Phase, old.Since = Replaced, now
	}
	v.Phase, v.Since, v.Step, v.Cohort = Stable, now, len(v.Steps)-1, nil
	s.Stable = v.Number
}

// Stop is a person's word that the version on its way goes back.
func (s *State) Stop(why string, now Micros) error {
	c := s.Candidate()
	if c == nil {
		return ErrNoCandidate
	}
	s.finish(c, RolledBack, cmp.Or(why, "stopped by a person"), now)
	return nil
}

func (s *State) finish(v *Version, p Phase, note string, now Micros) {
	v.Phase, v.Since, v.Note = p, now, note[:min(len(note), 2*maxTextSize)]
}

// Reported takes in what a front says of itself, under the incarnation and process
// that the fleet knows it by.
func (s *State) ApplyReport(report FrontStatus, now Micros) {
	report.Reason = report.Reason[:min(len(report.Reason), maxTextSize)]
	report = report.OwnReport()
	i, ok := search(s.Statuses, report.Name, func(report *FrontStatus) string { return report.Name })
	if !ok {
		s.Statuses = slices.Insert(s.Statuses, i, report)
		return
	}
	old := &s.Statuses[i]
	if old.ID != report.ID && old.AuditSeq > 0 {
		s.LostAudits = append(s.LostAudits, LostAudit{Name: report.Name, ID: old.ID, Seq: old.AuditSeq, Head: old.AuditHead, FoundAt: now})
		s.LostAudits = s.LostAudits[max(0, len(s.LostAudits)-maxLostAudits):]
	}
	report.Fenced, report.FencedAt, report.Flaps, report.LastFlapAt, report.WarmAt, report.BaselineFailedPercent, report.BaselineHasSample = old.Fenced, old.FencedAt, old.Flaps, old.LastFlapAt, old.WarmAt, old.BaselineFailedPercent, old.BaselineHasSample
	*old = report
}

// Of gives a front's stand where it is of its incarnation and process; else one that
// has said nothing.
func (s *State) currentStatus(m *Machine) FrontStatus {
	if x := s.Status(m.Name); x != nil && x.ID == m.ID && x.Start == m.Start {
		return *x
	}
	return FrontStatus{Name: m.Name}
}

// rank orders the fronts for a version, differently for each.
func hashOrder(n uint64, name string) uint64 {
	return xxhash.Sum64(fmt.Appendf(nil, "%d %s", n, name))
}

// begin begins a version's step, and says who takes it up: one a zone, or so many
// percent, of those that are heard and serve, and all of the step before; at 100 all.
func (s *State) beginStep(v *Version, step int, fleet []Machine, now Micros) {
	cohort := map[string]bool{}
	for _, name := range v.Cohort {
		cohort[name] = true
	}
	v.Phase, v.Step, v.Since, v.ActiveAt = Rolling, step, now, 0
	s.recordBaseline()
	if v.Steps[step] >= 100 {
		v.Cohort = nil
		return
	}
	order := make([]*Machine, 0, len(fleet))
	for i := range fleet {
		if m := &fleet[i]; !m.Lost && !m.NotServing {
			order = append(order, m)
		}
	}
	slices.SortFunc(order, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(hashOrder(v.Number, a.Name), hashOrder(v.Number, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	if percent := v.Steps[step]; percent == 0 {
		zones := map[string]bool{}
		for _, m := range order {
			if !zones[m.Zone] {
				zones[m.Zone], cohort[m.Name] = true, true
			}
		}
	} else {
		want := (len(order)*percent + 99) / 100
		for _, m := range order {
			if len(cohort) >= want {
				break
			}
			cohort[m.Name] = true
		}
	}
	v.Cohort = slices.Sorted(maps.Keys(cohort))
}

// has tells whether a front is of the step's part.
func (v *Version) inCohort(name string) bool {
	if v.Steps[v.Step] >= 100 {
		return true
	}
	_, ok := slices.BinarySearch(v.Cohort, name)
	return ok
}

// Target is the version that a front is to act on, by the state alone.
func (s *State) Target(name string) uint64 {
	if c := s.Candidate(); c != nil && c.Phase == Rolling && c.inCohort(name) {
		return c.Number
	}
	return s.Stable
}

// Least is the oldest version that a front may act on where the state is known; bar
// tells after how long since the state said so it must have stopped.
func (s *State) MinVersion(name string) (n uint64, gate Micros) {
	n = s.enforcedMinFor(name)
	if g := s.Find(s.Stable); g != nil && g.Gate > 0 && g.GatePassedAt == 0 && !slices.Contains(g.Exempt, name) {
		return max(n, g.Number), g.Gate
	}
	return n, 0
}

// floor is the version below which a front may not act at all, whatever newer bar runs.
func (s *State) enforcedMinFor(name string) uint64 {
	n := s.EnforcedMin
	if x := s.Status(name); x != nil {
		n = max(n, x.Fenced)
	}
	return n
}

// Step draws the conclusions of a moment, and gives what has happened, a line each.
// Facts tells that the entry is one by which time has moved on.
func (s *State) Step(fleet []Machine, r Rules, now Micros, timeAdvanced bool) (events []string) {
	emit := func(v *Version, format string, args ...any) {
		events = append(events, fmt.Sprintf("version %d: ", v.Number)+fmt.Sprintf(format, args...))
	}
	if c := s.Candidate(); c != nil {
		was, step := c.Phase, c.Step
		switch c.Phase {
		case Checking:
			s.advanceCheck(c, fleet, now)
		case Rolling:
			s.advanceStep(c, fleet, now)
		}
		if c.Phase != was || c.Step != step {
			emit(c, "%s", s.describe(c))
		}
	}
	// What is shut out by this entry is counted from the next on by which time moves on:
	// until this one was committed, leases may have been asked for.
	s.updateFences(fleet, r, now, timeAdvanced, func(text string) { events = append(events, text) })
	if g := s.Find(s.Stable); g != nil && g.Gate > 0 && g.GatePassedAt == 0 {
		s.advanceGate(g, fleet, r, now, emit)
	}
	s.dropUnusedPieces(now)
	return events
}

// line tells how far a version is.
func (s *State) describe(v *Version) string {
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
func (s *State) advanceCheck(c *Version, fleet []Machine, now Micros) {
	waitingFor := ""
	for i := range fleet {
		m := &fleet[i]
		if m.Lost {
			continue
		}
		status := s.currentStatus(m)
		if status.Refused == c.Number {
			s.finish(c, Rejected, m.Name+" turned it down: "+status.Reason, now)
			return
		}
		if status.Checked < c.Number && waitingFor == "" {
			waitingFor = m.Name
		}
	}
	if waitingFor == "" {
		s.beginStep(c, 0, fleet, now)
	} else if now-c.Since > checkTimeout {
		s.finish(c, Rejected, fmt.Sprintf("%s has not checked it in %d s", waitingFor, checkTimeout/second), now)
	}
}

// began notes how the fronts fare at the moment at which a step begins.
func (s *State) recordBaseline() {
	for i := range s.Statuses {
		x := &s.Statuses[i]
		x.BaselineFailedPercent, x.BaselineHasSample = x.FailedPercent, x.HasSample
	}
}

// roll goes on with a version's step, or goes back.
func (s *State) advanceStep(c *Version, fleet []Machine, now Micros) {
	waitingFor, acting := "", 0
	for i := range fleet {
		m := &fleet[i]
		status := s.currentStatus(m)
		switch {
		case status.Crashed == c.Number:
			s.finish(c, RolledBack, m.Name+" ended soon after it had taken it up", now)
			return
		case status.Refused == c.Number && c.inCohort(m.Name):
			s.finish(c, RolledBack, m.Name+" turned it down: "+status.Reason, now)
			return
		case status.Active == c.Number:
			acting++
		case c.inCohort(m.Name) && !m.Lost && waitingFor == "":
			waitingFor = m.Name
		}
	}
	if regression := s.healthRegression(c, fleet); regression != "" {
		s.finish(c, RolledBack, regression, now)
		return
	}
	switch {
	case waitingFor != "" || acting == 0:
		c.ActiveAt = 0
		if now-c.Since > activationTimeout+c.Watch {
			s.finish(c, RolledBack, cmp.Or(waitingFor, "nobody")+fmt.Sprintf(" does not act on it after %d s", (now-c.Since)/second), now)
		}
	case c.ActiveAt == 0:
		c.ActiveAt = max(1, now)
	case now-c.ActiveAt < c.Watch:
	case c.Step+1 < len(c.Steps):
		s.beginStep(c, c.Step+1, fleet, now)
	default:
		s.makeStable(c, now)
	}
}

// Sickness: percent points by which those who act on a version must fare worse than
// they did before, and than the others do.
const maxRegression = 15

// sick compares how those who act on a version fare with how they did, and with the others.
func (s *State) healthRegression(c *Version, fleet []Machine) string {
	var on, was, others, n, nWas, nOthers int
	for i := range fleet {
		m := &fleet[i]
		status := s.currentStatus(m)
		if m.Lost || !status.HasSample {
			continue
		}
		if status.Active == c.Number {
			on, n = on+status.FailedPercent, n+1
			if status.BaselineHasSample {
				was, nWas = was+status.BaselineFailedPercent, nWas+1
			}
		} else {
			others, nOthers = others+status.FailedPercent, nOthers+1
		}
	}
	if n == 0 {
		return ""
	}
	before, concurrent := was/max(1, nWas), others/max(1, nOthers)
	if on/n >= max(before, concurrent)+maxRegression {
		return fmt.Sprintf("of the requests of those who act on it %d%% were refused or failed; before %d%%, of the others' %d%%", on/n, before, concurrent)
	}
	return ""
}

// bar follows a version's bar: who is late is shut out, within the quota, and it has
// passed once nobody acts on an older one.
func (s *State) advanceGate(g *Version, fleet []Machine, r Rules, now Micros, emit func(*Version, string, ...any)) {
	late := now-g.Since >= g.Gate
	total, zones, fenced, zoneFenced := 0, map[string]int{}, 0, map[string]int{}
	for i := range fleet {
		m := &fleet[i]
		total++
		zones[m.Zone]++
		if status := s.Status(m.Name); m.Lost || status != nil && status.Fenced > 0 && status.Active < status.Fenced {
			fenced++
			zoneFenced[m.Zone]++
		}
	}
	open, exempt := 0, []string{}
	for i := range fleet {
		m := &fleet[i]
		status := s.currentStatus(m)
		if status.Active >= g.Number && status.noneOpenBefore(g.Number) || status.SelfFenced >= g.Number && status.noneOpenBefore(g.Number) || m.leaseExpired(now) {
			continue
		}
		reported := s.Status(m.Name)
		if reported != nil && reported.Fenced >= g.Number {
			if reported.FencedAt == 0 || m.Lease == 0 || now < reported.FencedAt+lease.ExpirySpan(m.Lease+r.DrainTimeout) {
				open++
			}
			continue
		}
		if !late || m.Lost {
			open++
			continue
		}
		if (fenced+1)*100 > max(100, r.MaxFencedPercent*total) || (zoneFenced[m.Zone]+1)*100 > max(100, r.MaxFencedPercent*zones[m.Zone]) {
			exempt = append(exempt, m.Name)
			open++
			continue
		}
		fenced++
		zoneFenced[m.Zone]++
		open++
		if reported == nil {
			s.ApplyReport(FrontStatus{Name: m.Name, ID: m.ID, Start: m.Start}, now)
			reported = s.Status(m.Name)
		}
		reported.Fenced, reported.FencedAt = g.Number, 0
		if now-reported.LastFlapAt > flapWindow {
			reported.Flaps = 0
		}
		reported.Flaps, reported.LastFlapAt = min(reported.Flaps+1, maxFlaps), now
		emit(g, "%s is shut out: %s", m.Name, s.LagCause(m, now))
	}
	if !slices.Equal(exempt, g.Exempt) {
		if g.Exempt = exempt; len(exempt) > 0 {
			emit(g, "LOUD: %d fronts act on older versions and go on, since more than %d%% would be shut out: %s", len(exempt), r.MaxFencedPercent, abbreviate(exempt))
		}
	}
	if open == 0 {
		g.GatePassedAt = max(1, now)
		s.EnforcedMin = max(s.EnforcedMin, g.Number)
		emit(g, "its bar has passed: nobody acts on an older one")
	}
}

// none tells that no request is open that came under an older version than one.
func (status *FrontStatus) noneOpenBefore(n uint64) bool {
	return status.OldestInUse == 0 || status.OldestInUse > n
}

// over tells whether a front is lost and its lease surely over.
func (m *Machine) leaseExpired(now Micros) bool {
	return m.Lost && m.LeaseExpiry > 0 && now >= m.LeaseExpiry
}

// release counts from when a front that was shut out is granted nothing, and lets in
// those that have come up to what they were shut out below.
func (s *State) updateFences(fleet []Machine, r Rules, now Micros, timeAdvanced bool, emit func(string)) {
	for i := range s.Statuses {
		status := &s.Statuses[i]
		if status.Fenced == 0 {
			continue
		}
		j := slices.IndexFunc(fleet, func(m Machine) bool { return m.Name == status.Name })
		if j < 0 {
			continue
		}
		m := &fleet[j]
		if status.Active >= status.Fenced && status.ID == m.ID && status.Start == m.Start && !m.Lost {
			status.Fenced, status.FencedAt = 0, 0
			status.WarmAt = now + r.WarmUp<<max(0, status.Flaps-1)
			emit(fmt.Sprintf("front %s: brought up to version %d; it is a full machine in %d s", status.Name, status.Active, (status.WarmAt-now)/second))
		} else if status.FencedAt == 0 && timeAdvanced {
			status.FencedAt = max(1, now)
		}
	}
}

// loose forgets pieces that no version needs: those of versions that may be gone back
// to, or are on their way, stay.
func (s *State) dropUnusedPieces(now Micros) {
	needed := map[string]bool{}
	for i := range s.Versions {
		if v := &s.Versions[i]; v.Number == s.Stable || v.Phase == Checking || v.Phase == Rolling {
			for _, h := range v.Pieces {
				needed[h] = true
			}
		}
	}
	s.Pieces = slices.DeleteFunc(s.Pieces, func(p Piece) bool { return !needed[p.Hash] && now-p.StoredAt > pieceRetention })
}

// Waiting tells whether anything here waits for time to pass.
func (s *State) Waiting(now Micros) bool {
	if s.Candidate() != nil || slices.ContainsFunc(s.Statuses, func(x FrontStatus) bool { return now < x.WarmAt }) {
		return true
	}
	if g := s.Find(s.Stable); g != nil && g.Gate > 0 && g.GatePassedAt == 0 {
		return true
	}
	if slices.ContainsFunc(s.Statuses, func(x FrontStatus) bool { return x.Fenced > 0 && x.FencedAt == 0 }) {
		return true
	}
	named := 0
	if g := s.Find(s.Stable); g != nil {
		named = len(g.Pieces)
	}
	return len(s.Pieces) > named
}

// Cause tells why a front lags, as far as the state knows.
func (s *State) LagCause(m *Machine, now Micros) string {
	status := s.currentStatus(m)
	target := s.Stable
	switch {
	case m.Lost:
		return "it is not heard: cut off, stopped or down"
	case status.ID == 0:
		return "it has said nothing of versions: an older build, or only just started"
	case status.Refused == target && target > 0:
		return "it turned version " + fmt.Sprint(target) + " down: " + status.Reason
	case status.Crashed == target && target > 0:
		return fmt.Sprintf("its process ended soon after it had taken version %d up", target)
	case status.Checked >= target && status.Active < target:
		return "it has checked the version and does not act on it yet: its disk is slow or takes nothing"
	case status.Active < target:
		return "it has not checked the version yet"
	case !status.noneOpenBefore(target):
		return fmt.Sprintf("it has requests open that came under version %d", status.OldestInUse-1)
	case status.Active > target:
		return fmt.Sprintf("it is on its way back from version %d", status.Active)
	}
	return "it does not lag"
}

// Lag is one front of a report.
type Lag struct {
	Name        string
	Active      uint64
	Target      uint64
	Behind      uint64 // versions
	OldestInUse uint64 // with open requests
	Cause       string // empty: it does not lag
	Fenced      bool
	WarmingUp   bool // it is not a full machine yet
	Refused     uint64
	Reason      string
}

// Lags tells where each front stands.
func (s *State) Lags(fleet []Machine, now Micros) (list []Lag) {
	for i := range fleet {
		m := &fleet[i]
		status := s.currentStatus(m)
		if m.Lost {
			if reported := s.Status(m.Name); reported != nil {
				status.Active = reported.Active
			}
		}
		lag := Lag{Name: m.Name, Active: status.Active, Target: s.Target(m.Name), OldestInUse: status.OldestInUse, Refused: status.Refused, Reason: status.Reason}
		if reported := s.Status(m.Name); reported != nil {
			lag.Fenced, lag.WarmingUp = reported.Fenced > reported.Active, now < reported.WarmAt
		}
		if lag.Active != lag.Target || m.Lost {
			lag.Cause = s.LagCause(m, now)
			if lag.Target > lag.Active {
				lag.Behind = lag.Target - lag.Active
			}
		}
		list = append(list, lag)
	}
	return list
}

// Why says in a sentence what a version waits for, or what became of it.
func (s *State) Explain(n uint64, fleet []Machine, r Rules, now Micros) string {
	v := s.Find(n)
	if v == nil {
		return fmt.Sprintf("version %d is not known here.", n)
	}
	var waitingFor []string
	switch v.Phase {
	case Checking:
		for i := range fleet {
			if m := &fleet[i]; !m.Lost && s.currentStatus(m).Checked < n {
				waitingFor = append(waitingFor, m.Name)
			}
		}
		return fmt.Sprintf("version %d is being checked for %d s and waits for %s.", n, (now-v.Since)/second, abbreviate(waitingFor))
	case Rolling:
		for i := range fleet {
			if m := &fleet[i]; v.inCohort(m.Name) && !m.Lost && s.currentStatus(m).Active != n {
				waitingFor = append(waitingFor, m.Name)
			}
		}
		if len(waitingFor) > 0 {
			return fmt.Sprintf("version %d is %s and waits for %s to act on it.", n, s.describe(v), abbreviate(waitingFor))
		}
		return fmt.Sprintf("version %d is %s and watched for %d s more.", n, s.describe(v), (max(0, v.Watch-(now-v.ActiveAt))+second-1)/second)
	case Stable:
		if v.Gate == 0 || v.GatePassedAt > 0 {
			text := fmt.Sprintf("version %d stands for %d s", n, (now-v.Since)/second)
			if v.GatePassedAt > 0 {
				text += fmt.Sprintf("; its bar passed after %d s", (v.GatePassedAt-v.Since)/second)
			}
			return text + "."
		}
		for i := range fleet {
			m := &fleet[i]
			if x := s.currentStatus(m); (x.Active < n && x.SelfFenced < n || !x.noneOpenBefore(n)) && !m.leaseExpired(now) {
				waitingFor = append(waitingFor, fmt.Sprintf("%s (%s)", m.Name, s.LagCause(m, now)))
			}
		}
		return fmt.Sprintf("version %d stands for %d s; its bar of %d s has not passed: %s.", n, (now-v.Since)/second, v.Gate/second, abbreviate(waitingFor))
	}
	return fmt.Sprintf("version %d was %s %d s ago.", n, s.describe(v), (now-v.Since)/second)
}

func abbreviate(names []string) string {
	if n := len(names); n > 5 {
		names = append(slices.Clone(names[:5]), fmt.Sprintf("%d more", n-5))
	}
	return cmp.Or(strings.Join(names, ", "), "nobody")
}
