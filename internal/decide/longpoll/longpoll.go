// Package longpoll schedules the polls of a client that follows numbered events by long
// polls, at a server that may be punctual, slow or dead.
//
// Silence does not tell a slow server from a dead connection. So an unanswered poll is not
// given up when its answer is due: another poll is started beside it (a hedged request),
// on a connection of its own. While answers come late, polls overlap, so that at any time
// one of them waits at the server: an event then arrives as late as the server's answers
// are, and no later.
//
// Inputs are the time and what happened to each connection; outputs are the next action
// and the time of the next one. All times are in microseconds of a monotonic clock.
//
// Invariants: there are at most MaxConns connections; a new poll is started at least every
// Config.Silence while no answer arrives, unless an answer is being received or connects
// are refused; connects that fail are repeated with an exponentially growing pause.
//
// The package opens no connections and reads no answers; see package discovery.
package longpoll

import (
	"cmp"
	"math"
	"slices"
)

// Micros is a time or a span in microseconds.
type Micros = int64

// MaxConns bounds the connections, including those being established.
const MaxConns = 6

const (
	answerTimeout     Micros = 7_000_000 // without any data, after which a poll is given up
	connectTimeout    Micros = 2_000_000 // of a connect, unless all other connections are being established too
	idleTimeout       Micros = 2_000_000 // after which a connection without a poll is closed
	maxReceiveTime    Micros = 2_000_000 // for which an answer that is arriving holds back other polls
	initialRetryPause Micros = 10_000    // doubles with each failure
	lingerUnit        Micros = 1_000     // servers count the time to hold a poll in milliseconds
)

// Config holds the intervals, all in microseconds.
type Config struct {
	Linger        Micros // how long the server may hold a poll
	Margin        Micros // lateness up to which an answer counts as punctual
	Redial        Micros // age of a connect from which another one is started beside it
	Stall         Micros // between two parts of an answer, from which another poll is started beside it
	Silence       Micros // maximum interval between two polls
	MaxRetryPause Micros // maximum pause after a failure
}

// ConnID identifies a connection for the lifetime of a Schedule.
type ConnID int

// Kind is what an Action does.
type Kind int

// The kinds of actions.
const (
	Dial  Kind = iota // open the connection within Time
	Poll              // send a poll that the server may hold for Time
	Close             // close the connection
)

// Action is what the caller has to do with a connection.
type Action struct {
	Kind Kind
	Conn ConnID
	Time Micros
}

type state int

const (
	connecting state = iota
	waiting          // for the first part of an answer
	receiving        // an answer has arrived in part
	idle
)

type conn struct {
	id         ConnID
	state      state
	since      Micros // start of the connect, of the poll, or of being idle
	linger     Micros // how long the server may hold the poll
	firstPart  Micros // when the first part of the answer arrived
	lastPart   Micros // when the last part arrived
	lastUsable bool   // the last answer could be used
}

// Schedule is the state of one client. The zero value is not usable; see New.
type Schedule struct {
	cfg        Config
	conns      []*conn // at most MaxConns, in any order
	lastID     ConnID
	lateness   Micros // how much later than due answers arrive
	retryPause Micros // after the next failure
	retryAt    Micros // no poll is started before
	overtaken  Micros // polls sent before this can only get answers that are known
}

// New returns a schedule without connections.
func New(cfg Config) *Schedule { return &Schedule{cfg: cfg, retryPause: initialRetryPause} }

// Configure replaces the intervals, for polls from now on.
func (s *Schedule) Configure(cfg Config) { s.cfg = cfg }

// Reset forgets all connections, which the caller closes, and what was learnt of the server.
func (s *Schedule) Reset() {
	*s = Schedule{cfg: s.cfg, lastID: s.lastID, retryPause: initialRetryPause}
}

// Lateness returns how much later than due the server's answers arrive.
func (s *Schedule) Lateness() Micros { return s.lateness }

// Polls returns the number of polls without a whole answer.
func (s *Schedule) Polls() int { return s.count(waiting) + s.count(receiving) }

// Connects returns the number of connections being established.
func (s *Schedule) Connects() int { return s.count(connecting) }

// Next returns the next action that is due, if there is one. The caller repeats the call
// until there is none.
func (s *Schedule) Next(now Micros) (action Action, due bool) {
	if now >= s.pollAt() {
		return s.startPoll(now), true
	}
	for _, c := range s.conns {
		if now >= c.expiresAt() {
			s.remove(c)
			return Action{Kind: Close, Conn: c.id}, true
		}
	}
	return Action{}, false
}

// WakeAt returns when Next has to be called again, unless something happens before.
func (s *Schedule) WakeAt() Micros {
	at := s.pollAt()
	for _, c := range s.conns {
		at = min(at, c.expiresAt())
	}
	return at
}

// Connected records that a connect succeeded. It returns the poll to send, or the order to
// close the connection if another one has been established meanwhile and suffices.
func (s *Schedule) Connected(id ConnID, now Micros) Action {
	c := s.find(id)
	if c == nil {
		return Action{Kind: Close, Conn: id}
	}
	s.remove(c)
	if polled := s.newest(waiting, receiving); polled != nil && now < s.answerExpectedAt(polled) {
		return Action{Kind: Close, Conn: id}
	}
	s.conns = append(s.conns, c)
	return s.poll(c, now)
}

// Received records that a part of an answer has arrived.
func (s *Schedule) Received(id ConnID, now Micros) {
	c := s.find(id)
	if c == nil {
		return
	}
	if c.state != receiving {
		c.state, c.firstPart = receiving, now
	}
	c.lastPart = now
}

// Answered records a whole and usable answer, and whether it has no events. It returns
// until when the server had no events but those of the answer: one without events tells so
// of the whole time for which the server held the poll, one with events of its start.
func (s *Schedule) Answered(id ConnID, now Micros, empty bool) (currentAt Micros) {
	c := s.find(id)
	if c == nil || c.state == connecting || c.state == idle {
		return 0
	}
	arrivedAt := now
	if c.state == receiving {
		arrivedAt = c.firstPart
	}
	s.learnLateness(arrivedAt-c.since-c.linger, empty)
	currentAt = c.since
	if heldUntil := c.since + c.linger - lingerUnit; empty && arrivedAt >= heldUntil { // less a unit of the server's timer
		currentAt = heldUntil
	}
	s.overtaken = max(s.overtaken, c.since)
	s.retryPause, s.retryAt = initialRetryPause, 0
	c.state, c.since, c.lastUsable = idle, now, true
	return currentAt
}

// Rejected records an answer that can't be used; the caller closes the connection.
func (s *Schedule) Rejected(id ConnID, now Micros) {
	if c := s.find(id); c != nil {
		c.lastUsable = false
	}
	s.Failed(id, now)
}

// Failed records that a connect or a connection has failed. One whose last answer could be
// used is replaced at once, others after a pause.
func (s *Schedule) Failed(id ConnID, now Micros) {
	c := s.find(id)
	if c == nil {
		return
	}
	s.remove(c)
	if c.lastUsable {
		s.retryPause = initialRetryPause
		return
	}
	s.retryAt = max(now, c.since+s.retryPause)
	s.retryPause = min(2*s.retryPause, s.cfg.MaxRetryPause)
}

// LongestSilent returns the connection whose answer has arrived in part and then stopped
// for the longest time.
func (s *Schedule) LongestSilent() (id ConnID, found bool) {
	var silent *conn
	for _, c := range s.conns {
		if c.state == receiving && (silent == nil || c.lastPart < silent.lastPart) {
			silent = c
		}
	}
	if silent == nil {
		return 0, false
	}
	return silent.id, true
}

// pollAt returns when the next poll is due.
func (s *Schedule) pollAt() Micros {
	at := s.retryAt
	if newest := s.newest(connecting, waiting, receiving); newest != nil {
		at = max(at, s.answerExpectedAt(newest))
	}
	for _, c := range s.conns {
		if c.state == receiving {
			at = max(at, min(c.lastPart+s.cfg.Stall, c.since+c.linger+maxReceiveTime))
		}
	}
	if len(s.conns) < MaxConns || s.newest(idle) != nil {
		return at
	}
	return max(at, s.replaceAt())
}

// replaceAt returns when one of MaxConns polls and connects that are outstanding makes room
// for another one: not while the server may be as late as before. A connect makes room when
// it ends.
func (s *Schedule) replaceAt() Micros {
	newest, polls := s.newest(connecting, waiting, receiving), s.pollsByAge()
	switch {
	case len(polls) == 0:
		return newest.expiresAt()
	case newest.state == connecting:
		return s.answerExpectedAt(newest)
	}
	oldest := polls[0]
	return max(newest.since+s.cfg.Silence, oldest.since+oldest.linger+s.lateness+s.cfg.Margin)
}

// startPoll starts a poll on an idle connection, or else on a new one, for which it first
// makes room.
func (s *Schedule) startPoll(now Micros) Action {
	newest := s.newest(connecting, waiting, receiving)
	if newest != nil && newest.state == waiting {
		s.lateness = max(s.lateness, s.cfg.Margin+1)
	}
	if c := s.newest(idle); c != nil {
		return s.poll(c, now)
	}
	if len(s.conns) < MaxConns {
		return s.dial(now)
	}
	abandoned := s.oldestOvertaken()
	if abandoned == nil {
		abandoned = s.leastUseful(now)
	}
	s.remove(abandoned)
	return Action{Kind: Close, Conn: abandoned.id}
}

// leastUseful returns the poll to give up if none has been overtaken: the one without which
// the ages of the others come closest to a geometric sequence. So, whatever the lateness of
// the server, some poll lives long enough to be answered, although new ones are sent.
func (s *Schedule) leastUseful(now Micros) *conn {
	polls := s.pollsByAge()
	least := polls[0]
	leastRatio := math.Inf(1)
	for i := 1; i < len(polls)-1; i++ {
		older, newer := now-polls[i-1].since, now-polls[i+1].since
		if ratio := float64(older) / float64(max(1, newer)); ratio < leastRatio {
			least, leastRatio = polls[i], ratio
		}
	}
	return least
}

func (s *Schedule) poll(c *conn, now Micros) Action {
	c.state, c.since, c.linger = waiting, now, s.linger()
	return Action{Kind: Poll, Conn: c.id, Time: c.linger}
}

// dial starts a connect. The last of MaxConns is a short one, so that it can be repeated
// while the others hang.
func (s *Schedule) dial(now Micros) Action {
	timeout := connectTimeout
	if s.Connects() == MaxConns-1 {
		timeout = s.cfg.Redial
	}
	s.lastID++
	s.conns = append(s.conns, &conn{id: s.lastID, state: connecting, since: now})
	return Action{Kind: Dial, Conn: s.lastID, Time: timeout}
}

// answerExpectedAt returns when another poll is started beside a connect or a poll, unless
// it has ended by then.
func (s *Schedule) answerExpectedAt(c *conn) Micros {
	switch {
	case c.state == connecting:
		return c.since + s.cfg.Redial
	case s.late():
		return c.since + interval(c.linger)
	}
	return c.since + c.linger + s.cfg.Margin
}

// late reports whether answers arrive so late that polls have to overlap.
func (s *Schedule) late() bool { return s.lateness > s.cfg.Margin }

// interval returns the interval between overlapping polls that the server may hold for
// linger. One is sent before the server may have answered the one before.
func interval(linger Micros) Micros { return linger * 3 / 4 }

// linger returns how long the server may hold the next poll. It grows with the lateness of
// answers, so that MaxConns connections suffice.
func (s *Schedule) linger() Micros {
	if !s.late() {
		return s.cfg.Linger
	}
	between := min(s.cfg.Silence, s.lateness/(MaxConns-2))
	linger := max(s.cfg.Linger, between*4/3)
	return linger - linger%lingerUnit
}

// learnLateness updates the lateness by that of an answer. One with events may have been
// sent before it was due, so it only tells that answers are at least that late.
func (s *Schedule) learnLateness(measured Micros, empty bool) {
	switch {
	case measured >= s.lateness:
		s.lateness = measured
	case empty:
		s.lateness -= (s.lateness - max(0, measured)) / 4
	}
}

// expiresAt returns when a connection is closed if nothing happens.
func (c *conn) expiresAt() Micros {
	switch c.state {
	case connecting:
		return c.since + 2*connectTimeout // the dial has a timeout of its own
	case idle:
		return c.since + idleTimeout
	}
	return max(c.since+c.linger, c.lastPart) + answerTimeout
}

// newest returns the connection that was last used among those in certain states, or nil.
func (s *Schedule) newest(states ...state) (newest *conn) {
	for _, c := range s.conns {
		if slices.Contains(states, c.state) && (newest == nil || c.since >= newest.since) {
			newest = c
		}
	}
	return newest
}

// pollsByAge returns the polls without a whole answer, the oldest first.
func (s *Schedule) pollsByAge() []*conn {
	polls := slices.DeleteFunc(slices.Clone(s.conns), func(c *conn) bool { return c.state == connecting || c.state == idle })
	slices.SortFunc(polls, func(a, b *conn) int { return cmp.Compare(a.since, b.since) })
	return polls
}

// oldestOvertaken returns the oldest poll if it was sent before one that was answered, or nil.
func (s *Schedule) oldestOvertaken() *conn {
	if polls := s.pollsByAge(); len(polls) > 0 && polls[0].since < s.overtaken {
		return polls[0]
	}
	return nil
}

func (s *Schedule) count(in state) (count int) {
	for _, c := range s.conns {
		if c.state == in {
			count++
		}
	}
	return count
}

func (s *Schedule) find(id ConnID) *conn {
	for _, c := range s.conns {
		if c.id == id {
			return c
		}
	}
	return nil
}

func (s *Schedule) remove(c *conn) {
	s.conns = slices.DeleteFunc(s.conns, func(o *conn) bool { return o == c })
}
