package fleet

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cherryramp/lab/history"
	"cherryramp/lab/site"
)

// Shared is what a day of the exchange is set up with.
type Shared struct {
	Fronts   int
	Zones    int
	Seed     uint64
	Limit    float64         // requests a second of the tenant, hard
	Burst    float64         //
	Rate     float64         // requests a second that clients ask for under it, at all fronts together
	Reads    float64         // requests a second beside it
	Boxes    int             // a zone
	Off      map[string]bool // subjects of the section that are left out: limits, purges, verdicts, paths, all
	Section  map[string]any  // beside what the day sets
	Keep     string          // the folder of the histories; empty: one that goes with the day
	Program  string
	Verbose  func(string)
	Settings func(map[string]any)
}

const secret = "0123456789abcdef0123456789abcdef"

// tenant is whom the day's limit is for.
const tenant = "acme"

// SitePath is where the fronts of a day stand: branches below hubs below two sides.
func SitePath(zones int) func(i int) string {
	return func(i int) string {
		z := i % max(1, zones)
		return fmt.Sprintf("%s/hub-%c", [...]string{"west", "east"}[z%2], 'a'+rune(z%26))
	}
}

// SharedDay is started fronts that exchange, with clients, boxes and histories.
type SharedDay struct {
	*Processes
	Stand                                  *Stand
	Folder                                 string
	o                                      Shared
	world                                  *history.Writer
	asks                                   *history.Writer
	http                                   *http.Client
	stop                                   context.CancelFunc
	ctx                                    context.Context
	wg                                     sync.WaitGroup
	number                                 atomic.Uint64
	rate                                   atomic.Int64 // of each front's clients under the limit, in thousandths a second
	objects                                int
	settled                                int64
	Served, Refused, Failed, Lost, Excused atomic.Int64
	began                                  time.Time
	keepIt                                 bool
}

// NewDay sets a day up and starts its fronts; it waits until they serve.
func NewDay(o Shared) (d *SharedDay, err error) {
	d = &SharedDay{o: o, Folder: o.Keep, keepIt: o.Keep != "", objects: 60, began: time.Now()}
	if d.Folder == "" {
		if d.Folder, err = os.MkdirTemp("", "history"); err != nil {
			return nil, err
		}
	} else if list, e := os.ReadDir(d.Folder); e == nil && len(list) > 0 {
		return nil, fmt.Errorf("%s holds something already: a history begins in an empty folder", d.Folder)
	} else if err = os.MkdirAll(d.Folder, 0o700); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, d.Close())
		}
	}()
	if d.world, err = history.Open(d.Folder, "world"); err != nil {
		return d, err
	}
	if d.asks, err = history.Open(d.Folder, "clients"); err != nil {
		return d, err
	}
	boxes := max(1, o.Boxes)
	if d.Stand, err = NewStand([]string{"edge-1"}, boxes, d.world); err != nil {
		return d, err
	}
	path := SitePath(o.Zones)
	d.Processes, err = NewProcesses(Options{Program: o.Program, Fronts: o.Fronts, Zones: o.Zones, Seed: o.Seed, Lines: true, SiteOf: path,
		Sections: func(p *Process) map[string]any { return d.sections(p) },
		Config: func(name, listen string, _ int) string {
			return fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
		"board":%q,"known":{"rev":1,"notices":[{"rev":1,"pool":{"revision":0,"complete":true,"members":[%s]}}]},"settings":%s}`,
				name, listen, d.Stand.at, d.Stand.Members((*Box).Addr), site.Settings())
		}})
	if err != nil {
		return d, err
	}
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.http = &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 2 * time.Second}}
	if err = d.StartAll(); err != nil {
		return d, err
	}
	if err = Await(90*time.Second, d.Ready); err != nil {
		err = fmt.Errorf("the fleet does not come together: %w\n%s", err, d.Unsettled())
	}
	return d, err
}

func (d *SharedDay) sections(p *Process) map[string]any {
	o := d.o
	x := map[string]any{"history": history.Path(d.Folder, p.Name), "part_s": 4, "keeper_s": 1.5}
	if !o.Off["limits"] {
		x["limits"] = []map[string]any{{"name": "acme-rate", "for": "tenant", "of": tenant, "kind": "rate", "amount": o.Limit, "burst": o.Burst, "hard": true}}
	}
	if !o.Off["purges"] {
		x["purges"] = map[string]any{"return_s": 3}
	}
	if !o.Off["verdicts"] {
		x["verdicts"] = map[string]any{"span_s": 4, "half_life_s": 5, "least": 3}
	}
	if !o.Off["paths"] {
		x["paths"] = map[string]any{"half_life_s": 5, "stale_s": 6}
	}
	for k, v := range o.Section {
		x[k] = v
	}
	s := map[string]any{"signed": map[string]any{"listen": p.Signed, "branch": "edge-1",
		"rings":    []map[string]any{{"name": "links", "keys": []map[string]any{{"name": "k", "secret": secret}}}},
		"tenants":  []map[string]any{{"name": tenant}},
		"profiles": []map[string]any{{"name": "p", "tenant": tenant, "format": "timed", "ring": "links", "query": "verify", "describe": map[string]any{"message": "{path}{expires}", "token": "{expires}-{mac}", "digest": "hmac-sha256", "encoding": "hex"}}}}}
	if !o.Off["all"] {
		s["exchange"] = x
	}
	return s
}

// link is a link that the signed front lets in.
func link(object string) string {
	path := "/files/page-asset/17/" + object
	expires := strconv.FormatInt(time.Now().Add(time.Hour).Unix(), 10)
	m := hmac.New(sha256.New, []byte(secret))
	m.Write([]byte(path + expires))
	return path + "?verify=" + expires + "-" + hex.EncodeToString(m.Sum(nil))
}

// Ready tells whether all fronts that run are of the fleet, and serve.
func (d *SharedDay) Ready() bool {
	if !d.Settled() {
		return false
	}
	for _, p := range d.List {
		if !p.Up() || d.o.Off["all"] {
			continue
		}
		var t struct {
			Open  bool
			Sites []any
			Roles []struct {
				To   string `json:"attached_to"`
				Role string
			}
		}
		if p.Call("FLEET TREE", &t) != nil || !t.Open || len(t.Sites) == 0 {
			return false
		}
		for _, r := range t.Roles {
			if r.To == "" && r.Role != "root" {
				return false
			}
		}
	}
	return true
}

// Tell notes what happened to whom.
func (d *SharedDay) Tell(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.world.Write(history.Event{E: "world", Told: text})
	if d.o.Verbose != nil {
		d.o.Verbose(fmt.Sprintf("%7.2f  %s", time.Since(d.began).Seconds(), text))
	}
}

// Clients begin to ask: each front under the limit at its share of the rate, and all of
// them beside it.
func (d *SharedDay) Clients() {
	d.rate.Store(int64(d.o.Rate * 1000 / float64(len(d.List))))
	for i, p := range d.List {
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			d.client(p, rand.New(rand.NewPCG(d.o.Seed, uint64(i))), func() float64 { return float64(d.rate.Load()) / 1000 }, func(object string) string { return link(object) }, p.Signed, tenant)
		}()
		if d.o.Reads > 0 {
			d.wg.Add(1)
			go func() {
				defer d.wg.Done()
				each := d.o.Reads / float64(len(d.List))
				d.client(p, rand.New(rand.NewPCG(d.o.Seed, 1000+uint64(i))), func() float64 { return each }, func(object string) string { return "/call/page-asset/" + object }, p.Listen, "")
			}()
		}
	}
}

// client asks one front, at random moments of a steady rate.
func (d *SharedDay) client(p *Process, r *rand.Rand, rate func() float64, target func(object string) string, address, tenant string) {
	var wg sync.WaitGroup
	defer wg.Wait()
	places := make(chan struct{}, 256)
	for next := time.Now(); d.ctx.Err() == nil; {
		next = next.Add(time.Duration(r.ExpFloat64() / max(0.1, rate()) * 1e9))
		if wait := time.Until(next); wait > 0 {
			select {
			case <-time.After(wait):
			case <-d.ctx.Done():
				return
			}
		} else if wait < -time.Second {
			next = time.Now()
		}
		object := fmt.Sprintf("o%d", r.IntN(d.objects))
		select {
		case places <- struct{}{}:
		default:
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.ask(p, "http://"+address+target(object), object, tenant)
			<-places
		}()
	}
}

func (d *SharedDay) ask(p *Process, url, object, tenant string) {
	n := d.number.Add(1)
	killed, pid, stopped := p.Killed.Load(), p.Pid(), p.Stopped()
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		panic(err) // the address is the laboratory's own
	}
	if tenant == "" {
		r.Header.Set("Req-Id", fmt.Sprintf("%016x", n))
		r.Header.Set("Req-Wait-Ms", fmt.Sprint(clientWait.Milliseconds()))
		r.Header.Set("X-Bucket", "17")
	}
	e := history.Event{At: history.Now(), E: "request", ID: n, Front: p.Name, Object: object, Tenant: tenant}
	answer, err := d.http.Do(r)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
	}
	e.End = history.Now()
	switch {
	case err != nil && (errors.Is(err, syscall.ECONNREFUSED) || isDial(err)):
		return // nothing was sent
	case err != nil && (stopped || p.Killed.Load() != killed || p.Pid() != pid):
		e.Excuse = "the front was killed or stopped"
		d.Excused.Add(1)
	case err != nil:
		e.Told = err.Error()
		d.Lost.Add(1)
	default:
		e.Status = answer.StatusCode
		switch {
		case e.Status == 200:
			d.Served.Add(1)
			if rest, ok := strings.CutPrefix(string(body[:min(len(body), 64)]), "filled="); ok {
				number, _, _ := strings.Cut(rest, " ")
				e.Filled, _ = strconv.ParseInt(number, 10, 64)
			}
		case e.Status == 429 || e.Status == 503:
			d.Refused.Add(1)
		default:
			d.Failed.Add(1)
		}
	}
	d.asks.Write(e)
}

// Purge asks a front for a purge, and again under the same name until it has a number.
func (d *SharedDay) Purge(p *Process, kind, name, asked string) (id string, err error) {
	var word map[string]string
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		at := history.Now()
		err = p.Call(fmt.Sprintf(`FLEET PURGE ASK {"kind":%q,"name":%q,"asked":%q}`, kind, name, asked), &word)
		if err == nil {
			d.world.Write(history.Event{At: at, E: "numbered", Asked: asked, Purge: word["id"], End: history.Now()})
			return word["id"], nil
		}
	}
	return "", err
}

// Complete tells whether a front knows a purge to be complete.
func (d *SharedDay) Complete(p *Process, id string) bool {
	var t struct{ Complete bool }
	return p.Call("FLEET PURGE WHY "+id, &t) == nil && t.Complete
}

// Settle notes that from now on all is in contact and has had time to come to rest.
func (d *SharedDay) Settle() { d.settled = history.Now() }

// End ends the clients, and judges what the day has left.
func (d *SharedDay) End() (*history.Verdict, error) {
	ended := history.Now()
	d.stop()
	d.wg.Wait()
	d.http.CloseIdleConnections()
	for _, p := range d.List { // their histories are written as they happen, but for what is under way
		_ = p.Stop()
		if d.keepIt {
			if text, err := os.ReadFile(p.Log); err == nil {
				_ = os.WriteFile(filepath.Join(d.Folder, p.Name+".log"), text, 0o600)
			}
		}
	}
	w := history.World{Sites: map[string]string{}, Settle: d.settled, Ended: ended, Seed: d.o.Seed}
	for _, p := range d.List {
		w.Fronts = append(w.Fronts, p.Name)
		w.Sites[p.Name] = p.Zone
	}
	if !d.o.Off["limits"] && !d.o.Off["all"] {
		w.Limits = append(w.Limits, history.Promise{Limit: "acme-rate", Kind: "rate", Amount: d.o.Limit, Burst: d.o.Burst, Hard: true})
	}
	if err := errors.Join(d.world.Close(), d.asks.Close(), history.WriteWorld(d.Folder, w)); err != nil {
		return nil, err
	}
	d.world, d.asks = nil, nil
	h, err := history.Read(d.Folder)
	if err != nil {
		return nil, err
	}
	return history.Judge(h), nil
}

// Close ends all that the day started.
func (d *SharedDay) Close() (err error) {
	if d.stop != nil {
		d.stop()
		d.wg.Wait()
	}
	if d.Processes != nil {
		err = d.Processes.Close()
	}
	if d.Stand != nil {
		d.Stand.Close()
	}
	for _, w := range []*history.Writer{d.world, d.asks} {
		if w != nil {
			err = errors.Join(err, w.Close())
		}
	}
	if !d.keepIt {
		_ = os.RemoveAll(filepath.Clean(d.Folder))
	}
	return err
}

// Exchanged is what became of a day of the exchange.
type Exchanged struct {
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
func PlayShared(o Shared, span time.Duration, chaos bool) (Exchanged, error) {
	d, err := NewDay(o)
	if err != nil {
		return Exchanged{}, err
	}
	d.Tell("%d fronts have come together", len(d.List))
	d.Clients()
	if chaos {
		d.chaos(span)
	} else {
		err = d.cut(span)
	}
	d.Part()
	if err == nil {
		err = d.rest()
	}
	out := Exchanged{Fronts: o.Fronts, Seed: o.Seed}
	v, e := d.End()
	err = errors.Join(err, e)
	out.Verdict, out.Fills = v, d.Stand.Fills.Load()
	out.Served, out.Refused, out.Failed, out.Lost, out.Excused = d.Served.Load(), d.Refused.Load(), d.Failed.Load(), d.Lost.Load(), d.Excused.Load()
	if d.keepIt {
		out.Folder = d.Folder
	}
	return out, errors.Join(err, d.Close())
}

// others are the fronts of all sites but one's.
func (d *SharedDay) others(site string) (in, out []*Process) {
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
func (d *SharedDay) Verdicts(p *Process) (held map[string]string) {
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
func (d *SharedDay) AllJudge(thing, state string) bool {
	for _, p := range d.List {
		if p.Up() && d.Verdicts(p)[thing] != state {
			return false
		}
	}
	return true
}

// sick has a box fail for a while: the fleet must find it, leave it, and come back to it.
func (d *SharedDay) sick() error {
	b := d.Stand.Boxes[0]
	began := time.Now()
	d.Tell("%s fails", b.Name)
	b.Fail.Store(90)
	if err := Await(20*time.Second, func() bool { return d.AllJudge(b.Name, "failing") }); err != nil {
		text := ""
		for _, p := range d.List {
			var raw json.RawMessage
			e := p.Call("FLEET VERDICTS", &raw)
			text += fmt.Sprintf("%s: %s %v\n", p.Name, raw, e)
		}
		return fmt.Errorf("no verdict on a box that fails: %w\n%s", err, text)
	}
	d.Tell("all fronts hold the verdict, after %.1f s", time.Since(began).Seconds())
	b.Fail.Store(0)
	d.Tell("%s is well again", b.Name)
	began = time.Now()
	if err := Await(60*time.Second, func() bool { return d.AllJudge(b.Name, "") }); err != nil {
		return fmt.Errorf("a verdict on a box that is well again: %w", err)
	}
	d.Tell("nobody holds it any more, after %.1f s", time.Since(began).Seconds())
	return nil
}

// cut is the day of one site cut off in the middle.
func (d *SharedDay) cut(span time.Duration) error {
	time.Sleep(span / 8)
	if !d.o.Off["verdicts"] {
		if err := d.sick(); err != nil {
			return err
		}
	}
	time.Sleep(span / 8)
	id, err := d.Purge(d.List[0], "object", "o1", "first")
	if err != nil {
		return fmt.Errorf("the first purge: %w", err)
	}
	d.Tell("purge %s is asked for", id)
	if err := Await(10*time.Second, func() bool { return d.Complete(d.List[0], id) }); err != nil {
		return fmt.Errorf("the first purge: %w", err)
	}
	in, out := d.others(d.List[len(d.List)-1].Zone)
	d.Tell("%s is cut off", in[0].Zone)
	d.Part(in, out)
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
	if d.Complete(at, id) || d.Complete(far, there) {
		return errors.New("a purge is complete while a site is cut off")
	}
	d.Part()
	d.Tell("all hear all")
	for _, p := range []*Process{at, far} {
		if err := Await(20*time.Second, func() bool { return d.Complete(p, id) && d.Complete(p, there) }); err != nil {
			return fmt.Errorf("purges after the cut, at %s: %w", p.Name, err)
		}
	}
	d.Tell("both purges are complete")
	return nil
}

// rest has all come back and come to rest, and goes on for a while.
func (d *SharedDay) rest() error {
	for _, p := range d.List {
		p.Signal(syscall.SIGCONT)
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := Await(60*time.Second, d.Ready); err != nil {
		return fmt.Errorf("the fleet does not come to rest: %w\n%s", err, d.Unsettled())
	}
	time.Sleep(7 * time.Second) // parts of the dead are over
	d.Settle()
	d.Tell("all is well")
	time.Sleep(3 * time.Second)
	return nil
}

// chaos has things go wrong at random for a span.
func (d *SharedDay) chaos(span time.Duration) {
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
						d.Tell("purge %s has no number: %v", asked, err)
					}
				}()
			}
		}
		mends.due(now)
		d.Revive(time.Second)
	}
	mends.all()
}
