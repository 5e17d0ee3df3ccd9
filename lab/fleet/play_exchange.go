package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"cherryramp/lab/history"
)

// ExchangeResult is the outcome of a run of the exchange. It is encoded under its field
// names.
type ExchangeResult struct {
	Fronts                                 int
	Seed                                   uint64
	Served, Refused, Failed, Lost, Excused int64
	Fills                                  int64
	Folder                                 string `json:",omitempty"`
	Verdict                                *history.Verdict
}

// PlayExchange runs a day: requests against one limit at all fronts at once, purges, and a
// partitioned site or, with chaos, random faults; then all faults end, and the recorded
// histories are checked.
func PlayExchange(o ExchangeOptions, span time.Duration, chaos bool) (ExchangeResult, error) {
	d, err := NewExchangeDay(o)
	if err != nil {
		return ExchangeResult{}, err
	}
	d.Log("%d fronts have formed the fleet", len(d.List))
	d.StartClients()
	if chaos {
		d.runChaos(span)
	} else {
		err = d.runSiteCut(span)
	}
	d.Partition()
	if err == nil {
		err = d.settle()
	}
	out := ExchangeResult{Fronts: o.Fronts, Seed: o.Seed}
	v, e := d.Finish()
	err = errors.Join(err, e)
	out.Verdict, out.Fills = v, d.Backends.Fills.Load()
	out.Served, out.Refused, out.Failed, out.Lost, out.Excused = d.Served.Load(), d.Refused.Load(), d.Failed.Load(), d.Lost.Load(), d.Excused.Load()
	if d.keepHistory {
		out.Folder = d.HistoryDir
	}
	return out, errors.Join(err, d.Close())
}

// splitBySite returns the fronts inside and outside a site.
func (d *ExchangeDay) splitBySite(site string) (in, out []*Process) {
	for _, p := range d.List {
		if p.Zone == site {
			in = append(in, p)
		} else {
			out = append(out, p)
		}
	}
	return in, out
}

// Verdicts returns the verdicts that a front holds, as state by name.
func (d *ExchangeDay) Verdicts(p *Process) (verdicts map[string]string) {
	var t struct {
		Holds []struct{ Thing, State string }
	}
	verdicts = map[string]string{}
	if p.Call("FLEET VERDICTS", &t) == nil {
		for _, v := range t.Holds {
			verdicts[v.Thing] = v.State
		}
	}
	return verdicts
}

// AllHoldVerdict reports whether every running front holds a verdict in the given state; an
// empty state means no verdict.
func (d *ExchangeDay) AllHoldVerdict(thing, state string) bool {
	for _, p := range d.List {
		if p.Up() && d.Verdicts(p)[thing] != state {
			return false
		}
	}
	return true
}

// failBox makes a box fail for a while: the fleet must detect it and reach a verdict, and
// drop the verdict after the box recovers.
func (d *ExchangeDay) failBox() error {
	b := d.Backends.Boxes[0]
	began := time.Now()
	d.Log("%s fails", b.Name)
	b.FailPercent.Store(90)
	if err := Await(20*time.Second, func() bool { return d.AllHoldVerdict(b.Name, "failing") }); err != nil {
		text := ""
		for _, p := range d.List {
			var raw json.RawMessage
			e := p.Call("FLEET VERDICTS", &raw)
			text += fmt.Sprintf("%s: %s %v\n", p.Name, raw, e)
		}
		return fmt.Errorf("no verdict on a failing box: %w\n%s", err, text)
	}
	d.Log("all fronts hold the verdict after %.1f s", time.Since(began).Seconds())
	b.FailPercent.Store(0)
	d.Log("%s recovers", b.Name)
	began = time.Now()
	if err := Await(60*time.Second, func() bool { return d.AllHoldVerdict(b.Name, "") }); err != nil {
		return fmt.Errorf("a verdict on a box that has recovered: %w", err)
	}
	d.Log("no front holds the verdict after %.1f s", time.Since(began).Seconds())
	return nil
}

// runSiteCut runs the scenario in which one site is partitioned from the others.
func (d *ExchangeDay) runSiteCut(span time.Duration) error {
	time.Sleep(span / 8)
	if !d.options.Disabled["verdicts"] {
		if err := d.failBox(); err != nil {
			return err
		}
	}
	time.Sleep(span / 8)
	id, err := d.Purge(d.List[0], "object", "o1", "first")
	if err != nil {
		return fmt.Errorf("the first purge: %w", err)
	}
	d.Log("purge %s is requested", id)
	if err := Await(10*time.Second, func() bool { return d.PurgeComplete(d.List[0], id) }); err != nil {
		return fmt.Errorf("the first purge: %w", err)
	}
	in, out := d.splitBySite(d.List[len(d.List)-1].Zone)
	d.Log("%s is partitioned", in[0].Zone)
	d.Partition(in, out)
	time.Sleep(span / 8)
	at, farFront := out[0], in[0]
	if id, err = d.Purge(at, "prefix", "o2", "second"); err != nil {
		return fmt.Errorf("the second purge: %w", err)
	}
	farID, err := d.Purge(farFront, "object", "o3", "third")
	if err != nil {
		return fmt.Errorf("a purge in the partitioned site: %w", err)
	}
	time.Sleep(span / 4)
	if d.PurgeComplete(at, id) || d.PurgeComplete(farFront, farID) {
		return errors.New("a purge is complete while a site is partitioned")
	}
	d.Partition()
	d.Log("connectivity restored")
	for _, p := range []*Process{at, farFront} {
		if err := Await(20*time.Second, func() bool { return d.PurgeComplete(p, id) && d.PurgeComplete(p, farID) }); err != nil {
			return fmt.Errorf("purges after the partition, at %s: %w", p.Name, err)
		}
	}
	d.Log("both purges are complete")
	return nil
}

// settle resumes and restarts all fronts, waits until the fleet has settled, and lets the
// clients run on for a while.
func (d *ExchangeDay) settle() error {
	for _, p := range d.List {
		p.Signal(syscall.SIGCONT)
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := Await(60*time.Second, d.Ready); err != nil {
		return fmt.Errorf("the fleet does not settle: %w\n%s", err, d.StatusReport())
	}
	time.Sleep(7 * time.Second) // leases of stopped fronts have expired
	d.MarkSettled()
	d.Log("the fleet has settled")
	time.Sleep(3 * time.Second)
	return nil
}

// runChaos injects random faults and requests random purges for a span.
func (d *ExchangeDay) runChaos(span time.Duration) {
	r := rand.New(rand.NewPCG(d.options.Seed, 77))
	faults := &player{processes: d.Processes, random: r, onEvent: d.options.Verbose, startedAt: d.startedAt}
	var active activeFaults
	next, purge, n := time.Now().Add(2*time.Second), time.Now().Add(time.Second), 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		if now.After(next) {
			next = now.Add(time.Duration(1500+r.IntN(4000)) * time.Millisecond)
			if undo := faults.injectFault(); undo != nil {
				active = append(active, fault{now.Add(time.Duration(1000+r.IntN(7000)) * time.Millisecond), undo})
			}
		}
		if now.After(purge) {
			purge = now.Add(time.Duration(300+r.IntN(2500)) * time.Millisecond)
			n++
			kind, name := "object", fmt.Sprintf("o%d", r.IntN(d.objects))
			if r.IntN(4) == 0 {
				kind, name = "prefix", name[:2]
			}
			at, asked := d.List[r.IntN(len(d.List))], fmt.Sprintf("chaos-%d-%d", d.options.Seed, n)
			if at.Up() {
				d.wg.Add(1)
				go func() {
					defer d.wg.Done()
					if _, err := d.Purge(at, kind, name, asked); err != nil {
						d.Log("purge %s got no ID: %v", asked, err)
					}
				}()
			}
		}
		active.undoDue(now)
		d.RestartEnded(time.Second)
	}
	active.undoAll()
}
