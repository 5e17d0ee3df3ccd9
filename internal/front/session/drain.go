package session

import (
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
)

// Draining and closing connections: open requests and outgoing answers are completed first.

const (
	finalAnswerTimeout = 3_000_000 // us for an outgoing answer to complete before its connection is closed
	firstRequestGrace  = 100_000   // us within which the first request of a new connection is waited for
)

// Stop stops accepting clients, except those that the kernel has already queued. New
// ones are refused, or go to another process at the address. Open connections are
// still served. See Accepting.
func (s *Server) Stop() {
	if s.listener != nil {
		s.listener.Stop()
		s.stoppingListener, s.listener = s.listener, nil
	}
}

// Accepting reports whether a listening socket is still open, including one that is
// being stopped.
func (s *Server) Accepting() bool {
	return s.listener != nil || s.stoppingListener != nil && !s.stoppingListener.Closed()
}

// Resume listens again after Stop. It fails if the address can't be bound.
func (s *Server) Resume() error {
	if s.listener != nil {
		return nil
	}
	return s.Start()
}

// Drain closes every connection after its next answer, idle ones at once, and those
// with an outgoing answer once it is sent or after finalAnswerTimeout. Connections
// with a partial request, those accepted within firstRequestGrace, and those accepted
// later are served and closed after their first answer; older ones without any
// request are closed at once.
func (s *Server) Drain() {
	s.draining = true
	now := s.loop.Now()
	for i := silent; i < numStates; i++ {
		if i == busy || i == ending || i == reading {
			continue
		}
		s.lists[i].each(func(c *conn) {
			if c.mayReceiveRequest(now) {
				return
			}
			if _, left := c.tc.Acknowledged(); left == 0 && !c.tc.Blocked() {
				c.shutdownBy(now + idleLingerTimeout)
				return
			}
			c.closeAfter = true
			c.closeWhenSent()
		})
	}
}

// CancelDrain undoes Drain: connections stay open after answers again.
func (s *Server) CancelDrain() { s.draining = false }

// Ending returns the number of connections that are being closed. Their last answer
// may still be on its way, and exiting would reset it if the client has sent more
// data. All of them end within a bounded time.
func (s *Server) Ending() int { return s.lists[ending].count }

// Busy returns the number of connections with an open request or unsent output.
func (s *Server) Busy() (n int) {
	for i := range s.lists {
		s.lists[i].each(func(c *conn) {
			if c.exchange != nil || c.tc.Blocked() {
				n++
			}
		})
	}
	return n
}

// Connections returns the number of open connections, including those not yet posted
// to the loop.
func (s *Server) Connections() int { return int(s.numConns.Load()) }

// pendingAccepts returns the number of accepted connections not yet known to the loop.
func (s *Server) pendingAccepts() int {
	n := s.Connections()
	for i := range s.lists {
		n -= s.lists[i].count
	}
	return n
}

// Receiving returns the number of connections from which a request is arriving, or,
// accepted within firstRequestGrace, may be. All are bounded by the request timeout.
func (s *Server) Receiving() int {
	n, now := s.lists[reading].count+s.pendingAccepts(), s.loop.Now()
	s.lists[silent].each(func(c *conn) {
		if c.mayReceiveRequest(now) {
			n++
		}
	})
	return n
}

// mayReceiveRequest reports whether the first request of a connection is still
// expected: part of it has arrived, or it may be on its way.
func (c *conn) mayReceiveRequest(now loop.Micros) bool {
	return c.state == silent && (c.partialRequest || c.stateSince > now-firstRequestGrace)
}

// shutdown closes a connection without an open request. A partial request is answered
// with status 408.
func (c *conn) shutdown() { c.shutdownBy(c.server.loop.Now() + lingerTimeout) }

// shutdownBy is shutdown with a deadline, for a client that may never close its side.
// A connection on which data has just arrived is left open, since its request is
// handled next. It reports whether the connection is being closed.
func (c *conn) shutdownBy(deadline loop.Micros) bool {
	if c.partialRequest {
		c.writeResponse(&httpwire.Response{Status: 408, Close: true})
		return true
	}
	if c.tc.Pending() && !c.Gone() {
		c.requestStart = c.server.loop.Now()
		c.setState(reading)
		return false
	}
	c.closeAfter = true
	c.setState(ending)
	c.tc.HalfClose(deadline)
	return true
}

// closeWhenSent closes a connection after its last answer: once the client has
// acknowledged all of it, checked after lingerTimeout, or after finalAnswerTimeout, so
// that slow clients get the whole answer too.
func (c *conn) closeWhenSent() {
	now := c.server.loop.Now()
	c.setState(ending)
	c.tc.HalfClose(now + finalAnswerTimeout)
	c.memory.lingerTimer = c.server.loop.At(now+lingerTimeout, func() {
		if _, left := c.tc.Acknowledged(); left == 0 {
			c.tc.Close()
		}
	})
}
