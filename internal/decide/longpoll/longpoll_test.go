package longpoll

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const (
	ms     Micros = 1000
	travel        = ms // of a connect, a poll and an answer each
)

// graceConfig returns the intervals of the notice board's client for a grace of 300 ms.
func graceConfig() Config {
	return Config{Linger: 150 * ms, Margin: 37 * ms, Redial: 100 * ms, Stall: 100 * ms, Silence: 250 * ms, MaxRetryPause: 75 * ms}
}

// model is a server in virtual time that holds an event from eventAt on, and its client.
type model struct {
	*Schedule
	now        Micros
	lateness   func(at Micros) Micros
	connects   func(at Micros) (span Micros, ok bool) // of a connect that begins at a time
	silencing  Micros                                 // connections made before this fall silent then
	eventAt    Micros
	heardAt    Micros // when the event arrived; 0: not yet
	dials      int
	wrongTimes int // answers said to be of a later time than they were
	pending    []happening
}

type happening struct {
	at Micros
	do func()
}

func (m *model) after(span Micros, do func()) {
	m.pending = append(m.pending, happening{m.now + span, do})
}

// carryOut does what the client does, for a connection that was made at connectedAt.
func (m *model) carryOut(a Action, connectedAt Micros) {
	switch a.Kind {
	case Dial:
		m.dials++
		if span, ok := m.connects(m.now); !ok || span > a.Time {
			m.after(min(span, a.Time), func() { m.Failed(a.Conn, m.now) })
		} else {
			m.after(span, func() { m.carryOut(m.Connected(a.Conn, m.now), m.now) })
		}
	case Poll:
		arrived := m.now + travel
		heldUntil := arrived + a.Time
		found := m.heardAt == 0 && m.eventAt <= heldUntil // later polls ask for what follows the event
		if found {
			heldUntil = max(arrived, m.eventAt)
		}
		answeredAt := heldUntil + m.lateness(heldUntil) + travel
		if silent := m.silencing; connectedAt < silent && answeredAt >= silent {
			return
		}
		m.after(answeredAt-m.now, func() {
			if m.find(a.Conn) == nil {
				return
			}
			if at := m.Answered(a.Conn, m.now, !found); at > heldUntil {
				m.wrongTimes++
			}
			if found && m.heardAt == 0 {
				m.heardAt = m.now
			}
		})
	}
}

// run advances the model until a time and returns the most connections there were.
func (m *model) run(until Micros) (mostConns int) {
	connectedAt := map[ConnID]Micros{}
	for {
		for {
			a, due := m.Next(m.now)
			if !due {
				break
			}
			if a.Kind == Dial {
				connectedAt[a.Conn] = m.now
			}
			m.carryOut(a, connectedAt[a.Conn])
		}
		mostConns = max(mostConns, len(m.conns))
		at := m.WakeAt()
		for _, h := range m.pending {
			at = min(at, h.at)
		}
		if at > until {
			return mostConns
		}
		m.now = at
		due := slices.DeleteFunc(slices.Clone(m.pending), func(h happening) bool { return h.at > at })
		m.pending = slices.DeleteFunc(m.pending, func(h happening) bool { return h.at <= at })
		for _, h := range due {
			h.do()
		}
	}
}

func newModel() *model {
	return &model{Schedule: New(graceConfig()), lateness: func(Micros) Micros { return 0 }, silencing: -1,
		connects: func(Micros) (Micros, bool) { return travel, true }}
}

// Guards against events that never arrive, or much later than the server's answers, because
// polls are given up while a slow server still has to answer them.
func TestEventsArriveAsLateAsTheServerIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		late := rapid.Int64Range(0, 6000).Draw(t, "late ms") * ms
		slowFrom := rapid.Int64Range(0, 2000).Draw(t, "slow from ms") * ms
		steady := rapid.Bool().Draw(t, "each answer is as late")
		m.lateness = func(at Micros) Micros {
			if at < slowFrom {
				return 0
			}
			if !steady {
				return late * (at / ms % 5) / 4
			}
			return late
		}
		m.eventAt = slowFrom + rapid.Int64Range(0, 30_000).Draw(t, "event after ms")*ms
		conns := m.run(m.eventAt + 2*late + 10_000*ms)
		took := m.heardAt - m.eventAt
		bound := late + 50*ms // the margin until another poll is sent, and the ways
		if !steady || m.eventAt < slowFrom+2*late+1000*ms || late > 1100*ms {
			bound = 2*late + 500*ms // not yet known to be slow, or too slow for MaxConns
		}
		if m.heardAt == 0 || took > bound || conns > MaxConns || m.wrongTimes > 0 {
			t.Fatalf("event at %d heard after %d, bound %d, %d connections, %d wrong times", m.eventAt, took, bound, conns, m.wrongTimes)
		}
		if rate := float64(m.dials) / (float64(m.now)/1e6 + 1); steady && late <= 1100*ms && m.dials > 12 || rate > 4.5 {
			t.Fatalf("%d connects, %.1f a second", m.dials, rate)
		}
	})
}

// Guards against connections that fall silent for good, however late answers were before:
// the event has to arrive on another one within the grace, and as late as answers are.
func TestSilentConnectionsAreBypassed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		late := rapid.Int64Range(0, 400).Draw(t, "late ms") * ms
		m.lateness = func(Micros) Micros { return late }
		m.silencing = rapid.Int64Range(1, 10_000).Draw(t, "silent at ms") * ms
		m.eventAt = m.silencing + rapid.Int64Range(0, 9000).Draw(t, "event after ms")*ms
		conns := m.run(m.eventAt + 10_000*ms)
		if took := m.heardAt - m.eventAt; m.heardAt == 0 || took > 260*ms+late || conns > MaxConns {
			t.Fatalf("event at %d heard after %d, %d connections", m.eventAt, took, conns)
		}
	})
}

// Guards against an outage after which the server is not found within the grace, whether
// connects were refused or hung, and against connects in quick succession meanwhile.
func TestServerIsFoundAfterAnOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		downAt := rapid.Int64Range(0, 3000).Draw(t, "down at ms") * ms
		backAt := downAt + rapid.Int64Range(1, 20_000).Draw(t, "down for ms")*ms
		hang := rapid.Bool().Draw(t, "connects hang")
		m.connects = func(at Micros) (Micros, bool) {
			if at >= downAt && at < backAt {
				if hang {
					return 100_000 * ms, false
				}
				return travel, false
			}
			return travel, true
		}
		m.silencing, m.eventAt = downAt, backAt
		conns := m.run(backAt + 10_000*ms)
		if took := m.heardAt - backAt; m.heardAt == 0 || took > 260*ms || conns > MaxConns {
			t.Fatalf("heard %d after the outage, %d connections", took, conns)
		}
		if bound := 15 + int((backAt-downAt)/(75*ms)); m.dials > bound {
			t.Fatalf("%d connects, bound %d", m.dials, bound)
		}
	})
}

// Guards against a server whose connects are slow but succeed: none may be given up early.
func TestSlowConnectsComeUp(t *testing.T) {
	m := newModel()
	m.connects = func(Micros) (Micros, bool) { return 1500 * ms, true }
	if m.run(1600 * ms); m.heardAt == 0 {
		t.Error("the event has not arrived")
	}
}
