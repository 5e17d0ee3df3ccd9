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
	roundDuration         Micros = 50_000 // after which what was measured is used
	minSamples            int    = 8      // answers, or the round goes on
	latencyTolerance             = 2.0    // how much slower than usual is still well
	baselineWeight               = 0.01   // of a round, in the usual time
	throughputWeight             = 0.3    // of a round, in the pace
	fairnessThreshold            = 0.75   // share of the limit from which prefixes are held apart
	maxPrefixShare               = 0.25   // of what came lately that one prefix may be
	minPrefixRequests            = 32     // requests lately, under which nobody is too many
	newcomerShare                = 0.2    // of the pace that is kept for those who come for the first time
	latencyWeight                = 0.05   // of one answer in its class's time
	unmeasuredQueueFactor        = 8      // times the limit that may be open or wait while the pace is unknown
)

// Limiter takes and refuses requests.
type Limiter struct {
	cfg      Config
	limit    float64
	inFlight int
	lanes    []lane
	waiting  int
	recheck  bool // something has changed since all that wait were found to be in time

	roundStart   Micros // the round
	roundAnswers int    // answers in it
	roundLatency Micros // by them
	roundPeak    int    // most open in it
	baseline     float64
	throughput   float64 // answers a microsecond; 0: unknown
	nextReturn   Micros  // the time that the next to be sent away comes back
	recent       *abuse.Sketch
	recentTotal  uint32 // that the sketch counted in its period
	recentEpoch  Micros
}

// New makes a limiter.
func New(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg, limit: float64(min(max(cfg.InitialLimit, cfg.MinLimit), cfg.MaxLimit)), recent: abuse.New(cfg.Seed)}
	l.UpdateClasses(cfg.Worth)
	return l
}

// Renew takes the worth of further classes; those known so far must keep their places.
func (l *Limiter) UpdateClasses(worth []float64) {
	for _, w := range worth[len(l.lanes)/2:] {
		l.lanes = append(l.lanes, lane{worth: w}, lane{worth: w * heavyRankFactor}) // as laneOf has them
	}
	l.cfg.Worth = worth
}

// Limit is how many may be open now.
func (l *Limiter) Limit() int { return int(l.limit) }

// Open counts what was taken and is not done.
func (l *Limiter) InFlight() int { return l.inFlight }

// Pace is the answers a second, as measured; 0: not known yet.
func (l *Limiter) Throughput() float64 { return l.throughput * 1e6 }

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
func (l *Limiter) Admit(t *Ticket, now Micros) (v Verdict, backoff Micros, evicted *Ticket) {
	index := laneIndex(t.Class, l.isHeavy(t.Prefix, now))
	queue := &l.lanes[index]
	if l.waiting == 0 && l.inFlight < int(l.limit) && (index%2 == 0 || float64(l.inFlight) < fairnessThreshold*l.limit) {
		if l.inFlight > l.cfg.MinLimit && !l.meetsDeadline(l.inFlight, queue, t.Deadline, now) {
			return Refused, l.backoff(now), nil
		}
		l.start()
		return Admitted, 0, nil
	}
	if !l.meetsDeadline(l.inFlight+l.queuedAhead(queue.rank()), queue, t.Deadline, now) {
		return Refused, l.backoff(now), nil
	}
	if l.waiting >= l.cfg.MaxQueued {
		lowest := l.lowestRanked()
		if lowest == nil || lowest.rank() >= queue.rank() {
			return Refused, l.backoff(now), nil
		}
		evicted = lowest.remove(0)
		l.waiting--
	}
	queue.push(t, index)
	l.waiting++
	l.recheck = l.recheck || l.waiting > len(queue.tickets) // those of lower rank are further behind
	if evicted != nil {
		backoff = l.backoff(now)
	}
	return Queued, backoff, evicted
}

func (l *Limiter) start() {
	l.inFlight++
	l.roundPeak = max(l.roundPeak, l.inFlight)
}

// heavy counts a request and tells whether its prefix is too large a part of
// what came lately.
func (l *Limiter) isHeavy(prefix netip.Prefix, now Micros) bool {
	if !prefix.IsValid() {
		return false
	}
	if p := now / abuse.HalfLife; p != l.recentEpoch {
		l.recentEpoch, l.recentTotal = p, l.recentTotal/2
	}
	l.recentTotal++
	l.recent.Add(prefix, now)
	n := l.recent.Count(prefix, now)
	return n > minPrefixRequests && float64(n) > maxPrefixShare*float64(l.recentTotal)
}

// away hands out the next time to come back: not before what is open is done,
// and one after the other at the pace of the answers, less what is kept for new
// ones. Past the greatest time it begins again, since nobody can be told more.
func (l *Limiter) backoff(now Micros) Micros {
	if l.throughput == 0 {
		l.nextReturn = max(l.nextReturn, now) + l.cfg.MaxBackoff/64
	} else {
		l.nextReturn = max(l.nextReturn, now+Micros(float64(l.inFlight+l.waiting)/l.throughput)) + Micros(1/(l.throughput*(1-newcomerShare)))
	}
	if l.nextReturn > now+l.cfg.MaxBackoff {
		l.nextReturn = now + l.cfg.MaxBackoff/8
		return l.cfg.MaxBackoff
	}
	return max(1, l.nextReturn-now)
}

// Done gives a request back; spent is from when it was taken to its answer, and
// answered tells that it has one that took work.
func (l *Limiter) Done(class int, latency, now Micros, answered bool) {
	l.inFlight--
	if !answered {
		return
	}
	for _, heavy := range []bool{false, true} {
		queue := &l.lanes[laneIndex(class, heavy)]
		if queue.latency == 0 {
			queue.latency = float64(latency)
		} else {
			queue.latency += latencyWeight * (float64(latency) - queue.latency)
		}
	}
	if l.roundAnswers == 0 && now-l.roundStart > 4*roundDuration {
		l.roundStart = now - roundDuration // nothing was asked for meanwhile: that is no slow pace
	}
	l.roundAnswers++
	l.roundLatency += latency
	if now-l.roundStart < roundDuration || l.roundAnswers < minSamples {
		return
	}
	l.updateLimit(float64(l.roundLatency)/float64(l.roundAnswers), float64(l.roundAnswers)/float64(now-l.roundStart))
	l.roundStart, l.roundAnswers, l.roundLatency, l.roundPeak, l.recheck = now, 0, 0, l.inFlight, true
}

// learn ends a round with the mean time of an answer and the answers a microsecond.
func (l *Limiter) updateLimit(latency, pace float64) {
	if l.baseline == 0 || latency < l.baseline {
		l.baseline = latency
	} else {
		l.baseline += baselineWeight * (latency - l.baseline)
	}
	// Where the limit is not met the pace is that of the requests: the answers'
	// own is no slower.
	busy := float64(l.roundPeak) >= l.limit/2
	switch {
	case l.throughput == 0 || !busy && pace > l.throughput:
		l.throughput = pace
	case busy:
		l.throughput += throughputWeight * (pace - l.throughput)
	}
	switch l.cfg.Algorithm {
	case AIMD:
		if latency > latencyTolerance*l.baseline && l.roundPeak > l.cfg.MinLimit {
			l.limit *= 0.9
		} else if busy {
			l.limit++
		}
	case Gradient:
		if busy {
			gradient := max(0.5, min(1, latencyTolerance*l.baseline/latency))
			l.limit += 0.2 * (l.limit*gradient + math.Sqrt(l.limit) - l.limit)
		}
	}
	l.limit = max(float64(l.cfg.MinLimit), min(float64(l.cfg.MaxLimit), l.limit))
}
