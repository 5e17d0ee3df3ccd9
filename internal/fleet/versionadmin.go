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

// Version is a version as the admin endpoint shows it.
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
	WaitsFor     string   `json:"waits,omitempty"` // a whole sentence
	Exempt       []string `json:"spared,omitempty"`
}

// FrontLag is how far a front is behind the version wanted of it.
type FrontLag struct {
	Front         string `json:"front"`
	Zone          string `json:"zone"`
	ActiveVersion uint64 `json:"acts_on"`
	Target        uint64 `json:"wanted"`
	Behind        uint64 `json:"behind"`
	Cause         string `json:"cause,omitempty"`
	Fenced        bool   `json:"shut_out,omitempty"`
	Warming       bool   `json:"warming,omitempty"`
	OldestInUse   uint64 `json:"oldest_open,omitempty"` // oldest version with open requests, plus one
	Build         string `json:"build"`
	AuditRecord   uint64 `json:"audit_record"` // of its audit, the last one whose head the log knows
}

// Proposal is a proposal of an operator; the file was uploaded with STAGE before.
type Proposal struct {
	Upload     string  `json:"upload"`
	Reason     string  `json:"why,omitempty"`
	ProposedBy string  `json:"by,omitempty"`
	Urgent     bool    `json:"urgent,omitempty"`
	GateS      float64 `json:"bar_s,omitempty"`
	WatchS     float64 `json:"watch_s"`
	Steps      []int   `json:"steps,omitempty"`
	Base       *uint64 `json:"base,omitempty"` // version that it was made on; the stable one by default
}

// upload is a file that is being uploaded to this front.
type upload struct {
	data      []byte
	updatedAt int64
}

const (
	maxUploads     = 8
	uploadLifetime = 60_000_000 // us
)

// Errors of calls about versions.
var (
	errStageCall     = errors.New("STAGE takes a name for the upload and the next bytes in base64")
	errVersionNumber = errors.New("the version's number is wanted")
	errUnknownUpload = errors.New("no file of that name was staged here lately")
	errVersionSize   = fmt.Errorf("a version of 1 to %d bytes is wanted", rollout.MaxVersionSize)
)

func (fleet *Fleet) versionsCall(call string, reply func(any), fail func(error)) {
	replica := fleet.node.Replica()
	state, machines := replica.State(), statemachine.RolloutMachines(replica.Fleet())
	verb, rest, _ := strings.Cut(call, " ")
	rest = strings.TrimSpace(rest)
	switch verb {
	case "LIST":
		list := []Version{}
		for i := range slices.Backward(state.Rollout.Versions) {
			v := &state.Rollout.Versions[i]
			x := Version{N: v.Number, Digest: v.Digest[:min(16, len(v.Digest))], Phase: v.Phase.String(), Reason: v.Reason, ProposedBy: v.ProposedBy, Urgent: v.Urgent,
				GateS: seconds(v.Gate), GatePassed: v.GatePassedAt > 0, Fronts: len(machines), PhaseS: seconds(state.Now - v.Since), Note: v.Note,
				WaitsFor: state.Rollout.Explain(v.Number, machines, replica.RolloutRules(), state.Now), Exempt: v.Exempt}
			for _, y := range state.Rollout.Statuses {
				if y.Active == v.Number {
					x.ActiveFronts++
				}
			}
			list = append(list, x)
		}
		reply(list)
	case "LAG":
		list := []FrontLag{}
		for _, l := range state.Rollout.Lags(machines, state.Now) {
			c := state.Members.Find(l.Name)
			x := FrontLag{Front: l.Name, Zone: c.Zone, ActiveVersion: l.Active, Target: l.Target, Behind: l.Behind, Cause: l.Cause, Fenced: l.Fenced, Warming: l.WarmingUp,
				OldestInUse: l.OldestInUse, Build: c.Build}
			if y := state.Rollout.Status(l.Name); y != nil {
				x.AuditRecord = y.AuditSeq
			}
			list = append(list, x)
		}
		reply(list)
	case "WHY":
		n, err := strconv.ParseUint(rest, 10, 64)
		if err != nil {
			fail(errVersionNumber)
			return
		}
		reply(map[string]string{"why": state.Rollout.Explain(n, machines, replica.RolloutRules(), state.Now)})
	case "STAGE":
		name, text, _ := strings.Cut(rest, " ")
		b, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
		if err != nil || name == "" {
			fail(errStageCall)
			return
		}
		fleet.stage(name, b, reply, fail)
	case "PROPOSE":
		var p Proposal
		if err := decodeStrict("PROPOSE", rest, &p); err != nil {
			fail(err)
			return
		}
		fleet.propose(p, reply, fail)
	case "STOP":
		if rest == "" {
			rest = "stopped by a person"
		}
		fleet.submit(statemachine.Command{Stop: rest}, reply, fail)
	default:
		fail(errUnknownCall)
	}
}

// stage adds the next bytes to an upload. It is kept until it is proposed, or for
// uploadLifetime after its last bytes.
func (fleet *Fleet) stage(name string, data []byte, reply func(any), fail func(error)) {
	now := fleet.loop.Now()
	if fleet.uploads == nil {
		fleet.uploads = map[string]*upload{}
	}
	for n, staged := range fleet.uploads {
		if now-staged.updatedAt > uploadLifetime {
			delete(fleet.uploads, n)
		}
	}
	staged := fleet.uploads[name]
	if staged == nil {
		if len(fleet.uploads) >= maxUploads {
			fail(ErrTooManyUploads)
			return
		}
		staged = &upload{}
		fleet.uploads[name] = staged
	}
	if len(staged.data)+len(data) > rollout.MaxVersionSize {
		delete(fleet.uploads, name)
		fail(errVersionSize)
		return
	}
	staged.data, staged.updatedAt = append(staged.data, data...), now
	reply(map[string]int{"bytes": len(staged.data)})
}

// ErrTooManyUploads is returned if there is no room for another upload.
var ErrTooManyUploads = fmt.Errorf("%d files are staged here, which is the most", maxUploads)

// propose checks an uploaded file on this front, has its pieces committed, and then the version
// itself: if the front fails before that, it leaves pieces that no version names.
func (fleet *Fleet) propose(proposal Proposal, reply func(any), fail func(error)) {
	x := fleet.uploads[proposal.Upload]
	delete(fleet.uploads, proposal.Upload)
	switch {
	case x == nil:
		fail(errUnknownUpload)
		return
	case len(x.data) == 0:
		fail(errVersionSize)
		return
	case !(proposal.GateS >= 0 && proposal.GateS < 1e6 && proposal.WatchS >= 0 && proposal.WatchS < 1e6):
		fail(rollout.ErrSpanRange)
		return
	}
	base := fleet.node.Replica().State().Rollout.Stable
	if proposal.Base != nil {
		base = *proposal.Base
	}
	fleet.host.CheckVersion(x.data, func(err error) {
		if err != nil {
			fail(fmt.Errorf("this front can't act on it: %w", err))
			return
		}
		v := rollout.Version{Digest: rollout.Hash(x.data), Reason: proposal.Reason, ProposedBy: proposal.ProposedBy, Urgent: proposal.Urgent, Gate: int64(proposal.GateS * 1e6), Watch: int64(proposal.WatchS * 1e6),
			Steps: proposal.Steps, Base: base}
		pieces := slices.Collect(slices.Chunk(x.data, rollout.MaxPieceSize))
		left, failed := len(pieces), error(nil)
		for _, piece := range pieces {
			v.Pieces = append(v.Pieces, rollout.Hash(piece))
		}
		onPiece := func(err error) {
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
			fleet.loop.Post(func() { // not from within the callback of a piece
				fleet.submit(statemachine.Command{Propose: &v}, func(x any) {
					reply(map[string]uint64{"version": x.(map[string]uint64)["work"]})
				}, fail)
			})
		}
		for _, piece := range pieces {
			fleet.submit(statemachine.Command{Piece: piece}, func(any) { onPiece(nil) }, onPiece)
		}
	})
}

// AuditReport is the result of a query of all audits, from the fronts that were reached.
type AuditReport struct {
	Question audit.Question `json:"question"`
	FleetS   float64        `json:"fleet_time_s"`
	Answers  []audit.Answer `json:"answers"`
	Missing  []string       `json:"missing,omitempty"` // fronts that did not answer
	Lost     []LostAudit    `json:"lost,omitempty"`    // audits that were lost with their disks
}

// LostAudit is an audit that is gone: its front came back under another incarnation.
type LostAudit struct {
	Front       string  `json:"front"`
	Incarnation string  `json:"incarnation"`
	Records     uint64  `json:"records"` // at least: as many as the log knew of
	Head        string  `json:"head"`
	FoundAtS    float64 `json:"before_fleet_s"`
}

// auditCall queries the audits of the fronts.
func (fleet *Fleet) auditCall(call string, reply func(any), fail func(error)) {
	var query struct {
		audit.Question
		Name string `json:"name,omitempty"` // one front; empty: all
	}
	if err := decodeStrict("AUDIT", call, &query); err != nil {
		fail(err)
		return
	}
	state := fleet.node.Replica().State()
	var names []string
	for _, x := range state.Members.Fronts {
		if query.Name == "" || query.Name == x.Name {
			names = append(names, x.Name)
		}
	}
	if len(names) == 0 {
		fail(fmt.Errorf("no front %q", query.Name))
		return
	}
	err := fleet.queryAudits(query.Question, names, func(answers []audit.Answer, missing []string) {
		report := AuditReport{Question: query.Question, FleetS: seconds(state.Now), Answers: answers, Missing: missing}
		for _, lost := range state.Rollout.LostAudits {
			if query.Name == "" || query.Name == lost.Name {
				report.Lost = append(report.Lost, LostAudit{Front: lost.Name, Incarnation: fmt.Sprintf("%016x", lost.ID), Records: lost.Seq, Head: lost.Head, FoundAtS: seconds(lost.FoundAt)})
			}
		}
		if query.Request != "" { // omit fronts that certainly did not decide it
			report.Answers = slices.DeleteFunc(report.Answers, func(a audit.Answer) bool {
				return len(a.Spans) == 0 && a.Error == "" && a.Broken == "" && len(a.Gaps) == 0
			})
		}
		reply(report)
	})
	if err != nil {
		fail(err)
	}
}

// hexDigest returns a digest in the form in which it is reported.
func hexDigest(b []byte) string { return hex.EncodeToString(b) }
