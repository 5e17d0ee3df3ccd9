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

// older builds the front as one that reads the state's version before the newest.
func older(t *testing.T) string {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-tags", "cherryramp_older", "-o", dir, "cherryramp/cmd/cherryramp", "cherryramp/cmd/cherryramp-fleet").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return filepath.Join(dir, "cherryramp")
}

// A fleet of an older build is brought to a newer one front by front, by the plan and
// under requests. While both are in it, it stays at the version that all read, and
// what needs the newer one is refused with the reason; then it is raised. A front
// that goes back to the older build after that takes no part and says why; the others
// count it as lost, and it is taken back once it runs the newer one.
func TestMixedBuilds(t *testing.T) {
	t.Parallel() // after all that plays in virtual time, whose random source is the process's
	old := older(t)
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
	await(t, "the fleet comes together", f.Settled)
	h := hard{f, t}
	clients := NewClients(f, 50)
	for i, p := range f.List {
		at := h.leader()
		await(t, "the work is asked for", func() bool {
			_, err := at.RequestOperation(fleet.OperationRequest{Machine: p.Name, SpanS: 60, EndsOnRestart: true})
			return err == nil || strings.Contains(err.Error(), "not ended")
		})
		await(t, "it is out", func() bool { return phase(h.other(p), p.Name) == "out" })
		if err := p.Stop(); err != nil {
			t.Fatal(err)
		}
		p.SetProgram(program)
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		await(t, "it is back", func() bool { return phase(h.other(p), p.Name) == "" && f.Settled() })
		if i == len(f.List)-1 {
			break
		}
		err := p.Call(`FLEET RULES {"alone_s":5}`, nil)
		if err == nil || !strings.Contains(err.Error(), "older builds") {
			t.Errorf("with %d of %d fronts of the newer build: %v", i+1, len(f.List), err)
		}
		if s, err := p.Status(); err != nil || s.Version != 1 {
			t.Errorf("version %d, %v", s.Version, err)
		}
	}
	await(t, "the version is raised", func() bool { s, err := f.List[0].Status(); return err == nil && s.Version == statemachine.Version })
	await(t, "what needs it is taken", func() bool { return f.List[0].Call(`FLEET RULES {"alone_s":5}`, nil) == nil })
	await(t, "all live by it", func() bool {
		for _, p := range f.List {
			if s, err := p.Status(); err != nil || s.LeaseS <= 0 {
				return false
			}
		}
		return true
	})
	if lost := clients.Stop(); lost != "" {
		t.Errorf("%d requests were lost, first: %s", clients.Lost.Load(), lost)
	}
	back := h.other(h.leader())
	if err := back.Stop(); err != nil {
		t.Fatal(err)
	}
	back.SetProgram(old)
	if err := back.Start(); err != nil {
		t.Fatal(err)
	}
	await(t, "the older build says that it can't read the state", func() bool {
		s, err := back.Status()
		return err == nil && strings.Contains(s.WaitsFor, "version")
	})
	if status, _, err := page(back, fmt.Sprintf("%016x", 7)); err != nil || status != 503 {
		t.Errorf("the older build, out of the fleet, answers %d, %v", status, err)
	}
	await(t, "it counts as lost", func() bool { s, err := h.leader().Status(); return err == nil && len(s.Lost) == 1 })
	if err := back.Stop(); err != nil {
		t.Fatal(err)
	}
	back.SetProgram(program)
	if err := back.Start(); err != nil {
		t.Fatal(err)
	}
	h.whole()
}
