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

// program runs a front's program: the product's gateway, pools and rules in this
// process and in virtual time, or the built program in a process of its own.
type program interface {
	start(known []gateway.Member, purges []gateway.Purge, serving func()) // with the register's contents
	submit(t *try)
	leave(t *try)
	updateMember(m gateway.Member)
	purge(p gateway.Purge)
	registerAnswered()         // the register answered now
	setRegisterDown(down bool) // the register becomes unreachable, or reachable again
	processEvents()
	resources() (calls, kb, descriptors int) // memory and descriptors are 0 where it has no process of its own
	reload()                                 // re-reads its files
	stop(ended func())                       // gracefully: open calls are answered first
	kill()                                   // at once
}

// inProcess is a front's program in this process.
type inProcess struct {
	front  *Front
	gw     *gateway.Gateway
	killed bool
}

// discardLog is the logger of all fronts in this process; their output is not needed.
var discardLog = slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1}))

func newInProcess(f *Front) program { return &inProcess{front: f} }

func (prog *inProcess) start(known []gateway.Member, purges []gateway.Purge, serving func()) {
	f, w := prog.front, prog.front.w
	cfg := gateway.Config{Settings: w.spec.settings(f.zone), Zones: w.spec.zones(), Kinds: serverKinds, Seed: f.seed(),
		LocalCache: gateway.LocalCacheLimits{Bytes: localCacheBytes, Flow: w.spec.Flow, Link: w.spec.Flow * 4}}
	var err error
	if prog.gw, err = gateway.New(cfg, w.loop, discardLog); err != nil {
		panic(err) // the settings are the world's own, and New has validated them
	}
	var lanes []string
	var exclusive, repeatable []bool
	var answerTimeout gateway.Micros
	for _, c := range w.spec.Classes {
		answerTimeout = max(answerTimeout, c.GiveUp)
		lanes, exclusive, repeatable = append(lanes, c.Name), append(exclusive, c.Write), append(repeatable, !c.Write)
	}
	prog.gw.SetUpstream(upstream.New(upstream.Config{Lanes: lanes, Exclusive: exclusive, Streams: streamsPerConn, MaxConns: 8, ConnectTimeout: connectTime,
		IdleTimeout: connIdleTimeout, AnswerTimeout: answerTimeout, Cancel: cfg.Settings.Cancel, Hedges: cfg.Settings.Hedges, Repeatable: repeatable}, prog, w.loop, prog.gw, discardLog))
	prog.gw.Members(true, known)
	for _, p := range purges {
		prog.gw.Purge(p)
	}
	serving()
}

func (prog *inProcess) submit(t *try) {
	req, object := t.request, &t.w.catalog.objects[t.request.object]
	t.call = &gateway.Call{ID: t.id, Class: req.class, Object: objectName(req.object), Part: req.part, HasPart: object.parts > 1, Group: int(object.group),
		Repeat: req.tries > 1, Deadline: t.deadline, Caller: t, Size: t.w.declaredKB(object)}
	if t.w.spec.Classes[req.class].Write {
		t.call.Body = []byte(writeBody)
		t.call.Token = req.key
		if t.w.Mutation == ChangeKeys && req.key != "" {
			t.call.Token += "x"
		}
	}
	prog.gw.Submit(t.call)
}

func (prog *inProcess) leave(t *try)                  { prog.gw.Leave(t.call) }
func (prog *inProcess) updateMember(m gateway.Member) { prog.gw.Members(false, []gateway.Member{m}) }
func (prog *inProcess) purge(p gateway.Purge)         { prog.gw.Purge(p) }
func (prog *inProcess) registerAnswered()             { prog.gw.BoardCurrent(prog.front.w.loop.Now()) }
func (prog *inProcess) setRegisterDown(bool)          {}
func (prog *inProcess) processEvents()                { prog.gw.ProcessEvents() }
func (prog *inProcess) resources() (int, int, int)    { return prog.gw.OpenCalls(), 0, 0 }
func (prog *inProcess) reload()                       {}

// stop sends new clients elsewhere and waits for the open tries.
func (prog *inProcess) stop(ended func()) {
	prog.front.serving = false
	if len(prog.front.tries) == 0 || prog.killed {
		ended()
		return
	}
	prog.front.w.after(10*milli, func() { prog.stop(ended) })
}

func (prog *inProcess) kill() { prog.killed = true }

var errRefused = errors.New("connection refused")
var errTimedOut = errors.New("connection timed out")

// virtualConn is the front's end of a connection in this process.
type virtualConn struct {
	program       *inProcess
	conn          *connection
	handler       upstream.Handler
	buffer        []byte // not yet consumed
	bufferLimit   int
	overflowed    bool
	closeNotified bool // the handler was told of the end
}

// Dial implements upstream.Network.
func (prog *inProcess) Dial(address string, limit int, h upstream.Handler, by Micros, ready func(upstream.Conn, error)) {
	w, s := prog.front.w, prog.front.w.serverByAddr[address]
	delay := w.delay(prog.front.zone, s)
	fail := func(err error) func() {
		return func() {
			if !prog.killed {
				ready(nil, err)
			}
		}
	}
	switch {
	case s != nil && (s.unreachable || w.isCut(s)):
		w.loop.At(by, fail(errTimedOut))
	case s == nil || !s.up:
		w.after(2*delay, fail(errRefused))
	default:
		w.after(2*delay, func() {
			switch {
			case prog.killed:
			case !s.up:
				ready(nil, errRefused)
			default:
				p := &virtualConn{program: prog, handler: h, bufferLimit: limit}
				p.conn = w.connect(prog.front, s, p)
				ready(p, nil)
			}
		})
	}
}

// Send implements upstream.Conn.
func (p *virtualConn) Send(b []byte) (whole bool, err error) {
	if p.conn.closed {
		return false, transport.ErrClosed
	}
	p.conn.receive(bytes.Clone(b))
	return true, nil
}

// Consume implements upstream.Conn.
func (p *virtualConn) Consume(parse func(b []byte) (used int)) {
	n := parse(p.buffer)
	p.buffer = p.buffer[:copy(p.buffer, p.buffer[n:])]
}

// Overflowed implements upstream.Conn.
func (p *virtualConn) Overflowed() bool { return p.overflowed }

// Blocked implements upstream.Conn. A link accepts all bytes, so it is never blocked.
func (p *virtualConn) Blocked() bool { return false }

func (p *virtualConn) CloseIfBlocked() bool { return false }

// Close implements upstream.Conn.
func (p *virtualConn) Close() {
	if !p.conn.closed {
		p.conn.closeByFront()
		p.serverClosed()
	}
}

func (p *virtualConn) serverClosed() {
	p.program.front.w.after(0, func() {
		if !p.closeNotified && !p.program.killed {
			p.closeNotified = true
			p.handler.Closed()
		}
	})
}

func (p *virtualConn) deliver(text []byte) {
	if len(p.buffer)+len(text) > p.bufferLimit {
		p.overflowed = true
	} else {
		p.buffer = append(p.buffer, text...)
	}
	p.handler.Readable()
}

// gatewayPurge is a purge as the register announces it.
func gatewayPurge(p purge) gateway.Purge {
	x := gateway.Purge{Group: int(p.group), At: p.at}
	if p.object >= 0 {
		x.Object = objectName(uint32(p.object))
	}
	return x
}
