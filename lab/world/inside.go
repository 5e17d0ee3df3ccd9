package world

import (
	"bytes"
	"errors"
	"io"
	"log/slog"

	"cherryramp/internal/gateway"
	"cherryramp/internal/transport"
	"cherryramp/internal/upstream"
)

// program is a front's program: the product's gateway, pools and rules in this
// process and in virtual time, or the built one in a process of its own.
type program interface {
	begin(known []gateway.Member, purges []gateway.Purge, serving func()) // with what the register holds
	submit(a *ask)
	leave(a *ask)
	member(m gateway.Member)
	purge(p gateway.Purge)
	heard()         // the register answers at this moment
	mute(mute bool) // it can't be reached, or can again
	settle()
	held() (calls, kb, descriptors int) // 0 where it has no process of its own
	reload()                            // its files
	retire(ended func())                // in order: what is open is answered first
	end()                               // at once, as if killed
}

// inside is a front's program in this process.
type inside struct {
	f     *Front
	gate  *gateway.Gateway
	ended bool
}

// quiet is the log of all fronts: what they have to say is in the history.
var quiet = slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1}))

func newInside(f *Front) program { return &inside{f: f} }

func (x *inside) begin(known []gateway.Member, purges []gateway.Purge, serving func()) {
	f, w := x.f, x.f.w
	cfg := gateway.Config{Settings: w.spec.settings(f.zone), Zones: w.spec.zones(), Kinds: kinds, Seed: f.seed(),
		LocalCache: gateway.LocalCacheLimits{Bytes: ownCopies, Flow: w.spec.Flow, Link: w.spec.Flow * 4}}
	var err error
	if x.gate, err = gateway.New(cfg, w.loop, quiet); err != nil {
		panic(err) // the settings are the world's own, and New has tried them
	}
	var lanes []string
	var alone, repeat []bool
	for _, c := range w.spec.Classes {
		lanes, alone, repeat = append(lanes, c.Name), append(alone, c.Write), append(repeat, !c.Write)
	}
	x.gate.SetUpstream(upstream.New(upstream.Config{Lanes: lanes, Exclusive: alone, Streams: streams, MaxConns: 8, ConnectTimeout: connectTime,
		IdleTimeout: connIdle, Cancel: cfg.Settings.Cancel, Hedges: cfg.Settings.Hedges, Repeatable: repeat}, x, w.loop, x.gate, quiet))
	x.gate.Members(true, known)
	for _, p := range purges {
		x.gate.Purge(p)
	}
	serving()
}

func (x *inside) submit(a *ask) {
	o, object := a.op, &a.w.catalog.objects[a.op.object]
	a.call = &gateway.Call{ID: a.id, Class: o.class, Object: name(o.object), Part: o.part, HasPart: object.parts > 1, Group: int(object.group),
		Repeat: o.tries > 1, Deadline: a.until, Caller: a, Size: a.w.told(object)}
	if a.w.spec.Classes[o.class].Write {
		a.call.Body = []byte(payment)
		a.call.Token = o.key
		if a.w.Mutation == ChangeKeys && o.key != "" {
			a.call.Token += "x"
		}
	}
	x.gate.Submit(a.call)
}

func (x *inside) leave(a *ask)            { x.gate.Leave(a.call) }
func (x *inside) member(m gateway.Member) { x.gate.Members(false, []gateway.Member{m}) }
func (x *inside) purge(p gateway.Purge)   { x.gate.Purge(p) }
func (x *inside) heard()                  { x.gate.BoardAnswered() }
func (x *inside) mute(bool)               {}
func (x *inside) settle()                 { x.gate.ProcessEvents() }
func (x *inside) held() (int, int, int)   { return x.gate.OpenCalls(), 0, 0 }
func (x *inside) reload()                 {}

// retire has clients go elsewhere and waits for what is open.
func (x *inside) retire(ended func()) {
	x.f.serves = false
	if len(x.f.open) == 0 || x.ended {
		ended()
		return
	}
	x.f.w.after(10*milli, func() { x.retire(ended) })
}

func (x *inside) end() { x.ended = true }

var errRefused = errors.New("connection refused")
var errSilent = errors.New("no answer to the connection")

// pipe is a connection's end at a front in this process.
type pipe struct {
	x       *inside
	wire    *wire
	h       upstream.Handler
	in      []byte // not consumed
	limit   int
	flooded bool
	told    bool // that it is over
}

// Dial is part of upstream.Network.
func (x *inside) Dial(address string, limit int, h upstream.Handler, by Micros, ready func(upstream.Conn, error)) {
	w, s := x.f.w, x.f.w.at[address]
	way := w.way(x.f.zone, s)
	fail := func(err error) func() {
		return func() {
			if !x.ended {
				ready(nil, err)
			}
		}
	}
	switch {
	case s != nil && (s.silent || w.cut(s)):
		w.loop.At(by, fail(errSilent))
	case s == nil || !s.up:
		w.after(2*way, fail(errRefused))
	default:
		w.after(2*way, func() {
			switch {
			case x.ended:
			case !s.up:
				ready(nil, errRefused)
			default:
				p := &pipe{x: x, h: h, limit: limit}
				p.wire = w.connect(x.f, s, p)
				ready(p, nil)
			}
		})
	}
}

// Send is part of upstream.Conn.
func (p *pipe) Send(b []byte) (whole bool, err error) {
	if p.wire.closed {
		return false, transport.ErrClosed
	}
	p.wire.sent(bytes.Clone(b))
	return true, nil
}

// Consume is part of upstream.Conn.
func (p *pipe) Consume(parse func(b []byte) (used int)) {
	n := parse(p.in)
	p.in = p.in[:copy(p.in, p.in[n:])]
}

// Flooded is part of upstream.Conn.
func (p *pipe) Overflowed() bool { return p.flooded }

// Blocked is part of upstream.Conn: a link takes all that it is given.
func (p *pipe) Blocked() bool { return false }

func (p *pipe) CloseIfBlocked() bool { return false }

// Close is part of upstream.Conn.
func (p *pipe) Close() {
	if !p.wire.closed {
		p.wire.shut()
		p.lost()
	}
}

func (p *pipe) lost() {
	p.x.f.w.after(0, func() {
		if !p.told && !p.x.ended {
			p.told = true
			p.h.Closed()
		}
	})
}

func (p *pipe) deliver(text []byte) {
	if len(p.in)+len(text) > p.limit {
		p.flooded = true
	} else {
		p.in = append(p.in, text...)
	}
	p.h.Readable()
}

// purgeOf is a purge as the register tells of it.
func purgeOf(p purge) gateway.Purge {
	x := gateway.Purge{Group: int(p.group), At: p.at}
	if p.object >= 0 {
		x.Object = name(uint32(p.object))
	}
	return x
}
