package discovery

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"

	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

const (
	connectTimeout    = 400_000   // us for a connection to come up
	maxAnswerTime     = 2_000_000 // us from a poll for the whole of an answer that is coming
	initialRetryPause = 10_000    // us before the next connection after a failed one; doubles
	warnInterval      = 1_000_000 // us between log lines about trouble
	maxAnswerBytes    = 4 << 20
	maxLinger         = 150_000 // us that the board may hold a poll at most
	minGrace          = 100_000 // us: a shorter grace leaves no time for a poll and its answer
)

// Times are how long a client waits for what. All follow from the grace that the
// settings give for what the board tells: an event counts as told once the board holds it,
// whether a watch on it still speaks or not. So a silent watch has to be noticed, and the
// board asked on another connection, within the grace; and after an outage the board has to be
// found within it too, whether connects are refused or hang.
type Timeouts struct {
	linger        gateway.Micros // that the board may hold a poll
	silence       gateway.Micros // after a poll, from which a connection is taken for dead
	stall         gateway.Micros // between two parts of an answer, likewise
	redialAfter   gateway.Micros // from which a connect that hangs gets another beside it
	maxRetryPause gateway.Micros // between two connects at most
}

// Within gives the times for a grace; 0 stands for the least that a site has been
// seen with.
func TimeoutsFor(grace gateway.Micros) Timeouts {
	g := max(minGrace, cmp.Or(max(0, grace), 300_000))
	linger := min(maxLinger, g/2)
	return Timeouts{linger: linger, silence: linger + g/3, stall: g / 3, redialAfter: g / 3, maxRetryPause: g / 4}
}

var limits = httpwire.Limits{Head: 16 << 10, Body: maxAnswerBytes}

// Sink is told what the board holds.
type Sink interface {
	Members(full bool, list []gateway.Member)
	Purge(p gateway.Purge)
	BoardAnswered()
}

// Board is a client of the notice board.
type Client struct {
	loop       *loop.Loop
	log        *slog.Logger
	address    string
	sink       Sink
	timeouts   Timeouts
	lastEvent  int64
	link       *link   // the one that counts; nil while none is up
	search     *search // for one
	retryPause loop.Micros
	warnedAt   loop.Micros
	memory     transport.Gauge
	answered   bool // a whole answer has come once
}

// Answered tells whether the board has given a whole answer since the start.
func (client *Client) Answered() bool { return client.answered }

// search is one search for a connection to an address; dials of it run beside each
// other, and the first to come up ends it.
type search struct {
	dials    int
	over     bool
	nextDial *loop.Deadline // when one more begins, if none has come up
}

// link is one connection to the board. What an older one still brings is passed
// over: its events come again under their numbers.
type link struct {
	client       *Client
	conn         *transport.Conn // nil where another came up first
	answered     bool            // it has brought an answer
	polledAt     loop.Micros     // when the last poll went out
	silenceTimer *loop.Deadline
}

// New makes a client that starts from what is known.
func New(l *loop.Loop, log *slog.Logger, address string, timeouts Timeouts, known *Update, sink Sink) *Client {
	client := &Client{loop: l, log: log, address: address, timeouts: timeouts, sink: sink, retryPause: initialRetryPause}
	if known != nil {
		client.apply(known)
	}
	return client
}

// Start begins to follow the board.
func (client *Client) Start() { client.startSearch() }

// Renew takes other times over, for what begins from now on.
func (client *Client) SetTimeouts(timeouts Timeouts) { client.timeouts = timeouts }

// Move follows the board at another address, at once and from the last event known.
func (client *Client) SetAddress(address string) {
	if address == client.address {
		return
	}
	client.log.Info("notice board has moved", "from", client.address, "to", address, "last", client.lastEvent)
	client.address, client.retryPause = address, initialRetryPause
	if old := client.link; old != nil {
		client.link = nil
		old.close()
	}
	client.startSearch()
}

// take passes on the events that are new.
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

// seek begins to look for a connection, in place of any search under way.
func (client *Client) startSearch() {
	if client.search != nil {
		client.search.over = true
	}
	client.search = &search{}
	client.dial(client.search)
}

func (client *Client) dial(search *search) {
	search.dials++
	newLink := &link{client: client}
	transport.Dial(client.loop, client.address, maxAnswerBytes+limits.Head, &client.memory, newLink, client.loop.Now()+connectTimeout,
		func(c *transport.Conn, err error) {
			search.dials--
			switch {
			case search.over: // another came up first, or the board has moved
				if err == nil {
					c.Close()
				}
			case err != nil:
				client.warn("notice board can't be reached", "error", err)
				if search.dials == 0 {
					client.retryLater(search)
				}
			default:
				search.over = true
				client.link, newLink.conn = newLink, c
				newLink.poll()
			}
		})
	client.loop.Stop(search.nextDial)
	search.nextDial = client.loop.At(client.loop.Now()+client.timeouts.redialAfter, func() {
		if !search.over && search.dials > 0 { // it hangs: the board may be back by now
			client.dial(search)
		}
	})
}

// again connects anew after a pause, unless the search is over by then.
func (client *Client) retryLater(search *search) {
	client.loop.At(client.loop.Now()+client.retryPause, func() {
		if !search.over && search.dials == 0 {
			client.dial(search)
		}
	})
	client.retryPause = min(2*client.retryPause, client.timeouts.maxRetryPause)
}

// warn logs trouble, but not each time where it repeats.
func (client *Client) warn(text string, args ...any) {
	if now := client.loop.Now(); now-client.warnedAt > warnInterval {
		client.warnedAt = now
		client.log.Warn(text, append(args, "last", client.lastEvent)...)
	}
}

// end leaves a connection.
func (l *link) close() {
	l.client.loop.Stop(l.silenceTimer)
	if l.conn != nil {
		l.conn.Close()
	}
}

// fail leaves a connection that is of no more use and connects anew: at once if
// it has been good.
func (l *link) fail() {
	client := l.client
	l.close()
	if client.link != l {
		return
	}
	client.link = nil
	if l.answered {
		client.retryPause = initialRetryPause
		client.startSearch()
		return
	}
	client.search = &search{}
	client.retryLater(client.search)
}

func (l *link) poll() {
	client := l.client
	client.loop.Stop(l.silenceTimer)
	l.polledAt = client.loop.Now()
	l.silenceTimer = client.loop.At(l.polledAt+client.timeouts.silence, func() {
		client.warn("notice board is silent")
		l.fail()
	})
	request := fmt.Appendf(nil, "GET /board/poll?watch=%d&linger=%d HTTP/1.1\r\nHost: %s\r\n\r\n", client.lastEvent,
		client.timeouts.linger/1000, client.address)
	if _, err := l.conn.Send(request); err != nil {
		l.fail()
	}
}

// Readable takes an answer and asks for the next.
func (l *link) Readable(c *transport.Conn) {
	client := l.client
	if client.link != l {
		return
	}
	var response *httpwire.Response
	var err error
	c.Consume(func(p []byte) (used int) {
		response, used, err = httpwire.ParseResponse(p, limits)
		return used
	})
	if err == nil && response == nil {
		if !c.Overflowed() { // it is coming: long ones take their time
			client.loop.Set(l.silenceTimer, min(l.polledAt+maxAnswerTime, max(l.polledAt+client.timeouts.silence, client.loop.Now()+client.timeouts.stall)))
			return
		}
		err = errors.New("board: answer is too long")
	}
	var update *Update
	if err == nil && response.Status != 200 {
		err = fmt.Errorf("board: status %d", response.Status)
	}
	if err == nil {
		update, err = ParseUpdate(response.Body)
	}
	if err != nil {
		client.warn("notice board's answer can't be used", "error", err)
		l.answered = false
		l.fail()
		return
	}
	l.answered = true
	client.answered = true
	client.apply(update)
	client.sink.BoardAnswered()
	if response.Close {
		l.fail()
		return
	}
	l.poll()
}

// Drained has nothing to do: one request is out at a time.
func (l *link) Drained(*transport.Conn) {}

// Closed connects anew.
func (l *link) Closed(*transport.Conn) { l.fail() }
