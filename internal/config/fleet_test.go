package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Checks that deploy/operator-fleet.json loads with its defaults, and that all faults of
// the section are reported in one error, each with its key.
func TestFleetSection(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operator-fleet.json")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for _, name := range []string{"fleet-front-1.pem", "fleet-front-1.key", "fleet-authorities.pem"} {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	o, err := ParseOperator(text, dir)
	if err != nil {
		t.Fatal(err)
	}
	if f := o.Fleet; f.TickMS != 100 || f.FanOut != 16 || f.DataDir != filepath.Join(dir, "fleet") || f.Rules.Maintenance().AcceptTimeout != 20_000_000 {
		t.Errorf("defaults: %+v", f)
	}
	for _, x := range []struct{ from, to, key string }{
		{`"name": "padma"`, `"name": "pad ma"`, "fleet.name"},
		{`"zone": "hub-a"`, `"zone": ""`, "fleet.zone"},
		{`"listen": "127.0.0.1:7003"`, `"listen": "here"`, "fleet.listen"},
		{`"name": "front-2"`, `"name": "front-1"`, "fleet.first[1]"},
		{`"folder": "fleet"`, `"folder": ""`, "fleet.folder"},
		{`"certificate": "fleet-front-1.pem"`, `"certificate": "none.pem"`, "fleet.keys.certificate"},
		{`"names": ["fleet.padma.example"]`, `"names": []`, "fleet.keys.names"},
		{`"out": 1`, `"out": -1`, "fleet.rules: out"},
		{`"accept_s": 20`, `"accept_s": 99999`, "fleet.rules: accept_s"},
		{`"rules"`, `"tick_ms": 5, "rules"`, "fleet.tick_ms"},
		{`"rules"`, `"reach": {"x": "y"}, "rules"`, "fleet.reach.x"},
	} {
		if _, err := ParseOperator([]byte(strings.Replace(string(text), x.from, x.to, 1)), dir); err == nil || !strings.Contains(err.Error(), x.key) {
			t.Errorf("%s: %v", x.key, err)
		}
	}
	all := strings.NewReplacer(`"zone": "hub-a"`, `"zone": ""`, `"folder": "fleet"`, `"folder": ""`).Replace(string(text))
	if _, err := ParseOperator([]byte(all), dir); err == nil || !strings.Contains(err.Error(), "fleet.zone") || !strings.Contains(err.Error(), "fleet.folder") {
		t.Errorf("not all faults are reported: %v", err)
	}
}
