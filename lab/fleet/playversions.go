package fleet

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"cherryramp/internal/fleet"
	"cherryramp/lab/site"
)

// PlayedVersions is what became of a day on which versions were proposed to started
// fronts.
type PlayedVersions struct {
	Played
	Proposed int
	Ended    map[string]int // versions by how they ended
	Bars     int            // that passed
	Probed   int            // answers read, for what they tell of the version acted on
	Audited  int            // requests looked for in the audits, and found under one version
	Samples  []Sample       `json:"-"`
	Names    []string       `json:"-"`
}

// Sample is what a front said it acted on at a moment.
type Sample struct {
	At      time.Duration
	Front   int
	Version uint64
	MayAct  bool
	Reached bool
}

// VersionRules are rules with leases, for versions with bars.
func VersionRules() map[string]any {
	r := shortRules()
	r["alone_s"], r["empty_s"], r["hurt_percent"], r["lag_percent"] = 3, 1, 90, 60
	return r
}

// Probe is a version whose settings have one class more, by which a front's answers
// show what it acts on: it serves "probe-N", and no other probe.
func ProbeSettings(n int) string {
	var s struct {
		Grades []map[string]any `json:"grades"`
	}
	if err := json.Unmarshal([]byte(site.Settings()), &s); err != nil {
		panic(err) // the laboratory's own
	}
	for _, g := range s.Grades {
		if g["name"] == "page-asset" {
			x := map[string]any{}
			for k, v := range g {
				x[k] = v
			}
			x["name"] = fmt.Sprintf("probe-%d", n)
			s.Grades = append(s.Grades, x)
			break
		}
	}
	text, err := json.Marshal(map[string]any{"settings": s})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// Propose stages a file at a front and proposes it.
func (p *Process) Propose(file string, x fleet.Proposal) (uint64, error) {
	x.Upload = fmt.Sprint(time.Now().UnixNano())
	for b := range slices.Chunk([]byte(file), 2400) {
		if err := p.Call("FLEET VERSIONS STAGE "+x.Upload+" "+base64.StdEncoding.EncodeToString(b), nil); err != nil {
			return 0, err
		}
	}
	text, err := json.Marshal(x)
	if err != nil {
		return 0, err
	}
	var word map[string]uint64
	err = p.Call("FLEET VERSIONS PROPOSE "+string(text), &word)
	return word["version"], err
}

// Versions is what a front knows of them.
func (p *Process) Versions() (list []fleet.Version, err error) {
	return list, p.Call("FLEET VERSIONS LIST", &list)
}

// Asks asks a front for a page of a class; away is its time to come back.
func (p *Process) RequestPage(class, id string, within time.Duration) (status int, away string, err error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+p.Listen+"/call/"+class+"/o1", nil)
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Wait-Ms", "2000")
	r.Header.Set("X-Bucket", "17")
	c := http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0, "", err
	}
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode, a.Header.Get("Srv-Wait-Ms"), a.Body.Close()
}

// versionDay is a day of versions.
type versionDay struct {
	*player
	out    PlayedVersions
	probes map[uint64]int // class by version
	mu     sync.Mutex
	passed uint64            // the newest version whose bar is said to have passed
	ids    map[string]string // requests that were answered: by which front
}

// PlayVersions has versions proposed to started fronts under requests while things go
// wrong; then all is well again, and every front must act on one version.
func PlayVersions(o Options, span time.Duration, rate float64, troubles bool, say func(string)) (PlayedVersions, error) {
	o.Rules = VersionRules()
	v := &versionDay{probes: map[uint64]int{}, ids: map[string]string{}}
	played, err := play(o, rate, say, func(p *player) {
		v.player = p
		v.day(span, troubles)
		p.heal()
		v.rest()
	})
	v.out.Played = played
	return v.out, err
}

func (v *versionDay) day(span time.Duration, troubles bool) {
	v.out.Ended = map[string]int{}
	for _, p := range v.f.List {
		v.out.Names = append(v.out.Names, p.Name)
	}
	end, nextOne, nextTrouble := time.Now().Add(span), time.Now(), time.Now().Add(3*time.Second)
	var mends pending
	for time.Now().Before(end) {
		now := time.Now()
		if now.After(nextOne) {
			nextOne = now.Add(time.Duration(2000+v.r.IntN(5000)) * time.Millisecond)
			v.propose()
		}
		if troubles && now.After(nextTrouble) {
			nextTrouble = now.Add(time.Duration(2000+v.r.IntN(6000)) * time.Millisecond)
			if mend := v.trouble(); mend != nil {
				mends = append(mends, trouble{now.Add(time.Duration(1000+v.r.IntN(9000)) * time.Millisecond), mend})
			}
		}
		mends.due(now)
		v.watch()
		time.Sleep(50 * time.Millisecond)
	}
	mends.all()
}

func (v *versionDay) propose() {
	v.out.Proposed++
	k, at := v.out.Proposed, v.front()
	x := fleet.Proposal{Reason: fmt.Sprintf("proposal %d", k), WatchS: 0.3 * float64(v.r.IntN(4)), Urgent: v.r.IntN(4) == 0}
	if v.r.IntN(2) == 0 {
		x.GateS = 0.5 + float64(v.r.IntN(3))
	}
	go func() {
		n, err := at.Propose(ProbeSettings(k), x)
		v.mu.Lock()
		defer v.mu.Unlock()
		if err == nil {
			v.probes[n] = k
		}
	}()
}

// watch samples what each front acts on, side by side, and reads an answer of each for
// a version that a bar has passed.
func (v *versionDay) watch() {
	v.out.Looks++
	v.mu.Lock()
	passed, old := v.passed, -1
	for n, k := range v.probes {
		if n < passed && (old < 0 || rand.IntN(2) == 0) {
			old = k
		}
	}
	v.mu.Unlock()
	var wg sync.WaitGroup
	for i, p := range v.f.List {
		wg.Add(1)
		go func() {
			defer wg.Done()
			v.look1(i, p, passed, old)
		}()
	}
	wg.Wait()
}

func (v *versionDay) look1(i int, p *Process, passed uint64, old int) {
	x := Sample{At: time.Since(v.began), Front: i}
	if p.Up() && !p.Stopped() {
		if s, ok := v.ask1(p); ok {
			x.Version, x.MayAct, x.Reached = s.ActiveVersion, s.MayAct, true
		}
	}
	var list []fleet.Version
	if x.Reached {
		list, _ = p.Versions()
	}
	id, other := fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x", rand.Uint64())
	status, class := 0, 0
	if rand.IntN(8) == 0 && p.Up() { // for the audits to be asked about
		class, _, _ = p.RequestPage("page-asset", other, time.Second)
	}
	if old >= 0 && p.Up() {
		// Whoever wakes at this moment acts on what it looks at then, not on what it knew.
		status, _, _ = p.RequestPage(fmt.Sprintf("probe-%d", old), id, time.Second)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.out.Samples = append(v.out.Samples, x)
	if status != 0 {
		v.out.Probed++
	}
	if status == 200 {
		v.broken("%s serves probe-%d, of an older version than %d, whose bar is said to have passed", p.Name, old, passed)
	}
	if class == 200 || class == 503 {
		v.ids[other] = p.Name
	}
	if status == 200 || status == 503 {
		v.ids[id] = p.Name
	}
	for _, y := range list {
		if y.GatePassed && y.N > v.passed {
			v.passed = y.N
			v.out.Bars++
			v.tell("the bar of version %d has passed, says %s", y.N, p.Name)
		}
	}
}

// rest waits until all act on one version, and goes through the audits.
func (v *versionDay) rest() {
	one := func() bool {
		v.watch()
		good := uint64(0)
		for i, p := range v.f.List {
			list, err := p.Versions()
			s, ok := v.ask1(p)
			if err != nil || !ok || !s.MayAct || slices.ContainsFunc(list, func(x fleet.Version) bool { return x.Phase == "checking" || x.Phase == "rolling" }) {
				return false
			}
			if i == 0 {
				good = s.ActiveVersion
			}
			if s.ActiveVersion != good {
				return false
			}
		}
		return v.f.Settled()
	}
	if Await(120*time.Second, one) != nil {
		v.broken("with contact back not all act on one version:\n%s", v.f.StatusReport())
		return
	}
	v.tell("all act on one version")
	p := v.f.List[0]
	if list, err := p.Versions(); err == nil {
		for _, x := range list {
			v.out.Ended[x.Phase]++
		}
	}
	time.Sleep(6 * time.Second) // heads of audits go into the log every five
	var r fleet.AuditReport
	if err := p.Call(`FLEET AUDIT {"verify":true}`, &r); err != nil || len(r.Missing) > 0 {
		v.broken("the audits can't be verified: %v, missing %v", err, r.Missing)
		return
	}
	holes := map[string]bool{}
	for _, a := range r.Answers {
		if a.Broken != "" || a.Error != "" {
			v.broken("the audit of %s: %s %s", a.Front, a.Broken, a.Error)
		}
		for _, g := range a.Gaps {
			holes[a.Front] = holes[a.Front] || g.Why != ""
		}
	}
	for id, front := range v.ids {
		if v.out.Audited >= 200 {
			break
		}
		var r fleet.AuditReport
		if err := p.Call(fmt.Sprintf(`FLEET AUDIT {"request":%q}`, id), &r); err != nil {
			v.broken("the audits are not asked: %v", err)
			return
		}
		found := 0
		for _, a := range r.Answers {
			found += len(a.Spans)
		}
		if found != 1 && !(found == 0 && holes[front]) {
			v.broken("request %s, which %s answered, is found %d times, and %s tells of no hole", id, front, found, front)
		}
		v.out.Audited++
	}
}

// versionsPage is the report.
var versionsPage = template.Must(template.New("page").Parse(`<!doctype html><meta charset="utf-8"><title>Versions over time</title>
<style>body{font:14px sans-serif;margin:2em;max-width:70em}pre{font-size:12px}</style>
<h1>Versions over time, by front</h1>
<p>{{.Fronts}} fronts, seed {{.Seed}}: {{.Proposed}} versions proposed, {{.Bars}} bars passed, {{.Probed}} answers read,
{{.Served}} requests served, {{.Refused}} refused, {{.Lost}} lost; {{len .Broken}} promises broken. Colour: the version acted on. Hatched: it may
not act (shut out, or its lease is over). White: not reached (down, stopped).</p>
<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}">
<defs><pattern id="shut" width="6" height="6" patternUnits="userSpaceOnUse" patternTransform="rotate(45)"><rect width="3" height="6" fill="#0008"/></pattern></defs>
{{range .Rows}}<text x="0" y="{{.Y}}" font-size="12">{{.Name}}</text>{{end}}
{{range .Boxes}}<rect x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="16" fill="{{.Fill}}"><title>{{.Text}}</title></rect>{{end}}
</svg>
{{if .Broken}}<h2>Broken</h2><pre>{{range .Broken}}{{.}}
{{end}}</pre>{{end}}
<h2>What happened</h2><pre>{{range .Happened}}{{.}}
{{end}}</pre>`))

// Page writes the day as one page with a picture: versions over time by front, with
// the spans marked in which a front might not act or was not reached.
func (v *PlayedVersions) Page(w io.Writer) error {
	type row struct {
		Name string
		Y    int
	}
	type box struct {
		X, Y, W    float64
		Fill, Text string
	}
	const left, wide, high = 60, 1000, 22
	colours := []string{"#bbbbbb", "#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00", "#f0e442"}
	last := time.Second
	for _, s := range v.Samples {
		last = max(last, s.At)
	}
	x := func(at time.Duration) float64 { return left + wide*at.Seconds()/last.Seconds() }
	var rows []row
	var boxes []box
	for i, name := range v.Names {
		rows = append(rows, row{name, i*high + 14})
		var list []Sample
		for _, s := range v.Samples {
			if s.Front == i {
				list = append(list, s)
			}
		}
		for from := 0; from < len(list); {
			to := from + 1
			for to < len(list) && list[to].Version == list[from].Version && list[to].MayAct == list[from].MayAct && list[to].Reached == list[from].Reached {
				to++
			}
			s, end := list[from], list[min(to, len(list)-1)].At
			b := box{X: x(s.At), Y: float64(i * high), W: max(1, x(end)-x(s.At)), Fill: colours[s.Version%uint64(len(colours))],
				Text: fmt.Sprintf("%s: version %d, %.1f to %.1f s", name, s.Version, s.At.Seconds(), end.Seconds())}
			if s.Reached {
				boxes = append(boxes, b)
				if !s.MayAct {
					b.Fill, b.Text = "url(#shut)", b.Text+", may not act"
					boxes = append(boxes, b)
				}
			}
			from = to
		}
	}
	return versionsPage.Execute(w, struct {
		*PlayedVersions
		Width, Height int
		Rows          []row
		Boxes         []box
	}{v, left + wide + 10, high * max(1, len(rows)), rows, boxes})
}
