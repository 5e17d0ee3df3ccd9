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

// day starts a day of five fronts in three sites, under requests.
func day(t *testing.T, o ExchangeOptions) *ExchangeDay {
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

// whole ends a day and holds it against all promises.
func (d *ExchangeDay) whole(t *testing.T) *history.Verdict {
	t.Helper()
	d.Partition()
	require.NoError(t, d.rest())
	v, err := d.Finish()
	require.NoError(t, err)
	for _, f := range v.Violations {
		if strings.HasPrefix(f.Property, "used ") && v.Utilization > 0.5 {
			continue // a machine that is busy with other tests; the figure itself is measured alone
		}
		t.Errorf("%s: %s\n%+v", f.Property, f.Text, f.Evidence)
	}
	return v
}

// completes waits until a purge is complete at a front.
func (d *ExchangeDay) completes(t *testing.T, p *Process, id string) {
	t.Helper()
	if err := Await(30*time.Second, func() bool { return d.PurgeComplete(p, id) }); err != nil {
		var why any
		_ = p.Call("FLEET PURGE WHY "+id, &why)
		t.Fatalf("purge %s is not complete: %v", id, why)
	}
}

// keeperOf is the front that keeps a site, as another sees it.
func (d *ExchangeDay) keeperOf(site string) (p *Process) {
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

// Five started fronts in three sites: a hard limit asked for at all at once, a site cut
// off in the middle, purges on both sides of the cut, and a box that fails for a while.
func TestExchangeOverACut(t *testing.T) {
	t.Parallel() // after all that plays in virtual time, whose random source is the process's
	d := day(t, ExchangeOptions{Seed: 21})
	require.NoError(t, d.cut(4*time.Second))
	v := d.whole(t)
	require.NotEmpty(t, v.Purges)
	require.Positive(t, v.Counts["takes of acme-rate"])
}

// The root's keeper is killed between dealing parts out, and while acknowledgements come;
// a front that holds a part is stopped and woken after that part was given to another; a
// wiped front comes back under its old name; then all are restarted while a purge is
// half told. Nothing is over, nothing stale, and every purge gets complete.
func TestExchangeHardCases(t *testing.T) {
	t.Parallel() // after all that plays in virtual time, whose random source is the process's
	d := day(t, ExchangeOptions{Seed: 22, Disabled: map[string]bool{"verdicts": true, "paths": true}})
	other := func(not ...*Process) *Process {
		for _, p := range d.List {
			free := true
			for _, q := range not {
				free = free && p != q
			}
			if free {
				return p
			}
		}
		return nil
	}
	root := d.keeperOf("/")
	require.NotNil(t, root)
	at := other(root)
	id, err := d.Purge(at, "object", "o4", "hard-1")
	require.NoError(t, err)
	root.Kill()
	require.NoError(t, Await(20*time.Second, func() bool { k := d.keeperOf("/"); return k != nil && k != root }))
	require.NoError(t, root.Start())
	d.completes(t, at, id)

	asleep := other(d.keeperOf("/"))
	asleep.Signal(syscall.SIGSTOP)
	at = other(asleep, d.keeperOf("/"))
	id, err = d.Purge(at, "prefix", "o5", "hard-2")
	require.NoError(t, err)
	time.Sleep(6 * time.Second) // its part is over, and dealt to others
	require.False(t, d.PurgeComplete(at, id), "a front that sleeps has not obeyed")
	asleep.Signal(syscall.SIGCONT)
	d.completes(t, at, id)

	wiped := other(d.keeperOf("/"), at)
	wiped.Kill()
	require.NoError(t, wiped.Wipe())
	id, err = d.Purge(at, "object", "o6", "hard-3")
	require.NoError(t, err)
	require.NoError(t, wiped.Start())
	d.completes(t, at, id)

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
	d.completes(t, at, again)
	_ = id
	d.whole(t)
}

// One-way cuts: what the keeper tells comes and what it is told does not; and the other way.
func TestExchangeOneWay(t *testing.T) {
	t.Parallel() // after all that plays in virtual time, whose random source is the process's
	d := day(t, ExchangeOptions{Seed: 23, Disabled: map[string]bool{"verdicts": true, "paths": true}})
	root := d.keeperOf("/")
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
	d.completes(t, root, id)
	d.whole(t)
}

// Guards the judge: a build that leaves a rule out is found by it. A part counts as free
// as soon as its holder is not heard, while that one, cut off, spends on.
func TestJudgeFindsARuleLeftOut(t *testing.T) {
	t.Parallel() // after all that plays in virtual time, whose random source is the process's
	without := func(rule string) string {
		dir := t.TempDir()
		out, err := exec.Command("go", "build", "-ldflags", "-X cherryramp/internal/exchange.without="+rule, "-o", dir, "cherryramp/cmd/cherryramp", "cherryramp/cmd/cherryramp-fleet").CombinedOutput()
		require.NoError(t, err, string(out))
		return filepath.Join(dir, "cherryramp")
	}
	d := day(t, ExchangeOptions{Seed: 24, Program: without("over"), Disabled: map[string]bool{"verdicts": true, "paths": true, "purges": true}})
	apart := func() (in, out []*Process) { // a site without the root's keeper, which deals on
		root := d.keeperOf("/")
		for _, p := range d.List {
			if p.Zone != root.Zone {
				return d.others(p.Zone)
			}
		}
		return nil, nil
	}
	in, out := apart()
	time.Sleep(2 * time.Second)
	d.Partition(in, out)
	time.Sleep(5 * time.Second)
	d.Partition()
	v, err := d.Finish()
	require.NoError(t, err)
	require.Positive(t, v.Counts["broken limit acme-rate"], "over by %.1f at the most", v.MaxExcess)

	d = day(t, ExchangeOptions{Seed: 25, Program: without("ack"), Disabled: map[string]bool{"verdicts": true, "paths": true, "limits": true}})
	in, out = apart()
	d.Partition(in, out)
	time.Sleep(6 * time.Second)
	id, err := d.Purge(out[0], "object", "o1", "early")
	require.NoError(t, err)
	require.NoError(t, Await(20*time.Second, func() bool { return d.PurgeComplete(out[0], id) }), "it is said too early")
	d.Partition()
	v, err = d.Finish()
	require.NoError(t, err)
	require.Positive(t, v.Counts["broken complete too early"])
}

// Guards that a folder can be judged twice, with a line changed, and cut off in a line.
func TestJudgeOfAFolder(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, history.WriteRunInfo(dir, history.RunInfo{Fronts: []string{"a", "b"}, Limits: []history.LimitSpec{{Limit: "l", Kind: "rate", Amount: 10, Burst: 2, Hard: true}}}))
	var lines []string
	for i := range 20 {
		lines = append(lines, fmt.Sprintf(`{"t":%d,"by":"a","e":"take","limit":"l","who":"w","ok":true,"part":1}`, int64(i)*100_000_000))
	}
	lines = append(lines, `{"t":1,"by":"a","e":"ask","asked":"x"}`, `{"t":5,"by":"a","e":"obey","purge":"/#1:1","scope":"object o1","asked":"x"}`,
		`{"t":5,"by":"b","e":"obey","purge":"/#1:1","scope":"object o1","asked":"x"}`, `{"t":9,"by":"a","e":"complete","purge":"/#1:1"}`,
		`{"t":20,"by":"c","e":"request","id":1,"front":"b","object":"o1","end":30,"status":200,"filled":10}`)
	write := func(text string) *history.Verdict {
		require.NoError(t, os.WriteFile(filepath.Join(dir, "a.jsonl"), []byte(text), 0o600))
		h, err := history.Read(dir)
		require.NoError(t, err)
		return history.Check(h)
	}
	good := strings.Join(lines, "\n") + "\n"
	require.Empty(t, write(good).Violations)
	require.Empty(t, write(good).Violations)
	require.NotEmpty(t, write(strings.Replace(good, `"filled":10`, `"filled":0.5`, 1)+"").Truncated, "a line that can't be read is told")
	require.Equal(t, "complete too early", write(strings.Replace(good, `"t":1,"by":"a","e":"ask"`, `"t":15,"by":"a","e":"ask"`, 1)).Violations[0].Property)
	require.Equal(t, "limit l", write(strings.Replace(good, `"t":1000000000`, `"t":900000000`, 1) + `{"t":900000001,"by":"b","e":"take","limit":"l","who":"w","ok":true}` + "\n" + `{"t":900000002,"by":"b","e":"take","limit":"l","who":"w","ok":true}` + "\n").Violations[0].Property)
	require.Equal(t, "one answer", write(good + `{"t":40,"by":"c","e":"request","id":1,"front":"b","end":50,"status":200}` + "\n").Violations[0].Property)
	require.NotEmpty(t, write(good[:len(good)-9]).Truncated)
}
