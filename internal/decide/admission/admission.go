// Package admission decides how many requests a front takes at a time when far
// more come than it can answer, as when all idle clients wake at once. It learns
// from the answers alone: how fast they go out, and how much longer each takes
// than it did when little was open. Who finds no place waits for one, in the order
// of the worth that a place earns and then of the time left, as long as the pace
// allows an answer in time. Who can't be answered in time is refused as soon as
// that is known, with a time to come back that belongs to that client: times are
// handed out one after the other at the pace of the answers, so that what returns
// finds room.
//
// Which server answers, and what is tried again, is decided elsewhere; a request
// that is refused here has reached nothing. It does no I/O, asks no clock, and its
// only chance is in the seed of a sketch.
package admission

import (
	"math"
	"net/netip"

	"cherryramp/internal/decide/abuse"
)

// Micros is a moment or a span in microseconds.
type Micros = int64

// Law is how the limit learns.
type Algorithm uint8

// The laws. AIMD adds one a round and takes a tenth off when answers are slow
// (Chiu and Jain, 1989). Gradient follows the ratio of the usual time of an
// answer to that of late (as Netflix' concurrency-limits does, gradient 2).
const (
	AIMD Algorithm = iota
	Gradient
)

// Config bounds the limit.
type Config struct {
	Algorithm          Algorithm
	MinLimit, MaxLimit int       // requests open at a time
	InitialLimit       int       // before anything is learnt
	MaxQueued          int       // requests that wait at a time
	MaxBackoff         Micros    // the greatest time to stay away
	Worth              []float64 // of the classes
	Seed               uint64
}

const (
	round        Micros = 50_000 // after which what was measured is used
	fewest       int    = 8      // answers, or the round goes on
	tolerance           = 2.0    // how much slower than usual is still well
	usualWeight         = 0.01   // of a round, in the usual time
	paceWeight          = 0.3    // of a round, in the pace
	fairFrom            = 0.75   // share of the limit from which prefixes are held apart
	fairShare           = 0.25   // of what came lately that one prefix may be
	fairLeast           = 32     // requests lately, under which nobody is too many
	freshShare          = 0.2    // of the pace that is kept for those who come for the first time
	timeWeight          = 0.05   // of one answer in its class's time
	unknownQueue        = 8      // times the limit that may be open or wait while the pace is unknown
)

// Limiter takes and refuses requests.
type Limiter struct {
	cfg     Config
	limit   float64
	open    int
	lanes   []lane
	waiting int
	doubt   bool // something has changed since all that wait were found to be in time

	began  Micros // the round
	count  int    // answers in it
	spent  Micros // by them
	taken  int    // most open in it
	usual  float64
	pace   float64 // answers a microsecond; 0: unknown
	next   Micros  // the time that the next to be sent away comes back
	came   *abuse.Sketch
	all    uint32 // that the sketch counted in its period
	period Micros
}

// New makes a limiter.
func New(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg, limit: float64(min(max(cfg.InitialLimit, cfg.MinLimit), cfg.MaxLimit)), came: abuse.New(cfg.Seed)}
	l.UpdateClasses(cfg.Worth)
	return l
}

// Renew takes the worth of further classes; those known so far must keep their places.
func (l *Limiter) UpdateClasses(worth []float64) {
	for _, w := range worth[len(l.lanes)/2:] {
		l.lanes = append(l.lanes, lane{worth: w}, lane{worth: w * heavyLess}) // as laneOf has them
	}
	l.cfg.Worth = worth
}

// Limit is how many may be open now.
func (l *Limiter) Limit() int { return int(l.limit) }

// Open counts what was taken and is not done.
func (l *Limiter) InFlight() int { return l.open }

// Pace is the answers a second, as measured; 0: not known yet.
func (l *Limiter) Throughput() float64 { return l.pace * 1e6 }

// Verdict says what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota // it must be given back with Done
	Queued                  // Next or Leave ends that
	Refused
)

// Ask asks for one request. Refused, it is told how long to stay away. Where it
// waits, another may have had to yield to it; that one is refused.
func (l *Limiter) Admit(t *Ticket, now Micros) (v Verdict, away Micros, yields *Ticket) {
	place := laneOf(t.Class, l.heavy(t.Prefix, now))
	x := &l.lanes[place]
	if l.waiting == 0 && l.open < int(l.limit) && (place%2 == 0 || float64(l.open) < fairFrom*l.limit) {
		if l.open > l.cfg.MinLimit && !l.inTime(l.open, x, t.Deadline, now) {
			return Refused, l.away(now), nil
		}
		l.enter()
		return Admitted, 0, nil
	}
	if !l.inTime(l.open+l.ahead(x.rank()), x, t.Deadline, now) {
		return Refused, l.away(now), nil
	}
	if l.waiting >= l.cfg.MaxQueued {
		worst := l.worst()
		if worst == nil || worst.rank() >= x.rank() {
			return Refused, l.away(now), nil
		}
		yields = worst.take(0)
		l.waiting--
	}
	x.push(t, place)
	l.waiting++
	l.doubt = l.doubt || l.waiting > len(x.tickets) // those of lower rank are further behind
	if yields != nil {
		away = l.away(now)
	}
	return Queued, away, yields
}

func (l *Limiter) enter() {
	l.open++
	l.taken = max(l.taken, l.open)
}

// heavy counts a request and tells whether its prefix is too large a part of
// what came lately.
func (l *Limiter) heavy(from netip.Prefix, now Micros) bool {
	if !from.IsValid() {
		return false
	}
	if p := now / abuse.HalfLife; p != l.period {
		l.period, l.all = p, l.all/2
	}
	l.all++
	l.came.Add(from, now)
	n := l.came.Count(from, now)
	return n > fairLeast && float64(n) > fairShare*float64(l.all)
}

// away hands out the next time to come back: not before what is open is done,
// and one after the other at the pace of the answers, less what is kept for new
// ones. Past the greatest time it begins again, since nobody can be told more.
func (l *Limiter) away(now Micros) Micros {
	if l.pace == 0 {
		l.next = max(l.next, now) + l.cfg.MaxBackoff/64
	} else {
		l.next = max(l.next, now+Micros(float64(l.open+l.waiting)/l.pace)) + Micros(1/(l.pace*(1-freshShare)))
	}
	if l.next > now+l.cfg.MaxBackoff {
		l.next = now + l.cfg.MaxBackoff/8
		return l.cfg.MaxBackoff
	}
	return max(1, l.next-now)
}

// Done gives a request back; spent is from when it was taken to its answer, and
// answered tells that it has one that took work.
func (l *Limiter) Done(class int, spent, now Micros, answered bool) {
	l.open--
	if !answered {
		return
	}
	for _, heavy := range []bool{false, true} {
		x := &l.lanes[laneOf(class, heavy)]
		if x.time == 0 {
			x.time = float64(spent)
		} else {
			x.time += timeWeight * (float64(spent) - x.time)
		}
	}
	if l.count == 0 && now-l.began > 4*round {
		l.began = now - round // nothing was asked for meanwhile: that is no slow pace
	}
	l.count++
	l.spent += spent
	if now-l.began < round || l.count < fewest {
		return
	}
	l.learn(float64(l.spent)/float64(l.count), float64(l.count)/float64(now-l.began))
	l.began, l.count, l.spent, l.taken, l.doubt = now, 0, 0, l.open, true
}

// learn ends a round with the mean time of an answer and the answers a microsecond.
func (l *Limiter) learn(time, pace float64) {
	if l.usual == 0 || time < l.usual {
		l.usual = time
	} else {
		l.usual += usualWeight * (time - l.usual)
	}
	// Where the limit is not met the pace is that of the requests: the answers'
	// own is no slower.
	busy := float64(l.taken) >= l.limit/2
	switch {
	case l.pace == 0 || !busy && pace > l.pace:
		l.pace = pace
	case busy:
		l.pace += paceWeight * (pace - l.pace)
	}
	switch l.cfg.Algorithm {
	case AIMD:
		if time > tolerance*l.usual && l.taken > l.cfg.MinLimit {
			l.limit *= 0.9
		} else if busy {
			l.limit++
		}
	case Gradient:
		if busy {
			gradient := max(0.5, min(1, tolerance*l.usual/time))
			l.limit += 0.2 * (l.limit*gradient + math.Sqrt(l.limit) - l.limit)
		}
	}
	l.limit = max(float64(l.cfg.MinLimit), min(float64(l.cfg.MaxLimit), l.limit))
}
