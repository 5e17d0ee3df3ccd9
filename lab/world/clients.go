package world

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"

	"cherryramp/internal/gateway"
)

// payment is what a write carries.
const payment = "pay"

// op is what a client wants once, with all its tries.
type op struct {
	class, branch int
	object        uint32
	part          int
	began         Micros
	tries         int
	ran           int // executions, of a write
	ranAt         Micros
	key           string // of a keyed class: the same for all tries
	over          bool
}

// ask is one try at a front.
type ask struct {
	w       *World
	op      *op
	front   *Front
	call    *gateway.Call      // in this process
	cancel  context.CancelFunc // on sockets
	id      string
	until   Micros
	left    int // attempts that left the front
	proven  int // of them, those that the front knows not to have run
	over    bool
	answers int
	ended   int    // attempts that a server has answered
	last    string // what it said
}

// reason is what led to an answer that is none, as far as the world sees it.
func (a *ask) reason() string {
	switch {
	case a.left == 0:
		return "not sent"
	case a.left > a.ended:
		return "an attempt open"
	}
	return a.last
}

// of gives the counts that an op belongs to: the day's, or those of the warm-up.
func (w *World) of(o *op) *Stats {
	if o.began < w.began {
		return &w.warmUp
	}
	return &w.stats
}

// arrivals has clients come at a branch, as a Poisson process at the rate of the
// moment. What they want and when is drawn from a stream of the branch's own, by
// the planned moments: so all who play a day with the same seed, in virtual time or
// not, meet the same clients.
func (w *World) arrivals(branch int, at Micros, r *rand.Rand) {
	rate := w.rate(at-w.began) * w.weight[branch] // requests a second
	gap := 100 * milli
	if rate > 0 {
		gap = min(Micros(r.ExpFloat64()/(rate/w.perVisit)*1e6), second)
	}
	next := at + gap
	w.loop.At(next, func() {
		if next >= w.ends {
			return
		}
		if rate > 0 && gap < second {
			w.visit(branch, next, r)
		}
		w.arrivals(branch, next, r)
	})
}

// stay is the chance that a client who has had a part wants the next.
const stay = 0.96

// visit is a client that wants an object, its parts one after another.
func (w *World) visit(branch int, at Micros, r *rand.Rand) {
	x, class := r.Float64()*w.shares[len(w.shares)-1], 0
	for w.shares[class] < x {
		class++
	}
	object := w.catalog.draw(class, branch, at-w.first, r)
	for part := range w.catalog.objects[object].parts {
		if part > 0 {
			if r.Float64() >= stay {
				return
			}
			at += between(r, w.spec.Classes[class].PartGap)
		}
		w.loop.At(at, func() {
			if at < w.ends {
				w.ask(&op{class: class, branch: branch, object: object, part: part, began: w.loop.Now()})
			}
		})
	}
}

// ask sends an op's next try to a front of its branch.
func (w *World) ask(o *op) {
	spec := &w.spec.Classes[o.class]
	if o.tries == 0 {
		w.of(o).Asked[o.class]++
		w.of(o).Worth += spec.Worth
		w.second(o.began).Asked += spec.Worth
	}
	o.tries++
	w.of(o).Tries++
	var up []*Front
	for _, f := range w.fronts {
		if f.branch == o.branch && f.serves {
			up = append(up, f)
		}
	}
	if len(up) == 0 { // refused connect: surely nothing ran
		w.again(o, 0)
		return
	}
	f := up[w.rand.IntN(len(up))]
	patience := Micros(float64(spec.GiveUp) * (0.5 + 0.5*w.rand.Float64()))
	w.lastID++
	a := &ask{w: w, op: o, front: f, id: id(w.lastID), until: w.loop.Now() + patience}
	if spec.KeyWindow > 0 && o.key == "" {
		o.key = "k" + a.id
	}
	w.asks[a.id] = a
	f.open[a] = true
	w.loop.At(a.until+w.spec.AnswerGrace+w.spec.Slack, a.expire)
	f.prog.submit(a)
}

// expire finds out whether a try has had its answer.
func (a *ask) expire() {
	if a.over {
		return
	}
	a.w.broken(AnswerInTime, a.front, fmt.Sprintf("%s of %s has no answer %d ms after its client gave up", a.id, a.w.spec.Classes[a.op.class].Name,
		(a.w.loop.Now()-a.until)/milli))
	a.front.prog.leave(a)
	a.end()
	a.w.of(a.op).Lost[a.op.class]++
}

func (a *ask) end() {
	a.over = true
	delete(a.front.open, a)
	// What a write did may still come to light.
	a.w.after(2*second, func() { delete(a.w.asks, a.id) })
}

// reset is the end of a try whose front died. Whether it ran is not known.
func (a *ask) reset() {
	if a.over {
		return
	}
	a.end()
	a.w.of(a.op).Reset++
	if !a.w.spec.Classes[a.op.class].Write {
		a.w.again(a.op, 0)
	}
}

// Answer is part of gateway.Caller.
func (a *ask) Answer(x gateway.Answer) {
	w := a.w
	if w.Mutation == DropFailures && x.Kind == gateway.Failed || w.Mutation == DropRefusals && x.Kind == gateway.Refused {
		return // a broken front
	}
	if w.Mutation == ReportFailedAsRefused && x.Kind == gateway.Failed {
		x.Kind = gateway.Refused
	}
	a.answer(x)
	if w.Mutation == DuplicateAnswers && x.Kind == gateway.Served && w.faults.IntN(100) == 0 {
		a.answer(x)
	}
}

func (a *ask) answer(x gateway.Answer) {
	w, o, now := a.w, a.op, a.w.loop.Now()
	spec := &w.spec.Classes[o.class]
	if a.answers++; a.answers > 1 {
		w.broken(AnswerInTime, a.front, fmt.Sprintf("%s has %d answers", a.id, a.answers))
		return
	}
	if a.over {
		return
	}
	a.end()
	if now > a.until+w.spec.AnswerGrace+w.spec.Slack {
		w.broken(AnswerInTime, a.front, fmt.Sprintf("%s was answered %d ms after its client gave up", a.id, (now-a.until)/milli))
	}
	w.note(a, x)
	switch x.Kind {
	case gateway.Served, gateway.NotModified:
		o.over = true
		w.of(o).Served[o.class]++
		if want := content(item{o.object, uint16(o.part)}, x.CreatedAt); !spec.Write && string(x.Body) != want {
			w.broken(CorrectContent, a.front, fmt.Sprintf("%s: got %q, want %q", a.id, x.Body, want))
		}
		if spec.Fresh > 0 && now-x.CreatedAt > spec.Fresh+spec.Grace+a.until-o.began {
			w.broken(CorrectContent, a.front, fmt.Sprintf("%s: a copy of %d ms", a.id, (now-x.CreatedAt)/milli))
		}
		w.earn(o, now, x.CreatedAt)
	case gateway.Refused:
		w.of(o).Refused[o.class]++
		w.of(o).Reasons["refused: "+a.reason()]++
		w.second(now).Refused++
		if spec.Write && spec.KeyWindow == 0 && a.left > a.proven { // a keyed one may come again: Once tells whether too late
			w.broken(RefusedNotRun, a.front, fmt.Sprintf("%s was refused, and may have run", a.id))
		}
		w.again(o, x.RetryAfter)
	default:
		w.of(o).Failed[o.class]++
		w.of(o).Reasons["failed: "+a.reason()]++
		w.second(now).Failed++
		if !spec.Write {
			w.again(o, 0)
		}
	}
}

// earn counts what an answer is worth: all of it in time, counted from the first
// try, less when it is late or the copy is old.
func (w *World) earn(o *op, now, born Micros) {
	spec := &w.spec.Classes[o.class]
	worth := spec.Worth
	send := Micros(float64(spec.SendTime) * w.catalog.objects[o.object].scale)
	took := now - o.began
	if took > spec.Aim+Micros(spec.AimStretch*float64(send)) {
		worth *= spec.LateWorth
		w.of(o).Late++
	} else {
		w.of(o).InTime++
	}
	if spec.Fresh > 0 && now-born > spec.Fresh {
		worth *= spec.OldWorth
	}
	w.of(o).Earned += worth
	if o.began < w.began {
		return
	}
	_ = w.times[o.class].RecordValue(max(1, min(took, 60*second)))
	w.second(o.began).Earned += worth
}

// lost is the end of a try whose connection ended without a whole answer while its
// front ran.
func (a *ask) lost(err error) {
	if a.over {
		return
	}
	a.w.broken(AnswerInTime, a.front, fmt.Sprintf("%s has no whole answer: %v", a.id, err))
	a.end()
	a.w.of(a.op).Lost[a.op.class]++
}

// again has a client come back, if it does.
func (w *World) again(o *op, away Micros) {
	if o.over || o.tries > w.spec.Retries.MaxRetries {
		w.of(o).GaveUp[o.class]++
		return
	}
	wait := between(w.rand, w.spec.Retries.Wait)
	if w.spec.Retries.HonorRetryAfter {
		wait = max(wait, away)
	}
	w.returning++
	w.after(wait, func() {
		w.returning--
		w.ask(o)
	})
}

// told is how large a part is, in KB, where clients tell that.
func (w *World) told(o *object) float64 {
	if !w.spec.SendSizes {
		return 0
	}
	return w.catalog.bytes(o) / 1000
}

// ran is told of every execution of a write.
func (w *World) ran(j *job) {
	id := j.id
	if a := w.asks[id]; a != nil {
		now, window := w.loop.Now(), w.spec.Classes[a.op.class].KeyWindow
		if a.op.ran > 0 && now-a.op.ranAt < window {
			return // the store knows the key, and drops the repeat
		}
		a.op.ranAt = now
		a.op.ran++
		if a.op.ran > 1 {
			w.broken(RunsOnce, a.front, fmt.Sprintf("%s ran %d times", id, a.op.ran))
		}
		return
	}
	if w.Mutation == DuplicateWrites { // the copy's id differs in its first digit
		if a := w.asks["0"+id[1:]]; a != nil {
			a.op.ran++
			w.broken(RunsOnce, a.front, fmt.Sprintf("%s ran %d times", id, a.op.ran))
		}
	}
}

// rate is the requests a second at a moment of the day.
func (w *World) rate(at Micros) float64 {
	if len(w.curve) == 0 || at < w.curve[0].At {
		return w.spec.Rate * w.surge
	}
	return RateAt(w.curve, at) * w.surge
}

// Rate is what a curve has at a moment; before its first point, nothing.
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
