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

// Verdict is what a judge found.
type Verdict struct {
	Violations  []Violation    `json:"broken"`
	Counts      map[string]int `json:"counts"`
	Truncated   []string       `json:"cut,omitempty"`
	Dropped     int64          `json:"missed,omitempty"`
	Utilization float64        `json:"used,omitempty"` // of the first limit, in steady state at the end, as a part of 1
	MaxExcess   float64        `json:"over"`           // the most that a hard limit was over, in requests; below 0: never
	Purges      []PurgeTiming  `json:"purges,omitempty"`
}

// Purged is how long a purge took, in seconds.
type PurgeTiming struct {
	ID       string  `json:"id"`
	Applied  float64 `json:"obeyed_s"` // asked to obeyed everywhere
	Complete float64 `json:"complete_s"`
	Fronts   int     `json:"fronts"`
}

// Fault is a broken promise, with the shortest part of the history that shows it.
type Violation struct {
	Property string  `json:"promise"`
	Text     string  `json:"text"`
	Evidence []Event `json:"shows"`
}

const mostShown = 40

func (v *Verdict) fault(promise string, shows []Event, format string, args ...any) {
	v.Counts["broken "+promise]++
	if len(v.Violations) < 20 {
		v.Violations = append(v.Violations, Violation{Property: promise, Text: fmt.Sprintf(format, args...), Evidence: slices.Clone(shows[:min(len(shows), mostShown)])})
	}
}

// Judge holds a history against all promises.
func Check(h *History) *Verdict {
	v := &Verdict{Counts: map[string]int{}, Truncated: h.Truncated, Dropped: h.Dropped, MaxExcess: math.Inf(-1)}
	for _, e := range h.Events {
		v.Counts[e.Kind]++
	}
	v.requests(h)
	for _, p := range h.Run.Limits {
		v.limit(h, p)
	}
	v.purges(h)
	v.numbers(h)
	v.verdicts(h)
	v.orders(h)
	if math.IsInf(v.MaxExcess, 0) {
		v.MaxExcess = 0
	}
	return v
}

// requests: each gets one whole final answer in time; a payout runs once.
func (v *Verdict) requests(h *History) {
	ran := map[uint64]Event{}
	answers := map[uint64]Event{}
	for _, e := range h.Events {
		switch e.Kind {
		case "request":
			if old, twice := answers[e.ID]; twice {
				v.fault("one answer", []Event{old, e}, "request %d has two answers", e.ID)
			}
			answers[e.ID] = e
			if e.Status == 0 && e.Excuse == "" {
				v.fault("an answer", []Event{e}, "request %d at %s got no whole answer", e.ID, e.Front)
			}
			if e.Status >= 200 {
				v.Counts[fmt.Sprintf("status %d", e.Status)]++
			}
		case "ran":
			if old, twice := ran[e.ID]; twice {
				v.fault("once", []Event{old, e}, "payout %d ran twice", e.ID)
			}
			ran[e.ID] = e
		}
	}
}

// limit: in any window no more is let through than the limit allows.
func (v *Verdict) limit(h *History, p LimitSpec) {
	var takes []Event
	tried := 0
	for _, e := range h.Events {
		if e.Kind == "take" && e.Limit == p.Limit {
			if tried++; e.OK {
				takes = append(takes, e)
			}
		}
	}
	v.Counts["takes of "+p.Limit] = len(takes)
	if p.Kind == "rate" {
		rate := p.Amount
		if !p.Hard {
			rate += p.MaxExcess
		}
		// The greatest of (j-i+1) - burst - rate (t_j-t_i), in one pass.
		least, first, worst, from, to := math.Inf(1), 0, math.Inf(-1), 0, 0
		for j, e := range takes {
			x := float64(j) - rate*float64(e.At-takes[0].At)/1e9
			if x < least {
				least, first = x, j
			}
			if d := x - least + 1 - p.Burst; d > worst {
				worst, from, to = d, first, j
			}
		}
		if p.Hard {
			v.MaxExcess = max(v.MaxExcess, worst)
		}
		burst := 0.0
		if !p.Hard { // each front that is alone may begin with one request
			burst = float64(len(h.Run.Fronts))
		}
		if worst > burst+1e-9 {
			span := time.Duration(takes[to].At - takes[from].At)
			v.fault("limit "+p.Limit, takes[from:to+1], "%d let through within %v, where %g a second and %g at once are allowed: %.1f over", to-from+1, span, rate, p.Burst, worst)
		}
	}
	v.matched(h, p, takes)
	if s := h.Run.SettledAt; s != 0 && h.Run.EndedAt > s {
		n, asked := 0, 0
		for _, e := range h.Events {
			if e.Kind == "take" && e.Limit == p.Limit && e.At >= s && e.At < h.Run.EndedAt {
				asked++
				if e.OK {
					n++
				}
			}
		}
		span := float64(h.Run.EndedAt-s) / 1e9
		if p.Kind == "rate" && float64(asked) > 1.2*p.Amount*span && span >= 1 {
			used := float64(n) / (p.Amount * span)
			if v.Utilization == 0 {
				v.Utilization = used
			}
			if used < 0.8 {
				v.fault("used "+p.Limit, nil, "%.0f%% of it is used at the end, while %d requests ask for %.0f", 100*used, asked, p.Amount*span)
			}
		}
	}
}

// matched: whatever a client was served under a limit was let through by a part, in that
// front, between its asking and its answer; so nothing passes by the limit.
func (v *Verdict) matched(h *History, p LimitSpec, takes []Event) {
	if h.Dropped > 0 || len(h.Truncated) > 0 {
		return
	}
	by := map[string][]Event{}
	for _, e := range takes {
		by[e.By] = append(by[e.By], e)
	}
	var served []Event
	for _, e := range h.Events {
		if e.Kind == "request" && e.Status == 200 && e.Tenant != "" && slices.ContainsFunc(takes, func(t Event) bool { return t.Subject == e.Tenant }) {
			served = append(served, e)
		}
	}
	sort.SliceStable(served, func(i, j int) bool { return served[i].End < served[j].End })
	used := map[string][]bool{}
	for f, list := range by {
		used[f] = make([]bool, len(list))
	}
	for _, r := range served {
		list := by[r.Front]
		i := sort.Search(len(list), func(i int) bool { return list[i].At >= r.At })
		for ; i < len(list) && list[i].At <= r.End && used[r.Front][i]; i++ {
		}
		if i >= len(list) || list[i].At > r.End {
			v.fault("counted "+p.Limit, []Event{r}, "request %d was served by %s under no part of the limit", r.ID, r.Front)
			return
		}
		used[r.Front][i] = true
	}
	v.Counts["served under "+p.Limit] = len(served)
}

// covers tells whether a purge's scope is of an object.
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
	return false // groups and tags: by the world's own events
}

// purges: after a front obeyed one, no answer of it is from a copy older; complete is
// never said too early, and by the end everything asked is complete.
func (v *Verdict) purges(h *History) {
	asked := map[string]int64{}  // by the name of its asking, the first time
	scope := map[string]string{} // by number
	named := map[string]string{} // number to asking
	type obey struct {
		at int64
		e  Event
	}
	obeys := map[string]map[string][]obey{} // by number and front, of each of its processes
	whole := map[string]Event{}
	open := map[string][]Event{}
	for _, e := range h.Events {
		switch e.Kind {
		case "ask":
			if _, ok := asked[e.RequestKey]; !ok {
				asked[e.RequestKey] = e.At
			}
		case "obey":
			if e.Purge == "" {
				continue
			}
			scope[e.Purge], named[e.Purge] = e.Scope, e.RequestKey
			if obeys[e.Purge] == nil {
				obeys[e.Purge] = map[string][]obey{}
			}
			obeys[e.Purge][e.By] = append(obeys[e.Purge][e.By], obey{e.At, e})
		case "complete":
			if _, ok := whole[e.Purge]; !ok {
				whole[e.Purge] = e
			}
		case "open", "began":
			open[e.By] = append(open[e.By], e)
		}
	}
	numbers := map[string][]string{}
	for id, a := range named {
		numbers[a] = append(numbers[a], id)
	}
	for a, at := range asked {
		if len(numbers[a]) == 0 {
			if h.Run.SettledAt != 0 {
				v.fault("told", nil, "purge %q was asked for and nobody obeys it", a)
			}
			continue
		}
		done := false
		for _, id := range numbers[a] {
			p := PurgeTiming{ID: id, Fronts: len(obeys[id])}
			for _, list := range obeys[id] {
				p.Applied = max(p.Applied, float64(list[0].at-at)/1e9)
			}
			if e, ok := whole[id]; ok {
				done = true
				p.Complete = float64(e.At-at) / 1e9
				v.Purges = append(v.Purges, p)
			}
		}
		if !done && h.Run.SettledAt != 0 {
			v.fault("complete", nil, "purge %q (%s) is not complete, though all are in contact", a, strings.Join(numbers[a], ", "))
		}
	}
	slices.SortFunc(v.Purges, func(a, b PurgeTiming) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range h.Events {
		if e.Kind != "request" || e.Status != 200 || e.Filled == 0 {
			continue
		}
		for id, s := range scope {
			at := asked[named[id]]
			if e.Filled >= at || at == 0 || !covers(s, e.Object) {
				continue
			}
			if w, ok := whole[id]; ok && e.At > w.At {
				v.fault("complete too early", []Event{w, e}, "purge %s was complete %v before request %d, which %s answered with a copy filled %v before it was asked for",
					id, time.Duration(e.At-w.At), e.ID, e.Front, time.Duration(at-e.Filled))
				continue
			}
			for _, o := range obeys[id][e.Front] {
				if e.At > o.at {
					v.fault("obeyed", []Event{o.e, e}, "%s obeyed purge %s %v before request %d came, and answered it with a copy filled %v before the purge",
						e.Front, id, time.Duration(e.At-o.at), e.ID, time.Duration(at-e.Filled))
					break
				}
			}
		}
	}
	v.early(h, whole, func(id, front string) (at int64, ok bool) {
		list := obeys[id][front]
		if len(list) == 0 {
			return 0, false
		}
		return list[0].at, true
	}, open)
}

// early: when a purge is said to be complete, every front of the fleet has obeyed it, or
// does not serve then, or began to serve later with what it had missed.
func (v *Verdict) early(h *History, whole map[string]Event, obeyed func(id, front string) (int64, bool), open map[string][]Event) {
	for id, w := range whole {
		for _, f := range h.Run.Fronts {
			if at, ok := obeyed(id, f); ok && at <= w.At {
				continue
			}
			// Does it serve at that moment: has its newest process opened?
			serves := false
			for _, e := range open[f] {
				if e.At <= w.At {
					serves = e.Kind == "open"
				}
			}
			if !serves {
				continue
			}
			// One that trusts nothing from before it opened, after the purge was asked, obeys it.
			returned := false
			for _, e := range open[f] {
				if e.Kind == "open" && e.At <= w.At && strings.HasPrefix(e.OpenMode(), "by copies") {
					returned = true
				}
			}
			if at, ok := obeyed(id, f); !returned && (!ok || at > w.At) {
				v.fault("complete too early", []Event{w}, "purge %s was said to be complete while %s had not obeyed it", id, f)
			}
		}
	}
}

// How is how a front opened.
func (e Event) OpenMode() string { return e.State }

// numbers: a purge asked for again under the same name is the same one, for as long as
// whoever numbered it is there; checked as a register that is written once.
func (v *Verdict) numbers(h *History) {
	type in struct{ asked string }
	model := porcupine.Model{
		Partition: func(list []porcupine.Operation) [][]porcupine.Operation {
			by := map[string][]porcupine.Operation{}
			for _, o := range list {
				k := o.Input.(in).asked
				by[k] = append(by[k], o)
			}
			var out [][]porcupine.Operation
			for _, l := range by {
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
			ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: in{e.RequestKey}, Call: e.At, Output: e.Purge, Return: e.End})
		}
	}
	v.Counts["numbered"] = len(ops)
	if len(ops) == 0 {
		return
	}
	if porcupine.CheckOperationsTimeout(model, ops, 20*time.Second) == porcupine.Illegal {
		v.fault("numbers", nil, "a purge asked for twice has two numbers")
	}
}

// verdicts: none rests on one front where it needs two, none empties a hub, and nobody
// acts on one past its bound.
func (v *Verdict) verdicts(h *History) {
	for _, e := range h.Events {
		if e.Kind != "verdict" {
			continue
		}
		if e.BoundMS > 0 && e.AgeMS > e.BoundMS {
			v.fault("stale verdict", []Event{e}, "%s acts on a verdict on %s that is %.0f ms old, %.0f at most", e.By, e.Box, e.AgeMS, e.BoundMS)
		}
		if e.State == "failing" && e.OK {
			if len(e.Witnesses) < 2 && len(h.Run.Fronts) > 1 {
				v.fault("witnesses", []Event{e}, "a verdict on %s rests on %v alone", e.Box, e.Witnesses)
			}
			if e.Sites < min(2, e.Possible) {
				v.fault("witnesses", []Event{e}, "a verdict on %s rests on one site, %d could tell", e.Box, e.Possible)
			}
			if e.Boxes > 0 && e.Ready == 0 {
				v.fault("hub emptied", []Event{e}, "verdicts take all %d boxes of %s away at %s", e.Boxes, e.Hub, e.By)
			}
		}
	}
}

// orders: nobody goes by an order of edges past its bound.
func (v *Verdict) orders(h *History) {
	for _, e := range h.Events {
		if e.Kind == "order" && e.BoundMS > 0 && e.AgeMS > e.BoundMS {
			v.fault("stale order", []Event{e}, "%s goes by an order for %s that is %.0f ms old, %.0f at most", e.By, e.Region, e.AgeMS, e.BoundMS)
		}
	}
}
