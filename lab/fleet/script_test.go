package fleet

import (
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/statemachine"
)

// The scripts in ../scenarios/fleet violate no invariant in virtual time.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("../scenarios/fleet/*.scn")
	if err != nil || len(files) < 2 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		s, err := ReadScript(f)
		if err != nil {
			t.Fatal(err)
		}
		if d, w := s.PlayVirtual("", nil); len(d.Broken) > 0 {
			w.Dump(t.Output(), 60)
			t.Errorf("%s: %v", f, d.Broken)
		}
	}
}

// A script's String parses as the same script. Invalid scripts are rejected, with the
// position of the error.
func TestScriptRoundTrip(t *testing.T) {
	lines := []string{`ask "n1" for 2s`, `ask "n0" for 3s urgent`, `ask box "b" for 1s`, `ask "n2" for 1s until restart`, `kill leader for 2s`,
		`stop "n1" "n2" for 3s`, `part "n0" from "n1" "n2" for 4s`, `mute "n1" for 1s`, `deafen "n2" for 1s`, `lose zone "z1" for 2s`, `lose 10% of messages for 1s`,
		`double 20% of messages for 1s`, `delay "n1" 300ms for 1s`, `slow "n0" 300ms for 1s`, `fill "n0" for 1s`, `clock "n1" 95%`, `reset connections`,
		`restart all`, `hold for 2s`, `tear "n1" for 1s`, `wipe "n2" for 1s`}
	rapid.Check(t, func(t *rapid.T) {
		text := "fronts 3 zones 2 run 60s seed 4 alone 2s\n"
		for range rapid.IntRange(0, 8).Draw(t, "steps") {
			text += "at " + rapid.SampledFrom([]string{"1s", "2500ms", "30s"}).Draw(t, "at") + " " + rapid.SampledFrom(lines).Draw(t, "line") + "\n"
		}
		s, err := ParseScript("a", text)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseScript("a", s.String())
		if err != nil {
			t.Fatalf("%v in\n%s", err, s)
		}
		if s.String() != again.String() {
			t.Fatalf("%s\nis parsed as\n%s", s, again)
		}
	})
	for text, want := range map[string]string{"fronts 3\nat 1s kill \"n7\" for 1s": `2:4: there is no "n7"`, "at 90s hold": "after the day", "fronts 900": "fronts 1 to 300",
		"at 1s delay \"n1\" for 1s": "by how much", "at 1s clock \"n1\" 150%": "90% to 110%", "at 1s explode": `unexpected token "explode"`} {
		if _, err := ParseScript("a", text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// A script that violates an invariant is reduced to the steps that it takes.
func TestMinimizeScript(t *testing.T) {
	s, err := ParseScript("a", `fronts 5 zones 5 run 60s seed 5
at 1s hold for 2s
at 2s reset connections
from 3s delay "n2" 200ms for 3s
at 5s ask box "b" for 1s
at 9s kill "n1" for 50s
from 12s mute "n4" for 1s
at 30s ask "n2" for 3s
at 31s ask "n3" for 3s
at 50s restart all`)
	if err != nil {
		t.Fatal(err)
	}
	short, d, _ := s.Minimize(statemachine.DisableLostCount)
	if len(d.Broken) == 0 || len(short.Steps) > 3 {
		t.Errorf("%v\n%s", d.Broken, short)
	}
	if d, _ := short.PlayVirtual("", nil); len(d.Broken) > 0 {
		t.Errorf("without the mutation: %v", d.Broken)
	}
	t.Logf("%s%v", short, d.Broken)
}

// While some fronts crash and restart all the time, operations on the others proceed, and
// the fleet settles once they stop.
func TestFlapping(t *testing.T) {
	d := playFlapping(t, 60, 6, 60*Second)
	t.Logf("%+v", d)
}

// playFlapping runs a fleet in which the given number of fronts crash and restart all the
// time.
func playFlapping(t testing.TB, fronts, flapping int, span Micros) Day {
	r := ShortRules()
	r.MaxOut, r.MaxZoneOut, r.MaxFrontsPercent, r.UnhealthyPercent, r.LeaseSpan = fronts, fronts, 100, 60, 5*Second
	w := NewWorld(Spec{Fronts: fronts, Zones: 5, Seed: 11, Rules: r, FanOut: 16})
	c := &chaosRunner{world: w, random: w.random, day: Day{Seed: 11, Fronts: fronts}, restartedAt: map[uint64]Micros{}}
	for _, f := range w.Fronts {
		f.Start()
	}
	if !w.RunUntil(120*Second, w.Settled) {
		t.Fatal("the fleet does not settle")
	}
	end, asked := w.now+span, 0
	for i, f := range w.Fronts[fronts-flapping:] {
		var crash func()
		crash = func() {
			if w.now < end {
				f.Crash()
				w.After(Micros(500+137*(i%7))*Milli, f.Start)
				w.After(Micros(6000+311*(i%11))*Milli, crash)
			}
		}
		w.After(Micros(i)*300*Milli, crash)
	}
	for w.now < end && !w.Checker.Failed() {
		w.Run(w.now + 2*Second)
		asked++
		target := w.Fronts[asked%(fronts-flapping)]
		if l := w.Leader(); l != nil {
			c.day.Asked++
			w.submit(l, statemachine.Command{Request: &statemachine.Request{Operation: maintenance.Operation{Machine: target.Name, Duration: Second}}}, func(statemachine.Result, error) {})
		}
		c.completeOperations()
	}
	d := c.finish()
	if len(d.Broken) > 0 {
		w.Dump(t.Output(), 60)
		t.Fatal(d.Broken)
	}
	return d
}
