package fleet

import (
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cherryramp/internal/decide/audit"
	"cherryramp/internal/decide/rollout"
	"cherryramp/internal/decide/statemachine"
)

// Version is one as a person reads it.
type Version struct {
	N            uint64   `json:"version"`
	Digest       string   `json:"digest"`
	Phase        string   `json:"phase"`
	Reason       string   `json:"why,omitempty"`
	ProposedBy   string   `json:"by,omitempty"`
	Urgent       bool     `json:"urgent,omitempty"`
	GateS        float64  `json:"bar_s,omitempty"`
	GatePassed   bool     `json:"bar_passed,omitempty"`
	ActiveFronts int      `json:"acts"` // fronts that act on it
	Fronts       int      `json:"fronts"`
	PhaseS       float64  `json:"for_s"`
	Note         string   `json:"note,omitempty"`
	WaitsFor     string   `json:"waits,omitempty"` // the whole sentence
	Exempt       []string `json:"spared,omitempty"`
}

// Lag is where a front stands.
type FrontLag struct {
	Front         string `json:"front"`
	Zone          string `json:"zone"`
	ActiveVersion uint64 `json:"acts_on"`
	Target        uint64 `json:"wanted"`
	Behind        uint64 `json:"behind"`
	Cause         string `json:"cause,omitempty"`
	Fenced        bool   `json:"shut_out,omitempty"`
	Warming       bool   `json:"warming,omitempty"`
	OldestInUse   uint64 `json:"oldest_open,omitempty"` // version, and one, under which it has requests open
	Build         string `json:"build"`
	AuditRecord   uint64 `json:"audit_record"` // of its audit, that the log knows the head of
}

// Propose is what a person proposes; the file was staged before.
type Proposal struct {
	Upload     string  `json:"upload"`
	Reason     string  `json:"why,omitempty"`
	ProposedBy string  `json:"by,omitempty"`
	Urgent     bool    `json:"urgent,omitempty"`
	GateS      float64 `json:"bar_s,omitempty"`
	WatchS     float64 `json:"watch_s"`
	Steps      []int   `json:"steps,omitempty"`
	Base       *uint64 `json:"base,omitempty"` // what it was made on; what stands by default
}

// staged is a file on its way to this front.
type staged struct {
	data []byte
	at   int64
}

const (
	mostStaged = 8
	stagedFor  = 60_000_000 // us
)

// Errors of calls about versions.
var (
	errStage   = errors.New("STAGE takes a name for the upload and the next bytes in base64")
	errVersion = errors.New("the version's number is wanted")
	errUpload  = errors.New("no file of that name was staged here lately")
	errBig     = fmt.Errorf("a version of 1 to %d bytes is wanted", rollout.MaxVersionSize)
)

func (f *Fleet) versionsCall(call string, give func(any), fail func(error)) {
	r := f.node.Replica()
	s, fleet := r.State(), statemachine.RolloutMachines(r.Fleet())
	word, rest, _ := strings.Cut(call, " ")
	rest = strings.TrimSpace(rest)
	switch word {
	case "LIST":
		list := []Version{}
		for i := range slices.Backward(s.Rollout.Versions) {
			v := &s.Rollout.Versions[i]
			x := Version{N: v.Number, Digest: v.Digest[:min(16, len(v.Digest))], Phase: v.Phase.String(), Reason: v.Reason, ProposedBy: v.ProposedBy, Urgent: v.Urgent,
				GateS: seconds(v.Gate), GatePassed: v.GatePassedAt > 0, Fronts: len(fleet), PhaseS: seconds(s.Now - v.Since), Note: v.Note,
				WaitsFor: s.Rollout.Explain(v.Number, fleet, r.RolloutRules(), s.Now), Exempt: v.Exempt}
			for _, y := range s.Rollout.Statuses {
				if y.Active == v.Number {
					x.ActiveFronts++
				}
			}
			list = append(list, x)
		}
		give(list)
	case "LAG":
		list := []FrontLag{}
		for _, l := range s.Rollout.Lags(fleet, s.Now) {
			c := s.Members.Find(l.Name)
			x := FrontLag{Front: l.Name, Zone: c.Zone, ActiveVersion: l.Active, Target: l.Target, Behind: l.Behind, Cause: l.Cause, Fenced: l.Fenced, Warming: l.WarmingUp,
				OldestInUse: l.OldestInUse, Build: c.Build}
			if y := s.Rollout.Status(l.Name); y != nil {
				x.AuditRecord = y.AuditSeq
			}
			list = append(list, x)
		}
		give(list)
	case "WHY":
		n, err := strconv.ParseUint(rest, 10, 64)
		if err != nil {
			fail(errVersion)
			return
		}
		give(map[string]string{"why": s.Rollout.Explain(n, fleet, r.RolloutRules(), s.Now)})
	case "STAGE":
		name, text, _ := strings.Cut(rest, " ")
		b, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
		if err != nil || name == "" {
			fail(errStage)
			return
		}
		f.stage(name, b, give, fail)
	case "PROPOSE":
		var p Proposal
		if err := strict("PROPOSE", rest, &p); err != nil {
			fail(err)
			return
		}
		f.propose(p, give, fail)
	case "STOP":
		if rest == "" {
			rest = "stopped by a person"
		}
		f.submit(statemachine.Command{Stop: rest}, give, fail)
	default:
		fail(errCall)
	}
}

// stage keeps the next bytes of a file until it is proposed, or for a minute.
func (f *Fleet) stage(name string, b []byte, give func(any), fail func(error)) {
	now := f.loop.Now()
	if f.staged == nil {
		f.staged = map[string]*staged{}
	}
	for n, x := range f.staged {
		if now-x.at > stagedFor {
			delete(f.staged, n)
		}
	}
	x := f.staged[name]
	if x == nil {
		if len(f.staged) >= mostStaged {
			fail(ErrTooManyUploads)
			return
		}
		x = &staged{}
		f.staged[name] = x
	}
	if len(x.data)+len(b) > rollout.MaxVersionSize {
		delete(f.staged, name)
		fail(errBig)
		return
	}
	x.data, x.at = append(x.data, b...), now
	give(map[string]int{"bytes": len(x.data)})
}

// ErrMany tells that too many files are on their way to a front.
var ErrTooManyUploads = fmt.Errorf("%d files are staged here, which is the most", mostStaged)

// propose has a staged file checked here, its pieces agreed on, and then the version
// itself: whoever vanishes before that leaves pieces that nobody names.
func (f *Fleet) propose(p Proposal, give func(any), fail func(error)) {
	x := f.staged[p.Upload]
	delete(f.staged, p.Upload)
	switch {
	case x == nil:
		fail(errUpload)
		return
	case len(x.data) == 0:
		fail(errBig)
		return
	case !(p.GateS >= 0 && p.GateS < 1e6 && p.WatchS >= 0 && p.WatchS < 1e6):
		fail(rollout.ErrSpanRange)
		return
	}
	base := f.node.Replica().State().Rollout.Stable
	if p.Base != nil {
		base = *p.Base
	}
	f.host.CheckVersion(x.data, func(err error) {
		if err != nil {
			fail(fmt.Errorf("this front can't act on it: %w", err))
			return
		}
		v := rollout.Version{Digest: rollout.Hash(x.data), Reason: p.Reason, ProposedBy: p.ProposedBy, Urgent: p.Urgent, Gate: int64(p.GateS * 1e6), Watch: int64(p.WatchS * 1e6),
			Steps: p.Steps, Base: base}
		pieces := slices.Collect(slices.Chunk(x.data, rollout.MaxPieceSize))
		left, failed := len(pieces), error(nil)
		for _, piece := range pieces {
			v.Pieces = append(v.Pieces, rollout.Hash(piece))
		}
		one := func(err error) {
			if failed == nil {
				failed = err
			}
			if left--; left > 0 {
				return
			}
			if failed != nil {
				fail(failed)
				return
			}
			f.loop.Post(func() { // not from within the word on a piece
				f.submit(statemachine.Command{Propose: &v}, func(x any) {
					give(map[string]uint64{"version": x.(map[string]uint64)["work"]})
				}, fail)
			})
		}
		for _, piece := range pieces {
			f.submit(statemachine.Command{Piece: piece}, func(any) { one(nil) }, one)
		}
	})
}

// Report is an answer about audits, put together from those that were reached.
type AuditReport struct {
	Question audit.Question `json:"question"`
	FleetS   float64        `json:"fleet_time_s"`
	Answers  []audit.Answer `json:"answers"`
	Missing  []string       `json:"missing,omitempty"` // fronts that did not answer
	Lost     []LostAudit    `json:"lost,omitempty"`    // audits that are gone with their disks
}

// Lost is an audit that is gone: its front came back under another incarnation.
type LostAudit struct {
	Front       string  `json:"front"`
	Incarnation string  `json:"incarnation"`
	Records     uint64  `json:"records"` // at least: as far as the log knew of them
	Head        string  `json:"head"`
	FoundAtS    float64 `json:"before_fleet_s"`
}

// auditCall asks the fronts for their audits.
func (f *Fleet) auditCall(call string, give func(any), fail func(error)) {
	var ask struct {
		audit.Question
		Name string `json:"name,omitempty"` // one front; empty: all
	}
	if err := strict("AUDIT", call, &ask); err != nil {
		fail(err)
		return
	}
	s := f.node.Replica().State()
	var names []string
	for _, x := range s.Members.Fronts {
		if ask.Name == "" || ask.Name == x.Name {
			names = append(names, x.Name)
		}
	}
	if len(names) == 0 {
		fail(fmt.Errorf("no front %q", ask.Name))
		return
	}
	err := f.askAll(ask.Question, names, func(answers []audit.Answer, missing []string) {
		r := AuditReport{Question: ask.Question, FleetS: seconds(s.Now), Answers: answers, Missing: missing}
		for _, h := range s.Rollout.LostAudits {
			if ask.Name == "" || ask.Name == h.Name {
				r.Lost = append(r.Lost, LostAudit{Front: h.Name, Incarnation: fmt.Sprintf("%016x", h.ID), Records: h.Seq, Head: h.Head, FoundAtS: seconds(h.FoundAt)})
			}
		}
		if ask.Request != "" { // whoever surely did not decide it has nothing to say
			r.Answers = slices.DeleteFunc(r.Answers, func(a audit.Answer) bool {
				return len(a.Spans) == 0 && a.Error == "" && a.Broken == "" && len(a.Gaps) == 0
			})
		}
		give(r)
	})
	if err != nil {
		fail(err)
	}
}

// headOf is a chain's head as it is told.
func headOf(b []byte) string { return hex.EncodeToString(b) }
