package session

import (
	"cherryramp/internal/decide/resources"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
)

// Bounds on the memory that clients make the server hold. A caller beyond them is refused
// before anything of its request is passed on; answers under way are not affected.
const (
	crowdedMemory    = 0.75      // share of the request memory from which stalled requests are refused
	stalledAfter     = 100_000   // us after which a request that is still arriving may be refused for others
	crowdedInterval  = 10_000    // us between two searches for stalled requests
	maxUnreadAnswer  = 64 << 10  // bytes of earlier answers that a client may always have left when its next request is handled
	reservedOutput   = 256 << 10 // bytes set aside for an answer beyond that; no answer is larger
	maxWanted        = 1_000_000 // us after a refusal for which room is made for another such answer
	stalledAnswer    = 200_000   // us without progress after which an answer may be ended for others
	unreadRetryDelay = 20_000    // us until a client is looked at again whose request waits
)

// memoryState is what a connection holds or waits for because of its client.
type memoryState struct {
	bodyBytes   int64          // of the open request, counted in the request memory
	outputBytes int64          // set aside for the answer, see reserveOutput
	needed      int            // bytes of the request that is arriving; 0: not known yet
	unreadSince loop.Micros    // since when its client has left too much of earlier answers; 0: it has not
	retryTimer  *loop.Deadline // until its client is looked at again
	lingerTimer *loop.Deadline // see closeWhenSent
	leftSeen    int            // bytes of its answer that its client had left at the last look of endStalled
	leftSince   loop.Micros    // since when it has left so many
}

// reserveAnswer reserves memory for an answer that may wait for its client, and reports whether there
// is some. Where there is none, answers that have stood still for a while are ended for it; those that
// their clients read go on.
func (s *Server) reserveAnswer(size int) bool {
	memory, n := s.cfg.Memory, int64(size)
	if memory == nil || s.cfg.Pace == nil || size < minPacedAnswer || memory.TryReserve(resources.PendingOutput, n) {
		return true
	}
	if s.endStalled(n) >= n && memory.TryReserve(resources.PendingOutput, n) {
		return true
	}
	s.wantedOutput, s.wantedAt = n, s.loop.Now()
	s.endStalledLater()
	s.logRefusal("client turned away: no memory for its answer", "size", size)
	return false
}

// endStalledLater looks for answers that stand still until there is room for the one that was refused
// last, or nobody has been refused for a while.
func (s *Server) endStalledLater() {
	if !s.stalledTimer.Pending() {
		s.loop.Set(&s.stalledTimer, s.loop.Now()+stalledAnswer/2)
	}
}

func (s *Server) onStalledTimer() {
	if s.endStalled(s.wantedOutput) < s.wantedOutput && s.loop.Now()-s.wantedAt < maxWanted {
		s.endStalledLater()
	}
}

// endStalled ends answers of which nothing has been taken for stalledAnswer, slowest rank first, until n
// bytes are free, and returns how many are.
func (s *Server) endStalled(n int64) (freed int64) {
	now, ended := s.loop.Now(), 0
	for i := sending; i < numStates && freed < n; i++ {
		l, next := &s.lists[i], (*conn)(nil)
		for c, seen := l.head.next, 0; c != &l.head && freed < n && seen < maxShedPerRank; c, seen = next, seen+1 {
			next = c.next
			_, left := c.tc.Acknowledged()
			if left != c.memory.leftSeen {
				c.memory.leftSeen, c.memory.leftSince = left, now
			} else if left > 0 && now-c.memory.leftSince >= stalledAnswer {
				freed += s.endAnswer(c, int64(left))
				ended++
			}
		}
	}
	s.logEnded(ended)
	return freed
}

// endAnswer resets a connection whose answer has left bytes to be taken, and returns the bytes that count
// as free for it.
func (s *Server) endAnswer(c *conn, left int64) int64 {
	counted := s.cfg.Pace.PendingBytes()
	c.tc.Abort()
	c.setState(ending)
	// PendingBytes counted what was left at the transfer's last check, which is more.
	freed := max(left, counted-s.cfg.Pace.PendingBytes())
	if b := s.cfg.Memory; b != nil {
		b.Release(resources.PendingOutput, freed)
	}
	return freed
}

// logEnded logs that transfers were ended.
func (s *Server) logEnded(ended int) {
	if ended > 0 {
		s.log.Warn("memory runs short: slow transfers are ended", "ended", ended)
	}
}

// holdBody counts the body of the request that is being handled, until releaseBody.
func (c *conn) holdBody(n int) {
	c.memory.bodyBytes = int64(n)
	c.server.cfg.RequestMemory.Add(int64(n))
}

func (c *conn) releaseBody() {
	c.server.cfg.RequestMemory.Add(-c.memory.bodyBytes)
	c.memory.bodyBytes = 0
}

// inputLost reports whether input behind the current request was dropped.
func (c *conn) inputLost() bool { return c.tc.Overflowed() || c.tc.Refused() }

// refuseRequest answers a client whose request there is no memory for, and closes the connection.
func (c *conn) refuseRequest() {
	s := c.server
	s.memoryRefusals++
	s.logRefusal("client turned away: no memory for its request", "refused", s.memoryRefusals, "held", s.cfg.RequestMemory.Held())
	c.partialRequest = false
	response := s.app.OverloadResponse(s.cfg.RetryAfter)
	response.Close = true
	c.writeResponse(response)
}

// refuseStalled refuses the oldest requests that are still arriving while the request memory is
// crowded, so that clients who send theirs at once find room.
func (s *Server) refuseStalled() {
	now := s.loop.Now()
	if s.cfg.RequestMemory.Used() < crowdedMemory || now < s.nextCrowdedCheck {
		return
	}
	s.nextCrowdedCheck = now + crowdedInterval
	for _, list := range []*list{&s.lists[silent], &s.lists[reading]} {
		for c := list.head.next; c != &list.head && now-c.stateSince >= stalledAfter; {
			next := c.next
			if c.partialRequest && c.tc.InputMemory() > 0 {
				c.refuseRequest()
			}
			if s.cfg.RequestMemory.Used() < crowdedMemory {
				return
			}
			c = next
		}
	}
}

// awaitsReader reports whether the next request has to wait until the client has read more of earlier
// answers. The first bytes of unread answers stand in the socket; a further answer may have to be
// buffered, for which memory is set aside first. A client that leaves answers unread for as long as a
// connection may idle gets no further one.
func (c *conn) awaitsReader() bool {
	s, now := c.server, c.server.loop.Now()
	_, left := c.tc.Acknowledged()
	if left <= maxUnreadAnswer || !c.tc.Blocked() && c.reserveOutput() {
		c.memory.unreadSince = 0
		return false
	}
	if c.memory.unreadSince == 0 {
		c.memory.unreadSince = now
	}
	if now-c.memory.unreadSince >= s.cfg.IdleTimeout {
		c.closeAfter = true
		c.closeWhenSent()
		return true
	}
	s.loop.Stop(c.memory.retryTimer)
	c.memory.retryTimer = s.loop.At(now+unreadRetryDelay, func() { c.Readable(c.tc) })
	return true
}

// reserveOutput sets memory aside for an answer that the socket may not take, until releaseOutput.
func (c *conn) reserveOutput() bool {
	if c.memory.outputBytes > 0 {
		return true
	}
	if !c.server.cfg.OutputMemory.TryAdd(reservedOutput) {
		return false
	}
	c.memory.outputBytes = reservedOutput
	return true
}

func (c *conn) releaseOutput() {
	c.server.cfg.OutputMemory.Add(-c.memory.outputBytes)
	c.memory.outputBytes = 0
}

// parseRequest parses the request at the start of the input, once all of it has arrived.
func (c *conn) parseRequest(b []byte) (r *httpwire.Request, used int, err error) {
	c.partialRequest = len(b) > 0
	if len(b) < c.memory.needed { // the head is not parsed again for each part of the body
		return nil, 0, nil
	}
	limits := c.server.cfg.Limits
	c.memory.needed = 0
	if r, used, err = httpwire.ParseRequest(b, limits); r != nil {
		c.partialRequest = false
	} else if err == nil {
		c.memory.needed = httpwire.RequestSize(b, limits)
	}
	return r, used, err
}

// stopTimers stops the timers of a connection that has ended.
func (c *conn) stopTimers() {
	c.server.loop.Stop(c.memory.retryTimer)
	c.server.loop.Stop(c.memory.lingerTimer)
}
