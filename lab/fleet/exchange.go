package fleet

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
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

// ExchangeOptions configure a run of the exchange.
type ExchangeOptions struct {
	Fronts     int
	Zones      int
	Seed       uint64
	Limit      float64         // hard limit of the tenant, in requests a second
	Burst      float64         // burst of the limit, in requests
	Rate       float64         // requests a second under the limit, at all fronts together
	Reads      float64         // requests a second without the limit
	Boxes      int             // boxes per zone
	Disabled   map[string]bool // parts of the exchange section that are omitted: limits, purges, verdicts, paths, all
	Section    map[string]any  // further entries of the exchange section
	HistoryDir string          // directory of the histories; empty: a temporary one
	Program    string
	Verbose    func(string)
	Settings   func(map[string]any)
}

const linkSecret = "0123456789abcdef0123456789abcdef"

// tenant is the tenant that the limit applies to.
const tenant = "acme"

// SitePath returns the site paths of the fronts: hubs below two regions, west and east.
func SitePath(zones int) func(i int) string {
	return func(i int) string {
		z := i % max(1, zones)
		return fmt.Sprintf("%s/hub-%c", [...]string{"west", "east"}[z%2], 'a'+rune(z%26))
	}
}

// ExchangeDay is a run of started fronts with the exchange enabled, with clients, boxes
// and recorded histories.
type ExchangeDay struct {
	*Processes
	Backends                               *Backends
	HistoryDir                             string
	options                                ExchangeOptions
	worldHistory                           *history.Writer
	clientHistory                          *history.Writer
	http                                   *http.Client
	stop                                   context.CancelFunc
	ctx                                    context.Context
	wg                                     sync.WaitGroup
	number                                 atomic.Uint64
	tenantRate                             atomic.Int64 // requests under the limit at each front, per 1000 s
	objects                                int
	settledAt                              int64
	Served, Refused, Failed, Lost, Excused atomic.Int64
	startedAt                              time.Time
	keepHistory                            bool
}

// NewExchangeDay starts the servers and fronts of a run, and waits until the fronts are
// ready.
func NewExchangeDay(o ExchangeOptions) (d *ExchangeDay, err error) {
	d = &ExchangeDay{options: o, HistoryDir: o.HistoryDir, keepHistory: o.HistoryDir != "", objects: 60, startedAt: time.Now()}
	if d.HistoryDir == "" {
		if d.HistoryDir, err = os.MkdirTemp("", "history"); err != nil {
			return nil, err
		}
	} else if list, e := os.ReadDir(d.HistoryDir); e == nil && len(list) > 0 {
		return nil, fmt.Errorf("%s is not empty: a history needs an empty folder", d.HistoryDir)
	} else if err = os.MkdirAll(d.HistoryDir, 0o700); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, d.Close())
		}
	}()
	if d.worldHistory, err = history.Open(d.HistoryDir, "world"); err != nil {
		return d, err
	}
	if d.clientHistory, err = history.Open(d.HistoryDir, "clients"); err != nil {
		return d, err
	}
	boxes := max(1, o.Boxes)
	if d.Backends, err = NewBackends([]string{"edge-1"}, boxes, d.worldHistory); err != nil {
		return d, err
	}
	path := SitePath(o.Zones)
	d.Processes, err = NewProcesses(Options{Program: o.Program, Fronts: o.Fronts, Zones: o.Zones, Seed: o.Seed, UseProxies: true, SitePath: path,
		Sections: func(p *Process) map[string]any { return d.sections(p) },
		Config: func(name, listen string, _ int) string {
			return fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
		"board":%q,"known":{"rev":1,"notices":[{"rev":1,"pool":{"revision":0,"complete":true,"members":[%s]}}]},"settings":%s}`,
				name, listen, d.Backends.noticeBoardAddress, d.Backends.Members((*Box).Addr), site.Settings())
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
		err = fmt.Errorf("the fleet does not settle: %w\n%s", err, d.StatusReport())
	}
	return d, err
}

func (d *ExchangeDay) sections(p *Process) map[string]any {
	o := d.options
	x := map[string]any{"history": history.Path(d.HistoryDir, p.Name), "part_s": 4, "keeper_s": 1.5}
	if !o.Disabled["limits"] {
		x["limits"] = []map[string]any{{"name": "acme-rate", "for": "tenant", "of": tenant, "kind": "rate", "amount": o.Limit, "burst": o.Burst, "hard": true}}
	}
	if !o.Disabled["purges"] {
		x["purges"] = map[string]any{"return_s": 3}
	}
	if !o.Disabled["verdicts"] {
		x["verdicts"] = map[string]any{"span_s": 4, "half_life_s": 5, "least": 3}
	}
	if !o.Disabled["paths"] {
		x["paths"] = map[string]any{"half_life_s": 5, "stale_s": 6}
	}
	for k, v := range o.Section {
		x[k] = v
	}
	s := map[string]any{"signed": map[string]any{"listen": p.Signed, "branch": "edge-1",
		"rings":    []map[string]any{{"name": "links", "keys": []map[string]any{{"name": "k", "secret": linkSecret}}}},
		"tenants":  []map[string]any{{"name": tenant}},
		"profiles": []map[string]any{{"name": "p", "tenant": tenant, "format": "timed", "ring": "links", "query": "verify", "describe": map[string]any{"message": "{path}{expires}", "token": "{expires}-{mac}", "digest": "hmac-sha256", "encoding": "hex"}}}}}
	if !o.Disabled["all"] {
		s["exchange"] = x
	}
	return s
}

// signedLink returns the path and query of a validly signed link to an object.
func signedLink(object string) string {
	path := "/files/page-asset/17/" + object
	expires := strconv.FormatInt(time.Now().Add(time.Hour).Unix(), 10)
	m := hmac.New(sha256.New, []byte(linkSecret))
	m.Write([]byte(path + expires))
	return path + "?verify=" + expires + "-" + hex.EncodeToString(m.Sum(nil))
}

// Ready reports whether the fleet has settled and, unless the exchange is off, all running
// fronts have joined its tree.
func (d *ExchangeDay) Ready() bool {
	if !d.Settled() {
		return false
	}
	for _, p := range d.List {
		if !p.Up() || d.options.Disabled["all"] {
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

// Log records an event in the history and passes it to Verbose.
func (d *ExchangeDay) Log(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.worldHistory.Write(history.Event{Kind: "world", Detail: text})
	if d.options.Verbose != nil {
		d.options.Verbose(fmt.Sprintf("%7.2f  %s", time.Since(d.startedAt).Seconds(), text))
	}
}

// StartClients starts the clients of each front: those under the limit and, if Reads is
// set, those without it.
func (d *ExchangeDay) StartClients() {
	d.tenantRate.Store(int64(d.options.Rate * 1000 / float64(len(d.List))))
	for i, p := range d.List {
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			d.runClient(p, rand.New(rand.NewPCG(d.options.Seed, uint64(i))), func() float64 { return float64(d.tenantRate.Load()) / 1000 }, func(object string) string { return signedLink(object) }, p.Signed, tenant)
		}()
		if d.options.Reads > 0 {
			d.wg.Add(1)
			go func() {
				defer d.wg.Done()
				each := d.options.Reads / float64(len(d.List))
				d.runClient(p, rand.New(rand.NewPCG(d.options.Seed, 1000+uint64(i))), func() float64 { return each }, func(object string) string { return "/call/page-asset/" + object }, p.Listen, "")
			}()
		}
	}
}

// runClient sends requests to one front, with exponentially distributed gaps around a
// mean rate.
func (d *ExchangeDay) runClient(p *Process, r *rand.Rand, rate func() float64, target func(object string) string, address, tenant string) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, 256)
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
		case slots <- struct{}{}:
		default:
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.request(p, "http://"+address+target(object), object, tenant)
			<-slots
		}()
	}
}

func (d *ExchangeDay) request(p *Process, url, object, tenant string) {
	n := d.number.Add(1)
	killed, pid, stopped := p.Interruptions.Load(), p.Pid(), p.Stopped()
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		panic(err) // can't happen: the URL is well-formed
	}
	if tenant == "" {
		r.Header.Set("Req-Id", fmt.Sprintf("%016x", n))
		r.Header.Set("Req-Wait-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
		r.Header.Set("X-Bucket", "17")
	}
	e := history.Event{At: history.Now(), Kind: "request", ID: n, Front: p.Name, Object: object, Tenant: tenant}
	response, err := d.http.Do(r)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	e.End = history.Now()
	switch {
	case err != nil && (errors.Is(err, syscall.ECONNREFUSED) || isDialError(err)):
		return // nothing was sent
	case err != nil && (pid == 0 || e.At/1e6-history.Now()/1e6+time.Now().UnixMilli()-p.killedAt.Load() < 2000):
		return // the front was down: an idle connection to its previous process
	case err != nil && (stopped || p.Interruptions.Load() != killed || p.Pid() != pid):
		e.Excuse = "the front was killed or stopped"
		d.Excused.Add(1)
	case err != nil:
		e.Detail = err.Error()
		d.Lost.Add(1)
	default:
		e.Status = response.StatusCode
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
	d.clientHistory.Write(e)
}

// Purge requests a purge at a front, and repeats the request under the same name for up to
// 30 s until it gets an ID.
func (d *ExchangeDay) Purge(p *Process, kind, name, asked string) (id string, err error) {
	var result map[string]string
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		at := history.Now()
		err = p.Call(fmt.Sprintf(`FLEET PURGE ASK {"kind":%q,"name":%q,"asked":%q}`, kind, name, asked), &result)
		if err == nil {
			d.worldHistory.Write(history.Event{At: at, Kind: "numbered", RequestKey: asked, Purge: result["id"], End: history.Now()})
			return result["id"], nil
		}
	}
	return "", err
}

// PurgeComplete reports whether a front knows that a purge is complete.
func (d *ExchangeDay) PurgeComplete(p *Process, id string) bool {
	var t struct{ Complete bool }
	return p.Call("FLEET PURGE WHY "+id, &t) == nil && t.Complete
}

// MarkSettled records that from now on connectivity is restored and the fleet has settled.
func (d *ExchangeDay) MarkSettled() { d.settledAt = history.Now() }

// Finish stops clients and fronts, and checks the recorded histories.
func (d *ExchangeDay) Finish() (*history.Verdict, error) {
	ended := history.Now()
	d.stop()
	d.wg.Wait()
	d.http.CloseIdleConnections()
	for _, p := range d.List { // histories are written continuously, except for requests in progress
		_ = p.Stop()
		if d.keepHistory {
			if text, err := os.ReadFile(p.Log); err == nil {
				_ = os.WriteFile(filepath.Join(d.HistoryDir, p.Name+".log"), text, 0o600)
			}
		}
	}
	w := history.RunInfo{Sites: map[string]string{}, SettledAt: d.settledAt, EndedAt: ended, Seed: d.options.Seed}
	for _, p := range d.List {
		w.Fronts = append(w.Fronts, p.Name)
		w.Sites[p.Name] = p.Zone
	}
	if !d.options.Disabled["limits"] && !d.options.Disabled["all"] {
		w.Limits = append(w.Limits, history.LimitSpec{Limit: "acme-rate", Kind: "rate", Amount: d.options.Limit, Burst: d.options.Burst, Hard: true})
	}
	if err := errors.Join(d.worldHistory.Close(), d.clientHistory.Close(), history.WriteRunInfo(d.HistoryDir, w)); err != nil {
		return nil, err
	}
	d.worldHistory, d.clientHistory = nil, nil
	h, err := history.Read(d.HistoryDir)
	if err != nil {
		return nil, err
	}
	return history.Check(h), nil
}

// Close stops everything that the run started.
func (d *ExchangeDay) Close() (err error) {
	if d.stop != nil {
		d.stop()
		d.wg.Wait()
	}
	if d.Processes != nil {
		err = d.Processes.Close()
	}
	if d.Backends != nil {
		d.Backends.Close()
	}
	for _, w := range []*history.Writer{d.worldHistory, d.clientHistory} {
		if w != nil {
			err = errors.Join(err, w.Close())
		}
	}
	if !d.keepHistory {
		_ = os.RemoveAll(filepath.Clean(d.HistoryDir))
	}
	return err
}
