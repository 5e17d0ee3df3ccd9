package discovery

import (
	"errors"
	"fmt"

	"cherryramp/internal/decide/longpoll"
	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/transport"
)

const maxAnswerBytes = 4 << 20

var limits = httpwire.Limits{Head: 16 << 10, Body: maxAnswerBytes}

// maxBuffered bounds the parts of answers that all links together hold, in bytes.
const maxBuffered = maxAnswerBytes + 16<<10

var (
	errAnswerTooLong = errors.New("board: answer too long")
	errOutOfMemory   = errors.New("board: too much arrives at once")
)

// link is one connection to the board, with one poll outstanding at the most. What arrives
// on a link that the client no longer has is ignored: its events come again under the same
// numbers.
type link struct {
	client *Client
	id     longpoll.ConnID
	conn   *transport.Conn // nil while it is being established
}

// current reports whether the client still has the link.
func (l *link) current() bool { return l.client.links[l.id] == l }

// poll sends a poll that the board may hold for linger.
func (l *link) poll(linger gateway.Micros) error {
	request := fmt.Appendf(nil, "GET /board/poll?watch=%d&linger=%d HTTP/1.1\r\nHost: %s\r\n\r\n", l.client.lastEvent,
		linger/1000, l.client.address)
	_, err := l.conn.Send(request)
	return err
}

// Readable reads an answer and passes it to the client.
func (l *link) Readable(c *transport.Conn) {
	if !l.current() {
		return
	}
	var response *httpwire.Response
	var err error
	c.Consume(func(p []byte) (used int) {
		response, used, err = httpwire.ParseResponse(p, limits)
		return used
	})
	switch {
	case err != nil:
		l.client.reject(l, err)
	case response != nil:
		l.client.answer(l, response)
	case c.Overflowed():
		l.client.reject(l, errAnswerTooLong)
	default:
		l.client.partArrived(l)
	}
}

// Drained does nothing: one request is outstanding at a time.
func (l *link) Drained(*transport.Conn) {}

// Closed handles the end of the connection.
func (l *link) Closed(*transport.Conn) {
	if l.current() {
		l.client.fail(l)
	}
}
