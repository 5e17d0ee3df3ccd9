// Package admission implements an adaptive concurrency limit with a priority
// queue, for a front that receives far more requests than it can answer, for
// example when all idle clients wake at once.
//
// The limit is learnt from the answers alone: their throughput, and how much
// longer each takes than at low load. A request over the limit is queued, in the
// order of the worth that its slot earns per second and then of its deadline, as
// long as the throughput allows an answer before the deadline. A request that
// can't be answered in time is refused as soon as that is known, with a backoff
// of its own: return times are spaced at the throughput of the answers, so that
// returning clients find capacity.
//
// Server selection and retries are decided elsewhere; a request refused here has
// reached no server. The package does no I/O and reads no clock; the only
// randomness is the seed of a sketch.
package admission

import (
	"math"
	"net/netip"

	"cherryramp/internal/decide/abuse"
)

// Micros is a point in time or a duration in microseconds.
type Micros = int64

// Algorithm selects how the limit adapts.
type Algorithm uint8

// The algorithms. AIMD adds one per round and subtracts a tenth when answers are
// slow (Chiu and Jain, 1989). Gradient follows the ratio of the baseline latency
// to the recent one (as gradient 2 of Netflix' concurrency-limits does).
const (
	AIMD Algorithm = iota
	Gradient
)

// Config holds the bounds of a Limiter.
type Config struct {
	Algorithm          Algorithm
	MinLimit, MaxLimit int       // bounds of the requests in flight
	InitialLimit       int       // limit before the first round ends
	MaxQueued          int       // queued requests
	MaxBackoff         Micros    // longest backoff given to a refused client
	Worth              []float64 // of an answer, by class
	Seed               uint64    // of the sketch that counts prefixes
}

const (
	roundDuration         Micros = 50_000 // minimum length of a measurement round
	minSamples            int    = 8      // answers that a round needs to end
	latencyTolerance             = 2.0    // ratio to the baseline up to which latency counts as normal
	baselineWeight               = 0.01   // weight of a round in the baseline latency
	throughputWeight             = 0.3    // weight of a round in the throughput
	fairnessThreshold            = 0.75   // share of the limit from which heavy prefixes are queued
	maxPrefixShare               = 0.25   // share of recent requests above which a prefix is heavy
	minPrefixRequests            = 32     // recent requests up to which a prefix is never heavy
	newcomerShare                = 0.2    // share of the throughput reserved for clients without a backoff
	latencyWeight                = 0.05   // weight of an answer in its class's latency
	unmeasuredQueueFactor        = 8      // multiple of the limit that may be ahead while the throughput is unknown
)

// Limiter admits, queues and refuses requests. It is not safe for concurrent use.
type Limiter struct {
	cfg      Config
	limit    float64
	inFlight int
	lanes    []lane
	waiting  int
	recheck  bool // the queue has changed since all its tickets were found to meet their deadlines

	roundStart   Micros
	roundAnswers int
	roundLatency Micros        // sum over the round's answers
	roundPeak    int           // most requests in flight during the round
	baseline     float64       // us, latency at low load; 0: unknown
	throughput   float64       // answers per microsecond; 0: unknown
	nextReturn   Micros        // when the last refused client is to return
	recent       *abuse.Sketch // recent requests by prefix
	recentTotal  uint32        // recent requests of all prefixes, halved with the sketch
	recentEpoch  Micros        // half-life period that recentTotal was last halved in
}

// New returns a Limiter with nothing in flight.
func New(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg, limit: float64(min(max(cfg.InitialLimit, cfg.MinLimit), cfg.MaxLimit)), recent: abuse.New(cfg.Seed)}
	l.UpdateClasses(cfg.Worth)
	return l
}

// UpdateClasses sets the worth of all classes, which may have grown in number. The
// known classes must keep their indexes; their queues keep the worth they have.
func (l *Limiter) UpdateClasses(worth []float64) {
	for _, w := range worth[len(l.lanes)/2:] {
		l.lanes = append(l.lanes, lane{worth: w}, lane{worth: w * heavyRankFactor}) // in the order of laneIndex
	}
	l.cfg.Worth = worth
}

// Limit returns how many requests may be in flight now.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the number of requests that were admitted and are not done.
func (l *Limiter) InFlight() int { return l.inFlight }

// Throughput returns the measured answers per second, or 0 before the first round ends.
func (l *Limiter) Throughput() float64 { return l.throughput * 1e6 }

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota // the caller must call Done
	Queued                  // until Next, Drop or Cancel removes the ticket
	Refused
)

// Admit decides on one request. For Refused, backoff is how long the client is to
// stay away. For Queued, evicted is the ticket that was removed from a full queue
// to make room, if any; it is refused with backoff.
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
	l.recheck = l.recheck || l.waiting > len(queue.tickets) // tickets of lower rank wait longer now
	if evicted != nil {
		backoff = l.backoff(now)
	}
	return Queued, backoff, evicted
}

// start counts one more request in flight.
func (l *Limiter) start() {
	l.inFlight++
	l.roundPeak = max(l.roundPeak, l.inFlight)
}

// isHeavy counts a request and reports whether its prefix makes up too large a
// share of the recent requests.
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

// backoff allocates the next return time: not before the requests in flight and in
// the queue are done, and spaced at the throughput less newcomerShare. Past
// MaxBackoff, the longest that a client can be told, allocation starts over.
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

// Done ends an admitted request. latency is the time from admission to the answer;
// answered reports whether there was an answer that took work, so that it counts
// as a sample.
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
		l.roundStart = now - roundDuration // an idle time must not lower the throughput
	}
	l.roundAnswers++
	l.roundLatency += latency
	if now-l.roundStart < roundDuration || l.roundAnswers < minSamples {
		return
	}
	l.updateLimit(float64(l.roundLatency)/float64(l.roundAnswers), float64(l.roundAnswers)/float64(now-l.roundStart))
	l.roundStart, l.roundAnswers, l.roundLatency, l.roundPeak, l.recheck = now, 0, 0, l.inFlight, true
}

// updateLimit ends a round with its mean latency and its answers per microsecond.
func (l *Limiter) updateLimit(latency, throughput float64) {
	if l.baseline == 0 || latency < l.baseline {
		l.baseline = latency
	} else {
		l.baseline += baselineWeight * (latency - l.baseline)
	}
	// Below the limit the measured throughput is the arrival rate, a lower bound of
	// what can be answered.
	busy := float64(l.roundPeak) >= l.limit/2
	switch {
	case l.throughput == 0 || !busy && throughput > l.throughput:
		l.throughput = throughput
	case busy:
		l.throughput += throughputWeight * (throughput - l.throughput)
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
