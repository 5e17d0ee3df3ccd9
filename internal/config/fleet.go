package config

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/topology"
)

// Fleet has the front act together with the others of its installation.
type Fleet struct {
	Name             string            `json:"name"`              // of the fleet
	Front            string            `json:"front"`             // this one's; the platform's name
	Zone             string            `json:"zone"`              // a site's name, or its path: west/hub-a/branch-3
	Machine          string            `json:"machine"`           // what is taken out with it; the front's name
	Listen           string            `json:"listen"`            // IP:port for the other fronts
	Address          string            `json:"address"`           // where they reach it; listen
	InitialMembers   []InitialMember   `json:"first"`             // the members that begin the fleet, the founder first
	DataDir          string            `json:"folder"`            // of this front alone, on a lasting disk
	Keys             FleetKeys         `json:"keys"`              //
	AddressOverrides map[string]string `json:"reach,omitempty"`   // where a front is reached from here, if not at its address
	Rules            FleetRules        `json:"rules"`             // of works; the founder's are the fleet's
	TickMS           int               `json:"tick_ms,omitempty"` // of the agreement; 100
	LostMS           int               `json:"lost_ms,omitempty"` // unheard for so long a front counts as lost; 3000
	GraceS           int               `json:"grace_s,omitempty"` // a lost voter keeps its seat; 30
	FanOut           int               `json:"fan_out,omitempty"` // fronts that one passes the log on to; 16
	MaxLogEntries    int               `json:"log,omitempty"`     // entries after which it begins anew; 2000
}

// FirstMember is one of the members that begin a fleet.
type InitialMember struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// FleetKeys are where the keys are: PEM files, by paths from the operator's file.
type FleetKeys struct {
	Certificate string   `json:"certificate"` // for the front's name and one of names
	Key         string   `json:"key"`
	Authorities string   `json:"authorities"`
	PeerNames   []string `json:"names"` // that let a front in; one for the whole fleet will do
	Revoked     []string `json:"revoked,omitempty"`
}

// FleetRules are the budgets and bounds of works on machines; 0: the default.
type FleetRules struct {
	MaxOut           int     `json:"out,omitempty"`          // machines out at once, lost ones included; 1
	MaxZoneOut       int     `json:"zone,omitempty"`         // of one zone; 1
	MaxFrontsPercent int     `json:"percent,omitempty"`      // of the fleet's fronts; 34
	UnhealthyPercent int     `json:"hurt_percent,omitempty"` // lost, from which nothing goes but what is urgent; 20
	AcceptTimeoutS   float64 `json:"accept_s,omitempty"`     // 20
	DrainTimeoutS    float64 `json:"empty_s,omitempty"`      // 90
	ReturnTimeoutS   float64 `json:"back_s,omitempty"`       // 120
	WarmUpS          float64 `json:"cold_s,omitempty"`       // 15
	AgeStepS         float64 `json:"age_step_s,omitempty"`   // 60
	PatienceS        float64 `json:"patience_s,omitempty"`   // 600
	LeaseSpanS       float64 `json:"alone_s,omitempty"`      // for which a front serves without hearing the fleet; 0: for ever
	MaxFencedPercent int     `json:"lag_percent,omitempty"`  // of the fronts, and of a zone's, that may be shut out for acting on old versions; 34
	MaxPacePercent   int     `json:"pace_percent,omitempty"` // of a hub's pace that boxes out at once may have; 0: not looked at
}

// Work gives the rules with their defaults.
func (r FleetRules) Maintenance() maintenance.Rules {
	d := maintenance.DefaultRules()
	span := func(s float64, absent int64) int64 { return cmp.Or(int64(max(-1, min(s, 1e9))*1e6), absent) }
	return maintenance.Rules{MaxOut: cmp.Or(r.MaxOut, d.MaxOut), MaxZoneOut: cmp.Or(r.MaxZoneOut, d.MaxZoneOut), MaxFrontsPercent: cmp.Or(r.MaxFrontsPercent, d.MaxFrontsPercent), UnhealthyPercent: cmp.Or(r.UnhealthyPercent, d.UnhealthyPercent),
		AcceptTimeout: span(r.AcceptTimeoutS, d.AcceptTimeout), DrainTimeout: span(r.DrainTimeoutS, d.DrainTimeout), ReturnTimeout: span(r.ReturnTimeoutS, d.ReturnTimeout), WarmUp: span(r.WarmUpS, d.WarmUp),
		AgeStep: span(r.AgeStepS, d.AgeStep), Patience: span(r.PatienceS, d.Patience), LeaseSpan: span(r.LeaseSpanS, d.LeaseSpan), MaxPacePercent: r.MaxPacePercent, MaxFencedPercent: r.MaxFencedPercent}
}

// Bounds of the fleet section.
const (
	leastTickMS = 20
	mostTickMS  = 1000
	mostFirst   = 7
	mostWord    = 64
	mostFanOut  = 128
	leastLog    = 100
)

// check gives defaults and names every fault. Files are looked for where the
// operator's file is.
func (f *Fleet) check(at *faults, dir string) {
	f.Machine, f.Address = cmp.Or(f.Machine, f.Front), cmp.Or(f.Address, f.Listen)
	f.TickMS, f.LostMS, f.GraceS = cmp.Or(f.TickMS, 100), cmp.Or(f.LostMS, 3000), cmp.Or(f.GraceS, 30)
	f.FanOut, f.MaxLogEntries = cmp.Or(f.FanOut, 16), cmp.Or(f.MaxLogEntries, 2000)
	for _, x := range []struct{ key, word string }{{"name", f.Name}, {"front", f.Front}, {"zone", f.Zone}, {"machine", f.Machine}} {
		if x.word == "" && (x.key == "front" || x.key == "machine") {
			continue // the platform's name, which stands in another file
		}
		if err := checkFleetName(x.word); err != nil {
			at.add(x.key, err)
		} else if x.key == "zone" {
			at.add(x.key, topology.CheckPath(x.word))
		}
	}
	for _, x := range []struct{ key, address string }{{"listen", f.Listen}, {"address", f.Address}} {
		if err := checkAddress(x.address); err != nil {
			at.add(x.key, err)
		}
	}
	if len(f.InitialMembers) == 0 || len(f.InitialMembers) > mostFirst {
		at.addf("first", "%d members, 1 to %d are wanted", len(f.InitialMembers), mostFirst)
	}
	for i, m := range f.InitialMembers {
		if err := errors.Join(checkFleetName(m.Name), checkAddress(m.Address)); err != nil {
			at.add(fmt.Sprintf("first[%d]", i), err)
		}
		if slices.ContainsFunc(f.InitialMembers[:i], func(o InitialMember) bool { return o.Name == m.Name }) {
			at.addf(fmt.Sprintf("first[%d]", i), "%s stands twice", m.Name)
		}
	}
	if f.DataDir == "" {
		at.addf("folder", "missing: a lasting disk is needed")
	}
	for name, address := range f.AddressOverrides {
		if err := checkAddress(address); err != nil {
			at.add("reach."+name, err)
		}
	}
	for _, x := range []struct {
		key            string
		n, least, most int
	}{{"tick_ms", f.TickMS, leastTickMS, mostTickMS}, {"lost_ms", f.LostMS, 10 * f.TickMS, 600_000}, {"grace_s", f.GraceS, 1, 86_400},
		{"fan_out", f.FanOut, 1, mostFanOut}, {"log", f.MaxLogEntries, leastLog, 1_000_000}} {
		if x.n < x.least || x.n > x.most {
			at.addf(x.key, "%d is not %d to %d", x.n, x.least, x.most)
		}
	}
	if err := f.Rules.Maintenance().Validate(); err != nil {
		at.add("rules", err)
	}
	k := &f.Keys
	for _, x := range []struct {
		key  string
		path *string
	}{{"certificate", &k.Certificate}, {"key", &k.Key}, {"authorities", &k.Authorities}, {"", &f.DataDir}} {
		if *x.path == "" && x.key != "" {
			at.addf("keys."+x.key, "missing")
		} else if !filepath.IsAbs(*x.path) {
			*x.path = filepath.Join(dir, *x.path)
		}
		if x.key != "" && *x.path != "" {
			if _, err := os.Stat(*x.path); err != nil {
				at.add("keys."+x.key, err)
			}
		}
	}
	if len(k.PeerNames) == 0 {
		at.addf("keys.names", "nobody would be let in")
	}
}

func checkFleetName(s string) error {
	if s == "" || len(s) > mostWord || strings.ContainsAny(s, " \t\r\n\"") {
		return fmt.Errorf("%q is not a name of 1 to %d bytes without spaces", s, mostWord)
	}
	return nil
}
