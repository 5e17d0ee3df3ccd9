package fleet

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cherryramp/internal/fleet"
)

// hard is a fleet on which hard cases are played one after the other.
type hard struct {
	*Processes
	t *testing.T
}

// other is a front that is none of these.
func (h hard) other(not ...*Process) *Process {
	for _, p := range h.List {
		free := true
		for _, q := range not {
			free = free && p != q
		}
		if free {
			return p
		}
	}
	h.t.Fatal("no other front")
	return nil
}

// leader waits for one.
func (h hard) leader() (l *Process) {
	h.t.Helper()
	await(h.t, "there is a leader", func() bool { l = h.Leader(); return l != nil })
	return l
}

// ask asks for a work, again where the fleet has no word just now.
func (h hard) ask(at, target *Process) (id uint64) {
	h.t.Helper()
	await(h.t, "the work is asked for", func() (ok bool) {
		var err error
		id, err = at.RequestOperation(fleet.OperationRequest{Machine: target.Name, SpanS: 30})
		return err == nil
	})
	return id
}

func (h hard) order(at *Process, call string) {
	h.t.Helper()
	await(h.t, call, func() bool { return at.Call("FLEET WORK "+call, nil) == nil })
}

// finish ends a work and waits until the fleet is whole.
func (h hard) finish(at *Process, id uint64, machine string) {
	h.t.Helper()
	h.order(at, fmt.Sprint("DONE ", id))
	await(h.t, "it comes back", func() bool { return phase(at, machine) == "" })
	h.whole()
}

func (h hard) whole() {
	h.t.Helper()
	if Await(within, h.Settled) != nil {
		h.t.Fatalf("the fleet is not whole:\n%s", h.StatusReport())
	}
}

// mostOut follows how many fronts are out by permit at once, until told to end.
func (h hard) mostOut() (end func() int) {
	stop, done, most := make(chan struct{}), make(chan struct{}), 0
	go func() {
		defer close(done)
		for {
			n := 0
			for _, p := range h.List {
				if p.Up() && !p.Stopped() {
					if s, err := p.Status(); err == nil && s.OutByPermit > 0 {
						n++
					}
				}
			}
			most = max(most, n)
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() int { close(stop); <-done; return most }
}

// The hard cases of a permit and of the council, on five started fronts in three
// zones under requests: none is lost but under a crash, never are two out at once.
func TestHardCases(t *testing.T) {
	t.Parallel() // after all that plays in virtual time, whose random source is the process's
	h := hard{started(t, Options{Fronts: 5, Zones: 3, Seed: 2, UseProxies: true}), t}
	clients := NewClients(h.Processes, 30)
	most := h.mostOut()
	for _, x := range []struct {
		name string
		play func(h hard)
	}{
		{"stopped with leave in hand", stoppedWithLeave},
		{"the leader dies as leave is given", leaderDies},
		{"cut off at that moment, one way", cutOff},
		{"asked twice at two fronts", askedTwice},
		{"a whole hub asked for at once while one dies", wholeHub},
		{"a person's rejoin goes before the permit", rejoinByHand},
		{"a machine that never comes back", neverBack},
		{"a box, and a front that can't be reached", boxAndUnreached},
		{"wiped under its old name while a voter is down", wiped},
		{"a bridge", bridge},
		{"a zone lost at once", zoneLost},
		{"a pair that only hear each other", pair},
		{"all restarted at once, one with a torn end", allAtOnce},
		{"a corrupt journal does not join", corrupt},
	} {
		if !t.Run(x.name, func(t *testing.T) { x.play(hard{h.Processes, t}) }) {
			break
		}
	}
	if n := most(); n > 1 {
		t.Errorf("%d fronts were out at once", n)
	}
	if lost := clients.Stop(); lost != "" {
		t.Errorf("%d requests were lost, first: %s", clients.Lost.Load(), lost)
	}
	t.Logf("served %d, refused %d, failed %d, crashed %d", clients.Served.Load(), clients.Refused.Load(), clients.Failed.Load(), clients.Crashed.Load())
}

func stoppedWithLeave(h hard) {
	l := h.leader()
	x := h.other(l)
	x.Signal(syscall.SIGSTOP)
	id := h.ask(l, x)
	y := h.other(l, x)
	idY := h.ask(l, y)
	await(h.t, "another goes, or it waits for the one that is lost", func() bool {
		var why map[string]string
		return l.Call("FLEET WORK WHY "+y.Name, &why) == nil && strings.Contains(why["why"], "lost")
	})
	x.Signal(syscall.SIGCONT)
	await(h.t, "both go out one after the other", func() bool {
		for _, i := range []uint64{id, idY} {
			_ = l.Call(fmt.Sprint("FLEET WORK DONE ", i), nil) // refused until it is out
		}
		return phase(l, x.Name) == "" && phase(l, y.Name) == ""
	})
	h.whole()
}

func leaderDies(h hard) {
	l := h.leader()
	x := h.other(l)
	id := h.ask(l, x)
	l.Kill()
	at := h.other(l, x)
	await(h.t, "it is out all the same", func() bool { return phase(at, x.Name) == "out" })
	if err := l.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.finish(at, id, x.Name)
}

func cutOff(h hard) {
	l := h.leader()
	x := h.other(l)
	id := h.ask(l, x)
	for _, q := range h.List {
		if q != x {
			h.BlockLink(x, q, true)
		}
	}
	time.Sleep(2 * time.Second)
	h.Partition()
	at := h.other(x)
	await(h.t, "it is out in the end", func() bool { return phase(at, x.Name) == "out" })
	h.finish(at, id, x.Name)
}

func askedTwice(h hard) {
	l := h.leader()
	x, a, b := h.other(l), h.other(), h.other(h.List[0])
	var wg sync.WaitGroup
	ids, errs := make([]uint64, 2), make([]error, 2)
	for i, at := range []*Process{a, b} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ids[i], errs[i] = at.RequestOperation(fleet.OperationRequest{Machine: x.Name, SpanS: 5})
		}()
	}
	wg.Wait()
	if (errs[0] == nil) == (errs[1] == nil) {
		h.t.Fatalf("one is taken and one refused: %v, %v", errs[0], errs[1])
	}
	id := ids[0] + ids[1]
	await(h.t, "it goes out", func() bool { return phase(l, x.Name) == "out" })
	h.finish(l, id, x.Name)
}

func wholeHub(h hard) {
	l := h.leader()
	var zone []*Process
	for _, p := range h.List {
		if p.Zone == "z0" {
			zone = append(zone, p)
		}
	}
	for _, p := range zone {
		h.ask(l, p)
	}
	dies := h.other(append([]*Process{l}, zone...)...)
	dies.Kill()
	time.Sleep(time.Second)
	if err := dies.Start(); err != nil {
		h.t.Fatal(err)
	}
	await(h.t, "all of the hub's works end", func() bool {
		at := h.Leader()
		if at == nil {
			return false
		}
		list, err := at.Plan()
		for _, w := range list {
			if w.Phase == "out" {
				_ = at.Call(fmt.Sprint("FLEET WORK DONE ", w.ID), nil)
			}
		}
		return err == nil && len(list) == 0
	})
	h.whole()
}

func rejoinByHand(h hard) {
	l := h.leader()
	x := h.other(l)
	h.ask(l, x)
	await(h.t, "it is out", func() bool { return phase(l, x.Name) == "out" && x.Call("PING", nil) != nil })
	if err := x.Call("REJOIN", nil); err != nil {
		h.t.Fatal(err)
	}
	if err := x.Call("PING", nil); err != nil {
		h.t.Errorf("it does not take clients at once: %v", err)
	}
	await(h.t, "the permit is given back", func() bool { return phase(l, x.Name) == "" })
	if err := x.Call("PING", nil); err != nil {
		h.t.Errorf("it has gone out again: %v", err)
	}
	h.whole()
}

func neverBack(h hard) {
	l := h.leader()
	x := h.other(l)
	id := h.ask(l, x)
	await(h.t, "it is out", func() bool { return phase(l, x.Name) == "out" })
	if err := l.Call(fmt.Sprint("FLEET WORK LOST ", id), nil); err == nil {
		h.t.Error("a front that is heard was declared lost")
	}
	x.Kill()
	y := h.other(l, x)
	idY := h.ask(l, y)
	await(h.t, "it is not heard any more", func() bool { s, err := l.Status(); return err == nil && len(s.Lost) == 1 })
	if p := phase(l, y.Name); p != "asked" {
		h.t.Errorf("another is %s beside it", p)
	}
	h.order(l, fmt.Sprint("LOST ", id))
	if p := phase(l, y.Name); p != "asked" { // lost is out all the same
		h.t.Errorf("another is %s beside a lost one", p)
	}
	if err := x.Start(); err != nil {
		h.t.Fatal(err)
	}
	await(h.t, "the other goes once it is back", func() bool { return phase(l, y.Name) == "out" })
	h.finish(l, idY, y.Name)
}

func boxAndUnreached(h hard) {
	l := h.leader()
	x := h.other(l)
	x.Signal(syscall.SIGSTOP)
	var word map[string]uint64
	if err := l.Call(`FLEET WORK ASK {"machine":"s-0","box":true,"zone":"edge-1","span_s":5,"urgent":true}`, &word); err != nil {
		h.t.Fatal(err)
	}
	await(h.t, "it is known who has not left the box", func() bool {
		var why map[string]string
		return l.Call("FLEET WORK WHY s-0", &why) == nil && (strings.Contains(why["why"], x.Name) || strings.Contains(why["why"], "out or lost"))
	})
	if p := phase(l, "s-0"); p == "out" {
		h.t.Error("the box may be worked on, and a front has not left it")
	}
	x.Signal(syscall.SIGCONT)
	await(h.t, "all have left the box", func() bool { return phase(l, "s-0") == "out" })
	h.finish(l, word["work"], "s-0")
}

func wiped(h hard) {
	l := h.leader()
	a := h.other(l)
	b := h.other(l, a)
	before, err := a.Status()
	if err != nil {
		h.t.Fatal(err)
	}
	b.Kill()
	a.Kill()
	if err := a.Wipe(); err != nil {
		h.t.Fatal(err)
	}
	if err := a.Start(); err != nil {
		h.t.Fatal(err)
	}
	await(h.t, "it is of the fleet under a new incarnation", func() bool {
		s, err := a.Status()
		return err == nil && s.ID == before.ID && s.Incarnation != before.Incarnation && s.Applied >= before.Applied
	})
	if err := b.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.whole()
}

func bridge(h hard) {
	l := h.List
	h.Partition([]*Process{l[0], l[1], l[2]}, []*Process{l[2], l[3], l[4]})
	time.Sleep(4 * time.Second)
	terms := map[uint64]string{}
	for _, p := range l {
		if s, err := p.Status(); err == nil && s.Seat == "leader" {
			if terms[s.Term] != "" {
				h.t.Errorf("%s and %s lead in term %d", terms[s.Term], p.Name, s.Term)
			}
			terms[s.Term] = p.Name
		}
	}
	h.Partition()
	h.whole()
}

func zoneLost(h hard) {
	var zone []*Process
	for _, p := range h.List {
		if p.Zone == "z0" {
			zone = append(zone, p)
		}
	}
	for _, p := range zone {
		p.Kill()
	}
	at := h.other(zone...)
	await(h.t, "those left have a leader and count the zone as lost", func() bool {
		s, err := at.Status()
		return err == nil && s.Leader != "" && len(s.Lost) == len(zone)
	})
	for _, p := range zone {
		if err := p.Start(); err != nil {
			h.t.Fatal(err)
		}
	}
	h.whole()
}

func pair(h hard) {
	a, b := h.List[3], h.List[4]
	h.Partition([]*Process{a, b}, h.List[:3])
	await(h.t, "the pair knows of no majority", func() bool { s, err := a.Status(); return err == nil && s.Leader == "" })
	if _, err := a.RequestOperation(fleet.OperationRequest{Machine: a.Name, SpanS: 5}); err == nil {
		h.t.Error("a work was taken without a majority")
	}
	for _, p := range []*Process{a, b} {
		if err := p.Call("PING", nil); err != nil {
			h.t.Errorf("%s does not go on serving: %v", p.Name, err)
		}
	}
	h.Partition()
	h.whole()
	await(h.t, "no work is left", func() bool {
		list, err := a.Plan()
		for _, w := range list {
			_ = a.Call(fmt.Sprint("FLEET WORK CANCEL ", w.ID), nil)
		}
		return err == nil && len(list) == 0
	})
}

func allAtOnce(h hard) {
	for i, p := range h.List {
		p.Kill()
		if i == 1 {
			f, err := os.OpenFile(p.Journal(), os.O_APPEND|os.O_WRONLY, 0)
			if err != nil {
				h.t.Fatal(err)
			}
			_, _ = f.Write([]byte{90, 0, 0, 0, 1, 2, 3, 4, 5})
			_ = f.Close()
		}
	}
	for _, i := range rand.New(rand.NewPCG(1, 2)).Perm(len(h.List)) {
		if err := h.List[i].Start(); err != nil {
			h.t.Fatal(err)
		}
	}
	h.whole()
}

func corrupt(h hard) {
	l := h.leader()
	x := h.other(l)
	x.Kill()
	text, err := os.ReadFile(x.Journal())
	if err != nil {
		h.t.Fatal(err)
	}
	text[len(text)/3] ^= 0x40
	if err := os.WriteFile(x.Journal(), text, 0o600); err != nil {
		h.t.Fatal(err)
	}
	if err := x.Start(); err != nil {
		h.t.Fatal(err)
	}
	if _, err := x.Status(); err == nil || !strings.Contains(err.Error(), "damaged") {
		h.t.Errorf("its status says %v", err)
	}
	await(h.t, "it serves", func() bool { return x.Call("PING", nil) == nil })
	await(h.t, "the others count it as lost", func() bool { s, err := l.Status(); return err == nil && len(s.Lost) == 1 })
	x.Kill()
	if err := x.Wipe(); err != nil {
		h.t.Fatal(err)
	}
	if err := x.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.whole()
}
