package discovery

import (
	"fmt"
	"log/slog"

	"cherryramp/internal/decide/longpoll"
	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

const warnInterval = 1_000_000 // us between two warnings of a kind

// Sink receives what the board holds, on the loop.
type Sink interface {
	Members(full bool, list []gateway.Member)
	Purge(p gateway.Purge)
	// BoardCurrent is called after each answer, once its events have been passed on: at the
	// time at, the board held no others.
	BoardCurrent(at gateway.Micros)
}

// Client follows the notice board. Package longpoll decides when it polls, and on which
// connection.
type Client struct {
	loop        *loop.Loop
	log         *slog.Logger
	address     string
	sink        Sink
	timeouts    Timeouts
	lastEvent   int64
	schedule    *longpoll.Schedule
	links       map[longpoll.ConnID]*link
	wakeTimer   *loop.Deadline // calls advance; nil before the start
	heardAt     loop.Micros    // when the last answer arrived, or a client without one started
	problems    logLimit
	slowAnswers logLimit
	memory      transport.Gauge
	answered    bool // a whole answer has arrived since the start
}

// logLimit limits how often lines of a kind are logged.
type logLimit struct{ lastAt loop.Micros }

// allow reports whether a line may be logged now.
func (limit *logLimit) allow(now loop.Micros) bool {
	if now-limit.lastAt <= warnInterval {
		return false
	}
	limit.lastAt = now
	return true
}

// New makes a client that starts from the events already known; known may be nil.
func New(l *loop.Loop, log *slog.Logger, address string, timeouts Timeouts, known *Update, sink Sink) *Client {
	client := &Client{loop: l, log: log, address: address, timeouts: timeouts, sink: sink,
		schedule: longpoll.New(timeouts.schedule()), links: map[longpoll.ConnID]*link{}}
	if known != nil {
		client.apply(known)
	}
	return client
}

// Answered reports whether a whole answer has arrived since the start.
func (client *Client) Answered() bool { return client.answered }

// Start starts following the board.
func (client *Client) Start() {
	client.heardAt = client.loop.Now()
	client.wakeTimer = client.loop.At(client.heardAt, client.advance)
}

// SetTimeouts replaces the timeouts, for timers that start from now on.
func (client *Client) SetTimeouts(timeouts Timeouts) {
	client.timeouts = timeouts
	client.schedule.Configure(timeouts.schedule())
}

// SetAddress connects to the board at another address, at once, and resumes from the last
// event known.
func (client *Client) SetAddress(address string) {
	if address == client.address {
		return
	}
	client.log.Info("notice board has moved", "from", client.address, "to", address, "last", client.lastEvent)
	client.address = address
	old := client.links
	client.links = map[longpoll.ConnID]*link{}
	client.schedule.Reset()
	for _, l := range old {
		if l.conn != nil {
			l.conn.Close()
		}
	}
	client.loop.Stop(client.wakeTimer)
	client.Start()
}

// advance carries out what is due.
func (client *Client) advance() {
	now := client.loop.Now()
	client.warnIfSilent(now)
	for {
		action, due := client.schedule.Next(now)
		if !due {
			break
		}
		client.carryOut(action)
	}
	client.loop.Set(client.wakeTimer, client.schedule.WakeAt())
}

// warnIfSilent logs that the board has not answered for as long as a poll and the answer
// to it may take.
func (client *Client) warnIfSilent(now loop.Micros) {
	if silent := now - client.heardAt; silent > client.timeouts.silence && client.schedule.Polls() > 0 {
		client.warn("notice board is silent", "ms", silent/1000, "polls", client.schedule.Polls())
	}
}

func (client *Client) carryOut(action longpoll.Action) {
	switch action.Kind {
	case longpoll.Dial:
		client.dial(action.Conn, action.Time)
	case longpoll.Poll:
		l := client.links[action.Conn]
		if err := l.poll(action.Time); err != nil {
			client.drop(l)
			client.schedule.Failed(l.id, client.loop.Now())
		}
	case longpoll.Close:
		client.drop(client.links[action.Conn])
	}
}

func (client *Client) dial(id longpoll.ConnID, timeout gateway.Micros) {
	l := &link{client: client, id: id}
	client.links[id] = l
	transport.Dial(client.loop, client.address, maxAnswerBytes+limits.Head, &client.memory, l, client.loop.Now()+timeout,
		func(c *transport.Conn, err error) {
			switch {
			case !l.current(): // the address has changed
				if err == nil {
					c.Close()
				}
			case err != nil:
				client.warn("notice board can't be reached", "error", err)
				client.fail(l)
			default:
				l.conn = c
				client.carryOut(client.schedule.Connected(id, client.loop.Now()))
				client.advance()
			}
		})
}

// drop closes a link that the schedule no longer has.
func (client *Client) drop(l *link) {
	delete(client.links, l.id)
	if l.conn != nil {
		l.conn.Close()
	}
}

// fail handles the end of a link.
func (client *Client) fail(l *link) {
	client.drop(l)
	client.schedule.Failed(l.id, client.loop.Now())
	client.advance()
}

// reject ends a link whose answer can't be used.
func (client *Client) reject(l *link, err error) {
	client.warn("notice board's answer can't be used", "error", err)
	client.drop(l)
	client.schedule.Rejected(l.id, client.loop.Now())
	client.advance()
}

// partArrived handles a part of an answer. If all links together hold too many of them,
// the answer that stopped longest ago is dropped.
func (client *Client) partArrived(l *link) {
	client.schedule.Received(l.id, client.loop.Now())
	if client.memory.In.Load() > maxBuffered {
		if id, found := client.schedule.LongestSilent(); found {
			client.reject(client.links[id], errOutOfMemory)
			return
		}
	}
	client.advance()
}

// answer applies an answer.
func (client *Client) answer(l *link, response *httpwire.Response) {
	if response.Status != 200 {
		client.reject(l, fmt.Errorf("board: status %d", response.Status))
		return
	}
	update, err := ParseUpdate(response.Body)
	if err != nil {
		client.reject(l, err)
		return
	}
	now := client.loop.Now()
	currentAt := client.schedule.Answered(l.id, now, len(update.Events) == 0)
	client.logIfLate(now)
	client.answered, client.heardAt = true, now
	client.apply(update)
	client.sink.BoardCurrent(currentAt)
	if response.Close {
		client.fail(l)
		return
	}
	client.advance()
}

// logIfLate logs that answers arrive so late that the grace may not suffice to act on their
// events.
func (client *Client) logIfLate(now loop.Micros) {
	if late := client.schedule.Lateness(); late > client.timeouts.stall && client.slowAnswers.allow(now) {
		client.log.Warn("notice board answers late", "ms", late/1000, "polls", client.schedule.Polls(), "last", client.lastEvent)
	}
}

// apply passes new events to the sink.
func (client *Client) apply(update *Update) {
	for _, e := range update.Events {
		if e.Number <= client.lastEvent {
			continue
		}
		client.lastEvent = e.Number
		if e.List != nil {
			client.sink.Members(e.List.Full, e.List.Members)
		}
		if e.Purge != nil {
			client.sink.Purge(*e.Purge)
		}
	}
	client.lastEvent = max(client.lastEvent, update.Last)
}

// warn logs a warning, one per warnInterval at most.
func (client *Client) warn(text string, args ...any) {
	if client.problems.allow(client.loop.Now()) {
		client.log.Warn(text, append(args, "last", client.lastEvent)...)
	}
}
