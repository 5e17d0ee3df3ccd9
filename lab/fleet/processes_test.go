package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"cherryramp/internal/fleet"
	"cherryramp/internal/seededtest"
	"cherryramp/lab/syscallfault"
)

var program string

func TestMain(m *testing.M) {
	syscallfault.RunLauncher()
	dir, err := os.MkdirTemp("", "fleet")
	if err == nil {
		program = filepath.Join(dir, "cherryramp")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", dir, "cherryramp/cmd/cherryramp", "cherryramp/cmd/cherryramp-fleet").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := seededtest.Run(m)
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// waitTimeout bounds each wait; it allows for a busy machine.
const waitTimeout = 60 * time.Second

func startFleet(t *testing.T, o Options) *Processes {
	t.Helper()
	o.Program = program
	f, err := NewProcesses(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, p := range f.List {
				text, _ := os.ReadFile(p.Log)
				t.Logf("log of %s:\n%s", p.Name, text[max(0, len(text)-6000):])
			}
		}
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the fleet settles", f.Settled)
	return f
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	if err := Await(waitTimeout, holds); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

// operationPhase returns the phase of a machine's operation as a front knows it; empty:
// there is none, "?": the front doesn't answer.
func operationPhase(p *Process, machine string) string {
	list, err := p.Plan()
	if err != nil {
		return "?"
	}
	for _, w := range list {
		if w.Machine == machine {
			return w.Phase
		}
	}
	return ""
}

// One of three started fronts goes out under a permit and returns, under client load. The
// leader is killed in between, and no request is lost.
func TestThreeFronts(t *testing.T) {
	t.Parallel() // runs after the virtual-time tests, which replace the process's random source
	f := startFleet(t, Options{Fronts: 3, Zones: 3, Seed: 1, UseProxies: true})
	clients := NewClients(f, 50)
	leader := f.Leader()
	if leader == nil {
		t.Fatal("no leader")
	}
	target := f.List[0]
	if target == leader {
		target = f.List[1]
	}
	id, err := target.RequestOperation(fleet.OperationRequest{Machine: target.Name, SpanS: 60, Reason: "a test"})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the front is out", func() bool { return operationPhase(target, target.Name) == "out" })
	if err := target.Call("PING", nil); err == nil {
		t.Error("a front that is out reports itself as ready")
	}
	leader.Kill()
	var other *Process
	for _, p := range f.List {
		if p != leader && p != target {
			other = p
		}
	}
	waitFor(t, "there is another leader", func() bool { s, err := other.Status(); return err == nil && s.Leader != "" && s.Leader != leader.Name })
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	if err := other.Call(fmt.Sprintf("FLEET WORK DONE %d", id), nil); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the front is back", func() bool { return operationPhase(other, target.Name) == "" && target.Call("PING", nil) == nil })
	waitFor(t, "the fleet settles again", f.Settled)
	if lost := clients.Stop(); lost != "" || clients.Served.Load() == 0 {
		t.Errorf("%d lost, %d served: %s", clients.Lost.Load(), clients.Served.Load(), lost)
	}
	t.Logf("served %d, refused %d, failed %d, unreachable %d, crashed %d", clients.Served.Load(), clients.Refused.Load(), clients.Failed.Load(),
		clients.Unreachable.Load(), clients.Crashed.Load())
}
