package world

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// farEnd is a connection's end at its front.
type farEnd interface {
	deliver(text []byte) // has come from the server
	lost()               // the server has ended the connection
}

// wire is one connection as its server has it. It carries the platform's own
// lines, byte for byte, late by the way between both ends and in order.
type wire struct {
	front  *Front
	to     *server
	born   Micros // of the server's process
	far    farEnd
	part   []byte // of a command that is not whole
	there  Micros // when what was sent last arrives
	back   Micros
	open   map[string]*job
	closed bool // at the front
}

// command is one that a front sends.
type command struct{ words []string }

// connect makes a connection between a front and a server that is up.
func (w *World) connect(f *Front, s *server, far farEnd) *wire {
	c := &wire{front: f, to: s, born: s.born, far: far, open: map[string]*job{}}
	s.wires[c] = true
	f.wires[c] = true
	return c
}

// dead tells whether nothing crosses any more, unheard.
func (c *wire) dead() bool {
	return c.to.silent || c.to.born != c.born || !c.to.up || c.front.dead || c.front.w.cut(c.to)
}

// sent takes bytes in as they leave the front.
func (c *wire) sent(text []byte) {
	c.part = append(c.part, text...)
	for !c.closed {
		x, used, err := cutCommand(c.part)
		if err != nil {
			c.void("%v", err)
			return
		}
		if used == 0 {
			return
		}
		c.part = c.part[:copy(c.part, c.part[used:])]
		c.front.left(c, x)
		if !c.dead() {
			w := c.front.w
			c.there = max(c.there, w.leaves(there, c.to)+w.way(c.front.zone, c.to))
			w.loop.At(c.there, func() { c.arrive(x) })
		}
	}
}

// cutCommand reads one command from the front of b; 0 are used while it is not
// whole.
func cutCommand(b []byte) (x command, used int, err error) {
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
			return x, 0, fmt.Errorf("length of %q", line)
		}
		if used += size + 2; len(b) < used {
			return x, 0, nil
		}
	default:
		return x, 0, fmt.Errorf("%q is no command", line)
	}
	return x, used, nil
}

// shut is the front's end of the connection.
func (c *wire) shut() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.front.wires, c)
	if !c.dead() {
		w := c.front.w
		w.after(w.way(c.front.zone, c.to), c.drop)
	}
}

// drop ends the connection at the server; all that is open on it is given up.
func (c *wire) drop() {
	delete(c.to.wires, c)
	for _, id := range sorted(c.open) {
		c.open[id].giveUp()
	}
}

// reset is an end that the server's side brings.
func (c *wire) reset() {
	c.drop()
	if c.closed || c.front.dead {
		return
	}
	c.front.w.after(c.front.w.way(c.front.zone, c.to), func() {
		if !c.closed {
			c.closed = true
			delete(c.front.wires, c)
			c.far.lost()
		}
	})
}

// arrive takes in a command that has come to the server.
func (c *wire) arrive(x command) {
	if c.dead() || !c.to.wires[c] {
		return
	}
	if x.words[0] == "serve" {
		c.serve(x.words[1], x.words[2])
	} else if j := c.open[x.words[1]]; j != nil {
		j.giveUp()
	}
}

// void tells of a command that no server would take.
func (c *wire) void(format string, args ...any) {
	c.front.w.broken(ValidCommands, c.front, fmt.Sprintf(format, args...))
	c.reset()
}

// serve reads a request and has the server take it.
func (c *wire) serve(id, fields string) {
	w := c.front.w
	j := &job{w: w, wire: c, server: c.to, id: id, came: w.loop.Now()}
	called, dedupe := "", ""
	for f := range strings.SplitSeq(fields, ",") {
		key, value, _ := strings.Cut(f, "=")
		n, err := strconv.ParseInt(value, 10, 64)
		switch key {
		case "lane":
			if j.class = w.class(value); j.class < 0 {
				c.void("class %q", value)
				return
			}
			err = nil
		case "name":
			called, err = value, nil
		case "piece":
			j.item.part = uint16(n)
		case "dedupe":
			dedupe, err = value, nil
		case "ttl":
			j.until = j.came + n*milli
		case "next":
			if j.source = w.by[value]; j.source == nil {
				c.void("source %q", value)
				return
			}
			err = nil
		case "admit":
			j.rank = uint8(n)
		case "agelim":
			j.age = n * milli
		case "ways":
			j.ride, j.haveOnly, j.through = strings.Contains(value, "ride"), strings.Contains(value, "have-only"), strings.Contains(value, "through")
			err = nil
		case "cached":
			err = nil
		default:
			err = errors.New("unknown")
		}
		if err != nil || j.rank >= ranks {
			c.void("field %q", f)
			return
		}
	}
	var known bool
	j.item.object, known = w.catalog.named(called)
	fits := known && w.catalog.objects[j.item.object].class == j.class && int(j.item.part) < w.catalog.objects[j.item.object].parts
	if !fits && w.sockets != nil && w.asks[id] == nil { // somebody outside the world asks
		j.item.object, fits = w.catalog.adopt(called, j.class, w.faults), true
	}
	if !fits || c.open[id] != nil {
		c.void("%s: object, class, part or id", fields)
		return
	}
	o := &w.catalog.objects[j.item.object]
	j.object, j.bytes = o, w.catalog.bytes(o)
	if a := w.asks[id]; a != nil && a.op.key != dedupe {
		c.void("%s: its key is %q", fields, a.op.key)
		return
	}
	if spec := &w.spec.Classes[j.class]; spec.Fresh > 0 && j.age == 0 {
		j.age = spec.Fresh
	}
	c.open[id] = j
	c.to.take(j)
}

// reply sends an answer. Some are spoilt or lost, where the world has it so. Where
// one comes whole, whole is called.
func (c *wire) reply(text []byte, whole func()) {
	w := c.front.w
	if c.dead() || c.closed {
		return
	}
	switch x := w.faults.Float64(); {
	case x < w.lost:
		return
	case x < w.lost+w.spoilt:
		whole = func() {}
		text = text[:len(text)/2]
		if w.faults.IntN(2) == 0 {
			text = append([]byte("\x00what is this\r\n"), text...)
		}
	}
	at := max(c.back, w.leaves(back, c.to)+w.way(c.front.zone, c.to))
	if n := len(text); n > 2 && w.faults.IntN(8) == 0 { // it comes in two pieces
		half := 1 + w.faults.IntN(n-1)
		first := text[:half]
		text = text[half:]
		w.loop.At(at, func() { c.deliver(first) })
		at += 200
	}
	c.back = at
	w.loop.At(at, func() {
		if !c.closed && !c.dead() {
			whole()
		}
		c.deliver(text)
	})
}

func (c *wire) deliver(text []byte) {
	if !c.closed && !c.dead() {
		c.far.deliver(text)
	}
}
