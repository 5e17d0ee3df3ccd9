package history

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Verdict is the result of checking a history.
type Verdict struct {
	Violations  []Violation    `json:"broken"`
	Counts      map[string]int `json:"counts"`
	Truncated   []string       `json:"cut,omitempty"`
	Dropped     int64          `json:"missed,omitempty"`
	Utilization float64        `json:"used,omitempty"` // fraction of the first limit that is used in the steady state at the end
	MaxExcess   float64        `json:"over"`           // largest excess over a hard limit in requests; below 0: never exceeded
	Purges      []PurgeTiming  `json:"purges,omitempty"`
}

// PurgeTiming is how long a purge took, in seconds.
type PurgeTiming struct {
	ID       string  `json:"id"`
	Applied  float64 `json:"obeyed_s"` // from the request until all fronts applied it
	Complete float64 `json:"complete_s"`
	Fronts   int     `json:"fronts"`
}

// Violation is a violated property, with the events that show it.
type Violation struct {
	Property string  `json:"promise"`
	Text     string  `json:"text"`
	Evidence []Event `json:"shows"`
}

const maxEvidence = 40

func (v *Verdict) addViolation(property string, evidence []Event, format string, args ...any) {
	v.Counts["broken "+property]++
	if len(v.Violations) < 20 {
		v.Violations = append(v.Violations, Violation{Property: property, Text: fmt.Sprintf(format, args...), Evidence: slices.Clone(evidence[:min(len(evidence), maxEvidence)])})
	}
}

// Check checks a history against all properties.
func Check(h *History) *Verdict {
	v := &Verdict{Counts: map[string]int{}, Truncated: h.Truncated, Dropped: h.Dropped, MaxExcess: math.Inf(-1)}
	for _, e := range h.Events {
		v.Counts[e.Kind]++
	}
	v.checkRequests(h)
	for _, p := range h.Run.Limits {
		v.checkLimit(h, p)
	}
	v.checkPurges(h)
	v.checkPurgeIDs(h)
	v.checkVerdicts(h)
	v.checkOrders(h)
	if math.IsInf(v.MaxExcess, 0) {
		v.MaxExcess = 0
	}
	return v
}

// checkRequests checks that each request gets exactly one complete final answer and that a payout
// runs at most once.
func (v *Verdict) checkRequests(h *History) {
	runs := map[uint64]Event{}
	answers := map[uint64]Event{}
	for _, e := range h.Events {
		switch e.Kind {
		case "request":
			if previous, duplicate := answers[e.ID]; duplicate {
				v.addViolation("one answer", []Event{previous, e}, "request %d has two answers", e.ID)
			}
			answers[e.ID] = e
			if e.Status == 0 && e.Excuse == "" {
				v.addViolation("an answer", []Event{e}, "request %d at %s got no complete answer", e.ID, e.Front)
			}
			if e.Status >= 200 {
				v.Counts[fmt.Sprintf("status %d", e.Status)]++
			}
		case "ran":
			if previous, duplicate := runs[e.ID]; duplicate {
				v.addViolation("once", []Event{previous, e}, "payout %d ran twice", e.ID)
			}
			runs[e.ID] = e
		}
	}
}

// checkLimit checks that no window of time admits more requests than the limit allows, and that the
// limit is used in the steady state.
func (v *Verdict) checkLimit(h *History, spec LimitSpec) {
	var takes []Event
	attempts := 0
	for _, e := range h.Events {
		if e.Kind == "take" && e.Limit == spec.Limit {
			if attempts++; e.OK {
				takes = append(takes, e)
			}
		}
	}
	v.Counts["takes of "+spec.Limit] = len(takes)
	if spec.Kind == "rate" {
		rate := spec.Amount
		if !spec.Hard {
			rate += spec.MaxExcess
		}
		// Finds the maximum of (j-i+1) - burst - rate (t_j-t_i) over all i <= j in one pass.
		minOffset, minIndex, maxExcess, from, to := math.Inf(1), 0, math.Inf(-1), 0, 0
		for j, e := range takes {
			offset := float64(j) - rate*float64(e.At-takes[0].At)/1e9
			if offset < minOffset {
				minOffset, minIndex = offset, j
			}
			if excess := offset - minOffset + 1 - spec.Burst; excess > maxExcess {
				maxExcess, from, to = excess, minIndex, j
			}
		}
		if spec.Hard {
			v.MaxExcess = max(v.MaxExcess, maxExcess)
		}
		burst := 0.0
		if !spec.Hard { // each isolated front may start with one request
			burst = float64(len(h.Run.Fronts))
		}
		if maxExcess > burst+1e-9 {
			span := time.Duration(takes[to].At - takes[from].At)
			v.addViolation("limit "+spec.Limit, takes[from:to+1], "%d requests admitted within %v, allowed are %g per second with a burst of %g: %.1f over the limit", to-from+1, span, rate, spec.Burst, maxExcess)
		}
	}
	v.checkServedWithinTakes(h, spec, takes)
	if settledAt := h.Run.SettledAt; settledAt != 0 && h.Run.EndedAt > settledAt {
		granted, requested := 0, 0
		for _, e := range h.Events {
			if e.Kind == "take" && e.Limit == spec.Limit && e.At >= settledAt && e.At < h.Run.EndedAt {
				requested++
				if e.OK {
					granted++
				}
			}
		}
		span := float64(h.Run.EndedAt-settledAt) / 1e9
		if spec.Kind == "rate" && float64(requested) > 1.2*spec.Amount*span && span >= 1 {
			utilization := float64(granted) / (spec.Amount * span)
			if v.Utilization == 0 {
				v.Utilization = utilization
			}
			if utilization < 0.8 {
				v.addViolation("used "+spec.Limit, nil, "%.0f%% of the limit is used at the end, with %d requests for %.0f permitted", 100*utilization, requested, spec.Amount*span)
			}
		}
	}
}

// checkServedWithinTakes checks that each request served under a limit has a granted take of its own,
// in the same front and between request and answer, so that no request bypasses the limit.
func (v *Verdict) checkServedWithinTakes(h *History, spec LimitSpec, takes []Event) {
	if h.Dropped > 0 || len(h.Truncated) > 0 {
		return
	}
	takesByFront := map[string][]Event{}
	for _, e := range takes {
		takesByFront[e.By] = append(takesByFront[e.By], e)
	}
	var served []Event
	for _, e := range h.Events {
		if e.Kind == "request" && e.Status == 200 && e.Tenant != "" && slices.ContainsFunc(takes, func(t Event) bool { return t.Subject == e.Tenant }) {
			served = append(served, e)
		}
	}
	sort.SliceStable(served, func(i, j int) bool { return served[i].End < served[j].End })
	used := map[string][]bool{}
	for front, list := range takesByFront {
		used[front] = make([]bool, len(list))
	}
	for _, request := range served {
		list := takesByFront[request.Front]
		i := sort.Search(len(list), func(i int) bool { return list[i].At >= request.At })
		for ; i < len(list) && list[i].At <= request.End && used[request.Front][i]; i++ {
		}
		if i >= len(list) || list[i].At > request.End {
			v.addViolation("counted "+spec.Limit, []Event{request}, "request %d was served by %s without a granted take of the limit", request.ID, request.Front)
			return
		}
		used[request.Front][i] = true
	}
	v.Counts["served under "+spec.Limit] = len(served)
}

// covers reports whether a purge's scope includes an object.
func covers(scope, object string) bool {
	kind, name, _ := strings.Cut(scope, " ")
	switch kind {
	case "all":
		return true
	case "object":
		return object == name
	case "prefix":
		return strings.HasPrefix(object, name)
	}
	return false // groups and tags are not checked here
}

// checkPurges checks that a front which applied a purge answers with no older copy, that no purge
// is reported complete too early, and that all requested purges are complete at the end.
func (v *Verdict) checkPurges(h *History) {
	requestedAt := map[string]int64{} // by request key, the first request
	scopes := map[string]string{}     // by purge number
	keyByID := map[string]string{}    // request key by purge number
	type application struct {
		at int64
		e  Event
	}
	applications := map[string]map[string][]application{} // by purge number and front, one for each of the front's processes
	completions := map[string]Event{}
	starts := map[string][]Event{}
	for _, e := range h.Events {
		switch e.Kind {
		case "ask":
			if _, ok := requestedAt[e.RequestKey]; !ok {
				requestedAt[e.RequestKey] = e.At
			}
		case "obey":
			if e.Purge == "" {
				continue
			}
			scopes[e.Purge], keyByID[e.Purge] = e.Scope, e.RequestKey
			if applications[e.Purge] == nil {
				applications[e.Purge] = map[string][]application{}
			}
			applications[e.Purge][e.By] = append(applications[e.Purge][e.By], application{e.At, e})
		case "complete":
			if _, ok := completions[e.Purge]; !ok {
				completions[e.Purge] = e
			}
		case "open", "began":
			starts[e.By] = append(starts[e.By], e)
		}
	}
	idsByKey := map[string][]string{}
	for id, key := range keyByID {
		idsByKey[key] = append(idsByKey[key], id)
	}
	for key, at := range requestedAt {
		if len(idsByKey[key]) == 0 {
			if h.Run.SettledAt != 0 {
				v.addViolation("told", nil, "purge %q was requested and no front applied it", key)
			}
			continue
		}
		done := false
		for _, id := range idsByKey[key] {
			timing := PurgeTiming{ID: id, Fronts: len(applications[id])}
			for _, list := range applications[id] {
				timing.Applied = max(timing.Applied, float64(list[0].at-at)/1e9)
			}
			if e, ok := completions[id]; ok {
				done = true
				timing.Complete = float64(e.At-at) / 1e9
				v.Purges = append(v.Purges, timing)
			}
		}
		if !done && h.Run.SettledAt != 0 {
			v.addViolation("complete", nil, "purge %q (%s) is not complete although all fronts are connected", key, strings.Join(idsByKey[key], ", "))
		}
	}
	slices.SortFunc(v.Purges, func(a, b PurgeTiming) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range h.Events {
		if e.Kind != "request" || e.Status != 200 || e.Filled == 0 {
			continue
		}
		for id, scope := range scopes {
			at := requestedAt[keyByID[id]]
			if e.Filled >= at || at == 0 || !covers(scope, e.Object) {
				continue
			}
			if completion, ok := completions[id]; ok && e.At > completion.At {
				v.addViolation("complete too early", []Event{completion, e}, "purge %s was complete %v before request %d, which %s answered with a copy filled %v before the purge was requested",
					id, time.Duration(e.At-completion.At), e.ID, e.Front, time.Duration(at-e.Filled))
				continue
			}
			for _, applied := range applications[id][e.Front] {
				if e.At > applied.at {
					v.addViolation("obeyed", []Event{applied.e, e}, "%s applied purge %s %v before request %d arrived, and answered it with a copy filled %v before the purge",
						e.Front, id, time.Duration(e.At-applied.at), e.ID, time.Duration(at-e.Filled))
					break
				}
			}
		}
	}
	v.checkPrematureCompletion(h, completions, func(id, front string) (at int64, ok bool) {
		list := applications[id][front]
		if len(list) == 0 {
			return 0, false
		}
		return list[0].at, true
	}, starts)
}

// checkPrematureCompletion checks that when a purge is reported complete, every front of the fleet
// has applied it, or does not serve then, or started to serve later, caught up with what it missed.
func (v *Verdict) checkPrematureCompletion(h *History, completions map[string]Event, appliedAt func(id, front string) (int64, bool), starts map[string][]Event) {
	for id, completion := range completions {
		for _, front := range h.Run.Fronts {
			if at, ok := appliedAt(id, front); ok && at <= completion.At {
				continue
			}
			// The front serves at that time if its newest process has opened.
			serves := false
			for _, e := range starts[front] {
				if e.At <= completion.At {
					serves = e.Kind == "open"
				}
			}
			if !serves {
				continue
			}
			// A front that opened after the request and trusts only copies filled since then needs no purge.
			freshCopiesOnly := false
			for _, e := range starts[front] {
				if e.Kind == "open" && e.At <= completion.At && strings.HasPrefix(e.OpenMode(), "by copies") {
					freshCopiesOnly = true
				}
			}
			if at, ok := appliedAt(id, front); !freshCopiesOnly && (!ok || at > completion.At) {
				v.addViolation("complete too early", []Event{completion}, "purge %s was reported complete before %s applied it", id, front)
			}
		}
	}
}

// OpenMode returns how a front opened, for events of kind open.
func (e Event) OpenMode() string { return e.State }

// checkPurgeIDs checks that a purge requested again with the same key keeps its number, as long as
// the front that assigned it is there. The model is a write-once register per key.
func (v *Verdict) checkPurgeIDs(h *History) {
	type input struct{ key string }
	model := porcupine.Model{
		Partition: func(list []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, o := range list {
				key := o.Input.(input).key
				byKey[key] = append(byKey[key], o)
			}
			var out [][]porcupine.Operation
			for _, l := range byKey {
				out = append(out, l)
			}
			return out
		},
		Init: func() any { return "" },
		Step: func(state, _, output any) (bool, any) {
			s, o := state.(string), output.(string)
			if s == "" {
				return true, o
			}
			return s == o, s
		},
		Equal: func(a, b any) bool { return a == b },
	}
	var ops []porcupine.Operation
	for _, e := range h.Events {
		if e.Kind == "numbered" {
			ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: input{e.RequestKey}, Call: e.At, Output: e.Purge, Return: e.End})
		}
	}
	v.Counts["numbered"] = len(ops)
	if len(ops) == 0 {
		return
	}
	if porcupine.CheckOperationsTimeout(model, ops, 20*time.Second) == porcupine.Illegal {
		v.addViolation("numbers", nil, "a purge requested twice has two numbers")
	}
}

// checkVerdicts checks that no verdict rests on a single front or site where two are required, that
// verdicts take no hub's last box away, and that no front acts on a verdict older than its bound.
func (v *Verdict) checkVerdicts(h *History) {
	for _, e := range h.Events {
		if e.Kind != "verdict" {
			continue
		}
		if e.BoundMS > 0 && e.AgeMS > e.BoundMS {
			v.addViolation("stale verdict", []Event{e}, "%s acts on a verdict on %s that is %.0f ms old, at most %.0f are allowed", e.By, e.Box, e.AgeMS, e.BoundMS)
		}
		if e.State == "failing" && e.OK {
			if len(e.Witnesses) < 2 && len(h.Run.Fronts) > 1 {
				v.addViolation("witnesses", []Event{e}, "a verdict on %s rests on %v alone", e.Box, e.Witnesses)
			}
			if e.Sites < min(2, e.Possible) {
				v.addViolation("witnesses", []Event{e}, "a verdict on %s rests on one site although %d could observe it", e.Box, e.Possible)
			}
			if e.Boxes > 0 && e.Ready == 0 {
				v.addViolation("hub emptied", []Event{e}, "verdicts remove all %d boxes of %s at %s", e.Boxes, e.Hub, e.By)
			}
		}
	}
}

// checkOrders checks that no front uses an order of edges older than its bound.
func (v *Verdict) checkOrders(h *History) {
	for _, e := range h.Events {
		if e.Kind == "order" && e.BoundMS > 0 && e.AgeMS > e.BoundMS {
			v.addViolation("stale order", []Event{e}, "%s uses an order for %s that is %.0f ms old, at most %.0f are allowed", e.By, e.Region, e.AgeMS, e.BoundMS)
		}
	}
}
