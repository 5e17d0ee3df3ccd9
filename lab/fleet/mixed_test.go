package fleet

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"cherryramp/internal/decide/statemachine"
	"cherryramp/internal/fleet"
)

// buildOlder builds a front that supports state versions only up to the one before the
// newest.
func buildOlder(t *testing.T) string {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-tags", "cherryramp_older", "-o", dir, "cherryramp/cmd/cherryramp", "cherryramp/cmd/cherryramp-fleet").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return filepath.Join(dir, "cherryramp")
}

// A fleet is upgraded from an older build front by front, by planned operations and under
// client load. While both builds run, the state stays at the version that both support, and
// commands that need the newer version are refused with the reason; then the version is
// raised. A front that is downgraded after that takes no part and reports why; the others
// count it as lost until it runs the newer build again.
func TestMixedBuilds(t *testing.T) {
	t.Parallel() // runs after the virtual-time tests, which replace the process's random source
	old := buildOlder(t)
	f, err := NewProcesses(Options{Program: old, Fronts: 3, Zones: 3, Seed: 5})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the fleet settles", f.Settled)
	h := testFleet{f, t}
	clients := NewClients(f, 50)
	for i, p := range f.List {
		at := h.awaitLeader()
		waitFor(t, "the operation is requested", func() bool {
			_, err := at.RequestOperation(fleet.OperationRequest{Machine: p.Name, SpanS: 60, EndsOnRestart: true})
			return err == nil || strings.Contains(err.Error(), "not ended")
		})
		waitFor(t, "the front is out", func() bool { return operationPhase(h.otherThan(p), p.Name) == "out" })
		if err := p.Stop(); err != nil {
			t.Fatal(err)
		}
		p.SetProgram(program)
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the front is back", func() bool { return operationPhase(h.otherThan(p), p.Name) == "" && f.Settled() })
		if i == len(f.List)-1 {
			break
		}
		err := p.Call(`FLEET RULES {"alone_s":5}`, nil)
		if err == nil || !strings.Contains(err.Error(), "older builds") {
			t.Errorf("with %d of %d fronts on the newer build: %v", i+1, len(f.List), err)
		}
		if s, err := p.Status(); err != nil || s.Version != 1 {
			t.Errorf("version %d, %v", s.Version, err)
		}
	}
	waitFor(t, "the version is raised", func() bool { s, err := f.List[0].Status(); return err == nil && s.Version == statemachine.Version })
	waitFor(t, "a command that needs the version is accepted", func() bool { return f.List[0].Call(`FLEET RULES {"alone_s":5}`, nil) == nil })
	waitFor(t, "all fronts use leases", func() bool {
		for _, p := range f.List {
			if s, err := p.Status(); err != nil || s.LeaseS <= 0 {
				return false
			}
		}
		return true
	})
	if lost := clients.Stop(); lost != "" {
		t.Errorf("%d requests were lost, the first: %s", clients.Lost.Load(), lost)
	}
	downgraded := h.otherThan(h.awaitLeader())
	if err := downgraded.Stop(); err != nil {
		t.Fatal(err)
	}
	downgraded.SetProgram(old)
	if err := downgraded.Start(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the older build reports that it can't read the state", func() bool {
		s, err := downgraded.Status()
		return err == nil && strings.Contains(s.WaitsFor, "version")
	})
	if status, _, err := requestPage(downgraded, fmt.Sprintf("%016x", 7)); err != nil || status != 503 {
		t.Errorf("the older build answers %d, %v", status, err)
	}
	waitFor(t, "the front counts as lost", func() bool { s, err := h.awaitLeader().Status(); return err == nil && len(s.Lost) == 1 })
	if err := downgraded.Stop(); err != nil {
		t.Fatal(err)
	}
	downgraded.SetProgram(program)
	if err := downgraded.Start(); err != nil {
		t.Fatal(err)
	}
	h.awaitSettled()
}
