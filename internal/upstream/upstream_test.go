package upstream

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/internal/loopbacktest"
	"cherryramp/internal/seededtest"
	"cherryramp/internal/transport"
	"cherryramp/rules"
)

func TestMain(m *testing.M) {
	if err := transport.Setup(slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	seededtest.Main(m)
}

const patience = 10 * time.Second

// gate is the gateway's side: it says whether attempts may leave.
type gate struct {
	clear bool
	ended chan ended
}

type ended struct {
	id  string
	end gateway.AttemptResult
}

func (g *gate) CanSend(*gateway.Attempt) bool                       { return g.clear }
func (g *gate) PrepareSend(*gateway.Attempt) (gateway.Micros, bool) { return 0, g.clear }
func (g *gate) EndAttempt(a *gateway.Attempt, e gateway.AttemptResult) {
	g.ended <- ended{a.Call.ID, e}
}

// rig is one server's pool on a running loop.
type rig struct {
	t     *testing.T
	loop  *loop.Loop
	gate  *gate
	pools *Pools
	ln    net.Listener
	srv   *gateway.Server
	next  int
}

func newRig(t *testing.T, connections int) *rig {
	t.Helper()
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, loop: loop.New(func() {}), gate: &gate{clear: true, ended: make(chan ended, 1000)}, ln: ln}
	r.pools = New(Config{Lanes: []string{"pay"}, Streams: 1000, MaxConns: connections, ConnectTimeout: 1_000_000,
		IdleTimeout: 60_000_000, Cancel: true}, NewTCP(r.loop), r.loop, r.gate, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r.srv = &gateway.Server{ID: 1, Name: "s-1", Addr: ln.Addr().String(), State: rules.Ready}
	done := make(chan struct{})
	go func() { r.loop.Run(); close(done) }()
	t.Cleanup(func() { _ = ln.Close(); r.loop.Post(r.loop.Quit); <-done })
	r.on(func() { r.pools.ServerChanged(r.srv) })
	return r
}

// on runs something on the loop and waits for it.
func (r *rig) on(f func()) {
	done := make(chan struct{})
	r.loop.Post(func() { f(); close(done) })
	<-done
}

// start starts an attempt with a body of so many bytes.
func (r *rig) start(size int) *gateway.Attempt {
	r.next++
	a := &gateway.Attempt{Server: r.srv, Deadline: r.loop.Now() + 60_000_000,
		Call: &gateway.Call{ID: fmt.Sprintf("%016x", r.next), Object: "x", Body: make([]byte, size)}}
	r.on(func() { r.pools.Start(a) })
	return a
}

func (r *rig) accept() net.Conn {
	r.t.Helper()
	_ = r.ln.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	c, err := r.ln.Accept()
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return c
}

func (r *rig) await(id string) gateway.AttemptResult {
	r.t.Helper()
	select {
	case e := <-r.gate.ended:
		if e.id != id {
			r.t.Fatalf("%s ended as %+v, want %s", e.id, e.end, id)
		}
		return e.end
	case <-time.After(patience):
		r.t.Fatalf("%s did not end", id)
		return gateway.AttemptResult{}
	}
}

// fill starts attempts until the socket takes no more, and goes on taking none: the
// other side's buffer may grow for a while. The last is cut short.
func (r *rig) fill() (last *gateway.Attempt) {
	partial := func() (a *gateway.Attempt) {
		r.on(func() {
			for _, c := range r.pools.pools[r.srv.ID].conns {
				a = c.partial
			}
		})
		return a
	}
	for up := false; !up; time.Sleep(time.Millisecond) { // else all would wait for the connection, and go out together
		r.on(func() { up = len(r.pools.where) > 0 })
	}
	for r.next <= 2000 {
		last = r.start(48_000)
		for same := 0; partial() == last; time.Sleep(time.Millisecond) {
			if same++; same == 100 {
				return last
			}
		}
	}
	r.t.Fatal("the socket never fills")
	return nil
}

// Guards against what waited behind a full socket leaving once it may not: it
// must be asked for again, and be ended as never sent.
func TestFullSocketIsClearedAgain(t *testing.T) {
	r := newRig(t, 1)
	r.start(10)
	c := r.accept()
	r.fill()
	waiting := r.start(10)
	r.on(func() { r.gate.clear = false })
	rest := make(chan string)
	go func() { // the node reads again; the cut command still comes whole
		var ids []string
		for b := bufio.NewReader(c); len(ids) < r.next-1; {
			line, err := b.ReadString('\n')
			if err != nil {
				break
			}
			if words := strings.Fields(line); len(words) == 4 {
				ids = append(ids, words[1])
			}
		}
		rest <- strings.Join(ids, " ")
	}()
	if e := r.await(waiting.Call.ID); e.Code != rules.NotSent {
		t.Errorf("ended as %d, want never sent", e.Code)
	}
	if ids := <-rest; strings.Contains(ids, waiting.Call.ID) || strings.Count(ids, " ") != r.next-2 {
		t.Errorf("the node got %d commands of %d", strings.Count(ids, " ")+1, r.next-1)
	}
}

// Guards against a payout that is failed though it can't have run, or repeated
// though it may have: only what was never written whole is proof.
func TestResetWithAFullSocket(t *testing.T) {
	r := newRig(t, 1)
	first := r.start(10)
	c := r.accept()
	cut := r.fill()
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	codes := map[string]rules.Code{}
	for range r.next {
		select {
		case e := <-r.gate.ended:
			codes[e.id] = e.end.Code
		case <-time.After(patience):
			t.Fatalf("%d of %d ended", len(codes), r.next)
		}
	}
	if c := codes[first.Call.ID]; c != rules.Reset && c != rules.ConnectionBroken || codes[cut.Call.ID] != rules.ConnectFailed {
		t.Errorf("whole: %d, cut short: %d", codes[first.Call.ID], codes[cut.Call.ID])
	}
}

func TestRefusedConnectProvesThatNothingRan(t *testing.T) {
	r := newRig(t, 2)
	_ = r.ln.Close()
	a := r.start(10)
	if e := r.await(a.Call.ID); e.Code != rules.ConnectFailed {
		t.Errorf("ended as %d", e.Code)
	}
}

// Guards against attempts that go to the connections of a process that is no
// more, after its server started anew at the same address, and against old connections
// that keep new ones from being opened.
func TestRestartGetsNewConnections(t *testing.T) {
	r := newRig(t, 1)
	a := r.start(10)
	old := r.accept()
	if _, err := bufio.NewReader(old).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	r.on(func() { r.srv.StartedAt = 1; r.pools.ServerChanged(r.srv) })
	b := r.start(10)
	fresh := r.accept()
	if line, err := bufio.NewReader(fresh).ReadString('\n'); err != nil || !strings.Contains(line, b.Call.ID) {
		t.Errorf("the new connection got %q, %v", line, err)
	}
	// What is open on the old one may still be answered; then it is closed.
	_, _ = fmt.Fprintf(old, "%s ok - 0\r\n\r\n", a.Call.ID)
	if e := r.await(a.Call.ID); e.Code != rules.OK {
		t.Errorf("ended as %d", e.Code)
	}
	if _, err := io.Copy(io.Discard, old); err != nil {
		t.Errorf("the old connection: %v", err)
	}
}

// readUntil reads what the front sends until a word has come.
func readUntil(t *testing.T, c net.Conn, word string) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	var all []byte
	for buf := make([]byte, 4096); !strings.Contains(string(all), word); {
		n, err := c.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, buf[:n]...)
	}
}

// Guards against a connection that goes on being used once an answer on it was
// spoilt, came without end or stopped short: all that is open there may have run,
// and its node is not held to be sick for it.
func TestSpoiltAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"noise":      "\x00\x80 what is this\r\n",
		"endless":    "%s ok - 3000000000\r\nabc",
		"too long":   "%s ok - 240001\r\nabc",
		"no line":    strings.Repeat("a", maxLine),
		"wrong size": "%s ok - 1\r\nabc\r\n",
		"tag":        "%s ok sum=\" 0\r\n\r\n",
		"unasked":    "%s current sum=t 0\r\n\r\n",
		"stalled":    "%s ok - 100\r\nabc",
		"broken off": "%s ok - 100\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1)
			a, b := r.start(10), r.start(10)
			c := r.accept()
			readUntil(t, c, b.Call.ID) // nothing is answered before it was asked
			_, _ = io.WriteString(c, strings.Replace(text, "%s", a.Call.ID, 1))
			if name == "broken off" {
				_ = c.(*net.TCPConn).CloseWrite()
			}
			for range 2 {
				select {
				case e := <-r.gate.ended:
					if e.end.Code != rules.ConnectionBroken {
						t.Errorf("%s ended as %d", e.id, e.end.Code)
					}
				case <-time.After(patience):
					t.Fatal("an attempt stays open")
				}
			}
			if _, err := io.Copy(io.Discard, c); os.IsTimeout(err) {
				t.Error("the connection stays open")
			}
			r.on(func() {
				if len(r.pools.where) > 0 {
					t.Errorf("%d attempts are still booked; %s and %s ended", len(r.pools.where), a.Call.ID, b.Call.ID)
				}
			})
		})
	}
}

// Guards against extras that spoil a good answer: an unknown id ahead and a
// second copy are passed over, and the connection stays.
func TestExtraAnswersArePassedOver(t *testing.T) {
	r := newRig(t, 1)
	a := r.start(10)
	c := r.accept()
	_, _ = fmt.Fprintf(c, "ffff ok - 3\r\nxyz\r\n%[1]s ok - 2\r\nab\r\n%[1]s ok - 2\r\nab\r\n", a.Call.ID)
	if e := r.await(a.Call.ID); e.Code != rules.OK || string(e.Answer.Body) != "ab" {
		t.Errorf("ended as %+v", e)
	}
	b := r.start(10)
	_, _ = fmt.Fprintf(c, "%s refused - 0\r\n\r\n", b.Call.ID)
	if e := r.await(b.Call.ID); e.Code != rules.Full {
		t.Errorf("ended as %+v", e)
	}
}

// Guards against a payout that has to be failed because a read's answer on the
// same connection was spoilt.
func TestPayoutsShareNoConnection(t *testing.T) {
	r := newRig(t, 3)
	r.on(func() { r.pools.cfg.Lanes, r.pools.cfg.Exclusive = []string{"pay", "read"}, []bool{true, false} })
	r.start(10)
	one := r.accept()
	pay := r.start(10)
	two := r.accept()
	_, _ = io.WriteString(one, "noise\n")
	<-r.gate.ended
	_, _ = fmt.Fprintf(two, "%s ok - 0\r\n\r\n", pay.Call.ID)
	if e := r.await(pay.Call.ID); e.Code != rules.OK {
		t.Errorf("ended as %d", e.Code)
	}
}

// Guards against new attempts on a connection that has fallen silent with
// something open: they get another one.
func TestSilentConnectionTakesNothingNew(t *testing.T) {
	r := newRig(t, 2)
	r.start(10)
	if _, err := bufio.NewReader(r.accept()).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	r.on(func() {
		for _, c := range r.pools.pools[1].conns {
			c.since -= silentLeast + 1
		}
	})
	b := r.start(10)
	if line, err := bufio.NewReader(r.accept()).ReadString('\n'); err != nil || !strings.Contains(line, b.Call.ID) {
		t.Errorf("the new connection got %q, %v", line, err)
	}
}

// Guards against a payout on a connection that has stood idle: a node may have
// reset it, and then nobody can tell whether it ran. There is one place, so the
// idle connection makes room.
func TestPayoutsGetAFreshConnection(t *testing.T) {
	r := newRig(t, 1)
	r.on(func() { r.pools.cfg.Exclusive = []bool{true} })
	a := r.start(10)
	old := r.accept()
	_, _ = fmt.Fprintf(old, "%s ok - 0\r\n\r\n", a.Call.ID)
	r.await(a.Call.ID)
	r.on(func() { r.pools.pools[1].conns[0].since -= freshSpan + 1 })
	b := r.start(10)
	fresh := r.accept()
	_, _ = fmt.Fprintf(fresh, "%s ok - 0\r\n\r\n", b.Call.ID)
	if e := r.await(b.Call.ID); e.Code != rules.OK {
		t.Errorf("ended as %d", e.Code)
	}
	if _, err := io.Copy(io.Discard, old); os.IsTimeout(err) {
		t.Error("the idle connection stays open")
	}
}

// again starts a further attempt of a call.
func (r *rig) again(a *gateway.Attempt) *gateway.Attempt {
	b := &gateway.Attempt{Server: r.srv, Deadline: a.Deadline, Call: a.Call}
	r.on(func() { r.pools.Start(b) })
	return b
}

// Guards against a payout that runs twice because a second answer to its first attempt,
// some ms late, is taken for the answer to its next one: answers name ids alone, so the
// next attempt must not share the connection. There is one place; it is made.
func TestSecondAnswerIsNotTheNextAttempts(t *testing.T) {
	r := newRig(t, 1)
	a := r.start(10)
	old := r.accept()
	readUntil(t, old, a.Call.ID)
	_, _ = fmt.Fprintf(old, "%s refused - 0\r\n\r\n", a.Call.ID)
	if e := r.await(a.Call.ID); e.Code != rules.Full {
		t.Fatalf("ended as %+v", e)
	}
	r.again(a)
	_, _ = fmt.Fprintf(old, "%s refused - 0\r\n\r\n", a.Call.ID) // the late one
	fresh := r.accept()
	readUntil(t, fresh, a.Call.ID)
	_, _ = fmt.Fprintf(fresh, "%s ok - 0\r\n\r\n", a.Call.ID)
	if e := r.await(a.Call.ID); e.Code != rules.OK {
		t.Errorf("ended as %+v", e)
	}
}

// Guards against handshakes for each look that missed: a read that may be out twice goes
// again where it was, also at a server with one connection.
func TestReadsGoAgainOnTheirConnection(t *testing.T) {
	r := newRig(t, 1)
	r.on(func() { r.pools.cfg.Hedges, r.pools.cfg.Repeatable = true, []bool{true} })
	a := r.start(10)
	c := r.accept()
	for range 3 {
		readUntil(t, c, a.Call.ID)
		_, _ = fmt.Fprintf(c, "%s nothing - 0\r\n\r\n", a.Call.ID)
		r.await(a.Call.ID)
		r.again(a)
	}
	readUntil(t, c, a.Call.ID)
}

// Guards against one attempt that no connection suits, since its id was given up on the
// only one, holding up all that waits behind it.
func TestBarredAttemptHoldsUpNobody(t *testing.T) {
	r := newRig(t, 1)
	a := r.start(10)
	old := r.accept()
	readUntil(t, old, a.Call.ID)
	keep := r.start(10) // so that the connection stays
	readUntil(t, old, keep.Call.ID)
	r.on(func() { r.pools.Stop(a) })
	r.again(a)
	fresh := r.accept()
	readUntil(t, fresh, a.Call.ID)
	b := r.start(10)
	readUntil(t, fresh, b.Call.ID)
	// Where its id was on all that there may be, it is ended as never sent, so that it can go elsewhere.
	r.on(func() { r.pools.Stop(b) })
	r.again(b)
	if e := r.await(b.Call.ID); e.Code != rules.NotSent {
		t.Errorf("ended as %+v", e)
	}
}

// Guards against what waits for a connection to a server that drains: it is ended as
// never sent at once, and not when the connection is up or its time is out. One that comes up
// after its server has gone is closed.
func TestWaitingLeavesADrainingServer(t *testing.T) {
	for _, state := range []rules.MemberState{rules.Draining, rules.Gone} {
		r := newRig(t, 1)
		net := &held{made: make(chan func(), 1)}
		r.on(func() { r.pools.net = net })
		a := r.start(10)
		up := <-net.made
		r.on(func() {
			r.gate.clear = false
			r.srv.State = state
			r.pools.ServerChanged(r.srv)
		})
		if e := r.await(a.Call.ID); e.Code != rules.NotSent {
			t.Errorf("ended as %+v", e)
		}
		r.on(up)
		r.on(func() {
			if closed := net.closed; closed != (state == rules.Gone) {
				t.Errorf("state %d: the late connection is closed: %v", state, closed)
			}
		})
	}
}

// held is a network on which a connection comes up when the test says so, takes nothing
// whole if the test wants, and has what came from the test.
type held struct {
	made    chan func()
	partial bool // takes nothing whole
	full    bool // has been sent something since
	waits   bool // what it did not take still waits
	closed  bool
	came    string
}

func (n *held) Dial(_ string, _ int, _ Handler, _ gateway.Micros, ready func(Conn, error)) {
	n.made <- func() { ready(n, nil) }
}

func (n *held) Send([]byte) (bool, error) { n.full = n.partial; return !n.partial, nil }
func (n *held) Consume(f func(b []byte) int) {
	n.came = n.came[f([]byte(n.came)):]
}
func (n *held) Overflowed() bool     { return false }
func (n *held) Blocked() bool        { return n.full }
func (n *held) CloseIfBlocked() bool { n.closed = n.closed || n.waits; return n.waits }
func (n *held) Close()               { n.closed = true }

// Guards against a payout that runs twice because its socket took the rest of it in the very
// moment in which it was given up, or in which its connection was spoilt: only bytes that surely never
// leave prove that it has not run.
func TestRestThatHasJustLeftIsNoProof(t *testing.T) {
	for _, waits := range []bool{true, false} {
		for _, spoilt := range []bool{true, false} {
			r := newRig(t, 1)
			net := &held{made: make(chan func(), 1), partial: true}
			r.on(func() { r.pools.net = net })
			a := r.start(10)
			r.on(<-net.made)
			r.on(func() {
				net.waits = waits
				if spoilt {
					net.came = "noise\n"
					r.pools.pools[1].conns[0].Readable()
				} else if sent := r.pools.Stop(a); sent == waits {
					t.Errorf("the rest waits %v: sent whole %v", waits, sent)
				}
				if waits && !net.closed {
					t.Error("the rest may still leave")
				}
			})
			if !spoilt {
				continue
			}
			want := rules.ConnectionBroken
			if waits {
				want = rules.ConnectFailed
			}
			if e := r.await(a.Call.ID); e.Code != want {
				t.Errorf("the rest waits %v: ended as %d", waits, e.Code)
			}
		}
	}
}

// Guards against a word that the settings do not allow: what is given up is let go.
func TestNothingIsCancelledWhereThatIsNotAllowed(t *testing.T) {
	r := newRig(t, 1)
	r.on(func() { r.pools.cfg.Cancel = false })
	a := r.start(10)
	c := r.accept()
	readUntil(t, c, a.Call.ID)
	r.on(func() {
		if !r.pools.Stop(a) {
			t.Error("it was sent")
		}
	})
	b := r.start(10)
	var told []string
	for in := bufio.NewReader(c); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if told = append(told, line); strings.HasPrefix(line, "serve "+b.Call.ID) {
			break
		}
	}
	if all := strings.Join(told, ""); strings.Contains(all, "cancel") {
		t.Errorf("the node was told %q", all)
	}
}

// Guards against answers that came together being taken for a flood, and all that is open
// on their connection being lost with them: as many may come before the loop looks as were
// asked for there.
func TestAnswersThatComeTogetherAreNoFlood(t *testing.T) {
	const many = 12
	r := newRig(t, 1)
	r.on(func() { r.pools.cfg.InputBuffer = many * MaxAnswerBytes })
	var asked []*gateway.Attempt
	for range many {
		asked = append(asked, r.start(10))
	}
	c := r.accept()
	readUntil(t, c, asked[many-1].Call.ID)
	var tc *transport.Conn
	r.on(func() { tc = r.pools.pools[1].conns[0].tc.(*transport.Conn) })
	busy, goOn := make(chan struct{}), make(chan struct{})
	r.loop.Post(func() { close(busy); <-goOn }) // the loop is busy elsewhere
	<-busy
	body := strings.Repeat("x", maxBody)
	sent := 0
	for _, a := range asked {
		n, err := fmt.Fprintf(c, "%s ok - %d\r\n%s\r\n", a.Call.ID, maxBody, body)
		if sent += n; err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(patience); tc.BytesReceived() < int64(sent); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d bytes came", tc.BytesReceived(), sent)
		}
	}
	close(goOn)
	for range asked {
		if e := <-r.gate.ended; e.end.Code != rules.OK || len(e.end.Answer.Body) != maxBody {
			t.Fatalf("%s ended as %d with %d bytes", e.id, e.end.Code, len(e.end.Answer.Body))
		}
	}
}

// Guards against descriptors that run out on connections to nodes, so that the notice board
// can't be reached: all together are bounded. An attempt at one node more is ended as never sent, and
// the connection that was idle for longest makes room for the next.
func TestConnectionsToAllNodesAreBounded(t *testing.T) {
	r := newRig(t, 1)
	r.on(func() { r.pools.cfg.MaxTotalConns = 2 })
	var first net.Conn
	for i := range 2 {
		if i > 0 {
			r.on(func() {
				r.srv = &gateway.Server{ID: rules.ServerID(i + 1), Name: fmt.Sprint("s-", i+1), Addr: r.srv.Addr, State: rules.Ready}
				r.pools.ServerChanged(r.srv)
			})
		}
		a := r.start(10)
		c := r.accept()
		if i == 0 {
			first = c
		}
		_, _ = fmt.Fprintf(c, "%s ok - 0\r\n\r\n", a.Call.ID)
		r.await(a.Call.ID)
	}
	r.on(func() {
		r.srv = &gateway.Server{ID: 3, Name: "s-3", Addr: r.srv.Addr, State: rules.Ready}
		r.pools.ServerChanged(r.srv)
	})
	a := r.start(10)
	if e := r.await(a.Call.ID); e.Code != rules.NotSent {
		t.Errorf("ended as %+v", e)
	}
	if _, err := io.Copy(io.Discard, first); os.IsTimeout(err) {
		t.Error("the oldest idle connection stays open")
	}
	for held := 2; held == 2; time.Sleep(time.Millisecond) {
		r.on(func() { held = r.pools.Connections() })
	}
	b := r.start(10)
	_, _ = fmt.Fprintf(r.accept(), "%s ok - 0\r\n\r\n", b.Call.ID)
	if e := r.await(b.Call.ID); e.Code != rules.OK {
		t.Errorf("ended as %+v", e)
	}
}
