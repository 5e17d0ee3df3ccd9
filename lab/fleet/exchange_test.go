package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryramp/lab/history"
)

// startExchangeDay starts five fronts in three sites, under client load.
func startExchangeDay(t *testing.T, o ExchangeOptions) *ExchangeDay {
	t.Helper()
	if o.Program == "" {
		o.Program = program
	}
	o.Fronts, o.Zones, o.Boxes, o.HistoryDir = 5, 3, 3, filepath.Join(t.TempDir(), "history")
	o.Limit, o.Burst, o.Rate, o.Reads = 100, 20, 250, 60
	d, err := NewExchangeDay(o)
	require.NoError(t, err)
	t.Cleanup(func() {
		if err := d.Close(); err != nil {
			t.Error(err)
		}
	})
	d.StartClients()
	return d
}

// finishWithoutViolations ends a run and requires that the histories show no violation.
func (d *ExchangeDay) finishWithoutViolations(t *testing.T) *history.Verdict {
	t.Helper()
	d.Partition()
	require.NoError(t, d.settle())
	v, err := d.Finish()
	require.NoError(t, err)
	for _, f := range v.Violations {
		if strings.HasPrefix(f.Property, "used ") && v.Utilization > 0.5 {
			continue // depends on the load of the machine; the exact figure is checked on an idle one
		}
		t.Errorf("%s: %s\n%+v", f.Property, f.Text, f.Evidence)
	}
	return v
}

// awaitPurge waits until a front knows that a purge is complete.
func (d *ExchangeDay) awaitPurge(t *testing.T, p *Process, id string) {
	t.Helper()
	if err := Await(30*time.Second, func() bool { return d.PurgeComplete(p, id) }); err != nil {
		var why any
		_ = p.Call("FLEET PURGE WHY "+id, &why)
		t.Fatalf("purge %s is not complete: %v", id, why)
	}
}

// ownerOf returns the owner of a site, as the first front that answers sees it.
func (d *ExchangeDay) ownerOf(site string) (p *Process) {
	for _, at := range d.List {
		var tree struct {
			Sites []struct{ Site, Keeper string }
		}
		if !at.Up() || at.Call("FLEET TREE", &tree) != nil {
			continue
		}
		for _, s := range tree.Sites {
			if s.Site == site {
				return d.Find(s.Keeper)
			}
		}
	}
	return nil
}

// Five started fronts in three sites share a hard limit under load; a site is partitioned,
// purges are requested on both sides of the partition, and a box fails for a while.
func TestExchangeSiteCut(t *testing.T) {
	t.Parallel() // runs after the virtual-time tests, which replace the process's random source
	d := startExchangeDay(t, ExchangeOptions{Seed: 21})
	require.NoError(t, d.runSiteCut(4*time.Second))
	v := d.finishWithoutViolations(t)
	require.NotEmpty(t, v.Purges)
	require.Positive(t, v.Counts["takes of acme-rate"])
}

// The root's owner is killed between allocations and while it receives acknowledgements; a
// front that holds an allocation is suspended, and resumed after that allocation went to
// another; a wiped front returns under its old name; then all are restarted while a purge
// is being distributed. No limit is exceeded, no stale copy is served, and every purge
// completes.
func TestExchangeUnderFaults(t *testing.T) {
	t.Parallel() // runs after the virtual-time tests, which replace the process's random source
	d := startExchangeDay(t, ExchangeOptions{Seed: 22, Disabled: map[string]bool{"verdicts": true, "paths": true}})
	other := func(not ...*Process) *Process {
		for _, p := range d.List {
			unused := true
			for _, q := range not {
				unused = unused && p != q
			}
			if unused {
				return p
			}
		}
		return nil
	}
	root := d.ownerOf("/")
	require.NotNil(t, root)
	at := other(root)
	id, err := d.Purge(at, "object", "o4", "hard-1")
	require.NoError(t, err)
	root.Kill()
	require.NoError(t, Await(20*time.Second, func() bool { k := d.ownerOf("/"); return k != nil && k != root }))
	require.NoError(t, root.Start())
	d.awaitPurge(t, at, id)

	suspended := other(d.ownerOf("/"))
	suspended.Signal(syscall.SIGSTOP)
	at = other(suspended, d.ownerOf("/"))
	id, err = d.Purge(at, "prefix", "o5", "hard-2")
	require.NoError(t, err)
	time.Sleep(6 * time.Second) // its lease has expired, and its allocation went to others
	require.False(t, d.PurgeComplete(at, id), "a suspended front can't have applied the purge")
	suspended.Signal(syscall.SIGCONT)
	d.awaitPurge(t, at, id)

	wipedFront := other(d.ownerOf("/"), at)
	wipedFront.Kill()
	require.NoError(t, wipedFront.Wipe())
	id, err = d.Purge(at, "object", "o6", "hard-3")
	require.NoError(t, err)
	require.NoError(t, wipedFront.Start())
	d.awaitPurge(t, at, id)

	id, err = d.Purge(at, "object", "o7", "hard-4")
	require.NoError(t, err)
	for i := range d.List {
		d.List[(i*3+1)%len(d.List)].Kill()
	}
	for i := range d.List {
		require.NoError(t, d.List[(i*2+2)%len(d.List)].Start())
	}
	require.NoError(t, Await(60*time.Second, d.Ready))
	again, err := d.Purge(at, "object", "o7", "hard-4")
	require.NoError(t, err)
	d.awaitPurge(t, at, again)
	_ = id
	d.finishWithoutViolations(t)
}

// Each front but the root's owner in turn can't send to the others, or can't receive from
// them. A purge must complete afterwards.
func TestExchangeOneWayLoss(t *testing.T) {
	t.Parallel() // runs after the virtual-time tests, which replace the process's random source
	d := startExchangeDay(t, ExchangeOptions{Seed: 23, Disabled: map[string]bool{"verdicts": true, "paths": true}})
	root := d.ownerOf("/")
	for i, p := range d.List {
		if p == root {
			continue
		}
		for _, q := range d.List {
			if q != p && i%2 == 0 {
				d.BlockLink(p, q, true)
			} else if q != p {
				d.BlockLink(q, p, true)
			}
		}
		time.Sleep(3 * time.Second)
		d.Partition()
	}
	id, err := d.Purge(root, "object", "o8", "oneway")
	require.NoError(t, err)
	d.awaitPurge(t, root, id)
	d.finishWithoutViolations(t)
}

// Guards the checker of histories: it must detect builds with a disabled rule. In the first
// one an allocation counts as free as soon as its holder is unreachable, while the holder,
// partitioned, goes on using it.
func TestCheckerDetectsMutations(t *testing.T) {
	t.Parallel() // runs after the virtual-time tests, which replace the process's random source
	buildWith := func(disabled string) string {
		dir := t.TempDir()
		out, err := exec.Command("go", "build", "-ldflags", "-X cherryramp/internal/exchange.without="+disabled, "-o", dir, "cherryramp/cmd/cherryramp", "cherryramp/cmd/cherryramp-fleet").CombinedOutput()
		require.NoError(t, err, string(out))
		return filepath.Join(dir, "cherryramp")
	}
	d := startExchangeDay(t, ExchangeOptions{Seed: 24, Program: buildWith("over"), Disabled: map[string]bool{"verdicts": true, "paths": true, "purges": true}})
	splitWithoutOwner := func() (in, out []*Process) { // a site without the root's owner, which continues to allocate
		root := d.ownerOf("/")
		for _, p := range d.List {
			if p.Zone != root.Zone {
				return d.splitBySite(p.Zone)
			}
		}
		return nil, nil
	}
	in, out := splitWithoutOwner()
	time.Sleep(2 * time.Second)
	d.Partition(in, out)
	time.Sleep(5 * time.Second)
	d.Partition()
	v, err := d.Finish()
	require.NoError(t, err)
	require.Positive(t, v.Counts["broken limit acme-rate"], "the limit is exceeded by at most %.1f", v.MaxExcess)

	d = startExchangeDay(t, ExchangeOptions{Seed: 25, Program: buildWith("ack"), Disabled: map[string]bool{"verdicts": true, "paths": true, "limits": true}})
	in, out = splitWithoutOwner()
	d.Partition(in, out)
	time.Sleep(6 * time.Second)
	id, err := d.Purge(out[0], "object", "o1", "early")
	require.NoError(t, err)
	require.NoError(t, Await(20*time.Second, func() bool { return d.PurgeComplete(out[0], id) }), "the purge does not complete early")
	d.Partition()
	v, err = d.Finish()
	require.NoError(t, err)
	require.Positive(t, v.Counts["broken complete too early"])
}

// A folder of histories can be checked again, with a changed line, and with a truncated
// last line.
func TestCheckHistoryFolder(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, history.WriteRunInfo(dir, history.RunInfo{Fronts: []string{"a", "b"}, Limits: []history.LimitSpec{{Limit: "l", Kind: "rate", Amount: 10, Burst: 2, Hard: true}}}))
	var lines []string
	for i := range 20 {
		lines = append(lines, fmt.Sprintf(`{"t":%d,"by":"a","e":"take","limit":"l","who":"w","ok":true,"part":1}`, int64(i)*100_000_000))
	}
	lines = append(lines, `{"t":1,"by":"a","e":"ask","asked":"x"}`, `{"t":5,"by":"a","e":"obey","purge":"/#1:1","scope":"object o1","asked":"x"}`,
		`{"t":5,"by":"b","e":"obey","purge":"/#1:1","scope":"object o1","asked":"x"}`, `{"t":9,"by":"a","e":"complete","purge":"/#1:1"}`,
		`{"t":20,"by":"c","e":"request","id":1,"front":"b","object":"o1","end":30,"status":200,"filled":10}`)
	check := func(text string) *history.Verdict {
		require.NoError(t, os.WriteFile(filepath.Join(dir, "a.jsonl"), []byte(text), 0o600))
		h, err := history.Read(dir)
		require.NoError(t, err)
		return history.Check(h)
	}
	valid := strings.Join(lines, "\n") + "\n"
	require.Empty(t, check(valid).Violations)
	require.Empty(t, check(valid).Violations)
	require.NotEmpty(t, check(strings.Replace(valid, `"filled":10`, `"filled":0.5`, 1)+"").Truncated, "an unreadable line is not reported")
	require.Equal(t, "complete too early", check(strings.Replace(valid, `"t":1,"by":"a","e":"ask"`, `"t":15,"by":"a","e":"ask"`, 1)).Violations[0].Property)
	require.Equal(t, "limit l", check(strings.Replace(valid, `"t":1000000000`, `"t":900000000`, 1) + `{"t":900000001,"by":"b","e":"take","limit":"l","who":"w","ok":true}` + "\n" + `{"t":900000002,"by":"b","e":"take","limit":"l","who":"w","ok":true}` + "\n").Violations[0].Property)
	require.Equal(t, "one answer", check(valid + `{"t":40,"by":"c","e":"request","id":1,"front":"b","end":50,"status":200}` + "\n").Violations[0].Property)
	require.NotEmpty(t, check(valid[:len(valid)-9]).Truncated)
}
