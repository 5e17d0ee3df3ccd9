package world

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// frontEnd is the front's end of a connection.
type frontEnd interface {
	deliver(text []byte) // bytes arrived from the server
	serverClosed()       // the server ended the connection
}

// connection is one connection as seen from its server. It carries the platform's own
// protocol lines byte for byte, in order, with the latency between both ends.
type connection struct {
	front        *Front
	server       *server
	startedAt    Micros // start of the server's process
	far          frontEnd
	buffer       []byte // incomplete command
	lastToServer Micros // arrival time of the last command sent
	lastToFront  Micros
	jobs         map[string]*job
	closed       bool // at the front
}

// command is a command sent by a front.
type command struct{ words []string }

// connect creates a connection between a front and a server that is up.
func (w *World) connect(f *Front, s *server, far frontEnd) *connection {
	c := &connection{front: f, server: s, startedAt: s.startedAt, far: far, jobs: map[string]*job{}}
	s.conns[c] = true
	f.conns[c] = true
	return c
}

// isDead reports whether the connection silently drops everything.
func (c *connection) isDead() bool {
	return c.server.unreachable || c.server.startedAt != c.startedAt || !c.server.up || c.front.stopped || c.front.w.isCut(c.server)
}

// receive takes in bytes as they leave the front.
func (c *connection) receive(text []byte) {
	c.buffer = append(c.buffer, text...)
	for !c.closed {
		x, used, err := parseCommand(c.buffer)
		if err != nil {
			c.rejectCommand("%v", err)
			return
		}
		if used == 0 {
			return
		}
		c.buffer = c.buffer[:copy(c.buffer, c.buffer[used:])]
		c.front.commandSent(c, x)
		if !c.isDead() {
			w := c.front.w
			c.lastToServer = max(c.lastToServer, w.departure(toServer, c.server)+w.delay(c.front.zone, c.server))
			w.loop.At(c.lastToServer, func() { c.arrive(x) })
		}
	}
}

// parseCommand reads one command from the start of b; used is 0 while it is
// incomplete.
func parseCommand(b []byte) (x command, used int, err error) {
	line, _, ok := bytes.Cut(b, []byte("\r\n"))
	if !ok {
		return x, 0, nil
	}
	x.words, used = strings.Fields(string(line)), len(line)+2
	switch {
	case len(x.words) == 2 && x.words[0] == "cancel":
	case len(x.words) == 4 && x.words[0] == "serve":
		size, err := strconv.Atoi(x.words[3])
		if err != nil || size < 0 {
			return x, 0, fmt.Errorf("invalid length in %q", line)
		}
		if used += size + 2; len(b) < used {
			return x, 0, nil
		}
	default:
		return x, 0, fmt.Errorf("invalid command %q", line)
	}
	return x, used, nil
}

// closeByFront closes the connection from the front's end.
func (c *connection) closeByFront() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.front.conns, c)
	if !c.isDead() {
		w := c.front.w
		w.after(w.delay(c.front.zone, c.server), c.closeAtServer)
	}
}

// closeAtServer ends the connection at the server and abandons its open jobs.
func (c *connection) closeAtServer() {
	delete(c.server.conns, c)
	for _, id := range sortedIDs(c.jobs) {
		c.jobs[id].giveUp()
	}
}

// reset ends the connection from the server's end.
func (c *connection) reset() {
	c.closeAtServer()
	if c.closed || c.front.stopped {
		return
	}
	c.front.w.after(c.front.w.delay(c.front.zone, c.server), func() {
		if !c.closed {
			c.closed = true
			delete(c.front.conns, c)
			c.far.serverClosed()
		}
	})
}

// arrive handles a command that has reached the server.
func (c *connection) arrive(x command) {
	if c.isDead() || !c.server.conns[c] {
		return
	}
	if x.words[0] == "serve" {
		c.serve(x.words[1], x.words[2])
	} else if j := c.jobs[x.words[1]]; j != nil {
		j.giveUp()
	}
}

// rejectCommand reports a command that no server would accept, and resets the
// connection.
func (c *connection) rejectCommand(format string, args ...any) {
	c.front.w.reportViolation(ValidCommands, c.front, fmt.Sprintf(format, args...))
	c.reset()
}

// serve parses a request and passes it to the server.
func (c *connection) serve(id, fields string) {
	w := c.front.w
	j := &job{w: w, conn: c, server: c.server, id: id, arrivedAt: w.loop.Now()}
	objName, dedupe := "", ""
	for f := range strings.SplitSeq(fields, ",") {
		key, value, _ := strings.Cut(f, "=")
		n, err := strconv.ParseInt(value, 10, 64)
		switch key {
		case "lane":
			if j.class = w.classIndex(value); j.class < 0 {
				c.rejectCommand("unknown class %q", value)
				return
			}
			err = nil
		case "name":
			objName, err = value, nil
		case "piece":
			j.item.part = uint16(n)
		case "dedupe":
			dedupe, err = value, nil
		case "ttl":
			j.deadline = j.arrivedAt + n*milli
		case "next":
			if j.source = w.serverByName[value]; j.source == nil {
				c.rejectCommand("unknown source %q", value)
				return
			}
			err = nil
		case "admit":
			j.rank = uint8(n)
		case "agelim":
			j.maxAge = n * milli
		case "ways":
			j.joinFill, j.cachedOnly, j.passThrough = strings.Contains(value, "ride"), strings.Contains(value, "have-only"), strings.Contains(value, "through")
			err = nil
		case "cached":
			err = nil
		default:
			err = errors.New("unknown")
		}
		if err != nil || j.rank >= ranks {
			c.rejectCommand("invalid field %q", f)
			return
		}
	}
	var found bool
	j.item.object, found = w.catalog.objectByName(objName)
	valid := found && w.catalog.objects[j.item.object].class == j.class && int(j.item.part) < w.catalog.objects[j.item.object].parts
	if !valid && w.sockets != nil && w.tries[id] == nil { // requested by a client outside the world
		j.item.object, valid = w.catalog.externalObject(objName, j.class, w.faults), true
	}
	if !valid || c.jobs[id] != nil {
		c.rejectCommand("%s: invalid object, class, part or id", fields)
		return
	}
	o := &w.catalog.objects[j.item.object]
	j.object, j.bytes = o, w.catalog.bytes(o)
	if t := w.tries[id]; t != nil && t.request.key != dedupe {
		c.rejectCommand("%s: the request has the key %q", fields, t.request.key)
		return
	}
	if spec := &w.spec.Classes[j.class]; spec.Fresh > 0 && j.maxAge == 0 {
		j.maxAge = spec.Fresh
	}
	c.jobs[id] = j
	c.server.handle(j)
}

// sendReply sends a reply, unless an injected fault truncates or loses it. onComplete
// is called when a reply arrives whole.
func (c *connection) sendReply(text []byte, onComplete func()) {
	w := c.front.w
	if c.isDead() || c.closed {
		return
	}
	switch x := w.faults.Float64(); {
	case x < w.loseShare:
		return
	case x < w.loseShare+w.corruptShare:
		onComplete = func() {}
		text = text[:len(text)/2]
		if w.faults.IntN(2) == 0 {
			text = append([]byte("\x00what is this\r\n"), text...)
		}
	}
	at := max(c.lastToFront, w.departure(toFront, c.server)+w.delay(c.front.zone, c.server))
	if n := len(text); n > 2 && w.faults.IntN(8) == 0 { // it arrives in two segments
		half := 1 + w.faults.IntN(n-1)
		first := text[:half]
		text = text[half:]
		w.loop.At(at, func() { c.deliver(first) })
		at += 200
	}
	c.lastToFront = at
	w.loop.At(at, func() {
		if !c.closed && !c.isDead() {
			onComplete()
		}
		c.deliver(text)
	})
}

func (c *connection) deliver(text []byte) {
	if !c.closed && !c.isDead() {
		c.far.deliver(text)
	}
}
