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

// PlayedVersions is the outcome of a run in which versions were proposed to started
// fronts. It is printed under its field names.
type PlayedVersions struct {
	Played
	Proposed int
	Ended    map[string]int // versions by final phase
	Bars     int            // health gates passed
	Probed   int            // responses read to tell which version a front acts on
	Audited  int            // requests looked up in the audit logs
	Samples  []Sample       `json:"-"`
	Names    []string       `json:"-"`
}

// Sample is the version that a front reported as active at a time.
type Sample struct {
	At      time.Duration
	Front   int
	Version uint64
	May     bool
	Reached bool
}

// VersionRules returns rules with leases, which versions with health gates need.
func VersionRules() map[string]any {
	r := shortRules()
	r["alone_s"], r["empty_s"], r["hurt_percent"], r["lag_percent"] = 3, 1, 90, 60
	return r
}

// ProbeSettings returns a version whose settings have one more class, "probe-N". Since no
// other version has that class, a front's responses show which version it acts on.
func ProbeSettings(n int) string {
	var s struct {
		Grades []map[string]any `json:"grades"`
	}
	if err := json.Unmarshal([]byte(site.Settings()), &s); err != nil {
		panic(err) // the settings are a constant of package site
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

// Propose uploads a file to a front and proposes it, and returns the version's number.
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
	var result map[string]uint64
	err = p.Call("FLEET VERSIONS PROPOSE "+string(text), &result)
	return result["version"], err
}

// Versions returns the versions that a front knows.
func (p *Process) Versions() (list []fleet.Version, err error) {
	return list, p.Call("FLEET VERSIONS LIST", &list)
}

// RequestPage requests a page of a class from a front; retryAfter is the value of
// Srv-Wait-Ms.
func (p *Process) RequestPage(class, id string, timeout time.Duration) (status int, retryAfter string, err error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+p.Listen+"/call/"+class+"/o1", nil)
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Wait-Ms", "2000")
	r.Header.Set("X-Bucket", "17")
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0, "", err
	}
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode, a.Header.Get("Srv-Wait-Ms"), a.Body.Close()
}

// versionDay is a run with versions.
type versionDay struct {
	*player
	result     PlayedVersions
	probes     map[uint64]int // number of the probe class by version
	mu         sync.Mutex
	enforced   uint64            // newest version whose health gate is reported as passed
	answeredBy map[string]string // front by ID of an answered request
}

// PlayVersions proposes versions to started fronts under client load while faults are
// injected; then all faults end, and every front must act on the same version.
func PlayVersions(o Options, span time.Duration, rate float64, faults bool, onEvent func(string)) (PlayedVersions, error) {
	o.Rules = VersionRules()
	v := &versionDay{probes: map[uint64]int{}, answeredBy: map[string]string{}}
	played, err := play(o, rate, onEvent, func(p *player) {
		v.player = p
		v.runRandom(span, faults)
		p.endFaults()
		v.awaitSameVersion()
	})
	v.result.Played = played
	return v.result, err
}

func (v *versionDay) runRandom(span time.Duration, faults bool) {
	v.result.Ended = map[string]int{}
	for _, p := range v.processes.List {
		v.result.Names = append(v.result.Names, p.Name)
	}
	end, nextProposal, nextFault := time.Now().Add(span), time.Now(), time.Now().Add(3*time.Second)
	var active activeFaults
	for time.Now().Before(end) {
		now := time.Now()
		if now.After(nextProposal) {
			nextProposal = now.Add(time.Duration(2000+v.random.IntN(5000)) * time.Millisecond)
			v.propose()
		}
		if faults && now.After(nextFault) {
			nextFault = now.Add(time.Duration(2000+v.random.IntN(6000)) * time.Millisecond)
			if undo := v.injectFault(); undo != nil {
				active = append(active, fault{now.Add(time.Duration(1000+v.random.IntN(9000)) * time.Millisecond), undo})
			}
		}
		active.undoDue(now)
		v.observeAll()
		time.Sleep(50 * time.Millisecond)
	}
	active.undoAll()
}

func (v *versionDay) propose() {
	v.result.Proposed++
	k, at := v.result.Proposed, v.randomFront()
	x := fleet.Proposal{Reason: fmt.Sprintf("proposal %d", k), WatchS: 0.3 * float64(v.random.IntN(4)), Urgent: v.random.IntN(4) == 0}
	if v.random.IntN(2) == 0 {
		x.GateS = 0.5 + float64(v.random.IntN(3))
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

// observeAll samples the active version of all fronts in parallel, and requests a class of
// a version that a passed health gate has made obsolete.
func (v *versionDay) observeAll() {
	v.result.Looks++
	v.mu.Lock()
	enforced, oldProbe := v.enforced, -1
	for n, k := range v.probes {
		if n < enforced && (oldProbe < 0 || rand.IntN(2) == 0) {
			oldProbe = k
		}
	}
	v.mu.Unlock()
	var wg sync.WaitGroup
	for i, p := range v.processes.List {
		wg.Add(1)
		go func() {
			defer wg.Done()
			v.observeFront(i, p, enforced, oldProbe)
		}()
	}
	wg.Wait()
}

func (v *versionDay) observeFront(i int, p *Process, enforced uint64, oldProbe int) {
	x := Sample{At: time.Since(v.startedAt), Front: i}
	if p.Up() && !p.Stopped() {
		if s, ok := v.status(p); ok {
			x.Version, x.May, x.Reached = s.ActiveVersion, s.MayAct, true
		}
	}
	var list []fleet.Version
	if x.Reached {
		list, _ = p.Versions()
	}
	id, otherID := fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x", rand.Uint64())
	status, otherStatus := 0, 0
	if rand.IntN(8) == 0 && p.Up() { // looked up in the audit logs at the end
		otherStatus, _, _ = p.RequestPage("page-asset", otherID, time.Second)
	}
	if oldProbe >= 0 && p.Up() {
		// A front that is resumed now must act on the state that it reads then, not on what it
		// read before.
		status, _, _ = p.RequestPage(fmt.Sprintf("probe-%d", oldProbe), id, time.Second)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.result.Samples = append(v.result.Samples, x)
	if status != 0 {
		v.result.Probed++
	}
	if status == 200 {
		v.violation("%s serves probe-%d of a version older than %d, whose health gate is reported as passed", p.Name, oldProbe, enforced)
	}
	if otherStatus == 200 || otherStatus == 503 {
		v.answeredBy[otherID] = p.Name
	}
	if status == 200 || status == 503 {
		v.answeredBy[id] = p.Name
	}
	for _, y := range list {
		if y.GatePassed && y.N > v.enforced {
			v.enforced = y.N
			v.result.Bars++
			v.logf("the health gate of version %d has passed, as %s reports", y.N, p.Name)
		}
	}
}

// awaitSameVersion waits until all fronts act on the same version, and checks the audit
// logs.
func (v *versionDay) awaitSameVersion() {
	same := func() bool {
		v.observeAll()
		active := uint64(0)
		for i, p := range v.processes.List {
			list, err := p.Versions()
			s, ok := v.status(p)
			if err != nil || !ok || !s.MayAct || slices.ContainsFunc(list, func(x fleet.Version) bool { return x.Phase == "checking" || x.Phase == "rolling" }) {
				return false
			}
			if i == 0 {
				active = s.ActiveVersion
			}
			if s.ActiveVersion != active {
				return false
			}
		}
		return v.processes.Settled()
	}
	if Await(120*time.Second, same) != nil {
		v.violation("with connectivity restored the fronts act on different versions:\n%s", v.processes.StatusReport())
		return
	}
	v.logf("all fronts act on the same version")
	p := v.processes.List[0]
	if list, err := p.Versions(); err == nil {
		for _, x := range list {
			v.result.Ended[x.Phase]++
		}
	}
	time.Sleep(6 * time.Second) // the heads of the audit logs are committed every 5 s
	var r fleet.AuditReport
	if err := p.Call(`FLEET AUDIT {"verify":true}`, &r); err != nil || len(r.Missing) > 0 {
		v.violation("the audit logs can't be verified: %v, missing %v", err, r.Missing)
		return
	}
	hasGap := map[string]bool{}
	for _, a := range r.Answers {
		if a.Broken != "" || a.Error != "" {
			v.violation("the audit log of %s: %s %s", a.Front, a.Broken, a.Error)
		}
		for _, g := range a.Gaps {
			hasGap[a.Front] = hasGap[a.Front] || g.Why != ""
		}
	}
	for id, front := range v.answeredBy {
		if v.result.Audited >= 200 {
			break
		}
		var r fleet.AuditReport
		if err := p.Call(fmt.Sprintf(`FLEET AUDIT {"request":%q}`, id), &r); err != nil {
			v.violation("the audit logs can't be queried: %v", err)
			return
		}
		found := 0
		for _, a := range r.Answers {
			found += len(a.Spans)
		}
		if found != 1 && !(found == 0 && hasGap[front]) {
			v.violation("request %s, answered by %s, is found %d times in the audit logs, and %s reports no gap", id, front, found, front)
		}
		v.result.Audited++
	}
}

// versionsPage is the template of the HTML report.
var versionsPage = template.Must(template.New("page").Parse(`<!doctype html><meta charset="utf-8"><title>Versions over time</title>
<style>body{font:14px sans-serif;margin:2em;max-width:70em}pre{font-size:12px}</style>
<h1>Versions over time, by front</h1>
<p>{{.Fronts}} fronts, seed {{.Seed}}: {{.Proposed}} versions proposed, {{.Bars}} health gates passed, {{.Probed}} responses read,
{{.Served}} requests served, {{.Refused}} refused, {{.Lost}} lost; {{len .Broken}} invariants violated. Colour: the active version. Hatched: the front
may not act (its version is too old, or its lease has expired). White: not reached (down, suspended).</p>
<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}">
<defs><pattern id="shut" width="6" height="6" patternUnits="userSpaceOnUse" patternTransform="rotate(45)"><rect width="3" height="6" fill="#0008"/></pattern></defs>
{{range .Rows}}<text x="0" y="{{.Y}}" font-size="12">{{.Name}}</text>{{end}}
{{range .Boxes}}<rect x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="16" fill="{{.Fill}}"><title>{{.Text}}</title></rect>{{end}}
</svg>
{{if .Broken}}<h2>Violations</h2><pre>{{range .Broken}}{{.}}
{{end}}</pre>{{end}}
<h2>Events</h2><pre>{{range .Happened}}{{.}}
{{end}}</pre>`))

// Page writes an HTML report with a chart of the versions over time by front, in which
// the spans are marked where a front could not act or was not reached.
func (v *PlayedVersions) Page(w io.Writer) error {
	type row struct {
		Name string
		Y    int
	}
	type box struct {
		X, Y, W    float64
		Fill, Text string
	}
	const left, width, rowHeight = 60, 1000, 22
	colours := []string{"#bbbbbb", "#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00", "#f0e442"}
	last := time.Second
	for _, s := range v.Samples {
		last = max(last, s.At)
	}
	x := func(at time.Duration) float64 { return left + width*at.Seconds()/last.Seconds() }
	var rows []row
	var boxes []box
	for i, name := range v.Names {
		rows = append(rows, row{name, i*rowHeight + 14})
		var list []Sample
		for _, s := range v.Samples {
			if s.Front == i {
				list = append(list, s)
			}
		}
		for from := 0; from < len(list); {
			to := from + 1
			for to < len(list) && list[to].Version == list[from].Version && list[to].May == list[from].May && list[to].Reached == list[from].Reached {
				to++
			}
			s, end := list[from], list[min(to, len(list)-1)].At
			b := box{X: x(s.At), Y: float64(i * rowHeight), W: max(1, x(end)-x(s.At)), Fill: colours[s.Version%uint64(len(colours))],
				Text: fmt.Sprintf("%s: version %d, %.1f to %.1f s", name, s.Version, s.At.Seconds(), end.Seconds())}
			if s.Reached {
				boxes = append(boxes, b)
				if !s.May {
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
	}{v, left + width + 10, rowHeight * max(1, len(rows)), rows, boxes})
}
