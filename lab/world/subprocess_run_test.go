package world

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// frontBinary is the path of the program, built once for all tests.
var frontBinary string

func buildFront() (dir string, err error) {
	if dir, err = os.MkdirTemp("", "world"); err != nil {
		return "", err
	}
	frontBinary = filepath.Join(dir, "cherryramp")
	if out, err := exec.Command("go", "build", "-o", frontBinary, "cherryramp/cmd/cherryramp").CombinedOutput(); err != nil {
		return dir, fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
}

// smallSite is a site for tests on sockets. Its slack covers delays on a busy machine;
// the violations that the tests look for last longer.
func smallSite() Spec {
	s := Default()
	s.Branches, s.Rate, s.Slack = s.Branches[:2], 40, 1500*milli
	return s
}

func playDayOnSockets(t *testing.T, spec Spec, m Mutation, p Plan, ephemeral bool) *Result {
	t.Helper()
	var log strings.Builder
	w, err := NewOnSockets(spec, SocketOptions{Front: frontBinary, Log: &log, Ephemeral: ephemeral})
	if err != nil {
		t.Fatal(err)
	}
	w.Mutation = m
	r, err := w.Run(p)
	if err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	t.Logf("%s", r)
	return r
}

// Built fronts violate no property under each kind of loss and keep serving; days in
// virtual time and on sockets have the same clients.
func TestPropertiesHoldOnSockets(t *testing.T) {
	t.Parallel()
	plan := Plan{WarmUp: 2 * second, Duration: 13 * second, Faults: []Fault{
		{Kind: LoseServer, At: second, Duration: 3 * second, Target: "edge-1.box-1"},
		{Kind: LoseServer, At: second, Duration: 4 * second, Target: "edge-2.box-1", Silent: true},
		{Kind: PurgeGroups, At: 2 * second, Amount: 0.5},
		{Kind: ResetConnections, At: 4 * second},
		{Kind: KillFront, At: 5 * second, Duration: second, Target: "edge-2.front-1"},
		{Kind: CutBranch, At: 6 * second, Duration: 2 * second, Target: "edge-1"},
		{Kind: DrainServer, At: 7 * second, Duration: 2 * second, Target: "edge-1.box-2"},
		{Kind: RegisterUnreachable, At: 9 * second, Duration: second},
		{Kind: PurgeHot, At: 10 * second, Amount: 20},
		{Kind: CorruptAnswers, At: 11 * second, Duration: 2 * second, Amount: 0.05}}}
	other := playDay(t, smallSite(), NoMutation, plan)
	for _, ephemeral := range []bool{false, true} {
		t.Run(fmt.Sprint("ephemeral nodes ", ephemeral), func(t *testing.T) {
			t.Parallel()
			r := playDayOnSockets(t, smallSite(), NoMutation, plan, ephemeral)
			for _, v := range r.Violations {
				t.Error(v)
			}
			if r.Requests() != other.Requests() || r.Requests() < 300 || r.Service < 0.4 {
				t.Errorf("%d requests, %d in virtual time; service %.2f", r.Requests(), other.Requests(), r.Service)
			}
		})
	}
}

// The checkers detect mutations on sockets as in virtual time.
func TestMutationsAreDetectedOnSockets(t *testing.T) {
	t.Parallel()
	for m, plan := range map[Mutation]Plan{
		IgnoreDrains: {Duration: 9 * second, Faults: []Fault{{Kind: DrainServer, At: second, Duration: 5 * second, Target: "edge-1.box-1"},
			{Kind: DrainServer, At: second, Duration: 5 * second, Target: "edge-2.box-1"}}},
		IgnorePurges:    {WarmUp: 3 * second, Duration: 8 * second, Faults: []Fault{{Kind: PurgeGroups, At: second, Amount: 1}}},
		WrongBody:       {Duration: 8 * second},
		DuplicateWrites: {Duration: 8 * second},
	} {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			spec := smallSite()
			if m == IgnorePurges { // purged copies remain for long and are requested at many caches
				spec.PurgeSettle, spec.Slack, spec.Rate, spec.Classes = 20*second, 200*milli, 120, slices.Clone(spec.Classes)
				spec.Classes[0].Objects = 10
			}
			if r := playDayOnSockets(t, spec, m, plan, m == IgnoreDrains); r.Broken[Mutations[m]] == 0 {
				t.Errorf("not detected; violations: %v", r.Broken)
			}
		})
	}
}

// A listener refuses, accepts or ignores connections as its state says, after each
// other state.
func TestListenerStates(t *testing.T) {
	w, err := NewOnSockets(smallSite(), SocketOptions{Front: frontBinary})
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(w.fronts[0], w.servers[0])
	defer func() { _ = l.apply(listenerRefusing) }()
	for i, state := range []listenerState{listenerAccepting, listenerSilent, listenerAccepting, listenerRefusing, listenerSilent, listenerRefusing, listenerAccepting, listenerSilent} {
		if err := l.apply(state); err != nil {
			t.Fatal(i, err)
		}
		c, err := net.DialTimeout("tcp", l.address, 200*time.Millisecond)
		is := listenerAccepting
		var late net.Error
		switch {
		case errors.As(err, &late) && late.Timeout():
			is = listenerSilent
		case err != nil:
			is = listenerRefusing
		default:
			_ = c.Close()
		}
		if is != state {
			t.Errorf("step %d: state %d, want %d: %v", i, is, state, err)
		}
	}
}

// Specs that cannot run on sockets, and a missing program, are rejected.
func TestInvalidSocketSetupsAreRejected(t *testing.T) {
	for _, change := range []func(s *Spec){func(s *Spec) { s.MaxHeld = 5000 }, func(s *Spec) { s.Branches[0].Fronts = 300 }, func(s *Spec) { s.Flow = 0 }} {
		s := Default()
		s.Branches = append([]Branch(nil), s.Branches...)
		change(&s)
		if _, err := NewOnSockets(s, SocketOptions{Front: frontBinary}); err == nil {
			t.Error("an invalid spec is accepted")
		}
	}
	w, err := NewOnSockets(smallSite(), SocketOptions{Front: filepath.Join(t.TempDir(), "none")})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Run(Plan{Duration: second}); err == nil {
		t.Error("a missing program is accepted")
	}
}
