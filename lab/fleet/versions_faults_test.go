package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cherryramp/internal/fleet"
)

// rollOut proposes a version and waits until it is stable.
func (h testFleet) rollOut(at *Process, file string, x fleet.Proposal) (n uint64) {
	h.t.Helper()
	waitFor(h.t, "the version is proposed", func() bool {
		var err error
		n, err = at.Propose(file, x)
		return err == nil
	})
	waitFor(h.t, "the version is stable", func() bool { return at.findVersion(n).Phase == "standing" })
	return n
}

// actsOnClass reports whether a front acts on a version with the given class: it serves the
// class, or refuses it temporarily although it may act.
func actsOnClass(p *Process, class string) bool {
	status := pageStatus(p, class)
	if status == 503 {
		s, err := p.Status()
		return err == nil && s.MayAct
	}
	return status == 200
}

// allActOnClass reports whether every front acts on a version with the given class.
func (h testFleet) allActOnClass(class string) bool {
	for _, p := range h.List {
		if !actsOnClass(p, class) {
			return false
		}
	}
	return true
}

// Faults during rollouts of versions, on five started fronts in three zones under client
// load.
func TestVersionsUnderFaults(t *testing.T) {
	t.Parallel() // runs after the virtual-time tests, which replace the process's random source
	h := testFleet{startFleet(t, Options{Fronts: 5, Zones: 3, Seed: 31, UseProxies: true, Rules: VersionRules()}), t}
	clients := NewClients(h.Processes, 60)
	for _, x := range []struct {
		name string
		play func(h testFleet)
	}{
		{"rejected with the invalid key", rejectedVersion},
		{"two proposals at once", concurrentProposals},
		{"abandoned upload", abandonedUpload},
		{"every front that activates it ends", crashingVersion},
		{"leader change", leaderChangesDuringRollout},
		{"rollback under load during a leader change", failsUnderLoad},
		{"zone partitioned during three versions", zonePartitioned},
		{"one-way loss", oneWayLoss},
		{"suspended across a gate", stoppedAcrossGate},
		{"two of five voters lagging", laggingVoters},
		{"stale disk, and another front's disk", staleDisk},
	} {
		if !t.Run(x.name, func(t *testing.T) { x.play(testFleet{h.Processes, t}) }) {
			break
		}
	}
	if lost := clients.Stop(); lost != "" {
		t.Errorf("%d requests were lost, the first: %s", clients.Lost.Load(), lost)
	}
	t.Logf("served %d, refused %d, failed %d, crashed %d", clients.Served.Load(), clients.Refused.Load(), clients.Failed.Load(), clients.Crashed.Load())
}

func rejectedVersion(h testFleet) {
	l := h.awaitLeader()
	for file, want := range map[string]string{`{"drain":["no-such-box"]}`: "no-such-box", `{"settings":{"grades":[]}}`: "settings",
		`{"drian":["s-0"]}`: "drian", `{"settings":{"zone":7}}`: "restart", `[]`: "object"} {
		if _, err := l.Propose(file, fleet.Proposal{}); err == nil || !strings.Contains(err.Error(), want) {
			h.t.Errorf("%s: %v", file, err)
		}
	}
	// One front alone can't apply the version, since its own file is invalid.
	x := h.otherThan(l)
	path := filepath.Join(x.Dir, "config.json")
	text, err := os.ReadFile(path)
	if err != nil {
		h.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		h.t.Fatal(err)
	}
	n, err := l.Propose(ProbeSettings(1), fleet.Proposal{WatchS: 0.2})
	if err != nil {
		h.t.Fatal(err)
	}
	waitFor(h.t, "the version is rejected", func() bool { return l.findVersion(n).Phase == "turned down" })
	if v := l.findVersion(n); !strings.Contains(v.Note, x.Name) {
		h.t.Errorf("%+v", v)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		h.t.Fatal(err)
	}
	for _, p := range h.List {
		if pageStatus(p, "probe-1") == 200 {
			h.t.Errorf("%s acts on the rejected version", p.Name)
		}
	}
}

func concurrentProposals(h testFleet) {
	a, b := h.List[0], h.List[1]
	var wg sync.WaitGroup
	ns, errs := make([]uint64, 2), make([]error, 2)
	for i, at := range []*Process{a, b} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ns[i], errs[i] = at.Propose(ProbeSettings(10+i), fleet.Proposal{Reason: fmt.Sprintf("person %d", i), WatchS: 0.5})
		}()
	}
	wg.Wait()
	won := 0
	if errs[0] != nil {
		won = 1
	}
	if errs[won] != nil || errs[1-won] == nil || !strings.Contains(errs[1-won].Error(), fmt.Sprintf("person %d", won)) {
		h.t.Fatalf("%v; %v", errs[0], errs[1])
	}
	waitFor(h.t, "the accepted version is stable", func() bool { return a.findVersion(ns[won]).Phase == "standing" })
	zero := uint64(0)
	if _, err := b.Propose(ProbeSettings(12), fleet.Proposal{Base: &zero}); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("person %d", won)) {
		h.t.Errorf("based on an old version: %v", err)
	}
}

func abandonedUpload(h testFleet) {
	l := h.awaitLeader()
	if err := l.Call("FLEET VERSIONS STAGE half eyJzZXR0aW5ncyI6", nil); err != nil {
		h.t.Fatal(err)
	}
	h.rollOut(l, ProbeSettings(13), fleet.Proposal{WatchS: 0.2})
	if err := l.Call(`FLEET VERSIONS PROPOSE {"upload":"half"}`, nil); err == nil {
		h.t.Error("an incomplete upload was proposed")
	}
}

// crashingVersion kills every process that activates a version: the rollout must not get
// past its first step, and those fronts must return to the last stable version.
func crashingVersion(h testFleet) {
	l := h.awaitLeader()
	stable := h.rollOut(l, ProbeSettings(14), fleet.Proposal{WatchS: 0.2})
	n, err := l.Propose(ProbeSettings(15), fleet.Proposal{WatchS: 40})
	if err != nil {
		h.t.Fatal(err)
	}
	ended := map[string]bool{}
	waitFor(h.t, "the version is rolled back", func() bool {
		for name, lag := range h.otherThan(l).lags() {
			if p := h.Find(name); lag.ActiveVersion == n && !ended[name] && p.Up() {
				ended[name] = true
				p.Kill()
				if err := p.Start(); err != nil {
					h.t.Error(err)
				}
			}
		}
		at := h.Leader()
		return at != nil && at.findVersion(n).Phase == "rolled back"
	})
	if len(ended) > 3 {
		h.t.Errorf("%d fronts of three zones activated it", len(ended))
	}
	h.awaitSettled()
	if Await(20*time.Second, func() bool {
		for _, lag := range h.List[0].lags() {
			if lag.ActiveVersion != stable {
				return false
			}
		}
		return h.allActOnClass("probe-14")
	}) != nil {
		for _, p := range h.List {
			s, _ := p.Status()
			h.t.Logf("%s: status %d for the class, %d for others; active version %d, may act %v, lease %.1f", p.Name, pageStatus(p, "probe-14"), pageStatus(p, "page-asset"), s.ActiveVersion, s.MayAct, s.LeaseS)
		}
		h.t.Fatalf("not all fronts act on the stable version %d: %+v", stable, h.List[0].lags())
	}
}

func leaderChangesDuringRollout(h testFleet) {
	l := h.awaitLeader()
	n, err := l.Propose(ProbeSettings(16), fleet.Proposal{WatchS: 1})
	if err != nil {
		h.t.Fatal(err)
	}
	waitFor(h.t, "the rollout has begun", func() bool { return l.findVersion(n).Phase == "rolling" })
	l.Signal(syscall.SIGSTOP)
	at := h.otherThan(l)
	waitFor(h.t, "another leader completes the rollout or rolls it back", func() bool { v := at.findVersion(n); return v.Phase == "standing" || v.Phase == "rolled back" })
	l.Signal(syscall.SIGCONT)
	h.awaitSettled()
	want := at.findVersion(n).Phase
	waitFor(h.t, "all fronts act on the same version", func() bool {
		if want == "standing" {
			return h.allActOnClass("probe-16")
		}
		return h.allActOnClass("probe-14")
	})
}

// failsUnderLoad proposes a version with which all requests time out: the first fronts to
// activate it do worse than before and than the others, so it is rolled back, while the
// leader is suspended.
func failsUnderLoad(h testFleet) {
	l := h.awaitLeader()
	load := NewClients(h.Processes, 200)
	defer load.Stop()
	time.Sleep(time.Second)
	n, err := l.Propose(`{"drain":["s-0","s-parent","s-origin"]}`, fleet.Proposal{WatchS: 20})
	if err != nil {
		h.t.Fatal(err)
	}
	waitFor(h.t, "some fronts act on it", func() bool { return l.findVersion(n).ActiveFronts > 0 })
	l.Signal(syscall.SIGSTOP)
	at := h.otherThan(l)
	waitFor(h.t, "the version is rolled back", func() bool { return at.findVersion(n).Phase == "rolled back" })
	l.Signal(syscall.SIGCONT)
	h.awaitSettled()
	if v := at.findVersion(n); !strings.Contains(v.Note, "refused or failed") && !strings.Contains(v.Note, "ended soon") {
		h.t.Errorf("%+v", v)
	}
	waitFor(h.t, "no front acts on it", func() bool { return at.findVersion(n).ActiveFronts == 0 })
}

func zonePartitioned(h testFleet) {
	var partitioned, others []*Process
	for _, p := range h.List {
		if p.Zone == "z1" {
			partitioned = append(partitioned, p)
		} else {
			others = append(others, p)
		}
	}
	h.Partition(partitioned, others)
	var l *Process
	waitFor(h.t, "the other zones have a leader", func() bool { l = leaderAmong(others); return l != nil })
	h.rollOut(l, ProbeSettings(17), fleet.Proposal{WatchS: 0.2})
	h.rollOut(l, `{"purge":{"objects":["o1"]}}`, fleet.Proposal{Urgent: true, GateS: 1})
	n := h.rollOut(l, ProbeSettings(18), fleet.Proposal{WatchS: 0.2, GateS: 1})
	waitFor(h.t, "the gate has passed", func() bool { return l.findVersion(n).GatePassed })
	for _, p := range partitioned {
		if status, retryAfter, _ := requestPage(p, fmt.Sprintf("%016x", time.Now().UnixNano())); status != 503 || retryAfter == "" {
			h.t.Errorf("%s, partitioned, answers %d %q after the gate has passed", p.Name, status, retryAfter)
		}
	}
	lags := l.lags()
	for _, p := range partitioned {
		if lag := lags[p.Name]; lag.Behind == 0 || !strings.Contains(lag.Cause, "not heard") {
			h.t.Errorf("%+v", lag)
		}
	}
	h.Partition()
	waitFor(h.t, "the zone catches up with the newest version", func() bool { return h.allActOnClass("probe-18") })
	h.awaitSettled()
	r := l.queryAudit(h.t, fmt.Sprintf(`{"by_version":true,"version":%d}`, n-2))
	for _, a := range r.Answers {
		if h.Find(a.Front).Zone == "z1" && len(a.Spans) > 0 {
			h.t.Errorf("%s activated a withdrawn version: %+v", a.Front, a.Spans)
		}
	}
}

func leaderAmong(list []*Process) *Process {
	for _, p := range list {
		if s, err := p.Status(); err == nil && s.Seat == "leader" && s.TolerableLosses >= 0 {
			return p
		}
	}
	return nil
}

// oneWayLoss blocks what a front receives, then what it sends, while a gated version is
// rolled out.
func oneWayLoss(h testFleet) {
	for i, out := range []bool{true, false} {
		l := h.awaitLeader()
		x := h.otherThan(l)
		for _, q := range h.List {
			if q != x && out {
				h.BlockLink(q, x, true)
			} else if q != x {
				h.BlockLink(x, q, true)
			}
		}
		class := fmt.Sprintf("probe-%d", 20+i)
		var n uint64
		waitFor(h.t, "the version is proposed", func() bool {
			at := h.otherThan(x)
			var err error
			n, err = at.Propose(ProbeSettings(20+i), fleet.Proposal{WatchS: 0.2, GateS: 1})
			return err == nil
		})
		at := h.otherThan(x)
		waitFor(h.t, "the gate has passed", func() bool { return at.findVersion(n).GatePassed })
		before := pageStatus(x, "page-asset") == 200 && pageStatus(x, class) != 200
		if before {
			h.t.Errorf("%s acts on an older version after the gate has passed", x.Name)
		}
		h.Partition()
		waitFor(h.t, "all fronts act on it", func() bool { return h.allActOnClass(class) })
		h.awaitSettled()
	}
}

// stoppedAcrossGate suspends a front under load while a gate passes: none of its responses
// after it is resumed may be by the old version.
func stoppedAcrossGate(h testFleet) {
	for i := range 2 {
		l := h.awaitLeader()
		x := h.otherThan(l)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range 8 { // requests are in progress when it is suspended
			wg.Add(1)
			go func() {
				defer wg.Done()
				for {
					select {
					case <-stop:
						return
					default:
						_ = pageStatus(x, "page-asset")
					}
				}
			}()
		}
		time.Sleep(200 * time.Millisecond)
		x.Signal(syscall.SIGSTOP)
		class, oldClass := fmt.Sprintf("probe-%d", 30+i), fmt.Sprintf("probe-%d", 29+i)
		if i == 0 {
			oldClass = "probe-21"
		}
		n := h.rollOut(l, ProbeSettings(30+i), fleet.Proposal{WatchS: 0.2, GateS: 0.5})
		waitFor(h.t, "the gate has passed", func() bool { return l.findVersion(n).GatePassed })
		close(stop)
		x.Signal(syscall.SIGCONT)
		for range 20 {
			if pageStatus(x, oldClass) == 200 {
				h.t.Errorf("%s serves %s after the gate of version %d", x.Name, oldClass, n)
			}
		}
		wg.Wait()
		waitFor(h.t, "the front catches up", func() bool { return actsOnClass(x, class) })
		h.awaitSettled()
	}
}

func laggingVoters(h testFleet) {
	l := h.awaitLeader()
	a := h.otherThan(l)
	b := h.otherThan(l, a)
	for _, p := range []*Process{a, b} {
		p.Signal(syscall.SIGSTOP)
	}
	n := h.rollOut(l, ProbeSettings(40), fleet.Proposal{WatchS: 0.2, GateS: 1})
	waitFor(h.t, "the gate passes with two of five voters suspended", func() bool { return l.findVersion(n).GatePassed })
	for _, p := range []*Process{a, b} {
		p.Signal(syscall.SIGCONT)
	}
	waitFor(h.t, "all fronts act on it", func() bool { return h.allActOnClass("probe-40") })
	h.awaitSettled()
}

// staleDisk restarts a front with an old copy of its disk, and with another front's disk: it
// must not take part with either, and its status must report the reason.
func staleDisk(h testFleet) {
	l := h.awaitLeader()
	x := h.otherThan(l)
	if err := x.Stop(); err != nil {
		h.t.Fatal(err)
	}
	folder, saved := filepath.Join(x.Dir, "folder"), filepath.Join(x.Dir, "saved")
	if out, err := exec.Command("cp", "-r", folder, saved).CombinedOutput(); err != nil {
		h.t.Fatal(err, string(out))
	}
	if err := x.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.awaitSettled()
	h.rollOut(l, ProbeSettings(41), fleet.Proposal{WatchS: 0.2})
	waitFor(h.t, "all fronts act on it", func() bool { return h.allActOnClass("probe-41") })
	waitFor(h.t, "its audit head is committed", func() bool { return l.lags()[x.Name].AuditRecord > 0 })
	time.Sleep(6 * time.Second) // audit heads are committed every 5 s
	if err := x.Stop(); err != nil {
		h.t.Fatal(err)
	}
	if err := errors.Join(os.RemoveAll(folder), os.Rename(saved, folder)); err != nil {
		h.t.Fatal(err)
	}
	if err := x.Start(); err != nil {
		h.t.Fatal(err)
	}
	waitFor(h.t, "the old disk is detected", func() bool {
		_, err := x.Status()
		return err != nil && strings.Contains(err.Error(), "older than")
	})
	if err := x.Stop(); err != nil {
		h.t.Fatal(err)
	}
	y := h.otherThan(l, x)
	if err := y.Stop(); err != nil {
		h.t.Fatal(err)
	}
	if err := os.RemoveAll(folder); err != nil {
		h.t.Fatal(err)
	}
	if out, err := exec.Command("cp", "-r", filepath.Join(y.Dir, "folder"), folder).CombinedOutput(); err != nil {
		h.t.Fatal(err, string(out))
	}
	if err := errors.Join(y.Start(), x.Start()); err != nil {
		h.t.Fatal(err)
	}
	if _, err := x.Status(); err == nil || !strings.Contains(err.Error(), "another front's") {
		h.t.Errorf("with another front's disk: %v", err)
	}
	x.Kill()
	if err := errors.Join(x.Wipe(), x.Start()); err != nil {
		h.t.Fatal(err)
	}
	waitFor(h.t, "the wiped front catches up", func() bool { return h.allActOnClass("probe-41") })
	h.awaitSettled()
	var r fleet.AuditReport
	waitFor(h.t, "the gap is reported with its extent", func() bool {
		r = l.queryAudit(h.t, `{"holes":true}`)
		for _, lost := range r.Lost {
			if lost.Front == x.Name && lost.Records > 0 {
				return true
			}
		}
		return false
	})
}
