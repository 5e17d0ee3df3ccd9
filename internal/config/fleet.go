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

// Fleet sets up the front as a member of its installation's fleet. Comments end with
// the default.
type Fleet struct {
	Name             string            `json:"name"`    // name of the fleet
	Front            string            `json:"front"`   // name of this front; the platform's name
	Zone             string            `json:"zone"`    // name or path of its site, as west/hub-a/branch-3
	Machine          string            `json:"machine"` // machine that is taken out of service with it; the front's name
	Listen           string            `json:"listen"`  // IP:port that other fronts connect to
	Address          string            `json:"address"` // IP:port that it is reached at; listen
	InitialMembers   []InitialMember   `json:"first"`   // members that found the fleet, the founder first
	DataDir          string            `json:"folder"`  // directory of this front alone, on a persistent disk
	Keys             FleetKeys         `json:"keys"`
	AddressOverrides map[string]string `json:"reach,omitempty"`   // by front: where it is reached from here, if not at its address
	Rules            FleetRules        `json:"rules"`             // of maintenance; the founder's apply to the fleet
	TickMS           int               `json:"tick_ms,omitempty"` // tick of the consensus; 100
	LostMS           int               `json:"lost_ms,omitempty"` // a front not heard for this long counts as lost; 3000
	GraceS           int               `json:"grace_s,omitempty"` // time for which a lost voter stays a voter; 30
	FanOut           int               `json:"fan_out,omitempty"` // fronts that one front forwards the log to; 16
	MaxLogEntries    int               `json:"log,omitempty"`     // log entries from which it is compacted; 2000
}

// InitialMember is one of the members that found a fleet.
type InitialMember struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// FleetKeys names the PEM files of the keys, by paths relative to the operator's file.
type FleetKeys struct {
	Certificate string   `json:"certificate"` // valid for the front's name and one of names
	Key         string   `json:"key"`
	Authorities string   `json:"authorities"`
	PeerNames   []string `json:"names"` // certificate names accepted of other fronts; one may serve the whole fleet
	Revoked     []string `json:"revoked,omitempty"`
}

// FleetRules are the budgets and bounds of maintenance operations on machines; 0: the
// default, with which comments end.
type FleetRules struct {
	MaxOut           int     `json:"out,omitempty"`          // machines out of service at once, lost ones included; 1
	MaxZoneOut       int     `json:"zone,omitempty"`         // those of one zone; 1
	MaxFrontsPercent int     `json:"percent,omitempty"`      // share of the fleet's fronts; 34
	UnhealthyPercent int     `json:"hurt_percent,omitempty"` // share of lost fronts from which only urgent operations start; 20
	AcceptTimeoutS   float64 `json:"accept_s,omitempty"`     // 20
	DrainTimeoutS    float64 `json:"empty_s,omitempty"`      // 90
	ReturnTimeoutS   float64 `json:"back_s,omitempty"`       // 120
	WarmUpS          float64 `json:"cold_s,omitempty"`       // 15
	AgeStepS         float64 `json:"age_step_s,omitempty"`   // 60
	PatienceS        float64 `json:"patience_s,omitempty"`   // 600
	LeaseSpanS       float64 `json:"alone_s,omitempty"`      // time for which a front serves without hearing the fleet; 0: forever
	MaxFencedPercent int     `json:"lag_percent,omitempty"`  // share of all fronts, and of a zone's, that may be fenced for outdated versions; 34
	MaxPacePercent   int     `json:"pace_percent,omitempty"` // share of a hub's pace that boxes out at once may have; 0: not limited
}

// Maintenance gives the rules of maintenance operations, with defaults.
func (r FleetRules) Maintenance() maintenance.Rules {
	d := maintenance.DefaultRules()
	micros := func(s float64, fallback int64) int64 { return cmp.Or(int64(max(-1, min(s, 1e9))*1e6), fallback) }
	return maintenance.Rules{MaxOut: cmp.Or(r.MaxOut, d.MaxOut), MaxZoneOut: cmp.Or(r.MaxZoneOut, d.MaxZoneOut), MaxFrontsPercent: cmp.Or(r.MaxFrontsPercent, d.MaxFrontsPercent), UnhealthyPercent: cmp.Or(r.UnhealthyPercent, d.UnhealthyPercent),
		AcceptTimeout: micros(r.AcceptTimeoutS, d.AcceptTimeout), DrainTimeout: micros(r.DrainTimeoutS, d.DrainTimeout), ReturnTimeout: micros(r.ReturnTimeoutS, d.ReturnTimeout), WarmUp: micros(r.WarmUpS, d.WarmUp),
		AgeStep: micros(r.AgeStepS, d.AgeStep), Patience: micros(r.PatienceS, d.Patience), LeaseSpan: micros(r.LeaseSpanS, d.LeaseSpan), MaxPacePercent: r.MaxPacePercent, MaxFencedPercent: r.MaxFencedPercent}
}

// Bounds of the fleet section.
const (
	minTickMS         = 20
	maxTickMS         = 1000
	maxInitialMembers = 7
	maxNameBytes      = 64
	maxFanOut         = 128
	minLogEntries     = 100
)

// check sets defaults and adds every fault to errs. Relative paths are relative to
// dir, the operator's file's directory.
func (f *Fleet) check(errs *faults, dir string) {
	f.Machine, f.Address = cmp.Or(f.Machine, f.Front), cmp.Or(f.Address, f.Listen)
	f.TickMS, f.LostMS, f.GraceS = cmp.Or(f.TickMS, 100), cmp.Or(f.LostMS, 3000), cmp.Or(f.GraceS, 30)
	f.FanOut, f.MaxLogEntries = cmp.Or(f.FanOut, 16), cmp.Or(f.MaxLogEntries, 2000)
	for _, x := range []struct{ key, text string }{{"name", f.Name}, {"front", f.Front}, {"zone", f.Zone}, {"machine", f.Machine}} {
		if x.text == "" && (x.key == "front" || x.key == "machine") {
			continue // defaults to the platform's name, which is in another file
		}
		if err := checkFleetName(x.text); err != nil {
			errs.add(x.key, err)
		} else if x.key == "zone" {
			errs.add(x.key, topology.CheckPath(x.text))
		}
	}
	for _, x := range []struct{ key, address string }{{"listen", f.Listen}, {"address", f.Address}} {
		if err := checkAddress(x.address); err != nil {
			errs.add(x.key, err)
		}
	}
	if len(f.InitialMembers) == 0 || len(f.InitialMembers) > maxInitialMembers {
		errs.addf("first", "%d members, 1 to %d are allowed", len(f.InitialMembers), maxInitialMembers)
	}
	for i, m := range f.InitialMembers {
		if err := errors.Join(checkFleetName(m.Name), checkAddress(m.Address)); err != nil {
			errs.add(fmt.Sprintf("first[%d]", i), err)
		}
		if slices.ContainsFunc(f.InitialMembers[:i], func(o InitialMember) bool { return o.Name == m.Name }) {
			errs.addf(fmt.Sprintf("first[%d]", i), "%s occurs twice", m.Name)
		}
	}
	if f.DataDir == "" {
		errs.addf("folder", "missing: a directory on a persistent disk is needed")
	}
	for name, address := range f.AddressOverrides {
		if err := checkAddress(address); err != nil {
			errs.add("reach."+name, err)
		}
	}
	for _, x := range []struct {
		key       string
		n, lo, hi int
	}{{"tick_ms", f.TickMS, minTickMS, maxTickMS}, {"lost_ms", f.LostMS, 10 * f.TickMS, 600_000}, {"grace_s", f.GraceS, 1, 86_400},
		{"fan_out", f.FanOut, 1, maxFanOut}, {"log", f.MaxLogEntries, minLogEntries, 1_000_000}} {
		if x.n < x.lo || x.n > x.hi {
			errs.addf(x.key, "%d is not %d to %d", x.n, x.lo, x.hi)
		}
	}
	if err := f.Rules.Maintenance().Validate(); err != nil {
		errs.add("rules", err)
	}
	k := &f.Keys
	for _, x := range []struct {
		key  string
		path *string
	}{{"certificate", &k.Certificate}, {"key", &k.Key}, {"authorities", &k.Authorities}, {"", &f.DataDir}} {
		if *x.path == "" && x.key != "" {
			errs.addf("keys."+x.key, "missing")
		} else if !filepath.IsAbs(*x.path) {
			*x.path = filepath.Join(dir, *x.path)
		}
		if x.key != "" && *x.path != "" {
			if _, err := os.Stat(*x.path); err != nil {
				errs.add("keys."+x.key, err)
			}
		}
	}
	if len(k.PeerNames) == 0 {
		errs.addf("keys.names", "none: no other front would be accepted")
	}
}

func checkFleetName(s string) error {
	if s == "" || len(s) > maxNameBytes || strings.ContainsAny(s, " \t\r\n\"") {
		return fmt.Errorf("%q is not a name of 1 to %d bytes without spaces", s, maxNameBytes)
	}
	return nil
}
