package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/membership"
	"cherryramp/internal/decide/statemachine"
)

// Status is what a front knows of the fleet and of itself.
type Status struct {
	Fleet           string   `json:"fleet"`
	ID              string   `json:"id,omitempty"` // of the fleet; empty: not founded, as far as this front knows
	Front           string   `json:"front"`
	Incarnation     string   `json:"incarnation"`
	Build           string   `json:"build"`
	Leader          string   `json:"leader"` // empty: none is known
	Term            uint64   `json:"term"`
	Applied         uint64   `json:"applied"`
	Seat            string   `json:"seat"`             // leader, voter, learner, follower
	Feeder          string   `json:"feeder,omitempty"` // the front that passes the log on to it
	Feeds           int      `json:"feeds"`            // number of fronts that it passes the log on to
	Fronts          int      `json:"fronts"`
	Version         int      `json:"version"`         // of the state
	OutdatedFronts  []string `json:"older,omitempty"` // at the leader: fronts whose build is not known to read the newer version that this build reads
	Lost            []string `json:"lost,omitempty"`
	NotServing      []string `json:"away,omitempty"` // in contact, and taking no clients
	Unhealthy       []string `json:"hurt,omitempty"` // in contact, and unhealthy
	Voters          []string `json:"voters,omitempty"`
	TargetVoters    int      `json:"wanted"` // intended number of voters
	TolerableLosses int      `json:"bears"`  // further losses of voters that leave a majority; below 0: there is none
	Out             []string `json:"out,omitempty"`
	OutByPermit     uint64   `json:"out_by_permit,omitempty"` // under which this front takes no clients now
	Hold            string   `json:"hold,omitempty"`
	ActiveVersion   uint64   `json:"acts_on"`         // version that this front acts on
	MayAct          bool     `json:"may"`             // whether its lease and its version allow it to act now
	WaitsFor        string   `json:"waits,omitempty"` // what the founding, or the next change of seats, waits for
	FleetTime       float64  `json:"fleet_time_s"`
	AloneS          float64  `json:"alone_s,omitempty"` // how long this front may act without hearing the fleet; 0: unlimited
	LeaseS          float64  `json:"lease_s,omitempty"` // what is left of its lease; 0: it refuses requests
	Sent            uint64   `json:"sent"`
	SentBytes       uint64   `json:"sent_bytes"`
	Received        uint64   `json:"received"`
	Dropped         uint64   `json:"dropped"`
}

// Member is one front of the fleet.
type Member struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	Machine     string  `json:"machine"`
	Address     string  `json:"address"`
	Incarnation string  `json:"incarnation"`
	Build       string  `json:"build"`
	Seat        string  `json:"seat"`
	State       string  `json:"state"` // in, away, lost, leaving
	StateS      float64 `json:"for_s"` // since it joined, was lost or was found again
}

// Operation is a maintenance operation as the admin endpoint shows it.
type Operation struct {
	ID            uint64   `json:"id"`
	Machine       string   `json:"machine"`
	Kind          string   `json:"kind"`
	Zone          string   `json:"zone,omitempty"`
	Phase         string   `json:"phase"`
	Position      int      `json:"place,omitempty"`
	Permit        uint64   `json:"permit,omitempty"`
	Reason        string   `json:"why,omitempty"`
	SpanS         float64  `json:"span_s"`
	Importance    int      `json:"importance"`
	Urgent        bool     `json:"urgent,omitempty"`
	EndsOnRestart bool     `json:"until_restart,omitempty"`
	PhaseS        float64  `json:"for_s"` // in its phase
	WaitsFor      string   `json:"waits,omitempty"`
	Note          string   `json:"note,omitempty"`
	Overdue       bool     `json:"overdue,omitempty"`
	ConflictsWith []string `json:"apart,omitempty"`
}

// Rules are the maintenance rules as the admin endpoint shows and changes them.
type Rules struct {
	Out              int     `json:"out"`
	Zone             int     `json:"zone"`
	Percent          int     `json:"percent"`
	UnhealthyPercent int     `json:"hurt_percent"`
	AcceptS          float64 `json:"accept_s"`
	EmptyS           float64 `json:"empty_s"`
	BackS            float64 `json:"back_s"`
	ColdS            float64 `json:"cold_s"`
	AgeStepS         float64 `json:"age_step_s"`
	PatienceS        float64 `json:"patience_s"`
	AloneS           float64 `json:"alone_s"`
	PacePercent      int     `json:"pace_percent"`
	LagPercent       int     `json:"lag_percent"`
}

// OperationRequest is an operator's request for a maintenance operation.
type OperationRequest struct {
	Machine       string   `json:"machine"`
	Box           bool     `json:"box,omitempty"`
	Zone          string   `json:"zone,omitempty"`
	Reason        string   `json:"why,omitempty"`
	SpanS         float64  `json:"span_s"`
	LatestS       float64  `json:"latest_s,omitempty"`
	Importance    int      `json:"importance,omitempty"`
	ConflictsWith []string `json:"apart,omitempty"`
	SingleZone    bool     `json:"zone_wise,omitempty"`
	Urgent        bool     `json:"urgent,omitempty"`
	EndsOnRestart bool     `json:"until_restart,omitempty"`
	RequestedBy   string   `json:"by,omitempty"`
}

// Errors of calls.
var (
	errUnknownCall     = errors.New("unknown call; FLEET takes STATUS, MEMBERS, INIT, LEAVE NAME, and RULES, TREE, LIMITS, VERDICTS, STEER REGION, PURGE with ASK, LIST, WHY, VERSIONS with LIST, WHY, LAG, STAGE, PROPOSE, STOP, AUDIT, and WORK with ASK, LIST, PLAN, WHY, CANCEL, HOLD, RESUME, LOST, DONE")
	errOperationNumber = errors.New("the work's number is wanted")
	errFolderLocked    = errors.New("another process has the folder; this one waits for it to end")
	errNameMissing     = errors.New("a name is wanted")
	errUnknownBox      = errors.New("no box of that name is on this front's list")
)

// Call handles a call of the admin endpoint, without its first word. answer is called once with
// a line, immediately or when the fleet has agreed.
func (fleet *Fleet) Call(call string, answer func(line string)) {
	fail := func(err error) { answer("fail " + strings.ReplaceAll(err.Error(), "\n", "; ")) }
	reply := func(x any) {
		b, err := json.Marshal(x)
		if err != nil {
			fail(err)
			return
		}
		answer("ok " + string(b))
	}
	switch {
	case fleet.failure != nil:
		fail(fmt.Errorf("this front takes no part in the fleet: %w", fleet.failure))
		return
	case fleet.node == nil:
		fail(errFolderLocked)
		return
	}
	verb, rest, _ := strings.Cut(strings.TrimSpace(call), " ")
	switch rest = strings.TrimSpace(rest); verb {
	case "STATUS":
		reply(fleet.status())
	case "MEMBERS":
		reply(fleet.members())
	case "INIT":
		if state := fleet.node.Replica().State(); state.Fleet != 0 {
			reply(map[string]string{"fleet": state.Name, "id": fmt.Sprintf("%016x", state.Fleet)})
		} else {
			fail(fmt.Errorf("not founded; it waits %s", cmp.Or(fleet.node.FoundingStatus(), "for the fleet's first entries")))
		}
	case "LEAVE":
		if rest == "" {
			fail(errNameMissing)
			return
		}
		fleet.submit(statemachine.Command{Leave: &statemachine.Leave{Name: rest}}, reply, fail)
	case "RULES":
		fleet.rulesCall(rest, reply, fail)
	case "VERSIONS":
		fleet.versionsCall(rest, reply, fail)
	case "AUDIT":
		fleet.auditCall(rest, reply, fail)
	case "WORK":
		fleet.operationsCall(rest, reply, fail)
	case "LIMITS", "PURGE", "TREE", "VERDICTS", "STEER":
		fleet.exchangeCall(verb, rest, reply, fail)
	default:
		fail(errUnknownCall)
	}
}

// decodeStrict decodes the JSON argument of a call; an unknown key is an error.
func decodeStrict(verb, text string, into any) error {
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("%s: %w", verb, err)
	}
	return nil
}

// submit submits a command and replies with its result.
func (fleet *Fleet) submit(command statemachine.Command, reply func(any), fail func(error)) {
	fleet.node.Submit(command, callTimeout, func(result statemachine.Result, err error) {
		switch {
		case err != nil:
			fail(err)
		case result.Err != "":
			fail(errors.New(result.Err))
		default:
			reply(map[string]uint64{"work": result.Number})
		}
	})
	fleet.processOutput()
}

// rulesCall returns the maintenance rules, or changes those that are named.
func (fleet *Fleet) rulesCall(change string, reply func(any), fail func(error)) {
	rules := fleet.node.Replica().State().Maintenance.Rules
	shown := Rules{Out: rules.MaxOut, Zone: rules.MaxZoneOut, Percent: rules.MaxFrontsPercent, UnhealthyPercent: rules.UnhealthyPercent, AcceptS: seconds(rules.AcceptTimeout), EmptyS: seconds(rules.DrainTimeout), BackS: seconds(rules.ReturnTimeout),
		ColdS: seconds(rules.WarmUp), AgeStepS: seconds(rules.AgeStep), PatienceS: seconds(rules.Patience), AloneS: seconds(rules.LeaseSpan), PacePercent: rules.MaxPacePercent, LagPercent: rules.MaxFencedPercent}
	if change == "" {
		reply(shown)
		return
	}
	if err := decodeStrict("RULES", change, &shown); err != nil {
		fail(err)
		return
	}
	micros := func(s float64) int64 { return int64(max(-1, min(s, 1e9)) * 1e6) }
	rules = maintenance.Rules{MaxOut: shown.Out, MaxZoneOut: shown.Zone, MaxFrontsPercent: shown.Percent, UnhealthyPercent: shown.UnhealthyPercent, AcceptTimeout: micros(shown.AcceptS), DrainTimeout: micros(shown.EmptyS), ReturnTimeout: micros(shown.BackS),
		WarmUp: micros(shown.ColdS), AgeStep: micros(shown.AgeStepS), Patience: micros(shown.PatienceS), LeaseSpan: micros(shown.AloneS), MaxPacePercent: shown.PacePercent, MaxFencedPercent: shown.LagPercent}
	if err := rules.Validate(); err != nil {
		fail(err)
		return
	}
	fleet.submit(statemachine.Command{Rules: &rules}, func(any) { reply(shown) }, fail)
}

func (fleet *Fleet) operationsCall(call string, reply func(any), fail func(error)) {
	replica := fleet.node.Replica()
	state, machines := replica.State(), replica.Fleet()
	verb, rest, _ := strings.Cut(call, " ")
	rest = strings.TrimSpace(rest)
	orderOperation := func(action string) {
		number, why, _ := strings.Cut(rest, " ")
		id, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			fail(errOperationNumber)
			return
		}
		fleet.submit(statemachine.Command{Order: &statemachine.Order{Action: action, Operation: id, Reason: strings.TrimSpace(why)}}, reply, fail)
	}
	switch verb {
	case "ASK":
		var a OperationRequest
		if err := decodeStrict("ASK", rest, &a); err != nil {
			fail(err)
			return
		}
		if !(a.SpanS >= 0 && a.SpanS < 1e7 && a.LatestS >= 0 && a.LatestS < 1e9) {
			fail(maintenance.ErrDuration)
			return
		}
		x := maintenance.Operation{Machine: a.Machine, Zone: a.Zone, Reason: a.Reason, Duration: int64(a.SpanS * 1e6), StartWithin: int64(a.LatestS * 1e6),
			Importance: max(-1000, min(a.Importance, 1000)), ConflictsWith: a.ConflictsWith, SingleZone: a.SingleZone, Urgent: a.Urgent, EndsOnRestart: a.EndsOnRestart}
		if a.Box {
			zone, pace, known := fleet.host.BoxShare(a.Machine)
			if !known {
				fail(errUnknownBox)
				return
			}
			x.Kind, x.Zone = maintenance.Box, cmp.Or(a.Zone, zone)
			if state.Maintenance.Rules.MaxPacePercent > 0 {
				x.Pace = pace
			}
		}
		fleet.submit(statemachine.Command{Request: &statemachine.Request{Operation: x, RequestedBy: a.RequestedBy}}, reply, fail)
	case "LIST":
		list := fleet.plan()
		for _, x := range slices.Backward(state.Maintenance.Ended) {
			if len(list) >= 100 {
				break
			}
			list = append(list, newOperation(maintenance.PlanEntry{Operation: x}, state.Now))
		}
		reply(list)
	case "PLAN":
		reply(fleet.plan())
	case "WHY":
		if rest == "" {
			fail(errNameMissing)
			return
		}
		reply(map[string]string{"why": state.Maintenance.Explain(rest, machines, state.Now)})
	case "HOLD", "RESUME":
		fleet.submit(statemachine.Command{Order: &statemachine.Order{Action: strings.ToLower(verb), Reason: rest}}, reply, fail)
	case "CANCEL", "LOST", "DONE":
		orderOperation(strings.ToLower(verb))
	default:
		fail(errUnknownCall)
	}
}

func (fleet *Fleet) plan() []Operation {
	replica := fleet.node.Replica()
	state := replica.State()
	list := []Operation{}
	for _, entry := range state.Maintenance.Plan(replica.Fleet(), state.Now) {
		list = append(list, newOperation(entry, state.Now))
	}
	return list
}

func newOperation(entry maintenance.PlanEntry, now int64) Operation {
	op := Operation{ID: entry.ID, Machine: entry.Machine, Kind: "front", Zone: entry.Zone, Phase: entry.Phase.String(), Position: entry.Position, Permit: entry.Permit, Reason: entry.Operation.Reason,
		SpanS: seconds(entry.Duration), Importance: entry.Importance, Urgent: entry.Urgent, EndsOnRestart: entry.EndsOnRestart, PhaseS: seconds(now - entry.Since), WaitsFor: entry.WaitsFor,
		Note: entry.Note, Overdue: entry.Overdue, ConflictsWith: entry.ConflictsWith}
	if entry.Kind == maintenance.Box {
		op.Kind = "box"
	}
	return op
}

func seconds(us int64) float64 { return float64(us/1000) / 1000 }

func (fleet *Fleet) seatOf(id uint64) string {
	state := fleet.node.Replica().State()
	lead, _ := fleet.node.Leader()
	switch {
	case id == lead:
		return "leader"
	case state.Seats.Has(id):
		return "voter"
	case slices.Contains(state.Seats.Learners, id):
		return "learner"
	}
	return "follower"
}

func (fleet *Fleet) status() Status {
	node := fleet.node
	state := node.Replica().State()
	_, term := node.Leader()
	status := Status{Fleet: fleet.cfg.Fleet, Front: fleet.cfg.Name, Incarnation: fmt.Sprintf("%016x", node.ID()), Build: fleet.cfg.Build, Leader: node.LeaderName(),
		Term: term, Applied: node.Applied(), Seat: fleet.seatOf(node.ID()), Feeder: node.Feeder(), Feeds: node.Children(), Fronts: len(state.Members.Fronts), Version: state.Version,
		TargetVoters: state.Members.TargetVoters(), TolerableLosses: state.Members.TolerableLosses(state.Seats), Hold: state.Maintenance.HoldReason, WaitsFor: cmp.Or(node.FoundingStatus(), node.PendingChange()), FleetTime: seconds(state.Now),
		Sent: fleet.counts.Sent, SentBytes: fleet.counts.Bytes, Received: fleet.counts.Received, Dropped: fleet.counts.Dropped}
	status.ActiveVersion = fleet.version.applier.Active()
	status.MayAct, _ = fleet.MayAct()
	if node.IsLeader() {
		status.OutdatedFronts = node.OutdatedFronts()
	}
	if status.AloneS = seconds(node.LeaseSpan()); status.AloneS > 0 {
		status.LeaseS = seconds(max(0, node.LeaseEnd()-fleet.now()))
	}
	if out, permit := node.OutOfService(); out && fleet.outOfService {
		status.OutByPermit = permit
	}
	if state.Fleet != 0 {
		status.ID = fmt.Sprintf("%016x", state.Fleet)
	}
	if err := node.Stale(); err != nil {
		status.WaitsFor = err.Error()
	}
	for _, front := range state.Members.Fronts {
		if front.Lost {
			status.Lost = append(status.Lost, front.Name)
		} else if front.NotServing {
			status.NotServing = append(status.NotServing, front.Name)
		}
		if front.Unhealthy && !front.Lost {
			status.Unhealthy = append(status.Unhealthy, front.Name)
		}
		if state.Seats.Has(front.ID) {
			status.Voters = append(status.Voters, front.Name)
		}
	}
	for _, op := range state.Maintenance.Operations {
		if op.Phase.IsOut() {
			status.Out = append(status.Out, op.Machine)
		}
	}
	return status
}

func (fleet *Fleet) members() []Member {
	state := fleet.node.Replica().State()
	list := []Member{}
	for _, front := range state.Members.Fronts {
		list = append(list, Member{Name: front.Name, Zone: front.Zone, Machine: front.Machine, Address: front.Address, Incarnation: fmt.Sprintf("%016x", front.ID),
			Build: front.Build, Seat: fleet.seatOf(front.ID), State: memberState(front), StateS: seconds(state.Now - front.Since)})
	}
	return list
}

func memberState(front membership.Front) string {
	switch {
	case front.Lost:
		return "lost"
	case front.Leaving:
		return "leaving"
	case front.NotServing:
		return "away"
	}
	return "in"
}
