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

// testFleet is a started fleet on which fault cases run one after the other.
type testFleet struct {
	*Processes
	t *testing.T
}

// otherThan returns a front that is none of the given ones.
func (h testFleet) otherThan(not ...*Process) *Process {
	for _, p := range h.List {
		unused := true
		for _, q := range not {
			unused = unused && p != q
		}
		if unused {
			return p
		}
	}
	h.t.Fatal("no other front")
	return nil
}

// awaitLeader waits for a leader and returns it.
func (h testFleet) awaitLeader() (l *Process) {
	h.t.Helper()
	waitFor(h.t, "there is a leader", func() bool { l = h.Leader(); return l != nil })
	return l
}

// requestOperation requests an operation, and retries while the fleet can't decide.
func (h testFleet) requestOperation(at, target *Process) (id uint64) {
	h.t.Helper()
	waitFor(h.t, "the operation is requested", func() (ok bool) {
		var err error
		id, err = at.RequestOperation(fleet.OperationRequest{Machine: target.Name, SpanS: 30})
		return err == nil
	})
	return id
}

func (h testFleet) workCall(at *Process, call string) {
	h.t.Helper()
	waitFor(h.t, call, func() bool { return at.Call("FLEET WORK "+call, nil) == nil })
}

// finishOperation marks an operation as done and waits until the fleet has settled.
func (h testFleet) finishOperation(at *Process, id uint64, machine string) {
	h.t.Helper()
	h.workCall(at, fmt.Sprint("DONE ", id))
	waitFor(h.t, "the operation ends", func() bool { return operationPhase(at, machine) == "" })
	h.awaitSettled()
}

func (h testFleet) awaitSettled() {
	h.t.Helper()
	if Await(waitTimeout, h.Settled) != nil {
		h.t.Fatalf("the fleet does not settle:\n%s", h.StatusReport())
	}
}

// trackMaxOut polls how many fronts are out under a permit at once; end stops polling and
// returns the maximum.
func (h testFleet) trackMaxOut() (end func() int) {
	stop, done, maxOut := make(chan struct{}), make(chan struct{}), 0
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
			maxOut = max(maxOut, n)
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() int { close(stop); <-done; return maxOut }
}

// Faults during operations and membership changes, on five started fronts in three zones
// under client load: requests are lost only in a crash, and two fronts are never out at
// once.
func TestOperationsUnderFaults(t *testing.T) {
	t.Parallel() // runs after the virtual-time tests, which replace the process's random source
	h := testFleet{startFleet(t, Options{Fronts: 5, Zones: 3, Seed: 2, UseProxies: true}), t}
	clients := NewClients(h.Processes, 30)
	maxOut := h.trackMaxOut()
	for _, x := range []struct {
		name string
		play func(h testFleet)
	}{
		{"suspended with a permit", stoppedWithPermit},
		{"leader killed as a permit is granted", leaderKilledDuringGrant},
		{"one-way loss as a permit is granted", blockedOneWay},
		{"same request at two fronts", duplicateRequest},
		{"all fronts of a zone while one crashes", allFrontsOfZone},
		{"manual rejoin overrides the permit", manualRejoin},
		{"front that does not return", neverReturns},
		{"box with a suspended front", boxWithStoppedFront},
		{"wiped while a voter is down", wipedFront},
		{"overlapping partitions", overlappingGroups},
		{"zone lost", zoneLost},
		{"isolated pair", minorityPair},
		{"all restarted at once, one with a torn journal", restartAll},
		{"front with a corrupt journal does not join", corruptJournal},
	} {
		if !t.Run(x.name, func(t *testing.T) { x.play(testFleet{h.Processes, t}) }) {
			break
		}
	}
	if n := maxOut(); n > 1 {
		t.Errorf("%d fronts were out at once", n)
	}
	if lost := clients.Stop(); lost != "" {
		t.Errorf("%d requests were lost, the first: %s", clients.Lost.Load(), lost)
	}
	t.Logf("served %d, refused %d, failed %d, crashed %d", clients.Served.Load(), clients.Refused.Load(), clients.Failed.Load(), clients.Crashed.Load())
}

func stoppedWithPermit(h testFleet) {
	l := h.awaitLeader()
	x := h.otherThan(l)
	x.Signal(syscall.SIGSTOP)
	id := h.requestOperation(l, x)
	second := h.otherThan(l, x)
	secondID := h.requestOperation(l, second)
	waitFor(h.t, "the second operation waits for the lost front", func() bool {
		var why map[string]string
		return l.Call("FLEET WORK WHY "+second.Name, &why) == nil && strings.Contains(why["why"], "lost")
	})
	x.Signal(syscall.SIGCONT)
	waitFor(h.t, "both operations end", func() bool {
		for _, i := range []uint64{id, secondID} {
			_ = l.Call(fmt.Sprint("FLEET WORK DONE ", i), nil) // refused until the front is out
		}
		return operationPhase(l, x.Name) == "" && operationPhase(l, second.Name) == ""
	})
	h.awaitSettled()
}

func leaderKilledDuringGrant(h testFleet) {
	l := h.awaitLeader()
	x := h.otherThan(l)
	id := h.requestOperation(l, x)
	l.Kill()
	at := h.otherThan(l, x)
	waitFor(h.t, "the front is out", func() bool { return operationPhase(at, x.Name) == "out" })
	if err := l.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.finishOperation(at, id, x.Name)
}

func blockedOneWay(h testFleet) {
	l := h.awaitLeader()
	x := h.otherThan(l)
	id := h.requestOperation(l, x)
	for _, q := range h.List {
		if q != x {
			h.BlockLink(x, q, true)
		}
	}
	time.Sleep(2 * time.Second)
	h.Partition()
	at := h.otherThan(x)
	waitFor(h.t, "the front is out", func() bool { return operationPhase(at, x.Name) == "out" })
	h.finishOperation(at, id, x.Name)
}

func duplicateRequest(h testFleet) {
	l := h.awaitLeader()
	x, a, b := h.otherThan(l), h.otherThan(), h.otherThan(h.List[0])
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
		h.t.Fatalf("not exactly one request was accepted: %v, %v", errs[0], errs[1])
	}
	id := ids[0] + ids[1]
	waitFor(h.t, "the front is out", func() bool { return operationPhase(l, x.Name) == "out" })
	h.finishOperation(l, id, x.Name)
}

func allFrontsOfZone(h testFleet) {
	l := h.awaitLeader()
	var zone []*Process
	for _, p := range h.List {
		if p.Zone == "z0" {
			zone = append(zone, p)
		}
	}
	for _, p := range zone {
		h.requestOperation(l, p)
	}
	dies := h.otherThan(append([]*Process{l}, zone...)...)
	dies.Kill()
	time.Sleep(time.Second)
	if err := dies.Start(); err != nil {
		h.t.Fatal(err)
	}
	waitFor(h.t, "all operations of the zone end", func() bool {
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
	h.awaitSettled()
}

func manualRejoin(h testFleet) {
	l := h.awaitLeader()
	x := h.otherThan(l)
	h.requestOperation(l, x)
	waitFor(h.t, "the front is out", func() bool { return operationPhase(l, x.Name) == "out" && x.Call("PING", nil) != nil })
	if err := x.Call("REJOIN", nil); err != nil {
		h.t.Fatal(err)
	}
	if err := x.Call("PING", nil); err != nil {
		h.t.Errorf("the front does not take clients at once: %v", err)
	}
	waitFor(h.t, "the permit is returned", func() bool { return operationPhase(l, x.Name) == "" })
	if err := x.Call("PING", nil); err != nil {
		h.t.Errorf("the front has gone out again: %v", err)
	}
	h.awaitSettled()
}

func neverReturns(h testFleet) {
	l := h.awaitLeader()
	x := h.otherThan(l)
	id := h.requestOperation(l, x)
	waitFor(h.t, "the front is out", func() bool { return operationPhase(l, x.Name) == "out" })
	if err := l.Call(fmt.Sprint("FLEET WORK LOST ", id), nil); err == nil {
		h.t.Error("a reachable front was declared lost")
	}
	x.Kill()
	second := h.otherThan(l, x)
	secondID := h.requestOperation(l, second)
	waitFor(h.t, "the front counts as lost", func() bool { s, err := l.Status(); return err == nil && len(s.Lost) == 1 })
	if p := operationPhase(l, second.Name); p != "asked" {
		h.t.Errorf("another front's operation is %s beside it", p)
	}
	h.workCall(l, fmt.Sprint("LOST ", id))
	if p := operationPhase(l, second.Name); p != "asked" { // a lost front still counts as out
		h.t.Errorf("another front's operation is %s beside a lost front", p)
	}
	if err := x.Start(); err != nil {
		h.t.Fatal(err)
	}
	waitFor(h.t, "the other front is out once the first one is back", func() bool { return operationPhase(l, second.Name) == "out" })
	h.finishOperation(l, secondID, second.Name)
}

func boxWithStoppedFront(h testFleet) {
	l := h.awaitLeader()
	x := h.otherThan(l)
	x.Signal(syscall.SIGSTOP)
	var result map[string]uint64
	if err := l.Call(`FLEET WORK ASK {"machine":"s-0","box":true,"zone":"edge-1","span_s":5,"urgent":true}`, &result); err != nil {
		h.t.Fatal(err)
	}
	waitFor(h.t, "the reason names the front that has not left the box", func() bool {
		var why map[string]string
		return l.Call("FLEET WORK WHY s-0", &why) == nil && (strings.Contains(why["why"], x.Name) || strings.Contains(why["why"], "out or lost"))
	})
	if p := operationPhase(l, "s-0"); p == "out" {
		h.t.Error("the box is out although a front has not left it")
	}
	x.Signal(syscall.SIGCONT)
	waitFor(h.t, "all fronts have left the box", func() bool { return operationPhase(l, "s-0") == "out" })
	h.finishOperation(l, result["work"], "s-0")
}

func wipedFront(h testFleet) {
	l := h.awaitLeader()
	a := h.otherThan(l)
	b := h.otherThan(l, a)
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
	waitFor(h.t, "the front is a member under a new incarnation", func() bool {
		s, err := a.Status()
		return err == nil && s.ID == before.ID && s.Incarnation != before.Incarnation && s.Applied >= before.Applied
	})
	if err := b.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.awaitSettled()
}

func overlappingGroups(h testFleet) {
	l := h.List
	h.Partition([]*Process{l[0], l[1], l[2]}, []*Process{l[2], l[3], l[4]})
	time.Sleep(4 * time.Second)
	terms := map[uint64]string{}
	for _, p := range l {
		if s, err := p.Status(); err == nil && s.Seat == "leader" {
			if terms[s.Term] != "" {
				h.t.Errorf("%s and %s are both leaders in term %d", terms[s.Term], p.Name, s.Term)
			}
			terms[s.Term] = p.Name
		}
	}
	h.Partition()
	h.awaitSettled()
}

func zoneLost(h testFleet) {
	var zone []*Process
	for _, p := range h.List {
		if p.Zone == "z0" {
			zone = append(zone, p)
		}
	}
	for _, p := range zone {
		p.Kill()
	}
	at := h.otherThan(zone...)
	waitFor(h.t, "the remaining fronts have a leader and count the zone as lost", func() bool {
		s, err := at.Status()
		return err == nil && s.Leader != "" && len(s.Lost) == len(zone)
	})
	for _, p := range zone {
		if err := p.Start(); err != nil {
			h.t.Fatal(err)
		}
	}
	h.awaitSettled()
}

func minorityPair(h testFleet) {
	a, b := h.List[3], h.List[4]
	h.Partition([]*Process{a, b}, h.List[:3])
	waitFor(h.t, "the pair has no leader", func() bool { s, err := a.Status(); return err == nil && s.Leader == "" })
	if _, err := a.RequestOperation(fleet.OperationRequest{Machine: a.Name, SpanS: 5}); err == nil {
		h.t.Error("an operation was accepted without a majority")
	}
	for _, p := range []*Process{a, b} {
		if err := p.Call("PING", nil); err != nil {
			h.t.Errorf("%s stops serving: %v", p.Name, err)
		}
	}
	h.Partition()
	h.awaitSettled()
	waitFor(h.t, "no operation is left", func() bool {
		list, err := a.Plan()
		for _, w := range list {
			_ = a.Call(fmt.Sprint("FLEET WORK CANCEL ", w.ID), nil)
		}
		return err == nil && len(list) == 0
	})
}

func restartAll(h testFleet) {
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
	h.awaitSettled()
}

func corruptJournal(h testFleet) {
	l := h.awaitLeader()
	x := h.otherThan(l)
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
		h.t.Errorf("its status is %v", err)
	}
	waitFor(h.t, "the front serves", func() bool { return x.Call("PING", nil) == nil })
	waitFor(h.t, "the others count the front as lost", func() bool { s, err := l.Status(); return err == nil && len(s.Lost) == 1 })
	x.Kill()
	if err := x.Wipe(); err != nil {
		h.t.Fatal(err)
	}
	if err := x.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.awaitSettled()
}
