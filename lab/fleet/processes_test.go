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

// within is how long a test waits for what must come, also on a busy machine.
const within = 60 * time.Second

func started(t *testing.T, o Options) *Processes {
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
	await(t, "the fleet comes together", f.Settled)
	return f
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	if err := Await(within, holds); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

// phase is the one of a machine's work, as a front knows it; empty: it has none.
func phase(p *Process, machine string) string {
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

// Three started fronts agree; one is taken out by a permit and brought back under
// requests, and the leader is killed in the middle.
func TestThreeFronts(t *testing.T) {
	t.Parallel() // after all that plays in virtual time, whose random source is the process's
	f := started(t, Options{Fronts: 3, Zones: 3, Seed: 1, UseProxies: true})
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
	await(t, "it goes out", func() bool { return phase(target, target.Name) == "out" })
	if err := target.Call("PING", nil); err == nil {
		t.Error("a front that is out says that it is ready")
	}
	leader.Kill()
	var other *Process
	for _, p := range f.List {
		if p != leader && p != target {
			other = p
		}
	}
	await(t, "another leads", func() bool { s, err := other.Status(); return err == nil && s.Leader != "" && s.Leader != leader.Name })
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	if err := other.Call(fmt.Sprintf("FLEET WORK DONE %d", id), nil); err != nil {
		t.Fatal(err)
	}
	await(t, "it comes back", func() bool { return phase(other, target.Name) == "" && target.Call("PING", nil) == nil })
	await(t, "the fleet is whole", f.Settled)
	if lost := clients.Stop(); lost != "" || clients.Served.Load() == 0 {
		t.Errorf("%d lost, %d served: %s", clients.Lost.Load(), clients.Served.Load(), lost)
	}
	t.Logf("served %d, refused %d, failed %d, nowhere %d, crashed %d", clients.Served.Load(), clients.Refused.Load(), clients.Failed.Load(),
		clients.Unreachable.Load(), clients.Crashed.Load())
}
