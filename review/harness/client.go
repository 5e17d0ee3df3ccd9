package harness

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// NewID returns an id of a request: 16 hex digits.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Client is a client's connection to a front.
type Client struct {
	addr string
	conn net.Conn
	r    *bufio.Reader
}

// NewClient returns a client that connects when it sends its first request.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Reply is what a client got.
type Reply struct {
	ID     string
	Status int // 0: none
	Tag    string
	Body   []byte
	SentAt time.Time
	At     time.Time
	Err    error
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Do sends a request and waits for its answer, for at most wait and half a second.
func (c *Client) Do(method, target string, bucket int, wait time.Duration, body []byte, header ...string) (p Reply) {
	p.ID = NewID()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			p.Err = err
			return p
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: service.internal\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\nX-Bucket: %d\r\n", method, target, p.ID,
		wait.Milliseconds(), bucket)
	for _, h := range header {
		head += h + "\r\n"
	}
	if method == "PUT" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	p.SentAt = time.Now()
	_ = c.conn.SetDeadline(p.SentAt.Add(wait + 600*time.Millisecond))
	if _, p.Err = c.conn.Write(append([]byte(head+"\r\n"), body...)); p.Err != nil {
		c.Close()
		return p
	}
	response, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		p.Err, p.At = err, time.Now()
		c.Close()
		return p
	}
	p.Body, p.Err = io.ReadAll(response.Body)
	p.At, p.Status, p.Tag = time.Now(), response.StatusCode, response.Header.Get("ETag")
	if p.Err != nil || response.Close {
		c.Close()
	}
	return p
}
