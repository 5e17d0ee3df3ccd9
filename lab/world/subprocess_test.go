package world

import (
	"encoding/json"
	"reflect"
	"testing"

	"cherryramp/internal/config"
)

// Built fronts read the same settings from their configuration as fronts in this
// process.
func TestConfigSettingsMatchSettings(t *testing.T) {
	spec := Default()
	zone := len(spec.Hubs) + 1
	text, err := json.Marshal(map[string]any{"listen": "127.0.0.1:1", "limits": map[string]any{"sockets": descriptors}, "settings": spec.configSettings(zone)})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text, "", "")
	if err != nil {
		t.Fatal(err)
	}
	if want := spec.settings(zone); !reflect.DeepEqual(cfg.Settings, want) {
		t.Errorf("got\n%+v\nwant\n%+v", cfg.Settings, want)
	}
	if cfg.StreamsPerConn != streamsPerConn || cfg.ConnIdleTimeout != connIdleTimeout || !reflect.DeepEqual(cfg.Zones, spec.zones()) || !reflect.DeepEqual(cfg.Kinds, serverKinds) {
		t.Errorf("%+v", cfg)
	}
}
