package world

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"cherryramp/internal/transport"
	"cherryramp/internal/upstream"
)

var errRefused = errors.New("connection refused")
var errSilent = errors.New("no answer to the connection")

// network is one front's connections. They carry the platform's own lines, byte
// for byte, late by the way between both ends and in order.
type network struct {
	front *Front
}

// wire is one connection.
type wire struct {
	front   *Front
	to      *server
	born    Micros // of the server's process
	h       upstream.Handler
	in      []byte // at the front, not consumed
	limit   int
	flooded bool
	part    []byte // at the server, of a command that is not whole
	there   Micros // when what was sent last arrives
	back    Micros
	open    map[string]*job
	closed  bool // for the front
	told    bool // of it
}

// Dial is part of upstream.Network.
func (n *network) Dial(address string, limit int, h upstream.Handler, by Micros, ready func(upstream.Conn, error)) {
	w, s := n.front.w, n.front.w.at[address]
	way := w.way(n.front.zone, s)
	if s == nil || s.up && !s.silent && !w.cut(s) {
		w.after(2*way, func() {
			switch {
			case n.front.dead:
			case s == nil || !s.up:
				ready(nil, errRefused)
			default:
				c := &wire{front: n.front, to: s, born: s.born, h: h, limit: limit, open: map[string]*job{}}
				s.wires[c] = true
				n.front.wires[c] = true
				ready(c, nil)
			}
		})
		return
	}
	if !s.up && !s.silent {
		w.after(2*way, func() { n.answer(ready, errRefused) })
		return
	}
	w.loop.At(by, func() { n.answer(ready, errSilent) })
}

func (n *network) answer(ready func(upstream.Conn, error), err error) {
	if !n.front.dead {
		ready(nil, err)
	}
}

// Send is part of upstream.Conn.
func (c *wire) Send(p []byte) (whole bool, err error) {
	if c.closed {
		return false, transport.ErrClosed
	}
	w := c.front.w
	text := bytes.Clone(p)
	c.front.left(c, text)
	if !c.dead() {
		c.there = max(c.there, w.loop.Now()+w.way(c.front.zone, c.to))
		w.loop.At(c.there, func() { c.arrive(text) })
	}
	return true, nil
}

// dead tells whether nothing crosses any more, unheard.
func (c *wire) dead() bool {
	return c.to.silent || c.to.born != c.born || !c.to.up || c.front.dead || c.front.w.cut(c.to)
}

// Consume is part of upstream.Conn.
func (c *wire) Consume(parse func(b []byte) (used int)) {
	n := parse(c.in)
	c.in = c.in[:copy(c.in, c.in[n:])]
}

// Flooded is part of upstream.Conn.
func (c *wire) Flooded() bool { return c.flooded }

// Blocked is part of upstream.Conn: a link takes all that it is given.
func (c *wire) Blocked() bool { return false }

// Close is part of upstream.Conn.
func (c *wire) Close() {
	if c.closed {
		return
	}
	c.end()
	w := c.front.w
	if !c.dead() {
		w.after(w.way(c.front.zone, c.to), c.drop)
	}
}

// end has the front told that its connection is over.
func (c *wire) end() {
	c.closed = true
	delete(c.front.wires, c)
	c.front.w.after(0, func() {
		if !c.told && !c.front.dead {
			c.told = true
			c.h.Closed()
		}
	})
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
	if !c.closed && !c.front.dead {
		c.front.w.after(c.front.w.way(c.front.zone, c.to), func() {
			if !c.closed {
				c.end()
			}
		})
	}
}

// arrive takes in what has come to the server.
func (c *wire) arrive(text []byte) {
	if c.dead() || !c.to.wires[c] {
		return
	}
	c.part = append(c.part, text...)
	for {
		line, rest, ok := bytes.Cut(c.part, []byte("\r\n"))
		if !ok {
			return
		}
		words := strings.Fields(string(line))
		switch {
		case len(words) == 2 && words[0] == "cancel":
			if j := c.open[words[1]]; j != nil {
				j.giveUp()
			}
		case len(words) == 4 && words[0] == "serve":
			size, err := strconv.Atoi(words[3])
			if err != nil || size < 0 {
				c.void("length of %q", line)
				return
			}
			if len(rest) < size+2 {
				return
			}
			rest = rest[size+2:]
			c.part = c.part[:copy(c.part, rest)]
			c.serve(words[1], words[2])
			continue
		default:
			c.void("%q is no command", line)
			return
		}
		c.part = c.part[:copy(c.part, rest)]
	}
}

// void tells of a command that no server would take.
func (c *wire) void(format string, args ...any) {
	c.front.w.broken(Form, c.front, fmt.Sprintf(format, args...))
	c.reset()
}

// serve reads a request and has the server take it.
func (c *wire) serve(id, fields string) {
	w := c.front.w
	j := &job{w: w, wire: c, server: c.to, id: id, came: w.loop.Now()}
	for f := range strings.SplitSeq(fields, ",") {
		key, value, _ := strings.Cut(f, "=")
		n, err := strconv.ParseInt(value, 10, 64)
		switch key {
		case "lane":
			j.class = w.class(value)
			err = nil
		case "name":
			var known bool
			if j.item.object, known = w.catalog.named(value); !known {
				c.void("object %q", value)
				return
			}
			err = nil
		case "piece":
			j.item.part = uint16(n)
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
		if err != nil || j.class < 0 || j.rank >= ranks {
			c.void("field %q", f)
			return
		}
	}
	o := &w.catalog.objects[j.item.object]
	if o.class != j.class || int(j.item.part) >= o.parts || c.open[id] != nil {
		c.void("%s: class, part or id", fields)
		return
	}
	j.object, j.bytes = o, w.catalog.bytes(o)
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
	at := max(c.back, w.loop.Now()+w.way(c.front.zone, c.to))
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
	if c.closed || c.dead() {
		return
	}
	if len(c.in)+len(text) > c.limit {
		c.flooded = true
	} else {
		c.in = append(c.in, text...)
	}
	c.h.Readable()
}
