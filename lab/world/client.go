package world

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"

	"cherryramp/internal/gateway"
)

// writeBody is the body of a write.
const writeBody = "pay"

// request is what a client wants once, with all its tries.
type request struct {
	class, branch int
	object        uint32
	part          int
	startedAt     Micros
	tries         int
	executions    int // of a write
	executedAt    Micros
	key           string // of a keyed class: the same for all tries
	done          bool
}

// try is one try of a request at a front.
type try struct {
	w            *World
	request      *request
	front        *Front
	call         *gateway.Call      // in virtual time
	cancel       context.CancelFunc // on sockets
	id           string
	deadline     Micros
	sent         int // attempts that the front sent to servers
	provenNotRun int // how many of them the front knows not to have run
	done         bool
	answers      int
	answered     int    // attempts that a server has answered
	lastResult   string // result of the last of these
}

// reason is why a try was refused or failed, as far as the world can tell.
func (t *try) reason() string {
	switch {
	case t.sent == 0:
		return "not sent"
	case t.sent > t.answered:
		return "an attempt open"
	}
	return t.lastResult
}

// statsOf returns the counts that a request belongs to: the day's, or those of the
// warm-up.
func (w *World) statsOf(req *request) *Stats {
	if req.startedAt < w.start {
		return &w.warmUp
	}
	return &w.stats
}

// scheduleArrivals has clients arrive at a branch as a Poisson process at the current
// rate. Their objects and times are drawn from a random stream of the branch, by
// scheduled time, so that all runs of a day with the same seed, in virtual time or on
// sockets, have the same clients.
func (w *World) scheduleArrivals(branch int, at Micros, r *rand.Rand) {
	rate := w.rate(at-w.start) * w.branchWeight[branch] // requests per second
	gap := 100 * milli
	if rate > 0 {
		gap = min(Micros(r.ExpFloat64()/(rate/w.requestsPerVisit)*1e6), second)
	}
	next := at + gap
	w.loop.At(next, func() {
		if next >= w.end {
			return
		}
		if rate > 0 && gap < second {
			w.startVisit(branch, next, r)
		}
		w.scheduleArrivals(branch, next, r)
	})
}

// nextPartChance is the probability that a client that has received a part requests
// the next.
const nextPartChance = 0.96

// startVisit starts a client that requests the parts of an object one after another.
func (w *World) startVisit(branch int, at Micros, r *rand.Rand) {
	x, class := r.Float64()*w.classShares[len(w.classShares)-1], 0
	for w.classShares[class] < x {
		class++
	}
	object := w.catalog.pick(class, branch, at-w.warmUpStart, r)
	for part := range w.catalog.objects[object].parts {
		if part > 0 {
			if r.Float64() >= nextPartChance {
				return
			}
			at += between(r, w.spec.Classes[class].PartGap)
		}
		w.loop.At(at, func() {
			if at < w.end {
				w.sendTry(&request{class: class, branch: branch, object: object, part: part, startedAt: w.loop.Now()})
			}
		})
	}
}

// sendTry sends a request's next try to a front of its branch.
func (w *World) sendTry(req *request) {
	spec := &w.spec.Classes[req.class]
	if req.tries == 0 {
		w.statsOf(req).Asked[req.class]++
		w.statsOf(req).Worth += spec.Worth
		w.second(req.startedAt).Asked += spec.Worth
	}
	req.tries++
	w.statsOf(req).Tries++
	var up []*Front
	for _, f := range w.fronts {
		if f.branch == req.branch && f.serving {
			up = append(up, f)
		}
	}
	if len(up) == 0 { // the connection is refused, so nothing ran
		w.retry(req, 0)
		return
	}
	f := up[w.rand.IntN(len(up))]
	patience := Micros(float64(spec.GiveUp) * (0.5 + 0.5*w.rand.Float64()))
	w.lastID++
	t := &try{w: w, request: req, front: f, id: requestID(w.lastID), deadline: w.loop.Now() + patience}
	if spec.KeyWindow > 0 && req.key == "" {
		req.key = "k" + t.id
	}
	w.tries[t.id] = t
	f.tries[t] = true
	w.loop.At(t.deadline+w.spec.AnswerGrace+w.spec.Slack, t.checkAnswered)
	f.program.submit(t)
}

// checkAnswered reports a violation if a try has had no answer by its deadline.
func (t *try) checkAnswered() {
	if t.done {
		return
	}
	t.w.reportViolation(AnswerInTime, t.front, fmt.Sprintf("%s of %s has no answer %d ms after its client gave up", t.id, t.w.spec.Classes[t.request.class].Name,
		(t.w.loop.Now()-t.deadline)/milli))
	t.front.program.leave(t)
	t.finish()
	t.w.statsOf(t.request).Lost[t.request.class]++
}

func (t *try) finish() {
	t.done = true
	delete(t.front.tries, t)
	// Executions of a write may still be reported.
	t.w.after(2*second, func() { delete(t.w.tries, t.id) })
}

// reset ends a try whose front died. Whether it ran is unknown.
func (t *try) reset() {
	if t.done {
		return
	}
	t.finish()
	t.w.statsOf(t.request).Reset++
	if !t.w.spec.Classes[t.request.class].Write {
		t.w.retry(t.request, 0)
	}
}

// Answer implements gateway.Caller.
func (t *try) Answer(x gateway.Answer) {
	w := t.w
	if w.Mutation == DropFailures && x.Kind == gateway.Failed || w.Mutation == DropRefusals && x.Kind == gateway.Refused {
		return // the mutation
	}
	if w.Mutation == ReportFailedAsRefused && x.Kind == gateway.Failed {
		x.Kind = gateway.Refused
	}
	t.handleAnswer(x)
	if w.Mutation == DuplicateAnswers && x.Kind == gateway.Served && w.faults.IntN(100) == 0 {
		t.handleAnswer(x)
	}
}

func (t *try) handleAnswer(x gateway.Answer) {
	w, req, now := t.w, t.request, t.w.loop.Now()
	spec := &w.spec.Classes[req.class]
	if t.answers++; t.answers > 1 {
		w.reportViolation(AnswerInTime, t.front, fmt.Sprintf("%s has %d answers", t.id, t.answers))
		return
	}
	if t.done {
		return
	}
	t.finish()
	if now > t.deadline+w.spec.AnswerGrace+w.spec.Slack {
		w.reportViolation(AnswerInTime, t.front, fmt.Sprintf("%s was answered %d ms after its client gave up", t.id, (now-t.deadline)/milli))
	}
	w.addToDigest(t, x)
	switch x.Kind {
	case gateway.Served, gateway.NotModified:
		req.done = true
		w.statsOf(req).Served[req.class]++
		if want := content(item{req.object, uint16(req.part)}, x.CreatedAt); !spec.Write && string(x.Body) != want {
			w.reportViolation(CorrectContent, t.front, fmt.Sprintf("%s: got %q, want %q", t.id, x.Body, want))
		}
		if spec.Fresh > 0 && now-x.CreatedAt > spec.Fresh+spec.Grace+t.deadline-req.startedAt {
			w.reportViolation(CorrectContent, t.front, fmt.Sprintf("%s: the copy is %d ms old", t.id, (now-x.CreatedAt)/milli))
		}
		w.creditWorth(req, now, x.CreatedAt)
	case gateway.Refused:
		w.statsOf(req).Refused[req.class]++
		w.statsOf(req).Reasons["refused: "+t.reason()]++
		w.second(now).Refused++
		if spec.Write && spec.KeyWindow == 0 && t.sent > t.provenNotRun { // a keyed write may be sent again: RunsOnce checks whether that is too late
			w.reportViolation(RefusedNotRun, t.front, fmt.Sprintf("%s was refused, and may have run", t.id))
		}
		w.retry(req, x.RetryAfter)
	default:
		w.statsOf(req).Failed[req.class]++
		w.statsOf(req).Reasons["failed: "+t.reason()]++
		w.second(now).Failed++
		if !spec.Write {
			w.retry(req, 0)
		}
	}
}

// creditWorth counts the worth of an answer: all of it in time, counted from the first
// try, less when it is late or the copy is old.
func (w *World) creditWorth(req *request, now, createdAt Micros) {
	spec := &w.spec.Classes[req.class]
	worth := spec.Worth
	send := Micros(float64(spec.SendTime) * w.catalog.objects[req.object].scale)
	took := now - req.startedAt
	if took > spec.Aim+Micros(spec.AimStretch*float64(send)) {
		worth *= spec.LateWorth
		w.statsOf(req).Late++
	} else {
		w.statsOf(req).InTime++
	}
	if spec.Fresh > 0 && now-createdAt > spec.Fresh {
		worth *= spec.OldWorth
	}
	w.statsOf(req).Earned += worth
	if req.startedAt < w.start {
		return
	}
	_ = w.latencies[req.class].RecordValue(max(1, min(took, 60*second)))
	w.second(req.startedAt).Earned += worth
}

// lost ends a try whose connection closed without a complete answer while its front
// was running.
func (t *try) lost(err error) {
	if t.done {
		return
	}
	t.w.reportViolation(AnswerInTime, t.front, fmt.Sprintf("%s has no complete answer: %v", t.id, err))
	t.finish()
	t.w.statsOf(t.request).Lost[t.request.class]++
}

// retry schedules the client's next try, unless it gives up.
func (w *World) retry(req *request, retryAfter Micros) {
	if req.done || req.tries > w.spec.Retries.MaxRetries {
		w.statsOf(req).GaveUp[req.class]++
		return
	}
	wait := between(w.rand, w.spec.Retries.Wait)
	if w.spec.Retries.HonorRetryAfter {
		wait = max(wait, retryAfter)
	}
	w.returning++
	w.after(wait, func() {
		w.returning--
		w.sendTry(req)
	})
}

// declaredKB is the size of a part in KB as clients declare it; 0 where they do not.
func (w *World) declaredKB(o *object) float64 {
	if !w.spec.SendSizes {
		return 0
	}
	return w.catalog.bytes(o) / 1000
}

// recordExecution records an execution of a write.
func (w *World) recordExecution(j *job) {
	id := j.id
	if t := w.tries[id]; t != nil {
		now, window := w.loop.Now(), w.spec.Classes[t.request.class].KeyWindow
		if t.request.executions > 0 && now-t.request.executedAt < window {
			return // the store knows the key and drops the repeat
		}
		t.request.executedAt = now
		t.request.executions++
		if t.request.executions > 1 {
			w.reportViolation(RunsOnce, t.front, fmt.Sprintf("%s ran %d times", id, t.request.executions))
		}
		return
	}
	if w.Mutation == DuplicateWrites { // the duplicate's id differs in the first digit
		if t := w.tries["0"+id[1:]]; t != nil {
			t.request.executions++
			w.reportViolation(RunsOnce, t.front, fmt.Sprintf("%s ran %d times", id, t.request.executions))
		}
	}
}

// rate is the requests per second at a moment of the day.
func (w *World) rate(at Micros) float64 {
	if len(w.curve) == 0 || at < w.curve[0].At {
		return w.spec.Rate * w.rateFactor
	}
	return RateAt(w.curve, at) * w.rateFactor
}

// RateAt is the rate of a curve at a moment; 0 before its first point.
func RateAt(curve []RatePoint, at Micros) (rate float64) {
	for i, p := range curve {
		if at < p.At {
			break
		}
		rate = p.Rate
		if i+1 < len(curve) && p.Ramp {
			next := curve[i+1]
			rate += (next.Rate - p.Rate) * float64(at-p.At) / math.Max(1, float64(next.At-p.At))
		}
	}
	return rate
}
