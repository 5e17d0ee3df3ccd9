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
	connectTimeout    = 400_000   // us
	maxAnswerTime     = 2_000_000 // us from a poll to the end of an answer that is still arriving
	initialRetryPause = 10_000    // us from a failed connection to the next; doubles each time
	warnInterval      = 1_000_000 // us between two warnings
	maxAnswerBytes    = 4 << 20
	maxLinger         = 150_000 // us that the board may hold a poll
	minGrace          = 100_000 // us; a shorter grace leaves no time for a poll and its answer
)

// Timeouts are a client's timeouts. All derive from the grace that the settings allow for
// acting on events: it counts from when the board holds an event, whether or not the
// connection still delivers. So within the grace a silent connection has to be detected
// and the board polled on another one, and after an outage the board has to be found
// again, whether connects are refused or hang.
type Timeouts struct {
	linger        gateway.Micros // how long the board may hold a poll
	silence       gateway.Micros // after a poll, from which a connection is considered dead
	stall         gateway.Micros // between two parts of an answer, from which it is considered dead
	redialAfter   gateway.Micros // from which another connect is started beside one that hangs
	maxRetryPause gateway.Micros // between two connects
}

// TimeoutsFor returns the timeouts for a grace, which it raises to minGrace. 0 or less
// stands for 300 ms, the shortest grace seen at a site.
func TimeoutsFor(grace gateway.Micros) Timeouts {
	g := max(minGrace, cmp.Or(max(0, grace), 300_000))
	linger := min(maxLinger, g/2)
	return Timeouts{linger: linger, silence: linger + g/3, stall: g / 3, redialAfter: g / 3, maxRetryPause: g / 4}
}

var limits = httpwire.Limits{Head: 16 << 10, Body: maxAnswerBytes}

// Sink receives what the board holds, on the loop.
type Sink interface {
	Members(full bool, list []gateway.Member)
	Purge(p gateway.Purge)
	BoardAnswered()
}

// Client follows the notice board.
type Client struct {
	loop       *loop.Loop
	log        *slog.Logger
	address    string
	sink       Sink
	timeouts   Timeouts
	lastEvent  int64
	link       *link   // the current one; nil while none is up
	search     *search // the search for a link
	retryPause loop.Micros
	warnedAt   loop.Micros
	memory     transport.Gauge
	answered   bool // a whole answer has arrived since the start
}

// Answered reports whether a whole answer has arrived since the start.
func (client *Client) Answered() bool { return client.answered }

// search looks for a connection to an address. Its dials run concurrently, and the first
// to connect ends it.
type search struct {
	dials    int
	over     bool
	nextDial *loop.Deadline // starts one more dial if none has connected
}

// link is one connection to the board. What an older link still receives is ignored: its
// events come again under the same numbers.
type link struct {
	client       *Client
	conn         *transport.Conn // nil if another dial connected first
	answered     bool            // its last answer could be used
	polledAt     loop.Micros     // when the last poll was sent
	silenceTimer *loop.Deadline
}

// New makes a client that starts from the events already known; known may be nil.
func New(l *loop.Loop, log *slog.Logger, address string, timeouts Timeouts, known *Update, sink Sink) *Client {
	client := &Client{loop: l, log: log, address: address, timeouts: timeouts, sink: sink, retryPause: initialRetryPause}
	if known != nil {
		client.apply(known)
	}
	return client
}

// Start starts following the board.
func (client *Client) Start() { client.startSearch() }

// SetTimeouts replaces the timeouts, for timers that start from now on.
func (client *Client) SetTimeouts(timeouts Timeouts) { client.timeouts = timeouts }

// SetAddress connects to the board at another address, at once, and resumes from the last
// event known.
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

// startSearch starts a search for a connection in place of any current one.
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
			case search.over: // another dial connected first, or the address has changed
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
		if !search.over && search.dials > 0 { // the connect hangs; the board may be back by now
			client.dial(search)
		}
	})
}

// retryLater dials again after a pause, unless the search is over by then.
func (client *Client) retryLater(search *search) {
	client.loop.At(client.loop.Now()+client.retryPause, func() {
		if !search.over && search.dials == 0 {
			client.dial(search)
		}
	})
	client.retryPause = min(2*client.retryPause, client.timeouts.maxRetryPause)
}

// warn logs a warning, one per warnInterval at most.
func (client *Client) warn(text string, args ...any) {
	if now := client.loop.Now(); now-client.warnedAt > warnInterval {
		client.warnedAt = now
		client.log.Warn(text, append(args, "last", client.lastEvent)...)
	}
}

// close stops the link's timer and closes its connection.
func (l *link) close() {
	l.client.loop.Stop(l.silenceTimer)
	if l.conn != nil {
		l.conn.Close()
	}
}

// fail closes a link and, if it was the current one, starts another search: at once if
// its last answer could be used, else after a pause.
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

// Readable reads an answer, applies it and polls again.
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
		if !c.Overflowed() { // still arriving: long answers take a while
			client.loop.Set(l.silenceTimer, min(l.polledAt+maxAnswerTime, max(l.polledAt+client.timeouts.silence, client.loop.Now()+client.timeouts.stall)))
			return
		}
		err = errors.New("board: answer too long")
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

// Drained does nothing: one request is outstanding at a time.
func (l *link) Drained(*transport.Conn) {}

// Closed handles the end of the connection.
func (l *link) Closed(*transport.Conn) { l.fail() }
