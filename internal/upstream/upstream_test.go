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
	"cherryramp/internal/seeded"
	"cherryramp/internal/transport"
	"cherryramp/rules"
)

func TestMain(m *testing.M) {
	if err := transport.Setup(slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	seeded.Main(m)
}

const patience = 10 * time.Second

// gate is the gateway's side: it says whether attempts may leave.
type gate struct {
	clear bool
	ended chan ended
}

type ended struct {
	id  string
	end gateway.End
}

func (g *gate) Clear(*gateway.Attempt) (gateway.Micros, bool) { return 0, g.clear }
func (g *gate) End(a *gateway.Attempt, e gateway.End)         { g.ended <- ended{a.Call.ID, e} }

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
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, loop: loop.New(func() {}), gate: &gate{clear: true, ended: make(chan ended, 1000)}, ln: ln}
	r.pools = New(Config{Lanes: []string{"pay"}, Streams: 1000, Connections: connections, ConnectTime: 1_000_000,
		IdleTime: 60_000_000}, NewTCP(r.loop), r.loop, r.gate, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r.srv = &gateway.Server{ID: 1, Name: "s-1", Addr: ln.Addr().String(), State: rules.Ready}
	done := make(chan struct{})
	go func() { r.loop.Run(); close(done) }()
	t.Cleanup(func() { _ = ln.Close(); r.loop.Post(r.loop.Quit); <-done })
	r.on(func() { r.pools.Follow(r.srv) })
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

func (r *rig) await(id string) gateway.End {
	r.t.Helper()
	select {
	case e := <-r.gate.ended:
		if e.id != id {
			r.t.Fatalf("%s ended as %+v, want %s", e.id, e.end, id)
		}
		return e.end
	case <-time.After(patience):
		r.t.Fatalf("%s did not end", id)
		return gateway.End{}
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
	if e := r.await(waiting.Call.ID); e.Code != rules.Moot {
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
	if c := codes[first.Call.ID]; c != rules.Reset && c != rules.Spoilt || codes[cut.Call.ID] != rules.ConnectFailed {
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
	r.on(func() { r.srv.Born = 1; r.pools.Follow(r.srv) })
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
					if e.end.Code != rules.Spoilt {
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
	r.on(func() { r.pools.cfg.Lanes, r.pools.cfg.Alone = []string{"pay", "read"}, []bool{true, false} })
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
			c.since -= muteSpan + 1
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
	r.on(func() { r.pools.cfg.Alone = []bool{true} })
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
