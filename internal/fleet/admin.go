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
	Feeder          string   `json:"feeder,omitempty"` // who passes the log on to it
	Feeds           int      `json:"feeds"`            // fronts that it passes the log on to
	Fronts          int      `json:"fronts"`
	Version         int      `json:"version"`         // of the state
	OutdatedFronts  []string `json:"older,omitempty"` // at the leader: fronts whose build is not known to read a newer one that this build reads
	Lost            []string `json:"lost,omitempty"`
	NotServing      []string `json:"away,omitempty"` // heard, and taking no clients
	Unhealthy       []string `json:"hurt,omitempty"` // heard, and in trouble
	Voters          []string `json:"voters,omitempty"`
	TargetVoters    int      `json:"wanted"` // voters that there should be
	TolerableLosses int      `json:"bears"`  // further losses of voters that leave a majority; below 0: there is none
	Out             []string `json:"out,omitempty"`
	OutByPermit     uint64   `json:"out_by_permit,omitempty"` // under which this front takes no clients now
	Hold            string   `json:"hold,omitempty"`
	ActiveVersion   uint64   `json:"acts_on"`         // version that this front acts on
	MayAct          bool     `json:"may"`             // it may act now: by its lease, and by its version
	WaitsFor        string   `json:"waits,omitempty"` // what the founding, or the council's next change, waits for
	FleetTime       float64  `json:"fleet_time_s"`
	AloneS          float64  `json:"alone_s,omitempty"` // span that this front lives by without hearing the fleet; 0: for ever
	LeaseS          float64  `json:"lease_s,omitempty"` // what is left of it; 0: it refuses requests
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
	StateS      float64 `json:"for_s"` // since it came, was lost or was found
}

// Work is one work as a person reads it.
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

// Rules are the rules of works as a person reads and changes them.
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

// Ask is what a person asks for.
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
	errCall   = errors.New("unknown call; FLEET takes STATUS, MEMBERS, INIT, LEAVE NAME, and RULES, TREE, LIMITS, VERDICTS, STEER REGION, PURGE with ASK, LIST, WHY, VERSIONS with LIST, WHY, LAG, STAGE, PROPOSE, STOP, AUDIT, and WORK with ASK, LIST, PLAN, WHY, CANCEL, HOLD, RESUME, LOST, DONE")
	errNumber = errors.New("the work's number is wanted")
	errWait   = errors.New("another process has the folder; this one waits for it to end")
	errName   = errors.New("a name is wanted")
	errBox    = errors.New("no box of that name is on this front's list")
)

// Call carries out a call of the operators' door, without its first word; answer is
// told one line, now or when the fleet has agreed.
func (f *Fleet) Call(call string, answer func(line string)) {
	fail := func(err error) { answer("fail " + strings.ReplaceAll(err.Error(), "\n", "; ")) }
	give := func(x any) {
		b, err := json.Marshal(x)
		if err != nil {
			fail(err)
			return
		}
		answer("ok " + string(b))
	}
	switch {
	case f.broken != nil:
		fail(fmt.Errorf("this front takes no part in the fleet: %w", f.broken))
		return
	case f.node == nil:
		fail(errWait)
		return
	}
	word, rest, _ := strings.Cut(strings.TrimSpace(call), " ")
	switch rest = strings.TrimSpace(rest); word {
	case "STATUS":
		give(f.status())
	case "MEMBERS":
		give(f.members())
	case "INIT":
		if s := f.node.Replica().State(); s.Fleet != 0 {
			give(map[string]string{"fleet": s.Name, "id": fmt.Sprintf("%016x", s.Fleet)})
		} else {
			fail(fmt.Errorf("not founded; it waits %s", cmp.Or(f.node.FoundingStatus(), "for the fleet's first entries")))
		}
	case "LEAVE":
		if rest == "" {
			fail(errName)
			return
		}
		f.submit(statemachine.Command{Leave: &statemachine.Leave{Name: rest}}, give, fail)
	case "RULES":
		f.rules(rest, give, fail)
	case "VERSIONS":
		f.versionsCall(rest, give, fail)
	case "AUDIT":
		f.auditCall(rest, give, fail)
	case "WORK":
		f.work(rest, give, fail)
	case "LIMITS", "PURGE", "TREE", "VERDICTS", "STEER":
		f.exchangeCall(word, rest, give, fail)
	default:
		fail(errCall)
	}
}

// strict reads what follows a call's word, and names a key that it does not know.
func strict(word, text string, into any) error {
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("%s: %w", word, err)
	}
	return nil
}

// submit has a command agreed on, and answers with its word.
func (f *Fleet) submit(c statemachine.Command, give func(any), fail func(error)) {
	f.node.Submit(c, mostWithin, func(w statemachine.Result, err error) {
		switch {
		case err != nil:
			fail(err)
		case w.Err != "":
			fail(errors.New(w.Err))
		default:
			give(map[string]uint64{"work": w.Number})
		}
	})
	f.pump()
}

// rules gives the rules of works, or has those changed that are named.
func (f *Fleet) rules(change string, give func(any), fail func(error)) {
	r := f.node.Replica().State().Maintenance.Rules
	x := Rules{Out: r.MaxOut, Zone: r.MaxZoneOut, Percent: r.MaxFrontsPercent, UnhealthyPercent: r.UnhealthyPercent, AcceptS: seconds(r.AcceptTimeout), EmptyS: seconds(r.DrainTimeout), BackS: seconds(r.ReturnTimeout),
		ColdS: seconds(r.WarmUp), AgeStepS: seconds(r.AgeStep), PatienceS: seconds(r.Patience), AloneS: seconds(r.LeaseSpan), PacePercent: r.MaxPacePercent, LagPercent: r.MaxFencedPercent}
	if change == "" {
		give(x)
		return
	}
	if err := strict("RULES", change, &x); err != nil {
		fail(err)
		return
	}
	micros := func(s float64) int64 { return int64(max(-1, min(s, 1e9)) * 1e6) }
	r = maintenance.Rules{MaxOut: x.Out, MaxZoneOut: x.Zone, MaxFrontsPercent: x.Percent, UnhealthyPercent: x.UnhealthyPercent, AcceptTimeout: micros(x.AcceptS), DrainTimeout: micros(x.EmptyS), ReturnTimeout: micros(x.BackS),
		WarmUp: micros(x.ColdS), AgeStep: micros(x.AgeStepS), Patience: micros(x.PatienceS), LeaseSpan: micros(x.AloneS), MaxPacePercent: x.PacePercent, MaxFencedPercent: x.LagPercent}
	if err := r.Validate(); err != nil {
		fail(err)
		return
	}
	f.submit(statemachine.Command{Rules: &r}, func(any) { give(x) }, fail)
}

func (f *Fleet) work(call string, give func(any), fail func(error)) {
	r := f.node.Replica()
	s, fleet := r.State(), r.Fleet()
	word, rest, _ := strings.Cut(call, " ")
	rest = strings.TrimSpace(rest)
	order := func(what string) {
		number, why, _ := strings.Cut(rest, " ")
		id, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			fail(errNumber)
			return
		}
		f.submit(statemachine.Command{Order: &statemachine.Order{Action: what, Operation: id, Reason: strings.TrimSpace(why)}}, give, fail)
	}
	switch word {
	case "ASK":
		var a OperationRequest
		if err := strict("ASK", rest, &a); err != nil {
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
			zone, pace, known := f.host.BoxShare(a.Machine)
			if !known {
				fail(errBox)
				return
			}
			x.Kind, x.Zone = maintenance.Box, cmp.Or(a.Zone, zone)
			if s.Maintenance.Rules.MaxPacePercent > 0 {
				x.Pace = pace
			}
		}
		f.submit(statemachine.Command{Request: &statemachine.Request{Operation: x, RequestedBy: a.RequestedBy}}, give, fail)
	case "LIST":
		list := f.plan()
		for _, x := range slices.Backward(s.Maintenance.Ended) {
			if len(list) >= 100 {
				break
			}
			list = append(list, tellWork(maintenance.PlanEntry{Operation: x}, s.Now))
		}
		give(list)
	case "PLAN":
		give(f.plan())
	case "WHY":
		if rest == "" {
			fail(errName)
			return
		}
		give(map[string]string{"why": s.Maintenance.Explain(rest, fleet, s.Now)})
	case "HOLD", "RESUME":
		f.submit(statemachine.Command{Order: &statemachine.Order{Action: strings.ToLower(word), Reason: rest}}, give, fail)
	case "CANCEL", "LOST", "DONE":
		order(strings.ToLower(word))
	default:
		fail(errCall)
	}
}

func (f *Fleet) plan() []Operation {
	r := f.node.Replica()
	s := r.State()
	list := []Operation{}
	for _, l := range s.Maintenance.Plan(r.Fleet(), s.Now) {
		list = append(list, tellWork(l, s.Now))
	}
	return list
}

func tellWork(l maintenance.PlanEntry, now int64) Operation {
	w := Operation{ID: l.ID, Machine: l.Machine, Kind: "front", Zone: l.Zone, Phase: l.Phase.String(), Position: l.Position, Permit: l.Permit, Reason: l.Operation.Reason,
		SpanS: seconds(l.Duration), Importance: l.Importance, Urgent: l.Urgent, EndsOnRestart: l.EndsOnRestart, PhaseS: seconds(now - l.Since), WaitsFor: l.WaitsFor,
		Note: l.Note, Overdue: l.Overdue, ConflictsWith: l.ConflictsWith}
	if l.Kind == maintenance.Box {
		w.Kind = "box"
	}
	return w
}

func seconds(us int64) float64 { return float64(us/1000) / 1000 }

func (f *Fleet) seat(id uint64) string {
	s := f.node.Replica().State()
	lead, _ := f.node.Leader()
	switch {
	case id == lead:
		return "leader"
	case s.Seats.Has(id):
		return "voter"
	case slices.Contains(s.Seats.Learners, id):
		return "learner"
	}
	return "follower"
}

func (f *Fleet) status() Status {
	n := f.node
	s := n.Replica().State()
	_, term := n.Leader()
	x := Status{Fleet: f.cfg.Fleet, Front: f.cfg.Name, Incarnation: fmt.Sprintf("%016x", n.ID()), Build: f.cfg.Build, Leader: n.LeaderName(),
		Term: term, Applied: n.Applied(), Seat: f.seat(n.ID()), Feeder: n.Feeder(), Feeds: n.Children(), Fronts: len(s.Members.Fronts), Version: s.Version,
		TargetVoters: s.Members.TargetVoters(), TolerableLosses: s.Members.TolerableLosses(s.Seats), Hold: s.Maintenance.HoldReason, WaitsFor: cmp.Or(n.FoundingStatus(), n.PendingChange()), FleetTime: seconds(s.Now),
		Sent: f.counts.Sent, SentBytes: f.counts.Bytes, Received: f.counts.Received, Dropped: f.counts.Dropped}
	x.ActiveVersion = f.ver.taker.Active()
	x.MayAct, _ = f.MayAct()
	if n.IsLeader() {
		x.OutdatedFronts = n.OutdatedFronts()
	}
	if x.AloneS = seconds(n.LeaseSpan()); x.AloneS > 0 {
		x.LeaseS = seconds(max(0, n.LeaseEnd()-f.now()))
	}
	if out, permit := n.OutOfService(); out && f.out {
		x.OutByPermit = permit
	}
	if s.Fleet != 0 {
		x.ID = fmt.Sprintf("%016x", s.Fleet)
	}
	if err := n.Stale(); err != nil {
		x.WaitsFor = err.Error()
	}
	for _, m := range s.Members.Fronts {
		if m.Lost {
			x.Lost = append(x.Lost, m.Name)
		} else if m.NotServing {
			x.NotServing = append(x.NotServing, m.Name)
		}
		if m.Unhealthy && !m.Lost {
			x.Unhealthy = append(x.Unhealthy, m.Name)
		}
		if s.Seats.Has(m.ID) {
			x.Voters = append(x.Voters, m.Name)
		}
	}
	for _, i := range s.Maintenance.Operations {
		if i.Phase.IsOut() {
			x.Out = append(x.Out, i.Machine)
		}
	}
	return x
}

func (f *Fleet) members() []Member {
	s := f.node.Replica().State()
	list := []Member{}
	for _, m := range s.Members.Fronts {
		list = append(list, Member{Name: m.Name, Zone: m.Zone, Machine: m.Machine, Address: m.Address, Incarnation: fmt.Sprintf("%016x", m.ID),
			Build: m.Build, Seat: f.seat(m.ID), State: state(m), StateS: seconds(s.Now - m.Since)})
	}
	return list
}

func state(m membership.Front) string {
	switch {
	case m.Lost:
		return "lost"
	case m.Leaving:
		return "leaving"
	case m.NotServing:
		return "away"
	}
	return "in"
}
