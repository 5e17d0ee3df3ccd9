package session

import (
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
)

// Draining and ending connections: what is owed to their clients is answered first.

const (
	lateOut  = 3_000_000 // us that an answer on its way may still take in a drain
	arriving = 100_000   // us within which a connection that has said nothing may still bring a request
)

// Stop accepts no more clients than the kernel holds already: new ones are refused, or go
// to another process at the address. Those that came are served. See Accepting.
func (s *Server) Stop() {
	if s.listener != nil {
		s.listener.Stop()
		s.stopping, s.listener = s.listener, nil
	}
}

// Accepting tells whether a listening socket is still open, also one that was told to stop.
func (s *Server) Accepting() bool {
	return s.listener != nil || s.stopping != nil && !s.stopping.Closed()
}

// Resume listens again after Stop; the error is the address's.
func (s *Server) Resume() error {
	if s.listener != nil {
		return nil
	}
	return s.Start()
}

// Drain has every connection end with its next answer, idle ones at once, and
// ones whose last answer is still on its way once it is out, or within lateOut.
// Connections that are bringing a request, that came within arriving, or that
// come meanwhile are served and end with their first answer; one that has said
// nothing for longer ends at once.
func (s *Server) Drain() {
	s.closing = true
	now := s.loop.Now()
	for i := silent; i < states; i++ {
		if i == busy || i == ending || i == reading {
			continue
		}
		s.lists[i].each(func(c *conn) {
			if c.brings(now) {
				return
			}
			if _, left := c.tc.Acknowledged(); left == 0 && !c.tc.Blocked() {
				c.quitBy(now + lingerShort)
				return
			}
			c.last = true
			c.finish()
		})
	}
}

// Rejoin takes back a Drain: answers keep their connections again.
func (s *Server) CancelDrain() { s.closing = false }

// Ending counts connections that are being ended: their last answer may be on its way,
// and the program's end would reset it away where anything more has come from the client.
// All are bounded in time.
func (s *Server) Ending() int { return s.lists[ending].count }

// Busy counts connections whose answer is open or not all out.
func (s *Server) Busy() (n int) {
	for i := range s.lists {
		s.lists[i].each(func(c *conn) {
			if c.x != nil || c.tc.Blocked() {
				n++
			}
		})
	}
	return n
}

// Connections counts all that clients hold, with those that the loop has not heard of yet.
func (s *Server) Connections() int { return int(s.held.Load()) }

// unheard counts the connections that were accepted and that the loop has not heard of yet.
func (s *Server) unheard() int {
	n := s.Connections()
	for i := range s.lists {
		n -= s.lists[i].count
	}
	return n
}

// Coming counts connections that are bringing a request, and those that came
// within arriving and may be; their time bounds them.
func (s *Server) Receiving() int {
	n, now := s.lists[reading].count+s.unheard(), s.loop.Now()
	s.lists[silent].each(func(c *conn) {
		if c.brings(now) {
			n++
		}
	})
	return n
}

// brings tells whether one that has brought no whole request yet may still: its first has
// come in part, or may be on the way.
func (c *conn) brings(now loop.Micros) bool {
	return c.state == silent && (c.begun || c.since > now-arriving)
}

// quit ends a connection without an open request. Half a request is answered.
func (c *conn) quit() { c.quitBy(c.server.loop.Now() + linger) }

// quitBy is quit for one whose place is wanted, and whose client may never end its
// side. One on which something has just come is left, since its request is looked at next;
// it tells whether the connection was ended.
func (c *conn) quitBy(by loop.Micros) bool {
	if c.begun {
		c.write(&httpwire.Response{Status: 408, Close: true})
		return true
	}
	if c.tc.Pending() && !c.Gone() {
		c.began = c.server.loop.Now()
		c.enter(reading)
		return false
	}
	c.last = true
	c.enter(ending)
	c.tc.HalfClose(by)
	return true
}

// finish ends a connection behind its last answer. A slow client's is owed whole as any
// other: where it has not taken all of it after linger, it has until lateOut.
func (c *conn) finish() {
	now := c.server.loop.Now()
	c.enter(ending)
	c.tc.HalfClose(now + lateOut)
	c.server.loop.At(now+linger, func() {
		if _, left := c.tc.Acknowledged(); left == 0 {
			c.tc.Close()
		}
	})
}
