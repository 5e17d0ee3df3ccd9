// Package rollout decides which configuration version each front of a fleet runs: how a
// proposed version is rolled out in steps, when a step advances, stops or rolls back to
// the last stable version, which fronts lag and why, which are fenced, and when no
// front acts on an older version any more (the version gate).
//
// The state is replicated. Every replica draws the same conclusions when it applies an
// entry (Step). Versions are numbered throughout the fleet's life; version 0 stands for
// the files that each front has locally. Time is fleet time.
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

// Micros is a duration, or a point in fleet time, in microseconds.
type Micros = int64

const second Micros = 1_000_000

// Limits and timeouts.
const (
	MaxPieceSize      = 8 << 10   // bytes of a piece
	MaxVersionSize    = 512 << 10 // bytes of a version
	maxVersions       = 32        // versions kept in the state
	maxPieces         = 4 * MaxVersionSize / MaxPieceSize
	maxTextSize       = 200
	maxSteps          = 8
	pieceRetention    = 120 * second // for a piece that no version refers to
	checkTimeout      = 30 * second  // for all reachable fronts to check a version
	activationTimeout = 30 * second  // for the fronts of a step to act on the version
	flapWindow        = 600 * second // a front not fenced for this long starts again at zero flaps
	maxFlaps          = 5
)

// Phase is the stage of a version's rollout.
type Phase uint8

// The phases of a version.
const (
	Checking Phase = iota // every reachable front validates it
	Rolling               // some of the fronts act on it and are observed
	Stable                // the version of the whole fleet
	Replaced              // was stable, a newer one is
	Rejected
	RolledBack // abandoned during its rollout
)

var phaseNames = [...]string{"checking", "rolling", "standing", "replaced", "turned down", "rolled back"}

// String returns the name of the phase.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Withdrawn reports whether no front may activate the version any more.
func (p Phase) Withdrawn() bool { return p == Rejected || p == RolledBack }

// Version is a proposed configuration and the state of its rollout.
type Version struct {
	Number       uint64   `cbor:"1,keyasint"`
	Digest       string   `cbor:"2,keyasint"` // SHA-256 of the content, in hex
	Pieces       []string `cbor:"3,keyasint"` // hashes of the pieces, in order
	Reason       string   `cbor:"4,keyasint,omitempty"`
	ProposedBy   string   `cbor:"5,keyasint,omitempty"`
	Urgent       bool     `cbor:"6,keyasint,omitempty"`  // goes to all fronts at once, without observation
	Gate         Micros   `cbor:"7,keyasint,omitempty"`  // once stable for this long, no front may act on older versions; 0: no gate
	Watch        Micros   `cbor:"8,keyasint,omitempty"`  // how long each step is observed
	Steps        []int    `cbor:"9,keyasint,omitempty"`  // percent of the fronts; 0: one per zone; the last is 100
	Base         uint64   `cbor:"10,keyasint,omitempty"` // stable version when this one was proposed
	Phase        Phase    `cbor:"11,keyasint"`
	Since        Micros   `cbor:"12,keyasint"` // start of the current phase or step
	Step         int      `cbor:"13,keyasint,omitempty"`
	ActiveAt     Micros   `cbor:"14,keyasint,omitempty"` // rolling: when all fronts of the step acted on it; 0: not yet
	Note         string   `cbor:"15,keyasint,omitempty"` // why it ended, or what is unusual
	GatePassedAt Micros   `cbor:"16,keyasint,omitempty"` // when the gate passed; 0: not yet, or no gate
	Cohort       []string `cbor:"18,keyasint,omitempty"` // rolling: names of the fronts in this step, sorted; none: all fronts
	Exempt       []string `cbor:"17,keyasint,omitempty"` // fronts on older versions that go on, since fencing them would exceed the limit
}

// FrontStatus is what a front reports of itself and what the state derives from it.
type FrontStatus struct {
	Name          string `cbor:"1,keyasint"`
	ID            uint64 `cbor:"2,keyasint"`
	Start         uint64 `cbor:"3,keyasint"`
	Active        uint64 `cbor:"4,keyasint,omitempty"`  // version that it acts on
	Checked       uint64 `cbor:"5,keyasint,omitempty"`  // newest version that it found valid
	Refused       uint64 `cbor:"6,keyasint,omitempty"`  // newest version that it refused
	Reason        string `cbor:"7,keyasint,omitempty"`  // of the refusal; names the key at fault
	Crashed       uint64 `cbor:"8,keyasint,omitempty"`  // newest version under which its process ended shortly after activation
	OldestInUse   uint64 `cbor:"9,keyasint,omitempty"`  // 1 + the oldest version with open requests; 0: none under an older version
	FailedPercent int    `cbor:"10,keyasint,omitempty"` // percent of its recent requests that were refused or failed, in steps of 5
	HasSample     bool   `cbor:"11,keyasint,omitempty"` // enough requests for FailedPercent to be meaningful
	SelfFenced    uint64 `cbor:"12,keyasint,omitempty"` // it does not act on any version below this one
	AuditSeq      uint64 `cbor:"13,keyasint,omitempty"` // last record of its audit chain
	AuditHead     string `cbor:"14,keyasint,omitempty"` // digest of the chain at AuditSeq

	Fenced                uint64 `cbor:"20,keyasint,omitempty"` // set by the state: it is fenced below this version
	FencedAt              Micros `cbor:"21,keyasint,omitempty"` // since when it gets no more leases; 0: not yet counted
	Flaps                 int    `cbor:"22,keyasint,omitempty"` // how often it was fenced recently
	LastFlapAt            Micros `cbor:"23,keyasint,omitempty"`
	WarmAt                Micros `cbor:"24,keyasint,omitempty"` // after it was fenced: when it counts as a full machine again
	BaselineFailedPercent int    `cbor:"25,keyasint,omitempty"` // FailedPercent at the start of the step
	BaselineHasSample     bool   `cbor:"26,keyasint,omitempty"`
}

// OwnReport returns the part of the status that the front itself reported.
func (status FrontStatus) OwnReport() FrontStatus {
	status.Fenced, status.FencedAt, status.Flaps, status.LastFlapAt, status.WarmAt, status.BaselineFailedPercent, status.BaselineHasSample = 0, 0, 0, 0, 0, 0, false
	return status
}

// WithoutAuditHead returns the status without the head of the audit chain, which
// changes constantly.
func (status FrontStatus) WithoutAuditHead() FrontStatus {
	status.AuditSeq, status.AuditHead = 0, ""
	return status
}

// Piece is a part of a version's content.
type Piece struct {
	Hash     string `cbor:"1,keyasint"`
	Data     []byte `cbor:"2,keyasint"`
	StoredAt Micros `cbor:"3,keyasint"`
}

// Machine is what Step needs to know about a front.
type Machine struct {
	Name, Zone  string
	ID, Start   uint64
	Lost        bool
	NotServing  bool
	LeaseExpiry Micros // lost: when its lease has certainly expired; 0: never
	Lease       Micros // longest time that it acts without contact to the fleet; 0: unlimited
}

// Rules are the settings of the operators.
type Rules struct {
	LeaseSpan        Micros // of the fronts' leases; 0: no leases, so no gates
	MaxFencedPercent int    // percent of all fronts, and of those of a zone, that may be fenced for lagging
	WarmUp           Micros // time until a returning front counts as a full machine
	DrainTimeout     Micros // time that open requests may take to finish
}

// State holds all versions and the status of every front.
type State struct {
	LastNumber  uint64        `cbor:"1,keyasint"`
	Stable      uint64        `cbor:"2,keyasint"` // the stable version; 0: the fronts' local files
	Versions    []Version     `cbor:"3,keyasint,omitempty"`
	Statuses    []FrontStatus `cbor:"4,keyasint,omitempty"` // sorted by name
	Pieces      []Piece       `cbor:"5,keyasint,omitempty"` // sorted by hash
	EnforcedMin uint64        `cbor:"6,keyasint,omitempty"` // no front may act below this version: its gate has passed
	LostAudits  []LostAudit   `cbor:"7,keyasint,omitempty"` // audit logs that were lost with their disks
}

// LostAudit describes an audit log that is gone because its front came back under
// another incarnation.
type LostAudit struct {
	Name    string `cbor:"1,keyasint"`
	ID      uint64 `cbor:"2,keyasint"` // the former incarnation
	Seq     uint64 `cbor:"3,keyasint"` // records up to this one are gone, as are later ones that were never reported
	Head    string `cbor:"4,keyasint"`
	FoundAt Micros `cbor:"5,keyasint"` // when the front came back
}

const maxLostAudits = 256

// Errors of proposals and commands.
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

// Hash returns the hash that identifies a piece: SHA-256, in hex.
func Hash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

func search[T any](list []T, key string, keyOf func(*T) string) (int, bool) {
	return slices.BinarySearchFunc(list, key, func(x T, k string) int { return cmp.Compare(keyOf(&x), k) })
}

// StorePiece adds a piece. A piece that is already stored only has its time renewed.
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

// Content assembles the content of a version; nil if its pieces are no longer stored.
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

// Find returns a version, or nil if it is unknown or no longer kept.
func (s *State) Find(n uint64) *Version {
	i, ok := slices.BinarySearchFunc(s.Versions, n, func(v Version, n uint64) int { return cmp.Compare(v.Number, n) })
	if !ok {
		return nil
	}
	return &s.Versions[i]
}

// Watch returns how long the steps of a version are observed.
func (s *State) Watch(n uint64) Micros {
	if v := s.Find(n); v != nil {
		return v.Watch
	}
	return 0
}

// Status returns the status of a front, or nil if it has not reported yet.
func (s *State) Status(name string) *FrontStatus {
	i, ok := search(s.Statuses, name, func(x *FrontStatus) string { return x.Name })
	if !ok {
		return nil
	}
	return &s.Statuses[i]
}

// Candidate returns the version being checked or rolled out, or nil.
func (s *State) Candidate() *Version {
	if len(s.Versions) == 0 {
		return nil
	}
	if v := &s.Versions[len(s.Versions)-1]; v.Phase == Checking || v.Phase == Rolling {
		return v
	}
	return nil
}

// Propose adds a version whose pieces are already stored. Its Base is the stable
// version that the proposer knew of; a proposal on any other base is refused.
func (s *State) Propose(v Version, r Rules, now Micros) (uint64, error) {
	if len(v.Steps) == 0 {
		v.Steps = []int{0, 10, 100}
	}
	stepsValid := slices.IsSorted(v.Steps) && v.Steps[0] >= 0 && v.Steps[len(v.Steps)-1] <= 100 && len(v.Steps) <= maxSteps
	data := s.assemble(v.Pieces)
	switch {
	case len(v.Reason) > maxTextSize || len(v.ProposedBy) > maxTextSize:
		return 0, ErrReasonLength
	case !stepsValid:
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
		detail := ""
		if stable := s.Find(s.Stable); stable != nil {
			detail = fmt.Sprintf(" (%s, by %s)", cmp.Or(stable.Reason, "no reason given"), cmp.Or(stable.ProposedBy, "nobody named"))
		}
		return 0, fmt.Errorf("it was made on version %d, and version %d%s stands now", v.Base, s.Stable, detail)
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

// makeStable makes a version the stable one of the whole fleet.
func (s *State) makeStable(v *Version, now Micros) {
	if old := s.Find(s.Stable); old != nil {
		old.Phase, old.Since = Replaced, now
	}
	v.Phase, v.Since, v.Step, v.Cohort = Stable, now, len(v.Steps)-1, nil
	s.Stable = v.Number
}

// Stop rolls the candidate back on an operator's order.
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

// ApplyReport stores what a front reports of itself, under the incarnation and process
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

// currentStatus returns the status of a front if it comes from its current incarnation
// and process, else an empty one.
func (s *State) currentStatus(m *Machine) FrontStatus {
	if status := s.Status(m.Name); status != nil && status.ID == m.ID && status.Start == m.Start {
		return *status
	}
	return FrontStatus{Name: m.Name}
}

// hashOrder orders the fronts for a version, differently for each version.
func hashOrder(n uint64, name string) uint64 {
	return xxhash.Sum64(fmt.Appendf(nil, "%d %s", n, name))
}

// beginStep begins a step of a version and selects its fronts: one per zone, or the
// given percentage of the reachable, serving fronts, always including those of the
// previous step. At 100 percent it is all fronts.
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

// inCohort reports whether a front belongs to the current step.
func (v *Version) inCohort(name string) bool {
	if v.Steps[v.Step] >= 100 {
		return true
	}
	_, ok := slices.BinarySearch(v.Cohort, name)
	return ok
}

// Target returns the version that a front should act on according to the state.
func (s *State) Target(name string) uint64 {
	if c := s.Candidate(); c != nil && c.Phase == Rolling && c.inCohort(name) {
		return c.Number
	}
	return s.Stable
}

// MinVersion returns the oldest version that a front may act on according to the state.
// If gate is not 0, the front must have stopped acting on older ones that long after it
// learned of it.
func (s *State) MinVersion(name string) (n uint64, gate Micros) {
	n = s.enforcedMinFor(name)
	if stable := s.Find(s.Stable); stable != nil && stable.Gate > 0 && stable.GatePassedAt == 0 && !slices.Contains(stable.Exempt, name) {
		return max(n, stable.Number), stable.Gate
	}
	return n, 0
}

// enforcedMinFor returns the version below which a front may not act at all, whatever
// newer gate is still open.
func (s *State) enforcedMinFor(name string) uint64 {
	n := s.EnforcedMin
	if status := s.Status(name); status != nil {
		n = max(n, status.Fenced)
	}
	return n
}

// Step draws the conclusions of the current time and returns one line for each event.
// TimeAdvanced tells that the entry being applied advanced the fleet time.
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
	// Fences set by this entry are counted from the next entry that advances the time:
	// until this one was committed, the front may have requested leases.
	s.updateFences(fleet, r, now, timeAdvanced, func(text string) { events = append(events, text) })
	if stable := s.Find(s.Stable); stable != nil && stable.Gate > 0 && stable.GatePassedAt == 0 {
		s.advanceGate(stable, fleet, r, now, emit)
	}
	s.dropUnusedPieces(now)
	return events
}

// describe returns the phase of a version as text, with its step and note.
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

// advanceCheck waits until every reachable front has checked a version.
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

// recordBaseline stores the failure rates of the fronts at the start of a step.
func (s *State) recordBaseline() {
	for i := range s.Statuses {
		status := &s.Statuses[i]
		status.BaselineFailedPercent, status.BaselineHasSample = status.FailedPercent, status.HasSample
	}
}

// advanceStep advances the rollout of a version, or rolls it back.
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

// maxRegression is the health limit of a step in percentage points: fronts on the new
// version may not fail by this much more than before, and than the other fronts.
const maxRegression = 15

// healthRegression compares the failure rate of the fronts on a version with their
// baseline and with the other fronts; empty: no regression.
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

// advanceGate fences the fronts that are past the gate of a version, within the limit.
// The gate passes once no front acts on an older version.
func (s *State) advanceGate(stable *Version, fleet []Machine, r Rules, now Micros, emit func(*Version, string, ...any)) {
	late := now-stable.Since >= stable.Gate
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
		if status.Active >= stable.Number && status.noneOpenBefore(stable.Number) || status.SelfFenced >= stable.Number && status.noneOpenBefore(stable.Number) || m.leaseExpired(now) {
			continue
		}
		reported := s.Status(m.Name)
		if reported != nil && reported.Fenced >= stable.Number {
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
		reported.Fenced, reported.FencedAt = stable.Number, 0
		if now-reported.LastFlapAt > flapWindow {
			reported.Flaps = 0
		}
		reported.Flaps, reported.LastFlapAt = min(reported.Flaps+1, maxFlaps), now
		emit(stable, "%s is shut out: %s", m.Name, s.LagCause(m, now))
	}
	if !slices.Equal(exempt, stable.Exempt) {
		if stable.Exempt = exempt; len(exempt) > 0 {
			emit(stable, "LOUD: %d fronts act on older versions and go on, since more than %d%% would be shut out: %s", len(exempt), r.MaxFencedPercent, abbreviate(exempt))
		}
	}
	if open == 0 {
		stable.GatePassedAt = max(1, now)
		s.EnforcedMin = max(s.EnforcedMin, stable.Number)
		emit(stable, "its bar has passed: nobody acts on an older one")
	}
}

// noneOpenBefore reports whether no request is open that was accepted under an older
// version than n.
func (status *FrontStatus) noneOpenBefore(n uint64) bool {
	return status.OldestInUse == 0 || status.OldestInUse > n
}

// leaseExpired reports whether a front is lost and its lease has certainly expired.
func (m *Machine) leaseExpired(now Micros) bool {
	return m.Lost && m.LeaseExpiry > 0 && now >= m.LeaseExpiry
}

// updateFences starts the time from which a fenced front gets no more leases, and lifts
// the fences of fronts that have reached the version required of them.
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

// dropUnusedPieces drops pieces that no version needs. Those of the stable version and
// of the candidate stay.
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

// Waiting reports whether any transition depends on the passage of time.
func (s *State) Waiting(now Micros) bool {
	if s.Candidate() != nil || slices.ContainsFunc(s.Statuses, func(x FrontStatus) bool { return now < x.WarmAt }) {
		return true
	}
	if stable := s.Find(s.Stable); stable != nil && stable.Gate > 0 && stable.GatePassedAt == 0 {
		return true
	}
	if slices.ContainsFunc(s.Statuses, func(x FrontStatus) bool { return x.Fenced > 0 && x.FencedAt == 0 }) {
		return true
	}
	inUse := 0
	if stable := s.Find(s.Stable); stable != nil {
		inUse = len(stable.Pieces)
	}
	return len(s.Pieces) > inUse
}

// LagCause explains why a front lags, as far as the state knows.
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

// Lag is the report on one front.
type Lag struct {
	Name        string
	Active      uint64
	Target      uint64
	Behind      uint64 // number of versions
	OldestInUse uint64 // 1 + the oldest version with open requests; 0: none under an older version
	Cause       string // empty: it does not lag
	Fenced      bool
	WarmingUp   bool // it does not count as a full machine yet
	Refused     uint64
	Reason      string
}

// Lags reports on every front.
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

// Explain returns a sentence on what a version waits for, or how it ended.
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
			if status := s.currentStatus(m); (status.Active < n && status.SelfFenced < n || !status.noneOpenBefore(n)) && !m.leaseExpired(now) {
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
