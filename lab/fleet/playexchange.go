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

// Exchanged is what became of a day of the exchange.
type ExchangeResult struct {
	Fronts                                 int
	Seed                                   uint64
	Served, Refused, Failed, Lost, Excused int64
	Fills                                  int64
	Folder                                 string `json:",omitempty"`
	Verdict                                *history.Verdict
}

// PlayShared plays a day: one limit asked at all fronts at once, purges, a site cut off in
// the middle or, with chaos, random troubles; then all is well again, and the judge reads
// the histories.
func PlayExchange(o ExchangeOptions, span time.Duration, chaos bool) (ExchangeResult, error) {
	d, err := NewExchangeDay(o)
	if err != nil {
		return ExchangeResult{}, err
	}
	d.Log("%d fronts have come together", len(d.List))
	d.StartClients()
	if chaos {
		d.chaos(span)
	} else {
		err = d.cut(span)
	}
	d.Partition()
	if err == nil {
		err = d.rest()
	}
	out := ExchangeResult{Fronts: o.Fronts, Seed: o.Seed}
	v, e := d.Finish()
	err = errors.Join(err, e)
	out.Verdict, out.Fills = v, d.Backends.Fills.Load()
	out.Served, out.Refused, out.Failed, out.Lost, out.Excused = d.Served.Load(), d.Refused.Load(), d.Failed.Load(), d.Lost.Load(), d.Excused.Load()
	if d.keepIt {
		out.Folder = d.HistoryDir
	}
	return out, errors.Join(err, d.Close())
}

// others are the fronts of all sites but one's.
func (d *ExchangeDay) others(site string) (in, out []*Process) {
	for _, p := range d.List {
		if p.Zone == site {
			in = append(in, p)
		} else {
			out = append(out, p)
		}
	}
	return in, out
}

// Verdicts are what a front holds.
func (d *ExchangeDay) Verdicts(p *Process) (held map[string]string) {
	var t struct {
		Holds []struct{ Thing, State string }
	}
	held = map[string]string{}
	if p.Call("FLEET VERDICTS", &t) == nil {
		for _, v := range t.Holds {
			held[v.Thing] = v.State
		}
	}
	return held
}

// AllJudge tells whether every front that runs holds a verdict, or none does.
func (d *ExchangeDay) AllHoldVerdict(thing, state string) bool {
	for _, p := range d.List {
		if p.Up() && d.Verdicts(p)[thing] != state {
			return false
		}
	}
	return true
}

// sick has a box fail for a while: the fleet must find it, leave it, and come back to it.
func (d *ExchangeDay) sick() error {
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
		return fmt.Errorf("no verdict on a box that fails: %w\n%s", err, text)
	}
	d.Log("all fronts hold the verdict, after %.1f s", time.Since(began).Seconds())
	b.FailPercent.Store(0)
	d.Log("%s is well again", b.Name)
	began = time.Now()
	if err := Await(60*time.Second, func() bool { return d.AllHoldVerdict(b.Name, "") }); err != nil {
		return fmt.Errorf("a verdict on a box that is well again: %w", err)
	}
	d.Log("nobody holds it any more, after %.1f s", time.Since(began).Seconds())
	return nil
}

// cut is the day of one site cut off in the middle.
func (d *ExchangeDay) cut(span time.Duration) error {
	time.Sleep(span / 8)
	if !d.o.Disabled["verdicts"] {
		if err := d.sick(); err != nil {
			return err
		}
	}
	time.Sleep(span / 8)
	id, err := d.Purge(d.List[0], "object", "o1", "first")
	if err != nil {
		return fmt.Errorf("the first purge: %w", err)
	}
	d.Log("purge %s is asked for", id)
	if err := Await(10*time.Second, func() bool { return d.PurgeComplete(d.List[0], id) }); err != nil {
		return fmt.Errorf("the first purge: %w", err)
	}
	in, out := d.others(d.List[len(d.List)-1].Zone)
	d.Log("%s is cut off", in[0].Zone)
	d.Partition(in, out)
	time.Sleep(span / 8)
	at, far := out[0], in[0]
	if id, err = d.Purge(at, "prefix", "o2", "second"); err != nil {
		return fmt.Errorf("the second purge: %w", err)
	}
	there, err := d.Purge(far, "object", "o3", "third")
	if err != nil {
		return fmt.Errorf("a purge in the site that is cut off: %w", err)
	}
	time.Sleep(span / 4)
	if d.PurgeComplete(at, id) || d.PurgeComplete(far, there) {
		return errors.New("a purge is complete while a site is cut off")
	}
	d.Partition()
	d.Log("all hear all")
	for _, p := range []*Process{at, far} {
		if err := Await(20*time.Second, func() bool { return d.PurgeComplete(p, id) && d.PurgeComplete(p, there) }); err != nil {
			return fmt.Errorf("purges after the cut, at %s: %w", p.Name, err)
		}
	}
	d.Log("both purges are complete")
	return nil
}

// rest has all come back and come to rest, and goes on for a while.
func (d *ExchangeDay) rest() error {
	for _, p := range d.List {
		p.Signal(syscall.SIGCONT)
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := Await(60*time.Second, d.Ready); err != nil {
		return fmt.Errorf("the fleet does not come to rest: %w\n%s", err, d.StatusReport())
	}
	time.Sleep(7 * time.Second) // parts of the dead are over
	d.MarkSettled()
	d.Log("all is well")
	time.Sleep(3 * time.Second)
	return nil
}

// chaos has things go wrong at random for a span.
func (d *ExchangeDay) chaos(span time.Duration) {
	r := rand.New(rand.NewPCG(d.o.Seed, 77))
	pl := &player{f: d.Processes, r: r, say: d.o.Verbose, began: d.began}
	var mends pending
	next, purge, n := time.Now().Add(2*time.Second), time.Now().Add(time.Second), 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		if now.After(next) {
			next = now.Add(time.Duration(1500+r.IntN(4000)) * time.Millisecond)
			if mend := pl.trouble(); mend != nil {
				mends = append(mends, trouble{now.Add(time.Duration(1000+r.IntN(7000)) * time.Millisecond), mend})
			}
		}
		if now.After(purge) {
			purge = now.Add(time.Duration(300+r.IntN(2500)) * time.Millisecond)
			n++
			kind, name := "object", fmt.Sprintf("o%d", r.IntN(d.objects))
			if r.IntN(4) == 0 {
				kind, name = "prefix", name[:2]
			}
			at, asked := d.List[r.IntN(len(d.List))], fmt.Sprintf("chaos-%d-%d", d.o.Seed, n)
			if at.Up() {
				d.wg.Add(1)
				go func() {
					defer d.wg.Done()
					if _, err := d.Purge(at, kind, name, asked); err != nil {
						d.Log("purge %s has no number: %v", asked, err)
					}
				}()
			}
		}
		mends.due(now)
		d.RestartEnded(time.Second)
	}
	mends.all()
}
